"""A connection to a storage node: one answer at a time, within bounds.

Built on aiohttp's client protocol and its parser. Its session and connector stand aside: the session keeps
what a node sends beyond its answer and gives it to the next request on the connection, and their pool bounds
only connections at work, not those that lie idle.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from enum import Enum
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import HttpVersion11
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

if TYPE_CHECKING:
    from harriertide.http.node_pool import NodeConnectionPool

HEAD_BYTES = 16 * 1024  # of all heads of one answer, those with 1xx in front included
READ_BYTES = 64 * 1024  # of a body are read ahead of who takes it
CHUNK_BYTES = 32 * 1024  # are read from a connection at a time: each chunk is in memory several times over
MAX_FORWARDED_BYTES = (
    64 * 1024 * 1024
)  # of an answer that is passed on as it comes; the longest are half of that
FORWARD_READ_AHEAD_BYTES = 32 * 1024  # of such an answer are read ahead
FORWARD_BUFFER_BYTES = (
    4 * FORWARD_READ_AHEAD_BYTES
)  # and in memory at most, but for some moments, on both sides of the broker
STALL_S = 0.06
_EOF_LINES = frozenset((204, 304))
END_OF_CHUNKS = b"\r\n\r\n"  # the empty line behind the last chunk, or behind its trailers


def read_in_chunks(transport: asyncio.BaseTransport) -> None:
    """Have the loop read CHUNK_BYTES at a time, where it would read eight times as much."""
    if hasattr(transport, "max_size"):  # of asyncio's transports of sockets
        transport.max_size = CHUNK_BYTES


class Phase(Enum):
    """Where an answer is."""

    NONE = 0  # nothing is asked
    HEAD = 1
    SIZED = 2  # a body whose length was said
    OPEN = 3  # a body whose end has to be found
    WHOLE = 4


class NodeConnection(ResponseHandler):
    """One connection to a storage node. It reads just the bytes that belong to the answer asked for.

    Guards against what nodes in trouble send: heads and bodies without end, lengths that can't be, a second
    message or noise behind a good answer or while the connection lies idle. Whatever is surplus makes the
    connection unfit for another request, and never reaches one.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, address: str, pool: NodeConnectionPool) -> None:
        super().__init__(loop)
        self.address, self._pool = address, pool
        self.idle_since = 0.0
        self.request_id = ""  # that it is at work for
        self.buffered_bytes = 0  # bytes of its answer that count against the pool's bound
        self.has_surplus = self.is_malformed = False
        self._stall: asyncio.TimerHandle | None = None
        self._phase = Phase.NONE
        self._head = b""
        self._heads = self._left = self._most = 0
        self._whole = self._ended = False
        self._held_most = 0
        self._message: RawResponseMessage | None = None
        self._chunked = False
        self._last_bytes = b""  # of a body in chunks, as many as its end has

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Any byte that the system has not taken counts as unsent."""
        super().connection_made(transport)
        assert isinstance(transport, asyncio.WriteTransport)
        transport.set_write_buffer_limits(0)
        read_in_chunks(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Gone, by whoever's doing. Only an orderly end of the node's side ends a body without a length.

        Guards against half an answer that passes for whole: the parser takes a reset for the body's end.
        """
        if self._phase is Phase.OPEN and not self._ended and self._payload is not None:
            if not self._payload.is_eof():
                self._payload.set_exception(aiohttp.ClientConnectionResetError("a reset in the answer"))
            self._phase = Phase.NONE
        super().connection_lost(exc)
        self._watch(False)
        self._pool.remove(self)

    def eof_received(self) -> None:
        """The node has ended its side."""
        self._ended = True
        super().eof_received()

    def send_request(self, data: bytes, most: int | None, relayed: bool = False) -> None:
        """Write a request, or the beginning of one.

        most: bytes that the answer's body may have; None where it will be held as a whole. relayed: its first
        part will be held, and then maybe passed on.
        """
        if self.transport is None:
            raise aiohttp.ClientConnectionResetError("the connection is gone")
        self._phase, self._heads, self._message = Phase.HEAD, 0, None
        self._whole, self._most = (
            most is None or relayed,
            self._pool.max_response_bytes if most is None else most,
        )
        self._held_most = FORWARD_BUFFER_BYTES if relayed else self._most
        ahead = FORWARD_READ_AHEAD_BYTES if relayed else READ_BYTES
        self.set_response_params(read_until_eof=True, auto_decompress=False, read_bufsize=ahead)
        self.transport.write(data)

    def start_forwarding(self) -> None:
        """From here on the answer goes to its client as it comes: it may come slowly."""
        self._whole = False
        self._watch(False)

    async def send_more(self, data: bytes) -> None:
        """Write more of a request, when what was written before is out."""
        await self._drain_helper()
        if self.transport is None:
            raise aiohttp.ClientConnectionResetError("the connection is gone")
        self.transport.write(data)

    async def flush(self) -> None:
        """Until all that was written is out."""
        await self._drain_helper()

    def abort(self) -> None:
        """End it in this very turn.

        asyncio closes the descriptor one turn of the loop later. Whatever is written from here on, on any
        connection, leaves behind the end of this one.
        """
        transport = self.transport
        if transport is not None and (end := transport.get_extra_info("socket")) is not None:
            with suppress(OSError):  # it is gone already
                end.shutdown(socket.SHUT_RDWR)
        super().abort()

    @property
    def is_reusable(self) -> bool:
        """Whether another request may go over it: the last answer came whole, and nothing beside it."""
        return (
            self._phase is Phase.WHOLE
            and not (self.has_surplus or self.should_close or self.writing_paused)
            and self.is_connected()
        )

    def mark_idle(self) -> None:
        """Nothing is asked from now on."""
        self._phase, self._message = Phase.NONE, None

    # --- what comes ----------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Cut out what belongs to the answer."""
        if not data:  # the reader has caught up
            super().data_received(data)
            self._look_for_end()
            return
        self._cut(data)
        if self._whole:
            self._watch(self._phase in (Phase.HEAD, Phase.SIZED, Phase.OPEN))

    def _watch(self, on: bool) -> None:
        """Look out for an answer that stops short.

        Guards against nodes that announce more than they send and keep the connection open: once a part has
        come, the rest follows at once, or never. Answers that are passed on piece by piece are not watched.
        """
        if self._stall is not None:
            self._stall.cancel()
        self._stall = self._loop.call_at(self._loop.time() + STALL_S, self._stalled) if on else None

    def _stalled(self) -> None:
        self._stall = None
        self._spoil("an answer that stopped short")

    def _cut(self, data: bytes) -> None:
        while self._phase is Phase.HEAD and data:
            data = self._take_head(data)
        if not data:
            return
        if self._phase is Phase.SIZED:
            left, self._left = self._left, max(0, self._left - len(data))
            if not self._left:
                self._phase = Phase.WHOLE
            super().data_received(data[:left])
            if len(data) > left:
                self._too_much()
        elif self._phase is Phase.OPEN:
            self._left -= len(data)
            if self._left < 0 or (self._whole and not self._hold(len(data))):
                self._spoil("a body over its bound")
                return
            self._last_bytes = (self._last_bytes + data[-len(END_OF_CHUNKS) :])[-len(END_OF_CHUNKS) :]
            super().data_received(data)
            self._look_for_end()
        else:
            self._too_much()

    def _look_for_end(self) -> None:
        """Whether a body in chunks has come whole, and nothing behind it.

        The parser goes on behind the last chunk: a second head there is another message, noise an error, and
        what is neither yet can't end as the chunks do. With any of these no other request goes over it.
        """
        body = self._payload
        if self._phase is not Phase.OPEN or not self._chunked or body is None or not body.is_eof():
            return
        if self._message is not None or self._last_bytes != END_OF_CHUNKS:
            self.has_surplus = True
        self._phase = Phase.WHOLE

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """A head was read. 1xx in front of the answer are skipped."""
        self._message = data[0]
        if not 100 <= data[0].code < 200:
            super().feed_data(data, size)

    def _take_head(self, data: bytes) -> bytes:
        """One head, if it has come whole; what lies behind it."""
        begun = len(self._head)
        self._head += data
        end = self._head.find(b"\r\n\r\n", max(0, begun - 3)) + 4
        self._heads += (end if end > 3 else len(self._head)) - begun
        if self._heads > HEAD_BYTES:
            self._spoil("a head over its bound")
            return b""
        if end < 4:
            return b""
        head, rest, self._head = self._head[:end], self._head[end:], b""
        super().data_received(head)
        message, self._message = self._message, None
        if self.exception() is not None:
            self._phase, self.is_malformed = Phase.NONE, True
            return b""
        if message is None or message.code == 101:
            self._spoil("no answer in its head")
        elif message.code >= 200:
            self._frame(message)
        return rest

    def _frame(self, message: RawResponseMessage) -> None:
        """How far the body reaches."""
        sizes = message.headers.getall("Content-Length", [])
        if len(sizes) > 1 or (sizes and "Transfer-Encoding" in message.headers):
            self._spoil("two lengths")
        elif sizes:
            self._left = int(sizes[0])
            self._phase = Phase.SIZED if self._left else Phase.WHOLE
            if self._left > self._most or (self._whole and not self._hold(self._left)):
                self._spoil("a body over its bound")
        elif message.code in _EOF_LINES:
            self._phase = Phase.WHOLE
        elif message.chunked or self._says_close(message):
            self._phase, self._left = Phase.OPEN, self._most + HEAD_BYTES
            self._chunked, self._last_bytes = message.chunked, b""
        else:
            self._spoil("a body without a length")

    def _hold(self, size: int) -> bool:
        """Whether there is room in memory for so much more of the answer, as far as it will be held."""
        return self._pool.reserve(self, max(0, min(size, self._held_most - self.buffered_bytes)))

    @staticmethod
    def _says_close(message: RawResponseMessage) -> bool:
        return message.version < HttpVersion11 or "close" in message.headers.get("Connection", "").lower()

    def _too_much(self) -> None:
        """Bytes that belong to no answer. One that is whole stays good."""
        self.has_surplus = True
        if self._phase is Phase.NONE:
            self.abort()

    def _spoil(self, reason: str) -> None:
        """The answer can't be used, nor the connection."""
        fault = aiohttp.ClientPayloadError(reason)
        if self._payload is not None:
            self._payload.set_exception(fault)
        self.set_exception(fault)
        self._phase, self.has_surplus, self.is_malformed = Phase.NONE, True, True
        self.abort()
