"""Checks that a peer may send a message and converts the message into a core event."""

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

# Bounds the memory of a stalled session. Holds the sequence numbers of a few minutes.
MAX_UNACKNOWLEDGED = 4096


class Role(Enum):
    """The kind of peer, as identified by the messages it has sent."""

    UNIDENTIFIED = "unidentified"
    LIVENESS_CHECK = "liveness check"
    COLLECTOR = "collector"
    PROXY = "proxy"


def _new_sequence_number_queue() -> deque[int]:
    return deque(maxlen=MAX_UNACKNOWLEDGED)


@dataclass(eq=False, slots=True)
class PeerIdentity:
    """What is known about the peer of one connection.

    Attributes:
        role: The kind of peer.
        proxy: Id of the proxy; None unless the role is PROXY.
        zone: Zone index of the collector; None unless the role is COLLECTOR.
        has_reported: Whether this peer, a collector, has sent outcomes.
        unacknowledged: Sequence numbers sent to the proxy and not yet acknowledged, oldest first.
    """

    role: Role = Role.UNIDENTIFIED
    proxy: int | None = None
    zone: int | None = None
    has_reported: bool = False
    unacknowledged: deque[int] = field(default_factory=_new_sequence_number_queue)

    def is_unidentified(self) -> bool:
        """Returns whether the peer has not yet identified itself as a proxy or a collector."""
        return self.role in (Role.UNIDENTIFIED, Role.LIVENESS_CHECK)

    def awaited(self) -> int | None:
        """Returns the oldest unacknowledged sequence number, or None if there is none."""
        return self.unacknowledged[0] if self.unacknowledged else None


def _reject(reason: str) -> Rejection:
    return Rejection(RejectionStage.ADMISSION, reason)


class Admission:
    """Assigns roles to peers and rejects messages that a peer's role does not permit.

    The first message other than a liveness check identifies a peer as a proxy or a collector. From
    then on a proxy may send its own acknowledgements and demand; a collector may send outcomes and
    the demand of any joined proxy.

    Args:
        directory: Maps host, zone and request class names to ids.
        proxy_count: Number of proxies; valid proxy ids are below it.
        max_latency_us: Upper bound of a valid mean latency, in microseconds. No answered attempt
            can take longer.
    """

    def __init__(self, directory: Directory, proxy_count: int, max_latency_us: int) -> None:
        self.directory = directory
        self.proxy_count = proxy_count
        self.max_latency_us = max_latency_us
        self.joined = set[int]()  # shared with `Sessions`, which updates it

    def admit(
        self, identity: PeerIdentity, message: InboundMessage
    ) -> events.Event | Rejection | None:
        """Returns the event for a message, a rejection, or None if the message yields no event."""
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
            return _reject("collector message in a proxy session")
        if message.zone not in self.directory.zones:
            return _reject("unknown zone")
        identity.role = Role.COLLECTOR
        identity.zone = self.directory.zones[message.zone]
        return None

    def _admit_hello(
        self, identity: PeerIdentity, message: HelloMessage
    ) -> events.Event | Rejection:
        if not identity.is_unidentified():
            return _reject("hello is not the first message")
        if message.proxy >= self.proxy_count or message.zone not in self.directory.zones:
            return _reject("unknown proxy or zone")
        identity.role = Role.PROXY
        identity.proxy = message.proxy
        zone = self.directory.zones[message.zone]
        return events.ProxyJoined(message.proxy, zone, message.usual_rate, message.is_fresh)

    def _admit_ack(self, identity: PeerIdentity, message: AckMessage) -> events.Event | Rejection:
        """Admits an acknowledgement, which also covers all earlier sequence numbers.

        Proxies acknowledge messages in the order in which they were sent.
        """
        if (
            identity.role is not Role.PROXY
            or message.proxy != identity.proxy
            or message.sequence_number not in identity.unacknowledged
        ):
            return _reject("acknowledgement of a sequence number that is not outstanding")
        while identity.unacknowledged.popleft() != message.sequence_number:
            pass
        return events.Acknowledged(message.proxy, message.sequence_number, message.elapsed_us)

    def _admit_outcomes(
        self, identity: PeerIdentity, message: OutcomesMessage
    ) -> events.Event | Rejection:
        host = self.directory.ids.get(message.host)
        zone = self.directory.zones.get(message.zone)
        if identity.role is not Role.COLLECTOR:
            return _reject("outcomes from a peer that is not a collector")
        if host is None or zone is None:
            return _reject("unknown host or zone")
        if message.failed > message.attempts or message.mean_latency_us > self.max_latency_us:
            return _reject("more failures than attempts, or mean latency above the maximum")
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
        is_own_demand = identity.role is Role.PROXY and identity.proxy == message.proxy
        if not is_own_demand and identity.role is not Role.COLLECTOR:
            return _reject("demand for another proxy")
        if request_class is None or message.proxy not in self.joined:
            return _reject("unknown request class, or proxy not joined")
        return events.ProxyRequestStats(
            message.proxy, request_class, message.arrived, message.failed, message.span_us
        )
