"""The settings that operators hand a steward, as start facts: what both adapters need."""

import math
from collections.abc import Iterable
from typing import Any

from plankroute.events.events import LoadReport
from plankroute.events.facts import (
    LevelUnit,
    Prices,
    ProductFacts,
    Repeat,
    ReportWay,
    Scope,
    StartFacts,
)

REPEATS = {"retryable": Repeat.INQUIRY, "dedup": Repeat.REFERENCED, "fragile": Repeat.ONCE_ONLY}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}
LEVELS = {"ratio": LevelUnit.SHARE, "rps": LevelUnit.RATE, "silent": LevelUnit.NONE}
REPORTS = {"piggyback": ReportWay.ANSWERS, "pull": ReportWay.PROBES, "silent": ReportWay.NONE}
REPORT_FIELDS = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "service_us",
    "rate": "rate",
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
        name: value * 1000 if name == "service_us" else value
        for name, value in named
        if name and math.isfinite(value) and value >= 0
    }
    return LoadReport(**kept)


class StartError(Exception):
    """What a steward is handed at its start can't be read."""


def start_from(raw: Any) -> tuple[StartFacts, tuple[str, ...]]:
    """The start facts, and our names of a load report's fields in their order ("" for those not known)."""
    if not isinstance(raw, dict):
        raise StartError("settings are not a JSON object")
    try:
        fields = tuple(
            REPORT_FIELDS.get(name, "") for name in group(raw, "report").get("fields") or ()
        )
        return start_facts(raw), fields
    except (TypeError, ValueError, AttributeError) as error:
        raise StartError(f"settings hold a value of the wrong kind: {error}") from error


def group(raw: dict[str, Any], name: str) -> dict[str, Any]:
    return raw.get(name) or {}


def start_facts(raw: dict[str, Any]) -> StartFacts:
    """Missing keys take the safe meaning: nothing permitted, a known name for nothing assumed."""
    fam, safety, caps, prices = (
        group(raw, name) for name in ("familyInfo", "safety", "caps", "prices")
    )

    def span(keys: dict[str, Any], name: str, default_ms: float) -> int:
        return microseconds(float(keys.get(name, default_ms)))

    products = tuple(
        product_facts(item, place, fam) for place, item in enumerate(raw.get("classes") or ())
    )
    return StartFacts(
        products=products,
        zones=len(raw.get("dcs") or ()) or 1,
        own_zone=int(raw.get("zone", 0)),
        steward=int(raw.get("rank", 0)),
        stewards=max(1, int(raw.get("instances", 1))),
        proxies=int(fam.get("proxies", 0)),
        prices=price_facts(prices, fam),
        lines_per_s=float(fam.get("pushRate", 1000.0)),
        head_lines=math.ceil(fam.get("envelope", 1)),
        queue_cap=int(fam.get("queueCap", 1000)),
        messages_most=int(fam.get("reloadsMax", 0)),
        messages_window_us=span(fam, "updateWindowMs", 10000),
        lets_back=False,
        way_us=span(fam, "lateMs", 0),
        way_most_us=span(fam, "transitMaxMs", 0),
        bare_us=span(fam, "bareMs", 1000),
        grace_us=span(safety, "drainGraceMs", 1000),
        cold_us=span(safety, "coldMs", 0),
        cold_share=float(safety.get("startCapacity", 1.0)),
        fall_multiple=float(safety.get("fallMultiple", 1.0)),
        fall_window_us=span(safety, "tipAfterMs", 1000),
        only_draining_binds=bool(safety.get("droppedStayOpen", False)),
        must_ask_us=span(safety, "mustAskInMs", 10000),
        level_unit=LEVELS.get(fam.get("throttleBy", "silent"), LevelUnit.NONE),
        usual_retry=int(fam.get("usualHow", 0)),
        retry_wait_share=float(fam.get("tryFactor", 1.0)),
        may_probe=bool(caps.get("mayProbe", False)),
        may_tell=bool(caps.get("mayTell", False)),
        reports=REPORTS.get(group(raw, "report").get("via", "silent"), ReportWay.NONE),
        period_us=span(fam, "cycleMs", 1000),
        must_subscribe=raw.get("discovery") == "subscribe",
        slices=int(fam.get("keyRanges", 0)),
        exclusive=bool(fam.get("exclusive", False)),
    )


def product_facts(item: dict[str, Any], place: int, fam: dict[str, Any]) -> ProductFacts:
    def flag(name: str) -> bool:
        flags = fam.get(name) or ()
        return place < len(flags) and bool(flags[place])

    def places(name: str) -> tuple[int, ...] | None:
        return tuple(int(value) for value in item[name]) if item.get(name) else None

    return ProductFacts(
        sla_us=microseconds(float(item.get("onTimeMs", 1000))),
        expiry_us=microseconds(float(item.get("deadlineMs", 1000))),
        revenue=float(item.get("importance", 1.0)),
        late_share=float(item.get("lateWorth", 0.0)),
        repeat=REPEATS.get(item.get("idempotency", "fragile"), Repeat.ONCE_ONLY),
        scope=SCOPES.get(item.get("keyScope", "cell"), Scope.CELL),
        repeat_window_us=microseconds(float(item.get("windowMs", 0))),
        own_zone=flag("staysLocal"),
        writes=flag("classWrites"),
        zones=places("onlyZones"),
        kinds=places("onlyKinds"),
    )


def price_facts(prices: dict[str, Any], fam: dict[str, Any]) -> Prices:
    names = {
        "crossing": "crossZone",
        "waste": "waste",
        "connection": "connection",
        "handshake": "handshake",
        "probe": "probe",
        "peer": "peer",
        "late": "lateFail",
    }
    values = {ours: float(prices.get(theirs, 0.0)) for ours, theirs in names.items()}
    return Prices(**values, order=float(fam.get("costPerLine", 0.0)))
