"""Start facts: what a controller is told once, at its start.

:mod:`plankroute.events.settings` reads them from the operators' settings. Times whose name ends in
`_us` are whole microseconds.
"""

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What happens when a request of a class is executed twice."""

    IDEMPOTENT = "inquiry-like"  # nothing: it is safe to repeat
    DEDUPLICATED = "referenced"  # hosts drop the repeat by its key
    NON_IDEMPOTENT = "once-only"  # it takes effect twice


class DeduplicationScope(Enum):
    """The hosts among which the repeat of a request is dropped by its idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AdmissionUnit(Enum):
    """How proxies read an admission limit."""

    NONE = "none"  # they don't
    SHARE = "share"  # as the share of requests to admit
    RATE = "rate"  # as requests a second at each proxy


class ReportSource(Enum):
    """Where load reports come from."""

    NONE = "none"
    RESPONSES = "answers"  # with the responses to requests
    HEALTH_CHECKS = "probes"  # with the answers to health checks


@dataclass(frozen=True, slots=True)
class RequestClassFacts:
    """One request class; the operators call it a product.

    Attributes:
        latency_objective_us: Responses that take longer count as late.
        deadline_us: Requests that take longer have failed.
        value: What a request served in time is worth, against those of other classes.
        late_value_share: The share of its value that a late one keeps.
        idempotency: What happens when it is executed twice.
        deduplication_scope: The hosts among which repeats are dropped.
        deduplication_window_us: How long its key is kept.
        stays_in_zone: Proxies may send it to hosts of their own zone only.
        is_write: It changes data.
        zones: Zones whose hosts may serve it, or None for all.
        machine_types: Machine types that may serve it, or None for all.
    """

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
    """What the operators take off the service's score, each per share or rate of its cause."""

    zone_crossing: float = 0.0
    wasted_attempt: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0
    health_check: float = 0.0
    peer_message: float = 0.0
    late_failure: float = 0.0
    channel_line: float = 0.0


@dataclass(frozen=True, slots=True)
class StartFacts:
    """All that a controller knows before its first event.

    Attributes:
        request_classes: The request classes; elsewhere each is named by its index in here.
        zones: Number of zones.
        own_zone: The controller's zone.
        controller_rank: Its place among the controllers, from 0.
        controller_count: Number of controllers, at least 1.
        proxy_count: Number of proxies of all controllers together.
        penalty_rates: What the score takes off.
        channel_lines_per_s: Lines that the channel to the proxies carries a second.
        message_overhead_lines: Lines that a message costs beside its own.
        backlog_cap_lines: The most lines that may wait in the channel.
        max_messages_per_window: The most messages to a proxy within a window; 0: no limit.
        message_window_us: Length of that window.
        bind_reinstates_hosts: Binding a proxy ends, for a line each, the withdrawals of hosts that
            it may keep from another controller.
        one_way_delay_us: Usual time of a message from the channel to its proxy.
        max_one_way_delay_us: The longest such time.
        max_unbound_us: The longest that a proxy may have no route for a request class that a warm
            host could serve.
        drain_grace_us: Time in which all proxies have to stop using a host that drains.
        warmup_us: The longest time that a host takes from its start to its full capacity.
        initial_capacity_share: Share of its capacity that a host has at its start.
        overload_multiple: A host that warms up fails if it is sent more than this many times its
            present capacity for `overload_window_us`.
        overload_window_us: How long it bears that.
        gone_hosts_stay_usable: Proxies have to stop using hosts listed draining, but need not
            stop using hosts that are no longer listed.
        list_poll_deadline_us: Where `must_subscribe`: without a subscription, the time within which
            the host list has to be asked for.
        admission_unit: How proxies read an admission limit.
        default_retry: Retry policy of proxies without a limit, as in `RetryPolicy`.
        retry_wait_factor: With retries after any failure, proxies wait this many times the latency
            objective before they retry.
        health_checks_allowed: The controller may check hosts' health.
        peer_messages_allowed: The controller may send to its peers.
        report_source: Where load reports come from.
        report_period_us: Time from one set of request statistics to the next.
        must_subscribe: The host list is subscribed to, not polled.
        slices: Number of slices into which request keys fall; 0 at sites without.
        slices_exclusive: Each slice is one controller's alone.
    """

    request_classes: tuple[RequestClassFacts, ...]
    zones: int
    own_zone: int
    controller_rank: int
    controller_count: int
    proxy_count: int
    penalty_rates: PenaltyRates
    # The channel
    channel_lines_per_s: float
    message_overhead_lines: int
    backlog_cap_lines: int
    max_messages_per_window: int
    message_window_us: int
    bind_reinstates_hosts: bool
    one_way_delay_us: int
    max_one_way_delay_us: int
    # The rules' figures
    max_unbound_us: int
    drain_grace_us: int
    warmup_us: int
    initial_capacity_share: float
    overload_multiple: float
    overload_window_us: int
    gone_hosts_stay_usable: bool
    list_poll_deadline_us: int
    # What may be done and what is told
    admission_unit: AdmissionUnit
    default_retry: int
    retry_wait_factor: float
    health_checks_allowed: bool
    peer_messages_allowed: bool
    report_source: ReportSource
    report_period_us: int
    must_subscribe: bool
    # Sites whose keys fall into slices
    slices: int
    slices_exclusive: bool
