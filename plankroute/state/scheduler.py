"""Actors with inboxes and the one loop that empties them; no decision."""

from collections import deque
from enum import Enum
from typing import Any

from plankroute.events.commands import Command
from plankroute.seeded_random import SeededRandom


class Tick(Enum):
    """Events between actors: another turn is due; hosts came, went or moved, so tables follow."""

    TURN, CHANGED = 1, 2


class Actor:
    """A part of the controller with an inbox; the scheduler hands it one event at a time."""

    def __init__(self, scheduler: "Scheduler") -> None:
        self.scheduler = scheduler
        self.inbox: deque[Any] = deque()

    def handle(self, event: Any) -> None:
        raise NotImplementedError


class Scheduler:
    """What the actors of one controller share: clock, loop, random numbers, and the orders that go out."""

    def __init__(self, seed: int) -> None:
        self.now, self.random = 0, SeededRandom(seed).draw
        self.ready: deque[Actor] = deque()
        self.out: list[Command] = []

    def put(self, actor: Actor, event: Any) -> None:
        actor.inbox.append(event)
        self.ready.append(actor)

    def run(self) -> None:
        while self.ready:
            actor = self.ready.popleft()
            actor.handle(actor.inbox.popleft())
