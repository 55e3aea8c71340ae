"""Types of the watcher election's settings, events and commands."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class ElectionFacts:
    """Settings of the election.

    Attributes:
        name: Name of this controller.
        group: Name of the group of controllers; the rendezvous hashing key of the election.
        controller_count: Configured number of controllers.
        watcher_count: Number of controllers that watch the discovery service.
        stall_timeout_us: A followed controller that sends no frame for longer is replaced.
    """

    name: str
    group: str
    controller_count: int
    watcher_count: int
    stall_timeout_us: int


# Events


@dataclass(frozen=True, slots=True)
class LiveControllersChanged:
    """The names of all other live controllers, according to membership."""

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class FrameReceived:
    """A frame arrived from a followed controller."""

    name: str


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A heartbeat arrived from a followed controller.

    Attributes:
        name: Name of the controller.
        revision: Revision of its list; -1 if it has none.
        age_us: Age of its last contact with the discovery service.
    """

    name: str
    revision: int
    age_us: int


@dataclass(frozen=True, slots=True)
class LinkClosed:
    """The link to a followed controller was closed by the other side or broke."""

    name: str


@dataclass(frozen=True, slots=True)
class ListUpdated:
    """The revision of the list that this controller holds.

    Attributes:
        revision: The revision.
        from_service: Whether the discovery service itself has confirmed it, not another controller.
    """

    revision: int
    from_service: bool


@dataclass(frozen=True, slots=True)
class TickDue:
    """Periodic event, on which the election checks its timeouts."""


Event = (
    LiveControllersChanged | FrameReceived | HeartbeatReceived | LinkClosed | ListUpdated | TickDue
)


# Commands


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a link to a controller.

    Attributes:
        name: Name of the controller.
        heartbeats_only: Request heartbeats but no lists.
        full_list: Request the complete list, whichever revision is held.
    """

    name: str
    heartbeats_only: bool
    full_list: bool = False


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the link to a controller."""

    name: str


@dataclass(frozen=True, slots=True)
class SetWatch:
    """Start or stop watching the discovery service.

    Attributes:
        is_enabled: Whether to watch.
        watcher_rank: Index of this controller among the watchers, by which its requests are
            scheduled; None to schedule them by its configured rank.
    """

    is_enabled: bool
    watcher_rank: int | None = None


class Transition(Enum):
    """Transitions that are logged and counted.

    The values are part of the names of log events and counters. LEFT_* is the reason for which this
    controller stopped following another one.
    """

    WATCHER = "watcher"
    FOLLOWER = "follower"
    INDEPENDENT = "independent"
    LIST_RESTARTED = "list_restarted"  # the discovery service restarted its revisions
    LEFT_ENDED = "left_ended"
    LEFT_STALLED = "left_stalled"
    LEFT_SLOW = "left_slow"
    LEFT_STALE = "left_stale"
    LEFT_BEHIND = "left_behind"
    LEFT_AHEAD = "left_ahead"  # it claimed a revision that the discovery service has not reached


@dataclass(frozen=True, slots=True)
class ReportTransition:
    """Log and count a transition; `name`: the controller that it concerns, "" if none."""

    transition: Transition
    name: str = ""


Command = Connect | Disconnect | SetWatch | ReportTransition
