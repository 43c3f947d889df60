"""The msgpack encoding of the messages between members. Each message type has its own tag."""

from __future__ import annotations

import msgspec

from harriertide.consensus.fanout_messages import SubtreeReport, TreeUpdate
from harriertide.consensus.membership_reconciler import BootstrapCluster, Hello
from harriertide.consensus.messages import Message

WireMessage = Message | Hello | BootstrapCluster | SubtreeReport | TreeUpdate

_decoder = msgspec.msgpack.Decoder(WireMessage)
_encoder = msgspec.msgpack.Encoder()


def encode_message(message: WireMessage) -> bytes:
    """Encode a message for the transport."""
    return _encoder.encode(message)


def decode_message(payload: bytes) -> WireMessage:
    """Decode a payload.

    :raises msgspec.MsgspecError: the payload is not a valid message
    """
    return _decoder.decode(payload)
