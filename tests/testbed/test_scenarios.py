"""Scenarios of failure detection: real controllers as processes with faulty links."""

import asyncio

import msgspec
import pytest

from plankroute.testbed.faults import Rule, Script
from plankroute.testbed.membership_scenarios import Paused
from plankroute.testbed.plan import Plan
from plankroute.testbed.scenario import Result
from plankroute.testbed.scenarios import SCENARIOS, run_all, run_one

PROCESSES, SEED = 8, 1
OWN_NET = 40  # loopback network of the test that runs a scenario of its own


@pytest.fixture(scope="module")
def results() -> dict[str, Result]:
    """Runs all scenarios, several at once, which takes half a minute instead of five."""
    done = asyncio.run(run_all(tuple(SCENARIOS), PROCESSES, SEED, False))
    return {result.name: result for result in done}


@pytest.mark.parametrize("name", SCENARIOS)
def test_controllers_under_injected_faults(results: dict[str, Result], name: str) -> None:
    assert not results[name].objections


class PausedWithShortPatience(Paused):
    """Pauses of the scenario outlast the patience, so that members report paused ones as failed."""

    def plan(self, members: int, seed: int, full: bool) -> Plan:
        plan = super().plan(members, seed, full)
        return msgspec.structs.replace(plan, membership={"patience_ms": 500})


def test_reports_of_paused_members_as_failed_are_objected_to(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against checks that find no objection in any run."""
    monkeypatch.setitem(SCENARIOS, "short patience", PausedWithShortPatience())
    result = asyncio.run(run_one("short patience", PROCESSES, SEED, False, OWN_NET))
    assert [line for line in result.objections if "while its process ran" in line]


def test_the_same_script_gives_the_same_datagrams_the_same_fate() -> None:
    script = Script(7, (Rule(loss=0.3, duplicate_share=0.2, delay_ms=10, jitter_ms=50),))

    def all_fates() -> list[tuple[int, ...]]:
        return [
            script.delivery_delays_us(0, sender, receiver, number)
            for sender in range(3)
            for receiver in range(3)
            for number in range(2000)
        ]

    fates = all_fates()
    assert fates == all_fates()
    is_lost = [not fate for fate in fates]
    assert 0.28 < sum(is_lost) / len(is_lost) < 0.32
    # Guards against draws by a checksum alone: pairs of members with similar indexes would lose
    # the datagrams with the same numbers.
    pairs = zip(is_lost[:2000], is_lost[2000:4000], strict=True)
    lost_on_both = sum(one and other for one, other in pairs) / 2000
    assert 0.06 < lost_on_both < 0.12
