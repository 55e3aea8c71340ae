"""A discovery whose first call meets a fault: it hangs, breaks off, drips or sends nonsense."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

import orjson

from support.service_harness import FakeDiscovery, RunningService, endpoint_list, run_scenario

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


DRAINING_HOST_LINE = orjson.dumps(endpoint_list(43, "s-1", whole=False, state="DRAINING")) + b"\n"


def chunk(text: bytes) -> bytes:
    """Returns a chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(text), text)


class FaultyDiscovery(FakeDiscovery):
    """Its first call meets the fault; later ones are watches as they should be."""

    def __init__(self, fault: Callable[[asyncio.StreamWriter], Awaitable[None]]) -> None:
        super().__init__()
        self.fault, self.calls = fault, 0
        self.request_received = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        if self.calls > 1:
            return await super().serve(reader, writer)
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            self.request_received.set()
            await self.fault(writer)
            await reader.read()


async def send_repeatedly(writer: asyncio.StreamWriter, head: bytes, byte: bytes) -> None:
    """Sends the head and then the byte again and again, until the connection is closed."""
    writer.write(head)
    while not writer.transport.is_closing():
        writer.write(byte)
        await asyncio.sleep(0.01)


def respond(data: bytes, then: str = "") -> Callable[[asyncio.StreamWriter], Awaitable[None]]:
    async def fault(writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()
        if then == "fin":
            writer.close()
        elif then == "reset":
            writer.transport.abort()

    return fault


FAULTS: dict[str, Callable[[asyncio.StreamWriter], Awaitable[None]]] = {
    "hangs before the response": respond(b""),
    "hangs after the header": respond(HEAD),
    "hangs in a line": respond(HEAD + chunk(DRAINING_HOST_LINE[:30])),
    "hangs after whole lines": respond(HEAD + chunk(b"\n")),
    "ends after the header": respond(HEAD, "fin"),
    "ends in a line": respond(HEAD + chunk(DRAINING_HOST_LINE[:30]), "fin"),
    "is reset in a line": respond(HEAD + chunk(DRAINING_HOST_LINE[:30]), "reset"),
    "is reset before the response": respond(b"", "reset"),
    "sends an endless line": lambda writer: send_repeatedly(writer, HEAD, chunk(b" ")),
    "sends an endless header": lambda writer: send_repeatedly(
        writer, b"HTTP/1.1 200 OK\r\nX-Slow: ", b"x"
    ),
    "repeats interim responses": lambda writer: send_repeatedly(
        writer, b"", b"HTTP/1.1 100 Continue\r\n\r\n"
    ),
    "responds 503": respond(b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno"),
    "responds 503 and hangs": respond(b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\n"),
    "redirects": respond(
        b"HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:9/\r\nContent-Length: 0\r\n\r\n"
    ),
    "ends before its content length": respond(
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + DRAINING_HOST_LINE[:5], "fin"
    ),
    "sends an oversized line": respond(HEAD + chunk(b"x" * 9_000_000)),
    "does not speak HTTP": respond(b"\x16\x03\x01\x02\x00\x01\r\n\r\n"),
    "sends JSON that is no list": respond(HEAD + chunk(b"[3]\n")),
}


def run_with_faulty_discovery(
    fault: str,
    scenario: Callable[[RunningService, FaultyDiscovery], Awaitable[None]],
    log: list[bytes],
) -> None:
    """The scenario with an agent whose first call meets the fault."""

    async def inner(running: RunningService) -> None:
        faulty = FaultyDiscovery(FAULTS[fault])
        async with await asyncio.start_server(faulty.serve, "127.0.0.1", 0) as server:
            port = server.sockets[0].getsockname()[1]
            running.service.discovery.change_address(f"127.0.0.1:{port}")
            await scenario(running, faulty)

    run_scenario(inner, log)
