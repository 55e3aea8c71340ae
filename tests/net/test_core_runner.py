"""The core runner: a failure affects one batch; memory is bounded; channel accounting is right."""

import asyncio

import orjson
import pytest
from support.controller_model import SECOND, entry, full_list, start_facts
from support.endpoint_lists import directory_of, host_json, list_json
from support.service_harness import HELLO, RunningService, run_scenario

from plankroute.controller.controller import Controller, TimerToken
from plankroute.controller.message_builder import MessageBuilder
from plankroute.controller.messages import Message
from plankroute.events import events
from plankroute.events.events import ListKind
from plankroute.net.discovery.catalogue import list_from
from plankroute.net.process.clock import Clock
from plankroute.net.process.core_runner import CoreRunner
from plankroute.net.process.telemetry import EventLog, Telemetry


def test_a_failing_event_loses_no_timer() -> None:
    """Guards against a core that stops because an exception removed its periodic timers."""

    async def run() -> None:
        telemetry = Telemetry(EventLog("n", lambda line: None))
        runner = CoreRunner(
            Controller(start_facts(), 7),
            MessageBuilder(1),
            Clock(),
            telemetry,
            min_batch_interval_us=0,
        )
        runner.submit(full_list(entry(100)))
        runner.flush()
        tokens = sorted(token for _, _, token in runner.timers.heap)
        assert tokens == [TimerToken.TURN, TimerToken.PUBLISHER_CHECK]
        runner.timers.heap = [(0, *rest) for _, *rest in runner.timers.heap]
        runner.submit(events.HostRequestStats(100, 0, None, 0, 1.0, SECOND, None))  # type: ignore[arg-type]
        runner.flush()
        assert telemetry.counts["core.failed"] == 1 and not runner.timers.heap
        for _ in range(2):  # the failing event was queued for the host and for the admission policy
            runner.submit(events.ProxyLeft(1))
            runner.flush()
        assert sorted(token for _, _, token in runner.timers.heap) == tokens

    asyncio.run(run())


def test_replaced_hosts_leave_no_state_behind() -> None:
    """Guards against state that grows with removed hosts: names, indexes, routes, withdrawals."""
    directory = directory_of(*[f"s-{n}" for n in range(12)])
    telemetry = Telemetry(EventLog("n1", lambda line: None))
    sent = list[Message]()
    sizes = list[list[int]]()
    now = 10**15
    runner = CoreRunner(
        Controller(start_facts(warmup_us=SECOND), 7), MessageBuilder(1), Clock(), telemetry, 1000
    )
    runner.outputs.send_message = sent.append
    runner.outputs.forget_host = directory.forget
    core = runner.controller
    publisher = core.publisher
    message_builder = runner.message_builder

    def run_batch(*batch: events.Event) -> None:
        runner.run_batch(
            now, [*batch, *map(events.TimerExpired, (TimerToken.PUBLISHER_CHECK, TimerToken.TURN))]
        )

    first = list_json(*[host_json(f"s-{n}") for n in range(12)])
    joined = [events.ProxyJoined(proxy, 0, 9.0, True) for proxy in range(4)]
    run_batch(directory.apply_list(list_from(first), ListKind.CACHED)[0], *joined)
    for n in range(400):
        now += SECOND
        changed = [host_json(f"s-{n}", "DRAINING"), host_json(f"s-{n + 12}", boot_ms=now / 1000)]
        if n > 2:
            changed.append(host_json(f"s-{n - 3}", "DELETED"))
        reconnecting_proxy = n % 4
        last = max([message.sequence_number for message in sent], default=0)
        acknowledged = [events.Acknowledged(proxy, last, 1) for proxy in range(4)]
        sent.clear()
        run_batch(
            directory.apply_list(list_from(list_json(*changed, rev=42 + n, whole=False)))[0],
            *(acknowledged if last else []),
            events.ProxyLeft(reconnecting_proxy),
            events.ProxyJoined(reconnecting_proxy, 0, 9.0, False),
            events.HostRequestStats(directory.ids[f"s-{n + 5}"], 0, 9, 0, 2e5, SECOND, None),
        )
        sizes.append(
            [
                len(each)
                for each in (
                    directory.hosts,
                    directory.ids,
                    core.host_table.host_ids,
                    core.host_table.index_of,
                    core.hosts,
                    publisher.withdrawn,
                    publisher.tables[0].published,
                    publisher.channel.in_flight,
                    message_builder.earlier_withdrawals.hosts(reconnecting_proxy),
                    publisher.earlier_withdrawals.hosts(reconnecting_proxy),
                    message_builder.withdrawn_hosts,
                    message_builder.tables[0],
                    *[stream.notified for stream in message_builder.streams.values()],
                )
            ]
        )
    assert telemetry.counts["core.failed"] == 0 and not publisher.unbound
    assert set(message_builder.tables[0]) == {directory.ids[f"s-{n}"] for n in range(400, 412)}
    largest_early = map(max, *sizes[:200])
    largest_late = map(max, *sizes[200:])
    assert all(late <= early for early, late in zip(largest_early, largest_late, strict=False))


