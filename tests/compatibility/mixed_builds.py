"""Runs controllers of two builds in one group and checks that they work together.

    python tests/compatibility/mixed_builds.py OLD_TREE NEW_TREE

Each tree is a clone in which the `build` command of its deploy file has run. All controllers are
started by the `run` command of the old tree's deploy file, with the same configuration and feature
files for both builds. The script observes the processes only from outside: by files, sockets and
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
KNOWN_HOSTS = HOSTS - 1  # a snapshot omits the drained host
PROXY_PORT = 7948
MEMBERSHIP_PORT = 7946
LINK_PORT = 7950
TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
LIST_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ListService:
    """A discovery server that serves the endpoint list to watches and sends them its changes.

    Attributes:
        revision: Revision of the list.
        targets: The listed hosts, as in the JSON format of discovery.
        watches: Streams of the open watches.
    """

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
        """Returns a list, or changes of one, as a chunk of an HTTP response."""
        body = orjson.dumps({"rev": self.revision, "all": is_complete, "targets": targets}) + b"\n"
        return b"%x\r\n%s\r\n" % (len(body), body)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Sends the complete list, and keeps the watch open until the controller closes it."""
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
        """Lists a host as draining and sends the change to all watches."""
        self.revision += 1
        self.targets[host] = {**self.targets[host], "state": "DRAINING"}
        for writer in self.watches:
            writer.write(self.chunk(False, [self.targets[host]]))

    async def send_heartbeats(self) -> None:
        """Sends an empty line to all watches every 0.5 s."""
        while True:
            await asyncio.sleep(0.5)
            for writer in self.watches:
                writer.write(b"1\r\n\n\r\n")


