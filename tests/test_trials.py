"""Real stewards as processes with faulty links between them: each hard case of the laboratory, judged by its
checkers."""

import asyncio
import os
import signal
import subprocess
import sys

import msgspec
import orjson
import pytest

from plankroute.testbed.faults import Rule, Script
from plankroute.testbed.processes import REAL_PORT, Fleet, Plan
from plankroute.testbed.scenarios import SCENARIOS, Result, Scenario, paused, run_all, run_one

PROCESSES, SEED = 8, 1
OWN_NET = 40  # loopback addresses of the tests that stage a group by themselves


@pytest.fixture(scope="module")
def results() -> dict[str, Result]:
    """All cases, some side by side: half a minute instead of five."""
    return {
        result.name: result
        for result in asyncio.run(run_all(tuple(SCENARIOS), PROCESSES, SEED, False))
    }


@pytest.mark.parametrize("name", SCENARIOS)
def test_stewards_under_injected_faults(results, name):
    assert not results[name].objections


def test_the_rig_sees_what_it_is_meant_to_see(monkeypatch):
    """Guards against a judge that objects to nothing: a patience below the pauses must call pausing members
    gone."""
    plain = paused()

    def hasty(n: int, seed: int, full: bool) -> Plan:
        return msgspec.structs.replace(plain.plan(n, seed, full), own={"patience_ms": 500})

    monkeypatch.setitem(SCENARIOS, "hasty", Scenario(hasty, plain.holds, plain.judge))
    result = asyncio.run(run_one("hasty", PROCESSES, SEED, False, OWN_NET))
    assert [line for line in result.objections if "called" in line]


def test_the_same_script_meets_the_same_datagrams_with_the_same_fate():
    script = Script(7, (Rule(loss=0.3, twice=0.2, delay_ms=10, spread_ms=50),))
    fates = [script.fate(0, a, b, n) for a in range(3) for b in range(3) for n in range(2000)]
    assert fates == [
        script.fate(0, a, b, n) for a in range(3) for b in range(3) for n in range(2000)
    ]
    lost = [not fate for fate in fates]
    assert 0.28 < sum(lost) / len(lost) < 0.32
    # Guards against chance by a check sum alone, which loses the same numbers on pairs that look alike.
    both = (
        sum(one and other for one, other in zip(lost[:2000], lost[2000:4000], strict=True)) / 2000
    )
    assert 0.06 < both < 0.12


def test_members_are_asked_seeds_reloaded_and_another_group_not_heard(tmp_path):
    """Two groups that each know the other's addresses; the second one learns its own seed only by SIGHUP."""

    async def scene() -> None:
        fleet = Fleet(Plan(2, Script(1), OWN_NET + 1, seeds=(0,)))
        other = Fleet(
            Plan(
                1,
                Script(1),
                OWN_NET + 2,
                own={
                    "group": "another",
                    "seeds": [f"{host}:{port}" for host, port in fleet.real[:1]],
                },
            )
        )
        try:
            assert await fleet.launch()
            assert await other.launch()
            heard: dict = {}
            for _ in range(600):  # its calls to the seed come once a second
                if (heard := await fleet.ask_counters(0)).get("membership.dropped.group"):
                    break
                await asyncio.sleep(0.05)
            assert heard.get("membership.dropped.group") and heard["membership.live_members"] == 2
            asked = ask(f"{fleet.real[1][0]}:{REAL_PORT}", "--group", "lab", "--json")
            told = orjson.loads(asked.stdout)
            assert told["steward"] == "n0001" and [m["state"] for m in told["members"]] == [
                "alive",
                "alive",
            ]
            table = ask("--file", f"{fleet.folder.name}/own0.json").stdout.decode()
            assert "n0001  alive" in table and table.splitlines()[0].startswith("name")
            assert (
                ask(f"{fleet.real[1][0]}:{REAL_PORT}", "--group", "x", "--wait", "0.1").returncode
                == 1
            )
            await reload_own(other, fleet)
        finally:
            await fleet.close()
            await other.close()

    async def reload_own(other: Fleet, fleet: Fleet) -> None:
        path = f"{other.folder.name}/own0.json"
        with open(path, "rb") as file:
            own = orjson.loads(file.read())
        for seeds, patience in (("nonsense", 2600), ([f"{other.real[0][0]}:9"], 3000)):
            own["membership"] |= {"seeds": seeds, "patience_ms": patience}
            with open(path, "wb") as file:
                file.write(orjson.dumps(own))
            other.running[0].send_signal(signal.SIGHUP)
            event = "reload_failed" if seeds == "nonsense" else "reloaded"
            assert await other.until(
                lambda: any(line["event"] == event for line in other.lines[0]), 10
            )  # noqa: B023
        reloaded = [line for line in other.lines[0] if line["event"] == "reloaded"][-1]
        assert reloaded["kept"] == ["membership.patience_ms"]

    asyncio.run(scene())


def ask(*words: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "plankroute", "members", *words], capture_output=True, timeout=30
    )


def test_a_bare_start_imports_nothing_of_what_is_switched_off():
    """Guards against a listener, a library or memory that `run` did not have before."""
    code = (
        "import sys, plankroute.__main__, plankroute.net.process.service as s; s.read_features();"
        "print([m for m in sys.modules if m.split('.')[0] in ('click', 'msgspec', 'xxhash') or any("
        "f'plankroute.{p}' in m for p in ('cli', 'lab', 'membership', 'ownfile', 'net.members'))])"
    )
    environment = {name: value for name, value in os.environ.items() if name != "PLANKROUTE_FILE"}
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, timeout=30, env=environment
    )
    assert done.stdout.decode().strip() == "[]", done.stderr
