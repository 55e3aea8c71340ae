"""Sessions of proxies: fragmented hello, replacement, stalls, resumption and end."""

import asyncio

import orjson
import pytest
from support.faulty_discovery import DRAINING_HOST_LINE
from support.service_harness import HELLO, Client, RunningService, run_scenario

from plankroute.events import events
from plankroute.net.proxies.connection import Connection

RETURNING_HELLO = HELLO.replace("cold=1", "cold=0")


def submitted_events(running: RunningService) -> list[events.Event]:
    """Returns a list to which the events that sessions submit from now on are appended."""
    sessions = running.service.listener.sessions
    submitted = list[events.Event]()
    submit = sessions.submit

    def record(event: events.Event) -> None:
        submitted.append(event)
        submit(event)

    sessions.submit = record
    return submitted


async def stalled_proxy(running: RunningService) -> Client:
    """Returns a proxy that counts as left because its session is stalled."""
    proxy = await running.connect(HELLO)
    await proxy.receive("replace=1")
    sessions = running.service.listener.sessions
    sessions.stall_timeout_s = -1.0
    running.service.listener.table.sweep()
    sessions.stall_timeout_s = 60.0
    assert 3 not in sessions.joined
    return proxy


async def joined_pair(running: RunningService, acknowledging: int) -> dict[int, Client]:
    """Returns proxies 3 and 4, which joined in this order; then one acknowledged its table."""
    clients: dict[int, Client] = {}
    bound: dict[int, str] = {}
    for proxy in (3, 4):
        clients[proxy] = await running.connect(HELLO.replace("=3", f"={proxy}"))
        bound[proxy] = await clients[proxy].receive("replace=1")
    sequence_number = bound[acknowledging].split("stamp=")[1]
    clients[acknowledging].send(f"ack node={acknowledging} nonce={sequence_number} latency=1")
    await running.wait_until(lambda: running.counts["received.ack"] == 1)
    return clients


def test_a_proxy_with_a_fragmented_hello_joins_is_bound_and_acknowledges() -> None:
    async def scenario(running: RunningService) -> None:
        monitor = await running.connect("probe")
        assert await monitor.receive() == "alive"
        proxy = await running.connect()
        proxy.writer.write(HELLO[:9].encode())
        await running.wait_until(
            lambda: running.counts["received.bytes"] == len("probe\r\n" + HELLO[:9])
        )
        proxy.send(HELLO[9:])
        bound = await proxy.receive("replace=1")
        assert all(f"s-{n}:" in bound for n in (1, 2, 3)) and "gate=1 again=1" in bound
        sequence_number = bound.split("stamp=")[1]
        proxy.send(
            "push rows=s-1:1",
            f"ack node=3 nonce={int(sequence_number) + 1} latency=1",
            HELLO,
            "agent locality=a",
            f"ack node=3 nonce={sequence_number} latency=1.5",
            "probe",
        )
        assert await proxy.receive("alive") == "alive"
        await running.wait_until(
            lambda: running.service.core.controller.publisher.channel.unacknowledged == 0
        )
        assert running.counts["rejected.parsing"] == 1 and running.counts["rejected.admission"] == 3

    run_scenario(scenario)


def test_the_end_of_a_replaced_session_does_not_count_as_leaving() -> None:
    async def scenario(running: RunningService) -> None:
        old = await running.connect(HELLO)
        await old.receive("replace=1")
        new = await running.connect(HELLO.replace("cold=1", "cold=0"))
        await new.receive("replace=1")
        assert await old.is_closed()
        await running.wait_until(lambda: len(running.service.listener.table.connections) == 1)
        assert list(running.service.core.controller.publisher.zone_of_proxy) == [3]
        assert 3 in running.service.listener.sessions.by_proxy
        new.writer.transport.abort()
        await running.wait_until(
            lambda: not running.service.core.controller.publisher.zone_of_proxy
        )

    run_scenario(scenario)


