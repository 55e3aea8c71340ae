"""The client side of links: connections from this controller to the controllers it follows."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from plankroute.cold_start.link_codec import Frame, FrameDecoder, Hello, encode_frame
from plankroute.net.peers.link_frames import READ_BYTES

CONNECT_TIMEOUT_S = 1.0
# Limit for data that waits to be sent: room for a part of a list that is being written, and for the
# next part. Frames beyond the limit are dropped.
MAX_UNSENT_BYTES = 65536


class LinkError(Exception):
    """Data received on a link violates the protocol; the message says how."""


@dataclass(frozen=True, slots=True)
class LinkTarget:
    """A controller to connect to.

    Attributes:
        name: Its name.
        address: The host and port at which it accepts links.
        own_host: Local address of the connection: the host at which other controllers know this
            controller.
    """

    name: str
    address: tuple[str, int]
    own_host: str


class LinkClient:
    """A link to one followed controller; connects as soon as it is created.

    Attributes:
        writer: The connection's writer; None until the connection is established.
        task: Connects and reads frames; `close` cancels it.
    """

    def __init__(
        self,
        target: LinkTarget,
        hello: Hello,
        on_frame: Callable[[str, Frame], None],
        on_closed: Callable[["LinkClient"], None],
    ) -> None:
        """Starts to connect.

        Args:
            target: The controller to follow.
            hello: The first frame to send.
            on_frame: Called with the target's name and each frame; may raise LinkError.
            on_closed: Called with this link when it has ended, but not after `close`.
        """
        self.target = target
        self.hello = hello
        self.on_frame = on_frame
        self.on_closed = on_closed
        self.writer: asyncio.StreamWriter | None = None
        self.task = asyncio.create_task(self.run())

    @property
    def name(self) -> str:
        """Name of the followed controller."""
        return self.target.name

    async def run(self) -> None:
        """Connects and reads frames until either side ends the link."""
        is_closed_here = False
        try:
            await self.read_frames(await self.connect())
        except (LinkError, OSError):  # TimeoutError is an OSError
            pass
        except asyncio.CancelledError:
            is_closed_here = True
        finally:
            if self.writer:
                self.writer.transport.abort()
            if not is_closed_here:
                self.on_closed(self)

    async def connect(self) -> asyncio.StreamReader:
        """Connects and sends the first frame.

        Returns:
            The reader of the connection.

        Raises:
            OSError: The connection was refused or broke.
            TimeoutError: The connection was not established within `CONNECT_TIMEOUT_S`.
        """
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, self.writer = await asyncio.open_connection(
                *self.target.address, local_addr=(self.target.own_host, 0)
            )
        self.writer.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self.writer.write(encode_frame(self.hello))
        return reader

    async def read_frames(self, reader: asyncio.StreamReader) -> None:
        """Passes each frame to `on_frame` until the other end closes the connection.

        Raises:
            LinkError: A frame cannot be decoded, or `on_frame` rejected it.
            OSError: The connection broke.
        """
        decoder = FrameDecoder()
        while data := await reader.read(READ_BYTES):
            for frame in decoder.feed(data):
                if frame is None:
                    raise LinkError("frame cannot be decoded")
                self.on_frame(self.name, frame)

    def send(self, frame: Frame) -> None:
        """Sends a frame.

        The frame is dropped if the link is not established, or if `MAX_UNSENT_BYTES` are already
        waiting to be sent.
        """
        writer = self.writer
        if writer is None or writer.is_closing():
            return
        if writer.transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
            writer.write(encode_frame(frame))

    def close(self) -> None:
        """Ends the link; `on_closed` is not called."""
        self.task.cancel()


class LinkPool:
    """The links to all followed controllers.

    Attributes:
        clients: The open links by the followed controller's name.
    """

    def __init__(
        self, on_frame: Callable[[str, Frame], None], on_closed: Callable[[str], None]
    ) -> None:
        """Creates a pool without links.

        Args:
            on_frame: Called with a controller's name and each of its frames; may raise LinkError.
            on_closed: Called with a controller's name when its link has ended, but not after
                `close` or `close_all`.
        """
        self.on_frame = on_frame
        self.on_closed = on_closed
        self.clients: dict[str, LinkClient] = {}

    def open(self, target: LinkTarget, hello: Hello) -> None:
        """Opens a link to a controller."""
        self.clients[target.name] = LinkClient(target, hello, self.on_frame, self.on_client_closed)

    def on_client_closed(self, client: LinkClient) -> None:
        """Reports the end of a link, unless another link to the same controller has replaced it."""
        if self.clients.get(client.name) is client:
            del self.clients[client.name]
            self.on_closed(client.name)

    def close(self, name: str) -> bool:
        """Closes the link to a controller; returns False if there is none."""
        client = self.clients.pop(name, None)
        if client is None:
            return False
        client.close()
        return True

    def close_all(self) -> None:
        """Closes all links."""
        for client in self.clients.values():
            client.close()

    def send_to_all(self, frame: Frame) -> None:
        """Sends a frame on all links; `LinkClient.send` says which links drop it."""
        for client in self.clients.values():
            client.send(frame)
