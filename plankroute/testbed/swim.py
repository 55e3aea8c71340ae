"""SWIM, and SWIM with Lifeguard, as baselines for comparison.

Implements the published papers (Das, Gupta, Motivala 2002; Dadgar, Phillips, Currey 2018) on the
records and messages of `membership`. A core knows all members from the start. Only the measurements
use this module.
"""

import math
from dataclasses import dataclass

import msgspec

from plankroute.membership.gossip import GossipQueue
from plankroute.membership.member_table import MemberTable, observer_id
from plankroute.membership.messages import (
    Ack,
    Command,
    Event,
    IndirectAck,
    IndirectPingRequest,
    Message,
    MessageReceived,
    NotifyStatus,
    Ping,
    SendMessage,
    StatusChange,
    WakeAt,
)
from plankroute.membership.records import MemberRecord, MemberState
from plankroute.seeded_random import SeededRandom
from plankroute.testbed.faults import SECOND
from plankroute.testbed.simulated_members import (
    CODEC,
    START_WALL_CLOCK_US,
    name_of,
    records_of,
)

TICK_US = 100_000
PROTOCOL_PERIOD_US = SECOND  # SWIM's usual value
ACK_TIMEOUT_US = SECOND // 2  # SWIM's usual value
INDIRECT_PINGS = 3  # SWIM's usual value
SUSPICION_US = 3 * SECOND  # makes a kill known about as fast as plankroute's detector does
MAX_SUSPICION_MULTIPLIER = 6  # Lifeguard's usual value: for the timeout without confirmations
CONFIRMATIONS = 3  # Lifeguard's usual value: with this many, the timeout is shortest
MAX_LOCAL_HEALTH = 8  # Lifeguard's usual value
GOSSIP_BYTES = 800  # room for gossip in a datagram


@dataclass(slots=True)
class Probe:
    """The probe of one protocol period.

    Attributes:
        target: Index of the member that is probed.
        sequence_number: Sequence number of the ping.
        began_us: Start of the period.
        is_acknowledged: Whether an ack has arrived, direct or indirect.
        is_indirect: Whether other members have been asked to ping the target.
    """

    target: int
    sequence_number: int
    began_us: int
    is_acknowledged: bool = False
    is_indirect: bool = False


@dataclass(frozen=True, slots=True)
class IndirectPing:
    """A ping that was sent on behalf of another member.

    Attributes:
        requester_address: Address of the member that asked for the ping.
        requester_sequence_number: The sequence number of that member's request.
    """

    requester_address: str
    requester_sequence_number: int


