"""Streams: which connection is whose, and which proxies are joined, as the core is told."""

import time
from collections.abc import Callable
from dataclasses import replace

from plankroute.events import events
from plankroute.net.process.telemetry import Telemetry
from plankroute.net.proxies.connection import Peer


class Streams:
    """One a proxy: the newest. One that owes answers and says nothing counts as left until it speaks again.

    Guards against a cut, which ends no connection: lines written to silent streams would wait in the
    channel's books for good, and leave no room for the proxies that come back. The connection stays, since
    one that the steward ends is held against it. Harm: a proxy that stands still for longer gets no orders.
    """

    PATIENCE = (
        3.0  # times the longest regular way: a slow channel and a stalled proxy answer within it
    )

    def __init__(
        self,
        joined: set[int],
        telemetry: Telemetry,
        answer_s: float,
        put: Callable[[events.Event], None],
    ) -> None:
        self.joined, self.telemetry, self.put = joined, telemetry, put
        self.silent_s = self.PATIENCE * answer_s
        self.by_proxy: dict[int, Peer] = {}
        self.hellos: dict[Peer, events.ProxyJoined] = {}

    def join(self, peer: Peer, hello: events.ProxyJoined) -> None:
        """A new stream may come before the old one is seen to end: that end is then no leaving."""
        if old := self.by_proxy.get(hello.proxy):
            self.tell_left(hello.proxy)
            del self.hellos[old]
            old.outlet.reset()
        self.by_proxy[hello.proxy], self.hellos[peer] = peer, hello
        self.joined.add(hello.proxy)
        self.telemetry.log.event("info", "proxy_joined", proxy=hello.proxy, again=old is not None)
        self.put(hello)

    def end(self, peer: Peer, why: str) -> None:
        if hello := self.hellos.pop(peer, None):
            del self.by_proxy[hello.proxy]
            self.telemetry.log.event("info", "proxy_left", proxy=hello.proxy, why=why)
            self.tell_left(hello.proxy)

    def tell_left(self, proxy: int) -> None:
        """Once a stream: guards against a silent one, told already, that counts again among those that break
        together."""
        if proxy in self.joined:
            self.joined.discard(proxy)
            self.put(events.ProxyLeft(proxy))

    def look(self) -> None:
        """Finds the silent ones."""
        now = time.monotonic()
        for proxy, peer in self.by_proxy.items():
            if proxy in self.joined and peer.owes_for(now) > self.silent_s:
                self.telemetry.count("dropped.silent")
                self.telemetry.log.event(
                    "warning", "stream_silent", proxy=proxy, owes=len(peer.party.marks)
                )
                self.tell_left(proxy)

    def oldest_silent(self) -> Peer | None:
        """Of those that count as left, whoever has been silent for longest."""
        silent = (
            peer
            for peer, hello in self.hellos.items()
            if hello.proxy not in self.joined and not peer.is_ending()
        )
        return min(silent, key=lambda peer: peer.heard, default=None)

    def hear(self, peer: Peer) -> None:
        """A silent stream speaks again: its proxy is joined anew, on what it holds."""
        hello = self.hellos.get(peer)
        if hello and hello.proxy not in self.joined and not peer.is_ending():
            self.joined.add(hello.proxy)
            self.telemetry.log.event("info", "stream_back", proxy=hello.proxy)
            self.put(replace(hello, fresh=False))
