"""Notes that reach a steward. Ids are those of the outside; times are whole microseconds."""

from dataclasses import dataclass
from enum import Enum


class HostState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CACHED = "cached"
    FULL = "full"
    CHANGES = "changes"
    FAILED = "failed"


class HealthCheckOutcome(Enum):
    """How a probe ended."""

    ANSWERED = "answered"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "silent"
    UNREACHABLE = "unreached"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A host's own figures; None where the report does not hold one."""

    in_flight: float | None = None
    queue_length: float | None = None
    utilization: float | None = None
    service_time_us: float | None = None
    request_rate: float | None = None
    error_rate: float | None = None


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One host as the list has it; started_us is 0 where the start lies long ago. `mark`: hosts are ordered
    by it as by their names, the same at every steward; 0: its id is."""

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
    kind: ListKind
    entries: tuple[HostEntry, ...]


@dataclass(frozen=True, slots=True)
class ProxyJoined:
    """fresh: it holds only its standing tables."""

    proxy: int
    zone: int
    usual_rate: float
    fresh: bool


@dataclass(frozen=True, slots=True)
class ProxyLeft:
    proxy: int


@dataclass(frozen=True, slots=True)
class HostRequestStats:
    """What the joined proxies of a zone met at a host over span_us."""

    host: int
    zone: int
    attempts: int
    failed: int
    mean_latency_us: float
    span_us: int
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class ProxyRequestStats:
    """Txns of a product that came to a proxy; voided: let in and not answered."""

    proxy: int
    product: int
    arrived: int
    failed: int
    span_us: int


@dataclass(frozen=True, slots=True)
class SliceRequestStats:
    slice: int
    product: int
    arrived: int
    failed: int
    span_us: int


@dataclass(frozen=True, slots=True)
class SliceAssignment:
    """A slice comes into this steward's charge, or leaves it."""

    slice: int
    given: bool


@dataclass(frozen=True, slots=True)
class SliceRoute:
    """A line that a slice just given already has in the store."""

    slice: int
    host: int
    weight: float


@dataclass(frozen=True, slots=True)
class Acknowledged:
    proxy: int
    sequence_number: int
    elapsed_us: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """`age_us`: how long ago it was, where another steward's probe told it."""

    host: int
    outcome: HealthCheckOutcome
    elapsed_us: int
    report: LoadReport | None
    age_us: int = 0


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    data: bytes


class ControllerState(Enum):
    ALIVE = "alive"
    SUSPECTED = "suspected"
    GONE = "gone"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class ControllerStatus:
    """What membership makes of another steward. It may be wrong: no rule may come to rest on it."""

    steward: int
    state: ControllerState


@dataclass(frozen=True, slots=True)
class HostPriorKnowledge:
    """What an earlier life of this steward, or another one, knew of a host's present start. It may be wrong.

    `weight`: 1 is the mean of its fleet; `tries`, `voided`: fading sums as they stood then; `needed`: good
    probes that bring it back if it is shut; the ages: since its health, and its powers, were heard of."""

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
