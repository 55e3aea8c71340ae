"""Frames of controllers that are followed: checked, put together, and handed on by their kind."""

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
    """Of an entry of the list, what a drain notice needs."""

    uid: str
    state: Literal["DRAINING", "DELETED"]


class FrameTaker(Protocol):
    """Who takes what frames say: `peers.shared_discovery`."""

    def deliver(self, events: list[Event]) -> None:
        """Deliver events to the election."""

    def accept_list_from(self, name: str, text: bytes) -> None:
        """Take a complete transfer; raises LinkError where it is no list."""

    def on_service_contact(self, age_us: int) -> None:
        """A followed controller had contact with the list service that long ago."""

    def on_health_checks(self, frame: HealthCheckResults) -> None:
        """Take results of health checks."""

    def on_drain_notices(
        self, name: str, revision: int, closed: list[tuple[str, HostState]]
    ) -> None:
        """Take drains ahead of their list."""


class FrameHandler:
    """Takes the frames of all controllers that are followed."""

    def __init__(self, taker: FrameTaker, transfers: ListTransfers, telemetry: Telemetry) -> None:
        self.taker = taker
        self.transfers = transfers
        self.telemetry = telemetry

    def on_frame(self, name: str, frame: Frame) -> None:
        """Take a frame of a controller that is followed.

        Raises:
            LinkError: the link is of no more use.
        """
        try:
            self.handle(name, frame)
        except (LinkError, ListTransferError) as error:
            self.telemetry.count("links.protocol_errors")
            self.telemetry.log.event("warning", "link_protocol_error", other=name, why=str(error))
            raise LinkError(str(error)) from error

    def handle(self, name: str, frame: Frame) -> None:
        """Handle a frame by its kind.

        Raises:
            LinkError: it is not for this side, or can't be read.
            ListTransferError: a list can't be taken.
        """
        # Before the election hears of the frame, which may close this very link.
        receiver = self.transfers.receiver_of(name)
        match frame:
            case ListStart():
                try:
                    self.transfers.receiver_for_start(name, frame).start(frame)
                finally:
                    self.taker.deliver([FrameReceived(name)])
            case ListPart(data):
                self.on_list_part(name, receiver, data)
            case Heartbeat(revision, age_us):
                if age_us < NO_CONTACT_AGE_US:
                    self.taker.on_service_contact(age_us)
                self.taker.deliver([HeartbeatReceived(name, revision, age_us)])
            case HealthCheckResults():
                self.taker.on_health_checks(frame)
            case DrainNoticeFrame(revision, entries):
                self.taker.deliver([FrameReceived(name)])
                self.taker.on_drain_notices(name, revision, closed_hosts(entries))
            case _:
                raise LinkError("not for this side")

    def on_list_part(self, name: str, receiver: ListReceiver, data: bytes) -> None:
        """Add a part, and hand the list on once it is complete.

        Raises:
            LinkError: it is no list.
            ListTransferError: it can't be taken.
        """
        self.taker.deliver([FrameReceived(name)])
        text = receiver.add(data)
        if text is not None:
            self.taker.accept_list_from(name, text)


def closed_hosts(entries: bytes) -> list[tuple[str, HostState]]:
    """Names and states of the hosts of a drain notice.

    Raises:
        LinkError: they can't be read.
    """
    try:
        closed = msgspec.json.decode(entries, type=list[ClosedEntry])
    except msgspec.MsgspecError as error:
        raise LinkError("no drains") from error
    return [(entry.uid, STATES[entry.state]) for entry in closed]
