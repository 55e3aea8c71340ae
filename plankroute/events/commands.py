"""Commands that a controller issues. They take effect in the order in which it returns them.

Hosts, proxies and tables are identified by the ids of the adapter, which is the network or the
simulator. Request classes (the operators' products) are identified by their index in
`StartFacts.request_classes`.
"""

from dataclasses import dataclass
from enum import IntEnum

ALL_TABLES = None  # stands for every table
ALL_PEERS = None  # stands for every peer


class RetryPolicy(IntEnum):
    """When a proxy tries another host. The values are part of the protocol and must not change."""

    NEVER = 0
    IF_NOT_EXECUTED = 1  # once, after proof that the first attempt was not executed
    ONCE = 2  # once, after any failure
    TWICE = 3  # twice, after any failure


@dataclass(frozen=True, slots=True)
class SetRoute:
    """Sets a host's weight in a table, for all proxies that use it.

    Attributes:
        table: The table.
        host: The host.
        weight: The host gets the share of requests that its weight has in the sum of the table's
            weights; 0 removes the route.
    """

    table: int
    host: int
    weight: float


@dataclass(frozen=True, slots=True)
class ClearTable:
    """Removes all routes and admission limits of a table."""

    table: int


@dataclass(frozen=True, slots=True)
class WithdrawHost:
    """Withdraws or reinstates a host at all joined proxies, whatever their tables hold.

    Attributes:
        host: The host.
        withdrawn: True if proxies must send nothing to the host, False if they may send to it
            again.
    """

    host: int
    withdrawn: bool


@dataclass(frozen=True, slots=True)
class BindProxy:
    """Makes a proxy use a table.

    Attributes:
        table: The table.
        proxy: The proxy. If it has left in the meantime, nothing happens.
        request_classes: The request classes for which it uses the table, or None for all.
    """

    table: int
    proxy: int
    request_classes: tuple[int, ...] | None = None


@dataclass(frozen=True, slots=True)
class SetAdmissionLimit:
    """Limits the requests that proxies admit. They reject requests beyond the limit.

    Attributes:
        table: The table whose users the limit is for, or ALL_TABLES.
        request_classes: The request classes, or None for all.
        limit: The share of requests to admit, or the requests per second at each proxy; which of
            the two is set by `StartFacts.admission_unit`.
        retry: When a proxy tries another host.
    """

    table: int | None
    request_classes: tuple[int, ...] | None
    limit: float
    retry: RetryPolicy


@dataclass(frozen=True, slots=True)
class RequestAcknowledgement:
    """Requests an acknowledgement from the proxies that the current batch writes to.

    Attributes:
        sequence_number: The number that they return, 1 to 65535.
        all_proxies: Whether joined proxies that the batch does not write to are asked as well.
    """

    sequence_number: int
    all_proxies: bool = False


@dataclass(frozen=True, slots=True)
class PingProxy:
    """Sends a message to a proxy even if it contains no changes, so that the proxy acknowledges it.

    Attributes:
        proxy: The proxy. If it has left in the meantime, nothing happens.
    """

    proxy: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Starts a health check of a host; a `HealthCheckResult` follows."""

    host: int


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Sends a message to another controller.

    Attributes:
        peer: Rank of the controller, or ALL_PEERS.
        data: Content of the message.
    """

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Starts a timer; a `TimerExpired` with the same token follows.

    Attributes:
        after_us: Time until the timer expires, in microseconds.
        token: Identifies the timer.
    """

    after_us: int
    token: int


@dataclass(frozen=True, slots=True)
class PollHostList:
    """Requests the endpoint list once; a `HostList` follows."""


@dataclass(frozen=True, slots=True)
class SubscribeHostList:
    """Subscribes to the endpoint list and its changes, or ends the subscription.

    Attributes:
        enabled: True to subscribe, False to end the subscription.
    """

    enabled: bool


@dataclass(frozen=True, slots=True)
class ForgetHost:
    """Reports that the controller has dropped all state of a host.

    If the host is listed again, it counts as a new one.
    """

    host: int


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Writes a line to the adapter's log."""

    text: str


Command = (
    SetRoute
    | ClearTable
    | WithdrawHost
    | BindProxy
    | SetAdmissionLimit
    | RequestAcknowledgement
    | PingProxy
    | CheckHealth
    | SendToPeer
    | SetTimer
    | PollHostList
    | SubscribeHostList
    | ForgetHost
    | LogMessage
)
"""Any command that a controller may issue."""
