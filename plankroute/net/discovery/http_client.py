"""GET over HTTP/1.1, parsed by h11; a failure is a value that says how far the call had come."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass
from time import monotonic

import h11

from plankroute.net.process.address import host_and_port
from plankroute.net.process.clock import tolerant_timeout
from plankroute.net.process.errors import CallFailure, CallProgress

READ_BYTES = 65536
# Of a body within the idle timeout: a slow network path brings them, a drip does not.
PROGRESS_BYTES = 4096


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response.

    Attributes:
        status: The HTTP status.
        body: All of it.
        served_us: From the request to the end, less a round trip, as long as it took to connect.
    """

    status: int
    body: bytes
    served_us: int

    def log_fields(self) -> dict[str, str | int]:
        """Returns the response as fields of a log event, without its body."""
        return {"status": self.status, "body_bytes": len(self.body), "served_us": self.served_us}


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Bounds of a call.

    Attributes:
        connect_timeout_s: Until the connection is up.
        idle_timeout_s: For the head, then for each `PROGRESS_BYTES`, or what the reader of the body
            takes for progress.
        max_body_bytes: A longer body fails the call.
    """

    connect_timeout_s: float
    idle_timeout_s: float
    max_body_bytes: int


class Call:
    """One GET on a connection of its own, closed at its end: calls to one address are rare."""

    def __init__(self, address: str, target: str, limits: CallLimits) -> None:
        self.address = address
        self.target = target
        self.limits = limits
        self.progress = CallProgress.NOT_CONNECTED
        self.status = 0
        self.retry_after: bytes | None = None  # the header as the response has it
        self.began_at = 0.0  # on the monotonic clock, in seconds, as is the next one
        self.requested_at = 0.0
        self.connect_s = 0.0
        self.idle_deadline = 0.0  # on the event loop's clock
        self.bytes_since_progress = 0
        self.machine = h11.Connection(h11.CLIENT)
        self.writer: asyncio.StreamWriter | None = None

    def failure(self, error: BaseException) -> CallFailure:
        """Returns the failure that the error means for this call."""
        reason = f"{type(error).__name__}: {error}".strip(": ")
        return CallFailure(self.progress, reason, isinstance(error, TimeoutError))

    def record_progress(self) -> None:
        """Starts the idle timeout anew.

        Guards against a drip of bytes that keeps a call open for good: only complete things count.
        """
        self.idle_deadline = asyncio.get_running_loop().time() + self.limits.idle_timeout_s
        self.bytes_since_progress = 0

    async def pieces(self) -> AsyncGenerator[bytes, None]:
        """Sends the request and yields the body as it comes.

        Raises OSError, TimeoutError, ValueError or h11.ProtocolError.
        """
        reader = await self._connect()
        self._send_request()
        while True:
            event = self.machine.next_event()
            if event is h11.NEED_DATA:
                self.machine.receive_data(await self._read(reader))
            elif isinstance(event, h11.Response):
                self.record_progress()
                self.progress = CallProgress.RESPONSE_HEAD
                self.status = event.status_code
                self.retry_after = dict(event.headers).get(b"retry-after")
            elif isinstance(event, h11.Data):
                self._record_data(len(event.data))
                yield bytes(event.data)
            elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
                return

    async def _connect(self) -> asyncio.StreamReader:
        host, port = host_and_port(self.address)
        self.began_at = monotonic()
        async with tolerant_timeout(self.limits.connect_timeout_s):
            reader, self.writer = await asyncio.open_connection(host, port, limit=READ_BYTES)
        self.progress = CallProgress.CONNECTED
        return reader

    def _send_request(self) -> None:
        assert self.writer
        head = h11.Request(
            method="GET",
            target=self.target,
            headers=[("Host", self.address), ("Connection", "close")],
        )
        sent = (self.machine.send(head) or b"") + (self.machine.send(h11.EndOfMessage()) or b"")
        self.writer.write(sent)
        self.progress = CallProgress.REQUEST_SENT
        self.requested_at = monotonic()
        self.connect_s = self.requested_at - self.began_at
        self.record_progress()

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        remaining_s = self.idle_deadline - asyncio.get_running_loop().time()
        async with tolerant_timeout(remaining_s):
            return await reader.read(READ_BYTES)

    def _record_data(self, size: int) -> None:
        self.progress = CallProgress.RESPONSE_BODY
        self.bytes_since_progress += size
        if self.bytes_since_progress >= PROGRESS_BYTES:
            self.record_progress()

    def close(self) -> None:
        """Closes the connection at once."""
        if self.writer:
            self.writer.transport.abort()


CALL_ERRORS = (OSError, TimeoutError, h11.ProtocolError, ValueError)  # what `Call.pieces` raises


async def fetch(address: str, target: str, limits: CallLimits) -> Response | CallFailure:
    """Makes one call and returns its response, or why there is none."""
    call = Call(address, target, limits)
    body = bytearray()
    try:
        async with aclosing(call.pieces()) as pieces:
            async for piece in pieces:
                body += piece
                if len(body) > limits.max_body_bytes:
                    return CallFailure(call.progress, "body too long")
    except CALL_ERRORS as error:
        return call.failure(error)
    finally:
        call.close()
    served_s = max(0.0, monotonic() - call.requested_at - call.connect_s)
    return Response(call.status, bytes(body), int(served_s * 1e6))
