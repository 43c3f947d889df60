"""Messages between heads: rows of figures to bytes and back. Nothing here decides anything.

A message is a magic with its kind and rows of one shape, at most 256 bytes. A row is about one
shard or volume (its key). Figures travel as one byte on a log scale, within 2.2%.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import log2
from struct import Struct

MESSAGE_BYTES = 256  # the most that the wire carries
MAGIC = b"FT"
# kinds of message; 1 was the broadcast bid, 4 and 5 were bids on volumes
BID, SUM, ASK, GIFT, CALL, VOTE, WANT, GRANT = 2, 3, 6, 7, 8, 9, 10, 11
_SCALED = {kind: Struct(f"<I{count}B") for kind, count in ((BID, 10), (SUM, 10))}
# ask and gift: shard, start of the node, units, number of the ask; units answered since the last, their time
_GIFT = Struct("<IIBBBB")
# call and vote: slot, number; want: volume, plan, units wanted and used, epoch, number;
# grant: volume, number, units
_LEASE = Struct("<IB")
_PLAIN = {
    ASK: _GIFT, GIFT: _GIFT, CALL: _LEASE, VOTE: _LEASE, WANT: Struct("<IBBHHB"), GRANT: Struct("<IBB"),
}  # fmt: skip
PROOF_US = 10_000  # of that time, a count of one


def pack(value: float) -> int:
    """A figure as one byte, on a log scale."""
    return min(255, round(16 * log2(1 + 4 * max(0.0, value))))


def unpack(byte: int) -> float:
    """The figure that a byte stands for."""
    return float((2 ** (byte / 16) - 1) / 4)


def encode(kind: int, rows: Sequence[tuple[int, Sequence[float]]]) -> list[bytes]:
    """As many messages as the rows need."""
    shape, scale = (_SCALED[kind], pack) if kind in _SCALED else (_PLAIN[kind], int)
    packed = [shape.pack(key, *map(scale, figures)) for key, figures in rows]
    head = MAGIC + bytes([kind])
    fit = (MESSAGE_BYTES - len(head)) // shape.size
    return [head + b"".join(packed[first : first + fit]) for first in range(0, len(rows), fit)]


def decode(body: bytes) -> tuple[int, list[tuple[int, list[float]]]]:
    """Kind and rows of a message; kind 0 for junk, other versions and figures off the scale."""
    kind = body[2] if len(body) > 2 and body[:2] == MAGIC and len(body) <= MESSAGE_BYTES else 0
    shape = _SCALED.get(kind) or _PLAIN.get(kind)
    if shape is None or (len(body) - 3) % shape.size:
        return 0, []
    rows = list(shape.iter_unpack(body[3:]))
    if kind in _PLAIN:
        return kind, [(row[0], list(row[1:])) for row in rows]
    if any(max(row[1:]) == 255 for row in rows):
        return 0, []
    return kind, [(row[0], [unpack(byte) for byte in row[1:]]) for row in rows]
