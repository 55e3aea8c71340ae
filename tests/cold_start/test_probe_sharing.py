"""Which controllers check a host, and which results count."""

from collections import Counter

from plankroute.cold_start.probe_sharing import (
    SharedResult,
    Survey,
    assigned_controllers,
    is_sampled,
)

SECOND = 1_000_000


def test_each_host_is_checked_by_as_many_as_configured_its_own_zone_first() -> None:
    zones = {f"n{number}": "abc"[number % 3] for number in range(30)}
    asked = Counter()
    for host in range(200):
        probers = assigned_controllers(f"h{host}", "a", zones, 3)
        assert probers == assigned_controllers(f"h{host}", "a", dict(reversed(zones.items())), 3)
        assert len(set(probers)) == 3 and all(zones[name] == "a" for name in probers)
        asked.update(probers)
    assert max(asked.values()) < 2 * 600 / 10
    assert (
        len(assigned_controllers("h", "d", zones, 3)) == 3
        and len(assigned_controllers("h", "a", {"n0": "b"}, 3)) == 1
    )
    drawn = [
        sum(is_sampled(f"n{name}", f"h{host}", 3, 300) for name in range(300))
        for host in range(100)
    ]
    assert 2 < sum(drawn) / 100 < 4


def test_results_count_by_their_age_and_by_the_start_of_the_host() -> None:
    survey = Survey("n0", 3, 10)
    assert survey.add_result("h", SharedResult(9000, 10 * SECOND, 5.0)) and not survey.add_result(
        "h", SharedResult(1, 9 * SECOND, 5.0)
    )
    assert survey.fresh_result("h", 5.0, 11 * SECOND) and not survey.fresh_result(
        "h", 5.0, 13 * SECOND
    )
    assert not survey.fresh_result("h", 6.0, 11 * SECOND)  # another start: another host
    assert survey.add_result("h", SharedResult(1, 9 * SECOND, 6.0)) and survey.fresh_result(
        "h", 6.0, 10 * SECOND
    )
    assert not survey.fresh_result("x", 0.0, 0)
