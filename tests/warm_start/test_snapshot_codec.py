"""Encoding of snapshots: unusable files are rejected, and files of earlier releases are read."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.controller_model import SECOND
from support.host_snapshots import HEALTHY, UNHEALTHY, file_of_version, snapshot_of

from plankroute.warm_start.codec import (
    MAX_FILE_BYTES,
    FileProblem,
    StoredSnapshot,
    decode_file,
    decode_snapshot,
    encode_file,
)
from plankroute.warm_start.snapshot import HostKnowledge, Snapshot

# Written by plankroute.learned.codec.write_file of commit 3d52a09 at Unix time 5000 ms.
FILE_OF_3D52A09 = bytes.fromhex(
    "504b4c5200010000000000000000009100000000000013883808f6443ef35da895a26e3107cd05dc9299a168cb"
    "4014000000000000cb3ff0000000000000cb4044000000000000cb0000000000000000cb40d3880000000000c2"
    "020099a3682d32cb41949971ee000000cb3fb999999999999acb404bc00000000000cb4044200000000000cb40"
    "d1d2a000000000c308ce03b20b809292a3682d33a8445241494e494e4792a3682d34a744454c45544544"
)
SNAPSHOT_OF_3D52A09 = Snapshot(
    controller="n1",
    list_revision=7,
    list_age_us=1500,
    hosts=(
        HostKnowledge(
            uid="h",
            boot_ms=5.0,
            weight=1.0,
            attempts=40.0,
            failed=0.0,
            mean_latency_us=20_000.0,
            ejected=False,
            required_checks=2,
            age_us=0,
        ),
        HostKnowledge(
            uid="h-2",
            boot_ms=86_400_123.5,
            weight=0.1,
            attempts=55.5,
            failed=40.25,
            mean_latency_us=18_250.5,
            ejected=True,
            required_checks=8,
            age_us=62_000_000,
        ),
    ),
    withdrawn=(("h-3", "DRAINING"), ("h-4", "DELETED")),
)


def test_a_file_of_an_earlier_release_is_read_and_written_with_the_same_bytes() -> None:
    stored = decode_file(FILE_OF_3D52A09, "n1", 7000)
    assert stored == StoredSnapshot(SNAPSHOT_OF_3D52A09, 2 * SECOND)
    assert encode_file(SNAPSHOT_OF_3D52A09, 5000) == FILE_OF_3D52A09


def test_every_changed_byte_and_every_truncation_is_detected() -> None:
    data = encode_file(snapshot_of(HEALTHY, UNHEALTHY), 5000)
    expected = StoredSnapshot(snapshot_of(HEALTHY, UNHEALTHY), 2 * SECOND)
    assert decode_file(data, "n1", 7000) == expected
    for index in range(len(data)):
        for bits in (1, 128, 255):
            corrupt = data[:index] + bytes([data[index] ^ bits]) + data[index + 1 :]
            assert isinstance(decode_file(corrupt, "n1", 7000), FileProblem), index
        assert decode_file(data[:index], "n1", 7000) is FileProblem.TRUNCATED
    assert decode_file(data + b"x", "n1", 7000) is FileProblem.TRUNCATED


@pytest.mark.parametrize(
    ("data", "controller", "problem"),
    [
        (file_of_version(2), "n1", FileProblem.NEWER_VERSION),
        (file_of_version(0), "n1", FileProblem.OLDER_VERSION),
        (encode_file(snapshot_of(HEALTHY), 0), "n2", FileProblem.OTHER_CONTROLLER),
        (b"x" * (MAX_FILE_BYTES + 1), "n1", FileProblem.TOO_LARGE),
    ],
    ids=["newer", "older", "other controller", "too large"],
)
def test_an_unusable_file_is_rejected_with_the_reason(
    data: bytes, controller: str, problem: FileProblem
) -> None:
    assert decode_file(data, controller, 0) is problem


def test_the_age_is_unknown_if_the_wall_clock_was_set_back() -> None:
    data = encode_file(snapshot_of(HEALTHY), 10**9)
    assert decode_file(data, "n1", 0) == StoredSnapshot(snapshot_of(HEALTHY), None)


@given(st.binary(max_size=300))
def test_noise_is_no_snapshot(noise: bytes) -> None:
    assert decode_snapshot(noise) is None
    assert isinstance(decode_file(noise, "n1", 0), FileProblem)


def test_a_snapshot_with_invalid_utf8_is_rejected() -> None:
    """Guards against an exception from bytes that a peer sends: a name that is not UTF-8."""
    assert decode_snapshot(b"\x95\xa3\x00\x00\x80") is None


def test_a_snapshot_with_a_present_day_boot_time_can_be_decoded() -> None:
    host = msgspec.structs.replace(HEALTHY, boot_ms=1_764_700_000_123.0)
    stored = decode_file(encode_file(snapshot_of(host), 5000), "n1", 7000)
    assert isinstance(stored, StoredSnapshot)
