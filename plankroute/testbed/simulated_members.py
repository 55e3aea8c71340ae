"""Simulated groups of members, up to thousands, that run the controllers' cores in simulated time.

A script injects faults into datagrams and processes. One seed reproduces a whole run. There are no
proxies or hosts.
"""

import heapq
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Protocol, Self

from plankroute.membership.codec import HEADER, Codec
from plankroute.membership.core import Membership
from plankroute.membership.facts import MemberFacts
from plankroute.membership.messages import (
    Command,
    CountMetric,
    Event,
    LeaveCompleted,
    LeaveRequested,
    Message,
    MessageReceived,
    NotifyStatus,
    SendMessage,
    TickDue,
    ViewExchange,
    WakeAt,
)
from plankroute.membership.records import MemberRecord
from plankroute.testbed.faults import SECOND, Act, Script, Step
from plankroute.testbed.history import ExecutedStep, History, StatusReport

ONE_WAY_US = 300  # delay of a datagram, to which the script's rules add
START_MONOTONIC_US = 100 * SECOND  # the monotonic clock at the start
START_WALL_CLOCK_US = 1_800_000_000 * SECOND  # the wall clock at the start
PATIENCE_US = 2_600_000  # default of the feature file
PROBE_INTERVAL_US = 200_000  # default of the feature file
FORGET_US = 3_600 * SECOND  # default of the feature file
GROUP_NAME = "lab"
CODEC = Codec(GROUP_NAME)


class Core(Protocol):
    """A core of failure detection: `Membership` or one of the baselines."""

    def deliver(self, now_us: int, events: list[Event]) -> list[Command]:
        """Handles events at that time; returns the resulting commands."""
        ...


class CoreMaker(Protocol):
    """Makes the core of a member's next process."""

    def __call__(
        self, member: int, process_number: int, seed: int, seeds: tuple[str, ...], /
    ) -> Core:
        """Returns a new core.

        Args:
            member: The member's index.
            process_number: Number of this process among the member's processes, from 1.
            seed: The seed of the run.
            seeds: Addresses of the members that it contacts at its start.
        """
        ...


def address_of(member: int) -> str:
    """Returns the address of a member."""
    return f"127.{1 + member // 65536}.{member // 256 % 256}.{member % 256}:7946"


def name_of(member: int) -> str:
    """Returns the name of a member."""
    return f"n{member:04d}"


def member_of(name: str) -> int:
    """Returns the index of the member with that name."""
    return int(name[1:])


def zone_of(member: int) -> str:
    """Returns the zone of a member."""
    return f"z{member % 3}"


def records_of(members: int) -> list[MemberRecord]:
    """Returns the records of all members before any of them has started a process."""
    return [
        MemberRecord(name_of(member), address_of(member), zone_of(member), 1, START_WALL_CLOCK_US)
        for member in range(members)
    ]


def plankroute_member(
    member: int, process_number: int, seed: int, seeds: tuple[str, ...]
) -> Membership:
    """Makes the core that controllers run; the arguments are those of `CoreMaker`."""
    facts = MemberFacts(
        name_of(member),
        address_of(member),
        zone_of(member),
        GROUP_NAME,
        seeds,
        PATIENCE_US,
        PROBE_INTERVAL_US,
        FORGET_US,
    )
    return Membership(
        facts,
        seed * 100_003 + member * 31 + process_number,
        instance_of(member, process_number),
        START_WALL_CLOCK_US + process_number,
        CODEC.record_size,
    )


def instance_of(member: int, process_number: int) -> int:
    """Returns the instance id of a member's process."""
    return (member << 16) + process_number


