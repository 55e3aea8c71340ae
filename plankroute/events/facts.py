"""What a steward is told once, at its start."""

from dataclasses import dataclass
from enum import Enum


class Repeat(Enum):
    """What happens when a txn of a product runs twice."""

    INQUIRY = "inquiry-like"
    REFERENCED = "referenced"
    ONCE_ONLY = "once-only"


class Scope(Enum):
    """The hosts that drop a repeat of a referenced txn."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class LevelUnit(Enum):
    """How proxies read a level: not at all, as a share, or as a rate at each proxy."""

    NONE = "none"
    SHARE = "share"
    RATE = "rate"


class ReportWay(Enum):
    """Where load reports come from."""

    NONE = "none"
    ANSWERS = "answers"
    PROBES = "probes"


@dataclass(frozen=True, slots=True)
class ProductFacts:
    """One product; `zones` and `kinds` are None where every host may serve it."""

    sla_us: int
    expiry_us: int
    revenue: float
    late_share: float
    repeat: Repeat
    scope: Scope
    repeat_window_us: int
    own_zone: bool = False
    writes: bool = False
    zones: tuple[int, ...] | None = None
    kinds: tuple[int, ...] | None = None


@dataclass(frozen=True, slots=True)
class Prices:
    """Points taken off the service, each times its share or rate."""

    crossing: float = 0.0
    waste: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0
    probe: float = 0.0
    peer: float = 0.0
    late: float = 0.0
    order: float = 0.0


@dataclass(frozen=True, slots=True)
class StartFacts:
    """All that a steward knows before its first note."""

    products: tuple[ProductFacts, ...]
    zones: int
    own_zone: int
    steward: int
    stewards: int
    proxies: int
    prices: Prices
    # the channel
    lines_per_s: float
    head_lines: int
    queue_cap: int
    messages_most: int
    messages_window_us: int
    lets_back: bool  # who binds a proxy back from elsewhere lets back, a line each, what it may yet hold back
    way_us: int
    way_most_us: int
    # the rules' figures
    bare_us: int
    grace_us: int
    cold_us: int
    cold_share: float
    fall_multiple: float
    fall_window_us: int
    only_draining_binds: bool
    must_ask_us: int
    # what may be done and what is told
    level_unit: LevelUnit
    usual_retry: int
    retry_wait_share: float
    may_probe: bool
    may_tell: bool
    reports: ReportWay
    period_us: int
    must_subscribe: bool
    # sites whose keys fall into slices
    slices: int
    exclusive: bool
