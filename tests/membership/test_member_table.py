"""Merging of member records, and the sums by which tables are compared."""

import random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from plankroute.membership.member_table import MemberTable
from plankroute.membership.records import MemberRecord, MemberState, canonical, merge_records

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
def test_records_merge_the_same_way_in_any_order_and_number(
    one: MemberRecord, other: MemberRecord, third: MemberRecord
) -> None:
    assert merge_records(one, other) == merge_records(other, one)
    assert merge_records(merge_records(one, other), third) == merge_records(
        one, merge_records(other, third)
    )
    assert merge_records(one, one) == one and merge_records(
        one, merge_records(one, other)
    ) == merge_records(one, other)
    assert canonical(merge_records(one, other)) == merge_records(one, other)


def all_records(table: MemberTable) -> dict[str, MemberRecord]:
    return {name: table.record_at(index) for name, index in table.index_by_name.items()}


@settings(max_examples=50)
@given(
    st.lists(st.tuples(st.integers(0, 5), RECORDS), max_size=30), st.randoms(use_true_random=False)
)
def test_tables_that_merged_the_same_records_have_equal_sums(
    said: list[tuple[int, MemberRecord]], chance: random.Random
) -> None:
    """Guards against sums, which are kept by difference, that drift from their records."""
    named = [msgspec.structs.replace(record, name=f"m{number}") for number, record in said]
    shuffled = named + named[:5]
    chance.shuffle(shuffled)
    views = [MemberTable(MemberRecord("own", "a:1", "z", 1, 1)) for _ in range(2)]
    for table, records in zip(views, (named, shuffled), strict=True):
        for record in records:
            table.merge(record, 0)
    assert all_records(views[0]) == all_records(views[1])
    assert (
        views[0].bucket_sums() == views[1].bucket_sums() and views[0].digest() == views[1].digest()
    )
    fresh = MemberTable(MemberRecord("own", "a:1", "z", 1, 1))
    for place in views[0].index_by_name.values():
        fresh.merge(views[0].record_at(place), 0)
    assert fresh.bucket_sums() == views[0].bucket_sums()
