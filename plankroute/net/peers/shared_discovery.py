"""Discovery shared among controllers: a few watch the discovery service, the others follow them.

Who watches and who follows whom is decided in `cold_start.watcher_election`. This module carries
out its commands with sockets, log events and counters.
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

# Delay between the first requests of two watchers, so that the list is already on its way when the
# second one requests it.
WATCHER_STAGGER_US = 200_000
BIND_RETRY_INTERVAL_S = 1.0  # between attempts to bind an address that is in use
WARNING_TRANSITIONS = frozenset(
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
    """Gets the endpoint list from the discovery service or from other controllers.

    It needs membership. `prepare_links` has to be called before `start`.

    Attributes:
        membership: Tells which controllers are live, and their addresses.
        election: The watcher election.
        endpoint_list: The accepted endpoint list; it is also sent to the followers.
        drain_notices: Applies drain notices to all lists before the controller receives them.
        full_list_from: Names of controllers that were asked for their complete list, which may
            replace a list of a higher revision.
        request_task: Sends requests to the discovery service; None while there are none to send.
        open_task: Opens the server for links; None before `start`.
        member_table_version: Version of the member table that the election last received.
        result_listener: Called with health check results of other controllers.
    """

    def prepare_links(
        self,
        membership: MembershipService,
        facts: ElectionFacts,
        listen: str,
        port: int,
        backoff: BackoffFacts,
        seed: int,
    ) -> None:
        """Sets up links and the election; the constructor inherited from `Discovery` does not.

        Args:
            membership: Tells which controllers are live, and their addresses.
            facts: Settings of the election.
            listen: Address ("host:port") at which links are accepted.
            port: Port at which all other controllers accept links.
            backoff: Settings of requests to the discovery service.
            seed: Seed of the jitter.
        """
        self.membership = membership
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
        frame_handler = FrameHandler(self, self.transfers, self.telemetry)
        self.links = LinkPool(frame_handler.on_frame, self.on_link_closed)
        self.full_list_from = set[str]()
        self.request_task: asyncio.Task[None] | None = None
        self.open_task: asyncio.Task[None] | None = None
        self.member_table_version = -1
        self.result_listener: Callable[[HealthCheckResults], None] = lambda frame: None

    def start(self, initial_list: object) -> None:
        """Starts with the list that came with the configuration.

        The list is also stored in `endpoint_list`. Otherwise the first changes to it would be
        stored as if they were the complete list, and sent to followers as such.
        """
        super().start(initial_list)
        if self.revision is not None:
            # `Discovery.start` has validated the list; otherwise there would be no revision.
            self.endpoint_list.apply(cast(RawList, initial_list))
            self.deliver([ListUpdated(self.endpoint_list.revision, from_service=False)])
        self.open_task = asyncio.create_task(self.open_server())

    def close(self) -> None:
        """Ends all links and requests."""
        for task in (self.request_task, self.open_task):
            if task:
                task.cancel()
        self.links.close_all()
        self.server.close()
        super().close()

    async def open_server(self) -> None:
        """Starts to listen for links.

        Retries until the address can be bound, since the previous process may still hold it.
        """
        while True:
            try:
                await self.server.open(self.listen)
                break
            except OSError as error:
                self.telemetry.log_once("links_address_in_use", address=self.listen, why=str(error))
                await asyncio.sleep(BIND_RETRY_INTERVAL_S)
        self.telemetry.log.event("info", "links_open", address=self.listen)

    # The election

    async def watch_forever(self) -> None:
        """Delivers the election's ticks and membership changes, and expires drain notices, forever.

        Requests to the discovery service run in `request_task`.
        """
        while True:
            events: list[Event] = [TickDue()]
            table = self.membership.core.table
            if table.version != self.member_table_version:
                self.member_table_version = table.version
                names = frozenset(table.record_at(index).name for index in table.living_indexes())
                events.append(LiveControllersChanged(names))
            self.deliver(events)
            self.drain_notices.expire()
            await asyncio.sleep(TICK_US / SECOND_US)

    def deliver(self, events: list[Event]) -> None:
        """Delivers events to the election and carries out its commands.

        An exception is only logged: if it propagated, it would end the election's ticks.
        """
        try:
            for command in self.election.deliver(now_us(), events):
                self.carry_out(command)
        except Exception as error:
            self.telemetry.record_failure("election", error)

    def carry_out(self, command: Command) -> None:
        """Carries out one command of the election."""
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
        """Starts or stops the requests to the discovery service.

        Args:
            is_enabled: Whether to send requests.
            watcher_rank: This controller's rank among the watchers; None if it is not a watcher.
        """
        if self.request_task:
            self.request_task.cancel()
            self.request_task = None
        if is_enabled:
            self.request_task = asyncio.create_task(self.watch_discovery_service(watcher_rank))

    async def watch_discovery_service(self, watcher_rank: int | None) -> None:
        """Watches the discovery service, forever.

        A watcher sends its first request after a delay by its rank, and further ones in rounds that
        are as short as the small number of watchers allows. Any other controller waits for its
        slot by its configured rank among all controllers.

        Args:
            watcher_rank: This controller's rank among the watchers; None if it is not a watcher.
        """
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
        """Logs and counts a transition of the election.

        If a controller was left because its revision is ahead of the discovery service's, its drain
        notices may be false; they are retracted.
        """
        self.telemetry.count(f"election.{transition.value}")
        self.telemetry.log.event(
            "warning" if transition in WARNING_TRANSITIONS else "info",
            f"election_{transition.value}",
            other=name,
            revision=self.endpoint_list.revision,
        )
        if transition is Transition.LEFT_AHEAD:
            self.drain_notices.retract(name)

    # Lists of the service and of other controllers

    def record_contact(self) -> None:
        """Records a contact with the discovery service.

        While the election waits for the service to confirm a revision, the contact does so: the
        service would not continue a watch from a revision that it does not know.
        """
        super().record_contact()
        if self.election.is_asking_service and self.endpoint_list.revision >= 0:
            self.deliver([ListUpdated(self.endpoint_list.revision, from_service=True)])

    def accept_list(self, text: bytes) -> bool:
        """Accepts a list from the discovery service; returns False if it cannot be used."""
        if not super().accept_list(text):
            return False
        self.store_list(text, from_service=True)
        return True

    def store_list(self, text: bytes, from_service: bool) -> None:
        """Stores an accepted list, and notifies the followers and the election."""
        self.endpoint_list.apply(orjson.loads(text))
        self.server.on_list_changed()
        self.deliver([ListUpdated(self.endpoint_list.revision, from_service)])

    def accept_list_from(self, name: str, text: bytes) -> None:
        """Accepts a list from another controller.

        A lower revision replaces a higher one only if the complete list was requested from this
        controller. The election requests it when both followed controllers report that the
        discovery service restarted its revisions.

        Args:
            name: Name of the controller that sent the list.
            text: The list as JSON.

        Raises:
            LinkError: The text is not a valid list.
        """
        try:
            revision = orjson.loads(text)["rev"]
        except (ValueError, KeyError, TypeError) as error:
            raise LinkError("not a valid endpoint list") from error
        is_lower = isinstance(revision, int) and revision < self.endpoint_list.revision
        if not isinstance(revision, int) or (is_lower and name not in self.full_list_from):
            self.telemetry.count("links.dropped.lower_revision")
            if isinstance(revision, int):
                return  # not an error: later frames of the controller may explain the revision
            raise LinkError("not a valid endpoint list")
        self.full_list_from.discard(name)
        if not Discovery.accept_list(self, text):
            raise LinkError("not a valid endpoint list")
        self.store_list(text, from_service=False)

    # Content of frames from followed controllers

    def on_service_contact(self, age_us: int) -> None:
        """Counts a followed controller's contact with the discovery service as an own contact.

        Args:
            age_us: Microseconds since that contact.
        """
        if not self.election.is_watching:
            self.has_contact = True
            self.last_contact_us = max(self.last_contact_us, now_us() - age_us)
            self.mark_list_fresh()

    def on_health_checks(self, frame: HealthCheckResults) -> None:
        """Passes on health check results of another controller, whichever side opened the link."""
        self.result_listener(frame)

    def on_drain_notices(
        self, name: str, revision: int, closed_hosts: list[tuple[str, HostState]]
    ) -> None:
        """Passes on notices of hosts that are draining or deleted in a list of that revision."""
        self.drain_notices.receive(name, revision, closed_hosts)

    # Links

    def connect(self, command: Connect) -> None:
        """Opens a link to a controller, at its host in the member table and the common port.

        If the member table does not have the controller, the link counts as closed at once.
        """
        record = self.membership.core.table.record_of(command.name)
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
        """Handles a link that the other end has closed, or that broke."""
        self.telemetry.count("links.closed")
        self.transfers.end(name)
        self.deliver([LinkClosed(name)])

    def disconnect(self, name: str) -> None:
        """Closes a link from this side."""
        if self.links.close(name):
            self.transfers.end(name)

    def share_health_checks(self, frame: HealthCheckResults) -> None:
        """Sends results to the followed controllers and to the followers."""
        self.links.send_to_all(frame)
        self.server.share_results(list(frame.results))
