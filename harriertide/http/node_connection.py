"""A connection to a storage node, which carries one bounded response at a time.

The connection uses aiohttp's client protocol and parser, but not its session and connector: the session keeps
bytes that a node sends after its response and passes them to the next request on the connection, and the
connector's pool limits only connections that carry a request, not idle ones.
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

from harriertide.decide import api
from harriertide.http.read_size import SOCKET_READ_BYTES, limit_read_size
from harriertide.http.response_framing import (
    BODILESS_STATUSES,
    END_OF_CHUNKS,
    INCOMPLETE_PHASES,
    MAX_HEAD_BYTES,
    HeadBuffer,
    MalformedResponseError,
    ResponsePhase,
    check_response_coding,
    closes_connection,
    declared_length,
)
from harriertide.http.silence_timer import SilenceTimer

READ_AHEAD_BYTES = 64 * 1024  # of a response body; above it, reading pauses until the consumer catches up
MAX_FORWARDED_RESPONSE_BYTES = 64 * 1024 * 1024  # twice the longest expected response
FORWARD_READ_AHEAD_BYTES = 32 * 1024  # READ_AHEAD_BYTES for a response that is forwarded
# Maximum memory for one forwarded response on both sides of the broker together; exceeded only briefly.
FORWARD_BUFFER_BYTES = 4 * FORWARD_READ_AHEAD_BYTES
# An attempt whose response is forwarded ends after this many bytes of the body, or before that. A node may
# write a longer response as slowly as it likes.
FIRST_PART_BYTES = 64 * 1024


class ConnectionOwner(Protocol):
    """The part of the pool's interface that a connection uses."""

    max_response_bytes: int

    def reserve(self, connection: NodeConnection, size: int) -> bool:
        """Reserve memory for `size` more bytes of a response; False if the pool's memory limit forbids it."""

    def remove(self, connection: NodeConnection) -> None:
        """Remove a closed connection from the pool."""


