"""Apportionment divides a total without losing or adding any of it."""

import pytest

from plankroute.state.apportionment import even_rate_cap, round_preserving_sum


@pytest.mark.parametrize(
    ("exact", "rounded"),
    [
        ({}, {}),
        ({7: 2.0, 3: 1.0}, {7: 2, 3: 1}),
        ({7: 1.4, 3: 1.6}, {7: 1, 3: 2}),  # to the largest remainder
        ({7: 1.5, 3: 1.5}, {7: 1, 3: 2}),  # ties to the lowest key
        ({1: 0.25, 2: 0.25, 3: 0.25, 4: 0.25}, {1: 1, 2: 0, 3: 0, 4: 0}),
    ],
)
def test_rounded_values_keep_their_sum(exact: dict[int, float], rounded: dict[int, int]) -> None:
    assert round_preserving_sum(exact) == rounded
    assert list(round_preserving_sum(exact)) == list(exact)  # callers depend on the order


@pytest.mark.parametrize(
    ("rates", "total", "cap"),
    [
        ([], 5.0, None),
        ([1.0, 2.0], 4.0, None),
        ([1.0, 2.0], 2.5, 1.5),
        ([4.0, 4.0], 4.0, 2.0),
        ([1.0, 9.0, 9.0], 9.0, 4.0),
    ],
)
def test_rates_limited_to_the_cap_add_up_to_the_total(
    rates: list[float], total: float, cap: float | None
) -> None:
    assert even_rate_cap(rates, total) == cap
    if cap is not None:
        assert sum(min(rate, cap) for rate in rates) == total
