"""Actors with mailboxes and the one loop that empties them; no decision."""

from collections import deque
from enum import Enum
from typing import Any, Generic, TypeVar

from plankroute.events.commands import Command
from plankroute.seeded_random import SeededRandom


class Tick(Enum):
    """Wakes an actor without news from outside."""

    TURN = 1  # the next turn of the control loop is due
    CHANGED = 2  # hosts came, went or changed, so tables have to follow


EventT = TypeVar("EventT")


class Actor(Generic[EventT]):
    """A part of the controller with a mailbox; the scheduler hands it one event at a time.

    Its type parameter is the union of the events that it takes in.
    """

    def __init__(self, scheduler: "Scheduler") -> None:
        self.scheduler = scheduler
        self.inbox: deque[EventT] = deque()

    def handle(self, event: EventT) -> None:
        """Takes in one event; may put events into mailboxes and commands into `scheduler.out`."""
        raise NotImplementedError


class Scheduler:
    """What the actors of one controller share.

    Attributes:
        now: Clock of the batch in hand, in microseconds.
        random: Draws the next random number, from 0 to under 1. The order of draws is part of
            what the controller decides.
        ready: An entry for each event that waits, in the order in which they were put.
        out: Commands of the batch in hand, in the order in which they take effect.
    """

    def __init__(self, seed: int) -> None:
        self.now = 0
        self.random = SeededRandom(seed).draw
        self.ready: deque[Actor[Any]] = deque()  # actors of all kinds
        self.out: list[Command] = []

    def put(self, actor: Actor[EventT], event: EventT) -> None:
        """Puts an event into an actor's mailbox; `run` will hand it over."""
        actor.inbox.append(event)
        self.ready.append(actor)

    def run(self) -> None:
        """Hands over all events that wait, and those put meanwhile, first come first served."""
        while self.ready:
            actor = self.ready.popleft()
            actor.handle(actor.inbox.popleft())
