"""Mass disconnects: many proxies that disconnect together may indicate a network partition."""

from plankroute.policy.host_table import HostTable
from plankroute.state.proxy_registry import ProxyRegistry
from plankroute.units import SECOND_US

# Window in which disconnects are counted together, and in which hosts are checked only once.
WINDOW_US = SECOND_US
# Share of the joined proxies that disconnect within the window above which chance is ruled out.
MIN_SHARE = 0.1
# Number of disconnects within the window that is never a mass disconnect, however few proxies have
# joined.
MAX_ISOLATED_DISCONNECTS = 2


def on_disconnect(registry: ProxyRegistry, host_table: HostTable, proxy: int) -> None:
    """Counts a disconnect; after a mass disconnect, checks the health of all eligible hosts.

    The checks find unreachable hosts before the request statistics show them.
    """
    now = registry.scheduler.now
    disconnected = registry.count_disconnects(proxy, now, WINDOW_US)
    is_mass = disconnected > max(MAX_ISOLATED_DISCONNECTS, MIN_SHARE * len(registry.zone_of_proxy))
    if is_mass and now - host_table.mass_disconnect_at_us > WINDOW_US:
        host_table.mass_disconnect_at_us = now
        registry.scheduler.out += host_table.health_checks(host_table.eligible())
