"""Turns messages of a connection into events, where the sender may send them."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from plankroute.events import events
from plankroute.net.discovery.directory import Directory
from plankroute.net.process.errors import Rejection, RejectionStage
from plankroute.net.proxies.messages import (
    AckMessage,
    CollectorMessage,
    DemandMessage,
    HelloMessage,
    InboundMessage,
    LivenessCheckMessage,
    OutcomesMessage,
)

# Some minutes' worth: a stalled session must not gather them without end.
MAX_UNACKNOWLEDGED = 4096


class Role(Enum):
    """What a peer has identified itself as."""

    UNIDENTIFIED = "unidentified"
    LIVENESS_CHECK = "liveness check"
    COLLECTOR = "collector"
    PROXY = "proxy"


def _sequence_numbers() -> deque[int]:
    return deque(maxlen=MAX_UNACKNOWLEDGED)


@dataclass(eq=False, slots=True)
class PeerIdentity:
    """The peer of one connection, as far as it has identified itself.

    Attributes:
        role: What it is.
        proxy: Number of the proxy, if it is one.
        zone: Index of the zone, if it is a collector.
        has_reported: A collector that has sent outcomes.
        unacknowledged: Sequence numbers sent to it, in order, that it has not acknowledged.
    """

    role: Role = Role.UNIDENTIFIED
    proxy: int | None = None
    zone: int | None = None
    has_reported: bool = False
    unacknowledged: deque[int] = field(default_factory=_sequence_numbers)

    def is_unidentified(self) -> bool:
        """Whether it has not said that it is a proxy or a collector."""
        return self.role in (Role.UNIDENTIFIED, Role.LIVENESS_CHECK)


def _reject(reason: str) -> Rejection:
    return Rejection(RejectionStage.ADMISSION, reason)


class Admission:
    """The first message makes a peer a proxy or a collector; each may send only what is its own.

    Args:
        directory: Names of hosts, zones and request classes.
        proxy_count: Proxies have numbers below it.
        max_latency_us: No attempt that was answered can have taken longer.
    """

    def __init__(self, directory: Directory, proxy_count: int, max_latency_us: int) -> None:
        self.directory = directory
        self.proxy_count = proxy_count
        self.max_latency_us = max_latency_us
        self.joined = set[int]()  # proxies that are joined, as the sessions have it

    def admit(
        self, identity: PeerIdentity, message: InboundMessage
    ) -> events.Event | Rejection | None:
        """Returns the message's event, a rejection, or None where there is nothing to record."""
        match message:
            case LivenessCheckMessage():
                if identity.role is Role.UNIDENTIFIED:
                    identity.role = Role.LIVENESS_CHECK
                return None
            case CollectorMessage():
                return self._admit_collector(identity, message)
            case HelloMessage():
                return self._admit_hello(identity, message)
            case AckMessage():
                return self._admit_ack(identity, message)
            case OutcomesMessage():
                return self._admit_outcomes(identity, message)
            case DemandMessage():
                return self._admit_demand(identity, message)

    def _admit_collector(
        self, identity: PeerIdentity, message: CollectorMessage
    ) -> Rejection | None:
        if identity.role is Role.PROXY:
            return _reject("a collector's line in a session")
        if message.zone not in self.directory.zones:
            return _reject("zone not known")
        identity.role = Role.COLLECTOR
        identity.zone = self.directory.zones[message.zone]
        return None

    def _admit_hello(
        self, identity: PeerIdentity, message: HelloMessage
    ) -> events.Event | Rejection:
        if not identity.is_unidentified():
            return _reject("hello is not the first message")
        if message.proxy >= self.proxy_count or message.zone not in self.directory.zones:
            return _reject("proxy or zone not known")
        identity.role = Role.PROXY
        identity.proxy = message.proxy
        zone = self.directory.zones[message.zone]
        return events.ProxyJoined(message.proxy, zone, message.usual_rate, message.is_fresh)

    def _admit_ack(self, identity: PeerIdentity, message: AckMessage) -> events.Event | Rejection:
        """Messages are acknowledged in order: one acknowledgement covers all before it."""
        if (
            identity.role is not Role.PROXY
            or message.proxy != identity.proxy
            or message.sequence_number not in identity.unacknowledged
        ):
            return _reject("acknowledgement of nothing that was sent")
        while identity.unacknowledged.popleft() != message.sequence_number:
            pass
        return events.Acknowledged(message.proxy, message.sequence_number, message.elapsed_us)

    def _admit_outcomes(
        self, identity: PeerIdentity, message: OutcomesMessage
    ) -> events.Event | Rejection:
        host = self.directory.ids.get(message.host)
        zone = self.directory.zones.get(message.zone)
        if identity.role is not Role.COLLECTOR:
            return _reject("outcomes from no collector")
        if host is None or zone is None:
            return _reject("host or zone not known")
        if message.failed > message.attempts or message.mean_latency_us > self.max_latency_us:
            return _reject("impossible outcomes")
        identity.has_reported = True
        return events.HostRequestStats(
            host,
            zone,
            message.attempts,
            message.failed,
            message.mean_latency_us,
            message.span_us,
            message.load_report,
        )

    def _admit_demand(
        self, identity: PeerIdentity, message: DemandMessage
    ) -> events.Event | Rejection:
        request_class = self.directory.request_classes.get(message.request_class)
        is_own = identity.role is Role.PROXY and identity.proxy == message.proxy
        if not is_own and identity.role is not Role.COLLECTOR:
            return _reject("demand of another proxy")
        if request_class is None or message.proxy not in self.joined:
            return _reject("request class not known, or proxy not joined")
        return events.ProxyRequestStats(
            message.proxy, request_class, message.arrived, message.failed, message.span_us
        )
