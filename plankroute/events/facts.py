"""What a steward is told once, at its start."""

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What happens when a txn of a product runs twice."""

    IDEMPOTENT = "inquiry-like"
    DEDUPLICATED = "referenced"
    NON_IDEMPOTENT = "once-only"


class DeduplicationScope(Enum):
    """The hosts that drop a repeat of a referenced txn."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AdmissionUnit(Enum):
    """How proxies read a level: not at all, as a share, or as a rate at each proxy."""

    NONE = "none"
    SHARE = "share"
    RATE = "rate"


class ReportSource(Enum):
    """Where load reports come from."""

    NONE = "none"
    RESPONSES = "answers"
    HEALTH_CHECKS = "probes"


@dataclass(frozen=True, slots=True)
class RequestClassFacts:
    """One product; `zones` and `kinds` are None where every host may serve it."""

    latency_objective_us: int
    deadline_us: int
    value: float
    late_value_share: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_us: int
    stays_in_zone: bool = False
    is_write: bool = False
    zones: tuple[int, ...] | None = None
    machine_types: tuple[int, ...] | None = None


@dataclass(frozen=True, slots=True)
class PenaltyRates:
    """Points taken off the service, each times its share or rate."""

    zone_crossing: float = 0.0
    wasted_attempt: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0
    health_check: float = 0.0
    peer_message: float = 0.0
    late_failure: float = 0.0
    command_line: float = 0.0


@dataclass(frozen=True, slots=True)
class StartFacts:
    """All that a steward knows before its first note."""

    request_classes: tuple[RequestClassFacts, ...]
    zones: int
    own_zone: int
    controller_rank: int
    controller_count: int
    proxy_count: int
    penalty_rates: PenaltyRates
    # the channel
    channel_lines_per_s: float
    message_overhead_lines: int
    backlog_cap_lines: int
    max_messages_per_window: int
    message_window_us: int
    bind_reinstates_hosts: bool  # who binds a proxy back from elsewhere lets back, a line each, what it may yet hold back
    one_way_delay_us: int
    max_one_way_delay_us: int
    # the rules' figures
    max_unbound_us: int
    drain_grace_us: int
    warmup_us: int
    initial_capacity_share: float
    overload_multiple: float
    overload_window_us: int
    only_draining_is_binding: bool
    list_poll_deadline_us: int
    # what may be done and what is told
    admission_unit: AdmissionUnit
    default_retry: int
    retry_wait_factor: float
    health_checks_allowed: bool
    peer_messages_allowed: bool
    report_source: ReportSource
    report_period_us: int
    must_subscribe: bool
    # sites whose keys fall into slices
    slices: int
    slices_exclusive: bool
