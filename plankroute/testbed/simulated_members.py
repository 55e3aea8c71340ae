"""Members in simulated time under a fault script: the cores that run in processes, by the thousand.

One seed replays a whole run. Simulates datagrams and pauses; there are no proxies or hosts.
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
from plankroute.testbed.history import Done, Entry, History

ONE_WAY_US = 300  # between members where no rule says otherwise
START_US = 100 * SECOND  # the monotonic clock at the start
WALL_US = 1_800_000_000 * SECOND  # the wall clock at the start
PATIENCE_US = 2_600_000  # of a member; the default of the feature file
PROBE_INTERVAL_US = 200_000  # of a member; the default of the feature file
FORGET_US = 3_600 * SECOND  # the default of the feature file
GROUP_NAME = "lab"
CODEC = Codec(GROUP_NAME)


class Core(Protocol):
    """A core of failure detection: `Membership`, or one of the baselines."""

    def deliver(self, now_us: int, events: list[Event]) -> list[Command]:
        """Takes events in at that time; returns what is to be done."""
        ...


class Maker(Protocol):
    """Makes the core of a member's next process."""

    def __call__(self, member: int, life: int, seed: int, seeds: tuple[str, ...], /) -> Core:
        """A core.

        Args:
            member: The member's place.
            life: Which of its processes it is, from 1.
            seed: The seed of the run.
            seeds: Addresses of the members that it asks at its start.
        """
        ...


def address_of(member: int) -> str:
    """The address of a member."""
    return f"127.{1 + member // 65536}.{member // 256 % 256}.{member % 256}:7946"


def name_of(member: int) -> str:
    """The name of a member."""
    return f"n{member:04d}"


def place_of(name: str) -> int:
    """The member of that name."""
    return int(name[1:])


def zone_of(member: int) -> str:
    """The zone of a member."""
    return f"z{member % 3}"


def records_of(members: int) -> list[MemberRecord]:
    """The records of all members, as they are before the first process of any."""
    return [
        MemberRecord(name_of(member), address_of(member), zone_of(member), 1, WALL_US)
        for member in range(members)
    ]


def plankroute_member(member: int, life: int, seed: int, seeds: tuple[str, ...]) -> Membership:
    """The core that controllers run; see `Maker`."""
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
        seed * 100_003 + member * 31 + life,
        instance_of(member, life),
        WALL_US + life,
        CODEC.record_size,
    )


def instance_of(member: int, life: int) -> int:
    """The instance id of a member's process."""
    return (member << 16) + life


