"""Actors with inboxes and the one loop that empties them; machinery only, nothing here decides anything."""

from collections import deque
from enum import Enum
from typing import Any

from plankroute.chance import Chance
from plankroute.interface.orders import Order


class Beat(Enum):
    """Notes between parts: another turn is due; hosts came, went or moved, so tables follow."""

    TURN, CHANGED = 1, 2


class Actor:
    """A part with an inbox; the desk's loop hands it one note at a time."""

    def __init__(self, desk: "Desk") -> None:
        self.desk = desk
        self.inbox: deque[Any] = deque()

    def handle(self, note: Any) -> None:
        raise NotImplementedError


class Desk:
    """What the actors of one steward share: the clock, the loop, chance, and the orders that go out."""

    def __init__(self, seed: int) -> None:
        self.now, self.chance = 0, Chance(seed).draw
        self.ready: deque[Actor] = deque()
        self.out: list[Order] = []

    def put(self, actor: Actor, note: Any) -> None:
        actor.inbox.append(note)
        self.ready.append(actor)

    def run(self) -> None:
        while self.ready:
            actor = self.ready.popleft()
            actor.handle(actor.inbox.popleft())
