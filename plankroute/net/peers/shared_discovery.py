"""Discovery shared among stewards: a few watch the list service, the others take lists from them over links.

Who and whom is `coldstart.follow`'s to decide; here its actions meet sockets, log lines and counters."""

import asyncio
from collections.abc import Callable
from typing import Any, Literal

import msgspec
import orjson

from plankroute.cold_start.backoff import BackoffFacts, Event, RequestScheduler, Started
from plankroute.cold_start.endpoint_list import EndpointList, ListReceiver
from plankroute.cold_start.link_codec import (
    LINK_VERSION,
    DrainNoticeFrame,
    Frame,
    HealthCheckResults,
    Heartbeat,
    Hello,
    ListPart,
    ListStart,
)
from plankroute.cold_start.watcher_election import (
    NEVER_HEARD_US,
    TICK_US,
    Command,
    Connect,
    Disconnect,
    ElectionFacts,
    FrameReceived,
    HeartbeatReceived,
    LinkClosed,
    ListUpdated,
    LiveControllersChanged,
    ReportTransition,
    SetWatch,
    TickDue,
    WatcherElection,
)
from plankroute.cold_start.watcher_election import Event as FollowEvent
from plankroute.net.discovery.backoff_watch import BackoffDiscovery
from plankroute.net.discovery.catalogue import STATES
from plankroute.net.discovery.watch import Discovery
from plankroute.net.peers.drain_notices import DrainNoticeOverlay
from plankroute.net.peers.links import LinkClient, LinkServer
from plankroute.net.peers.membership import MembershipService
from plankroute.net.process.address import host_and_port
from plankroute.net.process.clock import monotonic_us as now_us

PLACE_US = 200_000  # between first calls of watchers: the second finds the list on its way already
OPEN_EVERY_S = 1.0  # between tries for an address that is held
WARNINGS = frozenset(
    {"left_behind", "left_old", "left_ahead", "left_stalled", "began_anew", "on_its_own"}
)


class Closed(msgspec.Struct):
    """Of an entry of the list, what a drain ahead of it needs."""

    uid: str
    state: Literal["DRAINING", "DELETED"]


