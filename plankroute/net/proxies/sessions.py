"""Sessions of proxies: maps proxies to connections and tracks which proxies are joined."""

from collections.abc import Callable
from dataclasses import replace

from plankroute.events import events
from plankroute.net.process.telemetry import Telemetry
from plankroute.net.proxies.channel_progress import ChannelProgress
from plankroute.net.proxies.connection import Connection


class Sessions:
    """The current session of each proxy; a new session replaces the previous one.

    A session is stalled if an acknowledgement is overdue and no data arrives, although the channel
    has sent the message. Its proxy then counts as left until data arrives again. The reason is
    network partitions, which do not end connections: lines written to stalled sessions would stay
    in the channel's accounting and leave no capacity for proxies that reconnect. The connection
    stays open, because a connection closed by the controller counts as a fault of the controller.
    The cost is that a proxy which is paused for longer than the timeout receives no tables.

    Args:
        joined: Ids of the joined proxies; updated by this class.
        telemetry: Counters and log.
        max_ack_s: Longest normal time until an acknowledgement, in seconds.
        submit: Passes an event to the core.
    """

    # Multiple of `max_ack_s`; covers acknowledgements over a slow channel or from a paused proxy.
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
        self.progress = ChannelProgress(self.stall_timeout_s)

    def open(self, connection: Connection, hello: events.ProxyJoined) -> None:
        """Opens the session of a proxy and replaces its previous one, if any.

        A proxy may reconnect before the end of its old connection is noticed. The end of a replaced
        connection does not make the proxy count as left. A hello on an earlier connection than the
        session's was delayed: the proxy has given that connection up, so it is closed.
        """
        replaced = self.by_proxy.get(hello.proxy)
        if replaced and connection.connected_at < replaced.connected_at:
            self.telemetry.log_once("dropped.delayed_hellos", proxy=hello.proxy)
            connection.outbound.abort()
            return
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
        """Closes the session of a connection, if it has one, and reports its proxy as left.

        Args:
            connection: The connection.
            reason: Why the session ends, for the log.
        """
        hello = self.hellos.pop(connection, None)
        if hello is None:
            return
        del self.by_proxy[hello.proxy]
        self.telemetry.log.event("info", "proxy_left", proxy=hello.proxy, why=reason)
        self._report_left(hello.proxy)

    def _report_left(self, proxy: int) -> None:
        """Reports a joined proxy as left; does nothing if it already counts as left.

        The end of a stalled session would otherwise count a second time in the detection of a mass
        disconnect.
        """
        if proxy in self.joined:
            self.joined.discard(proxy)
            self.submit(events.ProxyLeft(proxy))

    def report_rejection(self, connection: Connection) -> None:
        """Reports that a line of a session was rejected, if an acknowledgement is due there.

        The rejected line may have been the acknowledgement, which the proxy will not repeat.
        """
        hello = self.hellos.get(connection)
        if hello and connection.identity.unacknowledged:
            self.submit(events.AcknowledgementRejected(hello.proxy))

    def check_stalled(self, now: float) -> None:
        """Reports the proxies of newly stalled sessions as left.

        Args:
            now: The current time on the monotonic clock, in seconds.
        """
        for proxy, connection in self.by_proxy.items():
            if proxy in self.joined and self._is_stalled(connection, now):
                self.telemetry.count("sessions.stalled")
                self.telemetry.log.event(
                    "warning",
                    "session_stalled",
                    proxy=proxy,
                    unacknowledged=len(connection.identity.unacknowledged),
                    awaited=connection.identity.awaited(),
                    silent_ms=round(1000 * connection.ack_silence_s(now)),
                )
                self._report_left(proxy)

    def _is_stalled(self, connection: Connection, now: float) -> bool:
        """Returns whether an acknowledgement is overdue.

        It is not while other proxies acknowledge the same batch or earlier ones: on a channel that
        is slower than stated, the message may still be queued there.
        """
        awaited = connection.identity.awaited()
        if awaited is None or connection.ack_silence_s(now) <= self.stall_timeout_s:
            return False
        progress_at = self.progress.last_progress_at(awaited)
        return progress_at is None or now - progress_at > self.stall_timeout_s

    def longest_stalled(self) -> Connection | None:
        """Returns the connection of the longest-silent stalled session, or None."""
        stalled = (
            connection
            for connection, hello in self.hellos.items()
            if hello.proxy not in self.joined and not connection.is_closing()
        )
        return min(stalled, key=lambda connection: connection.last_received_at, default=None)

    def resume(self, connection: Connection) -> None:
        """Rejoins the proxy of a stalled session when data arrives; does nothing otherwise.

        The proxy still holds tables, so it is not reported as fresh.
        """
        hello = self.hellos.get(connection)
        if hello and hello.proxy not in self.joined and not connection.is_closing():
            self.joined.add(hello.proxy)
            self.telemetry.log.event("info", "session_resumed", proxy=hello.proxy)
            self.submit(replace(hello, fresh=False))
