"""Health checks: start interval, outcomes, hosts that change meanwhile, paused controllers."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest
from support.controller_model import READY, start_facts
from support.faulty_discovery import send_repeatedly
from support.service_harness import RunningService, run_scenario

from plankroute.events import events
from plankroute.events.events import HealthCheckOutcome
from plankroute.net.discovery.catalogue import EndpointList, ListEntry
from plankroute.net.discovery.directory import Directory
from plankroute.net.discovery.http_client import Response
from plankroute.net.probing.prober import HealthChecker, outcome_of
from plankroute.net.process.clock import Clock
from plankroute.net.process.errors import CallFailure, CallProgress
from plankroute.net.process.telemetry import EventLog, Telemetry


@pytest.mark.parametrize(
    "answer, outcome",
    [
        (Response(200, b"", 0), HealthCheckOutcome.ANSWERED),
        (Response(503, b"", 0), HealthCheckOutcome.ERROR),
        (
            CallFailure(CallProgress.NOT_CONNECTED, "", timed_out=True),
            HealthCheckOutcome.UNREACHABLE,
        ),
        (CallFailure(CallProgress.NOT_CONNECTED, "refused"), HealthCheckOutcome.UNREACHABLE),
        (CallFailure(CallProgress.REQUEST_SENT, "reset"), HealthCheckOutcome.ERROR),
        (CallFailure(CallProgress.REQUEST_SENT, "", timed_out=True), HealthCheckOutcome.TIMED_OUT),
    ],
)
def test_health_check_outcomes(answer: Response | CallFailure, outcome: HealthCheckOutcome) -> None:
    assert outcome_of(answer) is outcome


@pytest.mark.parametrize(
    ("result", "fields"),
    [
        (Response(503, b"xy", 70), {"status": 503, "body_bytes": 2, "served_us": 70}),
        (
            CallFailure(CallProgress.REQUEST_SENT, "reset"),
            {"reached": "request sent", "why": "reset", "timed_out": False},
        ),
    ],
)
def test_a_failed_health_check_is_logged_as_fields(
    result: Response | CallFailure, fields: dict[str, object]
) -> None:
    """The log event must have separate fields, not the text of a Python object."""
    telemetry = Telemetry(EventLog("n", lambda line: None))
    logged: list[dict[str, object]] = []
    telemetry.log.event = (  # type: ignore[method-assign]
        lambda level, event, **facts: logged.append({"event": event, **facts})
    )
    directory = Directory(Clock(), ("a",), ("m",), ("p",))
    entry = ListEntry("s-1", "127.0.0.1:9", "a", "m", 0, READY, 1.0, 0.0)
    directory.apply_list(EndpointList(1, True, (entry,)))
    prober = HealthChecker(
        start_facts(), directory, Clock(), telemetry, 1000, lambda: 9, lambda event: None
    )
    prober._report(directory.ids["s-1"], result, 0)
    (line,) = logged
    assert line.pop("event") == "health_check_failed"
    assert line.pop("host") == "s-1" and line.pop("outcome")
    assert line == fields


def test_health_checks_start_one_after_another() -> None:
    """If all started at once, the measured times would include the controller's own work."""

    async def run() -> None:
        telemetry = Telemetry(EventLog("n", lambda line: None))
        directory = Directory(Clock(), ("a",), ("m",), ("p",))
        entries = [
            ListEntry(f"s-{n}", "127.0.0.1:9", "a", "m", 0, READY, 1.0, 0.0) for n in range(3)
        ]
        directory.apply_list(EndpointList(1, True, tuple(entries)))
        prober = HealthChecker(
            start_facts(), directory, Clock(), telemetry, 1000, lambda: 9, lambda event: None
        )
        for host in range(3):
            prober.check(host)
        assert len(prober.running) == 1 and len(prober.queued) == 2
        while prober.queued or prober.running:
            await asyncio.sleep(0)
        assert telemetry.counts["sent.health_checks"] == 3

    asyncio.run(run())


