"""Which controllers watch the list service, whom this one follows, and when it leaves them.

Watchers are elected by rendezvous hashing over the live controllers, without a vote. Decides by its
own view of who is there; two views that differ cost a few requests more, and no drain.
"""

from enum import Enum, auto

from plankroute.cold_start.election_messages import (
    Command,
    Connect,
    Disconnect,
    ElectionFacts,
    Event,
    FrameReceived,
    HeartbeatReceived,
    LinkClosed,
    ListUpdated,
    LiveControllersChanged,
    ReportTransition,
    SetWatch,
    TickDue,
    Transition,
)
from plankroute.cold_start.followed_links import Finding, FollowedLink, compare_links
from plankroute.cold_start.rendezvous import rendezvous_order

SECOND_US = 1_000_000
# Of the configured controllers: with so many in view nearly all elect the same watchers. A guess.
READY_PART = 0.8
# Without them: a group of hundreds has come together by then.
SETTLE_US = 4 * SECOND_US
# In company, and nobody new for so long: these are all there are. A guess.
QUIET_US = 3 * SECOND_US // 2
# A controller that was left is avoided for two probe time-outs of membership, which tells by then
# if it has failed.
AVOID_US = 10 * SECOND_US
# One that claimed a revision which the service does not know. A guess.
AVOID_FALSE_REVISION_US = 60 * SECOND_US
# A claim counts as contradicted by the service while it is no older.
RECENT_HEARTBEAT_US = SECOND_US
# Two that are followed may differ for so long: a revision is on its way.
MAX_DIFFERENCE_US = 2 * SECOND_US
# Without anybody to follow, before the service itself is watched. A guess.
INDEPENDENT_AFTER_US = 3 * SECOND_US
# A controller that is no watcher any more watches on for so long: the next one comes up.
HANDOVER_US = 2 * SECOND_US
TICK_US = SECOND_US // 10
# Of a time in which this controller itself stood still, what counts against others.
MAX_TICK_US = 3 * TICK_US
# Entries of avoided controllers per watcher, before expired ones are cleaned up.
MAX_AVOIDED_PER_WATCHER = 4


class Role(Enum):
    """This controller's part."""

    WAITING = auto()  # for the view to settle
    WATCHER = auto()
    FOLLOWER = auto()
    INDEPENDENT = auto()  # it watches the service, since nobody can be followed


