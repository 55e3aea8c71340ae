"""What waits to be published and what fills the channel, for logs and metrics; no decision."""

from collections import Counter
from dataclasses import dataclass
from enum import Enum


class LineKind(Enum):
    """What a line in the channel carries."""

    SLOT = "slots"
    BIND = "binds"
    WITHDRAWAL = "withdrawals"
    LIMIT = "limits"
    OVERHEAD = "overhead"


@dataclass(frozen=True, slots=True)
class PublishingStatus:
    """The proxies and the channel at one moment.

    Attributes:
        bound_proxies: Joined proxies that use this controller's complete tables.
        interim_proxies: Joined proxies that use its interim tables.
        waiting_proxies: Joined proxies that still use the tables they came with.
        longest_wait_us: How long the first of those has waited.
        overdue_proxies: Those that have waited longer than the drain grace leaves after the longest
            one-way delay: hosts that they should no longer use may still be in their tables.
        pending_withdrawals: Hosts that proxies are still to be notified of.
        queued_lines: Estimate of the lines that have not left the channel.
        unacknowledged_lines: Lines that were written and not acknowledged.
        written_lines: Lines written so far, by kind.
    """

    bound_proxies: int
    interim_proxies: int
    waiting_proxies: int
    longest_wait_us: int
    overdue_proxies: int
    pending_withdrawals: int
    queued_lines: int
    unacknowledged_lines: int
    written_lines: Counter[LineKind]
