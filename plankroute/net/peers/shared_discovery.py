"""Discovery shared among controllers: a few watch the list service, the others follow them.

Who follows whom is `cold_start.watcher_election`'s to decide; here its commands meet sockets, log
lines and counters.
"""

import asyncio
from collections.abc import Callable
from typing import cast

import orjson

from plankroute.cold_start.backoff import BackoffFacts, RequestScheduler, Started
from plankroute.cold_start.backoff import Event as BackoffEvent
from plankroute.cold_start.election_messages import (
    Command,
    Connect,
    Disconnect,
    ElectionFacts,
    Event,
    LinkClosed,
    ListUpdated,
    LiveControllersChanged,
    ReportTransition,
    SetWatch,
    TickDue,
    Transition,
)
from plankroute.cold_start.endpoint_list import NO_REVISION, EndpointList, RawList
from plankroute.cold_start.link_codec import (
    LINK_VERSION,
    HealthCheckResults,
    Hello,
)
from plankroute.cold_start.watcher_election import TICK_US, WatcherElection
from plankroute.events.events import HostState
from plankroute.net.discovery.backoff_watch import BackoffDiscovery
from plankroute.net.discovery.watch import Discovery
from plankroute.net.peers.drain_notices import DrainNoticeOverlay
from plankroute.net.peers.frame_handler import FrameHandler
from plankroute.net.peers.link_client import LinkError, LinkPool, LinkTarget
from plankroute.net.peers.link_server import LinkServer
from plankroute.net.peers.list_transfers import ListTransfers
from plankroute.net.peers.membership import MembershipService
from plankroute.net.process.address import host_and_port
from plankroute.net.process.clock import monotonic_us as now_us
from plankroute.units import SECOND_US

# Between first requests of watchers: the second finds the list on its way already.
WATCHER_STAGGER_US = 200_000
BIND_RETRY_S = 1.0  # between tries for an address that is in use
WARNINGS = frozenset(
    {
        Transition.LEFT_BEHIND,
        Transition.LEFT_STALE,
        Transition.LEFT_AHEAD,
        Transition.LEFT_STALLED,
        Transition.LIST_RESTARTED,
        Transition.INDEPENDENT,
    }
)


