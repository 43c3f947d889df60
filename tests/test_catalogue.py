"""The catalogue alone: what a crash, a replacement or an abort leaves behind."""

from __future__ import annotations

import sqlite3
from pathlib import Path

from harriertide.objects.catalogue import Catalogue, Part, Piece, Stored


def piece(blob: str) -> Piece:
    return Piece(blob, "b1", 0, 2, "t")


def stored(*blobs: str) -> Stored:
    return Stored("e", "x/y", 2 * len(blobs), 5, tuple(piece(blob) for blob in blobs))


def strays(catalogue: Catalogue) -> set[str]:
    return {row[1] for row in catalogue.strays(10**9, 100)}


def test_what_was_on_its_way_when_the_process_died_is_cleaned_up(tmp_path: Path) -> None:
    path = str(tmp_path / "c")
    first = Catalogue(path)
    first.on_its_way("v", "lost", "b1", 0)
    first.on_its_way("v", "kept", "b1", 0)
    first.put("v", "k", stored("kept"))
    assert strays(first) == set()
    first.close()
    again = Catalogue(path)
    assert strays(again) == {"lost"}
    assert again.find("v", "k") == stored("kept")


def test_a_replaced_or_removed_object_leaves_its_blobs_to_be_deleted(tmp_path: Path) -> None:
    catalogue = Catalogue(str(tmp_path / "c"))
    catalogue.put("v", "k", stored("a", "b"))
    catalogue.put("v", "k", stored("c"))
    assert strays(catalogue) == {"a", "b"}
    catalogue.remove("v", "k")
    catalogue.remove("v", "k")
    assert strays(catalogue) == {"a", "b", "c"} and catalogue.find("v", "k") is None


def test_a_discarded_blob_waits_until_no_attempt_can_write_it(tmp_path: Path) -> None:
    catalogue = Catalogue(str(tmp_path / "c"))
    catalogue.on_its_way("v", "a", "b1", 0)
    catalogue.discard("a", 1_000)
    assert not catalogue.strays(999, 9) and catalogue.strays(1_000, 9) == [("v", "a", "b1", 0)]


def test_parts_that_complete_does_not_name_are_deleted_and_those_of_the_same_number_replaced(
    tmp_path: Path,
) -> None:
    catalogue = Catalogue(str(tmp_path / "c"))
    catalogue.begin("u", "v", "k", "x/y", {}, 1)
    upload = catalogue.upload("u", "v", "k")
    assert upload is not None and catalogue.upload("u", "v", "other") is None
    digest = "00" * 16
    for number, blob in ((1, "old"), (1, "new"), (2, "extra")):
        assert catalogue.add_part(upload, Part(number, piece(blob), digest, 2))
    etag = catalogue.complete(upload, catalogue.parts("u")[:1], 9)
    assert etag.endswith("-1") and strays(catalogue) == {"old", "extra"}
    found = catalogue.find("v", "k")
    assert found is not None and found.pieces == (piece("new"),)
    assert not catalogue.add_part(upload, Part(3, piece("late"), digest, 3))


def test_uploads_left_open_are_found_by_their_age(tmp_path: Path) -> None:
    catalogue = Catalogue(str(tmp_path / "c"))
    for name, began in (("old", 1), ("young", 100), ("over", 1)):
        catalogue.begin(name, "v", "k", "x/y", {}, began)
    over = catalogue.upload("over", "v", "k")
    assert over is not None
    catalogue.abort(over)
    assert [upload.id for upload in catalogue.left_open(50, 9)] == ["old"]


def test_a_file_of_a_version_that_kept_no_headers_is_read_on(tmp_path: Path) -> None:
    path = str(tmp_path / "c")
    held = Catalogue(path)
    held.put("v", "k", Stored("e", "x/y", 1, 1, (), {"Expires": "0"}))
    held.close()
    with sqlite3.connect(path) as old:
        for table in ("objects", "uploads"):
            old.execute(f"alter table {table} drop column headers")
    old.close()
    again = Catalogue(path)
    found = again.find("v", "k")
    assert found is not None and found.etag == "e" and found.headers == {}
    again.close()
