"""The whole steward on loopback: a stand-in for discovery, the tests as proxies, collectors and strangers."""

import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import sys
from dataclasses import replace

import orjson
import pytest
from support.service_stage import (
    HELLO,
    Agent,
    Stage,
    ask,
    config,
    free_port,
    listing,
    play,
    process,
)

from plankroute.net.process.resource_limits import resource_limits_for
from plankroute.net.proxies import connection_table
from plankroute.net.proxies.connection import Connection


def test_a_proxy_joins_in_pieces_is_bound_and_answers_its_marks():
    async def scene(stage: Stage) -> None:
        asker = await stage.dial("probe")
        assert await asker.hear() == "alive"
        proxy = await stage.dial()
        proxy.writer.write(HELLO[:9].encode())
        await stage.until(lambda: stage.counts["received.bytes"] == len("probe\r\n" + HELLO[:9]))
        proxy.say(HELLO[9:])
        bound = await proxy.hear("replace=1")
        assert all(f"s-{n}:" in bound for n in (1, 2, 3)) and "gate=1 again=1" in bound
        mark = bound.split("stamp=")[1]
        proxy.say(
            "push rows=s-1:1",
            f"ack node=3 nonce={int(mark) + 1} latency=1",
            HELLO,
            "agent locality=a",
            f"ack node=3 nonce={mark} latency=1.5",
            "probe",
        )
        assert await proxy.hear("alive") == "alive"
        await stage.until(
            lambda: stage.service.core.controller.publisher.channel.unacknowledged == 0
        )
        assert stage.counts["rejected.parsing"] == 1 and stage.counts["rejected.admission"] == 3

    play(scene)


def test_changes_of_the_list_reach_the_proxy_and_a_lost_watch_is_renewed():
    async def scene(stage: Stage) -> None:
        proxy = await stage.dial(HELLO)
        await proxy.hear("replace=1")
        assert await stage.agent.asked.get() == "/catalog/members?watch=1&after=41"
        watch = await stage.agent.watches.get()
        drained = orjson.dumps(listing(43, "s-1", whole=False, state="DRAINING"))
        stage.agent.tell(watch, b"\n" + drained + b"\n\n")
        assert "s-1:0" in await proxy.hear("rows")
        watch.close()
        assert await stage.agent.asked.get() == "/catalog/members?watch=1&after=43"
        watch = await stage.agent.watches.get()
        stage.agent.tell(watch, b'{"rev": 44, "all": fal\n')
        assert (
            await stage.agent.asked.get() == "/catalog/members?watch=1&after=43"
        )  # nothing was taken of it
        watch = await stage.agent.watches.get()
        stage.agent.tell(watch, orjson.dumps(listing(45, "s-1", "s-3")) + b"\n")
        assert "s-2:0" in await proxy.hear("rows")
        stage.agent.tell(watch, orjson.dumps(listing(9, "s-1", whole=False)) + b"\n")
        assert await stage.agent.asked.get() == "/catalog/members"  # it began anew
        whole = await stage.agent.watches.get()
        stage.agent.tell(whole, orjson.dumps(listing(9, "s-1")))
        whole.write(b"0\r\n\r\n")
        assert "s-3:0" in await proxy.hear("rows")
        assert await stage.agent.asked.get() == "/catalog/members?watch=1&after=9"

    play(scene)


