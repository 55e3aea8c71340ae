"""How two views of a host become one: by kind of fact, never by last writer. Each kind is a point of a
join-semilattice: any order, any number of times, the same result. What it counts for is not decided here."""

import math
from dataclasses import dataclass

from plankroute.warm_start.facts import HostFacts


@dataclass(frozen=True, slots=True)
class Heard:
    """Facts of one source; `at_us`: when they were heard, on this steward's steady clock."""

    facts: HostFacts
    at_us: int

    def health_us(self, half_us: int) -> float:
        """Bad news counts as one half-life fresher: good news of the same time does not overrule it.

        Guards against a host in trouble that one of two has not met yet. Harm: a host that got well is
        shunned for a half-life longer, or until its probes are good."""
        return self.at_us + half_us * self.facts.is_bad()

    def powers_us(self, half_us: int) -> float:
        """Twice the tries make up for one half-life."""
        return self.at_us + half_us * math.log2(1.0 + self.facts.attempts)


@dataclass(frozen=True, slots=True)
class Merged:
    """What is known of one start of one host: whose word on its health, and whose on its powers."""

    health: Heard
    powers: Heard

    def boot_ms(self) -> float:
        return self.health.facts.boot_ms


def first(heard: Heard) -> Merged:
    return Merged(heard, heard)


def order(heard: Heard) -> tuple[object, ...]:
    """Between equals; any order does, as long as it is the same everywhere."""
    facts = heard.facts
    return (
        heard.at_us,
        facts.is_shut,
        facts.failed,
        facts.attempts,
        facts.required_checks,
        facts.weight,
        facts.mean_latency_us,
    )


def join(one: Merged, other: Merged, half_us: int) -> Merged:
    """A later start of the host is another host: nothing of the earlier one stays."""
    if one.boot_ms() != other.boot_ms():
        return max(one, other, key=Merged.boot_ms)
    return Merged(
        max(one.health, other.health, key=lambda heard: (heard.health_us(half_us), order(heard))),
        max(one.powers, other.powers, key=lambda heard: (heard.powers_us(half_us), order(heard))),
    )
