"""Kinds of runs in which failure detectors are measured, in simulated time.

Each kind takes a job and returns its figures by name.
"""

import time
import tracemalloc
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

import msgspec

from plankroute.membership.messages import (
    Ack,
    Command,
    Event,
    Message,
    MessageReceived,
    Ping,
    SendMessage,
    TickDue,
    ViewExchange,
)
from plankroute.membership.records import MemberRecord
from plankroute.testbed import checkers
from plankroute.testbed.faults import SECOND, Act, Rule, Script, Step, partition, pauses
from plankroute.testbed.heartbeats import Heartbeats
from plankroute.testbed.history import StatusReport
from plankroute.testbed.simulated_members import (
    START_WALL_CLOCK_US,
    Core,
    Group,
    address_of,
    instance_of,
    name_of,
    plankroute_member,
)
from plankroute.testbed.swim import Swim

MB = 1 << 20
CALM_S = 5.0  # before the first fault
KILLS = 3  # of a run
KILL_INTERVAL_S = 10.0
PAUSING_PERIOD_S = 39.0  # as operators have seen it
QUIET_SHARE = 0.13  # of the members are never paused, as operators have seen it
PARTITION_S = 20.0
LOSS = 0.3
LOAD_PERIOD_S = 20.0
CHOSEN = "plankroute"  # the detector that controllers run

Figures = dict[str, Any]  # by name: a number, None for never, or a list of times


class Job(msgspec.Struct, frozen=True):
    """One run.

    Attributes:
        way: The failure detector, one of `DETECTORS`.
        kind: The kind of run, one of `KINDS`.
        members: How many members.
        seed: Seed of the run.
        seconds: Simulated length of the runs with packet loss.
    """

    way: str
    kind: str
    members: int
    seed: int
    seconds: float


WayMaker = Callable[[int, int, int, int, tuple[str, ...]], Core]


def make_plankroute(
    members: int, member: int, process_number: int, seed: int, seeds: tuple[str, ...]
) -> Core:
    """The detector that controllers run."""
    return plankroute_member(member, process_number, seed, seeds)


def make_heartbeats(
    members: int, member: int, process_number: int, seed: int, seeds: tuple[str, ...]
) -> Core:
    """All-to-all heartbeats."""
    return Heartbeats(member, members, process_number)


def make_swim(
    members: int, member: int, process_number: int, seed: int, seeds: tuple[str, ...]
) -> Core:
    """SWIM with suspicion."""
    return Swim(member, members, process_number, seed, lifeguard=False)


def make_lifeguard(
    members: int, member: int, process_number: int, seed: int, seeds: tuple[str, ...]
) -> Core:
    """SWIM with Lifeguard."""
    return Swim(member, members, process_number, seed, lifeguard=True)


DETECTORS: dict[str, WayMaker] = {
    CHOSEN: make_plankroute,
    "heartbeats": make_heartbeats,
    "swim": make_swim,
    "lifeguard": make_lifeguard,
}


def group_of(job: Job, *rules: Rule, steps: Iterable[Step] = ()) -> Group:
    """A group whose members all know each other from the start."""
    return Group(
        job.members,
        Script(job.seed, tuple(rules), tuple(steps)),
        partial(DETECTORS[job.way], job.members),
        job.seed,
        start_s=0.5,
        has_full_tables=job.way == CHOSEN,
    )


def known_times(times: Iterable[int | None]) -> list[int]:
    """Times of detection, without those that never came."""
    return [time_us for time_us in times if time_us is not None]


def failed_instances(reports: list[StatusReport]) -> int:
    """How many members were wrongly called failed, counted again after each refutation."""
    return len({(report.subject, report.incarnation) for report in reports})


def killed(job: Job) -> Figures:
    """Members are killed one after another."""
    kills = [
        Step(CALM_S + KILL_INTERVAL_S * number, Act.KILL, job.members - 1 - number)
        for number in range(KILLS)
    ]
    group = group_of(job, steps=kills)
    group.run(CALM_S + KILL_INTERVAL_S * KILLS + 5)
    survivors = range(job.members - KILLS)
    times: list[int | None] = []
    for kill in kills:
        killed_us = int(kill.at_s * SECOND)
        detected = checkers.detection_us(group.history, kill.member, killed_us, survivors)
        times += detected.values()
    return {
        "times_us": known_times(times),
        "missed": times.count(None),
        "wrong": len(checkers.false_failure_reports(group.history)),
    }


def lossy(job: Job) -> Figures:
    """A share of all datagrams is lost, and nobody fails."""
    group = group_of(job, Rule(loss=LOSS)).run(job.seconds)
    wrong = checkers.false_failure_reports(group.history)
    return {
        "wrong": len(wrong),
        "wrong_members": failed_instances(wrong),
        "bytes_s": group.bytes / job.members / job.seconds,
    }


