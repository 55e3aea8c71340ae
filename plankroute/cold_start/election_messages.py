"""Events into the watcher election and commands out of it: types only."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class ElectionFacts:
    """Settings of the election.

    Attributes:
        name: this controller's.
        group: the key of the election.
        controller_count: how many controllers there are, as configured.
        watcher_count: how many of them watch the list service.
        stall_timeout_us: a followed controller without a frame for so long is left for the next.
    """

    name: str
    group: str
    controller_count: int
    watcher_count: int
    stall_timeout_us: int


# Events


@dataclass(frozen=True, slots=True)
class LiveControllersChanged:
    """All other controllers that are there, as membership has it."""

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class FrameReceived:
    """A frame came from a controller that is followed."""

    name: str


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A followed controller's revision, and the age of its last contact with the service."""

    name: str
    revision: int
    age_us: int


@dataclass(frozen=True, slots=True)
class LinkClosed:
    """The link to a followed controller has ended."""

    name: str


@dataclass(frozen=True, slots=True)
class ListUpdated:
    """The revision that this controller holds now; `from_service`: the service said so itself."""

    revision: int
    from_service: bool


@dataclass(frozen=True, slots=True)
class TickDue:
    """Time has passed."""


Event = (
    LiveControllersChanged | FrameReceived | HeartbeatReceived | LinkClosed | ListUpdated | TickDue
)


# Commands


@dataclass(frozen=True, slots=True)
class Connect:
    """Follow that controller.

    `heartbeats_only`: no lists are wanted. `full_list`: the complete list, whatever is held.
    """

    name: str
    heartbeats_only: bool
    full_list: bool = False


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Follow that controller no more."""

    name: str


@dataclass(frozen=True, slots=True)
class SetWatch:
    """Watch the list service, or stop.

    `watcher_rank`: this controller's place among the watchers; None: by its configured rank.
    """

    is_enabled: bool
    watcher_rank: int | None = None


class Transition(Enum):
    """What is logged and counted; the values are part of event and counter names."""

    WATCHER = "watcher"
    FOLLOWER = "follower"
    INDEPENDENT = "independent"
    LIST_RESTARTED = "list_restarted"  # the service's revisions began anew
    LEFT_ENDED = "left_ended"
    LEFT_STALLED = "left_stalled"
    LEFT_SLOW = "left_slow"
    LEFT_STALE = "left_stale"
    LEFT_BEHIND = "left_behind"
    LEFT_AHEAD = "left_ahead"  # with a revision that the service does not know


@dataclass(frozen=True, slots=True)
class ReportTransition:
    """For the log and the counters; `name`: the controller that it is about, if any."""

    transition: Transition
    name: str = ""


Command = Connect | Disconnect | SetWatch | ReportTransition
