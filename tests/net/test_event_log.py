"""The log never holds up the controller."""

import threading

from plankroute.net.process.telemetry import EventLog, Telemetry


def test_a_blocked_log_drops_lines_and_blocks_nobody() -> None:
    written = list[bytes]()
    gate = threading.Event()

    def write(line: bytes) -> None:
        if gate.wait(30):
            written.append(line)

    log = EventLog("n", write)
    telemetry = Telemetry(log)
    for number in range(3000):
        log.event("info", f"event{number}")
    assert log.dropped >= 1900
    gate.set()
    log.finish(30.0)
    telemetry.log_counters()
    log.finish(30.0)
    assert len(written) == 3001 - log.dropped and b'"counters"' in written[-1]
