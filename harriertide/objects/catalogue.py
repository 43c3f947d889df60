"""The catalogue: objects, their segments and where they lie, uploads and their parts, and orphans to delete.

One sqlite3 file. Each public call is one transaction, so a repeated or crossing Complete or Abort sees either
all of the other or nothing. The tables keep the names of the first release: a node is a `box` there, a
segment a `piece` and an orphan a `stray`.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Callable, Iterable
from hashlib import md5
from typing import Any

from harriertide.objects.catalogue_lock import CatalogueLock
from harriertide.objects.records import Orphan, Segment, StoredObject, Upload, UploadPart

_SCHEMA = """
create table if not exists objects (
  id integer primary key, bucket text not null, key text not null, etag text not null,
  type text not null, size integer not null, modified_ms integer not null,
  headers text not null default '{}', unique (bucket, key));
create table if not exists pieces (
  object integer not null, place integer not null, blob text not null, box text not null,
  shard integer not null, size integer not null, tag text not null, primary key (object, place));
create table if not exists uploads (
  id text primary key, bucket text not null, key text not null, type text not null,
  state text not null, etag text not null, asked text not null, began_ms integer not null,
  headers text not null default '{}');
create table if not exists parts (
  upload text not null, number integer not null, blob text not null, box text not null,
  shard integer not null, size integer not null, tag text not null, md5 text not null,
  modified_ms integer not null, primary key (upload, number));
create table if not exists strays (
  blob text primary key, bucket text not null, box text not null, shard integer not null,
  pending integer not null, after_ms integer not null);
