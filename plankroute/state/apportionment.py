"""Apportionment: functions that divide a total among hosts or proxies."""


def even_rate_cap(rates: list[float], total: float) -> float | None:
    """Returns the cap at which the rates, each limited to the cap, add up to a total.

    This is max-min fairness: rates below the cap are granted in full, and the others share the
    rest evenly.

    Args:
        rates: The requested rates, none negative.
        total: The sum that the capped rates may reach.

    Returns:
        The cap, or None if the sum of the rates does not exceed the total.
    """
    remaining = total
    for index, rate in enumerate(sorted(rates)):
        even_share = remaining / (len(rates) - index)
        if even_share <= rate:
            return even_share
        remaining -= rate
    return None


def round_preserving_sum(exact: dict[int, float]) -> dict[int, int]:
    """Rounds values to integers whose sum is the rounded sum of the values.

    This is the largest remainder method (Hamilton apportionment): each value is rounded down, and
    the units still missing go to the values with the largest remainders. Ties go to the lowest key.

    Args:
        exact: Values by key, none negative.

    Returns:
        Integers by key, in the order of `exact`.
    """
    counts = {key: int(value) for key, value in exact.items()}
    missing = round(sum(exact.values())) - sum(counts.values())
    by_remainder = sorted(counts, key=lambda key: (counts[key] - exact[key], key))
    for key in by_remainder[:missing]:
        counts[key] += 1
    return counts
