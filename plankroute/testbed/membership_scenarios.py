"""Scenarios of failure detection among real controllers."""

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
from plankroute.testbed.scenario import CUT_FROM_S, CUT_UNTIL_S, Scenario, ScenarioRun, make_plan

STEP_S = 1.0  # time of the step, in scripts that have one
CUT_MEMBER = 3
SUBJECT = 4  # the member that restarts, leaves, or has its name duplicated
UNPAUSED_SHARE = 0.13  # share of the members that is never paused, as operators have seen it
CLOCK_JUMPS_S = {1: (2.0, 3600.0), 2: (2.0, -3600.0)}  # by member: time and size of a jump
MIN_CLOCK_JUMP_S = 3000
NOISE_DATAGRAMS = 10_000
NOISE_BURST = 50  # datagrams between pauses of the sender
NOISE_PAUSE_S = 0.01
DROP_REASONS = ("size", "version", "group", "checksum", "malformed", "rate_limited")
MAX_MEMBERS = 4096  # capacity of a controller's member table

Members = tuple[int, ...]
Parts = tuple[Members, ...]


class Killed(Scenario):
    """Members are killed at one moment: all survivors report exactly these as failed."""

    def __init__(self, victims: Callable[[int], range], *rules: Rule, at_s: float = STEP_S) -> None:
        self.victims = victims
        self.rules = rules
        self.at_s = at_s

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """Kills the victims."""
        steps = [Step(self.at_s, Act.KILL, victim) for victim in self.victims(members)]
        return make_plan(members, seed, *self.rules, steps=steps)

    def survivors(self, run: ScenarioRun) -> list[int]:
        """Returns all members except the victims."""
        return run.all_but(*self.victims(run.members))

    def is_over(self, run: ScenarioRun) -> bool:
        """All survivors have reported all victims."""
        return run.all_reported_failed(self.victims(run.members), self.survivors(run))

    def find_objections(self, run: ScenarioRun) -> list[str]:
        """Adds the shortest, the median and the longest detection time to the figures."""
        killed_us = run.processes.history_us(self.at_s)
        survivors = self.survivors(run)
        times_us: list[int] = []
        for victim in self.victims(run.members):
            detected = checkers.detection_us(run.history, victim, killed_us, survivors)
            for time_us in detected.values():
                if time_us is None:
                    return ["a survivor never reported the failure of a killed member"]
                times_us.append(time_us)
        times_us.sort()
        chosen = times_us[0], times_us[len(times_us) // 2], times_us[-1]
        run.figures["detected_s"] = [round(time_us / SECOND, 2) for time_us in chosen]
        return run.false_failure_objections()


class Paused(Scenario):
    """Most members are paused repeatedly, each at its own times, and one other is killed.

    Paused members must not be reported as failed, and the killed one must be.
    """

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """Pauses members for a period of 39 s if `full`, else of 13 s."""
        until_s = 40.0 if full else 14.0
        victim = members - 1
        paused = tuple(range(max(1, round(members * UNPAUSED_SHARE)), victim))
        steps = [*pauses(paused, 1.0, until_s, seed), Step(until_s / 3, Act.KILL, victim)]
        steps.sort(key=lambda step: step.at_s)
        return make_plan(members, seed, steps=steps)

    def is_over(self, run: ScenarioRun) -> bool:
        """All other members have reported the killed one."""
        victim = run.members - 1
        return run.all_reported_failed([victim], range(victim))

    def find_objections(self, run: ScenarioRun) -> list[str]:
        """Adds the number of pauses to the figures."""
        acts = [step.act for step in run.history.executed_steps]
        run.figures["pauses"] = acts.count(Act.PAUSE.value)
        return run.false_failure_objections()


class CutOff(Scenario):
    """The datagrams of one member are cut, one way.

    All other members reach the same verdict on this member and keep it, and all members agree after
    the cut.

    Attributes:
        may_fail: Whether the others may report the member as failed.
    """

    def __init__(self, rule: Callable[[int], Rule], may_fail: bool) -> None:
        self.rule = rule
        self.may_fail = may_fail

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """Cuts the member off, one way."""
        return make_plan(members, seed, self.rule(members))

    def is_over(self, run: ScenarioRun) -> bool:
        """All members hold each other present after the cut."""
        return run.agreement_delay_us(run.processes.history_us(CUT_UNTIL_S)) is not None

    def find_objections(self, run: ScenarioRun) -> list[str]:
        """Adds the members reported as failed, and the time to agreement, to the figures."""
        history = run.history
        from_us = run.processes.history_us(CUT_FROM_S)
        until_us = run.processes.history_us(CUT_UNTIL_S)
        changes = checkers.verdict_changes(history, from_us, until_us)
        objections = [
            f"verdict of (observer, subject) {pair} changed {times} times"
            for pair, times in changes.items()
            if times > 1
        ]
        others = run.all_but(CUT_MEMBER)
        disputed = checkers.disputed_subjects(history, until_us, others, range(run.members))
        objections += [f"members disagree on {subject}" for subject in disputed]
        reported_failed = sorted(
            {subject for observer, subject in changes if observer != CUT_MEMBER}
        )
        allowed = [[], [CUT_MEMBER]] if self.may_fail else [[]]
        if reported_failed not in allowed:
            objections.append(f"reported as failed: {reported_failed}")
        run.figures["called_gone"] = reported_failed
        run.figures["agreed_after_s"] = run.agreement_delay_s(until_us)
        return objections


class Partitioned(Scenario):
    """A partition into parts that each keep working, and that heals.

    All members agree after the heal, and failure reports from another part cause no failure.
    """

    def __init__(self, parts: Callable[[int], Parts]) -> None:
        self.parts = parts

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """Cuts the parts off from each other."""
        return make_plan(members, seed, *partition(self.parts(members), CUT_FROM_S, CUT_UNTIL_S))

    def is_over(self, run: ScenarioRun) -> bool:
        """All members hold each other present after the heal."""
        return run.agreement_delay_us(run.processes.history_us(CUT_UNTIL_S)) is not None

    def find_objections(self, run: ScenarioRun) -> list[str]:
        """Adds the number of failed verdicts and the time to agreement to the figures."""
        healed_us = run.processes.history_us(CUT_UNTIL_S)
        verdicts = checkers.verdicts_at(run.history, healed_us)
        objections = [
            f"{observer} reported {subject} as failed, although both are in the same part"
            for part in self.parts(run.members)
            for observer in part
            for subject in part
            if observer != subject and verdicts.get((observer, subject)) == "failed"
        ]
        objections += [
            f"{report.observer} reported {report.subject} as failed after the heal"
            for report in run.history.reports_of("failed")
            if report.at_us > healed_us + SECOND // 2
        ]
        objections += [
            f"{report.subject} was reported as present long after its process had ended"
            for report in checkers.stale_presence_reports(run.history)
        ]
        run.figures["called_gone"] = list(verdicts.values()).count("failed")
        run.figures["agreed_after_s"] = run.agreement_delay_s(healed_us)
        return objections


class Restarted(Scenario):
    """A member restarts within half a second and keeps no state.

    It joins as a new instance and is never reported as failed.
    """

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """Kills a member and starts it again."""
        steps = [Step(STEP_S, Act.KILL, SUBJECT), Step(STEP_S + 0.3, Act.START, SUBJECT)]
        return make_plan(members, seed, steps=steps)

    def is_over(self, run: ScenarioRun) -> bool:
        """All other members have seen both instances, and all members have joined."""
        know_both = all(
            len(self.instances(run, observer)) == 2 for observer in run.all_but(SUBJECT)
        )
        return know_both and run.processes.have_joined(range(run.members))

    def instances(self, run: ScenarioRun, observer: int) -> set[int]:
        """Returns the instance ids of the restarted member that an observer saw join."""
        return {
            report.instance_id
            for report in run.history.reports_of("joined")
            if report.observer == observer and report.subject == SUBJECT
        }

    def find_objections(self, run: ScenarioRun) -> list[str]:
        """No member may be reported as failed."""
        return run.false_failure_objections() + run.report_objections("failed")


class Left(Scenario):
    """A member leaves on SIGTERM: all others report it within a second, and none as a failure."""

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """Makes one member leave."""
        return make_plan(members, seed, steps=[Step(STEP_S, Act.LEAVE, SUBJECT)])

    def is_over(self, run: ScenarioRun) -> bool:
        """All other members have reported that it left."""
        observers = {report.observer for report in run.history.reports_of("left")}
        return observers == set(run.all_but(SUBJECT))

    def find_objections(self, run: ScenarioRun) -> list[str]:
        """Adds the longest time until a member reported the leave to the figures."""
        left_us = run.processes.history_us(STEP_S)
        others = run.all_but(SUBJECT)
        times = checkers.detection_us(run.history, SUBJECT, left_us, others, "left")
        never_us = 1000 * SECOND
        worst_us = max(never_us if time_us is None else time_us for time_us in times.values())
        run.figures["worst_s"] = round(worst_us / SECOND, 2)
        objections = []
        if worst_us > SECOND:
            objections.append("a leave took over a second to reach all members")
        if run.history.reports_of("failed", "suspected"):
            objections.append("a leave was reported as a failure or suspicion")
        return objections


class DuplicateName(Scenario):
    """A second process starts under the name of a member.

    All other members report the duplicate, and the newer process keeps the name.
    """

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """Starts the last member under another one's name."""
        last = members - 1
        plan = make_plan(members, seed, steps=[Step(STEP_S, Act.START, last)])
        return msgspec.structs.replace(plan, started_later=(last,), names={last: f"n{SUBJECT:04d}"})

    def is_over(self, run: ScenarioRun) -> bool:
        """All other members have reported the duplicate, and one process has lost the name."""
        observers = {report.observer for report in run.history.reports_of("duplicate_name")}
        return observers >= set(run.all_but(SUBJECT)) and bool(run.history.reports_of("name_lost"))

    def find_objections(self, run: ScenarioRun) -> list[str]:
        """All members must settle on one instance, and the older process must lose the name."""
        objections = run.report_objections("failed")
        instances = {report.instance_id for report in run.history.reports_of("duplicate_name")}
        if len(instances) != 1:
            objections.append(f"members settled on {len(instances)} instances")
        losers = [report.observer for report in run.history.reports_of("name_lost")]
        if losers != [SUBJECT]:
            objections.append(f"members that lost the name: {losers}")
        return objections


class Seedless(Scenario):
    """The only seed is down at the start: each other member runs alone, and joins it later."""

    seed_starts_s = 7.0

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """Starts the seed late."""
        plan = make_plan(members, seed, steps=[Step(self.seed_starts_s, Act.START, 0)])
        return msgspec.structs.replace(plan, seeds=(0,), started_later=tuple(range(members)))

    async def run_extra_actions(self, run: ScenarioRun) -> None:
        """Starts all members except the seed."""
        for member in run.all_but(0):
            await run.processes.start(member)

    def is_over(self, run: ScenarioRun) -> bool:
        """All members have joined."""
        return run.processes.have_joined(range(run.members))

    def find_objections(self, run: ScenarioRun) -> list[str]:
        """Adds the time from the seed's start to agreement to the figures."""
        began_us = run.processes.history_us(0.0)
        early = [report for report in run.history.reports_of("joined") if report.at_us < began_us]
        run.figures["joined_after_s"] = run.agreement_delay_s(
            run.processes.history_us(self.seed_starts_s)
        )
        objections = run.false_failure_objections()
        if early:
            objections.append("members joined each other without a seed")
        return objections


class ClockJumps(Scenario):
    """The wall clocks of two controllers jump by an hour, one each way, without effect."""

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """A step without effect makes the script last until after the jumps."""
        plan = make_plan(members, seed, steps=[Step(4.0, Act.RESUME, 0)])
        return msgspec.structs.replace(plan, clock_jumps=CLOCK_JUMPS_S)

    async def run_extra_actions(self, run: ScenarioRun) -> None:
        """Asks for counters, which carry the wall clock time, after the jumps."""
        await asyncio.sleep(4.5)
        for member in (0, *CLOCK_JUMPS_S):
            run.counters[member] = await run.processes.ask_counters(member)

    def is_over(self, run: ScenarioRun) -> bool:
        """All three controllers have answered."""
        return len(run.counters) == 1 + len(CLOCK_JUMPS_S)

    def find_objections(self, run: ScenarioRun) -> list[str]:
        """The clocks must have jumped, and no status change may have been reported."""
        true_time = run.counters[0]["time"]
        shifts_s = [abs(run.counters[member]["time"] - true_time) for member in CLOCK_JUMPS_S]
        objections = []
        if min(shifts_s) <= MIN_CLOCK_JUMP_S:
            objections.append("not all clocks jumped: the scenario tests nothing")
        return objections + run.report_objections("failed", "suspected", "left", "recovered")


class Noise(Scenario):
    """One controller receives invalid datagrams of every kind.

    It counts and drops them, its member table stays bounded, and no status changes.
    """

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """Has no faults."""
        return make_plan(members, seed)

    async def run_extra_actions(self, run: ScenarioRun) -> None:
        """Sends `NOISE_DATAGRAMS`, drawn by the seed, in small bursts from one socket."""
        rng = random.Random(run.processes.plan.script.seed)
        makers = invalid_datagram_makers(rng)
        with non_member_socket() as stranger:
            stranger.setblocking(False)
            for number in range(NOISE_DATAGRAMS):
                make_datagram = makers[number % len(makers)]
                try:
                    stranger.sendto(make_datagram(), run.processes.listen_addresses[0])
                except BlockingIOError:
                    await asyncio.sleep(NOISE_PAUSE_S)
                if number % NOISE_BURST == 0:
                    await asyncio.sleep(NOISE_PAUSE_S)
        run.counters[0] = await run.processes.ask_counters(0)

    def is_over(self, run: ScenarioRun) -> bool:
        """The controller has answered."""
        return 0 in run.counters

    def find_objections(self, run: ScenarioRun) -> list[str]:
        """Adds the number of dropped datagrams, by reason, to the figures."""
        counters = run.counters[0]
        dropped = {
            reason: counters.get(f"membership.dropped.{reason}", 0) for reason in DROP_REASONS
        }
        run.figures |= dropped
        objections = [
            f"no datagram was counted as dropped for the reason {reason}"
            for reason, times in dropped.items()
            if not times and reason != "rate_limited"
        ]
        objections += run.report_objections("failed", "suspected", "left")
        if counters.get("membership.live_members", 0) > MAX_MEMBERS:
            objections.append("the member table grew past its limit")
        return objections


def invalid_datagram_makers(rng: random.Random) -> list[Callable[[], bytes]]:
    """Returns functions that make datagrams which a controller has to drop, one for each kind."""
    own_group = Codec(GROUP_NAME)
    other_group = Codec("another")
    unknown_member = MemberRecord("n9999", "127.9.9.9:1", "z", 1, 1)
    long_name = MemberRecord("x" * 300, "a", "z", 1, 1)
    valid = own_group.encode(Gossip((unknown_member,)))
    return [
        lambda: rng.randbytes(rng.randrange(1, 1200)),
        lambda: valid[: rng.randrange(1, len(valid))],
        lambda: bytes([9]) + valid[1:],  # unsupported version
        lambda: other_group.encode(Gossip(())),
        lambda: bytes(60_000),
        lambda: own_group.encode(Gossip((long_name,))),
    ]
