"""Hard cases of a cold start through peers: watchers that fail, partitions, drains, lies; judged by what was
seen."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from plankroute.cold_start.link_codec import (
    LINK_VERSION,
    Heartbeat,
    Hello,
    ListPart,
    ListStart,
    encode_frame,
)
from plankroute.cold_start.rendezvous import rendezvous_order
from plankroute.testbed.cold_host_load import ColdFacts
from plankroute.testbed.cold_start import Case, ColdStart
from plankroute.testbed.faults import SECOND, Act, Rule, Script, Step, partition, pauses
from plankroute.testbed.list_service import Behaviour
from plankroute.testbed.processes import LINK_PORT

STEWARDS, WATCHERS = 10, 3
LARGE = 8000  # hosts: a list of 1 MB
SLOW = 50_000.0  # bytes a second on a link
LIMIT_S = 60.0
GRACE_S = 3.0  # as the settings of these starts state it
Play = Callable[[ColdStart], Awaitable[list[str]]]


class ColdCase(msgspec.Struct, frozen=True):
    """`script` from the watchers' places; `play` goes on once all have started, and says what is wrong."""

    play: Play
    script: Callable[[list[int]], Script] = lambda watchers: Script(1, (Rule(),))
    hosts: int = 500
    behaviour: Behaviour = Behaviour()
    absent: tuple[int, ...] = ()
    with_hosts: bool = False
    known: int | None = None
    padding: int = 0
    load: float = 0.0
    cold_part: float = 1.0


def watchers(stewards: int = STEWARDS) -> list[int]:
    """Places of those that watch, as all members find them."""
    return [
        int(name[1:])
        for name in rendezvous_order([f"n{member:04d}" for member in range(stewards)], "lab")[
            :WATCHERS
        ]
    ]


def others(places: list[int], stewards: int = STEWARDS) -> list[int]:
    return [member for member in range(stewards) if member not in places]


def revisions(start: ColdStart) -> list[int]:
    """By steward, of the newest list that it told of."""
    assert start.fleet
    return [
        max((line["revision"] for line in lines if line.get("event") == "list"), default=-1)
        for lines in start.fleet.lines
    ]


def hold(start: ColdStart, members: list[int], revision: int) -> bool:
    held = revisions(start)
    return all(held[member] >= revision for member in members)


async def wanted(start: ColdStart, what: str, holds: Callable[[], bool]) -> list[str]:
    return (
        []
        if await start.until(holds)
        else [f"{what} did not come within {start.case.limit_s:.0f} s"]
    )


async def all_serve(start: ColdStart) -> list[str]:
    return await wanted(start, "a list for all", lambda: None not in start.served_us())


def seconds_until(start: ColdStart, members: list[int], revision: int, since_us: int) -> float:
    """After which the last of them told of the revision."""
    assert start.fleet
    return (
        max(
            min(
                line["at_us"]
                for line in start.fleet.lines[member]
                if line.get("event") == "list" and line["revision"] >= revision
            )
            - since_us
            for member in members
        )
        / SECOND
    )


async def good(start: ColdStart) -> list[str]:
    """All serve, few calls; then a drain reaches everybody, and a late steward joins without a further
    call."""
    assert start.fleet
    out = await all_serve(start)
    if start.service.calls > 12:
        out.append(f"{start.service.calls} calls")
    out += await wanted(
        start,
        "a table for each proxy",
        lambda: (
            len(start.proxies) == STEWARDS - 1
            and all(proxy.is_bound for proxy in start.proxies.values())
        ),
    )
    begun_us, begun_s = start.fleet.now_us(), time.monotonic()
    start.service.change(7, state="DRAINING")
    out += await wanted(
        start,
        "a drain at all proxies",
        lambda: all("s-00007" in proxy.shut_s for proxy in start.proxies.values()),
    )
    shut_s = (
        max(proxy.shut_s.get("s-00007", begun_s + 99.0) for proxy in start.proxies.values())
        - begun_s
    )
    out += [f"proxies shut the draining host after {shut_s:.2f} s"] * (shut_s > GRACE_S)
    out += await wanted(start, "a drain", lambda: hold(start, list(range(STEWARDS - 1)), 1001))
    took_s = seconds_until(start, list(range(STEWARDS - 1)), 1001, begun_us) if not out else 99.0
    calls, late = start.service.calls, STEWARDS - 1
    begun_us = start.fleet.now_us()
    await start.fleet.start(late)
    out += await wanted(start, "the late one's list", lambda: hold(start, [late], 1001))
    late_s = seconds_until(start, [late], 1001, begun_us) if not out else 99.0
    out += [f"a drain took {took_s:.2f} s"] * (took_s > 1.0)
    out += [f"the late one called ({start.service.calls - calls})"] * (start.service.calls > calls)
    return out + [f"the late one took {late_s:.2f} s"] * (late_s > 2.0)


