"""What all members were told, in one order of time; and what was done to them. Kept apart from who judges
it."""

import msgspec


class Entry(msgspec.Struct, frozen=True):
    """`observer` was told `change` of `subject`; members by their place, times in microseconds."""

    at_us: int
    observer: int
    subject: int
    change: str
    life: int = 0
    incarnation: int = 0


class Done(msgspec.Struct, frozen=True):
    at_us: int
    act: str
    member: int


class History(msgspec.Struct):
    members: int
    entries: list[Entry] = []
    done: list[Done] = []
    ends_us: int = 0

    def of(self, *changes: str) -> list[Entry]:
        return [entry for entry in self.entries if entry.change in changes]
