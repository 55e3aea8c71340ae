"""Discovery shared among stewards: a few watch the list service, the others take lists from them over links.

Who and whom is `coldstart.follow`'s to decide; here its actions meet sockets, log lines and counters."""

import asyncio
import traceback
from collections.abc import Callable
from typing import Any

import orjson

from plankroute.coldstart.calls import Began, CallFacts, Caller, Event
from plankroute.coldstart.early import EarlyDrains
from plankroute.coldstart.follow import (BEAT_US, NO_WORD_US, Action, BeatDue, Dial, Ended, Follow,
                                         FollowFacts, Hang, Holds, Living, Moved, Noted, Said, Watch)
from plankroute.coldstart.follow import Event as FollowEvent
from plankroute.coldstart.frames import VERSION, Beat, Begin, Drains, Frame, Hello, Part, Probed
from plankroute.coldstart.lists import HeldList, Incoming
from plankroute.interface.notes import ListKind
from plankroute.net.address import host_and_port
from plankroute.net.careful import CarefulDiscovery, now_us
from plankroute.net.catalogue import EntrySaid, ListSaid, Unread, entry_from
from plankroute.net.discovery import Discovery
from plankroute.net.links import LinkClient, LinkServer
from plankroute.net.members import Members

PLACE_US = 200_000  # between first calls of watchers: the second finds the list on its way already
MOST_LOGGED = 30  # hosts of one frame
OPEN_EVERY_S = 1.0  # between tries for an address that is held
WARNINGS = frozenset({"left_behind", "left_old", "left_ahead", "left_stalled", "began_anew", "on_its_own"})


