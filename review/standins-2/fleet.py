"""Stand-ins for one small deployment: discovery, hosts, proxies, collectors, and the real steward.

The steward is started as its own process with the command of the deploy file. All others run in
this process on loopback addresses, in real time, and do what the users' protocol page allows them.
Names of this module are the users' own: steward, host, proxy, stream, class, told.
"""

import asyncio
import json
import logging
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
KEEPALIVE_S = 2.0  # discovery writes an empty line so often while nothing changes
TOLD_AT_MOST_S = 6.0  # a change counts as told so long after it happened, arrived or not
SOCKET_SLACK_S = 0.3  # the time limits of the rules are so much longer on sockets
START_SLACK_S = 1.0  # they start no sooner than this after the steward first answered
RUN_LIMIT_S = 115.0
READY_LIMIT_S = 30.0
STEP_S = 0.05
HELD, BROKEN, NOT_RUN = 0, 10, 2  # run.sh turns BROKEN into 1, so that no error looks like it

Json = dict[str, Any]


def has_trouble() -> bool:
    """Returns whether the disruption is wanted; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(address: str = LOOPBACK) -> int:
    """Returns a port of a loopback address that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return int(probe.getsockname()[1])


def common_port(addresses: list[str], kind: socket.SocketKind) -> int:
    """Returns a port that is free at all of these loopback addresses."""
    for _ in range(200):
        port = random.randrange(20000, 32000)
        with ExitStack() as stack:
            try:
                for address in addresses:
                    probe = stack.enter_context(socket.socket(socket.AF_INET, kind))
                    probe.bind((address, port))
            except OSError:
                continue
            return port
    raise CaseNotRunError("no port is free")


class CaseNotRunError(Exception):
    """The case could not run, which says nothing of the rule."""


class Record:
    """What was sent, answered and run, one line an event, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self.start

    def unix_ms(self) -> int:
        """Returns the time as Unix time in milliseconds, as `boot_ms` has it."""
        return int(1000 * time.time())

    def write(self, text: str) -> None:
        """Writes one line."""
        self.file.write(f"{self.now():9.3f}  {text[:600]}\n")
        self.file.flush()


# Discovery and hosts


@dataclass
class Host:
    """A host: its entry in the list, and whether its process runs.

    It listens at a port of its own and answers probes with 200 and a load report.
    """

    uid: str
    zone: str
    model: str = "m1"
    state: str = "SERVING"
    boot_ms: int = 0
    is_up: bool = True
    report: str = ""
    port: int = 0
    server: asyncio.Server | None = None

    async def open(self) -> None:
        """Starts to listen, at the same port as before."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_up = True

    def close(self) -> None:
        """Ends the process: new connections are refused."""
        self.is_up = False
        if self.server:
            self.server.close()
            self.server = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers one probe."""
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            body = self.report.encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
        writer.close()

    def entry(self) -> Json:
        """Returns the host's entry in discovery's form."""
        return {
            "uid": self.uid,
            "endpoint": f"{LOOPBACK}:{self.port}",
            "az": self.zone,
            "model": self.model,
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }


class Agent:
    """Discovery's agent on the machine of one steward.

    Attributes:
        is_silent: While set, it accepts connections and says nothing.
        told: By host and revision of its change, when that change was written to the steward.
    """

    def __init__(self, name: str, hosts: list[Host], record: Record) -> None:
        self.name = name
        self.record = record
        self.entries = {host.uid: host.entry() for host in hosts}
        self.rev = 41
        self.first_rev = 41
        self.changes: list[tuple[int, Json]] = []
        self.watches: dict[asyncio.StreamWriter, int] = {}
        self.waiting: list[tuple[asyncio.StreamWriter, int]] = []
        self.is_silent = False
        self.told: dict[tuple[str, int], float] = {}
        self.address = ""
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"

    def known(self) -> Json:
        """Returns the complete list, as a configuration holds it."""
        return {"rev": self.rev, "all": True, "targets": list(self.entries.values())}

    def change(self, hosts: list[Host]) -> int:
        """Publishes the present entries of hosts as one change; returns its revision."""
        self.rev += 1
        for host in hosts:
            entry = host.entry()
            self.changes.append((self.rev, entry))
            self.entries[host.uid] = entry
            if host.state == "DELETED":
                del self.entries[host.uid]
        states = ", ".join(f"{host.uid} {host.state}" for host in hosts)
        self.record.write(f"discovery of {self.name}: revision {self.rev}: {states}")
        if not self.is_silent:
            self.tell_all()
        return self.rev

    def tell_all(self) -> None:
        """Writes what is new to the open watches."""
        for writer, rev in list(self.watches.items()):
            self.tell(writer, rev)

    def tell(self, writer: asyncio.StreamWriter, rev: int) -> None:
        """Writes the changes after a revision to one watch."""
        if writer.is_closing() or rev == self.rev:
            return
        if self.first_rev <= rev <= self.rev:
            targets = {entry["uid"]: entry for at, entry in self.changes if at > rev}
            listed = {"rev": self.rev, "all": False, "targets": list(targets.values())}
        else:
            listed = self.known()
        write_chunk(writer, json.dumps(listed).encode() + b"\n")
        self.watches[writer] = self.rev
        for at, entry in self.changes:
            if at > rev:
                self.told.setdefault((entry["uid"], at), self.record.now())

    def set_silent(self, is_silent: bool) -> None:
        """Makes the agent silent, or lets it speak again: it then answers what waits."""
        self.is_silent = is_silent
        self.record.write(f"discovery of {self.name}: {'silent' if is_silent else 'answers'}")
        if not is_silent:
            waiting, self.waiting = self.waiting, []
            for writer, after in waiting:
                self.begin_watch(writer, after)
            self.tell_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode("ascii")
            query = dict(word.partition("=")[::2] for word in target.partition("?")[2].split("&"))
            if query.get("watch") != "1":
                if not self.is_silent:
                    body = json.dumps(self.known()).encode()
                    head_out = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                    writer.write(head_out.encode() + body)
                await reader.read()
                return
            after = int(query.get("after") or 0)
            if self.is_silent:
                self.waiting.append((writer, after))
            else:
                self.begin_watch(writer, after)
            keepalive = asyncio.create_task(self.keep_alive(writer))
            try:
                await reader.read()
            finally:
                keepalive.cancel()
        self.watches.pop(writer, None)
        self.waiting = [item for item in self.waiting if item[0] is not writer]
        writer.transport.abort()

    def begin_watch(self, writer: asyncio.StreamWriter, after: int) -> None:
        """Answers a watch: the head, then what is new."""
        if writer.is_closing():
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        write_chunk(writer, b"\n")
        self.watches[writer] = after
        self.tell(writer, after)

    async def keep_alive(self, writer: asyncio.StreamWriter) -> None:
        """Writes an empty line every two seconds, unless the agent is silent."""
        while True:
            await asyncio.sleep(KEEPALIVE_S)
            if not self.is_silent and writer in self.watches:
                write_chunk(writer, b"\n")


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes one chunk of a chunked answer."""
    if not writer.is_closing():
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))


