"""How far this member may trust itself: time it did not listen, complaints that nobody shares, deaf ears.

Decides nothing about others; every time-out in the core derives from here."""

from plankroute.membership.member_table import NEVER

LATE_WAKE_US = 200_000  # a wake later than that was slept through: twice a beat, some times a busy loop's delay
SETTLE_US = 200_000  # after it: the datagrams that wait are read first, and answers to them come
SHARE_US = 2_000_000  # within it others come to the same complaint, if it is true
LONELY_STEP, LONELY_MOST = (
    0.25,
    4,
)  # each lonely complaint stretches time-outs by a quarter, to twice at most


class PauseAwareClock:
    """A clock that stands still while the process did: a pause of its own must not count as others' silence.

    Guards against a member that is stopped for two seconds and takes everybody for gone when it goes on.
    """

    def __init__(self) -> None:
        self.slept_us = 0
        self.due_us: int | None = None  # when this member last wanted to be woken

    def read(self, now_us: int) -> int:
        """Microseconds on this clock; steps back a little after each pause, which delays what is due."""
        if self.due_us is not None and (late := now_us - self.due_us) > LATE_WAKE_US:
            self.slept_us += late + SETTLE_US
            self.due_us = now_us
        return now_us - self.slept_us


class LocalHealth:
    """Complaints of this member by place, and whether others share them."""

    def __init__(self) -> None:
        self.raised_us: dict[int, int] = {}
        self.accused_spoke_us = NEVER  # the last word from one that this member complains of

    def raise_against(self, place: int, now_us: int) -> None:
        self.raised_us.setdefault(place, now_us)

    def drop(self, place: int) -> None:
        """It is answered, denied or settled."""
        if self.raised_us.pop(place, None) is not None and not self.raised_us:
            self.accused_spoke_us = NEVER

    def hear(self, place: int, now_us: int) -> None:
        if place in self.raised_us:
            self.accused_spoke_us = now_us

    def slowness(self, shared: set[int], now_us: int) -> float:
        """1 to 2: how many times longer than usual this member has to wait before it complains.

        Lifeguard's self-doubt, after Dadgar, Phillips and Currey 2017: who complains and is not joined by
        others is more likely slow, or cut off, itself.
        """
        lonely = sum(
            1
            for place, raised in self.raised_us.items()
            if place not in shared and now_us - raised > SHARE_US
        )
        return 1.0 + LONELY_STEP * min(LONELY_MOST, lonely)