class WatcherElection:
    """Elects watchers, follows two of them, and watches the service itself where that fails.

    Attributes:
        links: by name, the controllers that are followed.
        avoided_until_us: by name, those that were left.
        is_asking_service: followed controllers can't both be right: the service decides.
    """

    def __init__(self, facts: ElectionFacts) -> None:
        self.facts = facts
        self.role = Role.WAITING
        self.links: dict[str, FollowedLink] = {}
        self.avoided_until_us: dict[str, int] = {}
        self.names: frozenset[str] = frozenset()
        self.watchers: list[str] = []
        self.started_us: int | None = None
        self.names_changed_us = 0
        self.last_contact_us = 0  # when a followed controller last had contact with the service
        self.demoted_us: int | None = None
        self.is_watching = False
        self.is_asking_service = False
        self.difference_since_us: int | None = None
        self.revision = -1
        self.last_read_us: int | None = None
        self.paused_us = 0  # time that others need not answer for
        self.commands: list[Command] = []

    def deliver(self, now_us: int, events: list[Event]) -> list[Command]:
        """One step.

        Args:
            now_us: steady time.
            events: what has happened, in order.

        Returns:
            What is to be done, in order.
        """
        now_us = self.unpaused_us(now_us)
        if self.started_us is None:
            self.started_us = now_us
            self.names_changed_us = now_us
            self.last_contact_us = now_us
        for event in events:
            self.handle(now_us, event)
        self.update_role(now_us)
        commands = self.commands
        self.commands = []
        return commands

    def unpaused_us(self, now_us: int) -> int:
        """The time without this process's own pauses.

        Guards against a controller that was paused, or starved of its core, and finds all others
        late.
        """
        passed_us = 0 if self.last_read_us is None else now_us - self.last_read_us
        self.paused_us += max(0, passed_us - MAX_TICK_US)
        self.last_read_us = now_us
        return now_us - self.paused_us

    def handle(self, now_us: int, event: Event) -> None:
        """Note what an event says."""
        match event:
            case LiveControllersChanged(names) if names != self.names:
                self.names = names
                self.names_changed_us = now_us
                order = rendezvous_order({*names, self.facts.name}, self.facts.group)
                self.watchers = order[: self.facts.watcher_count]
            case FrameReceived(name) if name in self.links:
                self.links[name].on_frame(now_us)
            case HeartbeatReceived(name, revision, age_us) if name in self.links:
                self.links[name].on_heartbeat(now_us, revision, age_us)
            case LinkClosed(name) if name in self.links:
                del self.links[name]
                self.avoid(now_us, name, Transition.LEFT_ENDED)
            case ListUpdated(revision, from_service):
                self.revision = revision
                if from_service:
                    self.on_service_revision(now_us, revision)
            case TickDue():
                pass

    def on_service_revision(self, now_us: int, revision: int) -> None:
        """The service's own word.

        Guards against a peer that claims a revision which the service has not reached.
        """
        self.is_asking_service = False
        for name, link in list(self.links.items()):
            is_ahead = link.revision is not None and link.revision > revision
            if is_ahead and now_us - link.last_heartbeat_us < RECENT_HEARTBEAT_US:
                self.leave(now_us, name, Transition.LEFT_AHEAD, AVOID_FALSE_REVISION_US)

    # Roles

    def is_settled(self, now_us: int) -> bool:
        """Guards against requests of all while nobody knows anybody yet."""
        assert self.started_us is not None
        return (
            1 + len(self.names) >= READY_PART * self.facts.controller_count
            or now_us - self.started_us >= SETTLE_US
            or (len(self.names) > 0 and now_us - self.names_changed_us >= QUIET_US)
        )

    def update_role(self, now_us: int) -> None:
        """Act as what this controller is elected to be."""
        if self.role is Role.WAITING and not self.is_settled(now_us):
            return
        if self.facts.name in self.watchers or not self.names:
            self.act_as_watcher()
        else:
            self.act_as_follower(now_us)

    def act_as_watcher(self) -> None:
        """Watch the service; follow nobody."""
        self.demoted_us = None
        if self.names:
            if self.role is not Role.WATCHER:
                self.change_role(Role.WATCHER, Transition.WATCHER)
                self.disconnect_all()
                self.set_watch(True, self.watchers.index(self.facts.name))
        elif self.role is not Role.INDEPENDENT:
            self.change_role(Role.INDEPENDENT, Transition.INDEPENDENT)
            self.disconnect_all()
            self.set_watch(True)

    def act_as_follower(self, now_us: int) -> None:
        """Follow two watchers; watch the service only where that does not do."""
        if self.role in (Role.WAITING, Role.WATCHER):
            if self.role is Role.WATCHER:
                self.demoted_us = now_us
            self.change_role(Role.FOLLOWER, Transition.FOLLOWER)
            self.last_contact_us = now_us
        self.drop_silent_links(now_us)
        self.compare_followed(now_us)
        self.connect_missing(now_us)
        self.choose_service(now_us)

    def change_role(self, role: Role, transition: Transition) -> None:
        """Take a role, and report it."""
        self.role = role
        self.commands.append(ReportTransition(transition))

    def set_watch(self, is_enabled: bool, watcher_rank: int | None = None) -> None:
        """Watch the service, or stop, if that is a change."""
        if is_enabled is not self.is_watching:
            self.is_watching = is_enabled
            self.commands.append(SetWatch(is_enabled, watcher_rank))

    def choose_service(self, now_us: int) -> None:
        """Watch the service where nobody can be followed, or two can't both be right."""
        has_contact = any(
            link.has_service_contact() for link in self.links.values() if not link.heartbeats_only
        )
        if has_contact:
            self.last_contact_us = now_us
            if self.demoted_us is not None and now_us - self.demoted_us >= HANDOVER_US:
                self.demoted_us = None
        is_without_contact = now_us - self.last_contact_us >= INDEPENDENT_AFTER_US
        needs_service = self.is_asking_service or is_without_contact
        if needs_service and self.role is Role.FOLLOWER and not self.is_watching:
            self.change_role(Role.INDEPENDENT, Transition.INDEPENDENT)
        elif not needs_service and self.role is Role.INDEPENDENT:
            self.change_role(Role.FOLLOWER, Transition.FOLLOWER)
        if needs_service or self.demoted_us is None:
            self.set_watch(needs_service)

    # Links

    def drop_silent_links(self, now_us: int) -> None:
        """Leave those that are no watchers any more, are stalled, or take too long."""
        for name, link in list(self.links.items()):
            if name not in self.watchers:
                self.disconnect(name)
            elif now_us - link.last_frame_us > self.facts.stall_timeout_us:
                self.leave(now_us, name, Transition.LEFT_STALLED)
            elif link.is_first_list_overdue(now_us):
                self.leave(now_us, name, Transition.LEFT_SLOW)

    def connect_missing(self, now_us: int) -> None:
        """Two are followed, one for its lists, one as a witness of what it says."""
        candidates = [
            name
            for name in rendezvous_order(self.watchers, self.facts.name)
            if self.avoided_until_us.get(name, 0) <= now_us
        ]
        for heartbeats_only in (False, True):
            free = [name for name in candidates if name not in self.links]
            if free and self.first_link(heartbeats_only) is None:
                self.links[free[0]] = FollowedLink(heartbeats_only, now_us, now_us)
                self.commands.append(Connect(free[0], heartbeats_only))
        if self.links and self.first_link(heartbeats_only=False) is None:
            # The witness alone is left: its lists are wanted now.
            self.reconnect(now_us, next(iter(self.links)))

    def first_link(self, heartbeats_only: bool) -> str | None:
        """The name of the first link of that kind."""
        for name, link in self.links.items():
            if link.heartbeats_only is heartbeats_only:
                return name
        return None

    def first_heard_link(self, heartbeats_only: bool) -> str | None:
        """The name of the first link of that kind on which a heartbeat came."""
        for name, link in self.links.items():
            if link.heartbeats_only is heartbeats_only and link.revision is not None:
                return name
        return None

    def reconnect(self, now_us: int, name: str, full_list: bool = False) -> None:
        """Follow a controller anew, for its lists."""
        self.disconnect(name)
        self.links[name] = FollowedLink(False, now_us, now_us, is_full_list=full_list)
        self.commands.append(Connect(name, False, full_list))

    def compare_followed(self, now_us: int) -> None:
        """Leave one, where two that are followed differ, or both say less than is held."""
        main = self.first_heard_link(heartbeats_only=False)
        if main is None:
            return
        witness = self.first_heard_link(heartbeats_only=True)
        witness_link = self.links[witness] if witness else None
        finding = compare_links(self.links[main], witness_link, self.revision, now_us)
        match finding:
            case Finding.CONSISTENT:
                self.difference_since_us = None
            case Finding.MAIN_STALE:
                self.leave(now_us, main, Transition.LEFT_STALE)
            case Finding.WITNESS_STALE if witness:
                self.leave(now_us, witness, Transition.LEFT_STALE)
            case Finding.MAIN_HAS_NO_CONTACT if witness:
                self.disconnect(main)  # they change their parts
                self.reconnect(now_us, witness)
            case _ if self.difference_lasts(now_us):
                self.settle_difference(now_us, finding, main, has_witness=witness is not None)

    def settle_difference(
        self, now_us: int, finding: Finding, main: str, has_witness: bool
    ) -> None:
        """Act on a difference between revisions that has lasted."""
        if finding is Finding.MAIN_BEHIND:
            self.leave(now_us, main, Transition.LEFT_BEHIND)
        elif finding is Finding.REVISIONS_FELL and has_witness:
            self.commands.append(ReportTransition(Transition.LIST_RESTARTED, main))
            self.reconnect(now_us, main, full_list=True)
        else:
            # One alone that says so has to be checked with the service.
            self.is_asking_service = True

    def difference_lasts(self, now_us: int) -> bool:
        """A difference that is on its way is none."""
        if self.difference_since_us is None:
            self.difference_since_us = now_us
        return now_us - self.difference_since_us >= MAX_DIFFERENCE_US

    def leave(self, now_us: int, name: str, reason: Transition, avoid_us: int = AVOID_US) -> None:
        """Follow that controller no more, and avoid it for a while."""
        self.avoid(now_us, name, reason, avoid_us)
        self.disconnect(name)

    def avoid(self, now_us: int, name: str, reason: Transition, avoid_us: int = AVOID_US) -> None:
        """Report that a controller is left, and avoid it for a while."""
        self.commands.append(ReportTransition(reason, name))
        self.avoided_until_us[name] = now_us + avoid_us
        if len(self.avoided_until_us) > MAX_AVOIDED_PER_WATCHER * self.facts.watcher_count:
            self.avoided_until_us = {
                avoided: until_us
                for avoided, until_us in self.avoided_until_us.items()
                if until_us > now_us
            }
        self.difference_since_us = None

    def disconnect(self, name: str) -> None:
        """Close the link to a controller, if there is one."""
        if self.links.pop(name, None):
            self.commands.append(Disconnect(name))

    def disconnect_all(self) -> None:
        """Close all links."""
        for name in list(self.links):
            self.disconnect(name)
