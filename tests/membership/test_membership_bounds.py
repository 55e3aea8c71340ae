"""Bounds on the table, the gossip queue and datagrams."""

from plankroute.membership.facts import MAX_DATAGRAM_BYTES
from plankroute.membership.member_table import MAX_MEMBERS
from plankroute.membership.messages import (
    Gossip,
    MessageReceived,
    NotifyStatus,
    Ping,
    SendMessage,
    StatusChange,
    ViewExchange,
    ViewRequest,
    WakeAt,
)
from plankroute.membership.records import MemberRecord, MemberState
from plankroute.testbed.faults import SECOND
from plankroute.testbed.simulated_members import CODEC, plankroute_member


def test_forged_members_exceed_neither_table_nor_gossip_queue() -> None:
    core = plankroute_member(0, 1, 1, ())
    for start in range(0, 2 * MAX_MEMBERS, 10):
        records = tuple(
            MemberRecord(f"x{number}", "127.9.0.1:1", "z", 1, 1)
            for number in range(start, start + 10)
        )
        core.deliver(SECOND, [MessageReceived("127.9.0.1:1", Gossip(records))])
    assert len(core.table) == MAX_MEMBERS and len(core.dissemination.queue.transmissions) <= 1024


def test_datagram_sizes_and_number_of_messages_are_bounded() -> None:
    """The bound includes an anti-entropy exchange of all buckets and an operator's request."""
    core = plankroute_member(0, 1, 1, ())
    records = tuple(
        MemberRecord(
            f"member-{n:03d}" + "y" * 50,
            "127.100.200.100:65535",
            "z" * 40,
            1 << 61,
            1 << 61,
            MemberState.SUSPECTED,
            (1, 2, 3, 4),
            1 << 61,
        )
        for n in range(60)
    )
    commands = []
    for start in range(0, 60, 5):
        commands += core.deliver(
            SECOND + start, [MessageReceived("127.0.0.9:1", Gossip(records[start : start + 5]))]
        )
    commands += core.deliver(
        2 * SECOND,
        [
            MessageReceived("127.0.0.9:1", Ping(7, 1, records[0], records[1:4])),
            MessageReceived("127.0.0.9:1", ViewExchange(records[:1], bytes(range(32)))),
            MessageReceived("127.0.0.9:1", ViewRequest(0)),
        ],
    )
    sent = [command for command in commands if isinstance(command, SendMessage)]
    assert sent and all(
        len(CODEC.encode(command.message)) <= MAX_DATAGRAM_BYTES for command in sent
    )
    assert len(sent) < 80 and isinstance(commands[-1], WakeAt)
    assert (
        len(
            [
                command
                for command in commands
                if isinstance(command, NotifyStatus) and command.change is StatusChange.JOINED
            ]
        )
        == 60
    )
