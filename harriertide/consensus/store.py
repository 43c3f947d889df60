"""A member's disk: its identity, and a log file of frames that are promised only after a sync.

    identity        the disk's name, made on its first use
    log-N           the records; N grows as the file is rewritten
    snapshot-I      a snapshot at index I
    lock            held while a process uses the folder

A frame is synced before anybody hears of it. A torn write at the end of the log was promised to nobody, and
is cut off. Any other frame whose checksum is wrong is damage: the member stops, its folder is kept aside
under another name, and the broker comes back as a new member which the others catch up. A sync that fails is
final for the process: what the system still has in memory may be lost (fsync tells a failure once, and later
calls may say all is well).
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from secrets import token_hex

from harriertide.consensus import events as ev
from harriertide.consensus.disk_format import (
    DamagedError,
    LogImage,
    UnreadableRecordError,
    decode_record,
    decode_snapshot,
    encode_record,
    encode_snapshot,
    frame,
    record_of,
    split_frames,
)
from harriertide.consensus.messages import Snapshot
from harriertide.decide.settings import SettingsError

# A log file of this size is rewritten after a snapshot: bounds the disk and what a start has to read.
REWRITE_BYTES = 8 * 1024 * 1024
IDENTITY_BYTES = 6  # of randomness: two disks of one name never have the same


class StoreError(SettingsError):
    """The disk can't be used: the folder, its rights, another process, or another release's files.

    The text says what failed, in one line. Remove the cause and start again.
    """


class StoreFailedError(StoreError):
    """A write or a sync has failed. Final: this process writes nothing any more."""


def sync_data(descriptor: int) -> None:
    """Make a file's data durable."""
    os.fdatasync(descriptor)


class Store:
    """One folder, used by one process at a time.

    :ivar disk: the disk's name
    :ivar restored: what was there when it was opened
    :ivar path: of the log file
    """

    def __init__(
        self,
        folder: Path,
        disk: str,
        restored: ev.RestoredState,
        image: LogImage,
        path: Path,
        log_descriptor: int,
        lock_descriptor: int,
        sync: Callable[[int], None],
    ) -> None:
        self.disk = disk
        self.restored = restored
        self.path = path
        self._folder = folder
        self._image = image
        self._log_descriptor = log_descriptor
        self._lock_descriptor = lock_descriptor
        self._sync = sync
        self._failure = ""

    @classmethod
    def open(cls, folder: Path, sync: Callable[[int], None] = sync_data) -> Store:
        """Read what is there, or make an identity on an empty folder.

        :param sync: in place of the system's, for tests
        :raises DamagedError: what was promised can't be read any more
        :raises StoreError: the folder can't be used
        """
        try:
            folder.mkdir(parents=True, exist_ok=True)
            lock_descriptor = _lock(folder)
        except OSError as error:
            raise StoreError(f"{folder}: {error.strerror}") from None
        try:
            disk = _read_identity(folder) or _make_identity(folder, sync)
            path = _latest_log(folder)
            image = _read_log(path)
            snapshot = _read_snapshot(folder, image.snapshot_index)
            if image.has_gap():
                raise DamagedError(f"{path}: entries are missing")
            log_descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        except BaseException as error:
            os.close(lock_descriptor)  # a damaged folder is set aside, and its place used again
            if isinstance(error, OSError):
                raise StoreError(f"{folder}: {error.strerror}") from None
            raise
        restored = ev.RestoredState(
            image.cluster, image.term, image.voted_for, snapshot, tuple(image.entries)
        )
        return cls(folder, disk, restored, image, path, log_descriptor, lock_descriptor, sync)

    def write(self, writes: list[ev.Persist]) -> None:
        """Make these durable with one sync. Nobody may hear of them before this returns.

        :raises StoreFailedError: now and each time from then on
        """
        if self._failure:
            raise StoreFailedError(self._failure)
        records = [record_of(write) for write in writes]
        snapshots = [write.snapshot for write in writes if write.snapshot is not None]
        with self._failures_are_final(self.path):
            for snapshot in snapshots:
                self._write_snapshot(snapshot)
            _write_all(self._log_descriptor, b"".join(encode_record(record) for record in records))
            self._sync(self._log_descriptor)
        for record in records:
            self._image.apply(record)
        if snapshots and os.fstat(self._log_descriptor).st_size > REWRITE_BYTES:
            self._rewrite()

    @contextmanager
    def _failures_are_final(self, path: Path) -> Iterator[None]:
        try:
            yield
        except OSError as error:
            self._failure = f"{path}: write failed: {error.strerror}; final until the process starts again"
            raise StoreFailedError(self._failure) from None

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        """Write a snapshot's file, and remove those that no record names any more.

        The one that the log names stays until the record of the new one is synced: a crash in between finds
        the log as it was, and needs it.
        """
        _replace_file(self._folder / f"snapshot-{snapshot.index}", encode_snapshot(snapshot), self._sync)
        for index in _numbers(self._folder, "snapshot"):
            if index < snapshot.index and index != self._image.snapshot_index:
                (self._folder / f"snapshot-{index}").unlink()

    def _rewrite(self) -> None:
        """Write the log without what is void, beside the old file, which goes once the new one is synced."""
        path = self._folder / f"log-{_log_number(self.path) + 1}"
        with self._failures_are_final(path):
            _replace_file(path, encode_record(self._image.to_record()), self._sync)
            os.close(self._log_descriptor)
            self._log_descriptor = os.open(path, os.O_RDWR | os.O_APPEND)
            self.path.unlink()
        self.path = path

    def close(self) -> None:
        """Close the files, and let another process use the folder."""
        if self._log_descriptor >= 0:
            os.close(self._log_descriptor)
            os.close(self._lock_descriptor)
            self._log_descriptor = -1