# The channel and the proxies


class Channel:
    """The channel of one steward: messages leave one after another and arrive later, in order."""

    def __init__(self, lines_per_s: float, way_s: float) -> None:
        self.lines_per_s = lines_per_s
        self.way_s = way_s
        self.queue: deque[tuple[float, Callable[[], bool], Callable[[], None]]] = deque()
        self.free_at = 0.0
        self.is_sending = False

    def enter(self, lines: float, is_wanted: Callable[[], bool], apply: Callable[[], None]) -> None:
        """Adds a message whose last byte has arrived."""
        self.queue.append((lines, is_wanted, apply))
        if not self.is_sending:
            self.free_at = asyncio.get_running_loop().time()
            self.send_next()

    def send_next(self) -> None:
        """Sends the oldest message whose stream still stands."""
        while self.queue and not self.queue[0][1]():
            self.queue.popleft()
        self.is_sending = bool(self.queue)
        if self.queue:
            self.free_at += self.queue[0][0] / self.lines_per_s
            asyncio.get_running_loop().call_at(self.free_at, self.finish)

    def finish(self) -> None:
        """Lets the message that has left the channel arrive later, and sends the next one."""
        if self.queue:
            _, is_wanted, apply = self.queue.popleft()
            loop = asyncio.get_running_loop()
            loop.call_at(self.free_at + self.way_s, lambda: is_wanted() and apply())
        self.send_next()


@dataclass
class Sent:
    """A request that a joined proxy sent to a host."""

    at: float
    proxy: int
    request_class: str
    uid: str


