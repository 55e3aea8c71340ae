"""Measurements of failure detectors in simulated time.

Each measurement takes a job and returns its figures by name.
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
SETTLING_PERIOD_S = 5.0  # without faults, at the start of each run that has faults
KILLS = 3  # in each run that measures detection
KILL_INTERVAL_S = 10.0
PAUSING_PERIOD_S = 39.0  # as operators have seen it
UNPAUSED_SHARE = 0.13  # share of the members that is never paused, as operators have seen it
PARTITION_S = 20.0
LOSS = 0.3
LOAD_PERIOD_S = 20.0
PLANKROUTE = "plankroute"  # the detector that controllers run

Figures = dict[str, Any]  # by name: a number, None for never, or a list of times


class Job(msgspec.Struct, frozen=True):
    """One run of a measurement.

    Attributes:
        detector: The failure detector, a key of `DETECTORS`.
        kind: The measurement, a key of `KINDS`.
        members: Number of members.
        seed: Seed of the run.
        seconds: Simulated length of the runs with packet loss.
    """

    detector: str
    kind: str
    members: int
    seed: int
    seconds: float


DetectorMaker = Callable[[int, int, int, int, tuple[str, ...]], Core]


def make_plankroute(
    members: int, member: int, process_number: int, seed: int, seeds: tuple[str, ...]
) -> Core:
    """Makes a core of the detector that controllers run."""
    return plankroute_member(member, process_number, seed, seeds)


def make_heartbeats(
    members: int, member: int, process_number: int, seed: int, seeds: tuple[str, ...]
) -> Core:
    """Makes a core that uses all-to-all heartbeats."""
    return Heartbeats(member, members, process_number)


def make_swim(
    members: int, member: int, process_number: int, seed: int, seeds: tuple[str, ...]
) -> Core:
    """Makes a core of SWIM with suspicion."""
    return Swim(member, members, process_number, seed, lifeguard=False)


def make_lifeguard(
    members: int, member: int, process_number: int, seed: int, seeds: tuple[str, ...]
) -> Core:
    """Makes a core of SWIM with Lifeguard."""
    return Swim(member, members, process_number, seed, lifeguard=True)


DETECTORS: dict[str, DetectorMaker] = {
    PLANKROUTE: make_plankroute,
    "heartbeats": make_heartbeats,
    "swim": make_swim,
    "lifeguard": make_lifeguard,
}


def group_of(job: Job, *rules: Rule, steps: Iterable[Step] = ()) -> Group:
    """Returns a group whose members all know each other from the start."""
    return Group(
        job.members,
        Script(job.seed, tuple(rules), tuple(steps)),
        partial(DETECTORS[job.detector], job.members),
        job.seed,
        start_s=0.5,
        has_full_tables=job.detector == PLANKROUTE,
    )


def detected_times(times: Iterable[int | None]) -> list[int]:
    """Returns the detection times of the survivors that detected the failure."""
    return [time_us for time_us in times if time_us is not None]


def count_failed_members(reports: list[StatusReport]) -> int:
    """Counts the subjects; one that refuted a report counts again if it is reported again."""
    return len({(report.subject, report.incarnation) for report in reports})


def measure_kills(job: Job) -> Figures:
    """Kills members one after another; measures detection times and false failures."""
    kills = [
        Step(SETTLING_PERIOD_S + KILL_INTERVAL_S * number, Act.KILL, job.members - 1 - number)
        for number in range(KILLS)
    ]
    group = group_of(job, steps=kills)
    group.run(SETTLING_PERIOD_S + KILL_INTERVAL_S * KILLS + 5)
    survivors = range(job.members - KILLS)
    times: list[int | None] = []
    for kill in kills:
        killed_us = int(kill.at_s * SECOND)
        detected = checkers.detection_us(group.history, kill.member, killed_us, survivors)
        times += detected.values()
    return {
        "times_us": detected_times(times),
        "missed": times.count(None),
        "wrong": len(checkers.false_failure_reports(group.history)),
    }


def measure_packet_loss(job: Job) -> Figures:
    """Drops a share of all datagrams while no member fails; measures false failures and traffic."""
    group = group_of(job, Rule(loss=LOSS)).run(job.seconds)
    wrong = checkers.false_failure_reports(group.history)
    return {
        "wrong": len(wrong),
        "wrong_members": count_failed_members(wrong),
        "bytes_s": group.sent_bytes / job.members / job.seconds,
    }


def measure_pauses(job: Job) -> Figures:
    """Pauses most members repeatedly, as operators saw it, and kills one other meanwhile.

    Measures false failures and the detection times of the kill.
    """
    victim = job.members - 1
    kill_s = SETTLING_PERIOD_S + 15
    first_paused = max(1, round(job.members * UNPAUSED_SHARE))
    members = tuple(range(first_paused, victim))
    steps = [*pauses(members, SETTLING_PERIOD_S, SETTLING_PERIOD_S + PAUSING_PERIOD_S, job.seed)]
    steps.append(Step(kill_s, Act.KILL, victim))
    steps.sort(key=lambda step: step.at_s)
    group = group_of(job, steps=steps).run(SETTLING_PERIOD_S + 50)
    detected = checkers.detection_us(group.history, victim, int(kill_s * SECOND), range(victim))
    times = list(detected.values())
    wrong = checkers.false_failure_reports(group.history)
    return {
        "wrong": len(wrong),
        "wrong_members": count_failed_members(wrong),
        "missed": times.count(None),
        "times_us": detected_times(times),
    }


def measure_heal(job: Job) -> Figures:
    """Partitions the group into halves; measures how long after the heal all members agree."""
    half = job.members // 2
    halves = tuple(range(half)), tuple(range(half, job.members))
    healed_s = SETTLING_PERIOD_S + PARTITION_S
    group = group_of(job, *partition(halves, SETTLING_PERIOD_S, healed_s))
    group.run(SETTLING_PERIOD_S + 2 * PARTITION_S)
    healed_us = int(healed_s * SECOND)
    if job.detector == PLANKROUTE:
        agreed_us = checkers.agreed_after_us(group.history, healed_us, range(job.members))
    else:
        agreed_us = recovered_after_us(group, healed_us)
    return {"agreed_s": None if agreed_us is None else agreed_us / SECOND}


def recovered_after_us(group: Group, healed_us: int) -> int | None:
    """Returns how long after the heal the last status change was reported, in microseconds.

    Serves the baselines in place of `checkers.agreed_after_us`, since they report no member as
    joined.

    Returns:
        None if a member is still reported as failed at the end; 0 if nothing changed after the
        heal.
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


