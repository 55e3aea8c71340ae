"""The core's runner: failures cost one batch, memory and the channel's accounting stay right."""

import asyncio

import orjson
import pytest
from support.controller_model import SECOND, entry, full, start_facts
from support.endpoint_lists import directory_of, host_json, list_json
from support.service_stage import HELLO, RunningService, run_scenario

from plankroute.controller.controller import Controller
from plankroute.controller.message_builder import MessageBuilder
from plankroute.controller.messages import Message
from plankroute.events import events
from plankroute.events.events import ListKind
from plankroute.net.discovery.catalogue import list_from
from plankroute.net.process.clock import Clock
from plankroute.net.process.core_runner import CoreRunner
from plankroute.net.process.telemetry import EventLog, Telemetry


def test_an_event_that_fails_takes_no_timer_along() -> None:
    async def run() -> None:
        telemetry, message_builder = Telemetry(EventLog("n", lambda line: None)), MessageBuilder(1)
        runner = CoreRunner(
            Controller(start_facts(), 7),
            message_builder,
            Clock(),
            telemetry,
            min_batch_interval_us=0,
        )
        runner.submit(full(entry(100)))
        runner.flush()
        tokens = sorted(token for _, _, token in runner.timers.heap)
        assert tokens == [Controller.TURN, Controller.PULSE]
        runner.timers.heap = [(0, *rest) for _, *rest in runner.timers.heap]
        runner.submit(events.HostRequestStats(100, 0, None, 0, 1.0, SECOND, None))  # type: ignore[arg-type]
        runner.flush()
        assert telemetry.counts["core.failed"] == 1 and not runner.timers.heap
        for _ in range(2):  # the event was for two parts
            runner.submit(events.ProxyLeft(1))
            runner.flush()
        assert sorted(token for _, _, token in runner.timers.heap) == tokens

    asyncio.run(run())


def test_hosts_replaced_all_day_leave_nothing_behind() -> None:
    """Guards against what grows with hosts that are gone: names, indexes, routes, withdrawals."""
    known, telemetry, sent = (
        directory_of(*[f"s-{n}" for n in range(12)]),
        Telemetry(EventLog("n1", lambda line: None)),
        [],
    )
    runner = CoreRunner(
        Controller(start_facts(warmup_us=SECOND), 7), MessageBuilder(1), Clock(), telemetry, 1000
    )
    runner.outputs.send_message = sent.append
    runner.outputs.forget_host = known.forget
    core, sizes, now = runner.controller, [], 10**15

    def work(*batch: events.Event) -> None:
        runner.run_batch(
            now, [*batch, *map(events.TimerExpired, (Controller.PULSE, Controller.TURN))]
        )

    first = list_json(*[host_json(f"s-{n}") for n in range(12)])
    joined = [events.ProxyJoined(proxy, 0, 9.0, True) for proxy in range(4)]
    work(known.apply_list(list_from(first), ListKind.CACHED)[0], *joined)
    for n in range(400):
        now += SECOND
        changed = [host_json(f"s-{n}", "DRAINING"), host_json(f"s-{n + 12}", boot_ms=now / 1000)]
        changed += [host_json(f"s-{n - 3}", "DELETED")] * (n > 2)
        gone, last = n % 4, max([message.sequence_number for message in sent], default=0)
        sent.clear()
        work(
            known.apply_list(list_from(list_json(*changed, rev=42 + n, whole=False)))[0],
            *[events.Acknowledged(p, last, 1) for p in range(4) if last],
            events.ProxyLeft(gone),
            events.ProxyJoined(gone, 0, 9.0, False),
            events.HostRequestStats(known.ids[f"s-{n + 5}"], 0, 9, 0, 2e5, SECOND, None),
        )
        publisher, message_builder = core.publisher, runner.message_builder
        sizes.append(
            [
                len(each)
                for each in (
                    known.hosts,
                    known.ids,
                    core.host_table.host_ids,
                    core.host_table.index_of,
                    core.hosts,
                    publisher.withdrawn,
                    publisher.tables[0].published,
                    publisher.channel.sent,
                    message_builder.ever_withdrawn,
                    message_builder.withdrawn_hosts,
                    message_builder.tables[0],
                    *[stream.notified for stream in message_builder.streams.values()],
                )
            ]
        )
    assert telemetry.counts["core.failed"] == 0 and not publisher.unbound
    assert set(message_builder.tables[0]) == {known.ids[f"s-{n}"] for n in range(400, 412)}
    largest_early = map(max, *sizes[:200])
    largest_late = map(max, *sizes[200:])
    assert all(late <= early for early, late in zip(largest_early, largest_late, strict=False))


