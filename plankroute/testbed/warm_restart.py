"""Measures how many requests fail after a controller restarts while some hosts fail all requests.

The controller restarts without prior knowledge, or with knowledge from a snapshot file, from a
peer, from both, or from a file in which all of it is wrong. Uses real controllers, and stubs of
proxies, hosts and discovery.
"""

import asyncio
import random
import tempfile
import time
from pathlib import Path

import msgspec

from plankroute.net.peers.snapshot_file import snapshot_file_name
from plankroute.testbed.faults import Act, Script, Step
from plankroute.testbed.hosts import StubHosts
from plankroute.testbed.list_service import Behaviour, StubDiscovery, target
from plankroute.testbed.plan import JsonObject, Plan
from plankroute.testbed.processes import STREAM_PORT, ControllerProcesses
from plankroute.testbed.traffic import TICK_S, Traffic, TrafficSettings
from plankroute.warm_start.codec import encode_file
from plankroute.warm_start.snapshot import HostKnowledge, Snapshot

NOTHING, SNAPSHOT, PEER, BOTH, WRONG = KNOWLEDGE_SOURCES = (
    "nothing",
    "snapshot",
    "peer",
    "both",
    "wrong",
)
COUNTING_PERIOD_S = 10.0  # requests are counted for this time after the restart
CURVE_LEAD_S = 2.0  # the curve of failures starts this time before the controller listens again
INITIAL_HOSTS = 3  # in a proxy's table before any controller has sent one
READY_TIMEOUT_S = 30.0
CALLS_A_SECOND = 100.0  # rate limit of discovery
LIST_REVISION = 1000
RESTARTED, OTHER = 0, 1  # the numbers of the two controllers
MEMBERS = (RESTARTED, OTHER)
CLASSES = [{"name": "lookup", "idempotency": "retryable", "onTimeMs": 500.0, "deadlineMs": 2000.0}]
PROXY_SETTINGS: JsonObject = {
    "proxies": 8,
    "pushRate": 4000.0,
    "queueCap": 8000,
    "envelope": 6,
    "lateMs": 50.0,
}
SETTINGS: JsonObject = {
    "caps": {"mayProbe": True, "dialTimeoutMs": 300.0},
    "classes": CLASSES,
    "dcs": ["a"],
    "familyInfo": PROXY_SETTINGS,
    "safety": {"drainGraceMs": 3000.0},
    "report": {"fields": ["rif"], "via": "piggyback"},
}


class Trial(msgspec.Struct, frozen=True):
    """The parameters of a restart.

    Attributes:
        knowledge_source: Source of prior knowledge, one of `KNOWLEDGE_SOURCES`.
        hosts: Number of listed hosts.
        failing_share: Share of the hosts that fail all requests.
        warm_s: Seconds between the start and the restart.
        seed: Seed of the failing hosts and of the proxies' initial tables.
        loopback_net: Octet of the loopback addresses; trials that run at the same time need
            different ones.
        traffic_settings: Settings of the proxies and their requests.
        is_killed: Whether the controller ends by SIGKILL instead of SIGTERM.
        restarts_proxies: Whether the proxies restart with the controller, and lose their tables.
    """

    knowledge_source: str = NOTHING
    hosts: int = 50
    failing_share: float = 0.2
    warm_s: float = 20.0
    seed: int = 1
    loopback_net: int = 60
    traffic_settings: TrafficSettings = TrafficSettings()
    is_killed: bool = False
    restarts_proxies: bool = False


class Outcome(
    msgspec.Struct,
    # The JSON output keeps these keys.
    rename={
        "knowledge_source": "way",
        "requests": "asked",
        "failures": "voided",
        "hosts_provided": "told",
    },
):
    """The measurements of a restart, for the proxies of the restarted controller.

    Attributes:
        knowledge_source: As in the trial.
        requests: Number of requests in the counting period.
        failures: Number of these requests that failed.
        ready_ms: Milliseconds from the new start until the controller listened.
        hosts_provided: Number of hosts for which the controller's policy had prior knowledge.
        curve: Share of failed requests by tick, from `CURVE_LEAD_S` before the controller listened
            again.
    """

    knowledge_source: str
    requests: float
    failures: float
    ready_ms: int
    hosts_provided: int
    curve: list[float]

    def failure_ratio(self) -> float:
        """Returns the share of the requests that failed; 0 without requests."""
        return self.failures / max(1.0, self.requests)


