"""The failure detector: schedules direct and indirect pings and reports probes that time out.

It reports members that did not answer for the whole probe timeout. It does not decide on
suspicions; those are the task of `status` and `suspicion`.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from plankroute.membership.sampling import draw_below
from plankroute.seeded_random import SeededRandom
from plankroute.units import SECOND_US

# Between the pings of a probe, which makes 13 pings within the default timeout. In the membership
# benchmark with 30% datagram loss, 1 probe in 90,000 goes unanswered and 300 members send 1.3 KB/s
# each. At 350 ms 1 probe in 500 goes unanswered, and the suspicions and refutations that follow
# raise the traffic to 4 KB/s.
PING_INTERVAL_US = 200_000
# Members asked for an indirect ping with each ping of a probe older than `INDIRECT_PING_DELAY_US`;
# they are drawn at random each time.
INDIRECT_PINGS_PER_RETRY = 1
# Direct pings are sent alone first: they cost a quarter of indirect ones and are usually enough.
INDIRECT_PING_DELAY_US = 3 * PING_INTERVAL_US
# With fewer living members than this, each member probes every other one once per second.
SMALL_GROUP_SIZE = 6
# Expected number of members that probe a suspect as soon as they hear of the suspicion: twice
# `suspicion.MAX_CONFIRMATIONS_NEEDED`.
IMMEDIATE_PROBERS = 8
# Between pings of a suspect after its probe timed out. They continue because the suspect has to
# learn of the suspicion to refute it.
SUSPECT_PING_INTERVAL_US = 500_000


@dataclass(slots=True)
class Probe:
    """A probe of one member that has not been acknowledged.

    All pings of a probe carry the same sequence number, and an ack of any of them ends the probe.
    """

    index: int
    sequence_number: int
    started_us: int
    next_ping_us: int
    is_timed_out: bool = False  # pings continue, so that the suspect learns of the suspicion


@dataclass(frozen=True, slots=True)
class PingTask:
    """A ping to send to a member; `indirect_pings` others are asked to ping the member as well."""

    index: int
    sequence_number: int
    indirect_pings: int


@dataclass(slots=True)
class DueProbes:
    """What is due at a tick."""

    pings: list[PingTask] = field(default_factory=list)
    timed_out: list[int] = field(default_factory=list)  # indexes of members whose probe timed out


class FailureDetector:
    """Probes all members in turn, in an order that is shuffled for each round.

    As in SWIM (Das, Gupta and Motivala 2002), this bounds the time until a member is probed.
    """

    def __init__(self, probe_interval_us: int, probe_timeout_us: int, random: SeededRandom) -> None:
        self.probe_interval_us = probe_interval_us
        self.probe_timeout_us = probe_timeout_us
        self.random = random
        self.probe_order: list[int] = []  # rest of the current round; the next member is last
        self.probe_by_index: dict[int, Probe] = {}
        self.probe_by_sequence_number: dict[int, Probe] = {}
        self.next_probe_us = 0
        self.last_sequence_number = 0
        self.immediate_indexes: list[int] = []  # members to probe at the next tick

    def next_sequence_number(self) -> int:
        """Return a sequence number that no earlier ping of this member had."""
        self.last_sequence_number += 1
        return self.last_sequence_number

    def on_suspected(self, index: int, living_count: int) -> None:
        """Possibly schedule an immediate probe of a member that others suspect.

        Each member decides by a random draw of its own, so that about `IMMEDIATE_PROBERS` of the
        group probe the suspect. Without this, when half of a group has failed, a failure would be
        confirmed only after enough members reach the suspect in their probe order.
        """
        if index in self.probe_by_index:
            return
        if self.random.draw() * living_count < IMMEDIATE_PROBERS:
            self.immediate_indexes.append(index)

    def interval_us(self, living_count: int) -> int:
        """Return the microseconds between the starts of two probes."""
        if living_count >= SMALL_GROUP_SIZE:
            return self.probe_interval_us
        return max(self.probe_interval_us, SECOND_US // max(1, living_count))

    def due_probes(
        self, now_us: int, living: Collection[int], timeout_multiplier: float
    ) -> DueProbes:
        """Return the pings to send now and the members whose probe has just timed out.

        Args:
            now_us: The time of the pause-aware clock.
            living: Indexes of living members; probes of all others are cancelled.
            timeout_multiplier: Local health multiplier of the probe timeout.
        """
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
        """Add to `due` the timeout of the probe and its next ping, if they are due."""
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
        """Return the next living member in turn that is not being probed; None if all are."""
        for _ in range(2):
            while self.probe_order:
                index = self.probe_order.pop()
                if index in living and index not in self.probe_by_index:
                    return index
            self.probe_order = self.shuffle(sorted(living))
        return None

    def shuffle(self, indexes: list[int]) -> list[int]:
        """Shuffle the list in place (Fisher-Yates), and return it."""
        for last in range(len(indexes) - 1, 0, -1):
            other = draw_below(self.random, last + 1)
            indexes[last], indexes[other] = indexes[other], indexes[last]
        return indexes

    def start_probe(self, index: int, now_us: int) -> PingTask:
        """Start to probe a member, and return its first ping."""
        probe = Probe(index, self.next_sequence_number(), now_us, now_us + PING_INTERVAL_US)
        self.probe_by_index[index] = probe
        self.probe_by_sequence_number[probe.sequence_number] = probe
        return PingTask(index, probe.sequence_number, 0)

    def on_ack(self, sequence_number: int) -> int | None:
        """End the probe with that sequence number.

        Returns:
            The index of the probed member; None if no probe has that sequence number.
        """
        probe = self.probe_by_sequence_number.get(sequence_number)
        if probe is None:
            return None
        self.cancel(probe.index)
        return probe.index

    def cancel(self, index: int) -> None:
        """Cancel the probe of a member, if there is one."""
        probe = self.probe_by_index.pop(index, None)
        if probe:
            del self.probe_by_sequence_number[probe.sequence_number]
