"""A client for HTTP/1.1 GET requests, based on h11.

`fetch` returns a failed call as a value that states how far the call had progressed.
"""

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
# Body bytes that restart the idle timeout. A slow network path delivers that many in time; a server
# that trickles single bytes does not.
PROGRESS_BYTES = 4096


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response.

    Attributes:
        status: The HTTP status code.
        body: The complete body.
        served_us: Service time in microseconds: the time from the request to the end of the
            response, less one round trip, which is approximated by the time to connect.
    """

    status: int
    body: bytes
    served_us: int

    def log_fields(self) -> dict[str, str | int]:
        """Returns the response as fields of a log event; the body is given by its length."""
        return {"status": self.status, "body_bytes": len(self.body), "served_us": self.served_us}


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits of a call.

    Attributes:
        connect_timeout_s: Timeout for establishing the connection, in seconds.
        idle_timeout_s: Timeout in seconds for the response head, then for each `PROGRESS_BYTES` of
            the body. A caller may restart it earlier by `Call.record_progress`.
        max_body_bytes: Maximum body length; `fetch` fails on a longer body.
    """

    connect_timeout_s: float
    idle_timeout_s: float
    max_body_bytes: int


class Call:
    """One GET request on its own connection, since calls to the same address are rare.

    Args:
        address: Address of the server, as "host:port".
        target: Request target.
        limits: Limits of the call.
    """

    def __init__(self, address: str, target: str, limits: CallLimits) -> None:
        self.address = address
        self.target = target
        self.limits = limits
        self.progress = CallProgress.NOT_CONNECTED
        self.status = 0
        self.retry_after: bytes | None = None  # raw header value, None if absent
        self.started_at = 0.0  # this and `requested_at`: monotonic clock, in seconds
        self.requested_at = 0.0
        self.connect_s = 0.0
        self.idle_deadline = 0.0  # on the event loop's clock
        self.bytes_since_progress = 0
        self.h11_connection = h11.Connection(h11.CLIENT)
        self.writer: asyncio.StreamWriter | None = None

    def failure(self, error: BaseException) -> CallFailure:
        """Returns an error of this call as a CallFailure."""
        reason = f"{type(error).__name__}: {error}".strip(": ")
        return CallFailure(self.progress, reason, isinstance(error, TimeoutError))

    def record_progress(self) -> None:
        """Restarts the idle timeout.

        Called only for a complete head, line or block of bytes, so that a server that trickles
        single bytes can't keep a call open forever.
        """
        self.idle_deadline = asyncio.get_running_loop().time() + self.limits.idle_timeout_s
        self.bytes_since_progress = 0

    async def stream_body(self) -> AsyncGenerator[bytes, None]:
        """Sends the request and yields the body in chunks as they arrive.

        Raises:
            OSError: The connection failed.
            TimeoutError: A timeout of the call expired.
            ValueError: The address is invalid.
            h11.ProtocolError: The response is not valid HTTP.
        """
        reader = await self._connect()
        self._send_request()
        while True:
            event = self.h11_connection.next_event()
            if event is h11.NEED_DATA:
                self.h11_connection.receive_data(await self._read(reader))
            elif isinstance(event, h11.Response):
                self.record_progress()
                self.progress = CallProgress.RESPONSE_HEAD
                self.status = event.status_code
                self.retry_after = dict(event.headers).get(b"retry-after")
            elif isinstance(event, h11.Data):
                self._record_body_bytes(len(event.data))
                yield bytes(event.data)
            elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
                return

    async def _connect(self) -> asyncio.StreamReader:
        host, port = host_and_port(self.address)
        self.started_at = monotonic()
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
        sent = (self.h11_connection.send(head) or b"") + (
            self.h11_connection.send(h11.EndOfMessage()) or b""
        )
        self.writer.write(sent)
        self.progress = CallProgress.REQUEST_SENT
        self.requested_at = monotonic()
        self.connect_s = self.requested_at - self.started_at
        self.record_progress()

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        remaining_s = self.idle_deadline - asyncio.get_running_loop().time()
        async with tolerant_timeout(remaining_s):
            return await reader.read(READ_BYTES)

    def _record_body_bytes(self, size: int) -> None:
        self.progress = CallProgress.RESPONSE_BODY
        self.bytes_since_progress += size
        if self.bytes_since_progress >= PROGRESS_BYTES:
            self.record_progress()

    def close(self) -> None:
        """Closes the connection at once."""
        if self.writer:
            self.writer.transport.abort()


CALL_ERRORS = (OSError, TimeoutError, h11.ProtocolError, ValueError)  # raised by `Call.stream_body`


async def fetch(address: str, target: str, limits: CallLimits) -> Response | CallFailure:
    """Makes one call and returns the complete response, or the failure."""
    call = Call(address, target, limits)
    body = bytearray()
    try:
        async with aclosing(call.stream_body()) as chunks:
            async for chunk in chunks:
                body += chunk
                if len(body) > limits.max_body_bytes:
                    return CallFailure(call.progress, "response body too long")
    except CALL_ERRORS as error:
        return call.failure(error)
    finally:
        call.close()
    served_s = max(0.0, monotonic() - call.requested_at - call.connect_s)
    return Response(call.status, bytes(body), int(served_s * 1e6))
