"""The log states once a second how many proxies wait for tables and what filled the channel."""

from collections import Counter

import orjson

from plankroute.net.process.publishing_log import PublishingLog
from plankroute.net.process.telemetry import EventLog, Telemetry
from plankroute.state.publishing_status import LineKind, PublishingStatus
from plankroute.units import SECOND_US


def status(
    waiting: int = 0, overdue: int = 0, binds: int = 0, reinstatements: int = 0
) -> PublishingStatus:
    return PublishingStatus(
        bound_proxies=5,
        interim_proxies=0,
        waiting_proxies=waiting,
        longest_wait_us=1_500_000,
        overdue_proxies=overdue,
        pending_withdrawals=0,
        pending_reinstatements=reinstatements,
        queued_lines=7,
        unacknowledged_lines=9,
        written_lines=Counter({LineKind.BIND: binds}),
    )


def recording_telemetry() -> tuple[Telemetry, list[dict[str, object]]]:
    """Returns a telemetry and the list of the events that are logged there."""
    telemetry = Telemetry(EventLog("n1", lambda line: None))
    events: list[dict[str, object]] = []
    telemetry.log.event = (  # type: ignore[method-assign]
        lambda level, event, **fields: events.append({"level": level, "event": event, **fields})
    )
    return telemetry, events


def test_waiting_proxies_are_logged_once_a_second_until_none_is_waiting() -> None:
    telemetry, events = recording_telemetry()
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


# Returned hosts that no proxy could use were in no log line and no counter.
def test_hosts_that_wait_to_be_reinstated_are_logged_until_none_is_waiting() -> None:
    telemetry, events = recording_telemetry()
    log = PublishingLog(telemetry)
    for second, reinstatements in enumerate([0, 10, 4, 0, 0]):
        log.report(second * SECOND_US, lambda count=reinstatements: status(reinstatements=count))
    assert [event["pending_reinstatements"] for event in events] == [10, 4, 0]
