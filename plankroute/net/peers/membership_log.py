"""Reports status changes of members: log events, counters and an event for the controller.

No decision depends on them.
"""

from collections.abc import Callable

from plankroute.events import events
from plankroute.membership.member_table import MemberTable, observer_id
from plankroute.membership.messages import NotifyStatus, StatusChange
from plankroute.net.process.telemetry import Telemetry

# Changes that concern this controller itself: their log events start with "membership_", those
# about other members with "member_".
OWN_CHANGES = frozenset(
    {
        StatusChange.REPORTED_FAILED,
        StatusChange.NAME_LOST,
        StatusChange.ISOLATED,
        StatusChange.RECONNECTED,
    }
)
ERROR_CHANGES = frozenset({StatusChange.NAME_LOST})
WARNING_CHANGES = frozenset(
    {
        StatusChange.SUSPECTED,
        StatusChange.FAILED,
        StatusChange.DUPLICATE_NAME,
        StatusChange.REPORTED_FAILED,
        StatusChange.ISOLATED,
    }
)
CONTROLLER_STATE_BY_CHANGE = {
    StatusChange.JOINED: events.ControllerState.ALIVE,
    StatusChange.RECOVERED: events.ControllerState.ALIVE,
    StatusChange.SUSPECTED: events.ControllerState.SUSPECTED,
    StatusChange.FAILED: events.ControllerState.GONE,
    StatusChange.LEFT: events.ControllerState.LEFT,
}


class MembershipLog:
    """Reports status changes to the operators and to the controller.

    Attributes:
        table: The core's member table; only read.
        telemetry: Log and counters.
        submit: Submits an event to the controller.
    """

    def __init__(
        self, table: MemberTable, telemetry: Telemetry, submit: Callable[[events.Event], None]
    ) -> None:
        self.table = table
        self.telemetry = telemetry
        self.submit = submit

    def report(self, notification: NotifyStatus) -> None:
        """Logs and counts a status change, and submits the controller's event, if it has one."""
        change = notification.change
        record = notification.record
        live_members = 1 + len(self.table.living)
        self.telemetry.count(f"membership.status.{change.value}")
        self.telemetry.counts["membership.live_members"] = live_members
        self.telemetry.log.event(
            log_level(change),
            log_event_name(change),
            member=record.name,
            address=record.address,
            zone=record.zone,
            life=record.instance_id,
            incarnation=record.incarnation,
            confirmations=notification.confirmations,
            live_members=live_members,
        )
        state = CONTROLLER_STATE_BY_CHANGE.get(change)
        if state is not None:
            self.submit(events.ControllerStatus(observer_id(record.name), state))


def log_event_name(change: StatusChange) -> str:
    """Returns the name of a change's log event."""
    subject = "membership" if change in OWN_CHANGES else "member"
    return f"{subject}_{change.value}"


def log_level(change: StatusChange) -> str:
    """Returns the level of a change's log event."""
    if change in ERROR_CHANGES:
        return "error"
    return "warning" if change in WARNING_CHANGES else "info"
