"""The event log never blocks the controller."""

import threading

from plankroute.net.process.telemetry import EventLog, Telemetry


def test_a_blocked_log_drops_lines_without_blocking_callers() -> None:
    written = list[bytes]()
    unblocked = threading.Event()

    def write(line: bytes) -> None:
        if unblocked.wait(30):
            written.append(line)

    log = EventLog("n", write)
    telemetry = Telemetry(log)
    for number in range(3000):
        log.event("info", f"event{number}")
    assert log.dropped >= 1900
    unblocked.set()
    log.finish(30.0)
    telemetry.log_counters()
    log.finish(30.0)
    assert len(written) == 3001 - log.dropped and b'"counters"' in written[-1]
