"""Send: messages become bytes on their proxy's stream."""

from plankroute.controller.messages import Message
from plankroute.net.process.telemetry import Telemetry
from plankroute.net.proxies.line_codec import Writer
from plankroute.net.proxies.sessions import Streams


class Sender:
    def __init__(self, streams: Streams, writer: Writer, telemetry: Telemetry) -> None:
        self.streams, self.writer, self.telemetry = streams, writer, telemetry

    def send(self, message: Message) -> None:
        peer = self.streams.by_proxy.get(message.proxy)
        if peer is None:
            self.telemetry.count("dropped.messages")
            return
        data = self.writer.write(message)
        if not peer.outlet.send(data):
            # It reads nothing, or its connection is gone: what follows would rest on what it never got.
            self.telemetry.count("dropped.messages")
            self.telemetry.log.event(
                "error", "stream_overrun", proxy=message.proxy, waiting=peer.outlet.ring.size
            )
            peer.outlet.reset()
            return
        if message.sequence_number is not None:
            peer.expect(message.sequence_number)
        self.telemetry.count("sent.messages")
        self.telemetry.count("sent.lines", message.line_count())
        self.telemetry.count("sent.bytes", len(data))
