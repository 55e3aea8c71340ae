"""Admit: what a line says becomes a note, if its names are known and its peer may say it."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import ClassVar

from plankroute.events import events
from plankroute.net.discovery.directory import Directory
from plankroute.net.process.errors import Refused, Stage
from plankroute.net.proxies import line_codec as wire


class Role(Enum):
    """What a peer has shown itself to be."""

    STRANGER = "stranger"
    ASKER = "asker"
    COLLECTOR = "collector"
    PROXY = "proxy"


@dataclass(eq=False, slots=True)
class Party:
    """One connection's other end, as far as it has said."""

    MOST_MARKS: ClassVar[int] = (
        4096  # some minutes' worth: a silent stream must not gather them without end
    )

    role: Role = Role.STRANGER
    proxy: int | None = None
    zone: int | None = None  # a collector's
    has_told: bool = False  # it has brought sums
    marks: deque[int] = field(
        default_factory=lambda: deque(maxlen=Party.MOST_MARKS)
    )  # not yet answered


def refused(why: str) -> Refused:
    return Refused(Stage.ADMIT, why)


class Admission:
    """A peer's first word makes it a proxy or a collector; each may say only what is its own."""

    def __init__(self, directory: Directory, proxies: int, longest_us: int) -> None:
        self.directory, self.proxies = directory, proxies
        self.longest_us = longest_us  # no try that was answered can have taken longer
        self.joined = set[int]()  # kept by the streams: proxies that are joined

    def admit(self, party: Party, said: wire.Said) -> events.Event | Refused | None:
        """None where nothing is to be noted."""
        match said:
            case wire.Asked():
                if party.role is Role.STRANGER:
                    party.role = Role.ASKER
                return None
            case wire.CollectorSaid():
                return self.collector(party, said)
            case wire.HelloSaid():
                return self.hello(party, said)
            case wire.AppliedSaid():
                return self.applied(party, said)
            case wire.HostSaid():
                return self.host(party, said)
            case wire.TrafficSaid():
                return self.traffic(party, said)

    def collector(self, party: Party, said: wire.CollectorSaid) -> Refused | None:
        if party.role is Role.PROXY:
            return refused("a collector's line on a stream")
        if said.zone not in self.directory.zones:
            return refused("zone not known")
        party.role, party.zone = Role.COLLECTOR, self.directory.zones[said.zone]
        return None

    def hello(self, party: Party, said: wire.HelloSaid) -> events.Event | Refused:
        if party.role not in (Role.STRANGER, Role.ASKER):
            return refused("hello is not the first word")
        if said.proxy >= self.proxies or said.zone not in self.directory.zones:
            return refused("proxy or zone not known")
        party.role, party.proxy = Role.PROXY, said.proxy
        return events.ProxyJoined(
            said.proxy, self.directory.zones[said.zone], said.usual_rate, said.fresh
        )

    def applied(self, party: Party, said: wire.AppliedSaid) -> events.Event | Refused:
        """Marks are answered in order: an answer also tells of those before it."""
        if (
            party.role is not Role.PROXY
            or said.proxy != party.proxy
            or said.sequence_number not in party.marks
        ):
            return refused("answer to no mark")
        while party.marks.popleft() != said.sequence_number:
            pass
        return events.Acknowledged(said.proxy, said.sequence_number, said.elapsed_us)

    def host(self, party: Party, said: wire.HostSaid) -> events.Event | Refused:
        host, zone = self.directory.ids.get(said.host), self.directory.zones.get(said.zone)
        if party.role is not Role.COLLECTOR:
            return refused("sums from no collector")
        if host is None or zone is None:
            return refused("host or zone not known")
        if said.failed > said.attempts or said.mean_latency_us > self.longest_us:
            return refused("sums that can't be")
        party.has_told = True
        return events.HostRequestStats(
            host, zone, said.attempts, said.failed, said.mean_latency_us, said.span_us, said.report
        )

    def traffic(self, party: Party, said: wire.TrafficSaid) -> events.Event | Refused:
        product = self.directory.products.get(said.product)
        own = party.role is Role.PROXY and party.proxy == said.proxy
        if not own and party.role is not Role.COLLECTOR:
            return refused("traffic of another")
        if product is None or said.proxy not in self.joined:
            return refused("product not known, or proxy not joined")
        return events.ProxyRequestStats(
            said.proxy, product, said.arrived, said.failed, said.span_us
        )