def test_the_channel_accounts_for_all_lines_whatever_hosts_proxies_may_have_withdrawn() -> None:
    """Guards against a channel fuller than its cap by lines that reinstate hosts at a proxy."""
    known, facts = (
        directory_of(*[f"s-{n}" for n in range(40)]),
        start_facts(bind_reinstates_hosts=True, warmup_us=SECOND),
    )
    runner = CoreRunner(
        Controller(facts, 7), MessageBuilder(1), Clock(), Telemetry(EventLog("n", print)), 1000
    )
    now, over = 10**15, []
    channel = runner.controller.publisher.channel

    def send(message: Message) -> None:
        over.append(
            channel.sent[message.sequence_number][message.proxy]
            - message.line_count()
            - facts.message_overhead_lines
        )

    def work(*batch: events.Event) -> None:
        runner.run_batch(
            now, [*batch, *map(events.TimerExpired, (Controller.PULSE, Controller.TURN))]
        )

    runner.outputs.send_message = send
    first = [host_json(f"s-{n}", boot_ms=5.0 * (n % 3)) for n in range(40)]
    work(known.apply_list(list_from(list_json(*first)), ListKind.CACHED)[0])
    work(*[events.ProxyJoined(proxy, 0, 9.0, proxy % 2 == 0) for proxy in range(6)])
    for n in range(30):
        now += 7 * SECOND  # longer than it learns from what old tables bring
        changed = [host_json(f"s-{n}", "DRAINING"), host_json(f"s-{n + 40}", boot_ms=now / 1000)]
        changed += [host_json(f"s-{n - 9}", boot_ms=now / 1000)] * (n > 9)  # it is back
        gone = n % 6
        work(
            known.apply_list(list_from(list_json(*changed, rev=42 + n, whole=False)))[0],
            *[events.Acknowledged(p, channel.sequence_number, 1) for p in range(6)],
            events.ProxyLeft(gone),
            events.ProxyJoined(gone, 0, 9.0, n % 4 == 0),
        )
    assert len(over) > 100 and min(over) >= 0 and runner.telemetry.counts["core.failed"] == 0
    assert sum(over) < 5 * len(over)  # they hold little more than that


def test_a_failing_decision_is_logged_and_the_controller_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    log: list[bytes] = []

    async def scenario(running: RunningService) -> None:
        runner = running.service.core
        for part, name in ((runner.controller, "deliver"), (runner.message_builder, "build")):
            works = getattr(part, name)
            monkeypatch.setattr(part, name, lambda *_: 1 // 0)
            proxy = await running.connect(HELLO)
            await running.wait_until(lambda: running.counts["core.failed"] > 0)
            monkeypatch.setattr(part, name, works)
            running.counts["core.failed"] = 0
            proxy.writer.transport.abort()
        proxy = await running.connect(HELLO.replace("=3", "=5"))
        await proxy.receive("replace=1")

    run_scenario(scenario, log)
    (failed,) = [said for said in map(orjson.loads, log) if said["event"] == "core_failed"][:1]
    assert failed["why"].startswith("ZeroDivisionError") and failed["place"].startswith("<lambda>")
