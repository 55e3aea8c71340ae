"""Cold starts of many real controllers at one moment: what discovery and the hosts see of it.

Stub proxies join each controller; the start is over when all controllers have the list of hosts.
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
COUNTING_PERIOD_S = 5.0  # health checks are counted for so long, from the first one on
ZONES = "abc"
NO_FAULTS = Script(1)
NO_HOST = "127.0.0.1:9"  # nobody listens there
CLOCK_TICKS_A_SECOND = 100  # of /proc/PID/stat


class ColdStartCase(msgspec.Struct, frozen=True):
    """A cold start.

    Attributes:
        variant: "today": without a feature file; "alone": with backoff; "peers": and links.
        controllers: How many controllers start.
        hosts: How many hosts are listed.
        behaviour: What discovery does.
        seed: Seed of what is drawn.
        loopback_net: Octet of the loopback addresses; each start that runs has its own.
        limit_s: Limit of each wait.
        cold_start_section: More of the coldstart section of the feature file.
        script: Faults between controllers.
        with_hosts: Whether there are stub hosts, and a stub proxy for each controller.
        known_revision: Revision of the list in each controller's configuration; None: no list.
        padding: More bytes of each entry of the list.
        load: Requests of all proxies, as a share of what all hosts serve once they are warm.
        cold_host_share: Share of the hosts that start with the controllers, if there is a load.
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
    """What a cold start showed.

    Attributes:
        variant: As in the case.
        controllers: As in the case.
        calls: Calls at discovery.
        refused: Those that it refused.
        busiest: The most calls within a second.
        first_s: Seconds until the first controller had the list; None: none has.
        last_s: Seconds until the last one had; None: not all have.
        served: Controllers that have the list.
        bytes: Bytes that discovery sent.
        calls_by_controller: Calls of each controller that called, fewest first.
        bins: Calls by tenth of a second.
        cpu_s: CPU seconds, mean of the controllers.
        notes: Figures of hosts and load.
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
    """Something that stands between controllers and discovery."""

    address: str

    async def open(self, host: str) -> str:
        """Opens it; returns the address at which it stands in for `address`."""
        ...


def plan_of(case: ColdStartCase, discovery: str, known: JsonObject | None) -> Plan:
    """The processes of a case.

    Args:
        case: The case.
        discovery: The address of discovery.
        known: The list that each controller is handed at its start.
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
                "coldMs": model.cold_s * 1e3,
                "startCapacity": model.share,
                "fallMultiple": model.multiple,
                "tipAfterMs": model.window_s * 1e3,
            },
            "report": {"fields": ["rif"], "via": "piggyback"},
        },
        has_links=has_peers,
        has_membership=has_peers,
        has_direct_links=case.script == NO_FAULTS,
    )


