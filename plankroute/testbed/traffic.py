"""Stand-in proxies that keep their tables through restarts of their steward, hosts of which some void all,
and a collector that tells sums late: what txns a restart costs. Reckoned each 100 ms; it judges nothing."""

import asyncio
import time
from collections import Counter

import msgspec

from plankroute.testbed.hosts import Proxy

TICK_S, PERIOD_S, LATE_S = 0.1, 1.0, 0.7  # sums are told each second, so late
GOOD_MS, VOID_MS = 20.0, 500.0
HOLDS = 2  # txns in hand that a good host reports
DIAL_AGAIN_S = 0.1


class Mix(msgspec.Struct, frozen=True):
    """`rate`: txns a second of all proxies; `probes_fail`: do hosts that void all answer probes badly?"""

    proxies: int = 8
    rate: float = 800.0
    probes_fail: bool = True


class Rider(Proxy):
    """A proxy that dials again whenever its stream has ended, and goes on by the table that it holds."""

    def __init__(self, number: int, host: str, port: int, zone: str) -> None:
        super().__init__(host, port, zone)
        self.number, self.is_fresh, self.joined = number, True, 0

    async def ride(self, until_s: float) -> None:
        while time.monotonic() < until_s:
            await self.once()
            await asyncio.sleep(DIAL_AGAIN_S)

    async def once(self) -> None:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(self.host, self.port, limit=1 << 21)
            writer.write(
                f"hello node={self.number} locality={self.zone} w=10.0 cold={int(self.is_fresh)}\r\n".encode()
            )
            self.joined += 1
            while line := await reader.readline():
                if (mark := self.take(line.decode("ascii").split())) is not None:
                    writer.write(f"ack node={self.number} nonce={mark} latency=1.0\r\n".encode())
                self.is_fresh &= not self.is_bound
        except (OSError, ValueError):
            pass
        finally:
            if writer:
                writer.transport.abort()


class Traffic:
    """All proxies of one steward at `address`; `bad`: names of hosts that void all they get."""

    def __init__(
        self, mix: Mix, address: tuple[str, int], bad: set[str], standing: list[str]
    ) -> None:
        self.mix, self.address, self.bad = mix, address, bad
        self.riders = [Rider(number, *address, "a") for number in range(mix.proxies)]
        for rider in self.riders:  # their standing tables, before any steward has written one
            rider.rows = dict.fromkeys(standing, 1.0)
        self.voided: Counter[int] = Counter()  # txns, by tenth of a second since the beginning
        self.asked: Counter[int] = Counter()
        self.sums: Counter[str] = Counter()
        self.began_s = time.monotonic()
        self.tasks = set[asyncio.Task[None]]()

    def start(self, for_s: float) -> None:
        """Ends by itself after that long."""
        self.began_s = time.monotonic()
        until_s = self.began_s + for_s
        for work in (
            self.pass_time(until_s),
            self.collect(until_s),
            *(rider.ride(until_s) for rider in self.riders),
        ):
            self.tasks.add(asyncio.ensure_future(work))

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()

    async def pass_time(self, until_s: float) -> None:
        """Ticks that come late count for the time that has passed."""
        last_s = time.monotonic()
        while (now_s := time.monotonic()) < until_s:
            self.tick(now_s, now_s - last_s)
            last_s = now_s
            await asyncio.sleep(TICK_S)

    def tick(self, now_s: float, passed_s: float) -> None:
        place = int((now_s - self.began_s) / TICK_S)
        txns = self.mix.rate / len(self.riders) * passed_s
        for rider in self.riders:
            for name, share in rider.shares().items():
                self.sums[name] += txns * share
                if not rider.is_bound:
                    continue  # its standing table is no steward's doing
                self.asked[place] += txns * share
                if name in self.bad:
                    self.voided[place] += txns * share

    async def collect(self, until_s: float) -> None:
        """A collector dials again when its steward is back; sums of the time between are lost with it."""
        while time.monotonic() < until_s:
            try:
                _, writer = await asyncio.open_connection(*self.address)
                writer.write(b"agent locality=a\r\n")
                while not writer.transport.is_closing():
                    await asyncio.sleep(PERIOD_S)
                    sums, self.sums = self.sums, Counter()
                    asyncio.get_running_loop().call_later(LATE_S, writer.write, self.lines(sums))
                    await writer.drain()
            except OSError:
                await asyncio.sleep(DIAL_AGAIN_S)

    def lines(self, sums: Counter[str]) -> bytes:
        out = []
        for name, total in sums.items():
            if tries := round(total):
                is_bad = name in self.bad
                rtt = "" if is_bad else f" rtt={GOOD_MS}"
                out.append(
                    f"outcomes locality=a endpoint={name} total={tries} errors={tries * is_bad}{rtt} "
                    f"interval={PERIOD_S * 1e3} metrics=inflight:{0 if is_bad else HOLDS}\r\n"
                )
        return "".join(out).encode()

    def between(self, counts: Counter[int], from_s: float, for_s: float) -> float:
        """Txns of that span, in seconds of the steady clock."""
        first = int((from_s - self.began_s) / TICK_S)
        return sum(counts[place] for place in range(first, first + round(for_s / TICK_S)))
