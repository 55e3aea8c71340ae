"""The client's end of links: to controllers that are followed, from dialling to their end."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from plankroute.cold_start.link_codec import Frame, FrameDecoder, Hello, encode_frame
from plankroute.net.peers.link_frames import READ_BYTES

CONNECT_TIMEOUT_S = 1.0
# Waiting for the kernel: a part of a list being written, and the next.
MAX_UNSENT_BYTES = 65536


class LinkError(Exception):
    """What came on a link can't be; the text says why."""


@dataclass(frozen=True, slots=True)
class LinkTarget:
    """Whom to follow.

    `own_host`: bound locally, from the address at which others know this controller.
    """

    name: str
    address: tuple[str, int]
    own_host: str


class LinkClient:
    """A link that dials as soon as it is made."""

    def __init__(
        self,
        target: LinkTarget,
        hello: Hello,
        on_frame: Callable[[str, Frame], None],
        on_closed: Callable[["LinkClient"], None],
    ) -> None:
        """Begin to dial.

        Args:
            target: whom to follow.
            hello: the first frame.
            on_frame: takes the name of the target and each frame; may raise LinkError.
            on_closed: told that the link has ended, unless it was closed from here.
        """
        self.target = target
        self.hello = hello
        self.on_frame = on_frame
        self.on_closed = on_closed
        self.writer: asyncio.StreamWriter | None = None
        self.task = asyncio.create_task(self.run())

    @property
    def name(self) -> str:
        """Of the controller that is followed."""
        return self.target.name

    async def run(self) -> None:
        """Dial and read, until either side ends the link."""
        is_closed_here = False
        try:
            await self.read_frames(await self.connect())
        except (LinkError, OSError):  # a time-out too
            pass
        except asyncio.CancelledError:
            is_closed_here = True
        finally:
            if self.writer:
                self.writer.transport.abort()
            if not is_closed_here:
                self.on_closed(self)

    async def connect(self) -> asyncio.StreamReader:
        """Dial and send the first frame.

        Raises:
            OSError: nobody listens there.
            TimeoutError: nobody answers.
        """
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, self.writer = await asyncio.open_connection(
                *self.target.address, local_addr=(self.target.own_host, 0)
            )
        self.writer.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self.writer.write(encode_frame(self.hello))
        return reader

    async def read_frames(self, reader: asyncio.StreamReader) -> None:
        """Hand on each frame until the other end closes.

        Raises:
            LinkError: a frame can't be decoded, or is refused by its taker.
        """
        decoder = FrameDecoder()
        while data := await reader.read(READ_BYTES):
            for frame in decoder.feed(data):
                if frame is None:
                    raise LinkError("unreadable")
                self.on_frame(self.name, frame)

    def send(self, frame: Frame) -> None:
        """Send a frame; dropped where the link is not up, or too much is unsent already."""
        writer = self.writer
        if writer is None or writer.is_closing():
            return
        if writer.transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
            writer.write(encode_frame(frame))

    def close(self) -> None:
        """End the link; `on_closed` is not called."""
        self.task.cancel()


class LinkPool:
    """The links to all controllers that are followed, by name."""

    def __init__(
        self, on_frame: Callable[[str, Frame], None], on_closed: Callable[[str], None]
    ) -> None:
        """No links yet.

        Args:
            on_frame: takes the name of a controller and each of its frames; may raise LinkError.
            on_closed: told the name of a controller whose link has ended from the other side.
        """
        self.on_frame = on_frame
        self.on_closed = on_closed
        self.clients: dict[str, LinkClient] = {}

    def open(self, target: LinkTarget, hello: Hello) -> None:
        """Dial a controller."""
        self.clients[target.name] = LinkClient(target, hello, self.on_frame, self.on_client_closed)

    def on_client_closed(self, client: LinkClient) -> None:
        """A link has ended from the other side; one that was replaced since is not told."""
        if self.clients.get(client.name) is client:
            del self.clients[client.name]
            self.on_closed(client.name)

    def close(self, name: str) -> bool:
        """Close a link from this side; False where there is none."""
        client = self.clients.pop(name, None)
        if client is None:
            return False
        client.close()
        return True

    def close_all(self) -> None:
        """Close all links from this side."""
        for client in self.clients.values():
            client.close()

    def send_to_all(self, frame: Frame) -> None:
        """Send a frame on all links that are up."""
        for client in self.clients.values():
            client.send(frame)
