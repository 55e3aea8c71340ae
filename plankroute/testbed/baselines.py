"""The plain ways of membership, to compare with: heartbeats of all to all, SWIM with suspicion, SWIM with
Lifeguard's self-doubt. Written from their papers, on the same records and messages; they know all members
from
the start, and serve in the laboratory alone."""

import math
from dataclasses import dataclass

import msgspec

from plankroute.membership.gossip import GossipQueue
from plankroute.membership.member_table import MemberTable, observer_id
from plankroute.membership.messages import (
    Ack,
    Command,
    Event,
    Gossip,
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
from plankroute.testbed.simulated_members import CODEC, WALL_US, address_of, name_of

SECOND = 1_000_000
BEAT_US = 100_000
HEARTBEAT_US, TIMEOUT_US = SECOND, 3 * SECOND  # three beats missed: as quick as the chosen way
PERIOD_US, DIRECT_US, HELPERS = SECOND, SECOND // 2, 3  # SWIM's usual figures
SUSPICION_US = 3 * SECOND  # so that a kill is known about as fast as by the chosen way
LONGEST, CONFIRMATIONS, MOST_HEALTH = (
    6,
    3,
    8,
)  # Lifeguard's usual: time-out at first, votes to the least,
# multiplier
RUMOUR_ROOM = 800  # bytes of a datagram


def records(members: int) -> list[MemberRecord]:
    return [
        MemberRecord(name_of(member), address_of(member), f"z{member % 3}", 1, WALL_US)
        for member in range(members)
    ]


class Heartbeats:
    """Everybody tells everybody each second; three seconds of silence are a verdict."""

    def __init__(self, member: int, members: int, life: int) -> None:
        self.all, self.me = records(members), member
        self.own = msgspec.structs.replace(
            self.all[member], incarnation=WALL_US + life, instance_id=life
        )
        self.places = {record.name: place for place, record in enumerate(self.all)}
        self.heard_us: list[int] | None = None
        self.gone = set[int]()
        self.next_us = self.look_us = 0

    def deliver(self, now_us: int, events: list[Event]) -> list[Command]:
        out = list[Command]()
        if self.heard_us is None:
            self.heard_us = [now_us] * len(self.all)
            self.next_us = now_us + HEARTBEAT_US * self.me // len(self.all)
        for event in events:
            if isinstance(event, MessageReceived) and isinstance(event.message, Gossip):
                place = self.places[event.message.records[0].name]
                self.heard_us[place] = now_us
                if place in self.gone:
                    self.gone.discard(place)
                    out.append(NotifyStatus(StatusChange.RECOVERED, self.all[place]))
        if now_us >= self.next_us:
            self.next_us += HEARTBEAT_US
            out += [
                SendMessage(record.address, Gossip((self.own,)))
                for place, record in enumerate(self.all)
                if place != self.me
            ]
        if now_us >= self.look_us:
            self.look_us = now_us + BEAT_US
            for place, heard in enumerate(self.heard_us):
                if place != self.me and place not in self.gone and now_us - heard > TIMEOUT_US:
                    self.gone.add(place)
                    out.append(NotifyStatus(StatusChange.FAILED, self.all[place]))
        out.append(WakeAt(min(self.next_us, self.look_us)))
        return out


@dataclass(slots=True)
class Round:
    """One SWIM probe; `since_us`: its period's start."""

    place: int
    number: int
    since_us: int
    answered: bool = False
    sent_helpers: bool = False


class Swim:
    """One probe a period, three helpers, a suspicion that others may deny until its time-out."""

    def __init__(self, member: int, members: int, life: int, seed: int, lifeguard: bool) -> None:
        everybody = records(members)
        self.table = MemberTable(
            msgspec.structs.replace(
                everybody[member], instance_id=life, incarnation=WALL_US + life - 1
            )
        )
        for record in everybody[:member] + everybody[member + 1 :]:
            self.table.merge(record, 0)
        self.lifeguard, self.chance, self.rumours = (
            lifeguard,
            SeededRandom(seed * 7919 + member),
            GossipQueue(),
        )
        self.mark = observer_id(name_of(member))
        self.order: list[int] = []
        self.round: Round | None = None
        self.number, self.health, self.beat_us = 0, 0, 0
        self.errands: dict[int, tuple[str, int]] = {}
        self.since_us: dict[int, int] = {}
        self.out: list[Command] = []

    def deliver(self, now_us: int, events: list[Event]) -> list[Command]:
        for event in events:
            if isinstance(event, MessageReceived):
                self.hear(event.source, event.message, now_us)
        if now_us >= self.beat_us:
            self.beat_us = now_us + BEAT_US
            self.beat(now_us)
        out, self.out = [*self.out, WakeAt(self.beat_us)], []
        return out

    def send(self, address: str, said: Message) -> None:
        self.out.append(SendMessage(address, said))

    def riding(self, first: MemberRecord | None = None) -> tuple[MemberRecord, ...]:
        more = self.rumours.take(
            len(self.table),
            RUMOUR_ROOM,
            lambda name: self.table.record_at(self.table.index_by_name[name]),
            CODEC.record_size,
        )
        return (first, *more) if first else tuple(more)

    def ping(self, place: int, number: int) -> None:
        record = self.table.record_at(place)
        buddy = record if self.lifeguard and record.state is not MemberState.ALIVE else None
        self.send(record.address, Ping(number, 0, self.table.own_record(), self.riding(buddy)))

    def hear(self, source: str, said: Message, now_us: int) -> None:
        match said:
            case Ping():
                self.take_all((said.sender, *said.gossip), now_us)
                self.send(source, Ack(said.sequence_number, self.table.own_record(), self.riding()))
            case Ack():
                self.take_all((said.sender, *said.gossip), now_us)
                if errand := self.errands.pop(said.sequence_number, None):
                    self.send(errand[0], IndirectAck(errand[1], said.sender, self.riding()))
                self.settle(said.sequence_number)
            case IndirectPingRequest():
                self.take_all((said.sender, *said.gossip), now_us)
                self.number += 1
                self.errands[self.number] = source, said.sequence_number
                self.send(
                    said.target_address,
                    Ping(self.number, 0, self.table.own_record(), self.riding()),
                )
            case IndirectAck():
                self.take_all((said.target, *said.gossip), now_us)
                self.settle(said.sequence_number)

    def settle(self, number: int) -> None:
        if self.round and self.round.number == number and not self.round.answered:
            self.round.answered = True
            self.health = max(0, self.health - 1)

    def take_all(self, said: tuple[MemberRecord, ...], now_us: int) -> None:
        for record in said:
            if record.name == self.table.own_record().name:
                self.deny(record)
            else:
                self.take(record, now_us)

    def deny(self, record: MemberRecord) -> None:
        own = self.table.own_record()
        if record.state is not MemberState.ALIVE and record.incarnation >= own.incarnation:
            self.health = min(MOST_HEALTH, self.health + 1)
            self.table.store(0, msgspec.structs.replace(own, incarnation=record.incarnation + 1))
            self.rumours.add(own.name)

    def take(self, record: MemberRecord, now_us: int) -> None:
        merged = self.table.merge(record, now_us)
        if merged is None or merged[1] == merged[2]:
            return
        place, _, after = merged
        self.rumours.add(after.name)
        match after.state:
            case MemberState.SUSPECTED:
                self.since_us.setdefault(place, now_us)
            case MemberState.ALIVE:
                self.since_us.pop(place, None)
                if self.table.notified_states[place] is MemberState.FAILED:
                    self.tell(place, StatusChange.RECOVERED, MemberState.ALIVE, now_us)
            case MemberState.FAILED if self.table.notified_states[place] is not MemberState.FAILED:
                self.since_us.pop(place, None)
                self.tell(place, StatusChange.FAILED, MemberState.FAILED, now_us)

    def tell(self, place: int, change: StatusChange, standing: MemberState, now_us: int) -> None:
        self.table.set_notified_state(place, standing, now_us)
        self.out.append(NotifyStatus(change, self.table.record_at(place)))

    def beat(self, now_us: int) -> None:
        slow = 1 + self.health if self.lifeguard else 1
        probe = self.round
        waited_us = now_us - probe.since_us if probe and not probe.answered else 0
        if probe and not probe.sent_helpers and waited_us >= DIRECT_US * slow:
            probe.sent_helpers = True
            for place in self.drawn(HELPERS, probe.place):
                self.send(
                    self.table.record_at(place).address,
                    IndirectPingRequest(
                        probe.number,
                        self.table.record_at(probe.place).address,
                        self.table.own_record(),
                        self.riding(),
                    ),
                )
        if probe is None or now_us - probe.since_us >= PERIOD_US * slow:
            if probe and not probe.answered:
                self.suspect(probe.place, now_us)
            self.begin(now_us)
        for place, since in list(self.since_us.items()):
            if now_us - since >= self.timeout_us(place):
                del self.since_us[place]
                gone = msgspec.structs.replace(
                    self.table.record_at(place), state=MemberState.FAILED, confirmed_by=()
                )
                self.table.store(place, gone)
                self.rumours.add(gone.name)
                self.tell(place, StatusChange.FAILED, MemberState.FAILED, now_us)

    def timeout_us(self, place: int) -> float:
        if not self.lifeguard:
            return SUSPICION_US
        confirmed = max(0, len(self.table.record_at(place).confirmed_by) - 1)
        most, shrunk = LONGEST * SUSPICION_US, math.log(confirmed + 1) / math.log(CONFIRMATIONS + 1)
        return max(SUSPICION_US, most - (most - SUSPICION_US) * shrunk)

    def suspect(self, place: int, now_us: int) -> None:
        self.health = min(MOST_HEALTH, self.health + 1)
        record = self.table.record_at(place)
        if not record.is_final():
            self.take(
                msgspec.structs.replace(
                    record, state=MemberState.SUSPECTED, confirmed_by=(self.mark,)
                ),
                now_us,
            )

    def begin(self, now_us: int) -> None:
        living = self.table.living_indexes()
        if not self.order:
            self.order = sorted(living, key=lambda _: self.chance.draw())
        self.number += 1
        while self.order:
            if (place := self.order.pop()) in self.table.living:
                self.round = Round(place, self.number, now_us)
                self.ping(place, self.number)
                return
        self.round = None

    def drawn(self, number: int, without: int) -> list[int]:
        living = [place for place in self.table.living_indexes() if place != without]
        return [
            living.pop(int(self.chance.draw() * len(living)))
            for _ in range(min(number, len(living)))
        ]
