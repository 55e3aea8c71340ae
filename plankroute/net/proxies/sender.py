"""Sends the core's messages to the sessions of their proxies."""

from plankroute.controller.messages import Message
from plankroute.net.process.telemetry import Telemetry
from plankroute.net.proxies.line_codec import MessageEncoder
from plankroute.net.proxies.sessions import Sessions


class MessageSender:
    """Encodes messages and hands them to the connections of their proxies."""

    def __init__(self, sessions: Sessions, encoder: MessageEncoder, telemetry: Telemetry) -> None:
        self.sessions = sessions
        self.encoder = encoder
        self.telemetry = telemetry

    def send(self, message: Message) -> None:
        """Sends a message; one for a proxy without a session is dropped and counted."""
        connection = self.sessions.by_proxy.get(message.proxy)
        if connection is None:
            self.telemetry.count("dropped.messages")
            return
        data = self.encoder.encode(message)
        if not connection.outbound.send(data):
            # The proxy reads nothing, or is gone: what follows would rest on what it never got.
            self.telemetry.count("dropped.messages")
            self.telemetry.log.event(
                "error",
                "session_overrun",
                proxy=message.proxy,
                waiting=connection.outbound.waiting.size,
            )
            connection.outbound.abort()
            return
        if message.sequence_number is not None:
            connection.expect_ack(message.sequence_number)
        self.telemetry.count("sent.messages")
        self.telemetry.count("sent.lines", message.line_count())
        self.telemetry.count("sent.bytes", len(data))
