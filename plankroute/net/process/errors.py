"""Errors as values: each says how far the attempt had come."""

from dataclasses import dataclass
from enum import Enum


class Stage(Enum):
    """Where in its way a line stopped."""

    TAKE_IN = "take in"
    READ = "read"
    ADMIT = "admit"


@dataclass(frozen=True, slots=True)
class Refused:
    """A line that goes no further, and why; `is_end`: where the next one begins is not known any more."""

    stage: Stage
    why: str
    is_end: bool = False


class Reached(Enum):
    """How far a call had come when it failed."""

    NOTHING = "nothing"
    CONNECTED = "connected"
    ASKED = "asked"
    HEAD = "head"
    BODY = "body"


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call over HTTP that brought no whole answer."""

    reached: Reached
    why: str
    timed_out: bool = False
