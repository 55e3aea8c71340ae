"""Runs the membership core on a UDP socket: datagrams, the core's timer, log events and counters.

Decisions about members are made in `plankroute.membership`. Failures do not propagate: the
controller continues without membership.
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

# Kernel receive buffer: holds the datagrams that a large group sends in two seconds, so that none
# are lost while this process is paused.
RECEIVE_BUFFER_BYTES = 262144
# Data waiting to be sent. Further datagrams are dropped, which the protocol handles like any other
# datagram loss.
MAX_UNSENT_BYTES = 65536
# Rate limit of decoded datagrams; far above the highest rate in a large group.
MAX_DATAGRAMS_PER_SECOND = 2000
MAX_DATAGRAM_BURST = 4000
BIND_RETRY_INTERVAL_S = 1.0  # between attempts to bind an address that is in use
# Limit for announcing the leave, which takes two ticks (0.2 s). It is well within the time that
# operators allow after SIGTERM.
LEAVE_TIMEOUT_S = 0.4
ERROR_RETRY_US = SECOND_US  # delay before the core runs again after an exception in it


@dataclass(frozen=True, slots=True)
class LocalMember:
    """The controller that this process runs, as membership needs to know it."""

    name: str
    zone: str
    seed: int


def member_facts(section: MembershipSection, local_member: LocalMember) -> MemberFacts:
    """Returns the core's settings, from the feature file and the local controller."""
    return MemberFacts(
        name=local_member.name,
        address=section.advertise or section.listen,
        zone=local_member.zone,
        group=section.group,
        seeds=section.seeds,
        probe_timeout_us=section.patience_ms * 1000,
        probe_interval_us=section.probe_ms * 1000,
        retention_us=section.forget_s * SECOND_US,
    )


