"""Asks a running steward for its view, by datagrams to its membership address, and prints it.

By datagrams, since the address is there anyway: no further listener, no file that a read-only tree would
refuse, and
the steward answers only what is asked from its own machine."""

import socket

import orjson

from plankroute.membership.codec import Codec
from plankroute.membership.facts import MAX_DATAGRAM_BYTES
from plankroute.membership.messages import ViewLine, ViewRequest, ViewResponse
from plankroute.membership.records import MemberState
from plankroute.net.process.address import host_and_port

TRIES = 3  # for each part: a datagram may be lost, also on one machine


def ask(address: str, group: str, wait_s: float) -> list[ViewLine] | None:
    """All lines, the steward's own first; None where nobody answers. Raises ValueError for no address."""
    where, codec, lines = host_and_port(address), Codec(group), list[ViewLine]()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as asking:
        asking.settimeout(wait_s)
        while True:
            piece = ask_piece(asking, where, codec, len(lines))
            if piece is None:
                return None
            lines += piece.lines
            if len(lines) >= piece.total_lines or not piece.lines:
                return lines


def ask_piece(
    asking: socket.socket, where: tuple[str, int], codec: Codec, first: int
) -> ViewResponse | None:
    for _ in range(TRIES):
        try:
            asking.sendto(codec.encode(ViewRequest(first)), where)
            while True:
                said = codec.decode(asking.recv(MAX_DATAGRAM_BYTES + 1))
                if isinstance(said, ViewResponse) and said.first_line == first:
                    return said
        except OSError:
            continue
    return None


def state_of(line: ViewLine) -> str:
    """The word for a state in the output, which scripts read: a failed member is "gone"."""
    state = MemberState(line.state)
    return "gone" if state is MemberState.FAILED else state.name.lower()


def as_json_text(lines: list[ViewLine]) -> str:
    return orjson.dumps(
        {
            "steward": lines[0].record.name if lines else None,
            "members": [
                {
                    "name": line.record.name,
                    "address": line.record.address,
                    "zone": line.record.zone,
                    "state": state_of(line),
                    "for_s": round(line.duration_us / 1e6, 3),
                    "life": line.record.instance_id,
                    "incarnation": line.record.incarnation,
                }
                for line in lines
            ],
        },
        option=orjson.OPT_INDENT_2,
    ).decode()


def as_table(lines: list[ViewLine]) -> str:
    rows = [("name", "state", "for", "zone", "address", "incarnation")]
    rows += [
        (
            line.record.name,
            state_of(line),
            f"{line.duration_us / 1e6:.1f} s",
            line.record.zone,
            line.record.address,
            str(line.record.incarnation),
        )
        for line in lines
    ]
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    )
