"""Cold starts of many real controllers at once, and the load that they put on discovery and hosts.

A stub proxy joins each controller if there are stub hosts. The start is complete when all
controllers have the endpoint list.
"""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import msgspec

from plankroute.testbed.cold_host_load import ColdHostLoad, ColdHostModel
from plankroute.testbed.faults import SECOND, Script
from plankroute.testbed.hosts import StubHosts, StubProxy
from plankroute.testbed.list_service import Behaviour, Mode, Phase, StubDiscovery, target
from plankroute.testbed.plan import JsonObject, Plan
from plankroute.testbed.processes import STREAM_PORT, ControllerProcesses, LogLine

CLASSES = [{"name": "lookup", "idempotency": "retryable", "onTimeMs": 1000.0, "deadlineMs": 4000.0}]
COUNTING_PERIOD_S = 5.0  # health checks are counted for this time from the first one
ZONES = "abc"
NO_FAULTS = Script(1)
UNREACHABLE_ADDRESS = "127.0.0.1:9"  # nothing listens there
CLOCK_TICKS_A_SECOND = 100  # unit of the CPU times in /proc/PID/stat


class ColdStartCase(msgspec.Struct, frozen=True):
    """A cold start.

    Attributes:
        variant: Features of the controllers. "today": no feature file; "alone": requests to
            discovery back off; "peers": backoff, membership and links between controllers.
        controllers: Number of controllers.
        hosts: Number of listed hosts.
        behaviour: Limits and faults of discovery.
        seed: Seed of random choices.
        loopback_net: Octet of the loopback addresses; starts that run at the same time need
            different ones.
        limit_s: Timeout of each wait, in seconds.
        cold_start_section: Fields that are added to the feature file's coldstart section.
        script: Faults between controllers.
        with_hosts: Whether there are stub hosts, and a stub proxy for each controller.
        known_revision: Revision of the endpoint list in each controller's configuration; None: the
            configuration has no list.
        padding: Extra bytes in each entry of the list.
        load: Request rate of all proxies, as a share of the capacity of all hosts when warm; 0: no
            load is simulated.
        cold_host_share: Share of the hosts that start together with the controllers; used with a
            load only.
    """

    variant: str
    controllers: int
    hosts: int = 500
    behaviour: Behaviour = Behaviour()
    seed: int = 1
    loopback_net: int = 90
    limit_s: float = 120.0
    cold_start_section: JsonObject = {}
    script: Script = NO_FAULTS
    with_hosts: bool = False
    known_revision: int | None = None
    padding: int = 0
    load: float = 0.0
    cold_host_share: float = 1.0


class ColdStartResult(
    msgspec.Struct,
    # The JSON output keeps these keys.
    rename={"variant": "way", "controllers": "stewards", "calls_by_controller": "calls_by_steward"},
):
    """The measurements of a cold start.

    Attributes:
        variant: As in the case.
        controllers: As in the case.
        calls: Number of calls to discovery.
        refused: Number of calls that discovery refused.
        busiest: The most calls within a second.
        first_s: Seconds until the first controller had the list; None: none has it.
        last_s: Seconds until the last controller had the list; None: not all have it.
        served: Number of controllers that have the list.
        bytes: Bytes that discovery sent.
        calls_by_controller: Number of calls of each controller that called, in ascending order.
        bins: Number of calls by tenth of a second.
        cpu_s: CPU seconds of a controller, on average.
        notes: Measurements of health checks and of the load on hosts.
    """

    variant: str
    controllers: int
    calls: int
    refused: int
    busiest: int
    first_s: float | None
    last_s: float | None
    served: int
    bytes: int
    calls_by_controller: list[int]
    bins: dict[int, int]
    cpu_s: float = 0.0
    notes: dict[str, Any] = {}


class DiscoveryRelay(Protocol):
    """A relay between some controllers and discovery.

    Attributes:
        address: Address of discovery, as `host:port`; set before `open`.
    """

    address: str

    async def open(self, host: str) -> str:
        """Opens the relay on an IP address; returns its address as `host:port`."""
        ...


def plan_of(case: ColdStartCase, discovery: str, known: JsonObject | None) -> Plan:
    """Returns the plan of a case's controllers.

    Args:
        case: The case.
        discovery: The address of discovery.
        known: The endpoint list in each controller's configuration; None: no list.
    """
    model = ColdHostModel()
    has_peers = case.variant == "peers"
    return Plan(
        case.controllers,
        case.script,
        case.loopback_net,
        has_feature_file=case.variant != "today",
        starts_at_once=True,
        sections={"coldstart": {"calls_a_second": case.behaviour.rate, **case.cold_start_section}},
        configuration={"discovery": discovery, "known": known},
        settings={
            "caps": {"mayProbe": True, "dialTimeoutMs": 300.0},
            "classes": CLASSES,
            "safety": {
                "drainGraceMs": 3000.0,
                "coldMs": model.warmup_s * 1e3,
                "startCapacity": model.start_capacity,
                "fallMultiple": model.overload_multiple,
                "tipAfterMs": model.overload_window_s * 1e3,
            },
            "report": {"fields": ["rif"], "via": "piggyback"},
        },
        has_links=has_peers,
        has_membership=has_peers,
        has_direct_links=case.script == NO_FAULTS,
    )