def test_a_new_configuration_moves_the_watch_and_a_bad_one_changes_nothing(tmp_path, monkeypatch):
    path, log = tmp_path / "config.json", list[bytes]()
    monkeypatch.setenv("GW_CONFIG", str(path))

    async def reload(stage: Stage, text: bytes, counter: str) -> None:
        before = stage.counts[counter]
        path.write_bytes(text)
        os.kill(os.getpid(), signal.SIGHUP)
        await stage.until(lambda: stage.counts[counter] > before)

    async def scene(stage: Stage) -> None:
        proxy = await stage.dial(HELLO)
        await proxy.hear("replace=1")
        old, elsewhere = await stage.agent.watches.get(), Agent()
        async with await asyncio.start_server(elsewhere.serve, "127.0.0.1", 0) as server:
            moved = orjson.loads(config(server.sockets[0].getsockname()[1]))
            moved["limits"]["sockets"], moved["listen"] = 600, "127.0.0.1:1"
            for text in (
                b"",
                orjson.dumps(moved)[:-9],
                orjson.dumps({**moved, "settings": 3}),
                b"[]",
                orjson.dumps({**moved, "discovery": "nowhere"}),
                orjson.dumps({**moved, "name": "n2"}),
            ):
                await reload(stage, text, "dropped.configurations")
            path.unlink()
            os.kill(os.getpid(), signal.SIGHUP)
            await stage.until(lambda: stage.counts["dropped.configurations"] == 7)
            assert elsewhere.asked.empty() and not old.transport.is_closing()
            await reload(stage, orjson.dumps(moved), "received.configurations")
            assert await elsewhere.asked.get() == "/catalog/members?watch=1&after=41"
            watch = await elsewhere.watches.get()
            elsewhere.tell(
                watch, orjson.dumps(listing(42, "s-1", whole=False, state="DRAINING")) + b"\n"
            )
            assert "s-1:0" in await proxy.hear("rows")  # on the same stream
            await stage.until(lambda: old.write(b"1\r\n\n\r\n") or old.transport.is_closing())
            assert stage.service.listener.table.limits == resource_limits_for(192, 600)
            await reload(
                stage, orjson.dumps(moved), "received.configurations"
            )  # the same again: nothing moves
            assert elsewhere.asked.empty() and stage.agent.asked.qsize() == 1

    play(scene, log)
    said = [
        line for line in map(orjson.loads, log) if line["event"] in ("reloaded", "reload_failed")
    ]
    assert [line["level"] for line in said] == ["error"] * 7 + ["warning"] * 2
    assert said[-1]["kept"] == ["listen"] and "it is n2's" in said[5]["why"]


def test_a_new_stream_before_the_old_ones_end_is_no_leaving():
    async def scene(stage: Stage) -> None:
        old = await stage.dial(HELLO)
        await old.hear("replace=1")
        new = await stage.dial(HELLO.replace("cold=1", "cold=0"))
        await new.hear("replace=1")
        assert await old.is_ended()
        await stage.until(lambda: len(stage.service.listener.table.connections) == 1)
        assert list(stage.service.core.controller.publisher.zone_of_proxy) == [3]
        assert 3 in stage.service.listener.sessions.by_proxy
        new.writer.transport.abort()
        await stage.until(lambda: not stage.service.core.controller.publisher.zone_of_proxy)

    play(scene)


def test_a_stall_timeout_stream_counts_as_left_until_it_speaks_again():
    async def scene(stage: Stage) -> None:
        proxy = await stage.dial(HELLO)
        bound = await proxy.hear("replace=1")
        publisher, sessions = (
            stage.service.core.controller.publisher,
            stage.service.listener.sessions,
        )
        stage.service.listener.table.sweep()
        assert publisher.zone_of_proxy and publisher.channel.unacknowledged
        sessions.stall_timeout_s = -1.0
        stage.service.listener.table.sweep()
        await stage.until(lambda: not publisher.zone_of_proxy)
        assert publisher.channel.unacknowledged == 0 and not proxy.writer.transport.is_closing()
        stage.service.listener.table.sweep()
        sessions.stall_timeout_s = 60.0
        proxy.say(f"ack node=3 nonce={bound.split('stamp=')[1]} latency=1")
        assert await proxy.hear("replace=1")
        assert stage.counts["sessions.stalled"] == 1 and list(publisher.zone_of_proxy) == [3]

    play(scene)


@pytest.mark.parametrize(
    "rude",
    [
        b"GET / HTTP/1.1\r\n",
        b"\x16\x03\x01\x02\x00\x01\n",
        b"hello node=99 locality=a w=1 cold=1\r\n",
        b"agent locality=zz\r\n",
        b"push rows=s-1:1\r\n",
        b"ack node=3 nonce=1 latency=1\r\n",
        b"x" * 6000,
        b"outcomes locality=a endpoint=s-1 total=9 errors=0 rtt=1 interval=1\r\n",
        b"probe\r\n" * 40,
    ],
)
def test_who_says_what_can_not_be_is_told_and_turned_away(rude):
    async def scene(stage: Stage) -> None:
        caller = await stage.dial()
        caller.writer.write(
            rude + b"\r\n" + HELLO.encode() + b"\r\n"
        )  # what follows no longer counts
        assert await caller.hear("error") == "error"
        await stage.until(lambda: not stage.service.listener.table.connections)
        assert not stage.service.listener.sessions.by_proxy

    play(scene)


