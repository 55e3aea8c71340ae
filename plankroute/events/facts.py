"""Start facts: the configuration that a controller gets once, at its start.

:mod:`plankroute.events.settings` parses them from the operators' settings. Times whose name ends in
`_us` are whole microseconds.
"""

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What happens when a request of a class is executed twice."""

    IDEMPOTENT = "inquiry-like"  # nothing: the request is safe to repeat
    DEDUPLICATED = "referenced"  # hosts drop the repeat, which has the same idempotency key
    NON_IDEMPOTENT = "once-only"  # the request takes effect twice


class DeduplicationScope(Enum):
    """The hosts among which a repeated request is recognised by its idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AdmissionUnit(Enum):
    """How proxies read an admission limit."""

    NONE = "none"  # they ignore it
    SHARE = "share"  # as the share of requests to admit
    RATE = "rate"  # as requests per second at each proxy


class ReportSource(Enum):
    """Where load reports come from."""

    NONE = "none"
    RESPONSES = "answers"  # from the responses to requests
    HEALTH_CHECKS = "probes"  # from the responses to health checks


@dataclass(frozen=True, slots=True)
class RequestClassFacts:
    """Settings of one request class, which the operators call a product.

    Attributes:
        latency_objective_us: A response that takes longer counts as late.
        deadline_us: A request that takes longer counts as failed.
        value: Worth of a request served in time, relative to other request classes.
        late_value_share: Share of that value that a late response still has.
        idempotency: What happens when a request is executed twice.
        deduplication_scope: The hosts among which repeats are dropped.
        deduplication_window_us: How long hosts keep an idempotency key.
        stays_in_zone: Whether proxies may send requests only to hosts of their own zone.
        is_write: Whether the requests change data.
        zones: Zones whose hosts may serve the class, or None for all zones.
        machine_types: Machine types that may serve the class, or None for all types.
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
    """Deductions from the operators' score of the service, each per share or rate of its cause."""

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
    """Everything that a controller knows before its first event.

    Attributes:
        request_classes: The request classes. Elsewhere a request class is identified by its index
            in this tuple.
        zones: Number of zones.
        own_zone: Zone of this controller.
        controller_rank: Position of this controller among all controllers, from 0.
        controller_count: Number of controllers, at least 1.
        proxy_count: Number of proxies of all controllers together.
        penalty_rates: Deductions from the score.
        channel_lines_per_s: Pace of the channel to the proxies, in lines per second.
        message_overhead_lines: Lines that each message costs in addition to its content.
        backlog_cap_lines: Most lines that may wait in the channel.
        max_messages_per_window: Most messages to a proxy within a window; 0 for no limit.
        message_window_us: Length of that window.
        bind_reinstates_hosts: Whether a bind also reinstates, for one line each, hosts that the
            proxy may keep withdrawn by command of another controller.
        one_way_delay_us: Usual time of a message from the channel to its proxy.
        max_one_way_delay_us: Longest time of a message from the channel to its proxy.
        max_unbound_us: Longest time for which a proxy may have no route for a request class that a
            warm host could serve.
        drain_grace_us: Time within which all proxies must stop using a draining host.
        warmup_us: Longest time from a host's start until it has its full capacity.
        initial_capacity_share: Share of its full capacity that a host has when it starts.
        overload_multiple: A host that is warming up fails if it gets more than this multiple of
            its current capacity for `overload_window_us`.
        overload_window_us: How long a host that is warming up withstands such an overload.
        gone_hosts_stay_usable: Whether proxies may go on using hosts that are no longer listed.
            They must stop using hosts listed as draining in any case.
        list_poll_deadline_us: If `must_subscribe` is set, time within which a controller without a
            subscription must request the endpoint list.
        admission_unit: How proxies read an admission limit.
        default_retry: Retry policy of proxies without an admission limit, as a `RetryPolicy` value.
        retry_wait_factor: Under a policy that retries after any failure, proxies wait this multiple
            of the latency objective before they retry.
        health_checks_allowed: Whether the controller may check the health of hosts.
        peer_messages_allowed: Whether the controller may send messages to other controllers.
        report_source: Where load reports come from.
        report_period_us: Time between two sets of request statistics.
        must_subscribe: Whether the endpoint list is subscribed to instead of polled.
        slices: Number of slices of the request key space; 0 for sites without slices.
        slices_exclusive: Whether each slice belongs to one controller only.
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
    # Limits and host behaviour that the safety rules are based on
    max_unbound_us: int
    drain_grace_us: int
    warmup_us: int
    initial_capacity_share: float
    overload_multiple: float
    overload_window_us: int
    gone_hosts_stay_usable: bool
    list_poll_deadline_us: int
    # Permissions, admission, and sources of information
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