async def drained_meanwhile(start: ColdStart) -> list[str]:
    """The watchers fail as the script has it, while the list is handed out; a host begins to drain."""
    assert start.fleet
    await asyncio.sleep(3.0)
    start.service.change(7, state="DRAINING")
    rest = [
        member
        for member in range(STEWARDS)
        if not any(
            done.member == member and done.act == Act.KILL.value
            for done in start.fleet.history.done
        )
    ]
    return await wanted(start, "the drain for all that live", lambda: hold(start, rest, 1001))


async def parted(start: ColdStart) -> list[str]:
    """The smaller side has no way to the service: goes on and says so; has the newest soon after the heal."""
    assert start.fleet
    out = await all_serve(start)
    fleet, small = start.fleet, small_side()
    await start.until(lambda: (fleet.script_us() or 0) > 20 * SECOND)
    start.service.change(7, state="DRAINING")
    said = {
        member
        for member in small
        for line in fleet.lines[member]
        if line.get("event") == "list_old"
    }
    await start.until(lambda: (fleet.script_us() or 0) > 32 * SECOND)
    if hold(start, small[:1], 1001):
        out.append("the cut side heard of the change: the trial shows nothing")
    said = {
        member
        for member in small
        for line in fleet.lines[member]
        if line.get("event") == "list_old"
    }
    out += [f"said list_old: {sorted(said)} of {small}"] * (said != set(small))
    healed_us = fleet.at(34.0)
    out += await wanted(start, "the newest list", lambda: hold(start, list(range(STEWARDS)), 1001))
    took_s = seconds_until(start, small, 1001, healed_us) if not out else 0.0
    return out + [f"the newest list took {took_s:.2f} s after the heal"] * (took_s > 3.0)


def small_side() -> list[int]:
    return [watchers()[2], *others(watchers())[:2]]


async def twice(start: ColdStart) -> list[str]:
    """Power fails again ten seconds into the start."""
    assert start.fleet
    out = await all_serve(start)
    fleet, calls = start.fleet, start.service.calls
    for process in list(fleet.running.values()):
        process.kill()
    for process in list(fleet.running.values()):
        await process.wait()
    for lines in fleet.lines:
        lines.clear()
    start.first_us.clear()
    for member in range(STEWARDS):
        await fleet.start(member)
    out += await all_serve(start)
    return out + [f"{start.service.calls - calls} calls again"] * (start.service.calls - calls > 12)


async def began_anew(start: ColdStart) -> list[str]:
    """The service restarts with revisions that begin anew; everybody follows, and lower ones are believed
    then."""
    assert start.fleet
    out = await all_serve(start)
    start.service.change(7, state="DRAINING")
    out += await wanted(start, "a change", lambda: hold(start, list(range(STEWARDS)), 1001))
    start.service.restart()
    start.service.change(8, state="DRAINING")
    fleet = start.fleet

    def followed() -> bool:
        return all(
            [line["revision"] for line in lines if line.get("event") == "list"][-1] == 2
            for lines in fleet.lines
        )

    return out + await wanted(start, "the list that began anew", followed)


async def drained_ahead(start: ColdStart) -> list[str]:
    """All have an older list of 1 MB and serve by it; a host drains while the new one is handed out over slow
    links. The drain must not wait behind it."""
    assert start.fleet
    out = await wanted(
        start,
        "a table for each proxy",
        lambda: (
            len(start.proxies) == STEWARDS
            and all(proxy.is_bound for proxy in start.proxies.values())
        ),
    )
    out += await wanted(start, "a whole list under way", lambda: start.service.answers["watch"] > 0)
    await asyncio.sleep(2.0)  # the list takes twenty seconds: it is in the middle of its way
    begun_s = time.monotonic()
    start.service.change(7, state="DRAINING")
    out += await wanted(
        start,
        "a drain at all proxies",
        lambda: all("s-00007" in proxy.shut_s for proxy in start.proxies.values()),
    )
    took_s = max(proxy.shut_s.get("s-00007", 1e9) for proxy in start.proxies.values()) - begun_s
    out += [f"proxies shut the draining host after {took_s:.2f} s"] * (took_s > GRACE_S)
    if hold(start, others(watchers()), 1000):
        out.append("the list was there already: the trial shows nothing")
    out += await wanted(start, "the whole list", lambda: hold(start, list(range(STEWARDS)), 1001))
    again = [proxy for proxy in start.proxies.values() if "s-00007" in proxy.shares()]
    return out + [f"{len(again)} proxies send to the draining host again"] * bool(again)


