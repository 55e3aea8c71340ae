"""Record of a run: the status changes that members reported, and the steps that were executed.

Simulated groups and real processes fill the same record. The functions of `checkers` evaluate it.
"""

import msgspec


class StatusReport(msgspec.Struct, frozen=True):
    """A member's report that another member's status changed.

    Attributes:
        at_us: Time of the report, in microseconds of the history's clock.
        observer: Index of the member that reported it.
        subject: Index of the member whose status changed.
        change: The status change, as the log event names it.
        instance_id: The instance id of the subject's process.
        incarnation: The subject's incarnation.
    """

    at_us: int
    observer: int
    subject: int
    change: str
    instance_id: int = 0
    incarnation: int = 0


class ExecutedStep(msgspec.Struct, frozen=True):
    """An act that was carried out on a member's process.

    Attributes:
        at_us: Time of the act, in microseconds of the history's clock.
        act: The value of the `faults.Act`.
        member: Index of the member.
    """

    at_us: int
    act: str
    member: int


class History(msgspec.Struct):
    """All reports and steps of a run.

    Attributes:
        members: The size of the group.
        reports: Reports of status changes, in order of time.
        executed_steps: Acts on members' processes, in order of time.
        ends_us: End of the run, in microseconds of the history's clock.
    """

    members: int
    reports: list[StatusReport] = []
    executed_steps: list[ExecutedStep] = []
    ends_us: int = 0

    def reports_of(self, *changes: str) -> list[StatusReport]:
        """Returns the reports of these status changes, in order of time."""
        return [report for report in self.reports if report.change in changes]
