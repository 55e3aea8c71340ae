"""The warm start of a controller: connects its core with the snapshot file, peers and the policy.

Which observations count, and which ones take precedence, is decided in `warm_start.core`.
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

LISTED_STATE_NAMES = {HostState.DRAINING: "DRAINING", HostState.GONE: "DELETED"}
NO_REVISION = -1  # list revision in a snapshot of a controller without an endpoint list


class WarmStartService:
    """Runs the warm-start core, maintains the snapshot file and exchanges snapshots with peers.

    Attributes:
        section: The section of the feature file.
        name: Name of this controller.
        submit: Submits an event to the controller.
        core: The warm-start core.
        file: The snapshot file; None if no folder is configured.
        exchange: The exchange of snapshots with peers.
        tasks: Running tasks, which `hand_over` cancels.
    """

    def __init__(
        self,
        section: WarmStartSection,
        name: str,
        group: str,
        own_host: str,
        telemetry: Telemetry,
        submit: Callable[[events.Event], None],
        disk: Disk | None = None,
    ) -> None:
        self.section = section
        self.name = name
        self.telemetry = telemetry
        self.submit = submit
        self.core = WarmStart(WarmStartSettings(int(section.limit_s * 1e6)))
        self.file: SnapshotFile | None = None
        if section.folder:
            self.file = SnapshotFile(Path(section.folder), name, telemetry, disk or Disk())
        self.exchange = SnapshotExchange(
            name, group, own_host, telemetry, self.snapshot, self.deliver
        )
        self.tasks: set[asyncio.Task[None]] = set()

    def attach(
        self,
        controller: Controller,
        directory: Directory,
        discovery: Discovery,
        drain_notices: DrainNoticeOverlay,
    ) -> None:
        """Connects the service to the rest of the process, before the first endpoint list."""
        self.controller = controller
        self.directory = directory
        self.discovery = discovery
        self.drain_notices = drain_notices
        # Prior knowledge may be available for hosts that a list adds.
        drain_notices.after_list = lambda: self.deliver(self.hosts_listed())

    # Start and shutdown

    async def load_snapshot_file(self) -> None:
        """Reads the snapshot file; called before the first proxy can connect.

        Returns after `READ_TIMEOUT_S` at the latest (see `SnapshotFile.load`).
        """
        if self.file:
            await self.file.load(self.deliver)

    def start(self) -> None:
        """Starts to write the file and to request snapshots from peers, as far as configured."""
        if self.file and self.section.every_s:
            self.file.start_writing()
            self.run_task(self.file.write_periodically(self.section.every_s, self.snapshot))
        if self.section.ask_peers:
            timeout_s = self.section.ask_ms / 1e3
            count = self.section.ask_peers
            self.run_task(self.exchange.ask_peers(count, timeout_s, self.run_task))

    def run_task(self, coroutine: Coroutine[None, None, None]) -> None:
        """Starts a task, which `hand_over` cancels if it still runs."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def hand_over(self) -> None:
        """Writes the file a last time and hands over to a peer, concurrently and with timeouts."""
        for task in list(self.tasks):
            task.cancel()
        if self.file:
            self.file.write_last(self.snapshot)
        peer, is_written = await asyncio.gather(self.hand_over_to_peer(), self.finish_file())
        self.telemetry.log.event("info", "warm_start_handed_over", file=is_written, peer=peer)

    async def hand_over_to_peer(self) -> str:
        """Hands over to a peer.

        Returns:
            The name of the peer; "" if no peers are to be asked, or if the handover failed.
        """
        return await self.exchange.hand_over() if self.section.ask_peers else ""

    async def finish_file(self) -> bool:
        """Waits for the last write, and returns whether it ended in time; False without a file."""
        return await self.file.finish() if self.file else False

    # The core

    def deliver(self, event: Event) -> None:
        """Delivers an event to the core and carries out its commands.

        The core receives the hosts that are listed now ahead of a snapshot.
        """
        now_us = monotonic_us()
        commands: list[Command] = []
        if isinstance(event, SnapshotReceived):
            commands += self.core.deliver(now_us, self.hosts_listed())
        commands += self.core.deliver(now_us, event)
        for command in commands:
            self.carry_out(command)

    def hosts_listed(self) -> HostsListed:
        """Returns the hosts that discovery lists now, except deleted ones."""
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
                self.provide_prior_knowledge(command)
            case AnnounceWithdrawals(source, revision, withdrawn):
                self.drain_notices.receive(source, revision, withdrawn)
            case ReportMerge():
                self.report_merge(command)

    def provide_prior_knowledge(self, command: ProvidePriorKnowledge) -> None:
        """Submits prior knowledge of a host for the policy, if the host is in the directory."""
        host = self.directory.ids.get(command.uid)
        if host is None:
            return
        health = command.known.health.knowledge
        capacity = command.known.capacity.knowledge
        self.telemetry.count("warm_start.hosts_provided")
        self.submit(
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

    def report_merge(self, merge: ReportMerge) -> None:
        """Counts and logs how many hosts of a snapshot were accepted, expired or superseded."""
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

    # The snapshot of this controller

    def snapshot(self) -> Snapshot:
        """Returns what this controller knows of the hosts now.

        The snapshot is immutable, so that another thread may encode it.
        """
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
        """Returns this controller's own observations of hosts."""
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
        """Returns draining and deleted hosts, each with its state as named in the list."""
        return tuple(
            (known.uid, LISTED_STATE_NAMES[known.entry.state])
            for known in self.directory.hosts.values()
            if known.entry and known.entry.state in LISTED_STATE_NAMES
        )
