"""Which connections are closed at a limit: unidentified peers, monitors, collectors and proxies."""

import asyncio
from dataclasses import replace

import pytest
from support.service_harness import HELLO, Client, RunningService, run_scenario

from plankroute.net.proxies import connection_table

RETURNING_HELLO = HELLO.replace("cold=1", "cold=0")


@pytest.mark.parametrize(
    "first_bytes",
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
def test_a_peer_with_an_invalid_first_message_gets_an_error_and_is_closed(
    first_bytes: bytes,
) -> None:
    async def scenario(running: RunningService) -> None:
        client = await running.connect()
        # Lines after the first, rejected line are ignored.
        client.writer.write(first_bytes + b"\r\n" + HELLO.encode() + b"\r\n")
        assert await client.receive("error") == "error"
        await running.wait_until(lambda: not running.service.listener.table.connections)
        assert not running.service.listener.sessions.by_proxy

    run_scenario(scenario)


def test_unidentified_peers_are_closed_after_a_timeout_and_monitors_stay() -> None:
    async def scenario(running: RunningService) -> None:
        table = running.service.listener.table
        monitor = await running.connect("probe")
        silent = await running.connect()
        partial = await running.connect()
        partial.writer.write(HELLO[:20].encode())
        await monitor.receive("alive")
        await running.wait_until(
            lambda: len(table.connections) == 3 and running.counts["received.bytes"] == 27
        )
        table.sweep()
        assert len(table.unidentified) == 2  # before the identification timeout
        for connection in table.connections:
            connection.connected_at -= connection_table.IDENTIFICATION_TIMEOUT_S
        # The timeout counts from the accept, not from the last byte.
        partial.writer.write(HELLO[20:24].encode())
        await running.wait_until(lambda: running.counts["received.bytes"] == 31)
        table.sweep()
        assert await silent.receive() == await partial.receive() == "error"
        assert await silent.is_closed() and await partial.is_closed()
        monitor.send("probe")
        assert await monitor.receive() == "alive"

    run_scenario(scenario)


def test_hundreds_of_unidentified_peers_leave_room_for_proxies_and_collectors() -> None:
    async def scenario(running: RunningService) -> None:
        table = running.service.listener.table
        table.limits = replace(table.limits, connections=60, liveness_checkers=3)
        collector = await running.connect("agent locality=a")
        proxy = await running.connect(HELLO)
        await proxy.receive("replace=1")
        silent = await asyncio.gather(*[running.connect() for _ in range(200)])
        monitors = await asyncio.gather(*[running.connect("probe") for _ in range(50)])
        await running.wait_until(lambda: running.counts["received.liveness_check"] == 50)
        late = await running.connect()
        hello = HELLO.replace("=3", "=4")
        late.writer.write(hello[:20].encode())
        await running.wait_until(
            lambda: len(table.connections) <= 60 and running.counts["received.connections"] == 253
        )
        late.send(hello[20:], "probe")
        assert await late.receive("alive") == "alive"
        assert len(table.liveness_checkers) <= 3 and await monitors[0].receive() == "alive"
        assert await silent[0].receive() == "error"
        collector.send("outcomes locality=a endpoint=s-1 total=9 errors=0 rtt=41.7 interval=1000")
        await running.wait_until(lambda: running.counts["received.outcomes"] == 1)
        proxy.send("probe")
        assert await proxy.receive("alive") == "alive"

    run_scenario(scenario)


def test_a_silent_collector_is_closed_when_its_zone_has_a_new_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(running: RunningService) -> None:
        old = await running.connect("agent locality=a")
        other = await running.connect("agent locality=b")
        await running.wait_until(lambda: running.counts["received.collector"] == 2)
        await running.connect("agent locality=a")
        await running.wait_until(lambda: running.counts["received.collector"] == 3)
        assert running.counts["dropped.collectors"] == 0  # the old one has sent data recently
        monkeypatch.setattr(connection_table, "COLLECTOR_TIMEOUT_S", -1.0)
        await running.connect("agent locality=a")
        assert await old.is_closed()
        other.send("probe")
        assert await other.receive() == "alive"

    run_scenario(scenario)


def test_a_hello_that_arrives_after_the_identification_timeout_is_ignored() -> None:
    async def scenario(running: RunningService) -> None:
        table = running.service.listener.table
        late = await running.connect()
        late.writer.write(HELLO[:-1].encode())
        await running.wait_until(lambda: running.counts["received.bytes"] == len(HELLO) - 1)
        (connection,) = table.connections
        connection.connected_at -= connection_table.IDENTIFICATION_TIMEOUT_S
        late.writer.write(b"1\r\n")
        table.sweep()
        assert await late.receive() == "error" and await late.is_closed()
        assert not table.sessions.by_proxy and not table.connections
        assert await (await running.connect(HELLO)).receive("replace=1")

    run_scenario(scenario)


def test_returning_proxies_are_accepted_though_their_stalled_sessions_fill_the_table() -> None:
    async def scenario(running: RunningService) -> None:
        table = running.service.listener.table
        old_proxies = [
            await running.connect(HELLO.replace("=3", f"={proxy}")) for proxy in range(6)
        ]
        for old in old_proxies:
            await old.receive("replace=1")
        table.limits = replace(table.limits, connections=6)
        table.sessions.stall_timeout_s = -1.0
        table.sweep()
        table.sessions.stall_timeout_s = 60.0
        new_proxies = list[Client]()  # keeps the connections open
        for proxy in range(6):
            # The connection is accepted, and one is evicted for it, before its hello arrives.
            new = await running.connect()
            new_proxies.append(new)
            await running.wait_until(lambda: len(table.unidentified) == 1)
            new.send(RETURNING_HELLO.replace("=3", f"={proxy}"))
            assert await new.receive("replace=1")
        assert len(table.connections) <= 6 and len(table.sessions.joined) == 6

    run_scenario(scenario)


def test_a_flood_of_collectors_displaces_neither_proxies_nor_the_reporting_collector() -> None:
    async def scenario(running: RunningService) -> None:
        table = running.service.listener.table
        collector = await running.connect("agent locality=a")
        outcomes = "outcomes locality=a endpoint=s-1 total=9 errors=0 rtt=41.7 interval=1000"
        collector.send(outcomes)
        await running.wait_until(lambda: running.counts["received.outcomes"] == 1)
        flood = [await running.connect("agent locality=a") for _ in range(100)]
        await running.wait_until(
            lambda: running.counts["received.collector"] == 101 and len(table.connections) < 10
        )
        assert await flood[0].is_closed()
        collector.send(outcomes)
        await running.wait_until(lambda: running.counts["received.outcomes"] == 2)
        assert await (await running.connect(HELLO)).receive("replace=1")

    run_scenario(scenario)
