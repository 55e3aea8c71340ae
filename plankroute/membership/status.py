"""What the program is told of each member, and when a suspicion, or an unforeseen verdict, becomes one.

Decides on what is known; never asks anybody."""

import msgspec

from plankroute.membership import suspicion
from plankroute.membership.local_health import LocalHealth
from plankroute.membership.member_table import MemberTable, observer_id
from plankroute.membership.messages import NotifyStatus, StatusChange
from plankroute.membership.records import MemberRecord, MemberState


class StatusTracker:
    def __init__(self, view: MemberTable, doubt: LocalHealth, patience_us: int) -> None:
        self.view, self.doubt, self.patience_us = view, doubt, patience_us
        self.mark = observer_id(view.own().name)
        self.contested = set[int]()
        self.out: list[NotifyStatus] = []

    def new(self, place: int, record: MemberRecord, now_us: int) -> None:
        """A name not known before. One gone or left already is remembered, and nobody is told."""
        if not record.is_final():
            self.tell(place, StatusChange.JOINED, MemberState.ALIVE, now_us)
            self.follow(place, record, record, now_us)

    def follow(self, place: int, before: MemberRecord, after: MemberRecord, now_us: int) -> None:
        """The record of a member has changed."""
        if after.rival and after.rival != before.rival:
            self.out.append(NotifyStatus(StatusChange.DOUBLED, after))
        if after.key() != before.key():
            self.doubt.drop(place)
            self.contested.discard(place)
            self.greet(place, before, after, now_us)
        match after.standing:
            case MemberState.SUSPECTED:
                is_same = after.key() == before.key() and after is not before
                if not is_same or before.standing is not MemberState.SUSPECTED:
                    self.view.suspected_us[place] = now_us
                self.judge(place, now_us)
            case MemberState.GONE:
                self.hear_gone(place, before, now_us)
            case MemberState.LEFT if self.view.told[place] is not MemberState.LEFT:
                self.tell(place, StatusChange.LEFT, MemberState.LEFT, now_us)

    def greet(self, place: int, before: MemberRecord, after: MemberRecord, now_us: int) -> None:
        """A new life, or word from an old one that denies what was said of it."""
        if after.is_final() and self.view.told[place] >= MemberState.GONE:
            return
        if after.life != before.life:
            self.tell(place, StatusChange.JOINED, MemberState.ALIVE, now_us)
        elif self.view.told[place] is not MemberState.ALIVE:
            self.tell(place, StatusChange.BACK, MemberState.ALIVE, now_us)

    def hear_gone(self, place: int, before: MemberRecord, now_us: int) -> None:
        """Guards against verdicts of the other side of a healed cut: nobody here had suspected anything."""
        if self.view.told[place] >= MemberState.GONE:
            return
        if before.standing is MemberState.SUSPECTED and before.key() == self.view.at(place).key():
            self.tell(place, StatusChange.GONE, MemberState.GONE, now_us)
        else:
            self.contested.add(place)
            self.view.contested_us[place] = now_us + int(suspicion.CONTEST_PART * self.patience_us)

    def unsuspected(self) -> int:
        """Members that nobody complains of, this one among them."""
        return (
            1
            + len(self.view.living_places)
            - len(self.view.suspected_places & self.view.living_places)
        )

    def judge(self, place: int, now_us: int) -> None:
        """A standing suspicion: is it to be shown, is it a verdict?"""
        view, record = self.view, self.view.at(place)
        unsuspected, members = self.unsuspected(), 1 + len(view.living_places)
        needed = suspicion.confirmations_needed(unsuspected)
        if view.told[place] is MemberState.ALIVE and len(
            record.voters
        ) >= suspicion.confirmations_to_notify(needed):
            self.tell(place, StatusChange.SUSPECTED, MemberState.SUSPECTED, now_us)
        least_us = suspicion.suspicion_timeout_us(needed, unsuspected, members, self.patience_us)
        if suspicion.is_confirmed_failure(
            len(record.voters),
            self.mark in record.voters,
            self.hears_accused(now_us),
            needed,
            now_us - view.suspected_us[place],
            least_us,
        ):
            gone = msgspec.structs.replace(record, standing=MemberState.GONE, voters=())
            view.put(place, gone)
            self.tell(place, StatusChange.GONE, MemberState.GONE, now_us, len(record.voters))

    def hears_accused(self, now_us: int) -> bool:
        """One that this member complains of spoke to it lately."""
        return now_us - self.doubt.accused_spoke_us < self.patience_us

    def look(self, now_us: int) -> list[int]:
        """At all that wait for time to pass; tells whose record has become a verdict here."""
        for place in [place for place in self.contested if now_us >= self.view.contested_us[place]]:
            self.contested.discard(place)
            if self.view.at(place).standing is MemberState.GONE:
                self.tell(place, StatusChange.GONE, MemberState.GONE, now_us)
        decided = list[int]()
        for place in list(self.view.suspected_places):
            self.judge(place, now_us)
            if self.view.at(place).standing is MemberState.GONE:
                decided.append(place)
        return decided

    def tell(
        self, place: int, change: StatusChange, standing: MemberState, now_us: int, voters: int = 0
    ) -> None:
        self.view.tell(place, standing, now_us)
        if standing >= MemberState.GONE:
            self.doubt.drop(place)
            self.contested.discard(place)
        record = self.view.at(place)
        self.out.append(NotifyStatus(change, record, voters or len(record.voters)))
