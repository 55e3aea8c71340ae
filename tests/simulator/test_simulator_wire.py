"""The record codec on hand-written records, and the simulator's process on whole batches."""

import io
import struct

import pytest

from plankroute.events import commands, events
from plankroute.simulator.__main__ import serve
from plankroute.simulator.command_records import encode_command, encode_failure
from plankroute.simulator.event_records import Delivered, EventDecoder, InstanceEvent
from plankroute.simulator.frames import WireError, read_batch


def record(text: str) -> bytes:
    return bytes.fromhex(text.replace(" ", ""))


LIST = record(
    "0e 00000000 02000000 0000000000000000 0000803f 0000 01 0000 074a1203 0000"
    "0000000000d4b740 0000c03f 0000 01 0100 f211902c 0000"
)
SYNC = record("01 0300 00 2900000000000000 00000000")
HOST_A, HOST_B = 0x03124A07, 0x2C9011F2


def decode(data: bytes) -> list[InstanceEvent]:
    decoder = EventDecoder()
    decoder.report_fields[3] = ("in_flight",)
    return list(decoder.decode(data))


def delivered(data: bytes) -> list[events.Event]:
    """Decodes records that must all be events of instance 3."""
    decoded = decode(data)
    assert all(isinstance(item, Delivered) and item.instance == 3 for item in decoded)
    return [item.event for item in decoded if isinstance(item, Delivered)]


def test_a_host_list_is_delivered_with_the_entries_of_the_list_it_refers_to() -> None:
    ready = events.HostState.READY
    entries = (
        events.HostEntry(HOST_A, ready, 0, 0, 0, 1.0, 0),
        events.HostEntry(HOST_B, ready, 1, 0, 0, 1.5, 6_100_000),
    )
    assert delivered(LIST + SYNC) == [events.HostList(events.ListKind.CACHED, entries)]


def test_statistics_joins_and_timers_are_decoded() -> None:
    stats = record(
        "09 0300 0000 0000000000204840 01000000 0e000000 0000000000408f40 074a1203 01 0000e040"
    )
    assert delivered(stats) == [
        events.HostRequestStats(
            HOST_A, 0, 14, 1, 48250.0, 1_000_000, events.LoadReport(in_flight=7.0)
        )
    ]
    traffic = record("0a 0300 0000000000409f40 00 00000000 2900 09000000")
    assert delivered(traffic) == [events.ProxyRequestStats(41, 0, 9, 0, 2_000_000)]
    joined = record("06 0300 2900 0000 0000d040 01")
    assert delivered(joined) == [events.ProxyJoined(41, 0, 6.5, True)]
    assert decode(record("02 0300 4d000000 07 0500 2900")) == [
        Delivered(3, events.TimerExpired(77)),
        Delivered(5, events.ProxyLeft(41)),
    ]


@pytest.mark.parametrize(
    ("text", "event"),
    [
        (
            "03 0300 074a1203 0000 0000000000204840 01 0000e040",
            events.HealthCheckResult(
                HOST_A,
                events.HealthCheckOutcome.ANSWERED,
                48_250,
                events.LoadReport(in_flight=7.0),
            ),
        ),
        (
            "03 0300 074a1203 6f00 0000000000204840 00",
            events.HealthCheckResult(HOST_A, events.HealthCheckOutcome.UNREACHABLE, 48_250, None),
        ),
        ("04 0300 02000000 0400 68692037", events.PeerMessage(2, b"hi 7")),
        ("08 0300 2900 8903000000000000 0000000000204840", events.Acknowledged(41, 905, 48_250)),
        (
            "0b 0300 0700 01 09000000 02000000 0000000000408f40",
            events.SliceRequestStats(7, 1, 9, 2, 1_000_000),
        ),
        ("0c 0300 0700 01", events.SliceAssignment(7, True)),
        ("0d 0300 0700 074a1203 0000c03f", events.SliceRoute(7, HOST_A, 1.5)),
        ("01 0300 03 2900000000000000 09000000", events.HostList(events.ListKind.FAILED, ())),
    ],
)
def test_each_event_record_is_decoded(text: str, event: events.Event) -> None:
    assert delivered(record(text)) == [event]


