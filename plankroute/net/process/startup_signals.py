"""Signals between the process's first line and its loop: told to end it ends well, told to read its file anew
it does so once it can. Decides nothing."""

import signal
from types import FrameType

_hung_up: list[bool] = []


def heed() -> None:
    """Guards against a restart that is struck dead, or a new configuration that is missed, in between."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _end)
    signal.signal(signal.SIGHUP, _note)
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)  # nothing is counted yet


def hung_up() -> bool:
    """Whether a SIGHUP came since the last question."""
    came = bool(_hung_up)
    _hung_up.clear()
    return came


def ignore() -> None:
    """At the end: guards against a second signal that spoils a good exit."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, signal.SIG_IGN)


def _end(_: int, __: FrameType | None) -> None:
    raise SystemExit(0)


def _note(_: int, __: FrameType | None) -> None:
    _hung_up.append(True)