def test_the_channel_accounts_for_all_lines_that_reinstate_hosts() -> None:
    """Guards against a channel above its cap because reinstating lines were not accounted for."""
    directory = directory_of(*[f"s-{n}" for n in range(40)])
    facts = start_facts(bind_reinstates_hosts=True, warmup_us=SECOND)
    runner = CoreRunner(
        Controller(facts, 7), MessageBuilder(1), Clock(), Telemetry(EventLog("n", print)), 1000
    )
    now = 10**15
    surplus_lines = list[int]()  # lines accounted for minus lines sent, for each message
    channel = runner.controller.publisher.channel

    def send(message: Message) -> None:
        accounted = channel.in_flight[message.sequence_number][message.proxy]
        surplus_lines.append(accounted - message.line_count() - facts.message_overhead_lines)

    def run_batch(*batch: events.Event) -> None:
        runner.run_batch(
            now, [*batch, *map(events.TimerExpired, (TimerToken.PUBLISHER_CHECK, TimerToken.TURN))]
        )

    runner.outputs.send_message = send
    first = [host_json(f"s-{n}", boot_ms=5.0 * (n % 3)) for n in range(40)]
    run_batch(directory.apply_list(list_from(list_json(*first)), ListKind.CACHED)[0])
    run_batch(*[events.ProxyJoined(proxy, 0, 9.0, proxy % 2 == 0) for proxy in range(6)])
    for n in range(30):
        now += 7 * SECOND  # longer than first weights wait for reports on old tables
        changed = [host_json(f"s-{n}", "DRAINING"), host_json(f"s-{n + 40}", boot_ms=now / 1000)]
        if n > 9:
            changed.append(
                host_json(f"s-{n - 9}", boot_ms=now / 1000)
            )  # drained before, now restarted
        reconnecting_proxy = n % 6
        run_batch(
            directory.apply_list(list_from(list_json(*changed, rev=42 + n, whole=False)))[0],
            *[events.Acknowledged(p, channel.sequence_number, 1) for p in range(6)],
            events.ProxyLeft(reconnecting_proxy),
            events.ProxyJoined(reconnecting_proxy, 0, 9.0, n % 4 == 0),
        )
    assert len(surplus_lines) > 100 and min(surplus_lines) >= 0
    assert runner.telemetry.counts["core.failed"] == 0
    assert sum(surplus_lines) < 5 * len(surplus_lines)  # the accounting overestimates only slightly


def test_a_failing_decision_is_logged_and_the_controller_continues(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    log: list[bytes] = []

    async def scenario(running: RunningService) -> None:
        runner = running.service.core
        for part, name in ((runner.controller, "deliver"), (runner.message_builder, "build")):
            original = getattr(part, name)
            monkeypatch.setattr(part, name, lambda *_: 1 // 0)
            proxy = await running.connect(HELLO)
            await running.wait_until(lambda: running.counts["core.failed"] > 0)
            monkeypatch.setattr(part, name, original)
            running.counts["core.failed"] = 0
            proxy.writer.transport.abort()
        proxy = await running.connect(HELLO.replace("=3", "=5"))
        await proxy.receive("replace=1")

    run_scenario(scenario, log)
    lines = map(orjson.loads, log)
    failed = next(line for line in lines if line["event"] == "core_failed")
    assert failed["why"].startswith("ZeroDivisionError") and failed["place"].startswith("<lambda>")
