"""Compares failure detectors: the same faults and seeds for each, figures beside their limits."""

import sys
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed
from statistics import median

import msgspec

from plankroute.testbed.faults import SECOND
from plankroute.testbed.membership_measurements import (
    CHOSEN,
    DETECTORS,
    KINDS,
    Figures,
    Job,
    run_job,
)

__all__ = ["DETECTORS", "KINDS", "Measurements", "measure", "table"]

# Limits of the chosen detector, by kind of run and figure (docs/membership.md).
LIMITS: dict[tuple[str, str], float] = {
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
LARGE_GROUP = 1000  # members, from which on these limits are multiplied
LARGE_GROUP_FACTORS = {"median_s": 1.5, "worst_s": 1.5}
SUMMED_FIGURES = ("missed", "wrong", "wrong_members")  # over all seeds
WORST_FIGURES = (  # of all seeds
    "agreed_s",
    "bytes_s",
    "datagrams_s",
    "core_percent",
    "alone_percent",
    "memory_mb",
)


class Row(msgspec.Struct):
    """One detector, kind of run and size, over all seeds.

    Attributes:
        way: The detector.
        kind: The kind of run.
        members: The size of the group.
        seeds: The number of runs.
        figures: By name; None: never.
        missed: Limits that were missed, as text.
    """

    way: str
    kind: str
    members: int
    seeds: int
    figures: dict[str, float | None]
    missed: list[str] = []


class Measurements(msgspec.Struct):
    """All rows of a comparison."""

    rows: list[Row]

    def failed(self) -> bool:
        """Whether the chosen detector missed a limit."""
        return any(row.missed for row in self.rows)

    def to_json(self) -> bytes:
        """The rows as indented JSON."""
        return msgspec.json.format(msgspec.json.encode(self), indent=2) + b"\n"


def measure(
    sizes: Iterable[int],
    seeds: int,
    minutes: float,
    ways: list[str],
    kinds: list[str],
    jobs: int,
    progress: bool = False,
) -> Measurements:
    """Measures all detectors, in kinds of runs and sizes; the largest groups begin first.

    Args:
        sizes: Sizes of groups.
        seeds: Runs of each kind; of load there is one.
        minutes: Simulated length of the runs with packet loss.
        ways: Detectors.
        kinds: Kinds of runs.
        jobs: Processes that run at once.
        progress: Whether progress is printed.
    """
    sizes = sorted(set(sizes))
    todo = [
        Job(way, kind, members, seed, minutes * 60)
        for members in reversed(sizes)
        for kind in kinds
        for way in ways
        for seed in range(1, (1 if kind == "load" else seeds) + 1)
    ]
    done = run_jobs(todo, jobs, progress)
    rows = [
        make_row(way, kind, members, done[way, kind, members])
        for kind in kinds
        for members in sizes
        for way in ways
    ]
    return Measurements(rows)


def run_jobs(
    todo: list[Job], jobs: int, progress: bool
) -> dict[tuple[str, str, int], list[Figures]]:
    """Runs jobs side by side; returns figures by detector, kind and size."""
    done: dict[tuple[str, str, int], list[Figures]] = {}
    with ProcessPoolExecutor(jobs) as pool:
        futures = [pool.submit(run_job, job) for job in todo]
        for number, future in enumerate(as_completed(futures), 1):
            job, figures = future.result()
            done.setdefault((job.way, job.kind, job.members), []).append(figures)
            if progress:
                print(f"\r{number} of {len(todo)} runs", end="", file=sys.stderr, flush=True)
    if progress:
        print(file=sys.stderr)
    return done


def make_row(way: str, kind: str, members: int, runs: list[Figures]) -> Row:
    """One row, over all runs."""
    figures: dict[str, float | None] = {}
    times_s = sorted(time_us / SECOND for run in runs for time_us in run.get("times_us", []))
    if times_s:
        figures["median_s"] = round(median(times_s), 2)
        figures["worst_s"] = round(times_s[-1], 2)
    for name in SUMMED_FIGURES:
        if name in runs[0]:
            figures[name] = sum(run[name] for run in runs)
    for name in WORST_FIGURES:
        if name in runs[0]:
            values = [run[name] for run in runs]
            figures[name] = None if None in values else round(max(values), 3)
    missed = missed_limits(kind, members, figures) if way == CHOSEN else []
    return Row(way, kind, members, len(runs), figures, missed)


def missed_limits(kind: str, members: int, figures: dict[str, float | None]) -> list[str]:
    """Limits that these figures of the chosen detector miss."""
    missed: list[str] = []
    for name, value in figures.items():
        limit = LIMITS.get((kind, name))
        if limit is None:
            continue
        if members >= LARGE_GROUP:
            limit *= LARGE_GROUP_FACTORS.get(name, 1.0)
        if value is None or value > limit:
            missed.append(f"{name} {value} over {limit:g}")
    return missed


def table(measurements: Measurements) -> str:
    """A line for each row."""
    return "\n".join(table_line(row) for row in measurements.rows)


def table_line(row: Row) -> str:
    """One row as text."""
    figures = "  ".join(
        f"{name} {'never' if value is None else f'{value:g}'}"
        for name, value in row.figures.items()
    )
    missed = f"  MISSED: {', '.join(row.missed)}" if row.missed else ""
    head = f"{row.kind:7} {row.members:5} {row.way:11} seeds {row.seeds:2}"
    return f"{head}  {figures}{missed}"