def set_aside(folder: Path) -> Path:
    """Keep a damaged folder under another name; the broker begins on an empty one, as a new member.

    :returns: that other name
    """
    number = 1
    while (aside := folder.with_name(f"{folder.name}-damaged-{number}")).exists():
        number += 1
    os.replace(folder, aside)
    return aside


# --- the files ----------------------------------------------------------------------------------------


def _lock(folder: Path) -> int:
    """Lock the folder for as long as the process lives: guards against a second one that promises on it."""
    descriptor = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise StoreError(f"{folder}: another process uses it") from None
    return descriptor


def _numbers(folder: Path, kind: str) -> list[int]:
    """The numbers in names of files "KIND-NUMBER", in ascending order."""
    suffixes = [path.name.partition("-")[2] for path in folder.glob(f"{kind}-*")]
    return sorted(int(suffix) for suffix in suffixes if suffix.isdigit())


def _read_identity(folder: Path) -> str:
    """The disk's name; "" on an empty folder."""
    path = folder / "identity"
    if path.exists():
        payloads, _ = split_frames(path.read_bytes(), str(path))
        if not payloads:
            raise DamagedError(f"{path}: empty")
        return payloads[0].decode()
    if any(folder.glob("log-*")) or any(folder.glob("snapshot-*")):
        # Guards against a disk that votes a second time under a new name of its own.
        raise DamagedError(f"{path}: missing beside a log")
    return ""


def _make_identity(folder: Path, sync: Callable[[int], None]) -> str:
    disk = token_hex(IDENTITY_BYTES)
    _replace_file(folder / "identity", frame(disk.encode()), sync)
    return disk


def _latest_log(folder: Path) -> Path:
    """The log file in use; older ones are removed, which a rewrite left that ended just behind its sync."""
    numbers = _numbers(folder, "log") or [1]
    for old in numbers[:-1]:
        (folder / f"log-{old}").unlink()
    return folder / f"log-{numbers[-1]}"


def _log_number(path: Path) -> int:
    return int(path.name.partition("-")[2])


def _read_log(path: Path) -> LogImage:
    """Read a log file, and cut a torn write off."""
    image = LogImage()
    if not path.exists():
        return image
    data = path.read_bytes()
    payloads, whole_bytes = split_frames(data, str(path))
    for payload in payloads:
        try:
            image.apply(decode_record(payload))
        except UnreadableRecordError as error:
            raise StoreError(f"{path}: {error}") from None
    if whole_bytes < len(data):
        os.truncate(path, whole_bytes)
    return image


def _read_snapshot(folder: Path, index: int) -> Snapshot | None:
    """The snapshot that the log names, None for index 0."""
    if not index:
        return None
    path = folder / f"snapshot-{index}"
    if not path.exists():
        raise DamagedError(f"{path}: missing, and the log begins behind it")
    payloads, _ = split_frames(path.read_bytes(), str(path))
    if not payloads:
        raise DamagedError(f"{path}: cut short")
    return decode_snapshot(payloads[0])


def _write_all(descriptor: int, data: bytes) -> None:
    while data:
        data = data[os.write(descriptor, data) :]


def _replace_file(path: Path, data: bytes, sync: Callable[[int], None]) -> None:
    """Write a whole file or none: under another name, synced, renamed, and the folder's entry synced."""
    draft = path.with_name(path.name + ".new")
    descriptor = os.open(draft, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        _write_all(descriptor, data)
        sync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(draft, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
