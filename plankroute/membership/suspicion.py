"""Rules for when a suspicion becomes a failure: the confirmations and the time that it takes.

Pure functions of numbers, without I/O or a clock.
"""

# The most confirmations that a failure needs. In 3.6 million member-seconds of the membership
# benchmark, four members were never wrong at the same time.
MAX_CONFIRMATIONS_NEEDED = 4
# Confirmations before the program is notified: a suspicion by one member alone is usually wrong.
CONFIRMATIONS_TO_NOTIFY = 2
# With a smaller share of unsuspected members than this, the suspicion timeout is longer. It is less
# than one half, so that half of a group does not wait longer because of a few false suspicions.
MINORITY_SHARE = 0.4
# Share of the probe timeout for which a contested failure waits for a refutation.
CONTEST_TIMEOUT_SHARE = 0.7


def confirmations_needed(unsuspected: int) -> int:
    """Return how many observers have to confirm a failure.

    It is half of the members that are not suspected, and at most four. Suspected members are not
    counted, because they may have failed and could never confirm: for example when half of a group
    is killed at once, or for a small part of the group behind a partition.

    Args:
        unsuspected: Number of members that are not suspected, including this one.
    """
    return max(1, min(MAX_CONFIRMATIONS_NEEDED, (unsuspected + 1) // 2))


def confirmations_to_notify(needed: int) -> int:
    """Return how many observers have to confirm a suspicion before the program is notified."""
    return min(CONFIRMATIONS_TO_NOTIFY, needed)


def suspicion_timeout_us(needed: int, unsuspected: int, members: int, probe_timeout_us: int) -> int:
    """Return the shortest age, in microseconds, at which a suspicion may become a failure.

    As in Lifeguard, the time is shorter with more confirmations: zero if four are needed, the whole
    probe timeout if one is needed. A minority of the group waits one more probe timeout, because
    most likely it is the part that is cut off.

    Args:
        needed: See `confirmations_needed`.
        unsuspected: Number of members that are not suspected, including this one.
        members: Number of living members, including this one.
        probe_timeout_us: The probe timeout in microseconds.
    """
    timeout_us = (
        probe_timeout_us * (MAX_CONFIRMATIONS_NEEDED - needed) // (MAX_CONFIRMATIONS_NEEDED - 1)
    )
    if unsuspected < MINORITY_SHARE * members:
        timeout_us += probe_timeout_us
    return timeout_us


def is_confirmed_failure(
    confirmations: int,
    is_own_confirmation: bool,
    hears_suspect: bool,
    needed: int,
    age_us: int,
    timeout_us: int,
) -> bool:
    """Return whether a suspicion is confirmed and old enough to be a failure.

    In a one-way partition, a member still hears others that do not answer it, because its own
    datagrams are lost. Its own confirmation is not counted then; those of others are.

    Args:
        confirmations: Number of observers that confirm the suspicion.
        is_own_confirmation: Whether this member is one of them.
        hears_suspect: Whether a member that this one suspects still sends messages to it.
        needed: See `confirmations_needed`.
        age_us: Age of the suspicion in microseconds.
        timeout_us: See `suspicion_timeout_us`.
    """
    counted = confirmations
    if is_own_confirmation and hears_suspect:
        counted -= 1
    return counted >= needed and age_us >= timeout_us
