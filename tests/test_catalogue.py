"""The catalogue alone: what a crash, a replacement or an abort leaves behind."""

from __future__ import annotations

import sqlite3
from pathlib import Path

from harriertide.objects.catalogue import Catalogue
from harriertide.objects.records import Orphan, Segment, StoredObject, UploadPart


def segment(blob: str) -> Segment:
    return Segment(blob, "b1", 0, 2, "t")


def stored(*blobs: str) -> StoredObject:
    return StoredObject("e", "x/y", 2 * len(blobs), 5, tuple(segment(blob) for blob in blobs))


def orphans(catalogue: Catalogue) -> set[str]:
    return {orphan.blob for orphan in catalogue.due_orphans(10**9, 100)}


def test_what_was_on_its_way_when_the_process_died_is_cleaned_up(tmp_path: Path) -> None:
    """The process dies between the write of a blob and the record that names it.

    The next process finds it as an orphan.
    """
    path = str(tmp_path / "c")
    first = Catalogue(path)
    first.record_pending_blob("v", "lost", "b1", 0)
    first.record_pending_blob("v", "kept", "b1", 0)
    first.put("v", "k", stored("kept"))
    assert orphans(first) == set()
    first.close()
    again = Catalogue(path)
    assert orphans(again) == {"lost"}
    assert again.find("v", "k") == stored("kept")


def test_a_replaced_or_removed_object_leaves_its_blobs_to_be_deleted(tmp_path: Path) -> None:
    """An object is replaced, then removed twice. The blobs of each version are orphans from then on."""
    catalogue = Catalogue(str(tmp_path / "c"))
    catalogue.put("v", "k", stored("a", "b"))
    catalogue.put("v", "k", stored("c"))
    assert orphans(catalogue) == {"a", "b"}
    catalogue.remove("v", "k")
    catalogue.remove("v", "k")
    assert orphans(catalogue) == {"a", "b", "c"} and catalogue.find("v", "k") is None


def test_a_discarded_blob_waits_until_no_attempt_can_write_it(tmp_path: Path) -> None:
    """A write failed, and an attempt of it may still run.

    Its blob is deleted only when that is over, else it would lie there for good.
    """
    catalogue = Catalogue(str(tmp_path / "c"))
    catalogue.record_pending_blob("v", "a", "b1", 0)
    catalogue.mark_orphan("a", 1_000)
    assert not catalogue.due_orphans(999, 9)
    assert catalogue.due_orphans(1_000, 9) == [Orphan("v", "a", "b1", 0)]


def test_parts_that_complete_does_not_name_are_deleted_and_those_of_the_same_number_replaced(
    tmp_path: Path,
) -> None:
    """A client uploads a part twice and one too many.

    The object has the last of each number that Complete names; the others are orphans, and a part that comes
    later is not taken.
    """
    catalogue = Catalogue(str(tmp_path / "c"))
    catalogue.create_upload("u", "v", "k", "x/y", {}, 1)
    upload = catalogue.find_upload("u", "v", "k")
    assert upload is not None and catalogue.find_upload("u", "v", "other") is None
    digest = "00" * 16
    for number, blob in ((1, "old"), (1, "new"), (2, "extra")):
        assert catalogue.add_part(upload, UploadPart(number, segment(blob), digest, 2))
    etag = catalogue.complete_upload(upload, catalogue.parts("u")[:1], 9)
    assert etag.endswith("-1") and orphans(catalogue) == {"old", "extra"}
    found = catalogue.find("v", "k")
    assert found is not None and found.segments == (segment("new"),)
    assert not catalogue.add_part(upload, UploadPart(3, segment("late"), digest, 3))


def test_uploads_left_open_are_found_by_their_age(tmp_path: Path) -> None:
    """A client begins an upload and never completes it.

    It is found by its age; one that was aborted is not.
    """
    catalogue = Catalogue(str(tmp_path / "c"))
    for name, began in (("old", 1), ("young", 100), ("over", 1)):
        catalogue.create_upload(name, "v", "k", "x/y", {}, began)
    over = catalogue.find_upload("over", "v", "k")
    assert over is not None
    catalogue.abort_upload(over)
    assert [upload.id for upload in catalogue.expired_uploads(50, 9)] == ["old"]


def test_a_file_of_a_version_that_kept_no_headers_is_read_on(tmp_path: Path) -> None:
    """The catalogue was written by a release without stored headers.

    It is read, and its objects have none.
    """
    path = str(tmp_path / "c")
    held = Catalogue(path)
    held.put("v", "k", StoredObject("e", "x/y", 1, 1, (), {"Expires": "0"}))
    held.close()
    with sqlite3.connect(path) as old:
        for table in ("objects", "uploads"):
            old.execute(f"alter table {table} drop column headers")
    old.close()
    again = Catalogue(path)
    found = again.find("v", "k")
    assert found is not None and found.etag == "e" and found.headers == {}
    again.close()
