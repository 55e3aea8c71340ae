"""A proxy whose answer to a mark arrived spoilt is told nothing of the next draining host."""

import asyncio
from pathlib import Path

from standin.deployment import SALZBURG, Deployment
from standin.proxies import late_requests
from standin.record import Record
from standin.run import CannotRunError, run_case

GRACE_S = SALZBURG.grace_s
PROXIES = 9
HOSTS = 6
RATE = 16.0  # requests a second of each proxy, while clients are at work
BUSY_S = 5.0
STEP_S = 12.0  # from one step of the release to the next
SPOILT = (3, 4, 5, 6)  # proxies whose answers of the first step arrive spoilt
AFTER_S = 4.0


async def case(record: Record, folder: Path, is_disrupted: bool) -> bool:
    """Runs the case; returns whether the rule on draining hosts held.

    Clients send for some seconds, then rest. Two hosts are drained meanwhile, one after the other,
    and clients come back after the grace of the second one.
    """
    fleet = Deployment(SALZBURG, record, folder, PROXIES)
    try:
        await fleet.add_hosts(HOSTS)
        steward = await fleet.add_steward("n1")
        steward.start()
        if not await steward.wait_until_ready() or steward.ready_at is None:
            raise CannotRunError("the steward is not ready")
        fleet.add_proxies()
        set_rate(fleet, RATE)
        fleet.connect(lambda proxy: "n1")
        await asyncio.sleep(BUSY_S)
        if not all(proxy.messages for proxy in fleet.proxies):
            raise CannotRunError("a proxy has no table")
        set_rate(fleet, 0.0)
        record.say("clients rest")
        await asyncio.sleep(3.0)
        agent = fleet.agents["n1"]
        set_spoil(fleet, is_disrupted)
        agent.change(fleet.entry("s-0000", "DRAINING"))
        await asyncio.sleep(GRACE_S)
        set_spoil(fleet, False)
        await asyncio.sleep(STEP_S - GRACE_S)
        agent.change(fleet.entry("s-0001", "DRAINING"))
        await asyncio.sleep(GRACE_S + 0.5)
        record.say("clients send again")
        set_rate(fleet, RATE)
        await asyncio.sleep(AFTER_S)
        fleet.fill("requests that each host ran")
        late = late_requests(fleet.proxies, "n1", steward.ready_at, agent, GRACE_S)
        if not steward.is_running():
            raise CannotRunError("the steward has ended")
    finally:
        fleet.end()
    for event in steward.log_events(
        "rejected", "session_stalled", "session_resumed", "core_failed"
    ):
        record.write(f"log of the steward: {event}")
    for sent in late:
        record.write(f"proxy {sent.node} sent to {sent.uid} at {sent.at:.3f}, after the grace")
    for proxy in fleet.proxies:
        count = sum(sent.node == proxy.node for sent in late)
        record.say(
            f"proxy {proxy.node}: {proxy.spoilt} spoilt answers, {len(proxy.sent)} requests,"
            f" {count} of them to a draining host after the grace"
        )
    return not late


def set_rate(fleet: Deployment, rate: float) -> None:
    """Sets the requests a second of each proxy."""
    for proxy in fleet.proxies:
        proxy.rate = rate


def set_spoil(fleet: Deployment, is_spoilt: bool) -> None:
    """Sets whether the answers of some proxies lack a field."""
    for number in SPOILT:
        fleet.proxies[number].spoil = is_spoilt


if __name__ == "__main__":
    run_case(__file__, case)
