"""Runs real controllers as processes: starts, pauses and kills them by script, reads their logs.

Only processes that were started here are ended, each through its handle.
"""

import asyncio
import ctypes
import os
import signal
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable, Coroutine, Iterable
from pathlib import Path
from typing import Any

import orjson

from plankroute.net.process.service import FEATURE_FILE_VARIABLE
from plankroute.testbed.faults import SECOND, Act, Step
from plankroute.testbed.history import ExecutedStep, History, StatusReport
from plankroute.testbed.links import Address, DatagramLinks, StreamLinks
from plankroute.testbed.plan import JsonObject, Plan

LogLine = dict[str, Any]  # a line of a controller's log: event, level, and fields of the event

MEMBERSHIP_PORT = 7946  # where a controller receives membership datagrams
ADVERTISED_MEMBERSHIP_PORT = 7947  # where others send them: the relay that injects faults
STREAM_PORT = 7948  # where proxies and collectors connect
LINK_PORT = 7950  # where a controller accepts links from other controllers
ADVERTISED_LINK_PORT = 7951  # where others open links: the relay that injects faults
# Nothing listens there: controllers have only the endpoint list in their configuration.
NO_DISCOVERY = "127.0.0.1:9"
GROUP_NAME = "lab"
SIGNALS = {
    Act.KILL: signal.SIGKILL,
    Act.PAUSE: signal.SIGSTOP,
    Act.RESUME: signal.SIGCONT,
    Act.LEAVE: signal.SIGTERM,
}
MAX_LOG_LINES = 200  # kept for each member, to diagnose failed runs
JOIN_TIMEOUT_S = 60.0  # until all have joined: some hundred interpreters may start at once
COUNTERS_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02
PR_SET_PDEATHSIG = 1  # option of Linux's prctl
SETTINGS: JsonObject = {
    "classes": [{"name": "lookup", "idempotency": "retryable"}],
    "dcs": ["a", "b", "c"],
    "machineTypes": ["m"],
    "familyInfo": {"proxies": 9, "pushRate": 2000.0, "queueCap": 4000, "envelope": 6},
}


