"""A soak test: real controllers under signals, kills, releases and floods drawn from a seed.

Checks the operators' rules, start and shutdown times, logs, memory and file descriptors. A seed
that fails is not retried; it is reported with the command that runs it again.
"""

import asyncio
import os
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

import msgspec

from plankroute.testbed.faults import Act, Step
from plankroute.testbed.fleet_stage import FleetSize, FleetStage
from plankroute.testbed.processes import LogLine

READY_LIMIT_S = 10.0
END_LIMIT_S = 0.7  # from SIGTERM until operators send SIGKILL
BIND_LIMIT_S = 60.0  # from the last fault until all proxies are joined and hold a table
FIRST_FAULT_S = 1.0
LAST_FAULT_S = 6.0  # before the end, so that the last draining hosts shut down within the run
FAULT_INTERVAL_S = (0.2, 2.5)  # range of the random intervals; faults at short ones overlap
PAUSE_S = (0.1, 0.8)  # range of the random durations
FLOOD_CONNECTIONS = 150
FLOOD_S = 1.0
REPLACED_HOSTS = (2, 8)  # range of the random number of hosts in a release
MAX_MEMORY_GROWTH_MB = 16.0
MAX_EXTRA_DESCRIPTORS = 32  # besides one for each proxy, health check and collector
MB = 1 << 20
PROBLEM_LEVELS = frozenset({"error"})
PROBLEM_EVENTS = frozenset({"unreadable"})  # a line that is not JSON, such as a traceback


class Fault(Enum):
    """Kinds of faults."""

    RELEASE = "release"
    TERM = "term"
    TERM_TWICE = "term twice"
    KILL = "kill"
    HUP = "hup"
    HUP_TWICE = "hup twice"
    PAUSE = "pause"
    KILL_MOST = "kill most"
    FLOOD = "flood"


