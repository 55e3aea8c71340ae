"""Publisher: decides what is written to the proxies and when, as the channel has capacity."""

from plankroute.events import commands, events
from plankroute.events.facts import StartFacts
from plankroute.policy import mass_disconnect
from plankroute.policy.acknowledgement_retries import AcknowledgementRetries
from plankroute.policy.admission import open_limits
from plankroute.policy.binding import Binder
from plankroute.policy.constants import TURN_US
from plankroute.policy.drains import MAX_LIST_DELAY_US, REMOVED_HOST_TTL_US, Drains
from plankroute.policy.first_weights import FirstWeights
from plankroute.policy.flow_control import POLL_INTERVAL_US, FlowControl, write_slot
from plankroute.policy.host_table import HostTable
from plankroute.policy.interim_binding import InterimBinder, LimitKey
from plankroute.policy.slot_changes import SlotChanges, TargetSlots
from plankroute.policy.slots import build_tables
from plankroute.policy.subsetting import SubsetPolicy
from plankroute.state.channel import Channel
from plankroute.state.earlier_withdrawals import EarlierWithdrawals
from plankroute.state.host_statistics import NO_CAP
from plankroute.state.proxy_registry import ProxyRegistry, RegistryEvent
from plankroute.state.published_table import Change
from plankroute.state.publishing_status import PublishingStatus
from plankroute.state.scheduler import Scheduler, Tick

# Share of removed hosts in a zone above which waiting proxies there may have no usable host: the
# table that a proxy starts with holds only a few hosts, drawn from its zone.
MAX_REMOVED_SHARE = 0.1


