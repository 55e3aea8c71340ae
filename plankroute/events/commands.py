"""Orders that a steward gives; they take effect in the order in which they stand."""

from dataclasses import dataclass
from enum import IntEnum

ALL_TABLES = None
ALL_PEERS = None


class Retry(IntEnum):
    """When a proxy tries another host."""

    NEVER = 0
    UNRUN = 1  # once, after proof that the first try never ran
    ONCE = 2  # once after any failure
    TWICE = 3  # twice after any failure


@dataclass(frozen=True, slots=True)
class SetLine:
    """weight 0 removes the line."""

    table: int
    host: int
    weight: float


@dataclass(frozen=True, slots=True)
class ClearTable:
    table: int


@dataclass(frozen=True, slots=True)
class Withdraw:
    """out: joined proxies do not send to the host; otherwise they may again."""

    host: int
    out: bool


@dataclass(frozen=True, slots=True)
class Bind:
    """products None: all of them."""

    table: int
    proxy: int
    products: tuple[int, ...] | None = None


@dataclass(frozen=True, slots=True)
class SetLevel:
    """table None: all tables; products None: all of them."""

    table: int | None
    products: tuple[int, ...] | None
    level: float
    retry: Retry


@dataclass(frozen=True, slots=True)
class Mark:
    """everyone: proxies that these orders would not reach get it too."""

    serial: int
    everyone: bool = False


@dataclass(frozen=True, slots=True)
class Probe:
    host: int


@dataclass(frozen=True, slots=True)
class Tell:
    """peer None: every peer."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class SetTimer:
    after_us: int
    token: int


@dataclass(frozen=True, slots=True)
class AskList:
    pass


@dataclass(frozen=True, slots=True)
class Subscribe:
    on: bool


@dataclass(frozen=True, slots=True)
class Forget:
    """The core keeps nothing of this host any more; if it is listed again, it is a new one."""

    host: int


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Order = (
    SetLine
    | ClearTable
    | Withdraw
    | Bind
    | SetLevel
    | Mark
    | Probe
    | Tell
    | SetTimer
    | AskList
    | Subscribe
    | Forget
    | Log
)
