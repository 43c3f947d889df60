"""The hand-over record, in which a process passes its state to the newer one: versioned, complete or unused.

On disk: a magic with the version, the 64-bit xxHash of the body, the body in MessagePack.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from xxhash import xxh3_64_digest

from harriertide.decide.handover import DecisionState
from harriertide.platform.discovery import DirectoryState

VERSION = 2  # of the body's form: a record of another version is not read
MAGIC = b"harriertide state %d\n" % VERSION
_HASH_BYTES = 8
MAX_AGE_S = 10.0  # a record is read within moments of its writing, or it is of a process long gone


class RecordError(ValueError):
    """A hand-over record that can't be used; the process starts without one. The text has the reason."""


@dataclass(slots=True)
class Handover:
    """What a process hands over. Fields are stored by name: they stay.

    :param epoch: of the process that it is for.
    :param monotonic_s: the system's monotonic clock as it was written.
    :param unix_us: the broker's clock at that moment.
    :param drained: operators have asked for a drain.
    :param clients: connections that stay with the process that hands over; it accepts no others.
    :param nodes: connections to nodes that stay with it.
    """

    broker: str
    epoch: int
    monotonic_s: float
    unix_us: int
    drained: bool
    clients: int
    nodes: int
    directory: DirectoryState
    decisions: DecisionState


def encode(handover: Handover) -> bytes:
    """Write a record."""
    body = msgspec.msgpack.encode(handover)
    return MAGIC + xxh3_64_digest(body) + body


def decode(data: bytes, broker: str, epoch: int, now_s: float) -> Handover:
    """Read the record for this process.

    :param broker: name of this process's broker.
    :param epoch: of this process.
    :param now_s: the monotonic clock, which all processes of a machine share.
    :raises RecordError: where it is damaged, of another release's form, or not for this process now.
    """
    if not data.startswith(MAGIC):
        raise RecordError("it has another version")
    checksum, body = data[len(MAGIC) : len(MAGIC) + _HASH_BYTES], data[len(MAGIC) + _HASH_BYTES :]
    if xxh3_64_digest(body) != checksum:
        raise RecordError("it is torn")
    try:
        handover = msgspec.msgpack.decode(body, type=Handover)
    except msgspec.MsgspecError as error:
        raise RecordError(f"it is malformed: {error}") from None
    if handover.broker != broker:
        raise RecordError(f"it is of the broker {handover.broker}")
    if handover.epoch != epoch:
        raise RecordError("it is for another process")
    if not 0 <= now_s - handover.monotonic_s <= MAX_AGE_S:
        raise RecordError("it is old")
    return handover
