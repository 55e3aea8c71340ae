"""A controller on loopback with a stand-in for discovery; tests act as proxies and collectors."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

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


def endpoint_list(rev: int, *hosts: str, whole: bool = True, state: str = "SERVING") -> dict:
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
            "known": endpoint_list(41, "s-1", "s-2", "s-3"),
            "settings": SETTINGS,
        }
    )


class FakeDiscovery:
    """A stand-in for discovery: the test sends what its watches are to carry."""

    def __init__(self) -> None:
        self.request_targets: asyncio.Queue[str] = asyncio.Queue()  # of the requests
        self.watches: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers a request with a response that has no end."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.CancelledError:
            return  # the test's end, which the loop would report as an error of the controller
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.request_targets.put_nowait(head.split()[1].decode())
        self.watches.put_nowait(writer)

    @staticmethod
    def send(watch: asyncio.StreamWriter, text: bytes) -> None:
        """Sends a text in two chunks: chunks may end anywhere."""
        for piece in (text[:7], text[7:]):
            watch.write(b"%x\r\n%s\r\n" % (len(piece), piece))


class Client:
    """A connection to the controller."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, *lines: str) -> None:
        """Sends lines."""
        self.writer.write("".join(line + "\r\n" for line in lines).encode("latin-1"))

    async def receive(self, part: str = "") -> str:
        """Returns the next line that contains the part."""
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode()
            if part in line:
                return line.strip()

    async def is_closed(self) -> bool:
        """Whether nothing came before the connection was closed; waits for it."""
        try:
            return not await self.reader.read()
        except ConnectionResetError:
            return True


class RunningService:
    """A controller that runs in the test's loop, its discovery, and its counters."""

    def __init__(self, service: Service, discovery: FakeDiscovery) -> None:
        self.service = service
        self.discovery = discovery
        self.counts = service.telemetry.counts

    async def connect(self, *lines: str) -> Client:
        """Opens a connection and sends lines."""
        assert self.service.listener.server
        address = self.service.listener.server.sockets[0].getsockname()
        client = Client(*await asyncio.open_connection(*address))
        client.send(*lines)
        return client

    async def wait_until(self, holds: Callable[[], bool]) -> None:
        """Waits until the condition holds; the scenario's timeout bounds it."""
        while not holds():
            await asyncio.sleep(0.001)


Scenario = Callable[[RunningService], Awaitable[None]]


def run_scenario(scenario: Scenario, log: list[bytes] | None = None) -> RunningService:
    """Runs a controller, the scenario against it, and ends it by SIGTERM."""
    lines = [] if log is None else log

    async def run() -> RunningService:
        discovery = FakeDiscovery()
        async with (
            asyncio.timeout(20),
            await asyncio.start_server(discovery.serve, "127.0.0.1", 0) as server,
        ):
            configuration = parse_configuration(config(server.sockets[0].getsockname()[1]))
            service = Service(configuration, Telemetry(EventLog("n1", lines.append)))
            serving = asyncio.create_task(service.run())
            running = RunningService(service, discovery)
            await running.wait_until(lambda: service.listener.server is not None)
            await scenario(running)
            os.kill(os.getpid(), signal.SIGTERM)
            await serving
            # Log lines are written by a thread: the test may read them now.
            service.telemetry.log.finish(5.0)
            return running

    return asyncio.run(run())


HELLO = "hello node=3 locality=a w=21.5 cold=1"


# The options are those of Popen.
@contextmanager
def controller_process(path: Path, text: bytes, **options: Any) -> Iterator[subprocess.Popen]:  # noqa: ANN401
    """Starts a controller in a process of its own and yields it once it listens."""
    path.write_bytes(text)
    with subprocess.Popen(
        [sys.executable, "-m", "plankroute"],
        env={**os.environ, "GW_CONFIG": str(path)},
        stderr=subprocess.PIPE,
        **options,
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


def check_liveness(port: int) -> bytes:
    with socket.create_connection(("127.0.0.1", port), 20) as client:
        client.sendall(b"probe\r\n")
        return client.recv(100)
