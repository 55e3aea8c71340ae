"""Flow control: how much may be written to the proxies, so that urgent lines never wait for long.

A proxy's channel takes lines at a fixed pace, and every message costs an overhead beside its lines.
Lines that wait in the channel delay all that comes after them, so changes that can wait are held
back here instead.
"""

from plankroute.events import commands
from plankroute.events.facts import StartFacts
from plankroute.state.host_statistics import HostStatistics
from plankroute.state.proxy_registry import ProxyRegistry
from plankroute.state.published_table import Change
from plankroute.units import SECOND_US

# How often the publisher looks for work: well within any drain grace, and shorter than a one-way
# delay.
PULSE_US = SECOND_US // 10
# Part of the backlog cap that changes which can wait may fill; the rest is for drains.
ORDINARY_PART_OF_BACKLOG = 0.5
# Part of the time that the drain grace leaves after the longest one-way delay, for the same.
ORDINARY_PART_OF_GRACE = 0.4
# Part of that allowance that binds may fill: they leave capacity for slots, so that proxies which
# come later find the table right.
BIND_PART_OF_ALLOWANCE = 0.45
# Part of that which binds of proxies on interim tables may fill: these can wait, slots go first.
REBIND_PART_OF_BINDS = 0.25
# Time for which a moved slot stands, over which its line has to pay: a moved request gains a tenth
# or so. See docs/design.md, what size changes.
SLOT_LIFETIME_US = 3 * SECOND_US // 2
# Messages of a busy channel are apart by the drain grace over this at most (docs/design.md): two
# thirds of the grace are left for the way.
MAX_GAPS_PER_GRACE = 3


class FlowControl:
    """Bounds on what may be queued, and the price of a line; all follow from the start-up facts.

    Attributes:
        lines_per_us: Pace of the channel.
        backlog_cap: Lines that may be unacknowledged at any time.
        grace_slack_us: What the drain grace leaves after the longest one-way delay.
        allowance: Lines that may be queued for what can wait.
        urgent_lines_in_grace: Lines that the channel carries beside those within the drain grace.
        bind_allowance: The same for binds.
        rebind_allowance: The same for binds of proxies that are on interim tables.
        round_trip_lines: Lines that are in flight while a message and its acknowledgement are under
            way.
        line_price: Penalty of a line at every proxy, in the unit of a change's benefit.
        max_gap_us: Longest time for which a busy channel gathers changes into one message.
        min_gap_us: Shortest time between messages that the settings permit.
    """

    def __init__(self, facts: StartFacts) -> None:
        self.lines_per_us = facts.channel_lines_per_s / SECOND_US
        self.backlog_cap = facts.backlog_cap_lines
        self.grace_slack_us = max(0, facts.drain_grace_us - facts.max_one_way_delay_us)
        lines_in_grace = self.grace_slack_us * self.lines_per_us
        ordinary_lines = ORDINARY_PART_OF_GRACE * lines_in_grace
        self.allowance = min(ORDINARY_PART_OF_BACKLOG * self.backlog_cap, ordinary_lines)
        self.urgent_lines_in_grace = lines_in_grace - ordinary_lines
        round_trip_us = 2 * PULSE_US + 2 * facts.one_way_delay_us
        self.round_trip_lines = round_trip_us * self.lines_per_us
        self.bind_allowance = min(self.allowance * BIND_PART_OF_ALLOWANCE, self.round_trip_lines)
        self.rebind_allowance = REBIND_PART_OF_BINDS * self.bind_allowance
        self.line_price = line_price(facts)
        self.max_gap_us = facts.drain_grace_us / MAX_GAPS_PER_GRACE
        self.min_gap_us = 0.0
        if facts.max_messages_per_window:
            gaps = max(1, facts.max_messages_per_window - 1)
            self.min_gap_us = facts.message_window_us / gaps

    def available_lines(self, registry: ProxyRegistry, max_queued: float) -> float:
        """Returns the lines that may be written now of what can wait.

        A message with one line to every proxy must always fit beside it, for drains.

        Args:
            registry: Joined proxies and their channel.
            max_queued: Lines that may be queued.
        """
        channel = registry.channel
        drain_lines = len(registry.zone_of_proxy) * (channel.message_overhead + 1)
        max_unacknowledged = max(self.bind_allowance, self.backlog_cap - drain_lines)
        return min(max_queued - channel.queued, max_unacknowledged - channel.unacknowledged)

    def is_busy(self, registry: ProxyRegistry) -> bool:
        """Whether more is unacknowledged than a message and its acknowledgement explain."""
        return registry.channel.unacknowledged > self.round_trip_lines


def line_price(facts: StartFacts) -> float:
    """Returns the price of a line at every proxy, by the penalty rates of the settings."""
    lines_per_s = max(1.0, facts.channel_lines_per_s * facts.controller_count)  # of all controllers
    penalty = facts.penalty_rates.channel_line
    return penalty * facts.proxy_count / lines_per_s * SECOND_US / SLOT_LIFETIME_US


def write_slot(
    registry: ProxyRegistry, statistics: HostStatistics, change: Change, budget: float
) -> int:
    """Writes a changed slot to the proxies on its table if it fits; returns the lines it took."""
    table = change.table
    recipients = registry.recipients(table, change.index, statistics.possibly_withdrawn)
    if len(recipients) > budget:
        return 0
    table.set_slots(change.index, change.count)
    host_id = statistics.host_ids[change.index]
    registry.command(commands.SetRoute(table.number, host_id, float(change.count)), recipients)
    return len(recipients)
