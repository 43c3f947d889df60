"""Stand-ins of a platform: storage nodes and discovery, and the logs of what happens to them.

All that happens is logged as it happens: clients.log, nodes.log and platform.log, one JSON object a line. The
checkers read these files and nothing else; their event names ("told": answered, "crossed": closed on) stay.
"""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any, Literal

from harriertide.engine.clock import sleep_until
from harriertide.lab.rigs.fault_script import HOST

SERVICE_S = 0.008  # of each request
STORE_SERVICE_S = 0.06  # more, of each request of the class "store"
LONG_BYTES = 4 << 20  # of a long response
BODY_PART_BYTES = 65_536
KEEPALIVE_S = 1.0  # between empty lines on a watch

# hang: requests are read and never answered. reset: the connection is reset under its request. close: it is
# closed behind each answer. forget: a request on a connection that was used before is reset unread.
NodeFault = Literal["", "hang", "reset", "close", "forget"]


class RigLogs:
    """The log files of a run."""

    def __init__(self, folder: Path) -> None:
        self._files: dict[str, IO[str]] = {}
        for name in ("clients", "nodes", "platform"):
            self._files[name] = (folder / f"{name}.log").open("w", encoding="utf-8")
        self._begun_s = asyncio.get_running_loop().time()

    def write(self, name: str, event: str, /, **row: Any) -> None:
        """Write an event to a log, with its time.

        :param name: "clients", "nodes" or "platform"
        :param row: further keys of the JSON object
        """
        row = {"at_s": round(asyncio.get_running_loop().time() - self._begun_s, 6), "event": event, **row}
        self._files[name].write(json.dumps(row) + "\n")

    def close(self) -> None:
        """Close all files."""
        for file in self._files.values():
            file.close()


@dataclass
class Node:
    """A storage node with one shard."""

    name: str
    shard: int
    logs: RigLogs
    started_us: int = 0
    health: str = "up"
    fault: NodeFault = ""
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)

    def entry(self) -> dict[str, Any]:
        """Its row of discovery's endpoint list."""
        assert self.server is not None
        port = self.server.sockets[0].getsockname()[1]
        return {
            "host": self.name, "dial": f"{HOST}:{port}", "block": self.shard, "health": self.health,
            "born_ms": self.started_us // 1000,
        }  # fmt: skip

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            is_used = False
            while not (is_used and self.fault == "close"):
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                start, *rows = head.split("\r\n")[:-2]
                fields = dict(row.lower().split(": ", 1) for row in rows)
                fields[":target"] = start.split()[1]
                await reader.readexactly(int(fields.get("content-length", 0)))
                if is_used and self.fault == "forget":
                    break
                if not await self._answer(fields, reader, writer):
                    break
                is_used = True
            else:  # aborting would cut off what waits in the buffer
                writer.close()
                await writer.wait_closed()
        writer.transport.abort()

    async def _answer(
        self, fields: dict[str, str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; False where its connection has to end without an answer."""
        request, extent = fields["x-call-id"], fields["x-extent"]
        units = float(extent.partition("units=")[2].partition(",")[0])
        row = {"request": request, "node": self.name}
        plan = fields["x-storage-class"]
        is_store = fields.get("x-call-class") == "store"
        key = fields[":target"].partition("key=")[2] if is_store else ""
        self.logs.write("nodes", "came", **row, units=units, plan=plan, health=self.health, key=key)
        if self.fault == "hang":
            with suppress(ConnectionError):
                await reader.read()  # until the broker gives the attempt up
        await sleep_until(asyncio.get_running_loop().time() + SERVICE_S)
        if is_store:
            await self._run_unless_left(reader)
        if self.fault in ("hang", "reset") or reader.at_eof():
            self.logs.write("nodes", "left", **row)
            return False
        self.logs.write("nodes", "answered", **row)
        size = LONG_BYTES if "x-long" in fields else 2
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(max(1, size // BODY_PART_BYTES)):
            writer.write(b"k" * min(size, BODY_PART_BYTES))
            await writer.drain()
        return True

    async def _run_unless_left(self, reader: asyncio.StreamReader) -> None:
        """Run a store, until the broker ends its connection: it has given the attempt up then."""
        with suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(STORE_SERVICE_S):
                await reader.read(1)


class StandInDiscovery:
    """Pushes the endpoint list; while it is dark it closes all connections."""

    def __init__(self, nodes: list[Node], logs: RigLogs) -> None:
        self._nodes = nodes
        self._logs = logs
        self._seq = 1
        self._watches: set[asyncio.StreamWriter] = set()
        self.dark = False

    async def start(self) -> None:
        """Start to listen."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def full_list(self) -> dict[str, Any]:
        """The complete endpoint list as it is now."""
        return {"seq": self._seq, "whole": True, "hosts": [node.entry() for node in self._nodes]}

    def notify(self) -> None:
        """Log the states of all nodes, and push the list to all watches."""
        self._seq += 1
        if self._watches:
            self._log_list()
        for watch in list(self._watches):
            self._send_list(watch)

    def _log_list(self) -> None:
        """The states of all nodes, which a broker is told now."""
        for node in self._nodes:
            row = {"node": node.name, "health": node.health, "started_us": node.started_us}
            self._logs.write("platform", "listed", **row)

    def set_dark(self, dark: bool) -> None:
        """Make discovery unreachable, or reachable again."""
        self.dark = dark
        for watch in list(self._watches) if dark else ():
            watch.transport.abort()

    def _send_list(self, watch: asyncio.StreamWriter) -> None:
        self._write_chunk(watch, json.dumps(self.full_list()).encode() + b"\n")

    @staticmethod
    def _write_chunk(watch: asyncio.StreamWriter, data: bytes) -> None:
        if not watch.is_closing():
            watch.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            if not self.dark:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._watches.add(writer)
                self._log_list()
                self._send_list(writer)
                while not writer.is_closing():
                    await sleep_until(asyncio.get_running_loop().time() + KEEPALIVE_S)
                    self._write_chunk(writer, b"\n")
        self._watches.discard(writer)
        writer.transport.abort()
