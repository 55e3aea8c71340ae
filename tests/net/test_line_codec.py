"""Lines are parsed into typed messages or rejections, and load reports into typed values."""

import time
from collections.abc import Callable

import pytest
from support.controller_model import SECOND
from support.protocol_lines import COLLECTOR_LINE, LINES, OUTCOMES_LINE

from plankroute.events.events import LoadReport
from plankroute.net.process.errors import Rejection
from plankroute.net.process.telemetry import EventLog, Telemetry
from plankroute.net.proxies.line_codec import NUMBER, parse_line, parse_load_report
from plankroute.net.proxies.messages import (
    AckMessage,
    CollectorMessage,
    DemandMessage,
    HelloMessage,
    LivenessCheckMessage,
    OutcomesMessage,
)


def test_lines_are_parsed_as_the_protocol_defines_them() -> None:
    assert [parse_line(line + b"\r") for line in LINES] == [
        CollectorMessage("a"),
        LivenessCheckMessage(),
        HelloMessage(3, "a", 21.5, True),
        OutcomesMessage(
            "a", "s-5be2a07c", 212, 3, 41700, SECOND, LoadReport(in_flight=7.0, utilization=0.61)
        ),
        AckMessage(3, 905, 310400),
        DemandMessage(3, "lookup", 19, 0, SECOND),
    ]


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"push rows=a:1",
        b"hello",
        b"hello node=3 locality=a w=21.5",
        b"hello node=-1 locality=a w=1 cold=1",
        b"hello node=3 node=3 locality=a w=1 cold=1",
        b"hello node=3 locality= w=1 cold=1",
        b"hello node=3 locality=a w=nan cold=1",
        b"hello node=3 locality=a w=1 cold=2",
        b"ack node=1_0 nonce=1 latency=1",
        b"hello node=99999999999999999999 locality=a w=1 cold=0",
        b"ack node=3 nonce=1.5 latency=1",
        b"ack node=3 nonce=1 latency=1e999",
        b"ack node=3 nonce=1 latency=-1",
        b"ack  node=3 nonce=1 latency=1",
        b"demand node=3 route=lookup total=4294967296 errors=0 interval=1",
        b"\xe4gent locality=a",
    ],
)
def test_a_line_that_cannot_be_parsed_is_rejected(line: bytes) -> None:
    assert isinstance(parse_line(line + b"\r"), Rejection)
    assert isinstance(parse_line(COLLECTOR_LINE), Rejection)  # no CR


@pytest.mark.parametrize(
    "line, breaks_framing",
    [
        (b"demand node=3 route=lookup total=nan errors=0 interval=1", False),
        (b"ack node=3 nonce= latency=1", False),
        (b"ack nonce=4 latency=1", False),
        (b"ack node=[1]", False),
        (b"ack node=3 node=3 nonce=4 latency=1", False),
        (b"later node=3 word=x", False),
        (b"ack node=3 nonce=demand node=3 route=lookup total=1 errors=0 interval=1", True),
        (b"ack node=3 noncedemand node=3 route=lookup total=1 errors=0 interval=1", True),
        (b"\x88\xc9ck node=3 nonce=4", True),
        (b"a9!k node=3", True),
        (b"", True),
        (b"GET / HTTP/1.1", True),
    ],
)
def test_an_invalid_field_is_distinguished_from_broken_framing(
    line: bytes, breaks_framing: bool
) -> None:
    rejection = parse_line(line + b"\r")
    assert isinstance(rejection, Rejection)
    assert rejection.breaks_framing is breaks_framing


def test_an_invalid_load_value_is_left_out_and_the_outcomes_are_kept() -> None:
    line = OUTCOMES_LINE.replace(b"inflight:7", b"inflight:38654705664")
    message = parse_line(line + b"\r")
    assert isinstance(message, OutcomesMessage)
    assert message.attempts == 212
    assert message.load_report == LoadReport(utilization=0.61)


def test_load_reports_in_health_check_responses() -> None:
    assert parse_load_report(
        b"TEXT inflight=7, queue=2, util=0.61, latency_ms=3.5, other=1\n"
    ) == LoadReport(in_flight=7.0, queue_length=2.0, utilization=0.61, service_time_us=3500.0)
    assert parse_load_report(b"TEXT inflight=-7, queue=nan") == LoadReport()
    assert parse_load_report(b"<html>") is None


def test_load_reports_may_use_names_of_the_settings_or_of_the_protocol() -> None:
    reports = [
        b"rif:7,q:2,busy:0.61,lat_ms:3.5",
        b"inflight:7,queue:2,util:0.61,latency_ms:3.5",
    ]
    for values in reports:
        message = parse_line(OUTCOMES_LINE.rpartition(b"=")[0] + b"=" + values + b"\r")
        assert isinstance(message, OutcomesMessage)
        assert message.load_report == LoadReport(
            in_flight=7.0, queue_length=2.0, utilization=0.61, service_time_us=3500.0
        )
    wrong = parse_line(OUTCOMES_LINE.replace(b"inflight:7", b"inflight:x,queue:-1,eps:inf") + b"\r")
    assert isinstance(wrong, OutcomesMessage)
    assert wrong.load_report == LoadReport(utilization=0.61) and wrong.attempts == 212
    assert parse_load_report(b"TEXT rif=7, busy=0.61") == LoadReport(
        in_flight=7.0, utilization=0.61
    )
    telemetry = Telemetry(EventLog("n", lambda line: None))
    for report in (LoadReport(), LoadReport(in_flight=0.0)):
        telemetry.count_load_report(report)
    assert telemetry.counts == {"dropped.load_reports": 1, "received.load_reports": 1}


@pytest.mark.parametrize(
    "text, is_number",
    [
        ("0", True),
        ("007", True),
        ("41.7", True),
        (".5", True),
        ("1e3", True),
        (".5E-3", True),
        ("1.5e+300", True),
        ("", False),
        (".", False),
        ("5.", False),
        ("5.e3", False),
        ("1..5", False),
        ("1.5.5", False),
        ("e3", False),
        ("1e", False),
        ("1e1000", False),
        ("+1", False),
        ("41.7ms", False),
        ("1_0", False),
    ],
)
def test_which_texts_are_numbers(text: str, is_number: bool) -> None:
    assert bool(NUMBER.fullmatch(text)) is is_number


SHORT_TEXT = 1024
LONG_TEXT = 4096


def shortest_cpu_time(call: Callable[[], object]) -> float:
    """Returns the CPU seconds of the fastest of several calls, which other load affects least."""
    seconds = []
    for _ in range(5):
        started = time.thread_time()
        call()
        seconds.append(time.thread_time() - started)
    return min(seconds)


# A report with a long run of digits before a unit occupied the event loop for minutes.
@pytest.mark.parametrize("unit", ["6", "0", ".", "6.", "e", "e1", "1e+", "-"])
@pytest.mark.parametrize("end", ["", "ms", ".", "e", "\u00b5s"])
def test_the_time_to_parse_a_number_grows_linearly_with_its_length(unit: str, end: str) -> None:
    def parse(length: int) -> None:
        value = (unit * length)[:length] + end
        parse_line(f"ack node=3 nonce=905 latency=4{value}\r".encode("latin-1"))
        parse_load_report(f"TEXT inflight=4{value}".encode("latin-1"))
        parse_line(OUTCOMES_LINE + f",inflight:4{value}\r".encode("latin-1"))

    growth = shortest_cpu_time(lambda: parse(LONG_TEXT)) / shortest_cpu_time(
        lambda: parse(SHORT_TEXT)
    )
    assert growth < 2 * LONG_TEXT / SHORT_TEXT
