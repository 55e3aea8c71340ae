"""What ends while something is still owed: sessions, watches, probes, strangers, and the steward itself.

Stand-ins hold at a named byte or event and go on when told."""

import asyncio
import os
import signal
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace

import orjson
import pytest
from support.service_stage import HELLO, Agent, Caller, Stage, config, listing, play

from plankroute.events import events
from plankroute.events.events import HealthCheckOutcome
from plankroute.net.discovery import watch as discovery_module
from plankroute.net.process.clock import tolerant_timeout
from plankroute.net.proxies import connection_table

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
DRAINED = orjson.dumps(listing(43, "s-1", whole=False, state="DRAINING")) + b"\n"
RETURNED = HELLO.replace("cold=1", "cold=0")


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text)


def told(stage: Stage) -> list[events.Event]:
    """Every note that streams put from here on."""
    sessions, out = stage.service.listener.sessions, list[events.Event]()
    submit = sessions.submit

    def keep(note: events.Event) -> None:
        out.append(note)
        submit(note)

    sessions.submit = keep
    return out


async def silent(stage: Stage) -> Caller:
    """A proxy's stream that owes an answer and counts as left."""
    proxy = await stage.dial(HELLO)
    await proxy.hear("replace=1")
    sessions = stage.service.listener.sessions
    sessions.stall_timeout_s = -1.0
    stage.service.listener.table.sweep()
    sessions.stall_timeout_s = 60.0
    assert 3 not in sessions.joined
    return proxy


# Streams


@pytest.mark.parametrize(
    "how", ["ends", "reset", "replaced", "speaks and ends", "speaks and is replaced"]
)
def test_a_stream_that_fell_silent_is_told_as_left_once(how):
    """Guards against one end that counts twice among those that break together."""

    async def scene(stage: Stage) -> None:
        notes_told = told(stage)
        proxy = await silent(stage)
        if how.startswith("speaks"):
            proxy.say("probe")
            await proxy.hear("alive")
        if how == "reset":
            proxy.writer.transport.abort()
        elif "replaced" in how:
            again = await stage.dial(RETURNED)
            await again.hear("replace=1")
        else:
            proxy.writer.close()
        peers = 1 if "replaced" in how else 0
        await stage.until(lambda: len(stage.service.listener.table.connections) == peers)
        kinds = [type(note).__name__ for note in notes_told]
        twice = how.startswith("speaks")
        assert kinds.count("ProxyLeft") == 1 + twice
        assert kinds.count("ProxyJoined") == 1 + twice + ("replaced" in how)
        assert kinds == ["ProxyJoined", "ProxyLeft"] * (len(kinds) // 2) + ["ProxyJoined"] * (
            len(kinds) % 2
        )

    play(scene)


@pytest.mark.parametrize("end", ["fin", "reset", "not yet"])
def test_a_host_drained_while_its_proxy_is_between_streams_is_off_the_new_ones_first_word(end):
    async def scene(stage: Stage) -> None:
        watch = await stage.agent.watches.get()
        old = await stage.dial(HELLO)
        await old.hear("replace=1")
        publisher, lists = stage.service.core.controller.publisher, stage.counts["received.lists"]
        if end == "not yet":
            old.reader._transport.pause_reading()  # type: ignore[attr-defined]
        else:
            old.writer.close() if end == "fin" else old.writer.transport.abort()
            await stage.until(lambda: not publisher.zone_of_proxy)
        stage.agent.tell(watch, DRAINED)
        await stage.until(lambda: stage.counts["received.lists"] > lists)
        new = await stage.dial(RETURNED)
        first = await new.hear()
        assert "replace=1" in first and "s-2:" in first and "s-1:" not in first

    play(scene)


def test_what_waited_for_the_old_stream_is_neither_written_to_the_new_one_nor_lost_from_the_books():
    async def scene(stage: Stage) -> None:
        publisher = stage.service.core.controller.publisher
        old = await stage.dial(HELLO)
        await old.hear("replace=1")
        connection = stage.service.listener.sessions.by_proxy[3]
        old.reader._transport.pause_reading()  # type: ignore[attr-defined]
        while connection.outbound.send(b"push stamp=" + b"9" * 50000 + b"\r\n"):
            await asyncio.sleep(0)
        assert connection.outbound.waiting.size > 1 << 20 and publisher.channel.unacknowledged
        new = await stage.dial(RETURNED)
        bound = await new.hear()
        assert "replace=1" in bound and connection.outbound.waiting.size == 0
        new.say(f"ack node=3 nonce={bound.split('stamp=')[1]} latency=1", "probe")
        assert await new.hear() == "alive"  # nothing of the old one came before it
        await stage.until(lambda: publisher.channel.unacknowledged == 0)

    play(scene)


