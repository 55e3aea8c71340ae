"""Measures ways of membership in simulated time: the same faults and seeds for each, figures beside what is
aimed at."""

import sys
import time
import tracemalloc
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed
from functools import partial
from statistics import median
from typing import Any

import msgspec

from plankroute.membership.messages import (
    Ack,
    MessageReceived,
    Ping,
    SendMessage,
    TickDue,
    ViewExchange,
)
from plankroute.membership.records import MemberRecord
from plankroute.testbed import checkers
from plankroute.testbed.baselines import Heartbeats, Swim
from plankroute.testbed.faults import SECOND, Act, Rule, Script, Step, partition, pauses
from plankroute.testbed.simulated_members import (
    WALL_US,
    Group,
    address_of,
    name_of,
    plankroute_member,
)

CALM_S, KILLS, KILL_EVERY_S = 5.0, 3, 10.0
MB = 1 << 20
AIMS: dict[tuple[str, str], float] = {  # of the chosen way, by kind and figure: at most
    ("killed", "median_s"): 4.0,
    ("killed", "worst_s"): 8.0,
    ("lossy", "wrong"): 0,
    ("paused", "wrong"): 0,
    ("healed", "agreed_s"): 5.0,
    ("load", "bytes_s"): 2000.0,
    ("load", "core_percent"): 2.0,
    ("load", "alone_percent"): 2.0,
    ("load", "memory_mb"): 2.0,
}
FROM_1000 = {"median_s": 1.5, "worst_s": 1.5}  # times the aim, at a thousand members


class Job(msgspec.Struct, frozen=True):
    way: str
    kind: str
    members: int
    seed: int
    seconds: float


class Row(msgspec.Struct):
    """One way, kind of run and size, over all seeds."""

    way: str
    kind: str
    members: int
    seeds: int
    figures: dict[str, float | None]
    missed: list[str] = []


class Measurements(msgspec.Struct):
    rows: list[Row]

    def failed(self) -> bool:
        return any(row.missed for row in self.rows)

    def to_json(self) -> bytes:
        return msgspec.json.format(msgspec.json.encode(self), indent=2) + b"\n"


def ours(members: int, member: int, life: int, seed: int, seeds: tuple[str, ...]) -> Any:
    return plankroute_member(member, life, seed, seeds)


WAYS: dict[str, Callable[..., Any]] = {
    "plankroute": ours,
    "heartbeats": lambda members, member, life, seed, seeds: Heartbeats(member, members, life),
    "swim": lambda members, member, life, seed, seeds: Swim(member, members, life, seed, False),
    "lifeguard": lambda members, member, life, seed, seeds: Swim(member, members, life, seed, True),
}


def staged(job: Job, *rules: Rule, steps: Iterable[Step] = ()) -> Group:
    """All members there, known to each other."""
    script = Script(job.seed, tuple(rules), tuple(steps))
    return Group(
        job.members,
        script,
        partial(WAYS[job.way], job.members),
        job.seed,
        start_s=0.5,
        known=job.way == "plankroute",
    )


def killed(job: Job) -> dict[str, Any]:
    at = [CALM_S + KILL_EVERY_S * number for number in range(KILLS)]
    victims = [job.members - 1 - number for number in range(KILLS)]
    run = staged(
        job, steps=[Step(when, Act.KILL, who) for when, who in zip(at, victims, strict=True)]
    )
    run.run(CALM_S + KILL_EVERY_S * KILLS + 5)
    times = [
        time
        for when, who in zip(at, victims, strict=True)
        for time in checkers.detection_us(
            run.history, who, int(when * SECOND), range(job.members - KILLS)
        ).values()
    ]
    return {
        "times_us": [time for time in times if time is not None],
        "missed": times.count(None),
        "wrong": len(checkers.wrongly_gone(run.history)),
    }


def lossy(job: Job) -> dict[str, Any]:
    run = staged(job, Rule(loss=0.3)).run(job.seconds)
    wrong = checkers.wrongly_gone(run.history)
    return {
        "wrong": len(wrong),
        "wrong_members": len({(entry.subject, entry.incarnation) for entry in wrong}),
        "bytes_s": run.bytes / job.members / job.seconds,
    }


