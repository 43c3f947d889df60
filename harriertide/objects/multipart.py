"""Multipart uploads: what each call does to the catalogue, and what it answers."""

from __future__ import annotations

from base64 import b64encode
from collections.abc import Mapping
from secrets import token_hex

from aiohttp import web

from harriertide.objects.errors import S3Error, no_such_upload
from harriertide.objects.metadata import stored_headers
from harriertide.objects.numbers import is_short_integer
from harriertide.objects.records import Segment, Upload, UploadPart
from harriertide.objects.store import ObjectStore
from harriertide.objects.xml_format import MAX_PART_NUMBER, build_element, iso_date, xml_response

MAX_LISTED_PARTS = 1000  # on one page
DEFAULT_CONTENT_TYPE = "binary/octet-stream"


def md5_header(digest: str) -> str:
    """A digest in hex digits as Content-MD5 has it."""
    return b64encode(bytes.fromhex(digest)).decode()


def create(store: ObjectStore, bucket: str, key: str, headers: Mapping[str, str]) -> web.Response:
    """CreateMultipartUpload."""
    upload_id = token_hex(16)
    content_type = headers.get("Content-Type", DEFAULT_CONTENT_TYPE)
    store.catalogue.create_upload(
        upload_id, bucket, key, content_type, stored_headers(headers), store.now_ms()
    )
    rows = [("Bucket", bucket), ("Key", key), ("UploadId", upload_id)]
    return xml_response(build_element("InitiateMultipartUploadResult", rows))


def find(store: ObjectStore, upload_id: str, bucket: str, key: str) -> Upload:
    """An upload in any state.

    :raises S3Error: there is none
    """
    upload = store.catalogue.find_upload(upload_id, bucket, key)
    if upload is None:
        raise no_such_upload()
    return upload


def find_open(store: ObjectStore, upload_id: str, bucket: str, key: str) -> Upload:
    """An upload that still takes parts.

    :raises S3Error: there is none
    """
    upload = find(store, upload_id, bucket, key)
    if upload.state != "open":
        raise no_such_upload()
    return upload


def parse_part_number(query: Mapping[str, str]) -> int:
    """The number that UploadPart names.

    :raises S3Error: it is no number of a part
    """
    text = query.get("partNumber", "")
    if not (is_short_integer(text, max_digits=5) and 1 <= int(text) <= MAX_PART_NUMBER):
        raise S3Error("InvalidArgument", f"Part number must be an integer between 1 and {MAX_PART_NUMBER}")
    return int(text)


def add_part(
    store: ObjectStore, upload_id: str, bucket: str, key: str, number: int, segment: Segment, digest: str
) -> None:
    """Take a part that lies on its node.

    :raises S3Error: the upload has ended meanwhile; the part becomes an orphan
    """
    upload = find(store, upload_id, bucket, key)
    if not store.catalogue.add_part(upload, UploadPart(number, segment, digest, store.now_ms())):
        store.drop_blob(segment.blob)
        raise no_such_upload()


def list_parts(store: ObjectStore, upload: Upload, query: Mapping[str, str]) -> web.Response:
    """ListParts, by pages."""
    if upload.state != "open":
        raise no_such_upload()
    marker = _parse_count(query, "part-number-marker", 0)
    max_parts = min(MAX_LISTED_PARTS, _parse_count(query, "max-parts", MAX_LISTED_PARTS))
    parts = [part for part in store.catalogue.parts(upload.id) if part.number > marker]
    page = parts[:max_parts]
    rows: list[tuple[str, object]] = [
        ("Bucket", upload.bucket),
        ("Key", upload.key),
        ("UploadId", upload.id),
        ("PartNumberMarker", marker),
        ("MaxParts", max_parts),
        ("IsTruncated", "true" if len(parts) > len(page) else "false"),
    ]
    if page:
        rows.append(("NextPartNumberMarker", page[-1].number))
    rows += [("Part", _part_rows(part)) for part in page]
    return xml_response(build_element("ListPartsResult", rows))


def _part_rows(part: UploadPart) -> list[tuple[str, object]]:
    return [
        ("PartNumber", part.number),
        ("LastModified", iso_date(part.modified_ms)),
        ("ETag", f'"{part.md5}"'),
        ("Size", part.segment.size),
    ]


def _parse_count(query: Mapping[str, str], name: str, default: int) -> int:
    text = query.get(name, str(default))
    if not is_short_integer(text, max_digits=9):
        raise S3Error("InvalidArgument", f"{name} must be a whole number")
    return int(text)


def complete(store: ObjectStore, upload: Upload, named_parts: list[tuple[int, str]]) -> web.Response:
    """CompleteMultipartUpload. Repeated with the same parts it answers the same again.

    There is no await between the look at the parts and the change: two that cross can't both make the object.

    :param named_parts: number and ETag of each
    :raises S3Error: the upload is over, or a part is missing or too small
    """
    if upload.state == "done" and list(upload.completed_parts) == named_parts:
        return _completed_response(upload, upload.etag)
    if upload.state != "open":
        raise no_such_upload()
    chosen = _choose_parts(store, upload, named_parts)
    min_bytes = store.limits["part_least_kb"] * 1024
    if any(part.segment.size < min_bytes for part in chosen[:-1]):
        raise S3Error("EntityTooSmall", "Your proposed upload is smaller than the minimum allowed size")
    return _completed_response(upload, store.catalogue.complete_upload(upload, chosen, store.now_ms()))


def _choose_parts(store: ObjectStore, upload: Upload, named_parts: list[tuple[int, str]]) -> list[UploadPart]:
    parts = {part.number: part for part in store.catalogue.parts(upload.id)}
    chosen = []
    for number, etag in named_parts:
        part = parts.get(number)
        # a part on a node that was removed from the list can't be read any more
        if part is None or part.md5 != etag or not store.has_node(part.segment.node):
            raise S3Error("InvalidPart", f"Part {number} could not be found, or its box is gone")
        chosen.append(part)
    return chosen


def _completed_response(upload: Upload, etag: str) -> web.Response:
    rows = [
        ("Location", f"/{upload.bucket}/{upload.key}"),
        ("Bucket", upload.bucket),
        ("Key", upload.key),
        ("ETag", f'"{etag}"'),
    ]
    return xml_response(build_element("CompleteMultipartUploadResult", rows))


def abort(store: ObjectStore, upload: Upload) -> web.Response:
    """AbortMultipartUpload. Repeated it answers the same again; a completed upload is no more."""
    if upload.state == "done":
        raise no_such_upload()
    if upload.state == "open":
        store.catalogue.abort_upload(upload)
    return web.Response(status=204)
