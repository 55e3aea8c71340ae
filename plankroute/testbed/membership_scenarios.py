"""Hard cases of failure detection among real controllers."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from plankroute.membership.codec import Codec
from plankroute.membership.messages import Gossip
from plankroute.membership.records import MemberRecord
from plankroute.testbed import checkers
from plankroute.testbed.faults import SECOND, Act, Rule, Step, partition, pauses
from plankroute.testbed.links import non_member_socket
from plankroute.testbed.plan import Plan
from plankroute.testbed.processes import GROUP_NAME
from plankroute.testbed.scenario import CUT_FROM_S, CUT_UNTIL_S, Scenario, Trial, plan_of

STEP_S = 1.0  # when the only step of a script is done
CUT_MEMBER = 3
SUBJECT = 4  # of restarts, leaves and duplicate names
QUIET_SHARE = 0.13  # of the members are never paused, as operators have seen it
CLOCK_JUMPS_S = {1: (2.0, 3600.0), 2: (2.0, -3600.0)}  # by member: after so long, by so much
MIN_CLOCK_JUMP_S = 3000
NOISE_DATAGRAMS = 10_000
NOISE_BURST = 50  # datagrams between pauses of the sender
NOISE_PAUSE_S = 0.01
DROP_REASONS = ("size", "version", "group", "checksum", "malformed", "rate_limited")
MAX_MEMBERS = 4096  # that a controller's member table holds

Members = tuple[int, ...]
Parts = tuple[Members, ...]


class Killed(Scenario):
    """Members killed at one moment: all survivors report it, and nobody else is called failed."""

    def __init__(self, victims: Callable[[int], range], *rules: Rule, at_s: float = STEP_S) -> None:
        self.victims = victims
        self.rules = rules
        self.at_s = at_s

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """Kills the victims."""
        steps = [Step(self.at_s, Act.KILL, victim) for victim in self.victims(members)]
        return plan_of(members, seed, *self.rules, steps=steps)

    def survivors(self, trial: Trial) -> list[int]:
        """All but the victims."""
        return trial.all_but(*self.victims(trial.members))

    def is_over(self, trial: Trial) -> bool:
        """All survivors have reported all victims."""
        return trial.failed_for_all(self.victims(trial.members), self.survivors(trial))

    def judge(self, trial: Trial) -> list[str]:
        """Notes the shortest, the median and the longest time to detection."""
        killed_us = trial.processes.history_us(self.at_s)
        survivors = self.survivors(trial)
        times_us: list[int] = []
        for victim in self.victims(trial.members):
            detected = checkers.detection_us(trial.history, victim, killed_us, survivors)
            for time_us in detected.values():
                if time_us is None:
                    return ["a survivor never knew"]
                times_us.append(time_us)
        times_us.sort()
        chosen = times_us[0], times_us[len(times_us) // 2], times_us[-1]
        trial.notes["detected_s"] = [round(time_us / SECOND, 2) for time_us in chosen]
        return trial.false_failures()


class Paused(Scenario):
    """Most members are paused again and again, at times of their own; one is killed meanwhile."""

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """Pauses for 39 s, or for 13 s."""
        until_s = 40.0 if full else 14.0
        victim = members - 1
        paused = tuple(range(max(1, round(members * QUIET_SHARE)), victim))
        steps = [*pauses(paused, 1.0, until_s, seed), Step(until_s / 3, Act.KILL, victim)]
        steps.sort(key=lambda step: step.at_s)
        return plan_of(members, seed, steps=steps)

    def is_over(self, trial: Trial) -> bool:
        """All have reported the victim."""
        victim = trial.members - 1
        return trial.failed_for_all([victim], range(victim))

    def judge(self, trial: Trial) -> list[str]:
        """Notes the number of pauses."""
        acts = [done.act for done in trial.history.done]
        trial.notes["pauses"] = acts.count(Act.PAUSE.value)
        return trial.false_failures()


class CutOff(Scenario):
    """One member's datagrams are cut, one way: one verdict on it by all, and agreement afterwards.

    Attributes:
        may_fail: Whether the others may call it failed.
    """

    def __init__(self, rule: Callable[[int], Rule], may_fail: bool) -> None:
        self.rule = rule
        self.may_fail = may_fail

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """Cuts the member off."""
        return plan_of(members, seed, self.rule(members))

    def is_over(self, trial: Trial) -> bool:
        """All agree that all are there."""
        return trial.agreed_us(trial.processes.history_us(CUT_UNTIL_S)) is not None

    def judge(self, trial: Trial) -> list[str]:
        """Notes who was called failed, and when all agreed."""
        history = trial.history
        from_us = trial.processes.history_us(CUT_FROM_S)
        until_us = trial.processes.history_us(CUT_UNTIL_S)
        changes = checkers.verdict_changes(history, from_us, until_us)
        objections = [
            f"{pair} changed {times} times" for pair, times in changes.items() if times > 1
        ]
        others = trial.all_but(CUT_MEMBER)
        disagreed = checkers.disagreeing(history, until_us, others, range(trial.members))
        objections += [f"not agreed on {subject}" for subject in disagreed]
        called_failed = sorted({subject for observer, subject in changes if observer != CUT_MEMBER})
        allowed = [[], [CUT_MEMBER]] if self.may_fail else [[]]
        if called_failed not in allowed:
            objections.append(f"called failed: {called_failed}")
        trial.notes["called_gone"] = called_failed
        trial.notes["agreed_after_s"] = trial.agreed_s(until_us)
        return objections


class Partitioned(Scenario):
    """All parts go on; after the heal all agree, and verdicts of another part fail nobody."""

    def __init__(self, parts: Callable[[int], Parts]) -> None:
        self.parts = parts

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """Cuts the parts from each other."""
        return plan_of(members, seed, *partition(self.parts(members), CUT_FROM_S, CUT_UNTIL_S))

    def is_over(self, trial: Trial) -> bool:
        """All agree that all are there."""
        return trial.agreed_us(trial.processes.history_us(CUT_UNTIL_S)) is not None

    def judge(self, trial: Trial) -> list[str]:
        """Notes how many were called failed, and when all agreed."""
        healed_us = trial.processes.history_us(CUT_UNTIL_S)
        verdicts = checkers.standing_at(trial.history, healed_us)
        objections = [
            f"{observer} calls {subject} failed, of its own part"
            for part in self.parts(trial.members)
            for observer in part
            for subject in part
            if observer != subject and verdicts.get((observer, subject)) == "failed"
        ]
        objections += [
            f"{entry.observer} called {entry.subject} failed after the heal"
            for entry in trial.history.of("failed")
            if entry.at_us > healed_us + SECOND // 2
        ]
        objections += [
            f"{entry.subject} was brought back" for entry in checkers.resurrected(trial.history)
        ]
        trial.notes["called_gone"] = list(verdicts.values()).count("failed")
        trial.notes["agreed_after_s"] = trial.agreed_s(healed_us)
        return objections


class Restarted(Scenario):
    """A restart within half a second, with nothing kept: a new instance, never called failed."""

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """Kills and starts a member."""
        steps = [Step(STEP_S, Act.KILL, SUBJECT), Step(STEP_S + 0.3, Act.START, SUBJECT)]
        return plan_of(members, seed, steps=steps)

    def is_over(self, trial: Trial) -> bool:
        """All others have seen both instances, and all have joined."""
        know_both = all(
            len(self.instances(trial, observer)) == 2 for observer in trial.all_but(SUBJECT)
        )
        return know_both and trial.processes.have_joined(range(trial.members))

    def instances(self, trial: Trial, observer: int) -> set[int]:
        """The instances of the member that an observer has seen."""
        return {
            entry.life
            for entry in trial.history.of("joined")
            if entry.observer == observer and entry.subject == SUBJECT
        }

    def judge(self, trial: Trial) -> list[str]:
        """Nobody may be called failed."""
        return trial.false_failures() + trial.reported("failed")


class Left(Scenario):
    """SIGTERM: known to all within a second, and no failure."""

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """One member leaves."""
        return plan_of(members, seed, steps=[Step(STEP_S, Act.LEAVE, SUBJECT)])

    def is_over(self, trial: Trial) -> bool:
        """All others have reported that it left."""
        observers = {entry.observer for entry in trial.history.of("left")}
        return observers == set(trial.all_but(SUBJECT))

    def judge(self, trial: Trial) -> list[str]:
        """Notes the longest time until one knew."""
        left_us = trial.processes.history_us(STEP_S)
        others = trial.all_but(SUBJECT)
        times = checkers.detection_us(trial.history, SUBJECT, left_us, others, "left")
        never_us = 1000 * SECOND
        worst_us = max(never_us if time_us is None else time_us for time_us in times.values())
        trial.notes["worst_s"] = round(worst_us / SECOND, 2)
        objections = []
        if worst_us > SECOND:
            objections.append("a leave took over a second")
        if trial.history.of("failed", "suspected"):
            objections.append("a leave was counted as a failure")
        return objections


class DuplicateName(Scenario):
    """A second process under the name of a member: reported by all, and the newer one keeps it."""

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """The last member starts under another one's name."""
        last = members - 1
        plan = plan_of(members, seed, steps=[Step(STEP_S, Act.START, last)])
        return msgspec.structs.replace(plan, started_later=(last,), names={last: f"n{SUBJECT:04d}"})

    def is_over(self, trial: Trial) -> bool:
        """All others have reported it, and one process has lost the name."""
        observers = {entry.observer for entry in trial.history.of("duplicate_name")}
        return observers >= set(trial.all_but(SUBJECT)) and bool(trial.history.of("name_lost"))

    def judge(self, trial: Trial) -> list[str]:
        """All must settle on one instance, and the older process must lose the name."""
        objections = trial.reported("failed")
        instances = {entry.life for entry in trial.history.of("duplicate_name")}
        if len(instances) != 1:
            objections.append(f"settled on {len(instances)} instances")
        losers = [entry.observer for entry in trial.history.of("name_lost")]
        if losers != [SUBJECT]:
            objections.append(f"lost the name: {losers}")
        return objections