def test_joins_of_one_proxy_without_end_are_no_streams_that_break_together():
    """Guards against an alarm, in which one probe shuts a host, that a single proxy can raise."""

    async def scene(stage: Stage) -> None:
        fleet, publisher = (
            stage.service.core.controller.host_table,
            stage.service.core.controller.publisher,
        )
        for _ in range(40):
            await (await stage.dial(RETURNED)).hear()
        assert (
            list(publisher.zone_of_proxy) == [3]
            and len(stage.service.listener.sessions.by_proxy) == 1
        )
        assert fleet.disconnect_alarm_us == 0
        for proxy in range(4, 8):
            await (await stage.dial(HELLO.replace("=3", f"={proxy}"))).hear("replace=1")
        for connection in list(stage.service.listener.table.connections):
            connection.outbound.abort()
        await stage.until(lambda: fleet.disconnect_alarm_us > 0)  # that is what it is for

    play(scene)


# Evictions


def test_a_strangers_hello_that_arrives_as_it_is_turned_away_counts_for_nothing():
    async def scene(stage: Stage) -> None:
        table = stage.service.listener.table
        late = await stage.dial()
        late.writer.write(HELLO[:-1].encode())
        await stage.until(lambda: stage.counts["received.bytes"] == len(HELLO) - 1)
        (connection,) = table.connections
        connection.connected_at -= connection_table.IDENTIFICATION_TIMEOUT_S
        late.writer.write(b"1\r\n")
        table.sweep()
        assert await late.hear() == "error" and await late.is_ended()
        assert not table.sessions.by_proxy and not table.connections
        assert await (await stage.dial(HELLO)).hear("replace=1")

    play(scene)


def test_proxies_that_return_find_room_where_their_own_stall_timeout_streams_have_taken_it():
    async def scene(stage: Stage) -> None:
        table = stage.service.listener.table
        olds = [await stage.dial(HELLO.replace("=3", f"={proxy}")) for proxy in range(6)]
        for old in olds:
            await old.hear("replace=1")
        table.limits = replace(table.limits, connections=6)
        table.sessions.stall_timeout_s = -1.0
        table.sweep()
        table.sessions.stall_timeout_s = 60.0
        news = list[Caller]()
        for proxy in range(6):
            news.append(
                await stage.dial()
            )  # its first word comes later than room has to be found for it
            await stage.until(lambda: len(table.unidentified) == 1)
            news[-1].say(RETURNED.replace("=3", f"={proxy}"))
            assert await news[-1].hear("replace=1")
        assert len(table.connections) <= 6 and len(table.sessions.joined) == 6

    play(scene)


def test_collectors_without_end_leave_room_and_the_one_that_brings_sums():
    async def scene(stage: Stage) -> None:
        table = stage.service.listener.table
        collector = await stage.dial("agent locality=a")
        sums = "outcomes locality=a endpoint=s-1 total=9 errors=0 rtt=41.7 interval=1000"
        collector.say(sums)
        await stage.until(lambda: stage.counts["received.outcomes"] == 1)
        flood = [await stage.dial("agent locality=a") for _ in range(100)]
        await stage.until(
            lambda: stage.counts["received.collector"] == 101 and len(table.connections) < 10
        )
        assert await flood[0].is_ended()
        collector.say(sums)
        await stage.until(lambda: stage.counts["received.outcomes"] == 2)
        assert await (await stage.dial(HELLO)).hear("replace=1")

    play(scene)


# Discovery


class Held(Agent):
    """Its first call meets the fault; later ones are watches as they should be."""

    def __init__(self, fault: Callable[[asyncio.StreamWriter], Awaitable[None]]) -> None:
        super().__init__()
        self.fault, self.calls = fault, 0
        self.met = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        if self.calls > 1:
            return await super().serve(reader, writer)
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            self.met.set()
            await self.fault(writer)
            await reader.read()


async def drip(writer: asyncio.StreamWriter, head: bytes, byte: bytes) -> None:
    writer.write(head)
    while not writer.transport.is_closing():
        writer.write(byte)
        await asyncio.sleep(0.01)


