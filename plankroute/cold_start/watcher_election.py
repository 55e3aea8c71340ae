"""Who of the stewards watches the list service for the others, whom this one follows, and when it leaves
them.

Decides by its own view of who is there; two views that differ cost a few calls more, and no drain."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

import xxhash

SECOND_US = 1_000_000
READY_PART = 0.8  # of the stated stewards: with so many in view the watchers are the same ones for nearly all
SETTLE_US = 4 * SECOND_US  # without them: a group of hundreds has come together by then
QUIET_US = 3 * SECOND_US // 2  # in company, and nobody new for so long: this is all there is
AVOID_US = (
    10 * SECOND_US
)  # who was left: two patiences of membership, which tells by then if it is gone
LIAR_US = 60 * SECOND_US  # who claimed a revision that the service does not know
FRESH_US = 3 * SECOND_US  # the service's word is no older: signs of life come each 2 s
NEVER_HEARD_US = 1 << 40  # the age of a word that never came
OLD_US = 5 * SECOND_US  # behind the others' word: it is cut off from the service
STALE_US = 10 * SECOND_US  # all that are followed may be cut off from the service: it is asked then
DIFFER_US = (
    2 * SECOND_US
)  # two that are followed have different revisions: beyond what is on its way
ALONE_US = 3 * SECOND_US  # without anybody to follow, before the service itself is called
SLOW_US = 60 * SECOND_US  # a first list that takes longer never ends: 3 MB on a link of 50 KB/s
LATER_US = (
    2 * SECOND_US
)  # a watcher that is none any more goes on for so long: the next one comes up
TICK_US = SECOND_US // 10
MOST_BEAT_US = (
    3 * TICK_US
)  # of a time in which this steward itself stood still, what counts against others


def rendezvous_order(names: Iterable[str], key: str) -> list[str]:
    """Rendezvous hashing (Thaler and Ravishankar 1998): each name has a figure for the key, the highest
    first.

    Everyone with the same names finds the same order without a vote; one that goes moves nobody else."""
    return sorted(
        names,
        key=lambda name: (xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()), name),
        reverse=True,
    )


class Role(Enum):
    WAITING = "waiting"  # for the view to settle
    WATCHER = "watcher"
    FOLLOWER = "follower"
    ON_ITS_OWN = "on_its_own"  # it calls the service, since nobody can be followed


@dataclass(frozen=True, slots=True)
class ElectionFacts:
    name: str
    group: str
    controller_count: int  # as stated
    watchers: int
    stall_us: int  # without a frame: left for the next


# In


@dataclass(frozen=True, slots=True)
class LiveControllersChanged:
    """All other stewards that are there, as membership has it."""

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class FrameReceived:
    """A frame came from one that is followed."""

    name: str


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """One that is followed says which revision it holds, and how old its word from the service is."""

    name: str
    revision: int
    age_us: int


@dataclass(frozen=True, slots=True)
class LinkClosed:
    name: str


@dataclass(frozen=True, slots=True)
class ListUpdated:
    """The revision that this steward itself holds now; `by_service`: the service's own word."""

    revision: int
    by_service: bool


@dataclass(frozen=True, slots=True)
class TickDue:
    pass


Event = (
    LiveControllersChanged | FrameReceived | HeartbeatReceived | LinkClosed | ListUpdated | TickDue
)


# Out


@dataclass(frozen=True, slots=True)
class Connect:
    """`light`: only what it says is wanted, no lists. `anew`: the whole list, whatever is held."""

    name: str
    light: bool
    anew: bool = False


@dataclass(frozen=True, slots=True)
class Disconnect:
    name: str


@dataclass(frozen=True, slots=True)
class SetWatch:
    """Call the list service, or leave it. `place`: among the watchers; None: by the stated rank, in
    rounds."""

    on: bool
    place: int | None = None


@dataclass(frozen=True, slots=True)
class ReportTransition:
    """For the log and the counters."""

    what: str
    name: str = ""


Command = Connect | Disconnect | SetWatch | ReportTransition


@dataclass(slots=True)
class FollowedLink:
    """One steward that is followed."""

    light: bool
    moved_us: int
    since_us: int
    is_moving: bool = False  # frames have come, though it has not said yet what it holds
    revision: int | None = None
    age_us: int = 0
    said_us: int = 0
    anew: bool = False


@dataclass(slots=True)
class State:
    links: dict[str, FollowedLink] = field(default_factory=dict)
    avoided_us: dict[str, int] = field(default_factory=dict)