def test_a_stalled_session_counts_as_left_until_data_arrives_again() -> None:
    async def scenario(running: RunningService) -> None:
        proxy = await running.connect(HELLO)
        bound = await proxy.receive("replace=1")
        publisher = running.service.core.controller.publisher
        sessions = running.service.listener.sessions
        running.service.listener.table.sweep()
        assert publisher.zone_of_proxy and publisher.channel.unacknowledged
        sessions.stall_timeout_s = -1.0
        running.service.listener.table.sweep()
        await running.wait_until(lambda: not publisher.zone_of_proxy)
        assert publisher.channel.unacknowledged == 0 and not proxy.writer.transport.is_closing()
        running.service.listener.table.sweep()
        sessions.stall_timeout_s = 60.0
        proxy.send(f"ack node=3 nonce={bound.split('stamp=')[1]} latency=1")
        assert await proxy.receive("replace=1")
        assert running.counts["sessions.stalled"] == 1 and list(publisher.zone_of_proxy) == [3]

    run_scenario(scenario)


def test_a_session_does_not_stall_while_earlier_messages_are_acknowledged() -> None:
    """Guards against a slow channel that is taken for a partition."""

    async def scenario(running: RunningService) -> None:
        sessions = running.service.listener.sessions
        proxies = await joined_pair(running, acknowledging=3)
        stalls_at = sessions.by_proxy[3].last_received_at + sessions.stall_timeout_s - 1e-6
        assert sessions.by_proxy[4].ack_silence_s(stalls_at) > sessions.stall_timeout_s
        sessions.check_stalled(stalls_at)
        assert sessions.joined == set(proxies)
        sessions.check_stalled(stalls_at + 0.001)
        assert sessions.joined == {3}

    run_scenario(scenario)


def test_a_session_stalls_in_time_although_later_messages_are_acknowledged() -> None:
    async def scenario(running: RunningService) -> None:
        sessions = running.service.listener.sessions
        proxies = await joined_pair(running, acknowledging=4)
        stalls_at = sessions.by_proxy[3].awaiting_ack_since + sessions.stall_timeout_s
        sessions.check_stalled(stalls_at + 0.001)
        assert sessions.joined == set(proxies) - {3}

    run_scenario(scenario)


def test_a_rejection_and_a_stall_are_logged_with_the_awaited_sequence_number() -> None:
    async def scenario(running: RunningService) -> None:
        proxy = await running.connect(HELLO)
        bound = await proxy.receive("replace=1")
        sequence_numbers.append(int(bound.split("stamp=")[1]))
        proxy.send("ack node=3 nonce=1")
        await running.wait_until(lambda: running.counts["rejected.parsing"] == 1)
        running.service.listener.sessions.stall_timeout_s = -1.0
        running.service.listener.table.sweep()

    sequence_numbers = list[int]()
    log = list[bytes]()
    run_scenario(scenario, log)
    lines = [orjson.loads(line) for line in log]
    named = [line["awaited"] for line in lines if line["event"] in ("rejected", "session_stalled")]
    assert named == 2 * sequence_numbers


@pytest.mark.parametrize(
    "broken", [b"\x88\xc9\x90\r\n", b"ack node=3 nonce=demand node=3 route=lookup\r\n"]
)
def test_a_session_with_broken_framing_ends_and_the_proxys_new_one_is_accepted(
    broken: bytes,
) -> None:
    async def scenario(running: RunningService) -> None:
        publisher = running.service.core.controller.publisher
        proxy = await running.connect(HELLO)
        collector = await running.connect("agent locality=a")
        await proxy.receive("replace=1")
        good = "demand node=3 route=lookup total=1 errors=0 interval=1000"
        proxy.send("ack node=3 nonce=nan latency=1", good.replace("=1 ", "=-3 "), good)
        # An invalid field makes only its own line invalid.
        await running.wait_until(lambda: running.counts["received.demand"] == 1)
        assert publisher.zone_of_proxy and running.counts["rejected.parsing"] == 2
        for client in (proxy, collector):
            client.writer.write(broken)
            assert await client.is_closed()
        await running.wait_until(lambda: not publisher.zone_of_proxy)
        again = await running.connect(HELLO.replace("cold=1", "cold=0"))
        assert await again.receive("replace=1") and running.counts["dropped.unreadable"] == 2

    run_scenario(scenario)


def test_a_proxy_that_does_not_read_does_not_block_others() -> None:
    async def scenario(running: RunningService) -> None:
        stopped = await running.connect(HELLO)
        proxy = await running.connect(HELLO.replace("=3", "=4"))
        await stopped.receive("replace=1")
        await proxy.receive("replace=1")
        connection: Connection = running.service.listener.sessions.by_proxy[3]
        stopped.reader._transport.pause_reading()  # type: ignore[attr-defined]
        while connection.outbound.send(b"x" * 60000 + b"\r\n"):
            await asyncio.sleep(0)
        proxy.send("probe")
        assert await proxy.receive("alive") == "alive"
        assert connection.outbound.pending.size > 1 << 20

    run_scenario(scenario)


