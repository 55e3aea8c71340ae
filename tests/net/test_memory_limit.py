"""A controller process stays under its memory limit while hundreds of peers send costly input."""

import os
import signal
import socket
import subprocess
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path

import orjson
import pytest
from support.service_harness import check_liveness, config, controller_process, free_port

MAX_LINE_BYTES = 1 << 20  # set by the protocol
TIMEOUT_S = 60
LIMITS = [(64, 256), (192, 1024)]  # megabytes and descriptors


class LimitedController:
    """A controller process with limits, and joined proxies that the test acts for.

    Attributes:
        process: The controller.
        port: Its port.
        memory_mb: Its memory limit.
        proxies: Connections of the proxies, by proxy.
    """

    def __init__(self, process: subprocess.Popen, port: int, memory_mb: int) -> None:
        self.process = process
        self.port = port
        self.memory_mb = memory_mb
        self.proxies: list[socket.socket] = []

    def join(self, count: int, stack: ExitStack) -> None:
        """Lets proxies join, and waits until each has an answer."""
        for proxy in range(count):
            peer = socket.create_connection(("127.0.0.1", self.port), TIMEOUT_S)
            self.proxies.append(stack.enter_context(peer))
            peer.sendall(f"hello node={proxy} locality=a w=1 cold=1\r\nprobe\r\n".encode())
        for peer in self.proxies:
            wait_for_answer(peer)

    def check_memory(self) -> None:
        """Checks that the controller answers and that its memory never exceeded the limit."""
        assert check_liveness(self.port) == b"alive\r\n"
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (peak_kib,) = [line.split()[1] for line in status.splitlines() if "VmHWM" in line]
        assert int(peak_kib) <= self.memory_mb * 1024


class PeerClosedError(Exception):
    """The controller has closed the connection."""


def wait_for_answer(peer: socket.socket) -> None:
    """Reads until the answer to a liveness check; raises PeerClosedError if the connection ends."""
    received = b""
    while b"alive\r\n" not in received:
        data = peer.recv(65536)
        if not data:
            raise PeerClosedError
        received = received[-16:] + data


def fill_buffers(peer: socket.socket) -> None:
    """Sends until all buffers on the way to the paused controller are full."""
    peer.setblocking(False)
    with suppress(BlockingIOError):
        while True:
            peer.send(b"x" * 65536)


def complete_lines(peers: list[socket.socket]) -> None:
    """Completes the lines that the peers have begun, and waits until they have been processed."""
    for peer in peers:
        peer.settimeout(TIMEOUT_S)
        with suppress(ConnectionError, PeerClosedError):  # where the line is too long
            peer.sendall(b"\r\nprobe\r\n")
            wait_for_answer(peer)


@contextmanager
def limited_controller(path: Path, memory_mb: int, descriptors: int) -> Iterator[LimitedController]:
    """Runs a controller with these limits, to which as many proxies have joined as it serves."""
    proxies = int(0.85 * descriptors)
    port = free_port()
    settings = orjson.loads(config(free_port(), port))
    settings["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors}
    settings["settings"]["familyInfo"]["proxies"] = proxies
    log = path.with_suffix(".log")
    with ExitStack() as stack:
        process = stack.enter_context(controller_process(path, orjson.dumps(settings)))
        # The log has to be read, or the controller's writing thread would wait.
        assert process.stderr
        reader = ["sh", "-c", f"exec cat > {log}"]
        stack.enter_context(subprocess.Popen(reader, stdin=process.stderr))
        controller = LimitedController(process, port, memory_mb)
        stack.callback(process.kill)  # ends the reader of its log
        controller.join(proxies, stack)
        yield controller


def line_of(start: bytes, unit: bytes, end: bytes = b"\r\n") -> bytes:
    """Returns a line of maximum length that repeats a unit."""
    count = (MAX_LINE_BYTES - len(start) - len(end)) // len(unit)
    return start + count * unit + end


# The fields of one line of maximum length took up to a hundred megabytes.
@pytest.mark.parametrize(
    "line",
    [
        line_of(b"later", b" a=b"),
        line_of(b"later", b" a=b", b" 9\r\n"),
        line_of(b"demand", b" a=b"),
        line_of(b"demand", b" "),
        b"demand" + b"".join(b" %x=" % number for number in range(150_000)) + b"\r\n",
        line_of(b"outcomes interval=1 metrics=", b"a:1,"),
        line_of(b"outcomes locality=a endpoint=s-1 total=1 errors=0 interval=1 metrics=", b","),
    ],
    ids=["unknown", "unreadable", "repeated", "empty", "distinct", "load report", "commas"],
)
def test_lines_of_very_many_short_fields_fit_into_the_memory_limit(
    line: bytes, tmp_path: Path
) -> None:
    with limited_controller(tmp_path / "config.json", 64, 256) as controller:
        collector = controller.proxies[0]
        if line.startswith(b"outcomes"):
            collector = socket.create_connection(("127.0.0.1", controller.port), TIMEOUT_S)
            collector.sendall(b"agent locality=a\r\n")
        for peer in [collector, *controller.proxies[1:20]]:
            with suppress(ConnectionError, PeerClosedError):  # where the line breaks the framing
                peer.sendall(line + b"probe\r\n")
                wait_for_answer(peer)
        controller.check_memory()


@pytest.mark.parametrize("is_paused", [False, True])
@pytest.mark.parametrize("memory_mb, descriptors", LIMITS)
def test_hundreds_of_lines_that_stop_half_way_fit_into_the_memory_limit(
    memory_mb: int, descriptors: int, is_paused: bool, tmp_path: Path
) -> None:
    half_line = line_of(b"demand node=1 route=", b"x", b"")[: MAX_LINE_BYTES // 2]
    with limited_controller(tmp_path / "config.json", memory_mb, descriptors) as controller:
        for peer in controller.proxies:
            peer.sendall(half_line)
        if is_paused:
            os.kill(controller.process.pid, signal.SIGSTOP)
            for peer in controller.proxies:
                fill_buffers(peer)
            os.kill(controller.process.pid, signal.SIGCONT)
        complete_lines(controller.proxies)
        controller.check_memory()


def test_hundreds_of_peers_that_write_byte_by_byte_fit_into_the_memory_limit(
    tmp_path: Path,
) -> None:
    line = b"demand node=1 route=lookup total=1 errors=0 interval=1000\r\nprobe\r\n"
    with limited_controller(tmp_path / "config.json", 64, 256) as controller:
        for position in range(len(line)):
            for peer in controller.proxies:
                peer.sendall(line[position : position + 1])
        for peer in controller.proxies:
            wait_for_answer(peer)
        controller.check_memory()


def test_hundreds_of_peers_that_read_no_answers_fit_into_the_memory_limit(tmp_path: Path) -> None:
    checks = b"probe\r\n" * 60_000
    with limited_controller(tmp_path / "config.json", 64, 256) as controller:
        for peer in controller.proxies:
            peer.sendall(checks)
        controller.check_memory()
