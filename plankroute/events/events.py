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


class Outcome(Enum):
    """How a probe ended."""

    ANSWERED = "answered"
    ERROR = "error"
    TURNED_AWAY = "turned away"
    SILENT = "silent"
    UNREACHED = "unreached"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A host's own figures; None where the report does not hold one."""

    inflight: float | None = None
    queue: float | None = None
    util: float | None = None
    service_us: float | None = None
    rate: float | None = None
    error_rate: float | None = None


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One host as the list has it; started_us is 0 where the start lies long ago. `mark`: hosts are ordered
    by it as by their names, the same at every steward; 0: its id is."""

    host: int
    state: HostState
    zone: int
    kind: int
    cell: int
    weight: float
    started_us: int
    mark: int = 0


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
class HostSums:
    """What the joined proxies of a zone met at a host over span_us."""

    host: int
    zone: int
    tries: int
    voided: int
    mean_us: float
    span_us: int
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class ProxyTraffic:
    """Txns of a product that came to a proxy; voided: let in and not answered."""

    proxy: int
    product: int
    arrived: int
    voided: int
    span_us: int


@dataclass(frozen=True, slots=True)
class SliceTraffic:
    slice: int
    product: int
    arrived: int
    voided: int
    span_us: int


@dataclass(frozen=True, slots=True)
class SliceCharge:
    """A slice comes into this steward's charge, or leaves it."""

    slice: int
    given: bool


@dataclass(frozen=True, slots=True)
class SliceLine:
    """A line that a slice just given already has in the store."""

    slice: int
    host: int
    weight: float


@dataclass(frozen=True, slots=True)
class Applied:
    proxy: int
    serial: int
    took_us: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """`age_us`: how long ago it was, where another steward's probe told it."""

    host: int
    outcome: Outcome
    took_us: int
    report: LoadReport | None
    age_us: int = 0


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    data: bytes


class StewardState(Enum):
    ALIVE = "alive"
    SUSPECTED = "suspected"
    GONE = "gone"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class StewardSeen:
    """What membership makes of another steward. It may be wrong: no rule may come to rest on it."""

    steward: int
    state: StewardState


@dataclass(frozen=True, slots=True)
class HostLearned:
    """What an earlier life of this steward, or another one, knew of a host's present start. It may be wrong.

    `weight`: 1 is the mean of its fleet; `tries`, `voided`: fading sums as they stood then; `needed`: good
    probes that bring it back if it is shut; the ages: since its health, and its powers, were heard of."""

    host: int
    weight: float
    tries: float
    voided: float
    mean_us: float
    shut: bool
    needed: int
    health_age_us: int
    powers_age_us: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    token: int


Note = (
    HostList
    | ProxyJoined
    | ProxyLeft
    | HostSums
    | ProxyTraffic
    | SliceTraffic
    | SliceCharge
    | SliceLine
    | Applied
    | ProbeResult
    | PeerMessage
    | StewardSeen
    | HostLearned
    | TimerDue
)
