"""Status of publishing, for logs and metrics: waiting proxies, pending lines, channel load."""

from collections import Counter
from dataclasses import dataclass
from enum import Enum


class LineKind(Enum):
    """What a line in the channel carries. Names of metrics and log fields contain the values."""

    SLOT = "slots"
    BIND = "binds"
    WITHDRAWAL = "withdrawals"
    LIMIT = "limits"
    OVERHEAD = "overhead"


@dataclass(frozen=True, slots=True)
class PublishingStatus:
    """State of the proxies and the channel at one point in time.

    Attributes:
        bound_proxies: Number of joined proxies that use this controller's complete tables.
        interim_proxies: Number of joined proxies that use its interim tables.
        waiting_proxies: Number of joined proxies that still use the tables that they joined with.
        longest_wait_us: Longest time that one of these has waited, or 0 if there are none.
        overdue_proxies: Number of waiting proxies that have waited longer than the grace slack,
            which is the drain grace less the longest one-way delay. Their tables may still hold
            hosts that they must no longer use.
        pending_withdrawals: Number of hosts whose withdrawal is still to be written.
        pending_reinstatements: Number of hosts that are listed ready again and still withdrawn.
        queued_lines: Estimated lines that have not left the channel.
        unacknowledged_lines: Lines written and not acknowledged.
        written_lines: Lines written so far, by kind.
    """

    bound_proxies: int
    interim_proxies: int
    waiting_proxies: int
    longest_wait_us: int
    overdue_proxies: int
    pending_withdrawals: int
    pending_reinstatements: int
    queued_lines: int
    unacknowledged_lines: int
    written_lines: Counter[LineKind]
