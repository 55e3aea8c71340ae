"""Case 7: the hosts of a lost hall return and get warm, and no proxy of the hall may use them."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from fleet import SALZBURG_LATER, BareWatch, Fleet, has_trouble, main  # noqa: E402

HALL = "halle-nord"
HOSTS_PER_HALL = 10
PROXIES = 60  # of 106, dealt by chance to two stewards
SETTLE_S = 25.0  # until all proxies are bound and the first weights have been learned
LOST_S = 5.0


async def play(fleet: Fleet) -> list[str]:
    """Plays the day: a calm start, a hall that is lost for 5 s, and time until it is warm again."""
    steward = fleet.stewards[0]
    record = fleet.record
    watch = BareWatch(fleet)
    fleet.run_task(watch.run())
    for proxy in fleet.proxies:
        proxy.start([steward])
    await asyncio.sleep(SETTLE_S)
    lost = [host for host in fleet.hosts if host.zone == HALL] if has_trouble() else []
    if lost:
        for host in lost:
            host.close()
            host.state = "DELETED"
        fleet.change(lost)
    await asyncio.sleep(LOST_S)
    if lost:
        for host in lost:
            await host.open()
            host.state = "SERVING"
            host.boot_ms = record.unix_ms()
        fleet.change(lost)
    await asyncio.sleep(fleet.site.cold_s + 3 * fleet.site.bare_s)
    hall = [proxy for proxy in fleet.proxies if proxy.zone == HALL]
    bare = [proxy.number for proxy in hall if not proxy.has_line("credit-check")]
    record.write(f"at the end {len(bare)} of {len(hall)} proxies of {HALL} have no line to pick")
    record.write(f"longest time without a line to pick: {watch.longest_s:.2f} s")
    return list(watch.breaks.values())


if __name__ == "__main__":
    main(SALZBURG_LATER, play, FOLDER, hosts_per_zone=HOSTS_PER_HALL, proxies=PROXIES)
