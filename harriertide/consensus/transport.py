"""Message transport between Raft members over TCP, with bounded frame sizes and queues.

A frame holds a length, a checksum and one message. Each member connects to every other member, sends only on
the connections that it opened, and receives only on those that it accepted. A frame that is too long or has a
wrong checksum or an invalid message is counted and closes its connection. When the queue of a member is full,
its oldest frames are dropped: Raft retransmits what it needs, and a slow member does not delay the others.
"""

from __future__ import annotations

import asyncio
import struct
from collections import Counter, deque
from collections.abc import Callable
from contextlib import suppress

import xxhash

from harriertide.engine.clock import sleep_until

_FRAME_HEADER = struct.Struct("<II")
# Limit of one payload: four batches of entries, or sixteen chunks of a snapshot.
MAX_FRAME_BYTES = 1024 * 1024
# Queue limit for one member: two frames of the maximum size.
MAX_QUEUED_BYTES = 2 * 1024 * 1024
# Limit of the write buffer of one connection; further frames wait in the queue, where they can be dropped.
WRITE_BUFFER_BYTES = 256 * 1024
# Limit of accepted connections: five times the largest fleet, so that only foreign clients can reach it.
MAX_CONNECTION_COUNT = 1024
CONNECT_TIMEOUT_S = 1.0
# The backoff between connection attempts doubles from the first of these values to the second.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class IncomingConnection(asyncio.Protocol):
    """An accepted connection; splits the received bytes into frames.

    :param on_frame: handles a payload and returns whether it was a valid message
    """

    def __init__(self, transport: Transport, on_frame: Callable[[bytes], bool]) -> None:
        self._owner = transport
        self._on_frame = on_frame
        self._received = bytearray()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or abort it when the limit of connections is reached."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if len(self._owner.connections) >= MAX_CONNECTION_COUNT:
            self._owner.counts["too_many"] += 1
            transport.abort()
            return
        self._owner.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Handle all frames that have been received completely."""
        self._received += data
        while len(self._received) >= _FRAME_HEADER.size:
            size, checksum = _FRAME_HEADER.unpack_from(self._received)
            end = _FRAME_HEADER.size + size
            if size > MAX_FRAME_BYTES:
                self._reject("too_long")
                return
            if len(self._received) < end:
                return
            payload = bytes(self._received[_FRAME_HEADER.size : end])
            del self._received[:end]
            if xxhash.xxh32_intdigest(payload) != checksum:
                self._reject("wrong_checksum")
                return
            if not self._on_frame(payload):
                self._reject("no_message")
                return

    def _reject(self, counter: str) -> None:
        """Close the connection, because the start of the next frame is unknown."""
        self._owner.counts[counter] += 1
        self._received.clear()
        self.close()

    def close(self) -> None:
        """Abort the connection without sending buffered data."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and count a partially received frame."""
        if self._received:
            self._owner.counts["half"] += 1
        self._owner.connections.discard(self)


class PeerSender:
    """Sends frames to one member: a bounded queue, and a task that connects when frames are queued."""

    def __init__(self, address: tuple[str, int], counts: Counter[str]) -> None:
        self.address = address
        self._counts = counts
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._has_frames = asyncio.Event()
        # Set while the task has nothing to write; `send` may then write to the connection directly.
        self._idle_connection: asyncio.WriteTransport | None = None
        self._task = asyncio.get_running_loop().create_task(self._run())

    @property
    def queued_bytes(self) -> int:
        """Size of the queued frames that are not yet written to a connection."""
        return self._queued_bytes

    @property
    def is_connected(self) -> bool:
        """Whether a connection is open and has written its whole queue at least once."""
        return self._idle_connection is not None

    @property
    def buffered_bytes(self) -> int:
        """Bytes in the write buffer of the connection; 0 without a connection."""
        return self._idle_connection.get_write_buffer_size() if self._idle_connection is not None else 0

    def send(self, payload: bytes) -> None:
        """Write a frame directly if the connection has room; otherwise queue it, where it may be dropped."""
        frame = _FRAME_HEADER.pack(len(payload), xxhash.xxh32_intdigest(payload)) + payload
        connection = self._idle_connection
        if connection is not None and self._can_write_now(connection):
            self._write(connection, frame)  # avoids waking the task, which each commit would do four times
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
        """Connect when a frame is queued; retry a failed connection after a backoff."""
        backoff_s = MIN_BACKOFF_S
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
            backoff_s = MIN_BACKOFF_S
            try:
                await self._send_queue(reader, writer)
            except OSError:
                self._counts["broken"] += 1
            finally:
                self._idle_connection = None
                writer.transport.abort()

    def _drop_queue(self) -> None:
        """Discard the queue of an unreachable member: stale frames are of no use to it later."""
        self._counts["unreached"] += 1
        self._queue.clear()
        self._queued_bytes = 0
        self._has_frames.clear()

    def _write(self, connection: asyncio.WriteTransport, frame: bytes) -> None:
        self._counts["bytes_out"] += len(frame)
        self._counts["frames_out"] += 1
        connection.write(frame)

    async def _send_queue(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send until the peer closes the connection; it sends no data, so any read result means a close."""
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
        """Cancel the sending task."""
        self._task.cancel()

    async def close(self) -> None:
        """Cancel the sending task and wait until it has ended."""
        self.stop()
        with suppress(asyncio.CancelledError):
            await self._task


class Transport:
    """All connections of one member.

    :param on_frame: handles a received payload and returns whether it was a valid message
    """

    def __init__(self, on_frame: Callable[[bytes], bool]) -> None:
        self.counts: Counter[str] = Counter()
        self.connections: set[IncomingConnection] = set()
        self.peer_senders: dict[str, PeerSender] = {}
        self._on_frame = on_frame
        self._server: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> int:
        """Accept connections from other members at this address.

        :returns: the port, which the system chooses if the address has port 0
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: IncomingConnection(self, self._receive_frame), *address
        )
        return int(self._server.sockets[0].getsockname()[1])

    def _receive_frame(self, payload: bytes) -> bool:
        self.counts["frames_in"] += 1
        self.counts["bytes_in"] += len(payload)
        return self._on_frame(payload)

    def send(self, name: str, address: tuple[str, int], payload: bytes) -> None:
        """Send a frame to the named member at its address from the deploy file."""
        if len(payload) > MAX_FRAME_BYTES:
            self.counts["unsent"] += 1
            return
        peer_sender = self.peer_senders.get(name)
        if peer_sender is None or peer_sender.address != address:
            if peer_sender is not None:
                peer_sender.stop()
            peer_sender = self.peer_senders[name] = PeerSender(address, self.counts)
        peer_sender.send(payload)

    async def close(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()
        for peer_sender in self.peer_senders.values():
            await peer_sender.close()