class Seedless(Scenario):
    """The only seed is down at the start: the others go on, each alone, and join when it comes."""

    seed_starts_s = 7.0

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """The seed starts late."""
        plan = plan_of(members, seed, steps=[Step(self.seed_starts_s, Act.START, 0)])
        return msgspec.structs.replace(plan, seeds=(0,), started_later=tuple(range(members)))

    async def act(self, trial: Trial) -> None:
        """Starts all but the seed."""
        for member in trial.all_but(0):
            await trial.processes.start(member)

    def is_over(self, trial: Trial) -> bool:
        """All have joined."""
        return trial.processes.have_joined(range(trial.members))

    def judge(self, trial: Trial) -> list[str]:
        """Notes when all agreed."""
        began_us = trial.processes.history_us(0.0)
        early = [entry for entry in trial.history.of("joined") if entry.at_us < began_us]
        trial.notes["joined_after_s"] = trial.agreed_s(
            trial.processes.history_us(self.seed_starts_s)
        )
        objections = trial.false_failures()
        if early:
            objections.append("joined without a seed")
        return objections


class ClockJumps(Scenario):
    """The wall clocks of two controllers jump by an hour, each way: nothing happens."""

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """A step that changes nothing lets the script last past the jumps."""
        plan = plan_of(members, seed, steps=[Step(4.0, Act.RESUME, 0)])
        return msgspec.structs.replace(plan, clock_jumps=CLOCK_JUMPS_S)

    async def act(self, trial: Trial) -> None:
        """Asks for counters, with their wall clock times, once the clocks have jumped."""
        await asyncio.sleep(4.5)
        for member in (0, *CLOCK_JUMPS_S):
            trial.counters[member] = await trial.processes.ask_counters(member)

    def is_over(self, trial: Trial) -> bool:
        """All three have answered."""
        return len(trial.counters) == 1 + len(CLOCK_JUMPS_S)

    def judge(self, trial: Trial) -> list[str]:
        """The clocks must have jumped, and nobody may have reported anything."""
        true_time = trial.counters[0]["time"]
        shifts_s = [abs(trial.counters[member]["time"] - true_time) for member in CLOCK_JUMPS_S]
        objections = []
        if min(shifts_s) <= MIN_CLOCK_JUMP_S:
            objections.append("no clock has jumped: the trial shows nothing")
        return objections + trial.reported("failed", "suspected", "left", "recovered")