class Proxy:
    """A proxy. It keeps tables and shut-out hosts across streams, as the protocol page says.

    Attributes:
        tables: By class, weight by host.
        shut_out: Hosts that a steward told it to shut out.
        is_cold: Whether it holds no table that was ordered.
        joined_at: When its present stream began; None while it has none.
        redial_s: How long after noticing a break it dials again.
    """

    def __init__(self, fleet: "Fleet", number: int, zone: str) -> None:
        self.fleet = fleet
        self.number = number
        self.zone = zone
        self.random = random.Random(number)
        self.tables: dict[str, dict[str, float]] = {}
        self.shut_out: set[str] = set()
        self.is_cold = True
        self.joined_at: float | None = None
        self.steward: Steward | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.redial_s = 0.2
        self.notice_s = 0.0
        self.demand: Counter[str] = Counter()
        self.task: asyncio.Task[None] | None = None

    def start(self, stewards: list["Steward"]) -> None:
        """Starts the process with a small standing table of listed hosts."""
        self.is_cold = True
        self.shut_out = set()
        ready = [host for host in self.fleet.hosts if host.state == "SERVING"]
        near = [host for host in ready if host.zone == self.zone]
        pool = near if len(near) >= 3 else ready
        standing = self.random.sample(pool, min(self.fleet.site.standing, len(pool)))
        self.tables = {
            name: {host.uid: 1.0 for host in standing if not is_local or host.zone == self.zone}
            for name, is_local in self.fleet.site.classes.items()
        }
        self.fleet.record.write(
            f"proxy {self.number} starts in {self.zone} with {sorted(h.uid for h in standing)}"
        )
        self.task = self.fleet.run_task(self.stay_joined(stewards))

    def stop(self) -> None:
        """Ends the process: its stream is reset."""
        self.fleet.record.write(f"proxy {self.number} dies")
        if self.task:
            self.task.cancel()
        self.leave()

    def leave(self) -> None:
        """Ends the present stream."""
        self.joined_at = None
        self.steward = None
        if self.writer:
            self.writer.transport.abort()
            self.writer = None

    def break_stream(self, notice_s: float) -> None:
        """Breaks the stream; the proxy notices that after a while and dials again."""
        self.fleet.record.write(f"stream of proxy {self.number} breaks")
        self.notice_s = notice_s
        self.leave()

    async def stay_joined(self, stewards: list["Steward"]) -> None:
        """Joins one steward after another until cancelled."""
        target = self.number % len(stewards)
        while True:
            try:
                await self.join(stewards[target])
            except (OSError, ValueError):
                pass  # nobody listens there, or the stream broke
            finally:
                self.leave()
            await asyncio.sleep(self.notice_s + self.redial_s)
            self.notice_s = 0.0
            target = (target + 1) % len(stewards)

    async def join(self, steward: "Steward") -> None:
        """Opens a stream, and follows its orders until it ends."""
        reader, writer = await asyncio.open_connection(steward.address, steward.port, limit=1 << 21)
        cold = int(self.is_cold)
        hello = f"hello node={self.number} locality={self.zone} w=9.0 cold={cold}"
        writer.write(hello.encode() + b"\r\n")
        self.writer = writer
        self.steward = steward
        self.joined_at = self.fleet.record.now()
        note = f" shut out: {sorted(self.shut_out)}" if self.shut_out else ""
        self.fleet.record.write(f"-> {steward.name}: {hello}{note}")
        parts: list[str] = []
        while line := await reader.readline():
            text = line.decode("ascii").rstrip("\r\n")
            if not text.startswith("push"):
                continue
            parts.append(text)
            if " part=1" in text:
                continue
            self.enter(steward, writer, parts)
            parts = []

    def enter(self, steward: "Steward", writer: asyncio.StreamWriter, parts: list[str]) -> None:
        """Puts a complete message into the steward's channel."""
        self.fleet.record.write(f"{steward.name} -> proxy {self.number}: {' | '.join(parts)}")

        def apply() -> None:
            for part in parts:
                nonce = self.apply(part)
                if nonce and not writer.is_closing():
                    ack = f"ack node={self.number} nonce={nonce} latency=200.0\r\n"
                    writer.write(ack.encode())

        lines = self.fleet.site.head + sum(map(line_count, parts))
        steward.channel.enter(lines, lambda: self.writer is writer, apply)

    def apply(self, part: str) -> str | None:
        """Applies one part of a message; returns the mark that is to be answered."""
        fields = dict(word.partition("=")[::2] for word in part.split(" ")[1:])
        names = fields["for"].split("+") if "for" in fields else list(self.tables)
        rows = [row.rpartition(":")[::2] for row in fields.get("rows", "").split(",") if row]
        for name in names:
            if "replace" in fields:
                self.tables[name] = {}
            if "replace" in fields or rows:
                self.is_cold = False
            for uid, weight in rows:
                self.tables[name].pop(uid, None)
                if float(weight) > 0:
                    self.tables[name][uid] = float(weight)
        self.shut_out |= {uid for uid in fields.get("drop", "").split(",") if uid}
        self.shut_out -= {uid for uid in fields.get("undrop", "").split(",") if uid}
        return fields.get("stamp")

    def usable(self, name: str) -> dict[str, float]:
        """Returns the lines of a class from which the proxy may pick."""
        return {
            uid: weight for uid, weight in self.tables[name].items() if uid not in self.shut_out
        }

    def has_line(self, name: str) -> bool:
        """Returns whether there is a line of a class from which the proxy may pick."""
        return any(uid not in self.shut_out for uid in self.tables[name])

    def send_requests(self) -> None:
        """Sends one request of each class to a host picked by weight, while it is joined."""
        for name in self.tables:
            self.demand[name] += 1
            lines = self.usable(name)
            if not lines:
                continue
            uid = self.random.choices(list(lines), list(lines.values()))[0]
            if self.joined_at is not None:
                self.fleet.on_sent(self, name, uid)

    def report_demand(self) -> None:
        """Reports on its stream the requests of the last second."""
        if self.writer and not self.writer.is_closing():
            for name, total in self.demand.items():
                line = f"demand node={self.number} route={name} total={total} errors=0"
                self.writer.write(f"{line} interval=1000.0\r\n".encode())
        self.demand.clear()


