"""What is worth keeping of each host, as one steward saw it. Types and their bounds; ages are microseconds.

Ages count from when the fact was heard, so that clocks of the day need not agree."""

from typing import Annotated

import msgspec

MOST_HOSTS = 8192  # of one view: as many as a list of 3 MB names
MOST_AGE_US = 1 << 53  # three centuries; what is older says nothing anyway

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Age = Annotated[int, msgspec.Meta(ge=0, le=MOST_AGE_US)]
Figure = Annotated[float, msgspec.Meta(ge=0, le=1e12)]


class HostFacts(msgspec.Struct, frozen=True, array_like=True):
    """One host. `boot_ms`: of which start (another one is another host); `weight`: 1 is its fleet's mean;
    `tries`, `voided`: fading sums; `needed`: good probes that bring it back, more after each relapse."""

    uid: Name
    boot_ms: Figure
    weight: Figure
    attempts: Figure
    failed: Figure
    mean_latency_us: Figure
    is_shut: bool
    required_checks: Annotated[int, msgspec.Meta(ge=0, le=1024)]
    age_us: Age

    def is_bad(self) -> bool:
        """Shut, or most of what it was sent was voided."""
        return self.is_shut or 2 * self.failed > self.attempts


class View(msgspec.Struct, frozen=True, array_like=True):
    """`closed`: hosts that drain or are gone (the list's words) by the list of that revision, heard so long
    ago."""

    name: Name
    revision: Annotated[int, msgspec.Meta(ge=-1)]
    list_age_us: Age
    hosts: Annotated[tuple[HostFacts, ...], msgspec.Meta(max_length=MOST_HOSTS)]
    closed: Annotated[tuple[tuple[Name, str], ...], msgspec.Meta(max_length=MOST_HOSTS)]
