"""Tracks open connections, enforces their limits and chooses which to close at a limit."""

import time

from plankroute.net.process.resource_limits import ResourceLimits
from plankroute.net.process.telemetry import Telemetry
from plankroute.net.proxies.admission import Role
from plankroute.net.proxies.connection import Connection
from plankroute.net.proxies.line_codec import ERROR_LINE
from plankroute.net.proxies.sessions import Sessions

# Connections accepted in one event loop iteration. A small number ensures that the first bytes of a
# connection are read before a burst of newer connections can evict it.
MAX_ACCEPTS_PER_ITERATION = 16
# Counted from the accept. Peers send their first message within a second, possibly fragmented.
IDENTIFICATION_TIMEOUT_S = 1.5
# Liveness checks that an unidentified peer may send between two sweeps before it is rejected.
MAX_LIVENESS_CHECKS = 32
# Collectors report about once a second. The margin keeps a late report from closing a connection.
COLLECTOR_TIMEOUT_S = 60.0
# A zone has one collector, plus one or two stale connections after a network partition or restart.
MAX_ZONE_COLLECTORS = 4


class ConnectionTable:
    """Connections that count against the limits; a connection that is being closed does not.

    Args:
        sessions: Sessions of the proxies.
        telemetry: Counters and log.
        limits: Limits of connections, monitors and health checks.
    """

    def __init__(self, sessions: Sessions, telemetry: Telemetry, limits: ResourceLimits) -> None:
        self.sessions = sessions
        self.telemetry = telemetry
        self.limits = limits
        # Dicts serve as ordered sets, oldest first. `liveness_checkers` holds the monitors: peers
        # that have sent liveness checks only.
        self.connections: dict[Connection, None] = {}
        self.unidentified: dict[Connection, None] = {}
        self.liveness_checkers: dict[Connection, None] = {}

    def add(self, connection: Connection) -> None:
        """Adds a newly accepted connection and closes another one if the limit is exceeded."""
        self.connections[connection] = None
        self.unidentified[connection] = None
        self._enforce_limit()

    def remove(self, connection: Connection) -> None:
        """Removes a connection, which then no longer counts against the limits."""
        self.connections.pop(connection, None)
        self.mark_identified(connection)

    def mark_identified(self, connection: Connection) -> None:
        """Removes a connection from the unidentified connections and from the monitors."""
        self.unidentified.pop(connection, None)
        self.liveness_checkers.pop(connection, None)

    def reject(self, connection: Connection) -> None:
        """Sends an error line and closes the connection.

        The connection stops counting against the limits at once, before its task has ended, so that
        each call frees room for one connection.
        """
        self.remove(connection)
        self.telemetry.count("dropped.unidentified")
        connection.outbound.send_and_close(ERROR_LINE)

    def record_liveness_check(self, connection: Connection) -> None:
        """Records a liveness check of an unidentified peer and enforces the limits of monitors.

        If there are too many monitors, the one with the oldest last liveness check is rejected.
        """
        self.mark_identified(connection)
        self.liveness_checkers[connection] = None
        connection.liveness_checks += 1
        if connection.liveness_checks > MAX_LIVENESS_CHECKS:
            self.reject(connection)
        elif len(self.liveness_checkers) > self.limits.liveness_checkers:
            self.reject(next(iter(self.liveness_checkers)))

    def close_stale_collectors(self, connection: Connection) -> None:
        """Closes silent and surplus collector connections in the zone of a new collector.

        A connection cut by a network partition never ends by itself, so it is closed when the
        collector of its zone reconnects. The limit per zone keeps a flood of collectors from using
        up the room for proxies. Collectors that never sent outcomes are closed first, then those
        that have been silent for longest.

        Args:
            connection: The connection of the new collector.
        """
        silence_cutoff = time.monotonic() - COLLECTOR_TIMEOUT_S
        others = [
            other
            for other in self.connections
            if other is not connection
            and other.identity.role is Role.COLLECTOR
            and other.identity.zone == connection.identity.zone
            and not other.is_closing()
        ]
        others.sort(key=lambda other: (other.identity.has_reported, other.last_received_at))
        for position, other in enumerate(others):
            remaining = len(others) - position
            if other.last_received_at < silence_cutoff or remaining >= MAX_ZONE_COLLECTORS:
                self.telemetry.count("dropped.collectors")
                other.outbound.abort()

    def _enforce_limit(self) -> None:
        """Closes one connection if there are too many, a monitor or else an unidentified one.

        After a network partition, the stalled sessions of returning proxies may fill the table, so
        that the new connections of the same proxies would be rejected before their hello is read.
        Stalled sessions already count as left and are therefore evicted before the last few
        unidentified connections. The cost is that a proxy which was only paused has to reconnect.
        """
        if len(self.connections) <= self.limits.connections:
            return
        if not self.liveness_checkers and len(self.unidentified) <= MAX_ACCEPTS_PER_ITERATION:
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
        """Returns how many health checks may run concurrently.

        They may use their own share of descriptors and half of the free connections.
        """
        free = max(0, self.limits.connections - len(self.connections))
        return self.limits.health_checks + free // 2

    def sweep(self) -> None:
        """Rejects unidentified connections past their timeout and checks for stalled sessions."""
        now = time.monotonic()
        self.sessions.check_stalled(now)
        connected_cutoff = now - IDENTIFICATION_TIMEOUT_S
        expired = [each for each in self.unidentified if each.connected_at < connected_cutoff]
        for connection in expired:
            self.reject(connection)
        for connection in self.liveness_checkers:
            connection.liveness_checks = 0
