"""A stand-in disk node: it runs a request when its last byte has arrived, and answers as its handler says."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from review.standins.http_messages import Message, read_message
from review.standins.record import Record

Handler = Callable[["Node", Message, asyncio.StreamWriter], Awaitable[None]]


def whole_answer(body: bytes, status: str = "200 OK", fields: str = "") -> bytes:
    """An answer with a length."""
    return f"HTTP/1.1 {status}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Node:
    """One disk node, which holds one shard.

    :param handler: runs a request and writes its answer
    :param read_pause_s: between two pieces of a body that it reads; 0: it reads as fast as it can
    """

    def __init__(
        self, name: str, shard: int, record: Record, handler: Handler, read_pause_s: float = 0.0
    ) -> None:
        self.name = name
        self.shard = shard
        self.health = "up"
        self.born_ms = 0
        self.address = ""
        self.record = record
        self._handler = handler
        self._read_pause_s = read_pause_s
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of a loopback address."""
        limit = 1 << 16 if self._read_pause_s else 1 << 22
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=limit)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def entry(self) -> dict[str, object]:
        """Its row in the list of discovery."""
        return {
            "host": self.name, "dial": self.address, "site": "a", "class": "m2", "block": self.shard,
            "health": self.health, "share": 1.0, "born_ms": self.born_ms,
        }  # fmt: skip

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                message = await read_message(reader, self._read_pause_s)
                call = message.headers.get("x-call-id", "-")
                self.record.write("node-arrived", node=self.name, id=call, start=message.start.split()[0])
                await self._handler(self, message, writer)
                await writer.drain()
        writer.close()

    def close(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.close()