class Swim:
    """A SWIM core: one probe each protocol period, indirect pings, and suspicion before failure.

    With Lifeguard, a member that misses acks lengthens its own timeouts (local health multiplier),
    the timeout of a suspicion shrinks with each confirmation, and a ping to a suspected member
    carries the suspicion, so that this member can refute the suspicion soon.
    """

    def __init__(
        self, member: int, members: int, process_number: int, seed: int, lifeguard: bool
    ) -> None:
        records = records_of(members)
        own_record = msgspec.structs.replace(
            records[member],
            instance_id=process_number,
            incarnation=START_WALL_CLOCK_US + process_number - 1,
        )
        self.table = MemberTable(own_record)
        for record in records[:member] + records[member + 1 :]:
            self.table.merge(record, 0)
        self.has_lifeguard = lifeguard
        self.random = SeededRandom(seed * 7919 + member)
        self.gossip = GossipQueue()
        self.own_id = observer_id(name_of(member))
        self.probe_order: list[int] = []
        self.probe: Probe | None = None
        self.last_sequence_number = 0
        self.local_health = 0
        self.next_tick_us = 0
        self.indirect_pings: dict[int, IndirectPing] = {}
        self.suspected_since_us: dict[int, int] = {}
        self.commands: list[Command] = []

    def deliver(self, now_us: int, events: list[Event]) -> list[Command]:
        """Handles events at that time; returns the resulting commands."""
        for event in events:
            if isinstance(event, MessageReceived):
                self.receive(event.source, event.message, now_us)
        if now_us >= self.next_tick_us:
            self.next_tick_us = now_us + TICK_US
            self.tick(now_us)
        commands = [*self.commands, WakeAt(self.next_tick_us)]
        self.commands = []
        return commands

    def send(self, address: str, message: Message) -> None:
        """Adds a command that sends a message as a datagram."""
        self.commands.append(SendMessage(address, message))

    def take_gossip(self, first: MemberRecord | None = None) -> tuple[MemberRecord, ...]:
        """Returns the records to add to a datagram, after `first` if it is given."""
        records = self.gossip.take(
            len(self.table),
            GOSSIP_BYTES,
            lambda name: self.table.record_at(self.table.index_by_name[name]),
            CODEC.record_size,
        )
        return (first, *records) if first else tuple(records)

    # Messages

    def receive(self, source: str, message: Message, now_us: int) -> None:
        """Handles a received message, and answers it where the protocol asks for an answer."""
        match message:
            case Ping():
                self.merge_all((message.sender, *message.gossip), now_us)
                ack = Ack(message.sequence_number, self.table.own_record(), self.take_gossip())
                self.send(source, ack)
            case Ack():
                self.merge_all((message.sender, *message.gossip), now_us)
                self.forward_ack(message)
                self.acknowledge(message.sequence_number)
            case IndirectPingRequest():
                self.merge_all((message.sender, *message.gossip), now_us)
                self.last_sequence_number += 1
                self.indirect_pings[self.last_sequence_number] = IndirectPing(
                    source, message.sequence_number
                )
                ping = Ping(
                    self.last_sequence_number, 0, self.table.own_record(), self.take_gossip()
                )
                self.send(message.target_address, ping)
            case IndirectAck():
                self.merge_all((message.target, *message.gossip), now_us)
                self.acknowledge(message.sequence_number)

    def forward_ack(self, ack: Ack) -> None:
        """Forwards the ack of an indirect ping to the member that asked for the ping."""
        indirect_ping = self.indirect_pings.pop(ack.sequence_number, None)
        if indirect_ping:
            self.send(
                indirect_ping.requester_address,
                IndirectAck(
                    indirect_ping.requester_sequence_number, ack.sender, self.take_gossip()
                ),
            )

    def acknowledge(self, sequence_number: int) -> None:
        """Records an ack of the current probe; the first one lowers the local health score."""
        if (
            self.probe
            and self.probe.sequence_number == sequence_number
            and not self.probe.is_acknowledged
        ):
            self.probe.is_acknowledged = True
            self.local_health = max(0, self.local_health - 1)

    def ping(self, target: int, sequence_number: int) -> None:
        """Pings a member; with Lifeguard, the ping tells a suspected member of its suspicion."""
        record = self.table.record_at(target)
        tells_suspicion = self.has_lifeguard and record.state is not MemberState.ALIVE
        gossip = self.take_gossip(record if tells_suspicion else None)
        self.send(record.address, Ping(sequence_number, 0, self.table.own_record(), gossip))

    # Records

    def merge_all(self, records: tuple[MemberRecord, ...], now_us: int) -> None:
        """Merges received records; a suspicion or failure of this member itself is refuted."""
        for record in records:
            if record.name == self.table.own_record().name:
                self.refute(record)
            else:
                self.merge(record, now_us)

    def refute(self, record: MemberRecord) -> None:
        """Answers a suspicion or failure of this member with a higher incarnation.

        A record that is alive or has an older incarnation needs no answer.
        """
        own = self.table.own_record()
        if record.state is MemberState.ALIVE or record.incarnation < own.incarnation:
            return
        self.raise_local_health()
        refutation = msgspec.structs.replace(own, incarnation=record.incarnation + 1)
        self.table.store(0, refutation)
        self.gossip.add(own.name)

    def raise_local_health(self) -> None:
        """Raises the local health score, since this member itself appears to be slow."""
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)

    def merge(self, record: MemberRecord, now_us: int) -> None:
        """Merges a record of another member; gossips a change, and reports failure and recovery."""
        merged = self.table.merge(record, now_us)
        if merged is None:
            return
        index, before, after = merged
        if before == after:
            return
        self.gossip.add(after.name)
        has_failed = self.table.notified_states[index] is MemberState.FAILED
        match after.state:
            case MemberState.SUSPECTED:
                self.suspected_since_us.setdefault(index, now_us)
            case MemberState.ALIVE:
                self.suspected_since_us.pop(index, None)
                if has_failed:
                    self.report(index, StatusChange.RECOVERED, MemberState.ALIVE, now_us)
            case MemberState.FAILED if not has_failed:
                self.suspected_since_us.pop(index, None)
                self.report(index, StatusChange.FAILED, MemberState.FAILED, now_us)

    def report(self, index: int, change: StatusChange, state: MemberState, now_us: int) -> None:
        """Adds a command that reports a change of a member's status."""
        self.table.set_notified_state(index, state, now_us)
        self.commands.append(NotifyStatus(change, self.table.record_at(index)))

    # Time

    def tick(self, now_us: int) -> None:
        """Handles timeouts of the current probe and of suspicions, and begins the next probe."""
        multiplier = 1 + self.local_health if self.has_lifeguard else 1
        probe = self.probe
        if probe and not probe.is_acknowledged and not probe.is_indirect:
            waited_us = now_us - probe.began_us
            if waited_us >= ACK_TIMEOUT_US * multiplier:
                self.ping_indirectly(probe)
        if probe is None or now_us - probe.began_us >= PROTOCOL_PERIOD_US * multiplier:
            if probe and not probe.is_acknowledged:
                self.suspect(probe.target, now_us)
            self.begin_probe(now_us)
        for index, since_us in list(self.suspected_since_us.items()):
            if now_us - since_us >= self.suspicion_timeout_us(index):
                self.declare_failed(index, now_us)

    def ping_indirectly(self, probe: Probe) -> None:
        """Asks other members to ping the target of the probe."""
        probe.is_indirect = True
        target = self.table.record_at(probe.target).address
        for helper in self.draw_living(INDIRECT_PINGS, probe.target):
            request = IndirectPingRequest(
                probe.sequence_number, target, self.table.own_record(), self.take_gossip()
            )
            self.send(self.table.record_at(helper).address, request)

    def declare_failed(self, index: int, now_us: int) -> None:
        """Declares a member failed whose suspicion timed out, and reports it."""
        del self.suspected_since_us[index]
        failed = msgspec.structs.replace(
            self.table.record_at(index), state=MemberState.FAILED, confirmed_by=()
        )
        self.table.store(index, failed)
        self.gossip.add(failed.name)
        self.report(index, StatusChange.FAILED, MemberState.FAILED, now_us)

    def suspicion_timeout_us(self, index: int) -> float:
        """Returns how long a suspicion lasts; with Lifeguard it shrinks with each confirmation."""
        if not self.has_lifeguard:
            return SUSPICION_US
        confirmed = max(0, len(self.table.record_at(index).confirmed_by) - 1)
        longest_us = MAX_SUSPICION_MULTIPLIER * SUSPICION_US
        shrunk = math.log(confirmed + 1) / math.log(CONFIRMATIONS + 1)
        return max(SUSPICION_US, longest_us - (longest_us - SUSPICION_US) * shrunk)

    def suspect(self, index: int, now_us: int) -> None:
        """Suspects a member that did not answer a probe, unless it has failed or left."""
        self.raise_local_health()
        record = self.table.record_at(index)
        if record.has_failed_or_left():
            return
        suspicion = msgspec.structs.replace(
            record, state=MemberState.SUSPECTED, confirmed_by=(self.own_id,)
        )
        self.merge(suspicion, now_us)

    def begin_probe(self, now_us: int) -> None:
        """Probes the next living member in a random order, which is redrawn once it is used up.

        Members that failed since the draw are skipped. If none is left in the order, this period
        has no probe.
        """
        living = self.table.living_indexes()
        if not self.probe_order:
            self.probe_order = sorted(living, key=lambda _: self.random.draw())
        self.last_sequence_number += 1
        self.probe = None
        while self.probe_order:
            target = self.probe_order.pop()
            if target in self.table.living:
                self.probe = Probe(target, self.last_sequence_number, now_us)
                self.ping(target, self.last_sequence_number)
                return

    def draw_living(self, count: int, excluded: int) -> list[int]:
        """Draws up to `count` living members, without the excluded one."""
        living = [index for index in self.table.living_indexes() if index != excluded]
        drawn: list[int] = []
        for _ in range(min(count, len(living))):
            drawn.append(living.pop(int(self.random.draw() * len(living))))
        return drawn
