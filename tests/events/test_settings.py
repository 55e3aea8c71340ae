"""Parsing of the settings: every key, every enum value, and the defaults of missing keys."""

import json

import pytest

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
from plankroute.events.settings import SettingsError, load_report, parse_settings

# Settings as an operator writes them. All figures of a section differ, so that a parser that mixes
# up two keys fails the test.
STORED_SETTINGS = b"""{
 "rank": 2, "instances": 5, "zone": 1, "dcs": ["wien", "graz", "linz"], "discovery": "subscribe",
 "caps": {"mayProbe": true, "mayTell": true, "dialTimeoutMs": 300.0},
 "classes": [
  {"name": "view", "onTimeMs": 1200.5, "deadlineMs": 4000.0, "importance": 1.5, "lateWorth": 0.2,
   "idempotency": "retryable", "keyScope": "all", "windowMs": 5000.0},
  {"name": "edit", "onTimeMs": 1500.0, "deadlineMs": 4100.0, "importance": 2.0, "lateWorth": 0.3,
   "idempotency": "dedup", "keyScope": "zone", "windowMs": 2500.0, "onlyZones": [0, 2]},
  {"name": "pay", "onTimeMs": 2000.0, "deadlineMs": 5000.0, "importance": 5.0, "lateWorth": 0.1,
   "idempotency": "fragile", "keyScope": "cell", "windowMs": 6000.0,
   "onlyKinds": [1], "onlyZones": []}],
 "familyInfo": {"bareMs": 3100.0, "classWrites": [false, true], "costPerLine": 0.02,
  "cycleMs": 1010.0, "envelope": 5.2, "exclusive": true, "keyRanges": 7, "lateMs": 184.0,
  "proxies": 9, "pushRate": 2100.0, "queueCap": 4200.0, "reloadsMax": 3, "staysLocal": [true],
  "throttleBy": "ratio",
  "transitMaxMs": 460.0, "tryFactor": 0.8, "updateWindowMs": 10050.0, "usualHow": 1},
 "prices": {"connection": 0.01, "crossZone": 0.04, "handshake": 0.05, "lateFail": 0.06,
  "peer": 0.07, "probe": 0.08, "waste": 0.03},
 "report": {"fields": ["rif", "new_key", "lat_ms", "q"], "via": "piggyback"},
 "safety": {"coldMs": 15000.0, "drainGraceMs": 3000.0, "droppedStayOpen": true, "fallMultiple": 3.5,
  "mustAskInMs": 9000.0, "startCapacity": 0.23, "tipAfterMs": 2900.0},
 "newSection": {"unknown": [1]}}"""

STORED_FACTS = StartFacts(
    request_classes=(
        RequestClassFacts(
            latency_objective_us=1_200_500,
            deadline_us=4_000_000,
            value=1.5,
            late_value_share=0.2,
            idempotency=Idempotency.IDEMPOTENT,
            deduplication_scope=DeduplicationScope.ALL,
            deduplication_window_us=5_000_000,
            stays_in_zone=True,
            is_write=False,
        ),
        RequestClassFacts(
            latency_objective_us=1_500_000,
            deadline_us=4_100_000,
            value=2.0,
            late_value_share=0.3,
            idempotency=Idempotency.DEDUPLICATED,
            deduplication_scope=DeduplicationScope.ZONE,
            deduplication_window_us=2_500_000,
            is_write=True,
            zones=(0, 2),
        ),
        RequestClassFacts(
            latency_objective_us=2_000_000,
            deadline_us=5_000_000,
            value=5.0,
            late_value_share=0.1,
            idempotency=Idempotency.NON_IDEMPOTENT,
            deduplication_scope=DeduplicationScope.CELL,
            deduplication_window_us=6_000_000,
            machine_types=(1,),
        ),
    ),
    zones=3,
    own_zone=1,
    controller_rank=2,
    controller_count=5,
    proxy_count=9,
    penalty_rates=PenaltyRates(
        zone_crossing=0.04,
        wasted_attempt=0.03,
        connection=0.01,
        handshake=0.05,
        health_check=0.08,
        peer_message=0.07,
        late_failure=0.06,
        channel_line=0.02,
    ),
    channel_lines_per_s=2100.0,
    message_overhead_lines=6,
    backlog_cap_lines=4200,
    max_messages_per_window=3,
    message_window_us=10_050_000,
    bind_reinstates_hosts=False,
    one_way_delay_us=184_000,
    max_one_way_delay_us=460_000,
    max_unbound_us=3_100_000,
    drain_grace_us=3_000_000,
    warmup_us=15_000_000,
    initial_capacity_share=0.23,
    overload_multiple=3.5,
    overload_window_us=2_900_000,
    gone_hosts_stay_usable=True,
    list_poll_deadline_us=9_000_000,
    admission_unit=AdmissionUnit.SHARE,
    default_retry=1,
    retry_wait_factor=0.8,
    health_checks_allowed=True,
    peer_messages_allowed=True,
    report_source=ReportSource.RESPONSES,
    report_period_us=1_010_000,
    must_subscribe=True,
    slices=7,
    slices_exclusive=True,
)