@dataclass
class Controller:
    """One controller's process and the lines of its log.

    Attributes:
        name: Name of the controller.
        address: Its loopback address.
        environment: Environment variables of the process, apart from PATH.
        process: The process; None before the first start.
        lines: Log lines of the process since its last start.
    """

    name: str
    address: str
    environment: dict[str, str]
    process: asyncio.subprocess.Process | None = None
    lines: list[JsonObject] = field(default_factory=list)

    async def start(self, tree: Path, command: str) -> None:
        """Starts a process by a shell command in a tree, and forgets earlier log lines."""
        self.lines.clear()
        self.process = await asyncio.create_subprocess_shell(
            command,
            cwd=tree,
            env={"PATH": os.environ["PATH"], **self.environment},
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )

    async def read_log(self, on_line: Callable[[JsonObject], None]) -> None:
        """Reads log lines until the process closes its log, and passes each to `on_line`."""
        assert self.process
        assert self.process.stderr
        async for text in self.process.stderr:
            line = orjson.loads(text)
            self.lines.append(line)
            on_line(line)

    def has_logged(self, event: str, **fields: object) -> bool:
        """Whether a log line has this event and these fields."""
        return any(
            line["event"] == event and all(line.get(key) == value for key, value in fields.items())
            for line in self.lines
        )

    def counters(self) -> JsonObject:
        """Returns the last line of counters, or an empty object if there is none."""
        lines = [line for line in self.lines if line["event"] == "counters"]
        return lines[-1] if lines else {}

    async def stop(self, signal_number: signal.Signals) -> None:
        """Sends a signal to a running process and waits until it ends."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal_number)
            await asyncio.wait_for(self.process.wait(), TIMEOUT_S)


class Group:
    """Controllers of one group and the discovery server that they use.

    Attributes:
        trees: The tree of the build that each controller runs.
        command: Shell command that starts a controller.
        network: Second byte of the controllers' loopback addresses.
        folder: Folder of the controllers' files.
        service: The discovery server.
        fields_by_event: Names of the fields that were logged with each event.
        counter_names: Names of all counters that were logged.
        errors: Log lines of level error.
        followers: Names of the controllers that were a follower at any time.
        tasks: Running tasks.
        controllers: The controllers, by number.
    """

    def __init__(self, trees: list[Path], command: str, network: int, folder: Path) -> None:
        self.trees = trees
        self.command = command
        self.network = network
        self.folder = folder
        self.service = ListService()
        self.fields_by_event: dict[str, set[str]] = defaultdict(set)
        self.counter_names: set[str] = set()
        self.errors: list[JsonObject] = []
        self.followers: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.controllers: list[Controller] = []

    def add_controllers(self, discovery: str) -> None:
        """Writes the files of all controllers, which use the discovery server at this address."""
        addresses = [f"127.{self.network}.0.{number + 1}" for number in range(CONTROLLERS)]
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
                        "watchers": 1,  # so that controllers of both builds become followers
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
        """Records event, fields and level of a log line."""
        event = line["event"]
        if event == "counters":
            self.counter_names |= line.keys()
        else:
            self.fields_by_event[event] |= line.keys()
        if event == "election_follower":
            self.followers.add(line["controller"])
        if line["level"] == "error":
            self.errors.append(line)

    def run_task(self, coroutine: Coroutine[None, None, None]) -> None:
        """Runs a coroutine as a task, and keeps the task until it is done."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self, number: int) -> None:
        """Starts a controller and records its log."""
        controller = self.controllers[number]
        await controller.start(self.trees[number], self.command)
        self.run_task(controller.read_log(self.record))

    async def wait_until(self, awaited: str, holds: Callable[[], bool]) -> None:
        """Polls a condition until it holds.

        Args:
            awaited: What is awaited, for the error message.
            holds: The condition.

        Raises:
            AssertionError: The condition did not hold within `TIMEOUT_S`.
        """
        end_s = time.monotonic() + TIMEOUT_S
        while not holds():
            if time.monotonic() > end_s:
                last_lines = [controller.lines[-6:] for controller in self.controllers]
                raise AssertionError(
                    f"{awaited}: timed out after {TIMEOUT_S:.0f} s; last log lines: {last_lines}"
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    def all_logged(self, event: str) -> bool:
        """Whether all controllers have logged an event."""
        return all(controller.has_logged(event) for controller in self.controllers)

    def have_joined(self) -> bool:
        """Whether each controller has logged that each other one joined."""
        return all(
            controller.has_logged("member_joined", member=other.name)
            for controller in self.controllers
            for other in self.controllers
            if controller is not other
        )

    async def request_counters(self) -> list[JsonObject]:
        """Makes all controllers log their counters, and returns them."""
        for controller in self.controllers:
            assert controller.process
            controller.lines = [line for line in controller.lines if line["event"] != "counters"]
            controller.process.send_signal(signal.SIGUSR1)
        await self.wait_until(
            "counters", lambda: all(controller.counters() for controller in self.controllers)
        )
        return [controller.counters() for controller in self.controllers]

    async def wait_for_counter(self, name: str, at_least: int) -> None:
        """Waits until a counter of every controller is at least this high."""
        end_s = time.monotonic() + TIMEOUT_S
        while True:
            counters = await self.request_counters()
            if all(values.get(name, 0) >= at_least for values in counters):
                return
            assert time.monotonic() < end_s, (name, counters)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def report_requests(self, number: int) -> None:
        """Sends request statistics to a controller; all requests to `FAILING_HOST` failed."""
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
        """Connects a proxy, acknowledges its first complete table and returns it."""
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

    async def run(self, trees_after_restart: list[Path]) -> None:
        """Starts the group, drains a host and restarts each controller once, with checks.

        Args:
            trees_after_restart: The tree of each controller's build after its restart.
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
            self.check_counters(await self.request_counters())
        finally:
            for controller in self.controllers:
                await controller.stop(signal.SIGKILL)
            server.close()
            for task in list(self.tasks):
                task.cancel()

    def have_list(self) -> bool:
        """Whether all controllers have logged the newest revision of the list."""
        return all(
            controller.has_logged("list", revision=self.service.revision)
            for controller in self.controllers
        )

    def have_files(self) -> bool:
        """Whether the snapshot files of all controllers exist."""
        return all(
            (self.folder / f"{controller.name}.learned").exists() for controller in self.controllers
        )

    async def restart(self, number: int) -> None:
        """Restarts a controller, and checks that it hands over and reads back its knowledge."""
        controller = self.controllers[number]
        await asyncio.sleep(0.5)  # so that at least one snapshot is newer than the reports
        await controller.stop(signal.SIGTERM)
        assert controller.process
        assert controller.process.returncode == 0, controller.process.returncode
        await asyncio.sleep(POLL_INTERVAL_S)  # so that the last log lines are read
        assert controller.has_logged("warm_start_handed_over"), controller.lines[-6:]
        await self.start(number)
        for event in ("listening", "warm_start_file_read", "warm_start_peer_asked"):
            await self.wait_until(
                f"{controller.name}: {event}", lambda event=event: controller.has_logged(event)
            )
        assert controller.has_logged("warm_start_file_read", hosts=KNOWN_HOSTS), controller.lines

    def check_counters(self, counters: list[JsonObject]) -> None:
        """Checks that nothing failed and that no message of another build was rejected."""
        for values in counters:
            assert not values.get("core.failed"), values
            for name, count in values.items():
                dropped = ("membership.dropped.malformed", "links.rejected", "links.protocol")
                assert not (name.startswith(dropped) and count), (name, count)
        assert not self.errors, self.errors


def run_group(trees: list[Path], trees_after: list[Path], command: str, network: int) -> Group:
    """Runs a group in a temporary folder and returns it with its records."""
    with tempfile.TemporaryDirectory(prefix="plankroute-mixed-") as folder:
        group = Group(list(trees), command, network, Path(folder))
        asyncio.run(group.run(trees_after))
    return group


def print_difference(title: str, old: set[str], new: set[str]) -> None:
    """Prints the sizes of two sets and the names that only one of them contains."""
    print(f"{title}: {len(old)} old, {len(new)} new")
    for name in sorted(old ^ new):
        print(f"  {'only old' if name in old else 'only new'}: {name}")


def main() -> int:
    """Runs groups of one build and of both builds; returns the exit status."""
    old, new = (Path(argument).resolve() for argument in sys.argv[1:3])
    deploy = tomllib.loads((old / "deploy" / "balancer.toml").read_text())
    command = deploy["run"]
    only_old, only_new = [old] * CONTROLLERS, [new] * CONTROLLERS
    mixed, swapped = [old, new] * 2, [new, old] * 2
    builds = {
        "old build alone": (only_old, only_old),
        "new build alone": (only_new, only_new),
        "mixed, each restarted as the other build": (mixed, swapped),
        "mixed, with the builds swapped": (swapped, mixed),
    }
    groups: dict[str, Group] = {}
    for network, (name, (trees, trees_after)) in enumerate(builds.items(), 90):
        groups[name] = run_group(trees, trees_after, command, network)
        print(f"{name}: all checks passed; followers: {sorted(groups[name].followers)}")
    old_group, new_group = groups["old build alone"], groups["new build alone"]
    print_difference("log events", set(old_group.fields_by_event), set(new_group.fields_by_event))
    for event in sorted(old_group.fields_by_event.keys() & new_group.fields_by_event.keys()):
        old_fields, new_fields = old_group.fields_by_event[event], new_group.fields_by_event[event]
        if old_fields != new_fields:
            print_difference(f"fields of {event}", old_fields, new_fields)
    print_difference("counters", old_group.counter_names, new_group.counter_names)
    return 0


if __name__ == "__main__":
    sys.exit(main())
