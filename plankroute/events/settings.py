"""Parser of the operators' settings: turns their JSON into start facts.

Only this module knows the keys and values of the settings; the adapters of the network and the
simulator both use it. Each key appears once, next to the start fact that it sets. A missing key or
an unknown value gets a safe default, which permits nothing and assumes nothing.
"""

import math
from collections.abc import Iterable
from typing import Any

from plankroute.events.events import LoadReport
from plankroute.events.facts import (
    AdmissionUnit,
    DeduplicationScope,
    Idempotency,
    PenaltyRates,
    ReportSource,
    RequestClassFacts,
    StartFacts,
)

US_PER_MS = 1000

JsonObject = dict[str, Any]  # an object of the settings, with values of any type

# Enum members by their names in the settings
IDEMPOTENCY_BY_NAME = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.DEDUPLICATED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPE_BY_NAME = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
ADMISSION_UNIT_BY_NAME = {
    "ratio": AdmissionUnit.SHARE,
    "rps": AdmissionUnit.RATE,
    "silent": AdmissionUnit.NONE,
}
REPORT_SOURCE_BY_NAME = {
    "piggyback": ReportSource.RESPONSES,
    "pull": ReportSource.HEALTH_CHECKS,
    "silent": ReportSource.NONE,
}
REPORT_FIELDS = {  # fields of `LoadReport` by their names in the settings
    "rif": "in_flight",
    "q": "queue_length",
    "busy": "utilization",
    "lat_ms": "service_time_us",
    "rate": "request_rate",
    "fail_rate": "error_rate",
}
UNKNOWN_REPORT_FIELD = ""


class SettingsError(Exception):
    """The configuration of a controller cannot be read."""


def microseconds(ms: float) -> int:
    """Converts milliseconds to whole microseconds; returns 0 for NaN and infinity."""
    return round(ms * US_PER_MS) if math.isfinite(ms) else 0


def positive_or_zero(value: float) -> float:
    """Returns the value, or 0 if it is negative, NaN or infinite and so not a usable figure."""
    return value if math.isfinite(value) and value > 0 else 0.0


def load_report(named: Iterable[tuple[str, float]]) -> LoadReport:
    """Builds a load report.

    Args:
        named: Pairs of a field name in `LoadReport`, or UNKNOWN_REPORT_FIELD, and a value. The
            service time is in milliseconds.

    Returns:
        The report. Fields that are unknown, negative, NaN or infinite are left out.
    """
    fields: dict[str, float] = {}
    for name, value in named:
        if name == UNKNOWN_REPORT_FIELD or not math.isfinite(value) or value < 0:
            continue
        fields[name] = value * US_PER_MS if name == "service_time_us" else value
    return LoadReport(**fields)


def parse_settings(raw: object) -> tuple[StartFacts, tuple[str, ...]]:
    """Parses the settings.

    Args:
        raw: The settings as decoded from JSON.

    Returns:
        The start facts, and the fields of a load report in the order in which the simulator sends
        their values. Fields are named as in `LoadReport`, or UNKNOWN_REPORT_FIELD if unknown.

    Raises:
        SettingsError: The settings are not a JSON object, or hold a value of the wrong type.
    """
    if not isinstance(raw, dict):
        raise SettingsError("settings are not a JSON object")
    try:
        names = _section(raw, "report").get("fields") or ()
        fields = tuple(REPORT_FIELDS.get(name, UNKNOWN_REPORT_FIELD) for name in names)
        return _start_facts(raw), fields
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"settings hold a value of the wrong type: {error}") from error


def _section(raw: JsonObject, name: str) -> JsonObject:
    section: JsonObject = raw.get(name) or {}
    return section


def _duration_us(section: JsonObject, key: str, default_ms: float) -> int:
    return microseconds(float(section.get(key, default_ms)))


