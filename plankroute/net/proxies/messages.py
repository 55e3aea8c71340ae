"""Messages that proxies, collectors and monitors send to the controller, as typed values."""

from dataclasses import dataclass

from plankroute.events.events import LoadReport


@dataclass(frozen=True, slots=True)
class LivenessCheckMessage:
    """A request to confirm that the controller is alive."""


@dataclass(frozen=True, slots=True)
class CollectorMessage:
    """A collector identifies itself and names its zone."""

    zone: str


@dataclass(frozen=True, slots=True)
class HelloMessage:
    """A proxy opens its session.

    Attributes:
        proxy: Id of the proxy.
        zone: Name of its zone.
        usual_rate: Requests per second that it usually serves.
        is_fresh: Whether it has just started and holds no tables yet.
    """

    proxy: int
    zone: str
    usual_rate: float
    is_fresh: bool


@dataclass(frozen=True, slots=True)
class AckMessage:
    """A proxy acknowledges a message.

    Attributes:
        proxy: Id of the proxy.
        sequence_number: Sequence number of the acknowledged message.
        elapsed_us: Time from the message to its application at the proxy, in microseconds.
    """

    proxy: int
    sequence_number: int
    elapsed_us: int


@dataclass(frozen=True, slots=True)
class OutcomesMessage:
    """Attempts by the proxies of one zone at one host within a time span.

    Attributes:
        zone: Name of the zone.
        host: Name of the host.
        attempts: Number of attempts that ended in the span.
        failed: Number of these attempts that failed.
        mean_latency_us: Mean latency of the other attempts in microseconds; 0 if not reported.
        span_us: Length of the span in microseconds.
        load_report: Last load report of the host, or None if there is none.
    """

    zone: str
    host: str
    attempts: int
    failed: int
    mean_latency_us: int
    span_us: int
    load_report: LoadReport | None


@dataclass(frozen=True, slots=True)
class DemandMessage:
    """Requests of one request class at one proxy within a time span.

    Attributes:
        proxy: Id of the proxy.
        request_class: Name of the request class.
        arrived: Number of requests that arrived in the span.
        failed: Number of admitted requests that were not served.
        span_us: Length of the span in microseconds.
    """

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
