"""A collector of one controller, which reports the request outcomes of its stub proxies."""

import asyncio
from collections.abc import Callable

from plankroute.testbed.links import Address
from plankroute.testbed.roaming_proxies import RoamingProxy

REPORT_INTERVAL_S = 1.0
RECONNECT_DELAY_S = 0.1
GOOD_LATENCY_MS = 20.0
REQUESTS_IN_FLIGHT = 2  # reported for each host


async def report_forever(
    address: Address,
    proxies: Callable[[], list[RoamingProxy]],
    proxy_rate: float,
    ended_hosts: set[str],
) -> None:
    """Reports every second until cancelled; reconnects when the connection ends.

    Args:
        address: Address on which the controller listens.
        proxies: Returns the proxies that are joined to the controller now.
        proxy_rate: Requests per second of each proxy.
        ended_hosts: Names of the hosts that have shut down; all requests to them fail.
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
    """Returns the lines of one report, which covers one interval."""
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
