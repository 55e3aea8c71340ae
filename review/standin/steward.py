"""Starts stewards with the `run` command of the deploy file, and ends them."""

import asyncio
import ctypes
import json
import os
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import Any

from standin.record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0  # the time that the operators allow
PR_SET_PDEATHSIG = 1  # option of prctl


def free_port(host: str = "127.0.0.1") -> int:
    """Returns a port of a loopback address that nothing listens on."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


def _end_with_parent() -> None:
    """Makes the kernel end a steward whose test was killed."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Steward:
    """One steward: its configuration file, its process and its log.

    Attributes:
        name: Its name.
        host: The loopback address on which it listens.
        port: The port on which it listens.
        config: Its configuration.
        ready_at: When it first answered a probe, in seconds of the record; None before that.
    """

    def __init__(self, record: Record, folder: Path, config: dict[str, Any]) -> None:
        """Prepares a steward; nothing is started.

        Args:
            record: The record of the run.
            folder: A temporary folder for the configuration and the log.
            config: The configuration, as on the operators' page.
        """
        self.record = record
        self.folder = folder
        self.config = config
        self.name: str = config["name"]
        self.host, port = config["listen"].split(":")
        self.port = int(port)
        self.ready_at: float | None = None
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = folder / f"{self.name}.log"

    def start(self, feature_file: dict[str, Any] | None = None) -> None:
        """Writes the configuration and starts the process.

        Args:
            feature_file: Content of the project's feature file; None: no optional features.
        """
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "GW_NAME": self.name,
            "GW_LISTEN": self.config["listen"],
            "GW_DISCOVERY": self.config["discovery"],
            "GW_CONFIG": str(path),
            "TMPDIR": str(self.folder),
        }
        environment.pop("PYTHONPATH", None)
        environment.pop("PLANKROUTE_FILE", None)
        if feature_file is not None:
            feature_path = self.folder / f"{self.name}.features.json"
            feature_path.write_text(json.dumps(feature_file))
            environment["PLANKROUTE_FILE"] = str(feature_path)
        self.ready_at = None
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,  # noqa: PLW1509 - this process has one thread
            )
        self.record.say(f"steward {self.name} started, pid {self.process.pid}")

    async def wait_until_ready(self) -> bool:
        """Probes the steward until it answers; returns False if it ends or takes too long."""
        end = self.record.now() + READY_TIMEOUT_S
        while self.record.now() < end and self.is_running():
            try:
                reader, writer = await asyncio.open_connection(self.host, self.port)
                writer.write(b"probe\r\n")
                answer = await asyncio.wait_for(reader.readline(), 2.0)
                writer.close()
                if answer.strip() == b"alive":
                    self.ready_at = self.record.now()
                    self.record.say(f"steward {self.name} answered")
                    return True
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def is_running(self) -> bool:
        """Returns whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process and self.is_running():
            self.record.say(f"steward {self.name} gets {number.name}")
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.process and self.is_running():
            self.record.say(f"steward {self.name} is killed")
            self.process.kill()
            self.process.wait()

    def end(self) -> None:
        """Ends the process at the end of a run, if it still runs."""
        if self.process and self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log_events(self, *names: str) -> list[dict[str, Any]]:
        """Returns the events of these names in the steward's log."""
        events = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if isinstance(event, dict) and event.get("event") in names:
                events.append(event)
        return events
