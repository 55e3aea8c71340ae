"""Relays between real controllers that inject faults: loss, delay, low bandwidth and cuts.

Each controller advertises the address of its relay instead of its own. A datagram that arrives
there is forwarded from the address of the sender's relay, so that the receiver does not see the
sender's own address either. This needs no privileges.
"""

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import cast

from plankroute.net.peers.membership import bind_udp_socket
from plankroute.testbed.faults import Script

Address = tuple[str, int]
ScriptClock = Callable[[], int | None]

CHUNK_BYTES = 8192  # most bytes of a stream that are forwarded at a time
CUT_POLL_INTERVAL_S = 0.05  # how often a cut stream checks whether the cut is over
# Receive buffer of a relayed stream. With the kernel's default, it would hold the data of ten
# seconds on a slow link.
PATH_QUEUE_BYTES = 16384


class LinkEnd(asyncio.DatagramProtocol):
    """The UDP endpoint of one controller's relay."""

    def __init__(self, links: "DatagramLinks", member: int) -> None:
        self.links = links
        self.member = member
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Forwards a datagram."""
        self.links.forward(addr, self.member, data)


class DatagramLinks:
    """The relays for the membership datagrams of a group.

    Attributes:
        listen_addresses: By member, the address on which it receives datagrams.
        advertised_addresses: By member, the address of its relay.
        script: The faults to inject.
        script_us: Returns the microseconds since the start of the script; None before its start.
        datagram_counts: By sender and receiver, datagrams since the start of the script.
        unknown_senders: Number of datagrams that came from no member; they are dropped.
        lost: Number of datagrams that were dropped by the script.
    """

    def __init__(
        self,
        listen_addresses: list[Address],
        advertised_addresses: list[Address],
        script: Script,
        script_us: ScriptClock,
    ) -> None:
        self.listen_addresses = listen_addresses
        self.advertised_addresses = advertised_addresses
        self.script = script
        self.script_us = script_us
        self.members = {address: member for member, address in enumerate(listen_addresses)}
        self.ends: list[LinkEnd] = []
        self.datagram_counts: Counter[tuple[int, int]] = Counter()
        self.unknown_senders = 0
        self.lost = 0

    async def open(self) -> None:
        """Opens the relays of all members."""
        loop = asyncio.get_running_loop()
        for member, (host, port) in enumerate(self.advertised_addresses):
            _, end = await loop.create_datagram_endpoint(
                partial(LinkEnd, self, member), sock=bind_udp_socket(f"{host}:{port}")
            )
            self.ends.append(end)

    def forward(self, source: Address, receiver: int, data: bytes) -> None:
        """Forwards a datagram with the faults of the script; without faults before its start."""
        sender = self.members.get(source)
        if sender is None:
            self.unknown_senders += 1
            return
        at_us = self.script_us()
        if at_us is None:
            self.deliver(sender, receiver, data)
            return
        self.datagram_counts[sender, receiver] += 1
        delays_us = self.script.delivery_delays_us(
            at_us, sender, receiver, self.datagram_counts[sender, receiver]
        )
        if not delays_us:
            self.lost += 1
        for delay_us in delays_us:
            if delay_us:
                loop = asyncio.get_running_loop()
                loop.call_later(delay_us / 1e6, self.deliver, sender, receiver, data)
            else:
                self.deliver(sender, receiver, data)

    def deliver(self, sender: int, receiver: int, data: bytes) -> None:
        """Sends a datagram to its receiver, from the address of the sender's relay."""
        transport = self.ends[sender].transport
        if transport and not transport.is_closing():
            transport.sendto(data, self.listen_addresses[receiver])

    def close(self) -> None:
        """Closes all relays."""
        for end in self.ends:
            if end.transport:
                end.transport.close()


class StreamLinks:
    """Relays for the TCP links between controllers, which the script slows down or cuts.

    A cut stream stays open and transfers nothing, as on a real network.

    Attributes:
        opened: By the member that connects and the one that accepts, the number of streams.
    """

    def __init__(
        self,
        listen_addresses: list[Address],
        advertised_addresses: list[Address],
        script: Script,
        script_us: ScriptClock,
    ) -> None:
        self.listen_addresses = listen_addresses
        self.advertised_addresses = advertised_addresses
        self.script = script
        self.script_us = script_us
        self.members = {address[0]: member for member, address in enumerate(advertised_addresses)}
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.opened: Counter[tuple[int, int]] = Counter()

    async def open(self) -> None:
        """Opens the relays of all members."""
        for member, address in enumerate(self.advertised_addresses):
            server = await asyncio.start_server(
                partial(self.serve, member), limit=CHUNK_BYTES, sock=listening_socket(address)
            )
            self.servers.append(server)

    async def serve(
        self, receiver: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards a stream in both directions until one of them ends, then closes it."""
        sender = self.members.get(writer.get_extra_info("peername")[0], -1)
        self.opened[sender, receiver] += 1
        writers = [writer]
        try:
            sock = short_queue_socket()
            await asyncio.get_running_loop().sock_connect(sock, self.listen_addresses[receiver])
            far_reader, far_writer = await asyncio.open_connection(sock=sock, limit=CHUNK_BYTES)
            writers.append(far_writer)
            self.writers.update(writers)
            directions = [
                asyncio.create_task(self.forward(reader, far_writer, sender, receiver)),
                asyncio.create_task(self.forward(far_reader, writer, receiver, sender)),
            ]
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            for direction in directions:
                direction.cancel()
        except (OSError, asyncio.CancelledError):
            pass  # a controller has closed its end, or the testbed is closing
        finally:
            for end in writers:
                end.transport.abort()
            self.writers.difference_update(writers)

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sender: int, receiver: int
    ) -> None:
        """Forwards one direction of a stream, at the bandwidth of the script."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                bandwidth = self.bandwidth(sender, receiver)
                while bandwidth == 0.0:
                    await asyncio.sleep(CUT_POLL_INTERVAL_S)
                    bandwidth = self.bandwidth(sender, receiver)
                writer.write(data)
                await writer.drain()
                if bandwidth:
                    await asyncio.sleep(len(data) / bandwidth)
        except OSError:
            pass  # a controller has closed its end; `serve` ends the other direction as well

    def bandwidth(self, sender: int, receiver: int) -> float | None:
        """Returns the present bandwidth in bytes per second: 0 if cut, None if unlimited."""
        return self.script.bandwidth(self.script_us() or 0, sender, receiver)

    def close(self) -> None:
        """Closes all relays and aborts their streams."""
        for server in self.servers:
            server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def short_queue_socket() -> socket.socket:
    """Returns a non-blocking TCP socket with a receive buffer of `PATH_QUEUE_BYTES`."""
    sock = socket.socket()
    # The kernel doubles the size that is set.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PATH_QUEUE_BYTES // 2)
    sock.setblocking(False)
    return sock


def listening_socket(address: Address) -> socket.socket:
    """Returns a TCP socket bound to an address; accepted sockets inherit its small buffer."""
    sock = short_queue_socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    return sock


def non_member_socket() -> socket.socket:
    """Returns a UDP socket that belongs to no member, to send invalid datagrams from."""
    return socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
