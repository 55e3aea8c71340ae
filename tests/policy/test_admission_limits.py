"""Admission limits follow an overload if proxies support limits."""

import pytest
from support.controller_bench import ready_bench, report_requests
from support.controller_model import (
    SECOND,
)

from plankroute.events import events
from plankroute.events.facts import AdmissionUnit
from plankroute.policy.admission import OPEN_LIMITS


@pytest.mark.parametrize("unit", [AdmissionUnit.RATE, AdmissionUnit.SHARE, AdmissionUnit.NONE])
def test_limits_fall_under_overload_only_if_proxies_support_them(unit: AdmissionUnit) -> None:
    bench = ready_bench(admission_unit=unit)
    bench.admission_limits.clear()
    for _ in range(6):
        bench.deliver(*[events.ProxyRequestStats(p, 0, 20, 0, SECOND) for p in range(4)])
        report_requests(bench, 1, time_ms=lambda host: 900.0)
    if unit is AdmissionUnit.NONE:
        assert not bench.admission_limits
        return
    full_limit = 1.0 if unit is AdmissionUnit.SHARE else 20.0
    # A late response counts in one turn only, so the limit does not fall further.
    assert 0.4 * full_limit < bench.admission_limits[-1].limit < full_limit
    report_requests(bench, 25)
    assert bench.admission_limits[-1].limit == OPEN_LIMITS[unit]


@pytest.mark.parametrize(
    "latency_ms, failed, least", [(200.0, 6, 20.0), (900.0, 2, 12.0)], ids=["timely", "late"]
)
def test_limits_shed_nothing_for_failures_alone_and_no_more_than_fails_when_late(
    latency_ms: float, failed: int, least: float
) -> None:
    bench = ready_bench(admission_unit=AdmissionUnit.RATE)
    for _ in range(20):
        bench.deliver(*[events.ProxyRequestStats(p, 0, 12, 0, SECOND) for p in range(4)])
        report_requests(bench, 1, time_ms=lambda host: latency_ms, failed=lambda host: failed)
    assert bench.admission_limits[-1].limit >= least * 0.6
