"""Signals between the start of the process and its event loop, and after the loop has ended.

SIGTERM and SIGINT end a start with status 0. SIGHUP is remembered, and the configuration is read
again once the loop runs.
"""

import signal
from types import FrameType

_ENDING_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_pending_reloads: list[signal.Signals] = []


def install_startup_handlers() -> None:
    """Handles signals until the event loop does.

    Guards against a restart that is killed, or a new configuration that is missed, in between.
    """
    for number in _ENDING_SIGNALS:
        signal.signal(number, _exit)
    signal.signal(signal.SIGHUP, _remember_reload)
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)  # nothing has been counted yet


def take_pending_reload() -> bool:
    """Whether a SIGHUP came since the last call."""
    is_pending = bool(_pending_reloads)
    _pending_reloads.clear()
    return is_pending


def ignore_signals() -> None:
    """Ignores all handled signals: guards against a second one that spoils a clean exit."""
    for number in (*_ENDING_SIGNALS, signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, signal.SIG_IGN)


def _exit(_number: int, _frame: FrameType | None) -> None:
    raise SystemExit(0)


def _remember_reload(_number: int, _frame: FrameType | None) -> None:
    _pending_reloads.append(signal.SIGHUP)