def feature_sections(trial: Trial, folder: str) -> JsonObject:
    """Returns the sections of the feature file for the trial's source of prior knowledge."""
    if trial.knowledge_source == NOTHING:
        return {"coldstart": {}}
    learned: JsonObject = {"ask_peers": 2 if trial.knowledge_source in (PEER, BOTH) else 0}
    if trial.knowledge_source in (SNAPSHOT, BOTH, WRONG):
        learned |= {"folder": folder, "every_s": 1.0}
    return {"coldstart": {}, "learned": learned}


class Restart:
    """The run of a trial: two controllers with the same hosts, of which the first one restarts.

    Each controller has its own proxies.
    """

    def __init__(self, trial: Trial, folder: str) -> None:
        self.trial = trial
        self.folder = folder
        self.hosts = StubHosts(trial.hosts, trial.loopback_net)
        failing_count = round(trial.failing_share * trial.hosts)
        self.failing = set(random.Random(trial.seed).sample(range(trial.hosts), failing_count))
        targets = [target(host, address) for host, address in enumerate(self.hosts.addresses)]
        self.names = [entry["uid"] for entry in targets]
        if trial.traffic_settings.probes_fail:
            self.hosts.failing = self.failing
        self.service = StubDiscovery(targets, Behaviour(CALLS_A_SECOND), LIST_REVISION)
        self.traffic: list[Traffic] = []

    def plan(self, discovery: str) -> Plan:
        """Returns the plan of the controllers; `discovery` is the address of discovery."""
        trial = self.trial
        has_peer = trial.knowledge_source in (PEER, BOTH)
        known = {"rev": LIST_REVISION, "all": True, "targets": self.service.targets}
        proxy_settings = {**PROXY_SETTINGS, "proxies": trial.traffic_settings.proxies}
        return Plan(
            len(MEMBERS),
            Script(1),
            trial.loopback_net,
            sections=feature_sections(trial, self.folder),
            settings={**SETTINGS, "familyInfo": proxy_settings},
            configuration={"discovery": discovery, "known": known},
            has_membership=has_peer,
            has_links=has_peer,
            has_direct_links=True,
        )

    async def run(self) -> Outcome:
        """Runs the trial, and closes all that it has started."""
        await self.hosts.open()
        address = await self.service.open(f"127.250.{self.trial.loopback_net}.1")
        processes = ControllerProcesses(self.plan(address))
        try:
            return await self.restart_and_count(processes)
        finally:
            for traffic in self.traffic:
                traffic.close()
            await processes.close()
            self.service.close()
            self.hosts.close()

    async def restart_and_count(self, processes: ControllerProcesses) -> Outcome:
        """Starts both controllers, restarts the first one, and counts its proxies' requests."""
        trial = self.trial
        await self.start_both(processes)
        await asyncio.sleep(trial.warm_s)
        await self.end_restarted(processes)
        if trial.knowledge_source == WRONG:
            self.write_wrong_snapshot()
        if trial.restarts_proxies:
            self.traffic[0].close()
        ready_ms = await self.start_again(processes)
        if trial.restarts_proxies:
            self.start_traffic(processes, RESTARTED, COUNTING_PERIOD_S + READY_TIMEOUT_S)
        from_s = time.monotonic()
        await asyncio.sleep(COUNTING_PERIOD_S + TICK_S)
        counters = await processes.ask_counters(RESTARTED)
        traffic = self.traffic[-1] if trial.restarts_proxies else self.traffic[0]
        return Outcome(
            trial.knowledge_source,
            round(traffic.count_between(traffic.requests, from_s, COUNTING_PERIOD_S), 1),
            round(traffic.count_between(traffic.failures, from_s, COUNTING_PERIOD_S), 1),
            ready_ms,
            counters.get("warm_start.hosts_provided", 0),
            failure_curve(traffic, from_s),
        )

    async def start_both(self, processes: ControllerProcesses) -> None:
        """Starts both controllers, and their traffic once both listen."""
        for member in MEMBERS:
            await processes.start(member)
        await processes.wait_until(
            lambda: all(processes.has_logged(member, "listening") for member in MEMBERS),
            READY_TIMEOUT_S,
        )
        duration_s = self.trial.warm_s + COUNTING_PERIOD_S + READY_TIMEOUT_S
        for member in MEMBERS:
            self.start_traffic(processes, member, duration_s)

    async def end_restarted(self, processes: ControllerProcesses) -> None:
        """Ends the first controller by SIGTERM or SIGKILL, and waits until it has ended."""
        act = Act.KILL if self.trial.is_killed else Act.LEAVE
        await processes.run_step(Step(0.0, act, RESTARTED))
        await asyncio.wait_for(processes.running[RESTARTED].wait(), READY_TIMEOUT_S)

    async def start_again(self, processes: ControllerProcesses) -> int:
        """Starts the first controller again; returns the milliseconds until it listens."""
        processes.log_lines[RESTARTED].clear()
        began_s = time.monotonic()
        await processes.start(RESTARTED)
        await processes.wait_until(
            lambda: processes.has_logged(RESTARTED, "listening"), READY_TIMEOUT_S
        )
        return round((time.monotonic() - began_s) * 1e3)

    def start_traffic(self, processes: ControllerProcesses, member: int, duration_s: float) -> None:
        """Starts the proxies and the collector of a controller for `duration_s` seconds."""
        rng = random.Random(self.trial.seed + member)
        host, _ = processes.listen_addresses[member]
        traffic = Traffic(
            self.trial.traffic_settings,
            (host, STREAM_PORT),
            {self.names[failing] for failing in self.failing},
            rng.sample(self.names, INITIAL_HOSTS),
        )
        traffic.start(duration_s)
        self.traffic.append(traffic)

    def write_wrong_snapshot(self) -> None:
        """Replaces the snapshot file by one with wrong knowledge of all hosts.

        In that file the failing hosts have the highest weight, and as many good ones are ejected.
        """
        healthy = [host for host in range(self.trial.hosts) if host not in self.failing]
        wrongly_ejected = set(healthy[: len(self.failing)])
        hosts = tuple(
            self.wrong_knowledge(host, host in wrongly_ejected) for host in range(self.trial.hosts)
        )
        snapshot = Snapshot("n0000", LIST_REVISION, 0, hosts, ())
        path = Path(self.folder) / snapshot_file_name("n0000")
        path.write_bytes(encode_file(snapshot, time.time_ns() // 1_000_000))

    def wrong_knowledge(self, host: int, is_wrongly_ejected: bool) -> HostKnowledge:
        """Returns what the wrong snapshot states about a host."""
        weight = 1.0
        if host in self.failing:
            weight = 1.5
        elif is_wrongly_ejected:
            weight = 0.05
        return HostKnowledge(
            uid=self.names[host],
            boot_ms=0,
            weight=weight,
            attempts=50.0,
            failed=50.0 if is_wrongly_ejected else 0.0,
            mean_latency_us=20_000.0,
            ejected=is_wrongly_ejected,
            required_checks=8,
            age_us=0,
        )


def failure_curve(traffic: Traffic, from_s: float) -> list[float]:
    """Returns the share of failed requests by tick, from `CURVE_LEAD_S` before `from_s`.

    `from_s` is a monotonic time. A tick without requests counts as 0.
    """
    first = int((from_s - traffic.began_s - CURVE_LEAD_S) / TICK_S)
    end = first + round((COUNTING_PERIOD_S + CURVE_LEAD_S) / TICK_S)
    curve: list[float] = []
    for tick in range(max(0, first), end):
        requests = traffic.requests.get(tick, 0)
        failures = traffic.failures.get(tick, 0)
        curve.append(round(failures / requests, 3) if requests else 0.0)
    return curve


async def run_trial(trial: Trial) -> Outcome:
    """Runs a trial with a temporary folder for its snapshot files."""
    with tempfile.TemporaryDirectory(prefix="plankroute-warm-restart-") as folder:
        return await Restart(trial, folder).run()


async def run_each_source(sources: tuple[str, ...], common: Trial) -> list[Outcome]:
    """Runs the same trial with each source of prior knowledge, at the same time.

    Args:
        sources: Sources of prior knowledge.
        common: The trial; its knowledge source is ignored. The runs use consecutive loopback
            networks, starting with its `loopback_net`.
    """
    trials = [
        msgspec.structs.replace(
            common, knowledge_source=source, loopback_net=common.loopback_net + index
        )
        for index, source in enumerate(sources)
    ]
    return list(await asyncio.gather(*(run_trial(trial) for trial in trials)))