def measure_load(job: Job) -> Figures:
    """Runs a group without faults; measures traffic and processor load of each member."""
    group = group_of(job).run(SETTLING_PERIOD_S)
    bytes_before = group.sent_bytes
    datagrams_before = group.sent_datagrams
    busy_before_s = group.busy_s
    group.run(LOAD_PERIOD_S)
    member_seconds = LOAD_PERIOD_S * job.members
    figures = {
        "bytes_s": (group.sent_bytes - bytes_before) / member_seconds,
        "datagrams_s": (group.sent_datagrams - datagrams_before) / member_seconds,
        "core_percent": (group.busy_s - busy_before_s) / member_seconds * 100,
    }
    if job.detector == PLANKROUTE:
        figures["memory_mb"] = memory_mb(job.members)
        figures["alone_percent"] = single_core_percent(job.members)
    return figures


def memory_mb(members: int) -> float:
    """Returns the memory that one core allocates to know all other members, in MB.

    Memory that the cores of a program share is not included.
    """
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


def single_core_percent(members: int, seconds: int = 60) -> float:
    """Returns the processor load of a single core that exchanges pings with all other members.

    Complements the load measured in a whole group: there, up to a thousand simulated cores share
    the processor's caches, and the cache misses are no cost of a core that runs in its own process.

    Args:
        members: Size of the group.
        seconds: Simulated length of the measurement.

    Returns:
        Time spent in the core, in percent of one processor.
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
    """Returns the acks that answer all pings among these commands.

    Args:
        commands: Commands of a core.
        records: Records of the pinged members, by address.
    """
    acks: list[Event] = []
    for command in commands:
        if isinstance(command, SendMessage) and isinstance(command.message, Ping):
            sequence_number = command.message.sequence_number
            ack: Message = Ack(sequence_number, records[command.address])
            acks.append(MessageReceived(command.address, ack))
    return acks


KINDS: dict[str, Callable[[Job], Figures]] = {
    "killed": measure_kills,
    "lossy": measure_packet_loss,
    "paused": measure_pauses,
    "healed": measure_heal,
    "load": measure_load,
}


def run_job(job: Job) -> tuple[Job, Figures]:
    """Runs a job in a worker process; returns the job with its figures."""
    return job, KINDS[job.kind](job)
