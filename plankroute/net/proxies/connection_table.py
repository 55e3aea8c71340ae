"""All open connections within their limits: which are closed first where room is short."""

import time

from plankroute.net.process.resource_limits import ResourceLimits
from plankroute.net.process.telemetry import Telemetry
from plankroute.net.proxies.admission import Role
from plankroute.net.proxies.connection import Connection
from plankroute.net.proxies.line_codec import ERROR_LINE
from plankroute.net.proxies.sessions import Sessions

# Accepted before others are read: each is heard before many younger ones could push it out.
ACCEPTED_AT_ONCE = 16
# From connecting on: first messages come within a second, in pieces at worst.
IDENTIFICATION_TIMEOUT_S = 1.5
# Between two sweeps: a peer that checks liveness without end is rejected.
MAX_LIVENESS_CHECKS = 32
# Reports come each second or so; a late one must not cost the connection.
COLLECTOR_TIMEOUT_S = 60.0
# Of a zone: it has one, and one or two that a network cut or a restart has left behind.
MAX_ZONE_COLLECTORS = 4


class ConnectionTable:
    """Connections that count against the limits; those being closed no longer do."""

    def __init__(self, sessions: Sessions, telemetry: Telemetry, limits: ResourceLimits) -> None:
        self.sessions = sessions
        self.telemetry = telemetry
        self.limits = limits
        # Dicts as ordered sets, the oldest first.
        self.connections: dict[Connection, None] = {}
        self.unidentified: dict[Connection, None] = {}
        self.liveness_checkers: dict[Connection, None] = {}

    def add(self, connection: Connection) -> None:
        """Takes a connection that was just accepted, and makes room for it."""
        self.connections[connection] = None
        self.unidentified[connection] = None
        self._enforce_limit()

    def remove(self, connection: Connection) -> None:
        """The connection takes no room any more."""
        self.connections.pop(connection, None)
        self.mark_identified(connection)

    def mark_identified(self, connection: Connection) -> None:
        """Its peer has said that it is a proxy or a collector."""
        self.unidentified.pop(connection, None)
        self.liveness_checkers.pop(connection, None)

    def reject(self, connection: Connection) -> None:
        """Sends an error and closes.

        It no longer counts, though its task is still to end: each call is to make room for one.
        """
        self.remove(connection)
        self.telemetry.count("dropped.unidentified")
        connection.outbound.send_and_close(ERROR_LINE)

    def record_liveness_check(self, connection: Connection) -> None:
        """Keeps monitors within their limit; those that have not asked for longest go first."""
        self.mark_identified(connection)
        self.liveness_checkers[connection] = None
        connection.liveness_checks += 1
        if connection.liveness_checks > MAX_LIVENESS_CHECKS:
            self.reject(connection)
        elif len(self.liveness_checkers) > self.limits.liveness_checkers:
            self.reject(next(iter(self.liveness_checkers)))

    def replace_collectors(self, connection: Connection) -> None:
        """A collector has connected: drops those of its zone that are silent or too many.

        One that a network cut has silenced never ends by itself: it goes when its zone's collector
        is back. Guards against a flood of collectors, too, that leaves proxies no room: those that
        never brought outcomes go first, then the one that has been quiet for longest.
        """
        silent_before = time.monotonic() - COLLECTOR_TIMEOUT_S
        others = [
            other
            for other in self.connections
            if other is not connection
            and other.identity.role is Role.COLLECTOR
            and other.identity.zone == connection.identity.zone
            and not other.is_closing()
        ]
        others.sort(key=lambda other: (other.identity.has_reported, other.last_heard_at))
        for position, other in enumerate(others):
            remaining = len(others) - position
            if other.last_heard_at < silent_before or remaining >= MAX_ZONE_COLLECTORS:
                self.telemetry.count("dropped.collectors")
                other.outbound.abort()

    def _enforce_limit(self) -> None:
        """Closes one connection where they are too many: monitors first, then unidentified ones.

        Guards against proxies back from a network cut that are rejected unheard, for the room is
        full of their own stalled sessions: these count as left, and go before the last few
        unidentified connections.
        Harm: a proxy that only stood still connects again.
        """
        if len(self.connections) <= self.limits.connections:
            return
        if not self.liveness_checkers and len(self.unidentified) <= ACCEPTED_AT_ONCE:
            stalled = self.sessions.longest_stalled()
            if stalled:
                self.telemetry.count("sessions.evicted")
                self.remove(stalled)
                stalled.outbound.abort()
                return
        candidates = self.liveness_checkers or self.unidentified
        if candidates:
            self.reject(next(iter(candidates)))

    def health_check_capacity(self) -> int:
        """Returns how many health checks may run: their own share and half of what is free."""
        free = max(0, self.limits.connections - len(self.connections))
        return self.limits.health_checks + free // 2

    def sweep(self) -> None:
        """Rejects unidentified connections whose time is over, and looks for stalled sessions."""
        self.sessions.check_stalled()
        latest = time.monotonic() - IDENTIFICATION_TIMEOUT_S
        expired = [each for each in self.unidentified if each.connected_at < latest]
        for connection in expired:
            self.reject(connection)
        for connection in self.liveness_checkers:
            connection.liveness_checks = 0
