"""Real controllers that start together: the list service alone, then over links."""

import asyncio
from typing import Any

import pytest

from plankroute.testbed.cold_start import Case, Seen, down_until, run_case
from plankroute.testbed.cold_start_cases import CASES, run_cold
from plankroute.testbed.list_service import Behaviour, Mode, Phase

ALONE = {
    "good": Behaviour(20.0),
    "down for eight seconds": down_until(8.0, 20.0),
    "one call in three": Behaviour(40.0, "1", (Phase(0.0, Mode.ONE_IN_THREE),)),
    "hangs after the head": Behaviour(20.0, "1", (Phase(0.0, Mode.HANG), Phase(2.0))),
    "half a list": Behaviour(20.0, "1", (Phase(0.0, Mode.HALF), Phase(2.0))),
    "restarts in the middle": Behaviour(20.0, "1", (Phase(0.0), Phase(0.4, restart=True))),
    "asks for an hour": Behaviour(20.0, "3600", (Phase(0.0, Mode.BUSY), Phase(1.0))),
    "asks for nonsense": Behaviour(20.0, "soon; very", (Phase(0.0, Mode.BUSY), Phase(1.0))),
}


CONTROLLERS = 12


@pytest.fixture(scope="module")
def alone() -> dict[str, Seen]:
    async def run() -> list[Seen]:
        return await asyncio.gather(
            *(
                run_case(
                    Case(
                        "alone",
                        CONTROLLERS,
                        500,
                        behaviour,
                        net=100 + place,
                        limit_s=60.0,
                        own={"retry_after_most_s": 3.0},
                    )
                )
                for place, behaviour in enumerate(ALONE.values())
            )
        )

    return dict(zip(ALONE, asyncio.run(run()), strict=True))


@pytest.mark.parametrize("name", ALONE)
def test_real_controllers_get_their_list_through_a_service_in_trouble(
    alone: dict[str, Seen], name: str
) -> None:
    seen = alone[name]
    assert seen.served == CONTROLLERS, f"{seen.served} serve"
    assert seen.busiest <= 20 * 1.5
    if name == "good":
        assert seen.calls <= 1.3 * CONTROLLERS and not seen.refused
    if name == "asks for an hour":
        assert seen.calls <= 3 * CONTROLLERS


@pytest.mark.parametrize("way", ["peers", "alone"])
def test_a_survey_of_all_hosts_is_shared_out(way: str) -> None:
    """Real controllers, simulated hosts that count, a proxy for each.

    Without sharing each host is checked once by each controller.
    """
    seen = asyncio.run(
        run_case(Case(way, 10, 60, Behaviour(20.0), net=160 + (way == "alone"), with_hosts=True))
    )
    assert seen.served == 10 and seen.notes["connections_most"] <= 10
    assert 2 <= seen.notes["probes_a_host_mean"] <= 4.5
    if way == "peers":
        assert seen.notes["probes_a_host_most"] <= 5


Outcome = tuple[list[str], dict[str, Any]]  # objections, and what was seen
AT_ONCE = 6  # of ten processes each: with all at once the machine itself was what they met


@pytest.fixture(scope="module")
def through_peers() -> dict[str, Outcome]:
    async def run() -> list[Outcome]:
        room = asyncio.Semaphore(AT_ONCE)

        async def one(name: str, net: int) -> Outcome:
            async with room:
                return await run_cold(name, net)

        return await asyncio.gather(*(one(name, 140 + place) for place, name in enumerate(CASES)))

    return dict(zip(CASES, asyncio.run(run()), strict=True))


@pytest.mark.parametrize("name", CASES)
def test_real_controllers_take_the_list_from_each_other_through_faults(
    through_peers: dict[str, Outcome], name: str
) -> None:
    assert not through_peers[name][0]
