"""Entry point of a controller: events in, commands out. Decides nothing.

The parts that decide are actors of :mod:`plankroute.policy`; events are put into their mailboxes
here, and timers wake them.
"""

from collections.abc import Iterable
from enum import IntEnum

from plankroute.events import commands, events
from plankroute.events.events import HostState, ListKind
from plankroute.events.facts import StartFacts
from plankroute.policy.composition import (
    LIST_RETRY_DELAY_US,
    PUBLISHER_INTERVAL_US,
    build_policy,
)
from plankroute.policy.host import HostActor
from plankroute.state.scheduler import Scheduler, Tick


class TimerToken(IntEnum):
    """Tokens of the timers that a controller sets."""

    TURN = 1  # the next turn of the control loop
    HOST_LIST = 2  # a poll or subscription that failed is repeated
    PULSE = 3  # between turns: whether anything can be written by now


class Controller:
    """One controller: it shares nothing with others, and all its time comes with its events.

    Attributes:
        scheduler: What the actors share.
        policy: The parts that decide.
        host_table: The policy's statistics of the hosts.
        publisher: The policy's joined proxies and published tables.
        hosts: One actor a host, by its index; of a removed host until the index is used again.
    """

    def __init__(self, facts: StartFacts, seed: int) -> None:
        """Starts; the first `deliver` also returns what was commanded here.

        Args:
            facts: What the controller is told at its start.
            seed: Seed of its random numbers.
        """
        self.scheduler = Scheduler(seed)
        self.policy = build_policy(self.scheduler, facts)
        self.host_table = self.policy.host_table
        self.publisher = self.policy.publisher
        self.hosts: list[HostActor] = []

        self._bind_reinstates_hosts = facts.bind_reinstates_hosts
        self._list_request: commands.Command = commands.PollHostList()
        self._set_timer(self.policy.weights.first_turn_delay_us, TimerToken.TURN)
        self._set_timer(PUBLISHER_INTERVAL_US, TimerToken.PULSE)
        if facts.must_subscribe:
            self._list_request = commands.SubscribeHostList(True)
            self.scheduler.out.append(self._list_request)

    def deliver(self, clock_us: int, batch: Iterable[events.Event]) -> list[commands.Command]:
        """Takes in a batch of events and decides.

        Args:
            clock_us: The clock at which all events of the batch happen, in microseconds; it must
                not go back.
            batch: The events, in their order.

        Returns:
            Commands, in the order in which they take effect.
        """
        scheduler = self.scheduler
        scheduler.now = clock_us
        ticks: set[Tick] = set()
        for event in batch:
            tick = self._route(event)
            if tick is not None:
                ticks.add(tick)
            scheduler.run()
        if ticks:
            self._wake_publisher(Tick.TURN if Tick.TURN in ticks else Tick.CHANGED)
        self.publisher.request_acknowledgements()
        out = scheduler.out
        scheduler.out = []
        return out

    def prior_knowledge(self) -> list[events.HostPriorKnowledge]:
        """Returns what this controller has found out by itself of the hosts that are listed ready.

        What it was told by others is not passed on.
        """
        host_table = self.host_table
        return [
            self._knowledge_of(host, index)
            for host, index in host_table.index_of.items()
            if host_table.state[index] is HostState.READY and self.hosts[index].has_own_knowledge
        ]

    def _knowledge_of(self, host: int, index: int) -> events.HostPriorKnowledge:
        host_table = self.host_table
        attempts = host_table.attempts[index]
        age_us = self.scheduler.now - host_table.heard_at_us[index]
        return events.HostPriorKnowledge(
            host=host,
            weight=host_table.weight[index],
            attempts=attempts,
            failed=host_table.failed[index],
            mean_latency_us=host_table.latency_sum_us[index] / attempts if attempts else 0.0,
            ejected=host_table.ejected[index],
            required_checks=self.hosts[index].required_checks,
            health_age_us=age_us,
            capacity_age_us=age_us,
        )

    def _wake_publisher(self, tick: Tick) -> None:
        if tick is Tick.CHANGED:  # at a turn the weights were moved already
            self.scheduler.put(self.policy.weights, Tick.CHANGED)
        self.scheduler.put(self.publisher, tick)
        self.scheduler.run()

    def _set_timer(self, after_us: int, token: TimerToken) -> None:
        self.scheduler.out.append(commands.SetTimer(after_us, token))

    # Events; each handler returns the tick that the publisher is due for it, if any

    def _route(self, event: events.Event) -> Tick | None:
        match event:
            case events.HostRequestStats():
                self._on_host_request_stats(event)
            case events.HealthCheckResult():
                self._put_to_host(event.host, event)
            case events.HostPriorKnowledge():
                if self._put_to_host(event.host, event):
                    return Tick.CHANGED
            case events.ProxyRequestStats():
                self.scheduler.put(self.policy.admission, event)
            case events.ProxyJoined():
                self.scheduler.put(self.publisher, event)
                return Tick.CHANGED
            case events.ProxyLeft() | events.Acknowledged():
                self.scheduler.put(self.publisher, event)
            case events.HostList():
                return self._on_host_list(event)
            case events.TimerExpired():
                return self._on_timer(event.token)
        return None

    def _put_to_host(
        self,
        host: int,
        event: events.HostRequestStats | events.HealthCheckResult | events.HostPriorKnowledge,
    ) -> bool:
        """Puts an event into a host's mailbox; returns False if the host isn't known."""
        index = self.host_table.index_of.get(host)
        if index is None:
            return False
        self.scheduler.put(self.hosts[index], event)
        return True

    def _on_host_request_stats(self, event: events.HostRequestStats) -> None:
        if self._put_to_host(event.host, event):
            self.scheduler.put(self.policy.admission, event)

    def _on_host_list(self, listed: events.HostList) -> Tick | None:
        if listed.kind is ListKind.FAILED:
            self._set_timer(LIST_RETRY_DELAY_US, TimerToken.HOST_LIST)
            return None
        for entry in self._entries(listed):
            index = self.host_table.index_of.get(entry.host)
            if index is None:
                index = self._add_host(entry)
            may_be_withdrawn = entry.state is not HostState.READY or entry.started_us
            if self._bind_reinstates_hosts and may_be_withdrawn:
                self.host_table.possibly_withdrawn.add(index)
            self.scheduler.put(self.hosts[index], entry)
            self.scheduler.put(self.publisher, entry)
        self.scheduler.run()
        self.host_table.refresh()
        for host in self.hosts:
            self.scheduler.put(host, Tick.CHANGED)
        return Tick.CHANGED

    def _entries(self, listed: events.HostList) -> Iterable[events.HostEntry]:
        """The list's entries; a known host that a whole list does not name is gone."""
        entries = {entry.host: entry for entry in listed.entries}
        if listed.kind is not ListKind.CHANGES:
            for host, index in self.host_table.index_of.items():
                if host not in entries:
                    entries[host] = self._gone_entry(host, index)
        return entries.values()

    def _gone_entry(self, host: int, index: int) -> events.HostEntry:
        return events.HostEntry(
            host=host,
            state=HostState.GONE,
            zone=self.host_table.zone[index],
            machine_type=self.host_table.machine_type[index],
            cell=0,
            listed_weight=0.0,
            started_us=0,
        )

    def _add_host(self, entry: events.HostEntry) -> int:
        index = self.host_table.add(entry)
        actor = self.policy.add_host(index)
        if index < len(self.hosts):
            self.hosts[index] = actor
        else:
            self.hosts.append(actor)
        return index

    def _on_timer(self, token: int) -> Tick | None:
        match token:
            case TimerToken.HOST_LIST:
                self.scheduler.out.append(self._list_request)
            case TimerToken.PULSE:
                self._set_timer(PUBLISHER_INTERVAL_US, TimerToken.PULSE)
                return Tick.CHANGED
            case TimerToken.TURN:
                self._turn()
                return Tick.TURN
        return None

    def _turn(self) -> None:
        self._set_timer(self.policy.weights.next_turn_delay_us(), TimerToken.TURN)
        self.host_table.refresh()
        for host in self.hosts:
            self.scheduler.put(host, Tick.TURN)
        self.scheduler.put(self.policy.weights, Tick.TURN)
        self.scheduler.put(self.policy.admission, Tick.TURN)
        self._forget_hosts(self.publisher.expired_hosts())

    def _forget_hosts(self, hosts: list[int]) -> None:
        for host in hosts:
            index = self.host_table.remove(host)
            self.host_table.possibly_withdrawn.discard(index)
            self.publisher.forget_host(index)
            self.scheduler.out.append(commands.ForgetHost(host))
