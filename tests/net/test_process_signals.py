"""Signals and restarts of a controller process: it starts, reloads and ends as it is told to."""

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

RETURNED = HELLO.replace("cold=1", "cold=0")


@contextmanager
def started(path: Path, **more: str) -> Iterator[subprocess.Popen[bytes]]:
    """A controller process; it is killed whatever becomes of the test."""
    env = {**os.environ, "GW_CONFIG": str(path), **more}
    command = [sys.executable, "-m", "plankroute"]
    with subprocess.Popen(command, env=env, stderr=subprocess.PIPE) as controller:
        try:
            yield controller
        finally:
            controller.kill()


def lines_until(controller: subprocess.Popen[bytes], event: str) -> list[dict[str, object]]:
    assert controller.stderr
    out = list[dict[str, object]]()
    while not out or out[-1]["event"] != event:
        out.append(json.loads(controller.stderr.readline()))
    return out


def last_lines(controller: subprocess.Popen[bytes]) -> list[dict[str, object]]:
    """Of a controller that ends well: status 0, and nothing but its log."""
    assert controller.stderr
    out = [json.loads(line) for line in controller.stderr.read().splitlines()]
    assert controller.wait(20) == 0
    assert not [line for line in out if line["level"] == "error"]
    return out


def test_sigterm_while_the_address_is_still_being_tried(tmp_path: Path) -> None:
    """Guards against a log that says the controller listens where it never did."""
    with socket.create_server(("127.0.0.1", 0)) as held:
        (tmp_path / "c.json").write_bytes(config(discovery=9, listen=held.getsockname()[1]))
        with started(tmp_path / "c.json") as controller:
            lines_until(controller, "address_in_use")
            controller.send_signal(signal.SIGTERM)
            events = [line["event"] for line in last_lines(controller)]
    assert "listening" not in events and events[-1] == "ended"


def open_fifo(path: Path) -> int:
    """Its writing end, once somebody reads."""
    end = time.monotonic() + 20
    while True:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            assert time.monotonic() < end, "nobody reads it"
            time.sleep(0.001)


def test_sigterm_before_the_configuration_is_read(tmp_path: Path) -> None:
    """Guards against a restart that is killed as it starts, with no exit status of its own."""
    os.mkfifo(path := tmp_path / "c.json")
    with started(path) as controller:
        reading = open_fifo(path)
        controller.send_signal(signal.SIGTERM)
        assert controller.wait(20) == 0 and controller.stderr and controller.stderr.read() == b""
        os.close(reading)


def test_sigterm_before_the_feature_file_is_read(tmp_path: Path) -> None:
    """Guards against a start that never ends where the second file is a pipe that nobody writes."""
    os.mkfifo(path := tmp_path / "features.json")
    (tmp_path / "c.json").write_bytes(config(discovery=9))
    with started(tmp_path / "c.json", PLANKROUTE_FILE=str(path)) as controller:
        reading = open_fifo(path)
        controller.send_signal(signal.SIGTERM)
        assert controller.wait(20) == 0 and controller.stderr and controller.stderr.read() == b""
        os.close(reading)


def test_a_new_configuration_while_the_old_one_is_being_read_is_not_missed(tmp_path: Path) -> None:
    """Guards against a SIGHUP that is lost, with the old discovery kept for good."""
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


def test_a_second_sigterm_does_not_spoil_the_exit(tmp_path: Path) -> None:
    """Guards against a bad exit status because the last log lines were still being written."""
    text = config(discovery=9, listen=free_port())
    with controller_process(tmp_path / "config.json", text) as controller:
        assert controller.stderr
        fcntl.fcntl(controller.stderr, fcntl.F_SETPIPE_SZ, 4096)
        for _ in range(30):  # more than the pipe holds: the last lines are waited for
            controller.send_signal(signal.SIGUSR1)
            time.sleep(0.002)
        while controller.poll() is None:
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1, signal.SIGINT):
                controller.send_signal(number)
            time.sleep(0.002)
        assert controller.returncode == 0


def test_sigterm_with_lines_waiting_and_half_a_message_said(tmp_path: Path) -> None:
    """What a proxy received is complete lines and at most one part of a line."""
    port = free_port()
    with (
        controller_process(
            tmp_path / "config.json", config(discovery=9, listen=port)
        ) as controller,
        socket.create_connection(("127.0.0.1", port)) as proxy,
        socket.create_connection(("127.0.0.1", port)) as half,
    ):
        proxy.sendall((HELLO + "\r\n").encode())
        half.sendall(HELLO[:-3].replace("=3", "=4").encode())
        bound = proxy.recv(65536)
        while not bound.endswith(b"\r\n"):
            bound += proxy.recv(65536)
        proxy.sendall(b"demand node=3 route=loo")
        began = time.monotonic()
        controller.send_signal(signal.SIGTERM)
        rest = b""
        with suppress(ConnectionResetError):
            while more := proxy.recv(65536):
                rest += more
        events = [line["event"] for line in last_lines(controller)]
        assert (
            time.monotonic() - began < 0.7 + 1.0
        )  # a slow machine's second; it takes a few hundredths
    assert all(line.startswith("push ") for line in (bound + rest).decode().split("\r\n")[:-1])
    assert events[-1] == "ended"


def test_restarts_are_ready_in_time(tmp_path: Path) -> None:
    """At the same address, old connections half closed, proxies back at once, discovery silent.

    `python -m pytest -s -k restarts_are_ready` prints the distribution.
    """
    port, took, proxies = free_port(), list[float](), list[socket.socket]()
    for _ in range(10):
        (tmp_path / "c.json").write_bytes(config(discovery=9, listen=port))
        began = time.monotonic()
        with started(tmp_path / "c.json") as controller:
            back = list[socket.socket]()
            while len(back) < 9:  # as the proxies do: again until it is there
                with suppress(OSError):
                    back.append(socket.create_connection(("127.0.0.1", port), 10))
                    back[-1].sendall(
                        (RETURNED.replace("=3", f"={len(back) - 1}") + "\r\n").encode()
                    )
            assert check_liveness(port) == b"alive\r\n"
            took.append(time.monotonic() - began)
            if len(took) % 2:
                controller.kill()
            else:
                controller.send_signal(signal.SIGTERM)
                last_lines(controller)
        for old in proxies:
            old.close()
        proxies = back  # theirs are half closed while the next one starts
    for old in proxies:
        old.close()
    took.sort()
    median_s = took[len(took) // 2]
    nine_in_ten_s = took[int(0.9 * len(took))]
    print(
        f"ready after, s: median {median_s:.2f}, nine in ten {nine_in_ten_s:.2f}, "
        f"worst {took[-1]:.2f}"
    )
    assert nine_in_ten_s < 10.0