def line_count(part: str) -> int:
    """Returns how many lines of the channel one part of a message counts."""
    fields = dict(word.partition("=")[::2] for word in part.split(" ")[1:])
    listed = sum(
        len(fields[name].split(",")) for name in ("rows", "drop", "undrop") if name in fields
    )
    return listed + sum(name in fields for name in ("replace", "gate", "stamp"))


# The steward


class Steward:
    """A real steward, as a process of its own, started by `run` of the deploy file."""

    def __init__(self, fleet: "Fleet", name: str, rank: int) -> None:
        self.fleet = fleet
        self.name = name
        self.rank = rank
        self.address = f"127.0.0.{rank + 2}"
        self.port = free_port(self.address)
        self.agent = Agent(name, fleet.hosts, fleet.record)
        self.channel = Channel(fleet.site.lines_per_s, fleet.site.way_s)
        self.process: asyncio.subprocess.Process | None = None
        self.ready_at = 0.0
        self.features: Json = {}  # the feature file; empty: none

    async def start(self, known: Json | None = None) -> None:
        """Starts the process with its last list, and waits until it answers `probe`."""
        path = self.fleet.folder / f"{self.name}.json"
        config = {
            "name": self.name,
            "listen": f"{self.address}:{self.port}",
            "discovery": self.agent.address,
            "seed": f"{random.getrandbits(63):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known or self.agent.known(),
            "settings": self.fleet.settings(self.rank),
        }
        path.write_text(json.dumps(config), encoding="utf-8")
        feature_path = self.fleet.folder / f"{self.name}.features.json"
        environment = {"PLANKROUTE_FILE": str(feature_path)} if self.features else {}
        feature_path.write_text(json.dumps(self.features), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        log = (self.fleet.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            deploy["run"],
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                "TMPDIR": str(self.fleet.folder),
                "PYTHONDONTWRITEBYTECODE": "1",
                "GW_NAME": self.name,
                "GW_LISTEN": config["listen"],
                "GW_DISCOVERY": config["discovery"],
                "GW_CONFIG": str(path),
                **environment,
            },
        )
        log.close()
        self.fleet.record.write(f"{self.name} started, process {self.process.pid}")
        end = time.monotonic() + READY_LIMIT_S
        while not await self.answers():
            if time.monotonic() > end or self.process.returncode is not None:
                raise CaseNotRunError(f"{self.name} did not answer")
            await asyncio.sleep(STEP_S)
        self.ready_at = self.fleet.record.now()
        self.fleet.record.write(f"{self.name} answers")

    async def answers(self, wait_s: float = 1.0) -> bool:
        """Returns whether the steward answers `probe` on a new connection."""
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(wait_s):
                reader, writer = await asyncio.open_connection(self.address, self.port)
                writer.write(b"probe\r\n")
                return (await reader.readline()).strip() == b"alive"
        except (OSError, TimeoutError):
            return False
        finally:
            if writer:
                writer.transport.abort()

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process and self.process.returncode is None:
            self.fleet.record.write(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    async def end(self, number: signal.Signals = signal.SIGKILL) -> None:
        """Ends the process, and with it the messages in its channel."""
        self.send_signal(number)
        if self.process:
            await self.process.wait()
        self.channel.queue.clear()

    def told_at(self, uid: str, rev: int, changed_at: float) -> float:
        """Returns when a change counts as told to this steward."""
        return min(self.agent.told.get((uid, rev), float("inf")), changed_at + TOLD_AT_MOST_S)


# The deployment


@dataclass(frozen=True)
class Site:
    """Figures of a deployment, within the ranges of its site file.

    Attributes:
        classes: By class, whether it keeps to the proxy's own zone.
        way_s: How long a message takes from the channel to its proxy.
        way_most_s: The longest such time that the settings state.
        probe_reports: Whether load reports come from probes alone.
        may_tell: Whether stewards may talk to each other.
        instances: Number of stewards that the settings state; 0: those that run.
        more: Further facts of the kind of service.
    """

    zones: tuple[str, ...]
    classes: dict[str, bool]
    effects: dict[str, str]
    lines_per_s: float
    backlog: int
    head: int
    way_s: float
    way_most_s: float
    drain_grace_s: float
    bare_s: float
    cold_s: float
    start_capacity: float
    fall_multiple: float
    fall_s: float
    standing: int
    throttle_by: str = "silent"
    probe_reports: bool = False
    may_tell: bool = False
    instances: int = 0
    more: Json = field(default_factory=dict)


KOCHKISTE = Site(
    zones=("wien", "graz", "linz"),
    classes={"basket-view": False, "basket-edit": False, "checkout": False},
    effects={"basket-view": "retryable", "basket-edit": "dedup", "checkout": "fragile"},
    lines_per_s=2000.0,
    backlog=4000,
    head=6,
    way_s=0.2,
    way_most_s=0.46,
    drain_grace_s=3.0,
    bare_s=3.1,
    cold_s=15.0,
    start_capacity=0.23,
    fall_multiple=3.0,
    fall_s=3.0,
    standing=6,
)
SALZBURG = Site(
    zones=("halle-nord", "halle-mitte", "halle-sued"),
    classes={"menu-view": False, "credit-check": True, "lunch-booking": False},
    effects={"menu-view": "retryable", "credit-check": "retryable", "lunch-booking": "fragile"},
    lines_per_s=2200.0,
    backlog=4400,
    head=4,
    way_s=0.2,
    way_most_s=0.5,
    drain_grace_s=2.0,
    bare_s=2.1,
    cold_s=8.0,
    start_capacity=0.16,
    fall_multiple=2.5,
    fall_s=1.5,
    standing=5,
    throttle_by="rps",
    probe_reports=True,
)


# The grown deployment, at the size that kit/next/2 gives for today: 106 proxies at two stewards.
SALZBURG_LATER = replace(
    SALZBURG,
    lines_per_s=1900.0,
    backlog=3800,
    way_s=0.5,
    way_most_s=1.25,
    instances=2,
    more={"proxies": 106},
)
GRAZ = Site(
    zones=("fluegel-ost", "fluegel-west", "fluegel-hof"),
    classes={"konto-verlauf": False, "saldo-check": False},
    effects={"konto-verlauf": "retryable", "saldo-check": "retryable"},
    lines_per_s=2600.0,
    backlog=5200,
    head=10,
    way_s=0.15,
    way_most_s=0.33,
    drain_grace_s=1.5,
    bare_s=1.6,
    cold_s=8.0,
    start_capacity=0.19,
    fall_multiple=3.0,
    fall_s=2.0,
    standing=5,
    may_tell=True,
)


class Fleet:
    """A small deployment: its hosts, proxies, collectors and stewards.

    Attributes:
        sent: The requests that joined proxies sent, oldest first.
    """

    def __init__(self, site: Site, record: Record, hosts_per_zone: int, proxies: int) -> None:
        self.site = site
        self.record = record
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = Path(self.temporary.name)
        report = "TEXT inflight=2, util=0.31" if site.probe_reports else ""
        self.hosts = [
            Host(f"s-{number:04d}", site.zones[number % len(site.zones)], report=report)
            for number in range(hosts_per_zone * len(site.zones))
        ]
        self.by_uid = {host.uid: host for host in self.hosts}
        self.proxies = [
            Proxy(self, number, site.zones[number % len(site.zones)]) for number in range(proxies)
        ]
        self.stewards: list[Steward] = []
        self.sent: list[Sent] = []
        self.met: Counter[tuple[str, str, str, bool]] = Counter()
        self.collectors: dict[tuple[str, str], asyncio.StreamWriter] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def settings(self, rank: int) -> Json:
        """Returns the settings, with the names and units of the simulator's first message."""
        site = self.site
        return {
            "caps": {
                "connIdleMs": 15000.0,
                "cpuUsPerS": 600000,
                "dialTimeoutMs": 300.0,
                "mayProbe": True,
                "mayTell": site.may_tell,
                "streamsPerConn": 32,
            },
            "classes": [
                {
                    "deadlineMs": 4000.0,
                    "idempotency": site.effects[name],
                    "importance": 1.0,
                    "keyScope": "zone",
                    "lateWorth": 0.2,
                    "name": name,
                    "onTimeMs": 1200.0,
                    "windowMs": 2500.0,
                }
                for name in site.classes
            ],
            "dcs": list(site.zones),
            "discovery": "automatic",
            "familyInfo": {
                "bareMs": 1000 * site.bare_s,
                "classWrites": [site.effects[name] == "fragile" for name in site.classes],
                "costPerLine": 0.02,
                "cycleMs": 1000.0,
                "envelope": float(site.head),
                "exclusive": False,
                "hearsPerS": 500.0,
                "keyRanges": 0,
                "lateMs": 1000 * site.way_s,
                "lbMethod": "lottery",
                "leaseMs": 2500.0,
                "lingersMs": 5020.0,
                "localFirst": False,
                "minConnCap": 205.0,
                "parkMs": 300.0,
                "proxies": len(self.proxies),
                "pushRate": site.lines_per_s,
                "queueCap": float(site.backlog),
                "reloadsMax": 0,
                "shiftFee": 0.01,
                "standing": site.standing,
                "staysLocal": list(site.classes.values()),
                "strikes": 3,
                "throttleBy": site.throttle_by,
                "transitMaxMs": 1000 * site.way_most_s,
                "tryFactor": 0.8,
                "updateWindowMs": 10000.0,
                "usualHow": 1,
                "warmKeys": False,
                **site.more,
            },
            "instances": site.instances or len(self.stewards),
            "kindOfService": "control",
            "machineTypes": ["m1"],
            "objectiveMix": {"whole": 0.7, "worstClass": 0.1, "worstWindow": 0.2},
            "prices": {"connection": 0.02, "crossZone": 0.04, "probe": 0.02, "waste": 0.03},
            "quantumMs": 5.0,
            "rank": rank,
            "report": (
                {"fields": ["busy", "rif"], "via": "pull"}
                if site.probe_reports
                else {"fields": ["rif"], "via": "piggyback"}
            ),
            "safety": {
                "coldMs": 1000 * site.cold_s,
                "drainGraceMs": 1000 * site.drain_grace_s,
                "fallMultiple": site.fall_multiple,
                "mustAskInMs": 10000.0,
                "startCapacity": site.start_capacity,
                "tipAfterMs": 1000 * site.fall_s,
            },
            "weights": "silent",
            "worthBy": "request",
            "zone": rank % len(site.zones),
        }

    def run_task(self, work: Awaitable[None]) -> asyncio.Task[None]:
        """Runs a coroutine in the background until the end of the case."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def use_links(self, cold_start: Json, learned: Json | None = None) -> None:
        """Lets the stewards know each other, and switches on links between them.

        Args:
            cold_start: Fields of the section `links` of the feature file.
            learned: The section `learned`, if that is to be on.
        """
        addresses = [steward.address for steward in self.stewards]
        group_port = common_port(addresses, socket.SOCK_DGRAM)
        link_port = common_port(addresses, socket.SOCK_STREAM)
        for steward in self.stewards:
            steward.features = {
                "membership": {
                    "group": "case",
                    "listen": f"{steward.address}:{group_port}",
                    "seeds": [f"{address}:{group_port}" for address in addresses],
                },
                "coldstart": {
                    "links": {"listen": f"{steward.address}:{link_port}", **cold_start},
                },
            }
            if learned is not None:
                steward.features["learned"] = learned

    async def open(self, stewards: int, prepare: "Callable[[Fleet], None] | None" = None) -> None:
        """Opens hosts and discovery, and starts the stewards.

        Args:
            stewards: Number of stewards.
            prepare: Called before the stewards start, for their feature files.
        """
        for host in self.hosts:
            await host.open()
        for rank in range(stewards):
            self.stewards.append(Steward(self, f"n{rank + 1}", rank))
        for steward in self.stewards:
            await steward.agent.open()
        for host in self.hosts:
            for steward in self.stewards:
                steward.agent.entries[host.uid] = host.entry()
        if prepare:
            prepare(self)
        for steward in self.stewards:
            await steward.start()
        for steward in self.stewards:
            for zone in self.site.zones:
                self.run_task(self.collect(steward, zone))
        self.run_task(self.work())

    def add(self, host: Host) -> None:
        """Adds a host, which is not listed yet."""
        self.hosts.append(host)
        self.by_uid[host.uid] = host

    def change(self, hosts: list[Host]) -> dict[str, int]:
        """Publishes entries to all agents; returns the revision at each."""
        return {steward.name: steward.agent.change(hosts) for steward in self.stewards}

    def on_sent(self, proxy: Proxy, name: str, uid: str) -> None:
        """Notes a request, and whether the host answered it."""
        self.sent.append(Sent(self.record.now(), proxy.number, name, uid))
        host = self.by_uid[uid]
        assert proxy.steward
        is_served = host.is_up and host.state == "SERVING"
        self.met[proxy.steward.name, proxy.zone, uid, is_served] += 1

    async def work(self) -> None:
        """Lets the proxies send five requests of each class a second, and report demand."""
        turn = 0
        while True:
            await asyncio.sleep(0.2)
            turn += 1
            for proxy in self.proxies:
                proxy.send_requests()
                if turn % 5 == proxy.number % 5:
                    proxy.report_demand()

    async def collect(self, steward: Steward, zone: str) -> None:
        """Is the collector of a zone at one steward: connects, and forwards reports each second."""
        while True:
            writer: asyncio.StreamWriter | None = None
            try:
                _, writer = await asyncio.open_connection(steward.address, steward.port)
                writer.write(f"agent locality={zone}\r\n".encode())
                self.collectors[steward.name, zone] = writer
                while not writer.is_closing():
                    await asyncio.sleep(1.0)
                    self.report(steward, zone, writer)
                    await writer.drain()
            except OSError:
                pass  # nobody listens there, or the connection broke
            finally:
                if writer:
                    writer.transport.abort()
            await asyncio.sleep(0.3)

    def report(self, steward: Steward, zone: str, writer: asyncio.StreamWriter) -> None:
        """Writes what the steward's proxies of a zone met since the last report."""
        for uid in self.by_uid:
            good = self.met.pop((steward.name, zone, uid, True), 0)
            bad = self.met.pop((steward.name, zone, uid, False), 0)
            if not good + bad:
                continue
            words = f"outcomes locality={zone} endpoint={uid} total={good + bad} errors={bad}"
            rtt = " rtt=180.0" if good else ""
            metrics = "" if self.site.probe_reports else " metrics=inflight:2"
            writer.write(f"{words}{rtt} interval=1000.0{metrics}\r\n".encode())

    async def close(self) -> None:
        """Ends all processes and servers, and keeps the stewards' logs in the record."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for steward in self.stewards:
            await steward.end()
            if steward.agent.server:
                steward.agent.server.close()
            log = self.folder / f"{steward.name}.log"
            if log.exists():
                text = log.read_text(encoding="utf-8", errors="replace")
                for line in text.splitlines():
                    self.record.file.write(f"log {line[:400]}\n")
        for host in self.hosts:
            host.close()
        self.record.file.flush()
        self.temporary.cleanup()


# The rules


@dataclass
class Closing:
    """A host that drains or is gone, and when that was told to a steward."""

    uid: str
    told_at: float
    until: float = float("inf")


def drain_breaks(fleet: Fleet, steward: Steward, closings: list[Closing]) -> list[str]:
    """Returns the requests that broke the rule on drains, for proxies that stayed joined."""
    limit_s = fleet.site.drain_grace_s + SOCKET_SLACK_S
    joined = {p.number: p.joined_at for p in fleet.proxies if p.steward is steward}
    breaks = []
    for closing in closings:
        for sent in fleet.sent:
            joined_at = joined.get(sent.proxy)
            if sent.uid != closing.uid or joined_at is None or sent.at < joined_at:
                continue
            since = max(closing.told_at, joined_at, steward.ready_at + START_SLACK_S)
            if since + limit_s < sent.at < closing.until:
                breaks.append(
                    f"proxy {sent.proxy} sent {sent.request_class} to {sent.uid} at {sent.at:.2f}, "
                    f"{sent.at - since:.2f} s after it was told; the limit is {limit_s:.1f} s"
                )
    return breaks


class BareWatch:
    """Watches whether a joined proxy has no line to pick though an open warm host is listed."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.since: dict[tuple[int, str], float] = {}
        self.breaks: dict[tuple[int, str], str] = {}
        self.longest_s = 0.0

    async def run(self) -> None:
        """Looks at all proxies every 50 ms."""
        while True:
            await asyncio.sleep(STEP_S)
            for proxy in self.fleet.proxies:
                for name in self.fleet.site.classes:
                    self.look(proxy, name)

    def look(self, proxy: Proxy, name: str) -> None:
        """Looks at one class of one proxy."""
        key = (proxy.number, name)
        steward = proxy.steward
        if proxy.joined_at is None or steward is None or proxy.has_line(name):
            self.since.pop(key, None)
            return
        warm = self.warm_hosts(steward, proxy, name)
        if not warm:
            self.since.pop(key, None)
            return
        now = self.fleet.record.now()
        since = self.since.setdefault(key, max(now, steward.ready_at + START_SLACK_S))
        self.longest_s = max(self.longest_s, now - since)
        limit_s = self.fleet.site.bare_s + SOCKET_SLACK_S
        if now - since > limit_s:
            self.breaks[key] = (
                f"proxy {proxy.number} had no line to pick for {name} for {now - since:.2f} s "
                f"(limit {limit_s:.1f} s) though {sorted(warm)} are listed SERVING and warm; "
                f"lines {sorted(proxy.tables[name])}, shut out {sorted(proxy.shut_out)}"
            )

    def warm_hosts(self, steward: Steward, proxy: Proxy, name: str) -> list[str]:
        """Returns the hosts that the steward was told to be ready, open to the class and warm."""
        cold_ms = 1000 * self.fleet.site.cold_s
        is_local = self.fleet.site.classes[name]
        return [
            uid
            for uid, entry in steward.agent.entries.items()
            if entry["state"] == "SERVING"
            and 1000 * time.time() - entry["boot_ms"] >= cold_ms
            and (not is_local or entry["az"] == proxy.zone)
        ]


# A case


async def run_case(
    site: Site,
    play: Callable[[Fleet], Awaitable[list[str]]],
    folder: Path,
    hosts_per_zone: int = 5,
    proxies: int = 9,
    stewards: int = 1,
    prepare: Callable[[Fleet], None] | None = None,
) -> int:
    """Plays a case.

    Args:
        site: The deployment.
        play: Plays the day; returns what broke the rule.
        folder: Folder of the case, for its record.
        hosts_per_zone: Hosts in each zone.
        proxies: Number of proxies.
        stewards: Number of stewards.
        prepare: Called before the stewards start, for their feature files.

    Returns:
        The exit status of the case.
    """
    record = Record(folder / "record.txt")
    fleet = Fleet(site, record, hosts_per_zone, proxies)
    this = asyncio.current_task()
    assert this
    for number in (signal.SIGTERM, signal.SIGINT):  # the processes are ended then, too
        asyncio.get_running_loop().add_signal_handler(number, this.cancel)
    try:
        async with asyncio.timeout(RUN_LIMIT_S):
            await fleet.open(stewards, prepare)
            breaks = await play(fleet)
    except (CaseNotRunError, TimeoutError, OSError, AssertionError) as error:
        record.write(f"not run: {type(error).__name__}: {error}")
        print(f"not run: {error}")
        return NOT_RUN
    finally:
        await fleet.close()
    for text in breaks[:20]:
        record.write(f"RULE BROKEN: {text}")
    verdict = f"{len(breaks)} breaks of the rule" if breaks else "the rule held"
    record.write(verdict)
    print("\n".join([*breaks[:5], verdict]))
    return BROKEN if breaks else HELD


def main(
    site: Site,
    play: Callable[[Fleet], Awaitable[list[str]]],
    folder: Path,
    hosts_per_zone: int = 5,
    proxies: int = 9,
    stewards: int = 1,
    prepare: Callable[[Fleet], None] | None = None,
) -> None:
    """Plays a case and ends this process with its exit status."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # writes to peers that are gone
    try:
        status = asyncio.run(
            run_case(site, play, folder, hosts_per_zone, proxies, stewards, prepare)
        )
    except Exception as error:
        print(f"not run: {type(error).__name__}: {error}")
        status = NOT_RUN
    sys.exit(status)
