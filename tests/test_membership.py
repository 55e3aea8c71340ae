"""Membership's core: the rule by which views merge, its parts one by one, and groups in simulated time under
faults."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plankroute.membership import suspicion
from plankroute.membership.codec import HEADER, Codec, Rejection
from plankroute.membership.facts import MAX_DATAGRAM_BYTES
from plankroute.membership.local_health import LATE_WAKE_US, SETTLE_US, LocalHealth, PauseAwareClock
from plankroute.membership.member_table import MAX_MEMBERS, MemberTable
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
from plankroute.membership.name_claim import ClaimOutcome, NameClaim
from plankroute.membership.records import MemberRecord, MemberState, canonical, merge_records
from plankroute.testbed import checkers
from plankroute.testbed.faults import SECOND, Act, Rule, Script, Step, partition, pauses
from plankroute.testbed.simulated_members import (
    CODEC,
    Group,
    address_of,
    name_of,
    plankroute_member,
)

RECORDS = st.builds(
    MemberRecord,
    st.just("n1"),
    st.sampled_from(["127.0.0.1:1", "127.0.0.1:2"]),
    st.sampled_from(["a", "b"]),
    st.integers(0, 2),
    st.integers(0, 2),
    st.sampled_from(MemberState),
    st.lists(st.integers(0, 7), max_size=6).map(tuple),
    st.integers(0, 2),
).map(canonical)


@given(RECORDS, RECORDS, RECORDS)
def test_two_views_merge_the_same_way_in_any_order_and_number(one, other, third):
    assert merge_records(one, other) == merge_records(other, one)
    assert merge_records(merge_records(one, other), third) == merge_records(
        one, merge_records(other, third)
    )
    assert merge_records(one, one) == one and merge_records(
        one, merge_records(one, other)
    ) == merge_records(one, other)
    assert canonical(merge_records(one, other)) == merge_records(one, other)


@settings(max_examples=50)
@given(
    st.lists(st.tuples(st.integers(0, 5), RECORDS), max_size=30), st.randoms(use_true_random=False)
)
def test_views_that_heard_the_same_are_equal_and_have_equal_sums(said, chance):
    """Sums are kept by difference: guards against one that drifts from the records that it stands for."""
    named = [msgspec.structs.replace(record, name=f"m{number}") for number, record in said]
    shuffled = named + named[:5]
    chance.shuffle(shuffled)
    views = [MemberTable(MemberRecord("own", "a:1", "z", 1, 1)) for _ in range(2)]
    for table, records in zip(views, (named, shuffled), strict=True):
        for record in records:
            table.merge(record, 0)
    assert [{n: v.record_at(p) for n, p in v.index_by_name.items()} for v in views][0] == {
        n: views[1].record_at(p) for n, p in views[1].index_by_name.items()
    }
    assert (
        views[0].bucket_sums() == views[1].bucket_sums() and views[0].digest() == views[1].digest()
    )
    fresh = MemberTable(MemberRecord("own", "a:1", "z", 1, 1))
    for place in views[0].index_by_name.values():
        fresh.merge(views[0].record_at(place), 0)
    assert fresh.bucket_sums() == views[0].bucket_sums()


def group(members: int, *rules: Rule, steps: tuple[Step, ...] = (), seed: int = 1, **more) -> Group:
    return Group(members, Script(seed, rules, steps), seed=seed, **more)


def detected(run: Group, member: int, at_s: float, survivors: range) -> list[int]:
    times = checkers.detection_us(run.history, member, int(at_s * SECOND), survivors).values()
    assert None not in times, "a survivor never knew"
    return sorted(time for time in times if time is not None)


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_a_killed_member_is_found_by_all_and_nobody_else(loss):
    run = group(12, Rule(loss=loss, twice=0.1, spread_ms=20), steps=(Step(30, Act.KILL, 11),)).run(
        45
    )
    times = detected(run, 11, 30, range(11))
    assert times[5] < 4 * SECOND and times[-1] < 8 * SECOND
    assert {entry.subject for entry in run.history.of("failed")} == {11}


def test_half_of_a_group_killed_at_once_is_found():
    """Guards against a verdict that waits for votes of the dead."""
    run = group(12, steps=tuple(Step(20, Act.KILL, member) for member in range(6, 12))).run(40)
    assert max(detected(run, member, 20, range(6))[-1] for member in range(6, 12)) < 8 * SECOND
    assert not checkers.wrongly_gone(run.history)


def test_pauses_of_seven_in_eight_members_call_nobody_gone():
    """Guards against time that passes for a member while it stands still itself."""
    steps = pauses(tuple(range(2, 15)), 15, 54, seed=3) + (Step(35, Act.KILL, 15),)
    run = group(16, steps=steps, seed=3).run(70)
    assert not checkers.wrongly_gone(run.history) and detected(run, 15, 35, range(15))


@pytest.mark.parametrize(
    "rule",
    [
        Rule(20, 40, (3,), None, cut=True),
        Rule(20, 40, None, (3,), cut=True),
        Rule(20, 40, (3,), (4, 5, 6, 7), cut=True),
        Rule(20, 40, (4, 5, 6, 7), (3,), cut=True),
    ],
    ids=["not heard", "hears not", "not heard by a third", "hears not a third"],
)
def test_a_one_sided_cut_has_one_verdict_that_does_not_flap(rule):
    run = group(12, rule).run(60)
    changes = checkers.verdict_changes(run.history, 20 * SECOND, 40 * SECOND)
    assert max(changes.values(), default=0) <= 1
    others = [member for member in range(12) if member != 3]
    assert not checkers.disagreeing(run.history, 39 * SECOND, others, range(12))
    assert {entry.subject for entry in run.history.of("failed") if entry.observer != 3} <= {3}
    assert (agreed := checkers.agreed_after_us(run.history, 40 * SECOND, range(12))) is not None
    assert agreed < 5 * SECOND


@pytest.mark.parametrize(
    "parts", [(tuple(range(6)), tuple(range(6, 12))), (tuple(range(7)), tuple(range(7, 11)), (11,))]
)
def test_a_partition_heals_and_old_verdicts_kill_nobody(parts):
    """Guards against verdicts of the other side: nobody here had suspected those that they name."""
    run = group(12, *partition(parts, 20, 40)).run(60)
    held = checkers.standing_at(run.history, 39 * SECOND)
    for part in parts:
        assert all(
            held[one, other] == ("joined" if other in part else "failed")
            for one in part
            for other in range(12)
            if one != other
        )
    assert not [entry for entry in run.history.of("failed") if entry.at_us > 40 * SECOND]
    assert checkers.agreed_after_us(run.history, 40 * SECOND, range(12)) < 5 * SECOND
    assert not checkers.resurrected(run.history)


def test_slow_links_call_nobody_gone():
    run = group(
        12, Rule(delay_ms=300, late_share=0.1, late_ms=2000), steps=(Step(40, Act.KILL, 11),)
    ).run(55)
    assert (
        not checkers.wrongly_gone(run.history) and detected(run, 11, 40, range(11))[-1] < 8 * SECOND
    )


def test_a_restart_is_a_new_life_and_a_leave_no_failure():
    steps = (Step(20, Act.KILL, 5), Step(20.4, Act.START, 5), Step(30, Act.LEAVE, 6))
    run = group(8, steps=steps).run(45)
    lives = {entry.life for entry in run.history.of("joined") if entry.subject == 5}
    assert len(lives) == 2 and not run.history.of("failed")
    assert (
        max(detected_left := [entry.at_us - 30 * SECOND for entry in run.history.of("left")])
        < SECOND
    )
    assert len(detected_left) == 7


def test_seeds_that_are_all_down_are_joined_when_one_comes():
    steps = tuple(Step(0.5, Act.KILL, member) for member in range(3)) + (Step(20, Act.START, 1),)
    run = group(4, steps=steps, start_s=2).run(30)
    assert checkers.agreed_after_us(run.history, 20 * SECOND, (1, 3)) < 2 * SECOND


def test_two_processes_under_one_name_are_said_openly_and_one_yields():
    """The second one has an address of its own; a claim each, so the name does not go to and fro."""

    def make(member, life, seed, seeds):
        core = plankroute_member(member, life, seed, seeds)
        if member == 5:  # under the name of member 4
            core = plankroute_member(4, 99, seed + 7, seeds)
            core.table.store(
                0, msgspec.structs.replace(core.table.own_record(), address=address_of(5))
            )
        return core

    run = group(6, make=make, start_s=12).run(40)
    assert {entry.observer for entry in run.history.of("duplicate_name")} == {0, 1, 2, 3, 5}
    assert [entry.observer for entry in run.history.of("name_lost")] == [4]
    assert {
        run.cores[at].table.record_at(run.cores[at].table.index_by_name[name_of(4)]).instance_id
        for at in (0, 1, 2, 3, 5)
    } == {(4 << 16) + 99}
    assert not run.history.of("failed")


def test_the_clock_of_the_day_of_a_new_life_does_not_matter():
    """An hour back at a restart: its first record is below the old one's, and is raised above it."""
    claim = NameClaim(0)
    own, old = MemberRecord("n", "a:1", "z", 7, 1000), MemberRecord("n", "a:1", "z", 3, 4600)
    decision = claim.on_record(own, old, SECOND)
    raised = decision.own
    assert decision.outcome is ClaimOutcome.CLAIMED
    assert raised.incarnation == 4601 and raised.instance_id == 7
    newer = msgspec.structs.replace(old, instance_id=9, incarnation=9000)
    assert claim.on_record(raised, newer, SECOND).outcome is ClaimOutcome.LOST
    assert claim.on_record(raised, old, SECOND).outcome is ClaimOutcome.STALE_INSTANCE


