"""Sessions of proxies: which connection is whose, and which proxies are joined."""

import time
from collections.abc import Callable
from dataclasses import replace

from plankroute.events import events
from plankroute.net.process.telemetry import Telemetry
from plankroute.net.proxies.connection import Connection


class Sessions:
    """One for each proxy: the newest.

    A session that owes acknowledgements and says nothing is stalled: its proxy counts as left until
    it speaks again. Guards against a network cut, which ends no connection: lines written to
    stalled sessions would stay in the channel's accounting for good, and leave no room for the
    proxies that come back. The connection stays open, since one that the controller ends is held
    against it. Harm: a proxy that stands still for longer gets no tables.

    Args:
        joined: Proxies that are joined; kept up to date here.
        telemetry: Counters and log.
        max_ack_s: The longest regular time until an acknowledgement, in seconds.
        submit: Hands an event to the core.
    """

    # Times `max_ack_s`: a slow channel and a proxy that stood still acknowledge within it.
    STALL_FACTOR = 3.0

    def __init__(
        self,
        joined: set[int],
        telemetry: Telemetry,
        max_ack_s: float,
        submit: Callable[[events.Event], None],
    ) -> None:
        self.joined = joined
        self.telemetry = telemetry
        self.submit = submit
        self.stall_timeout_s = self.STALL_FACTOR * max_ack_s
        self.by_proxy: dict[int, Connection] = {}
        self.hellos: dict[Connection, events.ProxyJoined] = {}

    def open(self, connection: Connection, hello: events.ProxyJoined) -> None:
        """Opens a proxy's session.

        A new one may come before the old one is seen to end: that end is then no leaving.
        """
        replaced = self.by_proxy.get(hello.proxy)
        if replaced:
            self._report_left(hello.proxy)
            del self.hellos[replaced]
            replaced.outbound.abort()
        self.by_proxy[hello.proxy] = connection
        self.hellos[connection] = hello
        self.joined.add(hello.proxy)
        self.telemetry.log.event(
            "info", "proxy_joined", proxy=hello.proxy, again=replaced is not None
        )
        self.submit(hello)

    def close(self, connection: Connection, reason: str) -> None:
        """Closes the session of a connection, if it has one."""
        hello = self.hellos.pop(connection, None)
        if hello is None:
            return
        del self.by_proxy[hello.proxy]
        self.telemetry.log.event("info", "proxy_left", proxy=hello.proxy, why=reason)
        self._report_left(hello.proxy)

    def _report_left(self, proxy: int) -> None:
        """Reports a proxy as left, once a session.

        Guards against a stalled session that counts again among those that break together.
        """
        if proxy in self.joined:
            self.joined.discard(proxy)
            self.submit(events.ProxyLeft(proxy))

    def check_stalled(self) -> None:
        """Reports the proxies of sessions that have stalled as left."""
        now = time.monotonic()
        for proxy, connection in self.by_proxy.items():
            if proxy in self.joined and connection.silent_s(now) > self.stall_timeout_s:
                self.telemetry.count("sessions.stalled")
                self.telemetry.log.event(
                    "warning",
                    "session_stalled",
                    proxy=proxy,
                    unacknowledged=len(connection.identity.unacknowledged),
                )
                self._report_left(proxy)

    def longest_stalled(self) -> Connection | None:
        """Returns, of the stalled sessions, the connection that has been silent for longest."""
        stalled = (
            connection
            for connection, hello in self.hellos.items()
            if hello.proxy not in self.joined and not connection.is_closing()
        )
        return min(stalled, key=lambda connection: connection.last_heard_at, default=None)

    def resume(self, connection: Connection) -> None:
        """Bytes came: if the session was stalled its proxy joins anew, with the tables it holds."""
        hello = self.hellos.get(connection)
        if hello and hello.proxy not in self.joined and not connection.is_closing():
            self.joined.add(hello.proxy)
            self.telemetry.log.event("info", "session_resumed", proxy=hello.proxy)
            self.submit(replace(hello, fresh=False))
