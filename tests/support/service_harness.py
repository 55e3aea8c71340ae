"""Runs a controller on loopback with a fake discovery; tests act as proxies and collectors."""

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
    """Returns an endpoint list in discovery's JSON format.

    Args:
        rev: Revision of the list.
        *hosts: Uids of the listed hosts.
        whole: Whether the list is complete; otherwise it holds changes.
        state: State of all listed hosts.
    """
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
    """Returns a configuration file whose known endpoint list holds three hosts.

    Args:
        discovery: Loopback port of discovery.
        listen: Loopback port of the controller; 0 for any free port.
    """
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
    """A fake discovery server; the test writes the bodies of its responses.

    Attributes:
        request_targets: Targets of the HTTP requests, in order of arrival.
        watches: Streams of the responses, in the same order.
    """

    def __init__(self) -> None:
        self.request_targets: asyncio.Queue[str] = asyncio.Queue()
        self.watches: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Sends the header of a chunked response, whose body the test then writes."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.CancelledError:
            return  # the test ended; the loop would report the exception as a controller error
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.request_targets.put_nowait(head.split()[1].decode())
        self.watches.put_nowait(writer)

    @staticmethod
    def send(watch: asyncio.StreamWriter, text: bytes) -> None:
        """Sends a text in two chunks, because a chunk may end anywhere within a line."""
        for piece in (text[:7], text[7:]):
            watch.write(b"%x\r\n%s\r\n" % (len(piece), piece))


class Client:
    """A connection from a proxy or collector to the controller."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, *lines: str) -> None:
        """Sends lines; the line ends are added."""
        self.writer.write("".join(line + "\r\n" for line in lines).encode("latin-1"))

    async def receive(self, part: str = "") -> str:
        """Skips lines up to the next one that contains `part`, and returns it without its end."""
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode()
            if part in line:
                return line.strip()

    async def is_closed(self) -> bool:
        """Waits until the connection is closed; returns whether no data arrived before."""
        try:
            return not await self.reader.read()
        except ConnectionResetError:
            return True


class RunningService:
    """A controller that runs in the event loop of the test.

    Attributes:
        service: The controller's service.
        discovery: The discovery server that it uses.
        counts: Its counters by name.
    """

    def __init__(self, service: Service, discovery: FakeDiscovery) -> None:
        self.service = service
        self.discovery = discovery
        self.counts = service.telemetry.counts

    async def connect(self, *lines: str) -> Client:
        """Opens a connection to the controller and sends lines."""
        assert self.service.listener.server
        address = self.service.listener.server.sockets[0].getsockname()
        client = Client(*await asyncio.open_connection(*address))
        client.send(*lines)
        return client

    async def wait_until(self, holds: Callable[[], bool]) -> None:
        """Polls a condition until it holds or the timeout of the scenario expires."""
        while not holds():
            await asyncio.sleep(0.001)


Scenario = Callable[[RunningService], Awaitable[None]]


def run_scenario(scenario: Scenario, log: list[bytes] | None = None) -> RunningService:
    """Runs a scenario against a controller and then stops the controller by SIGTERM.

    Args:
        scenario: Coroutine function of the running controller; it may take 20 s with the shutdown.
        log: List to which the controller's log lines are appended.

    Returns:
        The controller after its shutdown, with its counters.
    """
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
            # A thread writes the log lines; wait for it, so that the test can read them all.
            service.telemetry.log.finish(5.0)
            return running

    return asyncio.run(run())


HELLO = "hello node=3 locality=a w=21.5 cold=1"


# `options` are keyword arguments of Popen, which have many types.
@contextmanager
def controller_process(path: Path, text: bytes, **options: Any) -> Iterator[subprocess.Popen]:  # noqa: ANN401
    """Runs a controller in a separate process.

    Yields the process once the controller listens, and kills it when the context ends.

    Args:
        path: Where the configuration file is written.
        text: Content of the configuration file.
        **options: Further keyword arguments of Popen.
    """
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
    """Returns a loopback port that is free at the time of the call."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


def check_liveness(port: int) -> bytes:
    """Sends a liveness check and returns the response, empty if the connection was closed."""
    with socket.create_connection(("127.0.0.1", port), 20) as client:
        client.sendall(b"probe\r\n")
        return client.recv(100)
