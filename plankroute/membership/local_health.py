"""Corrects timeouts for faults of this member itself: pauses of its process and false suspicions.

All timeouts in the core are measured on this module's clock, and probe timeouts are scaled by its
multiplier. The module decides nothing about other members.
"""

from plankroute.membership.member_table import NEVER

# A wake-up that is later than this counts as a pause of the process. It is two ticks, and several
# times the delay that a busy event loop causes.
LATE_WAKE_US = 200_000
# Added to the length of a pause, so that queued datagrams are read, and acks arrive, before any
# timeout.
SETTLE_US = 200_000
# If a member has really failed, others suspect it as well within this time. It is shorter than the
# default probe timeout.
CONFIRMATION_WINDOW_US = 2_000_000
# Each unconfirmed suspicion lengthens the probe timeout by a quarter, up to twice its length.
MULTIPLIER_STEP = 0.25
MAX_MULTIPLIER_STEPS = 4


class PauseAwareClock:
    """A monotonic clock that excludes pauses of the process.

    Without it, a member whose process was stopped for two seconds would take the others for failed
    when it resumes, because it received no acks during its own pause.
    """

    def __init__(self) -> None:
        self.paused_us = 0
        self.due_us: int | None = None  # the wake-up time that was last requested

    def read(self, now_us: int) -> int:
        """Return the microseconds on this clock at the monotonic time `now_us`.

        After a pause the clock steps back by up to `SETTLE_US`, which postpones everything due.
        """
        if self.due_us is not None:
            late_us = now_us - self.due_us
            if late_us > LATE_WAKE_US:
                self.paused_us += late_us + SETTLE_US
                self.due_us = now_us
        return now_us - self.paused_us


class LocalHealth:
    """Tracks the suspicions that this member raised, to judge its own health.

    Attributes:
        suspicion_raised_us: By index in the table, when this member raised its suspicion.
        suspect_last_heard_us: When a member that this one suspects was last heard; `NEVER` if none
            was.
    """

    def __init__(self) -> None:
        self.suspicion_raised_us: dict[int, int] = {}
        self.suspect_last_heard_us = NEVER

    def add_suspicion(self, index: int, now_us: int) -> None:
        """Note that this member suspects the member at `index`, from the first call on."""
        self.suspicion_raised_us.setdefault(index, now_us)

    def clear_suspicion(self, index: int) -> None:
        """Forget this member's suspicion, since it was answered, refuted or decided."""
        was_raised = self.suspicion_raised_us.pop(index, None) is not None
        if was_raised and not self.suspicion_raised_us:
            self.suspect_last_heard_us = NEVER

    def on_heard(self, index: int, now_us: int) -> None:
        """Note that a message arrived from the member at `index` itself."""
        if index in self.suspicion_raised_us:
            self.suspect_last_heard_us = now_us

    def timeout_multiplier(self, confirmed: set[int], now_us: int) -> float:
        """Return the factor of the probe timeout, from 1 to 2.

        This is Lifeguard's local health multiplier (Dadgar, Phillips and Currey 2017): a member
        whose suspicions are not confirmed by others is more likely slow or cut off itself.

        Args:
            confirmed: Indexes of members that others suspect too.
            now_us: The time of the pause-aware clock.
        """
        unconfirmed = sum(
            1
            for index, suspicion_raised_us in self.suspicion_raised_us.items()
            if index not in confirmed and now_us - suspicion_raised_us > CONFIRMATION_WINDOW_US
        )
        return 1.0 + MULTIPLIER_STEP * min(MAX_MULTIPLIER_STEPS, unconfirmed)
