"""A discovery server that fails its first request: it hangs, disconnects or responds wrongly."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

import orjson

from support.service_harness import FakeDiscovery, RunningService, endpoint_list, run_scenario

RESPONSE_HEADER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
DRAINING_HOST_LINE = orjson.dumps(endpoint_list(43, "s-1", whole=False, state="DRAINING")) + b"\n"


def chunk(text: bytes) -> bytes:
    """Returns one chunk of a body in chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(text), text)


class FaultyDiscovery(FakeDiscovery):
    """Answers its first request with a fault, and later requests with a watch.

    Attributes:
        fault: Function that writes the faulty response.
        calls: Number of connections so far.
        request_received: Set once the first request has been received.
    """

    def __init__(self, fault: Callable[[asyncio.StreamWriter], Awaitable[None]]) -> None:
        super().__init__()
        self.fault, self.calls = fault, 0
        self.request_received = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection; after the fault, it waits for the controller to close."""
        self.calls += 1
        if self.calls > 1:
            return await super().serve(reader, writer)
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            self.request_received.set()
            await self.fault(writer)
            await reader.read()


async def send_repeatedly(writer: asyncio.StreamWriter, start: bytes, data: bytes) -> None:
    """Sends `start` once and then `data` every 10 ms until the connection is closed."""
    writer.write(start)
    while not writer.transport.is_closing():
        writer.write(data)
        await asyncio.sleep(0.01)


def respond(data: bytes, ending: str = "") -> Callable[[asyncio.StreamWriter], Awaitable[None]]:
    """Returns a fault that sends `data` and then ends the connection.

    Args:
        data: What the server sends.
        ending: "fin" to close the connection, "reset" to abort it, "" to leave it open.
    """

    async def fault(writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()
        if ending == "fin":
            writer.close()
        elif ending == "reset":
            writer.transport.abort()

    return fault


FAULTS: dict[str, Callable[[asyncio.StreamWriter], Awaitable[None]]] = {
    "hangs before the response": respond(b""),
    "hangs after the header": respond(RESPONSE_HEADER),
    "hangs in a line": respond(RESPONSE_HEADER + chunk(DRAINING_HOST_LINE[:30])),
    "hangs after whole lines": respond(RESPONSE_HEADER + chunk(b"\n")),
    "ends after the header": respond(RESPONSE_HEADER, "fin"),
    "ends in a line": respond(RESPONSE_HEADER + chunk(DRAINING_HOST_LINE[:30]), "fin"),
    "is reset in a line": respond(RESPONSE_HEADER + chunk(DRAINING_HOST_LINE[:30]), "reset"),
    "is reset before the response": respond(b"", "reset"),
    "sends an endless line": lambda writer: send_repeatedly(writer, RESPONSE_HEADER, chunk(b" ")),
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
    "sends an oversized line": respond(RESPONSE_HEADER + chunk(b"x" * 9_000_000)),
    "does not speak HTTP": respond(b"\x16\x03\x01\x02\x00\x01\r\n\r\n"),
    "sends JSON that is no list": respond(RESPONSE_HEADER + chunk(b"[3]\n")),
}


def run_with_faulty_discovery(
    fault: str,
    scenario: Callable[[RunningService, FaultyDiscovery], Awaitable[None]],
    log: list[bytes],
) -> None:
    """Runs a scenario in which the first request to discovery meets a fault.

    Args:
        fault: Key of `FAULTS`.
        scenario: Coroutine function of the running controller and its faulty discovery.
        log: List to which the controller's log lines are appended.
    """

    async def inner(running: RunningService) -> None:
        faulty = FaultyDiscovery(FAULTS[fault])
        async with await asyncio.start_server(faulty.serve, "127.0.0.1", 0) as server:
            port = server.sockets[0].getsockname()[1]
            running.service.discovery.change_address(f"127.0.0.1:{port}")
            await scenario(running, faulty)

    run_scenario(inner, log)