"""


def _allow_any(etag: str | None) -> None:
    """The precondition of a write without one."""


class Catalogue:
    """One file, one connection, used from the event loop's thread only. One process at a time has it open.

    :param path: of the file; it is made where there is none
    :raises CatalogueInUseError: another process has it open; nothing of the file was touched
    :raises OperatorFileError: the lock beside it cannot be had
    :raises sqlite3.Error: the file cannot be used
    """

    def __init__(self, path: str) -> None:
        self._lock = CatalogueLock(path)
        try:
            self._db = _open(path)
        except sqlite3.Error:
            self._lock.release()
            raise

    def close(self) -> None:
        """Close the file, and leave it to other processes."""
        self._db.close()
        self._lock.release()

    # --- blobs that are being written, and orphans ---------------------------------------------

    def record_pending_blob(self, bucket: str, blob: str, node: str, shard: int) -> None:
        """A blob may be on this node from now on; no object names it yet."""
        row = (blob, bucket, node, shard)
        self._db.execute("insert or replace into strays values (?, ?, ?, ?, 1, 0)", row)

    def mark_orphan(self, blob: str, delete_after_ms: int) -> None:
        """No object will name this blob; delete it once no attempt can write it any more.

        :param delete_after_ms: from when on it may be deleted, in Unix milliseconds
        """
        row = (delete_after_ms, blob)
        self._db.execute("update strays set pending = 0, after_ms = ? where blob = ?", row)

    def due_orphans(self, now_ms: int, max_count: int) -> list[Orphan]:
        """Orphans that may be deleted by now, those that wait the longest first."""
        rows = self._db.execute(
            "select bucket, blob, box, shard from strays where pending = 0 and after_ms <= ?"
            " order by after_ms limit ?",
            (now_ms, max_count),
        )
        return [Orphan(*row) for row in rows]

    def forget_orphan(self, blob: str) -> None:
        """An orphan is deleted from its node."""
        self._db.execute("delete from strays where blob = ?", (blob,))

    def _add_orphans(self, bucket: str, blobs: Iterable[tuple[str, str, int]]) -> None:
        """Blobs that lie on nodes, with node and shard, have lost what named them."""
        rows = [(blob, bucket, node, shard) for blob, node, shard in blobs]
        self._db.executemany("insert or replace into strays values (?, ?, ?, ?, 0, 0)", rows)

    # --- objects -------------------------------------------------------------------------------

    def find(self, bucket: str, key: str) -> StoredObject | None:
        """An object with its segments in order; None if there is none."""
        row = self._db.execute(
            "select id, etag, type, size, modified_ms, headers from objects where bucket = ? and key = ?",
            (bucket, key),
        ).fetchone()
        if row is None:
            return None
        object_id, etag, content_type, size, modified_ms, headers = row
        segments = self._db.execute(
            "select blob, box, shard, size, tag from pieces where object = ? order by place", (object_id,)
        )
        return StoredObject(
            etag=etag,
            content_type=content_type,
            size=size,
            modified_ms=modified_ms,
            segments=tuple(Segment(*segment) for segment in segments),
            headers=json.loads(headers),
        )

    def etag(self, bucket: str, key: str) -> str | None:
        """Of the object under a key; None if there is none."""
        query = "select etag from objects where bucket = ? and key = ?"
        row = self._db.execute(query, (bucket, key)).fetchone()
        return None if row is None else str(row[0])

    def put(
        self,
        bucket: str,
        key: str,
        stored: StoredObject,
        check: Callable[[str | None], None] = _allow_any,
    ) -> None:
        """Make this the object under the key; the segments of the one before become orphans.

        :param check: called with the ETag of what is there, within the same transaction; nothing changes
            where it raises
        """
        with _Transaction(self._db):
            check(self.etag(bucket, key))
            self._put(bucket, key, stored)

    def _put(self, bucket: str, key: str, stored: StoredObject) -> None:
        self._remove(bucket, key)
        cursor = self._db.execute(
            "insert into objects (bucket, key, etag, type, size, modified_ms, headers)"
            " values (?, ?, ?, ?, ?, ?, ?)",
            (
                bucket,
                key,
                stored.etag,
                stored.content_type,
                stored.size,
                stored.modified_ms,
                json.dumps(stored.headers),
            ),
        )
        rows = [
            (cursor.lastrowid, place, *_segment_row(segment)) for place, segment in enumerate(stored.segments)
        ]
        self._db.executemany("insert into pieces values (?, ?, ?, ?, ?, ?, ?)", rows)
        self._forget_named(stored.segments)

    def remove(self, bucket: str, key: str) -> None:
        """Remove the object, if there is one; its segments become orphans."""
        with _Transaction(self._db):
            self._remove(bucket, key)

    def _remove(self, bucket: str, key: str) -> None:
        query = "select id from objects where bucket = ? and key = ?"
        row = self._db.execute(query, (bucket, key)).fetchone()
        if row is not None:
            blobs = self._db.execute("select blob, box, shard from pieces where object = ?", row).fetchall()
            self._add_orphans(bucket, blobs)
            self._db.execute("delete from pieces where object = ?", row)
            self._db.execute("delete from objects where id = ?", row)

    def _forget_named(self, segments: Iterable[Segment]) -> None:
        """Blobs that something names now are no orphans to be."""
        rows = [(segment.blob,) for segment in segments]
        self._db.executemany("delete from strays where blob = ?", rows)

    # --- uploads -------------------------------------------------------------------------------

    def create_upload(
        self, upload_id: str, bucket: str, key: str, content_type: str, headers: dict[str, str], now_ms: int
    ) -> None:
        """A multipart upload begins.

        :param headers: to be stored with the object that it becomes
        """
        row = (upload_id, bucket, key, content_type, now_ms, json.dumps(headers))
        self._db.execute("insert into uploads values (?, ?, ?, ?, 'open', '', '[]', ?, ?)", row)

    def find_upload(self, upload_id: str, bucket: str, key: str) -> Upload | None:
        """An upload for this key, in whatever state; None if there is none."""
        row = self._db.execute(
            "select id, bucket, key, type, state, etag, asked, headers from uploads"
            " where id = ? and bucket = ? and key = ?",
            (upload_id, bucket, key),
        ).fetchone()
        return _read_upload(row) if row is not None else None

    def expired_uploads(self, before_ms: int, max_count: int) -> list[Upload]:
        """Uploads that began before then and are still open."""
        rows = self._db.execute(
            "select id, bucket, key from uploads where state = 'open' and began_ms < ? limit ?",
            (before_ms, max_count),
        ).fetchall()
        return [upload for row in rows if (upload := self.find_upload(*row)) is not None]

    def add_part(self, upload: Upload, part: UploadPart) -> bool:
        """Take a part; a part of the same number that is there becomes an orphan.

        :returns: False if the upload is over by now
        """
        with _Transaction(self._db):
            state = self._db.execute("select state from uploads where id = ?", (upload.id,)).fetchone()
            if state != ("open",):
                return False
            replaced = self._db.execute(
                "select blob, box, shard from parts where upload = ? and number = ?", (upload.id, part.number)
            ).fetchall()
            self._add_orphans(upload.bucket, replaced)
            row = (upload.id, part.number, *_segment_row(part.segment), part.md5, part.modified_ms)
            self._db.execute("insert or replace into parts values (?, ?, ?, ?, ?, ?, ?, ?, ?)", row)
            self._forget_named([part.segment])
            return True

    def parts(self, upload_id: str) -> list[UploadPart]:
        """The parts so far, by number."""
        rows = self._db.execute(
            "select number, blob, box, shard, size, tag, md5, modified_ms from parts where upload = ?"
            " order by number",
            (upload_id,),
        )
        return [UploadPart(row[0], Segment(*row[1:6]), row[6], row[7]) for row in rows]

    def complete_upload(self, upload: Upload, chosen: list[UploadPart], now_ms: int) -> str:
        """Make the chosen parts the object; the others become orphans.

        :returns: the ETag of the object
        """
        digests = b"".join(bytes.fromhex(part.md5) for part in chosen)
        etag = f"{md5(digests, usedforsecurity=False).hexdigest()}-{len(chosen)}"
        stored = StoredObject(
            etag=etag,
            content_type=upload.content_type,
            size=sum(part.segment.size for part in chosen),
            modified_ms=now_ms,
            segments=tuple(part.segment for part in chosen),
            headers=upload.headers,
        )
        completed_parts = json.dumps([(part.number, part.md5) for part in chosen])
        with _Transaction(self._db):
            used = {part.segment.blob for part in chosen}
            unused = [part.segment for part in self.parts(upload.id) if part.segment.blob not in used]
            self._put(upload.bucket, upload.key, stored)
            self._add_orphans(upload.bucket, map(_location, unused))
            self._db.execute("delete from parts where upload = ?", (upload.id,))
            self._db.execute(
                "update uploads set state = 'done', etag = ?, asked = ? where id = ?",
                (etag, completed_parts, upload.id),
            )
        return etag

    def abort_upload(self, upload: Upload) -> None:
        """End an open upload without an object; its parts become orphans."""
        with _Transaction(self._db):
            unused = [part.segment for part in self.parts(upload.id)]
            self._add_orphans(upload.bucket, map(_location, unused))
            self._db.execute("delete from parts where upload = ?", (upload.id,))
            self._db.execute("update uploads set state = 'aborted' where id = ?", (upload.id,))


def _open(path: str) -> sqlite3.Connection:
    """Open the file of a catalogue, and bring it to the form of this release; its lock is held."""
    db = sqlite3.connect(path, isolation_level=None)
    db.execute("pragma journal_mode = wal")
    db.execute("pragma synchronous = normal")
    db.executescript(_SCHEMA)
    for table in ("objects", "uploads"):  # files of releases that stored no headers
        columns = [row[1] for row in db.execute(f"pragma table_info({table})")]
        if "headers" not in columns:
            db.execute(f"alter table {table} add column headers text not null default '{{}}'")
    # what was being written when an earlier process ended belongs to nobody
    db.execute("update strays set pending = 0")
    return db


def _segment_row(segment: Segment) -> tuple[str, str, int, int, str]:
    """The columns of a segment, as `pieces` and `parts` have them."""
    return segment.blob, segment.node, segment.shard, segment.size, segment.node_etag


def _location(segment: Segment) -> tuple[str, str, int]:
    return segment.blob, segment.node, segment.shard


def _read_upload(row: tuple[Any, ...]) -> Upload:
    upload_id, bucket, key, content_type, state, etag, completed_parts, headers = row
    return Upload(
        id=upload_id,
        bucket=bucket,
        key=key,
        content_type=content_type,
        state=state,
        etag=etag,
        completed_parts=tuple((number, digest) for number, digest in json.loads(completed_parts)),
        headers=json.loads(headers),
    )


class _Transaction:
    """Commits what is done within it; rolls it back where that raises."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self._db = db

    def __enter__(self) -> None:
        self._db.execute("begin immediate")

    def __exit__(self, kind: object, value: object, trace: object) -> None:
        self._db.execute("commit" if kind is None else "rollback")
