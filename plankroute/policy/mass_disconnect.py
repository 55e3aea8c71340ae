"""Mass disconnects: many proxies that disconnect together may be a network partition."""

from plankroute.policy.host_table import HostTable
from plankroute.state.proxy_registry import ProxyRegistry
from plankroute.units import SECOND_US

# Time within which disconnects count together, and hosts are checked only once.
WINDOW_US = SECOND_US
# Share of the joined proxies that disconnect within the window: more than do so by chance.
MIN_SHARE = 0.1
# Disconnects within the window that are never suspicious, however few proxies joined.
MAX_UNSUSPICIOUS = 2


def on_disconnect(registry: ProxyRegistry, host_table: HostTable, proxy: int) -> None:
    """Counts a disconnect; checks all hosts after a mass disconnect, before statistics show it."""
    now = registry.scheduler.now
    disconnected = registry.count_disconnects(proxy, now, WINDOW_US)
    is_mass = disconnected > max(MAX_UNSUSPICIOUS, MIN_SHARE * len(registry.zone_of_proxy))
    if is_mass and now - host_table.mass_disconnect_at_us > WINDOW_US:
        host_table.mass_disconnect_at_us = now
        registry.scheduler.out += host_table.health_checks(host_table.eligible())