class Group:
    """A simulated group whose cores run under a script.

    Attributes:
        cores: Core of each member, by index; None if the member has no process.
        history: Status reports and executed steps.
        now_us: Microseconds of simulated time since the start.
        sent_bytes: Bytes of all datagrams that were sent.
        sent_datagrams: Number of datagrams that were sent.
        busy_s: Real time spent in the cores, in seconds.
        metrics: Sums of the metrics that the cores counted.
    """

    def __init__(
        self,
        members: int,
        script: Script,
        make: CoreMaker = plankroute_member,
        seed: int = 1,
        start_s: float = 1.0,
        seeds: int = 3,
        has_full_tables: bool = False,
    ) -> None:
        """Schedules the starts of all members and the script's steps.

        Args:
            members: Number of members.
            script: The faults.
            make: Makes the members' cores.
            seed: Seed of the run.
            start_s: Seconds over which the starts are spread.
            seeds: Number of members, counted from the first, that starting members contact.
            has_full_tables: Whether each member's first process starts with all others in its
                table, as in a group that formed long ago.
        """
        self.script = script
        self.make = make
        self.seed = seed
        self.has_full_tables = has_full_tables
        self.seeds = tuple(address_of(member) for member in range(min(seeds, members)))
        self.history = History(members)
        self.cores: list[Core | None] = [None] * members
        self.process_counts = [0] * members
        self.paused = [False] * members
        self.received_in_pause: list[list[MessageReceived]] = [[] for _ in range(members)]
        self.tick_due_us = [0] * members
        self.member_by_address = {address_of(member): member for member in range(members)}
        self.sent_by_pair: Counter[tuple[int, int]] = Counter()
        self.sent_bytes = 0
        self.sent_datagrams = 0
        self.busy_s = 0.0
        self.metrics: Counter[str] = Counter()
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.scheduled_actions = 0
        self.now_us = 0
        for member in range(members):
            due_us = int(member / members * start_s * SECOND)
            self.schedule(due_us, partial(self.start, member))
        for step in script.steps:
            self.schedule(int(step.at_s * SECOND), partial(self.execute_step, step))

    def schedule(self, due_us: int, action: Callable[[], None]) -> None:
        """Schedules an action; actions due at the same time run in the order of scheduling."""
        self.scheduled_actions += 1
        heapq.heappush(self.queue, (due_us, self.scheduled_actions, action))

    def run(self, seconds: float) -> Self:
        """Continues the run for that much simulated time; returns the group."""
        end_us = self.now_us + int(seconds * SECOND)
        queue = self.queue
        while queue and queue[0][0] <= end_us:
            self.now_us, _, action = heapq.heappop(queue)
            action()
        self.now_us = end_us
        self.history.ends_us = end_us
        return self

    # Processes

    def start(self, member: int) -> None:
        """Starts a member's next process."""
        self.process_counts[member] += 1
        self.cores[member] = self.make(member, self.process_counts[member], self.seed, self.seeds)
        self.received_in_pause[member] = []
        self.paused[member] = False
        self.tick_due_us[member] = 0
        is_first = self.process_counts[member] == 1
        if self.has_full_tables and is_first:
            view = ViewExchange(self.records_of_others(member))
            self.deliver(member, MessageReceived(address_of(member), view))
        self.deliver(member, TickDue())

    def records_of_others(self, member: int) -> tuple[MemberRecord, ...]:
        """Returns the records of all other members' first processes."""
        return tuple(
            MemberRecord(
                name_of(other),
                address_of(other),
                zone_of(other),
                instance_of(other, 1),
                START_WALL_CLOCK_US + 1,
            )
            for other in range(len(self.cores))
            if other != member
        )

    def execute_step(self, step: Step) -> None:
        """Executes a step of the script, and adds it to the history."""
        member = step.member
        self.history.executed_steps.append(ExecutedStep(self.now_us, step.act.value, member))
        match step.act:
            case Act.KILL:
                self.cores[member] = None
            case Act.START:
                self.start(member)
            case Act.PAUSE:
                self.paused[member] = True
            case Act.RESUME if self.paused[member]:
                self.resume(member)
            case Act.LEAVE:
                self.deliver(member, LeaveRequested())

    def resume(self, member: int) -> None:
        """Ends a pause, and delivers what became due during it.

        An overdue tick is delivered before the datagrams that arrived during the pause. This is the
        harder order: the core checks its timeouts before it sees the answers.
        """
        self.paused[member] = False
        received = self.received_in_pause[member]
        self.received_in_pause[member] = []
        if self.cores[member] and self.tick_due_us[member] <= self.now_us:
            self.deliver(member, TickDue())
        for event in received:
            self.deliver(member, event)

    # Events and commands of a core

    def tick(self, member: int, due_us: int) -> None:
        """Delivers a tick, unless the core has asked for another time since, or is paused."""
        is_current = self.tick_due_us[member] == due_us
        if is_current and self.cores[member] and not self.paused[member]:
            self.deliver(member, TickDue())

    def arrive(self, member: int, event: MessageReceived) -> None:
        """Delivers a datagram; for a paused member it is kept until the pause ends."""
        if self.cores[member] is None:
            return
        if self.paused[member]:
            self.received_in_pause[member].append(event)
        else:
            self.deliver(member, event)

    def deliver(self, member: int, event: Event) -> None:
        """Delivers an event to a member's core, if it has one, and carries out its commands."""
        core = self.cores[member]
        if core is None:
            return
        began_s = time.perf_counter()
        commands = core.deliver(START_MONOTONIC_US + self.now_us, [event])
        self.busy_s += time.perf_counter() - began_s
        for command in commands:
            self.carry_out(member, command)

    def carry_out(self, member: int, command: Command) -> None:
        """Carries out a command of a member's core."""
        match command:
            case SendMessage(address, message):
                self.send(member, address, message)
            case WakeAt(until_us):
                self.wake_at(member, until_us - START_MONOTONIC_US)
            case NotifyStatus(change, record):
                report = StatusReport(
                    self.now_us,
                    member,
                    member_of(record.name),
                    change.value,
                    record.instance_id,
                    record.incarnation,
                )
                self.history.reports.append(report)
            case CountMetric(metric, amount):
                self.metrics[metric.value] += amount
            case LeaveCompleted():
                self.cores[member] = None

    def wake_at(self, member: int, due_us: int) -> None:
        """Schedules a member's next tick, which replaces the one scheduled before."""
        if due_us == self.tick_due_us[member]:
            return
        self.tick_due_us[member] = due_us
        self.schedule(max(self.now_us, due_us), partial(self.tick, member, due_us))

    def send(self, member: int, address: str, message: Message) -> None:
        """Sends a datagram; the script decides whether, when and how often it arrives."""
        self.sent_datagrams += 1
        self.sent_bytes += HEADER.size + len(CODEC.encoder.encode(message))
        receiver = self.member_by_address.get(address)
        if receiver is None:
            return
        self.sent_by_pair[member, receiver] += 1
        number = self.sent_by_pair[member, receiver]
        event = MessageReceived(address_of(member), message)
        for delay_us in self.script.delivery_delays_us(self.now_us, member, receiver, number):
            due_us = self.now_us + ONE_WAY_US + delay_us
            self.schedule(due_us, partial(self.arrive, receiver, event))
