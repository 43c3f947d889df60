"""The messages between members, as bytes of msgpack. Each kind has a tag of its own."""

from __future__ import annotations

import msgspec

from harriertide.consensus.fanout_messages import SubtreeReport, TreeUpdate
from harriertide.consensus.messages import Message
from harriertide.consensus.roster import Founding, Hello

WireMessage = Message | Hello | Founding | SubtreeReport | TreeUpdate

_decoder = msgspec.msgpack.Decoder(WireMessage)
_encoder = msgspec.msgpack.Encoder()


def encode_message(message: WireMessage) -> bytes:
    """Encode a message for the carrier."""
    return _encoder.encode(message)


def decode_message(payload: bytes) -> WireMessage:
    """Decode a payload.

    :raises msgspec.MsgspecError: it is no message
    """
    return _decoder.decode(payload)
