"""Storage of a Raft member: torn writes are truncated, and acknowledged data is never lost silently."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Any

import pytest
import xxhash

from harriertide.consensus import disk_format
from harriertide.consensus import events as ev
from harriertide.consensus import store as stores
from harriertide.consensus.disk_format import DamagedError
from harriertide.consensus.messages import Entry, Member, Membership, Snapshot
from harriertide.consensus.store import Store, StoreError, StoreFailedError, set_aside

ME = Member("a", "a1")


def entries(first: int, last: int, term: int = 1, size: int = 10) -> tuple[Entry, ...]:
    return tuple(Entry(i, term, "command", b"x" * size, "c", i) for i in range(first, last + 1))


def write_and_close(folder: Path, *writes: ev.Persist) -> Path:
    store = Store.open(folder)
    for write in writes:
        store.write([write])
    store.close()
    return store.path


def reopen(folder: Path) -> ev.RestoredState:
    """Open the folder again and return the restored state."""
    store = Store.open(folder)
    store.close()
    return store.restored


def snapshot(index: int, data: bytes = b"state") -> Snapshot:
    return Snapshot(index, 1, Membership((ME,)), data, xxhash.xxh3_64_intdigest(data))


def test_reopening_a_folder_restores_its_state_and_identity(tmp_path: Path) -> None:
    store = Store.open(tmp_path / "d")
    assert store.restored == ev.RestoredState()
    writes = [ev.Persist(1, "c", 2, ME, 0, entries(1, 5)), ev.Persist(2, "c", 3, None, 4, entries(4, 6, 3))]
    store.write(writes)
    store.close()
    again = Store.open(tmp_path / "d")
    assert again.disk == store.disk and len(again.disk) == 12
    assert again.restored == ev.RestoredState("c", 3, None, None, entries(1, 3) + entries(4, 6, 3))
    again.write([ev.Persist(3, "c", 3, ME, 0, (), snapshot(5))])
    again.close()
    last = reopen(tmp_path / "d")
    assert last.snapshot == snapshot(5) and last.entries == entries(6, 6, 3) and last.voted_for == ME
    assert Store.open(tmp_path / "other").disk != store.disk


def test_only_a_torn_write_at_the_end_of_the_log_is_truncated(tmp_path: Path) -> None:
    """A power loss tears a write at any byte. The write was never acknowledged, so it is truncated; all
    earlier records are kept.
    """
    path = write_and_close(tmp_path / "d", ev.Persist(1, "c", 1, None, 0, entries(1, 2)))
    valid_bytes = path.stat().st_size
    write_and_close(tmp_path / "d", ev.Persist(2, "c", 1, None, 0, entries(3, 3)))
    data = path.read_bytes()
    for length in range(valid_bytes, len(data)):
        path.write_bytes(data[:length])
        found = reopen(tmp_path / "d")
        assert [e.index for e in found.entries] == [1, 2]
        assert path.stat().st_size == valid_bytes
    path.write_bytes(data + b"\x00" * 300)  # allocated by the file system but never written
    assert len(reopen(tmp_path / "d").entries) == 3


def test_a_flipped_bit_in_acknowledged_data_is_reported_as_damage(tmp_path: Path) -> None:
    """The disk flips a bit. A member that continued would have lost acknowledged data, so opening the folder
    fails and the message names the file.
    """
    writes = [ev.Persist(i, "c", 1, None, 0, entries(i, i)) for i in range(1, 6)]
    path = write_and_close(tmp_path / "d", *writes)
    data = path.read_bytes()
    for offset in range(len(data)):
        path.write_bytes(data[:offset] + bytes([data[offset] ^ 0x10]) + data[offset + 1 :])
        try:
            found = reopen(tmp_path / "d")
        except DamagedError as fault:
            assert str(path) in str(fault) and "\n" not in str(fault)
        else:
            # only a corrupt length in the last frame looks like a torn write; all other records must be there
            assert [e.index for e in found.entries] == [1, 2, 3, 4]
            assert offset >= len(data) - len(data) // 5
        path.write_bytes(data)


def test_a_damaged_or_missing_snapshot_is_reported_as_damage(tmp_path: Path) -> None:
    """The log starts after a snapshot that is unreadable, so the state up to there is lost."""
    writes = [ev.Persist(1, "c", 1, None, 0, entries(1, 9)), ev.Persist(2, "c", 1, None, 0, (), snapshot(7))]
    write_and_close(tmp_path / "d", *writes)
    snapshot_path = tmp_path / "d" / "snapshot-7"
    valid_data = snapshot_path.read_bytes()
    snapshot_path.write_bytes(valid_data[:20] + bytes([valid_data[20] ^ 1]) + valid_data[21:])
    with pytest.raises(DamagedError, match="snapshot-7"):
        Store.open(tmp_path / "d")
    snapshot_path.unlink()
    with pytest.raises(DamagedError, match="missing"):
        Store.open(tmp_path / "d")


def test_a_missing_identity_beside_a_log_is_reported_as_damage(tmp_path: Path) -> None:
    """The identity file is lost. With a new ID and the old log the member could vote twice in one term, so
    the folder has to be set aside.
    """
    write_and_close(tmp_path / "d", ev.Persist(1, "c", 1, ME))
    (tmp_path / "d" / "identity").unlink()
    with pytest.raises(DamagedError, match="identity"):
        Store.open(tmp_path / "d")
    aside = set_aside(tmp_path / "d")
    assert reopen(tmp_path / "d") == ev.RestoredState() and (aside / "log-1").exists()


@pytest.mark.parametrize("number", [errno.EIO, errno.ENOSPC])
def test_no_write_succeeds_after_a_failed_sync(tmp_path: Path, number: int) -> None:
    """A sync fails and the next one would succeed. The kernel may have discarded the unsynced data, so every
    later write is refused.
    """
    sync_fails = [False]

    def sync(descriptor: int) -> None:
        if sync_fails[0]:
            raise OSError(number, os.strerror(number))
        os.fdatasync(descriptor)

    store = Store.open(tmp_path / "d", sync)
    store.write([ev.Persist(1, "c", 1, None, 0, entries(1, 1))])
    sync_fails[0] = True
    with pytest.raises(StoreFailedError):
        store.write([ev.Persist(2, "c", 1, None, 0, entries(2, 2))])
    sync_fails[0] = False
    with pytest.raises(StoreFailedError, match=os.strerror(number)):
        store.write([ev.Persist(3, "c", 1, None, 0, entries(3, 3))])


def test_a_folder_cannot_be_opened_by_two_processes(tmp_path: Path) -> None:
    """An old process still runs when a new one starts. Two processes that acknowledge writes on one disk
    would lose each other's data.
    """
    store = Store.open(tmp_path / "d")
    with pytest.raises(StoreError, match="another process uses it"):
        Store.open(tmp_path / "d")
    store.close()
    Store.open(tmp_path / "d").close()


def test_pending_writes_share_one_sync(tmp_path: Path) -> None:
    """Under load many writes wait for the disk; one sync makes all of them durable."""
    syncs: list[int] = []
    store = Store.open(tmp_path / "d", syncs.append)
    syncs.clear()
    store.write([ev.Persist(i, "c", 1, None, 0, entries(i, i)) for i in range(1, 65)])
    store.close()
    assert len(syncs) == 1 and len(reopen(tmp_path / "d").entries) == 64


def test_the_log_is_rewritten_once_a_snapshot_covers_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without a rewrite after a snapshot the log would grow without bound. Old files are deleted."""
    monkeypatch.setattr(stores, "LOG_REWRITE_BYTES", 4_000)
    store = Store.open(tmp_path / "d")
    number = 0
    for first in range(1, 200, 10):
        number += 2
        store.write([ev.Persist(number, "c", 1, ME, 0, entries(first, first + 9, size=50))])
        store.write([ev.Persist(number + 1, "c", 1, ME, 0, (), snapshot(first + 5))])
    store.close()
    names = sorted(path.name for path in (tmp_path / "d").iterdir())
    assert len([n for n in names if n.startswith("log-")]) == 1 and "log-1" not in names
    assert len([n for n in names if n.startswith("snapshot-")]) <= 2
    found = reopen(tmp_path / "d")
    assert found.snapshot is not None and found.snapshot.index == 196 and found.voted_for == ME
    assert [e.index for e in found.entries] == [197, 198, 199, 200]


