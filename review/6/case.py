"""Case 6: one spoilt report stops the steward, and a drain that is told meanwhile is not kept."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from fleet import KOCHKISTE, Closing, Fleet, drain_breaks, has_trouble, main  # noqa: E402

SPOILT_DIGITS = 64 * 1024  # one sixteenth of the longest message that the protocol allows


async def play(fleet: Fleet) -> list[str]:
    """Plays the day: a calm start, one spoilt report, a drain, and time for the rule's limit."""
    steward = fleet.stewards[0]
    record = fleet.record
    for proxy in fleet.proxies:
        proxy.start([steward])
    await asyncio.sleep(6.0)
    if has_trouble():
        zone = fleet.site.zones[0]
        words = f"outcomes locality={zone} endpoint=s-0003 total=21 errors=1"
        line = f"{words} rtt=41{'6' * SPOILT_DIGITS}ms interval=1000.0 metrics=inflight:2\r\n"
        fleet.collectors[steward.name, zone].write(line.encode())
        record.write(f"collector of {zone} -> n1: {words} rtt=41666...ms ({len(line)} bytes)")
    await asyncio.sleep(1.0)
    host = fleet.by_uid["s-0001"]
    host.state = "DRAINING"
    changed_at = record.now()
    rev = fleet.change([host])[steward.name]
    for _ in range(10):
        is_alive = await steward.answers()
        record.write(f"probe at n1: {'alive' if is_alive else 'no answer within 1 s'}")
        await asyncio.sleep(1.0 if is_alive else 0.0)
    closing = Closing(host.uid, steward.told_at(host.uid, rev, changed_at))
    return drain_breaks(fleet, steward, [closing])


if __name__ == "__main__":
    main(KOCHKISTE, play, FOLDER)
