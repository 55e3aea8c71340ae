"""Decides what the program is notified of, and when a suspicion becomes a failure.

The decisions use only what is in the table. This module sends no messages.
"""

import msgspec

from plankroute.membership import suspicion
from plankroute.membership.local_health import LocalHealth
from plankroute.membership.member_table import MemberTable, observer_id
from plankroute.membership.messages import NotifyStatus, StatusChange
from plankroute.membership.records import MemberRecord, MemberState


class StatusTracker:
    """Turns changes of records into notifications of the program.

    Attributes:
        own_observer_id: This member's id in confirmations.
        contested: Indexes of members with a contested failure: others report the failure, but no
            suspicion was known here before.
        notifications: Notifications collected in the current step.
    """

    def __init__(self, table: MemberTable, health: LocalHealth, probe_timeout_us: int) -> None:
        self.table = table
        self.health = health
        self.probe_timeout_us = probe_timeout_us
        self.own_observer_id = observer_id(table.own_record().name)
        self.contested = set[int]()
        self.notifications: list[NotifyStatus] = []

    def drain(self) -> list[NotifyStatus]:
        """Return the notifications since the last call, and clear them."""
        notifications = self.notifications
        self.notifications = []
        return notifications

    def on_added(self, index: int, record: MemberRecord, now_us: int) -> None:
        """Handle a new name. If the member has already failed or left, nothing is notified."""
        if not record.has_failed_or_left():
            self.notify(index, StatusChange.JOINED, MemberState.ALIVE, now_us)
            self.on_changed(index, record, record, now_us)

    def on_changed(
        self, index: int, before: MemberRecord, after: MemberRecord, now_us: int
    ) -> None:
        """Handle a change of a member's record; for a new name, both are the same record."""
        conflicting = after.conflicting_instance_id
        if conflicting and conflicting != before.conflicting_instance_id:
            self.notifications.append(NotifyStatus(StatusChange.DUPLICATE_NAME, after))
        if after.precedence() != before.precedence():
            self.health.clear_suspicion(index)
            self.contested.discard(index)
            self.on_new_incarnation(index, before, after, now_us)
        match after.state:
            case MemberState.SUSPECTED:
                self.on_suspected(index, before, after, now_us)
            case MemberState.FAILED:
                self.on_reported_failed(index, before, now_us)
            case MemberState.LEFT if self.notified_state(index) is not MemberState.LEFT:
                self.notify(index, StatusChange.LEFT, MemberState.LEFT, now_us)

    def notified_state(self, index: int) -> MemberState:
        """Return the state of a member that the program was last notified of."""
        return self.table.notified_states[index]

    def on_new_incarnation(
        self, index: int, before: MemberRecord, after: MemberRecord, now_us: int
    ) -> None:
        """Handle a new instance, or a refutation by the known instance."""
        if after.has_failed_or_left() and self.notified_state(index) >= MemberState.FAILED:
            return
        if after.instance_id != before.instance_id:
            self.notify(index, StatusChange.JOINED, MemberState.ALIVE, now_us)
        elif self.notified_state(index) is not MemberState.ALIVE:
            self.notify(index, StatusChange.RECOVERED, MemberState.ALIVE, now_us)

    def on_suspected(
        self, index: int, before: MemberRecord, after: MemberRecord, now_us: int
    ) -> None:
        """Handle a new suspicion, or further confirmations of the current one."""
        is_same_incarnation = after is not before and after.precedence() == before.precedence()
        if not is_same_incarnation or before.state is not MemberState.SUSPECTED:
            self.table.suspected_since_us[index] = now_us
        self.evaluate_suspicion(index, now_us)

    def on_reported_failed(self, index: int, before: MemberRecord, now_us: int) -> None:
        """Handle a failure that others report.

        If no suspicion was known here, the failure is contested: it is notified only if it is not
        refuted in time. Otherwise, after a partition heals, failures that the other side detected
        during the partition would be notified here.
        """
        if self.notified_state(index) >= MemberState.FAILED:
            return
        record = self.table.record_at(index)
        was_suspected = before.state is MemberState.SUSPECTED
        if was_suspected and before.precedence() == record.precedence():
            self.notify(index, StatusChange.FAILED, MemberState.FAILED, now_us)
            return
        self.contested.add(index)
        wait_us = int(suspicion.CONTEST_TIMEOUT_SHARE * self.probe_timeout_us)
        self.table.contested_until_us[index] = now_us + wait_us

    def unsuspected_count(self) -> int:
        """Return the number of living members that are not suspected, including this one."""
        living = self.table.living
        return 1 + len(living) - len(self.table.suspected & living)

    def evaluate_suspicion(self, index: int, now_us: int) -> None:
        """Notify the program of a suspicion or failure if there are enough confirmations for it."""
        table = self.table
        record = table.record_at(index)
        confirmations = len(record.confirmed_by)
        unsuspected = self.unsuspected_count()
        members = 1 + len(table.living)
        needed = suspicion.confirmations_needed(unsuspected)
        is_notified = self.notified_state(index) is not MemberState.ALIVE
        if not is_notified and confirmations >= suspicion.confirmations_to_notify(needed):
            self.notify(index, StatusChange.SUSPECTED, MemberState.SUSPECTED, now_us)
        if suspicion.is_confirmed_failure(
            confirmations=confirmations,
            is_own_confirmation=self.own_observer_id in record.confirmed_by,
            hears_suspect=self.hears_suspect(now_us),
            needed=needed,
            age_us=now_us - table.suspected_since_us[index],
            timeout_us=suspicion.suspicion_timeout_us(
                needed, unsuspected, members, self.probe_timeout_us
            ),
        ):
            failed = msgspec.structs.replace(record, state=MemberState.FAILED, confirmed_by=())
            table.store(index, failed)
            self.notify(index, StatusChange.FAILED, MemberState.FAILED, now_us, confirmations)

    def hears_suspect(self, now_us: int) -> bool:
        """Return whether a member suspected by this one was heard within the probe timeout."""
        return now_us - self.health.suspect_last_heard_us < self.probe_timeout_us

    def confirmed_suspicions(self) -> set[int]:
        """Return the indexes of members that this member and at least one other suspect."""
        return {
            index
            for index in self.health.suspicion_raised_us
            if any(
                observer != self.own_observer_id
                for observer in self.table.record_at(index).confirmed_by
            )
        }

    def on_tick(self, now_us: int) -> list[int]:
        """Evaluate all contested failures and suspicions, since they also depend on time.

        Returns:
            Indexes of members whose record was changed from suspected to failed here.
        """
        contested_until_us = self.table.contested_until_us
        for index in [index for index in self.contested if now_us >= contested_until_us[index]]:
            self.contested.discard(index)
            if self.table.record_at(index).state is MemberState.FAILED:
                self.notify(index, StatusChange.FAILED, MemberState.FAILED, now_us)
        failed = list[int]()
        for index in list(self.table.suspected):
            self.evaluate_suspicion(index, now_us)
            if self.table.record_at(index).state is MemberState.FAILED:
                failed.append(index)
        return failed

    def notify(
        self,
        index: int,
        change: StatusChange,
        state: MemberState,
        now_us: int,
        confirmations: int = 0,
    ) -> None:
        """Notify the program; if `confirmations` is 0, the record's confirmations are counted."""
        self.table.set_notified_state(index, state, now_us)
        if state >= MemberState.FAILED:
            self.health.clear_suspicion(index)
            self.contested.discard(index)
        record = self.table.record_at(index)
        count = confirmations or len(record.confirmed_by)
        self.notifications.append(NotifyStatus(change, record, count))
