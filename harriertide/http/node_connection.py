"""A connection to a storage node: one response at a time, within bounds.

It is built on aiohttp's client protocol and parser. aiohttp's session and connector stand aside: the session
keeps what a node sends beyond its response and gives it to the next request on the connection, and their pool
bounds only connections that carry a request, not those that lie idle.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import Protocol

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from harriertide.http.response_framing import (
    BODILESS_STATUSES,
    END_OF_CHUNKS,
    INCOMPLETE_PHASES,
    MAX_HEAD_BYTES,
    HeadBuffer,
    MalformedResponseError,
    ResponsePhase,
    closes_connection,
    stated_length,
)

READ_AHEAD_BYTES = 64 * 1024  # of a body, before who takes it has taken what is there
CHUNK_BYTES = 32 * 1024  # read from a connection at a time: each chunk is in memory several times over
MAX_FORWARDED_BYTES = 64 * 1024 * 1024  # of a response that is forwarded; the longest are half of that
FORWARD_READ_AHEAD_BYTES = 32 * 1024  # of such a response
# Of such a response in memory at most, but for some moments, on both sides of the broker.
FORWARD_BUFFER_BYTES = 4 * FORWARD_READ_AHEAD_BYTES
STALL_TIMEOUT_S = 0.06  # between two parts of a response that is buffered: nodes send them at once, or never


def limit_read_size(transport: asyncio.BaseTransport) -> None:
    """Have the loop read CHUNK_BYTES at a time, where it would read eight times as much."""
    if hasattr(transport, "max_size"):  # of asyncio's transports of sockets
        transport.max_size = CHUNK_BYTES


class ConnectionOwner(Protocol):
    """What a connection needs of its pool."""

    max_response_bytes: int

    def reserve(self, connection: NodeConnection, size: int) -> bool:
        """Whether there is memory for so much more of a response."""

    def remove(self, connection: NodeConnection) -> None:
        """A connection is closed."""


class NodeConnection(ResponseHandler):
    """One connection to a storage node. It reads just the bytes that belong to the response asked for.

    Guards against what nodes in trouble send: heads and bodies without end, lengths that can't be, a second
    message or noise behind a good response or while the connection lies idle. Whatever is surplus makes the
    connection unfit for another request, and never reaches one.

    :param address: host:port of the node
    :param pool: that the connection belongs to
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, address: str, pool: ConnectionOwner) -> None:
        super().__init__(loop)
        self.address = address
        self.idle_since = 0.0  # by the loop's clock
        self.request_id = ""  # whose attempt was written last
        self.buffered_bytes = 0  # of its response, as they count against the pool's limit
        self.has_surplus = False  # bytes came that belong to no response
        self.is_malformed = False  # the response can't be used
        self._pool = pool
        self._phase = ResponsePhase.IDLE
        self._message: RawResponseMessage | None = None  # the head that the parser read last
        self._head_buffer = HeadBuffer()
        self._remaining_bytes = 0  # of the body, or of what it may have
        self._max_body_bytes = 0
        self._max_buffered_bytes = 0
        self._is_buffered = False  # the response is read as a whole, or its first part is
        self._is_chunked = False
        self._body_end = b""  # of a body in chunks: as many of its last bytes as END_OF_CHUNKS has
        self._node_has_ended = False
        self._stall_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start; any byte that the system has not taken counts as unsent."""
        super().connection_made(transport)
        assert isinstance(transport, asyncio.WriteTransport)
        transport.set_write_buffer_limits(0)
        limit_read_size(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Account for the close. Only an orderly close by the node ends a body without a length.

        Guards against half a response that passes for complete: the parser takes a reset for the body's end.
        """
        is_cut_off = self._phase is ResponsePhase.UNSIZED_BODY and not self._node_has_ended
        if is_cut_off and self._payload is not None:
            if not self._payload.is_eof():
                self._payload.set_exception(aiohttp.ClientConnectionResetError("a reset in the response"))
            self._phase = ResponsePhase.IDLE
        super().connection_lost(exc)
        self._watch_for_stall(False)
        self._pool.remove(self)

    def eof_received(self) -> None:
        """The node has closed its write side."""
        self._node_has_ended = True
        super().eof_received()

    # --- requests ------------------------------------------------------------------------------

    def send_request(self, data: bytes, max_body_bytes: int | None, may_forward: bool = False) -> None:
        """Write a request, or the beginning of one.

        :param max_body_bytes: that the response may have; None: it will be buffered as a whole, within the
            pool's limit
        :param may_forward: its first part will be buffered, and then maybe forwarded with the rest
        :raises ClientConnectionResetError: the connection is closed
        """
        if self.transport is None:
            raise aiohttp.ClientConnectionResetError("the connection is closed")
        self._phase = ResponsePhase.HEAD
        self._message = None
        self._head_buffer.start_response()
        self._is_buffered = max_body_bytes is None or may_forward
        self._max_body_bytes = self._pool.max_response_bytes if max_body_bytes is None else max_body_bytes
        self._max_buffered_bytes = FORWARD_BUFFER_BYTES if may_forward else self._max_body_bytes
        self.set_response_params(
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=FORWARD_READ_AHEAD_BYTES if may_forward else READ_AHEAD_BYTES,
        )
        self.transport.write(data)

    async def send_more(self, data: bytes) -> None:
        """Write more of a request, when what was written before is out.

        :raises ClientConnectionResetError: the connection is closed
        """
        await self._drain_helper()
        if self.transport is None:
            raise aiohttp.ClientConnectionResetError("the connection is closed")
        self.transport.write(data)

    async def flush(self) -> None:
        """Wait until all that was written is out."""
        await self._drain_helper()

    def start_forwarding(self) -> None:
        """The response is streamed to its client from here on: it may arrive slowly."""
        self._is_buffered = False
        self._watch_for_stall(False)

    def abort(self) -> None:
        """Close the connection in this very turn of the loop.

        asyncio closes the descriptor one turn later. Guards against a retry that is written meanwhile on
        another connection and reaches its node before this end does.
        """
        transport = self.transport
        if transport is not None and (own_socket := transport.get_extra_info("socket")) is not None:
            with suppress(OSError):  # it is closed already
                own_socket.shutdown(socket.SHUT_RDWR)
        super().abort()

    @property
    def is_reusable(self) -> bool:
        """Whether another request may go over it: the last response came whole, and nothing beside it."""
        return (
            self._phase is ResponsePhase.COMPLETE
            and not (self.has_surplus or self.should_close or self.writing_paused)
            and self.is_connected()
        )

    def mark_idle(self) -> None:
        """No request is under way from now on."""
        self._phase = ResponsePhase.IDLE
        self._message = None

    # --- responses -----------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Take the bytes that belong to the response."""
        if not data:  # the reader has caught up
            super().data_received(data)
            self._check_chunked_end()
            return
        self._take(data)
        if self._is_buffered:
            self._watch_for_stall(self._phase in INCOMPLETE_PHASES)

    def _take(self, data: bytes) -> None:
        while self._phase is ResponsePhase.HEAD and data:
            data = self._take_head(data)
        if not data:
            return
        if self._phase is ResponsePhase.SIZED_BODY:
            self._take_sized_body(data)
        elif self._phase is ResponsePhase.UNSIZED_BODY:
            self._take_unsized_body(data)
        else:
            self._on_surplus()

    def _take_sized_body(self, data: bytes) -> None:
        expected_bytes = self._remaining_bytes
        self._remaining_bytes = max(0, expected_bytes - len(data))
        if not self._remaining_bytes:
            self._phase = ResponsePhase.COMPLETE
        super().data_received(data[:expected_bytes])
        if len(data) > expected_bytes:
            self._on_surplus()

    def _take_unsized_body(self, data: bytes) -> None:
        self._remaining_bytes -= len(data)
        if self._remaining_bytes < 0 or (self._is_buffered and not self._reserve_memory(len(data))):
            self._fail(MalformedResponseError("a body over its bound"))
            return
        self._body_end = (self._body_end + data[-len(END_OF_CHUNKS) :])[-len(END_OF_CHUNKS) :]
        super().data_received(data)
        self._check_chunked_end()

    def _check_chunked_end(self) -> None:
        """Whether a body in chunks has come whole, and nothing behind it.

        The parser goes on behind the last chunk: a second head there is another message, noise an error, and
        what is neither yet can't end as the chunks do. With any of these no other request goes over it.
        """
        body = self._payload
        is_chunked_body = self._phase is ResponsePhase.UNSIZED_BODY and self._is_chunked
        if not is_chunked_body or body is None or not body.is_eof():
            return
        if self._message is not None or self._body_end != END_OF_CHUNKS:
            self.has_surplus = True
        self._phase = ResponsePhase.COMPLETE

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """The parser has read a head. 1xx in front of the response are skipped."""
        self._message = data[0]
        if not 100 <= data[0].code < 200:
            super().feed_data(data, size)

    def _take_head(self, data: bytes) -> bytes:
        """Take one head, if it has come whole; what lies behind it."""
        try:
            taken = self._head_buffer.feed(data)
        except MalformedResponseError as fault:
            self._fail(fault)
            return b""
        if taken is None:
            return b""
        head, rest = taken
        super().data_received(head)
        message = self._message
        self._message = None
        if self.exception() is not None:
            self._phase = ResponsePhase.IDLE
            self.is_malformed = True
            return b""
        if message is None or message.code == 101:
            self._fail(MalformedResponseError("no response in its head"))
        elif message.code >= 200:
            self._start_body(message)
        return rest

    def _start_body(self, message: RawResponseMessage) -> None:
        """A head was read: how far does its body reach?"""
        try:
            length = stated_length(message)
        except MalformedResponseError as fault:
            self._fail(fault)
            return
        if length is not None:
            self._remaining_bytes = length
            self._phase = ResponsePhase.SIZED_BODY if length else ResponsePhase.COMPLETE
            if length > self._max_body_bytes or (self._is_buffered and not self._reserve_memory(length)):
                self._fail(MalformedResponseError("a body over its bound"))
        elif message.code in BODILESS_STATUSES:
            self._phase = ResponsePhase.COMPLETE
        elif message.chunked or closes_connection(message):
            self._phase = ResponsePhase.UNSIZED_BODY
            self._remaining_bytes = self._max_body_bytes + MAX_HEAD_BYTES  # with the framing of its chunks
            self._is_chunked = message.chunked
            self._body_end = b""
        else:
            self._fail(MalformedResponseError("a body without a length"))

    def _reserve_memory(self, size: int) -> bool:
        """Whether there is memory for so much more of the response, as far as it will be buffered."""
        countable_bytes = max(0, min(size, self._max_buffered_bytes - self.buffered_bytes))
        return self._pool.reserve(self, countable_bytes)

    # --- responses that can't be used ----------------------------------------------------------

    def _watch_for_stall(self, is_on: bool) -> None:
        """Look out for a response that stops short.

        Guards against nodes that announce more than they send and keep the connection open: once a part has
        come, the rest follows at once, or never. Responses that are forwarded as they come are not watched.
        """
        if self._stall_timer is not None:
            self._stall_timer.cancel()
        self._stall_timer = (
            self._loop.call_at(self._loop.time() + STALL_TIMEOUT_S, self._on_stall) if is_on else None
        )

    def _on_stall(self) -> None:
        self._stall_timer = None
        self._fail(MalformedResponseError("a response that stopped short"))

    def _on_surplus(self) -> None:
        """Bytes came that belong to no response. One that is complete stays good."""
        self.has_surplus = True
        if self._phase is ResponsePhase.IDLE:
            self.abort()

    def _fail(self, fault: MalformedResponseError) -> None:
        """The response can't be used, nor the connection."""
        if self._payload is not None:
            self._payload.set_exception(fault)
        self.set_exception(fault)
        self._phase = ResponsePhase.IDLE
        self.has_surplus = True
        self.is_malformed = True
        self.abort()
