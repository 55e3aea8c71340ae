"""Real stewards as processes: started, paused, killed and restarted by script, their logs gathered into one
history.

Ends no process but those that it started, each by its handle."""

import asyncio
import ctypes
import os
import signal
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec
import orjson

from plankroute.net.process.service import FEATURE_FILE_VARIABLE
from plankroute.testbed.faults import SECOND, Act, Script, Step
from plankroute.testbed.history import Done, Entry, History
from plankroute.testbed.links import Address, Links, Streams

REAL_PORT, KNOWN_PORT, STREAM_PORT = 7946, 7947, 7948
LINK_PORT, PEER_PORT = (
    7950,
    7951,
)  # of links between stewards: where they listen, and where others reach them
NOWHERE = "127.0.0.1:9"  # no discovery: the list that is handed over is all there is
SIGNALS = {
    Act.KILL: signal.SIGKILL,
    Act.PAUSE: signal.SIGSTOP,
    Act.RESUME: signal.SIGCONT,
    Act.LEAVE: signal.SIGTERM,
}
KEPT_LINES = 200  # of each process's log, for whoever looks why
JOIN_S = 60.0  # for all to join: some hundred interpreters may start at once
LOOK_S = 0.02
DEATH_SIGNAL = 1  # PR_SET_PDEATHSIG of Linux
SETTINGS = {
    "classes": [{"name": "lookup", "idempotency": "retryable"}],
    "dcs": ["a", "b", "c"],
    "machineTypes": ["m"],
    "familyInfo": {"proxies": 9, "pushRate": 2000.0, "queueCap": 4000, "envelope": 6},
}


def die_with_the_lab() -> None:
    """Before a steward begins. Guards against stewards that outlive a lab that was itself killed: they hold
    their addresses for good."""
    ctypes.CDLL(None).prctl(DEATH_SIGNAL, signal.SIGKILL)


class Plan(msgspec.Struct, frozen=True):
    """A group of real stewards. `net`: the second figure of its loopback addresses, of each group its own."""

    members: int
    script: Script
    net: int
    seeds: tuple[int, ...] = (0, 1, 2)
    absent: tuple[int, ...] = ()  # not started until a step says so
    names: dict[int, str] = {}  # where a member goes by another's name
    skewed: dict[
        int, tuple[float, float]
    ] = {}  # whose clock of the day jumps: after so long, by so much
    own: dict[str, Any] = {}  # more of the membership section
    more: dict[str, Any] = {}  # further sections of our own file
    told: dict[str, Any] = {}  # instead of the usual words of the configuration
    settings: dict[str, Any] = {}  # and of its settings
    is_bare: bool = False  # without our own file
    has_members: bool = True  # with a membership section
    has_links: bool = False  # and links between stewards
    is_direct: bool = (
        False  # no faulty links in between: for sizes at which they would be what is measured
    )
    is_gated: bool = False  # all processes wait, and start at one moment


