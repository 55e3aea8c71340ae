"""The entry point of membership: takes events and the time, returns commands.

The program is notified of status changes by commands of this core. No rule of the controller may
depend on these notifications.
"""

from collections.abc import Callable

from plankroute.membership.anti_entropy import AntiEntropy
from plankroute.membership.departure import Departure
from plankroute.membership.detector import FailureDetector
from plankroute.membership.dissemination import Dissemination
from plankroute.membership.facts import MemberFacts
from plankroute.membership.local_health import LocalHealth, PauseAwareClock
from plankroute.membership.member_table import MemberTable
from plankroute.membership.messages import (
    Ack,
    Command,
    Event,
    Gossip,
    IndirectAck,
    IndirectPingRequest,
    LeaveRequested,
    Message,
    MessageReceived,
    Metric,
    Ping,
    SeedsChanged,
    StatusChange,
    TickDue,
    ViewExchange,
    ViewRequest,
    WakeAt,
)
from plankroute.membership.outbox import Outbox
from plankroute.membership.ping_handler import PingHandler
from plankroute.membership.reconnect import Reconnector
from plankroute.membership.record_handler import RecordHandler
from plankroute.membership.records import MemberRecord
from plankroute.membership.sampling import MemberSampler
from plankroute.membership.status import StatusTracker
from plankroute.membership.view_report import view_response
from plankroute.seeded_random import SeededRandom

# Resolution of all timeouts. Ten wake-ups per second cost almost no CPU time.
TICK_US = 100_000
# Time without a message from any member after which this one counts as isolated; about two probe
# timeouts.
ISOLATED_AFTER_US = 5_000_000
# Between removals of members that failed or left longer ago than the retention time.
CLEAN_UP_INTERVAL_US = 10_000_000


