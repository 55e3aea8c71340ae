"""Pings seeds and failed members periodically, so that separated members find each other again."""

from plankroute.membership.facts import MemberFacts
from plankroute.membership.member_table import OWN_INDEX, MemberTable
from plankroute.membership.ping_handler import UNTRACKED_SEQUENCE_NUMBER, PingHandler
from plankroute.membership.sampling import draw_below
from plankroute.seeded_random import SeededRandom

# Between pings to a seed or to a failed member. Because of them a partition heals without an
# operator.
RECONNECT_INTERVAL_US = 1_000_000
SEED_PING_SHARE = 0.3  # of these pings that go to seeds if there are failed members too


class Reconnector:
    """Pings seeds that are not living and members that failed, one per interval.

    Without it, a partition would never heal, and a member that starts before all seeds would stay
    alone.

    Attributes:
        last_index_by_seed: By seed address, the index of the living member that last had it;
            `OWN_INDEX` if none had.
    """

    def __init__(
        self,
        facts: MemberFacts,
        table: MemberTable,
        ping_handler: PingHandler,
        random: SeededRandom,
    ) -> None:
        self.own_address = facts.address
        self.seeds = facts.seeds
        self.table = table
        self.ping_handler = ping_handler
        self.random = random
        self.next_ping_us = 0
        self.last_index_by_seed: dict[str, int] = {}

    def change_seeds(self, seeds: tuple[str, ...], now_us: int) -> None:
        """Replace the list of seeds; the next ping is due at once."""
        self.seeds = seeds
        self.next_ping_us = now_us

    def on_tick(self, now_us: int) -> None:
        """If a ping is due, ping one seed that is not living or one failed member, at random."""
        if now_us < self.next_ping_us:
            return
        self.next_ping_us = now_us + RECONNECT_INTERVAL_US
        seeds = [seed for seed in self.seeds if not self.is_living_seed(seed)]
        failed = sorted(self.table.failed)
        if seeds and (not failed or self.random.draw() < SEED_PING_SHARE):
            seed = seeds[draw_below(self.random, len(seeds))]
            self.ping_handler.send_ping(seed, UNTRACKED_SEQUENCE_NUMBER)
        elif failed:
            record = self.table.record_at(failed[draw_below(self.random, len(failed))])
            self.ping_handler.send_ping(record.address, UNTRACKED_SEQUENCE_NUMBER, record)

    def is_living_seed(self, seed: str) -> bool:
        """Return whether this member or a living one has that address.

        The member that last had the address is checked first, because a search goes through all
        living members.
        """
        if seed == self.own_address:
            return True
        known = self.last_index_by_seed.get(seed, OWN_INDEX)
        if known in self.table.living and self.table.record_at(known).address == seed:
            return True
        found = next(
            (index for index in self.table.living if self.table.record_at(index).address == seed),
            None,
        )
        self.last_index_by_seed[seed] = OWN_INDEX if found is None else found
        return found is not None