class Publisher(ProxyRegistry):
    """Maintains the proxies and their tables, and decides what is written when.

    Withdrawals are written first and at once, then urgent slots. Admission limits and the slots of
    the greatest benefit follow on turns for which the channel has capacity. Binds are written at
    the regular pace of the channel. Proxies whose acknowledgement was rejected are pinged last.

    Attributes:
        flow: Limits on queued lines.
        subsetting: Determines which part of the hosts the tables hold.
        drains: Pending withdrawals and withdrawn hosts.
        target: Target slots of the tables.
        last_message_us: When a message was last written.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        host_table: HostTable,
        first_weights: FirstWeights,
        facts: StartFacts,
    ) -> None:
        self.flow = FlowControl(facts)
        channel = Channel(
            facts.message_overhead_lines,
            self.flow.lines_per_us,
            facts.max_one_way_delay_us + POLL_INTERVAL_US,
        )
        # If request keys are divided into slices, no tables are written: the store of the slices
        # keeps the routes (`events.SliceRoute`).
        tables = [] if facts.slices else build_tables(facts)
        earlier_withdrawals = EarlierWithdrawals(REMOVED_HOST_TTL_US, MAX_LIST_DELAY_US)
        super().__init__(scheduler, tables, channel, earlier_withdrawals)
        self.host_table = host_table
        self.first_weights = first_weights
        self.subsetting = SubsetPolicy(facts, channel.message_overhead, self.flow.lines_per_us)
        self.drains = Drains(self, host_table, first_weights, self.flow, facts.message_window_us)
        self.target = TargetSlots(host_table, tables, self.drains, self.subsetting, self.flow)
        self.slot_changes = SlotChanges(host_table, tables, self.target, self.drains, self.flow)
        self.binder = Binder(self, host_table, first_weights, self.flow, self.subsetting)
        self.interim_binder = InterimBinder(
            self, tables, host_table, first_weights, self.drains, self.flow, facts
        )
        self.acknowledgement_retries = AcknowledgementRetries(self, self.flow)
        self.last_message_us = -facts.message_window_us
        self.pending_limits: dict[LimitKey, commands.SetAdmissionLimit] = {}
        self._proxies_may_lack_hosts = False
        for limit in open_limits(self.tables, facts.admission_unit):
            self.interim_binder.record_limit(limit)
            scheduler.out.append(limit)

    @property
    def withdrawn(self) -> set[int]:
        """Hosts that proxies were commanded to withdraw, by index."""
        return self.drains.withdrawn

    def status(self) -> PublishingStatus:
        """Returns what waits to be published and what occupies the channel."""
        now = self.scheduler.now
        waits_us = [now - waiting.since_us for waiting in self.unbound.values()]
        return PublishingStatus(
            bound_proxies=len(self.bound),
            interim_proxies=len(self.interim),
            waiting_proxies=len(waits_us),
            longest_wait_us=max(waits_us, default=0),
            overdue_proxies=sum(wait_us > self.flow.grace_slack_us for wait_us in waits_us),
            pending_withdrawals=len(self.drains.pending),
            pending_reinstatements=len(self.drains.pending_reinstatements()),
            queued_lines=round(self.channel.queued),
            unacknowledged_lines=self.channel.unacknowledged,
            written_lines=self.channel.written.copy(),
        )

    def expired_hosts(self) -> list[int]:
        """Returns the ids of removed hosts that do not have to be remembered any longer."""
        return self.drains.expired_hosts()

    def forget_host(self, index: int) -> None:
        """Discards the state of a host, whose index may be reused for another one."""
        self.drains.forget(index)
        self.earlier_withdrawals.forget_host(index)
        for proxy in self.notified.pop(index, ()):
            self.earlier_withdrawals.count_as_returning(proxy)

    def handle(self, event: RegistryEvent) -> None:
        """Handles events of proxies and hosts, and new admission limits; writes on a tick."""
        match event:
            case Tick():
                self.on_tick(is_turn=event is Tick.TURN)
            case events.Acknowledged():
                self.acknowledge(event.proxy, event.sequence_number)
            case events.AcknowledgementRejected():
                self.reject_acknowledgement(event.proxy)
            case events.HostEntry():
                self.drains.on_entry(event)
            case events.ProxyJoined():
                self.on_proxy_joined(event)
            case events.ProxyLeft():
                self.leave(event.proxy)
                mass_disconnect.on_disconnect(self, self.host_table, event.proxy)
            case commands.SetAdmissionLimit():
                # A newer limit replaces one that is not written yet.
                self.pending_limits[event.table, event.request_classes] = event

    def on_proxy_joined(self, event: events.ProxyJoined) -> None:
        """Adds a proxy; the first one determines what the first weights are derived from."""
        self.leave(event.proxy)
        self.join(event)
        self.drains.on_proxy_joined()
        if not self.first_weights.is_before_first_proxy:
            return
        ready_count = len(self.host_table.ready())
        share = self.subsetting.share(ready_count, self.flow.grace_slack_us)
        slack_us = self.flow.grace_slack_us - self.subsetting.bind_us(share, ready_count)
        now = self.scheduler.now
        has_old_tables = not event.fresh
        if self.first_weights.begin(self.host_table, now, has_old_tables, slack_us):
            self.scheduler.out += self.host_table.health_checks(self.host_table.eligible())

    def on_tick(self, is_turn: bool) -> None:
        """Updates the channel, interim binding and drains, then writes and binds what is due."""
        self.channel.advance(self.scheduler.now)
        self._proxies_may_lack_hosts = any(
            self.host_table.removed_share(zone) > MAX_REMOVED_SHARE for zone in self.unbound_zones()
        )
        self.interim_binder.update()
        self.drains.uses_interim_tables = self.interim_binder.is_active
        self.drains.reinstate()
        self.drains.sweep()
        if self.interim_binder.is_active:
            self.interim_binder.bind_waiting()
        self.write(is_turn)
        if not self.bound and not self.first_weights.is_waiting:
            self._fill_unused_tables()
        if not self.interim_binder.is_active:
            self.binder.bind_waiting(self.withdrawn, self._proxies_may_lack_hosts)

    def write(self, is_turn: bool) -> None:
        """Writes urgent changes as soon as possible, and deferrable ones with them or on turns."""
        now = self.scheduler.now
        overhead_lines = len(self.zone_of_proxy) * self.channel.message_overhead
        self._record_channel_state(overhead_lines)
        since_us = now - self.last_message_us
        budget: float = self.flow.backlog_cap - self.channel.unacknowledged - overhead_lines
        must_write_now = self.drains.must_write_now(budget)
        changes = self.slot_changes.list_changes(now)
        changes.sort(key=lambda change: (-change.gain, change.index))
        urgent = [change for change in changes if change.urgent]
        urgent += self.interim_binder.tables.urgent_changes()
        # A busy channel batches changes, so that more lines share the overhead of a message.
        is_batching = self.flow.is_busy(self) and since_us < self._batch_delay_us(urgent)
        if since_us < self.flow.min_message_interval_us or (is_batching and not must_write_now):
            return
        budget = self.drains.write(budget)
        for change in urgent:
            budget -= write_slot(self, self.host_table, change, budget)
        if is_turn:
            self.interim_binder.write_batch()
        may_write_deferrable = is_turn and since_us >= 2 * self.flow.min_message_interval_us
        if self.channel.batch or (may_write_deferrable and not self._proxies_may_lack_hosts):
            deferrable_budget = (
                self.flow.available_lines(self, self.flow.allowance) - overhead_lines
            )
            deferrable = [change for change in changes if not change.urgent]
            self._write_deferrable(deferrable, min(budget, deferrable_budget))
        self.acknowledgement_retries.write()
        if self.channel.batch:
            self.last_message_us = now

    def _record_channel_state(self, overhead_lines: int) -> None:
        """Records how scarce lines are: weights stay closer to their slots if lines are scarce."""
        all_lines = sum(len(self.users(table)) * len(table.published) for table in self.tables)
        self.host_table.proxies = len(self.zone_of_proxy) - len(self.interim)
        self.host_table.interim_routes = sum(
            len(table.users) * len(table.published) for table in self.interim_tables
        )
        self.host_table.channel_constrained = all_lines + overhead_lines > self.flow.allowance
        self.host_table.min_slot_change = 0.0

    def _batch_delay_us(self, urgent: list[Change]) -> float:
        """Returns how long a busy channel batches changes: at most a turn for an ejected host."""
        if any(self.host_table.ejected[change.index] for change in urgent):
            return min(self.flow.max_batch_delay_us, TURN_US)
        return self.flow.max_batch_delay_us

    def _write_deferrable(self, changes: list[Change], budget: float) -> None:
        """Writes admission limits, and the slots of greatest benefit if worth a message."""
        price = self.flow.line_price
        overhead = 0 if self.channel.batch else self.channel.message_overhead
        worthwhile = [
            change for change in changes if change.gain > price or change.index in self.withdrawn
        ]
        lines = len(worthwhile) + len(self.pending_limits)
        if budget < len(self.bound) * min(overhead, lines):
            return  # a later message carries more lines for the same overhead
        budget = self._write_limits(budget)
        benefit = sum(change.gain - price for change in worthwhile)
        if benefit > price * overhead or self.channel.batch:
            for change in worthwhile:
                budget -= write_slot(self, self.host_table, change, budget)

    def _write_limits(self, budget: float) -> float:
        """Writes the admission limits that fit; returns the remaining budget."""
        for key, limit in list(self.pending_limits.items()):
            assert limit.table is not None  # admission control sets limits table by table
            written = {limit: self.users(self.tables[limit.table])}
            for table, interim_limit in self.interim_binder.interim_limits(limit):
                written[interim_limit] = self.users(table)
            lines = sum(map(len, written.values()))
            if budget < lines:
                continue
            budget -= lines
            self.interim_binder.record_limit(self.pending_limits.pop(key))
            for command, recipients in written.items():
                self.command(command, recipients)
        return budget

    def _fill_unused_tables(self) -> None:
        """Sets all slots while no proxy is bound: this costs no lines, and binds include them."""
        for change in self.slot_changes.list_changes(self.scheduler.now):
            write_slot(self, self.host_table, change, NO_CAP)
