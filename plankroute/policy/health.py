"""Outlier detection: checks suspected hosts, ejects those that fail and readmits them later.

A host is suspected by its symptoms, whatever their cause: it fails far more attempts than the other
hosts, or it has no statistics while other hosts do. Only a failed health check ejects a suspected
host. An ejected host is readmitted after a number of consecutive good checks, which doubles with
each readmission.
"""

from plankroute.events import events
from plankroute.events.events import HealthCheckOutcome
from plankroute.policy.constants import LN_2, STATS_HALF_LIFE_US
from plankroute.policy.host_table import HostTable
from plankroute.policy.prior_knowledge import PriorKnowledge
from plankroute.state.scheduler import Scheduler
from plankroute.units import SECOND_US

# A host is an outlier by its failures if its failure ratio exceeds this multiple of the reference
# ratio by more than MAX_EXCESS_FAILURE_RATIO, with at least MIN_FAILURES failed attempts. It is a
# multiple because, where all hosts fail often, a host that fails more is only more heavily loaded.
FAILURE_RATIO_FACTOR = 3.0
# Margin of the failure ratio over that multiple.
MAX_EXCESS_FAILURE_RATIO = 0.25
# Minimum failed attempts, as a decayed sum. Together with the margin, this rules out chance.
MIN_FAILURES = 3.0
# Expected but unreported attempts above which a host counts as silent. By chance this happens one
# time in fifty, and the only consequence is a health check.
MAX_SILENT_ATTEMPTS = 4.0
# Consecutive bad checks that eject a suspected host.
BAD_CHECKS_TO_EJECT = 2
# Consecutive good checks that the first readmission requires.
GOOD_CHECKS_TO_READMIT = 2
# Upper bound on the required good checks as they double: half a minute of checks.
MAX_REQUIRED_CHECKS = 32
# Maximum share of the ready hosts that may be ejected. Two of three zones may be unreachable; if
# fewer hosts were left, they would only be overloaded.
MAX_EJECTED_SHARE = 0.75
# Time after a mass disconnect in which a single health check that cannot reach a host ejects it.
PARTITION_SUSPICION_US = 3 * SECOND_US


class HostHealth:
    """Health checks and ejection of one host.

    Attributes:
        good_checks: Number of consecutive good checks.
        bad_checks: Number of consecutive bad checks.
        required_checks: Consecutive good checks that the next readmission requires.
        ejected_at_us: When the host was last ejected; set at creation if it never was.
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
        """Requests a health check of this host."""
        self.scheduler.out += self.host_table.health_checks([self.index])

    def on_check(self, result: events.HealthCheckResult) -> bool:
        """Handles the result of a health check; returns whether it ejected the host."""
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
                return False  # a host that sheds load under overload may be healthy
        self.good_checks = 0
        self.bad_checks += 1
        host_table.unreachable[self.index] = result.outcome is HealthCheckOutcome.UNREACHABLE
        self.prior.compare(host_table, self.index, is_unhealthy=True)
        return self._eject_or_check_again()

    def eject_on_prior_knowledge(self, required_checks: int) -> None:
        """Ejects a host that the source of the prior knowledge had ejected.

        Args:
            required_checks: Consecutive good checks that the source required for readmission; they
                are required here too, within bounds.
        """
        self.host_table.ejected[self.index] = True
        self.ejected_at_us = self.scheduler.now
        self.prior.ejected.add(self.index)
        self.required_checks = min(
            MAX_REQUIRED_CHECKS, max(GOOD_CHECKS_TO_READMIT, required_checks)
        )

    def needs_check(self) -> bool:
        """Whether the host needs a health check in this turn."""
        host_table = self.host_table
        return (
            host_table.always_health_check
            or host_table.ejected[self.index]
            or self.is_suspect(host_table.best_failure_ratio)
        )

    def readmit_if_recovered(self) -> bool:
        """Readmits the ejected host after enough good checks; returns whether it did.

        If the settings forbid health checks, the host is readmitted after as many seconds instead.
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

    def is_suspect(self, reference_ratio: float) -> bool:
        """Whether the host is suspected: it is an outlier by its failures, or silent.

        Args:
            reference_ratio: Failure ratio of the hosts that the host is compared with.
        """
        failed = self.host_table.failed[self.index]
        allowed_ratio = FAILURE_RATIO_FACTOR * reference_ratio + MAX_EXCESS_FAILURE_RATIO
        excess = failed - allowed_ratio * self.host_table.attempts[self.index]
        return (excess > 0 and failed >= MIN_FAILURES) or self.is_silent()

    def is_silent(self) -> bool:
        """Whether the host has no statistics although its weight is high and other hosts do.

        Always false for hosts outside the subset, which get no requests by this controller's
        tables.
        """
        host_table = self.host_table
        weight = host_table.capped_weight(self.index)
        attempts_per_us = host_table.attempts_per_weight * weight * LN_2 / STATS_HALF_LIFE_US
        silent_us = host_table.others_heard_at_us - host_table.heard_at_us[self.index]
        is_expected = attempts_per_us * silent_us > MAX_SILENT_ATTEMPTS
        return is_expected and self.index not in host_table.outside_subset

    def _eject_or_check_again(self) -> bool:
        """Handles a bad check: ejects a suspected host, or requests a further check if needed.

        Returns:
            Whether the host was ejected.
        """
        host_table = self.host_table
        if self.index not in host_table.eligible():
            return False
        may_be_partitioned = self._may_be_partitioned()
        required_bad_checks = 1 if may_be_partitioned or self.is_silent() else BAD_CHECKS_TO_EJECT
        if self.bad_checks < required_bad_checks:
            if self.is_suspect(host_table.best_failure_ratio):
                self.request_check()
            return False
        if not host_table.may_eject_another(MAX_EJECTED_SHARE):
            return False
        # A host that health checks still reach is compared with the mean of all hosts: in an
        # overload, a host that fails more is only more heavily loaded.
        reference_ratio = host_table.failure_ratio
        if host_table.unreachable[self.index]:
            reference_ratio = host_table.best_failure_ratio
        if not (may_be_partitioned or self.is_suspect(reference_ratio)):
            return False
        host_table.ejected[self.index] = True
        self.ejected_at_us = self.scheduler.now
        self.prior.ejected.discard(self.index)
        return True

    def _may_be_partitioned(self) -> bool:
        """Whether the host is unreachable shortly after a mass disconnect."""
        age_us = self.scheduler.now - self.host_table.mass_disconnect_at_us
        return self.host_table.unreachable[self.index] and age_us < PARTITION_SUSPICION_US
