"""Fault scripts: what happens to the traffic between members, and to their processes.

The same script and seed lose, delay and duplicate the same datagrams, in simulated time and between
real processes.
"""

from enum import Enum
from zlib import crc32

import msgspec

MS = 1000  # microseconds
SECOND = 1_000_000
NO_END_S = 1e9  # a rule that ends at this time or later counts as one without an end
GOLDEN_RATIO_32 = 0x9E3779B9  # 2**32 over the golden ratio: successive states are far apart


class Act(Enum):
    """An action on a member's process."""

    KILL = "kill"
    START = "start"
    PAUSE = "pause"
    RESUME = "resume"
    LEAVE = "leave"


class Step(msgspec.Struct, frozen=True):
    """An action on one member at a given time.

    Attributes:
        at_s: Time of the action, in seconds from the start of the script.
        act: The action.
        member: The member whose process it affects.
    """

    at_s: float
    act: Act
    member: int


class Rule(msgspec.Struct, frozen=True):
    """A network fault between members during a period.

    Attributes:
        from_s: Start of the period, in seconds from the start of the script.
        until_s: End of the period (exclusive), in seconds from the start of the script.
        senders: Members whose traffic is affected; None: all members.
        receivers: Members to which that traffic goes; None: all members.
        cut: Whether nothing arrives: datagrams are lost and TCP links stall.
        loss: Share of the datagrams that is lost, 0 to 1.
        duplicate_share: Share of the datagrams that arrives twice.
        delay_ms: One-way delay of the datagrams.
        jitter_ms: Maximum of a further random delay, which reorders datagrams.
        late_share: Share of the datagrams that is delayed by `late_ms` instead.
        late_ms: One-way delay of the datagrams in `late_share`.
        bytes_a_second: Bandwidth of each TCP link; None: unlimited.
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
        """Returns whether the rule affects traffic from `sender` to `receiver` at this time."""
        return (
            self.from_s <= at_s < self.until_s
            and (self.senders is None or sender in self.senders)
            and (self.receivers is None or receiver in self.receivers)
        )


class Script(msgspec.Struct, frozen=True):
    """All faults of a run.

    Attributes:
        seed: Seed of the random loss, duplication and delay of datagrams.
        rules: Network faults.
        steps: Actions on processes, in order of time.
    """

    seed: int
    rules: tuple[Rule, ...] = ()
    steps: tuple[Step, ...] = ()

    def delivery_delays_us(
        self, at_us: int, sender: int, receiver: int, number: int
    ) -> tuple[int, ...]:
        """Returns the delay of each copy of a datagram that arrives, in microseconds.

        Args:
            at_us: Time at which it is sent, from the start of the script.
            sender: The sending member.
            receiver: The receiving member.
            number: Number of the datagram among those from this sender to this receiver.

        Returns:
            One delay for each copy; empty if the datagram is lost, (0,) if no rule applies.
        """
        rules = self.rules_for(at_us, sender, receiver)
        if not rules:
            return (0,)
        draws = Draws(self.seed, sender, receiver, number)
        delay_us = 0.0
        copies = 1
        for rule in rules:
            # A seed replays a run only if the random numbers are drawn in this order.
            if rule.cut or (rule.loss and draws.next() < rule.loss):
                return ()
            if rule.duplicate_share and draws.next() < rule.duplicate_share:
                copies = 2
            if rule.late_share and draws.next() < rule.late_share:
                delay_us += rule.late_ms * MS
            elif rule.delay_ms or rule.jitter_ms:
                delay_us += (rule.delay_ms + rule.jitter_ms * draws.next()) * MS
        return tuple(int(delay_us * (1 + copy)) for copy in range(copies))

    def bandwidth(self, at_us: int, sender: int, receiver: int) -> float | None:
        """Returns the bandwidth of a TCP link in one direction, in bytes per second.

        Returns 0 where the link is cut, and None where the bandwidth is unlimited.
        """
        rules = self.rules_for(at_us, sender, receiver)
        limits = [0.0 if rule.cut else rule.bytes_a_second for rule in rules]
        return min((limit for limit in limits if limit is not None), default=None)

    def rules_for(self, at_us: int, sender: int, receiver: int) -> list[Rule]:
        """Returns the rules that affect traffic from `sender` to `receiver` at this time."""
        at_s = at_us / SECOND
        return [rule for rule in self.rules if rule.applies_to(at_s, sender, receiver)]

    def end_s(self) -> float:
        """Returns the time of the last step or of the end of the last rule, whichever is later.

        In seconds from the start of the script. Rules without an end are ignored; 0 if nothing is
        left.
        """
        ends = [step.at_s for step in self.steps]
        ends += [rule.until_s for rule in self.rules if rule.until_s < NO_END_S]
        return max(ends, default=0.0)


class Draws:
    """Random numbers for one datagram or pause, the same on every run and machine.

    The state starts from a CRC, which is linear: if it were used directly, two pairs of members
    that differ in one digit would lose the same datagrams, and losses would not be independent. So
    `mix_bits` is applied to the state before each number.
    """

    def __init__(self, seed: int, sender: int, receiver: int, number: int) -> None:
        self.state = crc32(b"%d:%d:%d:%d" % (seed, sender, receiver, number))

    def next(self) -> float:
        """Returns the next number, at least 0 and less than 1."""
        self.state = mix_bits(self.state + GOLDEN_RATIO_32)
        return self.state / (1 << 32)


def mix_bits(value: int) -> int:
    """Returns the 32-bit MurmurHash3 finaliser of `value`.

    Each bit of the value changes about half of the bits of the result.
    """
    value = ((value ^ (value >> 16)) * 0x85EBCA6B) & 0xFFFFFFFF
    value = ((value ^ (value >> 13)) * 0xC2B2AE35) & 0xFFFFFFFF
    return value ^ (value >> 16)


def cut_between(
    one: tuple[int, ...], other: tuple[int, ...], from_s: float, until_s: float
) -> tuple[Rule, ...]:
    """Returns rules that cut all traffic between two sets of members, in both directions."""
    return (
        Rule(from_s, until_s, one, other, cut=True),
        Rule(from_s, until_s, other, one, cut=True),
    )


def partition(
    parts: tuple[tuple[int, ...], ...], from_s: float, until_s: float
) -> tuple[Rule, ...]:
    """Returns rules that cut all traffic between any two of the parts."""
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
    """Returns steps that pause each member repeatedly, at random times that differ by member.

    Args:
        members: Members to pause.
        from_s: Start of the period with pauses, in seconds from the start of the script.
        until_s: End of that period; all members are resumed by then.
        seed: Seed of the random durations.
        least_s: Shortest pause.
        most_s: Longest pause, and the longest time from `from_s` to a member's first pause.
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
