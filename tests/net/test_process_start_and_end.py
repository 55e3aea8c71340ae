"""A controller process: failed starts, a clean shutdown, restarts."""

import json
import os
import resource
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from support.service_harness import check_liveness, config, controller_process, free_port


@pytest.mark.parametrize(
    "text, error_name", [(None, "KeyError"), (b"{", "JSONDecodeError"), (b"{}", "KeyError")]
)
def test_an_invalid_configuration_aborts_the_start_with_one_line(
    tmp_path: Path, text: bytes | None, error_name: str
) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(text or b"")
    env = {name: value for name, value in os.environ.items() if name != "GW_CONFIG"}
    if text is not None:
        env["GW_CONFIG"] = str(path)
    completed = subprocess.run(
        [sys.executable, "-m", "plankroute"], env=env, capture_output=True, timeout=60, check=False
    )
    assert completed.returncode == 2
    assert completed.stderr.count(b"\n") == 1 and error_name.encode() in completed.stderr


def test_sigterm_logs_the_counters_and_exits_cleanly(tmp_path: Path) -> None:
    port = free_port()
    text = config(discovery=9, listen=port)
    with (
        controller_process(tmp_path / "config.json", text) as controller,
        socket.create_connection(("127.0.0.1", port)),
    ):
        assert check_liveness(port) == b"alive\r\n"
        controller.send_signal(signal.SIGTERM)
        lines = [json.loads(line) for line in controller.stderr.read().splitlines()]
        assert controller.wait(60) == 0
    assert [line["event"] for line in lines[-2:]] == ["counters", "ended"]
    assert lines[-2]["core.batches"] >= 1
    assert not [line for line in lines if line["level"] == "error"]


def test_a_restart_after_a_kill_listens_at_the_same_address(tmp_path: Path) -> None:
    port = free_port()
    text = config(discovery=9, listen=port)
    with (
        controller_process(tmp_path / "config.json", text),
        socket.create_connection(("127.0.0.1", port)),
    ):
        assert check_liveness(port) == b"alive\r\n"
    with controller_process(tmp_path / "config.json", text):
        assert check_liveness(port) == b"alive\r\n"


def test_the_controller_survives_running_out_of_descriptors(tmp_path: Path) -> None:
    port = free_port()
    text = config(discovery=9, listen=port)

    def allow_few_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (24, 24))

    path = tmp_path / "config.json"
    with controller_process(path, text, preexec_fn=allow_few_descriptors) as controller:
        connections = [socket.create_connection(("127.0.0.1", port)) for _ in range(40)]
        while b'"loop_failed"' not in controller.stderr.readline():
            pass
        for connection in connections:
            connection.close()
        assert check_liveness(port) == b"alive\r\n"
