"""Random choice of members; all draws of the core come from one seeded generator."""

from plankroute.membership.member_table import OWN_INDEX, MemberTable
from plankroute.seeded_random import SeededRandom

# Draws per member wanted. With 4, the draws find enough members on average even if three quarters
# of the group are suspected.
DRAWS_PER_MEMBER = 4


def draw_below(random: SeededRandom, limit: int) -> int:
    """Return a random integer from 0 to `limit` - 1."""
    return int(random.draw() * limit)


class MemberSampler:
    """Draws random living members of a table."""

    def __init__(self, table: MemberTable, random: SeededRandom) -> None:
        self.table = table
        self.random = random

    def sample(self, count: int, excluded: int = OWN_INDEX) -> list[int]:
        """Return the indexes of random living members that are not suspected.

        Args:
            count: How many members are wanted.
            excluded: Index of a member that is never chosen.

        Returns:
            Distinct indexes; fewer than `count` if the limited number of draws finds no more. If
            `count` is at least the number of living members, all of them but the excluded one,
            including suspected ones.
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
