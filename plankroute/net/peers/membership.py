"""Membership on sockets: datagrams in and out, its wake-ups, log lines and counters. Decides nothing about
anybody.

Whatever fails here ends here: the steward goes on without it."""

import asyncio
import secrets
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from typing import cast

import msgspec

from plankroute.config.feature_file import MembershipSection
from plankroute.events import events
from plankroute.membership.codec import Codec, Rejection
from plankroute.membership.core import Membership
from plankroute.membership.facts import MAX_DATAGRAM_BYTES, MemberFacts
from plankroute.membership.member_table import MAX_MEMBERS, observer_id
from plankroute.membership.messages import (
    Command,
    CountMetric,
    Event,
    LeaveCompleted,
    LeaveRequested,
    MessageReceived,
    NotifyStatus,
    SeedsChanged,
    SendMessage,
    StatusChange,
    TickDue,
    ViewRequest,
    WakeAt,
)
from plankroute.net.process.address import host_and_port
from plankroute.net.process.clock import monotonic_us
from plankroute.net.process.telemetry import Telemetry
from plankroute.token_bucket import TokenBucket

TAKEN_BYTES = 262144  # the kernel's buffer: two seconds' datagrams of a large group, for a pause
UNSENT_BYTES = 65536  # waiting for the kernel: beyond, datagrams are dropped, a loss as any
WORKED_RATE, WORKED_BURST = (
    2000,
    4000,
)  # datagrams looked at a second: far above a large group's worst
OPEN_EVERY_S = 1.0  # between tries for an address that is held
LEAVE_S = 0.4  # for the last words: two beats, well within what operators leave after SIGTERM
SELF = frozenset(
    {StatusChange.CALLED_GONE, StatusChange.DISPLACED, StatusChange.ALONE, StatusChange.IN_COMPANY}
)
WARNINGS = frozenset(
    {
        StatusChange.SUSPECTED,
        StatusChange.GONE,
        StatusChange.DOUBLED,
        StatusChange.CALLED_GONE,
        StatusChange.ALONE,
    }
)
STATES = {
    StatusChange.JOINED: events.ControllerState.ALIVE,
    StatusChange.BACK: events.ControllerState.ALIVE,
    StatusChange.SUSPECTED: events.ControllerState.SUSPECTED,
    StatusChange.GONE: events.ControllerState.GONE,
    StatusChange.LEFT: events.ControllerState.LEFT,
}


@dataclass(frozen=True, slots=True)
class LocalMember:
    """What membership needs to know of the steward it is part of."""

    name: str
    zone: str
    seed: int


def member_facts(part: MembershipSection, own: LocalMember) -> MemberFacts:
    return MemberFacts(
        own.name,
        part.advertise or part.listen,
        own.zone,
        part.group,
        part.seeds,
        part.patience_ms * 1000,
        part.probe_ms * 1000,
        part.forget_s * 1_000_000,
    )


