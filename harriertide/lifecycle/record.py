"""The hand-over record, in which a process passes its state to the newer one: versioned, complete or unused.

On disk: a magic with the version, the 64-bit xxHash of the body, the body in MessagePack.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from msgspec import Struct
from xxhash import xxh3_64_digest

from harriertide.decide.handover import DecisionRecord
from harriertide.engine.workload_records import NodeEntryRecord, load_node_entry, store_node_entry
from harriertide.platform.endpoint_directory import DirectoryState

VERSION = 2  # of the body's form: a record of another version is not read
MAGIC = b"harriertide state %d\n" % VERSION
_HASH_BYTES = 8
MAX_AGE_S = 10.0  # a record is read within moments of its writing, or it is of a process long gone


class RecordError(ValueError):
    """A hand-over record that can't be used; the process starts without one. The text has the reason."""


@dataclass(slots=True)
class Handover:
    """What a process hands over.

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
    decisions: DecisionRecord


class DirectoryRecord(Struct):
    """The stored form of the endpoint list, as `DirectoryState`."""

    seq: int
    entries: list[NodeEntryRecord]
    dial: dict[str, str]
    gone: list[str]


class HandoverRecord(Struct):
    """The stored form of a hand-over; field names on disk never change."""

    broker: str
    epoch: int
    monotonic_s: float
    unix_us: int
    drained: bool
    clients: int
    nodes: int
    directory: DirectoryRecord
    decisions: DecisionRecord


def _store(handover: Handover) -> HandoverRecord:
    directory = handover.directory
    return HandoverRecord(
        handover.broker,
        handover.epoch,
        handover.monotonic_s,
        handover.unix_us,
        handover.drained,
        handover.clients,
        handover.nodes,
        DirectoryRecord(
            directory.seq, list(map(store_node_entry, directory.entries)), directory.dial, directory.gone
        ),
        handover.decisions,
    )


def _load(record: HandoverRecord) -> Handover:
    stored = record.directory
    entries = list(map(load_node_entry, stored.entries))
    return Handover(
        record.broker,
        record.epoch,
        record.monotonic_s,
        record.unix_us,
        record.drained,
        record.clients,
        record.nodes,
        DirectoryState(stored.seq, entries, stored.dial, stored.gone),
        record.decisions,
    )


def encode(handover: Handover) -> bytes:
    """Write a record."""
    body = msgspec.msgpack.encode(_store(handover))
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
        handover = _load(msgspec.msgpack.decode(body, type=HandoverRecord))
    except msgspec.MsgspecError as error:
        raise RecordError(f"it is malformed: {error}") from None
    if handover.broker != broker:
        raise RecordError(f"it is of the broker {handover.broker}")
    if handover.epoch != epoch:
        raise RecordError("it is for another process")
    if not 0 <= now_s - handover.monotonic_s <= MAX_AGE_S:
        raise RecordError("it is old")
    return handover
