"""Messages that proxies, collectors and monitors send to the controller, as typed values."""

from dataclasses import dataclass

from plankroute.events.events import LoadReport


@dataclass(frozen=True, slots=True)
class LivenessCheckMessage:
    """Asks whether the controller is alive."""


@dataclass(frozen=True, slots=True)
class CollectorMessage:
    """A collector names its zone."""

    zone: str


@dataclass(frozen=True, slots=True)
class HelloMessage:
    """A proxy opens its session.

    Attributes:
        proxy: Number of the proxy.
        zone: Name of its zone.
        usual_rate: Requests a second that it usually serves.
        is_fresh: It has just started and holds no tables.
    """

    proxy: int
    zone: str
    usual_rate: float
    is_fresh: bool


@dataclass(frozen=True, slots=True)
class AckMessage:
    """A proxy acknowledges the message with a sequence number."""

    proxy: int
    sequence_number: int
    elapsed_us: int


@dataclass(frozen=True, slots=True)
class OutcomesMessage:
    """Requests of a zone's proxies to one host within a span of time."""

    zone: str
    host: str
    attempts: int
    failed: int
    mean_latency_us: int
    span_us: int
    load_report: LoadReport | None


@dataclass(frozen=True, slots=True)
class DemandMessage:
    """Requests of one class that arrived at a proxy within a span of time."""

    proxy: int
    request_class: str
    arrived: int
    failed: int
    span_us: int


InboundMessage = (
    LivenessCheckMessage
    | CollectorMessage
    | HelloMessage
    | AckMessage
    | OutcomesMessage
    | DemandMessage
)
