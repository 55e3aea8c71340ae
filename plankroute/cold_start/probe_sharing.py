"""Which hosts this controller checks in a survey of all, and what others' results count for.

A controller's own doubt about a host is never shared out: it checks its suspects itself.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from plankroute.cold_start.rendezvous import HASH_SPAN, rendezvous_hash, rendezvous_order

# Hosts to be checked at once, from which on it is a survey; suspects are fewer.
SURVEY_MIN_HOSTS = 8
# A result that is older tells of another time.
MAX_RESULT_AGE_US = 2_000_000
# For others' results: as long as first weights wait for health checks.
RESULT_WAIT_US = 250_000
# Results that are kept: of as many hosts as a list of 3 MB names.
MAX_RESULTS = 8192


@dataclass(frozen=True, slots=True)
class SharedResult:
    """An answered health check.

    `checked_us`: steady time of this controller; `boot_ms`: the start of the host that answered.
    """

    elapsed_us: int
    checked_us: int
    boot_ms: float


def assigned_controllers(
    host: str, host_zone: str, zones: Mapping[str, str], count: int
) -> list[str]:
    """Controllers that check the host: by rendezvous hashing, those of its zone first.

    Args:
        host: its name.
        host_zone: its zone.
        zones: the zone of each controller, by name.
        count: how many controllers check each host.
    """
    same_zone = [name for name, zone in zones.items() if zone == host_zone]
    assigned = rendezvous_order(same_zone, host)[:count]
    if len(assigned) < count:
        other_zones = [name for name, zone in zones.items() if zone != host_zone]
        assigned += rendezvous_order(other_zones, host)[: count - len(assigned)]
    return assigned


def is_sampled(name: str, host: str, count: int, controllers: int) -> bool:
    """Without peers: each controller samples its part of the hosts.

    A host then has about `count` checks of all controllers together.
    """
    share = min(1.0, count / max(1, controllers))
    return rendezvous_hash(host, name) < share * HASH_SPAN


class Survey:
    """Results by host name, its own and others', with their age."""

    def __init__(self, name: str, checks_per_host: int, controllers: int) -> None:
        self.name = name
        self.checks_per_host = checks_per_host
        self.controllers = controllers
        self.zones: dict[str, str] = {}  # of all controllers that are there, this one among them
        self.results: dict[str, SharedResult] = {}

    def is_assigned(self, host: str, zone: str) -> bool:
        """By this controller's own view: two views that differ cost a check more, or one fewer."""
        if len(self.zones) < 2:
            return is_sampled(self.name, host, self.checks_per_host, self.controllers)
        return self.name in assigned_controllers(host, zone, self.zones, self.checks_per_host)

    def add_result(self, host: str, result: SharedResult) -> bool:
        """False where a newer one, or one of a later start of the host, is known."""
        known = self.results.get(host)
        newness = result.boot_ms, result.checked_us
        if known and (known.boot_ms, known.checked_us) >= newness:
            return False
        if known is None and len(self.results) >= MAX_RESULTS:
            del self.results[next(iter(self.results))]
        self.results[host] = result
        return True

    def fresh_result(self, host: str, boot_ms: float, now_us: int) -> SharedResult | None:
        """Of the host as it is listed; what is too old counts for nothing."""
        result = self.results.get(host)
        if result is None or result.boot_ms != boot_ms:
            return None
        if now_us - result.checked_us > MAX_RESULT_AGE_US:
            return None
        return result
