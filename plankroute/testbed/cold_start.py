"""Cold starts of many real stewards at one moment: what the list service and the hosts see of it, and when
all serve."""

import time
from collections.abc import Callable
from typing import Any

import msgspec

from plankroute.testbed.cold_host_load import ColdFacts, ColdLoad
from plankroute.testbed.faults import SECOND, Script
from plankroute.testbed.hosts import Hosts, Proxy
from plankroute.testbed.list_service import Behaviour, ListService, Mode, Phase, target
from plankroute.testbed.processes import STREAM_PORT, Fleet, Plan

CLASSES = [{"name": "lookup", "idempotency": "retryable", "onTimeMs": 1000.0, "deadlineMs": 4000.0}]
LOOK_ON_S = 5.0  # from the first probe of a host on: so long probes are counted


class Case(msgspec.Struct, frozen=True):
    """A cold start: `way` is today's (no file of ours), alone, or peers."""

    way: str
    stewards: int
    hosts: int = 500
    behaviour: Behaviour = Behaviour()
    seed: int = 1
    net: int = 90
    limit_s: float = 120.0
    own: dict[str, Any] = {}
    script: Script = Script(1)
    with_hosts: bool = False  # stand-ins that answer probes, and a proxy for each steward
    known: int | None = None  # the revision of the list that each steward is handed at its start
    padding: int = 0  # bytes more of each entry of the list
    load: float = 0.0  # txns of all proxies, as a part of what all hosts can do once they are warm
    cold_part: float = 1.0  # of the hosts: they start as the stewards do, where there is a load


class Seen(msgspec.Struct):
    """What a cold start showed; times in seconds after the start."""

    way: str
    stewards: int
    calls: int
    refused: int
    busiest: int
    first_s: float | None
    last_s: float | None
    served: int
    bytes: int
    calls_by_steward: list[int]
    bins: dict[int, int]
    cpu_s: float = 0.0
    notes: dict[str, Any] = {}


def plan_of(case: Case, service: str, known: Any) -> Plan:
    own, cold = {"calls_a_second": case.behaviour.rate, **case.own}, ColdFacts()
    return Plan(
        case.stewards,
        case.script,
        case.net,
        is_bare=case.way == "today",
        is_gated=True,
        more={"coldstart": own},
        told={"discovery": service, "known": known},
        settings={
            "caps": {"mayProbe": True, "dialTimeoutMs": 300.0},
            "classes": CLASSES,
            "safety": {
                "drainGraceMs": 3000.0,
                "coldMs": cold.cold_s * 1e3,
                "startCapacity": cold.share,
                "fallMultiple": cold.multiple,
                "tipAfterMs": cold.window_s * 1e3,
            },
            "report": {"fields": ["rif"], "via": "piggyback"},
        },
        has_links=case.way == "peers",
        has_members=case.way == "peers",
        is_direct=case.script == Script(1),
    )


