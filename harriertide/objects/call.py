"""One call of the S3 interface, as its request line and headers say."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote_to_bytes

from aiohttp import web

from harriertide.objects.errors import S3Error
from harriertide.objects.numbers import is_short_integer

MAX_KEY_BYTES = 1024  # as the interface has it
MAX_QUERY_FIELDS = 32
MAX_BUDGET_DIGITS = 9
_QUERY_FIELDS = frozenset({"uploads", "uploadId", "partNumber", "max-parts", "part-number-marker", "x-id"})


@dataclass(frozen=True, slots=True)
class S3Call:
    """What a request asks for.

    :param id: that its response carries
    :param budget_ms: how long the client waits; None: it does not say
    """

    request: web.BaseRequest
    id: str
    bucket: str
    key: str
    query: dict[str, str]
    budget_ms: int | None


def parse_call(request: web.BaseRequest, call_id: str) -> S3Call:
    """Read bucket, key and query of a path-style target.

    :raises S3Error: it can't be read, or is not part of this interface
    """
    path, _, query_text = request.raw_path.partition("?")
    bucket, _, raw_key = path.removeprefix("/").partition("/")
    try:
        key = unquote_to_bytes(raw_key).decode("utf-8")
        query = dict(
            parse_qsl(query_text, keep_blank_values=True, errors="strict", max_num_fields=MAX_QUERY_FIELDS)
        )
    except ValueError:
        raise S3Error("InvalidURI", "Couldn't parse the specified URI") from None
    if len(key.encode()) > MAX_KEY_BYTES:
        raise S3Error("KeyTooLongError", "Your key is too long")
    unknown = sorted(query.keys() - _QUERY_FIELDS)
    if unknown or not key:
        raise S3Error("NotImplemented", f"Not part of this interface: {', '.join(unknown) or 'bucket calls'}")
    return S3Call(request, call_id, bucket, key, query, _parse_budget(request))


def _parse_budget(request: web.BaseRequest) -> int | None:
    text = request.headers.get("X-Budget-Ms")
    if text is None:
        return None
    if not is_short_integer(text, MAX_BUDGET_DIGITS):
        raise S3Error("InvalidArgument", "X-Budget-Ms must be a whole number")
    return int(text)


def body_length(call: S3Call, max_bytes: int) -> int:
    """The length of the body that a call brings.

    :raises S3Error: it is too long, not stated, or in a form that is not part of this interface
    """
    headers = call.request.headers
    if "x-amz-copy-source" in headers:
        raise S3Error("NotImplemented", "Copies are not part of this interface")
    codings = ",".join(headers.getall("Content-Encoding", ())).lower()
    payload = headers.get("x-amz-content-sha256", "").upper()
    if "aws-chunked" in codings or payload.startswith("STREAMING-"):
        raise S3Error("NotImplemented", "Bodies in signed chunks are not part of this interface")
    size = call.request.content_length
    if size is None:
        raise S3Error("MissingContentLength", "You must provide the Content-Length HTTP header")
    if size > max_bytes:
        raise S3Error("EntityTooLarge", "Your proposed upload exceeds the maximum allowed size")
    return size
