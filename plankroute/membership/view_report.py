"""Builds the answer to an operator's request for the table of members."""

from collections.abc import Callable

from plankroute.membership.dissemination import OVERHEAD_BYTES
from plankroute.membership.facts import MAX_DATAGRAM_BYTES
from plankroute.membership.member_table import OWN_INDEX, MemberTable
from plankroute.membership.messages import ViewLine, ViewResponse
from plankroute.membership.records import MemberRecord

LINE_OVERHEAD_BYTES = 12  # of a line without its record


def view_response(
    table: MemberTable,
    first_line: int,
    now_us: int,
    record_size: Callable[[MemberRecord], int],
) -> ViewResponse:
    """Return the lines from `first_line` on that fit in a datagram.

    Args:
        table: The table of members. Its line 0 is the controller's own; the others are sorted by
            name.
        first_line: Number of the first line wanted. If the table has no such line, the answer has
            no lines.
        now_us: The time of the pause-aware clock.
        record_size: Returns the encoded size of a record in bytes.
    """
    others = sorted(
        (name, index) for name, index in table.index_by_name.items() if index != OWN_INDEX
    )
    indexes = [OWN_INDEX, *(index for _, index in others)]
    room_bytes = MAX_DATAGRAM_BYTES - OVERHEAD_BYTES
    lines = list[ViewLine]()
    for index in indexes[first_line:]:
        record = table.record_at(index)
        room_bytes -= record_size(record) + LINE_OVERHEAD_BYTES
        if room_bytes < 0:
            break
        duration_us = now_us - table.notified_since_us[index]
        lines.append(ViewLine(record, table.notified_states[index], duration_us))
    return ViewResponse(len(indexes), first_line, tuple(lines))
