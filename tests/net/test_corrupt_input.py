"""A controller process serves its other peers while one of them sends corrupt input."""

import socket
from pathlib import Path

import pytest
from support.service_harness import HELLO, check_liveness, config, controller_process, free_port

MAX_LINE_BYTES = 1 << 20  # set by the protocol
OUTCOMES = "outcomes locality=a endpoint=s-1 total=21 errors=1 "


# A line whose number had tens of thousands of digits and a unit stopped the whole controller.
@pytest.mark.parametrize(
    "first_line, start",
    [
        ("agent locality=a", OUTCOMES + "interval=1000.0 rtt=41"),
        ("agent locality=a", OUTCOMES + "rtt=41.7 interval=1000."),
        ("agent locality=a", OUTCOMES + "rtt=41.7 interval=1000.0 metrics=inflight:"),
        (HELLO, "ack node=3 nonce=1 latency="),
        (HELLO, "demand node=3 route=lookup total=1 errors=0 interval="),
    ],
)
def test_a_number_of_the_greatest_length_does_not_stop_the_controller(
    first_line: str, start: str, tmp_path: Path
) -> None:
    port = free_port()
    line = start + "6" * (MAX_LINE_BYTES - len(start) - len("ms\r\n")) + "ms\r\n"
    with (
        controller_process(tmp_path / "config.json", config(free_port(), port)),
        socket.create_connection(("127.0.0.1", port), 20) as peer,
    ):
        peer.sendall(f"{first_line}\r\nprobe\r\n".encode())
        with peer.makefile("rb") as received:
            while received.readline() != b"alive\r\n":
                pass
            peer.sendall(line.encode() + b"probe\r\n")
            # The peer's own answer shows that the line has been processed.
            while received.readline() != b"alive\r\n":
                pass
        assert check_liveness(port) == b"alive\r\n"
