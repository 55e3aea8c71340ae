"""Reproducible random numbers: the seed and the number of draws determine the next one."""

import zlib


class SeededRandom:
    """A pseudo-random sequence. Each number is the CRC-32 of the seed and a counter.

    Attributes:
        seed: Seed of the sequence.
        draws: How many numbers were drawn so far.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.draws = 0

    def draw(self) -> float:
        """Returns the next number, at least 0 and less than 1."""
        self.draws += 1
        return zlib.crc32(f"{self.seed}:{self.draws}".encode()) / 2**32
