"""A stand-in for the list service, from the published form of discovery: whole list, watch, 503 with
Retry-After.

Bounded rate, outages, restarts with revisions that begin anew, slow bodies, half a list, by script. It
counts; it
judges nothing."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Any

import msgspec
import orjson

from plankroute.net.discovery.catalogue import MEMBERS
from plankroute.token_bucket import TokenBucket

BIN_S = 0.1  # in which calls are counted
QUIET_S = 2.0  # between signs of life on a watch, as published
HEAD_S = 5.0  # for a caller to say what it wants
PIECE = 4096  # bytes that a slow body writes at once
MOST_CALLS = 100_000  # of one run: a stand-in ends by itself


class Mode(Enum):
    GOOD = "good"
    DOWN = "down"  # 503 without a word when to come back
    BUSY = "busy"  # 503 with the Retry-After that is set
    ONE_IN_THREE = "one in three"
    HANG = "hang"  # after the head
    HALF = "half"  # half a list, then the end


class Phase(msgspec.Struct, frozen=True):
    """From `from_s` after the opening on, until the next one."""

    from_s: float
    mode: Mode = Mode.GOOD
    restart: bool = False  # all watches end, and revisions begin anew


class Behaviour(msgspec.Struct, frozen=True):
    """`rate`: calls answered a second, the rest get 503; `retry_after`: as it stands in the answer."""

    rate: float = 20.0
    retry_after: str | None = "1"
    phases: tuple[Phase, ...] = (Phase(0.0),)
    bytes_a_second: float | None = None


def target(
    host: int, address: str, zone: str = "a", state: str = "SERVING", boot_ms: int = 0
) -> dict[str, Any]:
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


class ListService:
    """Serves `targets` at revisions that rise with each change."""

    def __init__(
        self, targets: list[dict[str, Any]], behaviour: Behaviour, revision: int = 1000
    ) -> None:
        self.targets, self.behaviour, self.revision = targets, behaviour, revision
        self.first_revision = revision
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.allowed = TokenBucket(
            behaviour.rate, max(1.0, behaviour.rate / 4)
        )  # bunches of a quarter of a
        # second
        self.server: asyncio.Server | None = None
        self.opened_s, self.bytes, self.calls = 0.0, 0, 0
        self.bins: Counter[int] = Counter()
        self.answers: Counter[str] = Counter()
        self.by_caller: Counter[str] = Counter()
        self.watches: dict[asyncio.StreamWriter, int] = {}
        self.tasks = set[asyncio.Task[Any]]()

    async def open(self, host: str, port: int = 0) -> str:
        self.server = await asyncio.start_server(self.serve, host, port, backlog=2048)
        address = self.server.sockets[0].getsockname()
        self.opened_s = time.monotonic()
        for phase in self.behaviour.phases:
            if phase.restart:
                self.keep(self.at(phase.from_s, self.restart))
        return f"{address[0]}:{address[1]}"

    def keep(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def at(self, after_s: float, what: Callable[[], None]) -> None:
        await asyncio.sleep(max(0.0, after_s - self.elapsed_s()))
        what()

    def elapsed_s(self) -> float:
        return time.monotonic() - self.opened_s

    def mode(self) -> Mode:
        past = [phase.mode for phase in self.behaviour.phases if phase.from_s <= self.elapsed_s()]
        return past[-1] if past else Mode.GOOD

    def begin(self) -> None:
        """The clock of phases and counts starts anew: whoever starts may still have been coming up."""
        self.opened_s = time.monotonic()

    def restart(self) -> None:
        """Another process: watches end, and revisions begin anew."""
        self.revision, self.first_revision, self.changes = 1, 1, []
        for writer in list(self.watches):
            writer.transport.abort()

    def change(self, host: int, **what: Any) -> None:
        """Told to all watches."""
        self.revision += 1
        self.targets[host] = {**self.targets[host], **what}
        self.changes.append((self.revision, self.targets[host]))
        line = self.line(False, [self.targets[host]])
        for writer in list(self.watches):
            self.write(writer, line)

    def line(self, whole: bool, targets: list[dict[str, Any]]) -> bytes:
        body = orjson.dumps({"rev": self.revision, "all": whole, "targets": targets}) + b"\n"
        return b"%x\r\n%s\r\n" % (len(body), body)

    def since(self, after: int) -> bytes:
        """Changes after that revision, or all, where it is not one of this process's."""
        if not self.first_revision <= after <= self.revision:
            return self.line(True, self.targets)
        return self.line(False, [target for revision, target in self.changes if revision > after])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(HEAD_S):
                head = await reader.readuntil(b"\r\n\r\n")
            await self.answer(head.split(b" ")[1].decode("ascii"), reader, writer)
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            IndexError,
        ):
            pass
        finally:
            self.watches.pop(writer, None)
            writer.transport.abort()

    async def answer(
        self, wanted: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.calls += 1
        self.bins[int(self.elapsed_s() / BIN_S)] += 1
        self.by_caller[str(writer.get_extra_info("peername")[0])] += 1
        mode = self.mode()
        if (
            mode is Mode.DOWN
            or mode is Mode.BUSY
            or self.calls > MOST_CALLS
            or (mode is Mode.ONE_IN_THREE and self.calls % 3)
            or not self.allowed.take(time.monotonic_ns() // 1000)
        ):
            self.answers["refused"] += 1
            await self.refuse(writer, mode)
        elif mode is Mode.HANG:
            self.answers["hung"] += 1
            self.write(writer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            await asyncio.sleep(3600)
        else:
            await self.give(wanted, mode, reader, writer)

    async def refuse(self, writer: asyncio.StreamWriter, mode: Mode) -> None:
        again = self.behaviour.retry_after if mode is not Mode.DOWN else None
        lines = f"Retry-After: {again}\r\n" if again is not None else ""
        self.write(
            writer,
            f"HTTP/1.1 503 Busy\r\n{lines}Content-Length: 0\r\nConnection: close\r\n\r\n".encode(),
        )
        await writer.drain()
        writer.close()
        await writer.wait_closed()

    async def give(
        self, wanted: str, mode: Mode, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        path, _, query = wanted.partition("?")
        words = dict(word.partition("=")[::2] for word in query.split("&"))
        if path != MEMBERS:
            self.write(writer, b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
            return
        self.write(writer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        is_watch = words.get("watch") == "1"
        line = (
            self.since(int(words.get("after") or 0)) if is_watch else self.line(True, self.targets)
        )
        if mode is Mode.HALF:
            self.answers["half"] += 1
            await self.pour(writer, line[: len(line) // 2])
            return
        self.answers["watch" if is_watch else "list"] += 1
        await self.pour(writer, line)
        if not is_watch:
            self.write(writer, b"0\r\n\r\n")
            await writer.drain()
            return
        self.watches[writer] = self.revision
        self.keep(self.live(writer))
        await reader.read()  # until the other side ends

    async def live(self, writer: asyncio.StreamWriter) -> None:
        while writer in self.watches:
            await asyncio.sleep(QUIET_S)
            self.write(writer, b"1\r\n\n\r\n")

    async def pour(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """At the pace that is set, or at once."""
        pace = self.behaviour.bytes_a_second
        for at in range(0, len(data), PIECE if pace else len(data) or 1):
            piece = data[at : at + PIECE] if pace else data
            self.write(writer, piece)
            await writer.drain()
            if pace:
                await asyncio.sleep(len(piece) / pace)

    def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            self.bytes += len(data)
            writer.write(data)

    def busiest(self, over_s: float = 1.0) -> int:
        """The most calls within so long."""
        width = round(over_s / BIN_S)
        return max(
            (sum(self.bins[at + place] for place in range(width)) for at in list(self.bins)),
            default=0,
        )

    def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.watches):
            writer.transport.abort()
