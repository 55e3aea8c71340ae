"""HTTP calls report their progress at a failure, and the service time of the response."""

import asyncio
from collections.abc import Awaitable, Callable
from unittest.mock import ANY

import pytest

from plankroute.net.discovery import http_client as http
from plankroute.net.discovery.http_client import CallLimits, Response, fetch
from plankroute.net.process.errors import CallFailure, CallProgress

ServeConnection = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def handler_sending(data: bytes, stay_silent: bool = False) -> ServeConnection:
    """Returns a handler that sends the bytes one at a time, then closes or stays silent."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for at in range(len(data)):
            writer.write(data[at : at + 1])
            await writer.drain()
        if stay_silent:
            await reader.read()
        writer.close()

    return serve


def call(data: bytes, stay_silent: bool = False) -> Response | CallFailure:
    async def run() -> Response | CallFailure:
        async with await asyncio.start_server(
            handler_sending(data, stay_silent), "127.0.0.1", 0
        ) as server:
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            limits = CallLimits(
                connect_timeout_s=5.0,
                idle_timeout_s=0.2 if stay_silent else 5.0,
                max_body_bytes=100,
            )
            return await fetch(address, "/ping", limits)

    return asyncio.run(run())


def test_a_failed_call_reports_its_progress() -> None:
    ok = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nTEXT"
    assert call(ok) == Response(200, b"TEXT", ANY)
    chunked = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nTE\r\n2\r\nXT\r\n0\r\n\r\n"
    )
    assert call(chunked) == Response(200, b"TEXT", ANY)
    for data, progress in (
        (b"", CallProgress.REQUEST_SENT),
        (b"junk\r\n\r\n", CallProgress.REQUEST_SENT),
        (ok[:-2], CallProgress.RESPONSE_BODY),
        (ok.replace(b"4", b"400") + b"x" * 400, CallProgress.RESPONSE_BODY),
    ):
        failed = call(data)
        assert isinstance(failed, CallFailure)
        assert failed.progress is progress and not failed.timed_out
    silent = call(b"HTTP/1.1 200", stay_silent=True)
    assert isinstance(silent, CallFailure) and silent.timed_out


def test_the_round_trip_to_a_far_host_is_not_counted_as_its_service_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Connecting took 3 s, so 3 s of the 10 s since the request count as the round trip."""
    monkeypatch.setattr(http, "monotonic", iter([0.0, 3.0, 13.0]).__next__)
    answer = call(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert isinstance(answer, Response) and answer.served_us == 7_000_000
