"""A faulty link between each ordered pair of real stewards: a datagram goes on late, twice, or not, as a
script says.

Each steward is known to the others by the address of its link. What comes there from one steward goes on to
the
other from the first one's link, so that nobody sees another's real address; no right beyond an ordinary
user's is
needed."""

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import cast

from plankroute.net.peers.membership import bound
from plankroute.testbed.faults import Script

Address = tuple[str, int]


class Link(asyncio.DatagramProtocol):
    """The far end of one steward, as all others see it."""

    def __init__(self, links: "Links", member: int) -> None:
        self.links, self.member = links, member
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.links.carry(addr, self.member, data)


class Links:
    """`real`, `known`: by member, where it takes datagrams, and where others think that it does."""

    def __init__(
        self,
        real: list[Address],
        known: list[Address],
        script: Script,
        script_us: Callable[[], int | None],
    ) -> None:
        self.real, self.known, self.script, self.script_us = real, known, script, script_us
        self.members = {address: member for member, address in enumerate(real)}
        self.ends: list[Link] = []
        self.carried: Counter[tuple[int, int]] = Counter()
        self.strangers = self.lost = 0

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for member, address in enumerate(self.known):
            _, link = await loop.create_datagram_endpoint(
                lambda member=member: Link(self, member), sock=bound(f"{address[0]}:{address[1]}")
            )
            self.ends.append(link)

    def carry(self, source: Address, receiver: int, data: bytes) -> None:
        sender = self.members.get(source)
        if sender is None:
            self.strangers += 1
            return
        at_us = self.script_us()
        if at_us is None:  # the script has not begun
            self.put(sender, receiver, data)
            return
        number = self.carried[sender, receiver] = self.carried[sender, receiver] + 1
        fates = self.script.fate(at_us, sender, receiver, number)
        self.lost += not fates
        for delay_us in fates:
            if delay_us:
                asyncio.get_running_loop().call_later(
                    delay_us / 1e6, self.put, sender, receiver, data
                )
            else:
                self.put(sender, receiver, data)

    def put(self, sender: int, receiver: int, data: bytes) -> None:
        if (transport := self.ends[sender].transport) and not transport.is_closing():
            transport.sendto(data, self.real[receiver])

    def close(self) -> None:
        for link in self.ends:
            if link.transport:
                link.transport.close()


class Streams:
    """Links of TCP between stewards, slow or cut by script: a cut says nothing, as on a real network."""

    AT_ONCE, LOOK_S = (
        8192,
        0.05,
    )  # bytes carried at a time; how often a cut link looks if it is whole again
    ON_ITS_WAY = (
        16384  # bytes: a slow path's own queue; the kernel's default would hold ten seconds of one
    )

    def __init__(
        self,
        real: list[Address],
        known: list[Address],
        script: Script,
        script_us: Callable[[], int | None],
    ) -> None:
        self.real, self.known, self.script, self.script_us = real, known, script, script_us
        self.members = {address[0]: member for member, address in enumerate(known)}
        self.servers: list[asyncio.Server] = []
        self.writers = set[asyncio.StreamWriter]()
        self.opened: Counter[tuple[int, int]] = Counter()

    async def open(self) -> None:
        for member, address in enumerate(self.known):
            self.servers.append(
                await asyncio.start_server(
                    partial(self.serve, member), limit=self.AT_ONCE, sock=self.end(address)
                )
            )

    def end(self, address: Address | None = None) -> socket.socket:
        """Bound where it is to listen; else about to dial."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.ON_ITS_WAY // 2)  # it is doubled
        if address:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
        sock.setblocking(False)
        return sock

    async def serve(
        self, receiver: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sender = self.members.get(writer.get_extra_info("peername")[0], -1)
        self.opened[sender, receiver] += 1
        ends = [writer]
        try:
            sock = self.end()
            await asyncio.get_running_loop().sock_connect(sock, self.real[receiver])
            far_reader, far = await asyncio.open_connection(sock=sock, limit=self.AT_ONCE)
            ends.append(far)
            self.writers.update(ends)
            ways = [
                asyncio.create_task(self.carry(reader, far, sender, receiver)),
                asyncio.create_task(self.carry(far_reader, writer, receiver, sender)),
            ]
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            for way in ways:
                way.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for end in ends:
                end.transport.abort()
            self.writers.difference_update(ends)

    async def carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sender: int, receiver: int
    ) -> None:
        try:
            while data := await reader.read(self.AT_ONCE):
                while (pace := self.script.pace(self.script_us() or 0, sender, receiver)) == 0.0:
                    await asyncio.sleep(self.LOOK_S)
                writer.write(data)
                await writer.drain()
                if pace:
                    await asyncio.sleep(len(data) / pace)
        except OSError:
            pass  # an end: the other way ends with it

    def close(self) -> None:
        for server in self.servers:
            server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def sender_socket() -> socket.socket:
    """Of somebody who belongs to nobody: for noise."""
    return socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