def write(data: bytes, then: str = "") -> Callable[[asyncio.StreamWriter], Awaitable[None]]:
    async def fault(writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()
        if then == "fin":
            writer.close()
        elif then == "reset":
            writer.transport.abort()

    return fault


FAULTS: dict[str, Callable[[asyncio.StreamWriter], Awaitable[None]]] = {
    "hangs after the dial": write(b""),
    "hangs after the head": write(HEAD),
    "hangs in a line": write(HEAD + chunk(DRAINED[:30])),
    "hangs after whole lines": write(HEAD + chunk(b"\n")),
    "ends after the head": write(HEAD, "fin"),
    "ends in a line": write(HEAD + chunk(DRAINED[:30]), "fin"),
    "is reset in a line": write(HEAD + chunk(DRAINED[:30]), "reset"),
    "is reset at once": write(b"", "reset"),
    "drips in a line": lambda writer: drip(writer, HEAD, chunk(b" ")),
    "drips in the head": lambda writer: drip(writer, b"HTTP/1.1 200 OK\r\nX-Slow: ", b"x"),
    "drips heads to come": lambda writer: drip(writer, b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "says 503": write(b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno"),
    "says 503 and hangs": write(b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\n"),
    "redirects": write(
        b"HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:9/\r\nContent-Length: 0\r\n\r\n"
    ),
    "has a wrong length": write(
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + DRAINED[:5], "fin"
    ),
    "has a line too long": write(HEAD + chunk(b"x" * 9_000_000)),
    "is nonsense": write(b"\x16\x03\x01\x02\x00\x01\r\n\r\n"),
    "is no list": write(HEAD + chunk(b"[3]\n")),
}


def play_fault(
    fault: str, scene: Callable[[Stage, Held], Awaitable[None]], log: list[bytes]
) -> None:
    """The scene with an agent whose first call meets the fault."""

    async def inner(stage: Stage) -> None:
        held = Held(FAULTS[fault])
        async with await asyncio.start_server(held.serve, "127.0.0.1", 0) as server:
            stage.service.discovery.move("127.0.0.1:%d" % server.sockets[0].getsockname()[1])
            await scene(stage, held)

    play(inner, log)


@pytest.mark.parametrize("fault", FAULTS)
def test_a_watch_that_goes_wrong_costs_its_time_out_and_a_pause(fault, monkeypatch):
    """Guards against a watch that is kept for good while it brings nothing, such as one that drips."""
    monkeypatch.setattr(discovery_module, "IDLE_TIMEOUT_S", 0.2)
    log = list[bytes]()

    async def scene(stage: Stage, held: Held) -> None:
        stage.service.discovery.set_max_list_bytes(stage.service.configuration.limits.list_bytes)
        proxy = await stage.dial(HELLO)
        await proxy.hear("replace=1")
        assert await held.asked.get() == "/catalog/members?watch=1&after=41"
        held.tell(await held.watches.get(), DRAINED)
        assert "s-1:0" in await proxy.hear("rows")

    play_fault(fault, scene, log)
    said = [orjson.loads(line)["event"] for line in log]
    assert said.count("watch_ended") == 1 and "loop_failed" not in said


@pytest.mark.parametrize("fault", ["hangs in a line", "drips in a line", "hangs after the dial"])
def test_a_change_that_can_be_had_again_is_known_within_what_the_pages_leave(fault):
    """By the constants 3.45 s and a way: the longest quiet time, and the longest pause before a new call."""
    took = list[float]()

    async def scene(stage: Stage, held: Held) -> None:
        proxy = await stage.dial(HELLO)
        await proxy.hear("replace=1")
        await held.met.wait()
        began = time.monotonic()
        held.tell(await held.watches.get(), DRAINED)
        assert "s-1:0" in await proxy.hear("rows")
        took.append(time.monotonic() - began)

    play_fault(fault, scene, [])
    longest = discovery_module.IDLE_TIMEOUT_S + 1.5 * discovery_module.RETRY_PAUSE_S
    assert longest < 3.5 and took[0] < longest + 1.0 < 6.0


@pytest.mark.parametrize("then", ["fin", "reset"])
def test_a_drain_in_the_last_line_before_the_break_is_known(then):
    async def scene(stage: Stage) -> None:
        proxy = await stage.dial(HELLO)
        await proxy.hear("replace=1")
        watch = await stage.agent.watches.get()
        stage.agent.tell(watch, DRAINED)
        await watch.drain()
        watch.close() if then == "fin" else watch.transport.abort()
        assert "s-1:0" in await proxy.hear("rows")
        assert await stage.agent.asked.get() == "/catalog/members?watch=1&after=41"
        assert await stage.agent.asked.get() == "/catalog/members?watch=1&after=43"

    play(scene)


@pytest.mark.parametrize("fault", ["hangs after the dial", "hangs in a line", "drips in a line"])
def test_a_new_configuration_moves_discovery_out_of_a_call_that_hangs(fault, tmp_path, monkeypatch):
    path = tmp_path / "config.json"
    monkeypatch.setenv("GW_CONFIG", str(path))

    async def scene(stage: Stage, held: Held) -> None:
        await held.met.wait()
        proxy = await stage.dial(HELLO)
        await proxy.hear("replace=1")
        path.write_bytes(config(int(stage.service.configuration.discovery.rpartition(":")[2])))
        stage.service.configuration = replace(
            stage.service.configuration, discovery="127.0.0.1:1"
        )  # as if it had been there
        while not stage.agent.watches.empty():
            stage.agent.watches.get_nowait()
        os.kill(os.getpid(), signal.SIGHUP)
        stage.agent.tell(await stage.agent.watches.get(), DRAINED)
        assert "s-1:0" in await proxy.hear("rows")
        assert held.calls == 1

    play_fault(fault, scene, [])


# Probes


def play_probe(
    act: Callable[[Stage, asyncio.StreamWriter], Awaitable[None]],
) -> list[events.HealthCheckResult]:
    """One probe of host 0, whose stand-in holds its answer until `act` has been called."""
    results = list[events.HealthCheckResult]()

    async def scene(stage: Stage) -> None:
        asked = asyncio.Queue[asyncio.StreamWriter]()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await reader.readuntil(b"\r\n\r\n")
                asked.put_nowait(writer)
                await reader.read()

        async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
            prober = stage.service.prober
            prober.submit = lambda note: (
                results.append(note) if isinstance(note, events.HealthCheckResult) else None
            )
            stage.service.directory.hosts[0].address = (
                "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
            )
            prober.check(0)
            await act(stage, await asked.get())
            await stage.until(lambda: not prober.running)

    play(scene)
    return results


def answer(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


@pytest.mark.parametrize(
    "change", ["restarted", "moved", "forgotten", "forgotten, and another of its name"]
)
@pytest.mark.parametrize("ends", ["answers", "breaks"])
def test_a_probes_end_after_its_host_has_changed_counts_for_nobody(change, ends):
    """Guards against the word of an old process that is held for, or against, the new one."""

    async def act(stage: Stage, writer: asyncio.StreamWriter) -> None:
        directory = stage.service.directory
        known = directory.hosts[0]
        if change == "restarted":
            known.boot_ms = 5.0
        elif change == "moved":
            known.address = "127.0.0.1:9"
        else:
            directory.forget(0)
            if "another" in change:
                directory.ids[known.uid], directory.hosts[7] = 7, known
        answer(writer) if ends == "answers" else writer.transport.abort()

    assert play_probe(act) == []


def test_a_probe_as_a_whole_is_bounded_however_its_answer_drips(monkeypatch):
    async def act(stage: Stage, writer: asyncio.StreamWriter) -> None:
        began = time.monotonic()
        await drip(writer, b"HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n", b"x")
        limits = stage.service.prober.limits
        assert time.monotonic() - began < limits.connect_timeout_s + limits.idle_timeout_s + 1.0

    (result,) = play_probe(act)
    assert result.outcome is HealthCheckOutcome.TIMED_OUT


def test_a_pause_of_the_stewards_own_is_not_held_against_a_host():
    """Guards against hosts taken for silent, or out of reach, because this process stood still."""

    async def act(stage: Stage, writer: asyncio.StreamWriter) -> None:
        limits = stage.service.prober.limits
        time.sleep(
            1.2 * (limits.connect_timeout_s + limits.idle_timeout_s)
        )  # the loop stands still, timers become due
        answer(writer)

    (result,) = play_probe(act)
    assert result.outcome is HealthCheckOutcome.ANSWERED


@pytest.mark.parametrize(
    "pause_s, after_s, in_time", [(0.0, 0.4, False), (0.6, 0.05, True), (0.6, 0.9, False)]
)
def test_a_tolerant_timeout_is_extended_by_as_much_as_its_own_timer_was_late(
    pause_s, after_s, in_time
):
    async def run() -> bool:
        loop, came = asyncio.get_running_loop(), asyncio.Event()
        try:
            async with tolerant_timeout(0.2):
                time.sleep(pause_s)
                loop.call_later(after_s, came.set)
                await came.wait()
        except TimeoutError:
            return False
        return True

    assert asyncio.run(run()) is in_time
