"""A token bucket: a budget that fills again with time. The caller tells the time."""

from plankroute.units import SECOND_US


class TokenBucket:
    """A budget of tokens; it starts full.

    Attributes:
        rate: Tokens that it regains a second.
        burst: The most tokens that it holds.
        tokens: Tokens in it at `refilled_us`, in fractions too.
        refilled_us: The latest clock that it was told, in microseconds.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_us = 0

    def refill(self, now_us: int) -> float:
        """Adds what was regained by now; returns the tokens. A clock that steps back adds none."""
        regained = self.rate * max(0, now_us - self.refilled_us) / SECOND_US
        self.tokens = min(self.burst, self.tokens + regained)
        self.refilled_us = max(now_us, self.refilled_us)
        return self.tokens

    def take(self, now_us: int, wanted: int = 1) -> int:
        """Takes as many tokens as wanted, or as there are; returns how many."""
        taken = min(wanted, int(self.refill(now_us)))
        self.tokens -= taken
        return taken

    def wait_us(self, now_us: int) -> int:
        """Returns the time in microseconds until a whole token is there; 0 if one is."""
        missing = 1.0 - self.refill(now_us)
        return 0 if missing <= 0 else int(missing / self.rate * SECOND_US) + 1
