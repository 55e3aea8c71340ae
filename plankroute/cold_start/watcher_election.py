"""Elects the controllers that watch the discovery service, and decides which ones are followed.

Watchers are elected by rendezvous hashing over the live controllers, without a vote. Each
controller decides by its own view of the live controllers; where two views differ, the discovery
service gets a few more requests, but no drain is lost.
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

# Fraction of the configured controllers that must be in view before the election: with that many,
# nearly all controllers elect the same watchers.
READY_FRACTION = 0.8
# Time after which the election starts with fewer; a group of hundreds has formed by then.
MAX_SETTLE_US = 4 * SECOND_US
# If another controller is in view and the view has not changed for this long, it is complete.
STABLE_VIEW_US = 3 * SECOND_US // 2
# A controller is avoided for longer if it claimed a revision that the discovery service has not
# reached.
AVOID_FALSE_REVISION_US = 60 * SECOND_US
# The discovery service contradicts a claimed revision only if the heartbeat is younger than this.
RECENT_HEARTBEAT_US = SECOND_US
# Time that followed controllers' revisions may differ, as a new one may still be on its way.
MAX_DIFFERENCE_US = 2 * SECOND_US
# Time without contact through a followed controller until the discovery service itself is watched.
INDEPENDENT_AFTER_US = 3 * SECOND_US
# A controller that is no longer elected keeps watching for at least this long, while its successor
# starts.
HANDOVER_US = 2 * SECOND_US
TICK_US = SECOND_US // 10
# Longest interval between two steps that counts towards timeouts of other controllers; the rest of
# a longer interval is a pause of this process.
MAX_TICK_US = 3 * TICK_US


class Role(Enum):
    """The role of this controller."""

    WAITING = auto()  # until the view of the live controllers is stable
    WATCHER = auto()
    FOLLOWER = auto()
    INDEPENDENT = auto()  # watches the discovery service, as no controller can be relied on


class WatcherElection:
    """Elects watchers, follows two of them, and watches the discovery service if that fails.

    Attributes:
        role: The role of this controller.
        commands: Commands of the current step.
        followed: The controllers that are followed.
        names: Names of all other live controllers.
        watchers: Names of the elected watchers, in rendezvous order.
        started_us: Time of the first step.
        names_changed_us: When `names` last changed.
        last_contact_us: When the main controller was last in contact with the discovery service; at
            first, when this controller became a follower.
        demoted_us: When this controller stopped being a watcher; None once the handover is over.
        is_watching: Whether this controller watches the discovery service.
        is_asking_service: Whether the discovery service has to decide between conflicting
            revisions.
        difference_since_us: Since when the followed controllers' revisions differ.
        revision: Revision of this controller's list; -1 if it has none.
        last_step_us: Monotonic time of the last step.
        paused_us: Sum of this process's pauses, by which the election's time lags monotonic time.
    """

    def __init__(self, facts: ElectionFacts) -> None:
        self.facts = facts
        self.role = Role.WAITING
        self.commands: list[Command] = []
        self.followed = FollowedControllers(facts, self.commands)
        self.names: frozenset[str] = frozenset()
        self.watchers: list[str] = []
        self.started_us: int | None = None
        self.names_changed_us = 0
        self.last_contact_us = 0
        self.demoted_us: int | None = None
        self.is_watching = False
        self.is_asking_service = False
        self.difference_since_us: int | None = None
        self.revision = -1
        self.last_step_us: int | None = None
        self.paused_us = 0

    def deliver(self, now_us: int, events: list[Event]) -> list[Command]:
        """Handle events, update the role, and return the commands of this step.

        Args:
            now_us: Monotonic time.
            events: The events since the last step, in order.

        Returns:
            Commands to execute, in order.
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
        """Return the election's time, which excludes pauses of this process.

        Guards against a controller that was paused, or got no CPU time, and then takes all others
        to have stalled.
        """
        passed_us = 0 if self.last_step_us is None else now_us - self.last_step_us
        self.paused_us += max(0, passed_us - MAX_TICK_US)
        self.last_step_us = now_us
        return now_us - self.paused_us

    def handle(self, now_us: int, event: Event) -> None:
        """Record an event; events about controllers that are not followed are ignored."""
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
        """Handle a revision that the discovery service itself has confirmed.

        Guards against a peer that claims a revision which the service has not reached.
        """
        self.is_asking_service = False
        for name, link in list(self.followed.links.items()):
            is_ahead = link.revision is not None and link.revision > revision
            if is_ahead and now_us - link.last_heartbeat_us < RECENT_HEARTBEAT_US:
                self.leave(now_us, name, Transition.LEFT_AHEAD, AVOID_FALSE_REVISION_US)

    # Roles

    def is_view_stable(self, now_us: int) -> bool:
        """Whether the view of the live controllers is stable enough for an election.

        Guards against requests of all controllers at the start, before they know each other.
        """
        assert self.started_us is not None
        return (
            1 + len(self.names) >= READY_FRACTION * self.facts.controller_count
            or now_us - self.started_us >= MAX_SETTLE_US
            or (len(self.names) > 0 and now_us - self.names_changed_us >= STABLE_VIEW_US)
        )

    def update_role(self, now_us: int) -> None:
        """Act as watcher or follower, as elected, once the view of live controllers is stable."""
        if self.role is Role.WAITING and not self.is_view_stable(now_us):
            return
        if self.facts.name in self.watchers or not self.names:
            self.act_as_watcher()
        else:
            self.act_as_follower(now_us)

    def act_as_watcher(self) -> None:
        """Watch the discovery service, follow no one; INDEPENDENT if no others are live."""
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
        """Follow two watchers, and watch the discovery service only where that is not enough."""
        if self.role in (Role.WAITING, Role.WATCHER):
            if self.role is Role.WATCHER:
                self.demoted_us = now_us
            self.change_role(Role.FOLLOWER, Transition.FOLLOWER)
            self.last_contact_us = now_us
        if self.followed.drop_unusable(self.watchers, now_us):
            self.difference_since_us = None
        self.compare_followed(now_us)
        self.followed.connect_missing(self.watchers, now_us)
        self.update_service_watch(now_us)

    def change_role(self, role: Role, transition: Transition) -> None:
        """Change the role and report the transition."""
        self.role = role
        self.commands.append(ReportTransition(transition))

    def set_watch(self, is_enabled: bool, watcher_rank: int | None = None) -> None:
        """Start or stop watching the discovery service, unless that is already so."""
        if is_enabled is not self.is_watching:
            self.is_watching = is_enabled
            self.commands.append(SetWatch(is_enabled, watcher_rank))

    def update_service_watch(self, now_us: int) -> None:
        """Start or stop to watch the discovery service as a follower.

        It is watched after `INDEPENDENT_AFTER_US` without contact through the main controller, and
        while revisions conflict. A demoted watcher goes on to watch it until `HANDOVER_US` has
        passed and its main controller is in contact.
        """
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

    # Differences between the followed controllers

    def compare_followed(self, now_us: int) -> None:
        """Compare the followed controllers, and act on stale contact or differing revisions.

        Stale contact is acted on at once, differing revisions once they have differed for
        `MAX_DIFFERENCE_US`.
        """
        main = self.followed.find_followed_with_heartbeat(heartbeats_only=False)
        if main is None:
            return
        witness = self.followed.find_followed_with_heartbeat(heartbeats_only=True)
        witness_link = self.followed.links[witness] if witness else None
        finding = compare_links(self.followed.links[main], witness_link, self.revision, now_us)
        match finding:
            case Finding.CONSISTENT:
                self.difference_since_us = None
            case Finding.MAIN_STALE:
                self.leave(now_us, main, Transition.LEFT_STALE)
            case Finding.WITNESS_STALE if witness:
                self.leave(now_us, witness, Transition.LEFT_STALE)
            case Finding.MAIN_NEVER_HAD_CONTACT if witness:
                self.followed.disconnect(main)  # the witness becomes the main controller
                self.followed.reconnect(now_us, witness)
            case _ if self.has_difference_persisted(now_us):
                self.resolve_difference(now_us, finding, main, has_witness=witness is not None)

    def resolve_difference(
        self, now_us: int, finding: Finding, main: str, has_witness: bool
    ) -> None:
        """Act on differing revisions that have persisted."""
        if finding is Finding.MAIN_BEHIND:
            self.leave(now_us, main, Transition.LEFT_BEHIND)
        elif finding is Finding.REVISIONS_DECREASED and has_witness:
            self.commands.append(ReportTransition(Transition.LIST_RESTARTED, main))
            self.followed.reconnect(now_us, main, full_list=True)
        else:
            # What a single controller claims is checked with the discovery service.
            self.is_asking_service = True

    def has_difference_persisted(self, now_us: int) -> bool:
        """Whether revisions have differed for `MAX_DIFFERENCE_US`.

        The first call starts the interval; a consistent comparison or a lost link resets it. A
        shorter difference may be a revision that is still on its way.
        """
        if self.difference_since_us is None:
            self.difference_since_us = now_us
        return now_us - self.difference_since_us >= MAX_DIFFERENCE_US

    def leave(self, now_us: int, name: str, reason: Transition, avoid_us: int = AVOID_US) -> None:
        """Stop following a controller, avoid it for `avoid_us`, and reset the difference."""
        self.followed.leave(now_us, name, reason, avoid_us)
        self.difference_since_us = None
