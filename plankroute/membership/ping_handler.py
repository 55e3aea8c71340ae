"""Sends the pings that the failure detector schedules, and answers or relays those of others."""

from plankroute.membership.anti_entropy import AntiEntropy
from plankroute.membership.detector import FailureDetector, PingTask
from plankroute.membership.dissemination import Dissemination
from plankroute.membership.local_health import LocalHealth
from plankroute.membership.member_table import MemberTable
from plankroute.membership.messages import Ack, IndirectAck, IndirectPingRequest, Ping
from plankroute.membership.outbox import Outbox
from plankroute.membership.records import MemberRecord, MemberState
from plankroute.membership.sampling import MemberSampler

# Limit of the indirect pings in progress for others. It is more than all members of a large group
# request from one member within a probe timeout.
MAX_RELAYED_PINGS = 256
UNTRACKED_SEQUENCE_NUMBER = 0  # of pings that belong to no probe


class PingHandler:
    """Sends pings, and answers and relays those of others.

    Attributes:
        relayed_pings: By own sequence number of a ping sent for another member, the address of that
            member and its request.
    """

    def __init__(
        self,
        table: MemberTable,
        health: LocalHealth,
        detector: FailureDetector,
        sampler: MemberSampler,
        dissemination: Dissemination,
        anti_entropy: AntiEntropy,
        outbox: Outbox,
    ) -> None:
        self.table = table
        self.health = health
        self.detector = detector
        self.sampler = sampler
        self.dissemination = dissemination
        self.anti_entropy = anti_entropy
        self.outbox = outbox
        self.relayed_pings: dict[int, tuple[str, IndirectPingRequest]] = {}

    def on_ping(self, source: str, ping: Ping, now_us: int) -> None:
        """Answer a ping with an ack, including the bucket sums if the tables differ."""
        bucket_sums = self.anti_entropy.bucket_sums_for(ping.table_digest, now_us)
        correction = self.correction_for(ping.sender)
        gossip = self.dissemination.piggyback(correction, len(bucket_sums))
        ack = Ack(ping.sequence_number, self.table.own_record(), gossip, bucket_sums)
        self.outbox.send(source, ack)

    def correction_for(self, sender: MemberRecord) -> MemberRecord | None:
        """Return the known record of the sender if it differs from the one it sent, else None."""
        known = self.table.record_of(sender.name)
        return None if known == sender else known

    def on_ack(self, source: str, ack: Ack) -> None:
        """Relay an ack whose ping was sent for another member, end its probe, compare tables."""
        relayed_ping = self.relayed_pings.pop(ack.sequence_number, None)
        if relayed_ping is not None:
            requester, request = relayed_ping
            gossip = self.dissemination.piggyback()
            indirect = IndirectAck(request.sequence_number, ack.sender, gossip)
            self.outbox.send(requester, indirect)
        self.end_probe(ack.sequence_number)
        self.anti_entropy.on_bucket_sums(source, ack.bucket_sums)

    def on_indirect_ack(self, ack: IndirectAck) -> None:
        """End the probe that a relayed ack answers."""
        self.end_probe(ack.sequence_number)

    def end_probe(self, sequence_number: int) -> None:
        """End the probe with that sequence number, and forget this member's own suspicion.

        The record stays unchanged: a suspected member has to refute the suspicion itself.
        """
        index = self.detector.on_ack(sequence_number)
        if index is not None:
            self.health.clear_suspicion(index)

    def on_indirect_ping_request(self, source: str, request: IndirectPingRequest) -> None:
        """Ping the target for another member, to relay the target's ack.

        If too many relayed pings are in progress, the oldest one is dropped.
        """
        sequence_number = self.detector.next_sequence_number()
        if len(self.relayed_pings) >= MAX_RELAYED_PINGS:
            del self.relayed_pings[next(iter(self.relayed_pings))]
        self.relayed_pings[sequence_number] = source, request
        self.send_ping(request.target_address, sequence_number)

    def send_ping(
        self, address: str, sequence_number: int, priority_record: MemberRecord | None = None
    ) -> None:
        """Send a ping; `priority_record` is a record that the target has to know, if any."""
        gossip = self.dissemination.piggyback(priority_record)
        ping = Ping(sequence_number, self.table.digest(), self.table.own_record(), gossip)
        self.outbox.send(address, ping)

    def carry_out(self, task: PingTask) -> None:
        """Send the pings of a task. The direct ping tells a suspect of the suspicion."""
        record = self.table.record_at(task.index)
        priority_record = None if record.state is MemberState.ALIVE else record
        self.send_ping(record.address, task.sequence_number, priority_record)
        for index in self.sampler.sample(task.indirect_pings, task.index):
            gossip = self.dissemination.piggyback(reserved_bytes=len(record.address))
            request = IndirectPingRequest(
                task.sequence_number, record.address, self.table.own_record(), gossip
            )
            self.outbox.send(self.table.record_at(index).address, request)
