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


def test_invented_members_fill_no_more_than_the_table() -> None:
    core = plankroute_member(0, 1, 1, ())
    for start in range(0, 2 * MAX_MEMBERS, 10):
        records = tuple(
            MemberRecord(f"x{number}", "127.9.0.1:1", "z", 1, 1)
            for number in range(start, start + 10)
        )
        core.deliver(SECOND, [MessageReceived("127.9.0.1:1", Gossip(records))])
    assert len(core.table) == MAX_MEMBERS and len(core.dissemination.queue.transmissions) <= 1024


def test_every_datagram_fits_and_messages_at_once_are_bounded() -> None:
    """Also after an exchange of whole views with an operator's question beside it."""
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
    out = []
    for at in range(0, 60, 5):
        out += core.deliver(
            SECOND + at, [MessageReceived("127.0.0.9:1", Gossip(records[at : at + 5]))]
        )
    out += core.deliver(
        2 * SECOND,
        [
            MessageReceived("127.0.0.9:1", Ping(7, 1, records[0], records[1:4])),
            MessageReceived("127.0.0.9:1", ViewExchange(records[:1], bytes(range(32)))),
            MessageReceived("127.0.0.9:1", ViewRequest(0)),
        ],
    )
    sent = [action for action in out if isinstance(action, SendMessage)]
    assert sent and all(len(CODEC.encode(action.message)) <= MAX_DATAGRAM_BYTES for action in sent)
    assert len(sent) < 80 and isinstance(out[-1], WakeAt)
    assert (
        len([a for a in out if isinstance(a, NotifyStatus) and a.change is StatusChange.JOINED])
        == 60
    )