def paused(job: Job) -> dict[str, Any]:
    """The operators' figures: 39 s, 1.3 to 2 s each, 87% of the members; one is killed in the middle."""
    least = max(1, round(job.members * 0.13))
    still = pauses(tuple(range(least, job.members - 1)), CALM_S, CALM_S + 39, job.seed)
    run = staged(
        job,
        steps=sorted(
            [*still, Step(CALM_S + 15, Act.KILL, job.members - 1)], key=lambda step: step.at_s
        ),
    ).run(CALM_S + 50)
    times = checkers.detection_us(
        run.history, job.members - 1, int((CALM_S + 15) * SECOND), range(job.members - 1)
    ).values()
    wrong = checkers.wrongly_gone(run.history)
    return {
        "wrong": len(wrong),
        "wrong_members": len({(entry.subject, entry.incarnation) for entry in wrong}),
        "missed": list(times).count(None),
        "times_us": [time for time in times if time is not None],
    }


def healed(job: Job) -> dict[str, Any]:
    half = job.members // 2
    run = staged(
        job, *partition((tuple(range(half)), tuple(range(half, job.members))), CALM_S, CALM_S + 20)
    )
    run.run(CALM_S + 40)
    agreed = checkers.agreed_after_us(run.history, int((CALM_S + 20) * SECOND), range(job.members))
    known_at_start = (
        job.way != "plankroute"
    )  # the plain ways were told of nobody: only what changed counts
    if known_at_start:
        agreed = back_after_us(run, job.members, int((CALM_S + 20) * SECOND))
    return {"agreed_s": None if agreed is None else agreed / SECOND}


def back_after_us(run: Group, members: int, healed_us: int) -> int | None:
    missing, last = set[tuple[int, int]](), 0
    for entry in run.history.of("failed", "recovered"):
        pair = entry.observer, entry.subject
        (missing.add if entry.change == "failed" else missing.discard)(pair)
        last = entry.at_us if entry.at_us > healed_us else last
    return None if missing else max(0, last - healed_us)


def load(job: Job) -> dict[str, Any]:
    run = staged(job).run(CALM_S)
    before = run.bytes, run.datagrams, run.busy_s
    run.run(20.0)
    per = 20.0 * job.members
    figures = {
        "bytes_s": (run.bytes - before[0]) / per,
        "datagrams_s": (run.datagrams - before[1]) / per,
        "core_percent": (run.busy_s - before[2]) / per * 100,
    }
    if job.way == "plankroute":
        figures["memory_mb"] = memory_mb(job.members)
        figures["alone_percent"] = alone_percent(job.members)
    return figures


def memory_mb(members: int) -> float:
    """Of one member that knows all others, as allocated; what it shares with the program is not counted."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    core = plankroute_member(0, 1, 1, ())
    for member in range(1, members):
        record = MemberRecord(
            f"steward-{member:05d}",
            f"10.0.{member // 250}.{member % 250}:3001",
            "zone-a",
            member,
            1_800_000_000_000_000 + member,
        )
        core.deliver(SECOND + member, [MessageReceived("10.0.0.1:3001", ViewExchange((record,)))])
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / MB


def alone_percent(members: int, seconds: int = 60) -> float:
    """Of a core, for one member that is answered and asked by all others: a simulation of a thousand shares
    its caches among them all, which is none of a member's own cost."""
    core, busy_s, now_us = plankroute_member(0, 1, 1, ()), 0.0, SECOND
    others = {
        address_of(member): MemberRecord(
            name_of(member), address_of(member), "z", (member << 16) + 1, WALL_US
        )
        for member in range(1, members)
    }
    addresses = list(others)
    core.deliver(now_us, [MessageReceived(addresses[0], ViewExchange(tuple(others.values())))])
    for beat in range(seconds * 10):
        now_us += SECOND // 10
        asked = addresses[beat % len(addresses)]
        ping = Ping(beat, core.table.digest(), others[asked])
        events: list[Any] = [TickDue()] + [MessageReceived(asked, ping)] * (beat % 2)
        began = time.perf_counter()
        pings = [
            action
            for action in core.deliver(now_us, events)
            if isinstance(action, SendMessage) and isinstance(action.message, Ping)
        ]
        core.deliver(
            now_us + 300,
            [
                MessageReceived(
                    ping.address, Ack(ping.message.sequence_number, others[ping.address])
                )
                for ping in pings
            ],
        )
        busy_s += time.perf_counter() - began
    return busy_s / seconds * 100