class Noise(Scenario):
    """Datagrams of every useless kind at one controller: counted, bounded, without effect."""

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """No faults."""
        return plan_of(members, seed)

    async def act(self, trial: Trial) -> None:
        """Sends a bounded number, drawn by seed, in small bursts from one socket."""
        rng = random.Random(trial.processes.plan.script.seed)
        kinds = noise_kinds(rng)
        with non_member_socket() as stranger:
            stranger.setblocking(False)
            for number in range(NOISE_DATAGRAMS):
                make_datagram = kinds[number % len(kinds)]
                try:
                    stranger.sendto(make_datagram(), trial.processes.listen_addresses[0])
                except BlockingIOError:
                    await asyncio.sleep(NOISE_PAUSE_S)
                if number % NOISE_BURST == 0:
                    await asyncio.sleep(NOISE_PAUSE_S)
        trial.counters[0] = await trial.processes.ask_counters(0)

    def is_over(self, trial: Trial) -> bool:
        """The controller has answered."""
        return 0 in trial.counters

    def judge(self, trial: Trial) -> list[str]:
        """Notes how many were dropped, by reason."""
        counters = trial.counters[0]
        dropped = {
            reason: counters.get(f"membership.dropped.{reason}", 0) for reason in DROP_REASONS
        }
        trial.notes |= dropped
        objections = [
            f"no {reason} was counted"
            for reason, times in dropped.items()
            if not times and reason != "rate_limited"
        ]
        objections += trial.reported("failed", "suspected", "left")
        if counters.get("membership.live_members", 0) > MAX_MEMBERS:
            objections.append("the member table grew past its limit")
        return objections


def noise_kinds(rng: random.Random) -> list[Callable[[], bytes]]:
    """Makers of datagrams that a controller has to drop."""
    own_group = Codec(GROUP_NAME)
    other_group = Codec("another")
    unknown_member = MemberRecord("n9999", "127.9.9.9:1", "z", 1, 1)
    long_name = MemberRecord("x" * 300, "a", "z", 1, 1)
    good = own_group.encode(Gossip((unknown_member,)))
    return [
        lambda: rng.randbytes(rng.randrange(1, 1200)),
        lambda: good[: rng.randrange(1, len(good))],
        lambda: bytes([9]) + good[1:],  # another version
        lambda: other_group.encode(Gossip(())),
        lambda: bytes(60_000),
        lambda: own_group.encode(Gossip((long_name,))),
    ]