def test_a_list_number_that_is_reused_refers_to_the_latest_list() -> None:
    other = LIST.replace(record("074a1203"), record("01000000"))
    first, second = delivered(LIST + SYNC + other + SYNC)
    assert isinstance(first, events.HostList)
    assert isinstance(second, events.HostList)
    assert first.entries[0].host == HOST_A and second.entries[0].host == 1


COMMAND_RECORDS: dict[str, commands.Command] = {
    "4b 0300 7500 f211902c 0000403f": commands.SetRoute(117, HOST_B, 0.75),
    "41 0300 0000000000407f40 4d000000": commands.SetTimer(500_000, 77),
    "43 0300 7500 2900 0000": commands.BindProxy(117, 41),
    "43 0300 7500 2900 0500": commands.BindProxy(117, 41, (0, 2)),
    "44 0300 7500 01 0200 0000403f": commands.SetAdmissionLimit(
        117, (1,), 0.75, commands.RetryPolicy.IF_NOT_EXECUTED
    ),
    "44 0300 ffff 00 0000 0000403f": commands.SetAdmissionLimit(
        commands.ALL_TABLES, None, 0.75, commands.RetryPolicy.NEVER
    ),
    "45 0300 ffff 0400 68692037": commands.SendToPeer(commands.ALL_PEERS, b"hi 7"),
    "45 0300 0200 0400 68692037": commands.SendToPeer(2, b"hi 7"),
    "40 0300 7500": commands.ClearTable(117),
    "42 0300": commands.PollHostList(),
    "46 0300 f211902c": commands.CheckHealth(HOST_B),
    "47 0300 0200 6e6f": commands.LogMessage("no"),
    "48 0300 f211902c 01": commands.WithdrawHost(HOST_B, True),
    "49 0300 8903000000000000 01": commands.RequestAcknowledgement(905, all_proxies=True),
    "4a 0300 01": commands.SubscribeHostList(True),
}


@pytest.mark.parametrize(("text", "command"), COMMAND_RECORDS.items())
def test_each_command_is_encoded(text: str, command: commands.Command) -> None:
    assert encode_command(3, command) == record(text)


def test_a_failure_is_encoded_with_its_text() -> None:
    assert encode_failure(5, "no") == record("4c 0500 0200 6e6f")


@pytest.mark.parametrize("command", [commands.ForgetHost(7), commands.PingProxy(2)])
def test_a_command_without_a_record_raises_type_error(command: commands.Command) -> None:
    with pytest.raises(TypeError):
        encode_command(3, command)


@pytest.mark.parametrize(
    "data",
    [
        record("ff"),
        record("02 0300"),
        LIST[:20],
        SYNC,
        record("00 0300 0100000000000000 02000000 7b7b"),
    ],
)
def test_malformed_records_raise_wire_error(data: bytes) -> None:
    with pytest.raises(WireError):
        decode(data)


def test_frames_are_read_and_written_and_truncated_ones_raise_wire_error() -> None:
    batch = record("01000000 08000000 00000000206ec040")
    assert read_batch(io.BytesIO(batch)) == (1, 8412.25, b"")
    for cut in (4, 12):
        with pytest.raises(WireError):
            read_batch(io.BytesIO(batch[:cut]))
    sink = io.BytesIO()
    serve(io.BytesIO(batch), sink)
    assert sink.getvalue() == record("01000000 04000000 00000000")


def test_an_instance_killed_and_started_again_in_one_batch() -> None:
    enlist = record("00 0300 0700000000000000 02000000 7b7d")
    body = struct.pack("<d", 1.0) + enlist + LIST + SYNC + record("05 0300") + enlist + SYNC
    sink = io.BytesIO()
    serve(io.BytesIO(struct.pack("<II", 1, len(body)) + body), sink)
    _, _, count = struct.unpack_from("<III", sink.getvalue())
    assert count == 2 and sink.getvalue()[12] == 65
