"""A budget that fills again with time; bookkeeping alone."""

SECOND_US = 1_000_000


class TokenBucket:
    """`rate` a second, `burst` at most."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self.left, self.read_us = burst, 0

    def read(self, now_us: int) -> float:
        """A clock that steps back adds nothing."""
        self.left = min(
            self.burst, self.left + self.rate * max(0, now_us - self.read_us) / SECOND_US
        )
        self.read_us = max(now_us, self.read_us)
        return self.left

    def take(self, now_us: int, wanted: int = 1) -> int:
        """As many of those wanted as there are."""
        got = min(wanted, int(self.read(now_us)))
        self.left -= got
        return got

    def wait_us(self, now_us: int) -> int:
        """Until one is there."""
        missing = 1.0 - self.read(now_us)
        return 0 if missing <= 0 else int(missing / self.rate * SECOND_US) + 1
