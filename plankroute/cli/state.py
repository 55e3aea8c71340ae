"""What a controller knows of hosts, from its file or asked of it as it runs: a table, or JSON."""

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
from plankroute.net.peers.link_frames import read_views
from plankroute.net.process.address import host_and_port
from plankroute.net.process.file_store import Disk
from plankroute.text_table import text_table
from plankroute.warm_start.codec import MAX_FILE_BYTES, FileProblem, decode_file, decode_snapshot
from plankroute.warm_start.snapshot import HostKnowledge, Snapshot

ANSWER_TIMEOUT_S = 2.0  # a controller answers within milliseconds
ASKING_NAME = "state-show"  # no controller's name: nothing was handed over for it
HEADINGS = ("host", "age", "weight", "failed", "ejected", "counts for")


@dataclass(frozen=True, slots=True)
class FoundSnapshot:
    """A snapshot that was read.

    Attributes:
        snapshot: What it holds.
        age_us: Microseconds since it was written down; None: unknown.
    """

    snapshot: Snapshot
    age_us: int | None

    def age_s_of(self, host: HostKnowledge) -> float | None:
        """Seconds since a host was observed; None: unknown."""
        return None if self.age_us is None else (host.age_us + self.age_us) / 1e6


class StateError(Exception):
    """There is no snapshot to be had; the message says why."""


def is_address(where: str) -> bool:
    """Whether it looks like an IPv4 address and port."""
    try:
        host, _ = host_and_port(where)
    except ValueError:
        return False
    return host.replace(".", "").isdigit()


def read_file(path: Path) -> FoundSnapshot:
    """Reads a snapshot file, whichever controller wrote it.

    Raises:
        StateError: It can't be read or used.
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
    return FoundSnapshot(stored.snapshot, stored.age_us)


def ask_controller(address: str, group: str) -> list[FoundSnapshot]:
    """Asks a running controller, as another controller would.

    Raises:
        StateError: It does not answer.
    """
    try:
        found = asyncio.run(request_snapshots(address, group))
    except (OSError, TimeoutError) as error:
        raise StateError(f"no answer: {error}".strip(": ")) from error
    if not found:
        raise StateError("no answer; is it of this group, with a learned section?")
    return found


async def request_snapshots(address: str, group: str) -> list[FoundSnapshot]:
    """All snapshots that a running controller sends.

    Raises:
        OSError: The link could not be opened, or broke.
        TimeoutError: It took too long.
    """
    found: list[FoundSnapshot] = []
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*host_and_port(address))
        try:
            writer.write(encode_frame(WarmStartRequest(LINK_VERSION, group, ASKING_NAME)))
            async for _, age_us, data in read_views(reader, FrameDecoder(), MAX_FILE_BYTES):
                snapshot = decode_snapshot(data)
                if snapshot is not None:
                    found.append(FoundSnapshot(snapshot, age_us))
        finally:
            writer.transport.abort()
    return found


def effect_on_start(host: HostKnowledge, found: FoundSnapshot, max_age_s: float) -> str:
    """What the knowledge of a host would do at a start now."""
    age_s = found.age_s_of(host)
    if age_s is None or age_s >= max_age_s:
        return "nothing"
    if host.ejected:
        return "starts ejected, with health checks"
    if host.is_unhealthy():
        return "starts at the lowest weight"
    return f"starts near {host.weight:.2f}"


def as_table(found: FoundSnapshot, max_age_s: float) -> str:
    """A table for people, unhealthy hosts first."""
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


def table_row(host: HostKnowledge, found: FoundSnapshot, max_age_s: float) -> tuple[str, ...]:
    """One host under `HEADINGS`."""
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


def as_json_text(found: FoundSnapshot, max_age_s: float) -> str:
    """One JSON object for machines; its keys are part of the interface."""
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
