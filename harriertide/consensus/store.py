"""Durable storage of a Raft member: the identity of its disk, a write-ahead log and snapshots.

    identity        the disk's ID, generated on first use
    log-N           the log records; N increases each time the file is rewritten
    snapshot-I      the snapshot at log index I
    lock            locked while a process uses the folder

A record is synced before the member acknowledges it. A torn write at the end of the log was therefore never
acknowledged and is truncated. Any other frame with a wrong checksum means that the disk is damaged: the
folder is renamed and kept, and the broker joins as a new member that the others bring up to date. After a
failed sync the process writes nothing more, because the kernel may have discarded the unsynced pages: fsync
reports a failure only once, and later calls may succeed.
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
    encode_frame,
    encode_record,
    encode_snapshot,
    make_record,
    split_frames,
)
from harriertide.consensus.messages import Snapshot
from harriertide.decide.settings import SettingsError

# A larger log file is rewritten after a snapshot, which bounds disk usage and the time to read it at start.
LOG_REWRITE_BYTES = 8 * 1024 * 1024
IDENTITY_BYTES = 6  # random, so that two disks of one broker never get the same ID


class StoreError(SettingsError):
    """The storage folder cannot be used.

    Its path or permissions are wrong, another process uses it, or its files are from an incompatible release.
    The message names the cause in one line. Remove the cause and restart the broker.
    """


class StoreFailedError(StoreError):
    """A write or a sync has failed; this process refuses every later write."""


def sync_data(descriptor: int) -> None:
    """Flush the data of a file to the disk."""
    os.fdatasync(descriptor)


class Store:
    """The storage folder of a member, used by one process at a time.

    :ivar disk: ID of the disk
    :ivar restored: the state that was read when the folder was opened
    :ivar path: path of the current log file
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
        """Restore the state from the folder, or generate an identity in an empty folder.

        :param sync: syncs a file descriptor; tests replace it
        :raises DamagedError: acknowledged data is unreadable
        :raises StoreError: the folder cannot be used
        """
        try:
            folder.mkdir(parents=True, exist_ok=True)
            lock_descriptor = _lock(folder)
        except OSError as error:
            raise StoreError(f"{folder}: {error.strerror}") from None
        try:
            disk = _read_identity(folder) or _make_identity(folder, sync)
            path = _current_log(folder)
            image = _read_log(path)
            snapshot = _read_snapshot(folder, image.snapshot_index)
            if image.has_gap():
                raise DamagedError(f"{path}: log entries are missing")
            log_descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        except BaseException as error:
            # the caller may rename a damaged folder and open a new one in its place
            os.close(lock_descriptor)
            if isinstance(error, OSError):
                raise StoreError(f"{folder}: {error.strerror}") from None
            raise
        restored = ev.RestoredState(
            image.cluster, image.term, image.voted_for, snapshot, tuple(image.entries)
        )
        return cls(folder, disk, restored, image, path, log_descriptor, lock_descriptor, sync)

    def write(self, writes: list[ev.Persist]) -> None:
        """Append the writes to the log with one sync. None may be acknowledged before this returns.

        :raises StoreFailedError: this write or an earlier one has failed
        """
        if self._failure:
            raise StoreFailedError(self._failure)
        records = [make_record(write) for write in writes]
        snapshots = [write.snapshot for write in writes if write.snapshot is not None]
        with self._failures_are_final(self.path):
            for snapshot in snapshots:
                self._write_snapshot(snapshot)
            _write_all(self._log_descriptor, b"".join(encode_record(record) for record in records))
            self._sync(self._log_descriptor)
        for record in records:
            self._image.apply(record)
        if snapshots and os.fstat(self._log_descriptor).st_size > LOG_REWRITE_BYTES:
            self._rewrite_log()

    @contextmanager
    def _failures_are_final(self, path: Path) -> Iterator[None]:
        try:
            yield
        except OSError as error:
            self._failure = (
                f"{path}: write failed: {error.strerror}; no further writes until the process restarts"
            )
            raise StoreFailedError(self._failure) from None

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        """Write a snapshot file and delete older files that the log does not refer to.

        The snapshot that the log refers to is kept until the record of the new one is synced: after a crash
        in between, recovery needs it.
        """
        _replace_file(self._folder / f"snapshot-{snapshot.index}", encode_snapshot(snapshot), self._sync)
        for index in _file_numbers(self._folder, "snapshot"):
            if index < snapshot.index and index != self._image.snapshot_index:
                (self._folder / f"snapshot-{index}").unlink()

    def _rewrite_log(self) -> None:
        """Write the live records to a new log file, sync it, then delete the old file."""
        path = self._folder / f"log-{_log_number(self.path) + 1}"
        with self._failures_are_final(path):
            _replace_file(path, encode_record(self._image.to_record()), self._sync)
            os.close(self._log_descriptor)
            self._log_descriptor = os.open(path, os.O_RDWR | os.O_APPEND)
            self.path.unlink()
        self.path = path

    def close(self) -> None:
        """Close the files and release the lock on the folder."""
        if self._log_descriptor >= 0:
            os.close(self._log_descriptor)
            os.close(self._lock_descriptor)
            self._log_descriptor = -1


