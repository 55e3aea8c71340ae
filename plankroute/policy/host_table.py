"""Host statistics and what is derived from them over all hosts."""

from collections.abc import Iterable
from statistics import fmean

from plankroute.events import commands
from plankroute.events.facts import ReportSource, StartFacts
from plankroute.policy.time_constants import LN_2, MEMORY_US, SECOND_US
from plankroute.state.host_statistics import NO_CAP, HostStatistics, group_by


class HostTable(HostStatistics):
    """The host figures, and what is judged from them for all hosts at once: looked at once a turn or list."""

    def __init__(self, facts: StartFacts) -> None:
        super().__init__()
        self.warmup_us, self.initial_capacity_share, self.health_checks_allowed = (
            facts.warmup_us,
            facts.initial_capacity_share,
            facts.health_checks_allowed,
        )
        self.always_health_check = (
            facts.health_checks_allowed and facts.report_source is ReportSource.HEALTH_CHECKS
        )  # reports come no other way
        self.latency_objective_us = max(
            1.0, fmean([product.latency_objective_us for product in facts.request_classes] or [1])
        )  # of a void
        self.failure_ratio = self.mean_latency_us = self.attempts_per_weight = (
            self.attempt_rate_per_proxy
        ) = 0.0  # over all listed ready
        self.best_failure_ratio = self.first_weights_timeout_us = (
            0.0  # voided by the best third; binds' longest wait for weights
        )
        self.able = self.warming_count = self.last_heard_us = self.disconnect_alarm_us = 0
        self.first_weights_since_us: int | None = (
            0  # 0: nobody joined yet; since when binds wait for weights; None: not
        )
        self.old = (
            False  # those who wait hold tables that another steward, or an earlier life, has taught
        )
        self.kin: dict[int, float] = {}  # by kind, the usual weight of its warm hosts, be they shut
        # Learned before this start: weights, hosts in trouble, those shut by it alone; and its proofs
        self.told, self.prior_unhealthy, self.ejected_on_prior = (
            dict[int, float](),
            set[int](),
            set[int](),
        )
        self.judged, self.right, self.wrong = set[int](), 0, 0
        self.outside_subset = set[int]()  # left to other controllers (`subset_share`)

    def refresh(self) -> None:
        ready, heard = self.ready(), [i for i in self.eligible() if self.attempts[i] > 0]
        attempts = sum(self.attempts[i] for i in ready) or 1.0
        self.failure_ratio = sum(self.failed[i] for i in ready) / attempts
        open_to = sum(i not in self.outside_subset for i in ready)
        self.attempt_rate_per_proxy = (
            attempts * LN_2 * SECOND_US / MEMORY_US / max(1, self.proxies * open_to)
        )
        self.mean_latency_us = sum(self.latency_sum_us[i] for i in ready) / attempts
        self.attempts_per_weight = sum(self.attempts[i] for i in heard) / (
            sum(self.weight[i] for i in heard) or 1.0
        )
        # By the best third, since two zones of three may be out of reach.
        best = sorted(heard, key=lambda i: self.failed[i] / self.attempts[i])[
            : max(1, len(heard) // 3)
        ]
        self.best_failure_ratio = sum(self.failed[i] for i in best) / (
            sum(self.attempts[i] for i in best) or 1.0
        )
        self.last_heard_us = (
            sorted(self.heard_at_us[i] for i in heard)[len(heard) * 2 // 3] if heard else 0
        )
        warm = [i for i in ready if self.weight_cap[i] == NO_CAP]
        self.able, self.warming_count = len(warm), len(ready) - len(warm)
        self.most = max(self.most, self.able)
        self.kin = {
            self.machine_type[kin[0]]: sum(self.weight[i] for i in kin) / len(kin)
            for kin in group_by(warm, lambda i: self.machine_type[i])
        }

    def judge_prior(
        self, index: int, bad: bool
    ) -> None:  # guards against wrong news: all stand or fall together
        as_told = bad == (index in self.prior_unhealthy)
        if index in self.told and index not in self.judged and (bad or not as_told):
            self.judged.add(index)
            self.right, self.wrong = self.right + as_told, self.wrong + (not as_told)
        if (
            self.wrong >= 2 and self.wrong > self.right
        ):  # all is as it would have started without them
            for i in self.ejected_on_prior:
                self.ejected[i] = False
            for i in self.told:
                self.weight[i], self.effective_weight[i] = self.listed_weight[i], 0.0
            self.told, self.ejected_on_prior = {}, set()

    def usual_weight_of_type(
        self, index: int
    ) -> float:  # of a kind not known warm the least: it may be small
        return self.kin.get(self.machine_type[index], min(self.kin.values(), default=1.0))

    def health_checks(self, places: Iterable[int]) -> list[commands.Command]:
        return [
            commands.CheckHealth(self.host_ids[i]) for i in places if self.health_checks_allowed
        ]
