"""Merging observations of a host from several sources."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from support.host_snapshots import HEALTHY, UNHEALTHY

from plankroute.warm_start.core import HALF_LIFE_US
from plankroute.warm_start.merge import MergedKnowledge, Observation, from_observation, merge
from plankroute.warm_start.snapshot import HostKnowledge


def known_host(
    boot_ms: float, weight: float, attempts: float, failed: float, ejected: bool, at_us: int
) -> MergedKnowledge:
    knowledge = HostKnowledge("h", boot_ms, weight, attempts, failed, 1.0, ejected, 2, 0)
    return from_observation(Observation(knowledge, at_us))


KNOWN = st.builds(
    known_host,
    st.sampled_from([1.0, 2.0]),
    st.sampled_from([0.1, 1.0]),
    st.sampled_from([0.0, 5.0, 50.0]),
    st.sampled_from([0.0, 50.0]),
    st.booleans(),
    st.integers(0, 4 * HALF_LIFE_US),
)


def merged(one: MergedKnowledge, other: MergedKnowledge) -> MergedKnowledge:
    return merge(one, other, HALF_LIFE_US)


@settings(max_examples=200)
@given(KNOWN, KNOWN, KNOWN)
def test_merging_in_any_order_and_any_number_of_times_gives_the_same_result(
    one: MergedKnowledge, two: MergedKnowledge, three: MergedKnowledge
) -> None:
    assert merged(one, one) == one
    assert merged(one, two) == merged(two, one)
    assert merged(merged(one, two), three) == merged(one, merged(two, three))
    assert merged(merged(one, two), two) == merged(one, two)


def test_bad_health_overrides_good_health_unless_that_is_a_half_life_more_recent() -> None:
    bad = from_observation(Observation(UNHEALTHY, 0))
    good = from_observation(Observation(HEALTHY, HALF_LIFE_US // 2))
    assert merged(good, bad).health.knowledge is UNHEALTHY
    more_recent = from_observation(Observation(HEALTHY, HALF_LIFE_US + 1))
    assert merged(more_recent, bad).health.knowledge is HEALTHY
    # Equal attempts: the later observation is used.
    assert merged(good, bad).capacity.knowledge is HEALTHY


def test_a_later_start_of_the_host_discards_all_knowledge_of_an_earlier_one() -> None:
    bad = from_observation(Observation(UNHEALTHY, 0))
    restarted = from_observation(Observation(msgspec.structs.replace(HEALTHY, boot_ms=6.0), 0))
    assert merged(restarted, bad) is restarted
