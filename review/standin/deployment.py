"""A small deployment after one of the operators' sites: settings, hosts, proxies and collectors."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standin.discovery import Discovery, entry
from standin.hosts import Host
from standin.proxies import Channel, Collector, Proxy, Way
from standin.record import Record
from standin.steward import Steward, free_port

Task = Coroutine[None, None, None]


@dataclass(frozen=True)
class Product:
    """A request class, with the figures of its site."""

    name: str
    effect: str
    aim_ms: float
    deadline_ms: float
    worth: float
    is_write: bool = False
    own_zone: bool = False
    only_zones: tuple[int, ...] = ()


@dataclass(frozen=True)
class Site:
    """A site of the operators: what its stewards are told, and the pace of its channel.

    Attributes:
        way_s: Usual time of a message from the channel to its proxy.
        sums_late_s: How late reports are.
        bare_s: The limit of the first rule.
        queue_s: The time in which the channel sends as many lines as may wait in it.
    """

    zones: tuple[str, ...]
    models: tuple[str, ...]
    products: tuple[Product, ...]
    grace_s: float
    head: int
    lines_per_s: float
    way_s: float
    way_most_s: float
    sums_late_s: float
    cycle_s: float
    bare_s: float
    cold_s: float
    cold_from: float
    fall_multiple: float
    tip_after_s: float
    admit: str
    peers: bool
    weights: str
    report: str
    fields: tuple[str, ...]
    queue_s: float = 2.0

    @property
    def queue_cap(self) -> int:
        """Lines that may wait in the channel."""
        return int(self.queue_s * self.lines_per_s)

    def may_serve(self, product: Product, proxy_zone: str, host_zone: str) -> bool:
        """Returns whether a host's zone is open to a proxy's requests of a class."""
        if product.only_zones and self.zones.index(host_zone) not in product.only_zones:
            return False
        return not product.own_zone or proxy_zone == host_zone

    def settings(self, rank: int, stewards: int, proxies: int) -> dict[str, Any]:
        """Returns the settings of one steward, with the names of the wire page."""
        return {
            "caps": {
                "connIdleMs": 15000.0,
                "dialTimeoutMs": 300.0,
                "mayProbe": True,
                "mayTell": self.peers,
                "streamsPerConn": 32,
            },
            "classes": [
                {
                    "name": product.name,
                    "idempotency": product.effect,
                    "onTimeMs": product.aim_ms,
                    "deadlineMs": product.deadline_ms,
                    "importance": product.worth,
                    "keyScope": "all",
                    "lateWorth": 0.1,
                    "windowMs": 5000.0,
                    **({"onlyZones": list(product.only_zones)} if product.only_zones else {}),
                }
                for product in self.products
            ],
            "dcs": list(self.zones),
            "discovery": "automatic",
            "familyInfo": {
                "bareMs": 1000 * self.bare_s,
                "classWrites": [product.is_write for product in self.products],
                "costPerLine": 0.02,
                "cycleMs": 1000 * self.cycle_s,
                "envelope": self.head,
                "exclusive": False,
                "keyRanges": 0,
                "lateMs": 1000 * self.way_s,
                "lbMethod": "lottery",
                "localFirst": False,
                "proxies": proxies,
                "pushRate": self.lines_per_s,
                "queueCap": self.queue_cap,
                "reloadsMax": 0,
                "standing": 5,
                "staysLocal": [product.own_zone for product in self.products],
                "strikes": 3,
                "throttleBy": self.admit,
                "transitMaxMs": 1000 * self.way_most_s,
                "tryFactor": 1.0,
                "updateWindowMs": 10000.0,
                "usualHow": 1,
            },
            "instances": stewards,
            "kindOfService": "control",
            "machineTypes": list(self.models),
            "prices": {"probe": 0.02, "crossZone": 0.08, "connection": 0.02, "handshake": 0.04},
            "quantumMs": 5.0,
            "rank": rank,
            "report": {"fields": list(self.fields), "via": self.report},
            "safety": {
                "coldMs": 1000 * self.cold_s,
                "drainGraceMs": 1000 * self.grace_s,
                "fallMultiple": self.fall_multiple,
                "startCapacity": self.cold_from,
                "tipAfterMs": 1000 * self.tip_after_s,
            },
            "weights": self.weights,
            "worthBy": "request",
            "zone": rank % len(self.zones),
        }


SALZBURG = Site(
    zones=("halle-nord", "halle-mitte", "halle-sued"),
    models=("k2-schnell", "k3-normal"),
    products=(
        Product("menu-view", "retryable", 1000.0, 2500.0, 2.0),
        Product("credit-check", "retryable", 600.0, 1500.0, 1.0, own_zone=True),
        Product("lunch-booking", "fragile", 1500.0, 4000.0, 2.0, is_write=True),
    ),
    grace_s=2.0,
    head=4,
    lines_per_s=2200.0,
    way_s=0.2,
    way_most_s=0.5,
    sums_late_s=0.5,
    cycle_s=1.0,
    bare_s=3.0,
    cold_s=18.0,
    cold_from=0.16,
    fall_multiple=2.5,
    tip_after_s=1.5,
    admit="rps",
    peers=False,
    weights="silent",
    report="pull",
    fields=("busy", "rif", "lat_ms"),
)

GRAZ = Site(
    zones=("fluegel-ost", "fluegel-west", "fluegel-hof"),
    models=("std-4c", "klein-3c"),
    products=(
        Product("konto-verlauf", "retryable", 1200.0, 4000.0, 2.0),
        Product("saldo-check", "retryable", 500.0, 1200.0, 3.0, only_zones=(0, 1)),
    ),
    grace_s=1.5,
    head=10,
    lines_per_s=2800.0,
    way_s=0.2,
    way_most_s=0.33,
    sums_late_s=0.5,
    cycle_s=0.5,
    bare_s=3.0,
    cold_s=17.0,
    cold_from=0.19,
    fall_multiple=3.0,
    tip_after_s=2.0,
    admit="silent",
    peers=True,
    weights="rough",
    report="piggyback",
    fields=("rif",),
)

KOCHKISTE_LATER = Site(
    zones=("wien", "graz", "linz"),
    models=("gen-a", "gen-b", "gen-c"),
    products=(
        Product("basket-view", "retryable", 1200.0, 4000.0, 1.0),
        Product("basket-edit", "dedup", 1500.0, 4000.0, 2.0, is_write=True),
        Product("checkout", "fragile", 2000.0, 5000.0, 5.0, is_write=True),
    ),
    grace_s=3.0,
    head=6,
    lines_per_s=2200.0,
    way_s=0.25,
    way_most_s=0.44,
    sums_late_s=0.7,
    cycle_s=1.0,
    bare_s=3.1,
    cold_s=15.0,
    cold_from=0.23,
    fall_multiple=3.0,
    tip_after_s=3.0,
    admit="silent",
    peers=False,
    weights="silent",
    report="piggyback",
    fields=("rif",),
)


class Deployment:
    """Hosts, proxies, collectors, and a steward with its discovery agent for each name.

    Attributes:
        hosts: The hosts by uid.
        proxies: The proxies by number.
        agents: The discovery agent of each steward.
        stewards: The stewards by name.
    """

    def __init__(self, site: Site, record: Record, folder: Path, proxies: int) -> None:
        """Creates a deployment without hosts and stewards."""
        self.site = site
        self.record = record
        self.folder = folder
        self.proxy_count = proxies
        self.hosts: dict[str, Host] = {}
        self.proxies: list[Proxy] = []
        self.collectors: dict[str, dict[str, Collector]] = {}  # by zone, steward
        self.agents: dict[str, Discovery] = {}
        self.stewards: dict[str, Steward] = {}
        self.channels: dict[str, Channel] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def add_hosts(self, count: int) -> None:
        """Opens hosts, spread evenly over zones and machine types."""
        for number in range(count):
            uid = f"s-{number:04x}"
            host = Host(self.record, uid, self.site.zones[number % len(self.site.zones)])
            await host.open()
            self.hosts[uid] = host

    def entry(self, uid: str, state: str = "SERVING", boot_ms: int = 0) -> dict[str, Any]:
        """Returns the list entry of a host."""
        host = self.hosts[uid]
        models = self.site.models
        model = models[int(uid[2:], 16) // len(self.site.zones) % len(models)]
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
            "settings": self.site.settings(len(self.stewards), stewards, self.proxy_count),
        }
        self.stewards[name] = Steward(self.record, self.folder, config)
        self.channels[name] = self.new_channel()
        return self.stewards[name]

    def add_proxies(self) -> None:
        """Creates the proxies, two or more for each zone, with their standing tables."""
        site = self.site
        self.collectors = {
            zone: {
                name: Collector(self.record, zone, site.cycle_s, site.sums_late_s)
                for name in self.stewards
            }
            for zone in site.zones
        }
        for node in range(self.proxy_count):
            zone = site.zones[node % len(site.zones)]
            names = [product.name for product in site.products]
            proxy = Proxy(self.record, node, zone, names, self.collectors[zone], self.hosts)
            drawn = proxy.random.sample(sorted(self.hosts), min(5, len(self.hosts)))
            for product in site.products:
                proxy.tables[product.name] = {
                    uid: 1.0 for uid in drawn if site.may_serve(product, zone, self.hosts[uid].zone)
                }
            self.proxies.append(proxy)

    def new_channel(self) -> Channel:
        """Returns an empty channel of a steward."""
        return Channel(self.site.lines_per_s, self.site.way_s, self.site.head)

    def connect(self, steward_of: Callable[[Proxy], str]) -> None:
        """Starts the proxies and the collectors.

        Args:
            steward_of: Names the steward that a proxy dials now.
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
        for collectors in self.collectors.values():
            for name, collector in collectors.items():
                steward = self.stewards[name]
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
