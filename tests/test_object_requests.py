"""Byte ranges and XML documents of the object front."""

from __future__ import annotations

from pathlib import Path

import pytest
from multidict import CIMultiDict

from harriertide.objects.errors import S3Error
from harriertide.objects.metadata import stored_headers
from harriertide.objects.ranges import parse_range
from harriertide.objects.xml_format import parse_complete
from tests.socket_broker import SocketBroker, run_with_broker


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


def test_headers_that_are_lists_are_kept_whole() -> None:
    """Guards against an object that is given back with one of its content codings and coded with two."""
    fields = CIMultiDict([("content-encoding", "aes"), ("Content-Encoding", "gzip"), ("Expires", "0")])
    assert stored_headers(fields) == {"Content-Encoding": "aes, gzip", "Expires": "0"}


UPLOAD_HEAD = b"PUT /v/key HTTP/1.1\r\nHost: x\r\n%bContent-Length: 2\r\nConnection: close\r\n\r\nab"


@pytest.mark.parametrize(
    "fields",
    [
        b"Content-Encoding: aws-chunked\r\n",
        b"Content-Encoding: AWS-Chunked\r\n",
        b"Content-Encoding: gzip\r\nContent-Encoding: aws-chunked\r\n",
        b"x-amz-content-sha256: STREAMING-AWS4-HMAC-SHA256-PAYLOAD\r\n",
        b"x-amz-content-sha256: streaming-unsigned-payload-trailer\r\n",
    ],
)
def test_a_body_in_signed_chunks_is_never_stored_with_them(fields: bytes, tmp_path: Path) -> None:
    """Guards against signatures between the bytes of an object, where the word of them is in odd case or is
    not in the first field of its name.
    """

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(UPLOAD_HEAD % fields)
        assert (await broker.read(client)).startswith(b"HTTP/1.1 501 ")
        assert broker.node.connection_count == 0

    run_with_broker(scenario, objects=str(tmp_path / "catalogue"))