class SharedDiscovery(BackoffDiscovery):
    """Needs membership; `prepare_links` before `start`.

    Attributes:
        endpoint_list: what is held, and handed on.
        drain_notices: laid over all lists.
        result_listener: takes health checks of other controllers.
    """

    def prepare_links(
        self,
        members: MembershipService,
        facts: ElectionFacts,
        listen: str,
        port: int,
        backoff: BackoffFacts,
        seed: int,
    ) -> None:
        """Set what the constructor, which is Discovery's, does not take.

        Args:
            members: tells which controllers are there.
            facts: settings of the election.
            listen: "host:port" at which links are accepted.
            port: at which all others are reached.
            backoff: settings of requests to the list service.
            seed: of the jitter.
        """
        self.members = members
        self.election = WatcherElection(facts)
        self.listen = listen
        self.port = port
        self.name = facts.name
        self.group = facts.group
        self.backoff_facts = backoff
        self.seed = seed
        self.endpoint_list = EndpointList()
        self.server = LinkServer(self)
        self.drain_notices = DrainNoticeOverlay(self.directory, self.telemetry, self.submit)
        self.list_filter = self.drain_notices.filter_list
        self.transfers = ListTransfers(lambda: self.limits.max_body_bytes)
        frames = FrameHandler(self, self.transfers, self.telemetry)
        self.links = LinkPool(frames.on_frame, self.on_link_closed)
        self.full_list_from = set[str]()  # asked for the complete list, whatever is held
        self.requesting: asyncio.Task[None] | None = None
        self.opening: asyncio.Task[None] | None = None
        self.members_version = -1
        self.result_listener: Callable[[HealthCheckResults], None] = lambda frame: None

    def start(self, initial_list: object) -> None:
        """Start with the list that came with the configuration.

        Guards against changes since the list handed over that are taken for a complete one, and
        handed on.
        """
        super().start(initial_list)
        if self.revision is not None:
            self.endpoint_list.apply(cast(RawList, initial_list))  # its form was checked
            self.deliver([ListUpdated(self.endpoint_list.revision, from_service=False)])
        self.opening = asyncio.create_task(self.open_server())

    def close(self) -> None:
        """End all links and requests."""
        for task in (self.requesting, self.opening):
            if task:
                task.cancel()
        self.links.close_all()
        self.server.close()
        super().close()

    async def open_server(self) -> None:
        """Guards against an address that the process before still holds."""
        while True:
            try:
                await self.server.open(self.listen)
                break
            except OSError as error:
                self.telemetry.log_once("links_address_in_use", address=self.listen, why=str(error))
                await asyncio.sleep(BIND_RETRY_S)
        self.telemetry.log.event("info", "links_open", address=self.listen)

    # The election

    async def watch_forever(self) -> None:
        """The election's ticks; requests to the service are a task of their own."""
        while True:
            events: list[Event] = [TickDue()]
            table = self.members.core.table
            if table.version != self.members_version:
                self.members_version = table.version
                names = frozenset(table.record_at(index).name for index in table.living_indexes())
                events.append(LiveControllersChanged(names))
            self.deliver(events)
            self.drain_notices.expire()
            await asyncio.sleep(TICK_US / SECOND_US)

    def deliver(self, events: list[Event]) -> None:
        """One step; an error of ours is logged, and must not leave the controller without ticks."""
        try:
            for command in self.election.deliver(now_us(), events):
                self.carry_out(command)
        except Exception as error:
            self.telemetry.record_failure("election", error)

    def carry_out(self, command: Command) -> None:
        """Carry out one command of the election."""
        match command:
            case Connect():
                self.connect(command)
            case Disconnect(name):
                self.disconnect(name)
            case SetWatch(is_enabled, watcher_rank):
                self.set_watch(is_enabled, watcher_rank)
            case ReportTransition(transition, name):
                self.report(transition, name)

    def set_watch(self, is_enabled: bool, watcher_rank: int | None) -> None:
        """Start requests to the list service, or end them."""
        if self.requesting:
            self.requesting.cancel()
            self.requesting = None
        if is_enabled:
            self.requesting = asyncio.create_task(self.request_as(watcher_rank))

    async def request_as(self, watcher_rank: int | None) -> None:
        """Watch the service: a watcher at once, in rounds of the few watchers; else by own rank."""
        scheduler = self.scheduler
        event: BackoffEvent = Started()
        if watcher_rank is not None:
            scheduler = RequestScheduler(
                BackoffFacts(
                    rank=watcher_rank,
                    controller_count=self.election.facts.watcher_count,
                    requests_per_second=self.backoff_facts.requests_per_second,
                    max_pause_us=self.backoff_facts.max_pause_us,
                    max_retry_after_us=self.backoff_facts.max_retry_after_us,
                ),
                self.seed,
            )
            await asyncio.sleep(watcher_rank * WATCHER_STAGGER_US / SECOND_US)
            event = await self.request_once()
        await self.request_forever(scheduler, event)

    def report(self, transition: Transition, name: str) -> None:
        """Log and count what the election has done."""
        self.telemetry.count(f"election.{transition.value}")
        self.telemetry.log.event(
            "warning" if transition in WARNINGS else "info",
            f"election_{transition.value}",
            other=name,
            revision=self.endpoint_list.revision,
        )
        if transition is Transition.LEFT_AHEAD:
            self.drain_notices.retract(name)

    # Lists of the service and of other controllers

    def record_contact(self) -> None:
        """A watch that goes on from the revision held says that the service knows it."""
        super().record_contact()
        if self.election.is_asking_service and self.endpoint_list.revision >= 0:
            self.deliver([ListUpdated(self.endpoint_list.revision, from_service=True)])

    def accept_list(self, text: bytes) -> bool:
        """What the service itself says."""
        if not super().accept_list(text):
            return False
        self.hold_list(text, from_service=True)
        return True

    def hold_list(self, text: bytes, from_service: bool) -> None:
        """Hold a list that was accepted, and hand it on."""
        self.endpoint_list.apply(orjson.loads(text))
        self.server.on_list_changed()
        self.deliver([ListUpdated(self.endpoint_list.revision, from_service)])

    def accept_list_from(self, name: str, text: bytes) -> None:
        """A list from another controller.

        A lower revision never replaces a higher one, but where the service began anew, as two that
        are followed say.

        Raises:
            LinkError: it is no list.
        """
        try:
            revision = orjson.loads(text)["rev"]
        except (ValueError, KeyError, TypeError) as error:
            raise LinkError("no list") from error
        is_lower = isinstance(revision, int) and revision < self.endpoint_list.revision
        if not isinstance(revision, int) or (is_lower and name not in self.full_list_from):
            self.telemetry.count("links.dropped.lower_revision")
            if isinstance(revision, int):
                return  # what the controller goes on to say may explain it
            raise LinkError("no list")
        self.full_list_from.discard(name)
        if not Discovery.accept_list(self, text):
            raise LinkError("no list")
        self.hold_list(text, from_service=False)

    # What followed controllers say

    def on_service_contact(self, age_us: int) -> None:
        """A followed controller's contact with the service is this one's too."""
        if not self.election.is_watching:
            self.has_contact = True
            self.last_contact_us = max(self.last_contact_us, now_us() - age_us)
            self.clear_old()

    def on_health_checks(self, frame: HealthCheckResults) -> None:
        """Results of another controller, whichever side dialled."""
        self.result_listener(frame)

    def on_drain_notices(
        self, name: str, revision: int, closed: list[tuple[str, HostState]]
    ) -> None:
        """Drains ahead of their list."""
        self.drain_notices.receive(name, revision, closed)

    # Links

    def connect(self, command: Connect) -> None:
        """Dial a controller at the address that membership has."""
        record = self.members.core.table.record_of(command.name)
        if record is None:
            self.deliver([LinkClosed(command.name)])
            return
        if command.full_list:
            self.full_list_from.add(command.name)
        hello = Hello(
            version=LINK_VERSION,
            group=self.group,
            name=self.name,
            revision=NO_REVISION if command.full_list else self.endpoint_list.revision,
            heartbeats_only=command.heartbeats_only,
            progress=None if command.heartbeats_only else self.transfers.progress(),
        )
        host, _ = host_and_port(record.address)
        own_host, _ = host_and_port(self.listen)
        target = LinkTarget(command.name, (host, self.port), own_host)
        self.links.open(target, hello)

    def on_link_closed(self, name: str) -> None:
        """The other end has closed a link, or it broke."""
        self.telemetry.count("links.closed")
        self.transfers.end(name)
        self.deliver([LinkClosed(name)])

    def disconnect(self, name: str) -> None:
        """Close a link from this side."""
        if self.links.close(name):
            self.transfers.end(name)

    def share_health_checks(self, frame: HealthCheckResults) -> None:
        """Send results to those that are followed, and to those that follow."""
        self.links.send_to_all(frame)
        self.server.share(list(frame.results))
