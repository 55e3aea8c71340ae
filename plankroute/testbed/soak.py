"""A soak: real controllers under signals, kills, releases and floods drawn from a seed.

Judged are the operators' rules, starts, ends, logs, memory and descriptors. Nothing is repeated
until it passes: a seed that breaks is reported with the command that plays it again.
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
END_LIMIT_S = 0.7  # after SIGTERM, before operators send SIGKILL
BIND_LIMIT_S = 60.0  # for all proxies to be on complete tables again, after the last fault
FIRST_FAULT_S = 1.0
LAST_FAULT_S = 6.0  # before the end: the last hosts that drain end after the grace
FAULT_INTERVAL_S = (0.2, 2.5)  # drawn from; the shorter ones overlap
PAUSE_S = (0.1, 0.8)
FLOOD_CONNECTIONS = 150
FLOOD_S = 1.0
REPLACED_HOSTS = (2, 8)
MAX_MEMORY_GROWTH_MB = 16.0
MAX_EXTRA_DESCRIPTORS = 32  # over one for each proxy, health check and collector
MB = 1 << 20
PROBLEM_LEVELS = frozenset({"error"})
PROBLEM_EVENTS = frozenset({"unreadable"})  # a line that is no JSON: a traceback is


class Fault(Enum):
    """What befalls the fleet."""

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
    """A fault of the script.

    Attributes:
        at_s: When it begins, in seconds from the start of the play.
        fault: What it is.
        member: The controller that it befalls; it is passed over if that ends or starts just then.
        seed: Draws the rest of it.
    """

    at_s: float
    fault: Fault
    member: int
    seed: int


def plan_faults(seed: int, seconds: float, controllers: int) -> list[PlannedFault]:
    """Draws the faults of a play, which follow from the seed alone."""
    rng = random.Random(seed)
    planned: list[PlannedFault] = []
    at_s = FIRST_FAULT_S
    while at_s < seconds - LAST_FAULT_S:
        (fault,) = rng.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))
        planned.append(PlannedFault(at_s, fault, rng.randrange(controllers), rng.getrandbits(32)))
        at_s += rng.uniform(*FAULT_INTERVAL_S)
    return planned


class SoakResult(msgspec.Struct):
    """What a seed showed.

    Attributes:
        seed: The seed.
        faults: What befell the fleet, in order.
        rules_broken: By rule, what was seen first.
        problems: Whatever else was wrong.
        longest_use_s: The longest that a removed host stayed in use.
        slowest_start_s: The longest until a controller that was started listened.
        slowest_end_s: The longest from SIGTERM to the end of a controller.
        most_memory_mb: The most memory of a controller at the end.
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
        """Whether nothing was wrong."""
        return not self.rules_broken and not self.problems

    def summary(self) -> str:
        """Returns one line for a person."""
        verdict = "good" if self.is_good() else "BROKEN"
        return (
            f"seed {self.seed}: {verdict}, {len(self.faults)} faults, a removed host in use for "
            f"{self.longest_use_s:.2f} s at most, start {self.slowest_start_s:.2f} s, "
            f"end {self.slowest_end_s:.2f} s, {self.most_memory_mb:.0f} MB"
        )


