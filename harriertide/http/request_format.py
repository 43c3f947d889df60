"""Encoding of requests to storage nodes; received header fields are passed on unchanged."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping, Sequence

Body = bytes | AsyncIterator[bytes]
HeaderRow = tuple[bytes, bytes]
Headers = Mapping[str, str] | Sequence[HeaderRow]

DEFAULT_HOST = (b"Host", b"service.internal")  # HTTP/1.1 requires a Host field; nodes ignore its value


def header_rows(headers: Headers) -> list[HeaderRow]:
    """Return header fields as bytes. Rows of a forwarded request stay as they were received."""
    if not isinstance(headers, Mapping):
        return list(headers)
    return [(name.encode(), value.encode("utf-8", "surrogateescape")) for name, value in headers.items()]


def encode_request_head(method: str, target: str, rows: list[HeaderRow]) -> bytes:
    """Encode the head of a request, with a default Host field if there is none."""
    if not any(name.lower() == b"host" for name, _ in rows):
        rows = [DEFAULT_HOST, *rows]
    request_line = f"{method} {target} HTTP/1.1\r\n".encode("utf-8", "surrogateescape")
    return request_line + b"".join(b"%b: %b\r\n" % row for row in rows) + b"\r\n"
