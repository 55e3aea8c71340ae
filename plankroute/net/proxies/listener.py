"""Listens at the controller's address, accepts connections and handles the lines received."""

import asyncio
import socket
import time
from collections.abc import Callable

from plankroute.events import events
from plankroute.net.process.address import host_and_port
from plankroute.net.process.errors import Rejection
from plankroute.net.process.resource_limits import ResourceLimits
from plankroute.net.process.telemetry import Telemetry
from plankroute.net.proxies.admission import Admission, Role
from plankroute.net.proxies.bounded_reads import READ_BYTES, READER_LIMIT_BYTES, BoundedReadProtocol
from plankroute.net.proxies.connection import Connection
from plankroute.net.proxies.connection_table import MAX_ACCEPTS_PER_ITERATION, ConnectionTable
from plankroute.net.proxies.line_codec import ALIVE_LINE, ERROR_LINE, parse_line
from plankroute.net.proxies.messages import (
    AckMessage,
    CollectorMessage,
    DemandMessage,
    HelloMessage,
    InboundMessage,
    LivenessCheckMessage,
    OutcomesMessage,
)
from plankroute.net.proxies.ring_buffer import MemoryPool
from plankroute.net.proxies.sessions import Sessions

# Lines of one connection that are handled before those of others have their turn.
MAX_LINES_PER_TURN = 32
# Kernel receive buffer of one connection. It bounds what hundreds of connections can hold together.
RECEIVE_BUFFER_BYTES = 65536
LISTEN_BACKLOG = 512  # hundreds of connections may arrive at once
RECEIVED_COUNTERS: dict[type[InboundMessage], str] = {
    LivenessCheckMessage: "received.liveness_check",
    CollectorMessage: "received.collector",
    HelloMessage: "received.hello",
    AckMessage: "received.ack",
    OutcomesMessage: "received.outcomes",
    DemandMessage: "received.demand",
}


class Listener:
    """Serves each connection in its own task, so that an error in one does not affect others.

    Args:
        admission: Checks messages and converts them into events.
        sessions: Sessions of the proxies.
        telemetry: Counters and log.
        limits: Limits of connections and buffers.
        submit: Passes an event to the core.
    """

    def __init__(
        self,
        admission: Admission,
        sessions: Sessions,
        telemetry: Telemetry,
        limits: ResourceLimits,
        submit: Callable[[events.Event], None],
    ) -> None:
        self.admission = admission
        self.sessions = sessions
        self.telemetry = telemetry
        self.submit = submit
        self.pool = MemoryPool(limits.buffer_bytes)
        self.table = ConnectionTable(sessions, telemetry, limits)
        self.server: asyncio.Server | None = None

    def set_limits(self, limits: ResourceLimits) -> None:
        """Changes the limits; open connections stay open."""
        self.table.limits = limits
        self.pool.resize(limits.buffer_bytes)

    async def open(self, address: str) -> None:
        """Starts to accept connections.

        Raises:
            OSError: The socket can't be bound to the address.
        """
        sock = socket.socket()
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # Linux doubles the value that is set.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES // 2)
            sock.bind(host_and_port(address))
            self.server = await asyncio.get_running_loop().create_server(
                self._new_protocol, sock=sock, backlog=MAX_ACCEPTS_PER_ITERATION
            )
            sock.listen(LISTEN_BACKLOG)
        except OSError:
            sock.close()
            raise

    def _new_protocol(self) -> BoundedReadProtocol:
        return BoundedReadProtocol(asyncio.StreamReader(limit=READER_LIMIT_BYTES), self._serve)

    def close(self) -> None:
        """Stops accepting connections; open ones stay open."""
        if self.server:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads from a connection until it ends, then cleans up."""
        connection = Connection(writer, self.pool)
        self.telemetry.count("received.connections")
        self.table.add(connection)
        write_task = asyncio.create_task(connection.outbound.write_forever())
        reason = "connection closed"
        try:
            while data := await reader.read(READ_BYTES):
                self.telemetry.count("received.bytes", len(data))
                await self._handle_data(connection, data)
        except OSError as error:
            reason = str(error)
        except asyncio.CancelledError:
            # Not raised again: nothing awaits this task.
            reason = "controller is shutting down"
        except Exception as error:
            reason = f"{type(error).__name__}: {error}"
            self.telemetry.count("dropped.connections")
            self.telemetry.log.event("error", "connection_failed", why=reason)
        finally:
            write_task.cancel()
            self._clean_up(connection, reason)

    async def _handle_data(self, connection: Connection, data: bytes) -> None:
        """Handles received lines; ignores the rest once the connection is closing or replaced."""
        connection.last_received_at = time.monotonic()
        self.sessions.resume(connection)
        for number, line in enumerate(connection.line_reader.feed(data), 1):
            if connection.is_closing():
                return
            self._handle_line(connection, line)
            if number % MAX_LINES_PER_TURN == 0:
                await asyncio.sleep(0)

    def _handle_line(self, connection: Connection, line: bytes | Rejection) -> None:
        message = line if isinstance(line, Rejection) else parse_line(line)
        if isinstance(message, Rejection):
            self._reject(connection, message)
            return
        event = self.admission.admit(connection.identity, message)
        if isinstance(event, Rejection):
            self._reject(connection, event)
        else:
            self._handle_admitted(connection, message, event)

    def _reject(self, connection: Connection, rejection: Rejection) -> None:
        """Logs a rejection and closes the connection if it can't be used any more.

        That is the case if the peer is unidentified or the line framing is broken.
        """
        identity = connection.identity
        self.telemetry.reject(
            rejection.stage.value,
            rejection.reason,
            role=identity.role.value,
            proxy=identity.proxy,
            awaited=identity.awaited(),
        )
        if identity.is_unidentified():
            connection.outbound.send_and_close(ERROR_LINE)
        elif rejection.breaks_framing:
            # Otherwise the proxy could count as left for good, in a session that is unusable.
            self.telemetry.count("dropped.unreadable")
            connection.outbound.abort()
            self.sessions.close(connection, rejection.reason)
        else:
            self.sessions.report_rejection(connection)

    def _handle_admitted(
        self, connection: Connection, message: InboundMessage, event: events.Event | None
    ) -> None:
        self.telemetry.count(RECEIVED_COUNTERS[type(message)])
        match message:
            case OutcomesMessage(load_report=load_report) if load_report:
                self.telemetry.count_load_report(load_report)
            case AckMessage(sequence_number=sequence_number):
                self.sessions.progress.record(sequence_number, connection.last_received_at)
            case LivenessCheckMessage():
                self._answer_liveness_check(connection)
            case CollectorMessage():
                self.table.close_stale_collectors(connection)
        if not connection.identity.is_unidentified():
            self.table.mark_identified(connection)
            connection.allow_long_lines()
        if isinstance(event, events.ProxyJoined):
            self.sessions.open(connection, event)
        elif event is not None:
            self.submit(event)

    def _answer_liveness_check(self, connection: Connection) -> None:
        connection.outbound.send(ALIVE_LINE)
        if connection.identity.is_unidentified():
            self.table.record_liveness_check(connection)

    def _clean_up(self, connection: Connection, reason: str) -> None:
        self.table.remove(connection)
        self.sessions.close(connection, reason)
        if connection.identity.role is Role.COLLECTOR:
            self.telemetry.log.event("info", "collector_left", why=reason)
        connection.line_reader.buffer.release()
        connection.outbound.close()
