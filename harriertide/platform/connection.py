"""Connections of platform clients: each reads requests, passes them to the front and writes the responses.

The connections extend aiohttp's. A request has no task of its own: it is handled in the event loop iteration
that reads its last byte, and answered in the iteration in which the core decides.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any, Protocol

from aiohttp import HttpVersion11
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import StreamReader

from harriertide.engine.repeated_log import RepeatedLog
from harriertide.http.body_stream import ResponseRemainder
from harriertide.http.buffer_budget import BufferBudget
from harriertide.http.client_connection import ClientConnection, ConnectionTracker
from harriertide.http.client_server import MAX_START_LINE_BYTES, TrackedServer
from harriertide.http.connection_table import ConnectionTable
from harriertide.http.errors import MemoryShortError, NotReadInTimeError, RefusedRequestError
from harriertide.http.expectation import CONTINUE_RESPONSE, expects_continue
from harriertide.http.node_connection import FORWARD_READ_AHEAD_BYTES
from harriertide.http.read_size import limit_read_size
from harriertide.http.socket_state import has_unread_input
from harriertide.http.transfer_coding import check_body_coding
from harriertide.platform.fields import HeaderFields, read_fields
from harriertide.platform.request_body import RequestBodyBuffer, StreamedRequestBody, declared_length
from harriertide.platform.request_memory import (
    BODY_READ_BYTES,
    STREAM_FIRST_PART_BYTES,
    STREAM_READ_AHEAD_BYTES,
    BodyPlan,
    HeadTooLongError,
    RequestMemory,
)
from harriertide.platform.response_writer import (
    Framing,
    choose_framing,
    encode_chunk,
    encode_head,
    send_remainder,
)

MIN_UPLOAD_BYTES_PER_S = 32_000  # half the upload rate of the slowest clients
# Maximum per read while no body is expected: reads of all connections come before any of them is counted.
HEAD_READ_BYTES = 2 * 1024


class RequestFront(Protocol):
    """Handles the requests that platform connections read."""

    counts: Counter[str]
    log: RepeatedLog
    bodies: BufferBudget
    closes_connections: bool

    def date(self) -> str:
        """Return the current time in the format of the HTTP Date header."""

    def handle_request(
        self, connection: PlatformConnection, message: RawRequestMessage, body: bytes | StreamedRequestBody
    ) -> None:
        """Answer a request, or submit it to the core."""

    def on_client_disconnected(self, connection: PlatformConnection) -> None:
        """Stop the open request of a client that has disconnected."""


class PlatformConnection(ClientConnection):
    """A connection of a platform client, which handles one request at a time."""

    __slots__ = (
        "_front", "_buffer", "_memory", "_body_plan", "_has_sized_body", "_body", "_closes_after_response",
        "_message", "_is_reading_body", "_send_task", "request_id", "fields",
    )  # fmt: skip

    def __init__(self, server: PlatformServer, table: ConnectionTracker, **options: Any) -> None:
        super().__init__(server, table, max_line_size=MAX_START_LINE_BYTES, auto_decompress=False, **options)
        self._front = server.front
        self._buffer = RequestBodyBuffer()
        self._memory = RequestMemory(server.front.bodies)
        self._body_plan = BodyPlan.BUFFER
        self._has_sized_body = False  # the length of the open request's body is stated
        self._message: RawRequestMessage | None = None  # head of the open request
        self._body: StreamReader | None = None  # unread body of the open request; None after its last byte
        self._is_reading_body = False
        self._closes_after_response = False  # whether the connection closes after the next response
        self._send_task: asyncio.Task[None] | None = None  # sends the remainder of a streamed response
        self.request_id = ""  # ID of the request that the core is working on; empty if there is none
        self.fields: HeaderFields = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection as aiohttp does, but without its handler task and timer."""
        BaseProtocol.connection_made(self, transport)
        assert self._manager is not None and isinstance(transport, asyncio.Transport)
        self._manager.connection_made(self, transport)
        transport.set_write_buffer_limits(FORWARD_READ_AHEAD_BYTES)
        limit_read_size(transport, HEAD_READ_BYTES)
        self.table.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release the memory of the open request and stop its attempts."""
        if self.request_id:
            self._front.on_client_disconnected(self)
        if self._send_task is not None:
            self._send_task.cancel()
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(ConnectionResetError("the client closed the connection"))
        self._discard_request()
        super().connection_lost(exc)

    # --- requests ------------------------------------------------------------------------------

    @property
    def request_timeout_s(self) -> float:
        """Time allowed for receiving a request; it grows with the received part of the body."""
        return super().request_timeout_s + self._buffer.received_bytes / MIN_UPLOAD_BYTES_PER_S

    def data_received(self, data: bytes) -> None:
        """Handle a request as soon as it is complete.

        The protocol does not allow pipelining. A client that pipelines gets the first response, and its
        connection is then closed. Its further requests are not read, so they cost other clients nothing.
        """
        # aiohttp's stream reader resumes the parser by passing no data, here after the end of the body
        if not data and self._body is None:
            return
        if self.state == "lingering":
            self.discard(data)
            return
        if self.state == "busy" and self._body is None:  # the client sent a pipelined request
            self._closes_after_response = True
            return
        if self.state == "idle" and self.unsent_bytes():  # pipelined too: it has not read the last response
            self.linger()
            return
        if self._force_close:
            return
        if not self._has_sized_body:
            self.table.read_scheduler.record(self, data.count(b"\n"))
        if self.state == "busy":
            self._feed_streamed_body(data)
        elif not self._closes_after_response:
            self._feed_request(data)

    def _feed_streamed_body(self, data: bytes) -> None:
        """Parse bytes of a streamed body. The reader of the body raises any framing error."""
        assert self._parser is not None
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except (HttpProcessingError, ValueError):
            return
        if upgraded:
            self.refuse(400, "no other protocol is spoken here")
        elif messages:  # a pipelined request follows the end of the body
            self._closes_after_response = True

    def _feed_request(self, data: bytes) -> None:
        """Parse bytes of a request head or of a buffered body."""
        if self.state != "reading":
            self.table.set_state(self, "reading")
        assert self._parser is not None
        try:
            if self._message is None:
                self._memory.add_head_data(data)
            messages, upgraded, _ = self._parser.feed_data(data)
        except (HeadTooLongError, MemoryShortError) as error:
            self._refuse_for(error)
            return
        except (HttpProcessingError, ValueError):
            self.refuse(400, "the request can't be read")
            return
        if upgraded:
            self.refuse(400, "no other protocol is spoken here")
            return
        if messages and self._message is not None:  # a pipelined request arrived with the end of the body
            self._closes_after_response = True
        elif messages:
            self._closes_after_response = len(messages) > 1
            self._begin_request(*messages[0])
        if self._body is not None and not self._is_reading_body:
            self._read_body(self._body)

    def _begin_request(self, message: RawRequestMessage, body: StreamReader) -> None:
        """Begin a request whose head has been received."""
        self._message = message
        try:
            self.fields = read_fields(message.raw_headers)
            check_body_coding(message)
            length = declared_length(self.fields)
            is_continue_expected = expects_continue(message.headers.getall("Expect", ()), message.version)
            self._body_plan = self._memory.plan_body(length)
        except RefusedRequestError as error:
            self._refuse_for(error)  # the connection is closed without reading the body
            return
        if is_continue_expected and not body.is_eof():
            assert self.transport is not None
            self.transport.write(CONTINUE_RESPONSE)
        self._body = body
        self._has_sized_body = length > 0
        if length:  # not for chunks, which can be tiny and then take long to parse
            limit_read_size(self.transport, BODY_READ_BYTES)

    def _read_body(self, body: StreamReader) -> None:
        """Buffer received data and submit the request once its body is complete or must be streamed."""
        if body.exception() is not None:
            self.refuse(400, "the body can't be read")
            return
        buffer = self._buffer
        self._is_reading_body = True  # read_nowait may resume the parser, which calls data_received again
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
        else:
            self._stream_body_if_planned(body, self._message)

    def _stream_body_if_planned(self, body: StreamReader, message: RawRequestMessage) -> None:
        """Submit a request whose body is to be streamed, once its first part has arrived."""
        buffer = self._buffer
        try:
            if self._body_plan is BodyPlan.BUFFER:
                self._body_plan = self._memory.grow_body(buffer.received_bytes)
        except MemoryShortError as error:
            self._refuse_for(error)
            return
        if self._body_plan is BodyPlan.STREAM and buffer.received_bytes >= STREAM_FIRST_PART_BYTES:
            self.table.set_state(self, "busy")
            streamed = StreamedRequestBody(self, body, buffer.take())
            self._front.handle_request(self, message, streamed)

    def on_body_too_long(self) -> None:
        """Reject a request whose streamed body exceeds the limit; responses of nodes are discarded."""
        self._front.on_client_disconnected(self)
        self.refuse(413, "the body is too long")

    def on_body_end(self) -> None:
        """Prepare the parser for the next request after the last byte of the body was read."""
        self._body = None
        if self._parser is None:
            return
        self._parser.message_consumed()
        if b"transfer-encoding" in self.fields:
            self._renew_parser()

    def _renew_parser(self) -> None:
        """Replace the parser.

        aiohttp's keeps the fields of a head until the next one begins, and would pass the last trailer field
        on to the next request.
        """
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
        self, status: int, body: bytes, fields: str = "", remainder: ResponseRemainder | None = None
    ) -> None:
        """Write the response to the open request.

        :param body: the whole response body, or its first part
        :param fields: additional header lines, each with its line end
        :param remainder: the remainder of the body after its first part; the connection disposes of it
        """
        message = self._message
        self._message = None
        self.request_id = ""
        self._discard_request()
        transport = self.transport
        if transport is None or transport.is_closing():
            if remainder is not None:
                remainder.dispose()
            return
        self._front.counts[f"answers_{status}"] += 1
        if self._body is not None:  # the rest of the request body will not be read
            self._closes_after_response = True
            self._body = None
        length = len(body) if remainder is None else remainder.length
        framing = choose_framing(length, message is not None and message.version < HttpVersion11)
        closes_connection = self._is_last_response(message, framing)
        head = encode_head(status, fields, length, framing, closes_connection, self._front.date())
        sent_body = b"" if message is not None and message.method == "HEAD" else body
        if remainder is None or not sent_body:
            transport.write(head + sent_body)
            if remainder is not None:
                remainder.dispose()
            self._on_response_sent(closes_connection)
            return
        transport.write(head + (encode_chunk(sent_body) if framing is Framing.CHUNKED else sent_body))
        send_coroutine = self._send_remainder(remainder, framing, closes_connection)
        self._send_task = asyncio.get_running_loop().create_task(send_coroutine)

    def take_queue_time_us(self) -> int:
        """How long the open request waited until its connection was accepted; 0 for all but the first."""
        queue_time_us = round(self.queue_time_s * 1e6)
        self.queue_time_s = 0.0
        return queue_time_us

    def refuse(self, status: int, reason: str) -> None:
        """Reject a request that can't be served, and close the connection after the response."""
        self._closes_after_response = True
        self._body = None
        self.respond(status, f"{reason}\n".encode())

    def end_unfinished(self) -> None:
        """Close the connection immediately, with a refusal if the rest of its request may have arrived."""
        if self.state == "reading" and has_unread_input(self.transport):
            self._refuse_for(NotReadInTimeError())
        self.drop()

    def _refuse_for(self, error: RefusedRequestError) -> None:
        """Reject a request for the reason that an error states, and count the reason."""
        kind = type(error).__name__
        self._front.counts[f"refused_{kind}"] += 1
        call_id = self.fields.get(b"x-call-id", b"").decode("utf-8", "replace")
        self._front.log(kind, "request refused", request=call_id, error=kind, reason=str(error))
        self.refuse(error.status, str(error))

    def _discard_request(self) -> None:
        """Free the memory of the request."""
        if self._memory.is_head_large and self._parser is not None:
            self._renew_parser()
        self._buffer.clear()
        self._memory.clear()
        self._body_plan = BodyPlan.BUFFER
        self._has_sized_body = False
        self.fields = {}

    def _is_last_response(self, message: RawRequestMessage | None, framing: Framing) -> bool:
        """Whether the connection closes after the response to this request."""
        return (
            self._closes_after_response
            or self._front.closes_connections
            or message is None
            or message.should_close
            or framing is Framing.UNTIL_CLOSE
        )

    def _on_response_sent(self, closes_connection: bool) -> None:
        if self.unsent_bytes():
            self.table.close_unread()
        if closes_connection or self._closes_after_response:
            self.linger()
        else:
            limit_read_size(self.transport, HEAD_READ_BYTES)
            self.table.set_state(self, "idle")

    async def _send_remainder(
        self, remainder: ResponseRemainder, framing: Framing, closes_connection: bool
    ) -> None:
        """Send the remainder of a response; if it is cut short, end the connection to tell the client."""
        transport = self.transport
        assert transport is not None
        if await send_remainder(transport, self._drain_helper, remainder, framing):
            self._send_task = None
            self._on_response_sent(closes_connection)
            return
        self._front.counts["answers_broken"] += 1
        if framing is Framing.UNTIL_CLOSE:
            self.reset()
        else:
            self.drop()


class PlatformServer(TrackedServer):
    """Creates a connection object for each client that connects to the platform listener."""

    def __init__(self, front: RequestFront, table: ConnectionTable) -> None:
        super().__init__(
            table,
            PlatformConnection,
            _unused_request_handler,
            access_log=None,
            read_bufsize=STREAM_READ_AHEAD_BYTES,
        )
        self.front = front


async def _unused_request_handler(request: object) -> Any:
    raise NotImplementedError("PlatformConnection handles requests without an aiohttp request handler")
