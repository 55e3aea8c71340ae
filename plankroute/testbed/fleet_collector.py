"""A collector of one controller: reports what its stub proxies met at the hosts."""

import asyncio
from collections.abc import Callable

from plankroute.testbed.links import Address
from plankroute.testbed.roaming_proxies import RoamingProxy

REPORT_INTERVAL_S = 1.0
RECONNECT_DELAY_S = 0.1
GOOD_LATENCY_MS = 20.0
REQUESTS_IN_FLIGHT = 2  # that a host reports


async def report_forever(
    address: Address,
    proxies: Callable[[], list[RoamingProxy]],
    proxy_rate: float,
    ended_hosts: set[str],
) -> None:
    """Reports each second, until cancelled; connects anew when its connection ends.

    Args:
        address: Where the controller listens.
        proxies: Returns the proxies that are joined to it.
        proxy_rate: Requests a second of each.
        ended_hosts: Hosts that answer nobody any more.
    """
    while True:
        try:
            _, writer = await asyncio.open_connection(*address)
            writer.write(b"agent locality=a\r\n")
            while not writer.transport.is_closing():
                await asyncio.sleep(REPORT_INTERVAL_S)
                writer.write(report(proxies(), proxy_rate, ended_hosts))
                await writer.drain()
        except OSError:
            await asyncio.sleep(RECONNECT_DELAY_S)


def report(proxies: list[RoamingProxy], proxy_rate: float, ended_hosts: set[str]) -> bytes:
    """Returns the lines of one report."""
    attempts: dict[str, float] = {}
    for proxy in proxies:
        for host, share in proxy.shares().items():
            attempts[host] = attempts.get(host, 0.0) + share * proxy_rate * REPORT_INTERVAL_S
    lines = [
        f"outcomes locality=a endpoint={host} total={round(total)} "
        + (f"errors={round(total)} " if host in ended_hosts else f"errors=0 rtt={GOOD_LATENCY_MS} ")
        + f"interval={REPORT_INTERVAL_S * 1e3} metrics=inflight:{REQUESTS_IN_FLIGHT}\r\n"
        for host, total in attempts.items()
        if round(total)
    ]
    return "".join(lines).encode()