def test_a_record_of_a_newer_version_is_refused(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """An older release is started on the disk of a newer one and refuses to read its records."""
    monkeypatch.setattr(disk_format, "RECORD_VERSION", 2)
    write_and_close(tmp_path / "d", ev.Persist(1, "c", 1, ME))
    monkeypatch.setattr(disk_format, "RECORD_VERSION", 1)
    with pytest.raises(StoreError, match="newer version"):
        Store.open(tmp_path / "d")


def test_a_kill_at_any_step_loses_no_acknowledged_write(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process is killed once at each system call that changes the disk. Every write that was acknowledged
    by then is there after the restart.
    """
    calls: dict[str, Any] = {name: getattr(os, name) for name in ("write", "replace", "fsync")}
    monkeypatch.setattr(stores, "LOG_REWRITE_BYTES", 200)

    class KilledError(BaseException):
        pass

    def run_until_killed(folder: Path, max_calls: int) -> tuple[int, int]:
        """Return the number of system calls made and the last acknowledged index."""
        call_count = [0]

        def count_calls(name: str) -> Any:
            def call(*args: Any) -> Any:
                if call_count[0] >= max_calls:
                    raise KilledError
                call_count[0] += 1
                return calls[name](*args)

            return call

        for name in calls:
            monkeypatch.setattr(os, name, count_calls(name))
        acknowledged_index = 0
        opened: list[Store] = []
        try:
            store = Store.open(folder, lambda descriptor: None)
            opened.append(store)
            for index in range(1, 13):
                store.write([ev.Persist(2 * index, "c", 1, ME, 0, entries(index, index, size=30))])
                acknowledged_index = index
                if index % 4 == 0:
                    store.write([ev.Persist(2 * index + 1, "c", 1, ME, 0, (), snapshot(index - 1))])
        except KilledError:
            pass
        finally:
            for name, call in calls.items():
                monkeypatch.setattr(os, name, call)
            for store in opened:
                store.close()  # a process exit closes the descriptors too
        return call_count[0], acknowledged_index

    total_calls, _ = run_until_killed(tmp_path / "whole", 10_000)
    assert total_calls > 30
    for max_calls in range(total_calls):
        folder = tmp_path / f"d{max_calls}"
        _, acknowledged_index = run_until_killed(folder, max_calls)
        found = reopen(folder)
        last = found.entries[-1].index if found.entries else (found.snapshot.index if found.snapshot else 0)
        assert last >= acknowledged_index, f"killed at system call {max_calls}"
