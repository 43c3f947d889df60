"""On-disk format of a Raft member: checksummed frames, log records, and the state restored from them.

A frame is the length and the xxh3 checksum of a payload, followed by the payload. A log file is a sequence of
frames with one record each. The identity file and each snapshot file hold one frame.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

import msgspec
import xxhash
from msgspec import Struct

from harriertide.consensus import events as ev
from harriertide.consensus.messages import RECORD_VERSION, Entry, Member, Snapshot

_FRAME_HEADER = struct.Struct("<IQ")
# Far above the size of any batch or snapshot: a larger length field is corrupt.
MAX_FRAME_BYTES = 64 * 1024 * 1024


class DamagedError(Exception):
    """Acknowledged data is unreadable. The message says where and why in one line.

    The folder cannot be used any more: it is renamed, and the broker joins as a new member.
    """


class UnreadableRecordError(Exception):
    """A record has a valid checksum but was written by an incompatible release."""


class Record(Struct, frozen=True, array_like=True):
    """One write: the persistent Raft state and the changes to the log.

    :param truncate_from: index of the first entry that is removed from the log; 0 for none
    :param snapshot_index: index of a snapshot file that replaces the log up to this index; 0 for none
    """

    version: int
    cluster: str
    term: int
    voted_for: Member | None
    truncate_from: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot_index: int = 0


_encode = msgspec.msgpack.Encoder().encode
_record_decoder = msgspec.msgpack.Decoder(Record)
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


def make_record(write: ev.Persist) -> Record:
    """Build the record of a write."""
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
    """Encode a record as a frame."""
    return encode_frame(_encode(record))


def decode_record(payload: bytes) -> Record:
    """Decode the payload of a record frame.

    :raises UnreadableRecordError: the record was written by a newer release
    """
    try:
        record = _record_decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise UnreadableRecordError(f"this version cannot decode a log record: {error}") from None
    if record.version > RECORD_VERSION:
        raise UnreadableRecordError(
            f"record was written by a newer version ({record.version}; "
            f"this release reads up to {RECORD_VERSION})"
        )
    return record


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot as a frame."""
    return encode_frame(_encode(snapshot))


def decode_snapshot(payload: bytes) -> Snapshot:
    """Decode the payload of a snapshot frame."""
    return _snapshot_decoder.decode(payload)


def encode_frame(payload: bytes) -> bytes:
    """Prefix a payload with its length and checksum."""
    return _FRAME_HEADER.pack(len(payload), xxhash.xxh3_64_intdigest(payload)) + payload


def split_frames(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Split the content of a file into payloads.

    An incomplete last frame, or a tail of zeros, is a torn write: it was never synced, hence never
    acknowledged. Any other invalid frame may have held acknowledged data, so the file is damaged.

    :param name: name of the file, for error messages
    :returns: the payloads, and the size in bytes of the valid frames
    :raises DamagedError: the file has an error that a torn write does not explain
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        if not any(data[offset:]):
            break  # allocated by the file system but never written
        if len(data) - offset < _FRAME_HEADER.size:
            break
        size, checksum = _FRAME_HEADER.unpack_from(data, offset)
        end = offset + _FRAME_HEADER.size + size
        if size > MAX_FRAME_BYTES:
            raise DamagedError(f"{name}: byte {offset}: frame length of {size} bytes exceeds the limit")
        if end > len(data):
            if _has_frame_after(data, offset + 1):
                raise DamagedError(
                    f"{name}: byte {offset}: frame length exceeds the file, but a valid frame follows"
                )
            break
        payload = data[offset + _FRAME_HEADER.size : end]
        if xxhash.xxh3_64_intdigest(payload) != checksum:
            raise DamagedError(f"{name}: byte {offset}: frame checksum does not match")
        payloads.append(payload)
        offset = end
    return payloads, offset


def _has_frame_after(data: bytes, first_offset: int) -> bool:
    """Whether a valid frame starts at this offset or later, so that the data before it was synced."""
    for offset in range(first_offset, len(data) - _FRAME_HEADER.size):
        size, checksum = _FRAME_HEADER.unpack_from(data, offset)
        payload_start = offset + _FRAME_HEADER.size
        end = payload_start + size
        if size == 0 or end > len(data):
            continue
        if xxhash.xxh3_64_intdigest(data[payload_start:end]) == checksum:
            return True
    return False


@dataclass(slots=True)
class LogImage:
    """The state that results from applying the records of a log file in order."""

    cluster: str = ""
    term: int = 0
    voted_for: Member | None = None
    entries: list[Entry] = field(default_factory=list)
    snapshot_index: int = 0

    def apply(self, record: Record) -> None:
        """Apply a record: first its truncation, then its entries, then its snapshot."""
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
        """Build a single record that produces the same state."""
        return Record(
            version=RECORD_VERSION,
            cluster=self.cluster,
            term=self.term,
            voted_for=self.voted_for,
            entries=tuple(self.entries),
            snapshot_index=self.snapshot_index,
        )

    def has_gap(self) -> bool:
        """Whether the entries are not contiguous from the snapshot to the last entry."""
        first_index = self.snapshot_index + 1
        return [entry.index for entry in self.entries] != list(
            range(first_index, first_index + len(self.entries))
        )
