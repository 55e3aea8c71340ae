"""Golden test of the bytes that a controller writes while hosts and proxies change.

It also checks that names have no influence on decisions.
"""

import hashlib
import re
from collections.abc import Callable

import orjson
import pytest
from support.controller_model import SECOND
from support.endpoint_lists import host_json, list_json

from plankroute.controller.controller import Controller, TimerToken
from plankroute.controller.message_builder import MessageBuilder
from plankroute.events import events
from plankroute.events.events import ListKind
from plankroute.net.discovery.catalogue import list_from
from plankroute.net.discovery.directory import Directory
from plankroute.net.process.clock import Clock
from plankroute.net.process.configuration import parse_configuration
from plankroute.net.process.core_runner import CoreRunner
from plankroute.net.process.telemetry import EventLog, Telemetry
from plankroute.net.proxies.admission import Admission, PeerIdentity
from plankroute.net.proxies.line_codec import MessageEncoder, parse_line
from plankroute.policy.interim_binding import InterimBinder


def recorded_day(rename: Callable[[str], str], controllers: int) -> list[str]:
    """Simulates a fixed sequence of changes.

    Args:
        rename: Applied to the names of all hosts, zones, machine types and request classes.
        controllers: Number of controllers in the settings.

    Returns:
        The messages in the order written, each after the number of its proxy.
    """
    zones, machine_types = [rename(f"z{n}") for n in range(3)], [rename(f"k{n}") for n in range(2)]
    request_classes = [rename(f"p{n}") for n in range(3)]
    settings = {
        "classes": [
            {"name": request_class, "idempotency": effect}
            for request_class, effect in zip(
                request_classes, ("retryable", "dedup", "fragile"), strict=True
            )
        ],
        "dcs": zones,
        "machineTypes": machine_types,
        "rank": 1,
        "zone": 0,
        "instances": controllers,
        "caps": {"mayProbe": False},
        "familyInfo": {
            "proxies": 60 * controllers,
            "pushRate": 500.0,
            "queueCap": 40000,
            "envelope": 6,
            "bareMs": 60000.0,
        },
        "safety": {
            "drainGraceMs": 12000.0,
            "coldMs": 15000.0,
            "startCapacity": 0.2,
            "fallMultiple": 3.0,
        },
    }
    configuration = parse_configuration(
        orjson.dumps(
            {
                "name": rename("n1"),
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:9",
                "seed": "7",
                "settings": settings,
            }
        )
    )
    hosts = Directory(
        Clock(lambda: 10**18, lambda: 10**18),
        configuration.zones,
        configuration.machine_types,
        configuration.request_classes,
    )
    admission = Admission(hosts, 60 * controllers, 8 * SECOND)
    telemetry = Telemetry(EventLog("n", lambda line: None))
    runner = CoreRunner(
        Controller(configuration.facts, configuration.seed),
        MessageBuilder(3),
        Clock(),
        telemetry,
        1000,
    )
    encoder, written_messages, now = (
        MessageEncoder(configuration.request_classes, hosts.uid),
        list[str](),
        10**15,
    )
    runner.outputs.send_message = lambda message: written_messages.append(
        f"{message.proxy} {encoder.encode(message).decode()}"
    )

    def host(n: int, state: str = "SERVING", boot_ms: float = 0) -> dict:
        return host_json(
            rename(f"h{n:03}"), state, zones[n * 7 % 3], boot_ms, model=machine_types[n * 5 % 2]
        )

    def run(*batch: events.Event) -> None:
        runner.run_batch(
            now, [*batch, *map(events.TimerExpired, (TimerToken.PUBLISHER_CHECK, TimerToken.TURN))]
        )

    def admit(*lines: str) -> list[events.Event]:
        identity, messages = PeerIdentity(), [parse_line(f"{line}\r".encode()) for line in lines]
        return [
            event
            for message in messages
            if (event := admission.admit(identity, message)) is not None
        ]

    run(hosts.apply_list(list_from(list_json(*[host(n) for n in range(200)])), ListKind.CACHED)[0])
    for proxy in range(60):
        run(*admit(f"hello node={proxy} locality={zones[proxy % 3]} w=9 cold=1"))
    for turn in range(20):
        now += SECOND
        changed = [host(turn, "DRAINING"), host(200 + turn, boot_ms=1e12 + turn)]
        listed = hosts.apply_list(list_from(list_json(*changed, rev=42 + turn, whole=False)))[0]
        outcomes = [
            f"outcomes locality={zones[0]} endpoint={rename(f'h{n:03}')} total=9 errors={n % 4} "
            f"rtt={40 + n} interval=1000"
            for n in range(turn, 200, 3)
        ]
        run(listed, *admit(f"agent locality={zones[0]}", *outcomes))
        run(
            *(
                events.Acknowledged(p, runner.controller.publisher.channel.sequence_number, 1)
                for p in range(60)
            )
        )
    assert runner.telemetry.counts["core.failed"] == 0
    published = {host for table in runner.controller.publisher.tables for host in table.published}
    if controllers > 1:
        assert 24 <= len(published) < 150  # a subset of the hosts
    else:
        assert len(published) == 200
    return written_messages


# Digests of the written bytes; any change of a byte is a change of behaviour. Hosts drain while
# most proxies wait. The first digests are with interim tables, the second ones without them.
RECORDED_DAYS = {
    1: "f392dbf05bd9ebdea8855e61732a5aa3451b00b35f7ede96b13e0e129f3769c3",
    4: "cb6987cf93acfcfa4690e8b09d75319f7e153fa8a85bbad97b23a5baf5744440",
}
RECORDED_DAYS_WITHOUT_INTERIM_TABLES = {
    1: "6e01b3d6f1fd60025d70264e049e76c256afe5dae8f62922866ce8db18571098",
    4: "fbb2f0fb3cfa8219139d0cb57aa28e7707ab1cd583b7440db382327de831c089",
}


def digest_of_day(controllers: int) -> str:
    written = "".join(recorded_day(lambda name: name, controllers))
    return hashlib.sha256(written.encode()).hexdigest()


@pytest.mark.parametrize("controllers", RECORDED_DAYS)
def test_a_recorded_day_produces_the_same_bytes(controllers: int) -> None:
    assert digest_of_day(controllers) == RECORDED_DAYS[controllers]


@pytest.mark.parametrize("controllers", RECORDED_DAYS_WITHOUT_INTERIM_TABLES)
def test_a_recorded_day_without_interim_tables_produces_the_same_bytes(
    controllers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against interim tables that change behaviour while no proxy uses them."""
    monkeypatch.setattr(InterimBinder, "_is_needed", lambda self: False)
    assert digest_of_day(controllers) == RECORDED_DAYS_WITHOUT_INTERIM_TABLES[controllers]


@pytest.mark.parametrize("controllers", [1, 4])
def test_names_do_not_influence_decisions(controllers: int) -> None:
    """Guards against decisions that depend on the name of a class, zone, machine type or host."""

    def other_name(name: str) -> str:
        return f"{name[0]}{name[1:].translate(str.maketrans('0123456789', 'acegikmoqs'))}-x"

    plain, name_pattern = recorded_day(lambda name: name, controllers), re.compile(r"[hkpz]\d+")
    renamed = recorded_day(other_name, controllers)
    to_digits = str.maketrans("acegikmoqs", "0123456789")
    assert len(plain) > 200 and any(name_pattern.search(line) for line in plain)
    assert [
        re.sub(r"([hkpz])([acegikmoqs]+)-x", lambda m: m[1] + m[2].translate(to_digits), line)
        for line in renamed
    ] == plain
