"""Encodings of all messages, and commands of whole groups, as recorded from version 1.

Guards against a rename that changes the wire format, and against a changed order of random draws or
of iteration.
"""

from hashlib import blake2b

import msgspec
import pytest

from plankroute.membership.codec import Codec
from plankroute.membership.messages import (
    Ack,
    Command,
    CountMetric,
    Gossip,
    IndirectAck,
    IndirectPingRequest,
    LeaveCompleted,
    Message,
    MessageReceived,
    NotifyStatus,
    Ping,
    SendMessage,
    StatusChange,
    ViewExchange,
    ViewLine,
    ViewRequest,
    ViewResponse,
    WakeAt,
)
from plankroute.membership.records import MemberRecord, MemberState
from plankroute.testbed.faults import SECOND, Act, Rule, Script, Step, pauses
from plankroute.testbed.simulated_members import (
    CODEC,
    Core,
    Group,
    address_of,
    plankroute_member,
)

# The digests were recorded when these status changes had other names.
RECORDED_CHANGES = {
    StatusChange.FAILED: "gone",
    StatusChange.RECOVERED: "back",
    StatusChange.DUPLICATE_NAME: "doubled",
    StatusChange.REPORTED_FAILED: "called_gone",
    StatusChange.NAME_LOST: "displaced",
    StatusChange.ISOLATED: "alone",
    StatusChange.RECONNECTED: "in_company",
}

ALIVE = MemberRecord("n1", "127.0.0.1:7946", "z1", 7, 1000)
SUSPECTED = MemberRecord("n2", "127.0.0.2:7946", "z2", 8, 2000, MemberState.SUSPECTED, (3, 5), 9)
MESSAGES: dict[str, tuple[Message, str]] = {
    "ping": (
        Ping(1, 2, ALIVE, (SUSPECTED,)),
        "016dc044c57ac0f24e9501010298a26e31ae3132372e302e302e313a37393436a27a3107cd03e80090009198a26e32ae3132372e302e302e323a37393436a27a3208cd07d00192030509",
    ),
    "ack": (
        Ack(1, ALIVE, (SUSPECTED,), b"sums"),
        "016dc044c5a6423ca795020198a26e31ae3132372e302e302e313a37393436a27a3107cd03e80090009198a26e32ae3132372e302e302e323a37393436a27a3208cd07d00192030509c40473756d73",
    ),
    "indirect ping request": (
        IndirectPingRequest(1, "127.0.0.9:1", ALIVE, (SUSPECTED,)),
        "016dc044c5238fb98e950301ab3132372e302e302e393a3198a26e31ae3132372e302e302e313a37393436a27a3107cd03e80090009198a26e32ae3132372e302e302e323a37393436a27a3208cd07d00192030509",
    ),
    "indirect ack": (
        IndirectAck(1, ALIVE, (SUSPECTED,)),
        "016dc044c537c1267e94040198a26e31ae3132372e302e302e313a37393436a27a3107cd03e80090009198a26e32ae3132372e302e302e323a37393436a27a3208cd07d00192030509",
    ),
    "gossip": (
        Gossip((ALIVE, SUSPECTED)),
        "016dc044c5a308ab9892059298a26e31ae3132372e302e302e313a37393436a27a3107cd03e800900098a26e32ae3132372e302e302e323a37393436a27a3208cd07d00192030509",
    ),
    "view exchange": (
        ViewExchange((ALIVE,), b"\x01\x1f"),
        "016dc044c571eb229a93069198a26e31ae3132372e302e302e313a37393436a27a3107cd03e8009000c402011f",
    ),
    "view request": (ViewRequest(3), "016dc044c54f8b6e86920703"),
    "view response": (
        ViewResponse(9, 3, (ViewLine(SUSPECTED, 1, 5000),)),
        "016dc044c573a7bc9994080903919398a26e32ae3132372e302e302e323a37393436a27a3208cd07d0019203050901cd1388",
    ),
}


@pytest.mark.parametrize("kind", MESSAGES)
def test_encoding_of_each_message_is_unchanged(kind: str) -> None:
    message, recorded = MESSAGES[kind]
    codec = Codec("group")
    assert codec.encode(message).hex() == recorded
    assert codec.decode(bytes.fromhex(recorded)) == message


class DigestingGroup(Group):
    """Hashes each command of each member with its time."""

    def __init__(self, *arguments: object, **options: object) -> None:
        self.digest = blake2b(digest_size=16)
        super().__init__(*arguments, **options)  # type: ignore[arg-type]

    def carry_out(self, member: int, command: Command) -> None:
        match command:
            case SendMessage(address, message):
                fields: tuple[object, ...] = ("send", address, CODEC.encode(message))
            case NotifyStatus(change, record, confirmations):
                fields = (
                    "told",
                    RECORDED_CHANGES.get(change, change.value),
                    msgspec.msgpack.encode(record),
                    confirmations,
                )
            case WakeAt(due_us):
                fields = "rest", due_us
            case CountMetric(_, amount):
                fields = "counted", amount
            case LeaveCompleted():
                fields = ("finished",)
        self.digest.update(repr((self.now_us, member, *fields)).encode())
        super().carry_out(member, command)


def make_member_with_duplicate_name(
    member: int, process_number: int, seed: int, seeds: tuple[str, ...]
) -> Core:
    """Member 5 starts with the name of member 4, but at its own address."""
    core = plankroute_member(member, process_number, seed, seeds)
    if member == 5:
        core = plankroute_member(4, 99, seed + 7, seeds)
        core.table.store(0, msgspec.structs.replace(core.table.own_record(), address=address_of(5)))
    return core


def lossy_group() -> DigestingGroup:
    steps = (
        *pauses(tuple(range(2, 15)), 15, 40, seed=3),
        Step(20, Act.KILL, 15),
        Step(30, Act.START, 15),
        Step(45, Act.LEAVE, 6),
    )
    rules = Rule(loss=0.2, duplicate_share=0.1, jitter_ms=20), Rule(20, 35, (3,), None, cut=True)
    script = Script(3, rules, tuple(sorted(steps, key=lambda step: step.at_s)))
    return DigestingGroup(16, script, seed=3).run(60)


def request_view(group: DigestingGroup) -> None:
    group.deliver(0, MessageReceived("127.0.0.1:1", ViewRequest(0)))


GROUPS = {
    "faults of all kinds": (lossy_group, "27ad5572dfdcb3a25f32b586a4a403b8"),
    "half killed at once": (
        lambda: DigestingGroup(
            12, Script(1, (), tuple(Step(20, Act.KILL, member) for member in range(6, 12))), seed=1
        ).run(40),
        "0e5357725c7b3f5b8480f4e85f41f999",
    ),
    "duplicate name": (
        lambda: DigestingGroup(
            6, Script(1, (), ()), make=make_member_with_duplicate_name, seed=1, start_s=12
        ).run(40),
        "045b3b0ecfaac1aff749148bdf78dc4b",
    ),
    "all members known at the start": (
        lambda: DigestingGroup(
            80, Script(5, (Rule(loss=0.3),), (Step(5, Act.KILL, 79),)), seed=5, has_full_tables=True
        ).run(12),
        "d963037f019d6c2c984fcf7ba1040d31",
    ),
}


@pytest.mark.parametrize("name", GROUPS)
def test_the_same_seed_gives_the_same_commands(name: str) -> None:
    make, recorded = GROUPS[name]
    group = make()
    request_view(group)
    assert group.now_us % SECOND == 0
    assert group.digest.hexdigest() == recorded
