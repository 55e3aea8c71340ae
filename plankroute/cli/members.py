"""Asks a running controller for the members it knows, and prints them.

By datagrams to its membership address, since that is there anyway: no further listener, and no
file that a read-only file system would refuse. A controller answers only what is asked from its
own machine.
"""

import socket

import orjson

from plankroute.cli.text_table import text_table
from plankroute.membership.codec import Codec
from plankroute.membership.facts import MOST_DATAGRAM
from plankroute.membership.messages import Line, ViewAsked, ViewPiece
from plankroute.membership.records import Standing
from plankroute.net.process.address import host_and_port

MAX_ATTEMPTS = 3  # for each part: a datagram may be lost, also on one machine
HEADINGS = ("name", "state", "for", "zone", "address", "incarnation")


def ask(address: str, group: str, wait_s: float) -> list[Line] | None:
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
    lines: list[Line] = []
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
        client.settimeout(wait_s)
        while True:
            piece = ask_piece(client, server, codec, len(lines))
            if piece is None:
                return None
            lines += piece.lines
            if len(lines) >= piece.total or not piece.lines:
                return lines


def ask_piece(
    client: socket.socket, server: tuple[str, int], codec: Codec, first: int
) -> ViewPiece | None:
    """The lines from `first` on that fit into a datagram; None: no answer to any attempt."""
    for _ in range(MAX_ATTEMPTS):
        try:
            client.sendto(codec.write(ViewAsked(first)), server)
            while True:
                message = codec.read(client.recv(MOST_DATAGRAM + 1))
                if isinstance(message, ViewPiece) and message.first == first:
                    return message
        except OSError:
            continue
    return None


def state_of(line: Line) -> str:
    """The state of a member, as the controller has it."""
    return Standing(line.told).name.lower()


def as_json_text(lines: list[Line]) -> str:
    """One JSON object for machines; its keys are part of the interface."""
    members = [
        {
            "name": line.record.name,
            "address": line.record.address,
            "zone": line.record.zone,
            "state": state_of(line),
            "for_s": round(line.for_us / 1e6, 3),
            "life": line.record.life,
            "incarnation": line.record.incarnation,
        }
        for line in lines
    ]
    own_name = lines[0].record.name if lines else None
    text = orjson.dumps({"steward": own_name, "members": members}, option=orjson.OPT_INDENT_2)
    return text.decode()


def as_table(lines: list[Line]) -> str:
    """A table for people."""
    return text_table([HEADINGS, *(table_row(line) for line in lines)])


def table_row(line: Line) -> tuple[str, ...]:
    """One member under `HEADINGS`."""
    return (
        line.record.name,
        state_of(line),
        f"{line.for_us / 1e6:.1f} s",
        line.record.zone,
        line.record.address,
        str(line.record.incarnation),
    )
