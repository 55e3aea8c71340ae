"""Entry point of a controller: events in by host id, orders out, and the ticks that wake its actors."""

from plankroute.controller.scheduler import Scheduler, Tick
from plankroute.events import commands, events
from plankroute.events.events import HostState, ListKind
from plankroute.events.facts import StartFacts
from plankroute.policy.decide import ASK_AGAIN_US, Balancer, Fleet, Host, Levels, Publisher


class Controller:
    """Events come in by host id, orders go out; in between one loop empties the inboxes. Decides nothing."""

    TURN, ASK, PULSE = 1, 2, 3

    def __init__(self, facts: StartFacts, seed: int) -> None:
        self.desk, self.fleet, self.hosts = Scheduler(seed), Fleet(facts), list[Host]()
        self.publisher = Publisher(self.desk, self.fleet, facts)
        self.balancer = Balancer(self.desk, self.fleet, self.publisher.tables)
        self.levels = Levels(self.desk, self.fleet, facts, self.publisher)
        self.lets_back = facts.lets_back
        self.ask = commands.Subscribe(True) if facts.must_subscribe else commands.AskList()
        self.desk.out.append(commands.SetTimer(self.balancer.first_us, self.TURN))
        self.desk.out.append(commands.SetTimer(Publisher.PULSE_US, self.PULSE))
        self.desk.out += [self.ask] * facts.must_subscribe

    def deliver(self, clock_us: int, batch: list[events.Note]) -> list[commands.Order]:
        desk, ticks = self.desk, set[Tick | None]()
        desk.now = clock_us
        for note in batch:
            ticks.add(self.route(note))
            desk.run()
        if ticks - {None}:
            if Tick.TURN not in ticks:
                desk.put(self.balancer, Tick.CHANGED)
            desk.put(self.publisher, Tick.TURN if Tick.TURN in ticks else Tick.CHANGED)
            desk.run()
        self.publisher.close()
        out, desk.out = desk.out, []
        return out

    def route(self, note: events.Note) -> Tick | None:
        """Hands a note to the parts concerned; tells whether tables may have to follow."""
        match note:
            case events.HostList():
                return self.on_list(note)
            case events.TimerDue():
                return self.on_timer(note.token)
            case events.HostLearned() if note.host in self.fleet.index:
                self.desk.put(self.hosts[self.fleet.index[note.host]], note)
                return Tick.CHANGED
            case events.HostSums() | events.ProbeResult() if note.host in self.fleet.index:
                self.desk.put(self.hosts[self.fleet.index[note.host]], note)
                if isinstance(note, events.HostSums):
                    self.desk.put(self.levels, note)
            case events.ProxyTraffic():
                self.desk.put(self.levels, note)
            case events.ProxyJoined() | events.ProxyLeft() | events.Applied():
                self.desk.put(self.publisher, note)
        return Tick.CHANGED if isinstance(note, events.ProxyJoined) else None

    def on_list(self, listed: events.HostList) -> Tick | None:
        if listed.kind is ListKind.FAILED:
            self.desk.out.append(commands.SetTimer(ASK_AGAIN_US, self.ASK))
            return None
        fleet = self.fleet
        entries = {entry.host: entry for entry in listed.entries}
        if listed.kind is not ListKind.CHANGES:
            for host, i in fleet.index.items():
                gone = events.HostEntry(
                    host, HostState.GONE, fleet.zone[i], fleet.kind[i], 0, 0.0, 0
                )
                entries.setdefault(host, gone)
        for host, entry in entries.items():
            if host not in fleet.index:
                place = fleet.add(entry)
                self.hosts[place : place + 1] = [Host(self.desk, fleet, place)]
            if self.lets_back and (entry.state is not HostState.READY or entry.started_us):
                fleet.once.add(fleet.index[host])
            for part in (self.hosts[fleet.index[host]], self.publisher):
                self.desk.put(part, entry)
        self.desk.run()
        fleet.look()
        for part in self.hosts:
            self.desk.put(part, Tick.CHANGED)
        return Tick.CHANGED

    def learned(self) -> list[events.HostLearned]:
        """What this steward has found out by itself of the hosts listed ready; not what it was told."""
        fleet, out = self.fleet, list[events.HostLearned]()
        for host, i in fleet.index.items():
            if fleet.state[i] is HostState.READY and self.hosts[i].found_out:
                tries, age_us = fleet.tries[i], self.desk.now - fleet.heard_us[i]
                mean_us = fleet.time_us[i] / tries if tries else 0.0
                out.append(
                    events.HostLearned(
                        host,
                        fleet.weight[i],
                        tries,
                        fleet.voided[i],
                        mean_us,
                        fleet.shut[i],
                        self.hosts[i].needed,
                        age_us,
                        age_us,
                    )
                )
        return out

    def forget(self, hosts: list[int]) -> None:
        for host in hosts:
            place = self.fleet.remove(host)
            for places in (self.publisher.withdrawn, self.publisher.due, self.fleet.once):
                places.discard(place)
            self.publisher.knows.pop(place, None)
            self.desk.out.append(commands.Forget(host))

    def on_timer(self, token: int) -> Tick | None:
        if token == self.ASK:
            self.desk.out.append(self.ask)
        elif token == self.PULSE:
            self.desk.out.append(commands.SetTimer(Publisher.PULSE_US, self.PULSE))
            return Tick.CHANGED
        elif token == self.TURN:
            self.desk.out.append(commands.SetTimer(self.balancer.pause_us(), self.TURN))
            self.fleet.look()
            for part in (*self.hosts, self.balancer, self.levels):
                self.desk.put(part, Tick.TURN)
            self.forget(self.publisher.long_gone())
            return Tick.TURN
        return None
