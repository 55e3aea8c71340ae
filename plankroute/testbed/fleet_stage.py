"""A fleet of real controllers with stubs for discovery, hosts, proxies and channels.

Hosts are replaced as in a release: they are listed as draining, shut down at the earliest time that
the rules permit, and then listed as deleted. Meanwhile the operators' rules are checked at all
proxies.
"""

import asyncio
import functools
import random
import time
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass

from plankroute.testbed.faults import Act, Script, Step
from plankroute.testbed.fleet_collector import report_forever
from plankroute.testbed.fleet_rules import RULE_SLACK_S, FleetRules, RuleParameters
from plankroute.testbed.hosts import StubHosts
from plankroute.testbed.links import Address
from plankroute.testbed.list_service import Behaviour, StubDiscovery, target
from plankroute.testbed.paced_channel import PacedChannel
from plankroute.testbed.plan import JsonObject, Plan
from plankroute.testbed.processes import STREAM_PORT, ControllerProcesses
from plankroute.testbed.roaming_proxies import RoamingProxy

CHECK_INTERVAL_S = 0.05  # between checks of the rules
READY_TIMEOUT_S = 30.0
INITIAL_HOSTS = 6  # in a proxy's table before any controller has sent one
LIST_REVISION = 1000
CALLS_A_SECOND = 1000.0  # rate limit of discovery
CLASSES = [{"name": "lookup", "idempotency": "fragile", "onTimeMs": 500.0, "deadlineMs": 2000.0}]


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The size of a fleet, and the values in its settings.

    Attributes:
        controllers: Number of controllers.
        proxies: Number of proxies.
        hosts: Number of hosts that are listed at the start.
        spare_hosts: Number of hosts that releases may add later.
        loopback_net: Octet of the loopback addresses; fleets that run at the same time need
            different ones.
        seed: Seed of the proxies' initial hosts and choices of controllers.
        lines_per_s: Rate of a controller's channel.
        backlog_cap: Most lines that may wait in a channel.
        delay_s: Delay from the time a message has left the channel until it is delivered. The
            settings state it as the usual delay, and twice as much as the maximum.
        drain_grace_s: Time for which a proxy may use a removed host.
        max_unbound_s: Time for which a joined proxy may have no usable host.
        warmup_s: Time after its start at which a host is warm.
        proxy_rate: Requests per second of a proxy.
        host_capacity: Requests per second that a warm host can serve.
    """

    controllers: int
    proxies: int
    hosts: int
    spare_hosts: int
    loopback_net: int
    seed: int = 1
    lines_per_s: float = 525.0
    backlog_cap: int = 1575
    delay_s: float = 0.05
    drain_grace_s: float = 3.5
    max_unbound_s: float = 5.0
    warmup_s: float = 8.0
    proxy_rate: float = 20.0
    host_capacity: float = 100.0

    def settings(self) -> JsonObject:
        """Returns the settings of the controllers' configuration."""
        return {
            "caps": {"mayProbe": True, "dialTimeoutMs": 300.0},
            "classes": CLASSES,
            "dcs": ["a"],
            "machineTypes": ["m"],
            "instances": self.controllers,
            "familyInfo": {
                "proxies": self.proxies,
                "pushRate": self.lines_per_s,
                "queueCap": self.backlog_cap,
                "envelope": 6,
                "bareMs": self.max_unbound_s * 1e3,
                "lateMs": self.delay_s * 1e3,
                "transitMaxMs": 2e3 * self.delay_s,
                "throttleBy": "silent",
                "usualHow": 1,
            },
            "safety": {
                "drainGraceMs": self.drain_grace_s * 1e3,
                "coldMs": self.warmup_s * 1e3,
                "startCapacity": 0.25,
                "fallMultiple": 3.0,
                "tipAfterMs": 2000.0,
            },
            "report": {"fields": ["rif"], "via": "piggyback"},
        }

    def rule_parameters(self) -> RuleParameters:
        """Returns the limits of the operators' rules."""
        return RuleParameters(
            drain_grace_s=self.drain_grace_s,
            max_unbound_s=self.max_unbound_s,
            warmup_s=self.warmup_s,
            start_capacity=0.25,
            overload_multiple=3.0,
            overload_window_s=2.0,
            backlog_cap=self.backlog_cap,
            host_capacity=self.host_capacity,
            proxy_rate=self.proxy_rate,
        )