def die_with_parent() -> None:
    """Makes the kernel kill this process when its parent ends.

    Runs in a child process before its program starts. Otherwise controllers would outlive a testbed
    that is itself killed, and keep their addresses in use.
    """
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class ControllerProcesses:
    """The processes of a plan.

    Attributes:
        history: Status changes that the members reported about each other, and the steps that were
            run.
        listen_addresses: By member, the address on which it receives membership datagrams.
        advertised_addresses: By member, the address to which others send these datagrams.
        running: By member, its latest process, which may have ended.
        log_lines: By member, the latest lines of its log.
        configurations: By member, fields that are added to its configuration only.
        on_line: Called with the member and each line of its log.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.history = History(plan.members)
        self.advertised_port = (
            MEMBERSHIP_PORT if plan.has_direct_links else ADVERTISED_MEMBERSHIP_PORT
        )
        self.advertised_link_port = LINK_PORT if plan.has_direct_links else ADVERTISED_LINK_PORT
        self.listen_addresses = self.addresses(MEMBERSHIP_PORT)
        self.advertised_addresses = self.addresses(self.advertised_port)
        self.links = DatagramLinks(
            self.listen_addresses, self.advertised_addresses, plan.script, self.script_us
        )
        self.streams = StreamLinks(
            self.addresses(LINK_PORT),
            self.addresses(ADVERTISED_LINK_PORT),
            plan.script,
            self.script_us,
        )
        self.member_by_name = {
            self.name(member): member for member in reversed(range(plan.members))
        }
        self.running: dict[int, asyncio.subprocess.Process] = {}
        self.log_lines: list[deque[LogLine]] = [
            deque(maxlen=MAX_LOG_LINES) for _ in range(plan.members)
        ]
        self.tasks: set[asyncio.Task[None]] = set()
        self.folder = tempfile.TemporaryDirectory(prefix="plankroute-testbed-")
        self.launched_ns = time.monotonic_ns()
        self.script_began_us: int | None = None
        self.configurations: dict[int, JsonObject] = {}
        self.on_line: Callable[[int, LogLine], None] = lambda member, line: None
        self.gate: tuple[int, ...] = os.pipe() if plan.starts_at_once else ()

    # Members and addresses

    def addresses(self, port: int) -> list[Address]:
        """Returns the loopback address of each member with this port."""
        return [
            (f"127.{self.plan.loopback_net}.{member // 250}.{member % 250 + 1}", port)
            for member in range(self.plan.members)
        ]

    def name(self, member: int) -> str:
        """Returns the name of a member."""
        return self.plan.names.get(member, f"n{member:04d}")

    def initial_members(self) -> list[int]:
        """Returns the members that are started at launch."""
        return [
            member for member in range(self.plan.members) if member not in self.plan.started_later
        ]

    # Time

    def now_us(self) -> int:
        """Returns the microseconds since the launch, which is the clock of the history."""
        return (time.monotonic_ns() - self.launched_ns) // 1000

    def script_us(self) -> int | None:
        """Returns the microseconds since the start of the script; None before its start."""
        return None if self.script_began_us is None else self.now_us() - self.script_began_us

    def history_us(self, script_s: float) -> int:
        """Converts seconds of the script into microseconds of the history's clock.

        As long as the script has not started, its start counts as -1 us.
        """
        began_us = -1 if self.script_began_us is None else self.script_began_us
        return began_us + int(script_s * SECOND)

    # Files of a process

    def feature_file(self, member: int) -> JsonObject:
        """Returns the content of a member's feature file."""
        sections: JsonObject = {**self.plan.sections}
        if self.plan.has_membership:
            sections["membership"] = self.membership_section(member)
        if self.plan.has_links:
            cold_start = sections["coldstart"]
            links = {
                "listen": f"{self.listen_addresses[member][0]}:{LINK_PORT}",
                "port": self.advertised_link_port,
                **cold_start.get("links", {}),
            }
            sections["coldstart"] = {**cold_start, "links": links}
        return sections

    def membership_section(self, member: int) -> JsonObject:
        """Returns the membership section of a member's feature file."""
        host = self.listen_addresses[member][0]
        seeds = [seed for seed in self.plan.seeds if seed < self.plan.members]
        return {
            "group": GROUP_NAME,
            "listen": f"{host}:{MEMBERSHIP_PORT}",
            "advertise": f"{host}:{self.advertised_port}",
            "seeds": [
                f"{self.advertised_addresses[seed][0]}:{self.advertised_port}" for seed in seeds
            ],
            **self.plan.membership,
        }

    def configuration(self, member: int) -> JsonObject:
        """Returns the configuration of a member."""
        settings = {**SETTINGS, "zone": member % 3, "rank": member, "instances": self.plan.members}
        return {
            "name": self.name(member),
            "listen": f"{self.listen_addresses[member][0]}:{STREAM_PORT}",
            "discovery": NO_DISCOVERY,
            "seed": f"{member + 1:x}",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": {"rev": 1, "all": True, "targets": []},
            **self.plan.configuration,
            **self.configurations.get(member, {}),
            "settings": {**settings, **self.plan.settings},
        }

    def feature_file_path(self, member: int) -> Path:
        """Returns the path of a member's feature file."""
        return Path(self.folder.name) / f"features{member}.json"

    def write_files(self, member: int) -> dict[str, str]:
        """Writes a member's files; returns the environment variables that name them."""
        path = Path(self.folder.name) / f"configuration{member}.json"
        path.write_bytes(orjson.dumps(self.configuration(member)))
        environment = {"GW_CONFIG": str(path)}
        if self.plan.has_feature_file:
            path = self.feature_file_path(member)
            path.write_bytes(orjson.dumps(self.feature_file(member)))
            environment[FEATURE_FILE_VARIABLE] = str(path)
        return environment

    # Processes

    async def start(self, member: int) -> None:
        """Starts a new process of a member, and reads its log in the background."""
        environment = {
            "PYTHONPATH": ":".join(sys.path),
            "PYTHONDONTWRITEBYTECODE": "1",
            **self.write_files(member),
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *self.program(member),
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=die_with_parent,
            env=environment,
            pass_fds=self.gate[:1],
        )
        self.running[member] = process
        self.run_task(self.read_log(member, process))

    def program(self, member: int) -> list[str]:
        """Returns the module that a member runs, followed by its arguments."""
        if member in self.plan.clock_jumps:
            after_s, jump_s = self.plan.clock_jumps[member]
            return ["plankroute.testbed.skewed_controller", str(after_s), str(jump_s)]
        if self.gate:
            return ["plankroute.testbed.gated_controller", str(self.gate[0])]
        return ["plankroute"]

    def are_waiting(self) -> bool:
        """Returns whether all processes have logged that they wait at the gate."""
        return all(self.has_logged(member, "waits") for member in self.running)

    async def open_gate(self) -> bool:
        """Waits for all processes at the gate, then opens it and restarts the history's clock.

        The gate is opened after a timeout as well.

        Returns:
            Whether all processes were waiting before the timeout.
        """
        all_waiting = await self.wait_until(self.are_waiting, JOIN_TIMEOUT_S)
        self.launched_ns = time.monotonic_ns()
        self.close_gate()
        return all_waiting

    def close_gate(self) -> None:
        """Closes both ends of the gate's pipe, which lets waiting processes start."""
        for end in self.gate:
            os.close(end)
        self.gate = ()

    def run_task(self, work: Coroutine[None, None, None]) -> None:
        """Runs a coroutine in the background; `close` cancels it if it has not ended."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_step(self, step: Step) -> None:
        """Runs a step now, whatever its time, and records it in the history.

        A signal to a process that has ended is not sent.
        """
        self.history.executed_steps.append(ExecutedStep(self.now_us(), step.act.value, step.member))
        if step.act is Act.START:
            await self.start(step.member)
            return
        process = self.running.get(step.member)
        if process and process.returncode is None:
            process.send_signal(SIGNALS[step.act])

    def send_reload(self, member: int) -> None:
        """Sends SIGHUP to a member's process if it is running."""
        process = self.running.get(member)
        if process and process.returncode is None:
            process.send_signal(signal.SIGHUP)

    async def launch(self) -> bool:
        """Opens the datagram links and starts the initial members.

        Returns:
            Whether each of them has seen all the others join before the timeout.
        """
        if not self.plan.has_direct_links:
            await self.links.open()
        for member in self.initial_members():
            await self.start(member)
        return await self.wait_until(
            lambda: self.have_joined(self.initial_members()), JOIN_TIMEOUT_S
        )

    async def run_script(self) -> None:
        """Runs the script's steps at their times; its rules apply from now on.

        Returns at the end of the script; see `Script.end_s`.
        """
        script = self.plan.script
        self.script_began_us = self.now_us()
        for step in script.steps:
            await self.sleep_until(step.at_s)
            await self.run_step(step)
        await self.sleep_until(script.end_s())

    async def sleep_until(self, script_s: float) -> None:
        """Sleeps until a time of the script, in seconds from its start."""
        await asyncio.sleep(max(0.0, (self.history_us(script_s) - self.now_us()) / 1e6))

    async def close(self) -> None:
        """Kills all processes, cancels background tasks, closes links and deletes the files."""
        self.history.ends_us = self.now_us()
        self.close_gate()
        for process in self.running.values():
            if process.returncode is None:
                process.kill()
        for process in self.running.values():
            await process.wait()
        for task in list(self.tasks):
            task.cancel()
        self.links.close()
        self.streams.close()
        self.folder.cleanup()

    # Logs

    async def read_log(self, member: int, process: asyncio.subprocess.Process) -> None:
        """Reads the log of one process to its end.

        Each line is stamped with its time of arrival, because wall clocks of members may jump.
        """
        assert process.stderr
        async for text in process.stderr:
            try:
                line = orjson.loads(text)
            except orjson.JSONDecodeError:
                line = {"event": "unreadable", "text": text.decode("ascii", "replace").strip()}
            line["at_us"] = self.now_us()
            self.log_lines[member].append(line)
            self.on_line(member, line)
            self.record_change(member, line)

    def record_change(self, observer: int, line: LogLine) -> None:
        """Adds a log line to the history if it reports a status change of a member."""
        kind, _, change = str(line.get("event", "")).partition("_")
        subject = self.member_by_name.get(line.get("member", ""))
        if kind in ("member", "membership") and subject is not None:
            report = StatusReport(
                line["at_us"], observer, subject, change, line["life"], line["incarnation"]
            )
            self.history.reports.append(report)

    def has_logged(self, member: int, event: str, **details: object) -> bool:
        """Returns whether the kept log lines of a member have an event with these fields."""
        return any(
            line.get("event") == event
            and all(line.get(key) == value for key, value in details.items())
            for line in self.log_lines[member]
        )

    def have_joined(self, members: Iterable[int]) -> bool:
        """Returns whether each of these members has reported that all the others joined.

        Members that share a name count as one.
        """
        members = list(members)
        known = {
            (report.observer, report.subject)
            for report in self.history.reports_of("joined", "recovered")
        }
        return all(
            (one, self.member_by_name[self.name(other)]) in known
            for one in members
            for other in members
            if self.name(one) != self.name(other)
        )

    async def wait_until(self, holds: Callable[[], bool], limit_s: float) -> bool:
        """Polls a condition; returns whether it held within `limit_s` seconds."""
        end_s = time.monotonic() + limit_s
        while not holds():
            if time.monotonic() > end_s:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        return True

    async def ask_counters(self, member: int) -> JsonObject:
        """Asks a process for its counters by SIGUSR1; returns {} after a timeout."""
        before = len(self.counter_lines(member))
        self.running[member].send_signal(signal.SIGUSR1)
        await self.wait_until(lambda: len(self.counter_lines(member)) > before, COUNTERS_TIMEOUT_S)
        new = self.counter_lines(member)[before:]
        return new[-1] if new else {}

    def counter_lines(self, member: int) -> list[LogLine]:
        """Returns the kept log lines of a member that hold its counters."""
        return [line for line in self.log_lines[member] if line.get("event") == "counters"]
