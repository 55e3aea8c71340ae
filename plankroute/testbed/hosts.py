"""Stand-in hosts that count probes and connections each 100 ms, and proxies that say hello once and read
on."""

import asyncio
import time
from collections import Counter

BIN_S = 0.1
PORT = 9000
ANSWER = b"TEXT inflight=2\n"
HEAD_S = 5.0


class Hosts:
    """`number` hosts on loopback addresses of one group's own."""

    def __init__(self, number: int, net: int) -> None:
        self.addresses = [
            f"127.251.{net}.{host % 250 + 1}:{PORT + host // 250}" for host in range(number)
        ]
        self.servers: list[asyncio.Server] = []
        self.bad = set[int]()  # those that answer probes with an error
        self.probes: Counter[tuple[int, int]] = Counter()  # by host and bin
        self.open_now: Counter[int] = Counter()
        self.most_open = 0
        self.began_s = time.monotonic()

    async def open(self) -> None:
        for host, address in enumerate(self.addresses):
            where, _, port = address.rpartition(":")

            async def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: int = host
            ) -> None:
                await self.serve(host, reader, writer)

            self.servers.append(await asyncio.start_server(serve, where, int(port), backlog=512))

    def begin(self) -> None:
        self.began_s = time.monotonic()

    async def serve(
        self, host: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open_now[host] += 1
        self.most_open = max(self.most_open, self.open_now[host])
        try:
            async with asyncio.timeout(HEAD_S):
                await reader.readuntil(b"\r\n\r\n")
            self.probes[host, int((time.monotonic() - self.began_s) / BIN_S)] += 1
            said = b"503 No" if host in self.bad else b"200 OK"
            writer.write(
                b"HTTP/1.1 %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s"
                % (said, len(ANSWER), ANSWER)
            )
            await writer.drain()
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.open_now[host] -= 1
            if not writer.is_closing():
                writer.transport.abort()

    def first(self) -> int | None:
        """The bin of the first probe of any host."""
        return min((place for _, place in self.probes), default=None)

    def lasted_s(self) -> float:
        """Since the first probe."""
        first = self.first()
        return 0.0 if first is None else time.monotonic() - self.began_s - first * BIN_S

    def by_host(self, within_s: float) -> list[int]:
        """Probes of each host in so many seconds from the first of all on."""
        out, first = [0] * len(self.addresses), self.first() or 0
        for (host, place), times in self.probes.items():
            if (place - first) * BIN_S < within_s:
                out[host] += times
        return out

    def close(self) -> None:
        for server in self.servers:
            server.close()


class Proxy:
    """Joins a steward as its proxy 0, answers marks, reads on; keeps its table, and when hosts were shut."""

    def __init__(self, host: str, port: int, zone: str) -> None:
        self.host, self.port, self.zone = host, port, zone
        self.shut_s: dict[
            str, float
        ] = {}  # by host's name, when it was first told to send there no more
        self.is_bound = False
        self.out = set[str]()  # hosts held back
        self.rows: dict[str, float] = {}  # its table, by host's name

    async def run(self, read_s: float = 60.0) -> None:
        try:
            reader, writer = await asyncio.open_connection(self.host, self.port, limit=1 << 21)
            writer.write(f"hello node=0 locality={self.zone} w=10.0 cold=1\r\n".encode())
            async with asyncio.timeout(read_s):
                while line := await reader.readline():
                    if (mark := self.take(line.decode("ascii").split())) is not None:
                        writer.write(f"ack node=0 nonce={mark} latency=1.0\r\n".encode())
        except (OSError, TimeoutError, ValueError):
            pass

    def take(self, words: list[str]) -> str | None:
        """The mark that is to be answered, if there is one."""
        said = dict(word.partition("=")[::2] for word in words[1:])
        if "replace" in said:
            self.is_bound, self.rows = True, {}
        rows = [row.rpartition(":")[::2] for row in said.get("rows", "").split(",") if row]
        self.rows |= {name: float(weight) for name, weight in rows}
        for name in [
            *said.get("drop", "").split(","),
            *(name for name, weight in rows if weight == "0"),
        ]:
            self.shut_s.setdefault(name, time.monotonic())
        self.out.update(filter(None, said.get("drop", "").split(",")))
        self.out.difference_update(said.get("undrop", "").split(","))
        return said.get("stamp")

    def shares(self) -> dict[str, float]:
        """The part of its txns that it sends to each host."""
        open_to = {
            name: weight
            for name, weight in self.rows.items()
            if weight > 0 and name not in self.out
        }
        total = sum(open_to.values())
        return {name: weight / total for name, weight in open_to.items()}
