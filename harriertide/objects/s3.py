"""What the object front reads and writes of the S3 REST interface: errors, ranges, conditions, XML."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from email.utils import formatdate
from typing import Any
from xml.etree.ElementTree import Element, SubElement, tostring

from aiohttp import web
from defusedxml.common import DefusedXmlException
from defusedxml.ElementTree import ParseError, fromstring

NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/"
PARTS_MOST = 10_000
STATUS = {
    "AccessDenied": 403,
    "BadDigest": 400,
    "EntityTooLarge": 413,
    "EntityTooSmall": 400,
    "IncompleteBody": 400,
    "InternalError": 500,
    "InvalidArgument": 400,
    "InvalidPart": 400,
    "InvalidPartOrder": 400,
    "InvalidRange": 416,
    "InvalidURI": 400,
    "KeyTooLongError": 400,
    "MalformedXML": 400,
    "MetadataTooLarge": 400,
    "MethodNotAllowed": 405,
    "MissingContentLength": 411,
    "NoSuchBucket": 404,
    "NoSuchKey": 404,
    "NoSuchUpload": 404,
    "NotImplemented": 501,
    "PreconditionFailed": 412,
    "RequestTimeout": 400,
    "SlowDown": 503,
}


class S3Error(Exception):
    """An error as the interface names it."""

    def __init__(self, code: str, message: str, headers: Mapping[str, str] | None = None) -> None:
        super().__init__(message)
        self.code, self.message, self.headers = code, message, dict(headers or {})


def xml(root: Element, status: int = 200, headers: Mapping[str, str] | None = None) -> web.Response:
    """A document as an answer."""
    body = b'<?xml version="1.0" encoding="UTF-8"?>\n' + tostring(root, encoding="utf-8")
    return web.Response(status=status, body=body, content_type="application/xml", headers=headers)


def tree(name: str, rows: Sequence[tuple[str, object]], spaced: bool = True) -> Element:
    """An element with one child a row; a row's value may be a list of rows."""
    root = Element(name, {"xmlns": NAMESPACE} if spaced else {})
    for child, value in rows:
        if isinstance(value, list):
            root.append(tree(child, value, spaced=False))
        else:
            SubElement(root, child).text = str(value)
    return root


def error_answer(error: S3Error, resource: str, request: str, head: bool) -> web.Response:
    """An error as its XML document; without it for HEAD."""
    status = STATUS[error.code]
    rows = [("Code", error.code), ("Message", error.message), ("Resource", resource), ("RequestId", request)]
    if head:
        return web.Response(status=status, headers=error.headers)
    return xml(tree("Error", rows, spaced=False), status, error.headers)


def slow_down(retry_after_us: int) -> S3Error:
    """A refusal: trying again is harmless, after this time."""
    headers = {"Retry-After": f"{retry_after_us / 1_000_000:.3f}"}
    return S3Error("SlowDown", "Please reduce your request rate.", headers)


@dataclass(frozen=True, slots=True)
class Span:
    """Bytes first to last, both included, of an object; whole: no range was asked for."""

    first: int
    last: int
    whole: bool

    @property
    def size(self) -> int:
        """How many bytes."""
        return self.last - self.first + 1


