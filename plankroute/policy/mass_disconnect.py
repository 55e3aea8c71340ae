"""Mass disconnects: many proxies that disconnect together may tell of a network partition."""

from plankroute.policy.constants import SECOND_US
from plankroute.policy.host_table import HostTable
from plankroute.state.proxy_registry import ProxyRegistry

# Time within which disconnects count together, and before which there is no second alarm: a guess.
WINDOW_US = SECOND_US
# Share of the joined proxies that disconnect within the window: more than do by themselves. A
# guess.
MIN_SHARE = 0.1
# Disconnects within the window that are never an alarm: a guess, for controllers with few proxies.
MAX_UNSUSPICIOUS = 2


def on_disconnect(registry: ProxyRegistry, host_table: HostTable, proxy: int) -> None:
    """Counts a disconnect; checks all hosts after a mass disconnect, before statistics show it."""
    now = registry.scheduler.now
    disconnected = registry.count_disconnects(proxy, now, WINDOW_US)
    is_mass = disconnected > max(MAX_UNSUSPICIOUS, MIN_SHARE * len(registry.zone_of_proxy))
    if is_mass and now - host_table.disconnect_alarm_us > WINDOW_US:
        host_table.disconnect_alarm_us = now
        registry.scheduler.out += host_table.health_checks(host_table.eligible())
