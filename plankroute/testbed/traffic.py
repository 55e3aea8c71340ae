"""Simulated requests of stub proxies that keep their tables while their controller restarts.

Some hosts fail all requests, and a collector reports the sums with a delay. Measures how many
requests fail because of a restart. Requests are computed every 100 ms; nothing is checked.
"""

import asyncio
import time

import msgspec

from plankroute.testbed.hosts import MAX_LINE_BYTES, StubProxy

TICK_S = 0.1
REPORT_INTERVAL_S = 1.0  # between reports of the collector
REPORT_DELAY_S = 0.7  # from the end of an interval to the report on it
GOOD_LATENCY_MS = 20.0
REQUESTS_IN_FLIGHT = 2  # reported for hosts that do not fail
RECONNECT_DELAY_S = 0.1


class TrafficSettings(msgspec.Struct, frozen=True):
    """Settings of the proxies and their requests.

    Attributes:
        proxies: Number of proxies.
        rate: Requests per second, sum of all proxies.
        probes_fail: Whether hosts that fail all requests also fail health checks.
    """

    proxies: int = 8
    rate: float = 800.0
    probes_fail: bool = True


class ReconnectingProxy(StubProxy):
    """A proxy that reconnects when its stream ends, and uses its last table until then."""

    def __init__(self, number: int, host: str, port: int, zone: str) -> None:
        super().__init__(host, port, zone, number)
        self.is_cold = True
        self.connections = 0

    async def run_until(self, until_s: float) -> None:
        """Connects and reconnects until the monotonic time `until_s`."""
        while time.monotonic() < until_s:
            await self.connect_once()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def connect_once(self) -> None:
        """Joins, and reads until the stream ends."""
        writer: asyncio.StreamWriter | None = None
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.port, limit=MAX_LINE_BYTES
            )
            writer.write(self.hello(self.is_cold))
            self.connections += 1
            while line := await reader.readline():
                self.apply_and_acknowledge(line, writer)
                if self.is_bound:
                    self.is_cold = False
        except (OSError, ValueError):
            pass  # the controller has closed the stream or does not listen
        finally:
            if writer:
                writer.transport.abort()


class Traffic:
    """The proxies of one controller, and its collector.

    Attributes:
        failing: Names of the hosts that fail all requests.
        requests: Number of requests by tick since `start`.
        failures: Number of failed requests by tick since `start`.
        unreported: Requests by host that the collector has not reported yet.
    """

    def __init__(
        self,
        settings: TrafficSettings,
        address: tuple[str, int],
        failing: set[str],
        initial_hosts: list[str],
    ) -> None:
        self.settings = settings
        self.address = address
        self.failing = failing
        self.proxies = [
            ReconnectingProxy(number, *address, zone="a") for number in range(settings.proxies)
        ]
        for proxy in self.proxies:
            # Until a controller sends a table, the proxy uses these hosts with equal weights.
            proxy.weights = dict.fromkeys(initial_hosts, 1.0)
        self.requests: dict[int, float] = {}
        self.failures: dict[int, float] = {}
        self.unreported: dict[str, float] = {}
        self.began_s = time.monotonic()
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, duration_s: float) -> None:
        """Starts requests, reports and proxies; they end by themselves after `duration_s`."""
        self.began_s = time.monotonic()
        until_s = self.began_s + duration_s
        self.tasks.add(asyncio.create_task(self.send_requests(until_s)))
        self.tasks.add(asyncio.create_task(self.report_periodically(until_s)))
        for proxy in self.proxies:
            self.tasks.add(asyncio.create_task(proxy.run_until(until_s)))

    def close(self) -> None:
        """Cancels all that `start` has started."""
        for task in self.tasks:
            task.cancel()

    async def send_requests(self, until_s: float) -> None:
        """Ticks until the monotonic time `until_s`.

        A tick that comes late accounts for all the time since the tick before.
        """
        last_s = time.monotonic()
        while True:
            now_s = time.monotonic()
            if now_s >= until_s:
                return
            self.tick(now_s, now_s - last_s)
            last_s = now_s
            await asyncio.sleep(TICK_S)

    def tick(self, now_s: float, passed_s: float) -> None:
        """Adds the requests of the last `passed_s` seconds, split by each proxy's table."""
        tick = int((now_s - self.began_s) / TICK_S)
        requests = self.settings.rate / len(self.proxies) * passed_s
        for proxy in self.proxies:
            for name, share in proxy.shares().items():
                sent = requests * share
                self.unreported[name] = self.unreported.get(name, 0) + sent
                if not proxy.is_bound:
                    continue  # its initial table came from no controller, so it is not measured
                self.requests[tick] = self.requests.get(tick, 0) + sent
                if name in self.failing:
                    self.failures[tick] = self.failures.get(tick, 0) + sent

    async def report_periodically(self, until_s: float) -> None:
        """Reports sums to the controller at each interval, until the monotonic time `until_s`.

        Sums that are due while the controller does not run are lost.
        """
        while time.monotonic() < until_s:
            try:
                _, writer = await asyncio.open_connection(*self.address)
                writer.write(b"agent locality=a\r\n")
                while not writer.transport.is_closing():
                    await asyncio.sleep(REPORT_INTERVAL_S)
                    report = self.report(self.unreported)
                    self.unreported = {}
                    asyncio.get_running_loop().call_later(REPORT_DELAY_S, writer.write, report)
                    await writer.drain()
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_S)

    def report(self, sums: dict[str, float]) -> bytes:
        """Returns the collector's lines for these sums by host, rounded to whole requests."""
        lines: list[str] = []
        for name, total in sums.items():
            attempts = round(total)
            if not attempts:
                continue
            if name in self.failing:
                result = f"errors={attempts}"
                in_flight = 0
            else:
                result = f"errors=0 rtt={GOOD_LATENCY_MS}"
                in_flight = REQUESTS_IN_FLIGHT
            lines.append(
                f"outcomes locality=a endpoint={name} total={attempts} {result} "
                f"interval={REPORT_INTERVAL_S * 1e3} metrics=inflight:{in_flight}\r\n"
            )
        return "".join(lines).encode()

    def count_between(self, counts: dict[int, float], from_s: float, duration_s: float) -> float:
        """Sums counts by tick over `duration_s` seconds from the monotonic time `from_s`."""
        first = int((from_s - self.began_s) / TICK_S)
        return sum(counts.get(tick, 0) for tick in range(first, first + round(duration_s / TICK_S)))
