"""The header fields of a platform request: those that decisions need, and those that go on to the node.

This is the edge where the wire's words are mapped to the decision module's; they occur nowhere else.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import isfinite

from harriertide.decide import api
from harriertide.decide.settings import Names

# The client's budget counts from when it sent; the broker reads the request a little later. The decision
# module goes by a deadline that is so much earlier, and keeps to it to its end.
DEADLINE_MARGIN_US = 3_000
MAX_REQUEST_ID_CHARS = 200
MAX_INTEGER_DIGITS = 12  # far above any budget or shard; keeps the parse of a hostile field cheap

_METHODS = ("GET", "PUT")
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
_HEX_ID_CHARS = 16  # of volumes and keys

# Fields on which something is decided, here or at the node. If one stood there twice, each side might go by
# another of the two: a node that goes by one idempotency key and a broker that counts on the other.
_SINGLE_FIELDS = frozenset(
    (
        b"x-call-id", b"x-call-class", b"x-storage-class", b"x-budget-ms", b"x-extent", b"x-again",
        b"content-length", b"transfer-encoding", b"content-type", b"host", b"expect", b"idempotency-key",
    )
)  # fmt: skip
# Fields of one connection only (RFC 9110, 7.6.1), or written anew by this broker for the node.
_HOP_FIELDS = frozenset(
    (
        b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate", b"proxy-authorization",
        b"te", b"trailer", b"transfer-encoding", b"upgrade", b"expect", b"content-length", b"x-budget-ms",
    )
)  # fmt: skip

HeaderFields = dict[bytes, bytes]  # values by name in lower case
HeaderRows = Sequence[tuple[bytes, bytes]]  # names and values as the bytes that came


class MalformedRequestError(Exception):
    """The client broke the protocol. The message says how, and is sent with status 400."""


def read_fields(rows: Iterable[tuple[bytes, bytes]]) -> HeaderFields:
    """Index the header fields of a request by name.

    :raises MalformedRequestError: a field on which something is decided is there twice, or the body has two
        lengths
    """
    fields: HeaderFields = {}
    for name, value in rows:
        name = name.lower()
        if name in fields and name in _SINGLE_FIELDS:
            raise MalformedRequestError(f"{name.decode('latin-1')} is there twice")
        fields[name] = value
    if b"transfer-encoding" in fields and b"content-length" in fields:
        # guards against a second request hidden in the body, which the node might read as one
        raise MalformedRequestError("content-length and transfer-encoding exclude each other")
    return fields


def forwarded_headers(rows: HeaderRows) -> list[tuple[bytes, bytes]]:
    """The header fields that go on to a node: all that came, as the bytes that came, less those of one hop.

    Guards against a list of known fields that happened to be enough: a node may act on any of them. What the
    field Connection names goes no further (RFC 9110, 7.6.1), but one on which something is decided stays.
    """
    named_by_connection = b",".join(value for name, value in rows if name.lower() == b"connection")
    hop_fields = _HOP_FIELDS | (
        {name.strip().lower() for name in named_by_connection.split(b",")} - _SINGLE_FIELDS
    )
    return [(name, value) for name, value in rows if name.lower() not in hop_fields]


def read_arrival(
    method: str,
    target: str,
    fields: HeaderFields,
    now_us: int,
    names: Names,
    settings: api.Settings,
    streams_body: bool = False,
) -> api.Arrival:
    """Read what the decision module needs to know of a request.

    :param fields: as `read_fields` returns them
    :param now_us: when its head was read, in Unix microseconds
    :param names: of classes and plans
    :param streams_body: its body is still on its way. Its deadline is its client's then; a class's deadline
        counts from the last byte of the body, and applies only to requests whose body is complete.
    :raises MalformedRequestError: a field is missing, or holds something else than it should
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
    budget_us = 1000 * _parse_integer(_read_text(fields, b"x-budget-ms"), "X-Budget-Ms", least=1)
    extent = _parse_extent(_read_text(fields, b"x-extent"))
    key = _read_key(target)
    wait_us = budget_us if streams_body else min(budget_us, settings.classes[request_class].deadline_us)
    return api.Arrival(
        request_id=request_id,
        request_class=request_class,
        plan=plan,
        volume=_parse_hex_id(extent.get("volume", ""), "X-Extent: volume"),
        shard=_parse_integer(extent.get("shard", ""), "X-Extent: shard", least=-1),
        deadline_at_us=now_us + wait_us - DEADLINE_MARGIN_US,
        units=_parse_number(extent.get("units", ""), "X-Extent: units", most=settings.max_request_units),
        key=_parse_hex_id(key, "key") if key is not None else "",
        sharing_broker_count=_parse_integer(extent.get("hosts", "1"), "X-Extent: hosts", least=1),
        is_retry=fields.get(b"x-again") == b"1",
    )


def _read_text(fields: HeaderFields, name: bytes) -> str:
    return fields.get(name, b"").decode("utf-8", "surrogateescape")


def _read_key(target: str) -> str | None:
    """The key in the query of a request's target; None where there is none."""
    query = target.partition("?")[2].partition("#")[0]
    keys = [part[len("key=") :] for part in query.split("&") if part.startswith("key=")]
    if len(keys) > 1:
        raise MalformedRequestError("key is there twice")
    return keys[0] if keys else None


def _parse_hex_id(text: str, field: str) -> str:
    if len(text) != _HEX_ID_CHARS or not _HEX_DIGITS.issuperset(text):
        raise MalformedRequestError(f"{field} must be 16 hex digits")
    return text


def _parse_integer(text: str, field: str, least: int) -> int:
    digits = text[1:] if text[:1] == "-" else text
    is_integer = digits.isascii() and digits.isdigit() and len(digits) <= MAX_INTEGER_DIGITS
    if not is_integer or int(text) < least:
        raise MalformedRequestError(f"{field} must be a whole number of at least {least}")
    return int(text)


def _parse_number(text: str, field: str, most: float) -> float:
    try:
        value = float(text) if text.isascii() and "_" not in text else 0.0
    except ValueError:
        value = 0.0
    if not isfinite(value) or not 0 < value <= most:
        raise MalformedRequestError(f"{field} must be a number above 0 and up to {most:g}")
    return value


def _parse_extent(text: str) -> dict[str, str]:
    """The parts of an X-Extent field, by name."""
    extent: dict[str, str] = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name in extent:
            raise MalformedRequestError(f"X-Extent: {name} is there twice")
        extent[name] = value
    return extent
