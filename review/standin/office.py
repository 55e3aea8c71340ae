"""A small deployment after the site salzburg-buero: settings, hosts, proxies and collectors."""

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from standin.discovery import Discovery, entry
from standin.hosts import Host
from standin.proxies import Channel, Collector, Proxy, Way
from standin.record import Record
from standin.steward import Steward, free_port

ZONES = ["halle-nord", "halle-mitte", "halle-sued"]
MODELS = ["k2-schnell", "k3-normal"]
CLASSES = ["menu-view", "credit-check", "lunch-booking"]
OWN_ZONE_CLASSES = {"credit-check"}
GRACE_S = 2.0  # drain_grace_ms = 2000
HEAD = 4  # head = 4
LINES_PER_S = 2200.0  # lines_per_s = [1900, 2500]
QUEUE_CAP = 4400  # what it sends in 2 s
WAY_S = 0.2  # late_ms = [97, 500]
WAY_MOST_S = 0.5
SUMS_LATE_S = 0.5  # heard_late_ms = [280, 1200]
BARE_S = 3.0

Task = Coroutine[None, None, None]


def settings(rank: int, stewards: int, proxies: int) -> dict[str, Any]:
    """Returns the settings of one steward, with the names of the wire page."""

    def product(
        name: str, effect: str, aim: float, deadline: float, worth: float
    ) -> dict[str, Any]:
        return {
            "name": name,
            "idempotency": effect,
            "onTimeMs": aim,
            "deadlineMs": deadline,
            "importance": worth,
            "keyScope": "all",
            "lateWorth": 0.1,
            "windowMs": 5000.0,
        }

    return {
        "caps": {
            "connIdleMs": 15000.0,
            "cpuUsPerS": 400000,
            "dialTimeoutMs": 300.0,
            "mayProbe": True,
            "mayTell": False,
            "streamsPerConn": 32,
        },
        "classes": [
            product("menu-view", "retryable", 1000.0, 2500.0, 2.0),
            product("credit-check", "retryable", 600.0, 1500.0, 1.0),
            product("lunch-booking", "fragile", 1500.0, 4000.0, 2.0),
        ],
        "dcs": ZONES,
        "discovery": "automatic",
        "familyInfo": {
            "bareMs": 1000 * BARE_S,
            "classWrites": [False, False, True],
            "costPerLine": 0.02,
            "cycleMs": 1000.0,
            "envelope": HEAD,
            "exclusive": False,
            "hearsPerS": 500.0,
            "keyRanges": 0,
            "lateMs": 1000 * WAY_S,
            "lbMethod": "lottery",
            "localFirst": False,
            "proxies": proxies,
            "pushRate": LINES_PER_S,
            "queueCap": QUEUE_CAP,
            "reloadsMax": 0,
            "standing": 5,
            "staysLocal": [name in OWN_ZONE_CLASSES for name in CLASSES],
            "strikes": 3,
            "throttleBy": "rps",
            "transitMaxMs": 1000 * WAY_MOST_S,
            "tryFactor": 1.0,
            "updateWindowMs": 10000.0,
            "usualHow": 1,
        },
        "instances": stewards,
        "kindOfService": "control",
        "machineTypes": MODELS,
        "prices": {"probe": 0.02, "crossZone": 0.08, "connection": 0.02, "handshake": 0.04},
        "quantumMs": 5.0,
        "rank": rank,
        "report": {"fields": ["busy", "rif", "lat_ms"], "via": "pull"},
        "safety": {
            "coldMs": 18000.0,
            "drainGraceMs": 1000 * GRACE_S,
            "fallMultiple": 2.5,
            "startCapacity": 0.16,
            "tipAfterMs": 1500.0,
        },
        "weights": "silent",
        "worthBy": "request",
        "zone": rank % len(ZONES),
    }


