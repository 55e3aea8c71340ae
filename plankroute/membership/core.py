"""The door of membership: events and the time in, actions out. What the program is told of others is said
here; no rule of the steward may come to rest on it."""

from collections.abc import Callable

import msgspec

from plankroute.membership import anti_entropy as exchange
from plankroute.membership import gossip as spreading
from plankroute.membership.detector import FailureDetector, PingTask
from plankroute.membership.facts import MAX_DATAGRAM_BYTES, MemberFacts
from plankroute.membership.local_health import LocalHealth, PauseAwareClock
from plankroute.membership.member_table import NEVER, MemberTable
from plankroute.membership.messages import (
    Ack,
    Command,
    CountMetric,
    Event,
    Gossip,
    IndirectAck,
    IndirectPingRequest,
    LeaveCompleted,
    LeaveRequested,
    Message,
    MessageReceived,
    NotifyStatus,
    Ping,
    SeedsChanged,
    SendMessage,
    StatusChange,
    TickDue,
    ViewExchange,
    ViewLine,
    ViewRequest,
    ViewResponse,
    WakeAt,
)
from plankroute.membership.name_claim import ClaimOutcome, NameClaim
from plankroute.membership.records import MemberRecord, MemberState
from plankroute.membership.status import StatusTracker
from plankroute.seeded_random import SeededRandom
from plankroute.token_bucket import TokenBucket

BEAT_US = (
    100_000  # time-outs are counted in tenths of a second; ten wakes a second cost next to nothing
)
RECALL_US = (
    1_000_000  # between calls to a seed, or to one that is gone: a cut heals without anybody's help
)
SEED_SHARE = 0.3  # of these calls go to seeds, where both kinds are there
ALONE_US = 5_000_000  # without a word from anybody: said openly
FORGET_EVERY_US = 10_000_000
LEAVE_BEATS, LEAVE_MOST = 3, 32  # a leave is told to that many at once, so often; 0.2 s in all
YIELD_BEATS, YIELD_MOST = 5, 8  # a displaced process says so, then is silent
FIXED_BYTES = 48  # of a datagram, beside its records
LINE_BYTES = 12  # of a line of a view that an operator asks for, beside its record
ERRANDS = 256  # under way for others: more than all members together send one in a patience
DRAWS = 4  # for each member that is to be drawn: three quarters may be suspected
NO_NUMBER = 0  # of pings that nobody waits for


