"""Binding: puts proxies that wait on this controller's tables."""

from plankroute.events import commands
from plankroute.policy.first_weights import FirstWeights
from plankroute.policy.flow_control import FlowControl
from plankroute.policy.host_table import HostTable
from plankroute.state.proxy_registry import ProxyRegistry


class Binder:
    """Binds proxies, each once a connection and never to tables without slots."""

    def __init__(
        self,
        registry: ProxyRegistry,
        host_table: HostTable,
        first_weights: FirstWeights,
        flow: FlowControl,
    ) -> None:
        self.registry = registry
        self.host_table = host_table
        self.first_weights = first_weights
        self.flow = flow

    def bind_waiting(self, withdrawn: set[int], slots_wait: bool) -> None:
        """Binds as many waiting proxies as fit: fresh ones, and large ones, first.

        Args:
            withdrawn: Hosts that are withdrawn: an additional line each in a bind.
            slots_wait: Whether binds may use the allowance of slots, which then wait.
        """
        registry = self.registry
        has_slots = any(table.published for table in registry.tables)
        if not has_slots or self.first_weights.is_waiting:
            return
        max_queued = self.flow.allowance if slots_wait else self.flow.bind_allowance
        # A returning proxy may have withdrawn hosts by command of another controller.
        withdrawn_for_returning = withdrawn | self.host_table.possibly_withdrawn
        for proxy in sorted(registry.unbound, key=self._bind_order):
            is_returning = proxy in registry.returning
            named = withdrawn_for_returning if is_returning else withdrawn
            if not self._bind(proxy, named, max_queued):
                break

    def _bind_order(self, proxy: int) -> tuple[bool, float, int]:
        return *self.registry.unbound[proxy].bind_order, proxy

    def _bind(self, proxy: int, withdrawn: set[int], max_queued: float) -> bool:
        """Binds a proxy if that fits; returns whether it did."""
        registry = self.registry
        zone = registry.zone_of_proxy[proxy]
        tables = [table for table in registry.tables if table.serves_zone(zone)]
        lines_of_tables = [table.bind_lines(withdrawn) for table in tables]
        lines = sum(lines_of_tables) + registry.channel.message_overhead
        # Guards against a table longer than binds may queue, which would never go; alone it does.
        max_queued = max(max_queued, min(lines, self.flow.allowance))
        if lines > self.flow.available_lines(registry, max_queued):
            return False
        del registry.unbound[proxy]
        registry.bound.add(proxy)
        for table, table_lines in zip(tables, lines_of_tables, strict=True):
            request_classes = tuple(table.request_classes) if len(registry.tables) > 1 else None
            command = commands.BindProxy(table.number, proxy, request_classes)
            registry.command(command, [proxy], table_lines)
        return True
