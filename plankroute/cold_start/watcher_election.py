"""Which controllers watch the list service, whom this one follows, and when it leaves them.

Watchers are elected by rendezvous hashing over the live controllers, without a vote. Decides by its
own view of who is there; two views that differ cost a few requests more, and no drain.
"""

from enum import Enum, auto

from plankroute.cold_start.election_messages import (
    Command,
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
from plankroute.cold_start.followed_controllers import AVOID_US, FollowedControllers
from plankroute.cold_start.followed_links import Finding, compare_links
from plankroute.cold_start.rendezvous import rendezvous_order
from plankroute.units import SECOND_US

# Of the configured controllers: with so many in view nearly all elect the same watchers.
READY_PART = 0.8
# Without them: a group of hundreds has come together by then.
SETTLE_US = 4 * SECOND_US
# In company, and nobody new for so long: these are all there are.
QUIET_US = 3 * SECOND_US // 2
# A controller that claimed a revision which the service does not know is avoided.
AVOID_FALSE_REVISION_US = 60 * SECOND_US
# A claim counts as contradicted by the service while it is no older.
RECENT_HEARTBEAT_US = SECOND_US
# Two that are followed may differ for so long: a revision is on its way.
MAX_DIFFERENCE_US = 2 * SECOND_US
# Without anybody to follow, before the service itself is watched.
INDEPENDENT_AFTER_US = 3 * SECOND_US
# A controller that is no watcher any more watches on for so long: the next one comes up.
HANDOVER_US = 2 * SECOND_US
TICK_US = SECOND_US // 10
# Of a time in which this controller itself stood still, what counts against others.
MAX_TICK_US = 3 * TICK_US


class Role(Enum):
    """This controller's part."""

    WAITING = auto()  # for the view to settle
    WATCHER = auto()
    FOLLOWER = auto()
    INDEPENDENT = auto()  # it watches the service, since nobody can be followed


class WatcherElection:
    """Elects watchers, follows two of them, and watches the service itself where that fails.

    Attributes:
        followed: the controllers that are followed.
        is_asking_service: followed controllers can't both be right: the service decides.
    """

    def __init__(self, facts: ElectionFacts) -> None:
        self.facts = facts
        self.role = Role.WAITING
        self.commands: list[Command] = []  # of the step that is under way
        self.followed = FollowedControllers(facts, self.commands)
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
        commands = list(self.commands)
        self.commands.clear()
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
            case FrameReceived(name) if name in self.followed.links:
                self.followed.links[name].on_frame(now_us)
            case HeartbeatReceived(name, revision, age_us) if name in self.followed.links:
                self.followed.links[name].on_heartbeat(now_us, revision, age_us)
            case LinkClosed(name) if name in self.followed.links:
                self.followed.on_closed(now_us, name)
                self.difference_since_us = None
            case ListUpdated(revision, from_service):
                self.revision = revision
                if from_service:
                    self.on_service_revision(now_us, revision)
            case TickDue():
                pass

    def on_service_revision(self, now_us: int, revision: int) -> None:
        """What the service itself says.

        Guards against a peer that claims a revision which the service has not reached.
        """
        self.is_asking_service = False
        for name, link in list(self.followed.links.items()):
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
                self.followed.disconnect_all()
                self.set_watch(True, self.watchers.index(self.facts.name))
        elif self.role is not Role.INDEPENDENT:
            self.change_role(Role.INDEPENDENT, Transition.INDEPENDENT)
            self.followed.disconnect_all()
            self.set_watch(True)

    def act_as_follower(self, now_us: int) -> None:
        """Follow two watchers; watch the service only where that does not do."""
        if self.role in (Role.WAITING, Role.WATCHER):
            if self.role is Role.WATCHER:
                self.demoted_us = now_us
            self.change_role(Role.FOLLOWER, Transition.FOLLOWER)
            self.last_contact_us = now_us
        if self.followed.drop_silent(self.watchers, now_us):
            self.difference_since_us = None
        self.compare_followed(now_us)
        self.followed.connect_missing(self.watchers, now_us)
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
        if self.followed.has_service_contact():
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

    # Differences between those that are followed

    def compare_followed(self, now_us: int) -> None:
        """Leave one, where two that are followed differ, or both say less than is held."""
        main = self.followed.first_heard(heartbeats_only=False)
        if main is None:
            return
        witness = self.followed.first_heard(heartbeats_only=True)
        witness_link = self.followed.links[witness] if witness else None
        finding = compare_links(self.followed.links[main], witness_link, self.revision, now_us)
        match finding:
            case Finding.CONSISTENT:
                self.difference_since_us = None
            case Finding.MAIN_STALE:
                self.leave(now_us, main, Transition.LEFT_STALE)
            case Finding.WITNESS_STALE if witness:
                self.leave(now_us, witness, Transition.LEFT_STALE)
            case Finding.MAIN_HAS_NO_CONTACT if witness:
                self.followed.disconnect(main)  # they change their parts
                self.followed.reconnect(now_us, witness)
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
            self.followed.reconnect(now_us, main, full_list=True)
        else:
            # One alone that says so has to be checked with the service.
            self.is_asking_service = True

    def difference_lasts(self, now_us: int) -> bool:
        """A difference that is on its way is none."""
        if self.difference_since_us is None:
            self.difference_since_us = now_us
        return now_us - self.difference_since_us >= MAX_DIFFERENCE_US

    def leave(self, now_us: int, name: str, reason: Transition, avoid_us: int = AVOID_US) -> None:
        """Follow that controller no more; a difference is looked at anew."""
        self.followed.leave(now_us, name, reason, avoid_us)
        self.difference_since_us = None
