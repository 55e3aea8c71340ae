"""All scenarios of failure detection by name, their runs and their report."""

import asyncio
from collections.abc import Iterable

import msgspec
import orjson

from plankroute.testbed.faults import Rule
from plankroute.testbed.membership_scenarios import (
    CUT_MEMBER,
    SUBJECT,
    ClockJumps,
    CutOff,
    DuplicateName,
    Killed,
    Left,
    Members,
    Noise,
    Partitioned,
    Parts,
    Paused,
    Restarted,
    Seedless,
)
from plankroute.testbed.processes import ControllerProcesses
from plankroute.testbed.scenario import CUT_FROM_S, CUT_UNTIL_S, Result, Scenario, Trial

WAIT_LIMIT_S = 45.0  # for what has to come: many times what it takes
QUIET_PERIOD_S = 2.0  # after it: for what must not come
FIRST_NET = 60  # loopback addresses from 127.60 on, of each scenario its own
CONCURRENT_SCENARIOS = 6
MAX_OBJECTIONS = 8  # of a scenario, in the report
FAILURE_EVENTS = ("membership_core_failed", "core_failed", "loop_failed", "unreadable")


def last(members: int) -> range:
    """The last member."""
    return range(members - 1, members)


def last_three(members: int) -> range:
    """The last three members."""
    return range(members - 3, members)


def last_half(members: int) -> range:
    """The second half of the members."""
    return range(members - members // 2, members)


def a_third(members: int) -> Members:
    """A third of the members, without the one that is cut off."""
    return tuple(range(SUBJECT, SUBJECT + members // 3))


def halves(members: int) -> Parts:
    """Two halves."""
    half = members // 2
    return tuple(range(half)), tuple(range(half, members))


def three_parts(members: int) -> Parts:
    """A half, a smaller part, and the last member alone."""
    half = members // 2
    return tuple(range(half)), tuple(range(half, members - 1)), (members - 1,)


def cut_sender(members: int) -> Rule:
    """Nobody hears the member."""
    return Rule(CUT_FROM_S, CUT_UNTIL_S, (CUT_MEMBER,), None, cut=True)


def cut_receiver(members: int) -> Rule:
    """The member hears nobody."""
    return Rule(CUT_FROM_S, CUT_UNTIL_S, None, (CUT_MEMBER,), cut=True)


def cut_sender_for_a_third(members: int) -> Rule:
    """A third of the members do not hear the member."""
    return Rule(CUT_FROM_S, CUT_UNTIL_S, (CUT_MEMBER,), a_third(members), cut=True)


SCENARIOS: dict[str, Scenario] = {
    "killed one": Killed(last),
    "killed three": Killed(last_three),
    "killed half": Killed(last_half),
    "lossy": Killed(last, Rule(loss=0.3, duplicate_share=0.1, jitter_ms=20), at_s=6.0),
    "slow": Killed(last, Rule(delay_ms=300, late_share=0.1, late_ms=2000), at_s=6.0),
    "paused": Paused(),
    "not heard": CutOff(cut_sender, may_fail=True),
    "hears not": CutOff(cut_receiver, may_fail=True),
    "not heard by a third": CutOff(cut_sender_for_a_third, may_fail=False),
    "halves": Partitioned(halves),
    "three parts": Partitioned(three_parts),
    "restarted": Restarted(),
    "left": Left(),
    "doubled": DuplicateName(),
    "seedless": Seedless(),
    "clock of the day": ClockJumps(),
    "noise": Noise(),
}


async def run_one(name: str, members: int, seed: int, full: bool, net: int) -> Result:
    """Runs a scenario; its processes are killed whatever comes of it.

    Args:
        name: Its name in `SCENARIOS`.
        members: How many controllers.
        seed: Seed of the faults.
        full: Whether it takes as long as operators have seen it.
        net: Second byte of its loopback addresses.
    """
    scenario = SCENARIOS[name]
    plan = msgspec.structs.replace(scenario.plan(members, seed, full), loopback_net=net)
    trial = Trial(ControllerProcesses(plan))
    try:
        if not await trial.processes.launch():
            return Result(name, members, ["the group did not come together"], {})
        objections = await play(scenario, trial)
    finally:
        await trial.processes.close()
    return Result(name, members, objections, trial.notes)


async def play(scenario: Scenario, trial: Trial) -> list[str]:
    """Plays a scenario on controllers that have joined; returns objections."""
    processes = trial.processes
    playing = asyncio.create_task(processes.run_script())
    await scenario.act(trial)
    await playing
    objections: list[str] = []
    if not await processes.wait_until(lambda: scenario.is_over(trial), WAIT_LIMIT_S):
        objections.append(f"what was waited for did not come within {WAIT_LIMIT_S:.0f} s")
    await asyncio.sleep(QUIET_PERIOD_S)
    processes.history.ends_us = processes.now_us()
    objections += scenario.judge(trial)
    objections += [
        f"{member}: {line}"
        for member, lines in enumerate(processes.log_lines)
        for line in lines
        if line.get("event") in FAILURE_EVENTS
    ]
    return objections


async def run_all(names: Iterable[str], members: int, seed: int, full: bool) -> list[Result]:
    """Runs scenarios, some side by side, each on addresses of its own."""
    free = asyncio.Semaphore(CONCURRENT_SCENARIOS)

    async def run_when_free(name: str, net: int) -> Result:
        async with free:
            return await run_one(name, members, seed, full, net)

    runs = [run_when_free(name, FIRST_NET + place) for place, name in enumerate(names)]
    return list(await asyncio.gather(*runs))


def report(results: list[Result], as_json: bool) -> str:
    """Results as JSON, or as text for people."""
    if as_json:
        return orjson.dumps(msgspec.to_builtins(results), option=orjson.OPT_INDENT_2).decode()
    return "\n".join(report_lines(result) for result in results)


def report_lines(result: Result) -> str:
    """One result, with its first objections."""
    verdict = "FAILED" if result.objections else "good  "
    figures = "  ".join(f"{key} {value}" for key, value in result.figures.items())
    head = f"{verdict}  {result.name:22} {result.processes:3} processes  {figures}"
    return "\n        ".join([head, *result.objections[:MAX_OBJECTIONS]])
