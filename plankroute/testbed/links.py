"""Faulty links between real controllers: datagrams and streams are delayed, doubled or cut.

Each controller is known to the others by the address of its link. What arrives there from one
controller is passed on from the first one's link, so that nobody sees another's real address. No
rights beyond those of an ordinary user are needed.
"""

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import cast

from plankroute.net.peers.membership import bound
from plankroute.testbed.faults import Script

Address = tuple[str, int]
ScriptClock = Callable[[], int | None]

CHUNK_BYTES = 8192  # of a stream, passed on at a time
CUT_POLL_INTERVAL_S = 0.05  # how often a cut stream looks whether it is whole again
# Bytes: the queue of a slow path. The kernel's default would hold ten seconds of one.
PATH_QUEUE_BYTES = 16384


class LinkEnd(asyncio.DatagramProtocol):
    """The address of one controller's link."""

    def __init__(self, links: "DatagramLinks", member: int) -> None:
        self.links = links
        self.member = member
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Passes a datagram on."""
        self.links.carry(addr, self.member, data)


class DatagramLinks:
    """The links of a group's membership.

    Attributes:
        listen_addresses: By member, where it receives datagrams.
        advertised_addresses: By member, where others think that it does.
        script: What happens to datagrams.
        script_us: Microseconds since the start of the script; None: it has not started.
        carried: By sender and receiver, the number of datagrams.
        strangers: Datagrams from none of the members.
        lost: Datagrams that the script lost.
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
        self.carried: Counter[tuple[int, int]] = Counter()
        self.strangers = 0
        self.lost = 0

    async def open(self) -> None:
        """Opens all links."""
        loop = asyncio.get_running_loop()
        for member, (host, port) in enumerate(self.advertised_addresses):
            _, end = await loop.create_datagram_endpoint(
                partial(LinkEnd, self, member), sock=bound(f"{host}:{port}")
            )
            self.ends.append(end)

    def carry(self, source: Address, receiver: int, data: bytes) -> None:
        """Gives a datagram the fate that the script has for it."""
        sender = self.members.get(source)
        if sender is None:
            self.strangers += 1
            return
        at_us = self.script_us()
        if at_us is None:
            self.deliver(sender, receiver, data)
            return
        self.carried[sender, receiver] += 1
        delays_us = self.script.delivery_delays_us(
            at_us, sender, receiver, self.carried[sender, receiver]
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
        """Sends a datagram to its receiver, from the sender's link."""
        transport = self.ends[sender].transport
        if transport and not transport.is_closing():
            transport.sendto(data, self.listen_addresses[receiver])

    def close(self) -> None:
        """Closes all links."""
        for end in self.ends:
            if end.transport:
                end.transport.close()


class StreamLinks:
    """TCP links between controllers, slow or cut by script.

    A cut stream stays open and carries nothing, as on a real network.

    Attributes:
        opened: By sender and receiver, the number of streams.
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
        """Opens all links."""
        for member, address in enumerate(self.advertised_addresses):
            server = await asyncio.start_server(
                partial(self.serve, member), limit=CHUNK_BYTES, sock=listening_socket(address)
            )
            self.servers.append(server)

    async def serve(
        self, receiver: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Passes a stream on, both ways, until one of them ends."""
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
                asyncio.create_task(self.carry(reader, far_writer, sender, receiver)),
                asyncio.create_task(self.carry(far_reader, writer, receiver, sender)),
            ]
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            for direction in directions:
                direction.cancel()
        except (OSError, asyncio.CancelledError):
            pass  # an end is gone, or the testbed ends
        finally:
            for end in writers:
                end.transport.abort()
            self.writers.difference_update(writers)

    async def carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sender: int, receiver: int
    ) -> None:
        """Passes one direction on, at the pace of the script."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                pace = self.pace(sender, receiver)
                while pace == 0.0:
                    await asyncio.sleep(CUT_POLL_INTERVAL_S)
                    pace = self.pace(sender, receiver)
                writer.write(data)
                await writer.drain()
                if pace:
                    await asyncio.sleep(len(data) / pace)
        except OSError:
            pass  # an end is gone: the other direction ends with it

    def pace(self, sender: int, receiver: int) -> float | None:
        """Bytes a second that way now: 0 where it is cut, None for no bound."""
        return self.script.pace(self.script_us() or 0, sender, receiver)

    def close(self) -> None:
        """Closes all links."""
        for server in self.servers:
            server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def short_queue_socket() -> socket.socket:
    """A TCP socket that does not block and holds little."""
    sock = socket.socket()
    # The kernel doubles the size.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PATH_QUEUE_BYTES // 2)
    sock.setblocking(False)
    return sock


def listening_socket(address: Address) -> socket.socket:
    """A TCP socket that is bound to an address; what it accepts holds little."""
    sock = short_queue_socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    return sock


def non_member_socket() -> socket.socket:
    """A UDP socket that belongs to no member: for noise."""
    return socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
