"""The warm start of a controller: connects the core with the file, the peers and the policy.

What counts, and whose word stands, is decided by `warm_start.core`.
"""

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path

from plankroute.config.feature_file import WarmStartSection
from plankroute.controller.controller import Controller
from plankroute.events import events
from plankroute.events.events import HostState
from plankroute.net.discovery.directory import Directory
from plankroute.net.discovery.watch import Discovery
from plankroute.net.peers.drain_notices import DrainNoticeOverlay
from plankroute.net.peers.snapshot_exchange import SnapshotExchange
from plankroute.net.peers.snapshot_file import SnapshotFile
from plankroute.net.process.clock import monotonic_us
from plankroute.net.process.file_store import Disk
from plankroute.net.process.telemetry import Telemetry
from plankroute.warm_start.core import (
    AnnounceWithdrawals,
    Command,
    Event,
    HostsListed,
    ProvidePriorKnowledge,
    ReportMerge,
    SnapshotReceived,
    WarmStart,
    WarmStartSettings,
)
from plankroute.warm_start.snapshot import HostKnowledge, Snapshot

LIST_WORD_BY_STATE = {HostState.DRAINING: "DRAINING", HostState.GONE: "DELETED"}
NO_REVISION = -1  # of a snapshot whose controller had no endpoint list


