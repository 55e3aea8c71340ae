"""Stand-ins for proxies, the channel to them and the collectors, as the protocol page has them."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from standin.discovery import Discovery
from standin.hosts import Host
from standin.record import Record

REDIAL_S = 0.3
REQUEST_TIMEOUT_S = 2.0


@dataclass
class Sent:
    """A request that a proxy sent to a host.

    Attributes:
        at: When it was sent, in seconds of the record.
        node: The proxy.
        uid: The host.
        joined_at: When the proxy's stream to its steward began; None: it had none.
        steward: The steward that the proxy was joined to; empty: none.
    """

    at: float
    node: int
    uid: str
    joined_at: float | None
    steward: str


class Channel:
    """The channel of a steward: messages leave one after another at a pace, then travel.

    Attributes:
        waiting: Lines that wait, heads included.
        most_waiting: The most lines that have waited at one time.
    """

    def __init__(self, lines_per_s: float, way_s: float, head: int) -> None:
        """Creates an empty channel."""
        self.lines_per_s = lines_per_s
        self.way_s = way_s
        self.head = head
        self.waiting = 0
        self.most_waiting = 0
        self._free_at = 0.0

    def enqueue(self, lines: int, deliver: Callable[[], None]) -> None:
        """Adds a message; `deliver` is called when it takes effect."""
        loop = asyncio.get_running_loop()
        lines += self.head
        self.waiting += lines
        self.most_waiting = max(self.most_waiting, self.waiting)
        self._free_at = max(self._free_at, loop.time()) + lines / self.lines_per_s
        loop.call_at(self._free_at, self._leave, lines)
        loop.call_at(self._free_at + self.way_s, deliver)

    def _leave(self, lines: int) -> None:
        self.waiting -= lines


class Collector:
    """A zone's collector at one steward: it sends what the steward's proxies of the zone met.

    Attributes:
        zone: The zone.
        tries: Tries since the last report, by host.
    """

    def __init__(self, record: Record, zone: str, cycle_s: float, late_s: float) -> None:
        """Creates a collector that is not connected."""
        self.record = record
        self.zone = zone
        self.cycle_s = cycle_s
        self.late_s = late_s
        self.tries: Counter[str] = Counter()
        self.failed: Counter[str] = Counter()
        self.time_ms: Counter[str] = Counter()

    async def run(self, host: str, port: int) -> None:
        """Connects to a steward and reports to it until cancelled."""
        while True:
            try:
                _, writer = await asyncio.open_connection(host, port)
                writer.write(f"agent locality={self.zone}\r\n".encode())
                while not writer.is_closing():
                    await asyncio.sleep(self.cycle_s)
                    lines = self._lines()
                    await asyncio.sleep(self.late_s)
                    writer.write("".join(lines).encode())
                    await writer.drain()
            except OSError:
                pass
            await asyncio.sleep(REDIAL_S)

    def _lines(self) -> list[str]:
        lines = []
        for uid, total in sorted(self.tries.items()):
            good = total - self.failed[uid]
            rtt = f" rtt={self.time_ms[uid] / good:.1f}" if good else ""
            lines.append(
                f"outcomes locality={self.zone} endpoint={uid} total={total}"
                f" errors={self.failed[uid]}{rtt} interval={1000 * self.cycle_s}\r\n"
            )
        self.tries.clear()
        self.failed.clear()
        self.time_ms.clear()
        return lines


@dataclass
class Stream:
    """A proxy's stream to a steward."""

    writer: asyncio.StreamWriter
    joined_at: float
    steward: str
    parts: list[dict[str, str]] = field(default_factory=list)


