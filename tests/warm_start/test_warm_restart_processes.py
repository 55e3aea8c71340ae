"""Restarts of real controllers that keep and exchange snapshots."""

import asyncio
import os
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import pytest
from support.host_snapshots import HEALTHY, file_of_version, snapshot_of

from plankroute.testbed.faults import Act, Script, Step
from plankroute.testbed.plan import Plan
from plankroute.testbed.processes import STREAM_PORT, ControllerProcesses
from plankroute.testbed.warm_restart import Outcome, Trial, run_each_source
from plankroute.warm_start.codec import StoredSnapshot, decode_file, encode_file

HOSTS = 20
FAILING_HOST = 7
STARTED_MS = 1_764_700_000_123  # Unix time of the start of every second host; the rest have 0

OutcomeBySource = dict[str, Outcome]


@pytest.fixture(scope="module")
def outcomes() -> tuple[OutcomeBySource, OutcomeBySource]:
    """Restarts by SIGKILL together with the proxies, and by SIGTERM while the proxies stay."""

    async def run() -> tuple[list[Outcome], list[Outcome]]:
        return await asyncio.gather(
            run_each_source(
                ("nothing", "snapshot", "peer", "wrong"),
                Trial(loopback_net=60, warm_s=12.0, is_killed=True, restarts_proxies=True),
            ),
            run_each_source(("snapshot", "peer"), Trial(loopback_net=64, warm_s=12.0)),
        )

    fresh, stay = asyncio.run(run())
    return {one.knowledge_source: one for one in fresh}, {one.knowledge_source: one for one in stay}


@pytest.mark.parametrize("source", ["snapshot", "peer"])
def test_a_restart_with_prior_knowledge_costs_at_most_a_quarter(
    outcomes: tuple[OutcomeBySource, OutcomeBySource], source: str
) -> None:
    fresh, stay = outcomes
    assert fresh["nothing"].failures > 50, (
        "no requests failed without prior knowledge: the run shows nothing"
    )
    assert fresh[source].failures <= fresh["nothing"].failures / 4
    assert fresh[source].hosts_provided >= 40
    assert stay[source].failures <= fresh["nothing"].failures / 4


def test_wrong_prior_knowledge_costs_little(
    outcomes: tuple[OutcomeBySource, OutcomeBySource],
) -> None:
    """A generous limit for one seed; docs/warm-start.md has the figure over many seeds."""
    fresh, _ = outcomes
    assert fresh["wrong"].failures <= 1.5 * fresh["nothing"].failures


class ControllerGroup:
    """Three controllers with snapshot files, links and a list of hosts in their configuration."""

    def __init__(self, folder: str, loopback_net: int) -> None:
        targets = [
            {
                "uid": f"h{host}",
                "endpoint": "127.0.0.1:9",
                "az": "a",
                "model": "m",
                "pod_group": 0,
                "state": "SERVING",
                "capacity_hint": 1.0,
                "boot_ms": STARTED_MS if host % 2 else 0,
            }
            for host in range(HOSTS)
        ]
        self.processes = ControllerProcesses(
            Plan(
                3,
                Script(1),
                loopback_net,
                sections={"coldstart": {}, "learned": {"folder": folder, "every_s": 0.2}},
                configuration={"known": {"rev": 5, "all": True, "targets": targets}},
                has_links=True,
                has_direct_links=True,
            )
        )
        self.collector: asyncio.StreamWriter | None = None

    def has_logged(self, member: int, event: str, **details: object) -> bool:
        return any(
            line.get("event") == event
            and all(line.get(key) == value for key, value in details.items())
            for line in self.processes.log_lines[member]
        )

    async def wait_until(self, holds: Callable[[], bool]) -> None:
        is_met = await self.processes.wait_until(holds, 60.0)
        assert is_met, [list(lines)[-8:] for lines in self.processes.log_lines]

    async def start(self, members: Sequence[int]) -> None:
        for member in members:
            self.processes.log_lines[member].clear()
            await self.processes.start(member)
        await self.wait_until(
            lambda: all(self.has_logged(member, "listening") for member in members)
        )

    async def report_requests(self, member: int) -> None:
        """Sends request counts to a controller in which one host fails all requests."""
        address = self.processes.listen_addresses[member][0], STREAM_PORT
        _, self.collector = await asyncio.open_connection(*address)
        self.collector.write(b"agent locality=a\r\n")
        for host in range(HOSTS):
            errors = 40 if host == FAILING_HOST else 0
            self.collector.write(
                b"outcomes locality=a endpoint=h%d total=40 errors=%d rtt=20.0 interval=1000.0\r\n"
                % (host, errors)
            )
        await self.collector.drain()

    async def end(self, members: Sequence[int], act: Act = Act.LEAVE) -> None:
        for member in members:
            await self.processes.run_step(Step(0.0, act, member))
        for member in members:
            await asyncio.wait_for(self.processes.running[member].wait(), 30.0)


