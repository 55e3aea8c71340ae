"""What our own file switches on, put together. Imported only where there is such a file."""

from collections.abc import Callable
from typing import Any

from plankroute.coldstart.calls import CallFacts
from plankroute.interface import notes
from plankroute.net.book import Book
from plankroute.net.boot import Boot
from plankroute.net.careful import CarefulDiscovery
from plankroute.net.discovery import Discovery
from plankroute.net.members import Members, Self
from plankroute.ownfile import ColdStartPart, OwnFile


class Extras:
    """Each part is there, or None where its section is missing."""

    def __init__(self, own: OwnFile, boot: Boot, book: Book, put: Callable[[notes.Note], None]) -> None:
        self.own, self.boot, self.book = own, boot, book
        zones, zone = boot.zones, boot.facts.own_zone
        self.me = Self(boot.name, zones[zone] if zone < len(zones) else "", boot.seed)
        self.members = Members(own.membership, self.me, book, put) if own.membership else None
        self.careful: CarefulDiscovery | None = None

    def make_discovery(self, *words: Any) -> Discovery:
        """Takes what a Discovery takes."""
        if (part := self.own.coldstart) is None:
            return Discovery(*words)
        self.careful = CarefulDiscovery(*words)
        self.careful.prepare(call_facts(part, self.boot), int(part.list_old_s * 1e6), self.boot.seed)
        return self.careful

    def start(self) -> None:
        if self.members:
            self.members.start()

    def reload(self, own: OwnFile | None) -> list[str]:
        """Seeds change; the names of what else differs, which waits for a restart."""
        kept = [name for name in self.own.__struct_fields__
                if name != "membership" and getattr(own, name, None) != getattr(self.own, name)]
        if (self.members is None) != (own is None or own.membership is None):
            kept.append("membership")
        elif self.members and own and own.membership:
            kept += self.members.reload(own.membership)
        return kept

    async def close(self) -> None:
        if self.careful:
            self.careful.close()
        if self.members:
            await self.members.leave()


def call_facts(part: ColdStartPart, boot: Boot) -> CallFacts:
    """The number of stewards is as stated, in our file or in the settings: never as membership has it."""
    return CallFacts(rank=boot.facts.steward if part.rank is None else part.rank,
                     stewards=part.stewards or boot.facts.stewards, calls_a_second=part.calls_a_second,
                     pause_most_us=int(part.pause_most_s * 1e6),
                     retry_after_most_us=int(part.retry_after_most_s * 1e6))
