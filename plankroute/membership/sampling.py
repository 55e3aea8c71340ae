"""Random choice of members: all draws of the core go through one seeded counter."""

from plankroute.membership.member_table import OWN_INDEX, MemberTable
from plankroute.seeded_random import SeededRandom

# Draws for each member wanted: three quarters of the group may be suspected.
DRAWS_PER_MEMBER = 4


def draw_below(random: SeededRandom, limit: int) -> int:
    """An integer from 0 to below the limit."""
    return int(random.draw() * limit)


class MemberSampler:
    """Draws living members of a table."""

    def __init__(self, table: MemberTable, random: SeededRandom) -> None:
        self.table = table
        self.random = random

    def sample(self, count: int, excluded: int = OWN_INDEX) -> list[int]:
        """Indexes of different living members that nobody suspects, without the excluded one.

        Fewer where there are no more, or the draws hit too many that do not count. Suspected ones
        are taken too where all living members are wanted.
        """
        living = self.table.living_indexes()
        if count >= len(living):
            return [index for index in living if index != excluded]
        chosen = list[int]()
        for _ in range(DRAWS_PER_MEMBER * count):
            index = living[draw_below(self.random, len(living))]
            if index == excluded or index in chosen or index in self.table.suspected:
                continue
            chosen.append(index)
            if len(chosen) == count:
                break
        return chosen
