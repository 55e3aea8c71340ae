"""A stand-in for a host: it answers probes and runs requests, and records both."""

import asyncio

from standin.record import Record

LOAD_FIELDS = "TEXT inflight={inflight}, util={util:.2f}, latency_ms={latency:.0f}"


class Host:
    """One host.

    Attributes:
        uid: Its name in discovery.
        zone: Its zone.
        endpoint: Its address.
        runs: Number of requests that it ran.
    """

    def __init__(self, record: Record, uid: str, zone: str, work_s: float = 0.05) -> None:
        """Creates a host that does not listen yet."""
        self.record = record
        self.uid = uid
        self.zone = zone
        self.work_s = work_s
        self.endpoint = ""
        self.runs = 0
        self.inflight = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.endpoint = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stops to listen."""
        if self._server:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split()[1].decode()
            body = b""
            if target == "/_load":
                util = min(1.0, self.inflight / 4)
                text = LOAD_FIELDS.format(
                    inflight=self.inflight, util=util, latency=1000 * self.work_s
                )
                body = text.encode()
            elif target != "/ping":
                body = await self._run(target)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other side, or the run, has ended
        finally:
            writer.close()

    async def _run(self, target: str) -> bytes:
        self.inflight += 1
        self.runs += 1
        self.record.write(f"host {self.uid} runs {target}")
        await asyncio.sleep(self.work_s)
        self.inflight -= 1
        return self.uid.encode()
