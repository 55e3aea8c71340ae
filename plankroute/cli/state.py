"""What a steward has learned, from its file or from the steward itself: as a table, or as JSON."""

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
from plankroute.warm_start.codec import MOST_BYTES, Unusable, read_file, read_view
from plankroute.warm_start.facts import HostFacts, View

WAIT_S = 2.0
ASKER = "state-show"  # no steward's name: nothing was left for it


@dataclass(frozen=True, slots=True)
class Found:
    view: View
    age_us: int | None  # since it was written down; None: nobody knows


@dataclass(frozen=True, slots=True)
class Unread:
    why: str


def is_address(where: str) -> bool:
    try:
        host, _ = host_and_port(where)
    except ValueError:
        return False
    return host.replace(".", "").isdigit()


def from_file(path: Path) -> list[Found] | Unread:
    """Under whatever name it was kept: whose it is, is shown."""
    try:
        data = Disk().read(path, MOST_BYTES)
    except OSError as error:
        return Unread(error.strerror or str(error))
    if data is None:
        return Unread("no such file")
    unix_ms = time.time_ns() // 1_000_000
    kept = read_file(data, None, unix_ms)
    return Unread(kept.value) if isinstance(kept, Unusable) else [Found(kept.view, kept.age_us)]


def from_address(where: str, group: str) -> list[Found] | Unread:
    """Asks a running steward, as another steward would."""

    async def ask() -> list[Found]:
        found = []
        async with asyncio.timeout(WAIT_S):
            reader, writer = await asyncio.open_connection(*host_and_port(where))
            try:
                writer.write(encode_frame(WarmStartRequest(LINK_VERSION, group, ASKER)))
                async for _, age_us, data in read_views(reader, FrameDecoder(), MOST_BYTES):
                    if (view := read_view(data)) is not None:
                        found.append(Found(view, age_us))
            finally:
                writer.transport.abort()
        return found

    try:
        return asyncio.run(ask()) or Unread(
            "no answer; is it of this group, with a learned section?"
        )
    except (OSError, TimeoutError) as error:
        return Unread(f"no answer: {error}".strip(": "))


def age_of(facts: HostFacts, found: Found) -> float | None:
    """Seconds since the fact was heard."""
    return None if found.age_us is None else (facts.age_us + found.age_us) / 1e6


def counts_for(facts: HostFacts, found: Found, limit_s: float) -> str:
    age_s = age_of(facts, found)
    if age_s is None or age_s >= limit_s:
        return "nothing"
    if facts.is_shut:
        return "starts shut, is probed"
    return "starts at the floor" if facts.is_bad() else f"starts near {facts.weight:.2f}"


def as_table(found: Found, limit_s: float) -> str:
    view = found.view
    written = "nobody knows when" if found.age_us is None else f"{found.age_us / 1e6:.1f} s ago"
    head = f"{view.name}: written down {written}; list of revision {view.revision}, {len(view.hosts)} hosts"
    rows = [("host", "age", "weight", "voided", "shut", "counts for")]
    for facts in sorted(view.hosts, key=lambda facts: (not facts.is_bad(), facts.uid)):
        age_s, part = age_of(facts, found), facts.failed / facts.attempts if facts.attempts else 0.0
        rows.append(
            (
                facts.uid,
                "?" if age_s is None else f"{age_s:.1f} s",
                f"{facts.weight:.2f}",
                f"{part:.0%}",
                "yes" if facts.is_shut else "no",
                counts_for(facts, found, limit_s),
            )
        )
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]
    closed = [f"{uid}: {state.lower()} by the list" for uid, state in view.closed]
    return "\n".join([head, *lines, *closed])


def as_json_text(found: Found, limit_s: float) -> str:
    view = found.view
    hosts = [
        {
            "host": facts.uid,
            "boot_ms": facts.boot_ms,
            "age_s": age_of(facts, found),
            "weight": facts.weight,
            "tries": facts.attempts,
            "voided": facts.failed,
            "shut": facts.is_shut,
            "needed": facts.required_checks,
            "counts_for": counts_for(facts, found, limit_s),
        }
        for facts in view.hosts
    ]
    written_s = None if found.age_us is None else found.age_us / 1e6
    return msgspec.json.encode(
        {
            "steward": view.name,
            "revision": view.revision,
            "written_s_ago": written_s,
            "hosts": hosts,
            "closed": dict(view.closed),
        }
    ).decode()
