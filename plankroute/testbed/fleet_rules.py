"""Checks of the operators' rules against the tables of stub proxies, their hosts and channels."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from plankroute.testbed.paced_channel import PacedChannel
from plankroute.testbed.roaming_proxies import RoamingProxy

RULE_SLACK_S = 0.3  # added to the rules' times, since delivery through sockets takes time
# "0" is no retry, "1" is a retry only after proof that the first attempt never ran.
SAFE_RETRY_POLICIES = frozenset({"0", "1"})


class RuleName(Enum):
    """The rules, under the operators' names where the operators have named them."""

    LOST = "a joined proxy has no usable host"
    DUPLICATE = "a retry policy may repeat a side effect"
    DRAIN = "a proxy uses a removed host after the drain grace"
    OVERLOAD = "a cold host is overloaded"
    BACKLOG = "the lines that wait in a channel exceed the backlog cap"


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """Parameters of the rules, as the settings state them.

    Attributes:
        drain_grace_s: Seconds for which a proxy may still use a removed host.
        max_unbound_s: Seconds for which a joined proxy may have no host.
        warmup_s: Seconds from a host's start until it is warm.
        start_capacity: Share of its full capacity that a host has at its start.
        overload_multiple: Multiple of its present capacity that a cold host can receive.
        overload_window_s: Seconds for which a cold host can receive more than that.
        backlog_cap: Lines that may wait in a channel.
        host_capacity: Requests a second that a warm host can serve.
        proxy_rate: Requests a second that a proxy sends.
    """

    drain_grace_s: float
    max_unbound_s: float
    warmup_s: float
    start_capacity: float
    overload_multiple: float
    overload_window_s: float
    backlog_cap: int
    host_capacity: float
    proxy_rate: float


@dataclass(slots=True)
class RuleViolations:
    """Violations of rules.

    Attributes:
        counts: By rule, the number of violations. A violation that lasts is counted once for each
            check and each proxy, host or channel.
        first: By rule, a description of the first violation.
    """

    counts: Counter[RuleName] = field(default_factory=Counter)
    first: dict[RuleName, str] = field(default_factory=dict)

    def add(self, rule: RuleName, description: str) -> None:
        """Counts a violation, and keeps its description if it is the first of its rule."""
        self.counts[rule] += 1
        self.first.setdefault(rule, description)


class FleetRules:
    """Checks all proxies, hosts and channels against the rules each time that `check` is called.

    Attributes:
        violations: The violations found so far.
        removed_s: By host that is draining or gone, the time at which that was announced.
        started_s: By ready host, the time of its start.
        longest_use_s: The longest time for which a removed host stayed in use, in seconds.
    """

    def __init__(
        self,
        parameters: RuleParameters,
        proxies: Sequence[RoamingProxy],
        channels: Sequence[PacedChannel],
    ) -> None:
        self.parameters = parameters
        self.proxies = proxies
        self.channels = channels
        self.violations = RuleViolations()
        self.removed_s: dict[str, float] = {}
        self.started_s: dict[str, float] = {}
        self.longest_use_s = 0.0
        self._served_s: dict[int, float] = {}
        self._overloaded_s: dict[str, float] = {}

    def host_started(self, host: str, now_s: float) -> None:
        """Records that a host started just now and is listed as ready."""
        self.removed_s.pop(host, None)
        self.started_s[host] = now_s

    def host_removed(self, host: str, now_s: float) -> None:
        """Records that a host is announced as draining or gone; the first announcement counts."""
        self.removed_s.setdefault(host, now_s)
        self.started_s.pop(host, None)

    def check(self, now_s: float) -> None:
        """Checks all rules; `now_s` is the time on the clock of the proxies' event loop."""
        has_warm_host = any(
            now_s - started_s >= self.parameters.warmup_s for started_s in self.started_s.values()
        )
        load: dict[str, float] = {}
        for proxy in self.proxies:
            usable = proxy.usable_hosts()
            for host, share in proxy.shares().items():
                load[host] = load.get(host, 0.0) + share * self.parameters.proxy_rate
            if proxy.controller is None:
                self._served_s.pop(proxy.number, None)
                continue
            self._check_drain(proxy, usable, now_s)
            self._check_unbound_time(proxy, bool(usable) or not has_warm_host, now_s)
            if not proxy.retry_policies <= SAFE_RETRY_POLICIES:
                self.violations.add(
                    RuleName.DUPLICATE,
                    f"proxy {proxy.number} has a retry policy that may repeat a side effect",
                )
        self._check_overload(load, now_s)
        self._check_backlog()

    def _check_drain(self, proxy: RoamingProxy, usable: set[str], now_s: float) -> None:
        for host in usable & self.removed_s.keys():
            used_s = now_s - max(self.removed_s[host], proxy.joined_s)
            self.longest_use_s = max(self.longest_use_s, used_s)
            if used_s > self.parameters.drain_grace_s + RULE_SLACK_S:
                description = (
                    f"proxy {proxy.number} still uses removed host {host} after {used_s:.2f} s"
                )
                self.violations.add(RuleName.DRAIN, description)

    def _check_unbound_time(self, proxy: RoamingProxy, is_served: bool, now_s: float) -> None:
        if is_served:
            self._served_s[proxy.number] = now_s
        unserved_s = now_s - self._served_s.setdefault(proxy.number, now_s)
        if unserved_s > self.parameters.max_unbound_s + RULE_SLACK_S:
            self.violations.add(
                RuleName.LOST, f"proxy {proxy.number} had no usable host for {unserved_s:.2f} s"
            )

    def _check_overload(self, load: dict[str, float], now_s: float) -> None:
        parameters = self.parameters
        for host, started_s in self.started_s.items():
            warm_part = min(1.0, (now_s - started_s) / parameters.warmup_s)
            capacity_part = parameters.start_capacity + (1 - parameters.start_capacity) * warm_part
            max_load = parameters.overload_multiple * capacity_part * parameters.host_capacity
            if warm_part >= 1 or load.get(host, 0.0) <= max_load:
                self._overloaded_s.pop(host, None)
                continue
            overloaded_s = now_s - self._overloaded_s.setdefault(host, now_s)
            if overloaded_s > parameters.overload_window_s + RULE_SLACK_S:
                description = (
                    f"{host} receives {load[host]:.0f} requests/s, more than its limit of "
                    f"{max_load:.0f} requests/s"
                )
                self.violations.add(RuleName.OVERLOAD, description)

    def _check_backlog(self) -> None:
        for controller, channel in enumerate(self.channels):
            if channel.waiting_lines() > self.parameters.backlog_cap:
                description = (
                    f"controller {controller}: {channel.waiting_lines():.0f} lines wait "
                    "in its channel"
                )
                self.violations.add(RuleName.BACKLOG, description)
