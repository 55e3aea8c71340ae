"""Creates the features that the feature file enables; imported only if there is a feature file."""

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
    """The optional features of one process; a feature is None if its section is missing.

    Attributes:
        members: Failure detection among controllers.
        backoff_discovery: Discovery with backoff; the same object as `shared_discovery` if that is
            set.
        shared_discovery: Discovery that also receives the endpoint list from other controllers.
        warm_start: Storage and exchange of prior knowledge of hosts.

    Args:
        feature_file: The enabled features and their settings.
        configuration: The configuration of this controller.
        telemetry: Counters and log.
        submit: Hands an event to the core.
    """

    def __init__(
        self,
        feature_file: FeatureFile,
        configuration: Configuration,
        telemetry: Telemetry,
        submit: Callable[[events.Event], None],
    ) -> None:
        self.feature_file = feature_file
        self.configuration = configuration
        self.telemetry = telemetry
        self.submit = submit
        self.local_member = local_member(configuration)
        self.members: MembershipService | None = None
        if feature_file.membership:
            self.members = MembershipService(
                feature_file.membership, self.local_member, telemetry, submit
            )
        self.backoff_discovery: BackoffDiscovery | None = None
        self.shared_discovery: SharedDiscovery | None = None
        self.warm_start: WarmStartService | None = None

    def make_discovery(
        self,
        address: str,
        max_list_bytes: int,
        directory: Directory,
        telemetry: Telemetry,
        seed: int,
        is_command_driven: bool,
        submit: Callable[[events.Event], None],
    ) -> Discovery:
        """Returns the discovery that the feature file selects.

        The arguments are those of `Discovery`.
        """
        section = self.feature_file.coldstart
        if section is None:
            return Discovery(
                address, max_list_bytes, directory, telemetry, seed, is_command_driven, submit
            )
        backoff = backoff_facts(section, self.configuration)
        discovery: BackoffDiscovery
        if section.links is None or self.members is None:
            discovery = BackoffDiscovery(
                address, max_list_bytes, directory, telemetry, seed, is_command_driven, submit
            )
        else:
            from plankroute.net.peers.shared_discovery import SharedDiscovery

            discovery = SharedDiscovery(
                address, max_list_bytes, directory, telemetry, seed, is_command_driven, submit
            )
            self.prepare_links(discovery, self.members, section.links, backoff)
            self.shared_discovery = discovery
        discovery.prepare(backoff, int(section.list_old_s * 1e6), self.configuration.seed)
        self.backoff_discovery = discovery
        return discovery

    def prepare_links(
        self,
        discovery: "SharedDiscovery",
        members: MembershipService,
        links: LinksSection,
        backoff: BackoffFacts,
    ) -> None:
        """Configures the links of shared discovery to other controllers."""
        facts = ElectionFacts(
            self.local_member.name,
            members.section.group,
            backoff.controller_count,
            links.watchers,
            links.stall_ms * 1000,
        )
        port = links.port or host_and_port(links.listen)[1]
        seed = self.configuration.seed
        discovery.prepare_links(members, facts, links.listen, port, backoff, seed)

    def make_prober(
        self,
        facts: StartFacts,
        directory: Directory,
        clock: Clock,
        telemetry: Telemetry,
        connect_timeout_us: int,
        capacity: Callable[[], int],
        submit: Callable[[events.Event], None],
    ) -> HealthChecker:
        """Returns the health checker that the feature file selects.

        Must be called after `make_discovery`. The arguments are those of `HealthChecker`.
        """
        section = self.feature_file.coldstart
        if section is None or section.probers == 0:
            return HealthChecker(
                facts, directory, clock, telemetry, connect_timeout_us, capacity, submit
            )
        from plankroute.net.probing.shared_prober import SharedHealthChecker

        checker = SharedHealthChecker(
            facts, directory, clock, telemetry, connect_timeout_us, capacity, submit
        )
        controller_count = section.stewards or self.configuration.facts.controller_count
        survey = Survey(self.local_member.name, section.probers, controller_count)
        zones = self.configuration.zones
        shared = self.shared_discovery
        share = shared.share_health_checks if shared else discard_results
        checker.prepare_survey(survey, zones, self.reachable_controllers, share)
        if shared:
            shared.result_listener = checker.on_results
        return checker

    def reachable_controllers(self) -> dict[str, str]:
        """Returns the zones of the controllers that can receive health check results, by name.

        Includes this controller. Empty without membership or without links.
        """
        if self.members is None or self.shared_discovery is None:
            return {}
        table = self.members.core.table
        own_index = 0
        return {
            table.record_at(index).name: table.record_at(index).zone
            for index in (own_index, *table.living_indexes())
        }

    def attach(self, controller: Controller, directory: Directory, discovery: Discovery) -> None:
        """Creates the warm-start service and connects it to the core and to discovery.

        Must be called after `make_discovery` and before the first endpoint list arrives.
        """
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
            own_link_host = host_and_port(shared.listen)[0]
        else:
            drain_notices = DrainNoticeOverlay(directory, telemetry, self.submit)
            group = ""
            own_link_host = ""
        discovery.list_filter = drain_notices.filter_list
        self.warm_start = WarmStartService(
            section, self.local_member.name, group, own_link_host, telemetry, self.submit
        )
        self.warm_start.attach(controller, directory, discovery, drain_notices)
        if shared:
            shared.server.snapshot_store = self.warm_start.exchange
            self.warm_start.exchange.peers = self.peers

    def peers(self) -> list["Peer"]:
        """Returns live controllers and their link addresses, in the order of snapshot requests."""
        from plankroute.net.peers.snapshot_exchange import Peer, asking_order

        assert self.members and self.shared_discovery
        table = self.members.core.table
        port = self.shared_discovery.port
        hosts = {
            table.record_at(index).name: host_and_port(table.record_at(index).address)[0]
            for index in table.living_indexes()
        }
        names = asking_order(list(hosts), self.local_member.name)
        return [Peer(name, (hosts[name], port)) for name in names]

    async def load_snapshot(self) -> None:
        """Loads the snapshot file; must be called before the first proxy can join."""
        if self.warm_start:
            await self.warm_start.load_snapshot_file()

    def start(self) -> None:
        """Starts the features that run while the listener serves connections."""
        if self.members:
            self.members.start()
        if self.warm_start:
            self.warm_start.start()

    def reload(self, new: FeatureFile | None) -> list[str]:
        """Applies the membership seeds of a new feature file; nothing else can change at run time.

        Returns:
            The names of all other sections and fields that differ and need a restart.
        """
        needs_restart = [
            name
            for name in self.feature_file.__struct_fields__
            if name != "membership" and getattr(new, name, None) != getattr(self.feature_file, name)
        ]
        has_membership = new is not None and new.membership is not None
        if has_membership != (self.members is not None):
            needs_restart.append("membership")
        elif self.members and new and new.membership:
            needs_restart += self.members.reload(new.membership)
        return needs_restart

    async def close(self) -> None:
        """Hands over prior knowledge and leaves the group at the same time, then closes discovery.

        The caller limits the duration, since operators allow little time after SIGTERM.
        """
        closing: list[Coroutine[None, None, None]] = []
        if self.warm_start:
            closing.append(self.warm_start.hand_over())
        if self.members:
            closing.append(self.members.leave())
        await asyncio.gather(*closing)
        if self.backoff_discovery:
            self.backoff_discovery.close()


def local_member(configuration: Configuration) -> LocalMember:
    """Returns the name, zone and seed with which this controller joins its group."""
    zones = configuration.zones
    own_zone = configuration.facts.own_zone
    zone_name = zones[own_zone] if own_zone < len(zones) else ""
    return LocalMember(configuration.name, zone_name, configuration.seed)


def backoff_facts(section: ColdStartSection, configuration: Configuration) -> BackoffFacts:
    """Returns the rate limits and backoff bounds of requests to the discovery service.

    The number of controllers comes from the feature file or the settings, never from membership.
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
    """Discards health check results; used without links, when no controller can receive them."""
