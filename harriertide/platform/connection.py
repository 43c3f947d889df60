"""Connections of the platform's clients: a request is read, handed to the front, and its response written.

They are aiohttp's connections, but a request is handled in the same turn of the event loop in which its last
byte was read, and answered in the turn in which the core decides, with no task of its own.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import Counter
from typing import Any, Protocol

from aiohttp import HttpVersion11
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import StreamReader

from harriertide.http.body_stream import BodyBudget, ResponseRemainder
from harriertide.http.client_connection import ClientConnection, ConnectionTracker
from harriertide.http.client_server import MAX_START_LINE_BYTES, FrontServer
from harriertide.http.connection_table import ConnectionTable
from harriertide.http.node_connection import FORWARD_READ_AHEAD_BYTES, read_in_chunks
from harriertide.platform.fields import HeaderFields, MalformedRequestError, read_fields
from harriertide.platform.request_body import (
    ALWAYS_BUFFERED_BYTES,
    BodyTooLongError,
    RequestBodyBuffer,
    StreamedRequestBody,
    declared_length,
)
from harriertide.platform.response_writer import (
    Framing,
    choose_framing,
    encode_chunk,
    encode_head,
    send_remainder,
)

MIN_UPLOAD_BYTES_PER_S = 32_000  # of a body that is still read: half of what the slowest clients send
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # a socket's linger option: closing resets the connection


class RequestFront(Protocol):
    """What handles the requests of platform connections."""

    counts: Counter[str]
    bodies: BodyBudget
    closes_connections: bool

    def date(self) -> str:
        """Now, as HTTP writes it."""

    def handle_request(
        self, connection: PlatformConnection, message: RawRequestMessage, body: bytes | StreamedRequestBody
    ) -> None:
        """Answer a request, or hand it to the core."""

    def on_client_disconnected(self, connection: PlatformConnection) -> None:
        """The client of a request that the core is working on has disconnected."""


class PlatformConnection(ClientConnection):
    """One connection of a client of the platform: one request at a time."""

    __slots__ = (
        "_front", "_buffer", "_body", "_is_closing", "_message", "_is_reading_body", "_sending",
        "request_id", "fields",
    )  # fmt: skip

    def __init__(self, server: PlatformServer, table: ConnectionTracker, **options: Any) -> None:
        super().__init__(server, table, max_line_size=MAX_START_LINE_BYTES, auto_decompress=False, **options)
        self._front = server.front
        self._buffer = RequestBodyBuffer(server.front.bodies)
        self._message: RawRequestMessage | None = None  # whose body is read, or whose response is awaited
        self._body: StreamReader | None = None  # of that request, until its end was read
        self._is_reading_body = False
        self._is_closing = False  # the next response is the last one
        self._sending: asyncio.Task[None] | None = None  # the remainder of a response
        self.request_id = ""  # while the core has the request
        self.fields: HeaderFields = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start like an aiohttp connection, but without its handler's task and timer."""
        BaseProtocol.connection_made(self, transport)
        assert self._manager is not None and isinstance(transport, asyncio.Transport)
        self._manager.connection_made(self, transport)
        transport.set_write_buffer_limits(FORWARD_READ_AHEAD_BYTES)
        read_in_chunks(transport)
        self.table.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the request holds, and have its attempts stopped."""
        if self.request_id:
            self._front.on_client_disconnected(self)
        if self._sending is not None:
            self._sending.cancel()
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(ConnectionResetError("the client has gone"))
        self._buffer.clear()
        super().connection_lost(exc)

    # --- requests ------------------------------------------------------------------------------

    @property
    def request_timeout_s(self) -> float:
        """Time for a request to arrive: the longer, the more of its body has been received."""
        return super().request_timeout_s + self._buffer.received_bytes / MIN_UPLOAD_BYTES_PER_S

    def data_received(self, data: bytes) -> None:
        """Handle a request as soon as it is complete.

        Pipelining is not part of the protocol. A client that does it gets the first response, and its
        connection is closed: what it sent ahead is not read, so that it costs other clients nothing.
        """
        if (
            not data and self._body is None
        ):  # aiohttp's reader resumes its parser so, here after the body's end
            return
        if self.state == "lingering":
            self.discard(data)
            return
        if self.state == "busy" and self._body is None:  # pipelined: sent before the response
            self._is_closing = True
            return
        if self._force_close:
            return
        if self.state == "busy":
            self._feed_streamed_body(data)
        elif not self._is_closing:
            self._feed_request(data)

    def _feed_streamed_body(self, data: bytes) -> None:
        """Feed bytes of a body that is being streamed. A framing error surfaces at the body's reader."""
        assert self._parser is not None
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except (HttpProcessingError, ValueError):
            return
        if upgraded:
            self.refuse(400, "no other protocol is spoken here")
        elif messages:  # pipelined, behind the end of the body
            self._is_closing = True

    def _feed_request(self, data: bytes) -> None:
        """Feed bytes of a head, or of a body that is being buffered."""
        if self.state != "reading":
            self.table.set_state(self, "reading")
        assert self._parser is not None
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except (HttpProcessingError, ValueError):
            self.refuse(400, "the request can't be read")
            return
        if upgraded:
            self.refuse(400, "no other protocol is spoken here")
            return
        if messages and self._message is not None:  # pipelined, in one read with the end of a body
            self._is_closing = True
        elif messages:
            self._is_closing = len(messages) > 1
            self._begin_request(*messages[0])
        if self._body is not None and not self._is_reading_body:
            self._read_body(self._body)

    def _begin_request(self, message: RawRequestMessage, body: StreamReader) -> None:
        """Start a request whose head was received."""
        self._message = message
        try:
            self.fields = read_fields(message.raw_headers)
            length = declared_length(self.fields)
        except MalformedRequestError as reason:
            self.refuse(400, str(reason))
            return
        except BodyTooLongError as reason:
            self.refuse(413, str(reason))  # the body stays unread
            return
        if self.fields.get(b"expect", b"").lower() == b"100-continue" and not body.is_eof():
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._body = body
        self._buffer.reserve(length)

    def _read_body(self, body: StreamReader) -> None:
        """Buffer what was received, and submit the request when its body is complete or must be streamed."""
        if body.exception() is not None:
            self.refuse(400, "the body can't be read")
            return
        buffer = self._buffer
        self._is_reading_body = True  # read_nowait may resume the parser, which calls back into here
        while part := body.read_nowait(-1):
            buffer.append(part)
        self._is_reading_body = False
        assert self._message is not None
        if body.is_eof():
            self.on_body_end()
            self.table.set_state(self, "busy")
            self._front.handle_request(self, self._message, buffer.take())
        elif buffer.is_too_long():
            self.refuse(413, "the body is too long")
        elif not self._has_room_for_body() and buffer.received_bytes >= ALWAYS_BUFFERED_BYTES:
            self.table.set_state(self, "busy")
            streamed = StreamedRequestBody(self, body, buffer.take())
            self._front.handle_request(self, self._message, streamed)

    def _has_room_for_body(self) -> bool:
        """Whether the budget has room for all of the body that is known of so far."""
        declared = int(self.fields.get(b"content-length", b"0"))
        return self._buffer.reserve(max(self._buffer.received_bytes, declared))

    def on_body_too_long(self) -> None:
        """A streamed body is over the limit: no node's response counts any more."""
        self._front.on_client_disconnected(self)
        self.refuse(413, "the body is too long")

    def on_body_end(self) -> None:
        """The last byte of the body was read: let the parser go on with the next request."""
        self._body = None
        if self._parser is None:
            return
        self._parser.message_consumed()
        if b"transfer-encoding" in self.fields:
            self._renew_parser()

    def _renew_parser(self) -> None:
        """Guards against a trailer read as a field of the next request: aiohttp's parser keeps the last."""
        self._parser = HttpRequestParser(
            self,
            self._loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_headers=self.max_headers,
            max_field_size=self.max_field_size,
            auto_decompress=False,
            max_msg_queue_size=self._max_msg_queue_size,
        )

    # --- responses -----------------------------------------------------------------------------

    def respond(
        self, status: int, body: bytes, fields: str = "", rest: ResponseRemainder | None = None
    ) -> None:
        """Write the one response to the request that was read.

        :param body: all of it, or its first part
        :param fields: header lines, each with its line end
        :param rest: what follows the first part; this connection disposes of it
        """
        message = self._message
        self._message = None
        self.request_id = ""
        self._buffer.clear()
        transport = self.transport
        if transport is None or transport.is_closing():
            if rest is not None:
                rest.dispose()
            return
        self._front.counts[f"answers_{status}"] += 1
        if self._body is not None:  # it was not read to its end, and will not be
            self._is_closing = True
            self._body = None
        length = len(body) if rest is None else rest.length
        framing = choose_framing(length, message is not None and message.version < HttpVersion11)
        closes = self._is_last_response(message, framing)
        head = encode_head(status, fields, length, framing, closes, self._front.date())
        shown = b"" if message is not None and message.method == "HEAD" else body
        if rest is None or not shown:
            transport.write(head + shown)
            if rest is not None:
                rest.dispose()
            self._on_response_sent(closes)
            return
        transport.write(head + (encode_chunk(shown) if framing is Framing.CHUNKED else shown))
        sending = self._send_rest(rest, framing, closes)
        self._sending = asyncio.get_running_loop().create_task(sending)

    def refuse(self, status: int, reason: str) -> None:
        """Reject a request that can't be served, and close the connection behind the response."""
        self._is_closing = True
        self._body = None
        self.respond(status, f"{reason}\n".encode())

    def _is_last_response(self, message: RawRequestMessage | None, framing: Framing) -> bool:
        """Whether the connection ends behind the response to this request."""
        return (
            self._is_closing
            or self._front.closes_connections
            or message is None
            or message.should_close
            or framing is Framing.UNTIL_CLOSE
        )

    def _on_response_sent(self, closes: bool) -> None:
        if closes or self._is_closing:
            self.linger()
        else:
            self.table.set_state(self, "idle")

    async def _send_rest(self, rest: ResponseRemainder, framing: Framing, closes: bool) -> None:
        """Send the remainder of a response; where it breaks off, the connection's end tells the client."""
        transport = self.transport
        assert transport is not None
        if await send_remainder(transport, self._drain_helper, rest, framing):
            self._sending = None
            self._on_response_sent(closes)
            return
        self._front.counts["answers_broken"] += 1
        if framing is Framing.UNTIL_CLOSE:
            self._reset(transport)
        else:
            self.drop()

    def _reset(self, transport: asyncio.Transport) -> None:
        """End the connection with a reset.

        Guards against half a response that passes for complete: where the connection's end ends the body, an
        orderly close would say so.
        """
        client_socket = transport.get_extra_info("socket")
        if client_socket is not None:
            client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.force_close()
        transport.abort()


class PlatformServer(FrontServer):
    """Makes the connections of the platform's listener."""

    def __init__(self, front: RequestFront, table: ConnectionTable) -> None:
        super().__init__(table, PlatformConnection, _unused, access_log=None)
        self.front = front


async def _unused(request: object) -> Any:
    raise NotImplementedError("the platform's connections handle their requests themselves")