class SharedDiscovery(CarefulDiscovery):
    """Needs membership; `prepare_links` before `start`."""

    def prepare_links(self, members: Members, facts: FollowFacts, listen: str, port: int, call: CallFacts,
                      seed: int) -> None:
        self.members, self.roles, self.listen, self.port = members, Follow(facts), listen, port
        self.name, self.group, self.call_facts, self.seed = facts.name, facts.group, call, seed
        self.held, self.server = HeldList(), LinkServer(self)
        self.early, self.unsettled = EarlyDrains(), list[str]()
        self.has_word = False  # of the service, be it by way of others; the list handed over is none
        self.clients: dict[str, LinkClient] = {}
        self.incoming: dict[str, Incoming] = {}
        self.partial: Incoming | None = None  # what has come of a whole list, wherever it goes on
        self.anew = set[str]()
        self.calling: asyncio.Task[None] | None = None
        self.serving: asyncio.Task[None] | None = None
        self.version = -1
        self.on_results: Callable[[Probed], None] = lambda frame: None

    def start(self, known: Any) -> None:
        """Guards against changes since the list handed over that are taken for a whole one, and handed on."""
        super().start(known)
        if self.revision is not None:
            self.held.take(known)
            self.work([Holds(self.held.revision, False)])
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
                self.book.say_once("links_address_held", address=self.listen, why=str(error))
                await asyncio.sleep(OPEN_EVERY_S)
        self.book.log.event("info", "links_open", address=self.listen)

    async def watch_always(self) -> None:
        """The beats of who follows whom; calls to the service are a task of their own."""
        while True:
            events: list[FollowEvent] = [BeatDue()]
            view = self.members.core.view
            if view.version != self.version:
                self.version = view.version
                events.append(Living(frozenset(view.at(place).name for place in view.living())))
            self.work(events)
            self.reopen(self.early.expire(now_us()))
            await asyncio.sleep(BEAT_US / 1e6)

    def work(self, events: list[FollowEvent]) -> None:
        """An error of ours is logged with its place, and must not leave the steward without beats."""
        try:
            for action in self.roles.deliver(now_us(), events):
                self.carry_out(action)
        except Exception as error:
            place = traceback.extract_tb(error.__traceback__)[-1]
            self.book.count("follow.failed")
            self.book.log.event("error", "follow_failed", why=f"{type(error).__name__}: {error}",
                                place=f"{place.name}:{place.lineno}")

    def carry_out(self, action: Action) -> None:
        match action:
            case Dial():
                self.dial(action)
            case Hang(name):
                self.hang(name)
            case Watch(on, place):
                if self.calling:
                    self.calling.cancel()
                self.calling = asyncio.create_task(self.calls(place)) if on else None
            case Noted(what, name):
                self.book.count(f"follow.{what}")
                level = "warning" if what in WARNINGS else "info"
                self.book.log.event(level, f"follow_{what}", other=name, revision=self.held.revision)
                if what == "left_ahead":
                    self.reopen(self.early.left(name))

    async def calls(self, place: int | None) -> None:
        """To the service: a watcher at once, and in rounds of the few watchers; else as everybody alone."""
        caller = self.caller
        event: Event = Began()
        if place is not None:
            caller = Caller(CallFacts(place, self.roles.facts.watchers, self.call_facts.calls_a_second,
                                      self.call_facts.pause_most_us, self.call_facts.retry_after_most_us),
                                      self.seed)
            await asyncio.sleep(place * PLACE_US / 1e6)
            event = await self.call_once()
        await self.call_on(caller, event)

    # What the service and others say

    def hear(self) -> None:
        """A watch that goes on from the revision held says that the service knows it."""
        super().hear()
        self.has_word = True
        if self.roles.is_asking and self.held.revision >= 0:
            self.work([Holds(self.held.revision, True)])

    def take(self, text: bytes) -> bool:
        """The service's own word."""
        if not super().take(text):
            return False
        self.believe(text, by_service=True)
        return True

    def believe(self, text: bytes, by_service: bool) -> None:
        self.held.take(orjson.loads(text))
        unsettled, self.unsettled = self.unsettled, []
        self.reopen(unsettled)
        self.server.changed()
        self.work([Holds(self.held.revision, by_service)])

    def take_from(self, name: str, text: bytes) -> str | None:
        """A list from another steward; why it is refused, if so. A lower revision never replaces a higher
        one, but where the service began anew, as two that are followed say."""
        try:
            revision = orjson.loads(text)["rev"]
        except (ValueError, KeyError, TypeError):
            return "no list"
        if not isinstance(revision, int) or (revision < self.held.revision and name not in self.anew):
            self.book.count("links.dropped.lower")
            return None if isinstance(revision, int) else "no list"  # what it goes on to say may explain it
        self.anew.discard(name)
        if not Discovery.take(self, text):
            return "no list"
        self.believe(text, by_service=False)
        return None

    def age_us(self) -> int:
        """How old the service's word is here, be it by way of others."""
        return now_us() - self.heard_us if self.has_word else NO_WORD_US

    def hear_frame(self, name: str, frame: Frame) -> str | None:
        """Why the link is of no more use, if so."""
        incoming = self.incoming.setdefault(name, Incoming(self.limits.most_body))
        objection: str | None = None
        match frame:
            case Begin(revision, whole, size, check, offset):
                if offset and self.partial:
                    incoming, self.incoming[name] = self.partial, self.partial
                objection = incoming.begin(revision, whole, size, check, offset)
                self.work([Moved(name)])
            case Part(data):
                self.work([Moved(name)])
                text, objection = incoming.add(data)
                if text is not None:
                    objection = self.take_from(name, text)
            case Beat(revision, age_us):
                if not self.roles.is_watching and age_us < NO_WORD_US:
                    self.has_word, self.heard_us = True, max(self.heard_us, now_us() - age_us)
                    self.mend_age()
                self.work([Said(name, revision, age_us)])
            case Probed():
                self.heard_results(frame)
            case Drains(revision, targets):
                self.work([Moved(name)])
                objection = self.heard_drains(name, revision, targets)
            case _:
                objection = "not for this side"
        if objection:
            self.book.count("links.objected")
            self.book.log.event("warning", "link_objected", other=name, why=objection)
        return objection

    def heard_results(self, frame: Probed) -> None:
        self.on_results(frame)

    # Drains ahead of the list that holds them

    def heard_drains(self, name: str, revision: int, targets: bytes) -> str | None:
        """Why they can't be read, if so."""
        try:
            items = orjson.loads(targets)
        except orjson.JSONDecodeError:
            return "no drains"
        if not isinstance(items, list):
            return "no drains"
        new = self.early.hear(now_us(), name, revision, items, self.held.revision, len(self.held.entries))
        self.book.counts["early.refused"] = self.early.refused
        if new:
            self.book.count("early.drains", len(new))
            self.book.log.event("info", "drains_early", other=name, revision=revision,
                                hosts=[item["uid"] for item in new[:MOST_LOGGED]])
            # Of hosts that are known here; those that are not come with their list.
            self.put_changes(revision, [item for item in new if item["uid"] in self.directory.ids])
        return None

    def put_changes(self, revision: int, items: list[dict[str, Any]]) -> None:
        listed, _ = self.directory.note(ListSaid(revision, False, tuple(map(entry_from, items))))
        self.put(listed)

    def reopen(self, uids: list[str]) -> None:
        """What was told of them no longer counts: they are again as the list that is held has them."""
        items = [item for uid in uids if (item := self.held.entries.get(uid)) is not None]
        if items:
            self.put_changes(self.held.revision, items)

    def note(self, said: ListSaid, kind: ListKind | None = None) -> None:
        """A list that is believed settles what was told up to its revision; the rest holds on over it."""
        began_anew = said.whole and said.revision < self.held.revision
        self.unsettled += self.early.settle(None if began_anew else said.revision)
        super().note(ListSaid(said.revision, said.whole, tuple(map(self.or_early, said.entries))), kind)

    def or_early(self, said: EntrySaid | Unread) -> EntrySaid | Unread:
        told = self.early.told.get(said.uid or "")
        early = entry_from(told.item) if told else said
        return early if isinstance(early, EntrySaid) else said

    # Links

    def dial(self, wanted: Dial) -> None:
        view = self.members.core.view
        place = view.index.get(wanted.name)
        if place is None:
            return self.work([Ended(wanted.name)])
        address = host_and_port(view.at(place).address)[0], self.port
        if wanted.anew:
            self.anew.add(wanted.name)
        partial = self.partial.partial() if self.partial and not wanted.light else None
        revision = -1 if wanted.anew else self.held.revision
        hello = Hello(VERSION, self.group, self.name, revision, wanted.light, partial)
        self.clients[wanted.name] = LinkClient(self, wanted.name, address,
                                               host_and_port(self.listen)[0], hello, self.hear_frame,
                                               self.ended)

    def ended(self, client: LinkClient, why: str) -> None:
        if self.clients.get(client.name) is client:
            self.book.count("links.ended")
            self.forget(client.name)
            self.work([Ended(client.name)])

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

    def tell_results(self, frame: Probed) -> None:
        """To those that are followed, and to those that follow."""
        for client in self.clients.values():
            client.say(frame)
        self.server.share(list(frame.results))
