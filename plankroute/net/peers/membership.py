"""Membership on sockets: datagrams in and out, wake-ups, counters. Decides nothing about members.

Whatever fails here ends here: the controller goes on without it.
"""

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
from plankroute.membership.member_table import MAX_MEMBERS
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
    TickDue,
    ViewRequest,
    WakeAt,
)
from plankroute.net.peers.membership_log import MembershipLog
from plankroute.net.process.address import host_and_port
from plankroute.net.process.clock import monotonic_us
from plankroute.net.process.telemetry import Telemetry
from plankroute.token_bucket import TokenBucket
from plankroute.units import SECOND_US

# The kernel's buffer: two seconds' datagrams of a large group, for a pause.
RECEIVE_BUFFER_BYTES = 262144
# Waiting for the kernel: beyond, datagrams are dropped, a loss as any other.
MAX_UNSENT_BYTES = 65536
# Datagrams looked at: far above the worst of a large group.
MAX_DATAGRAMS_PER_SECOND = 2000
MAX_DATAGRAM_BURST = 4000
BIND_RETRY_S = 1.0  # between tries for an address that is in use
# For the last announcements: two ticks, well within what operators allow after SIGTERM.
LEAVE_TIMEOUT_S = 0.4
ERROR_RETRY_US = SECOND_US  # after an error of ours the core is woken all the same


@dataclass(frozen=True, slots=True)
class LocalMember:
    """What membership needs to know of the controller it is part of."""

    name: str
    zone: str
    seed: int


def member_facts(section: MembershipSection, own: LocalMember) -> MemberFacts:
    """The core's settings from those of our own file."""
    return MemberFacts(
        name=own.name,
        address=section.advertise or section.listen,
        zone=own.zone,
        group=section.group,
        seeds=section.seeds,
        probe_timeout_us=section.patience_ms * 1000,
        probe_interval_us=section.probe_ms * 1000,
        retention_us=section.forget_s * SECOND_US,
    )


