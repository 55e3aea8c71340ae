"""A stub of the discovery service, with its published protocol: list, watch, 503 with Retry-After.

Simulates a rate limit, outages, restarts after which revisions start over, slow bodies and
truncated lists. Counts calls, but does not check them.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable
from enum import Enum
from typing import Any

import msgspec
import orjson

from plankroute.net.discovery.catalogue import MEMBERS
from plankroute.token_bucket import TokenBucket

Target = dict[str, Any]  # an entry of the endpoint list, with the field names of the service

BIN_S = 0.1  # width of the time bins in which calls are counted
KEEPALIVE_INTERVAL_S = 2.0  # on a watch, as the service documents it
REQUEST_TIMEOUT_S = 5.0
SLOW_PIECE_BYTES = 4096  # written at once when the bandwidth is limited
MAX_CALLS = 100_000  # further calls are refused, so that a run with runaway retries ends
MAX_PENDING_CONNECTIONS = 2048  # listen backlog
CHUNKED_OK = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
KEEPALIVE = b"1\r\n\n\r\n"  # a chunk that holds an empty line
HANG_S = 3600.0  # longer than any run


class Mode(Enum):
    """How the service answers."""

    GOOD = "good"
    DOWN = "down"  # 503 without Retry-After
    BUSY = "busy"  # 503 with the Retry-After of the behaviour
    ONE_IN_THREE = "one in three"  # refuses two of three calls
    HANG = "hang"  # sends nothing after the response header
    HALF = "half"  # sends half a list, then closes the connection


class Phase(msgspec.Struct, frozen=True):
    """How the service answers from a given time until the next phase.

    Attributes:
        from_s: Start of the phase, in seconds after the service was opened.
        mode: How it answers.
        restart: Whether the service restarts: all watches end, and revisions start over.
    """

    from_s: float
    mode: Mode = Mode.GOOD
    restart: bool = False


class Behaviour(msgspec.Struct, frozen=True):
    """The limits and faults of the service.

    Attributes:
        rate: Calls per second that are answered; others get 503.
        retry_after: Value of the Retry-After header of a 503; None: no such header.
        phases: Phases in order of time.
        bytes_a_second: Bandwidth of each response body; None: unlimited.
    """

    rate: float = 20.0
    retry_after: str | None = "1"
    phases: tuple[Phase, ...] = (Phase(0.0),)
    bytes_a_second: float | None = None


def target(
    host: int, address: str, zone: str = "a", state: str = "SERVING", boot_ms: int = 0
) -> Target:
    """Returns an entry of the endpoint list."""
    return {
        "uid": f"s-{host:05d}",
        "endpoint": address,
        "az": zone,
        "model": "m",
        "pod_group": host // 4,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": boot_ms,
    }


class StubDiscovery:
    """Serves an endpoint list, whose revision increases with each change.

    Attributes:
        targets: The endpoint list; the host number is the index.
        revision: Revision of the list.
        calls: Number of calls.
        answers: Number of answers by kind: refused, hung, half, watch or list.
        calls_by_address: Number of calls by the client's IP address.
        calls_by_bin: Number of calls by time bin of `BIN_S` since the service was opened.
        sent_bytes: Bytes of all responses.
    """

    def __init__(self, targets: list[Target], behaviour: Behaviour, revision: int = 1000) -> None:
        self.targets = targets
        self.behaviour = behaviour
        self.revision = revision
        self.first_revision = revision
        self.changes: list[tuple[int, Target]] = []
        # Allows bursts of a quarter of a second's calls, and of one call at least.
        self.rate_limit = TokenBucket(behaviour.rate, max(1.0, behaviour.rate / 4))
        self.server: asyncio.Server | None = None
        self.opened_s = 0.0
        self.sent_bytes = 0
        self.calls = 0
        self.calls_by_bin: Counter[int] = Counter()
        self.answers: Counter[str] = Counter()
        self.calls_by_address: Counter[str] = Counter()
        self.watches: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self, host: str, port: int = 0) -> str:
        """Opens the service; returns its address as `host:port`."""
        self.server = await asyncio.start_server(
            self.serve, host, port, backlog=MAX_PENDING_CONNECTIONS
        )
        ip, bound_port = self.server.sockets[0].getsockname()
        self.opened_s = time.monotonic()
        for phase in self.behaviour.phases:
            if phase.restart:
                self.run_task(self.call_at(phase.from_s, self.restart))
        return f"{ip}:{bound_port}"

    def run_task(self, work: Coroutine[None, None, None]) -> None:
        """Runs a coroutine in the background; `close` cancels it if it has not ended."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def call_at(self, after_s: float, action: Callable[[], None]) -> None:
        """Calls a function `after_s` seconds after the service was opened."""
        await asyncio.sleep(max(0.0, after_s - self.elapsed_s()))
        action()

    def elapsed_s(self) -> float:
        """Returns the seconds since the service was opened, or since `restart_clock`."""
        return time.monotonic() - self.opened_s

    def mode(self) -> Mode:
        """Returns how the service answers now."""
        elapsed_s = self.elapsed_s()
        begun = [phase.mode for phase in self.behaviour.phases if phase.from_s <= elapsed_s]
        return begun[-1] if begun else Mode.GOOD

    def restart_clock(self) -> None:
        """Restarts the time of phases and bins now.

        Used when the controllers have been started, which takes a while after the opening.
        """
        self.opened_s = time.monotonic()

    def restart(self) -> None:
        """Acts as a restarted service: ends all watches, and starts revisions over at 1."""
        self.revision = 1
        self.first_revision = 1
        self.changes = []
        for writer in list(self.watches):
            writer.transport.abort()

    def change(self, host: int, **fields: object) -> None:
        """Changes fields of a host's entry, and sends the change to all watches."""
        self.targets[host] = {**self.targets[host], **fields}
        self.send_changes([host])

    def send_changes(self, hosts: Iterable[int]) -> None:
        """Sends the current entries of these hosts to all watches, as one new revision.

        The entries must be in `targets` already.
        """
        self.revision += 1
        changed = [self.targets[host] for host in hosts]
        self.changes += [(self.revision, entry) for entry in changed]
        chunk = self.chunk(False, changed)
        for writer in list(self.watches):
            self.write(writer, chunk)

    def chunk(self, is_complete: bool, targets: list[Target]) -> bytes:
        """Returns a complete list or changes, encoded as one chunk of a response body."""
        body = orjson.dumps({"rev": self.revision, "all": is_complete, "targets": targets}) + b"\n"
        return b"%x\r\n%s\r\n" % (len(body), body)

    def changes_since(self, revision: int) -> bytes:
        """Returns the changes after a revision, encoded as one chunk.

        Returns the complete list if the revision is not one since the last restart.
        """
        if not self.first_revision <= revision <= self.revision:
            return self.chunk(True, self.targets)
        changed = [entry for changed_at, entry in self.changes if changed_at > revision]
        return self.chunk(False, changed)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                head = await reader.readuntil(b"\r\n\r\n")
            _, resource, *_ = head.split(b" ")
            await self.answer(resource.decode("ascii"), reader, writer)
        except (
            OSError,
            TimeoutError,
            ValueError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass  # the client has closed or sent no valid request, or the testbed is closing
        finally:
            self.watches.discard(writer)
            writer.transport.abort()

    async def answer(
        self, resource: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Counts one call and answers it according to the present mode."""
        self.calls += 1
        self.calls_by_bin[int(self.elapsed_s() / BIN_S)] += 1
        self.calls_by_address[str(writer.get_extra_info("peername")[0])] += 1
        mode = self.mode()
        if self.refuses(mode):
            self.answers["refused"] += 1
            await self.refuse(writer, mode)
        elif mode is Mode.HANG:
            self.answers["hung"] += 1
            self.write(writer, CHUNKED_OK)
            await asyncio.sleep(HANG_S)
        else:
            await self.send_list(resource, mode, reader, writer)

    def refuses(self, mode: Mode) -> bool:
        """Returns whether to refuse this call; takes a token if nothing else refuses it."""
        if mode in (Mode.DOWN, Mode.BUSY) or self.calls > MAX_CALLS:
            return True
        if mode is Mode.ONE_IN_THREE and self.calls % 3:
            return True
        return not self.rate_limit.take(time.monotonic_ns() // 1000)

    async def refuse(self, writer: asyncio.StreamWriter, mode: Mode) -> None:
        """Answers 503, with Retry-After unless the mode is `DOWN`, and closes the connection."""
        retry_after = None if mode is Mode.DOWN else self.behaviour.retry_after
        header = "" if retry_after is None else f"Retry-After: {retry_after}\r\n"
        answer = f"HTTP/1.1 503 Busy\r\n{header}Content-Length: 0\r\nConnection: close\r\n\r\n"
        self.write(writer, answer.encode())
        await writer.drain()
        writer.close()
        await writer.wait_closed()

    async def send_list(
        self,
        resource: str,
        mode: Mode,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Sends the list once, or serves a watch until the client closes it."""
        path, _, query = resource.partition("?")
        if path != MEMBERS:
            self.write(writer, b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
            return
        parameters = dict(word.partition("=")[::2] for word in query.split("&"))
        is_watch = parameters.get("watch") == "1"
        if is_watch:
            chunk = self.changes_since(int(parameters.get("after") or 0))
        else:
            chunk = self.chunk(True, self.targets)
        self.write(writer, CHUNKED_OK)
        if mode is Mode.HALF:
            self.answers["half"] += 1
            await self.send_paced(writer, chunk[: len(chunk) // 2])
            return
        self.answers["watch" if is_watch else "list"] += 1
        await self.send_paced(writer, chunk)
        if not is_watch:
            self.write(writer, LAST_CHUNK)
            await writer.drain()
            return
        self.watches.add(writer)
        self.run_task(self.send_keepalives(writer))
        await reader.read()

    async def send_keepalives(self, writer: asyncio.StreamWriter) -> None:
        """Sends an empty line at each interval as long as the watch is open."""
        while writer in self.watches:
            await asyncio.sleep(KEEPALIVE_INTERVAL_S)
            self.write(writer, KEEPALIVE)

    async def send_paced(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Sends data at the bandwidth of the behaviour, or at once if it is unlimited."""
        bandwidth = self.behaviour.bytes_a_second
        if not bandwidth:
            self.write(writer, data)
            await writer.drain()
            return
        for start in range(0, len(data), SLOW_PIECE_BYTES):
            piece = data[start : start + SLOW_PIECE_BYTES]
            self.write(writer, piece)
            await writer.drain()
            await asyncio.sleep(len(piece) / bandwidth)

    def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Writes to a connection and counts the bytes; does nothing if it is closing."""
        if not writer.is_closing():
            self.sent_bytes += len(data)
            writer.write(data)

    def peak_calls(self, over_s: float = 1.0) -> int:
        """Returns the most calls in any period of `over_s` seconds, which starts with a bin."""
        bins = round(over_s / BIN_S)
        sums = [
            sum(self.calls_by_bin[start + offset] for offset in range(bins))
            for start in list(self.calls_by_bin)
        ]
        return max(sums, default=0)

    def close(self) -> None:
        """Cancels background tasks, stops listening and aborts all watches."""
        for task in list(self.tasks):
            task.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.watches):
            writer.transport.abort()