class SharedDiscovery(BackoffDiscovery):
    """Needs membership; `prepare_links` before `start`."""

    def prepare_links(
        self,
        members: MembershipService,
        facts: ElectionFacts,
        listen: str,
        port: int,
        call: BackoffFacts,
        seed: int,
    ) -> None:
        self.members, self.roles, self.listen, self.port = (
            members,
            WatcherElection(facts),
            listen,
            port,
        )
        self.name, self.group, self.call_facts, self.seed = facts.name, facts.group, call, seed
        self.held, self.server = EndpointList(), LinkServer(self)
        self.ahead = DrainNoticeOverlay(self.directory, self.telemetry, self.submit)
        self.list_filter = self.ahead.over
        self.clients: dict[str, LinkClient] = {}
        self.incoming: dict[str, ListReceiver] = {}
        self.partial: ListReceiver | None = (
            None  # what has come of a whole list, wherever it goes on
        )
        self.anew = set[str]()
        self.calling: asyncio.Task[None] | None = None
        self.serving: asyncio.Task[None] | None = None
        self.version = -1
        self.on_results: Callable[[HealthCheckResults], None] = lambda frame: None

    def start(self, known: Any) -> None:
        """Guards against changes since the list handed over that are taken for a whole one, and handed on."""
        super().start(known)
        if self.revision is not None:
            self.held.take(known)
            self.work([ListUpdated(self.held.revision, False)])
        self.serving = asyncio.create_task(self.serve())

    def close(self) -> None:
        for task in (self.calling, self.serving):
            if task:
                task.cancel()
        for client in self.clients.values():
            client.hang()
        self.server.close()
        super().close()

    async def serve(self) -> None:
        """Guards against an address that the process before still holds."""
        while True:
            try:
                await self.server.open(self.listen)
                break
            except OSError as error:
                self.telemetry.log_once("links_address_held", address=self.listen, why=str(error))
                await asyncio.sleep(OPEN_EVERY_S)
        self.telemetry.log.event("info", "links_open", address=self.listen)

    async def watch_forever(self) -> None:
        """The beats of who follows whom; calls to the service are a task of their own."""
        while True:
            events: list[FollowEvent] = [TickDue()]
            table = self.members.core.table
            if table.version != self.version:
                self.version = table.version
                events.append(
                    LiveControllersChanged(
                        frozenset(table.record_at(place).name for place in table.living_indexes())
                    )
                )
            self.work(events)
            self.ahead.reopen(self.ahead.core.expire(now_us()))
            await asyncio.sleep(TICK_US / 1e6)

    def work(self, events: list[FollowEvent]) -> None:
        """An error of ours is logged with its place, and must not leave the steward without beats."""
        try:
            for action in self.roles.deliver(now_us(), events):
                self.carry_out(action)
        except Exception as error:
            self.telemetry.failed("follow", error)

    def carry_out(self, action: Command) -> None:
        match action:
            case Connect():
                self.dial(action)
            case Disconnect(name):
                self.hang(name)
            case SetWatch(on, place):
                if self.calling:
                    self.calling.cancel()
                self.calling = asyncio.create_task(self.calls(place)) if on else None
            case ReportTransition(what, name):
                self.telemetry.count(f"follow.{what}")
                level = "warning" if what in WARNINGS else "info"
                self.telemetry.log.event(
                    level, f"follow_{what}", other=name, revision=self.held.revision
                )
                if what == "left_ahead":
                    self.ahead.reopen(self.ahead.core.left(name))

    async def calls(self, place: int | None) -> None:
        """To the service: a watcher at once, and in rounds of the few watchers; else as everybody alone."""
        caller = self.caller
        event: Event = Started()
        if place is not None:
            caller = RequestScheduler(
                BackoffFacts(
                    place,
                    self.roles.facts.watchers,
                    self.call_facts.calls_a_second,
                    self.call_facts.pause_most_us,
                    self.call_facts.retry_after_most_us,
                ),
                self.seed,
            )
            await asyncio.sleep(place * PLACE_US / 1e6)
            event = await self.call_once()
        await self.call_on(caller, event)

    # What the service and others say

    def record_contact(self) -> None:
        """A watch that goes on from the revision held says that the service knows it."""
        super().record_contact()
        if self.roles.is_asking and self.held.revision >= 0:
            self.work([ListUpdated(self.held.revision, True)])

    def accept_list(self, text: bytes) -> bool:
        """The service's own word."""
        if not super().accept_list(text):
            return False
        self.believe(text, by_service=True)
        return True

    def believe(self, text: bytes, by_service: bool) -> None:
        self.held.take(orjson.loads(text))
        self.server.changed()
        self.work([ListUpdated(self.held.revision, by_service)])

    def take_from(self, name: str, text: bytes) -> str | None:
        """A list from another steward; why it is refused, if so. A lower revision never replaces a higher
        one, but where the service began anew, as two that are followed say."""
        try:
            revision = orjson.loads(text)["rev"]
        except (ValueError, KeyError, TypeError):
            return "no list"
        if not isinstance(revision, int) or (
            revision < self.held.revision and name not in self.anew
        ):
            self.telemetry.count("links.dropped.lower")
            return (
                None if isinstance(revision, int) else "no list"
            )  # what it goes on to say may explain it
        self.anew.discard(name)
        if not Discovery.accept_list(self, text):
            return "no list"
        self.believe(text, by_service=False)
        return None

    def hear_frame(self, name: str, frame: Frame) -> str | None:
        """Why the link is of no more use, if so."""
        incoming = self.incoming.setdefault(name, ListReceiver(self.limits.max_body_bytes))
        objection: str | None = None
        match frame:
            case ListStart(revision, whole, size, check, offset):
                if offset and self.partial:
                    incoming, self.incoming[name] = self.partial, self.partial
                objection = incoming.begin(revision, whole, size, check, offset)
                self.work([FrameReceived(name)])
            case ListPart(data):
                self.work([FrameReceived(name)])
                text, objection = incoming.add(data)
                if text is not None:
                    objection = self.take_from(name, text)
            case Heartbeat(revision, age_us):
                if not self.roles.is_watching and age_us < NEVER_HEARD_US:
                    self.has_contact, self.last_contact_us = (
                        True,
                        max(self.last_contact_us, now_us() - age_us),
                    )
                    self.mend_age()
                self.work([HeartbeatReceived(name, revision, age_us)])
            case HealthCheckResults():
                self.heard_results(frame)
            case DrainNoticeFrame(revision, targets):
                self.work([FrameReceived(name)])
                objection = self.heard_drains(name, revision, targets)
            case _:
                objection = "not for this side"
        if objection:
            self.telemetry.count("links.objected")
            self.telemetry.log.event("warning", "link_objected", other=name, why=objection)
        return objection

    def heard_results(self, frame: HealthCheckResults) -> None:
        self.on_results(frame)

    def heard_drains(self, name: str, revision: int, targets: bytes) -> str | None:
        """Why they can't be read, if so."""
        try:
            said = msgspec.json.decode(targets, type=list[Closed])
        except msgspec.MsgspecError:
            return "no drains"
        self.ahead.hear(name, revision, [(item.uid, STATES[item.state]) for item in said])
        return None

    # Links

    def dial(self, wanted: Connect) -> None:
        table = self.members.core.table
        place = table.index_by_name.get(wanted.name)
        if place is None:
            return self.work([LinkClosed(wanted.name)])
        address = host_and_port(table.record_at(place).address)[0], self.port
        if wanted.anew:
            self.anew.add(wanted.name)
        partial = self.partial.partial() if self.partial and not wanted.light else None
        revision = -1 if wanted.anew else self.held.revision
        hello = Hello(LINK_VERSION, self.group, self.name, revision, wanted.light, partial)
        self.clients[wanted.name] = LinkClient(
            self,
            wanted.name,
            address,
            host_and_port(self.listen)[0],
            hello,
            self.hear_frame,
            self.ended,
        )

    def ended(self, client: LinkClient, why: str) -> None:
        if self.clients.get(client.name) is client:
            self.telemetry.count("links.ended")
            self.forget(client.name)
            self.work([LinkClosed(client.name)])

    def hang(self, name: str) -> None:
        if client := self.clients.get(name):
            client.hang()
            self.forget(name)

    def forget(self, name: str) -> None:
        """What had come of a whole list is kept for the next one."""
        del self.clients[name]
        incoming = self.incoming.pop(name, None)
        if incoming and incoming.partial():
            self.partial = incoming

    def tell_results(self, frame: HealthCheckResults) -> None:
        """To those that are followed, and to those that follow."""
        for client in self.clients.values():
            client.say(frame)
        self.server.share(list(frame.results))
