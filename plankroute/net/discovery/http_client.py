"""Calls over HTTP/1.1, parsed by h11; what fails is a value that says how far the call had come."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass
from time import monotonic

import h11

from plankroute.net.process.address import host_and_port
from plankroute.net.process.clock import patience
from plankroute.net.process.errors import CallFailed, Reached

READ_AT_ONCE = 65536  # bytes
MOVES_ON = 4096  # bytes of a body within the quiet time: a slow way brings them, a drip does not


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    body: bytes
    served_us: (
        int  # from asking to the end, less a way there and back, as long as the connection took
    )


@dataclass(frozen=True, slots=True)
class Limits:
    """Time-outs in seconds, and the longest body in bytes.

    `quiet_s`: for the head, then for each `MOVES_ON` bytes, or what the reader of the body takes for news."""

    dial_s: float
    quiet_s: float
    max_body_bytes: int


class Call:
    """One GET on a connection of its own: closed at its end, since calls to one address are rare."""

    def __init__(self, address: str, target: str, limits: Limits) -> None:
        self.address, self.target, self.limits = address, target, limits
        self.reached, self.status = Reached.NOTHING, 0
        self.retry_after: bytes | None = None  # as the answer has it, if it does
        self.asked = self.dialled = (
            0.0  # when it asked, and how long the connection took to come up
        )
        self.due, self.brought = (
            0.0,
            0,
        )  # by when, on the loop's clock, something new is to come; bytes since
        self.machine = h11.Connection(h11.CLIENT)
        self.writer: asyncio.StreamWriter | None = None

    def failed(self, error: BaseException) -> CallFailed:
        why = f"{type(error).__name__}: {error}".strip(": ")
        return CallFailed(self.reached, why, isinstance(error, TimeoutError))

    def renew(self) -> None:
        """Something whole has come. Guards against a drip of bytes that keeps a call open for good."""
        self.due, self.brought = asyncio.get_running_loop().time() + self.limits.quiet_s, 0

    async def more(self, reader: asyncio.StreamReader) -> bytes:
        async with patience(self.due - asyncio.get_running_loop().time()):
            return await reader.read(READ_AT_ONCE)

    async def pieces(self) -> AsyncGenerator[bytes, None]:
        """The body as it comes; raises OSError, TimeoutError or h11.ProtocolError."""
        host, port = host_and_port(self.address)
        begun = monotonic()
        async with patience(self.limits.dial_s):
            reader, self.writer = await asyncio.open_connection(host, port, limit=READ_AT_ONCE)
        self.reached = Reached.CONNECTED
        head = h11.Request(
            method="GET",
            target=self.target,
            headers=[("Host", self.address), ("Connection", "close")],
        )
        self.writer.write(
            (self.machine.send(head) or b"") + (self.machine.send(h11.EndOfMessage()) or b"")
        )
        self.reached, self.asked = Reached.ASKED, monotonic()
        self.dialled = self.asked - begun
        self.renew()
        while True:
            event = self.machine.next_event()
            if event is h11.NEED_DATA:
                self.machine.receive_data(await self.more(reader))
            elif isinstance(event, h11.Response):
                self.renew()
                self.reached, self.status = Reached.HEAD, event.status_code
                self.retry_after = dict(event.headers).get(b"retry-after")
            elif isinstance(event, h11.Data):
                self.reached, self.brought = Reached.BODY, self.brought + len(event.data)
                if self.brought >= MOVES_ON:
                    self.renew()
                yield bytes(event.data)
            elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
                return

    def close(self) -> None:
        if self.writer:
            self.writer.transport.abort()


FAILURES = (OSError, TimeoutError, h11.ProtocolError, ValueError)


async def fetch(address: str, target: str, limits: Limits) -> Answer | CallFailed:
    call, body = Call(address, target, limits), bytearray()
    try:
        async with aclosing(call.pieces()) as pieces:
            async for piece in pieces:
                body += piece
                if len(body) > limits.max_body_bytes:
                    return CallFailed(call.reached, "body too long")
    except FAILURES as error:
        return call.failed(error)
    finally:
        call.close()
    served_s = max(0.0, monotonic() - call.asked - call.dialled)
    return Answer(call.status, bytes(body), int(served_s * 1e6))
