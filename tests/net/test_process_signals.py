"""Signals and restarts of a controller process."""

import fcntl
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from support.service_harness import HELLO, check_liveness, config, controller_process, free_port

RETURNING_HELLO = HELLO.replace("cold=1", "cold=0")


@contextmanager
def started(path: Path, **environment: str) -> Iterator[subprocess.Popen[bytes]]:
    """Runs a controller process, which is killed at the end in any case."""
    env = {**os.environ, "GW_CONFIG": str(path), **environment}
    command = [sys.executable, "-m", "plankroute"]
    with subprocess.Popen(command, env=env, stderr=subprocess.PIPE) as controller:
        try:
            yield controller
        finally:
            controller.kill()


def lines_until(controller: subprocess.Popen[bytes], event: str) -> list[dict[str, object]]:
    """Reads log lines up to and including the first one of an event."""
    assert controller.stderr
    lines = list[dict[str, object]]()
    while not lines or lines[-1]["event"] != event:
        lines.append(json.loads(controller.stderr.readline()))
    return lines


def last_lines(controller: subprocess.Popen[bytes]) -> list[dict[str, object]]:
    """Returns the remaining log lines of a controller that must exit with 0 and log no error."""
    assert controller.stderr
    lines = [json.loads(line) for line in controller.stderr.read().splitlines()]
    assert controller.wait(20) == 0
    assert not [line for line in lines if line["level"] == "error"]
    return lines


def test_sigterm_while_the_address_is_in_use(tmp_path: Path) -> None:
    """Guards against a log that claims a listening address that the controller never bound."""
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        (tmp_path / "c.json").write_bytes(config(discovery=9, listen=occupied.getsockname()[1]))
        with started(tmp_path / "c.json") as controller:
            lines_until(controller, "address_in_use")
            controller.send_signal(signal.SIGTERM)
            events = [line["event"] for line in last_lines(controller)]
    assert "listening" not in events and events[-1] == "ended"


def open_fifo(path: Path) -> int:
    """Opens the writing end of a pipe as soon as a process has opened it for reading."""
    end = time.monotonic() + 20
    while True:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            assert time.monotonic() < end, "no process has opened the pipe for reading"
            time.sleep(0.001)


def test_sigterm_while_the_configuration_is_read(tmp_path: Path) -> None:
    """Guards against a start that the signal kills, which reports no exit status of its own."""
    os.mkfifo(path := tmp_path / "c.json")
    with started(path) as controller:
        reading = open_fifo(path)
        controller.send_signal(signal.SIGTERM)
        assert controller.wait(20) == 0 and controller.stderr and controller.stderr.read() == b""
        os.close(reading)


def test_sigterm_while_the_feature_file_is_read(tmp_path: Path) -> None:
    """Guards against a start that hangs on a feature file that is a pipe without data."""
    os.mkfifo(path := tmp_path / "features.json")
    (tmp_path / "c.json").write_bytes(config(discovery=9))
    with started(tmp_path / "c.json", PLANKROUTE_FILE=str(path)) as controller:
        reading = open_fifo(path)
        controller.send_signal(signal.SIGTERM)
        assert controller.wait(20) == 0 and controller.stderr and controller.stderr.read() == b""
        os.close(reading)


def test_sighup_while_the_configuration_is_read_causes_a_reload(tmp_path: Path) -> None:
    """Guards against a SIGHUP lost during startup, after which the old address stays in use."""
    port, path, pipes = free_port(), tmp_path / "c.json", [tmp_path / "first", tmp_path / "second"]
    for pipe in pipes:
        os.mkfifo(pipe)
    path.symlink_to(pipes[0])
    with started(path) as controller:
        first = open_fifo(pipes[0])
        (tmp_path / "next").symlink_to(pipes[1])
        os.replace(tmp_path / "next", path)
        controller.send_signal(signal.SIGHUP)
        os.write(first, config(discovery=9, listen=port))
        os.close(first)
        second = open_fifo(pipes[1])
        os.write(second, config(discovery=10, listen=port))
        os.close(second)
        reloaded = lines_until(controller, "reloaded")[-1]
        assert reloaded["discovery"] == "127.0.0.1:10"
        lines_until(controller, "listening")
        assert check_liveness(port) == b"alive\r\n"
        controller.send_signal(signal.SIGTERM)
        last_lines(controller)


