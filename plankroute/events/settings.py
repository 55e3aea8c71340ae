"""The settings that operators hand a steward, as start facts: what both adapters need."""

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

REPEATS = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.DEDUPLICATED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
LEVELS = {"ratio": AdmissionUnit.SHARE, "rps": AdmissionUnit.RATE, "silent": AdmissionUnit.NONE}
REPORTS = {
    "piggyback": ReportSource.RESPONSES,
    "pull": ReportSource.HEALTH_CHECKS,
    "silent": ReportSource.NONE,
}
REPORT_FIELDS = {
    "rif": "in_flight",
    "q": "queue_length",
    "busy": "utilization",
    "lat_ms": "service_time_us",
    "rate": "request_rate",
    "fail_rate": "error_rate",
}


def microseconds(ms: float) -> int:
    return round(ms * 1000) if math.isfinite(ms) else 0


def finite(value: float) -> float:
    """A figure that is no number, or is negative, says nothing: 0."""
    return value if math.isfinite(value) and value > 0 else 0.0


def load_report(named: Iterable[tuple[str, float]]) -> LoadReport:
    """A report by our names; what is not known, negative or no number is left out."""
    kept = {
        name: value * 1000 if name == "service_time_us" else value
        for name, value in named
        if name and math.isfinite(value) and value >= 0
    }
    return LoadReport(**kept)


class SettingsError(Exception):
    """What a steward is handed at its start can't be read."""


def parse_settings(raw: Any) -> tuple[StartFacts, tuple[str, ...]]:
    """The start facts, and our names of a load report's fields in their order ("" for those not known)."""
    if not isinstance(raw, dict):
        raise SettingsError("settings are not a JSON object")
    try:
        fields = tuple(
            REPORT_FIELDS.get(name, "") for name in group(raw, "report").get("fields") or ()
        )
        return start_facts(raw), fields
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"settings hold a value of the wrong kind: {error}") from error


def group(raw: dict[str, Any], name: str) -> dict[str, Any]:
    return raw.get(name) or {}


def start_facts(raw: dict[str, Any]) -> StartFacts:
    """Missing keys take the safe meaning: nothing permitted, a known name for nothing assumed."""
    fam, safety, caps, penalty_rates = (
        group(raw, name) for name in ("familyInfo", "safety", "caps", "prices")
    )

    def span(keys: dict[str, Any], name: str, default_ms: float) -> int:
        return microseconds(float(keys.get(name, default_ms)))

    products = tuple(
        product_facts(item, place, fam) for place, item in enumerate(raw.get("classes") or ())
    )
    return StartFacts(
        request_classes=products,
        zones=len(raw.get("dcs") or ()) or 1,
        own_zone=int(raw.get("zone", 0)),
        controller_rank=int(raw.get("rank", 0)),
        controller_count=max(1, int(raw.get("instances", 1))),
        proxy_count=int(fam.get("proxies", 0)),
        penalty_rates=price_facts(penalty_rates, fam),
        channel_lines_per_s=float(fam.get("pushRate", 1000.0)),
        message_overhead_lines=math.ceil(fam.get("envelope", 1)),
        backlog_cap_lines=int(fam.get("queueCap", 1000)),
        max_messages_per_window=int(fam.get("reloadsMax", 0)),
        message_window_us=span(fam, "updateWindowMs", 10000),
        bind_reinstates_hosts=False,
        one_way_delay_us=span(fam, "lateMs", 0),
        max_one_way_delay_us=span(fam, "transitMaxMs", 0),
        max_unbound_us=span(fam, "bareMs", 1000),
        drain_grace_us=span(safety, "drainGraceMs", 1000),
        warmup_us=span(safety, "coldMs", 0),
        initial_capacity_share=float(safety.get("startCapacity", 1.0)),
        overload_multiple=float(safety.get("fallMultiple", 1.0)),
        overload_window_us=span(safety, "tipAfterMs", 1000),
        only_draining_is_binding=bool(safety.get("droppedStayOpen", False)),
        list_poll_deadline_us=span(safety, "mustAskInMs", 10000),
        admission_unit=LEVELS.get(fam.get("throttleBy", "silent"), AdmissionUnit.NONE),
        default_retry=int(fam.get("usualHow", 0)),
        retry_wait_factor=float(fam.get("tryFactor", 1.0)),
        health_checks_allowed=bool(caps.get("mayProbe", False)),
        peer_messages_allowed=bool(caps.get("mayTell", False)),
        report_source=REPORTS.get(group(raw, "report").get("via", "silent"), ReportSource.NONE),
        report_period_us=span(fam, "cycleMs", 1000),
        must_subscribe=raw.get("discovery") == "subscribe",
        slices=int(fam.get("keyRanges", 0)),
        slices_exclusive=bool(fam.get("exclusive", False)),
    )


def product_facts(item: dict[str, Any], place: int, fam: dict[str, Any]) -> RequestClassFacts:
    def flag(name: str) -> bool:
        flags = fam.get(name) or ()
        return place < len(flags) and bool(flags[place])

    def places(name: str) -> tuple[int, ...] | None:
        return tuple(int(value) for value in item[name]) if item.get(name) else None

    return RequestClassFacts(
        latency_objective_us=microseconds(float(item.get("onTimeMs", 1000))),
        deadline_us=microseconds(float(item.get("deadlineMs", 1000))),
        value=float(item.get("importance", 1.0)),
        late_value_share=float(item.get("lateWorth", 0.0)),
        idempotency=REPEATS.get(item.get("idempotency", "fragile"), Idempotency.NON_IDEMPOTENT),
        deduplication_scope=SCOPES.get(item.get("keyScope", "cell"), DeduplicationScope.CELL),
        deduplication_window_us=microseconds(float(item.get("windowMs", 0))),
        stays_in_zone=flag("staysLocal"),
        is_write=flag("classWrites"),
        zones=places("onlyZones"),
        machine_types=places("onlyKinds"),
    )


def price_facts(penalty_rates: dict[str, Any], fam: dict[str, Any]) -> PenaltyRates:
    names = {
        "zone_crossing": "crossZone",
        "wasted_attempt": "waste",
        "connection": "connection",
        "handshake": "handshake",
        "health_check": "probe",
        "peer_message": "peer",
        "late_failure": "lateFail",
    }
    values = {ours: float(penalty_rates.get(theirs, 0.0)) for ours, theirs in names.items()}
    return PenaltyRates(**values, command_line=float(fam.get("costPerLine", 0.0)))
