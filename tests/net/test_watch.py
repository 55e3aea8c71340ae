"""The watch of the endpoint list: changes arrive, and a fault delays them by a bounded time."""

import os
import signal
import time
from dataclasses import replace
from pathlib import Path

import orjson
import pytest
from support.faulty_discovery import (
    DRAINING_HOST_LINE,
    FAULTS,
    FaultyDiscovery,
    run_with_faulty_discovery,
)
from support.service_harness import HELLO, RunningService, config, endpoint_list, run_scenario

from plankroute.net.discovery import watch as watch_module


def test_changes_of_the_list_reach_the_proxy_and_a_lost_watch_is_renewed() -> None:
    async def scenario(running: RunningService) -> None:
        proxy = await running.connect(HELLO)
        await proxy.receive("replace=1")
        assert await running.discovery.request_targets.get() == "/catalog/members?watch=1&after=41"
        watch = await running.discovery.watches.get()
        drained = orjson.dumps(endpoint_list(43, "s-1", whole=False, state="DRAINING"))
        running.discovery.send(watch, b"\n" + drained + b"\n\n")
        assert "s-1:0" in await proxy.receive("rows")
        watch.close()
        assert await running.discovery.request_targets.get() == "/catalog/members?watch=1&after=43"
        watch = await running.discovery.watches.get()
        running.discovery.send(watch, b'{"rev": 44, "all": fal\n')
        # No part of the malformed list was applied.
        assert await running.discovery.request_targets.get() == "/catalog/members?watch=1&after=43"
        watch = await running.discovery.watches.get()
        running.discovery.send(watch, orjson.dumps(endpoint_list(45, "s-1", "s-3")) + b"\n")
        assert "s-2:0" in await proxy.receive("rows")
        running.discovery.send(watch, orjson.dumps(endpoint_list(9, "s-1", whole=False)) + b"\n")
        # Discovery was reset, so the complete list is fetched.
        assert await running.discovery.request_targets.get() == "/catalog/members"
        poll = await running.discovery.watches.get()
        running.discovery.send(poll, orjson.dumps(endpoint_list(9, "s-1")))
        poll.write(b"0\r\n\r\n")
        assert "s-3:0" in await proxy.receive("rows")
        assert await running.discovery.request_targets.get() == "/catalog/members?watch=1&after=9"

    run_scenario(scenario)


@pytest.mark.parametrize("fault", FAULTS)
def test_a_faulty_watch_is_renewed_after_its_timeout_and_a_pause(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A watch that hangs or trickles must not be kept open forever."""
    monkeypatch.setattr(watch_module, "IDLE_TIMEOUT_S", 0.2)
    log = list[bytes]()

    async def scenario(running: RunningService, faulty: FaultyDiscovery) -> None:
        running.service.discovery.set_max_list_bytes(
            running.service.configuration.limits.list_bytes
        )
        proxy = await running.connect(HELLO)
        await proxy.receive("replace=1")
        assert await faulty.request_targets.get() == "/catalog/members?watch=1&after=41"
        faulty.send(await faulty.watches.get(), DRAINING_HOST_LINE)
        assert "s-1:0" in await proxy.receive("rows")

    run_with_faulty_discovery(fault, scenario, log)
    logged = [orjson.loads(line)["event"] for line in log]
    assert logged.count("watch_ended") == 1 and "loop_failed" not in logged


@pytest.mark.parametrize(
    "fault", ["hangs in a line", "sends an endless line", "hangs before the response"]
)
def test_a_change_arrives_within_the_platforms_limit_after_a_faulty_watch(fault: str) -> None:
    """The idle timeout and the longest pause before a new call: 3.45 s plus the network delay."""
    delays_s = list[float]()

    async def scenario(running: RunningService, faulty: FaultyDiscovery) -> None:
        proxy = await running.connect(HELLO)
        await proxy.receive("replace=1")
        await faulty.request_received.wait()
        started = time.monotonic()
        faulty.send(await faulty.watches.get(), DRAINING_HOST_LINE)
        assert "s-1:0" in await proxy.receive("rows")
        delays_s.append(time.monotonic() - started)

    run_with_faulty_discovery(fault, scenario, [])
    longest = watch_module.IDLE_TIMEOUT_S + 1.5 * watch_module.RETRY_PAUSE_S
    assert longest < 3.5 and delays_s[0] < longest + 1.0 < 6.0


@pytest.mark.parametrize("then", ["fin", "reset"])
def test_a_drain_in_the_last_line_before_the_connection_breaks_is_applied(then: str) -> None:
    async def scenario(running: RunningService) -> None:
        proxy = await running.connect(HELLO)
        await proxy.receive("replace=1")
        watch = await running.discovery.watches.get()
        running.discovery.send(watch, DRAINING_HOST_LINE)
        await watch.drain()
        if then == "fin":
            watch.close()
        else:
            watch.transport.abort()
        assert "s-1:0" in await proxy.receive("rows")
        assert await running.discovery.request_targets.get() == "/catalog/members?watch=1&after=41"
        assert await running.discovery.request_targets.get() == "/catalog/members?watch=1&after=43"

    run_scenario(scenario)


@pytest.mark.parametrize(
    "fault", ["hangs before the response", "hangs in a line", "sends an endless line"]
)
def test_a_new_discovery_address_ends_a_hanging_call(
    fault: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "config.json"
    monkeypatch.setenv("GW_CONFIG", str(path))

    async def scenario(running: RunningService, faulty: FaultyDiscovery) -> None:
        await faulty.request_received.wait()
        proxy = await running.connect(HELLO)
        await proxy.receive("replace=1")
        path.write_bytes(config(int(running.service.configuration.discovery.rpartition(":")[2])))
        # Pretends that the previous configuration had another discovery address.
        running.service.configuration = replace(
            running.service.configuration, discovery="127.0.0.1:1"
        )
        while not running.discovery.watches.empty():
            running.discovery.watches.get_nowait()
        os.kill(os.getpid(), signal.SIGHUP)
        running.discovery.send(await running.discovery.watches.get(), DRAINING_HOST_LINE)
        assert "s-1:0" in await proxy.receive("rows")
        assert faulty.calls == 1

    run_with_faulty_discovery(fault, scenario, [])
