"""Hard cases for several real stewards: each a script, a wait for what has to come, and a judge of the
history."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import msgspec
import orjson

from plankroute.membership.codec import Codec
from plankroute.membership.messages import Gossip
from plankroute.membership.records import MemberRecord
from plankroute.testbed import checkers
from plankroute.testbed.faults import SECOND, Act, Rule, Script, Step, partition, pauses
from plankroute.testbed.links import sender_socket
from plankroute.testbed.processes import Fleet, Plan

LIMIT_S = 45.0  # for what has to come: many times what it takes
QUIET_S = 2.0  # after it: for what must not come
FIRST_NET = 60  # loopback addresses from 127.60 on, of each scenario its own
NOISE = 10_000  # datagrams
CUT_S = 12.0  # how long cuts and partitions last: over four times what a verdict takes
Judge = Callable[["Trial"], list[str]]


class Trial:
    """A scenario that ran: its fleet, for the judge."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.history, self.members = fleet, fleet.history, fleet.plan.members
        self.notes: dict[str, Any] = {}
        self.counters: dict[int, dict[str, Any]] = {}

    def gone_by_all(self, subjects: Iterable[int], observers: Iterable[int]) -> bool:
        told = {(entry.observer, entry.subject) for entry in self.history.of("failed")}
        return all((one, other) in told for other in subjects for one in observers if one != other)

    def agreed_us(self, from_us: int, alive: Iterable[int]) -> int | None:
        return checkers.agreed_after_us(self.history, from_us, alive)

    def wrongly(self, excused: Iterable[int] = ()) -> list[str]:
        return [
            f"{entry.observer} called {entry.subject} gone, which ran"
            for entry in checkers.wrongly_gone(self.history, excused)
        ]


class Scenario(msgspec.Struct, frozen=True):
    """`plan(processes, seed, full)`; `holds`: what is waited for after the script; `act`: done after its
    steps."""

    plan: Callable[[int, int, bool], Plan]
    holds: Callable[[Trial], bool]
    judge: Judge
    act: Callable[[Trial], Awaitable[None]] | None = None


class Result(msgspec.Struct):
    name: str
    processes: int
    objections: list[str]
    figures: dict[str, Any]


def plan(members: int, seed: int, *rules: Rule, steps: Iterable[Step] = (), **more: Any) -> Plan:
    return Plan(members, Script(seed, tuple(rules), tuple(steps)), 0, **more)