def test_strangers_have_their_time_and_who_has_asked_stays():
    async def scene(stage: Stage) -> None:
        table = stage.service.listener.table
        asker, silent, half = await stage.dial("probe"), await stage.dial(), await stage.dial()
        half.writer.write(HELLO[:20].encode())
        await asker.hear("alive")
        await stage.until(
            lambda: len(table.connections) == 3 and stage.counts["received.bytes"] == 27
        )
        table.sweep()
        assert len(table.unidentified) == 2  # in time yet
        for connection in table.connections:
            connection.connected_at -= connection_table.IDENTIFICATION_TIMEOUT_S
        half.writer.write(
            HELLO[20:24].encode()
        )  # the time counts from connecting, not from the last byte
        await stage.until(lambda: stage.counts["received.bytes"] == 31)
        table.sweep()
        assert await silent.hear() == await half.hear() == "error"
        assert await silent.is_ended() and await half.is_ended()
        asker.say("probe")
        assert await asker.hear() == "alive"

    play(scene)


def test_hundreds_of_strangers_leave_room_for_proxies_and_collectors():
    async def scene(stage: Stage) -> None:
        table = stage.service.listener.table
        table.limits = replace(table.limits, connections=60, liveness_checkers=3)
        collector, proxy = await stage.dial("agent locality=a"), await stage.dial(HELLO)
        await proxy.hear("replace=1")
        silent = await asyncio.gather(*[stage.dial() for _ in range(200)])
        asking = await asyncio.gather(*[stage.dial("probe") for _ in range(50)])
        await stage.until(lambda: stage.counts["received.liveness_check"] == 50)
        late, hello = await stage.dial(), HELLO.replace("=3", "=4")
        late.writer.write(hello[:20].encode())
        await stage.until(
            lambda: len(table.connections) <= 60 and stage.counts["received.connections"] == 253
        )
        late.say(hello[20:], "probe")
        assert await late.hear("alive") == "alive"
        assert len(table.liveness_checkers) <= 3 and await asking[0].hear() == "alive"
        assert await silent[0].hear() == "error"
        collector.say("outcomes locality=a endpoint=s-1 total=9 errors=0 rtt=41.7 interval=1000")
        await stage.until(lambda: stage.counts["received.outcomes"] == 1)
        proxy.say("probe")
        assert await proxy.hear("alive") == "alive"

    play(scene)


@pytest.mark.parametrize(
    "torn", [b"\x88\xc9\x90\r\n", b"ack node=3 nonce=demand node=3 route=lookup\r\n"]
)
def test_a_stream_that_goes_on_unreadable_ends_and_the_proxys_new_one_is_taken(torn):
    async def scene(stage: Stage) -> None:
        publisher = stage.service.core.controller.publisher
        proxy, collector = await stage.dial(HELLO), await stage.dial("agent locality=a")
        await proxy.hear("replace=1")
        good = "demand node=3 route=lookup total=1 errors=0 interval=1000"
        proxy.say("ack node=3 nonce=nan latency=1", good.replace("=1 ", "=-3 "), good)
        await stage.until(
            lambda: stage.counts["received.demand"] == 1
        )  # what is spoilt costs itself alone
        assert publisher.zone_of_proxy and stage.counts["rejected.parsing"] == 2
        for caller in (proxy, collector):
            caller.writer.write(torn)
            assert await caller.is_ended()
        await stage.until(lambda: not publisher.zone_of_proxy)
        again = await stage.dial(HELLO.replace("cold=1", "cold=0"))
        assert await again.hear("replace=1") and stage.counts["dropped.unreadable"] == 2

    play(scene)


def test_a_collector_that_fell_silent_goes_when_its_zones_is_back(monkeypatch):
    async def scene(stage: Stage) -> None:
        old, other = await stage.dial("agent locality=a"), await stage.dial("agent locality=b")
        await stage.until(lambda: stage.counts["received.collector"] == 2)
        await stage.dial("agent locality=a")
        await stage.until(lambda: stage.counts["received.collector"] == 3)
        assert stage.counts["dropped.collectors"] == 0  # heard of a moment ago
        monkeypatch.setattr(connection_table, "COLLECTOR_TIMEOUT_S", -1.0)
        await stage.dial("agent locality=a")
        assert await old.is_ended()
        other.say("probe")
        assert await other.hear() == "alive"

    play(scene)


