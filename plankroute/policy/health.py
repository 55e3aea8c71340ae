"""Outlier detection: a suspected host is checked, ejected if it fails its checks, and readmitted.

A host is suspected by its symptoms, whatever their cause: it fails far more attempts than the
others, or no statistics of it arrive while those of others do. Only a failed health check ejects a
suspect. An ejected host is readmitted after good checks in a row, and needs twice as many after
each ejection.
"""

from plankroute.events import events
from plankroute.events.events import HealthCheckOutcome
from plankroute.policy.constants import LN_2, STATS_HALF_LIFE_US
from plankroute.policy.host_table import HostTable
from plankroute.policy.prior_knowledge import PriorKnowledge
from plankroute.state.scheduler import Scheduler
from plankroute.units import SECOND_US

# A host is an outlier by its failures if its failure ratio exceeds the usual one, times this, ...
# (where all fail much, a host that fails more is only fuller)
USUAL_FAILURES_FACTOR = 3.0
# ... by more than this ...
MAX_EXCESS_FAILURE_RATIO = 0.25
# ... and it has failed this often, as a decayed sum: together they are beyond chance.
MIN_FAILURES = 3.0
# Attempts that are expected of a host without any being reported: by chance one time in fifty, and
# all that follows is a health check.
MAX_SILENT_ATTEMPTS = 4.0
# Bad checks in a row that eject a suspect.
BAD_CHECKS_TO_EJECT = 2
# Good checks in a row that readmit it the first time.
GOOD_CHECKS_TO_READMIT = 2
# Bound on these as they double: half a minute of checks.
MAX_REQUIRED_CHECKS = 32
# Share of the ready hosts that may be ejected: two zones of three may be out of reach, and fewer
# hosts would only be overloaded.
MAX_EJECTED_SHARE = 0.75
# Time after a mass disconnect in which one check that does not get through is enough.
PARTITION_SUSPICION_US = 3 * SECOND_US


class HostHealth:
    """Health checks and ejection of one host.

    Attributes:
        good_checks: Good checks in a row.
        bad_checks: Bad checks in a row.
        required_checks: Good checks in a row that the next readmission takes.
        ejected_at_us: When the host was last ejected.
    """

    def __init__(
        self, scheduler: Scheduler, host_table: HostTable, prior: PriorKnowledge, index: int
    ) -> None:
        self.scheduler = scheduler
        self.host_table = host_table
        self.prior = prior
        self.index = index
        self.good_checks = 0
        self.bad_checks = 0
        self.required_checks = GOOD_CHECKS_TO_READMIT
        self.ejected_at_us = scheduler.now

    def request_check(self) -> None:
        """Asks for a health check of this host."""
        self.scheduler.out += self.host_table.health_checks([self.index])

    def on_check(self, result: events.HealthCheckResult) -> bool:
        """Takes in the result of a health check; returns whether it ejects the host."""
        host_table = self.host_table
        match result.outcome:
            case HealthCheckOutcome.ANSWERED:
                self.good_checks += 1
                self.bad_checks = 0
                host_table.unreachable[self.index] = False
                host_table.add_load_report(self.index, result.report)
                host_table.health_check_rate[self.index] = SECOND_US / max(1, result.elapsed_us)
                return False
            case HealthCheckOutcome.REJECTED:
                return False  # an overloaded host that sheds load may be healthy
        self.good_checks = 0
        self.bad_checks += 1
        host_table.unreachable[self.index] = result.outcome is HealthCheckOutcome.UNREACHABLE
        self.prior.compare(host_table, self.index, is_unhealthy=True)
        return self._eject_or_check_again()

    def eject_on_prior_knowledge(self, required_checks: int) -> None:
        """Ejects a host that was known as ejected; it is readmitted as it would have been then."""
        self.host_table.ejected[self.index] = True
        self.ejected_at_us = self.scheduler.now
        self.prior.ejected.add(self.index)
        self.required_checks = min(
            MAX_REQUIRED_CHECKS, max(GOOD_CHECKS_TO_READMIT, required_checks)
        )

    def needs_check(self) -> bool:
        """Whether the host is to be checked this turn."""
        host_table = self.host_table
        return (
            host_table.always_health_check
            or host_table.ejected[self.index]
            or self.is_suspect(host_table.best_failure_ratio)
        )

    def readmit_if_recovered(self) -> bool:
        """Readmits the ejected host after enough good checks; returns whether it did.

        Where the settings permit no checks it waits for as many seconds instead.
        """
        host_table = self.host_table
        waited_us = self.scheduler.now - self.ejected_at_us
        has_waited = waited_us > self.required_checks * SECOND_US
        has_passed = self.good_checks >= self.required_checks
        if not (has_passed or (has_waited and not host_table.health_checks_allowed)):
            return False
        host_table.ejected[self.index] = False
        host_table.heard_at_us[self.index] = self.scheduler.now
        host_table.scale_sums(self.index, 0.0)
        self.prior.ejected.discard(self.index)
        self.required_checks = min(MAX_REQUIRED_CHECKS, self.required_checks * 2)
        return True

    def is_suspect(self, usual_failure_ratio: float) -> bool:
        """Whether the host is an outlier, compared to a usual failure ratio."""
        failed = self.host_table.failed[self.index]
        allowed_ratio = USUAL_FAILURES_FACTOR * usual_failure_ratio + MAX_EXCESS_FAILURE_RATIO
        excess = failed - allowed_ratio * self.host_table.attempts[self.index]
        return (excess > 0 and failed >= MIN_FAILURES) or self.is_silent()

    def is_silent(self) -> bool:
        """Whether no statistics of the host arrive, unlike others, although its weight is high."""
        host_table = self.host_table
        weight = host_table.capped_weight(self.index)
        attempts_per_us = host_table.attempts_per_weight * weight * LN_2 / STATS_HALF_LIFE_US
        silent_us = host_table.others_heard_at_us - host_table.heard_at_us[self.index]
        is_expected = attempts_per_us * silent_us > MAX_SILENT_ATTEMPTS
        return is_expected and self.index not in host_table.outside_subset

    def _eject_or_check_again(self) -> bool:
        """After a bad check: ejects a suspect that failed enough, or asks for the next check."""
        host_table = self.host_table
        if self.index not in host_table.eligible():
            return False
        is_cut_off = self._is_cut_off()
        needed = 1 if is_cut_off or self.is_silent() else BAD_CHECKS_TO_EJECT
        if self.bad_checks < needed:
            if self.is_suspect(host_table.best_failure_ratio):
                self.request_check()
            return False
        if not host_table.may_eject_another(MAX_EJECTED_SHARE):
            return False
        # In an overload health checks get through, and a host that fails more is but fuller.
        usual = host_table.failure_ratio
        if host_table.unreachable[self.index]:
            usual = host_table.best_failure_ratio
        if not (is_cut_off or self.is_suspect(usual)):
            return False
        host_table.ejected[self.index] = True
        self.ejected_at_us = self.scheduler.now
        self.prior.ejected.discard(self.index)
        return True

    def _is_cut_off(self) -> bool:
        age_us = self.scheduler.now - self.host_table.mass_disconnect_at_us
        return self.host_table.unreachable[self.index] and age_us < PARTITION_SUSPICION_US
