"""Header fields of a platform request: those that decisions depend on, and those to forward to the node.

The protocol's field names are mapped to the decision module's terms in this module only.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import isfinite

from harriertide.decide import api
from harriertide.decide.settings import Names
from harriertide.http.errors import RefusedRequestError

# The client's time budget starts when the client sends the request, which the broker reads slightly later.
# The deadline of the decision module, which adds no margin of its own, is therefore earlier by this much.
DEADLINE_MARGIN_US = 3_000
MAX_REQUEST_ID_CHARS = 200
MAX_INTEGER_DIGITS = 12  # far above any valid value; bounds the cost of parsing a hostile field

_METHODS = ("GET", "PUT")
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
_HEX_ID_CHARS = 16  # length of volume and key IDs

# Fields that the broker or the node makes decisions on. If such a field occurred twice, the two could use
# different values: the node one idempotency key, for example, and the broker the other.
_SINGLE_VALUE_FIELDS = frozenset(
    (
        b"x-call-id", b"x-call-class", b"x-storage-class", b"x-budget-ms", b"x-extent", b"x-again",
        b"content-length", b"transfer-encoding", b"content-type", b"host", b"expect", b"idempotency-key",
    )
)  # fmt: skip
# Fields that apply to one connection only (RFC 9110, 7.6.1) or that the broker rewrites for the node.
_HOP_BY_HOP_FIELDS = frozenset(
    (
        b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate", b"proxy-authorization",
        b"te", b"trailer", b"transfer-encoding", b"upgrade", b"expect", b"content-length", b"x-budget-ms",
    )
)  # fmt: skip

# Fields that describe the body begin with this. They are never the connection's (RFC 9110, 7.6.1): without
# them, a node would take coded bytes for plain ones, or a part for the whole.
_CONTENT_FIELD_PREFIX = b"content-"

HeaderFields = dict[bytes, bytes]  # values by lower-case name
RawHeaders = Sequence[tuple[bytes, bytes]]  # names and values as received


class MalformedRequestError(RefusedRequestError):
    """The request violates the protocol. The message describes the violation and is sent with status 400."""


def read_fields(raw_headers: Iterable[tuple[bytes, bytes]]) -> HeaderFields:
    """Index the header fields of a request by name.

    :raises MalformedRequestError: a field that decisions depend on occurs twice, or the request has both a
        Content-Length and a Transfer-Encoding
    """
    fields: HeaderFields = {}
    for name, value in raw_headers:
        name = name.lower()
        if name in fields and name in _SINGLE_VALUE_FIELDS:
            raise MalformedRequestError(f"{name.decode('latin-1')} is there twice")
        fields[name] = value
    if b"transfer-encoding" in fields and b"content-length" in fields:
        # prevents request smuggling: the node might parse a part of the body as another request
        raise MalformedRequestError("content-length and transfer-encoding exclude each other")
    return fields


def forwarded_headers(raw_headers: RawHeaders) -> list[tuple[bytes, bytes]]:
    """Return the header fields to forward to a node: all received fields, unchanged, but hop-by-hop ones.

    Unknown fields are forwarded because a node may act on any field. Fields that the Connection header names
    are not forwarded (RFC 9110, 7.6.1), except those that decisions depend on or that describe the body.
    """
    hop_by_hop_fields = _HOP_BY_HOP_FIELDS | _named_by_connection(raw_headers)
    return [(name, value) for name, value in raw_headers if name.lower() not in hop_by_hop_fields]


def _named_by_connection(raw_headers: RawHeaders) -> set[bytes]:
    """Return the fields that the Connection header makes hop-by-hop."""
    options = b",".join(value for name, value in raw_headers if name.lower() == b"connection").split(b",")
    names = {option.strip().lower() for option in options} - _SINGLE_VALUE_FIELDS
    return {name for name in names if not name.startswith(_CONTENT_FIELD_PREFIX)}


def read_arrival(
    method: str,
    target: str,
    fields: HeaderFields,
    arrived_at_us: int,
    names: Names,
    settings: api.Settings,
    streams_body: bool = False,
) -> api.Arrival:
    """Parse a request head into the arrival event of the decision module.

    :param fields: the result of `read_fields`
    :param arrived_at_us: the time from which on the client waits, in Unix microseconds
    :param names: names of classes and plans
    :param streams_body: whether the body is still being received. The deadline is then the client's alone: a
        class's deadline counts from the last byte of the body and applies only once the body is complete.
    :raises MalformedRequestError: a field is missing or has an invalid value
    """
    if method not in _METHODS:
        raise MalformedRequestError("the method must be GET or PUT")
    request_id = _read_text(fields, b"x-call-id")
    if not request_id or len(request_id) > MAX_REQUEST_ID_CHARS:
        raise MalformedRequestError("X-Call-Id is missing or too long")
    request_class = names.classes.get(_read_text(fields, b"x-call-class"))
    plan = names.plans.get(_read_text(fields, b"x-storage-class"))
    if request_class is None:
        raise MalformedRequestError("X-Call-Class is missing or unknown")
    if plan is None:
        raise MalformedRequestError("X-Storage-Class is missing or unknown")
    budget_us = 1000 * _parse_integer(_read_text(fields, b"x-budget-ms"), "X-Budget-Ms", minimum=1)
    extent = _parse_extent(_read_text(fields, b"x-extent"))
    key = _read_key(target)
    wait_us = budget_us if streams_body else min(budget_us, settings.classes[request_class].deadline_us)
    return api.Arrival(
        request_id=request_id,
        request_class=request_class,
        plan=plan,
        volume=_parse_hex_id(extent.get("volume", ""), "X-Extent: volume"),
        shard=_parse_integer(extent.get("shard", ""), "X-Extent: shard", minimum=-1),
        deadline_at_us=arrived_at_us + wait_us - DEADLINE_MARGIN_US,
        units=_parse_number(extent.get("units", ""), "X-Extent: units", maximum=settings.max_request_units),
        key=_parse_hex_id(key, "key") if key is not None else "",
        sharing_broker_count=_parse_integer(extent.get("hosts", "1"), "X-Extent: hosts", minimum=1),
        is_retry=fields.get(b"x-again") == b"1",
        streams_body=streams_body,
    )


def _read_text(fields: HeaderFields, name: bytes) -> str:
    return fields.get(name, b"").decode("utf-8", "surrogateescape")


def _read_key(target: str) -> str | None:
    """Return the key in the query of a request target, or None if the query has no key."""
    query = target.partition("?")[2].partition("#")[0]
    keys = [part[len("key=") :] for part in query.split("&") if part.startswith("key=")]
    if len(keys) > 1:
        raise MalformedRequestError("key is there twice")
    return keys[0] if keys else None


def _parse_hex_id(text: str, field: str) -> str:
    if len(text) != _HEX_ID_CHARS or not _HEX_DIGITS.issuperset(text):
        raise MalformedRequestError(f"{field} must be 16 hex digits")
    return text


def _parse_integer(text: str, field: str, minimum: int) -> int:
    digits = text[1:] if text[:1] == "-" else text
    is_integer = digits.isascii() and digits.isdigit() and len(digits) <= MAX_INTEGER_DIGITS
    if not is_integer or int(text) < minimum:
        raise MalformedRequestError(f"{field} must be a whole number of at least {minimum}")
    return int(text)


def _parse_number(text: str, field: str, maximum: float) -> float:
    try:
        value = float(text) if text.isascii() and "_" not in text else 0.0
    except ValueError:
        value = 0.0
    if not isfinite(value) or not 0 < value <= maximum:
        raise MalformedRequestError(f"{field} must be a number above 0 and up to {maximum:g}")
    return value


def _parse_extent(text: str) -> dict[str, str]:
    """Parse the parts of an X-Extent field into values by name."""
    extent: dict[str, str] = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name in extent:
            raise MalformedRequestError(f"X-Extent: {name} is there twice")
        extent[name] = value
    return extent
