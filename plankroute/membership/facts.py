"""What a member is told at its start, and the figures that follow from it; plain data."""

from dataclasses import dataclass, replace

MAX_DATAGRAM_BYTES = (
    1200  # bytes: below every path's usual limit, so that none is cut in pieces on its way
)


@dataclass(frozen=True, slots=True)
class MemberFacts:
    """Times are microseconds. `seeds`: addresses that are asked until somebody answers, and now and then
    later."""

    name: str
    address: str
    zone: str
    group: str
    seeds: tuple[str, ...]
    patience_us: int
    probe_us: int  # between probes of members, in a group that is not small
    forget_us: int  # how long those gone or left are remembered

    def with_seeds(self, seeds: tuple[str, ...]) -> "MemberFacts":
        return replace(self, seeds=seeds)