async def changed_since(start: ColdStart) -> list[str]:
    """All have the newest list but for two changes: these alone go round, and nobody takes them for a whole
    list."""
    assert start.fleet
    start.service.change(7, state="DRAINING")
    start.service.change(8, state="DRAINING")
    out = await wanted(start, "the changes", lambda: hold(start, list(range(STEWARDS)), 1002))
    out += await wanted(
        start,
        "tables without those two",
        lambda: all(
            len(proxy.shares()) == start.case.hosts - 2 for proxy in start.proxies.values()
        ),
    )
    whole = [
        line
        for lines in start.fleet.lines
        for line in lines
        if line.get("event") == "list" and line["kind"] == "full"
    ]
    out += [f"{len(whole)} whole lists"] * bool(whole)
    if start.service.calls > 12:
        out.append(f"{start.service.calls} calls")
    return out + [f"{start.service.bytes} bytes"] * (start.service.bytes > 50_000)


async def known_from_before(start: ColdStart) -> list[str]:
    """The service began anew while all were off: lists handed over at the start have a higher revision."""
    assert start.fleet
    start.service.change(7, state="DRAINING")

    def followed() -> bool:
        return all(
            [line["revision"] for line in lines if line.get("event") == "list"][-1:] == [1001]
            for lines in start.fleet.lines
        )

    out = await wanted(start, "the list that began anew", followed)
    return out + [f"{start.service.calls} calls"] * (start.service.calls > 12)


async def all_cold(start: ColdStart) -> list[str]:
    """All hosts start as the stewards do; no host may get over the stated multiple of what it can do."""
    out = await all_serve(start)
    out += await wanted(
        start,
        "a table for each proxy",
        lambda: (
            len(start.proxies) == STEWARDS
            and all(proxy.is_bound for proxy in start.proxies.values())
        ),
    )
    assert start.load
    bound_s = time.monotonic()
    await start.until(lambda: time.monotonic() - bound_s > 2 * ColdFacts().window_s)
    seen = start.load.notes()
    out += [f"brought only {seen['over_mean']} of what hosts could do: the trial shows nothing"] * (
        len(start.load.most) < start.case.hosts / 2
    )
    return out + [f"{len(start.load.fallen)} hosts fell over: {seen}"] * bool(start.load.fallen)


async def lied_to(start: ColdStart) -> list[str]:
    """A watcher of ours is replaced by one that claims revisions, sends what is too large, or never ends."""
    assert start.fleet
    out = await all_serve(start)
    fleet, liar = start.fleet, watchers()[0]
    fleet.running[liar].send_signal(9)
    await fleet.running[liar].wait()
    server = await asyncio.start_server(
        Liar(fleet.plan.script.seed).serve, fleet.real[liar][0], LINK_PORT
    )
    try:
        begun_us = fleet.now_us()
        while fleet.now_us() - begun_us < 3 * SECOND:
            start.service.change(9, state="DRAINING", boot_ms=1)
            await asyncio.sleep(0.5)
        rest = [member for member in range(STEWARDS) if member != liar]
        newest = start.service.revision
        out += await wanted(
            start,
            "the true list",
            lambda: all(
                [line["revision"] for line in fleet.lines[member] if line.get("event") == "list"][
                    -1
                ]
                == newest
                for member in rest
            ),
        )
    finally:
        server.close()
    bad = [
        line
        for lines in fleet.lines
        for line in lines
        if line.get("event") in ("election_failed", "core_failed")
    ]
    return out + [str(line) for line in bad]


