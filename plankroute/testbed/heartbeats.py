"""All-to-all heartbeats, the plainest failure detector, to compare with.

Works on the records and messages of `membership`; knows all members from the start, and serves in
measurements alone.
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
HEARTBEAT_TIMEOUT_US = 3 * SECOND  # three heartbeats missed: as quick as the chosen detector


class Heartbeats:
    """Everybody sends everybody a heartbeat each second; three seconds of silence are a verdict."""

    def __init__(self, member: int, members: int, process_number: int) -> None:
        self.member = member
        self.records = records_of(members)
        self.own_record = msgspec.structs.replace(
            self.records[member],
            incarnation=START_WALL_CLOCK_US + process_number,
            instance_id=process_number,
        )
        self.member_by_name = {record.name: place for place, record in enumerate(self.records)}
        self.heard_us: list[int] | None = None  # by member; None: nothing has been delivered
        self.failed: set[int] = set()
        self.next_heartbeat_us = 0
        self.next_check_us = 0

    def deliver(self, now_us: int, events: list[Event]) -> list[Command]:
        """Takes events in at that time; returns what is to be done."""
        if self.heard_us is None:
            self.heard_us = [now_us] * len(self.records)
            phase_us = HEARTBEAT_INTERVAL_US * self.member // len(self.records)
            self.next_heartbeat_us = now_us + phase_us
        commands: list[Command] = []
        for event in events:
            if isinstance(event, MessageReceived) and isinstance(event.message, Gossip):
                commands += self.hear(self.heard_us, event.message, now_us)
        if now_us >= self.next_heartbeat_us:
            self.next_heartbeat_us += HEARTBEAT_INTERVAL_US
            commands += self.send_heartbeats()
        if now_us >= self.next_check_us:
            self.next_check_us = now_us + CHECK_INTERVAL_US
            commands += self.check_timeouts(self.heard_us, now_us)
        commands.append(WakeAt(min(self.next_heartbeat_us, self.next_check_us)))
        return commands

    def hear(self, heard_us: list[int], heartbeat: Gossip, now_us: int) -> list[Command]:
        """Notes a heartbeat; a failed member recovers."""
        member = self.member_by_name[heartbeat.records[0].name]
        heard_us[member] = now_us
        if member not in self.failed:
            return []
        self.failed.discard(member)
        return [NotifyStatus(StatusChange.RECOVERED, self.records[member])]

    def send_heartbeats(self) -> list[Command]:
        """A heartbeat to each other member."""
        return [
            SendMessage(record.address, Gossip((self.own_record,)))
            for member, record in enumerate(self.records)
            if member != self.member
        ]

    def check_timeouts(self, heard_us: list[int], now_us: int) -> list[Command]:
        """Verdicts on members that have been silent for too long."""
        commands: list[Command] = []
        for member, last_us in enumerate(heard_us):
            if member == self.member or member in self.failed:
                continue
            if now_us - last_us > HEARTBEAT_TIMEOUT_US:
                self.failed.add(member)
                commands.append(NotifyStatus(StatusChange.FAILED, self.records[member]))
        return commands
