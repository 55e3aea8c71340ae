"""Tables as they were last pushed, and slots that differ from them; storage only, nothing here decides."""

from dataclasses import dataclass, field
from typing import NamedTuple

from plankroute.figures import Figures


@dataclass(eq=False, slots=True)
class Pushed:
    """Slots of the hosts that some products may use; None: no limit, or for every proxy."""

    number: int
    zones: tuple[int, ...] | None
    kinds: tuple[int, ...] | None
    proxy_zone: int | None
    products: list[int] = field(default_factory=list)
    pushed: dict[int, int] = field(default_factory=dict)

    def admits(self, figures: Figures, place: int) -> bool:
        return ((self.zones is None or figures.zone[place] in self.zones)
                and (self.kinds is None or figures.kind[place] in self.kinds))

    def held_in(self, proxy_zone: int) -> bool:
        return self.proxy_zone in (None, proxy_zone)

    def set(self, place: int, count: int) -> None:
        self.pushed[place] = count
        if not count:
            del self.pushed[place]


class Change(NamedTuple):
    """A slot that differs from the one pushed."""

    worth: float  # the part of a proxy's txns that it moves
    urgent: bool
    table: Pushed
    place: int
    count: int


def even_cap(rates: list[float], total: float) -> float | None:
    """The cap at which rates, each cut down to it, add up to the total; None where they do without."""
    for place, rate in enumerate(sorted(rates)):
        if (even := total / (len(rates) - place)) <= rate:
            return even
        total -= rate
    return None
