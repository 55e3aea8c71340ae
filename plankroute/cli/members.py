"""Asks a running controller for the members it knows, and prints them.

By datagrams to its membership address, since that is there anyway: no further listener, and no
file that a read-only file system would refuse. A controller answers only what is asked from its
own machine.
"""

import socket

import orjson

from plankroute.membership.codec import Codec
from plankroute.membership.facts import MAX_DATAGRAM_BYTES
from plankroute.membership.messages import ViewLine, ViewRequest, ViewResponse
from plankroute.membership.records import MemberState
from plankroute.net.process.address import host_and_port
from plankroute.text_table import text_table

MAX_ATTEMPTS = 3  # for each part: a datagram may be lost, also on one machine
HEADINGS = ("name", "state", "for", "zone", "address", "incarnation")


def ask(address: str, group: str, wait_s: float) -> list[ViewLine] | None:
    """Asks a controller for its members.

    Args:
        address: Its membership address.
        group: The name of the group.
        wait_s: Limit of each attempt, in seconds.

    Returns:
        A line for each member, the controller's own first; None: nobody answers.

    Raises:
        ValueError: The address is none.
    """
    server = host_and_port(address)
    codec = Codec(group)
    lines: list[ViewLine] = []
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
        client.settimeout(wait_s)
        while True:
            piece = ask_piece(client, server, codec, len(lines))
            if piece is None:
                return None
            lines += piece.lines
            if len(lines) >= piece.total_lines or not piece.lines:
                return lines


def ask_piece(
    client: socket.socket, server: tuple[str, int], codec: Codec, first: int
) -> ViewResponse | None:
    """The lines from `first` on that fit into a datagram; None: no answer to any attempt."""
    for _ in range(MAX_ATTEMPTS):
        try:
            client.sendto(codec.encode(ViewRequest(first)), server)
            while True:
                message = codec.decode(client.recv(MAX_DATAGRAM_BYTES + 1))
                if isinstance(message, ViewResponse) and message.first_line == first:
                    return message
        except OSError:
            continue
    return None


def state_of(line: ViewLine) -> str:
    """The word for a state in the output, which scripts read: a failed member is "gone"."""
    state = MemberState(line.state)
    return "gone" if state is MemberState.FAILED else state.name.lower()


def as_json_text(lines: list[ViewLine]) -> str:
    """One JSON object for machines; its keys are part of the interface."""
    members = [
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
    ]
    own_name = lines[0].record.name if lines else None
    text = orjson.dumps({"steward": own_name, "members": members}, option=orjson.OPT_INDENT_2)
    return text.decode()


def as_table(lines: list[ViewLine]) -> str:
    """A table for people."""
    return text_table([HEADINGS, *(table_row(line) for line in lines)])


def table_row(line: ViewLine) -> tuple[str, ...]:
    """One member under `HEADINGS`."""
    return (
        line.record.name,
        state_of(line),
        f"{line.duration_us / 1e6:.1f} s",
        line.record.zone,
        line.record.address,
        str(line.record.incarnation),
    )