class ColdStart:
    """One cold start, which can be observed and changed while it runs.

    Attributes:
        hosts: The stub hosts; None: the case has none.
        service: The stub of discovery.
        proxies: By controller, its stub proxy.
        first_list_us: By controller, when it logged its first complete list, on the clock of the
            processes' history.
        started_later: Controllers that `begin` does not start.
        load: The simulated load on cold hosts; None: the case has none.
        discovery_relays: By controller, the relay through which it reaches discovery.
    """

    def __init__(self, case: ColdStartCase) -> None:
        self.case = case
        self.hosts = StubHosts(case.hosts, case.loopback_net) if case.with_hosts else None
        self.service = StubDiscovery(self.targets(), case.behaviour)
        self.started_processes: ControllerProcesses | None = None
        self.proxies: dict[int, StubProxy] = {}
        self.first_list_us: dict[int, int] = {}
        self.started_later: tuple[int, ...] = ()
        self.load: ColdHostLoad | None = None
        self.discovery_relays: dict[int, DiscoveryRelay] = {}

    @property
    def processes(self) -> ControllerProcesses:
        """The controllers' processes; available once `begin` has been called."""
        assert self.started_processes
        return self.started_processes

    def targets(self) -> list[JsonObject]:
        """Returns the endpoint list."""
        case = self.case
        addresses = self.hosts.addresses if self.hosts else [UNREACHABLE_ADDRESS] * case.hosts
        padding = {"padding": "x" * case.padding} if case.padding else {}
        return [
            {**target(host, addresses[host], ZONES[host % len(ZONES)]), **padding}
            for host in range(case.hosts)
        ]

    async def begin(self) -> "ColdStart":
        """Starts the stubs and all controllers at once; returns this object."""
        if self.hosts:
            await self.hosts.open()
        address = await self.service.open(f"127.250.{self.case.loopback_net}.1")
        known: JsonObject | None = None
        if self.case.known_revision:
            known = {"rev": self.case.known_revision, "all": True, "targets": self.service.targets}
        processes = ControllerProcesses(plan_of(self.case, address, known))
        self.started_processes = processes
        processes.on_line = self.handle_log_line
        await self.open_discovery_relays(address)
        if processes.plan.has_membership and not processes.plan.has_direct_links:
            await processes.links.open()
            await processes.streams.open()
        for member in range(self.case.controllers):
            if member not in self.started_later:
                await processes.start(member)
        await processes.open_gate()
        if self.case.load:
            self.mark_cold_hosts()
        self.service.restart_clock()
        if self.hosts:
            self.hosts.restart_clock()
        if self.case.script.rules or self.case.script.steps:
            processes.run_task(processes.run_script())
        return self

    async def open_discovery_relays(self, discovery: str) -> None:
        """Opens the relays and configures their controllers to use them instead of discovery.

        Supports one relay, which all controllers in `discovery_relays` share.
        """
        for relay in set(self.discovery_relays.values()):
            relay.address = discovery
            address = await relay.open(f"127.250.{self.case.loopback_net}.2")
            self.processes.configurations = {
                member: {"discovery": address} for member in self.discovery_relays
            }

    def mark_cold_hosts(self) -> None:
        """Marks a share of the hosts as started just now, and starts the simulated load."""
        cold_hosts = round(self.case.cold_host_share * self.case.hosts)
        boot_s: dict[str, float | None] = {}
        for index, entry in enumerate(self.service.targets):
            is_cold = index < cold_hosts
            boot_s[entry["uid"]] = time.monotonic() if is_cold else None
            if is_cold:
                entry["boot_ms"] = round(time.time() * 1000)
        self.load = ColdHostLoad(
            ColdHostModel(),
            self.case.load * self.case.hosts,
            boot_s,
            self.case.controllers,
            self.proxies.values,
        )
        self.processes.run_task(self.load.run(self.case.limit_s))

    def join_proxy(self, member: int) -> None:
        """Starts a stub proxy that joins a controller."""
        host, _ = self.processes.listen_addresses[member]
        proxy = StubProxy(host, STREAM_PORT, ZONES[member % len(ZONES)])
        self.proxies[member] = proxy
        self.processes.run_task(proxy.run())

    def handle_log_line(self, member: int, line: LogLine) -> None:
        """Records a controller's first complete list, and starts its stub proxy.

        The proxy joins after the first list, or as soon as the controller listens if its
        configuration has a list. Lines are handled as they arrive because repeated searches of all
        logs delayed the testbed, and with it the stub of discovery in the same process.
        """
        if line.get("event") == "listening" and self.hosts and self.case.known_revision:
            self.join_proxy(member)
        is_complete_list = line.get("event") == "list" and line.get("kind") == "full"
        if not is_complete_list or line.get("revision", 0) <= 0:
            return
        if member not in self.first_list_us and self.hosts and not self.case.known_revision:
            self.join_proxy(member)
        self.first_list_us.setdefault(member, line["at_us"])

    def list_times_us(self) -> list[int | None]:
        """Returns when each controller first had a complete list; None: it has none.

        Controllers in `started_later` are left out.
        """
        return [
            self.first_list_us.get(member)
            for member in range(self.case.controllers)
            if member not in self.started_later
        ]

    async def wait_until(self, holds: Callable[[], bool]) -> bool:
        """Polls a condition; returns whether it held within the time limit of the case."""
        return await self.processes.wait_until(holds, self.case.limit_s)

    async def wait_for_lists(self) -> bool:
        """Waits until all controllers have the list; returns whether they had it in time."""
        return await self.wait_until(lambda: None not in self.list_times_us())

    def result(self) -> ColdStartResult:
        """Returns the measurements so far."""
        times_s = sorted(
            time_us / SECOND for time_us in self.list_times_us() if time_us is not None
        )
        all_have_list = len(times_s) == self.case.controllers
        service = self.service
        return ColdStartResult(
            variant=self.case.variant,
            controllers=self.case.controllers,
            calls=service.calls,
            refused=service.answers["refused"],
            busiest=service.peak_calls(),
            first_s=round(times_s[0], 2) if times_s else None,
            last_s=round(times_s[-1], 2) if all_have_list else None,
            served=len(times_s),
            bytes=service.sent_bytes,
            calls_by_controller=sorted(service.calls_by_address.values()),
            bins=dict(service.calls_by_bin),
            cpu_s=self.cpu_s(),
            notes=self.notes(),
        )

    def notes(self) -> dict[str, Any]:
        """Returns the measurements of health checks and of the load on hosts."""
        notes: dict[str, Any] = {}
        if self.hosts:
            checks = self.hosts.checks_by_host(COUNTING_PERIOD_S)
            notes |= {
                "probes_a_host_mean": round(sum(checks) / len(checks), 2),
                "probes_a_host_most": max(checks),
                "connections_most": self.hosts.max_connections,
            }
        if self.load:
            notes |= self.load.notes()
        return notes

    def cpu_s(self) -> float:
        """Returns the CPU seconds so far, on average of all controllers that were started.

        Processes that have ended count as 0 s.
        """
        running = self.processes.running
        ticks = sum(
            cpu_ticks(process.pid) for process in running.values() if process.returncode is None
        )
        return ticks / CLOCK_TICKS_A_SECOND / len(running)

    async def close(self) -> None:
        """Kills the controllers and closes the stubs."""
        if self.started_processes:
            await self.started_processes.close()
        self.service.close()
        if self.hosts:
            self.hosts.close()


def cpu_ticks(pid: int) -> int:
    """Returns the clock ticks that a process has used, in user and in kernel mode."""
    _, _, fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")
    user_ticks, kernel_ticks = fields.split()[11:13]
    return int(user_ticks) + int(kernel_ticks)


async def run_case(case: ColdStartCase) -> ColdStartResult:
    """Runs a cold start until all controllers have the list and health checks are counted.

    Returns:
        The measurements, also if a wait timed out.
    """
    start = ColdStart(case)
    try:
        await start.begin()
        await start.wait_for_lists()
        hosts = start.hosts
        if hosts:
            await start.wait_until(lambda: hosts.elapsed_s() > COUNTING_PERIOD_S)
        return start.result()
    finally:
        await start.close()


def down_until(until_s: float, rate: float, retry_after: str | None = "1") -> Behaviour:
    """Returns the behaviour of a discovery service that is down at first.

    Args:
        until_s: Seconds for which it refuses all calls; 0: it is never down.
        rate: Calls per second that it answers afterwards.
        retry_after: Value of the Retry-After header of calls over the rate; None: no header.
    """
    phases = (Phase(0.0, Mode.DOWN), Phase(until_s)) if until_s else (Phase(0.0),)
    return Behaviour(rate, retry_after, phases)
