"""Peers may send only the messages of their role, which are converted into events."""

import random

import pytest
from support.controller_model import SECOND
from support.endpoint_lists import directory_of
from support.protocol_lines import (
    ACK_LINE,
    COLLECTOR_LINE,
    DEMAND_LINE,
    HELLO_LINE,
    LINES,
    OUTCOMES_LINE,
)

from plankroute.events import events
from plankroute.events.events import LoadReport
from plankroute.net.process.errors import Rejection
from plankroute.net.proxies.admission import Admission, PeerIdentity, Role
from plankroute.net.proxies.line_codec import parse_line


@pytest.mark.parametrize("seed", range(30))
def test_randomly_corrupted_lines_never_raise(seed: int) -> None:
    random_source = random.Random(seed)
    admission = Admission(directory_of("s-5be2a07c"), 9, 8 * SECOND)
    identity = PeerIdentity()
    for _ in range(300):
        line = bytearray(random_source.choice(LINES) + b"\r")
        for _ in range(random_source.randrange(4)):
            line[random_source.randrange(len(line))] = random_source.choice(b"0=, :-.eEnx\xff\r")
        end = random_source.randrange(len(line) + 1) if random_source.random() < 0.3 else len(line)
        message = parse_line(bytes(line[:end]))
        if not isinstance(message, Rejection):
            admission.admit(identity, message)


def admit_lines(admission: Admission, identity: PeerIdentity, *lines: bytes) -> list:
    return [admission.admit(identity, parse_line(line + b"\r")) for line in lines]


def test_a_proxy_and_a_collector_may_each_send_their_own_messages() -> None:
    admission = Admission(directory_of("s-5be2a07c"), 9, 8 * SECOND)
    proxy = PeerIdentity()
    collector = PeerIdentity()
    assert admit_lines(admission, proxy, HELLO_LINE) == [events.ProxyJoined(3, 0, 21.5, True)]
    admission.joined.add(3)
    proxy.unacknowledged.extend((904, 905, 906))
    assert admit_lines(admission, proxy, ACK_LINE, DEMAND_LINE) == [
        events.Acknowledged(3, 905, 310400),
        events.ProxyRequestStats(3, 0, 19, 0, SECOND),
    ]
    assert list(proxy.unacknowledged) == [906]
    assert admit_lines(admission, collector, COLLECTOR_LINE) == [None]
    assert collector.role is Role.COLLECTOR
    assert admit_lines(admission, collector, OUTCOMES_LINE, DEMAND_LINE) == [
        events.HostRequestStats(
            0, 0, 212, 3, 41700, SECOND, LoadReport(in_flight=7.0, utilization=0.61)
        ),
        events.ProxyRequestStats(3, 0, 19, 0, SECOND),
    ]


@pytest.mark.parametrize(
    "first, line",
    [
        (None, OUTCOMES_LINE),
        (None, ACK_LINE),
        (None, DEMAND_LINE),
        (None, HELLO_LINE.replace(b"node=3", b"node=9")),
        (None, HELLO_LINE.replace(b"=a", b"=zz")),
        (None, b"agent locality=zz"),
        (HELLO_LINE, COLLECTOR_LINE),
        (HELLO_LINE, HELLO_LINE),
        (HELLO_LINE, OUTCOMES_LINE),
        (HELLO_LINE, ACK_LINE),
        (HELLO_LINE, DEMAND_LINE.replace(b"node=3", b"node=4")),
        (COLLECTOR_LINE, HELLO_LINE),
        (COLLECTOR_LINE, ACK_LINE),
        (COLLECTOR_LINE, DEMAND_LINE),
        (COLLECTOR_LINE, OUTCOMES_LINE.replace(b"5be2a07c", b"0")),
        (COLLECTOR_LINE, DEMAND_LINE.replace(b"lookup", b"zz")),
        (COLLECTOR_LINE, OUTCOMES_LINE.replace(b"errors=3", b"errors=213")),
        (COLLECTOR_LINE, OUTCOMES_LINE.replace(b"rtt=41.7", b"rtt=8000.1")),
    ],
)
def test_messages_that_a_peer_may_not_send_are_rejected(first: bytes | None, line: bytes) -> None:
    admission = Admission(directory_of("s-5be2a07c"), 9, 8 * SECOND)
    identity = PeerIdentity()
    if first is not None:
        admit_lines(admission, identity, first)
    assert isinstance(admit_lines(admission, identity, line)[0], Rejection)
