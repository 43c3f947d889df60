"""Byte ranges and XML documents of the object front."""

from __future__ import annotations

import pytest

from harriertide.objects.errors import S3Error
from harriertide.objects.metadata import stored_headers
from harriertide.objects.ranges import parse_range
from harriertide.objects.xml_format import parse_complete


@pytest.mark.parametrize(
    ("header", "span"),
    [
        (None, (0, 9, True)),
        ("bytes=0-0", (0, 0, False)),
        ("bytes=5-", (5, 9, False)),
        ("bytes=5-100", (5, 9, False)),
        ("bytes=-20", (0, 9, False)),
        ("bytes=4-2", (0, 9, True)),
        ("bytes=0-1,3-4", (0, 9, True)),
        ("items=0-1", (0, 9, True)),
        ("bytes=-", (0, 9, True)),
        ("bytes=x-1", (0, 9, True)),
    ],
)
def test_byte_ranges(header: str | None, span: tuple[int, int, bool]) -> None:
    byte_range = parse_range(header, 10)
    assert (byte_range.first, byte_range.last, byte_range.is_whole) == span


@pytest.mark.parametrize(("header", "size"), [("bytes=10-", 10), ("bytes=-0", 10), ("bytes=0-", 0)])
def test_byte_ranges_that_cannot_be_satisfied(header: str, size: int) -> None:
    """A client asks for bytes that the object has not. It gets the error for that, with the object's size."""
    with pytest.raises(S3Error, match="range") as error:
        parse_range(header, size)
    assert error.value.headers["Content-Range"] == f"bytes */{size}"


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"<x/>",
        b"<CompleteMultipartUpload/>",
        b"<CompleteMultipartUpload><Part><PartNumber>0</PartNumber><ETag>a</ETag></Part></CompleteMultipartUpload>",
        b'<!DOCTYPE x [<!ENTITY a "a">]><CompleteMultipartUpload/>',
    ],
)
def test_invalid_documents_complete_no_upload(body: bytes) -> None:
    """A client completes an upload with a document that is empty, of another kind, or an attack on the
    parser.

    It gets the error for malformed XML.
    """
    with pytest.raises(S3Error) as error:
        parse_complete(body)
    assert error.value.code == "MalformedXML"


def test_each_header_kept_with_an_object_must_be_utf_8() -> None:
    """Guards against a check that looks at the first header only."""
    unreadable = b"\xff".decode("utf-8", "surrogateescape")
    with pytest.raises(S3Error, match="UTF-8"):
        stored_headers({"Cache-Control": "no-store", "Expires": unreadable})