class Liar:
    """Takes links and says what can't be, another thing to each; bounded in time by its callers."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.number = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.number += 1
        kinds: list[list[bytes]] = [
            [encode_frame(Heartbeat(10**9, 0)), encode_frame(ListStart(10**9, True, 10**9, 1))],
            [encode_frame(ListStart(5, False, 10, 7)), encode_frame(ListPart(b"x" * 11))],
            [encode_frame(Heartbeat(3, 0))],
            [encode_frame(Hello(LINK_VERSION, "lab", "x", 1, True)), b"\xff\xff\xff\xff"],
        ]
        try:
            for data in kinds[self.number % len(kinds)]:
                writer.write(data)
            for _ in range(200):  # and never ends
                writer.write(encode_frame(ListPart(b"")))
                await writer.drain()
                await asyncio.sleep(0.1)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()


def slow(*rules: Rule, steps: tuple[Step, ...] = ()) -> Script:
    return Script(1, (Rule(bytes_a_second=SLOW), *rules), steps)


CASES: dict[str, ColdCase] = {  # the longest first
    "watchers killed": ColdCase(
        drained_meanwhile,
        lambda who: slow(
            steps=tuple(Step(4.0 + place, Act.KILL, member) for place, member in enumerate(who[:2]))
        ),
        LARGE,
    ),
    "watchers paused": ColdCase(
        drained_meanwhile, lambda who: slow(steps=pauses(tuple(who), 2.0, 14.0, 1)), LARGE
    ),
    "watcher cut one way": ColdCase(
        drained_meanwhile,
        lambda who: slow(Rule(3.0, 1e6, (who[0],), tuple(others(who)), cut=True)),
        LARGE,
    ),
    "parted": ColdCase(
        parted,
        lambda who: Script(
            1, partition((tuple(small_side()), tuple(others(small_side()))), 4.0, 34.0)
        ),
    ),
    "drained ahead": ColdCase(
        drained_ahead, lambda who: slow(), hosts=200, with_hosts=True, known=900, padding=5000
    ),
    "good": ColdCase(good, hosts=100, absent=(STEWARDS - 1,), with_hosts=True),
    "twice": ColdCase(twice),
    "began anew": ColdCase(began_anew),
    "lied to": ColdCase(lied_to),
    "changed since": ColdCase(changed_since, hosts=100, with_hosts=True, known=1000),
    "known from before": ColdCase(known_from_before, hosts=100, with_hosts=True, known=5000),
    "all cold": ColdCase(all_cold, hosts=100, with_hosts=True, load=0.8),
    "half cold": ColdCase(all_cold, hosts=100, with_hosts=True, load=0.8, cold_part=0.5),
}


class CutService:
    """Between the service and the small side of a partition: nothing comes through while the script says
    so."""

    def __init__(self, start: ColdStart, address: str, until_s: float) -> None:
        self.start, self.address, self.until_s = start, address, until_s
        self.server: asyncio.Server | None = None
        self.ends = set[asyncio.StreamWriter]()

    def close(self) -> None:
        if self.server:
            self.server.close()
        for end in list(self.ends):
            end.transport.abort()

    async def open(self, host: str) -> str:
        self.server = await asyncio.start_server(self.serve, host, 0)
        where = self.server.sockets[0].getsockname()
        return f"{where[0]}:{where[1]}"

    def is_cut(self) -> bool:
        script_us = self.start.fleet.script_us() if self.start.fleet else None
        return script_us is not None and 4.0 <= script_us / SECOND < self.until_s

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far: asyncio.StreamWriter | None = None
        try:
            host, _, port = self.address.rpartition(":")
            far_reader, far = await asyncio.open_connection(host, int(port))
            self.ends |= {writer, far}
            far.write(await reader.readuntil(b"\r\n\r\n") if not self.is_cut() else b"")
            while data := await far_reader.read(65536):
                while self.is_cut():
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            for end in (writer, far):
                if end:
                    end.transport.abort()
                    self.ends.discard(end)


async def run_cold(name: str, net: int) -> tuple[list[str], dict[str, Any]]:
    """Objections, and what was seen."""
    case = CASES[name]
    start = ColdStart(
        Case(
            "peers",
            STEWARDS,
            case.hosts,
            case.behaviour,
            1,
            net,
            LIMIT_S,
            {"list_old_s": 5.0},
            case.script(watchers()),
            case.with_hosts,
            case.known,
            case.padding,
            case.load,
            case.cold_part,
        )
    )
    start.absent = case.absent
    cut = CutService(start, "", 34.0)
    if name == "parted":
        start.detours = {member: cut for member in small_side()}
    try:
        await start.begin()
        objections = await case.play(start)
        assert start.fleet
        failed = [
            line
            for lines in start.fleet.lines
            for line in lines
            if line.get("event")
            in ("election_failed", "core_failed", "membership_core_failed", "discovery_failed")
        ]
        return objections + [str(line) for line in failed[:3]], msgspec.to_builtins(start.seen())
    finally:
        await start.close()
        cut.close()
