"""Handles received records: merges and disseminates them, and refutes those of this member."""

import msgspec

from plankroute.membership.departure import Departure
from plankroute.membership.detector import FailureDetector
from plankroute.membership.dissemination import Dissemination
from plankroute.membership.local_health import LocalHealth
from plankroute.membership.member_table import NEVER, OWN_INDEX, MemberTable
from plankroute.membership.messages import Gossip, Metric, StatusChange
from plankroute.membership.name_claim import ClaimOutcome, NameClaim
from plankroute.membership.outbox import Outbox
from plankroute.membership.records import MemberRecord, MemberState
from plankroute.membership.status import StatusTracker

METRIC_BY_OUTCOME = {
    ClaimOutcome.STALE_INSTANCE: Metric.DROPPED_STALE_INSTANCE,
    ClaimOutcome.REFUTED_SUSPICION: Metric.SUSPICIONS_REFUTED,
    ClaimOutcome.REFUTED_FAILURE: Metric.FAILURES_REFUTED,
    ClaimOutcome.CLAIMED: Metric.NAME_CLAIMED,
    ClaimOutcome.LOST: Metric.NAME_LOST,
    ClaimOutcome.INCARNATION_TOO_HIGH: Metric.DROPPED_INCARNATION_TOO_HIGH,
}


class RecordHandler:
    """Handles received records of other members and of this member itself.

    Attributes:
        last_heard_us: When a message of any other member last arrived.
    """

    def __init__(
        self,
        table: MemberTable,
        health: LocalHealth,
        status: StatusTracker,
        detector: FailureDetector,
        dissemination: Dissemination,
        departure: Departure,
        outbox: Outbox,
    ) -> None:
        self.table = table
        self.health = health
        self.status = status
        self.detector = detector
        self.dissemination = dissemination
        self.departure = departure
        self.outbox = outbox
        self.own_name = table.own_record().name
        self.name_claim = NameClaim(0)
        self.last_heard_us = NEVER

    def start(self, now_us: int) -> None:
        """Start the time in which this process may claim its name, and the time to isolation."""
        self.name_claim = NameClaim(now_us)
        self.last_heard_us = now_us

    def handle_message_records(
        self, sender: MemberRecord, gossip: tuple[MemberRecord, ...], now_us: int
    ) -> None:
        """Handle the records of a message; its sender counts as heard whatever its record says."""
        self.handle_records((sender, *gossip), now_us)
        if sender.name == self.own_name:
            return
        index = self.table.index_by_name.get(sender.name)
        if index is not None:
            self.last_heard_us = now_us
            self.health.on_heard(index, now_us)

    def handle_records(
        self, records: tuple[MemberRecord, ...], now_us: int, is_disseminated: bool = True
    ) -> None:
        """Handle received records of any members.

        Args:
            records: The records as received.
            now_us: The time of the pause-aware clock.
            is_disseminated: Whether changed records are disseminated. Those received by
                anti-entropy are not, since other members receive them by their own anti-entropy.
        """
        for record in records:
            if record.name == self.own_name:
                self.handle_own_record(record, now_us)
            else:
                self.handle_record(record, now_us, is_disseminated)

    def handle_record(
        self, record: MemberRecord, now_us: int, is_disseminated: bool = True
    ) -> None:
        """Merge the record of another member; on a change, update its status and disseminate it."""
        merged = self.table.merge(record, now_us)
        if merged is None:
            self.outbox.count(Metric.DROPPED_TABLE_FULL)
            return
        index, before, after = merged
        if before is None:
            self.status.on_added(index, after, now_us)
        elif after != before:
            self.on_changed(index, before, after, now_us)
        else:
            return
        if is_disseminated:
            self.dissemination.announce(after.name)

    def on_changed(
        self, index: int, before: MemberRecord, after: MemberRecord, now_us: int
    ) -> None:
        """Act on a change in the record of a member that was already known."""
        if after.precedence() != before.precedence():
            self.detector.cancel(index)
        self.status.on_changed(index, before, after, now_us)
        if index in self.status.contested:
            # Lets the member know that it was reported as failed, so that it can refute the report.
            self.outbox.send(after.address, Gossip((after,)))
        is_suspected = after.state is MemberState.SUSPECTED
        if is_suspected and before.state is not MemberState.SUSPECTED:
            self.detector.on_suspected(index, len(self.table.living))

    def handle_own_record(self, record: MemberRecord, now_us: int) -> None:
        """Handle a record of this member's own name: refute it, claim the name, or give it up."""
        own = self.table.own_record()
        if record == own or self.departure.is_leaving():
            return
        decision = self.name_claim.on_record(own, record, now_us)
        if decision.outcome is not ClaimOutcome.UNCHANGED:
            self.outbox.count(METRIC_BY_OUTCOME[decision.outcome])
        if decision.outcome is ClaimOutcome.LOST:
            self.departure.yield_name(record)
        elif decision.own != own:
            self.table.store(OWN_INDEX, decision.own)
            self.dissemination.announce(decision.own.name)
            if decision.own.conflicting_instance_id > own.conflicting_instance_id:
                self.outbox.notify(StatusChange.DUPLICATE_NAME, decision.own)
        if decision.outcome is ClaimOutcome.REFUTED_FAILURE:
            self.outbox.notify(StatusChange.REPORTED_FAILED, decision.own)

    def suspect(self, index: int, now_us: int) -> None:
        """Suspect a member that did not answer for the whole probe timeout."""
        record = self.table.record_at(index)
        if record.has_failed_or_left():
            return
        self.outbox.count(Metric.SUSPICIONS_RAISED)
        self.health.add_suspicion(index, now_us)
        suspicion = msgspec.structs.replace(
            record,
            state=MemberState.SUSPECTED,
            confirmed_by=(self.status.own_observer_id,),
        )
        self.handle_record(suspicion, now_us)
