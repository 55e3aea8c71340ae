"""Weights of hosts: a leaky PID controller on fill."""

from statistics import median
from typing import Any

from plankroute.policy.host_table import HostTable
from plankroute.policy.slots import Table
from plankroute.policy.time_constants import MEMORY_US, SECOND_US
from plankroute.state.host_statistics import NO_CAP, group_by
from plankroute.state.scheduler import Actor, Scheduler, Tick


class Balancer(Actor):
    """The design's controller: a leaky PID on fill moves each host's weight."""

    TURN_US = SECOND_US
    KP, KI, KD, LEAK = (
        0.12,
        0.01,
        0.02,
        0.10,
    )  # fill is at the present weight: lateness bounds them less
    EAGER = 6.0  # where the list tells no sizes, all is to be learnt: more gain at first, double at turn 6
    FLOOR = 0.05
    LEAD, DEAR_LEAD = 0.6, 0.3  # of a slot; where a turn can't write all: at 0.6 zones swung
    PAYS = 1.2  # times the least move that is worth its line: a shorter lead would keep the slot for good
    SLOWNESS, DRAIN = 0.3, 0.45  # surcharges for slow hosts and for queues; more made queues swing
    AT_ONCE = (
        3.0  # txns a usual host works on before any waits; with more in hand these tell its powers
    )
    JAMMED = 0.75  # fill: a stress of three times the mean; a late report is then no idle host
    PRIOR_TRIES = (
        3.0  # shrinks a host's mean time, or weight, to its kind's while few tries are counted
    )
    PROBED_US = SECOND_US // 4  # a probe that takes longer tells nothing of speed
    OWN_LEAST, OWN_MOST = (
        0.7,
        1.4,
    )  # of its kind's: single probes are off by twice, some answer at once
    SHUNNED = (
        0.3  # of the mean tries that old tables bring a host: less, and who wrote them shunned it
    )
    ENOUGH, SETTLED = 8.0, 6  # tries a host to take over; its turn by then

    def __init__(self, scheduler: Scheduler, host_table: HostTable, tables: list[Table]) -> None:
        super().__init__(scheduler)
        self.host_table, self.tables, self.turns = host_table, tables, 0
        self.first_us = int(
            self.TURN_US * (0.5 + scheduler.random() / 2)
        )  # stewards should not turn in step

    def pause_us(self) -> int:
        """Guards against news that wait up to a turn: turns keep a tenth of a second behind sums."""
        half, late = (
            self.TURN_US // 2,
            self.scheduler.now - self.host_table.stats_burst_us - self.TURN_US // 10,
        )
        late = (late + half) % self.TURN_US - half
        return self.TURN_US - late * (self.host_table.stats_burst_us > 0)

    def handle(self, event: Any) -> None:
        host_table, eligible = (
            self.host_table,
            [i for i in self.host_table.eligible() if i not in self.host_table.outside_subset],
        )
        if host_table.first_weights_since_us and eligible:
            self.take_over(eligible)
        fills = (
            {}
            if host_table.first_weights_since_us or event is Tick.CHANGED
            else self.fills(eligible)
        )
        if not fills or not any(host_table.heard_since_turn[i] for i in eligible):
            return
        mean_fill = sum(fills.values()) / len(fills)
        mean = sum(host_table.weight[i] for i in eligible) / len(eligible)
        self.turns += 1
        eager = (
            1 + self.EAGER / self.turns
            if len({host_table.listed_weight[i] for i in eligible}) == 1
            else 1.0
        )
        for i in eligible:
            # No news, no error: unheard hosts count as average, so a blind steward's weights stay.
            said = (
                host_table.heard_since_turn[i] or fills.get(i, 0.0) > self.JAMMED
            )  # silent, for it still is
            error = mean_fill - fills[i] if said and i in fills else 0.0
            before, change = host_table.error[i], 0.0
            host_table.integral[i] = host_table.integral[i] * (1 - self.LEAK) + error
            if host_table.heard_since_turn[i]:
                change = error - before if before is not None else 0.0
                host_table.error[i], host_table.heard_since_turn[i] = error, False
            c = self.KP * error + self.KI * host_table.integral[i] + self.KD * change
            weight = max(host_table.weight[i] + 4 * mean * eager * c, self.FLOOR * mean)
            held = host_table.effective_weight[i] if host_table.weight_cap[i] == NO_CAP else 0.0
            if held:
                # Guards against a weight that runs on while its slot waits: the news are of the slot.
                lead = max(
                    self.DEAR_LEAD if host_table.channel_constrained else self.LEAD,
                    self.PAYS * host_table.min_slot_change,
                )
                weight = min(max(weight, held / (1 + eager * lead)), held * (1 + eager * lead))
            host_table.weight[i] = weight
        host_table.normalise_weights(eligible)

    def take_over(self, eligible: list[int]) -> None:
        """Guards against even weights: old tables show in the tries they bring, speed in the first probes."""
        host_table, waited = (
            self.host_table,
            self.scheduler.now - self.host_table.first_weights_since_us,
        )
        late = waited > (host_table.first_weights_timeout_us if host_table.old else self.PROBED_US)
        host_table.old &= not late or sum(host_table.attempts[i] for i in eligible) >= len(
            eligible
        )  # else by probes
        shown = host_table.attempts if host_table.old else host_table.probe_speed
        mean = sum(shown[i] for i in eligible) / len(eligible) or 1.0
        if late or (mean >= self.ENOUGH if host_table.old else all(shown[i] for i in eligible)):
            host_table.first_weights_since_us, self.turns = None, self.SETTLED * host_table.old
            for i in (
                list(host_table.told) if host_table.old else ()
            ):  # old tables show who was shunned
                host_table.judge_prior(i, shown[i] < self.SHUNNED * mean)
            eligible = host_table.eligible()
            typical = median([shown[i] for i in eligible if shown[i]] or [1.0])
            for kin in (
                group_by(eligible, lambda i: host_table.machine_type[i]) if any(shown) else ()
            ):
                usual = median(
                    [shown[i] for i in kin if shown[i]] or [typical]
                )  # not all answer in time
                kind = (sum(shown[i] for i in kin) + self.PRIOR_TRIES) / (
                    mean * len(kin) + self.PRIOR_TRIES
                )
                for i in kin:
                    host_table.effective_weight[i] = 0.0  # no slot holds the weight back
                    own = (
                        max(self.OWN_LEAST, min(self.OWN_MOST, (shown[i] / usual) ** 0.5))
                        * usual
                        / typical
                    )
                    by_tries = (
                        kind * (shown[i] + self.PRIOR_TRIES) / (kind * mean + self.PRIOR_TRIES)
                    )
                    host_table.weight[i] = by_tries if host_table.old else own
                    if i in host_table.told:  # beside old tables it may only lower a weight
                        host_table.weight[i] = min(
                            host_table.told[i], host_table.weight[i] if host_table.old else NO_CAP
                        )
            host_table.normalise_weights(eligible)

    def fills(self, eligible: list[int]) -> dict[int, float]:
        """0 to 1: the part of a host's powers that its present weight takes, against the mean."""
        host_table, times = self.host_table, self.times(eligible)
        if not times:
            return {}
        size = sum(host_table.listed_weight[i] for i in eligible) / len(eligible)
        stress = {}
        held = {
            i: host_table.in_flight_sum[i] / host_table.reports[i]
            for i in times
            if host_table.reports[i] > 0.1
        }
        for hosts in group_by(
            times, lambda i: tuple(table.admits(host_table, i) for table in self.tables)
        ):
            # Hosts open to the same products: others have another mix of work, and other tries a weight.
            usual = sum(times[i] for i in hosts) / len(hosts)
            pace = self.pace(hosts, times, held)
            for i in hosts:
                at_once = self.AT_ONCE * host_table.listed_weight[i] / size
                crowd = max(1.0, held.get(i, 0.0) / at_once)
                stress[i] = (
                    pace
                    * host_table.weight[i]
                    * times[i]
                    / at_once
                    * crowd ** (self.DRAIN - 1)
                    * (times[i] / usual) ** self.SLOWNESS
                )
        mean = sum(stress.values()) / len(stress)
        return {i: value / (value + mean) for i, value in stress.items()}

    def pace(self, hosts: list[int], times: dict[int, float], held: dict[int, float]) -> float:
        """Txns a weight and time: by what hosts hold from all proxies, so stewards do not part ways."""
        host_table, told = self.host_table, [i for i in hosts if held.get(i, 0.0) > 0]
        if told:
            return sum(held[i] for i in told) / sum(
                host_table.capped_weight(i) * times[i] for i in told
            )
        attempts = (
            max(1.0, sum(host_table.attempts[i] for i in hosts)) / MEMORY_US
        )  # no reports: this steward's alone
        return attempts / sum(host_table.capped_weight(i) for i in hosts)

    def times(
        self, eligible: list[int]
    ) -> dict[int, float]:  # shrunk to their kind's; none for kinds unheard
        host_table, few, times = self.host_table, self.PRIOR_TRIES, dict[int, float]()
        for kin in group_by(eligible, lambda i: host_table.machine_type[i]):
            attempts = sum(host_table.attempts[i] for i in kin)
            if attempts > 0.5:
                prior = sum(host_table.latency_sum_us[i] for i in kin) / attempts
                for i in kin:
                    times[i] = (host_table.latency_sum_us[i] + prior * few) / (
                        host_table.attempts[i] + few
                    )
        return times
