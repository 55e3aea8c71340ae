"""Collects the commands of one step of the core, in the order in which to carry them out."""

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
    """The list of commands that all parts of the core append to; emptied after each step."""

    def __init__(self) -> None:
        self.commands: list[Command] = []

    def add(self, command: Command) -> None:
        """Append a command of any kind."""
        self.commands.append(command)

    def send(self, address: str, message: Message) -> None:
        """Append a command that sends a message to `address` ("host:port")."""
        self.commands.append(SendMessage(address, message))

    def count(self, metric: Metric) -> None:
        """Append a command that adds one to a counter."""
        self.commands.append(CountMetric(metric))

    def notify(self, change: StatusChange, record: MemberRecord) -> None:
        """Append a command that notifies the program of a change."""
        self.commands.append(NotifyStatus(change, record))

    def drain(self) -> list[Command]:
        """Return all commands and empty the outbox."""
        commands = self.commands
        self.commands = []
        return commands