class Fleet:
    def __init__(self, plan: Plan) -> None:
        self.plan, self.history = plan, History(plan.members)
        self.known_port, self.peer_port = (
            (REAL_PORT, LINK_PORT) if plan.is_direct else (KNOWN_PORT, PEER_PORT)
        )
        self.real, self.known = self.addresses(REAL_PORT), self.addresses(self.known_port)
        self.links = Links(self.real, self.known, plan.script, self.script_us)
        self.streams = Streams(
            self.addresses(LINK_PORT), self.addresses(PEER_PORT), plan.script, self.script_us
        )
        self.places = {self.name(member): member for member in reversed(range(plan.members))}
        self.running: dict[int, asyncio.subprocess.Process] = {}
        self.lines: list[deque[dict[str, Any]]] = [
            deque(maxlen=KEPT_LINES) for _ in range(plan.members)
        ]
        self.tasks = set[asyncio.Task[None]]()
        self.folder = tempfile.TemporaryDirectory(prefix="plankroute-lab-")
        self.launched_ns, self.began_us = time.monotonic_ns(), -1
        self.instead: dict[
            int, dict[str, Any]
        ] = {}  # by member, words of the configuration of its own
        self.on_line: Callable[[int, dict[str, Any]], None] = lambda member, said: None
        self.gate: tuple[int, ...] = os.pipe() if plan.is_gated else ()

    def addresses(self, port: int) -> list[Address]:
        return [
            (f"127.{self.plan.net}.{member // 250}.{member % 250 + 1}", port)
            for member in range(self.plan.members)
        ]

    def name(self, member: int) -> str:
        return self.plan.names.get(member, f"n{member:04d}")

    def now_us(self) -> int:
        """Since the launch: the clock of the history."""
        return (time.monotonic_ns() - self.launched_ns) // 1000

    def script_us(self) -> int | None:
        return None if self.began_us < 0 else self.now_us() - self.began_us

    def at(self, script_s: float) -> int:
        """A moment of the script on the history's clock."""
        return self.began_us + int(script_s * SECOND)

    def own_file(self, member: int) -> dict[str, Any]:
        host = self.real[member][0]
        seeds = [
            f"{self.known[seed][0]}:{self.known_port}"
            for seed in self.plan.seeds
            if seed < self.plan.members
        ]
        own: dict[str, Any] = {**self.plan.more}
        if self.plan.has_members:
            own["membership"] = {
                "group": "lab",
                "listen": f"{host}:{REAL_PORT}",
                "advertise": f"{host}:{self.known_port}",
                "seeds": seeds,
                **self.plan.own,
            }
        if self.plan.has_links:
            own["coldstart"] = {
                **own["coldstart"],
                "links": {
                    "listen": f"{host}:{LINK_PORT}",
                    "port": self.peer_port,
                    **own["coldstart"].get("links", {}),
                },
            }
        return own

    def configuration(self, member: int) -> dict[str, Any]:
        settings = {**SETTINGS, "zone": member % 3, "rank": member, "instances": self.plan.members}
        return {
            "name": self.name(member),
            "listen": f"{self.real[member][0]}:{STREAM_PORT}",
            "discovery": NOWHERE,
            "seed": f"{member + 1:x}",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": {"rev": 1, "all": True, "targets": []},
            **self.plan.told,
            **self.instead.get(member, {}),
            "settings": {**settings, **self.plan.settings},
        }

    async def start(self, member: int) -> None:
        folder, environment = (
            Path(self.folder.name),
            {"PYTHONPATH": ":".join(sys.path), "PYTHONDONTWRITEBYTECODE": "1"},
        )
        files = {"GW_CONFIG": (folder / f"told{member}.json", self.configuration(member))}
        if not self.plan.is_bare:
            files[FEATURE_FILE_VARIABLE] = folder / f"own{member}.json", self.own_file(member)
        for variable, (path, what) in files.items():
            path.write_bytes(orjson.dumps(what))
            environment[variable] = str(path)
        words = ["-m", "plankroute"]
        if member in self.plan.skewed:
            words = [
                "-m",
                "plankroute.testbed.skewed_controller",
                *map(str, self.plan.skewed[member]),
            ]
        elif self.gate:
            words = ["-m", "plankroute.testbed.gated_controller", str(self.gate[0])]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *words,
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=die_with_the_lab,
            env=environment,
            pass_fds=self.gate[:1],
        )
        self.running[member] = process
        self.keep(self.gather(member, process))

    def are_waiting(self) -> bool:
        return all(
            any(line.get("event") == "waits" for line in self.lines[member])
            for member in self.running
        )

    async def open_gate(self) -> bool:
        """All start at one moment, once all are there; the history's clock starts anew."""
        came = await self.until(self.are_waiting, JOIN_S)
        self.launched_ns = time.monotonic_ns()
        gate, self.gate = self.gate, ()
        for end in gate:
            os.close(end)
        return came

    def keep(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def gather(self, member: int, process: asyncio.subprocess.Process) -> None:
        """The log of one process; times are those of arrival, since clocks of the day may jump."""
        assert process.stderr
        async for line in process.stderr:
            try:
                said = orjson.loads(line)
            except orjson.JSONDecodeError:
                said = {"event": "unreadable", "text": line.decode("ascii", "replace").strip()}
            said["at_us"] = self.now_us()
            self.lines[member].append(said)
            self.on_line(member, said)
            kind, _, change = str(said.get("event", "")).partition("_")
            if (
                kind in ("member", "membership")
                and (subject := self.places.get(said.get("member", ""))) is not None
            ):
                self.history.entries.append(
                    Entry(said["at_us"], member, subject, change, said["life"], said["incarnation"])
                )

    async def until(self, holds: Callable[[], bool], limit_s: float) -> bool:
        end = time.monotonic() + limit_s
        while not holds():
            if time.monotonic() > end:
                return False
            await asyncio.sleep(LOOK_S)
        return True

    def present(self) -> list[int]:
        return [member for member in range(self.plan.members) if member not in self.plan.absent]

    def have_joined(self, members: Iterable[int]) -> bool:
        """Each of them was told of each other one, by whatever name it goes."""
        members = list(members)
        told = {(entry.observer, entry.subject) for entry in self.history.of("joined", "recovered")}
        return all(
            (one, self.places[self.name(other)]) in told
            for one in members
            for other in members
            if self.name(one) != self.name(other)
        )

    async def launch(self) -> bool:
        """Links, then all processes that are there from the start, until all know all; False: they did
        not."""
        if not self.plan.is_direct:
            await self.links.open()
        for member in self.present():
            await self.start(member)
        return await self.until(lambda: self.have_joined(self.present()), JOIN_S)

    async def play(self) -> None:
        """The script's steps at their times; its rules hold from here on."""
        self.began_us = self.now_us()
        for step in self.plan.script.steps:
            await asyncio.sleep(max(0.0, (self.at(step.at_s) - self.now_us()) / 1e6))
            await self.do(step)
        await asyncio.sleep(max(0.0, (self.at(self.plan.script.ends_s()) - self.now_us()) / 1e6))

    async def do(self, step: Step) -> None:
        self.history.done.append(Done(self.now_us(), step.act.value, step.member))
        if step.act is Act.START:
            await self.start(step.member)
        elif (process := self.running.get(step.member)) and process.returncode is None:
            process.send_signal(SIGNALS[step.act])

    async def ask_counters(self, member: int) -> dict[str, Any]:
        """What a process has counted; empty where it did not say."""
        before = sum(line.get("event") == "counters" for line in self.lines[member])
        self.running[member].send_signal(signal.SIGUSR1)

        def said() -> list[dict[str, Any]]:
            return [line for line in self.lines[member] if line.get("event") == "counters"][before:]

        await self.until(lambda: bool(said()), 10.0)
        return said()[-1] if said() else {}

    async def close(self) -> None:
        self.history.ends_us = self.now_us()
        for end in self.gate:
            os.close(end)
        self.gate = ()
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
