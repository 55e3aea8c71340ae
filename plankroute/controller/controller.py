"""Entry point of a controller: takes in events and returns commands.

The actors of :mod:`plankroute.policy` make all decisions. This module delivers each event to the
mailboxes of the actors that handle it, and wakes actors when timers expire.
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

    TURN = 1  # starts the next turn of the control loop
    HOST_LIST = 2  # repeats a failed poll of, or subscription to, the endpoint list
    PUBLISHER_CHECK = 3  # makes the publisher write what it can between two turns


class Controller:
    """One controller instance.

    It shares no state with other instances and reads no clock: the time comes with each batch of
    events.

    Attributes:
        scheduler: Clock, random numbers, mailboxes and outgoing commands of the actors.
        policy: The actors and tables that make the decisions.
        host_table: Statistics of all hosts; part of the policy.
        publisher: Joined proxies and published tables; part of the policy.
        hosts: The actor of each host, by index in the host table. The actor of a removed host
            stays until its index is reused.
    """

    def __init__(self, facts: StartFacts, seed: int) -> None:
        """Builds the policy, and issues the first commands, which the first `deliver` returns.

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
        self._set_timer(PUBLISHER_INTERVAL_US, TimerToken.PUBLISHER_CHECK)
        if facts.must_subscribe:
            self._list_request = commands.SubscribeHostList(True)
            self.scheduler.out.append(self._list_request)

    def deliver(self, clock_us: int, batch: Iterable[events.Event]) -> list[commands.Command]:
        """Handles a batch of events.

        Args:
            clock_us: Time of all events of the batch, in microseconds; never earlier than that of
                the previous batch.
            batch: The events, in the order in which they happened.

        Returns:
            The commands, in the order in which they take effect.
        """
        scheduler = self.scheduler
        scheduler.now = clock_us
        ticks: set[Tick] = set()
        for event in batch:
            tick = self._dispatch(event)
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
        """Returns what this controller knows of hosts that are listed ready.

        Hosts that it has not measured itself since they started are left out, so that prior
        knowledge from other controllers is not passed on.
        """
        host_table = self.host_table
        return [
            self._host_prior_knowledge(host, index)
            for host, index in host_table.index_of.items()
            if host_table.state[index] is HostState.READY and self.hosts[index].has_own_knowledge
        ]

    def _host_prior_knowledge(self, host: int, index: int) -> events.HostPriorKnowledge:
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
        if tick is Tick.CHANGED:  # on a turn the weight controller was woken by `_start_turn`
            self.scheduler.put(self.policy.weights, Tick.CHANGED)
        self.scheduler.put(self.publisher, tick)
        self.scheduler.run()

    def _set_timer(self, after_us: int, token: TimerToken) -> None:
        self.scheduler.out.append(commands.SetTimer(after_us, token))

    # Event handlers. Each returns the tick with which the publisher is to be woken, or None.

    def _dispatch(self, event: events.Event) -> Tick | None:
        match event:
            case events.HostRequestStats():
                self._on_host_request_stats(event)
            case events.HealthCheckResult():
                self._deliver_to_host(event.host, event)
            case events.HostPriorKnowledge():
                if self._deliver_to_host(event.host, event):
                    return Tick.CHANGED
            case events.ProxyRequestStats():
                self.scheduler.put(self.policy.admission, event)
            case events.ProxyJoined():
                self.scheduler.put(self.publisher, event)
                return Tick.CHANGED
            case events.ProxyLeft() | events.Acknowledged() | events.AcknowledgementRejected():
                self.scheduler.put(self.publisher, event)
            case events.HostList():
                return self._on_host_list(event)
            case events.TimerExpired():
                return self._on_timer(event.token)
        return None

    def _deliver_to_host(
        self,
        host: int,
        event: events.HostRequestStats | events.HealthCheckResult | events.HostPriorKnowledge,
    ) -> bool:
        """Puts an event into the mailbox of a host's actor.

        Returns:
            False if the host is not in the host table, in which case the event is dropped.
        """
        index = self.host_table.index_of.get(host)
        if index is None:
            return False
        self.scheduler.put(self.hosts[index], event)
        return True

    def _on_host_request_stats(self, event: events.HostRequestStats) -> None:
        if self._deliver_to_host(event.host, event):
            self.scheduler.put(self.policy.admission, event)

    def _on_host_list(self, host_list: events.HostList) -> Tick | None:
        if host_list.kind is ListKind.FAILED:
            self._set_timer(LIST_RETRY_DELAY_US, TimerToken.HOST_LIST)
            return None
        for entry in self._entries(host_list):
            index = self.host_table.index_of.get(entry.host)
            if index is None:
                index = self._add_host(entry)
            if self._bind_reinstates_hosts:
                self.publisher.earlier_withdrawals.list_host(
                    index,
                    entry.state is HostState.READY,
                    entry.started_us,
                    self.scheduler.now,
                )
            self.scheduler.put(self.hosts[index], entry)
            self.scheduler.put(self.publisher, entry)
        self.scheduler.run()
        self.host_table.refresh()
        for host in self.hosts:
            self.scheduler.put(host, Tick.CHANGED)
        return Tick.CHANGED

    def _entries(self, host_list: events.HostList) -> Iterable[events.HostEntry]:
        """Returns the entries of a list, with one for each known host that is gone.

        A complete list reports a host as gone by leaving it out.
        """
        entries = {entry.host: entry for entry in host_list.entries}
        if host_list.kind is not ListKind.CHANGES:
            for host, index in self.host_table.index_of.items():
                if host not in entries:
                    entries[host] = self._entry_of_gone_host(host, index)
        return entries.values()

    def _entry_of_gone_host(self, host: int, index: int) -> events.HostEntry:
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
            case TimerToken.PUBLISHER_CHECK:
                self._set_timer(PUBLISHER_INTERVAL_US, TimerToken.PUBLISHER_CHECK)
                return Tick.CHANGED
            case TimerToken.TURN:
                self._start_turn()
                return Tick.TURN
        return None

    def _start_turn(self) -> None:
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
            self.publisher.forget_host(index)
            self.scheduler.out.append(commands.ForgetHost(host))
