"""Random numbers that are the same for the same seed and number of draws."""

import zlib


class SeededRandom:
    """A stream of random numbers, made of a seed and a counter.

    Attributes:
        seed: The seed.
        draws: How many numbers were drawn.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.draws = 0

    def draw(self) -> float:
        """The next number, from 0 to under 1."""
        self.draws += 1
        return zlib.crc32(f"{self.seed}:{self.draws}".encode()) / 2**32
