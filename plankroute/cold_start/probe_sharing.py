"""Which hosts this steward probes when all are to be surveyed, and what results of others count for.

A steward's own doubt about a host is never shared out: whom it suspects it asks itself."""

from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

from plankroute.cold_start.watcher_election import rendezvous_order

SURVEY_MIN_HOSTS = 8  # hosts asked about at once, from which on it is a survey; suspects are fewer
FRESH_US = 2_000_000  # a result that is older tells of another time
RESULT_WAIT_US = 250_000  # for others' results: as long as first weights wait for probes
MOST_HELD = 8192  # results: of as many hosts as a list of 3 MB names
HASH_SPAN = 1 << 64


@dataclass(frozen=True, slots=True)
class SharedResult:
    """An answered probe. `boot_ms`: the start of the host that answered; `at_us`: steady time of this
    steward."""

    elapsed_us: int
    at_us: int
    boot_ms: float


def assigned_controllers(
    host: str, host_zone: str, zones: Mapping[str, str], number: int
) -> list[str]:
    """Stewards (name: zone) that probe the host: by rendezvous, those of its zone first."""
    near = rendezvous_order([name for name, zone in zones.items() if zone == host_zone], host)
    if len(near) >= number:
        return near[:number]
    return (
        near
        + rendezvous_order([name for name, zone in zones.items() if zone != host_zone], host)[
            : number - len(near)
        ]
    )


def is_sampled(name: str, host: str, number: int, stewards: int) -> bool:
    """Without peers: each draws its part, so that a host has about that many probes of all together."""
    share = min(1.0, number / max(1, stewards))
    return xxhash.xxh3_64_intdigest(f"{host}\0{name}".encode()) < share * HASH_SPAN


class Survey:
    """Results by host's name, its own and others', with their age."""

    def __init__(self, name: str, number: int, stewards: int) -> None:
        self.name, self.number, self.stewards = name, number, stewards
        self.zones: dict[str, str] = {}  # of all stewards that are there, this one among them
        self.results: dict[str, SharedResult] = {}

    def is_mine(self, host: str, zone: str) -> bool:
        """By this steward's own view: two views that differ cost a probe more, or one fewer."""
        if len(self.zones) < 2:
            return is_sampled(self.name, host, self.number, self.stewards)
        return self.name in assigned_controllers(host, zone, self.zones, self.number)

    def keep(self, host: str, result: SharedResult) -> bool:
        """False where a newer one, or one of a later start of the host, is known."""
        known = self.results.get(host)
        if known and (known.boot_ms, known.at_us) >= (result.boot_ms, result.at_us):
            return False
        if known is None and len(self.results) >= MOST_HELD:
            del self.results[next(iter(self.results))]
        self.results[host] = result
        return True

    def fresh(self, host: str, boot_ms: float, now_us: int) -> SharedResult | None:
        """Of the host as it is listed; what is too old counts for nothing."""
        result = self.results.get(host)
        is_fresh = (
            result is not None and result.boot_ms == boot_ms and now_us - result.at_us <= FRESH_US
        )
        return result if is_fresh else None
