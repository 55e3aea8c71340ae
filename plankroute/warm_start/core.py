"""What earlier lives and other stewards know of the hosts, and what of it the decisions are told.

Decides what is too old, whose word stands and when it is told; not what it counts for."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from plankroute.events.events import HostState
from plankroute.warm_start.facts import MOST_HOSTS, HostFacts, View
from plankroute.warm_start.merge import Heard, Merged, first, join

HALF_US = 60_000_000  # by which bad news count as fresher: a probe that brings a host back comes in that time
STATES = {"DRAINING": HostState.DRAINING, "DELETED": HostState.GONE}


@dataclass(frozen=True, slots=True)
class LearnedFacts:
    """As stated: what is older counts for nothing; 0: nothing counts."""

    limit_us: int


@dataclass(frozen=True, slots=True)
class ViewCame:
    """Of a file or a steward; `age_us`: since it was written down."""

    source: str
    view: View
    age_us: int


@dataclass(frozen=True, slots=True)
class Listed:
    """All hosts that are listed, with their present starts."""

    boots: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Teach:
    """What the decisions are to be told of one host, and how old its health and its powers are."""

    uid: str
    known: Merged
    health_age_us: int
    capacity_age_us: int


@dataclass(frozen=True, slots=True)
class Close:
    """Hosts that drain or are gone by a list of that revision."""

    source: str
    revision: int
    closed: tuple[tuple[str, HostState], ...]


@dataclass(frozen=True, slots=True)
class Noted:
    """Hosts of a view that count, are too old, or lost against what was known better."""

    source: str
    taken: int
    old: int
    beaten: int


Event, Action = ViewCame | Listed, Teach | Close | Noted


class Learned:
    """Knows each host once. Tells it when the host is listed with the very start that the facts are of."""

    def __init__(self, facts: LearnedFacts) -> None:
        self.facts = facts
        self.known: dict[str, Merged] = {}
        self.boots: Mapping[str, float] = {}
        self.told: dict[str, Merged] = {}

    def deliver(self, now_us: int, event: Event) -> list[Action]:
        match event:
            case ViewCame():
                return self.take(now_us, event)
            case Listed(boots) if not boots:
                return []
            case Listed(boots):
                self.boots = boots
                self.known = {uid: known for uid, known in self.known.items() if uid in boots}
                self.told = {uid: known for uid, known in self.told.items() if uid in boots}
                return self.teach(now_us)

    def take(self, now_us: int, came: ViewCame) -> list[Action]:
        """The whole view at once: half of one is none."""
        taken = old = beaten = 0
        for facts in came.view.hosts:
            heard = Heard(facts, now_us - facts.age_us - came.age_us)
            if self.is_old(now_us, heard):
                old += 1
                continue
            known, new = self.known.get(facts.uid), first(heard)
            joined = join(known, new, HALF_US) if known else new
            beaten += joined == known
            taken += joined != known
            if known or not self.boots or facts.uid in self.boots:
                self.known[facts.uid] = joined
        out: list[Action] = [Noted(came.source, taken, old, beaten)]
        # A drain does not age: it holds until a list of that revision, or a higher one, is here. But
        # revisions that are older than the limit may be another service's.
        closed = tuple((uid, STATES[state]) for uid, state in came.view.closed if state in STATES)
        if closed and came.view.list_age_us + came.age_us < self.facts.limit_us:
            out.append(Close(came.source, came.view.revision, closed))
        return out + self.teach(now_us)

    def is_old(self, now_us: int, heard: Heard) -> bool:
        return now_us - heard.at_us >= self.facts.limit_us

    def view(self, now_us: int, own: View) -> View:
        """What this steward found out itself, joined with what it was told, each with its own age: what was
        heard long ago is as old after any number of restarts."""
        told, hosts = dict(self.known), list[HostFacts]()
        for facts in own.hosts:
            if (known := told.pop(facts.uid, None)) is not None:
                new = first(Heard(facts, now_us - facts.age_us))
                facts = self.facts_of(now_us, join(known, new, HALF_US))
            hosts.append(facts)
        hosts += [self.facts_of(now_us, known) for known in told.values()]
        fresh = (facts for facts in hosts if facts.age_us < self.facts.limit_us)
        return msgspec.structs.replace(own, hosts=tuple(fresh)[:MOST_HOSTS])

    def facts_of(self, now_us: int, known: Merged) -> HostFacts:
        """Where health and powers are of different ages, the older one: news must not grow younger."""
        health, powers = known.health.facts, known.powers.facts
        age_us = now_us - min(known.health.at_us, known.powers.at_us)
        return msgspec.structs.replace(
            health,
            weight=powers.weight,
            attempts=powers.attempts,
            failed=min(health.failed, powers.attempts),
            mean_latency_us=powers.mean_latency_us,
            age_us=max(0, age_us),
        )

    def teach(self, now_us: int) -> list[Action]:
        out = list[Action]()
        for uid, known in self.known.items():
            if self.boots.get(uid) != known.boot_ms() or self.told.get(uid) == known:
                continue
            if not (self.is_old(now_us, known.health) or self.is_old(now_us, known.powers)):
                self.told[uid] = known
                out.append(
                    Teach(uid, known, now_us - known.health.at_us, now_us - known.powers.at_us)
                )
        return out
