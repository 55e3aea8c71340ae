"""Random numbers that are the same for the same seed and number of draws, in any process."""

import zlib


class SeededRandom:
    """A stream of random numbers: the checksum of the seed and a counter.

    Attributes:
        seed: The seed.
        draws: How many numbers were drawn.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.draws = 0

    def draw(self) -> float:
        """Returns the next number, from 0 to under 1."""
        self.draws += 1
        return zlib.crc32(f"{self.seed}:{self.draws}".encode()) / 2**32
