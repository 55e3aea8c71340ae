"""Runs controllers of two builds in one group and checks that they work together.

    python tests/compatibility/mixed_builds.py OLD_TREE NEW_TREE

Each tree is a clone in which the `build` command of its deploy file has run; all controllers are
started by the `run` command of the old tree's deploy file, with configuration and feature files
that are the same for both builds. The script uses what leaves a process only: files, sockets and
log lines. It exits with status 1 if a check fails.
"""

import asyncio
import os
import signal
import sys
import tempfile
import time
import tomllib
from collections import defaultdict
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

JsonObject = dict[str, Any]

CONTROLLERS = 4
HOSTS = 20
FAILING_HOST = 7
DRAINED_HOST = 3
KNOWN_HOSTS = HOSTS - 1  # a snapshot leaves out the drained host
PROXY_PORT = 7948
MEMBERSHIP_PORT = 7946
LINK_PORT = 7950
TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
LIST_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ListService:
    """Serves the endpoint list to watches, and sends changes to all of them."""

    def __init__(self) -> None:
        self.revision = 5
        self.targets = [
            {
                "uid": f"h{host}",
                "endpoint": "127.0.0.1:9",
                "az": "a",
                "model": "m",
                "pod_group": 0,
                "state": "SERVING",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for host in range(HOSTS)
        ]
        self.watches: set[asyncio.StreamWriter] = set()

    def chunk(self, is_complete: bool, targets: list[JsonObject]) -> bytes:
        body = orjson.dumps({"rev": self.revision, "all": is_complete, "targets": targets}) + b"\n"
        return b"%x\r\n%s\r\n" % (len(body), body)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(LIST_HEAD + self.chunk(True, self.targets))
            self.watches.add(writer)
            await reader.read()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.discard(writer)
            writer.transport.abort()

    def drain(self, host: int) -> None:
        """Lists a host as draining."""
        self.revision += 1
        self.targets[host] = {**self.targets[host], "state": "DRAINING"}
        for writer in self.watches:
            writer.write(self.chunk(False, [self.targets[host]]))

    async def send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            for writer in self.watches:
                writer.write(b"1\r\n\n\r\n")


@dataclass
class Controller:
    """One controller's process and the lines of its log."""

    name: str
    address: str
    environment: dict[str, str]
    process: asyncio.subprocess.Process | None = None
    lines: list[JsonObject] = field(default_factory=list)

    async def start(self, tree: Path, command: str) -> None:
        self.lines.clear()
        self.process = await asyncio.create_subprocess_shell(
            command,
            cwd=tree,
            env={"PATH": os.environ["PATH"], **self.environment},
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )

    async def read_log(self, on_line: Callable[[JsonObject], None]) -> None:
        assert self.process
        assert self.process.stderr
        async for text in self.process.stderr:
            line = orjson.loads(text)
            self.lines.append(line)
            on_line(line)

    def has_logged(self, event: str, **fields: object) -> bool:
        return any(
            line["event"] == event and all(line.get(key) == value for key, value in fields.items())
            for line in self.lines
        )

    def counters(self) -> JsonObject:
        lines = [line for line in self.lines if line["event"] == "counters"]
        return lines[-1] if lines else {}

    async def stop(self, number: signal.Signals) -> None:
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            await asyncio.wait_for(self.process.wait(), TIMEOUT_S)


class Group:
    """Controllers of one group, each of the build that `trees` names for it."""

    def __init__(self, trees: list[Path], command: str, net: int, folder: Path) -> None:
        self.trees = trees
        self.command = command
        self.net = net
        self.folder = folder
        self.service = ListService()
        self.fields_by_event: dict[str, set[str]] = defaultdict(set)
        self.counter_names: set[str] = set()
        self.errors: list[JsonObject] = []
        self.followers: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.controllers: list[Controller] = []

    def add_controllers(self, discovery: str) -> None:
        addresses = [f"127.{self.net}.0.{number + 1}" for number in range(CONTROLLERS)]
        for number, address in enumerate(addresses):
            name = f"n{number:04d}"
            configuration = {
                "name": name,
                "listen": f"{address}:{PROXY_PORT}",
                "discovery": discovery,
                "seed": f"{number + 1:x}",
                "limits": {"memory_mb": 192, "sockets": 1024},
                "known": {"rev": 1, "all": True, "targets": []},
                "settings": {
                    "classes": [{"name": "lookup", "idempotency": "retryable"}],
                    "dcs": ["a", "b", "c"],
                    "machineTypes": ["m"],
                    "familyInfo": {
                        "proxies": 9,
                        "pushRate": 2000.0,
                        "queueCap": 4000,
                        "envelope": 6,
                    },
                    "zone": number % 3,
                    "rank": number,
                    "instances": CONTROLLERS,
                },
            }
            features = {
                "membership": {
                    "group": "mixed",
                    "listen": f"{address}:{MEMBERSHIP_PORT}",
                    "seeds": [f"{seed}:{MEMBERSHIP_PORT}" for seed in addresses[:2]],
                },
                "coldstart": {
                    "links": {
                        "listen": f"{address}:{LINK_PORT}",
                        "port": LINK_PORT,
                        "watchers": 1,  # so that controllers of both builds follow another one
                    }
                },
                "learned": {"folder": str(self.folder), "every_s": 0.2},
            }
            paths = {
                "GW_CONFIG": self.folder / f"configuration{number}.json",
                "PLANKROUTE_FILE": self.folder / f"features{number}.json",
            }
            paths["GW_CONFIG"].write_bytes(orjson.dumps(configuration))
            paths["PLANKROUTE_FILE"].write_bytes(orjson.dumps(features))
            environment = {key: str(path) for key, path in paths.items()}
            self.controllers.append(Controller(name, address, environment))

    def record(self, line: JsonObject) -> None:
        event = line["event"]
        if event == "counters":
            self.counter_names |= line.keys()
        else:
            self.fields_by_event[event] |= line.keys()
        if event == "election_follower":
            self.followers.add(line["controller"])
        if line["level"] == "error":
            self.errors.append(line)

    def run_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self, number: int) -> None:
        controller = self.controllers[number]
        await controller.start(self.trees[number], self.command)
        self.run_task(controller.read_log(self.record))

    async def wait_until(self, what: str, holds: Callable[[], bool]) -> None:
        end_s = time.monotonic() + TIMEOUT_S
        while not holds():
            if time.monotonic() > end_s:
                newest = [controller.lines[-6:] for controller in self.controllers]
                raise AssertionError(f"{what}: not within {TIMEOUT_S:.0f} s; {newest}")
            await asyncio.sleep(POLL_INTERVAL_S)

    def all_logged(self, event: str) -> bool:
        return all(controller.has_logged(event) for controller in self.controllers)

    def have_joined(self) -> bool:
        return all(
            one.has_logged("member_joined", member=other.name)
            for one in self.controllers
            for other in self.controllers
            if one is not other
        )

    async def ask_counters(self) -> list[JsonObject]:
        for controller in self.controllers:
            assert controller.process
            controller.lines = [line for line in controller.lines if line["event"] != "counters"]
            controller.process.send_signal(signal.SIGUSR1)
        await self.wait_until(
            "counters", lambda: all(controller.counters() for controller in self.controllers)
        )
        return [controller.counters() for controller in self.controllers]

    async def wait_for_counter(self, name: str, at_least: int) -> None:
        """Waits until a counter of every controller is high enough."""
        end_s = time.monotonic() + TIMEOUT_S
        while True:
            counters = await self.ask_counters()
            if all(one.get(name, 0) >= at_least for one in counters):
                return
            assert time.monotonic() < end_s, (name, counters)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def report_requests(self, number: int) -> None:
        """Sends the sums of a collector; one host fails all its requests."""
        address = self.controllers[number].address
        _, writer = await asyncio.open_connection(address, PROXY_PORT)
        writer.write(b"agent locality=a\r\n")
        for host in range(HOSTS):
            errors = 40 if host == FAILING_HOST else 0
            writer.write(
                b"outcomes locality=a endpoint=h%d total=40 errors=%d rtt=20.0 interval=1000.0\r\n"
                % (host, errors)
            )
        await writer.drain()

    async def join_proxy(self, number: int) -> bytes:
        """Connects a proxy and returns its first table."""
        reader, writer = await asyncio.open_connection(self.controllers[number].address, PROXY_PORT)
        writer.write(b"hello node=%d locality=a w=1 cold=1\r\n" % number)
        line = await asyncio.wait_for(reader.readline(), TIMEOUT_S)
        while b"replace=1" not in line:
            assert line, "the controller closed the connection of a proxy"
            line = await asyncio.wait_for(reader.readline(), TIMEOUT_S)
        nonce = line.split(b"stamp=")[1].split()[0]
        writer.write(b"ack node=%d nonce=%s latency=1.5\r\n" % (number, nonce))
        await writer.drain()
        return line

    async def play(self, trees_after_restart: list[Path]) -> None:
        """Starts the group, shares a list and a drain, restarts each controller once.

        Args:
            trees_after_restart: The build of each controller from its restart on.
        """
        server = await asyncio.start_server(self.service.serve, "127.0.0.1", 0)
        self.run_task(self.service.send_heartbeats())
        self.add_controllers(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        try:
            for number in range(CONTROLLERS):
                await self.start(number)
            await self.wait_until("listening", lambda: self.all_logged("listening"))
            await self.wait_until("members", self.have_joined)
            await self.wait_until("list", self.have_list)
            self.service.drain(DRAINED_HOST)
            await self.wait_until("list with the drained host", self.have_list)
            for number in range(CONTROLLERS):
                assert b"h1:" in await self.join_proxy(number)
                await self.report_requests(number)
            await self.wait_until("files", self.have_files)
            for number in range(CONTROLLERS):
                self.trees[number] = trees_after_restart[number]
                await self.restart(number)
            await self.wait_for_counter("warm_start.hosts_provided", 1)
            self.check_counters(await self.ask_counters())
        finally:
            for controller in self.controllers:
                await controller.stop(signal.SIGKILL)
            server.close()
            for task in list(self.tasks):
                task.cancel()

    def have_list(self) -> bool:
        """Whether all controllers have the list's newest revision."""
        return all(
            one.has_logged("list", revision=self.service.revision) for one in self.controllers
        )

    def have_files(self) -> bool:
        return all((self.folder / f"{one.name}.learned").exists() for one in self.controllers)

    async def restart(self, number: int) -> None:
        controller = self.controllers[number]
        await asyncio.sleep(0.5)  # at least one snapshot since the reports
        await controller.stop(signal.SIGTERM)
        assert controller.process
        assert controller.process.returncode == 0, controller.process.returncode
        await asyncio.sleep(POLL_INTERVAL_S)  # for the last lines of the log
        assert controller.has_logged("warm_start_handed_over"), controller.lines[-6:]
        await self.start(number)
        for event in ("listening", "warm_start_file_read", "warm_start_peer_asked"):
            await self.wait_until(
                f"{controller.name}: {event}", lambda event=event: controller.has_logged(event)
            )
        assert controller.has_logged("warm_start_file_read", hosts=KNOWN_HOSTS), controller.lines

    def check_counters(self, counters: list[JsonObject]) -> None:
        for one in counters:
            assert not one.get("core.failed"), one
            for name, count in one.items():
                dropped = ("membership.dropped.malformed", "links.rejected", "links.protocol")
                assert not (name.startswith(dropped) and count), (name, count)
        assert not self.errors, self.errors


def run_group(trees: list[Path], trees_after: list[Path], command: str, net: int) -> Group:
    """Plays one group in a folder of its own."""
    with tempfile.TemporaryDirectory(prefix="plankroute-mixed-") as folder:
        group = Group(list(trees), command, net, Path(folder))
        asyncio.run(group.play(trees_after))
    return group


def print_difference(what: str, old: set[str], new: set[str]) -> None:
    print(f"{what}: {len(old)} old, {len(new)} new")
    for name in sorted(old ^ new):
        print(f"  {'only old' if name in old else 'only new'}: {name}")


def main() -> int:
    """Plays groups of one build and of both; returns the exit status."""
    old, new = (Path(argument).resolve() for argument in sys.argv[1:3])
    deploy = tomllib.loads((old / "deploy" / "balancer.toml").read_text())
    command = deploy["run"]
    only_old, only_new = [old] * CONTROLLERS, [new] * CONTROLLERS
    mixed, other_way_round = [old, new] * 2, [new, old] * 2
    plays = {
        "old build alone": (only_old, only_old),
        "new build alone": (only_new, only_new),
        "mixed, each restarted as the other build": (mixed, other_way_round),
        "mixed the other way round": (other_way_round, mixed),
    }
    groups: dict[str, Group] = {}
    for net, (name, (trees, trees_after)) in enumerate(plays.items(), 90):
        groups[name] = run_group(trees, trees_after, command, net)
        print(f"{name}: all checks kept; followers of a list: {sorted(groups[name].followers)}")
    first, second = groups["old build alone"], groups["new build alone"]
    print_difference("log events", set(first.fields_by_event), set(second.fields_by_event))
    for event in sorted(first.fields_by_event.keys() & second.fields_by_event.keys()):
        old_fields, new_fields = first.fields_by_event[event], second.fields_by_event[event]
        if old_fields != new_fields:
            print_difference(f"fields of {event}", old_fields, new_fields)
    print_difference("counters", first.counter_names, second.counter_names)
    return 0


if __name__ == "__main__":
    sys.exit(main())
