"""Publishes the routing tables to the proxies."""

import math
from collections.abc import Iterator
from typing import Any

from plankroute.events import commands, events
from plankroute.events.events import HostState
from plankroute.events.facts import AdmissionUnit, StartFacts
from plankroute.policy.host_table import HostTable
from plankroute.policy.slots import tables_for
from plankroute.policy.time_constants import SECOND_US
from plankroute.policy.weights import Balancer
from plankroute.state.channel import Channel
from plankroute.state.host_statistics import NO_CAP
from plankroute.state.proxy_registry import (
    Change,
    ProxyRegistry,
)
from plankroute.state.scheduler import Scheduler, Tick


class Publisher(ProxyRegistry):
    """Keeps the tables, puts proxies on them, and writes to the channel no more than it can take."""

    PULSE_US = SECOND_US // 10  # well within any grace, and shorter than a message's way
    ORDINARY_PART, GRACE_PART = (
        0.5,
        0.4,
    )  # of the limit, of the grace may be queued: the rest is for drains
    BIND_PART = 0.45  # binds leave room for slots: those who come later find the table right
    WORTH_US = (
        3 * SECOND_US // 2
    )  # a moved txn gains a tenth or so, for the time that a slot stands
    URGE = 6.0  # of the SLA time; guards against a channel busy all day with the small moves of a calm fleet
    NEW = 4.0  # times a slot's worth for a host without any: the others carry its txns
    FALLEN = 0.75  # a cold host's slot below this part of the pushed one does not wait
    LEARN_US = (
        5 * SECOND_US
    )  # for first weights, if binds then fit the grace: old tables name lost hosts
    IN_TIME = 0.75  # of the grace left after the longest way: binds that fit need no withdrawals before them
    BIND_US, BIND_SHARE = (
        3 * SECOND_US,
        0.5,
    )  # for all binds, at most; of what the grace leaves, at most
    BURST = 0.1  # of the streams, within a second: more than break by themselves
    LOST = (
        0.1  # of a zone's hosts: the few of a standing table, drawn from it, may all be among them
    )
    KEEP_US = (
        60 * SECOND_US
    )  # for hosts that are gone: proxies back from the longest cuts may name them yet
    OPEN = {AdmissionUnit.NONE: 1.0, AdmissionUnit.SHARE: 1.0, AdmissionUnit.RATE: 1e6}
    RETRY = (
        commands.RetryPolicy.IF_NOT_EXECUTED
    )  # on proof that the first never ran: others doubled the load of late hosts

    def __init__(self, scheduler: Scheduler, host_table: HostTable, facts: StartFacts) -> None:
        self.lines_per_us, tables = facts.channel_lines_per_s / SECOND_US, tables_for(facts)
        channel = Channel(
            facts.message_overhead_lines,
            self.lines_per_us,
            facts.max_one_way_delay_us + self.PULSE_US,
        )
        super().__init__(
            scheduler, [] if facts.slices else tables, channel
        )  # the store keeps those of slices
        self.host_table, self.limit = host_table, facts.backlog_cap_lines
        self.spare_us = max(0, facts.drain_grace_us - facts.max_one_way_delay_us)
        in_grace = self.GRACE_PART * self.spare_us * self.lines_per_us
        self.allowance = min(self.ORDINARY_PART * self.limit, in_grace)
        self.round = (2 * self.PULSE_US + 2 * facts.one_way_delay_us) * self.lines_per_us  # lines
        self.bind_allowance = min(self.allowance * self.BIND_PART, self.round)
        a_second = max(
            1.0, facts.channel_lines_per_s * facts.controller_count
        )  # lines, of all stewards
        self.line_price = (
            facts.penalty_rates.command_line
            * facts.proxy_count
            / a_second
            * SECOND_US
            / self.WORTH_US
        )
        most, self.most_gap_us = facts.max_messages_per_window, facts.drain_grace_us / 3
        self.least_gap_us = facts.message_window_us / max(1, most - 1) if most else 0.0
        self.written_us = self.told_us = self.owed_us = -facts.message_window_us
        self.withdrawn, self.due, self.refused = (
            set[int](),
            set[int](),
            False,
        )  # hosts; those to take out yet
        self.proxies, self.stewards = facts.proxy_count, facts.controller_count
        self.start = (
            facts.controller_rank % facts.controller_count / facts.controller_count
        )  # of its arc of the hosts
        self.seen, self.found, self.bare = (
            list[Any](),
            list[dict[int, int]](),
            False,
        )  # slots, their causes
        self.untold_us: int | None = None  # since when proxies wait that were not told who is gone
        self.levels: dict[
            Any, commands.SetAdmissionLimit
        ] = {}  # not yet written: a newer one replaces an older
        for table in self.tables:
            scheduler.out.append(
                commands.SetAdmissionLimit(
                    table.number, None, self.OPEN[facts.admission_unit], self.RETRY
                )
            )

    def handle(self, event: Any) -> None:
        match event:
            case events.HostEntry():
                i = self.host_table.index_of[event.host]
                if self.host_table.state[i] is HostState.READY:
                    self.due.discard(i)
                elif i not in self.withdrawn and self.withdrawal_lines(i):
                    self.due.add(i)
            case events.ProxyJoined():
                self.leave(event.proxy)
                self.join(event)
                self.untold_us = self.untold_us or self.scheduler.now
                if self.host_table.first_weights_since_us == 0:
                    self.host_table.old, sized = (
                        not event.fresh,
                        len(set(self.host_table.listed_weight)) > 1,
                    )
                    learns = (
                        self.host_table.old or self.host_table.health_checks_allowed and not sized
                    )
                    self.host_table.first_weights_since_us = self.scheduler.now if learns else None
                    binds_us = self.bind_us(self.subset_share())
                    self.host_table.first_weights_timeout_us = min(
                        self.LEARN_US, self.spare_us - binds_us
                    )
                    self.scheduler.out += self.host_table.health_checks(
                        self.host_table.eligible() if learns else ()
                    )
            case events.ProxyLeft():
                self.leave(event.proxy)
                self.count_broken(event.proxy)
            case events.Acknowledged():
                self.channel.acknowledge(event.proxy, event.sequence_number)
            case commands.SetAdmissionLimit():
                self.levels[event.table, event.products] = event
            case Tick():
                self.channel.advance(self.scheduler.now)
                self.bare = any(
                    self.host_table.removed_share(zone) > self.LOST for zone in self.unbound_zones()
                )
                self.lift()
                self.owe()
                self.write(event is Tick.TURN)
                self.bind_waiting()

    def count_broken(
        self, proxy: int
    ) -> None:  # together they may tell of a cut, before sums: all are asked
        host_table, now = self.host_table, self.scheduler.now
        broken = self.count_disconnects(proxy, now, SECOND_US)
        if (
            broken > max(2, self.BURST * len(self.zone_of_proxy))
            and now - host_table.disconnect_alarm_us > SECOND_US
        ):
            host_table.disconnect_alarm_us = now
            self.scheduler.out += host_table.health_checks(host_table.eligible())

    def write(self, turn: bool) -> None:
        """What the rules demand as soon as a message can go; the rest in the turns that can afford it."""
        host_table, joined, heads = (
            self.host_table,
            len(self.zone_of_proxy),
            len(self.zone_of_proxy) * self.channel.message_overhead,
        )
        whole = sum(len(self.users(table)) * len(table.published) for table in self.tables) + heads
        host_table.proxies, host_table.channel_constrained, host_table.min_slot_change = (
            joined,
            whole > self.allowance,
            0.0,
        )
        since, room = (
            self.scheduler.now - self.written_us,
            self.limit - self.channel.unacknowledged - heads,
        )
        # A busy channel gathers orders under fewer heads; first drains go at once, refused ones when all fit.
        fits = self.refused and sum(map(self.withdrawal_lines, self.due)) <= room
        at_once = fits or (self.due and self.scheduler.now - self.told_us >= self.most_gap_us)
        changes = sorted(self.changes(), key=lambda change: (-change.gain, change.index))
        ejected = any(change.urgent and host_table.ejected[change.index] for change in changes)
        gap_us = (
            min(self.most_gap_us, Balancer.TURN_US) if ejected else self.most_gap_us
        )  # bad hosts: a turn
        busy = self.channel.unacknowledged > self.round and since < gap_us
        if since < self.least_gap_us or (busy and not at_once):
            return
        for host in sorted(
            self.due, key=lambda i: (not self.tables_with(i), -host_table.heard_at_us[i], i)
        ):
            self.told_us = self.scheduler.now
            room -= self.tell_gone(host, room)
        self.refused = bool(self.due)
        for change in (c for c in changes if c.urgent):
            room -= self.set_line(change, room)
        if self.channel.batch or (turn and since >= 2 * self.least_gap_us and not self.bare):
            room = min(room, self.room(self.allowance) - heads)
            self.write_ordinary([c for c in changes if not c.urgent], room)
        if self.channel.batch:
            self.written_us = self.scheduler.now

    def subset_share(self) -> float:
        """Of the hosts that a table holds: as many as an even share of proxies can be bound to in time; whole
        shares, so that each host is in as many tables; all for two controllers: either may be left alone."""
        in_time = min(self.BIND_US, self.BIND_SHARE * self.spare_us) / max(1.0, self.bind_us(1.0))
        shares = max(1, math.ceil(in_time * self.stewards))
        return min(1.0, shares / self.stewards) if self.stewards > 2 else 1.0

    def bind_us(
        self, part: float
    ) -> float:  # to bind an even share of all proxies to this part of the hosts
        lines = part * len(self.host_table.ready()) + self.channel.message_overhead
        return self.proxies / self.stewards * lines / self.lines_per_us

    def all_slots(self) -> list[dict[int, int]]:
        """As found last, while nothing that they follow from has moved: ten looks a second, one turn."""
        host_table, out = self.host_table, self.withdrawn | self.due
        seen = [
            host_table.weight,
            host_table.weight_cap,
            host_table.ejected,
            host_table.unreachable,
            host_table.state,
            host_table.zone,
            host_table.machine_type,
            out,
        ]
        seen += [table.published for table in self.tables]
        if seen != self.seen:
            self.seen, part = [figures.copy() for figures in seen], self.subset_share()
            self.found = [table.slots(host_table, out, part, self.start) for table in self.tables]
            host_table.outside_subset = (
                set(host_table.ready()).difference(*self.found) if part < 1 else set()
            )
        return self.found

    def changes(
        self,
    ) -> Iterator[Change]:  # worth more where a slot is to fall: txns there are late already
        host_table, products = self.host_table, sum(len(table.products) for table in self.tables)
        urge = max(
            1.0, (self.URGE * host_table.mean_latency_us / host_table.latency_objective_us) ** 3
        )
        for table, slots in zip(self.tables, self.all_slots()):
            part = len(table.products) / products / max(1, sum(slots.values()))
            host_table.min_slot_change = max(
                host_table.min_slot_change, self.line_price / (part * table.SLOTS_A_HOST)
            )
            # Guards against a bare proxy: if no warm host is left in the table all goes out at once.
            bare = not any(
                i in slots and host_table.weight_cap[i] == NO_CAP for i in table.published
            )
            for i in slots.keys() | table.published.keys():
                count, before = slots.get(i, 0), table.published.get(i, 0)
                if count != before and i not in self.due:
                    fallen = host_table.weight_cap[i] < NO_CAP and count < self.FALLEN * before
                    strain = max(1.0, before / max(1, count)) if before else self.NEW
                    gain = urge * (count - before) ** 2 / max(count, before) * part * strain
                    urgent = bare or fallen or (not count and i not in host_table.outside_subset)
                    if (
                        i in self.withdrawn
                    ):  # nobody sends there: last, sooner if it is back or long gone
                        back, late = (
                            host_table.state[i] is HostState.READY,
                            self.scheduler.now - host_table.heard_at_us[i],
                        )
                        gain, urgent = (
                            gain * back or float(2 * late > self.KEEP_US),
                            bare and back,
                        )
                    yield Change(gain, urgent, table, i, count)

    def write_ordinary(self, changes: list[Change], room: float) -> None:
        """Levels, then the slots that move most, as there is room, if together they are worth their heads."""
        message_overhead = 0 if self.channel.batch else self.channel.message_overhead
        gain = [c for c in changes if c.gain > self.line_price or c.index in self.withdrawn]
        if room < len(self.bound) * min(message_overhead, len(gain) + len(self.levels)):
            return  # a later message holds more lines a head
        for key, level in list(self.levels.items()):
            if room >= len(users := self.users(self.tables[level.table])):
                room -= len(users)
                self.command(self.levels.pop(key), users)
        if (
            sum(c.gain - self.line_price for c in gain) > self.line_price * message_overhead
            or self.channel.batch
        ):
            for change in gain:
                room -= self.set_line(change, room)

    def set_line(
        self, change: Change, room: float
    ) -> int:  # the lines it took: none where there is no room
        table, recipients = (
            change.table,
            self.recipients(change.table, change.index, self.host_table.possibly_withdrawn),
        )
        if len(recipients) > room:
            return 0
        table.set(change.index, change.count)
        self.command(
            commands.SetRoute(
                table.number, self.host_table.host_ids[change.index], float(change.count)
            ),
            recipients,
        )
        return len(recipients)

    def tell_gone(self, host: int, room: float) -> int:
        """Its line goes; proxies on other tables, and all where several name it, are told: a line a proxy."""
        tables, lines = self.tables_with(host), self.withdrawal_lines(host)
        if lines > room:
            return 0  # it has to wait for answers
        self.due.discard(host)
        if len(tables) == 1:
            self.set_line(Change(0.0, True, tables[0], host, 0), room)
        if told := self.tell(host, self.zone_of_proxy if len(tables) > 1 else self.unbound):
            self.command(commands.WithdrawHost(self.host_table.host_ids[host], True), told)
            self.withdrawn.add(host)
        return lines

    def owe(self) -> None:
        """Who joins may name hosts that are gone: binds settle it, withdrawals where these take too long."""
        host_table, now = self.host_table, self.scheduler.now
        self.untold_us = self.untold_us if self.unbound else None
        if self.untold_us is not None and now - self.owed_us >= self.most_gap_us:
            a_bind = self.channel.message_overhead + sum(
                table.lines(set()) for table in self.tables
            )
            in_time = (self.IN_TIME * self.spare_us - (now - self.untold_us)) * self.lines_per_us
            if (
                host_table.first_weights_since_us
                or self.channel.unacknowledged + len(self.unbound) * a_bind > in_time
            ):
                self.due.update(
                    i
                    for i in host_table.index_of.values()
                    if host_table.state[i] is not HostState.READY
                )
                self.untold_us, self.owed_us = None, now

    def long_gone(self) -> list[int]:  # hosts of which nothing is kept from here
        host_table, late = self.host_table, self.scheduler.now - self.KEEP_US
        return [
            host
            for host, i in host_table.index_of.items()
            if host_table.state[i] is HostState.GONE
            and host_table.heard_at_us[i] < late
            and not self.tables_with(i)
        ]

    def lift(self) -> None:
        """Once no table names it; a cold host stays out while proxies on older tables may name it too."""
        for i in sorted(self.withdrawn):
            fits = len(self.unbound) * (self.channel.message_overhead + 1) <= self.room(
                self.allowance
            )
            back = self.host_table.state[i] is HostState.READY and not self.tables_with(i) and fits
            if back and (self.host_table.weight_cap[i] == NO_CAP or not self.unbound):
                self.withdrawn.discard(i)
                self.notified.pop(i, None)
                self.command(
                    commands.WithdrawHost(self.host_table.host_ids[i], False), self.unbound
                )

    def room(
        self, most_queued: float
    ) -> float:  # for what can wait: a drain's message must always fit
        most = max(
            self.bind_allowance,
            self.limit - len(self.zone_of_proxy) * (self.channel.message_overhead + 1),
        )
        return min(most_queued - self.channel.queued, most - self.channel.unacknowledged)

    def bind_waiting(self) -> None:
        """Each proxy once a stream, and never to tables without lines; fresh ones, and large ones, first."""
        for change in (
            () if self.bound or self.host_table.first_weights_since_us else list(self.changes())
        ):
            self.set_line(
                change, NO_CAP
            )  # nobody pays for them yet, and binds are to carry the newest
        filled = (
            any(t.published for t in self.tables) and not self.host_table.first_weights_since_us
        )
        most = (self.bind_allowance, self.allowance)[self.bare]  # proxies may be bare: slots wait
        out = (
            self.withdrawn,
            self.withdrawn | self.host_table.possibly_withdrawn,
        )  # lines more: for who is fresh, and is not
        for proxy in sorted(self.unbound, key=lambda p: (*self.unbound[p], p)) if filled else ():
            tables = [
                table for table in self.tables if table.serves_zone(self.zone_of_proxy[proxy])
            ]
            costs = [table.lines(out[proxy in self.returning]) for table in tables]
            needs = sum(costs) + self.channel.message_overhead
            # Guards against a table longer than binds may queue, which would never go; alone it does.
            if needs > self.room(max(most, min(needs, self.allowance))):
                break
            del self.unbound[proxy]
            self.bound.add(proxy)
            for table, lines in zip(tables, costs):
                products = tuple(table.products) if len(self.tables) > 1 else None
                self.command(commands.BindProxy(table.number, proxy, products), [proxy], lines)