def test_a_pause_of_its_own_passes_no_time():
    awake = PauseAwareClock()
    before = awake.read(SECOND)
    awake.due_us = SECOND + 100_000
    assert awake.read(3 * SECOND) == before + 100_000 - SETTLE_US
    awake.due_us = 3 * SECOND + 100_000
    assert (
        awake.read(3 * SECOND + 100_000 + LATE_WAKE_US)
        == before + 200_000 + LATE_WAKE_US - SETTLE_US
    )


def test_complaints_that_nobody_shares_stretch_time_outs_up_to_twice():
    health = LocalHealth()
    for place in range(1, 10):
        health.add_suspicion(place, 0)
    assert (
        health.timeout_multiplier(set(), SECOND) == 1.0
        and health.timeout_multiplier(set(), 3 * SECOND) == 2.0
    )
    assert health.timeout_multiplier(set(range(1, 9)), 3 * SECOND) == 1.25
    health.clear_suspicion(9)
    assert health.timeout_multiplier(set(range(1, 9)), 3 * SECOND) == 1.0


def test_fewer_votes_are_needed_where_fewer_can_vote_and_they_take_longer():
    assert [suspicion.confirmations_needed(left) for left in (1, 2, 3, 5, 7, 300)] == [
        1,
        1,
        2,
        3,
        4,
        4,
    ]
    waits = [suspicion.suspicion_timeout_us(needed, 10, 12, 3 * SECOND) for needed in (4, 3, 2, 1)]
    assert waits == [0, SECOND, 2 * SECOND, 3 * SECOND]
    assert suspicion.suspicion_timeout_us(4, 4, 12, 3 * SECOND) == 3 * SECOND  # a small part
    assert not suspicion.is_confirmed_failure(
        4, True, True, 4, SECOND, 0
    ) and suspicion.is_confirmed_failure(5, True, True, 4, SECOND, 0)