class MembershipService(asyncio.DatagramProtocol):
    """Runs the core of membership on a UDP socket."""

    def __init__(
        self,
        part: MembershipSection,
        own: LocalMember,
        telemetry: Telemetry,
        put: Callable[[events.Event], None],
    ) -> None:
        """A service that has no socket yet.

        Args:
            part: the section of our own file.
            own: the controller it is part of.
            telemetry: log and counters.
            put: takes events for the controller.
        """
        self.part = part
        self.telemetry = telemetry
        self.codec = Codec(part.group)
        self.core = Membership(
            member_facts(part, own),
            own.seed,
            instance_id=secrets.randbits(62),
            wall_us=time.time_ns() // 1000,
            record_size=self.codec.record_size,
        )
        self.log = MembershipLog(self.core.table, telemetry, put)
        self.receive_budget = TokenBucket(MAX_DATAGRAMS_PER_SECOND, MAX_DATAGRAM_BURST)
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due_us = 0
        self.has_left = asyncio.Event()
        self.opening: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to open the socket."""
        self.opening = asyncio.create_task(self.open())

    async def open(self) -> None:
        """Open the socket and start the core.

        Guards against an address that the process before still holds; the controller serves
        meanwhile.
        """
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock = bound(self.part.listen)
                await loop.create_datagram_endpoint(lambda: self, sock=sock)
                break
            except OSError as error:
                self.telemetry.log_once(
                    "membership_address_in_use", address=self.part.listen, why=str(error)
                )
                await asyncio.sleep(BIND_RETRY_S)
        self.telemetry.log.event(
            "info",
            "membership_open",
            address=self.part.listen,
            group=self.part.group,
            advertised=self.core.facts.address,
            life=self.core.table.own_record().instance_id,
        )
        self.deliver([TickDue()])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and deliver it, or count why not."""
        self.telemetry.count("membership.datagrams_received")
        if not self.receive_budget.take(monotonic_us()):
            self.telemetry.count("membership.dropped.rate_limited")
            return
        message = self.codec.decode(data)
        host, port = addr
        if isinstance(message, Rejection):
            self.telemetry.count(f"membership.dropped.{message.value}")
        elif isinstance(message, ViewRequest) and not self.is_local(host):
            self.telemetry.count("membership.dropped.remote_view_request")
        else:
            self.deliver([MessageReceived(f"{host}:{port}", message)])

    def is_local(self, host: str) -> bool:
        """Whether the address is of this machine.

        Views are told on this machine alone: a short question must not send long answers to third
        parties.
        """
        return host.startswith("127.") or host == host_and_port(self.part.listen)[0]

    def error_received(self, exc: Exception) -> None:
        """Such as nobody listening at a loopback address: a loss like any other."""
        self.telemetry.count("membership.send_failed")

    def deliver(self, core_events: list[Event]) -> None:
        """One step of the core; an error of ours is logged, and does not stop the next step."""
        now_us = monotonic_us()
        try:
            for command in self.core.deliver(now_us, core_events):
                self.carry_out(command)
        except Exception as error:
            self.telemetry.record_failure("membership_core", error)
            self.wake_at(now_us + ERROR_RETRY_US)

    def carry_out(self, command: Command) -> None:
        """Carry out one command of the core."""
        match command:
            case SendMessage(address, message):
                self.send(address, self.codec.encode(message))
            case NotifyStatus():
                self.log.report(command)
            case CountMetric(metric, amount):
                self.telemetry.count(f"membership.{metric.value}", amount)
            case WakeAt(due_us):
                self.wake_at(due_us)
            case LeaveCompleted():
                self.has_left.set()

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram, or count why not."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        unsent_bytes = transport.get_write_buffer_size()  # type: ignore[attr-defined]  # typeshed lacks it
        if len(data) > MAX_DATAGRAM_BYTES or unsent_bytes > MAX_UNSENT_BYTES:
            self.telemetry.count("membership.dropped.send_buffer_full")
            return
        try:
            transport.sendto(data, resolved(address))
        except (ValueError, OSError):  # an address that a record names need not be one
            self.telemetry.count("membership.send_failed")
            return
        self.telemetry.count("membership.datagrams_sent")
        self.telemetry.count("membership.bytes_sent", len(data))

    def wake_at(self, due_us: int) -> None:
        """Set the one timer of the core."""
        if self.timer and self.timer_due_us == due_us:
            return
        if self.timer:
            self.timer.cancel()
        self.timer_due_us = due_us
        delay_s = max(0, due_us - monotonic_us()) / SECOND_US
        self.timer = asyncio.get_running_loop().call_later(delay_s, self.on_timer)

    def on_timer(self) -> None:
        """The time that the core asked for has come."""
        self.timer = None
        self.deliver([TickDue()])

    def reload(self, part: MembershipSection) -> list[str]:
        """Take a changed list of seeds; names of what else differs, which waits for a restart."""
        if part.seeds != self.part.seeds:
            self.deliver([SeedsChanged(part.seeds)])
        unchanged = [
            name
            for name in part.__struct_fields__
            if name != "seeds" and getattr(part, name) != getattr(self.part, name)
        ]
        self.part = msgspec.structs.replace(self.part, seeds=part.seeds)
        return [f"membership.{name}" for name in unchanged]

    async def leave(self) -> None:
        """Announce the leave, within a bounded time, and close."""
        if self.opening:
            self.opening.cancel()
        if self.transport:
            self.deliver([LeaveRequested()])
            try:
                async with asyncio.timeout(LEAVE_TIMEOUT_S):
                    await self.has_left.wait()
            except TimeoutError:
                self.telemetry.count("membership.leave_timed_out")
            self.transport.close()
        if self.timer:
            self.timer.cancel()


@lru_cache(maxsize=MAX_MEMBERS)
def resolved(address: str) -> tuple[str, int]:
    """The socket address of "host:port".

    Guards against a record that names a host instead of an address: looking it up would hold up the
    loop.

    Raises:
        ValueError: it is no "host:port".
        OSError: the host is no IPv4 address.
    """
    host, port = host_and_port(address)
    socket.inet_pton(socket.AF_INET, host)
    return host, port


def bound(address: str) -> socket.socket:
    """A UDP socket bound to that address.

    Raises:
        OSError: the address is in use, or not of this machine.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        # The kernel doubles the size that is asked for.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES // 2)
        sock.setblocking(False)
        sock.bind(host_and_port(address))
    except OSError:
        sock.close()
        raise
    return sock
