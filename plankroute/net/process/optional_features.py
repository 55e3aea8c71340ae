"""What our own file switches on, put together. Imported only where there is such a file."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from plankroute.cold_start.backoff import BackoffFacts
from plankroute.cold_start.election_messages import ElectionFacts
from plankroute.cold_start.link_codec import HealthCheckResults
from plankroute.cold_start.probe_sharing import Survey
from plankroute.config.feature_file import ColdStartSection, FeatureFile
from plankroute.controller.controller import Controller
from plankroute.events import events
from plankroute.net.discovery.backoff_watch import BackoffDiscovery
from plankroute.net.discovery.directory import Directory
from plankroute.net.discovery.watch import Discovery
from plankroute.net.peers.membership import LocalMember, MembershipService
from plankroute.net.probing.prober import HealthChecker
from plankroute.net.process.address import host_and_port
from plankroute.net.process.configuration import Configuration
from plankroute.net.process.telemetry import Telemetry

if TYPE_CHECKING:
    from plankroute.net.peers.shared_discovery import SharedDiscovery
    from plankroute.net.peers.warm_start import WarmStartService


class OptionalFeatures:
    """Each part is there, or None where its section is missing."""

    def __init__(
        self,
        own: FeatureFile,
        configuration: Configuration,
        telemetry: Telemetry,
        put: Callable[[events.Event], None],
    ) -> None:
        self.own, self.configuration, self.telemetry, self.put = own, configuration, telemetry, put
        zones, zone = configuration.zones, configuration.facts.own_zone
        self.me = LocalMember(
            configuration.name, zones[zone] if zone < len(zones) else "", configuration.seed
        )
        self.members = (
            MembershipService(own.membership, self.me, telemetry, put) if own.membership else None
        )
        self.careful: BackoffDiscovery | None = None
        self.shared: SharedDiscovery | None = None
        self.learned: WarmStartService | None = None

    def make_discovery(self, *words: Any) -> Discovery:
        """Takes what a Discovery takes."""
        if (part := self.own.coldstart) is None:
            return Discovery(*words)
        calls, seed = call_facts(part, self.configuration), self.configuration.seed
        if part.links is None or self.members is None:
            self.careful = BackoffDiscovery(*words)
        else:
            from plankroute.net.peers.shared_discovery import SharedDiscovery

            self.careful = self.shared = shared = SharedDiscovery(*words)
            facts = ElectionFacts(
                self.me.name,
                self.members.part.group,
                calls.controller_count,
                part.links.watchers,
                part.links.stall_ms * 1000,
            )
            port = part.links.port or host_and_port(part.links.listen)[1]
            shared.prepare_links(self.members, facts, part.links.listen, port, calls, seed)
        self.careful.prepare(calls, int(part.list_old_s * 1e6), seed)
        return self.careful

    def make_prober(self, *words: Any) -> HealthChecker:
        """Takes what a Prober takes; after `make_discovery`."""
        if (part := self.own.coldstart) is None or part.probers == 0:
            return HealthChecker(*words)
        from plankroute.net.probing.shared_prober import SharedHealthChecker

        prober, shared = SharedHealthChecker(*words), self.shared
        survey = Survey(
            self.me.name, part.probers, part.stewards or self.configuration.facts.controller_count
        )
        prober.prepare_survey(
            survey,
            self.configuration.zones,
            self.living,
            shared.share_health_checks if shared else drop,
        )
        if shared:
            shared.result_listener = prober.on_results
        return prober

    def living(self) -> dict[str, str]:
        """All stewards that are there and whom results may reach, with their zones; this one among them."""
        if self.members is None or self.shared is None:
            return {}
        table = self.members.core.table
        return {
            table.record_at(place).name: table.record_at(place).zone
            for place in (0, *table.living_indexes())
        }

    def attach(self, controller: Controller, directory: Directory, discovery: Discovery) -> None:
        """Before the first list; after `make_discovery`."""
        if (part := self.own.learned) is None:
            return
        from plankroute.net.peers.drain_notices import DrainNoticeOverlay
        from plankroute.net.peers.warm_start import WarmStartService

        shared, telemetry = self.shared, self.telemetry
        ahead = (
            shared.drain_notices if shared else DrainNoticeOverlay(directory, telemetry, self.put)
        )
        discovery.list_filter = ahead.filter_list
        group, own_host = (shared.group, host_and_port(shared.listen)[0]) if shared else ("", "")
        self.learned = WarmStartService(part, self.me.name, group, own_host, telemetry, self.put)
        self.learned.attach(controller, directory, discovery, ahead)
        if shared:
            shared.server.views, self.learned.peers = self.learned, self.peers

    def peers(self) -> list[tuple[str, tuple[str, int]]]:
        """Living members with their links' addresses, as this steward asks them."""
        from plankroute.net.peers.warm_start import in_order

        assert self.members and self.shared
        table = self.members.core.table
        hosts = {
            table.record_at(place).name: host_and_port(table.record_at(place).address)[0]
            for place in table.living_indexes()
        }
        return [
            (name, (hosts[name], self.shared.port)) for name in in_order(list(hosts), self.me.name)
        ]

    async def recall(self) -> None:
        if self.learned:
            await self.learned.recall()

    def start(self) -> None:
        if self.members:
            self.members.start()
        if self.learned:
            self.learned.start()

    def reload(self, own: FeatureFile | None) -> list[str]:
        """Seeds change; the names of what else differs, which waits for a restart."""
        kept = [
            name
            for name in self.own.__struct_fields__
            if name != "membership" and getattr(own, name, None) != getattr(self.own, name)
        ]
        if (self.members is None) != (own is None or own.membership is None):
            kept.append("membership")
        elif self.members and own and own.membership:
            kept += self.members.reload(own.membership)
        return kept

    async def close(self) -> None:
        """In what operators leave after SIGTERM: what is learned is handed over meanwhile."""
        last = [self.learned.hand_over()] if self.learned else []
        if self.members:
            last.append(self.members.leave())
        await asyncio.gather(*last)
        if self.careful:
            self.careful.close()


def call_facts(part: ColdStartSection, configuration: Configuration) -> BackoffFacts:
    """The number of stewards is as stated, in our file or in the settings: never as membership has it."""
    return BackoffFacts(
        rank=configuration.facts.controller_rank if part.rank is None else part.rank,
        controller_count=part.stewards or configuration.facts.controller_count,
        requests_per_second=part.calls_a_second,
        max_pause_us=int(part.pause_most_s * 1e6),
        max_retry_after_us=int(part.retry_after_most_s * 1e6),
    )


def drop(frame: HealthCheckResults) -> None:
    """Where there are no links, results are a steward's own."""