def _start_facts(raw: JsonObject) -> StartFacts:
    family = _section(raw, "familyInfo")
    safety = _section(raw, "safety")
    permissions = _section(raw, "caps")
    report = _section(raw, "report")
    request_classes = raw.get("classes") or ()
    return StartFacts(
        request_classes=tuple(
            _request_class_facts(item, index, family) for index, item in enumerate(request_classes)
        ),
        zones=len(raw.get("dcs") or ()) or 1,
        own_zone=int(raw.get("zone", 0)),
        controller_rank=int(raw.get("rank", 0)),
        controller_count=max(1, int(raw.get("instances", 1))),
        proxy_count=int(family.get("proxies", 0)),
        penalty_rates=_penalty_rates(_section(raw, "prices"), family),
        channel_lines_per_s=float(family.get("pushRate", 1000.0)),
        message_overhead_lines=math.ceil(family.get("envelope", 1)),
        backlog_cap_lines=int(family.get("queueCap", 1000)),
        max_messages_per_window=int(family.get("reloadsMax", 0)),
        message_window_us=_duration_us(family, "updateWindowMs", 10000),
        bind_reinstates_hosts=False,  # only the network adapter sets this
        one_way_delay_us=_duration_us(family, "lateMs", 0),
        max_one_way_delay_us=_duration_us(family, "transitMaxMs", 0),
        max_unbound_us=_duration_us(family, "bareMs", 1000),
        drain_grace_us=_duration_us(safety, "drainGraceMs", 1000),
        warmup_us=_duration_us(safety, "coldMs", 0),
        initial_capacity_share=float(safety.get("startCapacity", 1.0)),
        overload_multiple=float(safety.get("fallMultiple", 1.0)),
        overload_window_us=_duration_us(safety, "tipAfterMs", 1000),
        gone_hosts_stay_usable=bool(safety.get("droppedStayOpen", False)),
        list_poll_deadline_us=_duration_us(safety, "mustAskInMs", 10000),
        admission_unit=ADMISSION_UNIT_BY_NAME.get(
            family.get("throttleBy", "silent"), AdmissionUnit.NONE
        ),
        default_retry=int(family.get("usualHow", 0)),
        retry_wait_factor=float(family.get("tryFactor", 1.0)),
        health_checks_allowed=bool(permissions.get("mayProbe", False)),
        peer_messages_allowed=bool(permissions.get("mayTell", False)),
        report_source=REPORT_SOURCE_BY_NAME.get(report.get("via", "silent"), ReportSource.NONE),
        report_period_us=_duration_us(family, "cycleMs", 1000),
        must_subscribe=raw.get("discovery") == "subscribe",
        slices=int(family.get("keyRanges", 0)),
        slices_exclusive=bool(family.get("exclusive", False)),
    )


def _request_class_facts(item: JsonObject, index: int, family: JsonObject) -> RequestClassFacts:
    return RequestClassFacts(
        latency_objective_us=_duration_us(item, "onTimeMs", 1000),
        deadline_us=_duration_us(item, "deadlineMs", 1000),
        value=float(item.get("importance", 1.0)),
        late_value_share=float(item.get("lateWorth", 0.0)),
        idempotency=IDEMPOTENCY_BY_NAME.get(
            item.get("idempotency", "fragile"), Idempotency.NON_IDEMPOTENT
        ),
        deduplication_scope=DEDUPLICATION_SCOPE_BY_NAME.get(
            item.get("keyScope", "cell"), DeduplicationScope.CELL
        ),
        deduplication_window_us=_duration_us(item, "windowMs", 0),
        stays_in_zone=_flag_of_class(family, "staysLocal", index),
        is_write=_flag_of_class(family, "classWrites", index),
        zones=_allowed_numbers(item, "onlyZones"),
        machine_types=_allowed_numbers(item, "onlyKinds"),
    )


def _flag_of_class(family: JsonObject, key: str, index: int) -> bool:
    """Reads a request class's flag from a list; returns False if the list is too short."""
    flags = family.get(key) or ()
    return index < len(flags) and bool(flags[index])


def _allowed_numbers(item: JsonObject, key: str) -> tuple[int, ...] | None:
    """Reads a list of allowed numbers; a missing or empty list gives None, which allows all."""
    numbers = item.get(key)
    return tuple(int(number) for number in numbers) if numbers else None


def _penalty_rates(prices: JsonObject, family: JsonObject) -> PenaltyRates:
    return PenaltyRates(
        zone_crossing=float(prices.get("crossZone", 0.0)),
        wasted_attempt=float(prices.get("waste", 0.0)),
        connection=float(prices.get("connection", 0.0)),
        handshake=float(prices.get("handshake", 0.0)),
        health_check=float(prices.get("probe", 0.0)),
        peer_message=float(prices.get("peer", 0.0)),
        late_failure=float(prices.get("lateFail", 0.0)),
        channel_line=float(family.get("costPerLine", 0.0)),
    )
