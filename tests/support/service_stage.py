"""A controller on loopback with a stand-in for discovery; the test plays proxies and collectors."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import orjson

from plankroute.net.process.configuration import parse_configuration
from plankroute.net.process.service import Service
from plankroute.net.process.telemetry import EventLog, Telemetry

SETTINGS = {
    "classes": [
        {"name": "lookup", "idempotency": "retryable"},
        {"name": "order", "idempotency": "fragile"},
    ],
    "dcs": ["a", "b"],
    "machineTypes": ["m1", "m2"],
    "instances": 1,
    "rank": 0,
    "zone": 0,
    "quantumMs": 1.0,
    "caps": {"mayProbe": True, "dialTimeoutMs": 300.0},
    "report": {"fields": ["rif"], "via": "piggyback"},
    "familyInfo": {
        "proxies": 9,
        "pushRate": 2000.0,
        "queueCap": 4000,
        "envelope": 6,
        "bareMs": 3000.0,
        "lateMs": 1.0,
        "transitMaxMs": 2.0,
        "cycleMs": 1000.0,
    },
    "safety": {
        "drainGraceMs": 3000.0,
        "coldMs": 15000.0,
        "startCapacity": 0.2,
        "fallMultiple": 3.0,
    },
}


def listing(rev: int, *hosts: str, whole: bool = True, state: str = "SERVING") -> dict:
    return {
        "rev": rev,
        "all": whole,
        "targets": [
            {
                "uid": host,
                "endpoint": "127.0.0.1:9",
                "az": "a",
                "model": "m1",
                "pod_group": 0,
                "state": state,
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for host in hosts
        ],
    }


def config(discovery: int, listen: int = 0) -> bytes:
    return orjson.dumps(
        {
            "name": "n1",
            "listen": f"127.0.0.1:{listen}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": 1024},
            "known": listing(41, "s-1", "s-2", "s-3"),
            "settings": SETTINGS,
        }
    )


class Agent:
    """A stand-in for discovery: the test tells it what its watches are to carry."""

    def __init__(self) -> None:
        self.asked: asyncio.Queue[str] = asyncio.Queue()
        self.watches: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.CancelledError:
            return  # the test's end, which the loop would else report as an error of the steward's
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.asked.put_nowait(head.split()[1].decode())
        self.watches.put_nowait(writer)

    @staticmethod
    def tell(watch: asyncio.StreamWriter, text: bytes) -> None:
        for piece in (text[:7], text[7:]):  # chunks end anywhere
            watch.write(b"%x\r\n%s\r\n" % (len(piece), piece))


class Caller:
    """A connection to the steward."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def say(self, *lines: str) -> None:
        self.writer.write("".join(line + "\r\n" for line in lines).encode("latin-1"))

    async def hear(self, part: str = "") -> str:
        """The next line that holds the part."""
        while part not in (line := (await self.reader.readuntil(b"\r\n")).decode()):
            pass
        return line.strip()

    async def is_ended(self) -> bool:
        try:
            return not await self.reader.read()
        except ConnectionResetError:
            return True


class Stage:
    """A steward that runs, its discovery, and its book."""

    def __init__(self, service: Service, agent: Agent) -> None:
        self.service, self.agent = service, agent
        self.counts = service.telemetry.counts

    async def dial(self, *lines: str) -> Caller:
        assert self.service.listener.server
        address = self.service.listener.server.sockets[0].getsockname()
        caller = Caller(*await asyncio.open_connection(*address))
        caller.say(*lines)
        return caller

    async def until(self, holds: Callable[[], bool]) -> None:
        while not holds():
            await asyncio.sleep(0.001)


def play(scene: Callable[[Stage], Awaitable[None]], log: list[bytes] | None = None) -> Stage:
    async def run() -> Stage:
        agent = Agent()
        async with (
            asyncio.timeout(20),
            await asyncio.start_server(agent.serve, "127.0.0.1", 0) as server,
        ):
            configuration = parse_configuration(config(server.sockets[0].getsockname()[1]))
            service = Service(
                configuration, Telemetry(EventLog("n1", ([] if log is None else log).append))
            )
            running = asyncio.create_task(service.run())
            stage = Stage(service, agent)
            await stage.until(lambda: service.listener.server is not None)
            await scene(stage)
            os.kill(os.getpid(), signal.SIGTERM)
            await running
            service.telemetry.log.finish(
                5.0
            )  # its lines are passed on by a thread: the test may read them now
            return stage

    return asyncio.run(run())


HELLO = "hello node=3 locality=a w=21.5 cold=1"


@contextmanager
def process(path: Path, text: bytes, **limits) -> Iterator[subprocess.Popen]:
    """A steward in a process of its own, once it listens."""
    path.write_bytes(text)
    with subprocess.Popen(
        [sys.executable, "-m", "plankroute"],
        env={**os.environ, "GW_CONFIG": str(path)},
        stderr=subprocess.PIPE,
        **limits,
    ) as controller:
        try:
            assert controller.stderr
            while b'"listening"' not in controller.stderr.readline():
                assert controller.poll() is None
            yield controller
        finally:
            controller.kill()


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


def ask(port: int) -> bytes:
    with socket.create_connection(("127.0.0.1", port), 20) as asker:
        asker.sendall(b"probe\r\n")
        return asker.recv(100)
