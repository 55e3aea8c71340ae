"""Assembles what the feature file switches on. Imported only where there is such a file."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING

from plankroute.cold_start.backoff import BackoffFacts
from plankroute.cold_start.election_messages import ElectionFacts
from plankroute.cold_start.link_codec import HealthCheckResults
from plankroute.cold_start.probe_sharing import Survey
from plankroute.config.feature_file import ColdStartSection, FeatureFile, LinksSection
from plankroute.controller.controller import Controller
from plankroute.events import events
from plankroute.events.facts import StartFacts
from plankroute.net.discovery.backoff_watch import BackoffDiscovery
from plankroute.net.discovery.directory import Directory
from plankroute.net.discovery.watch import Discovery
from plankroute.net.peers.membership import LocalMember, MembershipService
from plankroute.net.probing.prober import HealthChecker
from plankroute.net.process.address import host_and_port
from plankroute.net.process.clock import Clock
from plankroute.net.process.configuration import Configuration
from plankroute.net.process.telemetry import Telemetry

if TYPE_CHECKING:
    from plankroute.net.peers.shared_discovery import SharedDiscovery
    from plankroute.net.peers.snapshot_exchange import Peer
    from plankroute.net.peers.warm_start import WarmStartService


class OptionalFeatures:
    """The features of one process; each is None where its section is missing.

    Attributes:
        members: Failure detection among controllers.
        backoff_discovery: Discovery with backoff, be it shared or not.
        shared_discovery: Discovery through other controllers.
        warm_start: Prior knowledge of hosts.
    """

    def __init__(
        self,
        feature_file: FeatureFile,
        configuration: Configuration,
        telemetry: Telemetry,
        put: Callable[[events.Event], None],
    ) -> None:
        self.feature_file = feature_file
        self.configuration = configuration
        self.telemetry = telemetry
        self.put = put
        self.local_member = local_member(configuration)
        self.members: MembershipService | None = None
        if feature_file.membership:
            self.members = MembershipService(
                feature_file.membership, self.local_member, telemetry, put
            )
        self.backoff_discovery: BackoffDiscovery | None = None
        self.shared_discovery: SharedDiscovery | None = None
        self.warm_start: WarmStartService | None = None

    def make_discovery(
        self,
        address: str,
        most_list: int,
        directory: Directory,
        telemetry: Telemetry,
        seed: int,
        is_command_driven: bool,
        put: Callable[[events.Event], None],
    ) -> Discovery:
        """The discovery that the file asks for; takes what `Discovery` takes."""
        section = self.feature_file.coldstart
        if section is None:
            return Discovery(address, most_list, directory, telemetry, seed, is_command_driven, put)
        calls = call_facts(section, self.configuration)
        discovery: BackoffDiscovery
        if section.links is None or self.members is None:
            discovery = BackoffDiscovery(
                address, most_list, directory, telemetry, seed, is_command_driven, put
            )
        else:
            from plankroute.net.peers.shared_discovery import SharedDiscovery

            discovery = SharedDiscovery(
                address, most_list, directory, telemetry, seed, is_command_driven, put
            )
            self.prepare_links(discovery, self.members, section.links, calls)
            self.shared_discovery = discovery
        discovery.prepare(calls, int(section.list_old_s * 1e6), self.configuration.seed)
        self.backoff_discovery = discovery
        return discovery

    def prepare_links(
        self,
        discovery: "SharedDiscovery",
        members: MembershipService,
        links: LinksSection,
        calls: BackoffFacts,
    ) -> None:
        """Tells shared discovery of its links to other controllers."""
        facts = ElectionFacts(
            self.local_member.name,
            members.section.group,
            calls.controller_count,
            links.watchers,
            links.stall_ms * 1000,
        )
        port = links.port or host_and_port(links.listen)[1]
        seed = self.configuration.seed
        discovery.prepare_links(members, facts, links.listen, port, calls, seed)

    def make_prober(
        self,
        facts: StartFacts,
        directory: Directory,
        clock: Clock,
        telemetry: Telemetry,
        dial_us: int,
        at_once: Callable[[], int],
        put: Callable[[events.Event], None],
    ) -> HealthChecker:
        """The health checker that the file asks for; takes what `HealthChecker` takes.

        Call it after `make_discovery`.
        """
        section = self.feature_file.coldstart
        if section is None or section.probers == 0:
            return HealthChecker(facts, directory, clock, telemetry, dial_us, at_once, put)
        from plankroute.net.probing.shared_prober import SharedHealthChecker

        checker = SharedHealthChecker(facts, directory, clock, telemetry, dial_us, at_once, put)
        controller_count = section.stewards or self.configuration.facts.controller_count
        survey = Survey(self.local_member.name, section.probers, controller_count)
        zones = self.configuration.zones
        shared = self.shared_discovery
        tell = shared.share_health_checks if shared else discard_results
        checker.prepare_survey(survey, zones, self.reachable_controllers, tell)
        if shared:
            shared.result_listener = checker.on_results
        return checker

    def reachable_controllers(self) -> dict[str, str]:
        """Living controllers that results may reach, with their zones; this one among them."""
        if self.members is None or self.shared_discovery is None:
            return {}
        table = self.members.core.table
        own_place = 0
        return {
            table.record_at(place).name: table.record_at(place).zone
            for place in (own_place, *table.living_indexes())
        }

    def attach(self, controller: Controller, directory: Directory, discovery: Discovery) -> None:
        """Connects the warm start; before the first list, and after `make_discovery`."""
        section = self.feature_file.learned
        if section is None:
            return
        from plankroute.net.peers.drain_notices import DrainNoticeOverlay
        from plankroute.net.peers.warm_start import WarmStartService

        shared = self.shared_discovery
        telemetry = self.telemetry
        if shared:
            drain_notices = shared.drain_notices
            group = shared.group
            own_host = host_and_port(shared.listen)[0]
        else:
            drain_notices = DrainNoticeOverlay(directory, telemetry, self.put)
            group = ""
            own_host = ""
        discovery.list_filter = drain_notices.filter_list
        self.warm_start = WarmStartService(
            section, self.local_member.name, group, own_host, telemetry, self.put
        )
        self.warm_start.attach(controller, directory, discovery, drain_notices)
        if shared:
            shared.server.views = self.warm_start.exchange
            self.warm_start.exchange.peers = self.peers

    def peers(self) -> list["Peer"]:
        """Living controllers with the addresses of their links, in the order they are asked."""
        from plankroute.net.peers.snapshot_exchange import Peer, asking_order

        assert self.members and self.shared_discovery
        table = self.members.core.table
        port = self.shared_discovery.port
        hosts = {
            table.record_at(place).name: host_and_port(table.record_at(place).address)[0]
            for place in table.living_indexes()
        }
        names = asking_order(list(hosts), self.local_member.name)
        return [Peer(name, (hosts[name], port)) for name in names]

    async def recall(self) -> None:
        """Reads the snapshot file, before the first proxy can join."""
        if self.warm_start:
            await self.warm_start.load_snapshot_file()

    def start(self) -> None:
        """Starts what runs beside the listener."""
        if self.members:
            self.members.start()
        if self.warm_start:
            self.warm_start.start()

    def reload(self, new: FeatureFile | None) -> list[str]:
        """Takes the seeds of a new file.

        Returns:
            The names of all else that differs, which waits for a restart.
        """
        waiting = [
            name
            for name in self.feature_file.__struct_fields__
            if name != "membership" and getattr(new, name, None) != getattr(self.feature_file, name)
        ]
        has_membership = new is not None and new.membership is not None
        if has_membership != (self.members is not None):
            waiting.append("membership")
        elif self.members and new and new.membership:
            waiting += self.members.reload(new.membership)
        return waiting

    async def close(self) -> None:
        """Hands over and leaves, in the time that operators leave after SIGTERM."""
        closing: list[Coroutine[None, None, None]] = []
        if self.warm_start:
            closing.append(self.warm_start.hand_over())
        if self.members:
            closing.append(self.members.leave())
        await asyncio.gather(*closing)
        if self.backoff_discovery:
            self.backoff_discovery.close()


def local_member(configuration: Configuration) -> LocalMember:
    """This controller as other controllers see it."""
    zones = configuration.zones
    own_zone = configuration.facts.own_zone
    zone_name = zones[own_zone] if own_zone < len(zones) else ""
    return LocalMember(configuration.name, zone_name, configuration.seed)


def call_facts(section: ColdStartSection, configuration: Configuration) -> BackoffFacts:
    """How discovery may be called.

    The number of controllers is as stated in the feature file or in the settings, never as
    membership has it.
    """
    rank = section.rank
    if rank is None:
        rank = configuration.facts.controller_rank
    return BackoffFacts(
        rank=rank,
        controller_count=section.stewards or configuration.facts.controller_count,
        requests_per_second=section.calls_a_second,
        max_pause_us=int(section.pause_most_s * 1e6),
        max_retry_after_us=int(section.retry_after_most_s * 1e6),
    )


def discard_results(frame: HealthCheckResults) -> None:
    """Where there are no links, results of health checks stay with this controller."""
