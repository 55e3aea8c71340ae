"""The log states once a second how many proxies wait for tables and what filled the channel."""

from collections import Counter

import orjson

from plankroute.net.process.publishing_log import PublishingLog
from plankroute.net.process.telemetry import EventLog, Telemetry
from plankroute.state.publishing_status import LineKind, PublishingStatus
from plankroute.units import SECOND_US


def status(waiting: int, overdue: int, binds: int) -> PublishingStatus:
    return PublishingStatus(
        bound_proxies=5,
        interim_proxies=0,
        waiting_proxies=waiting,
        longest_wait_us=1_500_000,
        overdue_proxies=overdue,
        pending_withdrawals=0,
        queued_lines=7,
        unacknowledged_lines=9,
        written_lines=Counter({LineKind.BIND: binds}),
    )


def test_waiting_proxies_are_logged_once_a_second_until_none_is_waiting() -> None:
    telemetry = Telemetry(EventLog("n1", lambda line: None))
    events: list[dict[str, object]] = []
    telemetry.log.event = (  # type: ignore[method-assign]
        lambda level, event, **fields: events.append({"level": level, "event": event, **fields})
    )
    log = PublishingLog(telemetry)
    log.report(0, lambda: status(waiting=0, overdue=0, binds=100))
    assert not events
    log.report(SECOND_US, lambda: status(waiting=3, overdue=0, binds=150))
    log.report(SECOND_US + 1, lambda: status(waiting=9, overdue=9, binds=150))
    log.report(2 * SECOND_US, lambda: status(waiting=2, overdue=2, binds=180))
    log.report(3 * SECOND_US, lambda: status(waiting=0, overdue=0, binds=180))
    log.report(4 * SECOND_US, lambda: status(waiting=0, overdue=0, binds=180))
    logged = [
        (event["level"], event["waiting"], event["overdue"], event["binds_lines"])
        for event in events
    ]
    assert logged == [("info", 3, 0, 50), ("warning", 2, 2, 30), ("info", 0, 0, 0)]
    assert orjson.dumps(events[0])
    assert telemetry.counts["channel.lines.binds"] == 180
    assert telemetry.counts["proxies.overdue_s"] == 2