def _digits(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 18


def read_range(header: str | None, size: int) -> Span:
    """A single Range. Other units, several ranges and nonsense count as none, as HTTP has it."""
    whole = Span(0, size - 1, True)
    unit, _, text = (header or "").partition("=")
    first, dash, last = text.strip().partition("-")
    if unit.strip().lower() != "bytes" or not dash or not (first or last):
        return whole
    if not all(_digits(part) for part in (first, last) if part):
        return whole
    if first and last and int(last) < int(first):
        return whole
    begin = int(first) if first else max(0, size - int(last))
    end = min(int(last), size - 1) if first and last else size - 1
    if begin >= size or (not first and int(last) == 0):
        unmet = {"Content-Range": f"bytes */{size}"}
        raise S3Error("InvalidRange", "The requested range is not satisfiable", unmet)
    return Span(begin, end, False)


def http_date(ms: int) -> str:
    """A moment as HTTP writes it."""
    return formatdate(ms / 1000, usegmt=True)


def iso_date(ms: int) -> str:
    """A moment as the XML documents write it."""
    return datetime.fromtimestamp(ms / 1000, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _matches(header: str, etag: str, weak: bool) -> bool:
    if header.strip() == "*":
        return True
    tags = [tag.strip() for tag in header.split(",")]
    return f'"{etag}"' in tags or etag in tags or (weak and f'W/"{etag}"' in tags)


META = "x-amz-meta-"
META_BYTES = 2048  # of names and values, as the interface has it
_KEPT = ("Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language", "Expires")


def kept_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """What a client wants back with its object: its own metadata, and the headers kept for it."""
    kept = {name: headers[name] for name in _KEPT if name in headers}
    meta: dict[str, str] = {}
    for name, value in headers.items():
        if name.lower().startswith(META):  # of one name twice, both count
            meta[name.lower()] = f"{meta[name.lower()]},{value}" if name.lower() in meta else value
    try:
        size = sum(len(name) - len(META) + len(value.encode()) for name, value in meta.items())
        any(value.encode() for value in kept.values())
    except UnicodeEncodeError:  # bytes that are no UTF-8 can't be given back unchanged
        raise S3Error("InvalidArgument", "Headers kept with an object must be UTF-8") from None
    if size > META_BYTES:
        raise S3Error("MetadataTooLarge", "Your metadata headers exceed the maximum allowed metadata size")
    return kept | meta


@dataclass(frozen=True, slots=True)
class Precondition:
    """When a write may take the place of what is there: If-Match and If-None-Match."""

    match: str | None
    none_match: str | None

    def check(self, etag: str | None) -> None:
        """PreconditionFailed unless it holds for what is there; NoSuchKey for If-Match on nothing."""
        if self.match is not None:
            if etag is None:
                raise S3Error("NoSuchKey", "The specified key does not exist.")
            if not _matches(self.match, etag, weak=False):
                raise _unmet()
        if self.none_match is not None and etag is not None and _matches(self.none_match, etag, weak=True):
            raise _unmet()


def precondition(headers: Mapping[str, str]) -> Precondition:
    """As the headers of a write say."""
    return Precondition(headers.get("If-Match"), headers.get("If-None-Match"))


def _unmet() -> S3Error:
    return S3Error("PreconditionFailed", "At least one of the preconditions did not hold")


def conditions(headers: Mapping[str, str], etag: str, modified_ms: int) -> tuple[bool, str | None]:
    """Whether the answer is 304, and the Range that counts. PreconditionFailed by If-Match."""
    if "If-Match" in headers and not _matches(headers["If-Match"], etag, weak=False):
        raise _unmet()
    if "If-None-Match" in headers and _matches(headers["If-None-Match"], etag, weak=True):
        return True, None
    asked = headers.get("Range")
    guard = headers.get("If-Range")
    if guard is not None and guard.strip() not in (f'"{etag}"', http_date(modified_ms)):
        asked = None
    return False, asked


def read_complete(body: bytes) -> list[tuple[int, str]]:
    """The parts that CompleteMultipartUpload names: number and ETag without quotes."""
    try:
        root: Any = fromstring(body, forbid_dtd=True)
    except (ParseError, DefusedXmlException, ValueError):
        raise S3Error("MalformedXML", "The XML you provided was not well-formed") from None
    parts: list[tuple[int, str]] = []
    for element in root:
        if element.tag.rpartition("}")[2] != "Part":
            continue
        values = {child.tag.rpartition("}")[2]: (child.text or "").strip() for child in element}
        number, etag = values.get("PartNumber", ""), values.get("ETag", "").strip('"')
        if not _digits(number) or not 1 <= int(number) <= PARTS_MOST or not etag:
            raise S3Error("MalformedXML", "A Part needs a PartNumber and an ETag")
        parts.append((int(number), etag))
    if root.tag.rpartition("}")[2] != "CompleteMultipartUpload" or not parts:
        raise S3Error("MalformedXML", "The document names no parts")
    if any(later[0] <= earlier[0] for earlier, later in zip(parts, parts[1:], strict=False)):
        raise S3Error("InvalidPartOrder", "The list of parts was not in ascending order")
    return parts
