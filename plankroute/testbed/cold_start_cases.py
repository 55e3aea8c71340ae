"""Cases of a cold start with links between controllers, under faults.

Covers failing watchers, partitions, drains during the start, and a watcher that sends false data.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from plankroute.testbed import cold_start_plays as plays
from plankroute.testbed.cold_start import ColdStart, ColdStartCase
from plankroute.testbed.cold_start_faults import InterruptedRelay
from plankroute.testbed.cold_start_plays import (
    CONTROLLERS,
    LAST_MEMBER,
    PARTITION_FROM_S,
    PARTITION_UNTIL_S,
    CaseSteps,
    Problems,
    all_but,
    small_side,
    watchers,
)
from plankroute.testbed.faults import Act, Rule, Script, Step, partition, pauses
from plankroute.testbed.list_service import Behaviour

LARGE_HOSTS = 8000  # makes a list of 1 MB
SLOW_BYTES_A_SECOND = 50_000.0  # on a link
LIMIT_S = 60.0
NO_END_S = 1e6
LIST_OLD_S = 5.0
FAILURE_EVENTS = ("election_failed", "core_failed", "membership_core_failed", "discovery_failed")
MAX_REPORTED_FAILURES = 3

ScriptMaker = Callable[[list[int]], Script]


def no_faults(watcher_members: list[int]) -> Script:
    """Returns a script whose only rule has no effect.

    With a rule in the script, controllers connect through the testbed's links.
    """
    return Script(1, (Rule(),))


class ColdCase(msgspec.Struct, frozen=True):
    """A case; fields that `ColdStartCase` has as well have the same meaning here.

    Attributes:
        play: Acts and checks after the controllers have started.
        script: Makes the script, from the indexes of the watchers.
        started_later: Controllers that `ColdStart.begin` does not start; the play may start them.
    """

    play: CaseSteps
    script: ScriptMaker = no_faults
    hosts: int = 500
    behaviour: Behaviour = Behaviour()
    started_later: tuple[int, ...] = ()
    with_hosts: bool = False
    known_revision: int | None = None
    padding: int = 0
    load: float = 0.0
    cold_host_share: float = 1.0


def slow_links(*rules: Rule, steps: tuple[Step, ...] = ()) -> Script:
    """Returns a script with slow links between all controllers, and these faults."""
    return Script(1, (Rule(bytes_a_second=SLOW_BYTES_A_SECOND), *rules), steps)


def only_slow_links(watcher_members: list[int]) -> Script:
    """Returns a script with slow links and no other faults."""
    return slow_links()


def kill_two_watchers(watcher_members: list[int]) -> Script:
    """Returns a script that kills two of three watchers, one after the other."""
    steps = [
        Step(4.0 + index, Act.KILL, member) for index, member in enumerate(watcher_members[:2])
    ]
    return slow_links(steps=tuple(steps))


def pause_watchers(watcher_members: list[int]) -> Script:
    """Returns a script that pauses the watchers repeatedly."""
    return slow_links(steps=pauses(tuple(watcher_members), 2.0, 14.0, 1))


def cut_a_watcher_one_way(watcher_members: list[int]) -> Script:
    """Returns a script in which nothing that one watcher sends arrives."""
    return slow_links(
        Rule(3.0, NO_END_S, (watcher_members[0],), tuple(all_but(watcher_members)), cut=True),
    )


def cut_small_side(watcher_members: list[int]) -> Script:
    """Returns a script with a partition between a small side and the other controllers."""
    sides = tuple(small_side()), tuple(all_but(small_side()))
    return Script(1, partition(sides, PARTITION_FROM_S, PARTITION_UNTIL_S))


PARTITION_CASE = "parted"
CASES: dict[str, ColdCase] = {  # the longest first, since they start in this order
    "watchers killed": ColdCase(plays.drain_while_watchers_fail, kill_two_watchers, LARGE_HOSTS),
    "watchers paused": ColdCase(plays.drain_while_watchers_fail, pause_watchers, LARGE_HOSTS),
    "watcher cut one way": ColdCase(
        plays.drain_while_watchers_fail, cut_a_watcher_one_way, LARGE_HOSTS
    ),
    PARTITION_CASE: ColdCase(plays.partition_and_heal, cut_small_side),
    "drained ahead": ColdCase(
        plays.drain_during_list_transfer,
        only_slow_links,
        hosts=200,
        with_hosts=True,
        known_revision=900,
        padding=5000,
    ),
    "good": ColdCase(
        plays.drain_and_late_start, hosts=100, started_later=(LAST_MEMBER,), with_hosts=True
    ),
    "twice": ColdCase(plays.second_power_failure),
    "began anew": ColdCase(plays.discovery_restart),
    "lied to": ColdCase(plays.misbehaving_watcher),
    "changed since": ColdCase(plays.changes_only, hosts=100, with_hosts=True, known_revision=1000),
    "known from before": ColdCase(
        plays.discovery_restart_while_down, hosts=100, with_hosts=True, known_revision=5000
    ),
    "all cold": ColdCase(plays.cold_hosts, hosts=100, with_hosts=True, load=0.8),
    "half cold": ColdCase(
        plays.cold_hosts, hosts=100, with_hosts=True, load=0.8, cold_host_share=0.5
    ),
}


def make_cold_start(case: ColdCase, loopback_net: int) -> ColdStart:
    """Returns the cold start of a case, not yet begun.

    Args:
        case: The case.
        loopback_net: Second or third octet of its loopback addresses.
    """
    start = ColdStart(
        ColdStartCase(
            variant="peers",
            controllers=CONTROLLERS,
            hosts=case.hosts,
            behaviour=case.behaviour,
            seed=1,
            loopback_net=loopback_net,
            limit_s=LIMIT_S,
            cold_start_section={"list_old_s": LIST_OLD_S},
            script=case.script(watchers()),
            with_hosts=case.with_hosts,
            known_revision=case.known_revision,
            padding=case.padding,
            load=case.load,
            cold_host_share=case.cold_host_share,
        )
    )
    start.started_later = case.started_later
    return start


async def run_cold_case(name: str, loopback_net: int) -> tuple[Problems, dict[str, Any]]:
    """Runs a case; its processes end also after an exception.

    Args:
        name: Its name in `CASES`.
        loopback_net: Second or third octet of its loopback addresses.

    Returns:
        Problems, with up to `MAX_REPORTED_FAILURES` log lines that report an internal failure,
        and the figures of the start.
    """
    case = CASES[name]
    start = make_cold_start(case, loopback_net)
    cut = InterruptedRelay(start, PARTITION_FROM_S, PARTITION_UNTIL_S)
    if name == PARTITION_CASE:
        start.discovery_relays = dict.fromkeys(small_side(), cut)
    try:
        await start.begin()
        problems = await case.play(start)
        failures = [
            str(line)
            for lines in start.processes.log_lines
            for line in lines
            if line.get("event") in FAILURE_EVENTS
        ]
        return problems + failures[:MAX_REPORTED_FAILURES], msgspec.to_builtins(start.result())
    finally:
        await start.close()
        cut.close()