class WarmStartService:
    """Runs the core: delivers its events, carries out its commands, keeps the file and asks peers.

    Attributes:
        file: The snapshot file; None where no folder is set.
        exchange: The snapshots between this controller and its peers.
    """

    def __init__(
        self,
        section: WarmStartSection,
        name: str,
        group: str,
        own_host: str,
        telemetry: Telemetry,
        put: Callable[[events.Event], None],
        disk: Disk | None = None,
    ) -> None:
        self.section = section
        self.name = name
        self.telemetry = telemetry
        self.put = put
        self.core = WarmStart(WarmStartSettings(int(section.limit_s * 1e6)))
        self.file: SnapshotFile | None = None
        if section.folder:
            self.file = SnapshotFile(Path(section.folder), name, telemetry, disk or Disk())
        self.exchange = SnapshotExchange(name, group, own_host, telemetry, self.snapshot, self.work)
        self.tasks: set[asyncio.Task[None]] = set()

    def attach(
        self,
        controller: Controller,
        directory: Directory,
        discovery: Discovery,
        drain_notices: DrainNoticeOverlay,
    ) -> None:
        """Connects it with the rest of the process; before the first endpoint list."""
        self.controller = controller
        self.directory = directory
        self.discovery = discovery
        self.drain_notices = drain_notices
        # More may be known of hosts that a list brings.
        drain_notices.after_list = lambda: self.work(self.hosts_listed())

    # The life of the process

    async def load_snapshot_file(self) -> None:
        """Reads the file, within a bound, before the first proxy can join."""
        if self.file:
            await self.file.load(self.work)

    def start(self) -> None:
        """Starts to write the file and to ask peers."""
        if self.file and self.section.every_s:
            self.file.start_writing()
            self.run_task(self.file.write_periodically(self.section.every_s, self.snapshot))
        if self.section.ask_peers:
            timeout_s = self.section.ask_ms / 1e3
            count = self.section.ask_peers
            self.run_task(self.exchange.ask_peers(count, timeout_s, self.run_task))

    def run_task(self, work: Coroutine[None, None, None]) -> None:
        """Runs until `hand_over`."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def hand_over(self) -> None:
        """Writes the last file and hands over to a peer at the same time, each within its bound."""
        for task in list(self.tasks):
            task.cancel()
        if self.file:
            self.file.write_last(self.snapshot)
        peer, is_written = await asyncio.gather(self.hand_over_to_peer(), self.finish_file())
        self.telemetry.log.event("info", "warm_start_handed_over", file=is_written, peer=peer)

    async def hand_over_to_peer(self) -> str:
        """The name of the peer that has the snapshot; "" if none has."""
        return await self.exchange.hand_over() if self.section.ask_peers else ""

    async def finish_file(self) -> bool:
        """Whether the file was written in time."""
        return await self.file.finish() if self.file else False

    # The core

    def work(self, event: Event) -> None:
        """Delivers an event to the core and carries out its commands."""
        now_us = monotonic_us()
        commands: list[Command] = []
        if isinstance(event, SnapshotReceived):
            commands += self.core.deliver(now_us, self.hosts_listed())
        commands += self.core.deliver(now_us, event)
        for command in commands:
            self.carry_out(command)

    def hosts_listed(self) -> HostsListed:
        """The hosts that discovery lists now."""
        return HostsListed(
            {
                known.uid: known.boot_ms
                for known in self.directory.hosts.values()
                if known.entry and known.entry.state is not HostState.GONE
            }
        )

    def carry_out(self, command: Command) -> None:
        """Carries out one command of the core."""
        match command:
            case ProvidePriorKnowledge():
                self.provide(command)
            case AnnounceWithdrawals(source, revision, withdrawn):
                self.drain_notices.receive(source, revision, withdrawn)
            case ReportMerge():
                self.report(command)

    def provide(self, command: ProvidePriorKnowledge) -> None:
        """Tells the policy of a host that the directory knows."""
        host = self.directory.ids.get(command.uid)
        if host is None:
            return
        health = command.known.health.knowledge
        capacity = command.known.capacity.knowledge
        self.telemetry.count("warm_start.hosts_provided")
        self.put(
            events.HostPriorKnowledge(
                host,
                weight=capacity.weight,
                attempts=capacity.attempts,
                failed=health.failed,
                mean_latency_us=capacity.mean_latency_us,
                ejected=health.ejected,
                required_checks=health.required_checks,
                health_age_us=command.health_age_us,
                capacity_age_us=command.capacity_age_us,
            )
        )

    def report(self, merge: ReportMerge) -> None:
        """Counts and logs what became of a snapshot."""
        self.telemetry.count("warm_start.accepted", merge.accepted)
        self.telemetry.count("warm_start.expired", merge.expired)
        self.telemetry.count("warm_start.superseded", merge.superseded)
        self.telemetry.log.event(
            "info",
            "warm_start_merged",
            source=merge.source,
            accepted=merge.accepted,
            expired=merge.expired,
            superseded=merge.superseded,
        )

    # What this controller knows

    def snapshot(self) -> Snapshot:
        """What is known now; it does not change any more, so that a thread may encode it."""
        revision = self.discovery.revision
        own = Snapshot(
            controller=self.name,
            list_revision=NO_REVISION if revision is None else revision,
            list_age_us=self.discovery.age_us(),
            hosts=self.observed_hosts(),
            withdrawn=self.withdrawn_hosts(),
        )
        return self.core.snapshot(monotonic_us(), own)

    def observed_hosts(self) -> tuple[HostKnowledge, ...]:
        """What this controller observed itself."""
        observed: list[HostKnowledge] = []
        for host in self.controller.prior_knowledge():
            known = self.directory.hosts[host.host]
            observed.append(
                HostKnowledge(
                    uid=known.uid,
                    boot_ms=known.boot_ms,
                    weight=host.weight,
                    attempts=host.attempts,
                    failed=host.failed,
                    mean_latency_us=host.mean_latency_us,
                    ejected=host.ejected,
                    required_checks=host.required_checks,
                    age_us=max(0, host.health_age_us),
                )
            )
        return tuple(observed)

    def withdrawn_hosts(self) -> tuple[tuple[str, str], ...]:
        """Hosts that drain or are deleted, with the list's word for it."""
        return tuple(
            (known.uid, LIST_WORD_BY_STATE[known.entry.state])
            for known in self.directory.hosts.values()
            if known.entry and known.entry.state in LIST_WORD_BY_STATE
        )
