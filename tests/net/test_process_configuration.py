"""The configuration from operators, at the start and on SIGHUP."""

import asyncio
import os
import signal
from pathlib import Path

import orjson
import pytest
from support.service_harness import (
    HELLO,
    FakeDiscovery,
    RunningService,
    config,
    endpoint_list,
    run_scenario,
)

from plankroute.events.settings import SettingsError
from plankroute.net.process.configuration import parse_configuration
from plankroute.net.process.resource_limits import resource_limits_for


@pytest.mark.parametrize(
    "text", [b"", b"[]", b"{}", b'{"settings": {}}', b'{"name": "n", "listen": "x"}']
)
def test_a_malformed_configuration_raises_a_settings_error(text: bytes) -> None:
    with pytest.raises(SettingsError):
        parse_configuration(text)


def test_a_reload_moves_the_watch_and_an_invalid_one_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "config.json"
    log = list[bytes]()
    monkeypatch.setenv("GW_CONFIG", str(path))

    async def reload(running: RunningService, text: bytes, counter: str) -> None:
        before = running.counts[counter]
        path.write_bytes(text)
        os.kill(os.getpid(), signal.SIGHUP)
        await running.wait_until(lambda: running.counts[counter] > before)

    async def scenario(running: RunningService) -> None:
        proxy = await running.connect(HELLO)
        await proxy.receive("replace=1")
        old_watch = await running.discovery.watches.get()
        new_discovery = FakeDiscovery()
        async with await asyncio.start_server(new_discovery.serve, "127.0.0.1", 0) as server:
            moved = orjson.loads(config(server.sockets[0].getsockname()[1]))
            moved["limits"]["sockets"] = 600
            moved["listen"] = "127.0.0.1:1"
            for text in (
                b"",
                orjson.dumps(moved)[:-9],
                orjson.dumps({**moved, "settings": 3}),
                b"[]",
                orjson.dumps({**moved, "discovery": "nowhere"}),
                orjson.dumps({**moved, "name": "n2"}),
            ):
                await reload(running, text, "dropped.configurations")
            path.unlink()
            os.kill(os.getpid(), signal.SIGHUP)
            await running.wait_until(lambda: running.counts["dropped.configurations"] == 7)
            assert new_discovery.request_targets.empty() and not old_watch.transport.is_closing()
            await reload(running, orjson.dumps(moved), "received.configurations")
            assert await new_discovery.request_targets.get() == "/catalog/members?watch=1&after=41"
            watch = await new_discovery.watches.get()
            new_discovery.send(
                watch, orjson.dumps(endpoint_list(42, "s-1", whole=False, state="DRAINING")) + b"\n"
            )
            assert "s-1:0" in await proxy.receive("rows")  # in the existing session
            await running.wait_until(
                lambda: old_watch.write(b"1\r\n\n\r\n") or old_watch.transport.is_closing()
            )
            assert running.service.listener.table.limits == resource_limits_for(192, 600)
            # Reloading the same configuration does not restart the watch.
            await reload(running, orjson.dumps(moved), "received.configurations")
            assert (
                new_discovery.request_targets.empty()
                and running.discovery.request_targets.qsize() == 1
            )

    run_scenario(scenario, log)
    lines = map(orjson.loads, log)
    reloads = [line for line in lines if line["event"] in ("reloaded", "reload_failed")]
    assert [line["level"] for line in reloads] == ["error"] * 7 + ["warning"] * 2
    assert reloads[-1]["kept"] == ["listen"]
    assert "names controller n2" in reloads[5]["why"]