class ColdStart:
    """One cold start, for whoever looks at it while it goes on."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.hosts = Hosts(case.hosts, case.net) if case.with_hosts else None
        where = self.hosts.addresses if self.hosts else ["127.0.0.1:9"] * case.hosts
        more = {"padding": "x" * case.padding} if case.padding else {}
        targets = [
            {**target(host, where[host], "abc"[host % 3]), **more} for host in range(case.hosts)
        ]
        self.service = ListService(targets, case.behaviour)
        self.fleet: Fleet | None = None
        self.proxies: dict[int, Proxy] = {}
        self.first_us: dict[int, int] = {}  # by steward, its first whole list
        self.absent: tuple[int, ...] = ()  # started later, by whoever looks on
        self.load: ColdLoad | None = None
        self.detours: dict[int, Any] = {}  # by member, what stands between it and the service

    async def begin(self) -> "ColdStart":
        if self.hosts:
            await self.hosts.open()
        address = await self.service.open(f"127.250.{self.case.net}.1")
        known = {"rev": self.case.known, "all": True, "targets": self.service.targets}
        self.fleet = Fleet(plan_of(self.case, address, known if self.case.known else None))
        self.fleet.on_line = self.on_line
        for detour in set(self.detours.values()):
            detour.address = address
            where = await detour.open(f"127.250.{self.case.net}.2")
            self.fleet.instead = {member: {"discovery": where} for member in self.detours}
        if self.fleet.plan.has_members and not self.fleet.plan.is_direct:
            await self.fleet.links.open()
            await self.fleet.streams.open()
        for member in range(self.case.stewards):
            if member not in self.absent:
                await self.fleet.start(member)
        await self.fleet.open_gate()
        if self.case.load:
            self.boot_hosts()
        self.service.begin()
        if self.hosts:
            self.hosts.begin()
        if self.case.script.rules or self.case.script.steps:
            self.fleet.keep(self.fleet.play())
        return self

    def boot_hosts(self) -> None:
        """A part of them starts now, with the stewards."""
        assert self.fleet
        cold = round(self.case.cold_part * self.case.hosts)
        boots = {
            entry["uid"]: time.monotonic() if place < cold else None
            for place, entry in enumerate(self.service.targets)
        }
        for entry in self.service.targets[:cold]:
            entry["boot_ms"] = round(time.time() * 1000)
        self.load = ColdLoad(
            ColdFacts(),
            self.case.load * self.case.hosts,
            boots,
            self.case.stewards,
            lambda: self.proxies.values(),
        )
        self.fleet.keep(self.load.run(self.case.limit_s))

    def join_proxy(self, member: int) -> None:
        assert self.fleet
        self.proxies[member] = Proxy(self.fleet.real[member][0], STREAM_PORT, "abc"[member % 3])
        self.fleet.keep(self.proxies[member].run())

    def on_line(self, member: int, said: dict[str, Any]) -> None:
        """Whole lists, as they are told of. Kept as they come: looking through all logs again and again held
        up the lab, and with it the service that it plays."""
        if said.get("event") == "listening" and self.hosts and self.case.known:
            self.join_proxy(member)
        if (
            said.get("event") != "list"
            or said.get("kind") != "full"
            or said.get("revision", 0) <= 0
        ):
            return
        if member not in self.first_us and self.hosts and not self.case.known:
            self.join_proxy(member)
        self.first_us.setdefault(member, said["at_us"])

    def served_us(self) -> list[int | None]:
        """By steward, when it first had a list of all hosts."""
        return [
            self.first_us.get(member)
            for member in range(self.case.stewards)
            if member not in self.absent
        ]

    async def until(self, holds: Callable[[], bool]) -> bool:
        assert self.fleet
        return await self.fleet.until(holds, self.case.limit_s)

    async def until_all_serve(self) -> bool:
        return await self.until(lambda: None not in self.served_us())

    def seen(self) -> Seen:
        assert self.fleet
        times = sorted(time / SECOND for time in self.served_us() if time is not None)
        whole = len(times) == self.case.stewards
        service = self.service
        notes: dict[str, Any] = {}
        if self.hosts:
            probes = self.hosts.by_host(LOOK_ON_S)
            notes = {
                "probes_a_host_mean": round(sum(probes) / len(probes), 2),
                "probes_a_host_most": max(probes),
                "connections_most": self.hosts.most_open,
            }
        if self.load:
            notes |= self.load.notes()
        return Seen(
            self.case.way,
            self.case.stewards,
            service.calls,
            service.answers["refused"],
            service.busiest(),
            round(times[0], 2) if times else None,
            round(times[-1], 2) if whole else None,
            len(times),
            service.bytes,
            sorted(service.by_caller.values()),
            dict(service.bins),
            self.cpu_s(),
            notes,
        )

    def cpu_s(self) -> float:
        """Of all processes so far, a steward."""
        assert self.fleet
        ticks = 0
        for process in self.fleet.running.values():
            if process.returncode is not None:
                continue
            with open(f"/proc/{process.pid}/stat") as file:
                ticks += sum(
                    int(figure) for figure in file.read().rpartition(")")[2].split()[11:13]
                )
        return ticks / 100 / len(self.fleet.running)

    async def close(self) -> None:
        if self.fleet:
            await self.fleet.close()
        self.service.close()
        if self.hosts:
            self.hosts.close()


async def run_case(case: Case) -> Seen:
    start = ColdStart(case)
    try:
        await start.begin()
        await start.until_all_serve()
        if start.hosts and start.fleet:
            await start.until(
                lambda: start.hosts is not None and start.hosts.lasted_s() > LOOK_ON_S
            )
        return start.seen()
    finally:
        await start.close()


def down_until(until_s: float, rate: float, retry_after: str | None = "1") -> Behaviour:
    """A service that refuses all for so long, and is good from then on."""
    phases = (Phase(0.0, Mode.DOWN), Phase(until_s)) if until_s else (Phase(0.0),)
    return Behaviour(rate, retry_after, phases)
