"""The bytes of requests to storage nodes: a request line and header fields, as the bytes that came."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping, Sequence

Body = bytes | AsyncIterator[bytes]
HeaderRow = tuple[bytes, bytes]
Headers = Mapping[str, str] | Sequence[HeaderRow]

DEFAULT_HOST = (b"Host", b"service.internal")  # HTTP/1.1 demands one; nodes do not go by it


def header_rows(headers: Headers) -> list[HeaderRow]:
    """Header fields as bytes: those of a request that is forwarded stay the ones that came."""
    if not isinstance(headers, Mapping):
        return list(headers)
    return [(name.encode(), value.encode("utf-8", "surrogateescape")) for name, value in headers.items()]


def encode_request_head(method: str, target: str, rows: list[HeaderRow]) -> bytes:
    """The head of a request, with a Host field where there is none."""
    if not any(name.lower() == b"host" for name, _ in rows):
        rows = [DEFAULT_HOST, *rows]
    request_line = f"{method} {target} HTTP/1.1\r\n".encode("utf-8", "surrogateescape")
    return request_line + b"".join(b"%b: %b\r\n" % row for row in rows) + b"\r\n"
