"""What all members reported about each other, in one order of time, and what was done to them.

Recorded here; judged by `checkers`.
"""

import msgspec


class StatusReport(msgspec.Struct, frozen=True):
    """A member reported a change of another one's status.

    Attributes:
        at_us: When, in microseconds of the history's clock.
        observer: The member that reported it, by its place in the group.
        subject: The member it is about.
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
    """Something that was done to a member.

    Attributes:
        at_us: When, in microseconds of the history's clock.
        act: What, as the value of a `faults.Act`.
        member: To whom.
    """

    at_us: int
    act: str
    member: int


class History(msgspec.Struct):
    """All reports of a run.

    Attributes:
        members: The size of the group.
        reports: What was reported, in order of time.
        executed_steps: What was done, in order of time.
        ends_us: When the run ended.
    """

    members: int
    reports: list[StatusReport] = []
    executed_steps: list[ExecutedStep] = []
    ends_us: int = 0

    def reports_of(self, *changes: str) -> list[StatusReport]:
        """The reports about these status changes."""
        return [report for report in self.reports if report.change in changes]
