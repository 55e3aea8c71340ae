"""Which responses of the discovery service end a watch, and which are a failed request."""

import asyncio

import pytest

from plankroute.cold_start.backoff import BackoffFacts, Event, RequestFailed, WatchEnded
from plankroute.net.discovery.backoff_watch import BackoffDiscovery
from plankroute.net.discovery.directory import Directory
from plankroute.net.process.clock import Clock
from plankroute.net.process.telemetry import EventLog, Telemetry

SECOND = 1_000_000


@pytest.mark.parametrize(
    "response, expected",
    [
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n0\r\n\r\n", WatchEnded),
        (b"HTTP/1.1 503 Busy\r\nRetry-After: 7\r\nContent-Length: 5\r\n\r\nbusy\n", RequestFailed),
        (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{"re\r\n', RequestFailed),
    ],
)
def test_a_watch_that_ends_without_changes_is_not_a_failed_request(
    response: bytes, expected: type[Event]
) -> None:
    """Guards against rounds that grow without a failure, and the body of a 503 taken for a list."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await writer.drain()
        writer.close()

    async def request() -> Event:
        async with asyncio.timeout(20), await asyncio.start_server(serve, "127.0.0.1", 0) as server:
            port = server.sockets[0].getsockname()[1]
            discovery = BackoffDiscovery(
                f"127.0.0.1:{port}",
                1 << 20,
                Directory(Clock(), ("a",), ("m",), ()),
                Telemetry(EventLog("n", [].append)),
                1,
                False,
                [].append,
            )
            discovery.prepare(BackoffFacts(0, 1, 20.0, SECOND, SECOND), SECOND, 1)
            discovery.revision = 5
            return await discovery.request_once()

    event = asyncio.run(request())
    assert isinstance(event, expected)
    assert not isinstance(event, RequestFailed) or event.retry_after_us in (None, 7 * SECOND)