def set_aside(folder: Path) -> Path:
    """Rename a damaged folder, so that the broker can start with an empty one as a new member.

    :returns: the new path of the damaged folder
    """
    number = 1
    while (damaged_folder := folder.with_name(f"{folder.name}-damaged-{number}")).exists():
        number += 1
    os.replace(folder, damaged_folder)
    return damaged_folder


# --- files --------------------------------------------------------------------------------------------


def _lock(folder: Path) -> int:
    """Lock the folder until the process ends: two processes must not acknowledge writes on one disk."""
    descriptor = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise StoreError(f"{folder}: another process uses it") from None
    return descriptor


def _file_numbers(folder: Path, kind: str) -> list[int]:
    """Return the numbers of the files named "KIND-NUMBER", in ascending order."""
    suffixes = [path.name.partition("-")[2] for path in folder.glob(f"{kind}-*")]
    return sorted(int(suffix) for suffix in suffixes if suffix.isdigit())


def _read_identity(folder: Path) -> str:
    """Return the ID of the disk, or "" for an empty folder."""
    path = folder / "identity"
    if path.exists():
        payloads, _ = split_frames(path.read_bytes(), str(path))
        if not payloads:
            raise DamagedError(f"{path}: identity file is empty")
        return payloads[0].decode()
    if any(folder.glob("log-*")) or any(folder.glob("snapshot-*")):
        # With a new ID the member could vote a second time in the same term.
        raise DamagedError(f"{path}: identity file is missing, but log or snapshot files exist")
    return ""


def _make_identity(folder: Path, sync: Callable[[int], None]) -> str:
    disk = token_hex(IDENTITY_BYTES)
    _replace_file(folder / "identity", encode_frame(disk.encode()), sync)
    return disk


def _current_log(folder: Path) -> Path:
    """Return the current log file; delete older ones, left by a crash after the sync of a rewrite."""
    numbers = _file_numbers(folder, "log") or [1]
    for old_number in numbers[:-1]:
        (folder / f"log-{old_number}").unlink()
    return folder / f"log-{numbers[-1]}"


def _log_number(path: Path) -> int:
    return int(path.name.partition("-")[2])


def _read_log(path: Path) -> LogImage:
    """Read a log file and truncate a torn write at its end."""
    image = LogImage()
    if not path.exists():
        return image
    data = path.read_bytes()
    payloads, valid_bytes = split_frames(data, str(path))
    for payload in payloads:
        try:
            image.apply(decode_record(payload))
        except UnreadableRecordError as error:
            raise StoreError(f"{path}: {error}") from None
    if valid_bytes < len(data):
        os.truncate(path, valid_bytes)
    return image


def _read_snapshot(folder: Path, index: int) -> Snapshot | None:
    """Read the snapshot that the log refers to; return None for index 0."""
    if not index:
        return None
    path = folder / f"snapshot-{index}"
    if not path.exists():
        raise DamagedError(f"{path}: snapshot file is missing, and the log starts after it")
    payloads, _ = split_frames(path.read_bytes(), str(path))
    if not payloads:
        raise DamagedError(f"{path}: snapshot file is truncated")
    return decode_snapshot(payloads[0])


def _write_all(descriptor: int, data: bytes) -> None:
    while data:
        data = data[os.write(descriptor, data) :]


def _replace_file(path: Path, data: bytes, sync: Callable[[int], None]) -> None:
    """Replace a file atomically: write and sync a temporary file, rename it, then sync the folder."""
    temporary_path = path.with_name(path.name + ".new")
    descriptor = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        _write_all(descriptor, data)
        sync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary_path, path)
    folder_descriptor = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder_descriptor)
    finally:
        os.close(folder_descriptor)
