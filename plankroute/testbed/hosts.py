"""Stub hosts that count health checks, and stub proxies that hold a routing table."""

import asyncio
import time
from collections import Counter

BIN_S = 0.1  # width of the time bins in which health checks are counted
FIRST_PORT = 9000
HOSTS_PER_PORT = 250  # one on each loopback address; further hosts use the next port
LOAD_REPORT = b"TEXT inflight=2\n"
REQUEST_TIMEOUT_S = 5.0
MAX_PENDING_CONNECTIONS = 512  # listen backlog of a host
MAX_LINE_BYTES = 1 << 21  # a complete table is sent as one line of text
READ_LIMIT_S = 60.0


class StubHosts:
    """Servers that answer health checks, each on its own loopback address and port.

    Attributes:
        addresses: By host number, its address as `host:port`.
        failing: Numbers of the hosts that answer health checks with 503.
        checks: Number of health checks by host number and time bin of `BIN_S`.
        max_connections: The most connections that any host had at the same time.
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
        """Opens the servers of all hosts."""
        for host, address in enumerate(self.addresses):
            server = await self.open_host(host, address)
            self.servers.append(server)

    async def open_host(self, host: int, address: str) -> asyncio.Server:
        """Opens the server of one host."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self.serve(host, reader, writer)

        ip, _, port = address.rpartition(":")
        return await asyncio.start_server(serve, ip, int(port), backlog=MAX_PENDING_CONNECTIONS)

    def restart_clock(self) -> None:
        """Restarts the time from which bins are numbered; counts are kept."""
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
            pass  # the client has closed the connection, or the testbed is closing
        finally:
            self.connections[host] -= 1
            if not writer.is_closing():
                writer.transport.abort()

    def first_bin(self) -> int | None:
        """Returns the bin of the first health check of any host; None if there was none."""
        return min((bin_number for _, bin_number in self.checks), default=None)

    def elapsed_s(self) -> float:
        """Returns the seconds since the start of the first health check's bin; 0 if none."""
        first = self.first_bin()
        if first is None:
            return 0.0
        return time.monotonic() - self.began_s - first * BIN_S

    def checks_by_host(self, within_s: float) -> list[int]:
        """Counts the health checks of each host within a period.

        The period of `within_s` seconds starts with the first health check of any host.
        """
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
    """Joins a controller as a proxy, acknowledges messages, and holds the routing table.

    Attributes:
        number: Number that the proxy reports when it joins.
        withdrawn_s: By host, the monotonic time at which it was first withdrawn, by a drain or by
            weight 0.
        is_bound: Whether any controller has sent a complete table.
        drained: Names of the hosts that the controller has told the proxy to drain.
        weights: The routing table: weight by name of the host.
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
        """Joins once, and reads until the stream ends or `limit_s` seconds have passed."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.port, limit=MAX_LINE_BYTES
            )
            writer.write(self.hello(is_cold=True))
            async with asyncio.timeout(limit_s):
                while line := await reader.readline():
                    self.apply_and_acknowledge(line, writer)
        except (OSError, TimeoutError, ValueError):
            pass  # the controller has closed the stream or does not listen, or the limit is reached

    def hello(self, is_cold: bool) -> bytes:
        """Returns the first line of a stream.

        Args:
            is_cold: Whether the proxy holds no table yet.
        """
        cold = 1 if is_cold else 0
        return f"hello node={self.number} locality={self.zone} w=10.0 cold={cold}\r\n".encode()

    def apply_and_acknowledge(self, line: bytes, writer: asyncio.StreamWriter) -> None:
        """Applies a line from the controller, and acknowledges it if the line asks for that."""
        sequence_number = self.apply_line(line.decode("ascii").split())
        if sequence_number is not None:
            writer.write(f"ack node={self.number} nonce={sequence_number} latency=1.0\r\n".encode())

    def apply_line(self, words: list[str]) -> str | None:
        """Applies a line, split into words, to the table and the drained hosts.

        Returns:
            The sequence number to acknowledge; None if the line has none.
        """
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
        """Returns the share of the proxy's requests for each usable host, by name."""
        usable = {
            name: weight
            for name, weight in self.weights.items()
            if weight > 0 and name not in self.drained
        }
        total = sum(usable.values())
        return {name: weight / total for name, weight in usable.items()}