class Office:
    """Hosts, proxies, collectors, and a steward with its discovery agent for each name.

    Attributes:
        hosts: The hosts by uid.
        proxies: The proxies by number.
        agents: The discovery agent of each steward.
        stewards: The stewards by name.
    """

    def __init__(self, record: Record, folder: Path, proxies: int) -> None:
        """Creates a deployment without hosts and stewards."""
        self.record = record
        self.folder = folder
        self.proxy_count = proxies
        self.hosts: dict[str, Host] = {}
        self.proxies: list[Proxy] = []
        self.collectors: dict[str, Collector] = {}
        self.agents: dict[str, Discovery] = {}
        self.stewards: dict[str, Steward] = {}
        self.channels: dict[str, Channel] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def add_hosts(self, count: int) -> None:
        """Opens hosts, spread evenly over zones and machine types."""
        for number in range(count):
            uid = f"s-{number:04x}"
            host = Host(self.record, uid, ZONES[number % len(ZONES)])
            await host.open()
            self.hosts[uid] = host

    def entry(self, uid: str, state: str = "SERVING", boot_ms: int = 0) -> dict[str, Any]:
        """Returns the list entry of a host."""
        host = self.hosts[uid]
        model = MODELS[int(uid[2:], 16) // len(ZONES) % len(MODELS)]
        return entry(uid, host.endpoint, host.zone, model, state, boot_ms)

    async def add_steward(self, name: str, stewards: int = 1, host: str = "127.0.0.1") -> Steward:
        """Opens a discovery agent and prepares the steward that it serves."""
        agent = Discovery(self.record, name)
        agent.add(*(self.entry(uid) for uid in self.hosts))
        await agent.open(host)
        self.agents[name] = agent
        config = {
            "name": name,
            "listen": f"{host}:{free_port(host)}",
            "discovery": agent.address,
            "seed": f"8c1f30d27a5be96{len(self.stewards)}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": agent.whole(),
            "settings": settings(len(self.stewards), stewards, self.proxy_count),
        }
        self.stewards[name] = Steward(self.record, self.folder, config)
        self.channels[name] = Channel(LINES_PER_S, WAY_S, HEAD)
        return self.stewards[name]

    def add_proxies(self) -> None:
        """Creates the proxies, two or more for each zone, with their standing tables."""
        self.collectors = {zone: Collector(self.record, zone, SUMS_LATE_S) for zone in ZONES}
        for node in range(self.proxy_count):
            zone = ZONES[node % len(ZONES)]
            proxy = Proxy(self.record, node, zone, CLASSES, self.collectors[zone], self.hosts)
            proxy.own_zone_classes = OWN_ZONE_CLASSES
            proxy.start_with(proxy.random.sample(sorted(self.hosts), min(5, len(self.hosts))))
            self.proxies.append(proxy)

    def connect(self, steward_of: Callable[[Proxy], str]) -> None:
        """Starts the proxies and the collectors.

        Args:
            steward_of: Names the steward that a proxy dials now. Collectors report to all.
        """

        def address_of(proxy: Proxy) -> Callable[[], tuple[str, str, int]]:
            def address() -> tuple[str, str, int]:
                steward = self.stewards[steward_of(proxy)]
                return steward.name, steward.host, steward.port

            return address

        way = Way(self.channels, next(iter(self.agents.values())))
        for proxy in self.proxies:
            self.spawn(proxy.run(address_of(proxy), way))
            self.spawn(proxy.report_usage())
            self.spawn(proxy.send_requests())
        for collector in self.collectors.values():
            steward = next(iter(self.stewards.values()))
            self.spawn(collector.run(steward.host, steward.port))

    def spawn(self, task: Task) -> None:
        """Starts a task that ends with the run."""
        self._tasks.append(asyncio.create_task(task))

    def fill(self, text: str) -> None:
        """Records how many requests each host has run."""
        runs = ", ".join(f"{uid} {host.runs}" for uid, host in self.hosts.items())
        self.record.say(f"{text}: {runs}")

    def end(self) -> None:
        """Ends the stewards and the stand-ins."""
        for steward in self.stewards.values():
            steward.end()
        for task in self._tasks:
            task.cancel()
        for agent in self.agents.values():
            agent.close()
        for host in self.hosts.values():
            host.close()
