"""Settings of a member, and the size limit of a datagram."""

from dataclasses import dataclass, replace

# Below the MTU that every path has to support (1,280 bytes for IPv6), so that datagrams are not
# fragmented.
MAX_DATAGRAM_BYTES = 1200


@dataclass(frozen=True, slots=True)
class MemberFacts:
    """Settings of one member. Times are in microseconds.

    Attributes:
        name: The controller's name, unique within the group.
        address: "host:port" at which other members reach it.
        zone: The controller's zone.
        group: Name of the group; datagrams of other groups are dropped.
        seeds: Addresses that are pinged while no living member has them.
        probe_timeout_us: Time without an ack after which a member is suspected (setting
            `patience_ms`).
        probe_interval_us: Time between the starts of two probes, except in small groups (setting
            `probe_ms`).
        retention_us: How long members that failed or left stay in the table (setting `forget_s`).
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
        """Return the same settings with another list of seeds."""
        return replace(self, seeds=seeds)
