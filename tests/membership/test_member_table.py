"""Merging of member records, and the bucket sums for comparing tables."""

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
def test_merge_is_commutative_associative_and_idempotent(
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
    numbered_records: list[tuple[int, MemberRecord]], rng: random.Random
) -> None:
    """Guards against sums that differ from the records, since they are updated incrementally."""
    named_records = [
        msgspec.structs.replace(record, name=f"m{number}") for number, record in numbered_records
    ]
    shuffled = named_records + named_records[:5]
    rng.shuffle(shuffled)
    tables = [MemberTable(MemberRecord("own", "a:1", "z", 1, 1)) for _ in range(2)]
    for table, records in zip(tables, (named_records, shuffled), strict=True):
        for record in records:
            table.merge(record, 0)
    assert all_records(tables[0]) == all_records(tables[1])
    assert (
        tables[0].bucket_sums() == tables[1].bucket_sums()
        and tables[0].digest() == tables[1].digest()
    )
    rebuilt = MemberTable(MemberRecord("own", "a:1", "z", 1, 1))
    for index in tables[0].index_by_name.values():
        rebuilt.merge(tables[0].record_at(index), 0)
    assert rebuilt.bucket_sums() == tables[0].bucket_sums()
