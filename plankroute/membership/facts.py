"""What a member is told at its start, and the limit of a datagram; plain data."""

from dataclasses import dataclass, replace

# Bytes: below the usual limit of every path (1,280 for IPv6), so that no datagram is fragmented on
# its way.
MAX_DATAGRAM_BYTES = 1200


@dataclass(frozen=True, slots=True)
class MemberFacts:
    """Settings of one member. Times are microseconds.

    Attributes:
        name: the controller's name, unique within the group.
        address: "host:port" at which others reach it.
        zone: its zone.
        group: datagrams of another group are not read.
        seeds: addresses pinged until somebody answers, and now and then later.
        probe_timeout_us: silence after which a member is suspected (setting `patience_ms`).
        probe_interval_us: between probes, in a group that is not small (setting `probe_ms`).
        retention_us: how long members that failed or left are remembered (setting `forget_s`).
    """

    name: str
    address: str
    zone: str
    group: str
    seeds: tuple[str, ...]
    probe_timeout_us: int
    probe_interval_us: int
    retention_us: int

    def with_seeds(self, seeds: tuple[str, ...]) -> "MemberFacts":
        """The same settings with another list of seeds."""
        return replace(self, seeds=seeds)
