"""Slots are computed when an input changes, and written if they are worth their lines."""

import pytest
from support.controller_bench import large_bench, ready_bench, report_requests
from support.controller_model import (
    DRAINING,
    GONE,
    SECOND,
    Bench,
    entry,
    full_list,
    host_changes,
    request_class_facts,
    start_facts,
)

from plankroute.events import commands, events


def test_one_shared_table_binds_each_proxy_once_and_sends_only_changes() -> None:
    bench = ready_bench()
    assert len(bench.tables) == 1 and len({table for table in bench.bound.values()}) == 1
    bench.command_log.clear()
    bench.pass_time(5 * SECOND)
    assert not [
        command
        for command in bench.command_log
        if isinstance(command, (commands.SetRoute, commands.BindProxy))
    ]


def test_slots_are_recomputed_only_when_an_input_has_changed() -> None:
    """Guards against recomputing unchanged slots, which took a tenth of a core at 500 hosts."""
    bench = ready_bench()
    report_requests(bench, 3)
    publisher, calls = bench.controller.publisher, []
    table = type(publisher.tables[0])
    original = table.slots
    table.slots = lambda *args: calls.append(args) or original(*args)
    try:
        bench.pass_time(SECOND // 2)
        calls_before = len(calls)
        bench.deliver(host_changes(entry(100, DRAINING, zone=0, machine_type=0)))
        assert calls_before == 0 < len(calls) and 100 not in bench.tables[0]
        assert publisher.target.current() == [
            original(publisher.tables[0], bench.controller.host_table, publisher.withdrawn)
        ]
    finally:
        table.slots = original


def test_a_zone_left_with_ejected_and_cold_hosts_uses_the_ejected_ones() -> None:
    bench = Bench(start_facts(request_classes=(request_class_facts(stays_in_zone=True),)))
    bench.deliver(
        full_list(*[entry(100 + i) for i in range(3)]), events.ProxyJoined(0, 0, 10.0, True)
    )
    bench.pass_time(2 * SECOND)
    bench.controller.host_table.ejected[0] = True
    bench.deliver(
        host_changes(entry(101, DRAINING), entry(102, GONE), entry(103, started_us=bench.now))
    )
    bench.pass_time(SECOND // 2)
    assert 100 in bench.usable_weights(0, 0)
    bench.deliver(
        host_changes(entry(100, GONE), entry(103, GONE))
    )  # no host is left, which must not fail


def test_no_tables_are_written_for_sliced_keys_but_hosts_are_withdrawn() -> None:
    bench = Bench(start_facts(slices=4, slices_exclusive=True))
    bench.deliver(
        full_list(entry(1), entry(2)),
        events.ProxyJoined(0, 0, 1.0, True),
        events.SliceAssignment(0, True),
    )
    bench.deliver(host_changes(entry(1, DRAINING)))
    assert not bench.tables and not bench.bound and bench.withdrawn == {1}


def test_a_constrained_channel_writes_the_largest_changes_and_bounds_the_weights() -> None:
    bench, _ = large_bench(7)
    bench.pass_time(8 * SECOND)
    bench.command_log.clear()
    report_requests(bench, 1, time_ms=lambda host: 2000.0 if host == 100 else 200.0 + host)
    lines = [
        command.host for command in bench.command_log if isinstance(command, commands.SetRoute)
    ]
    assert lines[0] == 100 and len(lines) < 30
    bench.channel_lines_per_s, host_table = 0.0, bench.controller.host_table
    report_requests(bench, 12, time_ms=lambda host: 2000.0 if host == 101 else 200.0)
    assert (
        host_table.channel_constrained
        and host_table.weight[1] >= host_table.effective_weight[1] / 2
    )


def test_a_wrong_slot_is_corrected_although_lines_are_expensive() -> None:
    bench, _ = large_bench(7, channel_line_penalty=0.5)
    bench.pass_time(8 * SECOND)
    before = bench.tables[0][100]
    report_requests(bench, 25, time_ms=lambda host: 2000.0 if host == 100 else 200.0)
    assert bench.tables[0][100] < before / 2


@pytest.mark.parametrize("latency_ms, written", [(100.0, False), (500.0, True)])
def test_small_changes_wait_at_low_latency_and_are_written_if_responses_are_late(
    latency_ms: float, written: bool
) -> None:
    """Guards against a channel that is always busy with changes of hardly any benefit."""
    bench, _ = large_bench(7, channel_line_penalty=0.02)
    bench.pass_time(8 * SECOND)
    report_requests(bench, 6, time_ms=lambda _: latency_ms)
    bench.command_log.clear()
    weights = bench.controller.host_table.weight
    weights[:] = [weight * (1.1 if index % 2 else 0.9) for index, weight in enumerate(weights)]
    bench.pass_time(SECOND)
    assert any(isinstance(command, commands.SetRoute) for command in bench.command_log) is written
