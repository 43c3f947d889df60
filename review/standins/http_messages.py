"""Reading of HTTP/1.1 messages, as far as the stand-ins need it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

PIECE_BYTES = 16 * 1024


@dataclass(slots=True)
class Message:
    """A request or a response; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Of a response."""
        return int(self.start.split()[1])

    @property
    def target(self) -> str:
        """Of a request."""
        return self.start.split()[1]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a start line and the header fields.

    :raises asyncio.IncompleteReadError: the connection ended before that
    """
    head = await reader.readuntil(b"\r\n\r\n")
    start, *rows = head.decode("latin-1").strip().split("\r\n")
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str], pause_s: float = 0.0) -> bytes:
    """Read a body by its length, by its chunks, or none.

    :param pause_s: behind each piece of a body with a length; 0: it is read as it comes
    :raises asyncio.IncompleteReadError: the connection ended before that
    """
    if "chunked" not in headers.get("transfer-encoding", ""):
        missing = int(headers.get("content-length", "0"))
        parts = []
        while missing:
            parts.append(await reader.readexactly(min(missing, PIECE_BYTES) if pause_s else missing))
            missing -= len(parts[-1])
            await asyncio.sleep(pause_s)
        return b"".join(parts)
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


async def read_message(reader: asyncio.StreamReader, pause_s: float = 0.0) -> Message:
    """Read a whole message."""
    start, headers = await read_head(reader)
    return Message(start, headers, await read_body(reader, headers, pause_s))