def paused(job: Job) -> Figures:
    """Most members are paused again and again, as operators saw it; one is killed meanwhile."""
    victim = job.members - 1
    kill_s = CALM_S + 15
    first_paused = max(1, round(job.members * QUIET_SHARE))
    members = tuple(range(first_paused, victim))
    steps = [*pauses(members, CALM_S, CALM_S + PAUSING_PERIOD_S, job.seed)]
    steps.append(Step(kill_s, Act.KILL, victim))
    steps.sort(key=lambda step: step.at_s)
    group = group_of(job, steps=steps).run(CALM_S + 50)
    detected = checkers.detection_us(group.history, victim, int(kill_s * SECOND), range(victim))
    times = list(detected.values())
    wrong = checkers.false_failure_reports(group.history)
    return {
        "wrong": len(wrong),
        "wrong_members": failed_instances(wrong),
        "missed": times.count(None),
        "times_us": known_times(times),
    }


def healed(job: Job) -> Figures:
    """A partition into halves heals: how long until all agree."""
    half = job.members // 2
    halves = tuple(range(half)), tuple(range(half, job.members))
    healed_s = CALM_S + PARTITION_S
    group = group_of(job, *partition(halves, CALM_S, healed_s))
    group.run(CALM_S + 2 * PARTITION_S)
    healed_us = int(healed_s * SECOND)
    if job.way == CHOSEN:
        agreed_us = checkers.agreed_after_us(group.history, healed_us, range(job.members))
    else:
        agreed_us = recovered_after_us(group, healed_us)
    return {"agreed_s": None if agreed_us is None else agreed_us / SECOND}


def recovered_after_us(group: Group, healed_us: int) -> int | None:
    """How long after the heal the last verdict was given, if all failed members had recovered.

    For the baselines, which report nobody as joined: only what changed counts.
    """
    failed: set[tuple[int, int]] = set()
    last_us = 0
    for report in group.history.reports_of("failed", "recovered"):
        pair = report.observer, report.subject
        if report.change == "failed":
            failed.add(pair)
        else:
            failed.discard(pair)
        if report.at_us > healed_us:
            last_us = report.at_us
    return None if failed else max(0, last_us - healed_us)


def load(job: Job) -> Figures:
    """What a group without faults costs each member a second."""
    group = group_of(job).run(CALM_S)
    bytes_before = group.bytes
    datagrams_before = group.datagrams
    busy_before_s = group.busy_s
    group.run(LOAD_PERIOD_S)
    member_seconds = LOAD_PERIOD_S * job.members
    figures = {
        "bytes_s": (group.bytes - bytes_before) / member_seconds,
        "datagrams_s": (group.datagrams - datagrams_before) / member_seconds,
        "core_percent": (group.busy_s - busy_before_s) / member_seconds * 100,
    }
    if job.way == CHOSEN:
        figures["memory_mb"] = memory_mb(job.members)
        figures["alone_percent"] = alone_percent(job.members)
    return figures


def memory_mb(members: int) -> float:
    """Memory that one member allocates to know all others, without what the program shares."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    core = plankroute_member(0, 1, 1, ())
    for member in range(1, members):
        record = MemberRecord(
            f"steward-{member:05d}",
            f"10.0.{member // 250}.{member % 250}:3001",
            "zone-a",
            member,
            START_WALL_CLOCK_US + member,
        )
        event = MessageReceived("10.0.0.1:3001", ViewExchange((record,)))
        core.deliver(SECOND + member, [event])
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / MB


def alone_percent(members: int, seconds: int = 60) -> float:
    """CPU of one member that all others ping and answer, in percent of a processor.

    A simulation of a thousand members shares the processor's caches among them all, which is no
    cost of a member's own.
    """
    core = plankroute_member(0, 1, 1, ())
    now_us = SECOND
    busy_s = 0.0
    records = {
        address_of(member): MemberRecord(
            name_of(member), address_of(member), "z", instance_of(member, 1), START_WALL_CLOCK_US
        )
        for member in range(1, members)
    }
    addresses = list(records)
    view = ViewExchange(tuple(records.values()))
    core.deliver(now_us, [MessageReceived(addresses[0], view)])
    ticks_a_second = 10
    for tick in range(seconds * ticks_a_second):
        now_us += SECOND // ticks_a_second
        sender = addresses[tick % len(addresses)]
        events: list[Event] = [TickDue()]
        if tick % 2:
            ping = Ping(tick, core.table.digest(), records[sender])
            events.append(MessageReceived(sender, ping))
        began_s = time.perf_counter()
        commands = core.deliver(now_us, events)
        core.deliver(now_us + 300, acks_of(commands, records))
        busy_s += time.perf_counter() - began_s
    return busy_s / seconds * 100


def acks_of(commands: list[Command], records: dict[str, MemberRecord]) -> list[Event]:
    """The acks of all pings among these commands."""
    acks: list[Event] = []
    for command in commands:
        if isinstance(command, SendMessage) and isinstance(command.message, Ping):
            number = command.message.sequence_number
            ack: Message = Ack(number, records[command.address])
            acks.append(MessageReceived(command.address, ack))
    return acks


KINDS: dict[str, Callable[[Job], Figures]] = {
    "killed": killed,
    "lossy": lossy,
    "paused": paused,
    "healed": healed,
    "load": load,
}


def run_job(job: Job) -> tuple[Job, Figures]:
    """Runs a job, in a process of a pool."""
    return job, KINDS[job.kind](job)