class MembershipService(asyncio.DatagramProtocol):
    """Runs the membership core on a UDP socket.

    Attributes:
        section: The membership section of the feature file, with the seeds of the last reload.
        core: The membership core.
        receive_budget: Rate limit of received datagrams.
        transport: The socket; None until it is open.
        timer: The pending wake-up of the core, if any.
        timer_due_us: Monotonic time at which the timer was last set to run.
        leave_completed: Set once the core has announced the leave.
        open_task: Opens the socket; None before `start`.
    """

    def __init__(
        self,
        section: MembershipSection,
        local_member: LocalMember,
        telemetry: Telemetry,
        submit: Callable[[events.Event], None],
    ) -> None:
        """Creates the service; `start` opens its socket.

        Args:
            section: The membership section of the feature file.
            local_member: The controller that this process runs.
            telemetry: Log and counters.
            submit: Submits an event to the controller.
        """
        self.section = section
        self.telemetry = telemetry
        self.codec = Codec(section.group)
        self.core = Membership(
            member_facts(section, local_member),
            local_member.seed,
            instance_id=secrets.randbits(62),
            wall_us=time.time_ns() // 1000,
            record_size=self.codec.record_size,
        )
        self.log = MembershipLog(self.core.table, telemetry, submit)
        self.receive_budget = TokenBucket(MAX_DATAGRAMS_PER_SECOND, MAX_DATAGRAM_BURST)
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due_us = 0
        self.leave_completed = asyncio.Event()
        self.open_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to open the socket, in a task."""
        self.open_task = asyncio.create_task(self.open())

    async def open(self) -> None:
        """Opens the socket and starts the core.

        Retries until the address can be bound, since the previous process may still hold it. The
        controller serves proxies meanwhile.
        """
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock = bind_udp_socket(self.section.listen)
                await loop.create_datagram_endpoint(lambda: self, sock=sock)
                break
            except OSError as error:
                self.telemetry.log_once(
                    "membership_address_in_use", address=self.section.listen, why=str(error)
                )
                await asyncio.sleep(BIND_RETRY_INTERVAL_S)
        self.telemetry.log.event(
            "info",
            "membership_open",
            address=self.section.listen,
            group=self.section.group,
            advertised=self.core.facts.address,
            life=self.core.table.own_record().instance_id,
        )
        self.deliver([TickDue()])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the open socket."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decodes a datagram and delivers its message to the core, or counts why it was dropped."""
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
        """Returns whether the IP address belongs to this machine.

        Only this machine may request the member table. With a forged source address, a short
        request could otherwise direct long responses at a third party.
        """
        return host.startswith("127.") or host == host_and_port(self.section.listen)[0]

    def error_received(self, exc: Exception) -> None:
        """Counts a send error, such as a loopback address on which no process listens.

        The core handles it like any other datagram loss.
        """
        self.telemetry.count("membership.send_failed")

    def deliver(self, core_events: list[Event]) -> None:
        """Delivers events to the core and carries out its commands.

        An exception is logged, and the core runs again after `ERROR_RETRY_US`.
        """
        now_us = monotonic_us()
        try:
            for command in self.core.deliver(now_us, core_events):
                self.carry_out(command)
        except Exception as error:
            self.telemetry.record_failure("membership_core", error)
            self.wake_at(now_us + ERROR_RETRY_US)

    def carry_out(self, command: Command) -> None:
        """Carries out one command of the core."""
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
                self.leave_completed.set()

    def send(self, address: str, data: bytes) -> None:
        """Sends a datagram, or counts why it was dropped.

        Nothing is sent or counted while the socket is not open.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        unsent_bytes = transport.get_write_buffer_size()  # type: ignore[attr-defined]  # typeshed lacks it
        if len(data) > MAX_DATAGRAM_BYTES or unsent_bytes > MAX_UNSENT_BYTES:
            self.telemetry.count("membership.dropped.send_buffer_full")
            return
        try:
            transport.sendto(data, parse_socket_address(address))
        except (ValueError, OSError):  # the address in a member record may be invalid
            self.telemetry.count("membership.send_failed")
            return
        self.telemetry.count("membership.datagrams_sent")
        self.telemetry.count("membership.bytes_sent", len(data))

    def wake_at(self, due_us: int) -> None:
        """Sets the core's timer to a monotonic time, in microseconds; replaces a pending one."""
        if self.timer and self.timer_due_us == due_us:
            return
        if self.timer:
            self.timer.cancel()
        self.timer_due_us = due_us
        delay_s = max(0, due_us - monotonic_us()) / SECOND_US
        self.timer = asyncio.get_running_loop().call_later(delay_s, self.on_timer)

    def on_timer(self) -> None:
        """Runs the core at the time that it requested."""
        self.timer = None
        self.deliver([TickDue()])

    def reload(self, section: MembershipSection) -> list[str]:
        """Applies the seeds of a changed feature file.

        Returns:
            The names of all other settings that differ; these take effect after a restart.
        """
        if section.seeds != self.section.seeds:
            self.deliver([SeedsChanged(section.seeds)])
        restart_required = [
            name
            for name in section.__struct_fields__
            if name != "seeds" and getattr(section, name) != getattr(self.section, name)
        ]
        self.section = msgspec.structs.replace(self.section, seeds=section.seeds)
        return [f"membership.{name}" for name in restart_required]

    async def leave(self) -> None:
        """Announces the leave, for at most `LEAVE_TIMEOUT_S`, and closes the socket."""
        if self.open_task:
            self.open_task.cancel()
        if self.transport:
            self.deliver([LeaveRequested()])
            try:
                async with asyncio.timeout(LEAVE_TIMEOUT_S):
                    await self.leave_completed.wait()
            except TimeoutError:
                self.telemetry.count("membership.leave_timed_out")
            self.transport.close()
        if self.timer:
            self.timer.cancel()


@lru_cache(maxsize=MAX_MEMBERS)
def parse_socket_address(address: str) -> tuple[str, int]:
    """Splits "host:port" into host and port.

    A host name is rejected: a member record may contain one, and resolving it would block the event
    loop.

    Raises:
        ValueError: The text is not of the form "host:port".
        OSError: The host is not an IPv4 address.
    """
    host, port = host_and_port(address)
    socket.inet_pton(socket.AF_INET, host)
    return host, port


def bind_udp_socket(address: str) -> socket.socket:
    """Creates a non-blocking UDP socket that is bound to an address ("host:port").

    Raises:
        OSError: The address is in use, or does not belong to this machine.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        # Linux doubles the requested size.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES // 2)
        sock.setblocking(False)
        sock.bind(host_and_port(address))
    except OSError:
        sock.close()
        raise
    return sock