FACTS_WITHOUT_SETTINGS = StartFacts(
    request_classes=(),
    zones=1,
    own_zone=0,
    controller_rank=0,
    controller_count=1,
    proxy_count=0,
    penalty_rates=PenaltyRates(),
    channel_lines_per_s=1000.0,
    message_overhead_lines=1,
    backlog_cap_lines=1000,
    max_messages_per_window=0,
    message_window_us=10_000_000,
    bind_reinstates_hosts=False,
    one_way_delay_us=0,
    max_one_way_delay_us=0,
    max_unbound_us=1_000_000,
    drain_grace_us=1_000_000,
    warmup_us=0,
    initial_capacity_share=1.0,
    overload_multiple=1.0,
    overload_window_us=1_000_000,
    gone_hosts_stay_usable=False,
    list_poll_deadline_us=10_000_000,
    admission_unit=AdmissionUnit.NONE,
    default_retry=0,
    retry_wait_factor=1.0,
    health_checks_allowed=False,
    peer_messages_allowed=False,
    report_source=ReportSource.NONE,
    report_period_us=1_000_000,
    must_subscribe=False,
    slices=0,
    slices_exclusive=False,
)

CLASS_WITHOUT_SETTINGS = RequestClassFacts(
    latency_objective_us=1_000_000,
    deadline_us=1_000_000,
    value=1.0,
    late_value_share=0.0,
    idempotency=Idempotency.NON_IDEMPOTENT,
    deduplication_scope=DeduplicationScope.CELL,
    deduplication_window_us=0,
)


def test_stored_settings_are_parsed_to_the_expected_facts() -> None:
    facts, report_fields = parse_settings(json.loads(STORED_SETTINGS))
    assert facts == STORED_FACTS
    assert report_fields == ("in_flight", "", "service_time_us", "queue_length")


@pytest.mark.parametrize(
    "sections",
    [
        {},
        {"familyInfo": None, "safety": {}, "caps": None, "prices": {}, "report": None},
        {"classes": None, "dcs": [], "discovery": "automatic", "instances": 0},
        {"familyInfo": {"throttleBy": "new word"}, "report": {"via": "new word"}},
    ],
)
def test_missing_keys_and_unknown_values_get_safe_defaults(
    sections: dict[str, object],
) -> None:
    assert parse_settings(sections) == (FACTS_WITHOUT_SETTINGS, ())


@pytest.mark.parametrize("item", [{}, {"idempotency": "new word", "keyScope": "new word"}])
def test_a_request_class_without_settings_is_not_idempotent(item: dict[str, object]) -> None:
    facts, _ = parse_settings({"classes": [item]})
    assert facts.request_classes == (CLASS_WITHOUT_SETTINGS,)


@pytest.mark.parametrize(
    ("name", "unit"),
    [
        ("ratio", AdmissionUnit.SHARE),
        ("rps", AdmissionUnit.RATE),
        ("silent", AdmissionUnit.NONE),
    ],
)
def test_admission_unit_values(name: str, unit: AdmissionUnit) -> None:
    facts, _ = parse_settings({"familyInfo": {"throttleBy": name}})
    assert facts.admission_unit is unit


@pytest.mark.parametrize(
    ("name", "source"),
    [
        ("piggyback", ReportSource.RESPONSES),
        ("pull", ReportSource.HEALTH_CHECKS),
        ("silent", ReportSource.NONE),
    ],
)
def test_report_source_values(name: str, source: ReportSource) -> None:
    facts, _ = parse_settings({"report": {"via": name}})
    assert facts.report_source is source


@pytest.mark.parametrize(
    "raw",
    [
        None,
        [],
        "settings",
        {"familyInfo": [1]},
        {"safety": {"coldMs": "soon"}},
        {"familyInfo": {"proxies": None}},
        {"classes": [1]},
        {"report": {"fields": 3}},
        {"familyInfo": {"throttleBy": []}},
    ],
)
def test_values_of_the_wrong_type_raise_settings_error(raw: object) -> None:
    with pytest.raises(SettingsError):
        parse_settings(raw)


def test_an_infinite_whole_number_raises_settings_error() -> None:
    """Guards against a start that ends with a traceback for `1e999` in the settings."""
    with pytest.raises(SettingsError):
        parse_settings({"familyInfo": {"queueCap": float("inf")}})


def test_load_reports_leave_out_unknown_negative_and_non_finite_fields() -> None:
    pairs = [
        ("in_flight", 7.0),
        ("", 3.0),
        ("service_time_us", 2.5),
        ("queue_length", -1.0),
        ("utilization", float("nan")),
        ("request_rate", float("inf")),
        ("error_rate", 0.0),
    ]
    assert load_report(pairs) == LoadReport(in_flight=7.0, service_time_us=2500.0, error_rate=0.0)
