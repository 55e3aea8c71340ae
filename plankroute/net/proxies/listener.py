"""The controller's listening address: accepts connections, reads their lines and ends them."""

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
from plankroute.net.proxies.connection import Connection
from plankroute.net.proxies.connection_table import ACCEPTED_AT_ONCE, ConnectionTable
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

READ_BYTES = 16384  # a collector's second of lines
# The kernel's buffer of a connection: what one read may bring, times hundreds of them.
RECEIVE_BUFFER_BYTES = 65536
BACKLOG = 512  # connections that wait in the kernel: hundreds come at once
RECEIVED_COUNTERS: dict[type[InboundMessage], str] = {
    LivenessCheckMessage: "received.liveness_check",
    CollectorMessage: "received.collector",
    HelloMessage: "received.hello",
    AckMessage: "received.ack",
    OutcomesMessage: "received.outcomes",
    DemandMessage: "received.demand",
}


class Listener:
    """Serves each connection in a task; nothing that goes wrong with one reaches another."""

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
        """Changes the limits; what is open stays."""
        self.table.limits = limits
        self.pool.resize(limits.buffer_bytes)

    async def open(self, address: str) -> None:
        """Starts to accept connections; raises OSError where the address can't be had."""
        listening = socket.socket()
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # The kernel doubles the value that is set.
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES // 2)
            listening.bind(host_and_port(address))
            self.server = await asyncio.start_server(
                self._serve, sock=listening, backlog=ACCEPTED_AT_ONCE, limit=READ_BYTES
            )
            listening.listen(BACKLOG)
        except OSError:
            listening.close()
            raise

    def close(self) -> None:
        """Accepts no more connections."""
        if self.server:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves a connection from its start to its end."""
        connection = Connection(writer, self.pool)
        self.telemetry.count("received.connections")
        self.table.add(connection)
        writing = asyncio.create_task(connection.outbound.write_forever())
        reason = "ended"
        try:
            while data := await reader.read(READ_BYTES):
                self.telemetry.count("received.bytes", len(data))
                self._handle_data(connection, data)
        except OSError as error:
            reason = str(error)
        except asyncio.CancelledError:
            # Nothing waits for this task: its end is the connection's.
            reason = "the controller ends"
        except Exception as error:
            reason = f"{type(error).__name__}: {error}"
            self.telemetry.count("dropped.connections")
            self.telemetry.log.event("error", "connection_failed", why=reason)
        finally:
            writing.cancel()
            self._end(connection, reason)

    def _handle_data(self, connection: Connection, data: bytes) -> None:
        """Handles the lines; none counts once the connection is closing or its session replaced."""
        connection.last_heard_at = time.monotonic()
        self.sessions.resume(connection)
        for line in connection.line_reader.feed(data):
            if connection.is_closing():
                return
            self._handle_line(connection, line)

    def _handle_line(self, connection: Connection, line: bytes | Rejection) -> None:
        message = line if isinstance(line, Rejection) else parse_line(line)
        if isinstance(message, Rejection):
            self._reject(connection, message)
            return
        event = self.admission.admit(connection.identity, message)
        if isinstance(event, Rejection):
            self._reject(connection, event)
        else:
            self._accept(connection, message, event)

    def _reject(self, connection: Connection, rejection: Rejection) -> None:
        """Costs an unidentified peer the connection, and another one where no line can follow."""
        identity = connection.identity
        self.telemetry.reject(
            rejection.stage.value, rejection.reason, role=identity.role.value, proxy=identity.proxy
        )
        if identity.is_unidentified():
            connection.outbound.send_and_close(ERROR_LINE)
        elif rejection.breaks_framing:
            # Guards against a proxy that counts as left and stays so, in a session that is of no
            # more use.
            self.telemetry.count("dropped.unreadable")
            connection.outbound.abort()
            self.sessions.close(connection, rejection.reason)

    def _accept(
        self, connection: Connection, message: InboundMessage, event: events.Event | None
    ) -> None:
        self.telemetry.count(RECEIVED_COUNTERS[type(message)])
        match message:
            case OutcomesMessage(load_report=load_report) if load_report:
                self.telemetry.count_load_report(load_report)
            case LivenessCheckMessage():
                self._answer_liveness_check(connection)
            case CollectorMessage():
                self.table.replace_collectors(connection)
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

    def _end(self, connection: Connection, reason: str) -> None:
        self.table.remove(connection)
        self.sessions.close(connection, reason)
        if connection.identity.role is Role.COLLECTOR:
            self.telemetry.log.event("info", "collector_left", why=reason)
        connection.line_reader.buffer.release()
        connection.outbound.close()
