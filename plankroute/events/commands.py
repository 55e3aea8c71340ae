"""Commands that a controller gives; they take effect in the order in which they stand.

Hosts, proxies and tables are named by the ids that their adapter uses outside. Request classes
(the operators' products) are named by their index in `StartFacts.request_classes`.
"""

from dataclasses import dataclass
from enum import IntEnum

ALL_TABLES = None  # as a table: every one
ALL_PEERS = None  # as a peer: every one


class RetryPolicy(IntEnum):
    """When a proxy tries another host. The numbers are the protocol's and must not change."""

    NEVER = 0
    IF_NOT_EXECUTED = 1  # once, after proof that the first attempt never ran
    ONCE = 2  # once, after any failure
    TWICE = 3  # twice, after any failure


@dataclass(frozen=True, slots=True)
class SetRoute:
    """Sets a host's weight in a table, for all proxies that use it.

    Attributes:
        table: The table.
        host: The host.
        weight: Its share of the requests is this over the sum of the table; 0 removes the route.
    """

    table: int
    host: int
    weight: float


@dataclass(frozen=True, slots=True)
class ClearTable:
    """Removes all routes of a table, and its admission limits."""

    table: int


@dataclass(frozen=True, slots=True)
class WithdrawHost:
    """Takes a host out of use at all joined proxies, whatever their tables hold, or ends that.

    Attributes:
        host: The host.
        withdrawn: True: proxies send it nothing; False: they may again.
    """

    host: int
    withdrawn: bool


@dataclass(frozen=True, slots=True)
class BindProxy:
    """Makes a proxy use a table.

    Attributes:
        table: The table.
        proxy: The proxy; if it has left meanwhile nothing happens.
        request_classes: The request classes for which it uses the table, or None for all.
    """

    table: int
    proxy: int
    request_classes: tuple[int, ...] | None = None


@dataclass(frozen=True, slots=True)
class SetAdmissionLimit:
    """Limits what proxies admit; they reject requests beyond it.

    Attributes:
        table: Proxies that use this table, or ALL_TABLES.
        request_classes: The request classes, or None for all.
        limit: A share, or requests a second at each proxy, by `StartFacts.admission_unit`.
        retry: When a proxy tries another host.
    """

    table: int | None
    request_classes: tuple[int, ...] | None
    limit: float
    retry: RetryPolicy


@dataclass(frozen=True, slots=True)
class RequestAcknowledgement:
    """Asks the proxies that this batch writes to for an acknowledgement.

    Attributes:
        sequence_number: What they answer with, 1 to 65535.
        all_proxies: Proxies that the batch would not reach are asked too.
    """

    sequence_number: int
    all_proxies: bool = False


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Starts a health check of a host; a `HealthCheckResult` follows."""

    host: int


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Sends bytes to another controller.

    Attributes:
        peer: Its rank, or ALL_PEERS.
        data: The bytes.
    """

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Starts a timer; a `TimerExpired` with the token follows.

    Attributes:
        after_us: When it expires, in microseconds from now.
        token: What tells it from others.
    """

    after_us: int
    token: int


@dataclass(frozen=True, slots=True)
class PollHostList:
    """Asks once for the host list; a `HostList` follows."""


@dataclass(frozen=True, slots=True)
class SubscribeHostList:
    """Asks for the host list and its changes from now on, or ends that.

    Attributes:
        enabled: Whether changes are wanted.
    """

    enabled: bool


@dataclass(frozen=True, slots=True)
class ForgetHost:
    """The controller keeps nothing of this host any more; listed again, it is a new one."""

    host: int


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Writes a line to the log of the adapter."""

    text: str


Command = (
    SetRoute
    | ClearTable
    | WithdrawHost
    | BindProxy
    | SetAdmissionLimit
    | RequestAcknowledgement
    | CheckHealth
    | SendToPeer
    | SetTimer
    | PollHostList
    | SubscribeHostList
    | ForgetHost
    | LogMessage
)
"""All that a controller may command."""
