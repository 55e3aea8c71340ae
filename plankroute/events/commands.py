"""Orders that a steward gives; they take effect in the order in which they stand."""

from dataclasses import dataclass
from enum import IntEnum

ALL_TABLES = None
ALL_PEERS = None


class RetryPolicy(IntEnum):
    """When a proxy tries another host."""

    NEVER = 0
    IF_NOT_EXECUTED = 1  # once, after proof that the first try never ran
    ONCE = 2  # once after any failure
    TWICE = 3  # twice after any failure


@dataclass(frozen=True, slots=True)
class SetRoute:
    """weight 0 removes the line."""

    table: int
    host: int
    weight: float


@dataclass(frozen=True, slots=True)
class ClearTable:
    table: int


@dataclass(frozen=True, slots=True)
class WithdrawHost:
    """out: joined proxies do not send to the host; otherwise they may again."""

    host: int
    withdrawn: bool


@dataclass(frozen=True, slots=True)
class BindProxy:
    """products None: all of them."""

    table: int
    proxy: int
    products: tuple[int, ...] | None = None


@dataclass(frozen=True, slots=True)
class SetAdmissionLimit:
    """table None: all tables; products None: all of them."""

    table: int | None
    products: tuple[int, ...] | None
    limit: float
    retry: RetryPolicy


@dataclass(frozen=True, slots=True)
class RequestAcknowledgement:
    """everyone: proxies that these orders would not reach get it too."""

    sequence_number: int
    all_proxies: bool = False


@dataclass(frozen=True, slots=True)
class CheckHealth:
    host: int


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """peer None: every peer."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class SetTimer:
    after_us: int
    token: int


@dataclass(frozen=True, slots=True)
class PollHostList:
    pass


@dataclass(frozen=True, slots=True)
class SubscribeHostList:
    enabled: bool


@dataclass(frozen=True, slots=True)
class ForgetHost:
    """The core keeps nothing of this host any more; if it is listed again, it is a new one."""

    host: int


@dataclass(frozen=True, slots=True)
class LogMessage:
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
