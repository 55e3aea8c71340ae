"""Judges the operators' rules on stub proxies, from what these hold and when they were told."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from plankroute.testbed.paced_channel import PacedChannel
from plankroute.testbed.roaming_proxies import RoamingProxy

RULE_SLACK_S = 0.3  # by which the rules' times are longer on sockets
SAFE_RETRY_POLICIES = frozenset({"0", "1"})  # none; after proof that the first attempt never ran


class RuleName(Enum):
    """The rules, by the operators' names where they have some."""

    LOST = "a joined proxy has no host to pick"
    DUPLICATE = "a retry policy may repeat an effect"
    DRAIN = "a proxy uses a host after the grace"
    OVERLOAD = "a cold host is overloaded"
    BACKLOG = "more lines wait than may"


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """Figures of the rules, as the settings state them.

    Attributes:
        drain_grace_s: For which a proxy may use a removed host.
        max_unbound_s: For which a joined proxy may have no host.
        warmup_s: After which a host is warm.
        start_capacity: Part of its capacity that a host has at its start.
        overload_multiple: Times its present capacity that a cold host bears.
        overload_window_s: How long it bears more.
        backlog_cap: Lines that may wait in a channel.
        host_capacity: Requests a second that a warm host bears.
        proxy_rate: Requests a second of a proxy.
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
    """RuleViolations of rules.

    Attributes:
        counts: How often each was seen, once a look and proxy or host.
        first: What was seen first of each.
    """

    counts: Counter[RuleName] = field(default_factory=Counter)
    first: dict[RuleName, str] = field(default_factory=dict)

    def add(self, rule: RuleName, what: str) -> None:
        """Adds a break."""
        self.counts[rule] += 1
        self.first.setdefault(rule, what)


class FleetRules:
    """Looks at all proxies and channels, again and again.

    Attributes:
        violations: What was broken.
        removed_s: By host that drains or is gone, when that was told.
        started_s: By ready host, when it started.
        longest_use_s: The longest that a removed host stayed in use.
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
        """Notes that a host is listed ready, started just now."""
        self.removed_s.pop(host, None)
        self.started_s[host] = now_s

    def host_removed(self, host: str, now_s: float) -> None:
        """Notes that it was told that a host drains or is gone."""
        self.removed_s.setdefault(host, now_s)
        self.started_s.pop(host, None)

    def check(self, now_s: float) -> None:
        """Judges what holds now, on the clock of the proxies' loop."""
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
                self.violations.add(RuleName.DUPLICATE, f"proxy {proxy.number}")
        self._check_overload(load, now_s)
        self._check_backlog()

    def _check_drain(self, proxy: RoamingProxy, usable: set[str], now_s: float) -> None:
        for host in usable & self.removed_s.keys():
            used_s = now_s - max(self.removed_s[host], proxy.joined_s)
            self.longest_use_s = max(self.longest_use_s, used_s)
            if used_s > self.parameters.drain_grace_s + RULE_SLACK_S:
                what = f"proxy {proxy.number} uses {host} {used_s:.2f} s after it was told"
                self.violations.add(RuleName.DRAIN, what)

    def _check_unbound_time(self, proxy: RoamingProxy, is_served: bool, now_s: float) -> None:
        if is_served:
            self._served_s[proxy.number] = now_s
        unserved_s = now_s - self._served_s.setdefault(proxy.number, now_s)
        if unserved_s > self.parameters.max_unbound_s + RULE_SLACK_S:
            self.violations.add(RuleName.LOST, f"proxy {proxy.number} for {unserved_s:.2f} s")

    def _check_overload(self, load: dict[str, float], now_s: float) -> None:
        parameters = self.parameters
        for host, started_s in self.started_s.items():
            warm_part = min(1.0, (now_s - started_s) / parameters.warmup_s)
            capacity_part = parameters.start_capacity + (1 - parameters.start_capacity) * warm_part
            borne = parameters.overload_multiple * capacity_part * parameters.host_capacity
            if warm_part >= 1 or load.get(host, 0.0) <= borne:
                self._overloaded_s.pop(host, None)
                continue
            overloaded_s = now_s - self._overloaded_s.setdefault(host, now_s)
            if overloaded_s > parameters.overload_window_s + RULE_SLACK_S:
                what = f"{host} gets {load[host]:.0f}/s, bears {borne:.0f}/s"
                self.violations.add(RuleName.OVERLOAD, what)

    def _check_backlog(self) -> None:
        for controller, channel in enumerate(self.channels):
            if channel.waiting_lines() > self.parameters.backlog_cap:
                what = f"controller {controller}: {channel.waiting_lines():.0f} lines"
                self.violations.add(RuleName.BACKLOG, what)
