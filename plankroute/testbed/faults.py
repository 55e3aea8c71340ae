"""Faults by script and seed: the fate of each datagram on each ordered pair of members, and what befalls
processes.

The same script meets the same datagrams with the same fate, in simulated time and between real processes."""

from enum import Enum
from zlib import crc32

import msgspec

MS = 1000  # microseconds
SECOND = 1_000_000


class Act(Enum):
    KILL = "kill"
    START = "start"
    PAUSE = "pause"
    RESUME = "resume"
    LEAVE = "leave"


class Step(msgspec.Struct, frozen=True):
    """Something done to one member at a time, in seconds from the start of the script."""

    at_s: float
    act: Act
    member: int


class Rule(msgspec.Struct, frozen=True):
    """What befalls datagrams from `senders` to `receivers` (None: all) from `from_s` until `until_s`.

    Shares are 0 to 1; `delay_ms` one way, with up to `spread_ms` more by chance (which reorders);
    `late_share` of them take `late_ms` instead.
    """

    from_s: float = 0.0
    until_s: float = float("inf")
    senders: tuple[int, ...] | None = None
    receivers: tuple[int, ...] | None = None
    cut: bool = False
    loss: float = 0.0
    twice: float = 0.0
    delay_ms: float = 0.0
    spread_ms: float = 0.0
    late_share: float = 0.0
    late_ms: float = 0.0
    bytes_a_second: float | None = None  # of links of TCP, each

    def meets(self, at_s: float, sender: int, receiver: int) -> bool:
        return (
            self.from_s <= at_s < self.until_s
            and (self.senders is None or sender in self.senders)
            and (self.receivers is None or receiver in self.receivers)
        )


class Script(msgspec.Struct, frozen=True):
    """Rules and steps; `seed` draws the fates."""

    seed: int
    rules: tuple[Rule, ...] = ()
    steps: tuple[Step, ...] = ()

    def fate(self, at_us: int, sender: int, receiver: int, number: int) -> tuple[int, ...]:
        """Microseconds after which each copy of the pair's `number`-th datagram arrives; none: it is lost."""
        at_s = at_us / SECOND
        rules = [rule for rule in self.rules if rule.meets(at_s, sender, receiver)]
        if not rules:
            return (0,)
        chances = Chances(self.seed, sender, receiver, number)
        delay_us, copies = 0.0, 1
        for rule in rules:
            if rule.cut or rule.loss and chances.draw() < rule.loss:
                return ()
            if rule.twice and chances.draw() < rule.twice:
                copies = 2
            if rule.late_share and chances.draw() < rule.late_share:
                delay_us += rule.late_ms * MS
            elif rule.delay_ms or rule.spread_ms:
                delay_us += (rule.delay_ms + rule.spread_ms * chances.draw()) * MS
        return tuple(int(delay_us * (1 + copy)) for copy in range(copies))

    def pace(self, at_us: int, sender: int, receiver: int) -> float | None:
        """Bytes a second that a link of TCP carries that way: 0 where it is cut, None for no bound."""
        rules = [rule for rule in self.rules if rule.meets(at_us / SECOND, sender, receiver)]
        paces = [0.0 if rule.cut else rule.bytes_a_second for rule in rules]
        return min((pace for pace in paces if pace is not None), default=None)

    def ends_s(self) -> float:
        """When the last step is done and the last rule with an end is over."""
        ends = [step.at_s for step in self.steps] + [
            rule.until_s for rule in self.rules if rule.until_s < 1e9
        ]
        return max(ends, default=0.0)


class Chances:
    """Draws for one datagram.

    A check sum alone is linear: two pairs that differ in one letter would lose the same datagrams, and losses
    would not be independent. So its bits are mixed by two odd factors.
    """

    def __init__(self, seed: int, sender: int, receiver: int, number: int) -> None:
        self.state = crc32(b"%d:%d:%d:%d" % (seed, sender, receiver, number))

    def draw(self) -> float:
        self.state = mixed(self.state + 0x9E3779B9)
        return self.state / (1 << 32)


def mixed(value: int) -> int:
    value = ((value ^ (value >> 16)) * 0x85EBCA6B) & 0xFFFFFFFF
    value = ((value ^ (value >> 13)) * 0xC2B2AE35) & 0xFFFFFFFF
    return value ^ (value >> 16)


def cut_between(
    one: tuple[int, ...], other: tuple[int, ...], from_s: float, until_s: float
) -> tuple[Rule, ...]:
    """Neither side hears the other."""
    return (
        Rule(from_s, until_s, one, other, cut=True),
        Rule(from_s, until_s, other, one, cut=True),
    )


def partition(
    parts: tuple[tuple[int, ...], ...], from_s: float, until_s: float
) -> tuple[Rule, ...]:
    return tuple(
        rule
        for at, one in enumerate(parts)
        for other in parts[at + 1 :]
        for rule in cut_between(one, other, from_s, until_s)
    )


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
    """Each member stands still again and again, at phases of its own; all run on at the end."""
    steps = list[Step]()
    for member in members:
        at_s, number = from_s, 0
        while True:
            chances = Chances(seed, member, member, number)
            at_s += (
                (run_most_s if number else most_s) * chances.draw()
                if not number
                else (run_least_s + (run_most_s - run_least_s) * chances.draw())
            )
            length_s = least_s + (most_s - least_s) * chances.draw()
            if at_s + length_s > until_s:
                break
            steps += [Step(at_s, Act.PAUSE, member), Step(at_s + length_s, Act.RESUME, member)]
            at_s, number = at_s + length_s, number + 1
    return tuple(sorted(steps, key=lambda step: step.at_s))
