"""What the program is told of each member, and when a suspicion becomes a failure.

Decides on what is known; never asks anybody.
"""

import msgspec

from plankroute.membership import suspicion
from plankroute.membership.local_health import LocalHealth
from plankroute.membership.member_table import MemberTable, observer_id
from plankroute.membership.messages import NotifyStatus, StatusChange
from plankroute.membership.records import MemberRecord, MemberState


class StatusTracker:
    """Turns changes of records into notifications.

    Attributes:
        own_observer_id: this member's id in confirmations.
        contested: indexes of members that others call failed, though nobody here suspected them.
        notifications: collected for the end of the step.
    """

    def __init__(self, table: MemberTable, health: LocalHealth, probe_timeout_us: int) -> None:
        self.table = table
        self.health = health
        self.probe_timeout_us = probe_timeout_us
        self.own_observer_id = observer_id(table.own_record().name)
        self.contested = set[int]()
        self.notifications: list[NotifyStatus] = []

    def drain(self) -> list[NotifyStatus]:
        """All notifications since the last call."""
        notifications = self.notifications
        self.notifications = []
        return notifications

    def on_added(self, index: int, record: MemberRecord, now_us: int) -> None:
        """A name not known before. One that failed or left already is not notified."""
        if not record.has_failed_or_left():
            self.notify(index, StatusChange.JOINED, MemberState.ALIVE, now_us)
            self.on_changed(index, record, record, now_us)

    def on_changed(
        self, index: int, before: MemberRecord, after: MemberRecord, now_us: int
    ) -> None:
        """The record of a member has changed; both are the same one where it is new."""
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
        """What the program was last told of a member."""
        return self.table.notified_states[index]

    def on_new_incarnation(
        self, index: int, before: MemberRecord, after: MemberRecord, now_us: int
    ) -> None:
        """A new instance, or a refutation by the old one."""
        if after.has_failed_or_left() and self.notified_state(index) >= MemberState.FAILED:
            return
        if after.instance_id != before.instance_id:
            self.notify(index, StatusChange.JOINED, MemberState.ALIVE, now_us)
        elif self.notified_state(index) is not MemberState.ALIVE:
            self.notify(index, StatusChange.RECOVERED, MemberState.ALIVE, now_us)

    def on_suspected(
        self, index: int, before: MemberRecord, after: MemberRecord, now_us: int
    ) -> None:
        """A suspicion, or a further confirmation of one that stands."""
        is_same_incarnation = after is not before and after.precedence() == before.precedence()
        if not is_same_incarnation or before.state is not MemberState.SUSPECTED:
            self.table.suspected_since_us[index] = now_us
        self.evaluate_suspicion(index, now_us)

    def on_reported_failed(self, index: int, before: MemberRecord, now_us: int) -> None:
        """Others call the member failed.

        Guards against failures of the other side of a healed cut: where nobody here had suspected
        anything, the report waits to be refuted.
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
        """Members that nobody suspects, this one among them."""
        living = self.table.living
        return 1 + len(living) - len(self.table.suspected & living)

    def evaluate_suspicion(self, index: int, now_us: int) -> None:
        """Decide whether a suspicion that stands is to be notified, and whether it is a failure."""
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
        """Whether a member that this one suspects was heard lately."""
        return now_us - self.health.suspect_last_heard_us < self.probe_timeout_us

    def confirmed_suspicions(self) -> set[int]:
        """Indexes that this member suspects, and others too."""
        return {
            index
            for index in self.health.suspicion_raised_us
            if any(
                observer != self.own_observer_id
                for observer in self.table.record_at(index).confirmed_by
            )
        }

    def on_tick(self, now_us: int) -> list[int]:
        """Look at all that waits for time to pass; indexes whose record became a failure here."""
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
        """Tell the program; without a number of confirmations the record's own count holds."""
        self.table.set_notified_state(index, state, now_us)
        if state >= MemberState.FAILED:
            self.health.clear_suspicion(index)
            self.contested.discard(index)
        record = self.table.record_at(index)
        count = confirmations or len(record.confirmed_by)
        self.notifications.append(NotifyStatus(change, record, count))
