"""A member's disk: what a crash tears is cut off, what was promised is never dropped in silence."""

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


def written(folder: Path, *writes: ev.Persist) -> Path:
    store = Store.open(folder)
    for write in writes:
        store.write([write])
    store.close()
    return store.path


def reopen(folder: Path) -> ev.RestoredState:
    """What the next start finds."""
    store = Store.open(folder)
    store.close()
    return store.restored


def snapshot(index: int, data: bytes = b"state") -> Snapshot:
    return Snapshot(index, 1, Membership((ME,)), data, xxhash.xxh3_64_intdigest(data))


def test_what_was_written_is_there_again_with_the_same_identity(tmp_path: Path) -> None:
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


def test_a_torn_tail_of_any_length_is_cut_off_and_no_more(tmp_path: Path) -> None:
    """The machine loses power in the middle of a write. That write was promised to nobody: it is cut off, and
    all before it stays.
    """
    path = written(tmp_path / "d", ev.Persist(1, "c", 1, None, 0, entries(1, 2)))
    whole = path.stat().st_size
    written(tmp_path / "d", ev.Persist(2, "c", 1, None, 0, entries(3, 3)))
    data = path.read_bytes()
    for length in range(whole, len(data)):
        path.write_bytes(data[:length])
        found = reopen(tmp_path / "d")
        assert [e.index for e in found.entries] == [1, 2]
        assert path.stat().st_size == whole
    path.write_bytes(data + b"\x00" * 300)  # room that the file system made, and nothing in it
    assert len(reopen(tmp_path / "d").entries) == 3


def test_a_flipped_bit_anywhere_in_what_was_promised_stops_the_member(tmp_path: Path) -> None:
    """The disk changes a bit. A member that went on would answer with less than it promised, so it stops and
    says where.
    """
    writes = [ev.Persist(i, "c", 1, None, 0, entries(i, i)) for i in range(1, 6)]
    path = written(tmp_path / "d", *writes)
    data = path.read_bytes()
    for at in range(len(data)):
        path.write_bytes(data[:at] + bytes([data[at] ^ 0x10]) + data[at + 1 :])
        try:
            found = reopen(tmp_path / "d")
        except DamagedError as fault:
            assert str(path) in str(fault) and "\n" not in str(fault)
        else:
            # only a length in the last frame can look like a torn write: all that others promised on is there
            assert [e.index for e in found.entries] == [1, 2, 3, 4]
            assert at >= len(data) - len(data) // 5
        path.write_bytes(data)


def test_a_snapshot_that_is_damaged_or_missing_stops_the_member(tmp_path: Path) -> None:
    """The log begins behind a snapshot that is unreadable: the state before it is gone."""
    writes = [ev.Persist(1, "c", 1, None, 0, entries(1, 9)), ev.Persist(2, "c", 1, None, 0, (), snapshot(7))]
    written(tmp_path / "d", *writes)
    at = tmp_path / "d" / "snapshot-7"
    good = at.read_bytes()
    at.write_bytes(good[:20] + bytes([good[20] ^ 1]) + good[21:])
    with pytest.raises(DamagedError, match="snapshot-7"):
        Store.open(tmp_path / "d")
    at.unlink()
    with pytest.raises(DamagedError, match="missing"):
        Store.open(tmp_path / "d")


def test_an_identity_that_is_gone_beside_a_log_is_no_new_disk(tmp_path: Path) -> None:
    """The identity file is lost. A new name beside the old log could vote twice in one term, so the folder
    has to be set aside.
    """
    written(tmp_path / "d", ev.Persist(1, "c", 1, ME))
    (tmp_path / "d" / "identity").unlink()
    with pytest.raises(DamagedError, match="identity"):
        Store.open(tmp_path / "d")
    aside = set_aside(tmp_path / "d")
    assert reopen(tmp_path / "d") == ev.RestoredState() and (aside / "log-1").exists()