def run_health_check(
    act: Callable[[RunningService, asyncio.StreamWriter], Awaitable[None]],
) -> list[events.HealthCheckResult]:
    """Runs one check of host 0 and returns the submitted results.

    The host does not answer by itself: `act` gets the writer of the connection once the request has
    arrived.
    """
    results = list[events.HealthCheckResult]()

    async def scenario(running: RunningService) -> None:
        requests = asyncio.Queue[asyncio.StreamWriter]()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await reader.readuntil(b"\r\n\r\n")
                requests.put_nowait(writer)
                await reader.read()

        async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
            prober = running.service.prober
            prober.submit = lambda event: (
                results.append(event) if isinstance(event, events.HealthCheckResult) else None
            )
            port = server.sockets[0].getsockname()[1]
            running.service.directory.hosts[0].address = f"127.0.0.1:{port}"
            prober.check(0)
            await act(running, await requests.get())
            await running.wait_until(lambda: not prober.running)

    run_scenario(scenario)
    return results


def send_ok_response(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


@pytest.mark.parametrize(
    "change", ["restarted", "moved", "forgotten", "forgotten and listed again"]
)
@pytest.mark.parametrize("ends", ["answers", "breaks"])
def test_a_health_check_that_ends_after_its_host_has_changed_is_dropped(
    change: str, ends: str
) -> None:
    """The result of the previous process of a host must not be attributed to the new one."""

    async def act(running: RunningService, writer: asyncio.StreamWriter) -> None:
        directory = running.service.directory
        known = directory.hosts[0]
        if change == "restarted":
            known.boot_ms = 5.0
        elif change == "moved":
            known.address = "127.0.0.1:9"
        else:
            directory.forget(0)
            if "again" in change:
                directory.ids[known.uid] = 7
                directory.hosts[7] = known
        if ends == "answers":
            send_ok_response(writer)
        else:
            writer.transport.abort()

    assert run_health_check(act) == []


def test_a_health_check_times_out_though_its_response_keeps_trickling(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def act(running: RunningService, writer: asyncio.StreamWriter) -> None:
        began = time.monotonic()
        await send_repeatedly(writer, b"HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n", b"x")
        limits = running.service.prober.limits
        assert time.monotonic() - began < limits.connect_timeout_s + limits.idle_timeout_s + 1.0

    (result,) = run_health_check(act)
    assert result.outcome is HealthCheckOutcome.TIMED_OUT


def test_a_pause_of_the_controller_does_not_time_out_a_health_check() -> None:
    """A host must not count as timed out or unreachable because the controller was paused."""

    async def act(running: RunningService, writer: asyncio.StreamWriter) -> None:
        limits = running.service.prober.limits
        # Blocks the event loop until the timeouts of the check are due.
        time.sleep(1.2 * (limits.connect_timeout_s + limits.idle_timeout_s))
        send_ok_response(writer)

    (result,) = run_health_check(act)
    assert result.outcome is HealthCheckOutcome.ANSWERED


def test_health_checks_wait_for_capacity_and_none_starts_during_shutdown() -> None:
    log = list[bytes]()

    async def scenario(running: RunningService) -> None:
        prober = running.service.prober
        prober.capacity = lambda: 1
        # The fake discovery never ends its responses, so a check of this host does not complete.
        host = running.service.directory.hosts[1]
        host.address = running.service.configuration.discovery
        for host_id in (0, 1, 2, 2):
            prober.check(host_id)
        assert len(prober.running) == 1 and len(prober.queued) == 2
        assert running.counts["dropped.health_checks"] == 1
        await running.wait_until(lambda: running.counts["sent.health_checks"] == 2)

    running = run_scenario(scenario, log)
    assert running.counts["sent.health_checks"] == 2 and not running.service.prober.queued
    assert not [line for line in log if b"loop_failed" in line]
