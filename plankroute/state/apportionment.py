"""Apportionment: splits totals over hosts or proxies. Pure functions, no decision."""


def even_rate_cap(rates: list[float], total: float) -> float | None:
    """Finds the cap for which rates, each cut down to it, add up to a total.

    This is max-min fairness: rates below the cap stay whole, the others share what is left evenly.

    Args:
        rates: The wanted rates, none negative.
        total: What they may add up to.

    Returns:
        The cap, or None if the rates add up to no more than the total as they are.
    """
    remaining = total
    for index, rate in enumerate(sorted(rates)):
        even_share = remaining / (len(rates) - index)
        if even_share <= rate:
            return even_share
        remaining -= rate
    return None


def round_preserving_sum(exact: dict[int, float]) -> dict[int, int]:
    """Rounds values to whole numbers that keep their (rounded) sum.

    Method of the largest remainder (Hamilton apportionment): each value is rounded down, and the
    units that are then missing go to those that lost most; ties go to the lowest key.

    Args:
        exact: Values by key, none negative.

    Returns:
        Whole numbers by key, in the order of `exact`.
    """
    counts = {key: int(value) for key, value in exact.items()}
    missing = round(sum(exact.values())) - sum(counts.values())
    by_remainder = sorted(counts, key=lambda key: (counts[key] - exact[key], key))
    for key in by_remainder[:missing]:
        counts[key] += 1
    return counts