class FleetStage:
    """A fleet of real controllers.

    Attributes:
        processes: The controllers' processes; set by `open`.
        discovery: The stub of the discovery service that all controllers watch.
        names: Names of all hosts, by number.
        proxies: All proxies of the fleet.
        channels: The channel of each controller.
        rules: Checks the operators' rules.
        addresses: Address on which each controller listens for proxies and collectors.
        present: Numbers of the hosts that are listed as serving.
        ended_hosts: Names of the hosts that have shut down.
    """

    def __init__(self, size: FleetSize) -> None:
        self.size = size
        rng = random.Random(size.seed)
        self.hosts = StubHosts(size.hosts + size.spare_hosts, size.loopback_net)
        self._targets = [target(host, address) for host, address in enumerate(self.hosts.addresses)]
        self.names = [str(entry["uid"]) for entry in self._targets]
        self.present = set(range(size.hosts))
        self.discovery = StubDiscovery(
            self._targets[: size.hosts], Behaviour(CALLS_A_SECOND), LIST_REVISION
        )
        self.channels = [
            PacedChannel(size.lines_per_s, size.delay_s) for _ in range(size.controllers)
        ]
        self.processes: ControllerProcesses
        self.proxies: list[RoamingProxy] = []
        self.addresses: list[Address] = []
        self.ended_hosts: set[str] = set()
        self._proxy_seeds = [rng.randrange(1 << 32) for _ in range(size.proxies)]
        self.rules = FleetRules(size.rule_parameters(), self.proxies, self.channels)
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Starts controllers and stubs; returns when all controllers listen.

        Raises:
            TimeoutError: A controller does not listen in time.
        """
        size = self.size
        await self.hosts.open()
        discovery = await self.discovery.open(f"127.250.{size.loopback_net}.1")
        known = {"rev": LIST_REVISION, "all": True, "targets": self.discovery.targets}
        self.processes = ControllerProcesses(
            Plan(
                size.controllers,
                Script(size.seed),
                size.loopback_net,
                settings=size.settings(),
                configuration={"discovery": discovery, "known": known},
                has_feature_file=False,
            )
        )
        for controller in range(size.controllers):
            await self.processes.start(controller)
        for controller in range(size.controllers):
            await self.wait_until_listening(controller)
        self.addresses = [(host, STREAM_PORT) for host, _ in self.processes.listen_addresses]
        for number, seed in enumerate(self._proxy_seeds):
            proxy = RoamingProxy(number, self.addresses, self.channels, random.Random(seed))
            initial = proxy.rng.sample(self.names[: size.hosts], INITIAL_HOSTS)
            proxy.weights = dict.fromkeys(initial, 1.0)
            self.proxies.append(proxy)
            self.run_task(proxy.connect_repeatedly())
        for controller, address in enumerate(self.addresses):
            proxies = functools.partial(self.proxies_at, controller)
            self.run_task(report_forever(address, proxies, size.proxy_rate, self.ended_hosts))
        now_s = asyncio.get_running_loop().time()
        for host in self.present:
            self.rules.host_started(self.names[host], now_s - size.warmup_s)
        self.run_task(self._check_rules())

    async def close(self) -> None:
        """Cancels background tasks, kills the controllers and closes the stubs."""
        for task in list(self._tasks):
            task.cancel()
        if hasattr(self, "processes"):
            await self.processes.close()
        self.discovery.close()
        self.hosts.close()

    def run_task(self, work: Coroutine[None, None, None]) -> None:
        """Runs a coroutine in the background; `close` cancels it if it has not ended."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Controllers

    async def wait_until_listening(self, controller: int) -> None:
        """Waits until a controller that was started logs that it listens.

        Raises:
            TimeoutError: It has not logged that within `READY_TIMEOUT_S`.
        """
        is_ready = await self.processes.wait_until(
            lambda: self.processes.has_logged(controller, "listening"), READY_TIMEOUT_S
        )
        if not is_ready:
            raise TimeoutError(f"controller {controller} did not listen in time")

    async def restart(self, controller: int) -> float:
        """Starts a controller that has ended; returns the seconds until it listened."""
        began_s = asyncio.get_running_loop().time()
        self.processes.log_lines[controller].clear()
        await self.processes.start(controller)
        await self.wait_until_listening(controller)
        return asyncio.get_running_loop().time() - began_s

    async def end(self, controller: int, act: Act) -> float:
        """Ends a controller by the signal of `act`; returns the seconds until its process ended.

        Also drops the messages in its channel.

        Raises:
            TimeoutError: The process has not ended within `READY_TIMEOUT_S`.
        """
        began_s = asyncio.get_running_loop().time()
        process = self.processes.running[controller]
        await self.processes.run_step(Step(0.0, act, controller))
        await asyncio.wait_for(process.wait(), READY_TIMEOUT_S)
        self.channels[controller].clear()
        return asyncio.get_running_loop().time() - began_s

    def proxies_at(self, controller: int) -> list[RoamingProxy]:
        """Returns the proxies that are joined to a controller now."""
        return [proxy for proxy in self.proxies if proxy.controller == controller]

    async def wait_until(self, holds: Callable[[], bool], limit_s: float) -> bool:
        """Polls a condition; returns whether it held within `limit_s` seconds."""
        return await self.processes.wait_until(holds, limit_s)

    # Hosts

    def replace_hosts(self, leaving: Iterable[int], count_of_new: int) -> None:
        """Lists hosts as draining, and adds new hosts to the list.

        The draining hosts are shut down and listed as deleted after the drain grace.

        Args:
            leaving: Numbers of the hosts that drain.
            count_of_new: Number of hosts to add; fewer if not enough spare hosts are left.
        """
        loop = asyncio.get_running_loop()
        leaving = list(leaving)
        first_new = len(self.discovery.targets)
        new = range(first_new, min(first_new + count_of_new, len(self._targets)))
        boot_ms = round(time.time() * 1e3)
        for host in leaving:
            self.discovery.targets[host] = {**self._targets[host], "state": "DRAINING"}
            self.rules.host_removed(self.names[host], loop.time())
        for host in new:
            self.discovery.targets.append({**self._targets[host], "boot_ms": boot_ms})
            self.rules.host_started(self.names[host], loop.time())
        self.present -= set(leaving)
        self.present |= set(new)
        self.discovery.send_changes([*leaving, *new])
        loop.call_later(self.size.drain_grace_s + RULE_SLACK_S, self._remove_hosts, leaving)

    def _remove_hosts(self, hosts: Iterable[int]) -> None:
        hosts = list(hosts)
        for host in hosts:
            self.hosts.servers[host].close()
            self.ended_hosts.add(self.names[host])
            self.discovery.targets[host] = {**self._targets[host], "state": "DELETED"}
        self.discovery.send_changes(hosts)

    async def _check_rules(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self.rules.check(loop.time())
            await asyncio.sleep(CHECK_INTERVAL_S)
