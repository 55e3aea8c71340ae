"""Entry point of a controller: events in by host id, orders out, and the ticks that wake its actors."""

from plankroute.events import commands, events
from plankroute.events.events import HostState, ListKind
from plankroute.events.facts import StartFacts
from plankroute.policy.composition import (
    LIST_RETRY_DELAY_US,
    PUBLISHER_PULSE_US,
    build_policy,
)
from plankroute.policy.host import HostActor
from plankroute.state.scheduler import Scheduler, Tick


class Controller:
    """Events come in by host id, orders go out; in between one loop empties the inboxes. Decides nothing."""

    TURN, ASK, PULSE = 1, 2, 3

    def __init__(self, facts: StartFacts, seed: int) -> None:
        self.scheduler = Scheduler(seed)
        self.policy = build_policy(self.scheduler, facts)
        self.host_table = self.policy.host_table
        self.publisher = self.policy.publisher
        self.balancer = self.policy.weights
        self.levels = self.policy.admission
        self.hosts: list[HostActor] = []
        self.bind_reinstates_hosts = facts.bind_reinstates_hosts
        self.ask = (
            commands.SubscribeHostList(True) if facts.must_subscribe else commands.PollHostList()
        )
        self.scheduler.out.append(commands.SetTimer(self.balancer.first_us, self.TURN))
        self.scheduler.out.append(commands.SetTimer(PUBLISHER_PULSE_US, self.PULSE))
        self.scheduler.out += [self.ask] * facts.must_subscribe

    def deliver(self, clock_us: int, batch: list[events.Event]) -> list[commands.Command]:
        scheduler, ticks = self.scheduler, set[Tick | None]()
        scheduler.now = clock_us
        for event in batch:
            ticks.add(self.route(event))
            scheduler.run()
        if ticks - {None}:
            if Tick.TURN not in ticks:
                scheduler.put(self.balancer, Tick.CHANGED)
            scheduler.put(self.publisher, Tick.TURN if Tick.TURN in ticks else Tick.CHANGED)
            scheduler.run()
        self.publisher.request_acknowledgements()
        out, scheduler.out = scheduler.out, []
        return out

    def route(self, event: events.Event) -> Tick | None:
        """Hands a note to the parts concerned; tells whether tables may have to follow."""
        match event:
            case events.HostList():
                return self.on_list(event)
            case events.TimerExpired():
                return self.on_timer(event.token)
            case events.HostPriorKnowledge() if event.host in self.host_table.index_of:
                self.scheduler.put(self.hosts[self.host_table.index_of[event.host]], event)
                return Tick.CHANGED
            case events.HostRequestStats() | events.HealthCheckResult() if (
                event.host in self.host_table.index_of
            ):
                self.scheduler.put(self.hosts[self.host_table.index_of[event.host]], event)
                if isinstance(event, events.HostRequestStats):
                    self.scheduler.put(self.levels, event)
            case events.ProxyRequestStats():
                self.scheduler.put(self.levels, event)
            case events.ProxyJoined() | events.ProxyLeft() | events.Acknowledged():
                self.scheduler.put(self.publisher, event)
        return Tick.CHANGED if isinstance(event, events.ProxyJoined) else None

    def on_list(self, listed: events.HostList) -> Tick | None:
        if listed.kind is ListKind.FAILED:
            self.scheduler.out.append(commands.SetTimer(LIST_RETRY_DELAY_US, self.ASK))
            return None
        host_table = self.host_table
        entries = {entry.host: entry for entry in listed.entries}
        if listed.kind is not ListKind.CHANGES:
            for host, i in host_table.index_of.items():
                gone = events.HostEntry(
                    host, HostState.GONE, host_table.zone[i], host_table.machine_type[i], 0, 0.0, 0
                )
                entries.setdefault(host, gone)
        for host, entry in entries.items():
            if host not in host_table.index_of:
                index = host_table.add(entry)
                self.hosts[index : index + 1] = [self.policy.add_host(index)]
            if self.bind_reinstates_hosts and (
                entry.state is not HostState.READY or entry.started_us
            ):
                host_table.possibly_withdrawn.add(host_table.index_of[host])
            for part in (self.hosts[host_table.index_of[host]], self.publisher):
                self.scheduler.put(part, entry)
        self.scheduler.run()
        host_table.refresh()
        for part in self.hosts:
            self.scheduler.put(part, Tick.CHANGED)
        return Tick.CHANGED

    def prior_knowledge(self) -> list[events.HostPriorKnowledge]:
        """What this steward has found out by itself of the hosts listed ready; not what it was told."""
        host_table, out = self.host_table, list[events.HostPriorKnowledge]()
        for host, i in host_table.index_of.items():
            if host_table.state[i] is HostState.READY and self.hosts[i].found_out:
                attempts, age_us = (
                    host_table.attempts[i],
                    self.scheduler.now - host_table.heard_at_us[i],
                )
                mean_latency_us = host_table.latency_sum_us[i] / attempts if attempts else 0.0
                out.append(
                    events.HostPriorKnowledge(
                        host,
                        host_table.weight[i],
                        attempts,
                        host_table.failed[i],
                        mean_latency_us,
                        host_table.ejected[i],
                        self.hosts[i].required_checks,
                        age_us,
                        age_us,
                    )
                )
        return out

    def forget(self, hosts: list[int]) -> None:
        for host in hosts:
            index = self.host_table.remove(host)
            for places in (
                self.publisher.withdrawn,
                self.publisher.due,
                self.host_table.possibly_withdrawn,
            ):
                places.discard(index)
            self.publisher.notified.pop(index, None)
            self.scheduler.out.append(commands.ForgetHost(host))

    def on_timer(self, token: int) -> Tick | None:
        if token == self.ASK:
            self.scheduler.out.append(self.ask)
        elif token == self.PULSE:
            self.scheduler.out.append(commands.SetTimer(PUBLISHER_PULSE_US, self.PULSE))
            return Tick.CHANGED
        elif token == self.TURN:
            self.scheduler.out.append(commands.SetTimer(self.balancer.pause_us(), self.TURN))
            self.host_table.refresh()
            for part in (*self.hosts, self.balancer, self.levels):
                self.scheduler.put(part, Tick.TURN)
            self.forget(self.publisher.long_gone())
            return Tick.TURN
        return None
