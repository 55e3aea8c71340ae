"""Snapshots of hosts for tests of the warm start."""

from collections.abc import Iterable

import msgspec

from plankroute.warm_start.codec import CHECKSUM, HEADER, MAGIC, checksum, encode_file
from plankroute.warm_start.snapshot import HostKnowledge, Snapshot

HEALTHY = HostKnowledge("h", 5.0, 1.0, 40.0, 0.0, 20_000.0, False, 2, 0)
UNHEALTHY = msgspec.structs.replace(
    HEALTHY, failed=40.0, ejected=True, weight=0.1, required_checks=8
)


def snapshot_of(
    *hosts: HostKnowledge,
    revision: int = 7,
    withdrawn: Iterable[tuple[str, str]] = (),
    controller: str = "n1",
) -> Snapshot:
    """Returns a snapshot that a controller took of these hosts, with a list of age 0."""
    return Snapshot(controller, revision, 0, hosts, tuple(withdrawn))


def file_of_version(version: int) -> bytes:
    """Returns an intact snapshot file that states the given format version."""
    data = encode_file(snapshot_of(HEALTHY), 5000)
    body = data[HEADER.size :]
    header = HEADER.pack(MAGIC, version, 0, len(body), 5000, 0)
    return header[: -CHECKSUM.size] + CHECKSUM.pack(checksum(header, body)) + body