class WatcherElection:
    def __init__(self, facts: ElectionFacts) -> None:
        self.facts, self.role, self.state = facts, Role.WAITING, State()
        self.names: frozenset[str] = frozenset()
        self.watchers: list[str] = []
        self.began_us: int | None = None
        self.changed_us = self.without_us = 0
        self.demoted_us: int | None = None
        self.is_watching, self.is_asking = False, False
        self.differs_us: int | None = None
        self.revision = -1
        self.read_us: int | None = None
        self.slept_us = 0  # time that others need not answer for
        self.out: list[Command] = []

    def awake_us(self, now_us: int) -> int:
        """Guards against a steward that was paused, or starved of its core, and finds all others late."""
        passed_us = now_us - (now_us if self.read_us is None else self.read_us)
        self.slept_us += max(0, passed_us - MOST_BEAT_US)
        self.read_us = now_us
        return now_us - self.slept_us

    def deliver(self, now_us: int, events: list[Event]) -> list[Command]:
        now_us = self.awake_us(now_us)
        if self.began_us is None:
            self.began_us = self.changed_us = self.without_us = now_us
        for event in events:
            self.handle(now_us, event)
        self.look(now_us)
        out, self.out = self.out, []
        return out

    def handle(self, now_us: int, event: Event) -> None:
        links = self.state.links
        match event:
            case LiveControllersChanged(names) if names != self.names:
                self.names, self.changed_us = names, now_us
                group = self.facts.group
                self.watchers = rendezvous_order({*names, self.facts.name}, group)[
                    : self.facts.watchers
                ]
            case FrameReceived(name) if name in links:
                links[name].moved_us, links[name].is_moving = now_us, True
            case HeartbeatReceived(name, revision, age_us) if name in links:
                link = links[name]
                link.moved_us = link.said_us = now_us
                link.revision, link.age_us = revision, age_us
            case LinkClosed(name) if name in links:
                self.leave(now_us, name, "ended", hang=False)
            case ListUpdated(revision, by_service):
                self.on_holds(now_us, revision, by_service)

    def on_holds(self, now_us: int, revision: int, by_service: bool) -> None:
        """Guards against a peer that claims a revision which the service has not reached."""
        self.revision = revision
        if not by_service:
            return
        self.is_asking = False
        for name, link in list(self.state.links.items()):
            if (
                link.revision is not None
                and link.revision > revision
                and now_us - link.said_us < SECOND_US
            ):
                self.leave(now_us, name, "ahead", LIAR_US)

    def is_settled(self, now_us: int) -> bool:
        """Guards against calls of all while nobody knows anybody yet."""
        assert self.began_us is not None
        return (
            1 + len(self.names) >= READY_PART * self.facts.controller_count
            or now_us - self.began_us >= SETTLE_US
            or (len(self.names) > 0 and now_us - self.changed_us >= QUIET_US)
        )

    def look(self, now_us: int) -> None:
        if self.role is Role.WAITING and not self.is_settled(now_us):
            return
        if self.facts.name in self.watchers or not self.names:
            self.be_watcher(now_us)
        else:
            self.be_follower(now_us)

    def be_watcher(self, now_us: int) -> None:
        role = Role.WATCHER if self.names else Role.ON_ITS_OWN
        self.demoted_us = None
        if role is not self.role:
            self.become(role)
            for name in list(self.state.links):
                self.drop(name)
            place = self.watchers.index(self.facts.name) if role is Role.WATCHER else None
            self.watch(True, place)

    def become(self, role: Role) -> None:
        self.role = role
        self.out.append(ReportTransition(role.value))

    def watch(self, on: bool, place: int | None = None) -> None:
        if on is not self.is_watching:
            self.is_watching = on
            self.out.append(SetWatch(on, place))

    def be_follower(self, now_us: int) -> None:
        if self.role in (Role.WAITING, Role.WATCHER):
            if self.role is Role.WATCHER:
                self.demoted_us = now_us
            self.become(Role.FOLLOWER)
            self.without_us = now_us
        for name, link in list(self.state.links.items()):
            if name not in self.watchers:
                self.drop(name)
            elif now_us - link.moved_us > self.facts.stall_us:
                self.leave(now_us, name, "stalled")
            elif link.revision is None and now_us - link.since_us > SLOW_US:
                self.leave(now_us, name, "slow")
        self.compare(now_us)
        self.fill(now_us)
        self.choose_service(now_us)

    def fill(self, now_us: int) -> None:
        """Two are followed, one for its lists, one as a witness of what it says."""
        mine = [
            name
            for name in rendezvous_order(self.watchers, self.facts.name)
            if self.state.avoided_us.get(name, 0) <= now_us
        ]
        links = self.state.links
        for light in (False, True):
            free = [name for name in mine if name not in links]
            if free and not any(link.light is light for link in links.values()):
                links[free[0]] = FollowedLink(light, now_us, now_us)
                self.out.append(Connect(free[0], light))
        if not any(not link.light for link in links.values()):
            for name, link in list(links.items())[
                :1
            ]:  # the witness alone is left: its lists are wanted now
                self.dial_anew(now_us, name, False)

    def dial_anew(self, now_us: int, name: str, anew: bool) -> None:
        self.drop(name)
        self.state.links[name] = FollowedLink(False, now_us, now_us, anew=anew)
        self.out.append(Connect(name, False, anew))

    def compare(self, now_us: int) -> None:
        """Whom to leave, where two that are followed say different things, or both less than what is held."""
        told = {name: link for name, link in self.state.links.items() if link.revision is not None}
        main = next((name for name, link in told.items() if not link.light), None)
        if main is None:
            return
        witness = next((name for name, link in told.items() if link.light), None)
        one, other = told[main], told[witness] if witness else None
        if witness and other and self.is_blank(one) and not self.is_blank(other):
            self.drop(main)  # it has no word yet, the witness has: they change their parts
            self.dial_anew(now_us, witness, False)
        elif other and self.is_old(now_us, one, other):
            self.leave(now_us, main, "old")
        elif witness and other and self.is_old(now_us, other, one):
            self.leave(now_us, witness, "old")
        elif self.is_lower(one) and not one.anew and (other is None or self.is_lower(other)):
            # Both fresh, both below what is held: the service began anew; one alone has to ask it.
            if self.lasts(now_us):
                if other is None:
                    self.is_asking = True
                else:
                    self.out.append(ReportTransition("began_anew", main))
                    self.dial_anew(now_us, main, True)
        elif other and one.revision != other.revision and max(one.age_us, other.age_us) < OLD_US:
            if self.lasts(now_us):
                if one.revision < other.revision:  # type: ignore[operator]
                    self.leave(now_us, main, "behind")
                else:
                    self.is_asking = True
        elif (
            one.revision is not None
            and 0 <= one.revision < self.revision
            and not self.is_lower(one)
        ):
            self.leave(now_us, main, "old")  # cut off from the service, and behind what is held
        else:
            self.differs_us = None

    def is_blank(self, link: FollowedLink) -> bool:
        """It has no list, or but the one that it was handed at its start."""
        return link.revision == -1 or link.age_us >= NEVER_HEARD_US

    def is_old(self, now_us: int, one: FollowedLink, other: FollowedLink) -> bool:
        """Guards also against a watcher left for its first call, which the service is yet to answer."""
        return one.age_us > other.age_us + OLD_US and now_us - one.since_us > OLD_US

    def is_lower(self, link: FollowedLink) -> bool:
        return (
            link.revision is not None
            and 0 <= link.revision < self.revision
            and link.age_us < FRESH_US
        )

    def lasts(self, now_us: int) -> bool:
        """A difference that is on its way is none."""
        if self.differs_us is None:
            self.differs_us = now_us
        return now_us - self.differs_us >= DIFFER_US

    def choose_service(self, now_us: int) -> None:
        """The service itself, where nobody can be followed, or two say what can't both be true."""
        has_word = any(not link.light and self.has_word(link) for link in self.state.links.values())
        self.without_us = now_us if has_word else self.without_us
        if self.demoted_us is not None and now_us - self.demoted_us >= LATER_US and has_word:
            self.demoted_us = None
        wants = self.is_asking or now_us - self.without_us >= ALONE_US
        if wants and self.role is Role.FOLLOWER and not self.is_watching:
            self.become(Role.ON_ITS_OWN)
        elif not wants and self.role is Role.ON_ITS_OWN:
            self.become(Role.FOLLOWER)
        if wants or self.demoted_us is None:
            self.watch(wants)

    def has_word(self, link: FollowedLink) -> bool:
        """Guards against watchers that all have lost the service, while others could reach it."""
        if link.revision is None:
            return link.is_moving
        return link.revision >= 0 and link.age_us <= STALE_US

    def leave(
        self, now_us: int, name: str, why: str, avoid_us: int = AVOID_US, hang: bool = True
    ) -> None:
        self.out.append(ReportTransition(f"left_{why}", name))
        self.state.avoided_us[name] = now_us + avoid_us
        if len(self.state.avoided_us) > 4 * self.facts.watchers:
            self.state.avoided_us = {
                who: until for who, until in self.state.avoided_us.items() if until > now_us
            }
        self.differs_us = None
        if hang:
            self.drop(name)
        else:
            del self.state.links[name]

    def drop(self, name: str) -> None:
        if self.state.links.pop(name, None):
            self.out.append(Disconnect(name))