class Soak:
    """Plays one seed.

    Attributes:
        stage: The fleet.
        problems: What was wrong beside rules.
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
        self._busy: set[int] = set()  # controllers that end or start just now
        self._running: set[asyncio.Task[None]] = set()

    async def run(self) -> SoakResult:
        """Plays the seed; all that it started is ended."""
        memory_mb = 0.0
        try:
            await self.stage.open()
            self.stage.processes.on_line = self.check_line
            await self.wait_until_bound()
            memory_before = self.memory_by_controller()
            await self.play()
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
        """How large the fleet is."""
        return self.stage.size

    def result(self, memory_mb: float) -> SoakResult:
        """Returns what was seen."""
        rules = self.stage.rules
        return SoakResult(
            self.seed,
            self.faults,
            {rule.name.lower(): what for rule, what in rules.breaks.first.items()},
            self.problems,
            round(rules.longest_use_s, 3),
            round(self.slowest_start_s, 3),
            round(self.slowest_end_s, 3),
            round(memory_mb, 1),
        )

    async def play(self) -> None:
        """Does faults at drawn times; a fault may begin while others go on."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for planned in plan_faults(self.seed, self.seconds, self.size.controllers):
            await asyncio.sleep(max(0.0, began_s + planned.at_s - loop.time()))
            self.begin(planned)
        await asyncio.sleep(max(0.0, began_s + self.seconds - loop.time()))
        if self._running:
            await asyncio.wait_for(asyncio.gather(*self._running), READY_LIMIT_S * 4)

    def begin(self, planned: PlannedFault) -> None:
        """Begins a fault, unless its controller ends or starts just now."""
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
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    # Faults

    async def release(self, rng: random.Random) -> None:
        """Replaces some hosts; half of those at the start are left in any case."""
        count = rng.randint(*REPLACED_HOSTS)
        present = sorted(self.stage.present)
        self.stage.replace_hosts(rng.sample(present, count), count)

    async def restart(self, member: int, act: Act, times: int) -> None:
        """Ends a controller by a signal, sent so many times, and starts it again."""
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
        """Kills all other controllers at once: all proxies come to the one that is left."""
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
        """Sends SIGHUP so many times, one right after another."""
        for _ in range(times):
            self.stage.processes.send_reload(member)

    async def pause(self, member: int, for_s: float) -> None:
        """Stops a controller for a while; it is not ended or started meanwhile."""
        self._busy.add(member)
        await self.stage.processes.run_step(Step(0.0, Act.PAUSE, member))
        await asyncio.sleep(for_s)
        await self.stage.processes.run_step(Step(0.0, Act.RESUME, member))
        self._busy.discard(member)

    async def flood(self, member: int) -> None:
        """Opens many connections that say nothing, and closes them later."""
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
        """Starts a controller, and checks that it is ready in time."""
        took_s = await self.stage.restart(member)
        self.slowest_start_s = max(self.slowest_start_s, took_s)
        if took_s > READY_LIMIT_S:
            self.problems.append(f"controller {member} was ready after {took_s:.1f} s")

    async def end(self, member: int) -> None:
        """Ends a controller by SIGTERM, and checks its exit status and time."""
        took_s = await self.stage.end(member, Act.LEAVE)
        self.slowest_end_s = max(self.slowest_end_s, took_s)
        status = self.stage.processes.running[member].returncode
        if status != 0:
            self.problems.append(f"controller {member} ended with status {status}")
        if took_s > END_LIMIT_S:
            self.problems.append(f"controller {member} ended after {took_s:.2f} s")

    async def wait_until_bound(self) -> None:
        """Waits until all proxies hold a controller's table; adds a problem where they do not."""

        def are_bound() -> bool:
            return all(
                proxy.controller is not None and proxy.is_bound for proxy in self.stage.proxies
            )

        if not await self.stage.wait_until(are_bound, BIND_LIMIT_S):
            self.problems.append("not all proxies were bound in time")

    def check_line(self, member: int, line: LogLine) -> None:
        """Adds a problem for each line of a log that tells of one."""
        if line.get("level") in PROBLEM_LEVELS or line.get("event") in PROBLEM_EVENTS:
            self.problems.append(f"controller {member} logged {line}")

    def memory_by_controller(self) -> dict[int, float]:
        """Returns the resident memory of each controller that runs, in MB."""
        pages_by_member = {
            member: int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
            for member, process in self.stage.processes.running.items()
            if process.returncode is None
        }
        page_bytes = os.sysconf("SC_PAGESIZE")
        return {member: pages * page_bytes / MB for member, pages in pages_by_member.items()}

    def check_growth(self, memory_before: dict[int, float]) -> None:
        """Adds a problem where memory or descriptors have grown over what the fleet explains."""
        usual_mb = max(memory_before.values(), default=0.0)
        most_descriptors = (
            self.size.proxies + len(self.stage.present) + self.size.controllers
        ) + MAX_EXTRA_DESCRIPTORS
        for member, memory_mb in self.memory_by_controller().items():
            pid = self.stage.processes.running[member].pid
            descriptors = len(os.listdir(f"/proc/{pid}/fd"))
            if memory_mb > usual_mb + MAX_MEMORY_GROWTH_MB:
                self.problems.append(f"controller {member}: {memory_mb:.0f} MB of {usual_mb:.0f}")
            if descriptors > most_descriptors:
                self.problems.append(f"controller {member}: {descriptors} descriptors")


async def run_soak(seed: int, seconds: float, loopback_net: int) -> SoakResult:
    """Plays one seed.

    Args:
        seed: Draws faults and their times.
        seconds: How long faults are played, with the time after the last one.
        loopback_net: Octet of the loopback addresses; each soak that runs has its own.
    """
    return await Soak(seed, seconds, loopback_net).run()
