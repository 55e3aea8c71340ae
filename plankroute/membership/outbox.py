"""Commands that one step of the core collects, in the order in which they are to be carried out."""

from plankroute.membership.messages import (
    Command,
    CountMetric,
    Message,
    Metric,
    NotifyStatus,
    SendMessage,
    StatusChange,
)
from plankroute.membership.records import MemberRecord


class Outbox:
    """Shared by all parts of the core; emptied at the end of each step."""

    def __init__(self) -> None:
        self.commands: list[Command] = []

    def add(self, command: Command) -> None:
        """Append a command."""
        self.commands.append(command)

    def send(self, address: str, message: Message) -> None:
        """Send a message."""
        self.commands.append(SendMessage(address, message))

    def count(self, metric: Metric) -> None:
        """Add one to a counter."""
        self.commands.append(CountMetric(metric))

    def notify(self, change: StatusChange, record: MemberRecord) -> None:
        """Notify the program of a change."""
        self.commands.append(NotifyStatus(change, record))

    def drain(self) -> list[Command]:
        """All commands; the outbox is empty afterwards."""
        commands = self.commands
        self.commands = []
        return commands
