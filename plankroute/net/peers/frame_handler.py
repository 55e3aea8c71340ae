"""Handles the frames that followed controllers send.

Checks each frame, reassembles lists from their parts, and passes on the content by frame type.
"""

from typing import Literal, Protocol

import msgspec

from plankroute.cold_start.election_messages import Event, FrameReceived, HeartbeatReceived
from plankroute.cold_start.followed_links import NO_CONTACT_AGE_US
from plankroute.cold_start.link_codec import (
    DrainNoticeFrame,
    Frame,
    HealthCheckResults,
    Heartbeat,
    ListPart,
    ListStart,
)
from plankroute.cold_start.list_receiver import ListReceiver, ListTransferError
from plankroute.events.events import HostState
from plankroute.net.discovery.catalogue import STATES
from plankroute.net.peers.link_client import LinkError
from plankroute.net.peers.list_transfers import ListTransfers
from plankroute.net.process.telemetry import Telemetry


class ClosedEntry(msgspec.Struct):
    """The fields of a list entry that a drain notice needs."""

    uid: str
    state: Literal["DRAINING", "DELETED"]


class FrameConsumer(Protocol):
    """Receives the content of frames; implemented by `SharedDiscovery`."""

    def deliver(self, events: list[Event]) -> None:
        """Delivers events to the watcher election."""

    def accept_list_from(self, name: str, text: bytes) -> None:
        """Handles the JSON text of a list that was transferred completely.

        Raises:
            LinkError: The text is not a valid list.
        """

    def on_service_contact(self, age_us: int) -> None:
        """Handles a followed controller's contact with the discovery service, `age_us` ago."""

    def on_health_checks(self, frame: HealthCheckResults) -> None:
        """Handles health check results of a followed controller."""

    def on_drain_notices(
        self, name: str, revision: int, closed_hosts: list[tuple[str, HostState]]
    ) -> None:
        """Handles notices of hosts that are draining or deleted in a list of that revision."""


class FrameHandler:
    """Handles the frames of all followed controllers."""

    def __init__(
        self, consumer: FrameConsumer, transfers: ListTransfers, telemetry: Telemetry
    ) -> None:
        self.consumer = consumer
        self.transfers = transfers
        self.telemetry = telemetry

    def on_frame(self, name: str, frame: Frame) -> None:
        """Handles a frame of a followed controller; logs and counts a protocol error.

        Raises:
            LinkError: The frame violates the protocol; the link has to be closed.
        """
        try:
            self.handle(name, frame)
        except (LinkError, ListTransferError) as error:
            self.telemetry.count("links.protocol_errors")
            self.telemetry.log.event("warning", "link_protocol_error", other=name, why=str(error))
            raise LinkError(str(error)) from error

    def handle(self, name: str, frame: Frame) -> None:
        """Handles a frame by its type.

        Raises:
            LinkError: The frame is of an unexpected type, or its content cannot be decoded.
            ListTransferError: A list transfer is invalid.
        """
        # Looked up before the events are delivered: the election may close this link in response,
        # which removes its receiver.
        receiver = self.transfers.receiver_of(name)
        match frame:
            case ListStart():
                try:
                    self.transfers.receiver_for_start(name, frame).start(frame)
                finally:
                    self.consumer.deliver([FrameReceived(name)])
            case ListPart(data):
                self.on_list_part(name, receiver, data)
            case Heartbeat(revision, age_us):
                if age_us < NO_CONTACT_AGE_US:
                    self.consumer.on_service_contact(age_us)
                self.consumer.deliver([HeartbeatReceived(name, revision, age_us)])
            case HealthCheckResults():
                self.consumer.on_health_checks(frame)
            case DrainNoticeFrame(revision, entries):
                self.consumer.deliver([FrameReceived(name)])
                self.consumer.on_drain_notices(name, revision, decode_closed_hosts(entries))
            case _:
                raise LinkError("unexpected frame type from a followed controller")

    def on_list_part(self, name: str, receiver: ListReceiver, data: bytes) -> None:
        """Adds a part to the list, and passes the list on once all parts are there.

        Raises:
            LinkError: The transferred text is not a valid list.
            ListTransferError: The list is longer than announced, or its checksum is wrong.
        """
        self.consumer.deliver([FrameReceived(name)])
        text = receiver.add(data)
        if text is not None:
            self.consumer.accept_list_from(name, text)


def decode_closed_hosts(entries: bytes) -> list[tuple[str, HostState]]:
    """Returns the names and states of the hosts in a drain notice.

    Raises:
        LinkError: The entries cannot be decoded.
    """
    try:
        closed_entries = msgspec.json.decode(entries, type=list[ClosedEntry])
    except msgspec.MsgspecError as error:
        raise LinkError("drain notice cannot be decoded") from error
    return [(entry.uid, STATES[entry.state]) for entry in closed_entries]
