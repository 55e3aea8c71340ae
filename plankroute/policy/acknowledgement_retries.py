"""Acknowledgement retries: asks proxies again whose acknowledgement could not be read.

A proxy acknowledges each message once. If that acknowledgement is rejected and no later message
follows, the lines of the message stay in the accounting, and the session of a quiet proxy looks
like one that a network partition has cut off. So the proxy gets a message without changes, whose
acknowledgement covers all earlier messages.
"""

from plankroute.events import commands
from plankroute.policy.flow_control import FlowControl
from plankroute.state.proxy_registry import ProxyRegistry


class AcknowledgementRetries:
    """Pings proxies whose rejected acknowledgement no later one has made up for.

    Args:
        registry: Joined proxies and their channel.
        flow: Limits on queued lines.
    """

    def __init__(self, registry: ProxyRegistry, flow: FlowControl) -> None:
        self.registry = registry
        self.flow = flow

    def write(self) -> None:
        """Pings the proxies that are due, as far as the allowance permits, the longest due first.

        Within the longest normal time of an acknowledgement, one of another message may still make
        up for the rejected one. A proxy that the current batch writes to needs no ping.
        """
        registry = self.registry
        now = registry.scheduler.now
        rejected_at_us = registry.acknowledgement_rejected_us
        for proxy in sorted(rejected_at_us, key=lambda proxy: (rejected_at_us[proxy], proxy)):
            if now - rejected_at_us[proxy] < self.flow.max_acknowledgement_us:
                return
            if proxy not in registry.channel.batch:
                if not self._fits():
                    return
                registry.command(commands.PingProxy(proxy), [proxy], lines=0)
            rejected_at_us[proxy] = now

    def _fits(self) -> bool:
        """Whether the channel has capacity for a ping; a small allowance holds one nevertheless."""
        lines = self.registry.channel.message_overhead
        max_queued = max(self.flow.allowance, lines)
        return self.flow.available_lines(self.registry, max_queued) >= lines