class Group:
    """Cores under a script.

    Attributes:
        cores: By member, its core; None: no process runs.
        history: What was reported and done.
        now: Microseconds of simulated time since the start.
        bytes: Bytes of all datagrams that were sent.
        datagrams: Their number.
        busy_s: CPU seconds that the cores took.
        counts: What the cores counted.
    """

    def __init__(
        self,
        members: int,
        script: Script,
        make: Maker = plankroute_member,
        seed: int = 1,
        start_s: float = 1.0,
        seeds: int = 3,
        known: bool = False,
    ) -> None:
        """Schedules the starts and the script's steps.

        Args:
            members: How many members.
            script: What befalls them.
            make: Makes their cores.
            seed: Seed of the run.
            start_s: All start within so many seconds.
            seeds: How many of the first members are asked by those that start.
            known: Whether each starts with all others in its table, as a group that has long
                come together.
        """
        self.script = script
        self.make = make
        self.seed = seed
        self.known = known
        self.seeds = tuple(address_of(member) for member in range(min(seeds, members)))
        self.history = History(members)
        self.cores: list[Core | None] = [None] * members
        self.lives = [0] * members
        self.paused = [False] * members
        self.received_in_pause: list[list[MessageReceived]] = [[] for _ in range(members)]
        self.tick_due_us = [0] * members
        self.member_by_address = {address_of(member): member for member in range(members)}
        self.sent: Counter[tuple[int, int]] = Counter()
        self.bytes = 0
        self.datagrams = 0
        self.busy_s = 0.0
        self.counts: Counter[str] = Counter()
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.scheduled = 0
        self.now = 0
        for member in range(members):
            due_us = int(member / members * start_s * SECOND)
            self.schedule(due_us, partial(self.start, member))
        for step in script.steps:
            self.schedule(int(step.at_s * SECOND), partial(self.do, step))

    def schedule(self, due_us: int, action: Callable[[], None]) -> None:
        """Schedules an action; those of one time run in the order in which they were scheduled."""
        self.scheduled += 1
        heapq.heappush(self.queue, (due_us, self.scheduled, action))

    def run(self, seconds: float) -> Self:
        """Runs on for so many seconds of simulated time."""
        end_us = self.now + int(seconds * SECOND)
        queue = self.queue
        while queue and queue[0][0] <= end_us:
            self.now, _, action = heapq.heappop(queue)
            action()
        self.now = end_us
        self.history.ends_us = end_us
        return self

    # Processes

    def start(self, member: int) -> None:
        """Starts a member's next process."""
        self.lives[member] += 1
        self.cores[member] = self.make(member, self.lives[member], self.seed, self.seeds)
        self.received_in_pause[member] = []
        self.paused[member] = False
        self.tick_due_us[member] = 0
        is_first = self.lives[member] == 1
        if self.known and is_first:
            view = ViewExchange(self.all_others(member))
            self.deliver(member, MessageReceived(address_of(member), view))
        self.deliver(member, TickDue())

    def all_others(self, member: int) -> tuple[MemberRecord, ...]:
        """The records of all other members' first processes."""
        return tuple(
            MemberRecord(
                name_of(other),
                address_of(other),
                zone_of(other),
                instance_of(other, 1),
                WALL_US + 1,
            )
            for other in range(len(self.cores))
            if other != member
        )

    def do(self, step: Step) -> None:
        """Does a step of the script."""
        member = step.member
        self.history.done.append(Done(self.now, step.act.value, member))
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
        """Ends a pause; what is due comes before what has arrived meanwhile, the harder order."""
        self.paused[member] = False
        received = self.received_in_pause[member]
        self.received_in_pause[member] = []
        if self.cores[member] and self.tick_due_us[member] <= self.now:
            self.deliver(member, TickDue())
        for event in received:
            self.deliver(member, event)

    # Events and commands of a core

    def tick(self, member: int, due_us: int) -> None:
        """Delivers a tick, unless another one has been asked for since."""
        is_current = self.tick_due_us[member] == due_us
        if is_current and self.cores[member] and not self.paused[member]:
            self.deliver(member, TickDue())

    def arrive(self, member: int, event: MessageReceived) -> None:
        """Delivers a datagram; to a paused member after the pause."""
        if self.cores[member] is None:
            return
        if self.paused[member]:
            self.received_in_pause[member].append(event)
        else:
            self.deliver(member, event)

    def deliver(self, member: int, event: Event) -> None:
        """Delivers an event to a member's core, and carries out its commands."""
        core = self.cores[member]
        if core is None:
            return
        began_s = time.perf_counter()
        commands = core.deliver(START_US + self.now, [event])
        self.busy_s += time.perf_counter() - began_s
        for command in commands:
            self.carry_out(member, command)

    def carry_out(self, member: int, command: Command) -> None:
        """Carries out a command of a member's core."""
        match command:
            case SendMessage(address, message):
                self.send(member, address, message)
            case WakeAt(until_us):
                self.wake_at(member, until_us - START_US)
            case NotifyStatus(change, record):
                entry = Entry(
                    self.now,
                    member,
                    place_of(record.name),
                    change.value,
                    record.instance_id,
                    record.incarnation,
                )
                self.history.entries.append(entry)
            case CountMetric(metric, amount):
                self.counts[metric.value] += amount
            case LeaveCompleted():
                self.cores[member] = None

    def wake_at(self, member: int, due_us: int) -> None:
        """Schedules a member's next tick in place of the one before."""
        if due_us == self.tick_due_us[member]:
            return
        self.tick_due_us[member] = due_us
        self.schedule(max(self.now, due_us), partial(self.tick, member, due_us))

    def send(self, member: int, address: str, message: Message) -> None:
        """Sends a datagram; the script has its fate."""
        self.datagrams += 1
        self.bytes += HEADER.size + len(CODEC.encoder.encode(message))
        receiver = self.member_by_address.get(address)
        if receiver is None:
            return
        self.sent[member, receiver] += 1
        number = self.sent[member, receiver]
        event = MessageReceived(address_of(member), message)
        for delay_us in self.script.delivery_delays_us(self.now, member, receiver, number):
            due_us = self.now + ONE_WAY_US + delay_us
            self.schedule(due_us, partial(self.arrive, receiver, event))
