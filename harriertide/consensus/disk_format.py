"""The format of a member's disk: frames with a checksum, the records in them, and the state that they give.

A frame is the length and the xxh3 of its payload, then the payload. A log file is a sequence of frames with
one record each; the identity and a snapshot are files of one frame.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

import msgspec
import xxhash
from msgspec import Struct

from harriertide.consensus import events as ev
from harriertide.consensus.messages import RECORD_VERSION, Entry, Member, Snapshot

_FRAME_HEAD = struct.Struct("<IQ")
# Of one frame: far over any batch or snapshot, so that a longer one is a damaged length.
MAX_FRAME_BYTES = 64 * 1024 * 1024


class DamagedError(Exception):
    """What was promised can't be read any more. The text says where and how, in one line.

    The disk can't be used as it is: the folder is set aside, and the broker joins as a new member.
    """


class UnreadableRecordError(Exception):
    """A record is whole, but of another release: its text says which."""


class Record(Struct, frozen=True, array_like=True):
    """One write: the hard state, and what changes in the log.

    :param truncate_from: entries from this index on are void; 0 for none
    :param snapshot_index: of a snapshot in a file of its own that takes the place of the log up to it; 0 for
        none
    """

    version: int
    cluster: str
    term: int
    voted_for: Member | None
    truncate_from: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot_index: int = 0


_encode = msgspec.msgpack.Encoder().encode
_records = msgspec.msgpack.Decoder(Record)
_snapshots = msgspec.msgpack.Decoder(Snapshot)


def record_of(write: ev.Persist) -> Record:
    """The record for a write."""
    return Record(
        version=RECORD_VERSION,
        cluster=write.cluster,
        term=write.term,
        voted_for=write.voted_for,
        truncate_from=write.truncate_from,
        entries=write.entries,
        snapshot_index=write.snapshot.index if write.snapshot else 0,
    )


def encode_record(record: Record) -> bytes:
    """A record as a frame."""
    return frame(_encode(record))


def decode_record(payload: bytes) -> Record:
    """The record in a frame.

    :raises UnreadableRecordError: a newer release has written it
    """
    try:
        record = _records.decode(payload)
    except msgspec.MsgspecError as error:
        raise UnreadableRecordError(f"a record that this version can't read: {error}") from None
    if record.version > RECORD_VERSION:
        raise UnreadableRecordError(
            f"written by a newer version ({record.version}, this one reads {RECORD_VERSION})"
        )
    return record


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """A snapshot as a frame."""
    return frame(_encode(snapshot))


def decode_snapshot(payload: bytes) -> Snapshot:
    """The snapshot in a frame."""
    return _snapshots.decode(payload)


def frame(payload: bytes) -> bytes:
    """A payload with its length and checksum."""
    return _FRAME_HEAD.pack(len(payload), xxhash.xxh3_64_intdigest(payload)) + payload


def split_frames(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Split a file into payloads.

    A last frame that is short, or nothing but zeros, is a write that a crash tore. It was never synced, so
    nobody was promised it. Anything else that is wrong is damage of what may have been promised.

    :param name: of the file, for errors
    :returns: the payloads, and how many bytes of the file they take
    :raises DamagedError: the file holds what no torn write explains
    """
    payloads: list[bytes] = []
    start = 0
    while start < len(data):
        if not any(data[start:]):
            break  # space that the file system has allocated and nobody has written
        if len(data) - start < _FRAME_HEAD.size:
            break
        size, checksum = _FRAME_HEAD.unpack_from(data, start)
        end = start + _FRAME_HEAD.size + size
        if size > MAX_FRAME_BYTES:
            raise DamagedError(f"{name}: byte {start}: a frame of {size} bytes")
        if end > len(data):
            if _has_frame_after(data, start + 1):
                raise DamagedError(f"{name}: byte {start}: a length that runs over what follows")
            break
        payload = data[start + _FRAME_HEAD.size : end]
        if xxhash.xxh3_64_intdigest(payload) != checksum:
            raise DamagedError(f"{name}: byte {start}: wrong checksum")
        payloads.append(payload)
        start = end
    return payloads, start


def _has_frame_after(data: bytes, first: int) -> bool:
    """Whether a whole frame begins at this byte or behind: then what is before it was synced."""
    for start in range(first, len(data) - _FRAME_HEAD.size):
        size, checksum = _FRAME_HEAD.unpack_from(data, start)
        payload_start = start + _FRAME_HEAD.size
        end = payload_start + size
        if size == 0 or end > len(data):
            continue
        if xxhash.xxh3_64_intdigest(data[payload_start:end]) == checksum:
            return True
    return False


@dataclass(slots=True)
class LogImage:
    """The state that the records of a log file give together."""

    cluster: str = ""
    term: int = 0
    voted_for: Member | None = None
    entries: list[Entry] = field(default_factory=list)
    snapshot_index: int = 0

    def apply(self, record: Record) -> None:
        """Add a record: its truncation, its entries, then its snapshot."""
        self.cluster = record.cluster
        self.term = record.term
        self.voted_for = record.voted_for
        if record.truncate_from:
            self.entries = [entry for entry in self.entries if entry.index < record.truncate_from]
        self.entries += record.entries
        if record.snapshot_index:
            self.snapshot_index = record.snapshot_index
            self.entries = [entry for entry in self.entries if entry.index > record.snapshot_index]

    def to_record(self) -> Record:
        """One record that gives the same state."""
        return Record(
            version=RECORD_VERSION,
            cluster=self.cluster,
            term=self.term,
            voted_for=self.voted_for,
            entries=tuple(self.entries),
            snapshot_index=self.snapshot_index,
        )

    def has_gap(self) -> bool:
        """Whether an entry between the snapshot and the last entry is missing."""
        first = self.snapshot_index + 1
        return [entry.index for entry in self.entries] != list(range(first, first + len(self.entries)))
