"""Two groups of real controllers: the members command, separate groups, reloaded seeds."""

import asyncio
import signal
import subprocess
import sys

import orjson

from plankroute.testbed.faults import Script
from plankroute.testbed.plan import Plan
from plankroute.testbed.processes import GROUP_NAME, MEMBERSHIP_PORT, ControllerProcesses

GROUP_NET, OTHER_GROUP_NET = 41, 42  # octets of the loopback addresses


def members_command(*arguments: str) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "plankroute", "members", *arguments],
        check=False,
        capture_output=True,
        timeout=30,
    )


async def wait_for_datagram_of_other_group(processes: ControllerProcesses) -> None:
    """Waits until a datagram from the other group is dropped; one arrives each second."""
    counters: dict[str, int] = {}
    for _ in range(600):
        counters = await processes.ask_counters(0)
        if counters.get("membership.dropped.group"):
            break
        await asyncio.sleep(0.05)
    assert counters.get("membership.dropped.group")
    assert counters["membership.live_members"] == 2


def check_members_command(processes: ControllerProcesses) -> None:
    """Checks the members command by address, by feature file and with a wrong group name."""
    address = f"{processes.listen_addresses[1][0]}:{MEMBERSHIP_PORT}"
    answer = orjson.loads(members_command(address, "--group", GROUP_NAME, "--json").stdout)
    assert answer["steward"] == "n0001"
    assert [member["state"] for member in answer["members"]] == ["alive", "alive"]
    path = str(processes.feature_file_path(0))
    table = members_command("--file", path).stdout.decode()
    assert "n0001  alive" in table
    assert table.splitlines()[0].startswith("name")
    assert members_command(address, "--group", "x", "--wait", "0.1").returncode == 1


async def reload_membership(
    processes: ControllerProcesses, event: str, **fields: object
) -> dict[str, object]:
    """Changes the feature file of the first controller, and reloads it by SIGHUP.

    Returns:
        The latest log line of `event`, which must be logged within ten seconds.
    """
    path = processes.feature_file_path(0)
    feature_file = orjson.loads(path.read_bytes())
    feature_file["membership"] |= fields
    path.write_bytes(orjson.dumps(feature_file))
    processes.running[0].send_signal(signal.SIGHUP)
    assert await processes.wait_until(lambda: processes.has_logged(0, event), 10)
    return [line for line in processes.log_lines[0] if line["event"] == event][-1]


def test_two_groups_with_members_command_and_reloaded_seeds() -> None:
    """Guards against a group that accepts datagrams of another group.

    The other group has a member of this group as its seed. It first rejects invalid
    seeds on SIGHUP, then accepts its own address as a seed.
    """

    async def run() -> None:
        processes = ControllerProcesses(Plan(2, Script(1), GROUP_NET, seeds=(0,)))
        seed = f"{processes.listen_addresses[0][0]}:{processes.listen_addresses[0][1]}"
        membership = {"group": "another", "seeds": [seed]}
        other = ControllerProcesses(Plan(1, Script(1), OTHER_GROUP_NET, membership=membership))
        try:
            assert await processes.launch()
            assert await other.launch()
            await wait_for_datagram_of_other_group(processes)
            check_members_command(processes)
            await reload_membership(other, "reload_failed", seeds="nonsense", patience_ms=2600)
            own_seed = f"{other.listen_addresses[0][0]}:9"
            reloaded = await reload_membership(
                other, "reloaded", seeds=[own_seed], patience_ms=3000
            )
            assert reloaded["kept"] == ["membership.patience_ms"]
        finally:
            await processes.close()
            await other.close()

    asyncio.run(run())
