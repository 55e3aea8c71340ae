"""Which controllers check a host in a survey, and which shared results are used."""

from collections import Counter

from plankroute.cold_start.probe_sharing import (
    SharedResult,
    Survey,
    assigned_controllers,
    is_sampled,
)

SECOND = 1_000_000


def test_the_configured_number_of_controllers_checks_each_host_its_own_zone_first() -> None:
    zones = {f"n{number}": "abc"[number % 3] for number in range(30)}
    checks_by_controller = Counter()
    for host in range(200):
        assigned = assigned_controllers(f"h{host}", "a", zones, 3)
        assert assigned == assigned_controllers(f"h{host}", "a", dict(reversed(zones.items())), 3)
        assert len(set(assigned)) == 3 and all(zones[name] == "a" for name in assigned)
        checks_by_controller.update(assigned)
    assert max(checks_by_controller.values()) < 2 * 600 / 10
    assert (
        len(assigned_controllers("h", "d", zones, 3)) == 3
        and len(assigned_controllers("h", "a", {"n0": "b"}, 3)) == 1
    )
    sample_sizes = [
        sum(is_sampled(f"n{name}", f"h{host}", 3, 300) for name in range(300))
        for host in range(100)
    ]
    assert 2 < sum(sample_sizes) / 100 < 4


def test_results_are_used_only_while_fresh_and_for_the_same_start_of_the_host() -> None:
    survey = Survey("n0", 3, 10)
    assert survey.add_result("h", SharedResult(9000, 10 * SECOND, 5.0)) and not survey.add_result(
        "h", SharedResult(1, 9 * SECOND, 5.0)
    )
    assert survey.fresh_result("h", 5.0, 11 * SECOND) and not survey.fresh_result(
        "h", 5.0, 13 * SECOND
    )
    assert not survey.fresh_result("h", 6.0, 11 * SECOND)  # another start of the host
    assert survey.add_result("h", SharedResult(1, 9 * SECOND, 6.0)) and survey.fresh_result(
        "h", 6.0, 10 * SECOND
    )
    assert not survey.fresh_result("x", 0.0, 0)
