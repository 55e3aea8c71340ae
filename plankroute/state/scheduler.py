"""Actors with mailboxes, and the scheduler that delivers events to them."""

from collections import deque
from enum import Enum
from typing import Any, Generic, TypeVar

from plankroute.events.commands import Command
from plankroute.seeded_random import SeededRandom


class Tick(Enum):
    """Wakes an actor that has no event of its own to handle."""

    TURN = 1  # a turn of the control loop starts
    CHANGED = 2  # hosts or proxies changed, or the publisher's check between turns is due


EventT = TypeVar("EventT")


class Actor(Generic[EventT]):
    """A component with a mailbox. The scheduler passes it one event at a time.

    The type parameter is the union of the events that it handles.

    Attributes:
        scheduler: The scheduler that all actors of a controller share.
        inbox: Events not handled yet, the oldest first.
    """

    def __init__(self, scheduler: "Scheduler") -> None:
        self.scheduler = scheduler
        self.inbox: deque[EventT] = deque()

    def handle(self, event: EventT) -> None:
        """Handles one event; may send events to actors and append to `scheduler.out`."""
        raise NotImplementedError


class Scheduler:
    """The clock, random numbers, event queue and outgoing commands of one controller's actors.

    Attributes:
        now: Time of the current batch, in microseconds.
        random: Draws the next random number, at least 0 and less than 1. Decisions depend on the
            order of the draws.
        pending: The recipient of each undelivered event, in the order in which they were sent.
        out: Commands of the current batch, in the order in which they take effect.
    """

    def __init__(self, seed: int) -> None:
        self.now = 0
        self.random = SeededRandom(seed).draw
        self.pending: deque[Actor[Any]] = deque()  # actors of all kinds
        self.out: list[Command] = []

    def put(self, actor: Actor[EventT], event: EventT) -> None:
        """Puts an event into an actor's mailbox, for `run` to deliver."""
        actor.inbox.append(event)
        self.pending.append(actor)

    def run(self) -> None:
        """Delivers events in the order in which they were sent, until none is left.

        That includes the events that actors send while handling others.
        """
        while self.pending:
            actor = self.pending.popleft()
            actor.handle(actor.inbox.popleft())