KINDS: dict[str, Callable[[Job], dict[str, Any]]] = {
    "killed": killed,
    "lossy": lossy,
    "paused": paused,
    "healed": healed,
    "load": load,
}


def run_job(job: Job) -> tuple[Job, dict[str, Any]]:
    return job, KINDS[job.kind](job)


def measure(
    sizes: Iterable[int],
    seeds: int,
    minutes: float,
    ways: list[str],
    kinds: list[str],
    jobs: int,
    progress: bool = False,
) -> Measurements:
    """Jobs of all ways, kinds, sizes and seeds, as many at once as asked for; the largest begin first."""
    todo = [
        Job(way, kind, members, seed, minutes * 60)
        for members in sorted(sizes, reverse=True)
        for kind in kinds
        for way in ways
        for seed in range(1, (1 if kind == "load" else seeds) + 1)
    ]
    done: dict[tuple[str, str, int], list[dict[str, Any]]] = {}
    with ProcessPoolExecutor(jobs) as pool:
        futures = [pool.submit(run_job, job) for job in todo]
        for number, future in enumerate(as_completed(futures), 1):
            job, got = future.result()
            done.setdefault((job.way, job.kind, job.members), []).append(got)
            if progress:
                print(f"\r{number} of {len(todo)} runs", end="", file=sys.stderr, flush=True)
    if progress:
        print(file=sys.stderr)
    order = {
        (way, kind, members): place
        for place, (kind, members, way) in enumerate(
            (kind, members, way) for kind in kinds for members in sorted(sizes) for way in ways
        )
    }
    return Measurements([row(key, done[key]) for key in sorted(done, key=order.__getitem__)])


def row(key: tuple[str, str, int], got: list[dict[str, Any]]) -> Row:
    way, kind, members = key
    figures: dict[str, float | None] = {}
    if times := sorted(time / SECOND for one in got for time in one.get("times_us", ())):
        figures |= {"median_s": round(median(times), 2), "worst_s": round(times[-1], 2)}
    for name in ("missed", "wrong", "wrong_members"):
        if name in got[0]:
            figures[name] = sum(one[name] for one in got)
    for name in (
        "agreed_s",
        "bytes_s",
        "datagrams_s",
        "core_percent",
        "alone_percent",
        "memory_mb",
    ):
        if name in got[0]:
            values = [one[name] for one in got]
            figures[name] = None if None in values else round(max(values), 3)
    return Row(way, kind, members, len(got), figures, missed(way, kind, members, figures))


def missed(way: str, kind: str, members: int, figures: dict[str, float | None]) -> list[str]:
    """Aims of the chosen way that these figures do not reach."""
    out = []
    for name, value in figures.items():
        if way != "plankroute" or (most := AIMS.get((kind, name))) is None:
            continue
        most *= FROM_1000.get(name, 1.0) if members >= 1000 else 1.0
        if value is None or value > most:
            out.append(f"{name} {value} over {most:g}")
    return out


def table(figures: Measurements) -> str:
    lines = []
    for row in figures.rows:
        said = "  ".join(
            f"{name} {'never' if value is None else f'{value:g}'}"
            for name, value in row.figures.items()
        )
        mark = "  MISSED: " + ", ".join(row.missed) if row.missed else ""
        lines.append(f"{row.kind:7} {row.members:5} {row.way:11} seeds {row.seeds:2}  {said}{mark}")
    return "\n".join(lines)
