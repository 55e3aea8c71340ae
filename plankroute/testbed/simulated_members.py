"""Members in simulated time under a fault script: the same cores that run in processes, by the thousand.

One seed replays the whole run. It simulates datagrams and pauses, and no proxies or hosts."""

import heapq
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from plankroute.membership.codec import HEADER, Codec
from plankroute.membership.core import Membership
from plankroute.membership.facts import MemberFacts
from plankroute.membership.messages import (
    CountMetric,
    LeaveCompleted,
    LeaveRequested,
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

WAY_US = 300  # one way between members where no rule says otherwise
FIRST_US = 100 * SECOND  # the clock at the start
WALL_US = 1_800_000_000 * SECOND
USUAL_PATIENCE_US, USUAL_PROBE_US = 2_600_000, 200_000
FORGET_US = 3_600 * SECOND


class Core(Protocol):
    def deliver(self, now_us: int, events: list[Any]) -> list[Any]: ...


def address_of(member: int) -> str:
    return f"127.{1 + member // 65536}.{member // 256 % 256}.{member % 256}:7946"


def name_of(member: int) -> str:
    return f"n{member:04d}"


def place_of(name: str) -> int:
    return int(name[1:])


CODEC = Codec("lab")


def plankroute_member(member: int, life: int, seed: int, seeds: tuple[str, ...]) -> Membership:
    """The chosen way."""
    facts = MemberFacts(
        name_of(member),
        address_of(member),
        f"z{member % 3}",
        "lab",
        seeds,
        USUAL_PATIENCE_US,
        USUAL_PROBE_US,
        FORGET_US,
    )
    return Membership(
        facts,
        seed * 100_003 + member * 31 + life,
        (member << 16) + life,
        WALL_US + life,
        CODEC.record_size,
    )


Maker = Callable[[int, int, int, tuple[str, ...]], Core]


class Group:
    """`members` cores under a script; `seeds`: the first members' addresses. All start within `start_s`;
    `known`: each with all others in its view, as a group that has long come together."""

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
        self.script, self.make, self.seed = script, make, seed
        self.seeds = tuple(address_of(member) for member in range(min(seeds, members)))
        self.history = History(members)
        self.cores: list[Core | None] = [None] * members
        self.lives = [0] * members
        self.paused = [False] * members
        self.waiting: list[list[MessageReceived]] = [[] for _ in range(members)]
        self.beat_us = [0] * members
        self.places = {address_of(member): member for member in range(members)}
        self.sent: Counter[tuple[int, int]] = Counter()
        self.bytes, self.datagrams, self.busy_s = 0, 0, 0.0
        self.counts: Counter[str] = Counter()
        self.known = known
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.number, self.now = 0, 0
        for member in range(members):
            self.at(int(member / members * start_s * SECOND), self.start, member)
        for step in script.steps:
            self.at(int(step.at_s * SECOND), self.do, step)

    def at(self, due_us: int, what: Callable[..., None], *args: Any) -> None:
        self.number += 1
        heapq.heappush(self.heap, (due_us, self.number, what, args))

    def run(self, seconds: float) -> "Group":
        """On from where it stands."""
        end = self.now + int(seconds * SECOND)
        heap = self.heap
        while heap and heap[0][0] <= end:
            self.now, _, what, args = heapq.heappop(heap)
            what(*args)
        self.now = self.history.ends_us = end
        return self

    def start(self, member: int) -> None:
        self.lives[member] += 1
        self.cores[member] = self.make(member, self.lives[member], self.seed, self.seeds)
        self.waiting[member], self.paused[member], self.beat_us[member] = [], False, 0
        if self.known and self.lives[member] == 1:
            everybody = tuple(
                MemberRecord(
                    name_of(other),
                    address_of(other),
                    f"z{other % 3}",
                    (other << 16) + 1,
                    WALL_US + 1,
                )
                for other in range(len(self.cores))
                if other != member
            )
            self.deliver(member, MessageReceived(address_of(member), ViewExchange(everybody)))
        self.deliver(member, TickDue())

    def do(self, step: Step) -> None:
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
        """The harder order: what is due comes before what has arrived meanwhile."""
        self.paused[member] = False
        waiting, self.waiting[member] = self.waiting[member], []
        if self.cores[member] and self.beat_us[member] <= self.now:
            self.deliver(member, TickDue())
        for heard in waiting:
            self.deliver(member, heard)

    def beat(self, member: int, due_us: int) -> None:
        if self.beat_us[member] == due_us and self.cores[member] and not self.paused[member]:
            self.deliver(member, TickDue())

    def arrive(self, member: int, heard: MessageReceived) -> None:
        if self.cores[member] is None:
            return
        if self.paused[member]:
            self.waiting[member].append(heard)
        else:
            self.deliver(member, heard)

    def deliver(self, member: int, event: Any) -> None:
        core = self.cores[member]
        if core is None:
            return
        began = time.perf_counter()
        actions = core.deliver(FIRST_US + self.now, [event])
        self.busy_s += time.perf_counter() - began
        for action in actions:
            self.carry_out(member, action)

    def carry_out(self, member: int, action: Any) -> None:
        match action:
            case SendMessage(address, said):
                self.send(member, address, said)
            case WakeAt(until_us):
                if until_us - FIRST_US != self.beat_us[member]:
                    self.beat_us[member] = until_us - FIRST_US
                    self.at(
                        max(self.now, self.beat_us[member]), self.beat, member, self.beat_us[member]
                    )
            case NotifyStatus(change, record):
                self.history.entries.append(
                    Entry(
                        self.now,
                        member,
                        place_of(record.name),
                        change.value,
                        record.instance_id,
                        record.incarnation,
                    )
                )
            case CountMetric(metric, amount):
                self.counts[metric.value] += amount
            case LeaveCompleted():
                self.cores[member] = None

    def send(self, member: int, address: str, said: Any) -> None:
        self.datagrams += 1
        self.bytes += HEADER.size + len(CODEC.encoder.encode(said))
        other = self.places.get(address)
        if other is None:
            return
        number = self.sent[member, other] = self.sent[member, other] + 1
        for delay_us in self.script.fate(self.now, member, other, number):
            self.at(
                self.now + WAY_US + delay_us,
                self.arrive,
                other,
                MessageReceived(address_of(member), said),
            )
