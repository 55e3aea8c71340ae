"""Flow control: limits what is written to the proxies, so that urgent lines never wait for long.

The channel to the proxies carries lines at a fixed pace, and each message adds an overhead to its
lines. Lines that are queued in the channel delay all lines behind them, so deferrable changes are
held back here instead of being queued.
"""

from plankroute.events import commands
from plankroute.events.facts import StartFacts
from plankroute.state.host_statistics import HostStatistics
from plankroute.state.proxy_registry import ProxyRegistry
from plankroute.state.published_table import Change
from plankroute.units import SECOND_US

# Interval at which the publisher checks for pending work: well within any drain grace, and shorter
# than a one-way delay.
POLL_INTERVAL_US = SECOND_US // 10
# Share of the backlog cap that deferrable changes may use; the rest is reserved for drains.
DEFERRABLE_SHARE_OF_BACKLOG = 0.5
# Share of the lines within the grace slack that deferrable changes may use.
DEFERRABLE_SHARE_OF_GRACE = 0.4
# Share of the allowance that binds may use. The rest is left for slots, so that the tables are
# accurate when further proxies are bound.
BIND_SHARE_OF_ALLOWANCE = 0.45
# Share of the bind allowance for binding proxies on interim tables to complete ones. These binds
# can wait, and slots are written first.
REBIND_SHARE_OF_BINDS = 0.25
# Time for which a changed slot stays in place, over which its benefit has to exceed the price of
# its line: a request that it moves gains about a tenth. See docs/design.md, what size changes.
SLOT_LIFETIME_US = 3 * SECOND_US // 2
# A busy channel batches changes for at most the drain grace divided by this number
# (docs/design.md), which leaves two thirds of the grace for delivery.
MIN_BATCHES_PER_GRACE = 3


class FlowControl:
    """Limits on queued lines and the price of a line, all derived from the start facts.

    Attributes:
        lines_per_us: Pace of the channel.
        backlog_cap: Maximum number of unacknowledged lines.
        max_acknowledgement_us: Longest normal time until an acknowledgement: the time to send a
            full channel plus the longest one-way delay.
        grace_slack_us: Drain grace minus the longest one-way delay.
        allowance: Number of queued lines that deferrable changes must not exceed.
        urgent_lines_in_grace: Lines that the channel carries within the grace slack in addition to
            the share of deferrable changes.
        bind_allowance: Number of queued lines that binds must not exceed.
        rebind_allowance: Number of queued lines that binds of proxies on interim tables to complete
            ones must not exceed.
        round_trip_lines: Lines that the channel carries from a message to its acknowledgement.
        line_price: Penalty of one line at every proxy, in the unit of a change's benefit.
        max_batch_delay_us: Longest time for which a busy channel batches changes into a message.
        min_message_interval_us: Shortest time between messages that the settings permit.
    """

    def __init__(self, facts: StartFacts) -> None:
        self.lines_per_us = facts.channel_lines_per_s / SECOND_US
        self.backlog_cap = facts.backlog_cap_lines
        full_channel_us = self.backlog_cap / max(1.0, facts.channel_lines_per_s) * SECOND_US
        self.max_acknowledgement_us = full_channel_us + facts.max_one_way_delay_us
        self.grace_slack_us = max(0, facts.drain_grace_us - facts.max_one_way_delay_us)
        lines_in_grace = self.grace_slack_us * self.lines_per_us
        deferrable_lines = DEFERRABLE_SHARE_OF_GRACE * lines_in_grace
        self.allowance = min(DEFERRABLE_SHARE_OF_BACKLOG * self.backlog_cap, deferrable_lines)
        self.urgent_lines_in_grace = lines_in_grace - deferrable_lines
        round_trip_us = 2 * POLL_INTERVAL_US + 2 * facts.one_way_delay_us
        self.round_trip_lines = round_trip_us * self.lines_per_us
        self.bind_allowance = min(self.allowance * BIND_SHARE_OF_ALLOWANCE, self.round_trip_lines)
        self.rebind_allowance = REBIND_SHARE_OF_BINDS * self.bind_allowance
        self.line_price = line_price(facts)
        self.max_batch_delay_us = facts.drain_grace_us / MIN_BATCHES_PER_GRACE
        self.min_message_interval_us = 0.0
        if facts.max_messages_per_window:
            intervals = max(1, facts.max_messages_per_window - 1)
            self.min_message_interval_us = facts.message_window_us / intervals

    def available_lines(self, registry: ProxyRegistry, max_queued: float) -> float:
        """Returns the lines of deferrable changes that may be written now; may be negative.

        Capacity for one more message with one line to every proxy is kept free for drains.

        Args:
            registry: Joined proxies and their channel.
            max_queued: Maximum number of queued lines.
        """
        channel = registry.channel
        drain_lines = len(registry.zone_of_proxy) * (channel.message_overhead + 1)
        max_unacknowledged = max(self.bind_allowance, self.backlog_cap - drain_lines)
        return min(max_queued - channel.queued, max_unacknowledged - channel.unacknowledged)

    def is_busy(self, registry: ProxyRegistry) -> bool:
        """Whether more lines are unacknowledged than the round trip of a message accounts for."""
        return registry.channel.unacknowledged > self.round_trip_lines


def line_price(facts: StartFacts) -> float:
    """Returns the penalty of one line at every proxy, from the penalty rates of the settings."""
    lines_per_s = max(1.0, facts.channel_lines_per_s * facts.controller_count)  # all controllers
    penalty = facts.penalty_rates.channel_line
    return penalty * facts.proxy_count / lines_per_s * SECOND_US / SLOT_LIFETIME_US


def write_slot(
    registry: ProxyRegistry, statistics: HostStatistics, change: Change, budget: float
) -> int:
    """Writes a changed slot to the users of its table if the lines fit into the budget.

    Returns:
        The number of lines written; 0 if they did not fit.
    """
    table = change.table
    recipients = registry.recipients(table, change.index)
    if len(recipients) > budget:
        return 0
    table.set_slots(change.index, change.count)
    host_id = statistics.host_ids[change.index]
    registry.command(commands.SetRoute(table.number, host_id, float(change.count)), recipients)
    return len(recipients)