class NodeConnection(ResponseHandler):
    """One connection to a storage node, which accepts only the bytes of the requested response.

    Guards against faulty nodes that send endless heads or bodies, invalid lengths, or further bytes after a
    valid response or on an idle connection. Surplus bytes are never delivered to another request, and the
    connection that received them is not reused.

    :param address: host:port of the node
    :param pool: the pool that the connection belongs to
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, address: str, pool: ConnectionOwner) -> None:
        super().__init__(loop)
        self.address = address
        self.idle_since = 0.0  # in the event loop's time
        self.request_id = ""  # of the attempt that was written last
        self.buffered_bytes = 0  # of the response, counted against the pool's memory limit
        self.has_surplus = False  # bytes were received that belong to no response
        self.is_malformed = False  # the response was malformed
        self._pool = pool
        self._phase = ResponsePhase.IDLE
        self._message: RawResponseMessage | None = None  # the head that the parser returned last
        self._head_buffer = HeadBuffer()
        self._remaining_bytes = 0  # of a sized body, or of the limit for an unsized one
        self._max_body_bytes = 0
        self._max_buffered_bytes = 0
        self._is_buffered = False  # the response, or its first part, is buffered
        self._is_chunked = False
        self._body_tail = b""  # the last len(END_OF_CHUNKS) bytes of a chunked body
        self._has_received_eof = False
        self._silence = api.NO_SILENCE_LIMITS
        self._stall_timer: SilenceTimer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the transport. Writing counts as paused while any byte has not been passed to the kernel."""
        super().connection_made(transport)
        assert isinstance(transport, asyncio.WriteTransport)
        transport.set_write_buffer_limits(0)
        limit_read_size(transport, SOCKET_READ_BYTES)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Leave the pool. An unsized body that is incomplete fails unless the node has sent an EOF.

        The parser treats a reset as the end of such a body, so a truncated response would pass for complete.
        """
        is_truncated = self._phase is ResponsePhase.UNSIZED_BODY and not self._has_received_eof
        if is_truncated and self._payload is not None:
            if not self._payload.is_eof():
                self._payload.set_exception(
                    aiohttp.ClientConnectionResetError("connection reset within the response body")
                )
            self._phase = ResponsePhase.IDLE
        super().connection_lost(exc)
        self._set_stall_timer(False)
        self._pool.remove(self)

    def eof_received(self) -> None:
        """Record that the node has closed its write side."""
        self._has_received_eof = True
        super().eof_received()

    # --- requests ------------------------------------------------------------------------------

    def send_request(
        self,
        data: bytes,
        max_body_bytes: int | None,
        may_forward: bool = False,
        silence: api.SilenceLimits = api.NO_SILENCE_LIMITS,
    ) -> None:
        """Write a request, or its head and the first part of its body.

        :param max_body_bytes: maximum length of the response body; None: the whole response is buffered, and
            the pool's max_response_bytes applies
        :param may_forward: the first part of the response is buffered, and the rest may be forwarded
        :param silence: the longest pauses within the part of the response that is buffered; beyond them it
            counts as malformed
        :raises ClientConnectionResetError: the connection is closed
        """
        if self.transport is None:
            raise aiohttp.ClientConnectionResetError("the connection is closed")
        self._phase = ResponsePhase.HEAD
        self._message = None
        self._head_buffer.start_response()
        self._is_buffered = max_body_bytes is None or may_forward
        self._silence = silence
        self._max_body_bytes = self._pool.max_response_bytes if max_body_bytes is None else max_body_bytes
        self._max_buffered_bytes = FORWARD_BUFFER_BYTES if may_forward else self._max_body_bytes
        self.set_response_params(
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=FORWARD_READ_AHEAD_BYTES if may_forward else READ_AHEAD_BYTES,
        )
        self.transport.write(data)

    async def send_body_chunk(self, data: bytes) -> None:
        """Write the next chunk of the request body once the kernel has accepted all earlier data.

        :raises ClientConnectionResetError: the connection is closed
        """
        await self._drain_helper()
        if self.transport is None:
            raise aiohttp.ClientConnectionResetError("the connection is closed")
        self.transport.write(data)

    async def flush(self) -> None:
        """Wait until the kernel has accepted all written data."""
        await self._drain_helper()

    def start_forwarding(self) -> None:
        """Stop buffering the response, which is now streamed to its client and may arrive slowly."""
        self._is_buffered = False
        self._set_stall_timer(False)

    def abort(self) -> None:
        """Close the connection in the current iteration of the event loop.

        asyncio closes the descriptor one iteration later. A retry that is written to another connection in
        between could reach its node before this connection ends.
        """
        transport = self.transport
        if transport is not None and (sock := transport.get_extra_info("socket")) is not None:
            with suppress(OSError):  # the socket is closed already
                sock.shutdown(socket.SHUT_RDWR)
        super().abort()

    @property
    def has_partial_response(self) -> bool:
        """Whether a part of the response has arrived, and its end has not."""
        is_in_body = self._phase in (ResponsePhase.SIZED_BODY, ResponsePhase.UNSIZED_BODY)
        return is_in_body or (self._phase is ResponsePhase.HEAD and not self._head_buffer.is_empty)

    @property
    def is_reusable(self) -> bool:
        """Whether another request may use the connection: the response is complete, without surplus."""
        return (
            self._phase is ResponsePhase.COMPLETE
            and not (self.has_surplus or self.should_close or self.writing_paused)
            and self.is_connected()
        )

    def mark_idle(self) -> None:
        """Record that the connection no longer carries a request."""
        self._phase = ResponsePhase.IDLE
        self._message = None

    # --- responses -----------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Pass the bytes of the response to the parser, and detect surplus bytes and stalls."""
        if not data:  # aiohttp passes no data when the reader has caught up and reading resumes
            super().data_received(data)
            self._check_chunked_end()
            return
        self._feed_response(data)
        if self._is_buffered:
            self._set_stall_timer(self._phase in INCOMPLETE_PHASES)

    def _feed_response(self, data: bytes) -> None:
        while self._phase is ResponsePhase.HEAD and data:
            data = self._feed_head(data)
        if not data:
            return
        if self._phase is ResponsePhase.SIZED_BODY:
            self._feed_sized_body(data)
        elif self._phase is ResponsePhase.UNSIZED_BODY:
            self._feed_unsized_body(data)
        else:
            self._on_surplus()

    def _feed_sized_body(self, data: bytes) -> None:
        expected_bytes = self._remaining_bytes
        self._remaining_bytes = max(0, expected_bytes - len(data))
        if not self._remaining_bytes:
            self._phase = ResponsePhase.COMPLETE
        super().data_received(data[:expected_bytes])
        if len(data) > expected_bytes:
            self._on_surplus()

    def _feed_unsized_body(self, data: bytes) -> None:
        self._remaining_bytes -= len(data)
        if self._remaining_bytes < 0 or (self._is_buffered and not self._reserve_memory(len(data))):
            self._fail(MalformedResponseError("response body exceeds its size or memory limit"))
            return
        self._body_tail = (self._body_tail + data[-len(END_OF_CHUNKS) :])[-len(END_OF_CHUNKS) :]
        super().data_received(data)
        self._check_chunked_end()

    def _check_chunked_end(self) -> None:
        """Complete the response once its chunked body has ended, and detect bytes after the last chunk.

        The parser continues after the last chunk: it reads a second head as another message and reports
        garbage as an error, and an incomplete head does not end like a chunked body. In all three cases the
        connection is not reused.
        """
        body = self._payload
        is_chunked_body = self._phase is ResponsePhase.UNSIZED_BODY and self._is_chunked
        if not is_chunked_body or body is None or not body.is_eof():
            return
        if self._message is not None or self._body_tail != END_OF_CHUNKS:
            self.has_surplus = True
        self._phase = ResponsePhase.COMPLETE

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Receive a head from the parser. Interim responses (1xx) are skipped."""
        self._message = data[0]
        if not 100 <= data[0].code < 200:
            super().feed_data(data, size)

    def _feed_head(self, data: bytes) -> bytes:
        """Parse one head if it is complete, and return the bytes after it."""
        try:
            head_and_rest = self._head_buffer.feed(data)
        except MalformedResponseError as error:
            self._fail(error)
            return b""
        if head_and_rest is None:
            return b""
        head, rest = head_and_rest
        super().data_received(head)
        message = self._message
        self._message = None
        if self.exception() is not None:
            self._phase = ResponsePhase.IDLE
            self.is_malformed = True
            return b""
        if message is None or message.code == 101:
            self._fail(MalformedResponseError("response head was not parsed or has status 101"))
        elif message.code >= 200:
            self._start_body(message)
        return rest

    def _start_body(self, message: RawResponseMessage) -> None:
        """Determine from a head where the response body ends."""
        try:
            length = declared_length(message)
            if length is None and message.code not in BODILESS_STATUSES:
                check_response_coding(message)
        except MalformedResponseError as error:
            self._fail(error)
            return
        if length is not None:
            self._remaining_bytes = length
            if length > FIRST_PART_BYTES:
                self._silence = api.NO_SILENCE_LIMITS
            self._phase = ResponsePhase.SIZED_BODY if length else ResponsePhase.COMPLETE
            if length > self._max_body_bytes or (self._is_buffered and not self._reserve_memory(length)):
                self._fail(MalformedResponseError("response body exceeds its size or memory limit"))
        elif message.code in BODILESS_STATUSES:
            self._phase = ResponsePhase.COMPLETE
        elif message.chunked or closes_connection(message):
            self._phase = ResponsePhase.UNSIZED_BODY
            self._remaining_bytes = self._max_body_bytes + MAX_HEAD_BYTES  # allows for the chunk framing
            self._is_chunked = message.chunked
            self._body_tail = b""
        else:
            self._fail(MalformedResponseError("response body has no length and its end is not marked"))

    def _reserve_memory(self, size: int) -> bool:
        """Reserve memory for `size` more bytes of the response, up to the limit of what is buffered."""
        counted_bytes = max(0, min(size, self._max_buffered_bytes - self.buffered_bytes))
        return self._pool.reserve(self, counted_bytes)

    # --- malformed responses --------------------------------------------------------------------

    def _set_stall_timer(self, is_enabled: bool) -> None:
        """Restart or cancel the timer that detects an incomplete response.

        Guards against nodes that announce a longer body than they send and keep the connection open. A node
        that writes slowly looks the same, so the limit is what the request can spare for another attempt.
        Responses that are forwarded, and those that are known to be longer than their first part, are not
        timed.
        """
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        is_unsized = self._phase is ResponsePhase.UNSIZED_BODY
        max_silence_us = self._silence.unsized_us if is_unsized else self._silence.sized_us
        if is_enabled and max_silence_us is not None:
            self._stall_timer = SilenceTimer(self._loop, max_silence_us / 1e6, self._on_stall)

    def _on_stall(self) -> None:
        self._stall_timer = None
        transport = self.transport
        if isinstance(transport, asyncio.ReadTransport) and not transport.is_reading():
            self._set_stall_timer(True)  # the node may have sent more, which waits for the consumer
            return
        self._fail(MalformedResponseError("response stalled before it was complete"))

    def _on_surplus(self) -> None:
        """Record surplus bytes. A response that is already complete stays valid."""
        self.has_surplus = True
        if self._phase is ResponsePhase.IDLE:
            self.abort()

    def _fail(self, error: MalformedResponseError) -> None:
        """Fail the malformed response, and abort the connection."""
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)
        self._phase = ResponsePhase.IDLE
        self.has_surplus = True
        self.is_malformed = True
        self.abort()
