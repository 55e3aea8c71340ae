"""All-to-all heartbeats, the simplest failure detector, as a baseline for measurements.

Uses the records and messages of `membership`. Knows all members from the start.
"""

import msgspec

from plankroute.membership.messages import (
    Command,
    Event,
    Gossip,
    MessageReceived,
    NotifyStatus,
    SendMessage,
    StatusChange,
    WakeAt,
)
from plankroute.testbed.faults import SECOND
from plankroute.testbed.simulated_members import START_WALL_CLOCK_US, records_of

CHECK_INTERVAL_US = 100_000
HEARTBEAT_INTERVAL_US = SECOND
HEARTBEAT_TIMEOUT_US = 3 * SECOND  # three missed heartbeats; as fast as plankroute's own detector


class Heartbeats:
    """A member that sends a heartbeat to each other member every second.

    Reports a member as failed when it has received no heartbeat from it for three seconds.
    """

    def __init__(self, member: int, members: int, process_number: int) -> None:
        self.member = member
        self.records = records_of(members)
        self.own_record = msgspec.structs.replace(
            self.records[member],
            incarnation=START_WALL_CLOCK_US + process_number,
            instance_id=process_number,
        )
        self.member_by_name = {record.name: index for index, record in enumerate(self.records)}
        self.last_heartbeat_us: list[int] | None = None  # by member; None before the first delivery
        self.failed: set[int] = set()
        self.next_heartbeat_us = 0
        self.next_check_us = 0

    def deliver(self, now_us: int, events: list[Event]) -> list[Command]:
        """Processes events at this time; returns the commands to carry out."""
        if self.last_heartbeat_us is None:
            self.last_heartbeat_us = [now_us] * len(self.records)
            phase_us = HEARTBEAT_INTERVAL_US * self.member // len(self.records)
            self.next_heartbeat_us = now_us + phase_us
        commands: list[Command] = []
        for event in events:
            if isinstance(event, MessageReceived) and isinstance(event.message, Gossip):
                commands += self.record_heartbeat(self.last_heartbeat_us, event.message, now_us)
        if now_us >= self.next_heartbeat_us:
            self.next_heartbeat_us += HEARTBEAT_INTERVAL_US
            commands += self.send_heartbeats()
        if now_us >= self.next_check_us:
            self.next_check_us = now_us + CHECK_INTERVAL_US
            commands += self.check_timeouts(self.last_heartbeat_us, now_us)
        commands.append(WakeAt(min(self.next_heartbeat_us, self.next_check_us)))
        return commands

    def record_heartbeat(
        self, last_heartbeat_us: list[int], heartbeat: Gossip, now_us: int
    ) -> list[Command]:
        """Records a heartbeat; returns the recovery of its sender if that had failed."""
        member = self.member_by_name[heartbeat.records[0].name]
        last_heartbeat_us[member] = now_us
        if member not in self.failed:
            return []
        self.failed.discard(member)
        return [NotifyStatus(StatusChange.RECOVERED, self.records[member])]

    def send_heartbeats(self) -> list[Command]:
        """Returns a heartbeat to each other member."""
        return [
            SendMessage(record.address, Gossip((self.own_record,)))
            for member, record in enumerate(self.records)
            if member != self.member
        ]

    def check_timeouts(self, last_heartbeat_us: list[int], now_us: int) -> list[Command]:
        """Returns the failure of each member whose last heartbeat is older than the timeout."""
        commands: list[Command] = []
        for member, last_us in enumerate(last_heartbeat_us):
            if member == self.member or member in self.failed:
                continue
            if now_us - last_us > HEARTBEAT_TIMEOUT_US:
                self.failed.add(member)
                commands.append(NotifyStatus(StatusChange.FAILED, self.records[member]))
        return commands