class Membership:
    """The failure detection of one member of the group."""

    def __init__(
        self,
        facts: MemberFacts,
        seed: int,
        instance_id: int,
        wall_us: int,
        record_size: Callable[[MemberRecord], int],
    ) -> None:
        """Create a member that has not started; the first call of `deliver` starts it.

        Args:
            facts: The member's settings.
            seed: Seed of all its random draws.
            instance_id: Drawn at random at each start of a process.
            wall_us: Unix time in microseconds, the first incarnation. A new instance therefore
                usually overrules an old one at once; correctness does not depend on it.
            record_size: Returns the encoded size of a record in bytes.
        """
        self.facts = facts
        self.record_size = record_size
        self.random = SeededRandom(seed)
        own = MemberRecord(facts.name, facts.address, facts.zone, instance_id, max(1, wall_us))
        self.table = MemberTable(own)
        self.outbox = Outbox()
        self.clock = PauseAwareClock()
        self.health = LocalHealth()
        self.status = StatusTracker(self.table, self.health, facts.probe_timeout_us)
        self.detector = FailureDetector(
            facts.probe_interval_us, facts.probe_timeout_us, self.random
        )
        sampler = MemberSampler(self.table, self.random)
        self.dissemination = Dissemination(self.table, sampler, record_size, self.outbox)
        self.anti_entropy = AntiEntropy(self.table, record_size, self.outbox)
        self.departure = Departure(self.table, self.dissemination, self.outbox)
        self.ping_handler = PingHandler(
            self.table,
            self.health,
            self.detector,
            sampler,
            self.dissemination,
            self.anti_entropy,
            self.outbox,
        )
        self.record_handler = RecordHandler(
            self.table,
            self.health,
            self.status,
            self.detector,
            self.dissemination,
            self.departure,
            self.outbox,
        )
        self.reconnector = Reconnector(facts, self.table, self.ping_handler, self.random)
        self.is_started = False
        self.is_isolated = False
        self.next_tick_us = 0
        self.next_clean_up_us = 0

    def deliver(self, now_us: int, events: list[Event]) -> list[Command]:
        """Handle the events, then do the periodic work that is due.

        Args:
            now_us: Monotonic time in microseconds.
            events: What has happened since the last call, in order.

        Returns:
            Commands to carry out. The last one is a `WakeAt`: the time of the next call if no event
            occurs before it.
        """
        clock_us = self.clock.read(now_us)
        if not self.is_started:
            self.start(now_us, clock_us)
        for event in events:
            self.handle(event, clock_us)
        if now_us >= self.next_tick_us:
            self.next_tick_us = now_us + TICK_US
            self.on_tick(clock_us)
        if not self.departure.has_lost_name:
            self.dissemination.broadcast_changes(clock_us)
        self.clock.due_us = self.next_tick_us
        return [*self.outbox.drain(), *self.status.drain(), WakeAt(self.next_tick_us)]

    def start(self, now_us: int, clock_us: int) -> None:
        """Set all timers. A random delay of the first tick spreads the ticks of the members."""
        self.is_started = True
        self.record_handler.start(clock_us)
        self.reconnector.next_ping_us = clock_us
        self.next_clean_up_us = clock_us + CLEAN_UP_INTERVAL_US
        self.next_tick_us = now_us + int(TICK_US * self.random.draw())

    def handle(self, event: Event, now_us: int) -> None:
        """Handle one event."""
        match event:
            case MessageReceived():
                self.on_message(event.source, event.message, now_us)
            case SeedsChanged(seeds):
                self.facts = self.facts.with_seeds(seeds)
                self.reconnector.change_seeds(seeds, now_us)
            case LeaveRequested() if not self.departure.is_leaving():
                self.on_leave_requested()
            case TickDue():
                pass

    def on_message(self, source: str, message: Message, now_us: int) -> None:
        """Answer an operator's request; drop all other messages after the name is lost."""
        if isinstance(message, ViewRequest):
            response = view_response(self.table, message.first_line, now_us, self.record_size)
            self.outbox.send(source, response)
        elif self.departure.has_lost_name:
            self.outbox.count(Metric.DROPPED_NAME_LOST)
        else:
            self.on_member_message(source, message, now_us)

    def on_member_message(self, source: str, message: Message, now_us: int) -> None:
        """Merge the records of a message, then answer it."""
        match message:
            case Ping():
                self.record_handler.handle_message_records(message.sender, message.gossip, now_us)
                self.ping_handler.on_ping(source, message, now_us)
            case Ack():
                self.record_handler.handle_message_records(message.sender, message.gossip, now_us)
                self.ping_handler.on_ack(source, message)
            case IndirectPingRequest():
                self.record_handler.handle_message_records(message.sender, message.gossip, now_us)
                self.ping_handler.on_indirect_ping_request(source, message)
            case IndirectAck():
                self.record_handler.handle_records((message.target, *message.gossip), now_us)
                self.ping_handler.on_indirect_ack(message)
            case Gossip():
                self.record_handler.handle_records(message.records, now_us)
            case ViewExchange():
                self.record_handler.handle_records(message.records, now_us, is_disseminated=False)
                self.anti_entropy.on_wanted_buckets(source, message.wanted_buckets, now_us)

    def on_leave_requested(self) -> None:
        """Start to leave the group; unless the name is lost, the next tick is due at once."""
        is_in_group = not self.departure.has_lost_name
        self.departure.leave()
        if is_in_group:
            self.next_tick_us = 0

    def on_tick(self, now_us: int) -> None:
        """Announce the departure if there is one; otherwise probe, reconnect and clean up."""
        if self.departure.is_leaving():
            self.departure.on_leave_tick()
        elif self.departure.has_lost_name:
            self.departure.on_yield_tick()
        else:
            self.probe_members(now_us)
            self.reconnector.on_tick(now_us)
            self.clean_up(now_us)
            self.check_isolation(now_us)

    def probe_members(self, now_us: int) -> None:
        """Suspect members whose probe timed out, evaluate suspicions, and send due pings."""
        confirmed = self.status.confirmed_suspicions()
        multiplier = self.health.timeout_multiplier(confirmed, now_us)
        due = self.detector.due_probes(now_us, self.table.living, multiplier)
        for index in due.timed_out:
            self.record_handler.suspect(index, now_us)
        for index in self.status.on_tick(now_us):
            self.dissemination.announce(self.table.record_at(index).name)
        for task in due.pings:
            if self.table.records[task.index]:
                self.ping_handler.carry_out(task)

    def clean_up(self, now_us: int) -> None:
        """Remove members that failed or left longer ago than the retention time."""
        if now_us < self.next_clean_up_us:
            return
        self.next_clean_up_us = now_us + CLEAN_UP_INTERVAL_US
        for index in self.table.failed_or_left_before(now_us - self.facts.retention_us):
            self.table.remove(index)

    def check_isolation(self, now_us: int) -> None:
        """Notify the program when this member becomes isolated, and when it is reconnected."""
        is_isolated = now_us - self.record_handler.last_heard_us > ISOLATED_AFTER_US
        if is_isolated is self.is_isolated:
            return
        self.is_isolated = is_isolated
        change = StatusChange.ISOLATED if is_isolated else StatusChange.RECONNECTED
        self.outbox.notify(change, self.table.own_record())