def killed(victims: Callable[[int], range], *rules: Rule, at_s: float = 1.0) -> Scenario:
    """Members killed at one moment: all survivors know, and nobody else is called gone."""

    def survivors(trial: Trial) -> list[int]:
        return [member for member in range(trial.members) if member not in victims(trial.members)]

    def judge(trial: Trial) -> list[str]:
        times = [
            time
            for victim in victims(trial.members)
            for time in checkers.detection_us(
                trial.history, victim, trial.fleet.at(at_s), survivors(trial)
            ).values()
        ]
        if None in times:
            return ["a survivor never knew"]
        times.sort()
        trial.notes["detected_s"] = [round(times[at] / 1e6, 2) for at in (0, len(times) // 2, -1)]
        return trial.wrongly()

    return Scenario(
        lambda n, seed, full: plan(
            n, seed, *rules, steps=[Step(at_s, Act.KILL, victim) for victim in victims(n)]
        ),
        lambda trial: trial.gone_by_all(victims(trial.members), survivors(trial)),
        judge,
    )


def paused() -> Scenario:
    """Seven in eight stand still again and again at phases of their own, one is killed meanwhile."""

    def script(n: int, seed: int, full: bool) -> Plan:
        until_s = 40.0 if full else 14.0
        still = pauses(tuple(range(max(1, round(n * 0.13)), n - 1)), 1.0, until_s, seed)
        steps = sorted([*still, Step(until_s / 3, Act.KILL, n - 1)], key=lambda step: step.at_s)
        return plan(n, seed, steps=steps)

    def judge(trial: Trial) -> list[str]:
        trial.notes["pauses"] = sum(done.act == Act.PAUSE.value for done in trial.history.done)
        return trial.wrongly()

    return Scenario(
        script,
        lambda trial: trial.gone_by_all((trial.members - 1,), range(trial.members - 1)),
        judge,
    )


def cut(rules: Callable[[int], tuple[Rule, ...]], is_whole: bool) -> Scenario:
    """One-sided: one verdict on the third member by all others, no view that changes twice, and agreement
    after."""

    def judge(trial: Trial) -> list[str]:
        history, fleet = trial.history, trial.fleet
        from_us, until_us = fleet.at(1.0), fleet.at(1.0 + CUT_S)
        changes = checkers.verdict_changes(history, from_us, until_us)
        out = [f"{pair} changed {times} times" for pair, times in changes.items() if times > 1]
        others = [member for member in range(trial.members) if member != 3]
        out += [
            f"not agreed on {subject}"
            for subject in checkers.disagreeing(history, until_us, others, range(trial.members))
        ]
        trial.notes["called_gone"] = sorted({pair[1] for pair in changes if pair[0] != 3})
        if trial.notes["called_gone"] not in ([], [3]) or (
            not is_whole and trial.notes["called_gone"]
        ):
            out.append(f"called gone: {trial.notes['called_gone']}")
        trial.notes["agreed_after_s"] = agreed_s(trial, until_us, range(trial.members))
        return out

    return Scenario(
        lambda n, seed, full: plan(n, seed, *rules(n)),
        lambda trial: (
            trial.agreed_us(trial.fleet.at(1.0 + CUT_S), range(trial.members)) is not None
        ),
        judge,
    )


def agreed_s(trial: Trial, from_us: int, alive: Iterable[int]) -> float | None:
    agreed = trial.agreed_us(from_us, alive)
    return None if agreed is None else round(agreed / 1e6, 2)


def parted(parts: Callable[[int], tuple[tuple[int, ...], ...]]) -> Scenario:
    """Both sides go on; after the heal all agree, and verdicts of the other side kill nobody."""

    def judge(trial: Trial) -> list[str]:
        healed_us = trial.fleet.at(1.0 + CUT_S)
        held = checkers.standing_at(trial.history, healed_us)
        out = [
            f"{one} calls {other} gone, of its own side"
            for part in parts(trial.members)
            for one in part
            for other in part
            if one != other and held.get((one, other)) == "failed"
        ]
        out += [
            f"{entry.observer} called {entry.subject} gone after the heal"
            for entry in trial.history.of("failed")
            if entry.at_us > healed_us + SECOND // 2
        ]
        out += [
            f"{entry.subject} was brought back" for entry in checkers.resurrected(trial.history)
        ]
        trial.notes["called_gone"] = sum(change == "failed" for change in held.values())
        trial.notes["agreed_after_s"] = agreed_s(trial, healed_us, range(trial.members))
        return out

    return Scenario(
        lambda n, seed, full: plan(n, seed, *partition(parts(n), 1.0, 1.0 + CUT_S)),
        lambda trial: (
            trial.agreed_us(trial.fleet.at(1.0 + CUT_S), range(trial.members)) is not None
        ),
        judge,
    )


def restarted() -> Scenario:
    """Within half a second, under the same name and address, with nothing kept: a new life, never called
    gone."""

    def lives(trial: Trial, observer: int) -> set[int]:
        return {
            entry.life
            for entry in trial.history.of("joined")
            if (entry.observer, entry.subject) == (observer, 4)
        }

    def judge(trial: Trial) -> list[str]:
        return trial.wrongly() + [
            f"{entry.observer} called {entry.subject} gone" for entry in trial.history.of("failed")
        ]

    return Scenario(
        lambda n, seed, full: plan(
            n, seed, steps=[Step(1.0, Act.KILL, 4), Step(1.3, Act.START, 4)]
        ),
        lambda trial: (
            all(len(lives(trial, one)) == 2 for one in range(trial.members) if one != 4)
            and trial.fleet.have_joined(range(trial.members))
        ),
        judge,
    )


def left() -> Scenario:
    """SIGTERM: known to all within a second, and no failure."""

    def others(trial: Trial) -> list[int]:
        return [member for member in range(trial.members) if member != 4]

    def judge(trial: Trial) -> list[str]:
        times = checkers.detection_us(trial.history, 4, trial.fleet.at(1.0), others(trial), "left")
        worst = max(time if time is not None else 10**9 for time in times.values())
        trial.notes["worst_s"] = round(worst / 1e6, 2)
        out = ["a leave took over a second"] if worst > SECOND else []
        return out + ["a leave was counted as a failure"] * bool(
            trial.history.of("failed", "suspected")
        )

    return Scenario(
        lambda n, seed, full: plan(n, seed, steps=[Step(1.0, Act.LEAVE, 4)]),
        lambda trial: {entry.observer for entry in trial.history.of("left")} == set(others(trial)),
        judge,
    )


def doubled() -> Scenario:
    """A second process under the name of member 4: said by all, and the newer one keeps the name
    everywhere."""

    def judge(trial: Trial) -> list[str]:
        new = {entry.life for entry in trial.history.of("duplicate_name")}
        out = [
            f"{entry.observer} called {entry.subject} gone" for entry in trial.history.of("failed")
        ]
        displaced = [entry.observer for entry in trial.history.of("name_lost")]
        return (
            out
            + ([] if len(new) == 1 else [f"settled on {len(new)} lives"])
            + ([] if displaced == [4] else [f"displaced: {displaced}"])
        )

    return Scenario(
        lambda n, seed, full: plan(
            n, seed, steps=[Step(1.0, Act.START, n - 1)], absent=(n - 1,), names={n - 1: "n0004"}
        ),
        lambda trial: (
            {entry.observer for entry in trial.history.of("duplicate_name")}
            >= set(range(trial.members)) - {4}
            and bool(trial.history.of("name_lost"))
        ),
        judge,
    )


def seedless() -> Scenario:
    """The only seed is down at the start: the others go on, each alone, and join when it comes."""

    def judge(trial: Trial) -> list[str]:
        early = [entry for entry in trial.history.of("joined") if entry.at_us < trial.fleet.at(0.0)]
        trial.notes["joined_after_s"] = agreed_s(trial, trial.fleet.at(7.0), range(trial.members))
        return trial.wrongly() + ["joined without a seed"] * bool(early)

    return Scenario(
        lambda n, seed, full: plan(
            n, seed, steps=[Step(7.0, Act.START, 0)], seeds=(0,), absent=tuple(range(n))
        ),
        lambda trial: trial.fleet.have_joined(range(trial.members)),
        judge,
        start_all_but_the_seed,
    )


async def start_all_but_the_seed(trial: Trial) -> None:
    for member in range(1, trial.members):
        await trial.fleet.start(member)


def jumped() -> Scenario:
    """The clock of the day of two stewards jumps by an hour, each way: nothing happens."""

    def judge(trial: Trial) -> list[str]:
        shifts = [
            abs(line["time"] - trial.counters[0]["time"]) > 3000
            for member in (1, 2)
            for line in (trial.counters[member],)
        ]
        out = [] if all(shifts) else ["no clock has jumped: the trial shows nothing"]
        return out + [
            f"{entry.observer}: {entry.change} of {entry.subject}"
            for entry in trial.history.of("failed", "suspected", "left", "recovered")
        ]

    return Scenario(
        lambda n, seed, full: plan(
            n, seed, steps=[Step(4.0, Act.RESUME, 0)], skewed={1: (2.0, 3600.0), 2: (2.0, -3600.0)}
        ),
        lambda trial: len(trial.counters) == 3,
        judge,
        gather_counters,
    )


async def gather_counters(trial: Trial) -> None:
    await asyncio.sleep(4.5)  # past the jumps, which come two seconds after each start
    for member in range(3):
        trial.counters[member] = await trial.fleet.ask_counters(member)


def noisy() -> Scenario:
    """Datagrams of every useless kind at one steward: counted, bounded, and nothing else happens."""

    def judge(trial: Trial) -> list[str]:
        counted = trial.counters[0]
        kinds = {
            kind: counted.get(f"membership.dropped.{kind}", 0)
            for kind in ("size", "version", "group", "checksum", "malformed", "rate_limited")
        }
        trial.notes |= kinds
        out = [
            f"no {kind} was counted"
            for kind, times in kinds.items()
            if not times and kind != "rate_limited"
        ]
        out += [
            f"{entry.observer}: {entry.change} of {entry.subject}"
            for entry in trial.history.of("failed", "suspected", "left")
        ]
        return out + ["the view grew past its limit"] * (
            counted.get("membership.live_members", 0) > 4096
        )

    return Scenario(
        lambda n, seed, full: plan(n, seed), lambda trial: 0 in trial.counters, judge, make_noise
    )


async def make_noise(trial: Trial) -> None:
    """Drawn by seed; a bounded number, in small bursts, from one socket."""
    chance = random.Random(trial.fleet.plan.script.seed)
    ours, theirs = Codec("lab"), Codec("another")
    good = ours.encode(Gossip((MemberRecord("n9999", "127.9.9.9:1", "z", 1, 1),)))
    kinds: list[Callable[[], bytes]] = [
        lambda: chance.randbytes(chance.randrange(1, 1200)),
        lambda: good[: chance.randrange(1, len(good))],
        lambda: bytes([9]) + good[1:],
        lambda: theirs.encode(Gossip(())),
        lambda: bytes(60_000),
        lambda: ours.encode(Gossip((MemberRecord("x" * 300, "a", "z", 1, 1),))),
    ]
    with sender_socket() as sending:
        sending.setblocking(False)
        for number in range(NOISE):
            try:
                sending.sendto(kinds[number % len(kinds)](), trial.fleet.real[0])
            except BlockingIOError:
                await asyncio.sleep(0.01)
            if number % 50 == 0:
                await asyncio.sleep(0.01)
    trial.counters[0] = await trial.fleet.ask_counters(0)


def third(n: int) -> tuple[int, ...]:
    return tuple(range(4, 4 + n // 3))


SCENARIOS: dict[str, Scenario] = {
    "killed one": killed(lambda n: range(n - 1, n)),
    "killed three": killed(lambda n: range(n - 3, n)),
    "killed half": killed(lambda n: range(n - n // 2, n)),
    "lossy": killed(lambda n: range(n - 1, n), Rule(loss=0.3, twice=0.1, spread_ms=20), at_s=6.0),
    "slow": killed(
        lambda n: range(n - 1, n), Rule(delay_ms=300, late_share=0.1, late_ms=2000), at_s=6.0
    ),
    "paused": paused(),
    "not heard": cut(lambda n: (Rule(1.0, 1.0 + CUT_S, (3,), None, cut=True),), True),
    "hears not": cut(lambda n: (Rule(1.0, 1.0 + CUT_S, None, (3,), cut=True),), True),
    "not heard by a third": cut(
        lambda n: (Rule(1.0, 1.0 + CUT_S, (3,), third(n), cut=True),), False
    ),
    "halves": parted(lambda n: (tuple(range(n // 2)), tuple(range(n // 2, n)))),
    "three parts": parted(lambda n: (tuple(range(n // 2)), tuple(range(n // 2, n - 1)), (n - 1,))),
    "restarted": restarted(),
    "left": left(),
    "doubled": doubled(),
    "seedless": seedless(),
    "clock of the day": jumped(),
    "noise": noisy(),
}


async def run_one(name: str, processes: int, seed: int, full: bool, net: int) -> Result:
    scenario = SCENARIOS[name]
    fleet = Fleet(msgspec.structs.replace(scenario.plan(processes, seed, full), net=net))
    trial = Trial(fleet)
    try:
        if not await fleet.launch():
            return Result(name, processes, ["the group did not come together"], {})
        playing = asyncio.create_task(fleet.play())
        if scenario.act:
            await scenario.act(trial)
        await playing
        came = await fleet.until(lambda: scenario.holds(trial), LIMIT_S)
        await asyncio.sleep(QUIET_S)
        objections = [] if came else [f"what was waited for did not come within {LIMIT_S:.0f} s"]
        fleet.history.ends_us = fleet.now_us()
        objections += scenario.judge(trial)
        objections += [
            f"{member}: {line}"
            for member, lines in enumerate(fleet.lines)
            for line in lines
            if line.get("event")
            in ("membership_core_failed", "core_failed", "loop_failed", "unreadable")
        ]
    finally:
        await fleet.close()
    return Result(name, processes, objections, trial.notes)


async def run_all(
    names: Iterable[str], processes: int, seed: int, full: bool, at_once: int = 6
) -> list[Result]:
    """Side by side, some at a time; each on addresses of its own."""
    gate = asyncio.Semaphore(at_once)

    async def guarded(name: str, net: int) -> Result:
        async with gate:
            return await run_one(name, processes, seed, full, net)

    return list(
        await asyncio.gather(
            *(guarded(name, FIRST_NET + place) for place, name in enumerate(names))
        )
    )


def report(results: list[Result], as_json: bool) -> str:
    if as_json:
        return orjson.dumps(msgspec.to_builtins(results), option=orjson.OPT_INDENT_2).decode()
    return "\n".join(
        f"{'FAILED' if result.objections else 'good  '}  {result.name:22} {result.processes:3} processes  "
        + "  ".join(f"{key} {value}" for key, value in result.figures.items())
        + "".join(f"\n        {line}" for line in result.objections[:8])
        for result in results
    )
