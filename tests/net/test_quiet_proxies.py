"""A controller process beside proxies that send nothing but acknowledgements.

These are garbled, late or missing.
"""

import asyncio
import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import orjson
import pytest
from support.faulty_discovery import chunk
from support.service_harness import HELLO, Client, FakeDiscovery, config, endpoint_list, free_port

from plankroute.net.proxies.sessions import Sessions

GARBLING, SILENT = 3, 4  # proxies
CHANNEL_LINES_PER_S = 2000
TIMEOUT_S = 20


class ControllerProcess:
    """A controller in a separate process, with a fake discovery.

    Attributes:
        stalled: Proxies whose sessions stalled, in the order of the log.
    """

    def __init__(
        self, process: asyncio.subprocess.Process, port: int, discovery: FakeDiscovery
    ) -> None:
        assert process.stderr
        self._log = process.stderr
        self._port = port
        self._discovery = discovery
        self.stalled: list[int] = []

    async def wait_for_event(self, name: str, **fields: object) -> None:
        """Reads the log up to an event with these fields."""
        while True:
            line: dict[str, Any] = orjson.loads(await self._log.readline())
            if line["event"] == "session_stalled":
                self.stalled.append(line["proxy"])
            if line["event"] == name and fields.items() <= line.items():
                return

    async def connect(self, proxy: int) -> Client:
        """Joins a proxy, which acknowledges its complete table."""
        client = Client(*await asyncio.open_connection("127.0.0.1", self._port))
        client.send(HELLO.replace("node=3", f"node={proxy}"))
        bound = await client.receive("replace=1")
        client.send(acknowledgement(proxy, bound))
        return client

    def drain(self, watch: asyncio.StreamWriter, revision: int, host: str) -> None:
        """Lists a host as draining."""
        change = endpoint_list(revision, host, whole=False, state="DRAINING")
        self._discovery.send(watch, orjson.dumps(change) + b"\n")

    def keep_watch_alive(self, watch: asyncio.StreamWriter) -> None:
        """Sends an empty line, as discovery does each two seconds."""
        watch.write(chunk(b"\n"))


def acknowledgement(proxy: int, message: str) -> str:
    """Returns the line with which a proxy acknowledges a message."""
    return f"ack node={proxy} nonce={message.split('stamp=')[1]} latency=1"


@asynccontextmanager
async def running_controller(
    path: Path, stall_timeout_s: float
) -> AsyncIterator[tuple[ControllerProcess, asyncio.StreamWriter]]:
    """Runs a controller; yields it once it listens, with its watch of the endpoint list.

    Args:
        path: Where its configuration file is written.
        stall_timeout_s: Time after which a session stalls, to which the backlog cap is set.
    """
    discovery = FakeDiscovery()
    async with await asyncio.start_server(discovery.serve, "127.0.0.1", 0) as server:
        port = free_port()
        configuration = orjson.loads(config(server.sockets[0].getsockname()[1], port))
        channel = configuration["settings"]["familyInfo"]
        channel["pushRate"] = CHANNEL_LINES_PER_S
        channel["queueCap"] = round(CHANNEL_LINES_PER_S * stall_timeout_s / Sessions.STALL_FACTOR)
        path.write_bytes(orjson.dumps(configuration))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "plankroute",
            env={**os.environ, "GW_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            controller = ControllerProcess(process, port, discovery)
            await controller.wait_for_event("listening")
            yield controller, await discovery.watches.get()
        finally:
            process.kill()
            await process.wait()


async def acknowledge_all(client: Client, proxy: int, messages: asyncio.Queue[str]) -> None:
    """Acknowledges each message that a proxy receives, until cancelled, and passes it on."""
    while True:
        message = await client.receive("stamp=")
        client.send(acknowledgement(proxy, message))
        messages.put_nowait(message)


@pytest.mark.parametrize(
    "garbled",
    [
        "ack node=3 nonce={number}",
        "ack node=3 latency=1",
        "ack node=3 nonce=x latency=1",
        "ack node=3 nonce={number} latency=-1",
        "ack node=8 nonce={number} latency=1",
        "ack node=3 nonce=60000 latency=1",
        "akc node=3 nonce={number} latency=1",
    ],
)
def test_a_quiet_proxy_whose_acknowledgement_was_garbled_is_notified_of_the_next_drain(
    tmp_path: Path, garbled: str
) -> None:
    """Guards against a proxy on a sound stream that counts as cut off and keeps a drained host.

    The session of the silent proxy, which does not answer the same message at all, stalls when the
    one of the garbling proxy would.
    """

    async def scenario() -> None:
        async with (
            asyncio.timeout(TIMEOUT_S),
            running_controller(tmp_path / "config.json", 0.6) as (controller, watch),
            asyncio.TaskGroup() as tasks,
        ):
            garbling = await controller.connect(GARBLING)
            silent = await controller.connect(SILENT)
            controller.drain(watch, 43, "s-1")
            number = (await garbling.receive("s-1:0")).split("stamp=")[1]
            await silent.receive("s-1:0")
            garbling.send(garbled.format(number=number))
            await controller.wait_for_event("rejected", proxy=GARBLING)
            silent.send("probe")  # so that it is not silent for longer than the other one
            messages = asyncio.Queue[str]()
            answering = tasks.create_task(acknowledge_all(garbling, GARBLING, messages))

            await controller.wait_for_event("session_stalled", proxy=SILENT)
            assert controller.stalled == [SILENT]
            controller.drain(watch, 44, "s-2")
            while "s-2:0" not in await messages.get():
                pass
            answering.cancel()

    asyncio.run(scenario())


def test_quiet_proxies_do_not_stall_while_a_slow_channel_still_sends_to_them(
    tmp_path: Path,
) -> None:
    """Guards against lines that leave the accounting while the channel has yet to send them.

    The channel sends one message each half second, so that the last two are acknowledged later than
    a session stalls. Other proxies acknowledge theirs meanwhile.
    """

    async def scenario() -> None:
        async with (
            asyncio.timeout(TIMEOUT_S),
            running_controller(tmp_path / "config.json", 3.0) as (controller, watch),
        ):
            proxies = {proxy: await controller.connect(proxy) for proxy in range(8)}
            controller.drain(watch, 43, "s-1")
            messages = {proxy: await proxies[proxy].receive("s-1:0") for proxy in proxies}
            for proxy, message in messages.items():
                await asyncio.sleep(0.5)
                controller.keep_watch_alive(watch)
                proxies[proxy].send(acknowledgement(proxy, message))
            controller.drain(watch, 44, "s-2")
            await controller.wait_for_event("list", revision=44)
            assert controller.stalled == []
            for client in proxies.values():
                await client.receive("s-2:0")

    asyncio.run(scenario())
