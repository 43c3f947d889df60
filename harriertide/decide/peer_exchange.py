"""Messages with the other brokers: collected during a call, sent at its end, read as they come."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from harriertide.decide import api
from harriertide.decide.context import DecisionContext
from harriertide.decide.peer_messages import PeerMessage, decode, encode

Handler = Callable[[int, Any], None]


class PeerExchange:
    """Messages to and from other brokers; those of a broker to itself are handled at once.

    Each mechanism registers a handler for the kinds of messages that it takes: handler(sender, message).
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._handlers: dict[type[PeerMessage], Handler] = {}
        self._outbox: dict[tuple[int, type[PeerMessage]], list[PeerMessage]] = {}

    def register(self, message_type: type[PeerMessage], handler: Handler) -> None:
        """Have messages of a kind handled so."""
        self._handlers[message_type] = handler

    def send(self, broker: int, message: PeerMessage) -> None:
        """Send a message with all others of its kind to that broker, at the end of this call."""
        if broker == self._context.settings.broker_index:
            self._handlers[type(message)](broker, message)
        else:
            self._outbox.setdefault((broker, type(message)), []).append(message)

    def receive(self, received: api.PeerMessageReceived) -> None:
        """Take a datagram. Junk, other versions, unknown senders and absurd figures have no effect."""
        sender, settings = received.sender_index, self._context.settings
        is_peer = 0 <= sender < settings.broker_count and sender != settings.broker_index
        if not is_peer or self._context.derived.is_standalone:
            return
        for message in decode(received.body):
            self._handlers[type(message)](sender, message)

    def flush(self) -> None:
        """Send what was collected."""
        for (broker, _), messages in self._outbox.items():
            for body in encode(messages):
                self._context.emit(api.SendPeerMessage(broker, body))
        self._outbox.clear()
