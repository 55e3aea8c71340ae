"""Case 8: a proxy without an ordered table keeps hosts shut out after its stream has broken."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from fleet import SALZBURG, BareWatch, Fleet, has_trouble, main  # noqa: E402

ZONE = "halle-nord"
ZONE_LOST_S = 6.0
SHUT_OUT_WAIT_S = 3.0  # the steward shuts the lost hosts out at waiting proxies well before
BREAK_AFTER_S = 0.1  # after the proxy has shut them out
NOTICE_S = 0.7  # within the 380 to 1,400 ms of the site file


async def play(fleet: Fleet) -> list[str]:
    """Plays the day; the broken stream of one proxy is the disruption."""
    steward = fleet.stewards[0]
    record = fleet.record
    watch = BareWatch(fleet)
    first = fleet.proxies[0]
    assert first.zone == ZONE
    fleet.run_task(watch.run())
    for proxy in fleet.proxies:
        proxy.start([steward])
    await asyncio.sleep(6.0)
    # A proxy process is restarted, and so is the steward; a zone of hosts is lost meanwhile.
    first.stop()
    await steward.end(signal.SIGTERM)
    known = steward.agent.known()
    first.start([steward])
    lost = [host for host in fleet.hosts if host.zone == ZONE]
    for host in lost:
        host.close()
        host.state = "DELETED"
    fleet.change(lost)
    lost_at = record.now()
    await asyncio.sleep(1.0)
    await steward.start(known)
    end = record.now() + SHUT_OUT_WAIT_S
    while not first.shut_out and record.now() < end:
        await asyncio.sleep(0.02)
    await asyncio.sleep(BREAK_AFTER_S)
    if has_trouble():
        first.break_stream(NOTICE_S)
    await asyncio.sleep(max(0.0, lost_at + ZONE_LOST_S - record.now()))
    for host in lost:
        await host.open()
        host.state = "SERVING"
        host.boot_ms = int(1000 * time.time())
    fleet.change(lost)
    await asyncio.sleep(fleet.site.cold_s + fleet.site.bare_s + 3.0)
    record.write(f"longest time without a line to pick: {watch.longest_s:.2f} s")
    return list(watch.breaks.values())


if __name__ == "__main__":
    main(SALZBURG, play, FOLDER)
