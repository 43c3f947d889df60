"""The catalogue: objects, their pieces and where they lie, uploads and their parts, and what is to be
deleted. One sqlite3 file; each public call is one transaction, so a repeated or crossing Complete or Abort
sees either all of the other or nothing."""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import md5

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


@dataclass(frozen=True, slots=True)
class Piece:
    """Bytes that lie on one box. tag: the box's own ETag for them."""

    blob: str
    box: str
    shard: int
    size: int
    tag: str


@dataclass(frozen=True, slots=True)
class Stored:
    """An object as it can be read."""

    etag: str
    type: str
    size: int
    modified_ms: int
    pieces: tuple[Piece, ...]
    headers: dict[str, str] = field(default_factory=dict)  # given back with it


@dataclass(frozen=True, slots=True)
class Part:
    """A part of an upload."""

    number: int
    piece: Piece
    md5: str
    modified_ms: int


@dataclass(frozen=True, slots=True)
class Upload:
    """A multipart upload. state: open, done or aborted; asked: the parts that Complete named."""

    id: str
    bucket: str
    key: str
    type: str
    state: str
    etag: str
    asked: tuple[tuple[int, str], ...]
    headers: dict[str, str] = field(default_factory=dict)


class Catalogue:
    """One file, one connection, used from the event loop's thread only."""

    def __init__(self, path: str) -> None:
        self._db = sqlite3.connect(path, isolation_level=None)
        self._db.execute("pragma journal_mode = wal")
        self._db.execute("pragma synchronous = normal")
        self._db.executescript(_SCHEMA)
        for table in ("objects", "uploads"):  # files of versions that kept no headers
            names = [row[1] for row in self._db.execute(f"pragma table_info({table})")]
            if "headers" not in names:
                self._db.execute(f"alter table {table} add column headers text not null default '{{}}'")
        # what was on its way when an earlier process ended belongs to nobody
        self._db.execute("update strays set pending = 0")

    def close(self) -> None:
        """Let go of the file."""
        self._db.close()

    # --- blobs on their way, and those to be deleted -------------------------------------------

    def on_its_way(self, bucket: str, blob: str, box: str, shard: int) -> None:
        """A blob may come to lie on this box from now on."""
        row = (blob, bucket, box, shard)
        self._db.execute("insert or replace into strays values (?, ?, ?, ?, 1, 0)", row)

    def discard(self, blob: str, after_ms: int) -> None:
        """Nobody wants this blob; delete it once no attempt can write it any more."""
        self._db.execute("update strays set pending = 0, after_ms = ? where blob = ?", (after_ms, blob))

    def strays(self, now_ms: int, most: int) -> list[tuple[str, str, str, int]]:
        """Blobs to delete: bucket, blob, box and shard."""
        rows = self._db.execute(
            "select bucket, blob, box, shard from strays where pending = 0 and after_ms <= ?"
            " order by after_ms limit ?",
            (now_ms, most),
        )
        return list(rows)

    def deleted(self, blob: str) -> None:
        """A stray is no more."""
        self._db.execute("delete from strays where blob = ?", (blob,))

    def _stray(self, bucket: str, rows: list[tuple[str, str, int]]) -> None:
        given = [(blob, bucket, box, shard) for blob, box, shard in rows]
        self._db.executemany("insert or replace into strays values (?, ?, ?, ?, 0, 0)", given)

    # --- objects -------------------------------------------------------------------------------

    def find(self, bucket: str, key: str) -> Stored | None:
        """An object with its pieces in order."""
        row = self._db.execute(
            "select id, etag, type, size, modified_ms, headers from objects where bucket = ? and key = ?",
            (bucket, key),
        ).fetchone()
        if row is None:
            return None
        pieces = self._db.execute(
            "select blob, box, shard, size, tag from pieces where object = ? order by place", (row[0],)
        )
        held = tuple(Piece(*piece) for piece in pieces)
        return Stored(row[1], row[2], row[3], row[4], held, json.loads(row[5]))

    def etag(self, bucket: str, key: str) -> str | None:
        """Of the object under a key; None where there is none."""
        named = "select etag from objects where bucket = ? and key = ?"
        row = self._db.execute(named, (bucket, key)).fetchone()
        return None if row is None else str(row[0])

    def put(
        self, bucket: str, key: str, stored: Stored, check: Callable[[str | None], None] = lambda etag: None
    ) -> None:
        """Make this the object under the key; the pieces of the one before become strays.

        check: told the ETag of what is there, within the same transaction; nothing changes where it raises.
        """
        with _Whole(self._db):
            check(self.etag(bucket, key))
            self._put(bucket, key, stored)

    def _put(self, bucket: str, key: str, stored: Stored) -> None:
        self._remove(bucket, key)
        cursor = self._db.execute(
            "insert into objects (bucket, key, etag, type, size, modified_ms, headers)"
            " values (?, ?, ?, ?, ?, ?, ?)",
            (
                bucket,
                key,
                stored.etag,
                stored.type,
                stored.size,
                stored.modified_ms,
                json.dumps(stored.headers),
            ),
        )
        rows = [
            (cursor.lastrowid, place, p.blob, p.box, p.shard, p.size, p.tag)
            for place, p in enumerate(stored.pieces)
        ]
        self._db.executemany("insert into pieces values (?, ?, ?, ?, ?, ?, ?)", rows)
        self._db.executemany("delete from strays where blob = ?", [(p.blob,) for p in stored.pieces])

    def remove(self, bucket: str, key: str) -> None:
        """Take the object away, if there is one."""
        with _Whole(self._db):
            self._remove(bucket, key)

    def _remove(self, bucket: str, key: str) -> None:
        named = "select id from objects where bucket = ? and key = ?"
        row = self._db.execute(named, (bucket, key)).fetchone()
        if row is not None:
            old = self._db.execute("select blob, box, shard from pieces where object = ?", row).fetchall()
            self._stray(bucket, old)
            self._db.execute("delete from pieces where object = ?", row)
            self._db.execute("delete from objects where id = ?", row)

    # --- uploads -------------------------------------------------------------------------------

    def begin(
        self, upload: str, bucket: str, key: str, kind: str, headers: dict[str, str], now_ms: int
    ) -> None:
        """An upload has been asked for. headers: given back with the object that comes of it."""
        row = (upload, bucket, key, kind, now_ms, json.dumps(headers))
        self._db.execute("insert into uploads values (?, ?, ?, ?, 'open', '', '[]', ?, ?)", row)

    def upload(self, upload: str, bucket: str, key: str) -> Upload | None:
        """An upload of this key, whatever its state."""
        row = self._db.execute(
            "select id, bucket, key, type, state, etag, asked, headers from uploads"
            " where id = ? and bucket = ? and key = ?",
            (upload, bucket, key),
        ).fetchone()
        if row is None:
            return None
        asked = tuple((number, etag) for number, etag in json.loads(row[6]))
        return Upload(row[0], row[1], row[2], row[3], row[4], row[5], asked, json.loads(row[7]))

    def left_open(self, before_ms: int, most: int) -> list[Upload]:
        """Uploads that began before then and are still open."""
        rows = self._db.execute(
            "select id, bucket, key from uploads where state = 'open' and began_ms < ? limit ?",
            (before_ms, most),
        ).fetchall()
        return [upload for row in rows if (upload := self.upload(*row)) is not None]

    def add_part(self, upload: Upload, part: Part) -> bool:
        """Take a part; False if the upload is over by now. A part of the same number becomes a stray."""
        with _Whole(self._db):
            state = self._db.execute("select state from uploads where id = ?", (upload.id,)).fetchone()
            if state != ("open",):
                return False
            old = self._db.execute(
                "select blob, box, shard from parts where upload = ? and number = ?", (upload.id, part.number)
            ).fetchall()
            self._stray(upload.bucket, old)
            p = part.piece
            row = (upload.id, part.number, p.blob, p.box, p.shard, p.size, p.tag, part.md5, part.modified_ms)
            self._db.execute("insert or replace into parts values (?, ?, ?, ?, ?, ?, ?, ?, ?)", row)
            self._db.execute("delete from strays where blob = ?", (p.blob,))
            return True

    def parts(self, upload: str) -> list[Part]:
        """The parts so far, by number."""
        rows = self._db.execute(
            "select number, blob, box, shard, size, tag, md5, modified_ms from parts where upload = ?"
            " order by number",
            (upload,),
        )
        return [Part(row[0], Piece(*row[1:6]), row[6], row[7]) for row in rows]

    def complete(self, upload: Upload, chosen: list[Part], now_ms: int) -> str:
        """Make the chosen parts the object; the others become strays. Its ETag."""
        digests = b"".join(bytes.fromhex(part.md5) for part in chosen)
        etag = f"{md5(digests, usedforsecurity=False).hexdigest()}-{len(chosen)}"
        asked = json.dumps([(part.number, part.md5) for part in chosen])
        size = sum(part.piece.size for part in chosen)
        with _Whole(self._db):
            kept = {part.piece.blob for part in chosen}
            rest = [part.piece for part in self.parts(upload.id) if part.piece.blob not in kept]
            pieces = tuple(part.piece for part in chosen)
            stored = Stored(etag, upload.type, size, now_ms, pieces, upload.headers)
            self._put(upload.bucket, upload.key, stored)
            self._stray(upload.bucket, [(piece.blob, piece.box, piece.shard) for piece in rest])
            self._db.execute("delete from parts where upload = ?", (upload.id,))
            self._db.execute(
                "update uploads set state = 'done', etag = ?, asked = ? where id = ?",
                (etag, asked, upload.id),
            )
        return etag

    def abort(self, upload: Upload) -> None:
        """Give up an open upload; its parts become strays."""
        with _Whole(self._db):
            old = [part.piece for part in self.parts(upload.id)]
            self._stray(upload.bucket, [(piece.blob, piece.box, piece.shard) for piece in old])
            self._db.execute("delete from parts where upload = ?", (upload.id,))
            self._db.execute("update uploads set state = 'aborted' where id = ?", (upload.id,))


class _Whole:
    """A transaction: all or nothing."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self._db = db

    def __enter__(self) -> None:
        self._db.execute("begin immediate")

    def __exit__(self, kind: object, value: object, trace: object) -> None:
        self._db.execute("commit" if kind is None else "rollback")
