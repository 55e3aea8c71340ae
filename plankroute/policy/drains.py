"""Drains: hosts that drain or were removed are withdrawn from the proxies before all else.

Where one table holds the host, its line is removed there; proxies that are not bound yet, and all
of them where several tables hold it, get a command to withdraw the host, once a connection. A
withdrawn host is reinstated when it is ready again and no table names it.
"""

from plankroute.events import commands, events
from plankroute.events.events import HostState
from plankroute.policy.first_weights import FirstWeights
from plankroute.policy.flow_control import FlowControl, write_slot
from plankroute.policy.host_table import HostTable
from plankroute.state.host_statistics import NO_CAP
from plankroute.state.proxy_registry import ProxyRegistry
from plankroute.state.published_table import Change, PublishedTable
from plankroute.units import SECOND_US

# Time for which removed hosts are remembered: proxies back from the longest network partitions may
# still name them.
REMOVED_HOST_TTL_US = 60 * SECOND_US
# Part of the drain grace left after the longest one-way delay in which binds are to be written:
# those that fit replace the proxies' old tables and need no withdrawals before them.
MAX_BIND_PART_OF_GRACE = 0.75


class Drains:
    """Hosts to withdraw, and those that are withdrawn.

    Attributes:
        withdrawn: Hosts that proxies have a command to withdraw.
        pending: Hosts still to be withdrawn.
        waiting_get_tables: Proxies that wait get tables at once, which replace theirs: they need no
            withdrawals.
        last_written_us: When a withdrawal was last written, or had to wait for acknowledgements.
    """

    def __init__(
        self,
        registry: ProxyRegistry,
        host_table: HostTable,
        first_weights: FirstWeights,
        flow: FlowControl,
        message_window_us: int,
    ) -> None:
        self.registry = registry
        self.host_table = host_table
        self.first_weights = first_weights
        self.flow = flow
        self.withdrawn: set[int] = set()
        self.pending: set[int] = set()
        self.waiting_get_tables = False
        self.last_written_us = -message_window_us
        self._last_sweep_us = -message_window_us
        self._has_refused = False  # some did not fit into the last message
        self._uninformed_since_us: int | None = None  # proxies wait that know of no removed hosts

    def on_entry(self, entry: events.HostEntry) -> None:
        """Notes whether a host of the endpoint list is to be withdrawn."""
        index = self.host_table.index_of[entry.host]
        if self.host_table.state[index] is HostState.READY:
            self.pending.discard(index)
        elif index not in self.withdrawn and self.withdrawal_lines(index):
            self.pending.add(index)

    def on_proxy_joined(self) -> None:
        """Notes that a proxy waits which may name removed hosts."""
        now = self.registry.scheduler.now
        self._uninformed_since_us = self._uninformed_since_us or now

    def sweep(self) -> None:
        """Withdraws all removed hosts at proxies that wait, where binding them would take too long.

        Proxies that join may name hosts that were removed before. A bind settles that.
        """
        registry = self.registry
        now = self.registry.scheduler.now
        if not registry.unbound:
            self._uninformed_since_us = None
        if self._uninformed_since_us is None or self.waiting_get_tables:
            return
        if now - self._last_sweep_us < self.flow.max_gap_us:
            return
        if self.first_weights.is_waiting or not self.can_bind_in_time(self._uninformed_since_us):
            self.pending.update(
                index
                for index in self.host_table.index_of.values()
                if self.host_table.state[index] is not HostState.READY
            )
            self._uninformed_since_us = None
            self._last_sweep_us = now

    def reinstate(self) -> None:
        """Reinstates withdrawn hosts that are ready again, once no table names them.

        A cold host stays withdrawn while proxies on older tables may name it too.
        """
        registry = self.registry
        host_table = self.host_table
        for host in sorted(self.withdrawn):
            lines = len(registry.unbound) * (registry.channel.message_overhead + 1)
            fits = lines <= self.flow.available_lines(registry, self.flow.allowance)
            is_ready = host_table.state[host] is HostState.READY
            is_safe = host_table.weight_cap[host] == NO_CAP or not registry.unbound
            if fits and is_ready and is_safe and not registry.tables_with(host):
                self.withdrawn.discard(host)
                registry.notified.pop(host, None)
                command = commands.WithdrawHost(host_table.host_ids[host], False)
                registry.command(command, registry.unbound)

    def must_write_now(self, budget: float) -> bool:
        """Whether withdrawals are written although the channel is busy.

        The first go at once; those that were refused go when all of them fit.
        """
        if self._has_refused and sum(map(self.withdrawal_lines, self.pending)) <= budget:
            return True
        since_us = self.registry.scheduler.now - self.last_written_us
        return bool(self.pending) and since_us >= self.flow.max_gap_us

    def write(self, budget: float) -> float:
        """Writes the pending withdrawals that fit, the newest first; returns the lines left."""
        for host in sorted(self.pending, key=self._urgency):
            self.last_written_us = self.registry.scheduler.now
            budget -= self.withdraw(host, budget)
        self._has_refused = bool(self.pending)
        return budget

    def withdraw(self, host: int, budget: float) -> int:
        """Withdraws a host if that fits; returns the lines that it took."""
        registry = self.registry
        host_table = self.host_table
        tables = registry.tables_with(host)
        lines = self.withdrawal_lines(host)
        if lines > budget:
            return 0  # it has to wait for acknowledgements
        self.pending.discard(host)
        shrinking: list[PublishedTable] = list(registry.interim_tables_with(host))
        if len(tables) == 1 or self.waiting_get_tables:
            shrinking += tables
        for table in shrinking:
            write_slot(registry, host_table, Change(0.0, True, table, host, 0), budget)
        if self.waiting_get_tables:
            return lines
        proxies = registry.zone_of_proxy if len(tables) > 1 else registry.unbound
        recipients = registry.mark_notified(host, proxies)
        if recipients:
            command = commands.WithdrawHost(host_table.host_ids[host], True)
            registry.command(command, recipients)
            self.withdrawn.add(host)
        return lines

    def withdrawal_lines(self, host: int) -> int:
        """Returns the lines that notify all proxies that may use a host of its withdrawal.

        These are the users of the one complete table that holds it and of interim tables that do,
        whose slots just go, and the unbound proxies not yet notified; all joined proxies if several
        complete tables hold it.
        """
        registry = self.registry
        tables = registry.tables_with(host)
        lines = sum(len(table.users) for table in registry.interim_tables_with(host))
        if len(tables) > 1 and not self.waiting_get_tables:
            return lines + len(registry.zone_of_proxy)
        lines += sum(len(registry.users(table)) for table in tables)
        return lines if self.waiting_get_tables else lines + registry.unnotified_lines(host)

    def can_bind_in_time(self, since_us: int) -> bool:
        """Whether all waiting proxies can be bound to complete tables before the grace ends.

        Args:
            since_us: Since when the grace runs.
        """
        registry = self.registry
        table_lines = sum(table.bind_lines(set()) for table in registry.tables)
        lines_per_bind = registry.channel.message_overhead + table_lines
        lines = registry.channel.unacknowledged + len(registry.unbound) * lines_per_bind
        waited_us = registry.scheduler.now - since_us
        left_us = MAX_BIND_PART_OF_GRACE * self.flow.grace_slack_us - waited_us
        lines_in_time = left_us * self.flow.lines_per_us
        return bool(lines <= lines_in_time)

    def expired_hosts(self) -> list[int]:
        """Returns the ids of removed hosts of which nothing has to be remembered any more."""
        host_table = self.host_table
        expiry_us = self.registry.scheduler.now - REMOVED_HOST_TTL_US
        return [
            host_id
            for host_id, index in host_table.index_of.items()
            if host_table.state[index] is HostState.GONE
            and host_table.heard_at_us[index] < expiry_us
            and not self.registry.tables_with(index)
        ]

    def forget(self, index: int) -> None:
        """Forgets a host: another one may get its index."""
        self.withdrawn.discard(index)
        self.pending.discard(index)

    def _urgency(self, host: int) -> tuple[bool, int, int]:
        """Sorts hosts that tables name first, then those that were removed last."""
        is_in_no_table = not self.registry.tables_with(host)
        return is_in_no_table, -self.host_table.heard_at_us[host], host