class MembershipService(asyncio.DatagramProtocol):
    def __init__(
        self,
        part: MembershipSection,
        own: LocalMember,
        telemetry: Telemetry,
        put: Callable[[events.Event], None],
    ) -> None:
        self.part, self.telemetry, self.put = part, telemetry, put
        self.codec = Codec(part.group)
        self.core = Membership(
            member_facts(part, own),
            own.seed,
            secrets.randbits(62),
            time.time_ns() // 1000,
            self.codec.size,
        )
        self.worked = TokenBucket(WORKED_RATE, WORKED_BURST)
        self.transport: asyncio.DatagramTransport | None = None
        self.wake: asyncio.TimerHandle | None = None
        self.wake_us = 0
        self.finished = asyncio.Event()
        self.opening: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.opening = asyncio.create_task(self.open())

    async def open(self) -> None:
        """Guards against an address that the process before still holds; the steward serves meanwhile."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                await loop.create_datagram_endpoint(lambda: self, sock=bound(self.part.listen))
                break
            except OSError as error:
                self.telemetry.log_once(
                    "members_address_held", address=self.part.listen, why=str(error)
                )
                await asyncio.sleep(OPEN_EVERY_S)
        self.telemetry.log.event(
            "info",
            "members_open",
            address=self.part.listen,
            group=self.part.group,
            advertised=self.core.facts.address,
            life=self.core.view.own().life,
        )
        self.work([TickDue()])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.telemetry.count("members.taken")
        if not self.worked.take(monotonic_us()):
            self.telemetry.count("members.dropped.flood")
            return
        said = self.codec.read(data)
        if isinstance(said, Rejection):
            self.telemetry.count(f"members.dropped.{said.value}")
        elif isinstance(said, ViewRequest) and not self.is_here(addr[0]):
            self.telemetry.count("members.dropped.asked")
        else:
            self.work([MessageReceived(f"{addr[0]}:{addr[1]}", said)])

    def is_here(self, host: str) -> bool:
        """Views are told on this machine alone: a short question must not send long answers to third
        parties."""
        return host.startswith("127.") or host == host_and_port(self.part.listen)[0]

    def error_received(self, exc: OSError) -> None:
        """Such as nobody listening at a loopback address: a loss like any other."""
        self.telemetry.count("members.unreached")

    def work(self, events: list[Event]) -> None:
        now_us = monotonic_us()
        try:
            for action in self.core.deliver(now_us, events):
                self.carry_out(action)
        except Exception as error:
            self.telemetry.failed("members", error)
            self.rest(now_us + 1_000_000)  # it is woken all the same

    def carry_out(self, action: Command) -> None:
        match action:
            case SendMessage(address, said):
                self.send(address, self.codec.write(said))
            case NotifyStatus():
                self.tell(action)
            case CountMetric(name, by):
                self.telemetry.count(f"members.{name}", by)
            case WakeAt(until_us):
                self.rest(until_us)
            case LeaveCompleted():
                self.finished.set()

    def send(self, address: str, data: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if len(data) > MAX_DATAGRAM_BYTES or self.transport.get_write_buffer_size() > UNSENT_BYTES:
            self.telemetry.count("members.dropped.unsent")
            return
        try:
            self.transport.sendto(data, endpoint(address))
        except (ValueError, OSError):  # an address that a record names need not be one
            self.telemetry.count("members.unreached")
            return
        self.telemetry.count("members.sent")
        self.telemetry.count("members.sent_bytes", len(data))

    def tell(self, told: NotifyStatus) -> None:
        """Log line, counter and gauge; then the core's note, on which no rule rests."""
        change, record, view = told.change, told.record, self.core.view
        self.telemetry.count(f"members.told.{change.value}")
        self.telemetry.counts["members.living"] = 1 + len(view.living_places)
        name = f"members_{change.value}" if change in SELF else f"member_{change.value}"
        level = (
            "error"
            if change is StatusChange.DISPLACED
            else "warning"
            if change in WARNINGS
            else "info"
        )
        self.telemetry.log.event(
            level,
            name,
            member=record.name,
            address=record.address,
            zone=record.zone,
            life=record.life,
            incarnation=record.incarnation,
            voters=told.voters,
            living=1 + len(view.living_places),
        )
        if (state := STATES.get(change)) is not None:
            self.put(events.ControllerStatus(observer_id(record.name), state))

    def rest(self, until_us: int) -> None:
        if self.wake and self.wake_us == until_us:
            return
        if self.wake:
            self.wake.cancel()
        self.wake_us = until_us
        delay_s = max(0, until_us - monotonic_us()) / 1e6
        self.wake = asyncio.get_running_loop().call_later(delay_s, self.on_wake)

    def on_wake(self) -> None:
        self.wake = None
        self.work([TickDue()])

    def reload(self, part: MembershipSection) -> list[str]:
        """A changed seed list is taken; the names of what else differs, which holds until a restart."""
        if part.seeds != self.part.seeds:
            self.work([SeedsChanged(part.seeds)])
        kept = [
            name
            for name in part.__struct_fields__
            if name != "seeds" and getattr(part, name) != getattr(self.part, name)
        ]
        self.part = msgspec.structs.replace(self.part, seeds=part.seeds)
        return [f"membership.{name}" for name in kept]

    async def leave(self) -> None:
        """Says goodbye, within a bounded time."""
        if self.opening:
            self.opening.cancel()
        if self.transport:
            self.work([LeaveRequested()])
            try:
                async with asyncio.timeout(LEAVE_S):
                    await self.finished.wait()
            except TimeoutError:
                self.telemetry.count("members.leave_cut_short")
            self.transport.close()
        if self.wake:
            self.wake.cancel()


@lru_cache(maxsize=MAX_MEMBERS)
def endpoint(address: str) -> tuple[str, int]:
    """Guards against a record that names a host instead of an address: looking it up would hold up the loop.

    Raises ValueError or OSError where it is no IPv4 address with a port."""
    host, port = host_and_port(address)
    socket.inet_pton(socket.AF_INET, host)
    return host, port


def bound(address: str) -> socket.socket:
    """Raises OSError."""
    taking = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        taking.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, TAKEN_BYTES // 2)  # it is doubled
        taking.setblocking(False)
        taking.bind(host_and_port(address))
    except OSError:
        taking.close()
        raise
    return taking
