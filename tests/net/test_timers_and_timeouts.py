"""Timers of the core, and the timeout that tolerates pauses of this process."""

import asyncio
import time

import pytest

from plankroute.net.process.clock import Timers, tolerant_timeout


def test_timers_expire_in_order_and_not_early() -> None:
    timers = Timers()
    for due, token in ((30, 1), (10, 2), (30, 3), (20, 4)):
        timers.schedule(due, token)
    assert timers.next_due_us() == 10
    assert timers.pop_due(9) == []
    assert timers.pop_due(20) == [2, 4]
    assert timers.pop_due(99) == [1, 3]
    assert timers.next_due_us() is None


@pytest.mark.parametrize(
    "pause_s, after_s, in_time", [(0.0, 0.4, False), (0.6, 0.05, True), (0.6, 0.9, False)]
)
def test_a_tolerant_timeout_is_extended_by_the_delay_of_its_timer(
    pause_s: float, after_s: float, in_time: bool
) -> None:
    async def run() -> bool:
        loop = asyncio.get_running_loop()
        arrived = asyncio.Event()
        try:
            async with tolerant_timeout(0.2):
                time.sleep(pause_s)
                loop.call_later(after_s, arrived.set)
                await arrived.wait()
        except TimeoutError:
            return False
        return True

    assert asyncio.run(run()) is in_time