def test_a_second_signal_does_not_change_the_exit_status(tmp_path: Path) -> None:
    """Guards against a wrong exit status if a signal arrives while the last lines are written."""
    text = config(discovery=9, listen=free_port())
    with controller_process(tmp_path / "config.json", text) as controller:
        assert controller.stderr
        fcntl.fcntl(controller.stderr, fcntl.F_SETPIPE_SZ, 4096)
        for _ in range(30):  # more than the pipe holds, so that the exit waits for the last lines
            controller.send_signal(signal.SIGUSR1)
            time.sleep(0.002)
        while controller.poll() is None:
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1, signal.SIGINT):
                controller.send_signal(number)
            time.sleep(0.002)
        assert controller.returncode == 0


def test_sigterm_with_queued_lines_and_partial_messages_received(tmp_path: Path) -> None:
    """A proxy receives complete lines and at most one partial line at the end."""
    port = free_port()
    with (
        controller_process(
            tmp_path / "config.json", config(discovery=9, listen=port)
        ) as controller,
        socket.create_connection(("127.0.0.1", port)) as proxy,
        socket.create_connection(("127.0.0.1", port)) as partial_hello,
    ):
        proxy.sendall((HELLO + "\r\n").encode())
        partial_hello.sendall(HELLO[:-3].replace("=3", "=4").encode())
        bound = proxy.recv(65536)
        while not bound.endswith(b"\r\n"):
            bound += proxy.recv(65536)
        proxy.sendall(b"demand node=3 route=loo")
        started_at = time.monotonic()
        controller.send_signal(signal.SIGTERM)
        remaining = b""
        with suppress(ConnectionResetError):
            while chunk := proxy.recv(65536):
                remaining += chunk
        events = [line["event"] for line in last_lines(controller)]
        assert (
            time.monotonic() - started_at < 0.7 + 1.0
        )  # 1 s for a slow machine; usually a few hundredths
    assert all(line.startswith("push ") for line in (bound + remaining).decode().split("\r\n")[:-1])
    assert events[-1] == "ended"


def test_restarts_are_ready_in_time(tmp_path: Path) -> None:
    """Guards against slow restarts, measured under adverse conditions.

    The address is the same, old connections are half closed, all proxies reconnect at once, and
    discovery does not answer.
    `python -m pytest -s -k restarts_are_ready` prints the distribution.
    """
    port, ready_times_s, proxies = free_port(), list[float](), list[socket.socket]()
    for _ in range(10):
        (tmp_path / "c.json").write_bytes(config(discovery=9, listen=port))
        started_at = time.monotonic()
        with started(tmp_path / "c.json") as controller:
            reconnected = list[socket.socket]()
            while len(reconnected) < 9:  # like the proxies, retry until the controller listens
                with suppress(OSError):
                    reconnected.append(socket.create_connection(("127.0.0.1", port), 10))
                    reconnected[-1].sendall(
                        (
                            RETURNING_HELLO.replace("=3", f"={len(reconnected) - 1}") + "\r\n"
                        ).encode()
                    )
            assert check_liveness(port) == b"alive\r\n"
            ready_times_s.append(time.monotonic() - started_at)
            if len(ready_times_s) % 2:
                controller.kill()
            else:
                controller.send_signal(signal.SIGTERM)
                last_lines(controller)
        for old in proxies:
            old.close()
        proxies = reconnected  # half closed while the next controller starts
    for old in proxies:
        old.close()
    ready_times_s.sort()
    median_s = ready_times_s[len(ready_times_s) // 2]
    p90_s = ready_times_s[int(0.9 * len(ready_times_s))]
    print(
        f"ready after, s: median {median_s:.2f}, 90th percentile {p90_s:.2f}, "
        f"maximum {ready_times_s[-1]:.2f}"
    )
    assert p90_s < 10.0
