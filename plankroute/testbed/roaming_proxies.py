"""Stub proxies that connect to another controller when their stream ends, and keep their table."""

import asyncio
import random
from collections.abc import Callable, Sequence

from plankroute.testbed.hosts import MAX_LINE_BYTES, StubProxy
from plankroute.testbed.links import Address
from plankroute.testbed.paced_channel import PacedChannel, QueuedMessage

RECONNECT_DELAY_S = 0.05
OVERHEAD_LINES = 6  # message overhead in the channel


class RoamingProxy(StubProxy):
    """A proxy that is joined to at most one controller at a time.

    Attributes:
        controller: The controller that it is joined to; None: not connected.
        joined_s: When it joined that controller, on the event loop's clock.
        retry_policies: All retry policies that controllers have sent.
    """

    def __init__(
        self,
        number: int,
        addresses: Sequence[Address],
        channels: Sequence[PacedChannel],
        rng: random.Random,
    ) -> None:
        """Creates a proxy that is not connected.

        Args:
            number: Number of the proxy in the fleet.
            addresses: Addresses on which the controllers listen.
            channels: The channel of each controller.
            rng: Chooses the next controller when a stream ends.
        """
        super().__init__("", 0, "a", number)
        self.addresses = addresses
        self.channels = channels
        self.rng = rng
        self.controller: int | None = None
        self.joined_s = 0.0
        self.retry_policies: set[str] = set()
        self._stream = 0

    async def connect_repeatedly(self) -> None:
        """Joins one controller after another until cancelled.

        The first one follows from the proxy's number, the others are random.
        """
        target = self.number % len(self.addresses)
        while True:
            await self.connect_once(target)
            await asyncio.sleep(RECONNECT_DELAY_S)
            target = self.rng.randrange(len(self.addresses))

    async def connect_once(self, target: int) -> None:
        """Joins a controller, and reads until the stream ends."""
        writer: asyncio.StreamWriter | None = None
        try:
            reader, writer = await asyncio.open_connection(
                *self.addresses[target], limit=MAX_LINE_BYTES
            )
            writer.write(self.hello(is_cold=not self.is_bound))
            self._stream += 1
            self.controller = target
            self.joined_s = asyncio.get_running_loop().time()
            await self.read(reader, writer, self.channels[target])
        except (OSError, ValueError):
            pass  # the controller has closed the stream or does not listen
        finally:
            self.controller = None
            if writer:
                writer.transport.abort()

    async def read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, channel: PacedChannel
    ) -> None:
        """Puts each message into the controller's channel when its last line has arrived."""
        stream = self._stream
        parts: list[list[str]] = []
        while line := await reader.readline():
            parts.append(line.decode("ascii").split())
            if "part=1" in parts[-1]:
                continue
            channel.enqueue(
                QueuedMessage(
                    OVERHEAD_LINES + sum(map(line_count, parts)),
                    is_wanted=lambda: self.controller is not None and self._stream == stream,
                    deliver=self.delivery_callback(parts, writer),
                )
            )
            parts = []

    def delivery_callback(
        self, parts: list[list[str]], writer: asyncio.StreamWriter
    ) -> Callable[[], None]:
        """Returns a function that applies a message and acknowledges it."""

        def apply() -> None:
            for words in parts:
                self.note_retry_policy(words)
                sequence_number = self.apply_line(words)
                if sequence_number is not None and not writer.is_closing():
                    writer.write(
                        f"ack node={self.number} nonce={sequence_number} latency=1.0\r\n".encode()
                    )

        return apply

    def note_retry_policy(self, words: list[str]) -> None:
        """Records the retry policies in a line of a message."""
        self.retry_policies.update(
            word.removeprefix("again=") for word in words if word.startswith("again=")
        )

    def usable_hosts(self) -> set[str]:
        """Returns the hosts with a positive weight that are not drained."""
        return {name for name, weight in self.weights.items() if weight > 0} - self.drained


def line_count(words: list[str]) -> int:
    """Returns the number of channel lines that one part of a message costs."""
    fields = dict(word.partition("=")[::2] for word in words[1:])
    listed = sum(
        len(fields[name].split(",")) for name in ("rows", "drop", "undrop") if fields.get(name)
    )
    return listed + sum(name in fields for name in ("replace", "gate", "stamp"))
