"""Real controllers that start together: without links to each other, then with links."""

import asyncio
from typing import Any

import pytest

from plankroute.testbed.cold_start import ColdStartCase, ColdStartResult, down_until, run_case
from plankroute.testbed.cold_start_cases import CASES, run_cold_case
from plankroute.testbed.list_service import Behaviour, Mode, Phase

SERVICE_BEHAVIOURS = {
    "available": Behaviour(20.0),
    "down for eight seconds": down_until(8.0, 20.0),
    "serves one request in three": Behaviour(40.0, "1", (Phase(0.0, Mode.ONE_IN_THREE),)),
    "hangs after the response header": Behaviour(20.0, "1", (Phase(0.0, Mode.HANG), Phase(2.0))),
    "sends half a list": Behaviour(20.0, "1", (Phase(0.0, Mode.HALF), Phase(2.0))),
    "restarts during the start": Behaviour(20.0, "1", (Phase(0.0), Phase(0.4, restart=True))),
    "Retry-After of an hour": Behaviour(20.0, "3600", (Phase(0.0, Mode.BUSY), Phase(1.0))),
    "invalid Retry-After": Behaviour(20.0, "soon; very", (Phase(0.0, Mode.BUSY), Phase(1.0))),
}


CONTROLLERS = 12


@pytest.fixture(scope="module")
def starts_without_links() -> dict[str, ColdStartResult]:
    async def run() -> list[ColdStartResult]:
        return await asyncio.gather(
            *(
                run_case(
                    ColdStartCase(
                        "alone",
                        CONTROLLERS,
                        500,
                        behaviour,
                        loopback_net=100 + index,
                        limit_s=60.0,
                        cold_start_section={"retry_after_most_s": 3.0},
                    )
                )
                for index, behaviour in enumerate(SERVICE_BEHAVIOURS.values())
            )
        )

    return dict(zip(SERVICE_BEHAVIOURS, asyncio.run(run()), strict=True))


@pytest.mark.parametrize("name", SERVICE_BEHAVIOURS)
def test_controllers_get_the_list_from_a_faulty_list_service(
    starts_without_links: dict[str, ColdStartResult], name: str
) -> None:
    seen = starts_without_links[name]
    assert seen.served == CONTROLLERS, f"{seen.served} controllers have the list"
    assert seen.busiest <= 20 * 1.5
    if name == "available":
        assert seen.calls <= 1.3 * CONTROLLERS and not seen.refused
    if name == "Retry-After of an hour":
        assert seen.calls <= 3 * CONTROLLERS


@pytest.mark.parametrize("variant", ["peers", "alone"])
def test_a_survey_of_all_hosts_is_shared_among_controllers(variant: str) -> None:
    """Guards against health checks of each host by each controller, as without sharing.

    Real controllers with a stub proxy each; stub hosts count the health checks.
    """
    seen = asyncio.run(
        run_case(
            ColdStartCase(
                variant,
                10,
                60,
                Behaviour(20.0),
                loopback_net=160 + (variant == "alone"),
                with_hosts=True,
            )
        )
    )
    assert seen.served == 10 and seen.notes["connections_most"] <= 10
    assert 2 <= seen.notes["probes_a_host_mean"] <= 4.5
    if variant == "peers":
        assert seen.notes["probes_a_host_most"] <= 5


Outcome = tuple[list[str], dict[str, Any]]  # violations, and figures of the run
# Cases that run at the same time, with ten processes each. All of them at once overloaded the
# machine, so that the tests met its limits instead of the cases' faults.
MAX_PARALLEL_CASES = 6


@pytest.fixture(scope="module")
def starts_with_links() -> dict[str, Outcome]:
    async def run() -> list[Outcome]:
        slots = asyncio.Semaphore(MAX_PARALLEL_CASES)

        async def one(name: str, loopback_net: int) -> Outcome:
            async with slots:
                return await run_cold_case(name, loopback_net)

        return await asyncio.gather(*(one(name, 140 + index) for index, name in enumerate(CASES)))

    return dict(zip(CASES, asyncio.run(run()), strict=True))


@pytest.mark.parametrize("name", CASES)
def test_controllers_get_the_list_from_each_other_despite_faults(
    starts_with_links: dict[str, Outcome], name: str
) -> None:
    assert not starts_with_links[name][0]
