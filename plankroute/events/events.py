"""Events that a controller handles.

Hosts, proxies, zones and machine types are identified by the numbers of the adapter, which is the
network or the simulator. Request classes (the operators' products) are identified by their index in
`StartFacts.request_classes`. Times whose name ends in `_us` are in microseconds.

The values of `HostState` and `HealthCheckOutcome` are sent between controllers and written to the
log, so they must not change.
"""

from dataclasses import dataclass
from enum import Enum


class HostState(Enum):
    """State of a host in the endpoint list; values are sent between controllers."""

    READY = "ready"
    DRAINING = "draining"  # shutting down: takes no new requests
    GONE = "gone"  # no longer listed, or listed as gone


class ListKind(Enum):
    """What an endpoint list contains; values appear in the log."""

    CACHED = "cached"  # a stored copy of the complete list, possibly out of date
    FULL = "full"  # the complete current list
    CHANGES = "changes"  # only the entries that changed
    FAILED = "failed"  # no entries: the list could not be fetched


class HealthCheckOutcome(Enum):
    """How a health check of a host ended; values are sent between controllers."""

    ANSWERED = "answered"
    ERROR = "error"  # the response reported an error, or the connection broke
    REJECTED = "turned away"  # the host is draining, or was checked too often
    TIMED_OUT = "silent"  # connected, but no response in time
    UNREACHABLE = "unreached"  # no connection


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Figures that a host reports of itself; None where the report does not state one.

    Attributes:
        in_flight: Requests in progress.
        queue_length: Requests that wait in the host's queue.
        utilization: Share of its capacity in use.
        service_time_us: Mean time to serve a request, in microseconds.
        request_rate: Requests per second.
        error_rate: Failed requests per second.
    """

    in_flight: float | None = None
    queue_length: float | None = None
    utilization: float | None = None
    service_time_us: float | None = None
    request_rate: float | None = None
    error_rate: float | None = None


@dataclass(frozen=True, slots=True)
class HostEntry:
    """The entry of one host in the endpoint list.

    Attributes:
        host: Id of the host.
        state: Whether the host may be used.
        zone: Zone of the host.
        machine_type: Machine type of the host.
        cell: Number of its cell, a few hosts of one zone that share idempotency keys.
        listed_weight: Capacity stated in the list, or 0 if none is stated.
        started_us: When it started, on the controller's clock; 0 if that was long ago.
        name_order: Number that sorts hosts by name, the same at every controller; 0 to sort the
            host by its id instead.
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
    """The endpoint list, or changes to it.

    Attributes:
        kind: What `entries` contains. A host that a complete list leaves out is gone.
        entries: The entries of the hosts.
    """

    kind: ListKind
    entries: tuple[HostEntry, ...]


@dataclass(frozen=True, slots=True)
class ProxyJoined:
    """A proxy opened its stream to this controller.

    Attributes:
        proxy: Id of the proxy.
        zone: Zone of the proxy.
        usual_rate: Requests per second that it usually gets, or 0 if unknown.
        fresh: True if it holds only the tables that it started with, False if it holds what this
            or another controller has sent it before.
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
    """Results of the attempts that the joined proxies of a zone made at a host.

    Attributes:
        host: The host.
        zone: Zone of the proxies.
        attempts: Attempts that ended in the interval.
        failed: Attempts among them that failed.
        mean_latency_us: Mean latency of the attempts that did not fail.
        span_us: Length of the interval that the counts cover.
        report: The host's last load report, or None if its responses carry none.
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
    """Requests of one class that arrived at a proxy.

    Attributes:
        proxy: The proxy.
        request_class: The request class.
        arrived: Requests that arrived in the interval.
        failed: Requests that were admitted but not served.
        span_us: Length of the interval that the counts cover.
    """

    proxy: int
    request_class: int
    arrived: int
    failed: int
    span_us: int


@dataclass(frozen=True, slots=True)
class SliceRequestStats:
    """Requests of one class whose keys fall into a slice. Only sites with slices send this.

    Attributes:
        slice: The slice of the key space.
        request_class: The request class.
        arrived: Requests that arrived in the interval.
        failed: Requests that were admitted but not served.
        span_us: Length of the interval that the counts cover.
    """

    slice: int
    request_class: int
    arrived: int
    failed: int
    span_us: int


@dataclass(frozen=True, slots=True)
class SliceAssignment:
    """A slice was assigned to this controller, or taken from it.

    Attributes:
        slice: The slice of the key space.
        assigned: True if the slice now belongs to this controller, False if it no longer does.
    """

    slice: int
    assigned: bool


@dataclass(frozen=True, slots=True)
class SliceRoute:
    """A route that is already stored for a slice which was just assigned to this controller.

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
    """A proxy applied everything that was written to it up to a `RequestAcknowledgement`.

    Attributes:
        proxy: The proxy.
        sequence_number: Sequence number of the request.
        elapsed_us: Time from the request until the proxy had applied it.
    """

    proxy: int
    sequence_number: int
    elapsed_us: int


@dataclass(frozen=True, slots=True)
class AcknowledgementRejected:
    """A line of a proxy was rejected that may have been an acknowledgement which is due.

    Attributes:
        proxy: Id of the proxy.
    """

    proxy: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """Result of a health check.

    Attributes:
        host: The host.
        outcome: How the check ended.
        elapsed_us: How long the check took.
        report: The load report in the response, or None if there is none.
        age_us: How long ago the check was, if another controller made it; 0 for an own check.
    """

    host: int
    outcome: HealthCheckOutcome
    elapsed_us: int
    report: LoadReport | None
    age_us: int = 0


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another controller.

    Attributes:
        sender: Rank of that controller.
        data: Content of the message.
    """

    sender: int
    data: bytes


class ControllerState(Enum):
    """State of another controller according to membership."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    GONE = "gone"  # presumed to have crashed or to be unreachable
    LEFT = "left"  # announced that it leaves


@dataclass(frozen=True, slots=True)
class ControllerStatus:
    """State of another controller according to membership.

    Membership may be wrong, so no decision may depend on this event.

    Attributes:
        controller: Number derived from the controller's name.
        state: State of the controller.
    """

    controller: int
    state: ControllerState


@dataclass(frozen=True, slots=True)
class HostPriorKnowledge:
    """What this or another controller knew earlier of a host since the host's last start.

    The knowledge may be out of date or wrong.

    Attributes:
        host: The host.
        weight: Weight set by the control loop; the mean is 1.
        attempts: Decayed sum of attempts at that time.
        failed: Decayed sum of failed attempts at that time.
        mean_latency_us: Mean latency of attempts; 0 if there were none.
        ejected: Whether the host was ejected because of its health.
        required_checks: Good health checks in a row that readmit the host if it is ejected.
        health_age_us: Time since the last news of the host's health.
        capacity_age_us: Time since the last news of the host's capacity.
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
    """A timer expired; `token` is the token of its `SetTimer`."""

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
    | AcknowledgementRejected
    | HealthCheckResult
    | PeerMessage
    | ControllerStatus
    | HostPriorKnowledge
    | TimerExpired
)
"""Any event that a controller handles after its start."""
