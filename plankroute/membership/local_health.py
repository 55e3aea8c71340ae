"""How far this member may trust itself: time it did not listen, and suspicions that nobody shares.

Decides nothing about others; every time-out in the core derives from here.
"""

from plankroute.membership.member_table import NEVER

# A wake-up later than that was slept through: twice a tick, several times the delay of a busy loop.
LATE_WAKE_US = 200_000
# After a pause: the datagrams that wait are read first, and acks to them arrive.
SETTLE_US = 200_000
# Within it others come to the same suspicion, if it is true. Below the probe time-out.
CONFIRMATION_WINDOW_US = 2_000_000
# Each suspicion that nobody shares stretches time-outs by a quarter, to twice at most.
MULTIPLIER_STEP = 0.25
MAX_MULTIPLIER_STEPS = 4


class PauseAwareClock:
    """A clock that stands still while the process did.

    Guards against a member that is stopped for two seconds and takes everybody for failed when it
    goes on: a pause of its own must not count as the silence of others.
    """

    def __init__(self) -> None:
        self.paused_us = 0
        self.due_us: int | None = None  # when this member last wanted to be woken

    def read(self, now_us: int) -> int:
        """Microseconds on this clock; steps back a little after a pause: what is due waits."""
        if self.due_us is not None:
            late_us = now_us - self.due_us
            if late_us > LATE_WAKE_US:
                self.paused_us += late_us + SETTLE_US
                self.due_us = now_us
        return now_us - self.paused_us


class LocalHealth:
    """Suspicions that this member raised, by index in the table, and whether others share them."""

    def __init__(self) -> None:
        self.suspicion_raised_us: dict[int, int] = {}
        self.suspect_last_heard_us = NEVER  # when a member that this one suspects was last heard

    def add_suspicion(self, index: int, now_us: int) -> None:
        """This member had no answer from that one for the whole time-out."""
        self.suspicion_raised_us.setdefault(index, now_us)

    def clear_suspicion(self, index: int) -> None:
        """It is answered, refuted or settled."""
        was_raised = self.suspicion_raised_us.pop(index, None) is not None
        if was_raised and not self.suspicion_raised_us:
            self.suspect_last_heard_us = NEVER

    def on_heard(self, index: int, now_us: int) -> None:
        """A message came from that member itself."""
        if index in self.suspicion_raised_us:
            self.suspect_last_heard_us = now_us

    def timeout_multiplier(self, confirmed: set[int], now_us: int) -> float:
        """1 to 2: how many times longer than usual this member waits before it suspects.

        Lifeguard's local health multiplier (Dadgar, Phillips and Currey 2017): a member whose
        suspicions nobody confirms is more likely slow, or cut off, itself.

        Args:
            confirmed: indexes that others suspect too.
            now_us: the time of the pause-aware clock.
        """
        unconfirmed = sum(
            1
            for index, suspicion_raised_us in self.suspicion_raised_us.items()
            if index not in confirmed and now_us - suspicion_raised_us > CONFIRMATION_WINDOW_US
        )
        return 1.0 + MULTIPLIER_STEP * min(MAX_MULTIPLIER_STEPS, unconfirmed)
