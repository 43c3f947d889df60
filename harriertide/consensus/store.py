"""A member's disk: its identity, and a log file of frames that are promised only after a sync.

    identity        the disk's name, made on its first use
    log-N           frames: length and xxh3 of the payload, then a record; N grows as it is rewritten
    snapshot-I      a snapshot at index I, with its own checksum

A frame is synced before anybody hears of it. A last frame that is short, or nothing but zeros, is a write
that a crash tore: nobody was promised it, and it is cut off. Any other frame whose checksum is wrong is
damage: the member stops, its folder is kept aside under another name, and the broker comes back as a new
member which the others catch up. A sync that fails is final for the process: what the system still has in
memory may be lost (fsync tells a failure once, and later calls may say all is well).
"""

from __future__ import annotations

import fcntl
import os
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from secrets import token_hex

import msgspec
import xxhash
from msgspec import Struct

from harriertide.consensus import events as ev
from harriertide.consensus.messages import VERSION, Entry, Member, Snapshot
from harriertide.decide.settings import SettingsError

_HEAD = struct.Struct("<IQ")
MOST_BYTES = 64 * 1024 * 1024  # of one frame
REWRITE_BYTES = 8 * 1024 * 1024  # of a log file, after a snapshot


class DamagedError(Exception):
    """What was promised can't be read any more: where and how, in one plain line."""


class StoreError(SettingsError):
    """The disk can't be used: why, in one plain line."""


class Record(Struct, frozen=True, array_like=True):
    """One write: the hard state, and what changes in the log."""

    version: int
    cluster: str
    term: int
    vote: Member | None
    cut: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: int = 0  # the index of one in a file of its own


_records = msgspec.msgpack.Decoder(Record)
_snapshots = msgspec.msgpack.Decoder(Snapshot)


def frame(payload: bytes) -> bytes:
    """With its length and checksum."""
    return _HEAD.pack(len(payload), xxhash.xxh3_64_intdigest(payload)) + payload


