"""Faults by script and seed: what happens to datagrams between members, and to their processes.

The same script gives the same datagrams the same fate, in simulated time and between processes.
"""

from enum import Enum
from zlib import crc32

import msgspec

MS = 1000  # microseconds
SECOND = 1_000_000
NO_END_S = 1e9  # a rule that ends later has no end
GOLDEN_RATIO_32 = 0x9E3779B9  # 2**32 over the golden ratio: successive draws are far apart


class Act(Enum):
    """What is done to a member's process."""

    KILL = "kill"
    START = "start"
    PAUSE = "pause"
    RESUME = "resume"
    LEAVE = "leave"


class Step(msgspec.Struct, frozen=True):
    """Something done to one member.

    Attributes:
        at_s: When, in seconds from the start of the script.
        act: What.
        member: To whom.
    """

    at_s: float
    act: Act
    member: int


class Rule(msgspec.Struct, frozen=True):
    """What happens to datagrams between members for some time.

    Attributes:
        from_s: When the rule begins, in seconds from the start of the script.
        until_s: When it ends.
        senders: Whose datagrams; None: everybody's.
        receivers: To whom; None: to everybody.
        cut: All are lost.
        loss: Share that is lost, 0 to 1.
        duplicate_share: Share that arrives twice.
        delay_ms: One-way delay.
        jitter_ms: Further delay, drawn up to this; it reorders datagrams.
        late_share: Share that takes `late_ms` instead.
        late_ms: One-way delay of those.
        bytes_a_second: Pace of each TCP link; None: no bound.
    """

    from_s: float = 0.0
    until_s: float = float("inf")
    senders: tuple[int, ...] | None = None
    receivers: tuple[int, ...] | None = None
    cut: bool = False
    loss: float = 0.0
    duplicate_share: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    late_share: float = 0.0
    late_ms: float = 0.0
    bytes_a_second: float | None = None

    def applies_to(self, at_s: float, sender: int, receiver: int) -> bool:
        """Whether the rule holds for this pair at this time."""
        return (
            self.from_s <= at_s < self.until_s
            and (self.senders is None or sender in self.senders)
            and (self.receivers is None or receiver in self.receivers)
        )


class Script(msgspec.Struct, frozen=True):
    """All faults of a run.

    Attributes:
        seed: Draws the fates.
        rules: What happens to datagrams.
        steps: What is done to processes, in order of time.
    """

    seed: int
    rules: tuple[Rule, ...] = ()
    steps: tuple[Step, ...] = ()

    def delivery_delays_us(
        self, at_us: int, sender: int, receiver: int, number: int
    ) -> tuple[int, ...]:
        """Delays of the copies of a datagram that arrive, in microseconds; none: it is lost.

        Args:
            at_us: When it was sent, from the start of the script.
            sender: Who sent it.
            receiver: To whom.
            number: Which datagram of this pair it is.
        """
        rules = self.rules_for(at_us, sender, receiver)
        if not rules:
            return (0,)
        draws = Draws(self.seed, sender, receiver, number)
        delay_us = 0.0
        copies = 1
        for rule in rules:
            # The order of the draws is part of what a seed replays.
            if rule.cut or (rule.loss and draws.next() < rule.loss):
                return ()
            if rule.duplicate_share and draws.next() < rule.duplicate_share:
                copies = 2
            if rule.late_share and draws.next() < rule.late_share:
                delay_us += rule.late_ms * MS
            elif rule.delay_ms or rule.jitter_ms:
                delay_us += (rule.delay_ms + rule.jitter_ms * draws.next()) * MS
        return tuple(int(delay_us * (1 + copy)) for copy in range(copies))

    def pace(self, at_us: int, sender: int, receiver: int) -> float | None:
        """Bytes a second that a TCP link carries that way: 0 where it is cut, None for no bound."""
        rules = self.rules_for(at_us, sender, receiver)
        paces = [0.0 if rule.cut else rule.bytes_a_second for rule in rules]
        return min((pace for pace in paces if pace is not None), default=None)

    def rules_for(self, at_us: int, sender: int, receiver: int) -> list[Rule]:
        """The rules that hold for this pair at this time."""
        at_s = at_us / SECOND
        return [rule for rule in self.rules if rule.applies_to(at_s, sender, receiver)]

    def ends_s(self) -> float:
        """When the last step is done and the last rule with an end is over."""
        ends = [step.at_s for step in self.steps]
        ends += [rule.until_s for rule in self.rules if rule.until_s < NO_END_S]
        return max(ends, default=0.0)


class Draws:
    """Random draws for one datagram, the same whenever and wherever they are made.

    A checksum alone is linear: two pairs that differ in one digit would lose the same datagrams,
    and losses would not be independent. So its bits are mixed by two odd factors.
    """

    def __init__(self, seed: int, sender: int, receiver: int, number: int) -> None:
        self.state = crc32(b"%d:%d:%d:%d" % (seed, sender, receiver, number))

    def next(self) -> float:
        """A number from 0 up to 1."""
        self.state = mix_bits(self.state + GOLDEN_RATIO_32)
        return self.state / (1 << 32)


def mix_bits(value: int) -> int:
    """The finaliser of MurmurHash3: each bit of the value changes half of the result's bits."""
    value = ((value ^ (value >> 16)) * 0x85EBCA6B) & 0xFFFFFFFF
    value = ((value ^ (value >> 13)) * 0xC2B2AE35) & 0xFFFFFFFF
    return value ^ (value >> 16)


def cut_between(
    one: tuple[int, ...], other: tuple[int, ...], from_s: float, until_s: float
) -> tuple[Rule, ...]:
    """Rules by which neither side hears the other."""
    return (
        Rule(from_s, until_s, one, other, cut=True),
        Rule(from_s, until_s, other, one, cut=True),
    )


def partition(
    parts: tuple[tuple[int, ...], ...], from_s: float, until_s: float
) -> tuple[Rule, ...]:
    """Rules by which no part hears another one."""
    rules: list[Rule] = []
    for index, one in enumerate(parts):
        for other in parts[index + 1 :]:
            rules += cut_between(one, other, from_s, until_s)
    return tuple(rules)


def pauses(
    members: tuple[int, ...],
    from_s: float,
    until_s: float,
    seed: int,
    least_s: float = 1.3,
    most_s: float = 2.0,
    run_least_s: float = 0.2,
    run_most_s: float = 1.5,
) -> tuple[Step, ...]:
    """Steps that pause each member again and again, at times of its own; all run at the end.

    Args:
        members: Who is paused.
        from_s: When it begins, in seconds from the start of the script.
        until_s: When all run again.
        seed: Draws the durations.
        least_s: Shortest pause.
        most_s: Longest pause; also the longest time to a member's first one.
        run_least_s: Shortest time between pauses.
        run_most_s: Longest time between pauses.
    """
    steps: list[Step] = []
    for member in members:
        at_s = from_s
        number = 0
        while True:
            draws = Draws(seed, member, member, number)
            if number == 0:
                at_s += most_s * draws.next()
            else:
                at_s += run_least_s + (run_most_s - run_least_s) * draws.next()
            length_s = least_s + (most_s - least_s) * draws.next()
            if at_s + length_s > until_s:
                break
            steps.append(Step(at_s, Act.PAUSE, member))
            steps.append(Step(at_s + length_s, Act.RESUME, member))
            at_s += length_s
            number += 1
    return tuple(sorted(steps, key=lambda step: step.at_s))
