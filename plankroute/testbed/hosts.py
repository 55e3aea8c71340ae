"""Stub hosts that count health checks, and stub proxies that hold the table they are sent."""

import asyncio
import time
from collections import Counter

BIN_S = 0.1  # in which health checks are counted
FIRST_PORT = 9000
HOSTS_PER_PORT = 250  # loopback addresses of one network that hosts use
LOAD_REPORT = b"TEXT inflight=2\n"
REQUEST_TIMEOUT_S = 5.0
BACKLOG = 512  # connections that may wait at a host
MAX_LINE_BYTES = 1 << 21  # a whole table is one line
READ_LIMIT_S = 60.0


class StubHosts:
    """Servers that answer health checks, on loopback addresses of their own network.

    Attributes:
        addresses: By place, host and port.
        failing: Places of hosts that answer health checks with an error.
        checks: Health checks by host and by bin of `BIN_S`.
        max_connections: The most connections that a host had at once.
    """

    def __init__(self, count: int, loopback_net: int) -> None:
        self.addresses = [
            f"127.251.{loopback_net}.{host % HOSTS_PER_PORT + 1}"
            f":{FIRST_PORT + host // HOSTS_PER_PORT}"
            for host in range(count)
        ]
        self.servers: list[asyncio.Server] = []
        self.failing: set[int] = set()
        self.checks: Counter[tuple[int, int]] = Counter()
        self.connections: Counter[int] = Counter()
        self.max_connections = 0
        self.began_s = time.monotonic()

    async def open(self) -> None:
        """Opens all servers."""
        for host, address in enumerate(self.addresses):
            server = await self.open_host(host, address)
            self.servers.append(server)

    async def open_host(self, host: int, address: str) -> asyncio.Server:
        """Opens one server."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self.serve(host, reader, writer)

        ip, _, port = address.rpartition(":")
        return await asyncio.start_server(serve, ip, int(port), backlog=BACKLOG)

    def restart_clock(self) -> None:
        """Counts from now on."""
        self.began_s = time.monotonic()

    async def serve(
        self, host: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one health check and closes the connection."""
        self.connections[host] += 1
        self.max_connections = max(self.max_connections, self.connections[host])
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await reader.readuntil(b"\r\n\r\n")
            self.checks[host, int((time.monotonic() - self.began_s) / BIN_S)] += 1
            status = b"503 No" if host in self.failing else b"200 OK"
            writer.write(
                b"HTTP/1.1 %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s"
                % (status, len(LOAD_REPORT), LOAD_REPORT)
            )
            await writer.drain()
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the caller, or the testbed, has ended
        finally:
            self.connections[host] -= 1
            if not writer.is_closing():
                writer.transport.abort()

    def first_bin(self) -> int | None:
        """The bin of the first health check of any host."""
        return min((bin_number for _, bin_number in self.checks), default=None)

    def elapsed_s(self) -> float:
        """Seconds since the first health check."""
        first = self.first_bin()
        if first is None:
            return 0.0
        return time.monotonic() - self.began_s - first * BIN_S

    def checks_by_host(self, within_s: float) -> list[int]:
        """Health checks of each host, in so many seconds from the first of all."""
        counts = [0] * len(self.addresses)
        first = self.first_bin() or 0
        for (host, bin_number), times in self.checks.items():
            if (bin_number - first) * BIN_S < within_s:
                counts[host] += times
        return counts

    def close(self) -> None:
        """Closes all servers."""
        for server in self.servers:
            server.close()


class StubProxy:
    """Joins a controller as its proxy, acknowledges what it is sent, and holds its table.

    Attributes:
        number: The proxy's number at its controller.
        withdrawn_s: By host, the steady time at which it was first told to send nothing there.
        is_bound: Whether a controller has sent a table.
        drained: Hosts that it was told to drain.
        weights: Its table, by host.
    """

    def __init__(self, host: str, port: int, zone: str, number: int = 0) -> None:
        self.host = host
        self.port = port
        self.zone = zone
        self.number = number
        self.withdrawn_s: dict[str, float] = {}
        self.is_bound = False
        self.drained: set[str] = set()
        self.weights: dict[str, float] = {}

    async def run(self, limit_s: float = READ_LIMIT_S) -> None:
        """Joins once, and reads until the stream ends or the limit is over."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.port, limit=MAX_LINE_BYTES
            )
            writer.write(self.hello(is_cold=True))
            async with asyncio.timeout(limit_s):
                while line := await reader.readline():
                    self.take_and_acknowledge(line, writer)
        except (OSError, TimeoutError, ValueError):
            pass  # the controller has ended

    def hello(self, is_cold: bool) -> bytes:
        """The first line of a stream; a cold proxy holds no table."""
        cold = 1 if is_cold else 0
        return f"hello node={self.number} locality={self.zone} w=10.0 cold={cold}\r\n".encode()

    def take_and_acknowledge(self, line: bytes, writer: asyncio.StreamWriter) -> None:
        """Takes a line of the controller, and answers if it asks for an acknowledgement."""
        sequence_number = self.take(line.decode("ascii").split())
        if sequence_number is not None:
            writer.write(f"ack node={self.number} nonce={sequence_number} latency=1.0\r\n".encode())

    def take(self, words: list[str]) -> str | None:
        """Takes a line; returns the sequence number that is to be acknowledged, if there is one."""
        fields = dict(word.partition("=")[::2] for word in words[1:])
        if "replace" in fields:
            self.is_bound = True
            self.weights = {}
        rows = [row.rpartition(":")[::2] for row in fields.get("rows", "").split(",") if row]
        for name, weight in rows:
            self.weights[name] = float(weight)
        drained = fields.get("drop", "").split(",")
        no_longer_drained = fields.get("undrop", "").split(",")
        without_weight = [name for name, weight in rows if weight == "0"]
        for name in [*drained, *without_weight]:
            self.withdrawn_s.setdefault(name, time.monotonic())
        self.drained.update(name for name in drained if name)
        self.drained.difference_update(no_longer_drained)
        return fields.get("stamp")

    def shares(self) -> dict[str, float]:
        """The share of its requests that it sends to each host."""
        usable = {
            name: weight
            for name, weight in self.weights.items()
            if weight > 0 and name not in self.drained
        }
        total = sum(usable.values())
        return {name: weight / total for name, weight in usable.items()}
