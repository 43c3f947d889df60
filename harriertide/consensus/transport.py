"""Frames between members over TCP: a length, a checksum, one message. Bounded in size and memory; it decides
nothing.

Each member dials each other one and sends on that connection; what it receives comes on connections that
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

from harriertide.engine.clock import sleep_until

_FRAME_HEAD = struct.Struct("<II")
# Of one payload: four batches of entries, or sixteen chunks of a snapshot.
MAX_FRAME_BYTES = 1024 * 1024
# Queued for one member: it may lag by two of the longest frames, and costs no more than that.
MAX_QUEUED_BYTES = 2 * 1024 * 1024
# In the system's hands for one member before more is queued here, where it can still be dropped.
WRITE_BUFFER_BYTES = 256 * 1024
# Of connections that others made: five times the largest fleet, so only strangers can fill it.
MAX_CONNECTION_COUNT = 1024
CONNECT_TIMEOUT_S = 1.0
# Backoff between attempts to connect: it doubles from the first to the last of these.
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class IncomingConnection(asyncio.Protocol):
    """A connection that another member made: bytes to frames.

    :param on_frame: takes a payload; whether it was a message
    """

    def __init__(self, transport: Transport, on_frame: Callable[[bytes], bool]) -> None:
        self._owner = transport
        self._on_frame = on_frame
        self._received = bytearray()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep it, unless there are too many."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if len(self._owner.connections) >= MAX_CONNECTION_COUNT:
            self._owner.counts["too_many"] += 1
            transport.abort()
            return
        self._owner.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Take the frames that are complete by now."""
        self._received += data
        while len(self._received) >= _FRAME_HEAD.size:
            size, checksum = _FRAME_HEAD.unpack_from(self._received)
            end = _FRAME_HEAD.size + size
            if size > MAX_FRAME_BYTES:
                self._reject("too_long")
                return
            if len(self._received) < end:
                return
            payload = bytes(self._received[_FRAME_HEAD.size : end])
            del self._received[:end]
            if xxhash.xxh32_intdigest(payload) != checksum:
                self._reject("wrong_checksum")
                return
            if not self._on_frame(payload):
                self._reject("no_message")
                return

    def _reject(self, counter: str) -> None:
        """Close it: nothing that comes later can be trusted to begin where a frame begins."""
        self._owner.counts[counter] += 1
        self._received.clear()
        self.close()

    def close(self) -> None:
        """Close it at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget it; a frame of which only a part has come is counted."""
        if self._received:
            self._owner.counts["half"] += 1
        self._owner.connections.discard(self)


class Route:
    """To one member: a bounded queue, and a task that keeps a connection up while there is work for it."""

    def __init__(self, address: tuple[str, int], counts: Counter[str]) -> None:
        self.address = address
        self._counts = counts
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._has_frames = asyncio.Event()
        # The connection while its task has nothing to write: then a frame may be written beside the task.
        self._idle_connection: asyncio.WriteTransport | None = None
        self._task = asyncio.get_running_loop().create_task(self._run())

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait here to be written."""
        return self._queued_bytes

    @property
    def is_connected(self) -> bool:
        """Whether a connection is up that has been idle since its start at least once."""
        return self._idle_connection is not None

    @property
    def buffered_bytes(self) -> int:
        """Bytes that were written and are not sent yet; 0 without a connection."""
        return self._idle_connection.get_write_buffer_size() if self._idle_connection is not None else 0

    def send(self, payload: bytes) -> None:
        """Send a frame at once where the connection is up and takes it; else later, or never."""
        frame = _FRAME_HEAD.pack(len(payload), xxhash.xxh32_intdigest(payload)) + payload
        connection = self._idle_connection
        if connection is not None and self._can_write_now(connection):
            self._write(connection, frame)  # no task has to wake for it: a commit passes here four times
            return
        self._queue.append(frame)
        self._queued_bytes += len(frame)
        while self._queued_bytes > MAX_QUEUED_BYTES:
            self._queued_bytes -= len(self._queue.popleft())
            self._counts["dropped"] += 1
        self._has_frames.set()

    def _can_write_now(self, connection: asyncio.WriteTransport) -> bool:
        if self._queue or connection.is_closing():
            return False
        return connection.get_write_buffer_size() < WRITE_BUFFER_BYTES

    async def _run(self) -> None:
        """Connect when there is something to send, and again after a backoff."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            await self._has_frames.wait()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(*self.address)
            except (OSError, TimeoutError):
                self._drop_queue()
                await sleep_until(asyncio.get_running_loop().time() + backoff_s)
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
                continue
            backoff_s = FIRST_BACKOFF_S
            try:
                await self._send_queue(reader, writer)
            except OSError:
                self._counts["broken"] += 1
            finally:
                self._idle_connection = None
                writer.transport.abort()

    def _drop_queue(self) -> None:
        """The member can't be reached: what it missed is of no use to it later."""
        self._counts["unreached"] += 1
        self._queue.clear()
        self._queued_bytes = 0
        self._has_frames.clear()

    def _write(self, connection: asyncio.WriteTransport, frame: bytes) -> None:
        self._counts["bytes_out"] += len(frame)
        self._counts["frames_out"] += 1
        connection.write(frame)

    async def _send_queue(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send until the other end closes: it never sends anything, so whatever can be read is its end."""
        writer.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        closed = asyncio.ensure_future(reader.read(1))
        has_frames = asyncio.ensure_future(self._has_frames.wait())
        try:
            while not closed.done():
                while self._queue:
                    frame = self._queue.popleft()
                    self._queued_bytes -= len(frame)
                    self._write(writer.transport, frame)
                    await writer.drain()
                self._has_frames.clear()
                self._idle_connection = writer.transport
                if has_frames.done():
                    has_frames = asyncio.ensure_future(self._has_frames.wait())
                await asyncio.wait((closed, has_frames), return_when=asyncio.FIRST_COMPLETED)
        finally:
            closed.cancel()
            has_frames.cancel()
            await asyncio.gather(closed, has_frames, return_exceptions=True)

    def stop(self) -> None:
        """Send no more."""
        self._task.cancel()

    async def close(self) -> None:
        """Send no more, and wait until the task has ended."""
        self.stop()
        with suppress(asyncio.CancelledError):
            await self._task


class Transport:
    """All connections of one member.

    :param on_frame: takes a payload that has come; whether it was a message
    """

    def __init__(self, on_frame: Callable[[bytes], bool]) -> None:
        self.counts: Counter[str] = Counter()
        self.connections: set[IncomingConnection] = set()
        self.routes: dict[str, Route] = {}
        self._on_frame = on_frame
        self._server: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> int:
        """Take connections of others here.

        :returns: the port, where the system chose it
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: IncomingConnection(self, self._take_frame), *address)
        return int(self._server.sockets[0].getsockname()[1])

    def _take_frame(self, payload: bytes) -> bool:
        self.counts["frames_in"] += 1
        self.counts["bytes_in"] += len(payload)
        return self._on_frame(payload)

    def send(self, name: str, address: tuple[str, int], payload: bytes) -> None:
        """Send a frame to a member by its name, at the address of the deploy file."""
        if len(payload) > MAX_FRAME_BYTES:
            self.counts["unsent"] += 1
            return
        route = self.routes.get(name)
        if route is None or route.address != address:
            if route is not None:
                route.stop()
            route = self.routes[name] = Route(address, self.counts)
        route.send(payload)

    async def close(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()
        for route in self.routes.values():
            await route.close()
