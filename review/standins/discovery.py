"""A stand-in discovery: the whole list, and watches that tell each change."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from contextlib import suppress

from review.standins.http_messages import read_head
from review.standins.nodes import Node

KEEP_ALIVE_S = 2.0


class Discovery:
    """Serves the list of the given nodes; `tell` sends one change to all watches."""

    def __init__(self, nodes: Sequence[Node]) -> None:
        self.version = 1
        self.address = ""
        self._nodes = list(nodes)
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of a loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def page(self) -> dict[str, object]:
        """The whole list."""
        return {"seq": self.version, "whole": True, "hosts": [node.entry() for node in self._nodes]}

    def tell(self, node: Node) -> None:
        """Tell all watches of a change of one node."""
        self.version += 1
        page = {"seq": self.version, "whole": False, "hosts": [node.entry()]}
        for writer in self._watches:
            _write_line(writer, json.dumps(page).encode())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                start, _ = await read_head(reader)
                if "watch=1" in start:
                    await self._watch(writer)
                body = json.dumps(self.page()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        writer.close()

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        _write_line(writer, json.dumps(self.page()).encode())
        self._watches.add(writer)
        try:
            while True:
                await asyncio.sleep(KEEP_ALIVE_S)
                _write_line(writer, b"")
                await writer.drain()
        finally:
            self._watches.discard(writer)

    def close(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.close()


def _write_line(writer: asyncio.StreamWriter, line: bytes) -> None:
    writer.write(b"%x\r\n%b\r\n" % (len(line) + 1, line + b"\n"))