FAULT_WEIGHTS = {
    Fault.RELEASE: 6,
    Fault.TERM: 2,
    Fault.TERM_TWICE: 1,
    Fault.KILL: 2,
    Fault.HUP: 2,
    Fault.HUP_TWICE: 1,
    Fault.PAUSE: 2,
    Fault.KILL_MOST: 1,
    Fault.FLOOD: 1,
}


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault that is scheduled.

    Attributes:
        at_s: Start of the fault, in seconds from the start of the faults.
        fault: Kind of the fault.
        member: The controller that it affects; the fault is skipped if that controller is ending,
            starting or paused at that time.
        seed: Seed of the other parameters of the fault.
    """

    at_s: float
    fault: Fault
    member: int
    seed: int


def plan_faults(seed: int, seconds: float, controllers: int) -> list[PlannedFault]:
    """Returns the faults of a run, which depend only on the arguments.

    Args:
        seed: Seed of the faults and their times.
        seconds: Length of the run; no fault starts in its last `LAST_FAULT_S` seconds.
        controllers: Number of controllers.
    """
    rng = random.Random(seed)
    planned: list[PlannedFault] = []
    at_s = FIRST_FAULT_S
    while at_s < seconds - LAST_FAULT_S:
        (fault,) = rng.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))
        planned.append(PlannedFault(at_s, fault, rng.randrange(controllers), rng.getrandbits(32)))
        at_s += rng.uniform(*FAULT_INTERVAL_S)
    return planned


class SoakResult(msgspec.Struct):
    """The result of one seed.

    Attributes:
        seed: The seed.
        faults: The injected faults in order, each with the number of its controller.
        rules_broken: By broken rule, its first violation.
        problems: All other failed checks.
        longest_use_s: The longest time for which a removed host stayed in use.
        slowest_start_s: The longest time until a restarted controller listened.
        slowest_end_s: The longest time from SIGTERM until a controller had ended.
        most_memory_mb: The largest resident memory of a controller after the faults.
    """

    seed: int
    faults: list[str]
    rules_broken: dict[str, str]
    problems: list[str]
    longest_use_s: float
    slowest_start_s: float
    slowest_end_s: float
    most_memory_mb: float

    def is_good(self) -> bool:
        """Returns whether no rule was broken and no other check failed."""
        return not self.rules_broken and not self.problems

    def summary(self) -> str:
        """Returns a readable summary in one line."""
        verdict = "good" if self.is_good() else "BROKEN"
        return (
            f"seed {self.seed}: {verdict}, {len(self.faults)} faults, a removed host in use for "
            f"{self.longest_use_s:.2f} s at most, start {self.slowest_start_s:.2f} s, "
            f"end {self.slowest_end_s:.2f} s, {self.most_memory_mb:.0f} MB"
        )


class Soak:
    """The run of one seed.

    Attributes:
        stage: The fleet.
        faults: The injected faults so far.
        problems: Failed checks, without broken rules.
    """

    def __init__(self, seed: int, seconds: float, loopback_net: int) -> None:
        self.seed = seed
        self.seconds = seconds
        self.stage = FleetStage(
            FleetSize(
                controllers=4,
                proxies=40,
                hosts=48,
                spare_hosts=120,
                loopback_net=loopback_net,
                seed=seed,
                lines_per_s=350.0,
                backlog_cap=1050,
            )
        )
        self.faults: list[str] = []
        self.problems: list[str] = []
        self.slowest_start_s = 0.0
        self.slowest_end_s = 0.0
        self._busy: set[int] = set()  # controllers that are ending, starting or paused
        self._running_faults: set[asyncio.Task[None]] = set()

    async def run(self) -> SoakResult:
        """Runs the faults and checks of the seed; ends all processes that it started."""
        memory_mb = 0.0
        try:
            await self.stage.open()
            self.stage.processes.on_line = self.check_line
            await self.wait_until_bound()
            memory_before = self.memory_by_controller()
            await self.run_faults()
            await self.wait_until_bound()
            memory_mb = max(self.memory_by_controller().values(), default=0.0)
            self.check_growth(memory_before)
            await asyncio.gather(*(self.end(member) for member in range(self.size.controllers)))
        except TimeoutError as error:
            self.problems.append(f"timed out: {error}")
        finally:
            await self.stage.close()
        return self.result(memory_mb)

    @property
    def size(self) -> FleetSize:
        """The size of the fleet."""
        return self.stage.size

    def result(self, memory_mb: float) -> SoakResult:
        """Returns the result; `memory_mb` is the largest memory of a controller."""
        rules = self.stage.rules
        return SoakResult(
            self.seed,
            self.faults,
            {rule.name.lower(): what for rule, what in rules.violations.first.items()},
            self.problems,
            round(rules.longest_use_s, 3),
            round(self.slowest_start_s, 3),
            round(self.slowest_end_s, 3),
            round(memory_mb, 1),
        )

    async def run_faults(self) -> None:
        """Starts the planned faults at their times, and waits until all of them have ended.

        A fault may start while others are still running.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for planned in plan_faults(self.seed, self.seconds, self.size.controllers):
            await asyncio.sleep(max(0.0, began_s + planned.at_s - loop.time()))
            self.start_fault(planned)
        await asyncio.sleep(max(0.0, began_s + self.seconds - loop.time()))
        if self._running_faults:
            await asyncio.wait_for(asyncio.gather(*self._running_faults), READY_LIMIT_S * 4)

    def start_fault(self, planned: PlannedFault) -> None:
        """Starts a fault, unless its controller is ending, starting or paused."""
        member = planned.member
        if member in self._busy:
            return
        rng = random.Random(planned.seed)
        actions: dict[Fault, Callable[[], Awaitable[None]]] = {
            Fault.RELEASE: lambda: self.release(rng),
            Fault.TERM: lambda: self.restart(member, Act.LEAVE, 1),
            Fault.TERM_TWICE: lambda: self.restart(member, Act.LEAVE, 2),
            Fault.KILL: lambda: self.restart(member, Act.KILL, 1),
            Fault.HUP: lambda: self.reload(member, 1),
            Fault.HUP_TWICE: lambda: self.reload(member, 2),
            Fault.PAUSE: lambda: self.pause(member, rng.uniform(*PAUSE_S)),
            Fault.KILL_MOST: lambda: self.kill_most(member),
            Fault.FLOOD: lambda: self.flood(member),
        }
        self.faults.append(f"{planned.fault.value} {member}")
        task = asyncio.ensure_future(actions[planned.fault]())
        self._running_faults.add(task)
        task.add_done_callback(self._running_faults.discard)

    # Faults

    async def release(self, rng: random.Random) -> None:
        """Replaces a random number of hosts by as many new ones, while spare hosts are left."""
        count = rng.randint(*REPLACED_HOSTS)
        present = sorted(self.stage.present)
        self.stage.replace_hosts(rng.sample(present, count), count)

    async def restart(self, member: int, act: Act, times: int) -> None:
        """Ends a controller by a signal that is sent `times` times, and starts it again."""
        self._busy.add(member)
        for _ in range(times - 1):
            await self.stage.processes.run_step(Step(0.0, act, member))
        if act is Act.LEAVE:
            await self.end(member)
        else:
            await self.stage.end(member, act)
        await self.start(member)
        self._busy.discard(member)

    async def kill_most(self, survivor: int) -> None:
        """Kills the other controllers at once, waits for all proxies to join, and restarts them.

        Controllers that are ending, starting or paused are not killed.
        """
        others = set(range(self.size.controllers)) - {survivor}
        killed = sorted(others - self._busy)
        self._busy.update(killed)
        await asyncio.gather(*(self.stage.end(member, Act.KILL) for member in killed))
        await self.stage.wait_until(
            lambda: all(proxy.controller is not None for proxy in self.stage.proxies), READY_LIMIT_S
        )
        await asyncio.gather(*(self.start(member) for member in killed))
        self._busy.difference_update(killed)

    async def reload(self, member: int, times: int) -> None:
        """Sends SIGHUP to a controller `times` times without a delay."""
        for _ in range(times):
            self.stage.processes.send_reload(member)

    async def pause(self, member: int, duration_s: float) -> None:
        """Suspends a controller for `duration_s`; other faults skip it during that time."""
        self._busy.add(member)
        await self.stage.processes.run_step(Step(0.0, Act.PAUSE, member))
        await asyncio.sleep(duration_s)
        await self.stage.processes.run_step(Step(0.0, Act.RESUME, member))
        self._busy.discard(member)

    async def flood(self, member: int) -> None:
        """Opens many connections that send nothing, and closes them after `FLOOD_S`."""
        address = self.stage.addresses[member]
        attempts = await asyncio.gather(
            *(asyncio.open_connection(*address) for _ in range(FLOOD_CONNECTIONS)),
            return_exceptions=True,
        )
        await asyncio.sleep(FLOOD_S)
        for attempt in attempts:
            if not isinstance(attempt, BaseException):
                attempt[1].transport.abort()

    # Checks

    async def start(self, member: int) -> None:
        """Starts a controller, and checks the time until it listens."""
        took_s = await self.stage.restart(member)
        self.slowest_start_s = max(self.slowest_start_s, took_s)
        if took_s > READY_LIMIT_S:
            self.problems.append(f"controller {member} was ready after {took_s:.1f} s")

    async def end(self, member: int) -> None:
        """Ends a controller by SIGTERM, and checks its exit status and shutdown time."""
        took_s = await self.stage.end(member, Act.LEAVE)
        self.slowest_end_s = max(self.slowest_end_s, took_s)
        status = self.stage.processes.running[member].returncode
        if status != 0:
            self.problems.append(f"controller {member} ended with status {status}")
        if took_s > END_LIMIT_S:
            self.problems.append(f"controller {member} ended after {took_s:.2f} s")

    async def wait_until_bound(self) -> None:
        """Waits until all proxies are joined and hold a table; adds a problem on a timeout."""

        def are_bound() -> bool:
            return all(
                proxy.controller is not None and proxy.is_bound for proxy in self.stage.proxies
            )

        if not await self.stage.wait_until(are_bound, BIND_LIMIT_S):
            self.problems.append("not all proxies were bound in time")

    def check_line(self, member: int, line: LogLine) -> None:
        """Adds a problem if a controller has logged an error or a line that is not JSON."""
        if line.get("level") in PROBLEM_LEVELS or line.get("event") in PROBLEM_EVENTS:
            self.problems.append(f"controller {member} logged {line}")

    def memory_by_controller(self) -> dict[int, float]:
        """Returns the resident memory of each running controller, in MB."""
        pages_by_member = {
            member: int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
            for member, process in self.stage.processes.running.items()
            if process.returncode is None
        }
        page_bytes = os.sysconf("SC_PAGESIZE")
        return {member: pages * page_bytes / MB for member, pages in pages_by_member.items()}

    def check_growth(self, memory_before: dict[int, float]) -> None:
        """Adds a problem for each controller that uses too much memory or too many descriptors.

        Memory may exceed the largest in `memory_before` by `MAX_MEMORY_GROWTH_MB`.
        """
        usual_mb = max(memory_before.values(), default=0.0)
        most_descriptors = (
            self.size.proxies + len(self.stage.present) + self.size.controllers
        ) + MAX_EXTRA_DESCRIPTORS
        for member, memory_mb in self.memory_by_controller().items():
            pid = self.stage.processes.running[member].pid
            descriptors = len(os.listdir(f"/proc/{pid}/fd"))
            if memory_mb > usual_mb + MAX_MEMORY_GROWTH_MB:
                self.problems.append(
                    f"controller {member} uses {memory_mb:.0f} MB, up from {usual_mb:.0f} MB"
                )
            if descriptors > most_descriptors:
                self.problems.append(f"controller {member} has {descriptors} open descriptors")


async def run_soak(seed: int, seconds: float, loopback_net: int) -> SoakResult:
    """Runs the soak test with one seed.

    Args:
        seed: Seed of the faults and their times.
        seconds: Length of the run with faults, including the time after the last one.
        loopback_net: Octet of the loopback addresses; soaks that run at the same time need
            different ones.
    """
    return await Soak(seed, seconds, loopback_net).run()
