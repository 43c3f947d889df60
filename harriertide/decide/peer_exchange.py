"""Messages to and from other brokers: collected during a call of the decision module and sent at its end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from harriertide.decide import api
from harriertide.decide.context import DecisionContext
from harriertide.decide.peer_messages import PeerMessage, decode, encode

Handler = Callable[[int, Any], None]


class PeerExchange:
    """Messages to and from other brokers; a message to this broker itself is handled immediately.

    Each mechanism registers a handler for each message type that it receives: handler(sender, message).
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._handlers: dict[type[PeerMessage], Handler] = {}
        self._outbox: dict[tuple[int, type[PeerMessage]], list[PeerMessage]] = {}

    def register(self, message_type: type[PeerMessage], handler: Handler) -> None:
        """Set the handler for a message type."""
        self._handlers[message_type] = handler

    def send(self, broker: int, message: PeerMessage) -> None:
        """Queue a message for flush, which packs all messages of one type to one broker together."""
        if broker == self._context.settings.broker_index:
            self._handlers[type(message)](broker, message)
        else:
            self._outbox.setdefault((broker, type(message)), []).append(message)

    def receive(self, received: api.PeerMessageReceived) -> None:
        """Handle a datagram from another broker.

        Malformed datagrams, other versions, unknown senders and rates off the scale are ignored.
        """
        sender, settings = received.sender_index, self._context.settings
        is_peer = 0 <= sender < settings.broker_count and sender != settings.broker_index
        if not is_peer or self._context.derived.is_standalone:
            return
        for message in decode(received.body):
            self._handlers[type(message)](sender, message)

    def flush(self) -> None:
        """Send the queued messages."""
        for (broker, _), messages in self._outbox.items():
            for body in encode(messages):
                self._context.emit(api.SendPeerMessage(broker, body))
        self._outbox.clear()
