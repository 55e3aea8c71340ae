"""Events that reach a controller.

Hosts, proxies, zones and machine types are named by the numbers that the adapter uses outside;
request classes (the operators' products) by their index in `StartFacts.request_classes`. Times
whose name ends in `_us` are in microseconds.

The values of `HostState` and `HealthCheckOutcome` are sent between controllers and to the log: they
must not change, whatever the members are called.
"""

from dataclasses import dataclass
from enum import Enum


class HostState(Enum):
    """State of a host in the host list; values are sent between controllers."""

    READY = "ready"
    DRAINING = "draining"  # it shuts down: no new requests
    GONE = "gone"  # no longer listed, or said to be gone


class ListKind(Enum):
    """What a host list holds; values appear in the log."""

    CACHED = "cached"  # the whole list as it was kept from earlier, maybe out of date
    FULL = "full"  # the whole list as it is now
    CHANGES = "changes"  # only the entries that have changed
    FAILED = "failed"  # nothing: the list could not be had


class HealthCheckOutcome(Enum):
    """How a health check of a host ended; values are sent between controllers."""

    ANSWERED = "answered"
    ERROR = "error"  # an answer that tells of a fault
    REJECTED = "turned away"  # it drains, or is asked too often
    TIMED_OUT = "silent"  # connected, but no answer in time
    UNREACHABLE = "unreached"  # no connection


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A host's own figures; None where the report does not hold one.

    Attributes:
        in_flight: Requests that it works on.
        queue_length: Requests that wait in it.
        utilization: Share of its capacity in use.
        service_time_us: Mean time that it takes for a request, in microseconds.
        request_rate: Requests a second.
        error_rate: Failed requests a second.
    """

    in_flight: float | None = None
    queue_length: float | None = None
    utilization: float | None = None
    service_time_us: float | None = None
    request_rate: float | None = None
    error_rate: float | None = None


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One host as the host list has it.

    Attributes:
        host: Its id.
        state: Whether it may be used.
        zone: Where it is.
        machine_type: What it runs on.
        cell: A few hosts of one zone that share idempotency keys.
        listed_weight: Its stated size, or 0 if none is stated.
        started_us: When it started, on the controller's clock; 0 where that lies long ago.
        name_order: Orders hosts as their names do, the same at every controller; 0: its id does.
    """

    host: int
    state: HostState
    zone: int
    machine_type: int
    cell: int
    listed_weight: float
    started_us: int
    name_order: int = 0


@dataclass(frozen=True, slots=True)
class HostList:
    """The host list, or changes of it.

    Attributes:
        kind: What the entries are; a host that a whole list does not name is gone.
        entries: The hosts.
    """

    kind: ListKind
    entries: tuple[HostEntry, ...]


@dataclass(frozen=True, slots=True)
class ProxyJoined:
    """A proxy opened its stream to this controller.

    Attributes:
        proxy: Its id.
        zone: Where it is.
        usual_rate: Requests a second that it usually gets, or 0 if unknown.
        fresh: It holds only the tables that it began with; otherwise what this or another
            controller has sent it before.
    """

    proxy: int
    zone: int
    usual_rate: float
    fresh: bool


@dataclass(frozen=True, slots=True)
class ProxyLeft:
    """A proxy's stream ended."""

    proxy: int


@dataclass(frozen=True, slots=True)
class HostRequestStats:
    """What the joined proxies of a zone met at a host.

    Attributes:
        host: The host.
        zone: The proxies' zone.
        attempts: Attempts that ended in the span.
        failed: Those of them that failed.
        mean_latency_us: Mean latency of the others, in microseconds.
        span_us: The time that the sums cover.
        report: The host's last load report, if its responses carry any.
    """

    host: int
    zone: int
    attempts: int
    failed: int
    mean_latency_us: float
    span_us: int
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class ProxyRequestStats:
    """Requests of one class that came to a proxy.

    Attributes:
        proxy: The proxy.
        request_class: The request class.
        arrived: Requests that came in the span.
        failed: Requests that were admitted and not served.
        span_us: The time that the sums cover.
    """

    proxy: int
    request_class: int
    arrived: int
    failed: int
    span_us: int


@dataclass(frozen=True, slots=True)
class SliceRequestStats:
    """Requests of one class whose keys fall into a slice; sites with slices only.

    Attributes:
        slice: The slice of the key space.
        request_class: The request class.
        arrived: Requests that came in the span.
        failed: Requests that were admitted and not served.
        span_us: The time that the sums cover.
    """

    slice: int
    request_class: int
    arrived: int
    failed: int
    span_us: int


@dataclass(frozen=True, slots=True)
class SliceAssignment:
    """A slice is assigned to this controller, or taken from it.

    Attributes:
        slice: The slice of the key space.
        given: Whether it is this controller's from now on.
    """

    slice: int
    given: bool


@dataclass(frozen=True, slots=True)
class SliceRoute:
    """A route that the store already has for a slice that was just assigned.

    Attributes:
        slice: The slice of the key space.
        host: The host.
        weight: Its weight.
    """

    slice: int
    host: int
    weight: float


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A proxy applied all that was written to it up to a `RequestAcknowledgement`.

    Attributes:
        proxy: The proxy.
        sequence_number: As in the request.
        elapsed_us: The time from the request to the proxy's having applied it.
    """

    proxy: int
    sequence_number: int
    elapsed_us: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """How a health check ended.

    Attributes:
        host: The host.
        outcome: How it ended.
        elapsed_us: The time that it took.
        report: The load report in the answer, if there is one.
        age_us: How long ago it was, where another controller's check told it.
    """

    host: int
    outcome: HealthCheckOutcome
    elapsed_us: int
    report: LoadReport | None
    age_us: int = 0


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another controller.

    Attributes:
        sender: Its rank.
        data: The bytes.
    """

    sender: int
    data: bytes


class ControllerState(Enum):
    """What membership makes of another controller."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    GONE = "gone"  # held to have crashed or been cut off
    LEFT = "left"  # it said that it leaves


@dataclass(frozen=True, slots=True)
class ControllerStatus:
    """What membership makes of another controller. It may be wrong: no decision may rest on it.

    Attributes:
        controller: A number made from its name.
        state: Its state.
    """

    controller: int
    state: ControllerState


@dataclass(frozen=True, slots=True)
class HostPriorKnowledge:
    """What was known of a host's present start before, here or at another controller.

    It may be wrong.

    Attributes:
        host: The host.
        weight: Its weight by the control loop; 1 is the mean.
        attempts: Decayed sum of attempts as it stood then.
        failed: Decayed sum of failed attempts as it stood then.
        mean_latency_us: Mean latency, in microseconds.
        ejected: It was ejected for its health.
        required_checks: Good health checks in a row that readmit it if it is ejected.
        health_age_us: Time since its health was last heard of.
        capacity_age_us: Time since its capacity was last heard of.
    """

    host: int
    weight: float
    attempts: float
    failed: float
    mean_latency_us: float
    ejected: bool
    required_checks: int
    health_age_us: int
    capacity_age_us: int


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer expired; `token` is that of its `SetTimer`."""

    token: int


Event = (
    HostList
    | ProxyJoined
    | ProxyLeft
    | HostRequestStats
    | ProxyRequestStats
    | SliceRequestStats
    | SliceAssignment
    | SliceRoute
    | Acknowledged
    | HealthCheckResult
    | PeerMessage
    | ControllerStatus
    | HostPriorKnowledge
    | TimerExpired
)
"""All that a controller may be told after its start."""
