"""Reads a controller's prior knowledge of hosts from its file or over a link, and formats it."""

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

from plankroute.cold_start.link_codec import (
    LINK_VERSION,
    FrameDecoder,
    WarmStartRequest,
    encode_frame,
)
from plankroute.net.peers.link_frames import read_snapshots
from plankroute.net.process.address import host_and_port
from plankroute.net.process.file_store import Disk
from plankroute.text_table import text_table
from plankroute.warm_start.codec import MAX_FILE_BYTES, FileProblem, decode_file, decode_snapshot
from plankroute.warm_start.snapshot import HostKnowledge, Snapshot

ANSWER_TIMEOUT_S = 2.0  # a controller answers within milliseconds
REQUESTER_NAME = "state-show"  # not the name of a controller, so that no handover is kept for it
HEADINGS = ("host", "age", "weight", "failed", "ejected", "counts for")


@dataclass(frozen=True, slots=True)
class AgedSnapshot:
    """A snapshot and its age.

    Attributes:
        snapshot: The snapshot.
        age_us: Microseconds since the snapshot was written; None if unknown.
    """

    snapshot: Snapshot
    age_us: int | None

    def age_s_of(self, host: HostKnowledge) -> float | None:
        """Returns the seconds since a host was last observed, or None if unknown."""
        return None if self.age_us is None else (host.age_us + self.age_us) / 1e6


class StateError(Exception):
    """No snapshot could be read; the message gives the reason."""


def is_address(where: str) -> bool:
    """Returns whether the text looks like an IPv4 address and port, rather than a file."""
    try:
        host, _ = host_and_port(where)
    except ValueError:
        return False
    return host.replace(".", "").isdigit()


def read_snapshot_file(path: Path) -> AgedSnapshot:
    """Reads a snapshot file of any controller.

    Raises:
        StateError: The file is missing, unreadable or invalid.
    """
    try:
        data = Disk().read(path, MAX_FILE_BYTES)
    except OSError as error:
        raise StateError(error.strerror or str(error)) from error
    if data is None:
        raise StateError("no such file")
    stored = decode_file(data, None, time.time_ns() // 1_000_000)
    if isinstance(stored, FileProblem):
        raise StateError(stored.value)
    return AgedSnapshot(stored.snapshot, stored.age_us)


def ask_controller(address: str, group: str) -> list[AgedSnapshot]:
    """Requests snapshots from a running controller, as another controller would.

    Raises:
        StateError: The controller does not answer or sends no snapshot.
    """
    try:
        found = asyncio.run(request_snapshots(address, group))
    except (OSError, TimeoutError) as error:
        raise StateError(f"no answer: {error}".strip(": ")) from error
    if not found:
        raise StateError(
            "no answer; the controller must be in this group and have a learned section"
        )
    return found


async def request_snapshots(address: str, group: str) -> list[AgedSnapshot]:
    """Returns all snapshots that a running controller sends on request.

    Raises:
        OSError: The link could not be opened or was broken.
        TimeoutError: The exchange took longer than `ANSWER_TIMEOUT_S`.
    """
    found: list[AgedSnapshot] = []
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*host_and_port(address))
        try:
            writer.write(encode_frame(WarmStartRequest(LINK_VERSION, group, REQUESTER_NAME)))
            async for _, age_us, data in read_snapshots(reader, FrameDecoder(), MAX_FILE_BYTES):
                snapshot = decode_snapshot(data)
                if snapshot is not None:
                    found.append(AgedSnapshot(snapshot, age_us))
        finally:
            writer.transport.abort()
    return found


def effect_on_start(host: HostKnowledge, found: AgedSnapshot, max_age_s: float) -> str:
    """Describes the effect that the knowledge of a host would have on a start now."""
    age_s = found.age_s_of(host)
    if age_s is None or age_s >= max_age_s:
        return "nothing"
    if host.ejected:
        return "starts ejected, with health checks"
    if host.is_unhealthy():
        return "starts at the lowest weight"
    return f"starts near {host.weight:.2f}"


def as_table(found: AgedSnapshot, max_age_s: float) -> str:
    """Formats a snapshot as a text table, unhealthy hosts first."""
    snapshot = found.snapshot
    written = "at an unknown time" if found.age_us is None else f"{found.age_us / 1e6:.1f} s ago"
    head = (
        f"{snapshot.controller}: written {written}; list of revision {snapshot.list_revision}, "
        f"{len(snapshot.hosts)} hosts"
    )
    hosts = sorted(snapshot.hosts, key=lambda host: (not host.is_unhealthy(), host.uid))
    rows = [HEADINGS, *(table_row(host, found, max_age_s) for host in hosts)]
    withdrawn = [f"{uid}: {word.lower()} by the list" for uid, word in snapshot.withdrawn]
    return "\n".join([head, text_table(rows), *withdrawn])


def table_row(host: HostKnowledge, found: AgedSnapshot, max_age_s: float) -> tuple[str, ...]:
    """Returns the row of one host, with the columns of `HEADINGS`."""
    age_s = found.age_s_of(host)
    failure_ratio = host.failed / host.attempts if host.attempts else 0.0
    return (
        host.uid,
        "?" if age_s is None else f"{age_s:.1f} s",
        f"{host.weight:.2f}",
        f"{failure_ratio:.0%}",
        "yes" if host.ejected else "no",
        effect_on_start(host, found, max_age_s),
    )


def as_json_text(found: AgedSnapshot, max_age_s: float) -> str:
    """Formats a snapshot as one JSON object; its keys are part of the interface."""
    snapshot = found.snapshot
    hosts = [
        {
            "host": host.uid,
            "boot_ms": host.boot_ms,
            "age_s": found.age_s_of(host),
            "weight": host.weight,
            "tries": host.attempts,
            "voided": host.failed,
            "shut": host.ejected,
            "needed": host.required_checks,
            "counts_for": effect_on_start(host, found, max_age_s),
        }
        for host in snapshot.hosts
    ]
    state = {
        "steward": snapshot.controller,
        "revision": snapshot.list_revision,
        "written_s_ago": None if found.age_us is None else found.age_us / 1e6,
        "hosts": hosts,
        "closed": dict(snapshot.withdrawn),
    }
    return msgspec.json.encode(state).decode()
