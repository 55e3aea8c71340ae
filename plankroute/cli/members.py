"""Requests the member table of a running controller and formats it.

Requests are datagrams to the controller's membership address: that needs no further listener, and
no file, which a read-only file system would reject. A controller answers only requests from its own
machine.
"""

import socket

import orjson

from plankroute.membership.codec import Codec
from plankroute.membership.facts import MAX_DATAGRAM_BYTES
from plankroute.membership.messages import ViewLine, ViewRequest, ViewResponse
from plankroute.membership.records import MemberState
from plankroute.net.process.address import host_and_port
from plankroute.text_table import text_table

MAX_ATTEMPTS = 3  # per datagram: it may be lost even on one machine
HEADINGS = ("name", "state", "for", "zone", "address", "incarnation")


def request_members(address: str, group: str, wait_s: float) -> list[ViewLine] | None:
    """Requests the member table of a controller.

    Args:
        address: The membership address of the controller.
        group: The name of its group.
        wait_s: Time limit of each receive operation, in seconds.

    Returns:
        A line for each member, the controller itself first; None if no attempt was answered.

    Raises:
        ValueError: The address is malformed.
    """
    target = host_and_port(address)
    codec = Codec(group)
    lines: list[ViewLine] = []
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.settimeout(wait_s)
        while True:
            part = request_part(sock, target, codec, len(lines))
            if part is None:
                return None
            lines += part.lines
            if len(lines) >= part.total_lines or not part.lines:
                return lines


def request_part(
    sock: socket.socket, target: tuple[str, int], codec: Codec, first: int
) -> ViewResponse | None:
    """Requests as many lines from `first` on as fit into one datagram.

    Returns:
        The response, or None if no attempt was answered.
    """
    for _ in range(MAX_ATTEMPTS):
        try:
            sock.sendto(codec.encode(ViewRequest(first)), target)
            while True:
                message = codec.decode(sock.recv(MAX_DATAGRAM_BYTES + 1))
                if isinstance(message, ViewResponse) and message.first_line == first:
                    return message
        except OSError:
            continue
    return None


def state_of(line: ViewLine) -> str:
    """Returns the output text of a state: "gone" for a failed member, else the state's own name.

    Scripts read this text, so that it must not change.
    """
    state = MemberState(line.state)
    return "gone" if state is MemberState.FAILED else state.name.lower()


def as_json_text(lines: list[ViewLine]) -> str:
    """Formats the members as one JSON object; its keys are part of the interface."""
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
    """Formats the members as a text table."""
    return text_table([HEADINGS, *(table_row(line) for line in lines)])


def table_row(line: ViewLine) -> tuple[str, ...]:
    """Returns the row of one member, with the columns of `HEADINGS`."""
    return (
        line.record.name,
        state_of(line),
        f"{line.duration_us / 1e6:.1f} s",
        line.record.zone,
        line.record.address,
        str(line.record.incarnation),
    )
