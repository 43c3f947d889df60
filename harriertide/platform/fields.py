"""The fields of a platform request that the decisions need, read from the bytes that came."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import isfinite

from harriertide.decide import api
from harriertide.decide.settings import Names

# The client counts from when it sent; the broker reads a little later. Kept to its end for that.
DEADLINE_MARGIN_US = 3_000
_HEX = frozenset("0123456789abcdefABCDEF")
# Fields on which something is decided, here or at the box: with two of one kind, each side might go by
# another of them.
_ONCE = frozenset(
    (
        b"x-call-id", b"x-call-class", b"x-storage-class", b"x-budget-ms", b"x-extent", b"x-again",
        b"content-length", b"transfer-encoding", b"content-type", b"host", b"expect", b"idempotency-key",
    )
)  # fmt: skip
# Of one connection only (RFC 9110, 7.6.1), or written anew by this broker for its own to the box.
_NOT_PASSED = frozenset(
    (
        b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate", b"proxy-authorization",
        b"te", b"trailer", b"transfer-encoding", b"upgrade", b"expect", b"content-length", b"x-budget-ms",
    )
)  # fmt: skip

Fields = dict[bytes, bytes]
Rows = Sequence[tuple[bytes, bytes]]


class MalformedRequestError(Exception):
    """A request that breaks the protocol, in plain words."""


def read_fields(raw: Iterable[tuple[bytes, bytes]]) -> Fields:
    """Header fields by their names in lower case; MalformedRequestError on what must be there once."""
    fields: Fields = {}
    for name, value in raw:
        name = name.lower()
        if name in fields and name in _ONCE:
            raise MalformedRequestError(f"{name.decode('latin-1')} is there twice")
        fields[name] = value
    if b"transfer-encoding" in fields and b"content-length" in fields:
        # guards against a second request hidden in the body, which the box might read as one
        raise MalformedRequestError("content-length and transfer-encoding exclude each other")
    return fields


def forwarded_headers(raw: Rows) -> list[tuple[bytes, bytes]]:
    """The header fields that go on to a box: all that came, as the bytes that came, less those of one hop.

    Guards against a list of fields that happened to be enough: a box may act on any of them. What the field
    Connection names goes no further (RFC 9110, 7.6.1), but one on which something is decided stays.
    """
    said = b",".join(value for name, value in raw if name.lower() == b"connection")
    stopped = _NOT_PASSED | ({name.strip().lower() for name in said.split(b",")} - _ONCE)
    return [(name, value) for name, value in raw if name.lower() not in stopped]


def _text(fields: Fields, name: bytes) -> str:
    return fields.get(name, b"").decode("utf-8", "surrogateescape")


def _hex16(text: str, field: str) -> str:
    if len(text) != 16 or not _HEX.issuperset(text):
        raise MalformedRequestError(f"{field} must be 16 hex digits")
    return text


def _whole(text: str, field: str, least: int) -> int:
    digits = text[1:] if text[:1] == "-" else text
    if not (digits.isascii() and digits.isdigit()) or len(digits) > 12 or int(text) < least:
        raise MalformedRequestError(f"{field} must be a whole number of at least {least}")
    return int(text)


def _number(text: str, field: str, most: float) -> float:
    try:
        value = float(text) if text.isascii() and "_" not in text else 0.0
    except ValueError:
        value = 0.0
    if not isfinite(value) or not 0 < value <= most:
        raise MalformedRequestError(f"{field} must be a number above 0 and up to {most:g}")
    return value


def _extent(text: str) -> dict[str, str]:
    extent: dict[str, str] = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name in extent:
            raise MalformedRequestError(f"X-Extent: {name} is there twice")
        extent[name] = value
    return extent


def read_arrival(
    method: str,
    target: str,
    fields: Fields,
    now_us: int,
    names: Names,
    settings: api.Settings,
    coming: bool = False,
) -> api.Arrival:
    """What the decisions need. A client waits no longer than its class lets it.

    coming: the body is not whole. Then its client waits as it says, as the class counts from the last byte.
    """
    if method not in ("GET", "PUT"):
        raise MalformedRequestError("the method must be GET or PUT")
    request = _text(fields, b"x-call-id")
    if not request or len(request) > 200:
        raise MalformedRequestError("X-Call-Id is missing or too long")
    kind = names.classes.get(_text(fields, b"x-call-class"))
    plan = names.plans.get(_text(fields, b"x-storage-class"))
    if kind is None:
        raise MalformedRequestError("X-Call-Class is missing or unknown")
    if plan is None:
        raise MalformedRequestError("X-Storage-Class is missing or unknown")
    budget_us = 1000 * _whole(_text(fields, b"x-budget-ms"), "X-Budget-Ms", 1)
    extent = _extent(_text(fields, b"x-extent"))
    query = target.partition("?")[2].partition("#")[0]
    keys = [part[4:] for part in query.split("&") if part.startswith("key=")]
    if len(keys) > 1:
        raise MalformedRequestError("key is there twice")
    wait_us = budget_us if coming else min(budget_us, settings.classes[kind].deadline_us)
    return api.Arrival(
        request_id=request,
        request_class=kind,
        plan=plan,
        volume=_hex16(extent.get("volume", ""), "X-Extent: volume"),
        shard=_whole(extent.get("shard", ""), "X-Extent: shard", -1),
        deadline_at_us=now_us + wait_us - DEADLINE_MARGIN_US,
        units=_number(extent.get("units", ""), "X-Extent: units", settings.max_request_units),
        key=_hex16(keys[0], "key") if keys else "",
        sharing_broker_count=_whole(extent.get("hosts", "1"), "X-Extent: hosts", 1),
        is_retry=fields.get(b"x-again") == b"1",
    )
