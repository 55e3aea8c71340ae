"""Log lines, counters and the event for what membership notifies; no rule rests on any of them."""

from collections.abc import Callable

from plankroute.events import events
from plankroute.membership.member_table import MemberTable, observer_id
from plankroute.membership.messages import NotifyStatus, StatusChange
from plankroute.net.process.telemetry import Telemetry

# Changes of this member itself: their log events begin with "membership_", others' with "member_".
OWN_CHANGES = frozenset(
    {
        StatusChange.REPORTED_FAILED,
        StatusChange.NAME_LOST,
        StatusChange.ISOLATED,
        StatusChange.RECONNECTED,
    }
)
ERRORS = frozenset({StatusChange.NAME_LOST})
WARNINGS = frozenset(
    {
        StatusChange.SUSPECTED,
        StatusChange.FAILED,
        StatusChange.DUPLICATE_NAME,
        StatusChange.REPORTED_FAILED,
        StatusChange.ISOLATED,
    }
)
CONTROLLER_STATES = {
    StatusChange.JOINED: events.ControllerState.ALIVE,
    StatusChange.RECOVERED: events.ControllerState.ALIVE,
    StatusChange.SUSPECTED: events.ControllerState.SUSPECTED,
    StatusChange.FAILED: events.ControllerState.GONE,
    StatusChange.LEFT: events.ControllerState.LEFT,
}


class MembershipLog:
    """Reports what the core notifies, to the operators and to the controller."""

    def __init__(
        self, table: MemberTable, telemetry: Telemetry, put: Callable[[events.Event], None]
    ) -> None:
        self.table = table
        self.telemetry = telemetry
        self.put = put

    def report(self, notification: NotifyStatus) -> None:
        """Write the log line, count, and put the controller's event."""
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
        state = CONTROLLER_STATES.get(change)
        if state is not None:
            self.put(events.ControllerStatus(observer_id(record.name), state))


def log_event_name(change: StatusChange) -> str:
    """The name of the log event of a change."""
    subject = "membership" if change in OWN_CHANGES else "member"
    return f"{subject}_{change.value}"


def log_level(change: StatusChange) -> str:
    """The level of the log event of a change."""
    if change in ERRORS:
        return "error"
    return "warning" if change in WARNINGS else "info"
