"""Drains: withdraws draining and removed hosts from the proxies, before all other changes.

If one table holds the host, its slots are removed from that table. Proxies that are not bound yet,
and all proxies if several tables hold the host, get a command to withdraw it, once per stream.
A withdrawn host is reinstated when it is ready again and no table holds it.
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

# Time for which removed hosts are remembered: proxies that reconnect after the longest network
# partitions may still use them.
REMOVED_HOST_TTL_US = 60 * SECOND_US
# Longest time by which another controller's endpoint list may be ahead; set by the protocol.
MAX_LIST_DELAY_US = 6 * SECOND_US
# Share of the grace slack in which binds have to be written. Binds that are written in time replace
# the old tables of the proxies, so that no withdrawals are needed before them.
BIND_SHARE_OF_GRACE = 0.75


class Drains:
    """Tracks pending withdrawals and withdrawn hosts, and writes the withdrawals.

    Attributes:
        withdrawn: Hosts that proxies were commanded to withdraw.
        pending: Hosts with a pending withdrawal.
        uses_interim_tables: Whether waiting proxies are bound to interim tables at once. These
            replace the old tables, so no withdrawals are needed.
        last_written_us: When a withdrawal was last written, or deferred for lack of capacity.
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
        self.uses_interim_tables = False
        self.last_written_us = -message_window_us
        self._last_sweep_us = -message_window_us
        self._has_deferred = False  # some withdrawals did not fit
        # Join time of the first waiting proxy that was not notified of removed hosts.
        self._unnotified_since_us: int | None = None

    def on_entry(self, entry: events.HostEntry) -> None:
        """Adds or discards the pending withdrawal of a host by its entry in the endpoint list."""
        index = self.host_table.index_of[entry.host]
        if self.host_table.state[index] is HostState.READY:
            self.pending.discard(index)
        elif index not in self.withdrawn and self.withdrawal_lines(index):
            self.pending.add(index)

    def on_proxy_joined(self) -> None:
        """Records that a waiting proxy may use removed hosts."""
        now = self.registry.scheduler.now
        self._unnotified_since_us = self._unnotified_since_us or now

    def sweep(self) -> None:
        """Withdraws all removed hosts from waiting proxies if binding these would take too long.

        Proxies that join may use hosts that were removed earlier. A bind replaces their tables, so
        that the withdrawals are not needed.
        """
        registry = self.registry
        now = self.registry.scheduler.now
        if not registry.unbound:
            self._unnotified_since_us = None
        if self._unnotified_since_us is None or self.uses_interim_tables:
            return
        if now - self._last_sweep_us < self.flow.max_batch_delay_us:
            return
        if self.first_weights.is_waiting or not self.can_bind_in_time(self._unnotified_since_us):
            self.pending.update(
                index
                for index in self.host_table.index_of.values()
                if self.host_table.state[index] is not HostState.READY
            )
            self._unnotified_since_us = None
            self._last_sweep_us = now

    def pending_reinstatements(self) -> set[int]:
        """Returns the withdrawn hosts that are listed ready again."""
        state = self.host_table.state
        return {host for host in self.withdrawn if state[host] is HostState.READY}

    def reinstate(self) -> None:
        """Reinstates withdrawn hosts that are ready again, once no table holds them.

        A cold host stays withdrawn while proxies are unbound, because their older tables may hold
        it.
        """
        registry = self.registry
        host_table = self.host_table
        for host in sorted(self.pending_reinstatements()):
            lines = len(registry.unbound) * (registry.channel.message_overhead + 1)
            fits = lines <= self.flow.available_lines(registry, self.flow.allowance)
            is_safe = host_table.weight_cap[host] == NO_CAP or not registry.unbound
            if fits and is_safe and not registry.tables_with(host):
                self.withdrawn.discard(host)
                registry.notified.pop(host, None)
                command = commands.WithdrawHost(host_table.host_ids[host], False)
                registry.command(command, registry.unbound)

    def must_write_now(self, budget: float) -> bool:
        """Whether withdrawals are written although the channel is busy.

        They are written at once if none was written recently. Withdrawals that were deferred are
        also written as soon as all of them fit.
        """
        if self._has_deferred and sum(map(self.withdrawal_lines, self.pending)) <= budget:
            return True
        since_us = self.registry.scheduler.now - self.last_written_us
        return bool(self.pending) and since_us >= self.flow.max_batch_delay_us

    def write(self, budget: float) -> float:
        """Writes the pending withdrawals that fit, newest first; returns the remaining budget."""
        for host in sorted(self.pending, key=self._withdrawal_order):
            self.last_written_us = self.registry.scheduler.now
            budget -= self.withdraw(host, budget)
        self._has_deferred = bool(self.pending)
        return budget

    def withdraw(self, host: int, budget: float) -> int:
        """Withdraws a host if the lines fit; returns the lines written, 0 if it is deferred."""
        registry = self.registry
        host_table = self.host_table
        tables = registry.tables_with(host)
        lines = self.withdrawal_lines(host)
        if lines > budget:
            return 0  # deferred until acknowledgements free capacity
        self.pending.discard(host)
        tables_to_update: list[PublishedTable] = list(registry.interim_tables_with(host))
        if len(tables) == 1 or self.uses_interim_tables:
            tables_to_update += tables
        for table in tables_to_update:
            write_slot(registry, host_table, Change(0.0, True, table, host, 0), budget)
        if self.uses_interim_tables:
            return lines
        proxies = registry.zone_of_proxy if len(tables) > 1 else registry.unbound
        recipients = registry.mark_notified(host, proxies)
        if recipients:
            command = commands.WithdrawHost(host_table.host_ids[host], True)
            registry.command(command, recipients)
            self.withdrawn.add(host)
        return lines

    def withdrawal_lines(self, host: int) -> int:
        """Returns the number of lines that withdraw a host at all proxies that may use it.

        Each user of an interim table that holds the host costs a line, which removes its slots. In
        addition, if several complete tables hold the host, every joined proxy costs a line.
        Otherwise, each user of a complete table that holds it costs a line, and so does each
        unbound proxy that was not notified yet. While interim tables are used, no proxy is
        notified: only the users of tables that hold the host cost a line.
        """
        registry = self.registry
        tables = registry.tables_with(host)
        lines = sum(len(table.users) for table in registry.interim_tables_with(host))
        if len(tables) > 1 and not self.uses_interim_tables:
            return lines + len(registry.zone_of_proxy)
        lines += sum(len(registry.users(table)) for table in tables)
        return lines if self.uses_interim_tables else lines + registry.unnotified_lines(host)

    def can_bind_in_time(self, since_us: int) -> bool:
        """Whether all waiting proxies can be bound to complete tables within the drain grace.

        Args:
            since_us: Time at which the drain grace began.
        """
        registry = self.registry
        table_lines = sum(table.bind_lines(set()) for table in registry.tables)
        lines_per_bind = registry.channel.message_overhead + table_lines
        lines = registry.channel.unacknowledged + len(registry.unbound) * lines_per_bind
        waited_us = registry.scheduler.now - since_us
        remaining_us = BIND_SHARE_OF_GRACE * self.flow.grace_slack_us - waited_us
        lines_before_deadline = remaining_us * self.flow.lines_per_us
        return bool(lines <= lines_before_deadline)

    def expired_hosts(self) -> list[int]:
        """Returns the ids of removed hosts that do not have to be remembered any longer."""
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
        """Discards the state of a host, whose index may be reused for another one."""
        self.withdrawn.discard(index)
        self.pending.discard(index)

    def _withdrawal_order(self, host: int) -> tuple[bool, int, int]:
        """Returns a sort key: hosts that tables hold first, then the most recently removed."""
        is_in_no_table = not self.registry.tables_with(host)
        return is_in_no_table, -self.host_table.heard_at_us[host], host
