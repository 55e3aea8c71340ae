"""Binding: binds waiting proxies to the tables of this controller."""

from collections.abc import Sequence

from plankroute.events import commands
from plankroute.policy.first_weights import FirstWeights
from plankroute.policy.flow_control import FlowControl
from plankroute.policy.host_table import HostTable
from plankroute.policy.subsetting import SubsetPolicy
from plankroute.state.proxy_registry import ProxyRegistry
from plankroute.state.published_table import PublishedTable


class Binder:
    """Binds proxies to complete tables, once per stream and not before any slot is set."""

    def __init__(
        self,
        registry: ProxyRegistry,
        host_table: HostTable,
        first_weights: FirstWeights,
        flow: FlowControl,
        subsetting: SubsetPolicy,
    ) -> None:
        self.registry = registry
        self.host_table = host_table
        self.first_weights = first_weights
        self.flow = flow
        self.subsetting = subsetting

    def bind_waiting(self, withdrawn: set[int], slots_wait: bool) -> None:
        """Binds as many proxies as fit: waiting ones first, then those on interim tables.

        Among the waiting proxies, those without older tables come first, then those with a higher
        request rate. No proxy is bound while all tables are empty or first weights are undecided.

        Args:
            withdrawn: Withdrawn hosts, each of which costs an additional line in a bind.
            slots_wait: Whether deferrable slots are held back, so that binds may use the whole
                allowance.
        """
        registry = self.registry
        has_slots = any(table.published for table in registry.tables)
        if not has_slots or self.first_weights.is_waiting:
            return
        max_queued = self.flow.allowance if slots_wait else self.flow.bind_allowance
        waiting = sorted(registry.unbound, key=self._bind_order)
        self._bind_in_order(waiting, withdrawn, max_queued)
        if not registry.unbound:
            self._bind_from_interim_tables(withdrawn)

    def _bind_from_interim_tables(self, withdrawn: set[int]) -> None:
        """Binds proxies on interim tables to complete ones, up to the intended number of users."""
        registry = self.registry
        ready_count = len(self.host_table.ready())
        joined_count = len(registry.zone_of_proxy)
        max_users = self.subsetting.max_users(ready_count, self.flow.grace_slack_us, joined_count)
        if len(registry.bound) >= max_users:
            return
        remaining = int(min(len(registry.interim), max_users - len(registry.bound)))
        by_rate = sorted(registry.interim, key=lambda proxy: -registry.interim[proxy])
        self._bind_in_order(by_rate[:remaining], withdrawn, self.flow.rebind_allowance)

    def _bind_in_order(self, proxies: list[int], withdrawn: set[int], max_queued: float) -> None:
        registry = self.registry
        for proxy in proxies:
            zone = registry.zone_of_proxy[proxy]
            tables = [table for table in registry.tables if table.serves_zone(zone)]
            reinstated = reinstated_by_bind(registry, withdrawn, proxy)
            if not bind(registry, self.flow, proxy, tables, reinstated, max_queued):
                break
            registry.enter_complete_tables(proxy)

    def _bind_order(self, proxy: int) -> tuple[bool, float, int]:
        return *self.registry.unbound[proxy].bind_order, proxy


def reinstated_by_bind(registry: ProxyRegistry, withdrawn: set[int], proxy: int) -> set[int]:
    """Returns the hosts that a bind of the proxy reinstates, for a second line each.

    These include hosts that it may keep withdrawn by a command on an earlier stream.
    """
    return withdrawn | registry.earlier_withdrawals.hosts(proxy)


def bind(
    registry: ProxyRegistry,
    flow: FlowControl,
    proxy: int,
    tables: Sequence[PublishedTable],
    reinstated: set[int],
    max_queued: float,
) -> bool:
    """Binds a proxy to tables if the channel has capacity; returns whether it did.

    Args:
        registry: Joined proxies and their channel.
        flow: Limits on queued lines.
        proxy: The proxy.
        tables: The tables for the proxy's zone, which together serve all request classes.
        reinstated: Hosts that cost a second line, see `reinstated_by_bind`.
        max_queued: Maximum number of queued lines.
    """
    lines_of_tables = [table.bind_lines(reinstated) for table in tables]
    lines = sum(lines_of_tables) + registry.channel.message_overhead
    # A bind of more lines than `max_queued` would never fit. Up to the allowance, it is written
    # once nothing else is queued.
    max_queued = max(max_queued, min(lines, flow.allowance))
    if lines > flow.available_lines(registry, max_queued):
        return False
    for table, table_lines in zip(tables, lines_of_tables, strict=True):
        request_classes = tuple(table.request_classes) if len(registry.tables) > 1 else None
        command = commands.BindProxy(table.number, proxy, request_classes)
        registry.command(command, [proxy], table_lines)
    return True
