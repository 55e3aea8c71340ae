"""Selects the hosts that this controller checks in a survey, and keeps shared results.

Only surveys are shared: a controller that suspects single hosts always checks these itself.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from plankroute.cold_start.rendezvous import HASH_SPAN, rendezvous_hash, rendezvous_order

# Smallest number of simultaneous health checks that is a survey; suspected hosts are fewer.
SURVEY_MIN_HOSTS = 8
# An older result no longer describes the host's present state.
MAX_RESULT_AGE_US = 2_000_000
# Time to wait for results of other controllers: as long as first weights wait for health checks.
RESULT_WAIT_US = 250_000
# Number of results kept: as many as there are hosts in a list of 3 MB.
MAX_RESULTS = 8192


@dataclass(frozen=True, slots=True)
class SharedResult:
    """An answered health check.

    Attributes:
        elapsed_us: Duration of the check.
        checked_us: When the host was checked, on this controller's monotonic clock.
        boot_ms: Unix time of the start of the host that answered.
    """

    elapsed_us: int
    checked_us: int
    boot_ms: float


def assigned_controllers(
    host: str, host_zone: str, zones: Mapping[str, str], count: int
) -> list[str]:
    """Return the controllers that check a host: by rendezvous hashing, those of its zone first.

    Args:
        host: Name of the host.
        host_zone: Zone of the host.
        zones: Zone of each live controller, by name.
        count: Number of controllers that check each host.

    Returns:
        Names of `count` controllers; of all controllers if there are fewer.
    """
    same_zone = [name for name, zone in zones.items() if zone == host_zone]
    assigned = rendezvous_order(same_zone, host)[:count]
    if len(assigned) < count:
        other_zones = [name for name, zone in zones.items() if zone != host_zone]
        assigned += rendezvous_order(other_zones, host)[: count - len(assigned)]
    return assigned


def is_sampled(name: str, host: str, count: int, controllers: int) -> bool:
    """Whether a controller that knows no other controllers checks a host.

    Each controller samples its share of the hosts, so that about `count` of all controllers check
    each host.

    Args:
        name: Name of the controller.
        host: Name of the host.
        count: Expected number of controllers that check each host.
        controllers: Configured number of controllers.
    """
    share = min(1.0, count / max(1, controllers))
    return rendezvous_hash(host, name) < share * HASH_SPAN


class Survey:
    """The survey's assignment of hosts, and its results from this and other controllers.

    Attributes:
        name: Name of this controller.
        checks_per_host: Number of controllers that check each host.
        controllers: Configured number of controllers.
        zones: Zone of each live controller including this one, by name.
        results: The newest result of each host, by host name.
    """

    def __init__(self, name: str, checks_per_host: int, controllers: int) -> None:
        self.name = name
        self.checks_per_host = checks_per_host
        self.controllers = controllers
        self.zones: dict[str, str] = {}
        self.results: dict[str, SharedResult] = {}

    def is_assigned(self, host: str, zone: str) -> bool:
        """Whether this controller checks a host.

        Each controller decides by its own view of the live controllers. Where two views differ, the
        host gets one check more or one fewer.
        """
        if len(self.zones) < 2:
            return is_sampled(self.name, host, self.checks_per_host, self.controllers)
        return self.name in assigned_controllers(host, zone, self.zones, self.checks_per_host)

    def add_result(self, host: str, result: SharedResult) -> bool:
        """Keep a result; at `MAX_RESULTS` the host that was added first is dropped.

        Returns:
            Whether the result was kept. It is not if the known one is as new, or is of a later
            start of the host.
        """
        known = self.results.get(host)
        recency = result.boot_ms, result.checked_us
        if known and (known.boot_ms, known.checked_us) >= recency:
            return False
        if known is None and len(self.results) >= MAX_RESULTS:
            del self.results[next(iter(self.results))]
        self.results[host] = result
        return True

    def fresh_result(self, host: str, boot_ms: float, now_us: int) -> SharedResult | None:
        """Return the result of a host for the start `boot_ms`.

        None if there is no result, if it is of another start, or older than `MAX_RESULT_AGE_US`.
        """
        result = self.results.get(host)
        if result is None or result.boot_ms != boot_ms:
            return None
        if now_us - result.checked_us > MAX_RESULT_AGE_US:
            return None
        return result
