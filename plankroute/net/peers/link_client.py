"""The client's end of a link: to a controller that is followed, from dialling to its end."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from plankroute.cold_start.link_codec import Frame, FrameDecoder, Hello, encode_frame

CONNECT_TIMEOUT_S = 1.0  # a guess
READ_BYTES = 65536  # from the socket at once
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
        on_closed: Callable[["LinkClient", str], None],
    ) -> None:
        """Begin to dial.

        Args:
            target: whom to follow.
            hello: the first frame.
            on_frame: takes the name of the target and each frame; may raise LinkError.
            on_closed: told why the link has ended, unless it was closed from here.
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
        reason = "ended"
        try:
            await self.read_frames(await self.connect())
        except LinkError as error:
            reason = str(error)
        except (OSError, TimeoutError) as error:
            reason = f"{type(error).__name__}: {error}".strip(": ")
        except asyncio.CancelledError:
            reason = ""  # closed from here: nobody needs to be told
        finally:
            if self.writer:
                self.writer.transport.abort()
            if reason:
                self.on_closed(self, reason)

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