def test_a_reader_that_stands_still_holds_up_nobody():
    async def scene(stage: Stage) -> None:
        still, proxy = await stage.dial(HELLO), await stage.dial(HELLO.replace("=3", "=4"))
        await still.hear("replace=1")
        await proxy.hear("replace=1")
        connection: Connection = stage.service.listener.sessions.by_proxy[3]
        still.reader._transport.pause_reading()  # type: ignore[attr-defined]
        while connection.outbound.send(b"x" * 60000 + b"\r\n"):
            await asyncio.sleep(0)
        proxy.say("probe")
        assert await proxy.hear("alive") == "alive"
        assert connection.outbound.waiting.size > 1 << 20

    play(scene)


def test_a_failing_decision_is_logged_and_the_steward_goes_on(monkeypatch):
    log: list[bytes] = []

    async def scene(stage: Stage) -> None:
        runner = stage.service.core
        for part, name in ((runner.controller, "deliver"), (runner.message_builder, "build")):
            works = getattr(part, name)
            monkeypatch.setattr(part, name, lambda *_: 1 // 0)
            proxy = await stage.dial(HELLO)
            await stage.until(lambda: stage.counts["core.failed"] > 0)
            monkeypatch.setattr(part, name, works)
            stage.counts["core.failed"] = 0
            proxy.writer.transport.abort()
        proxy = await stage.dial(HELLO.replace("=3", "=5"))
        await proxy.hear("replace=1")

    play(scene, log)
    (failed,) = [said for said in map(orjson.loads, log) if said["event"] == "core_failed"][:1]
    assert failed["why"].startswith("ZeroDivisionError") and failed["place"].startswith("<lambda>")


@pytest.mark.parametrize(
    "text, word", [(None, "KeyError"), (b"{", "JSONDecodeError"), (b"{}", "KeyError")]
)
def test_a_bad_start_ends_with_one_line(tmp_path, text, word):
    path = tmp_path / "config.json"
    path.write_bytes(text or b"")
    env = (
        {**os.environ, "GW_CONFIG": str(path)}
        if text is not None
        else {name: value for name, value in os.environ.items() if name != "GW_CONFIG"}
    )
    done = subprocess.run(
        [sys.executable, "-m", "plankroute"], env=env, capture_output=True, timeout=60, check=False
    )
    assert done.returncode == 2 and done.stderr.count(b"\n") == 1 and word.encode() in done.stderr


def test_sigterm_prints_the_counters_and_ends_cleanly(tmp_path):
    text = config(discovery=9, listen=(port := free_port()))
    with (
        process(tmp_path / "config.json", text) as controller,
        socket.create_connection(("127.0.0.1", port)),
    ):
        assert ask(port) == b"alive\r\n"
        controller.send_signal(signal.SIGTERM)
        said = [json.loads(line) for line in controller.stderr.read().splitlines()]
        assert controller.wait(60) == 0
    assert [line["event"] for line in said[-2:]] == ["counters", "ended"] and said[-2][
        "core.batches"
    ] >= 1
    assert not [line for line in said if line["level"] == "error"]


def test_probes_wait_for_room_and_none_begins_once_the_steward_ends():
    log = list[bytes]()

    async def scene(stage: Stage) -> None:
        prober = stage.service.prober
        prober.capacity = lambda: 1
        stage.service.directory.hosts[
            1
        ].address = stage.service.configuration.discovery  # it answers without an end
        for host in (0, 1, 2, 2):
            prober.check(host)
        assert (
            len(prober.running) == 1
            and len(prober.waiting) == 2
            and stage.counts["dropped.health_checks"] == 1
        )
        await stage.until(lambda: stage.counts["sent.health_checks"] == 2)

    stage = play(scene, log)
    assert stage.counts["sent.health_checks"] == 2 and not stage.service.prober.waiting
    assert not [line for line in log if b"loop_failed" in line]


def test_a_killed_steward_listens_again_at_once_at_its_address(tmp_path):
    text = config(discovery=9, listen=(port := free_port()))
    with process(tmp_path / "config.json", text), socket.create_connection(("127.0.0.1", port)):
        assert ask(port) == b"alive\r\n"
    with process(tmp_path / "config.json", text):
        assert ask(port) == b"alive\r\n"


def test_no_descriptors_left_for_accepting_is_survived(tmp_path):
    text = config(discovery=9, listen=(port := free_port()))
    few = {"preexec_fn": lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (24, 24))}
    with process(tmp_path / "config.json", text, **few) as controller:
        silent = [socket.create_connection(("127.0.0.1", port)) for _ in range(40)]
        while b'"loop_failed"' not in controller.stderr.readline():
            pass
        for stranger in silent:
            stranger.close()
        assert ask(port) == b"alive\r\n"