def test_noise_is_told_apart_and_goes_no_further():
    codec, other = Codec("g"), Codec("h")
    good = codec.encode(Gossip((MemberRecord("n", "a:1", "z", 1, 1),)))
    forged = codec.encode(Gossip((MemberRecord("n" * 65, "a:1", "z", 1, 1),)))
    assert codec.decode(good) == Gossip((MemberRecord("n", "a:1", "z", 1, 1),))
    assert codec.decode(other.encode(Gossip(()))) is Rejection.GROUP
    assert codec.decode(bytes([2]) + good[1:]) is Rejection.VERSION
    assert (
        codec.decode(good[:-1]) is Rejection.CHECKSUM
        and codec.decode(good[: HEADER.size]) is Rejection.SIZE
    )
    assert codec.decode(b"\0" * 65507) is Rejection.SIZE and codec.decode(b"") is Rejection.SIZE
    assert codec.decode(forged) is Rejection.MALFORMED
    for at in range(len(good)):
        assert isinstance(
            codec.decode(good[:at] + bytes([good[at] ^ 1]) + good[at + 1 :]), Rejection
        )


def test_a_million_members_claimed_fill_no_more_than_the_view():
    core = plankroute_member(0, 1, 1, ())
    for start in range(0, 2 * MAX_MEMBERS, 10):
        records = tuple(
            MemberRecord(f"x{number}", "127.9.0.1:1", "z", 1, 1)
            for number in range(start, start + 10)
        )
        core.deliver(SECOND, [MessageReceived("127.9.0.1:1", Gossip(records))])
    assert len(core.table) == MAX_MEMBERS and len(core.dissemination.queue.transmissions) <= 1024


def test_every_datagram_fits_and_sends_at_once_are_bounded():
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
