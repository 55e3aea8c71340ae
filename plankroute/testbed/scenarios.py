"""The scenarios of failure detection by name, the functions that run them, and their report."""

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
from plankroute.testbed.scenario import CUT_FROM_S, CUT_UNTIL_S, Result, Scenario, ScenarioRun

WAIT_LIMIT_S = 45.0  # for a scenario to be over after its script: many times what it takes
QUIET_PERIOD_S = 2.0  # after that, in which reports that must not be made would still arrive
FIRST_NET = 60  # each scenario has its own loopback network, from 127.60 on
CONCURRENT_SCENARIOS = 6
MAX_REPORTED_OBJECTIONS = 8  # of each scenario, in the text report
FAILURE_EVENTS = ("membership_core_failed", "core_failed", "loop_failed", "unreadable")


def last_member(members: int) -> range:
    """Returns the last member."""
    return range(members - 1, members)


def last_three_members(members: int) -> range:
    """Returns the last three members."""
    return range(members - 3, members)


def last_half(members: int) -> range:
    """Returns the second half of the members."""
    return range(members - members // 2, members)


def third_of_members(members: int) -> Members:
    """Returns a third of the members, without the one that is cut off."""
    return tuple(range(SUBJECT, SUBJECT + members // 3))


def halves(members: int) -> Parts:
    """Returns two halves of the members."""
    half = members // 2
    return tuple(range(half)), tuple(range(half, members))


def three_parts(members: int) -> Parts:
    """Returns a half of the members, a smaller part, and the last member alone."""
    half = members // 2
    return tuple(range(half)), tuple(range(half, members - 1)), (members - 1,)


def cut_sender(members: int) -> Rule:
    """Returns a rule that drops all datagrams from the cut member."""
    return Rule(CUT_FROM_S, CUT_UNTIL_S, (CUT_MEMBER,), None, cut=True)


def cut_receiver(members: int) -> Rule:
    """Returns a rule that drops all datagrams to the cut member."""
    return Rule(CUT_FROM_S, CUT_UNTIL_S, None, (CUT_MEMBER,), cut=True)


def cut_sender_for_a_third(members: int) -> Rule:
    """Returns a rule that drops all datagrams from the cut member to a third of the members."""
    return Rule(CUT_FROM_S, CUT_UNTIL_S, (CUT_MEMBER,), third_of_members(members), cut=True)


SCENARIOS: dict[str, Scenario] = {
    "killed one": Killed(last_member),
    "killed three": Killed(last_three_members),
    "killed half": Killed(last_half),
    "lossy": Killed(last_member, Rule(loss=0.3, duplicate_share=0.1, jitter_ms=20), at_s=6.0),
    "slow": Killed(last_member, Rule(delay_ms=300, late_share=0.1, late_ms=2000), at_s=6.0),
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


async def run_one(name: str, members: int, seed: int, full: bool, loopback_net: int) -> Result:
    """Runs a scenario. Its processes are killed at the end, also after an exception.

    Args:
        name: Its name in `SCENARIOS`.
        members: Number of controllers.
        seed: Seed of the faults.
        full: Whether pauses go on for as long as operators have seen them.
        loopback_net: Second octet of the controllers' loopback addresses.
    """
    scenario = SCENARIOS[name]
    plan = msgspec.structs.replace(scenario.plan(members, seed, full), loopback_net=loopback_net)
    run = ScenarioRun(ControllerProcesses(plan))
    try:
        if not await run.processes.launch():
            return Result(name, members, ["not all controllers joined the group in time"], {})
        objections = await run_script(scenario, run)
    finally:
        await run.processes.close()
    return Result(name, members, objections, run.figures)


async def run_script(scenario: Scenario, run: ScenarioRun) -> list[str]:
    """Runs a scenario's script on controllers that have joined.

    Returns:
        The scenario's objections, and one for each line of the logs that reports an internal
        failure.
    """
    processes = run.processes
    playing = asyncio.create_task(processes.run_script())
    await scenario.run_extra_actions(run)
    await playing
    objections: list[str] = []
    if not await processes.wait_until(lambda: scenario.is_over(run), WAIT_LIMIT_S):
        objections.append(f"the scenario was not over within {WAIT_LIMIT_S:.0f} s after its script")
    await asyncio.sleep(QUIET_PERIOD_S)
    processes.history.ends_us = processes.now_us()
    objections += scenario.find_objections(run)
    objections += [
        f"{member}: {line}"
        for member, lines in enumerate(processes.log_lines)
        for line in lines
        if line.get("event") in FAILURE_EVENTS
    ]
    return objections


async def run_all(names: Iterable[str], members: int, seed: int, full: bool) -> list[Result]:
    """Runs scenarios, up to `CONCURRENT_SCENARIOS` at once, each on addresses of its own."""
    slots = asyncio.Semaphore(CONCURRENT_SCENARIOS)

    async def run_in_slot(name: str, loopback_net: int) -> Result:
        async with slots:
            return await run_one(name, members, seed, full, loopback_net)

    runs = [run_in_slot(name, FIRST_NET + index) for index, name in enumerate(names)]
    return list(await asyncio.gather(*runs))


def report(results: list[Result], as_json: bool) -> str:
    """Formats results as JSON, or as plain text."""
    if as_json:
        return orjson.dumps(msgspec.to_builtins(results), option=orjson.OPT_INDENT_2).decode()
    return "\n".join(format_result(result) for result in results)


def format_result(result: Result) -> str:
    """Formats one result as text, with up to `MAX_REPORTED_OBJECTIONS` objections."""
    verdict = "FAILED" if result.objections else "good  "
    figures = "  ".join(f"{key} {value}" for key, value in result.figures.items())
    head = f"{verdict}  {result.name:22} {result.processes:3} processes  {figures}"
    return "\n        ".join([head, *result.objections[:MAX_REPORTED_OBJECTIONS]])