class Membership:
    """One member of the group. `life`: drawn anew at each start. `wall_us`: Unix time, from which the
    incarnation counts up, so that a new life most often overrules an old one at once; nothing rests on it."""

    def __init__(
        self,
        facts: MemberFacts,
        seed: int,
        life: int,
        wall_us: int,
        size: Callable[[MemberRecord], int],
    ) -> None:
        self.facts, self.size, self.chance = facts, size, SeededRandom(seed)
        self.view = MemberTable(
            MemberRecord(facts.name, facts.address, facts.zone, life, max(1, wall_us))
        )
        self.awake, self.doubt = PauseAwareClock(), LocalHealth()
        self.verdicts = StatusTracker(self.view, self.doubt, facts.patience_us)
        self.detector = FailureDetector(facts.probe_us, facts.patience_us, self.chance)
        self.rumours = spreading.GossipQueue()
        self.at_once = TokenBucket(spreading.RATE, spreading.BURST)
        self.compared = TokenBucket(exchange.RATE, exchange.BURST)
        self.served = TokenBucket(exchange.RATE, exchange.BURST)
        self.errands: dict[
            int, tuple[str, int]
        ] = {}  # by own number: for whom, under which of theirs
        self.fresh: dict[str, None] = {}
        self.seed_places: dict[str, int] = {}
        self.claim: NameClaim | None = None
        self.now = self.beat_us = self.recall_us = self.forget_us = 0
        self.spread_us = NEVER
        self.heard_any_us, self.is_alone = NEVER, False
        self.leaving = self.yielding = -1  # beats left to say so; -1: neither
        self.is_silent = False
        self.out: list[Command] = []

    def deliver(self, now_us: int, events: list[Event]) -> list[Command]:
        """`now_us`: steady time. The last action says when to come back though nothing happened."""
        self.now = self.awake.read(now_us)
        if self.claim is None:
            self.claim, self.heard_any_us = NameClaim(self.now), self.now
            self.recall_us, self.forget_us = self.now, self.now + FORGET_EVERY_US
            self.beat_us = now_us + int(BEAT_US * self.chance.draw())
        for event in events:
            self.handle(event)
        if now_us >= self.beat_us:
            self.beat_us = now_us + BEAT_US
            self.beat()
        self.spread_fresh()
        self.out += self.verdicts.out
        self.verdicts.out = []
        self.awake.due_us = self.beat_us
        self.out.append(WakeAt(self.beat_us))
        out, self.out = self.out, []
        return out

    def handle(self, event: Event) -> None:
        match event:
            case MessageReceived(source, ViewRequest(first)):
                self.send(source, self.view_piece(first))
            case MessageReceived() if self.is_silent:
                self.count("silent")
            case MessageReceived(source, said):
                self.hear(source, said)
            case SeedsChanged(seeds):
                self.facts = self.facts.with_seeds(seeds)
                self.recall_us = self.now
            case LeaveRequested() if self.leaving < 0:
                self.leave()
            case TickDue():
                pass

    # What others say

    def hear(self, source: str, said: Message) -> None:
        match said:
            case Ping():
                self.take_all((said.me, *said.rumours), said.me)
                self.answer(source, said)
            case Ack():
                self.take_all((said.me, *said.rumours), said.me)
                self.on_answer(source, said)
            case IndirectPingRequest():
                self.take_all((said.me, *said.rumours), said.me)
                self.run_errand(source, said)
            case IndirectAck():
                self.take_all((said.record, *said.rumours))
                self.settle(said.number)
            case Gossip():
                self.take_all(said.rumours)
            case ViewExchange():
                self.take_all(said.records, rides=False)
                if said.want and self.served.take(self.now):
                    self.give(source, set(said.want), [])

    def take_all(
        self,
        records: tuple[MemberRecord, ...],
        sender: MemberRecord | None = None,
        rides: bool = True,
    ) -> None:
        """The sender's own record counts as word from it, whatever stands in it. `rides`: what is new is
        passed on; what came by an exchange reaches others by theirs."""
        for record in records:
            if record.name == self.facts.name:
                self.hear_of_self(record)
            else:
                self.take(record, rides)
        if sender is not None and sender.name != self.facts.name:
            if (place := self.view.index.get(sender.name)) is not None:
                self.heard_any_us = self.now
                self.doubt.hear(place, self.now)

    def take(self, record: MemberRecord, rides: bool = True) -> None:
        if (merged := self.view.merge(record, self.now)) is None:
            self.count("full")
            return
        place, before, after = merged
        if before is None:
            self.verdicts.new(place, after, self.now)
        elif after != before:
            if after.key() != before.key():
                self.detector.end(place)
            self.verdicts.follow(place, before, after, self.now)
            if place in self.verdicts.contested:
                self.send(
                    after.address, Gossip((after,))
                )  # whoever it is of shall hear of it, and deny it
            if after.standing is MemberState.SUSPECTED is not before.standing:
                self.detector.hear_suspected(place, len(self.view.living_places))
        else:
            return
        if rides:
            self.pass_on(after.name)

    def pass_on(self, name: str) -> None:
        self.rumours.add(name)
        self.fresh[name] = None

    def hear_of_self(self, record: MemberRecord) -> None:
        own = self.view.own()
        if record == own or self.leaving >= 0:
            return
        assert self.claim
        reply, now_own = self.claim.hear(own, record, self.now)
        if reply is not ClaimOutcome.NOTHING:
            self.count(reply.value)
        if reply is ClaimOutcome.DISPLACED:
            self.yield_to(record)
        elif now_own != own:
            self.view.put(0, now_own)
            self.pass_on(now_own.name)
            if now_own.rival > own.rival:
                self.out.append(NotifyStatus(StatusChange.DOUBLED, now_own))
        if reply is ClaimOutcome.CALLED_GONE:
            self.out.append(NotifyStatus(StatusChange.CALLED_GONE, now_own))

    def yield_to(self, record: MemberRecord) -> None:
        """The other process keeps the name; that there were two is said to all."""
        rival = self.view.own().life
        self.view.put(0, msgspec.structs.replace(record, rival=max(record.rival, rival)))
        self.out.append(NotifyStatus(StatusChange.DISPLACED, self.view.own()))
        self.yielding, self.is_silent = YIELD_BEATS, True

    # Probes, answers, errands

    def answer(self, source: str, ping: Ping) -> None:
        """Sums ride along where the views differ; what is known of the sender, where it says otherwise."""
        sums = b""
        if ping.digest != self.view.digest() and self.compared.take(self.now):
            sums = self.view.bucket_sums()
        rumours = self.riding(self.known_otherwise(ping.me), len(sums))
        self.send(source, Ack(ping.number, self.view.own(), rumours, sums))

    def known_otherwise(self, me: MemberRecord) -> MemberRecord | None:
        place = self.view.index.get(me.name)
        return None if place is None or self.view.at(place) == me else self.view.at(place)

    def riding(self, first: MemberRecord | None, taken: int = 0) -> tuple[MemberRecord, ...]:
        """Rumours for one datagram, led by the one that its reader has to know."""
        room = MAX_DATAGRAM_BYTES - FIXED_BYTES - taken - self.size(self.view.own())
        room -= self.size(first) if first else 0
        more = self.rumours.take(len(self.view), room, self.record_of, self.size)
        return (first, *more) if first else tuple(more)

    def record_of(self, name: str) -> MemberRecord | None:
        place = self.view.index.get(name)
        return None if place is None else self.view.at(place)

    def on_answer(self, source: str, answer: Ack) -> None:
        if (errand := self.errands.pop(answer.number, None)) is not None:
            whom, number = errand
            self.send(whom, IndirectAck(number, answer.me, self.riding(None)))
        self.settle(answer.number)
        if answer.sums and (differing := self.view.differing(answer.sums)):
            self.give(source, set(differing), differing)

    def settle(self, number: int) -> None:
        """Whoever answers is alive; a suspicion that stands is its own to deny."""
        if (place := self.detector.answered(number)) is not None:
            self.doubt.drop(place)

    def run_errand(self, source: str, errand: IndirectPingRequest) -> None:
        self.detector.number += 1
        if len(self.errands) >= ERRANDS:
            del self.errands[next(iter(self.errands))]
        self.errands[self.detector.number] = source, errand.number
        self.send(errand.target, self.ping(self.detector.number, None))

    def ping(self, number: int, about: MemberRecord | None) -> Ping:
        return Ping(number, self.view.digest(), self.view.own(), self.riding(about))

    def give(self, to: str, buckets: set[int], want: list[int]) -> None:
        self.count("exchanges")
        for piece in exchange.pieces(self.view.in_buckets(buckets), want, self.size):
            self.send(to, piece)

    def ask(self, ask: PingTask) -> None:
        """A suspect is told of the suspicion with each ping."""
        record = self.view.at(ask.place)
        about = record if record.standing is not MemberState.ALIVE else None
        self.send(record.address, self.ping(ask.number, about))
        for place in self.drawn(ask.helpers, ask.place):
            rumours = self.riding(None, len(record.address))
            self.send(
                self.view.at(place).address,
                IndirectPingRequest(ask.number, record.address, self.view.own(), rumours),
            )

    def drawn(self, number: int, without: int = 0) -> list[int]:
        """Different living members that nobody complains of; fewer where there are no more, or chance is
        unkind."""
        living = self.view.living()
        if number >= len(living):
            return [place for place in living if place != without]
        out = list[int]()
        for _ in range(DRAWS * number):
            place = living[self.detector.draw(len(living))]
            if place != without and place not in out and place not in self.view.suspected_places:
                out.append(place)
                if len(out) == number:
                    break
        return out

    # What time brings

    def beat(self) -> None:
        if self.leaving >= 0:
            return self.go_on_leaving()
        if self.is_silent:
            return self.go_on_yielding()
        slowness = self.doubt.slowness(self.shared(), self.now)
        asks, silent = self.detector.due(self.now, self.view.living_places, slowness)
        for place in silent:
            self.complain(place)
        for place in self.verdicts.look(self.now):
            self.pass_on(self.view.at(place).name)
        for ask in asks:
            if self.view.records[ask.place]:
                self.ask(ask)
        if self.now >= self.recall_us:
            self.recall_us = self.now + RECALL_US
            self.recall()
        if self.now >= self.forget_us:
            self.forget_us = self.now + FORGET_EVERY_US
            for place in self.view.long_final(self.now - self.facts.forget_us):
                self.view.forget(place)
        self.look_alone()

    def shared(self) -> set[int]:
        """Places of which others complain too."""
        mark = self.verdicts.mark
        return {
            place
            for place in self.doubt.raised_us
            if any(voter != mark for voter in self.view.at(place).voters)
        }

    def complain(self, place: int) -> None:
        record = self.view.at(place)
        if record.is_final():
            return
        self.count("complaints")
        self.doubt.raise_against(place, self.now)
        self.take(
            msgspec.structs.replace(
                record, standing=MemberState.SUSPECTED, voters=(self.verdicts.mark,)
            )
        )

    def recall(self) -> None:
        """Guards against a cut that never heals, and a start before all seeds: nobody is given up for
        good."""
        seeds = [seed for seed in self.facts.seeds if not self.is_living_seed(seed)]
        gone = sorted(self.view.gone_places)
        if seeds and (not gone or self.chance.draw() < SEED_SHARE):
            self.send(seeds[self.detector.draw(len(seeds))], self.ping(NO_NUMBER, None))
        elif gone:
            record = self.view.at(gone[self.detector.draw(len(gone))])
            self.send(record.address, self.ping(NO_NUMBER, record))

    def is_living_seed(self, seed: str) -> bool:
        """The place that had the address last is looked at first: a search each time would cost the whole
        view."""
        if seed == self.facts.address:
            return True
        place = self.seed_places.get(seed, 0)
        if place in self.view.living_places and self.view.at(place).address == seed:
            return True
        found = [place for place in self.view.living_places if self.view.at(place).address == seed]
        self.seed_places[seed] = found[0] if found else 0
        return bool(found)

    def look_alone(self) -> None:
        alone = self.now - self.heard_any_us > ALONE_US
        if alone is not self.is_alone:
            self.is_alone = alone
            self.out.append(
                NotifyStatus(
                    StatusChange.ALONE if alone else StatusChange.IN_COMPANY, self.view.own()
                )
            )

    def spread_fresh(self) -> None:
        """News go to a few at once, as many records as fit; the rest ride."""
        if not self.fresh or self.is_silent or self.now - self.spread_us < spreading.GAP_US:
            return
        self.spread_us = self.now
        names, self.fresh = list(self.fresh), {}
        room, records = MAX_DATAGRAM_BYTES - FIXED_BYTES, list[MemberRecord]()
        for name in names:
            if (record := self.record_of(name)) is not None and (
                room := room - self.size(record)
            ) >= 0:
                records.append(record)
        for place in self.drawn(self.at_once.take(self.now, spreading.AT_ONCE)):
            self.send(self.view.at(place).address, Gossip(tuple(records)))

    # Ends

    def leave(self) -> None:
        if self.is_silent:
            self.out.append(LeaveCompleted())
            return
        self.leaving = LEAVE_BEATS
        self.view.put(
            0, msgspec.structs.replace(self.view.own(), standing=MemberState.LEFT, voters=())
        )
        self.beat_us = 0  # the first word goes out at once

    def go_on_leaving(self) -> None:
        self.leaving -= 1
        if self.leaving < 0:
            return
        self.say_own(LEAVE_MOST)
        if self.leaving == 0:
            self.out.append(LeaveCompleted())

    def go_on_yielding(self) -> None:
        self.yielding -= 1
        if self.yielding >= 0:
            self.say_own(YIELD_MOST)
            self.send(self.view.own().address, Gossip((self.view.own(),)))

    def say_own(self, most: int) -> None:
        for place in self.drawn(most):
            self.send(self.view.at(place).address, Gossip((self.view.own(),)))

    # For operators

    def view_piece(self, first: int) -> ViewResponse:
        """As many lines as fit, by name, the steward's own first of all."""
        places = [0, *(place for _, place in sorted(self.view.index.items()) if place)]
        room, lines = MAX_DATAGRAM_BYTES - FIXED_BYTES, list[ViewLine]()
        for place in places[first:]:
            record = self.view.at(place)
            if (room := room - self.size(record) - LINE_BYTES) < 0:
                break
            lines.append(
                ViewLine(record, self.view.told[place], self.now - self.view.since_us[place])
            )
        return ViewResponse(len(places), first, tuple(lines))

    def send(self, address: str, said: Message) -> None:
        self.out.append(SendMessage(address, said))

    def count(self, name: str) -> None:
        self.out.append(CountMetric(name))
