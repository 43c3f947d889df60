"""Multipart uploads: what each call does to the catalogue, and what it answers."""

from __future__ import annotations

from base64 import b64encode
from collections.abc import Mapping
from secrets import token_hex

from aiohttp import web

from harriertide.objects.catalogue import Part, Piece, Upload
from harriertide.objects.s3 import PARTS_MOST, S3Error, iso_date, kept_headers, tree, xml
from harriertide.objects.store import Store

PAGE = 1000


def md5_header(digest: str) -> str:
    """A digest as Content-MD5 carries it."""
    return b64encode(bytes.fromhex(digest)).decode()


def _none() -> S3Error:
    return S3Error("NoSuchUpload", "The specified upload does not exist.")


def create(store: Store, bucket: str, key: str, headers: Mapping[str, str]) -> web.Response:
    """CreateMultipartUpload."""
    upload = token_hex(16)
    kind = headers.get("Content-Type", "binary/octet-stream")
    store.catalogue.begin(upload, bucket, key, kind, kept_headers(headers), store.now_ms())
    rows = [("Bucket", bucket), ("Key", key), ("UploadId", upload)]
    return xml(tree("InitiateMultipartUploadResult", rows))


def find(store: Store, upload_id: str, bucket: str, key: str) -> Upload:
    """An upload in any state."""
    upload = store.catalogue.upload(upload_id, bucket, key)
    if upload is None:
        raise _none()
    return upload


def find_open(store: Store, upload_id: str, bucket: str, key: str) -> Upload:
    """An upload that still takes parts."""
    upload = find(store, upload_id, bucket, key)
    if upload.state != "open":
        raise _none()
    return upload


def part_number(query: Mapping[str, str]) -> int:
    """The number that UploadPart names."""
    text = query.get("partNumber", "")
    if not (text.isascii() and text.isdigit() and len(text) <= 5 and 1 <= int(text) <= PARTS_MOST):
        raise S3Error("InvalidArgument", f"Part number must be an integer between 1 and {PARTS_MOST}")
    return int(text)


def add(store: Store, upload_id: str, bucket: str, key: str, number: int, piece: Piece, digest: str) -> None:
    """Take a part that lies on its box; not if the upload has ended meanwhile."""
    upload = find(store, upload_id, bucket, key)
    if not store.catalogue.add_part(upload, Part(number, piece, digest, store.now_ms())):
        store.drop(piece.blob)
        raise _none()


def list_parts(store: Store, upload: Upload, query: Mapping[str, str]) -> web.Response:
    """ListParts, by pages."""
    if upload.state != "open":
        raise _none()
    marker = _least(query, "part-number-marker", 0)
    most = min(PAGE, _least(query, "max-parts", PAGE))
    parts = [part for part in store.catalogue.parts(upload.id) if part.number > marker]
    page = parts[:most]
    rows: list[tuple[str, object]] = [
        ("Bucket", upload.bucket),
        ("Key", upload.key),
        ("UploadId", upload.id),
        ("PartNumberMarker", marker),
        ("MaxParts", most),
        ("IsTruncated", "true" if len(parts) > len(page) else "false"),
    ]
    if page:
        rows.append(("NextPartNumberMarker", page[-1].number))
    for part in page:
        row = [
            ("PartNumber", part.number),
            ("LastModified", iso_date(part.modified_ms)),
            ("ETag", f'"{part.md5}"'),
            ("Size", part.piece.size),
        ]
        rows.append(("Part", row))
    return xml(tree("ListPartsResult", rows))


def _least(query: Mapping[str, str], name: str, default: int) -> int:
    text = query.get(name, str(default))
    if not (text.isascii() and text.isdigit() and len(text) <= 9):
        raise S3Error("InvalidArgument", f"{name} must be a whole number")
    return int(text)


def complete(store: Store, upload: Upload, asked: list[tuple[int, str]]) -> web.Response:
    """CompleteMultipartUpload. Repeated with the same parts it answers the same again.

    No await between the look at the parts and the change: two that cross can't both make the object.
    """
    if upload.state == "done" and list(upload.asked) == asked:
        return _completed(upload, upload.etag)
    if upload.state != "open":
        raise _none()
    parts = {part.number: part for part in store.catalogue.parts(upload.id)}
    chosen = []
    for number, etag in asked:
        part = parts.get(number)
        # a part on a box that was taken off the list can't be read any more
        if part is None or part.md5 != etag or not store.listed(part.piece.box):
            raise S3Error("InvalidPart", f"Part {number} could not be found, or its box is gone")
        chosen.append(part)
    least = store.limits["part_least_kb"] * 1024
    if any(part.piece.size < least for part in chosen[:-1]):
        raise S3Error("EntityTooSmall", "Your proposed upload is smaller than the minimum allowed size")
    return _completed(upload, store.catalogue.complete(upload, chosen, store.now_ms()))


def _completed(upload: Upload, etag: str) -> web.Response:
    rows = [
        ("Location", f"/{upload.bucket}/{upload.key}"),
        ("Bucket", upload.bucket),
        ("Key", upload.key),
        ("ETag", f'"{etag}"'),
    ]
    return xml(tree("CompleteMultipartUploadResult", rows))


def abort(store: Store, upload: Upload) -> web.Response:
    """AbortMultipartUpload. Repeated it answers the same again; a completed upload is no more."""
    if upload.state == "done":
        raise _none()
    if upload.state == "open":
        store.catalogue.abort(upload)
    return web.Response(status=204)
