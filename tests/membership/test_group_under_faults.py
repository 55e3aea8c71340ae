"""Groups of members in simulated time: kills, pauses, partitions, datagram loss and restarts."""

import msgspec
import pytest

from plankroute.membership.core import Membership
from plankroute.testbed import checkers
from plankroute.testbed.faults import SECOND, Act, Rule, Script, Step, partition, pauses
from plankroute.testbed.simulated_members import (
    CoreMaker,
    Group,
    address_of,
    name_of,
    plankroute_member,
)


def make_group(
    members: int,
    *rules: Rule,
    steps: tuple[Step, ...] = (),
    seed: int = 1,
    start_s: float = 1.0,
    make: CoreMaker = plankroute_member,
) -> Group:
    script = Script(seed, rules, steps)
    return Group(members, script, make=make, seed=seed, start_s=start_s)


def detection_times_us(run: Group, member: int, at_s: float, survivors: range) -> list[int]:
    times = checkers.detection_us(run.history, member, int(at_s * SECOND), survivors).values()
    assert None not in times, "a survivor never reported the failure"
    return sorted(time for time in times if time is not None)


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_only_a_killed_member_is_reported_failed_and_by_all(loss: float) -> None:
    run = make_group(
        12, Rule(loss=loss, duplicate_share=0.1, jitter_ms=20), steps=(Step(30, Act.KILL, 11),)
    ).run(45)
    times = detection_times_us(run, 11, 30, range(11))
    assert times[5] < 4 * SECOND and times[-1] < 8 * SECOND
    assert {report.subject for report in run.history.reports_of("failed")} == {11}


def test_half_of_a_group_killed_at_once_is_detected() -> None:
    """Guards against failures that would need confirmations from members killed as well."""
    run = make_group(12, steps=tuple(Step(20, Act.KILL, member) for member in range(6, 12))).run(40)
    assert (
        max(detection_times_us(run, member, 20, range(6))[-1] for member in range(6, 12))
        < 8 * SECOND
    )
    assert not checkers.false_failure_reports(run.history)


def test_pauses_of_most_members_cause_no_false_failure() -> None:
    """Guards against a member that counts a pause of its own process as the silence of others."""
    steps = *pauses(tuple(range(2, 15)), 15, 54, seed=3), Step(35, Act.KILL, 15)
    run = make_group(16, steps=steps, seed=3).run(70)
    assert not checkers.false_failure_reports(run.history) and detection_times_us(
        run, 15, 35, range(15)
    )


@pytest.mark.parametrize(
    "rule",
    [
        Rule(20, 40, (3,), None, cut=True),
        Rule(20, 40, None, (3,), cut=True),
        Rule(20, 40, (3,), (4, 5, 6, 7), cut=True),
        Rule(20, 40, (4, 5, 6, 7), (3,), cut=True),
    ],
    ids=[
        "outgoing_lost",
        "incoming_lost",
        "outgoing_to_a_third_lost",
        "incoming_from_a_third_lost",
    ],
)
def test_all_members_agree_on_a_stable_status_in_a_one_way_partition(rule: Rule) -> None:
    run = make_group(12, rule).run(60)
    changes = checkers.verdict_changes(run.history, 20 * SECOND, 40 * SECOND)
    assert max(changes.values(), default=0) <= 1
    others = [member for member in range(12) if member != 3]
    assert not checkers.disputed_subjects(run.history, 39 * SECOND, others, range(12))
    assert {
        report.subject for report in run.history.reports_of("failed") if report.observer != 3
    } <= {3}
    assert (
        agreement_us := checkers.agreed_after_us(run.history, 40 * SECOND, range(12))
    ) is not None
    assert agreement_us < 5 * SECOND


@pytest.mark.parametrize(
    "parts", [(tuple(range(6)), tuple(range(6, 12))), (tuple(range(7)), tuple(range(7, 11)), (11,))]
)
def test_failure_reports_of_a_healed_partition_cause_no_failure(
    parts: tuple[tuple[int, ...], ...],
) -> None:
    """Guards against failure reports from the other side of a partition, after it heals.

    They name members that this side never suspected, and that can refute the reports.
    """
    run = make_group(12, *partition(parts, 20, 40)).run(60)
    verdicts = checkers.verdicts_at(run.history, 39 * SECOND)
    for part in parts:
        assert all(
            verdicts[one, other] == ("joined" if other in part else "failed")
            for one in part
            for other in range(12)
            if one != other
        )
    assert not [report for report in run.history.reports_of("failed") if report.at_us > 40 * SECOND]
    assert checkers.agreed_after_us(run.history, 40 * SECOND, range(12)) < 5 * SECOND
    assert not checkers.stale_presence_reports(run.history)


def test_slow_links_cause_no_false_failure() -> None:
    run = make_group(
        12, Rule(delay_ms=300, late_share=0.1, late_ms=2000), steps=(Step(40, Act.KILL, 11),)
    ).run(55)
    assert (
        not checkers.false_failure_reports(run.history)
        and detection_times_us(run, 11, 40, range(11))[-1] < 8 * SECOND
    )


def test_a_restart_is_a_new_instance_and_a_leave_is_no_failure() -> None:
    steps = (Step(20, Act.KILL, 5), Step(20.4, Act.START, 5), Step(30, Act.LEAVE, 6))
    run = make_group(8, steps=steps).run(45)
    instance_ids = {
        report.instance_id for report in run.history.reports_of("joined") if report.subject == 5
    }
    assert len(instance_ids) == 2 and not run.history.reports_of("failed")
    assert (
        max(
            leave_times_us := [
                report.at_us - 30 * SECOND for report in run.history.reports_of("left")
            ]
        )
        < SECOND
    )
    assert len(leave_times_us) == 7


def test_a_member_joins_once_one_of_its_failed_seeds_starts() -> None:
    kills = [Step(0.5, Act.KILL, member) for member in range(3)]
    steps = *kills, Step(20, Act.START, 1)
    run = make_group(4, steps=steps, start_s=2).run(30)
    assert checkers.agreed_after_us(run.history, 20 * SECOND, (1, 3)) < 2 * SECOND


def test_two_processes_with_one_name_are_reported_and_one_yields() -> None:
    """Guards against a name that changes hands forever between two processes.

    The second process has its own address. Each process claims the name at most once.
    """

    def make(member: int, process_number: int, seed: int, seeds: tuple[str, ...]) -> Membership:
        core = plankroute_member(member, process_number, seed, seeds)
        if member == 5:  # has the name of member 4
            core = plankroute_member(4, 99, seed + 7, seeds)
            core.table.store(
                0, msgspec.structs.replace(core.table.own_record(), address=address_of(5))
            )
        return core

    run = make_group(6, make=make, start_s=12).run(40)
    assert {report.observer for report in run.history.reports_of("duplicate_name")} == {
        0,
        1,
        2,
        3,
        5,
    }
    assert [report.observer for report in run.history.reports_of("name_lost")] == [4]
    assert {
        run.cores[at].table.record_at(run.cores[at].table.index_by_name[name_of(4)]).instance_id
        for at in (0, 1, 2, 3, 5)
    } == {(4 << 16) + 99}
    assert not run.history.reports_of("failed")