class ColdStart:
    """One cold start, for whoever looks at it while it goes on.

    Attributes:
        hosts: The stub hosts, if there are any.
        service: Discovery.
        proxies: By controller, its stub proxy.
        first_us: By controller, when it had its first complete list.
        started_later: Controllers that are started later, by whoever looks on.
        load: The load on cold hosts, where there is one.
        discovery_relays: By controller, what stands between it and discovery.
    """

    def __init__(self, case: ColdStartCase) -> None:
        self.case = case
        self.hosts = StubHosts(case.hosts, case.loopback_net) if case.with_hosts else None
        self.service = StubDiscovery(self.targets(), case.behaviour)
        self.started_processes: ControllerProcesses | None = None
        self.proxies: dict[int, StubProxy] = {}
        self.first_us: dict[int, int] = {}
        self.started_later: tuple[int, ...] = ()
        self.load: ColdHostLoad | None = None
        self.discovery_relays: dict[int, DiscoveryRelay] = {}

    @property
    def processes(self) -> ControllerProcesses:
        """The controllers; there are some after `begin`."""
        assert self.started_processes
        return self.started_processes

    def targets(self) -> list[JsonObject]:
        """The list of hosts."""
        case = self.case
        addresses = self.hosts.addresses if self.hosts else [NO_HOST] * case.hosts
        padding = {"padding": "x" * case.padding} if case.padding else {}
        return [
            {**target(host, addresses[host], ZONES[host % len(ZONES)]), **padding}
            for host in range(case.hosts)
        ]

    async def begin(self) -> "ColdStart":
        """Starts all controllers at one moment."""
        if self.hosts:
            await self.hosts.open()
        address = await self.service.open(f"127.250.{self.case.loopback_net}.1")
        known: JsonObject | None = None
        if self.case.known_revision:
            known = {"rev": self.case.known_revision, "all": True, "targets": self.service.targets}
        processes = ControllerProcesses(plan_of(self.case, address, known))
        self.started_processes = processes
        processes.on_line = self.on_line
        await self.open_discovery_relays(address)
        if processes.plan.has_membership and not processes.plan.has_direct_links:
            await processes.links.open()
            await processes.streams.open()
        for member in range(self.case.controllers):
            if member not in self.started_later:
                await processes.start(member)
        await processes.open_gate()
        if self.case.load:
            self.boot_hosts()
        self.service.restart_clock()
        if self.hosts:
            self.hosts.restart_clock()
        if self.case.script.rules or self.case.script.steps:
            processes.run_task(processes.run_script())
        return self

    async def open_discovery_relays(self, discovery: str) -> None:
        """Sends some controllers to discovery by a detour; there is one for all of these."""
        for relay in set(self.discovery_relays.values()):
            relay.address = discovery
            address = await relay.open(f"127.250.{self.case.loopback_net}.2")
            self.processes.configurations = {
                member: {"discovery": address} for member in self.discovery_relays
            }

    def boot_hosts(self) -> None:
        """A part of the hosts starts now, with the controllers."""
        cold_hosts = round(self.case.cold_host_share * self.case.hosts)
        boot_s: dict[str, float | None] = {}
        for place, entry in enumerate(self.service.targets):
            is_cold = place < cold_hosts
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
        """A stub proxy joins a controller."""
        host, _ = self.processes.listen_addresses[member]
        proxy = StubProxy(host, STREAM_PORT, ZONES[member % len(ZONES)])
        self.proxies[member] = proxy
        self.processes.run_task(proxy.run())

    def on_line(self, member: int, line: LogLine) -> None:
        """Notes complete lists as controllers log them.

        Noted as they come: a search of all logs, again and again, held up the testbed, and with it
        the discovery that it plays.
        """
        if line.get("event") == "listening" and self.hosts and self.case.known_revision:
            self.join_proxy(member)
        is_complete_list = line.get("event") == "list" and line.get("kind") == "full"
        if not is_complete_list or line.get("revision", 0) <= 0:
            return
        if member not in self.first_us and self.hosts and not self.case.known_revision:
            self.join_proxy(member)
        self.first_us.setdefault(member, line["at_us"])

    def served_us(self) -> list[int | None]:
        """By controller, when it first had a complete list; None: it has none."""
        return [
            self.first_us.get(member)
            for member in range(self.case.controllers)
            if member not in self.started_later
        ]

    async def wait_until(self, holds: Callable[[], bool]) -> bool:
        """Waits until something holds; False: it did not in time."""
        return await self.processes.wait_until(holds, self.case.limit_s)

    async def until_all_serve(self) -> bool:
        """Waits until all controllers have the list; False: not all have in time."""
        return await self.wait_until(lambda: None not in self.served_us())

    def result(self) -> ColdStartResult:
        """What the start showed so far."""
        times_s = sorted(time_us / SECOND for time_us in self.served_us() if time_us is not None)
        all_serve = len(times_s) == self.case.controllers
        service = self.service
        return ColdStartResult(
            variant=self.case.variant,
            controllers=self.case.controllers,
            calls=service.calls,
            refused=service.answers["refused"],
            busiest=service.busiest(),
            first_s=round(times_s[0], 2) if times_s else None,
            last_s=round(times_s[-1], 2) if all_serve else None,
            served=len(times_s),
            bytes=service.sent_bytes,
            calls_by_controller=sorted(service.calls_by_address.values()),
            bins=dict(service.calls_by_bin),
            cpu_s=self.cpu_s(),
            notes=self.notes(),
        )

    def notes(self) -> dict[str, Any]:
        """Figures of hosts and load."""
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
        """CPU seconds so far, mean of all controllers."""
        running = self.processes.running
        ticks = sum(
            cpu_ticks(process.pid) for process in running.values() if process.returncode is None
        )
        return ticks / CLOCK_TICKS_A_SECOND / len(running)

    async def close(self) -> None:
        """Ends all."""
        if self.started_processes:
            await self.started_processes.close()
        self.service.close()
        if self.hosts:
            self.hosts.close()


def cpu_ticks(pid: int) -> int:
    """Clock ticks that a process has spent, in user and in kernel mode."""
    _, _, fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")
    user_ticks, kernel_ticks = fields.split()[11:13]
    return int(user_ticks) + int(kernel_ticks)


async def run_case(case: ColdStartCase) -> ColdStartResult:
    """Runs a cold start until all serve, and health checks have been counted."""
    start = ColdStart(case)
    try:
        await start.begin()
        await start.until_all_serve()
        hosts = start.hosts
        if hosts:
            await start.wait_until(lambda: hosts.elapsed_s() > COUNTING_PERIOD_S)
        return start.result()
    finally:
        await start.close()


def down_until(until_s: float, rate: float, retry_after: str | None = "1") -> Behaviour:
    """Discovery that refuses all calls for so long, and is good from then on."""
    phases = (Phase(0.0, Mode.DOWN), Phase(until_s)) if until_s else (Phase(0.0),)
    return Behaviour(rate, retry_after, phases)
