"""When a suspicion becomes a failure: how many members must agree, and how long it must stand.

Pure functions of counts; no I/O, no clock.
"""

# Confirmations that always suffice: four members that err at once were not seen in 3.6 million
# member seconds of the membership benchmark.
MAX_CONFIRMATIONS_NEEDED = 4
# Confirmations from which on the program is told: one member alone is most often wrong.
CONFIRMATIONS_TO_NOTIFY = 2
# Of the group: half of it, less a few that are suspected wrongly, must not wait.
MINORITY_SHARE = 0.4
# Of the probe time-out: a failure that nobody here suspected waits that long to be refuted.
CONTEST_TIMEOUT_SHARE = 0.7


def confirmations_needed(unsuspected: int) -> int:
    """How many observers must agree, of `unsuspected` members, this one among them.

    Half of them have to agree, four at most. Guards against a failure that can't be confirmed
    because those who would confirm it have failed too: half of a group killed at once, a small part
    behind a cut.
    """
    return max(1, min(MAX_CONFIRMATIONS_NEEDED, (unsuspected + 1) // 2))


def confirmations_to_notify(needed: int) -> int:
    """How many observers must agree before the program is told of the suspicion."""
    return min(CONFIRMATIONS_TO_NOTIFY, needed)


def suspicion_timeout_us(needed: int, unsuspected: int, members: int, probe_timeout_us: int) -> int:
    """How long a suspicion stands at least before it may become a failure.

    As in Lifeguard the time shrinks with the confirmations: nothing where four agree, the whole
    probe time-out for one alone. A small part of the group waits the time-out once more: most
    likely it is itself what is cut off.
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
    """Whether a suspicion of that age is a failure.

    Guards against a one-sided cut: a member that hears those who do not answer it is not heard
    itself, and its own confirmation counts for nothing then; others' do.

    Args:
        confirmations: how many observers agree.
        is_own_confirmation: this member is one of them.
        hears_suspect: a member that this one suspects still sends to it.
        needed: see `confirmations_needed`.
        age_us: how long the suspicion has stood.
        timeout_us: see `suspicion_timeout_us`.
    """
    counted = confirmations
    if is_own_confirmation and hears_suspect:
        counted -= 1
    return counted >= needed and age_us >= timeout_us