@pytest.mark.parametrize("number", [errno.EIO, errno.ENOSPC])
def test_a_failed_sync_is_final_even_if_the_next_would_work(tmp_path: Path, number: int) -> None:
    """A sync fails, the next one would work: the system may have dropped what the first one was for, so no
    later write is promised.
    """
    fails = [False]

    def sync(descriptor: int) -> None:
        if fails[0]:
            raise OSError(number, os.strerror(number))
        os.fdatasync(descriptor)

    store = Store.open(tmp_path / "d", sync)
    store.write([ev.Persist(1, "c", 1, None, 0, entries(1, 1))])
    fails[0] = True
    with pytest.raises(StoreFailedError):
        store.write([ev.Persist(2, "c", 1, None, 0, entries(2, 2))])
    fails[0] = False
    with pytest.raises(StoreFailedError, match=os.strerror(number)):
        store.write([ev.Persist(3, "c", 1, None, 0, entries(3, 3))])


def test_a_second_process_on_one_folder_is_refused(tmp_path: Path) -> None:
    """An old process still runs as a new one starts: two that promise on one disk would break both their
    words.
    """
    store = Store.open(tmp_path / "d")
    with pytest.raises(StoreError, match="another process uses it"):
        Store.open(tmp_path / "d")
    store.close()
    Store.open(tmp_path / "d").close()


def test_several_writes_that_wait_share_one_sync(tmp_path: Path) -> None:
    """Under load many writes wait for the disk: one sync serves all of them."""
    syncs: list[int] = []
    store = Store.open(tmp_path / "d", syncs.append)
    syncs.clear()
    store.write([ev.Persist(i, "c", 1, None, 0, entries(i, i)) for i in range(1, 65)])
    store.close()
    assert len(syncs) == 1 and len(reopen(tmp_path / "d").entries) == 64


def test_the_log_is_rewritten_once_a_snapshot_covers_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The log file would grow for ever: behind a snapshot it is rewritten, and old files go."""
    monkeypatch.setattr(stores, "REWRITE_BYTES", 4_000)
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


def test_a_record_of_a_newer_version_is_refused_in_one_plain_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An older release is started on the disk of a newer one: it says so instead of guessing."""
    monkeypatch.setattr(disk_format, "RECORD_VERSION", 2)
    written(tmp_path / "d", ev.Persist(1, "c", 1, ME))
    monkeypatch.setattr(disk_format, "RECORD_VERSION", 1)
    with pytest.raises(StoreError, match="newer version"):
        Store.open(tmp_path / "d")


def test_a_kill_at_every_step_of_a_write_leaves_what_was_promised(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process is killed at each call that changes the disk, once at each: what was promised by then is
    there at the next start.
    """
    calls: dict[str, Any] = {name: getattr(os, name) for name in ("write", "replace", "fsync")}
    monkeypatch.setattr(stores, "REWRITE_BYTES", 200)

    class KilledError(BaseException):
        pass

    def course(folder: Path, most: int) -> tuple[int, int]:
        """How many steps were done, and the last index promised."""
        done = [0]

        def counted(name: str) -> Any:
            def call(*args: Any) -> Any:
                if done[0] >= most:
                    raise KilledError
                done[0] += 1
                return calls[name](*args)

            return call

        for name in calls:
            monkeypatch.setattr(os, name, counted(name))
        promised = 0
        opened: list[Store] = []
        try:
            store = Store.open(folder, lambda descriptor: None)
            opened.append(store)
            for index in range(1, 13):
                store.write([ev.Persist(2 * index, "c", 1, ME, 0, entries(index, index, size=30))])
                promised = index
                if index % 4 == 0:
                    store.write([ev.Persist(2 * index + 1, "c", 1, ME, 0, (), snapshot(index - 1))])
        except KilledError:
            pass
        finally:
            for name, call in calls.items():
                monkeypatch.setattr(os, name, call)
            for store in opened:
                store.close()  # as the end of its process does
        return done[0], promised

    steps, _ = course(tmp_path / "whole", 10_000)
    assert steps > 30
    for most in range(steps):
        folder = tmp_path / f"d{most}"
        _, promised = course(folder, most)
        found = reopen(folder)
        last = found.entries[-1].index if found.entries else (found.snapshot.index if found.snapshot else 0)
        assert last >= promised, f"killed at step {most}"
