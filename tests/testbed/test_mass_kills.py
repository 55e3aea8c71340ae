"""Kills of most controllers during a release, after which all proxies join the one that is left."""

import asyncio

from plankroute.testbed.faults import Act
from plankroute.testbed.fleet_stage import FleetSize, FleetStage

SIZE = FleetSize(controllers=5, proxies=60, hosts=60, spare_hosts=40, loopback_net=80)
SURVIVOR = 2
KILLED = [controller for controller in range(SIZE.controllers) if controller != SURVIVOR]
BATCH = 10  # hosts that are replaced together
BATCHES = 4


def names_of_batch(stage: FleetStage, number: int) -> set[str]:
    return set(stage.names[number * BATCH : (number + 1) * BATCH])


def users_of(stage: FleetStage, hosts: set[str]) -> int:
    """Counts the proxies that may send requests to any of these hosts."""
    return sum(bool(proxy.usable_hosts() & hosts) for proxy in stage.proxies)


async def drain_batch(stage: FleetStage, number: int) -> None:
    """Replaces a batch of hosts; returns as soon as one proxy no longer uses any of them."""
    hosts = names_of_batch(stage, number)
    users = users_of(stage, hosts)
    stage.replace_hosts(range(number * BATCH, (number + 1) * BATCH), BATCH)
    assert await stage.wait_until(lambda: users_of(stage, hosts) < users, 30.0)


async def kill_most_during_release(stage: FleetStage) -> None:
    assert await stage.wait_until(lambda: all(proxy.is_bound for proxy in stage.proxies), 30.0)
    await drain_batch(stage, 0)
    await asyncio.gather(*(stage.end(controller, Act.KILL) for controller in KILLED))
    assert await stage.wait_until(lambda: len(stage.proxies_at(SURVIVOR)) == SIZE.proxies, 30.0)
    await asyncio.gather(*(stage.restart(controller) for controller in KILLED))
    for number in range(1, BATCHES):
        await drain_batch(stage, number)
    drained = set().union(*(names_of_batch(stage, number) for number in range(BATCHES)))
    assert await stage.wait_until(lambda: not users_of(stage, drained), 30.0)
    assert len(stage.proxies_at(SURVIVOR)) == SIZE.proxies


def test_no_proxy_uses_a_drained_host_after_most_controllers_were_killed() -> None:
    """Guards against the use of drained hosts from the tables of killed controllers.

    Proxies keep these tables when they join another controller, which has to withdraw the hosts.
    """

    async def run() -> FleetStage:
        stage = FleetStage(SIZE)
        try:
            await stage.open()
            await kill_most_during_release(stage)
        finally:
            await stage.close()
        return stage

    stage = asyncio.run(run())
    assert not stage.rules.violations.first
    assert stage.rules.longest_use_s > 0.0  # the checks have seen draining hosts in use