@pytest.mark.parametrize(
    "end", ["closed", "reset", "replaced", "resumed and closed", "resumed and replaced"]
)
def test_a_stalled_session_is_reported_as_left_once(end: str) -> None:
    """A second report would count twice in the detection of a mass disconnect."""

    async def scenario(running: RunningService) -> None:
        submitted = submitted_events(running)
        proxy = await stalled_proxy(running)
        if end.startswith("resumed"):
            proxy.send("probe")
            await proxy.receive("alive")
        if end == "reset":
            proxy.writer.transport.abort()
        elif "replaced" in end:
            again = await running.connect(RETURNING_HELLO)
            await again.receive("replace=1")
        else:
            proxy.writer.close()
        remaining = 1 if "replaced" in end else 0
        table = running.service.listener.table
        await running.wait_until(lambda: len(table.connections) == remaining)
        kinds = [type(event).__name__ for event in submitted]
        expected = ["ProxyJoined", "ProxyLeft"]
        if end.startswith("resumed"):
            expected += ["ProxyJoined", "ProxyLeft"]
        if "replaced" in end:
            expected.append("ProxyJoined")
        assert kinds == expected

    run_scenario(scenario)


@pytest.mark.parametrize("end", ["fin", "reset", "not yet"])
def test_a_host_drained_between_two_sessions_is_not_in_the_first_message_of_the_new_one(
    end: str,
) -> None:
    async def scenario(running: RunningService) -> None:
        watch = await running.discovery.watches.get()
        old = await running.connect(HELLO)
        await old.receive("replace=1")
        publisher = running.service.core.controller.publisher
        lists_before = running.counts["received.lists"]
        if end == "not yet":
            old.reader._transport.pause_reading()  # type: ignore[attr-defined]
        else:
            if end == "fin":
                old.writer.close()
            else:
                old.writer.transport.abort()
            await running.wait_until(lambda: not publisher.zone_of_proxy)
        running.discovery.send(watch, DRAINING_HOST_LINE)
        await running.wait_until(lambda: running.counts["received.lists"] > lists_before)
        new = await running.connect(RETURNING_HELLO)
        first = await new.receive()
        assert "replace=1" in first and "s-2:" in first and "s-1:" not in first

    run_scenario(scenario)


def test_pending_lines_of_a_replaced_session_are_neither_sent_nor_left_in_the_accounting() -> None:
    async def scenario(running: RunningService) -> None:
        publisher = running.service.core.controller.publisher
        old = await running.connect(HELLO)
        await old.receive("replace=1")
        connection = running.service.listener.sessions.by_proxy[3]
        old.reader._transport.pause_reading()  # type: ignore[attr-defined]
        while connection.outbound.send(b"push stamp=" + b"9" * 50000 + b"\r\n"):
            await asyncio.sleep(0)
        assert connection.outbound.pending.size > 1 << 20 and publisher.channel.unacknowledged
        new = await running.connect(RETURNING_HELLO)
        bound = await new.receive()
        assert "replace=1" in bound and connection.outbound.pending.size == 0
        new.send(f"ack node=3 nonce={bound.split('stamp=')[1]} latency=1", "probe")
        assert await new.receive() == "alive"  # without pending lines of the old session before it
        await running.wait_until(lambda: publisher.channel.unacknowledged == 0)

    run_scenario(scenario)


def test_one_proxy_that_rejoins_repeatedly_is_not_taken_for_a_mass_disconnect() -> None:
    """During a mass disconnect one health check can eject a host; one proxy must not cause that."""

    async def scenario(running: RunningService) -> None:
        host_table = running.service.core.controller.host_table
        publisher = running.service.core.controller.publisher
        for _ in range(40):
            await (await running.connect(RETURNING_HELLO)).receive()
        assert list(publisher.zone_of_proxy) == [3]
        assert len(running.service.listener.sessions.by_proxy) == 1
        assert host_table.mass_disconnect_at_us == 0
        for proxy in range(4, 8):
            await (await running.connect(HELLO.replace("=3", f"={proxy}"))).receive("replace=1")
        for connection in list(running.service.listener.table.connections):
            connection.outbound.abort()
        await running.wait_until(lambda: host_table.mass_disconnect_at_us > 0)

    run_scenario(scenario)
