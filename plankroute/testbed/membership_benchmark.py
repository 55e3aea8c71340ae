"""Compares failure detectors under the same faults and seeds, and checks figures against limits."""

import sys
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed
from statistics import median

import msgspec

from plankroute.testbed.faults import SECOND
from plankroute.testbed.membership_measurements import (
    DETECTORS,
    KINDS,
    PLANKROUTE,
    Figures,
    Job,
    run_job,
)

__all__ = ["DETECTORS", "KINDS", "Measurements", "measure", "table"]

# Limits of plankroute's detector, by measurement and figure (docs/membership.md).
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
LARGE_GROUP = 1000  # members; from this size on, limits are multiplied by these factors
LARGE_GROUP_FACTORS = {"median_s": 1.5, "worst_s": 1.5}
SUMMED_FIGURES = ("missed", "wrong", "wrong_members")  # summed over all seeds
MAXIMUM_FIGURES = (  # of which the maximum over all seeds counts
    "agreed_s",
    "bytes_s",
    "datagrams_s",
    "core_percent",
    "alone_percent",
    "memory_mb",
)


class Row(
    msgspec.Struct,
    # Key of the JSON report, which is an interface.
    rename={"detector": "way"},
):
    """The figures of one detector, measurement and group size over all seeds.

    Attributes:
        detector: The detector.
        kind: The measurement.
        members: The size of the group.
        seeds: The number of runs.
        figures: Figures by name; None if the measured event never happened.
        missed: Descriptions of the limits that were missed.
    """

    detector: str
    kind: str
    members: int
    seeds: int
    figures: dict[str, float | None]
    missed: list[str] = []


class Measurements(msgspec.Struct):
    """All rows of a comparison."""

    rows: list[Row]

    def failed(self) -> bool:
        """Returns whether plankroute's detector missed a limit."""
        return any(row.missed for row in self.rows)

    def to_json(self) -> bytes:
        """Returns the rows as indented JSON with a final line break."""
        return msgspec.json.format(msgspec.json.encode(self), indent=2) + b"\n"


def measure(
    sizes: Iterable[int],
    seeds: int,
    minutes: float,
    detectors: list[str],
    kinds: list[str],
    jobs: int,
    progress: bool = False,
) -> Measurements:
    """Runs measurements of detectors for groups of several sizes; the largest groups start first.

    Args:
        sizes: Sizes of the groups.
        seeds: Number of runs of each measurement, except the load, which is measured once.
        minutes: Simulated length of the runs with packet loss.
        detectors: Keys of `DETECTORS`.
        kinds: Keys of `KINDS`.
        jobs: Number of worker processes.
        progress: Whether to print progress to standard error.
    """
    sizes = sorted(set(sizes))
    todo = [
        Job(detector, kind, members, seed, minutes * 60)
        for members in reversed(sizes)
        for kind in kinds
        for detector in detectors
        for seed in range(1, (1 if kind == "load" else seeds) + 1)
    ]
    done = run_jobs(todo, jobs, progress)
    rows = [
        make_row(detector, kind, members, done[detector, kind, members])
        for kind in kinds
        for members in sizes
        for detector in detectors
    ]
    return Measurements(rows)


def run_jobs(
    todo: list[Job], jobs: int, progress: bool
) -> dict[tuple[str, str, int], list[Figures]]:
    """Runs jobs in a pool of worker processes.

    Args:
        todo: The jobs.
        jobs: Number of worker processes.
        progress: Whether to print progress to standard error.

    Returns:
        Figures of each run, by detector, measurement and group size.
    """
    done: dict[tuple[str, str, int], list[Figures]] = {}
    with ProcessPoolExecutor(jobs) as pool:
        futures = [pool.submit(run_job, job) for job in todo]
        for number, future in enumerate(as_completed(futures), 1):
            job, figures = future.result()
            done.setdefault((job.detector, job.kind, job.members), []).append(figures)
            if progress:
                print(f"\r{number} of {len(todo)} runs", end="", file=sys.stderr, flush=True)
    if progress:
        print(file=sys.stderr)
    return done


def make_row(detector: str, kind: str, members: int, runs: list[Figures]) -> Row:
    """Returns a row that combines the figures of all runs."""
    figures: dict[str, float | None] = {}
    times_s = sorted(time_us / SECOND for run in runs for time_us in run.get("times_us", []))
    if times_s:
        figures["median_s"] = round(median(times_s), 2)
        figures["worst_s"] = round(times_s[-1], 2)
    for name in SUMMED_FIGURES:
        if name in runs[0]:
            figures[name] = sum(run[name] for run in runs)
    for name in MAXIMUM_FIGURES:
        if name in runs[0]:
            values = [run[name] for run in runs]
            figures[name] = None if None in values else round(max(values), 3)
    missed = missed_limits(kind, members, figures) if detector == PLANKROUTE else []
    return Row(detector, kind, members, len(runs), figures, missed)


def missed_limits(kind: str, members: int, figures: dict[str, float | None]) -> list[str]:
    """Returns a description of each limit of plankroute's detector that these figures miss."""
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
    """Formats the rows as text, one line each."""
    return "\n".join(table_line(row) for row in measurements.rows)


def table_line(row: Row) -> str:
    """Formats one row as a line of text."""
    figures = "  ".join(
        f"{name} {'never' if value is None else f'{value:g}'}"
        for name, value in row.figures.items()
    )
    missed = f"  MISSED: {', '.join(row.missed)}" if row.missed else ""
    head = f"{row.kind:7} {row.members:5} {row.detector:11} seeds {row.seeds:2}"
    return f"{head}  {figures}{missed}"
