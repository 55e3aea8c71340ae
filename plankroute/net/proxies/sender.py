"""Sends messages of the core to the proxies over their sessions."""

from plankroute.controller.messages import Message
from plankroute.net.process.telemetry import Telemetry
from plankroute.net.proxies.line_codec import MessageEncoder
from plankroute.net.proxies.sessions import Sessions


class MessageSender:
    """Encodes messages and sends them over the connections of their proxies.

    Args:
        sessions: Sessions of the proxies.
        encoder: Encodes messages as lines.
        telemetry: Counters and log.
    """

    def __init__(self, sessions: Sessions, encoder: MessageEncoder, telemetry: Telemetry) -> None:
        self.sessions = sessions
        self.encoder = encoder
        self.telemetry = telemetry

    def send(self, message: Message) -> None:
        """Sends a message, or drops and counts it if the proxy has no session.

        If the message does not fit into the outbound buffer, the connection is aborted.
        """
        connection = self.sessions.by_proxy.get(message.proxy)
        if connection is None:
            self.telemetry.count("dropped.messages")
            return
        data = self.encoder.encode(message)
        if not connection.outbound.send(data):
            # The proxy does not read, or is gone. Later messages would build on one that it never
            # received.
            self.telemetry.count("dropped.messages")
            self.telemetry.log.event(
                "error",
                "session_overrun",
                proxy=message.proxy,
                waiting=connection.outbound.pending.size,
            )
            connection.outbound.abort()
            return
        if message.sequence_number is not None:
            connection.expect_ack(message.sequence_number)
        self.telemetry.count("sent.messages")
        self.telemetry.count("sent.lines", message.line_count())
        self.telemetry.count("sent.bytes", len(data))