class Proxy:
    """One proxy.

    Attributes:
        node: Its number.
        zone: Its zone.
        tables: Weight by host, by class.
        dropped: Hosts that it shuts out.
        spoil: While set, its answers to marks lack a field.
        sent: The requests that it sent.
        redial: Returns how long it waits before it dials again.
    """

    def __init__(
        self,
        record: Record,
        node: int,
        zone: str,
        classes: list[str],
        collectors: dict[str, Collector],
        hosts: dict[str, Host],
    ) -> None:
        """Creates a proxy without a stream and with empty tables.

        Args:
            record: The record of the run.
            node: Its number.
            zone: Its zone.
            classes: The names of the request classes.
            collectors: Its zone's collector at each steward.
            hosts: The hosts by uid.
        """
        self.record = record
        self.node = node
        self.zone = zone
        self.classes = classes
        self.collectors = collectors
        self.hosts = hosts
        self.tables: dict[str, dict[str, float]] = {name: {} for name in classes}
        self.dropped: set[str] = set()
        self.holds_orders = False
        self.spoil = False
        self.spoilt = 0
        self.rate = 5.0
        self.usual_rate = 5.0
        self.usage: Counter[str] = Counter()
        self.sent: list[Sent] = []
        self.random = random.Random(node)
        self.stream: Stream | None = None
        self.messages = 0
        self._served = 0
        self.redial: Callable[[], float] = lambda: REDIAL_S

    # The stream

    async def run(self, address: Callable[[], tuple[str, str, int]], way: "Way") -> None:
        """Keeps a stream to the steward that `address` names, until cancelled."""
        while True:
            name, host, port = address()
            try:
                reader, writer = await asyncio.open_connection(host, port)
                await self._serve_stream(name, reader, writer, way)
            except OSError:
                pass
            await asyncio.sleep(self.redial())

    async def _serve_stream(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: "Way"
    ) -> None:
        cold = 0 if self.holds_orders else 1
        line = f"hello node={self.node} locality={self.zone} w={self.usual_rate} cold={cold}"
        writer.write((line + "\r\n").encode())
        self.stream = Stream(writer, self.record.now(), name)
        self.record.write(f"proxy {self.node} joins {name}: {line}")
        stream = self.stream
        try:
            while data := await reader.readline():
                self._on_line(stream, data.decode().rstrip("\r\n"), way)
        finally:
            self.record.write(f"proxy {self.node} has lost its stream to {name}")
            self.stream = None
            writer.close()

    def _on_line(self, stream: Stream, line: str, way: "Way") -> None:
        kind, *words = line.split(" ")
        self.record.write(f"proxy {self.node} gets {line}")
        if kind != "push":
            raise ConnectionResetError(f"cannot be used: {line}")
        stream.parts.append(dict(word.split("=", 1) for word in words))
        if "part" in stream.parts[-1]:
            return
        parts, stream.parts = stream.parts, []
        channel = way.channels[stream.steward]
        entered_at = self.record.now()
        lines = sum(map(_lines_of, parts))
        channel.enqueue(lines, lambda: self._apply(stream, parts, entered_at, way.discovery))

    def _apply(
        self,
        stream: Stream,
        parts: list[dict[str, str]],
        entered_at: float,
        discovery: Discovery,
    ) -> None:
        if self.stream is not stream:
            return
        self.messages += 1
        for part in parts:
            self._apply_part(part, discovery)
            if "stamp" in part:
                self._answer(stream, part["stamp"], 1000 * (self.record.now() - entered_at))

    def _apply_part(self, part: dict[str, str], discovery: Discovery) -> None:
        names = part["for"].split("+") if "for" in part else self.classes
        for name in names:
            if "replace" in part:
                self.tables[name] = {}
                self.holds_orders = True
            for row in filter(None, part.get("rows", "").split(",")):
                uid, weight = row.rsplit(":", 1)
                assert uid in discovery.known_uids, f"{uid} was never listed"
                self.holds_orders = True
                self.tables[name][uid] = float(weight)
                if not float(weight):
                    del self.tables[name][uid]
        self.dropped.update(filter(None, part.get("drop", "").split(",")))
        self.dropped.difference_update(part.get("undrop", "").split(","))

    def _answer(self, stream: Stream, stamp: str, latency_ms: float) -> None:
        line = f"ack node={self.node} nonce={stamp} latency={latency_ms:.1f}"
        if self.spoil:
            line = f"ack node={self.node} nonce={stamp}"  # a field is missing
            self.spoilt += 1
        self.record.write(f"proxy {self.node} answers {line}")
        stream.writer.write((line + "\r\n").encode())

    async def report_usage(self) -> None:
        """Reports each cycle the classes for which requests came, until cancelled."""
        while True:
            first = next(iter(self.collectors.values()))
            await asyncio.sleep(first.cycle_s)
            for name, total in sorted(self.usage.items()):
                if self.stream:
                    line = f"demand node={self.node} route={name} total={total} errors=0"
                    line += f" interval={1000 * first.cycle_s}\r\n"
                    loop = asyncio.get_running_loop()
                    loop.call_later(first.late_s, self._report, self.stream, line)
            self.usage.clear()

    def _report(self, stream: Stream, line: str) -> None:
        if self.stream is stream and not stream.writer.is_closing():
            self.record.write(f"proxy {self.node} reports {line.rstrip()}")
            stream.writer.write(line.encode())

    # Requests

    async def send_requests(self) -> None:
        """Sends requests at the current rate until cancelled; a rate of 0 sends none."""
        tasks: set[asyncio.Task[None]] = set()
        while True:
            if not self.rate:
                await asyncio.sleep(0.05)
                continue
            await asyncio.sleep(1 / self.rate)
            if self.rate:
                task = asyncio.create_task(self._send_request())
                tasks.add(task)
                task.add_done_callback(tasks.discard)

    def lines(self, name: str) -> dict[str, float]:
        """Returns the lines that can be picked for a class."""
        return {uid: w for uid, w in self.tables[name].items() if uid not in self.dropped}

    async def _send_request(self) -> None:
        name = self.classes[self._served % len(self.classes)]
        self._served += 1
        self.usage[name] += 1
        lines = self.lines(name)
        if not lines:
            self.record.write(f"proxy {self.node} refuses {name}: no line")
            return
        uid = self.random.choices(list(lines), list(lines.values()))[0]
        stream = self.stream
        joined_at = stream.joined_at if stream else None
        steward = stream.steward if stream else ""
        sent_at = self.record.now()
        self.sent.append(Sent(sent_at, self.node, uid, joined_at, steward))
        self.record.write(f"proxy {self.node} sends {name} to {uid}")
        answered = await self._call(uid, f"/{name}/{self.node}/{self._served}")
        collector = self.collectors.get(steward)
        if collector is None:
            return  # it had no stream: no steward is told
        collector.tries[uid] += 1
        if answered:
            collector.time_ms[uid] += round(1000 * (self.record.now() - sent_at))
        else:
            collector.failed[uid] += 1

    async def _call(self, uid: str, target: str) -> bool:
        host, port = self.hosts[uid].endpoint.split(":")
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"GET {target} HTTP/1.1\r\nHost: {uid}\r\n\r\n".encode())
                answer = await reader.readline()
                writer.close()
                return b" 200 " in answer
        except (OSError, TimeoutError):
            return False


@dataclass
class Way:
    """What lies between stewards and proxies: a channel for each steward, and the list."""

    channels: dict[str, Channel]
    discovery: Discovery


def _lines_of(part: dict[str, str]) -> int:
    """Returns the lines that a part counts in the channel."""
    names = ("rows", "drop", "undrop")
    lines = sum(len(list(filter(None, part.get(name, "").split(",")))) for name in names)
    return lines + sum(name in part for name in ("replace", "gate", "stamp"))


def late_requests(
    proxies: list[Proxy], steward: str, ready_at: float, discovery: Discovery, grace_s: float
) -> list[Sent]:
    """Returns the requests that broke the rule on draining hosts.

    The time starts when discovery wrote the change to the steward, when the proxy joined, or 1 s
    after the steward first answered, whichever is last. It is the grace and 300 ms.
    """
    late = []
    for proxy in proxies:
        for sent in proxy.sent:
            told_at = discovery.told_at.get(sent.uid)
            if told_at is None or sent.joined_at is None or sent.steward != steward:
                continue
            begins = max(told_at, sent.joined_at, ready_at + 1.0)
            if sent.at > begins + grace_s + 0.3:
                late.append(sent)
    return late