def frames(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Payloads, and how many bytes of them are whole; DamagedError for what no torn write explains."""
    found: list[bytes] = []
    at = 0
    while at < len(data):
        if not any(data[at:]):
            break  # room that was made and never written
        if len(data) - at < _HEAD.size:
            break
        size, check = _HEAD.unpack_from(data, at)
        end = at + _HEAD.size + size
        if size > MOST_BYTES:
            raise DamagedError(f"{name}: byte {at}: a frame of {size} bytes")
        if end > len(data):
            if _follows(data, at + 1):
                raise DamagedError(f"{name}: byte {at}: a length that runs over what follows")
            break
        payload = data[at + _HEAD.size : end]
        if xxhash.xxh3_64_intdigest(payload) != check:
            raise DamagedError(f"{name}: byte {at}: wrong checksum")
        found.append(payload)
        at = end
    return found, at


def _follows(data: bytes, start: int) -> bool:
    """Whether a whole frame stands anywhere behind a place: then what is before it was promised."""
    for at in range(start, len(data) - _HEAD.size):
        size, check = _HEAD.unpack_from(data, at)
        end = at + _HEAD.size + size
        if size > 0 and end <= len(data) and xxhash.xxh3_64_intdigest(data[at + _HEAD.size : end]) == check:
            return True
    return False


def _sync(descriptor: int) -> None:
    os.fdatasync(descriptor)


@dataclass
class Store:
    """One folder, used by one process at a time. sync: in place of the system's, for tests."""

    folder: Path
    disk: str
    restored: ev.RestoredState
    path: Path
    number: int
    sync: Callable[[int], None] = _sync
    failed: str = ""
    size: int = 0
    _file: int = -1
    _guard: int = -1
    _live: list[Entry] = field(default_factory=list)
    _hard: tuple[str, int, Member | None] = ("", 0, None)
    _snapshot: Snapshot | None = None

    @classmethod
    def open(cls, folder: Path, sync: Callable[[int], None] = _sync) -> Store:
        """Read what is there, or make an identity on an empty folder.

        DamagedError, StoreError with one plain line.
        """
        try:
            folder.mkdir(parents=True, exist_ok=True)
            lock = _lock(folder)
        except OSError as fault:
            raise StoreError(f"{folder}: {fault.strerror}") from None
        try:
            disk = _identity(folder, sync)
            found, live, hard, path, number = _read(folder)
            descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        except BaseException as fault:
            os.close(lock)  # a damaged folder is set aside, and its place used again
            if isinstance(fault, OSError):
                raise StoreError(f"{folder}: {fault.strerror}") from None
            raise
        made = cls(
            folder, disk, found, path, number, sync, _file=descriptor, _live=live, _hard=hard, _guard=lock
        )
        made._snapshot, made.size = found.snapshot, path.stat().st_size
        return made

    def write(self, works: list[ev.Persist]) -> None:
        """All of these with one sync: nobody may hear of them before this returns. StoreError is final."""
        if self.failed:
            raise StoreError(self.failed)
        try:
            data = b""
            for work in works:
                if work.snapshot is not None:
                    self._put_snapshot(work.snapshot)
                data += frame(_encode(work))
            while data:
                data = data[os.write(self._file, data) :]
            self.sync(self._file)
        except OSError as fault:
            self.failed = f"{self.path}: {fault.strerror}"
            raise StoreError(self.failed) from None
        for work in works:
            self._follow(work)
        self.size = os.fstat(self._file).st_size
        if self.size > REWRITE_BYTES and any(work.snapshot is not None for work in works):
            self._rewrite()

    def _follow(self, work: ev.Persist) -> None:
        self._hard = (work.cluster, work.term, work.voted_for)
        if work.truncate_from:
            self._live = [entry for entry in self._live if entry.index < work.truncate_from]
        self._live += work.entries
        if work.snapshot is not None:
            self._snapshot = work.snapshot
            self._live = [entry for entry in self._live if entry.index > work.snapshot.index]

    def _put_snapshot(self, snapshot: Snapshot) -> None:
        path = self.folder / f"snapshot-{snapshot.index}"
        _put(path, frame(msgspec.msgpack.encode(snapshot)), self.sync)
        for old in self.folder.glob("snapshot-*"):
            if old.name.partition("-")[2].isdigit() and int(old.name.partition("-")[2]) < snapshot.index:
                if self._snapshot is not None and old.name == f"snapshot-{self._snapshot.index}":
                    continue  # the log names it until the next record is synced
                old.unlink()

    def _rewrite(self) -> None:
        """The log without what is void: beside the old one, which is taken away when the new one is
        synced."""
        self.number += 1
        cluster, term, vote = self._hard
        index = self._snapshot.index if self._snapshot else 0
        record = Record(VERSION, cluster, term, vote, 0, tuple(self._live), index)
        path = self.folder / f"log-{self.number}"
        try:
            _put(path, frame(msgspec.msgpack.encode(record)), self.sync)
            os.close(self._file)
            self._file = os.open(path, os.O_RDWR | os.O_APPEND)
            self.path.unlink()
        except OSError as fault:
            self.failed = f"{path}: {fault.strerror}"
            raise StoreError(self.failed) from None
        self.path, self.size = path, path.stat().st_size

    def close(self) -> None:
        """Let go of the file."""
        if self._file >= 0:
            os.close(self._file)
            os.close(self._guard)
            self._file = -1


def _encode(work: ev.Persist) -> bytes:
    index = work.snapshot.index if work.snapshot else 0
    record = Record(VERSION, work.cluster, work.term, work.voted_for, work.truncate_from, work.entries, index)
    return msgspec.msgpack.encode(record)


def _put(path: Path, data: bytes, sync: Callable[[int], None]) -> None:
    """A whole file or none, and the folder's word of it."""
    draft = path.with_name(path.name + ".new")
    descriptor = os.open(draft, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        while data:
            data = data[os.write(descriptor, data) :]
        sync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(draft, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def _lock(folder: Path) -> int:
    """Held as long as the process lives: guards against a second one that promises on the same disk."""
    descriptor = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise StoreError(f"{folder}: another process uses it") from None
    return descriptor


def _identity(folder: Path, sync: Callable[[int], None]) -> str:
    path = folder / "identity"
    if path.exists():
        payloads, _ = frames(path.read_bytes(), str(path))
        if not payloads:
            raise DamagedError(f"{path}: empty")
        return payloads[0].decode()
    if any(folder.glob("log-*")) or any(folder.glob("snapshot-*")):
        raise DamagedError(f"{path}: missing beside a log")
    disk = token_hex(6)
    _put(path, frame(disk.encode()), sync)
    return disk


def _read(folder: Path) -> tuple[ev.RestoredState, list[Entry], tuple[str, int, Member | None], Path, int]:
    numbers = sorted(int(p.name[4:]) for p in folder.glob("log-*") if p.name[4:].isdigit())
    number = numbers[-1] if numbers else 1
    for old in numbers[:-1]:  # a rewrite was ended between its sync and this
        (folder / f"log-{old}").unlink()
    path = folder / f"log-{number}"
    cluster, term, vote, index = "", 0, None, 0
    live: list[Entry] = []
    if path.exists():
        data = path.read_bytes()
        payloads, whole = frames(data, str(path))
        for payload in payloads:
            try:
                record = _records.decode(payload)
            except msgspec.MsgspecError as fault:
                raise StoreError(f"{path}: a record that this version can't read: {fault}") from None
            if record.version > VERSION:
                raise StoreError(
                    f"{path}: written by a newer version ({record.version}, this one reads {VERSION})"
                )
            cluster, term, vote = record.cluster, record.term, record.vote
            live = [entry for entry in live if not record.cut or entry.index < record.cut]
            live += record.entries
            if record.snapshot:
                index = record.snapshot
                live = [entry for entry in live if entry.index > index]
        if whole < len(data):
            os.truncate(path, whole)  # a torn write, promised to nobody
    snapshot = None
    if index:
        at = folder / f"snapshot-{index}"
        if not at.exists():
            raise DamagedError(f"{at}: missing, and the log begins behind it")
        payloads, _ = frames(at.read_bytes(), str(at))
        if not payloads:
            raise DamagedError(f"{at}: cut short")
        snapshot = _snapshots.decode(payloads[0])
    base = snapshot.index if snapshot else 0
    if [entry.index for entry in live] != list(range(base + 1, base + 1 + len(live))):
        raise DamagedError(f"{path}: entries are missing")
    hard = (cluster, term, vote)
    return ev.RestoredState(cluster, term, vote, snapshot, tuple(live)), live, hard, path, number


def set_aside(folder: Path) -> Path:
    """Keep a damaged folder under another name; the broker begins on an empty one, as a new member."""
    place = 1
    while (aside := folder.with_name(f"{folder.name}-damaged-{place}")).exists():
        place += 1
    os.replace(folder, aside)
    return aside