def run_with_group(
    folder: Path, loopback_net: int, scenario: Callable[[ControllerGroup], Awaitable[None]]
) -> None:
    """Runs a scenario; its processes are killed even if it fails."""

    async def run() -> None:
        group = ControllerGroup(str(folder), loopback_net)
        try:
            await scenario(group)
        finally:
            await group.processes.close()

    asyncio.run(run())


def test_three_controllers_restarted_one_after_another_and_then_all_at_once(tmp_path: Path) -> None:
    """Restarted controllers recover knowledge from their files and from peers.

    After all of them were killed at once, only the files are left.
    """
    members = range(3)

    async def restart_and_wait(group: ControllerGroup, member: int) -> None:
        began_s = time.monotonic()
        await group.end([member])
        assert time.monotonic() - began_s < 5.0
        assert group.has_logged(member, "warm_start_handed_over")
        await group.start([member])
        await group.wait_until(lambda: group.has_logged(member, "warm_start_peer_asked"))

    async def scenario(group: ControllerGroup) -> None:
        await group.start(members)
        await group.wait_until(lambda: group.processes.have_joined(members))
        await group.report_requests(0)
        await group.wait_until((tmp_path / "n0000.learned").exists)
        for member in members:
            await restart_and_wait(group, member)
        assert group.has_logged(0, "warm_start_file_read", hosts=HOSTS)
        assert group.has_logged(0, "warm_start_merged", source="file", accepted=HOSTS)
        assert any(group.has_logged(0, "warm_start_peer_asked", views=views) for views in (1, 2))
        await group.end(members, Act.KILL)
        await group.start(members)  # no peer is left to ask
        assert group.has_logged(0, "warm_start_file_read")
        counters = await group.processes.ask_counters(0)
        assert counters["warm_start.hosts_provided"] == HOSTS
        assert not counters.get("core.failed")

    run_with_group(tmp_path, 70, scenario)


def file_content(kind: str) -> bytes:
    """Content of the unusable snapshot file."""
    match kind:
        case "newer version":
            return file_of_version(2)
        case "other controller":
            return encode_file(snapshot_of(HEALTHY, controller="n0001"), 0)
        case "corrupt":
            return encode_file(snapshot_of(HEALTHY, controller="n0000"), 0)[:-1] + b"?"
        case "large":
            return b""
    raise ValueError(kind)


@pytest.mark.parametrize("kind", ["newer version", "other controller", "corrupt", "large"])
def test_a_controller_starts_despite_an_unusable_snapshot_file(tmp_path: Path, kind: str) -> None:
    path = tmp_path / "n0000.learned"
    content = file_content(kind)
    path.write_bytes(content)
    if kind == "large":
        os.truncate(path, 2 << 30)

    def is_usable() -> bool:
        if not path.exists():
            return False
        return isinstance(decode_file(path.read_bytes(), "n0000", 0), StoredSnapshot)

    async def scenario(group: ControllerGroup) -> None:
        await group.start([0])
        await group.report_requests(0)
        assert group.has_logged(0, "warm_start_file_unusable")
        await group.wait_until(is_usable)

    run_with_group(tmp_path, 71, scenario)
    set_aside = tmp_path / "n0000.learned.aside"
    assert set_aside.exists() is (kind in ("newer version", "other controller"))
    if set_aside.exists():
        assert set_aside.read_bytes() == content  # kept unchanged


def test_a_controller_runs_without_the_folder_of_its_snapshot_file(tmp_path: Path) -> None:
    async def scenario(group: ControllerGroup) -> None:
        await group.start([0])
        await group.report_requests(0)
        await group.wait_until(lambda: group.has_logged(0, "warm_start_file_not_written"))

    run_with_group(tmp_path / "missing", 71, scenario)
