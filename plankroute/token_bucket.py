"""A token bucket, which limits a rate but permits bursts. The caller passes in the time."""

from plankroute.units import SECOND_US


class TokenBucket:
    """A token bucket. It starts full.

    Attributes:
        rate: Tokens added per second.
        burst: Capacity in tokens.
        tokens: Tokens in the bucket at `refilled_us`; may be fractional.
        refilled_us: Latest time passed to any method, in microseconds.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_us = 0

    def refill(self, now_us: int) -> float:
        """Adds the tokens due by now, none if the clock went back, and returns the total."""
        refilled = self.rate * max(0, now_us - self.refilled_us) / SECOND_US
        self.tokens = min(self.burst, self.tokens + refilled)
        self.refilled_us = max(now_us, self.refilled_us)
        return self.tokens

    def take(self, now_us: int, wanted: int = 1) -> int:
        """Takes whole tokens, at most as many as wanted, and returns how many it took."""
        taken = min(wanted, int(self.refill(now_us)))
        self.tokens -= taken
        return taken

    def wait_us(self, now_us: int) -> int:
        """Returns the time in microseconds until a whole token is available, or 0 if one is."""
        missing = 1.0 - self.refill(now_us)
        return 0 if missing <= 0 else int(missing / self.rate * SECOND_US) + 1
