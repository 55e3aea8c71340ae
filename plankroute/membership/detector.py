"""The failure detector: whom to ping, when to ping again or by another way, and who stays silent.

Knows nothing of suspicions by others: it says who did not answer for the whole probe time-out.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from plankroute.membership.sampling import draw_below
from plankroute.seeded_random import SeededRandom
from plankroute.units import SECOND_US

# Between the pings of a probe: thirteen in the usual time-out. With 30% of datagrams lost one probe
# in 90,000 then goes unanswered, and 300 members send 1.3 KB/s each; at 350 ms it is one in 500,
# and the suspicions and refutations that follow make it 4 KB/s (membership benchmark).
PING_INTERVAL_US = 200_000
# Members asked for an indirect ping at each retry from then on; another one each time.
INDIRECT_PINGS_PER_RETRY = 1
# Direct pings come first: they cost a quarter, and most often do.
INDIRECT_PING_DELAY_US = 3 * PING_INTERVAL_US
# Below that many living members each is probed once a second by each other one.
SMALL_GROUP_SIZE = 6
# Members, of all, that probe a suspect at once when they hear of it: twice the confirmations that
# always suffice.
IMMEDIATE_PROBERS = 8
# Between pings of a suspect: it has to hear of the suspicion.
SUSPECT_PING_INTERVAL_US = 500_000


@dataclass(slots=True)
class Probe:
    """A member that is to answer.

    All its pings bear the same sequence number, and one ack to any of them ends the probe.
    """

    index: int
    sequence_number: int
    started_us: int
    next_ping_us: int
    is_timed_out: bool = False  # pings go on, so that the suspect hears of the suspicion


@dataclass(frozen=True, slots=True)
class PingTask:
    """Ping that member; `indirect_pings`: how many others are asked to ping it as well."""

    index: int
    sequence_number: int
    indirect_pings: int


@dataclass(slots=True)
class DueProbes:
    """What one look at the clock brings."""

    pings: list[PingTask] = field(default_factory=list)
    timed_out: list[int] = field(default_factory=list)  # indexes of silent members


class FailureDetector:
    """Probes each member in turn, in an order that is drawn anew each round.

    As in SWIM (Das, Gupta and Motivala 2002) this bounds the time until a member is probed.
    """

    def __init__(self, probe_interval_us: int, probe_timeout_us: int, random: SeededRandom) -> None:
        self.probe_interval_us = probe_interval_us
        self.probe_timeout_us = probe_timeout_us
        self.random = random
        self.probe_order: list[int] = []  # of the round that is under way, the next one last
        self.probe_by_index: dict[int, Probe] = {}
        self.probe_by_sequence_number: dict[int, Probe] = {}
        self.next_probe_us = 0
        self.last_sequence_number = 0
        self.immediate_indexes: list[int] = []  # to be probed at once

    def next_sequence_number(self) -> int:
        """A number that no earlier ping of this member had."""
        self.last_sequence_number += 1
        return self.last_sequence_number

    def on_suspected(self, index: int, living_count: int) -> None:
        """Others suspect that member: a few probe it at once, drawn by each alone.

        Guards against a failure that waits for chance to bring its observers round, where half of a
        group is gone.
        """
        if index in self.probe_by_index:
            return
        if self.random.draw() * living_count < IMMEDIATE_PROBERS:
            self.immediate_indexes.append(index)

    def interval_us(self, living_count: int) -> int:
        """Between two probes."""
        if living_count >= SMALL_GROUP_SIZE:
            return self.probe_interval_us
        return max(self.probe_interval_us, SECOND_US // max(1, living_count))

    def due_probes(
        self, now_us: int, living: Collection[int], timeout_multiplier: float
    ) -> DueProbes:
        """Pings to send now, and members whose probe has just timed out."""
        for index in [index for index in self.probe_by_index if index not in living]:
            self.cancel(index)
        due = DueProbes()
        for probe in self.probe_by_index.values():
            self.continue_probe(probe, now_us, timeout_multiplier, due)
        for index in dict.fromkeys(self.immediate_indexes):
            if index in living and index not in self.probe_by_index:
                due.pings.append(self.start_probe(index, now_us))
        self.immediate_indexes.clear()
        if now_us >= self.next_probe_us and living:
            self.next_probe_us = max(now_us, self.next_probe_us + self.interval_us(len(living)))
            next_index = self.next_in_round(living)
            if next_index is not None:
                due.pings.append(self.start_probe(next_index, now_us))
        return due

    def continue_probe(
        self, probe: Probe, now_us: int, timeout_multiplier: float, due: DueProbes
    ) -> None:
        """Time out a probe, or ping again, as far as either is due."""
        age_us = now_us - probe.started_us
        if not probe.is_timed_out and age_us >= self.probe_timeout_us * timeout_multiplier:
            probe.is_timed_out = True
            due.timed_out.append(probe.index)
        if now_us < probe.next_ping_us:
            return
        ping_interval_us = SUSPECT_PING_INTERVAL_US if probe.is_timed_out else PING_INTERVAL_US
        probe.next_ping_us = now_us + ping_interval_us
        is_indirect = not probe.is_timed_out and age_us >= INDIRECT_PING_DELAY_US
        indirect_pings = INDIRECT_PINGS_PER_RETRY if is_indirect else 0
        due.pings.append(PingTask(probe.index, probe.sequence_number, indirect_pings))

    def next_in_round(self, living: Collection[int]) -> int | None:
        """The next in turn that is living and not being probed already."""
        for _ in range(2):
            while self.probe_order:
                index = self.probe_order.pop()
                if index in living and index not in self.probe_by_index:
                    return index
            self.probe_order = self.shuffled(sorted(living))
        return None

    def shuffled(self, indexes: list[int]) -> list[int]:
        """The list itself, shuffled in place (Fisher and Yates)."""
        for last in range(len(indexes) - 1, 0, -1):
            other = draw_below(self.random, last + 1)
            indexes[last], indexes[other] = indexes[other], indexes[last]
        return indexes

    def start_probe(self, index: int, now_us: int) -> PingTask:
        """Begin to probe a member; its first ping."""
        probe = Probe(index, self.next_sequence_number(), now_us, now_us + PING_INTERVAL_US)
        self.probe_by_index[index] = probe
        self.probe_by_sequence_number[probe.sequence_number] = probe
        return PingTask(index, probe.sequence_number, 0)

    def on_ack(self, sequence_number: int) -> int | None:
        """The index of the member that answered; None where no probe has that number."""
        probe = self.probe_by_sequence_number.get(sequence_number)
        if probe is None:
            return None
        self.cancel(probe.index)
        return probe.index

    def cancel(self, index: int) -> None:
        """End the probe of a member, if there is one."""
        probe = self.probe_by_index.pop(index, None)
        if probe:
            del self.probe_by_sequence_number[probe.sequence_number]
