"""The XML documents of the S3 interface, in both directions."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from typing import Any
from xml.etree.ElementTree import Element, SubElement, tostring

from aiohttp import web
from defusedxml.common import DefusedXmlException
from defusedxml.ElementTree import ParseError, fromstring

from harriertide.objects.errors import S3Error
from harriertide.objects.numbers import is_short_integer

NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/"
MAX_PART_NUMBER = 10_000  # of a multipart upload, as the interface has it


def xml_response(root: Element, status: int = 200, headers: Mapping[str, str] | None = None) -> web.Response:
    """A document as a response."""
    body = b'<?xml version="1.0" encoding="UTF-8"?>\n' + tostring(root, encoding="utf-8")
    return web.Response(status=status, body=body, content_type="application/xml", headers=headers)


def build_element(name: str, rows: Sequence[tuple[str, object]], has_namespace: bool = True) -> Element:
    """An element with one child for each row; a row's value may be a list of rows."""
    root = Element(name, {"xmlns": NAMESPACE} if has_namespace else {})
    for child, value in rows:
        if isinstance(value, list):
            root.append(build_element(child, value, has_namespace=False))
        else:
            SubElement(root, child).text = str(value)
    return root


def error_response(error: S3Error, resource: str, request_id: str, is_head: bool) -> web.Response:
    """An error as its document; without the document for HEAD."""
    if is_head:
        return web.Response(status=error.status, headers=error.headers)
    rows = [
        ("Code", error.code),
        ("Message", error.message),
        ("Resource", resource),
        ("RequestId", request_id),
    ]
    return xml_response(build_element("Error", rows, has_namespace=False), error.status, error.headers)


def iso_date(ms: int) -> str:
    """A moment, in Unix milliseconds, as the documents have it."""
    return datetime.fromtimestamp(ms / 1000, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")


def parse_complete(body: bytes) -> list[tuple[int, str]]:
    """The parts that a CompleteMultipartUpload document names: number and ETag without quotes, in order.

    :raises S3Error: it is not well-formed, names no parts, or not in ascending order
    """
    try:
        root: Any = fromstring(body, forbid_dtd=True)
    except (ParseError, DefusedXmlException, ValueError):
        raise S3Error("MalformedXML", "The XML you provided was not well-formed") from None
    parts = [_parse_part(element) for element in root if _local_name(element) == "Part"]
    if _local_name(root) != "CompleteMultipartUpload" or not parts:
        raise S3Error("MalformedXML", "The document names no parts")
    if any(later[0] <= earlier[0] for earlier, later in zip(parts, parts[1:], strict=False)):
        raise S3Error("InvalidPartOrder", "The list of parts was not in ascending order")
    return parts


def _parse_part(element: Any) -> tuple[int, str]:
    values = {_local_name(child): (child.text or "").strip() for child in element}
    number = values.get("PartNumber", "")
    etag = values.get("ETag", "").strip('"')
    if not is_short_integer(number) or not 1 <= int(number) <= MAX_PART_NUMBER or not etag:
        raise S3Error("MalformedXML", "A Part needs a PartNumber and an ETag")
    return int(number), etag


def _local_name(element: Any) -> str:
    """The name of an element without its namespace."""
    return str(element.tag.rpartition("}")[2])
