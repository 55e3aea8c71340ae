"""Signal handling before the event loop starts and after it has ended.

During startup SIGTERM and SIGINT exit the process with status 0. SIGHUP is recorded, and the
configuration is read again once the loop runs.
"""

import signal
from types import FrameType

_TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_pending_reloads: list[signal.Signals] = []


def install_startup_handlers() -> None:
    """Installs handlers for the time until the event loop handles signals.

    Without them, SIGTERM or SIGHUP during startup would kill the process by default, and a reload
    request would be lost.
    """
    for number in _TERMINATION_SIGNALS:
        signal.signal(number, _exit)
    signal.signal(signal.SIGHUP, _record_reload)
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)  # there are no counters to log yet


def take_pending_reload() -> bool:
    """Returns whether a SIGHUP arrived during startup since the last call, and resets that."""
    is_pending = bool(_pending_reloads)
    _pending_reloads.clear()
    return is_pending


def ignore_signals() -> None:
    """Ignores all handled signals, so that a second one cannot interrupt a clean exit."""
    for number in (*_TERMINATION_SIGNALS, signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, signal.SIG_IGN)


def _exit(_number: int, _frame: FrameType | None) -> None:
    raise SystemExit(0)


def _record_reload(_number: int, _frame: FrameType | None) -> None:
    _pending_reloads.append(signal.SIGHUP)
