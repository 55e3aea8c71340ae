"""When a suspicion becomes a verdict: how many must have had no answer, and how long a denial is waited for.

Pure functions of counts; no I/O, no clock."""

MOST_VOTES = (
    4  # the high watermark: four that err at once were not seen in 3.6 million member seconds
)
LOW_VOTES = 2  # the low one, from which the program is told: one alone is most often wrong
SMALL_PART = (
    0.4  # of the group: half of it, less a few that are complained of wrongly, must not wait
)
CONTEST_PART = 0.7  # of the patience: a verdict out of the blue waits that long for its denial


def confirmations_needed(unsuspected: int) -> int:
    """Of `unsuspected` members that nobody complains of, this one among them, half have to agree, four at
    most.

    Guards against a verdict that can't come because those who would vote are dead too: half of a group
    killed at once, a small part behind a cut.
    """
    return max(1, min(MOST_VOTES, (unsuspected + 1) // 2))


def confirmations_to_notify(needed: int) -> int:
    return min(LOW_VOTES, needed)


def suspicion_timeout_us(needed: int, unsuspected: int, members: int, patience_us: int) -> int:
    """How long a suspicion stands at least before it may become a verdict.

    Nothing where four agree; the fewer have to, the longer a denial is waited for (one alone: the whole
    patience). A small part of the group waits the patience once more: most likely it is itself what is cut
    off.
    """
    few = patience_us * (MOST_VOTES - needed) // (MOST_VOTES - 1)
    return few + (patience_us if unsuspected < SMALL_PART * members else 0)


def is_confirmed_failure(
    voters: int, mine: bool, hears_accused: bool, needed: int, stood_us: int, least_us: int
) -> bool:
    """`mine`: this member is among the voters. `hears_accused`: one that it complains of still speaks to it.

    Guards against a one-sided cut: who hears those that do not answer it is not heard itself, and its own
    complaint counts for nothing then; others' do.
    """
    counted = voters - 1 if mine and hears_accused else voters
    return counted >= needed and stood_us >= least_us
