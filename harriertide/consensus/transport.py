"""Frames between members over TCP: a length, a checksum, one message. Bounded in size and memory; it
decides nothing.

Each member dials each other one and sends on that connection; what it hears comes on connections that
others made. A frame that is too long, or whose checksum or message is wrong, ends its connection and is
counted. What can't be sent in time is dropped, oldest first: the protocol repeats what it needs, and a slow
member costs the others nothing.
"""

from __future__ import annotations

import asyncio
import struct
from collections import Counter, deque
from collections.abc import Callable
from contextlib import suppress

import xxhash

from harriertide.engine.clock import until

_HEAD = struct.Struct("<II")
FRAME_BYTES = 1024 * 1024
HELD_BYTES = 2 * 1024 * 1024  # to one member
HIGH_BYTES = 256 * 1024  # in the system's hands, before more is held here
CONNECT_S, AGAIN_S, MOST_AGAIN_S = 1.0, 0.05, 1.0
LINES = 1024  # connections that others made


class Line(asyncio.Protocol):
    """A connection that another member made: bytes to frames."""

    def __init__(self, transport: Transport) -> None:
        self._owner = transport
        self._held = bytearray()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if len(self._owner.lines) >= LINES:
            self._owner.counts["too_many"] += 1
            transport.abort()
            return
        self._owner.lines.add(self)

    def data_received(self, data: bytes) -> None:
        self._held += data
        while len(self._held) >= _HEAD.size:
            size, check = _HEAD.unpack_from(self._held)
            if size > FRAME_BYTES:
                self.junk("too_long")
                return
            if len(self._held) < _HEAD.size + size:
                return
            payload = bytes(self._held[_HEAD.size : _HEAD.size + size])
            del self._held[: _HEAD.size + size]
            if xxhash.xxh32_intdigest(payload) != check:
                self.junk("wrong_checksum")
                return
            if not self._owner.hear(payload):
                self.junk("no_message")
                return

    def junk(self, what: str) -> None:
        """End it: nothing that comes later can be trusted to begin where a frame begins."""
        self._owner.counts[what] += 1
        self._held.clear()
        self.close()

    def close(self) -> None:
        """End it."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._held:
            self._owner.counts["half"] += 1
        self._owner.lines.discard(self)


class Way:
    """To one member: a queue within bounds, and a task that keeps a connection up while there is something
    to say."""

    def __init__(self, transport: Transport, name: str, address: tuple[str, int]) -> None:
        self._owner, self.name, self.address = transport, name, address
        self._queue: deque[bytes] = deque()
        self._bytes = 0
        self._more = asyncio.Event()
        self._free: asyncio.WriteTransport | None = None  # what may be written to beside the task
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, payload: bytes) -> None:
        """At once where the connection is up and takes it; else later, or never."""
        data = _HEAD.pack(len(payload), xxhash.xxh32_intdigest(payload)) + payload
        free = self._free
        idle = free is not None and not self._queue and not free.is_closing()
        if free is not None and idle and free.get_write_buffer_size() < HIGH_BYTES:
            self._put(free, data)  # no task has to wake for it: an agreement passes here four times
            return
        self._queue.append(data)
        self._bytes += len(data)
        while self._bytes > HELD_BYTES:
            self._bytes -= len(self._queue.popleft())
            self._owner.counts["dropped"] += 1
        self._more.set()

    async def _run(self) -> None:
        loop, pause_s = asyncio.get_running_loop(), AGAIN_S
        while True:
            await self._more.wait()
            try:
                async with asyncio.timeout(CONNECT_S):
                    reader, writer = await asyncio.open_connection(*self.address)
            except (OSError, TimeoutError):
                self._owner.counts["unreached"] += 1
                self._queue.clear()
                self._bytes = 0
                self._more.clear()
                await until(loop.time() + pause_s)
                pause_s = min(MOST_AGAIN_S, 2 * pause_s)
                continue
            pause_s = AGAIN_S
            try:
                await self._write(reader, writer)
            except OSError:
                self._owner.counts["broken"] += 1
            finally:
                self._free = None
                writer.transport.abort()

    def _put(self, transport: asyncio.WriteTransport, data: bytes) -> None:
        self._owner.counts["bytes_out"] += len(data)
        self._owner.counts["frames_out"] += 1
        transport.write(data)

    async def _write(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Until the other end is gone: it never says anything, so whatever can be read is its end."""
        writer.transport.set_write_buffer_limits(high=HIGH_BYTES)
        gone = asyncio.ensure_future(reader.read(1))
        more = asyncio.ensure_future(self._more.wait())
        try:
            while not gone.done():
                while self._queue:
                    data = self._queue.popleft()
                    self._bytes -= len(data)
                    self._put(writer.transport, data)
                    await writer.drain()
                self._more.clear()
                self._free = writer.transport
                if more.done():
                    more = asyncio.ensure_future(self._more.wait())
                await asyncio.wait((gone, more), return_when=asyncio.FIRST_COMPLETED)
        finally:
            gone.cancel()
            more.cancel()
            await asyncio.gather(gone, more, return_exceptions=True)

    def stop(self) -> None:
        """Say no more."""
        self._task.cancel()

    async def close(self) -> None:
        """Say no more, and wait for the end of it."""
        self.stop()
        with suppress(asyncio.CancelledError):
            await self._task


class Transport:
    """All ways of one member. take: a payload that came; whether it was a message."""

    def __init__(self, take: Callable[[bytes], bool]) -> None:
        self.counts: Counter[str] = Counter()
        self.lines: set[Line] = set()
        self._take = take
        self._ways: dict[str, Way] = {}
        self._server: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> int:
        """Hear others here; the port, where the system chose it."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Line(self), *address)
        return int(self._server.sockets[0].getsockname()[1])

    def hear(self, payload: bytes) -> bool:
        """One frame."""
        self.counts["frames_in"] += 1
        self.counts["bytes_in"] += len(payload)
        return self._take(payload)

    def send(self, name: str, address: tuple[str, int], payload: bytes) -> None:
        """To a member by its name, at the address of the file."""
        if len(payload) > FRAME_BYTES:
            self.counts["unsent"] += 1
            return
        way = self._ways.get(name)
        if way is None or way.address != address:
            if way is not None:
                way.stop()
            way = self._ways[name] = Way(self, name, address)
        way.send(payload)

    async def close(self) -> None:
        """Let go of all."""
        if self._server is not None:
            self._server.close()
        for line in list(self.lines):
            line.close()
        for way in self._ways.values():
            await way.close()
