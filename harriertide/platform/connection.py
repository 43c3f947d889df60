"""Connections of the platform's clients: a request is read, given on, and answered as its node answers.

They are aiohttp's, but each request is taken in the same turn of the loop in which its last byte was read,
and answered in the one in which the core decides, with no task of its own.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import HttpVersion11
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import StreamReader

from harriertide.core import events as ev
from harriertide.engine.runtime import Attempt, AttemptResult
from harriertide.http.clients import ClientConnection, ConnectionTable, FrontServer
from harriertide.http.node_connection import RELAY_READ, read_in_chunks
from harriertide.http.nodes import NodeClient, Reply
from harriertide.http.quiet import ended
from harriertide.http.relay import IDLE_S, Remainder
from harriertide.platform.fields import Fields, MalformedError, passed_on, read_fields

if TYPE_CHECKING:
    from harriertide.platform.front import Front

BODY_BYTES = 32 * 1024 * 1024  # of a request
SMALL_BYTES = 64 * 1024  # a body up to so much is kept at any rate
SLOWEST_BYTES_S = 32_000  # of a body that is still taken: half of what the slowest clients send
LAST_CHUNK = b"0\r\n\r\n"
RESET = struct.pack("ii", 1, 0)  # of a socket's linger option: the connection is reset as it is closed
_REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 413: "Content Too Large", 502: "Bad Gateway",
    503: "Service Unavailable",
}  # fmt: skip


class PlatformJob:
    """One request of the platform on its way."""

    context = None
    __slots__ = ("_client", "_line", "_method", "_target", "_rows", "_body")

    def __init__(
        self,
        client: NodeClient,
        line: PlatformConnection,
        message: RawRequestMessage,
        body: bytes | ComingBody,
    ) -> None:
        self._client, self._line, self._body = client, line, body
        self._method, self._target = message.method, message.path
        self._rows = passed_on(message.raw_headers)

    async def perform(self, attempt: Attempt) -> AttemptResult:
        """Pass the request on as it came, with the time that this broker will wait."""
        wait_ms = max(1, (attempt.stop_at_us - attempt.runtime.clock.now_us()) // 1000)
        rows = [*self._rows, (b"X-Budget-Ms", b"%d" % wait_ms)]
        if isinstance(self._body, ComingBody):
            rows.append(self._body.framing)
            return AttemptResult(
                *await self._client.relay(
                    attempt, self._method, self._target, rows, self._body.chunks(attempt)
                )
            )
        if self._body or self._method != "GET":
            rows.append((b"Content-Length", b"%d" % len(self._body)))
        return AttemptResult(*await self._client.relay(attempt, self._method, self._target, rows, self._body))

    def has_client_disconnected(self) -> bool:
        """Whether the client has closed its connection, or its side of it."""
        return ended(self._line.transport)

    def respond(self, answer: ev.Respond) -> None:
        """Write the final answer to the connection that waits for it."""
        if answer.kind == "served" and isinstance(answer.reply, Reply):
            reply = answer.reply
            kind = reply.headers.get("Content-Type", "application/octet-stream")
            self._line.respond(200, reply.body, f"Content-Type: {kind}\r\n", reply.rest)
        elif answer.kind == "rejected":
            wait = f"Retry-After: {answer.retry_after_us / 1e6:.3f}\r\n" if answer.retry_after_us > 0 else ""
            self._line.respond(503, b"refused: trying again is harmless\n", wait)
        else:
            self._line.respond(502, b"failed\n")


class PlatformConnection(ClientConnection):
    """One connection of a client of the platform: one request at a time."""

    __slots__ = (
        "_front", "_body", "_closing", "_message", "_kept", "_come", "_looking", "_kept_bytes",
        "_sending", "request", "fields",
    )  # fmt: skip

    def __init__(self, server: PlatformServer, **named: Any) -> None:
        super().__init__(server, max_line_size=16_384, auto_decompress=False, **named)
        self._front = server.front
        self._message: RawRequestMessage | None = None  # read, its body or its answer on the way
        self._body: StreamReader | None = None
        self._kept: list[bytes] = []  # of the body, while it comes
        self._come = 0  # bytes of it
        self._looking = False  # its reader is being read
        self._kept_bytes = 0  # that count against the budget of bodies, until the request is answered
        self._closing = False
        self._sending: asyncio.Task[None] | None = None  # the rest of an answer
        self.request = ""  # its id while the core has it
        self.fields: Fields = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        BaseProtocol.connection_made(self, transport)  # and none of the handler's task and timer
        assert self._manager is not None and isinstance(transport, asyncio.Transport)
        self._manager.connection_made(self, transport)
        transport.set_write_buffer_limits(RELAY_READ)
        read_in_chunks(transport)
        self.table.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        if self.request:
            self._front.left(self)
        if self._sending is not None:
            self._sending.cancel()
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(ConnectionResetError("the client has gone"))
        self._give_back()
        super().connection_lost(exc)

    def _give_back(self) -> None:
        self._front.bodies.give_back(self._kept_bytes)
        self._kept_bytes, self._kept, self._come = 0, [], 0

    # --- what comes ----------------------------------------------------------------------------

    @property
    def reading_s(self) -> float:
        """Time for the rest of a request to come: more, the more of its body has come."""
        return super().reading_s + self._come / SLOWEST_BYTES_S

    def data_received(self, data: bytes) -> None:
        """Take a request as soon as it is whole.

        Clients send one at a time. One that does not is answered the first, and closed: what it sent ahead is
        not read, so that it costs the others nothing.
        """
        if not data and self._body is None:  # the reader of a body has caught up, and it is over
            return
        if self.state == "lingering":
            self.discard(data)
            return
        streams = self._body is not None and self.state == "busy"
        self._closing = self._closing or (self.state == "busy" and not streams)
        if (self._closing and not streams) or self._force_close:
            return
        if self.state != "reading" and not streams:
            self.table.move(self, "reading")
        assert self._parser is not None
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except (HttpProcessingError, ValueError):
            if not streams:  # else its reader hears of it
                self.refuse(400, "the request can't be read")
            return
        if upgraded:
            self.refuse(400, "no other protocol is spoken here")
            return
        if streams:
            self._closing = self._closing or bool(messages)
            return
        if messages and self._message is not None:  # sent ahead, in one piece with the end of a body
            self._closing = True
        elif messages:
            self._closing = len(messages) > 1
            self._begin(*messages[0])
        if self._body is not None and not self._looking:
            self._look_at_body(self._body)

    def _begin(self, message: RawRequestMessage, body: StreamReader) -> None:
        """A head has come."""
        self._message = message
        try:
            self.fields = read_fields(message.raw_headers)
        except MalformedError as reason:
            self.refuse(400, str(reason))
            return
        size = self.fields.get(b"content-length", b"0")
        if len(size) > 9 or not size.isdigit() or int(size) > BODY_BYTES:
            self.refuse(413, "the body is too long")  # unread
            return
        if self.fields.get(b"expect", b"").lower() == b"100-continue" and not body.is_eof():
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._body = body
        self._keep(int(size))

    def _keep(self, size: int) -> bool:
        """Whether there is room to keep so many bytes of the body in all."""
        more = size - self._kept_bytes
        if more > 0 and self._front.bodies.take(more, at_any_rate=size <= SMALL_BYTES):
            self._kept_bytes = size
        return self._kept_bytes >= size

    def _look_at_body(self, body: StreamReader) -> None:
        """Keep what has come. What there is no room for is sent on as it comes."""
        if body.exception() is not None:
            self.refuse(400, "the body can't be read")
            return
        self._looking = True  # a reader that has room again has the parser go on, within the call
        while part := body.read_nowait(-1):
            self._kept.append(part)
            self._come += len(part)
        self._looking = False
        message, come = self._message, self._come
        assert message is not None
        if body.is_eof():
            self.body_taken()
            self.table.move(self, "busy")
            self._front.take(self, message, self._joined())
        elif come > BODY_BYTES:
            self.refuse(413, "the body is too long")
        elif not self._keep(max(come, int(self.fields.get(b"content-length", b"0")))) and come >= SMALL_BYTES:
            self.table.move(self, "busy")
            self._front.take(self, message, ComingBody(self, body, self._joined()))

    def _joined(self) -> bytes:
        """What has come of the body, in one piece, which is the only one: a second would count nowhere."""
        joined = b"".join(self._kept)
        self._kept = []
        return joined

    def too_long(self) -> None:
        """A body that was sent on as it came goes beyond the bound: no answer of a node counts any more."""
        self._front.left(self)
        self.refuse(413, "the body is too long")

    def body_taken(self) -> None:
        """The body has come to its end."""
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

    # --- what goes -----------------------------------------------------------------------------

    def respond(self, status: int, body: bytes, fields: str = "", rest: Remainder | None = None) -> None:
        """The one answer to the request that was read. rest: behind that part of its body."""
        message, self._message, self.request = self._message, None, ""
        self._give_back()
        transport = self.transport
        if transport is None or transport.is_closing():
            if rest is not None:
                rest.dispose()
            return
        self._front.counts[f"answers_{status}"] += 1
        if self._body is not None:  # it is not whole, and will not be read on
            self._closing, self._body = True, None
        old = message is not None and message.version < HttpVersion11
        unsized = rest is not None and rest.length is None
        closes = self._closing or self._front.last or message is None or message.should_close
        closes = closes or (old and unsized)
        if closes:
            fields += "Connection: close\r\n"
        if not unsized:
            fields += f"Content-Length: {len(body) if rest is None else rest.length}\r\n"
        elif not old:
            fields += "Transfer-Encoding: chunked\r\n"
        head = f"HTTP/1.1 {status} {_REASONS[status]}\r\n{fields}Date: {self._front.date()}\r\n\r\n"
        shown = b"" if message is not None and message.method == "HEAD" else body
        if rest is None or not shown:
            transport.write(head.encode("utf-8", "surrogateescape") + shown)
            if rest is not None:
                rest.dispose()
            self._answered(closes)
            return
        chunked = unsized and not old
        transport.write(head.encode("utf-8", "surrogateescape") + (_chunk(shown) if chunked else shown))
        sending = self._send(rest, chunked, closes, cut=unsized and old)
        self._sending = asyncio.get_running_loop().create_task(sending)

    def _answered(self, closes: bool) -> None:
        if closes or self._closing:
            self.linger()
        else:
            self.table.move(self, "idle")

    async def _send(self, rest: Remainder, chunked: bool, closes: bool, cut: bool) -> None:
        """The rest of an answer, as fast as the client reads it. cut: only the connection's end ends it."""
        transport = self.transport
        assert transport is not None
        try:
            async for chunk in rest.chunks():
                transport.write(_chunk(chunk) if chunked else chunk)
                async with asyncio.timeout(IDLE_S):
                    await self._drain_helper()
            if chunked:
                transport.write(LAST_CHUNK)
            self._sending = None
            self._answered(closes)
        except (OSError, TimeoutError, aiohttp.ClientError, HttpProcessingError):
            self._front.counts["answers_broken"] += 1
            if cut:
                self._reset(transport)
            else:
                self.drop()
        finally:
            rest.dispose()

    def _reset(self, transport: asyncio.Transport) -> None:
        """End the connection with a reset: an end in order would pass for the answer's own."""
        end = transport.get_extra_info("socket")
        if end is not None:
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.force_close()
        transport.abort()

    def refuse(self, status: int, reason: str) -> None:
        """An answer to what can't be served, the last one on this connection."""
        self._closing, self._body = True, None
        self.respond(status, f"{reason}\n".encode())


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class ComingBody:
    """The body of a request that is sent on as it comes: what has come so far, and the rest once."""

    def __init__(self, line: PlatformConnection, reader: StreamReader, begun: bytes) -> None:
        self._line, self._reader, self._begun = line, reader, begun
        size = line.fields.get(b"content-length")
        self._chunked = size is None
        self.framing = (b"Content-Length", size) if size is not None else (b"Transfer-Encoding", b"chunked")

    async def chunks(self, attempt: Attempt) -> AsyncIterator[bytes]:
        """All of it, in its framing. From its second part on no other attempt can be made."""
        yield self._framed(self._begun)
        attempt.runtime.response_started(attempt)
        come, self._begun = len(self._begun), b""
        while not self._reader.at_eof():
            async with asyncio.timeout(IDLE_S):
                chunk = await self._reader.readany()
            come += len(chunk)
            if come > BODY_BYTES:
                self._line.too_long()
                raise MalformedError("the body is too long")
            if chunk:
                yield self._framed(chunk)
        if self._chunked:
            yield LAST_CHUNK
        self._line.body_taken()

    def _framed(self, data: bytes) -> bytes:
        return _chunk(data) if self._chunked else data


class PlatformServer(FrontServer):
    """aiohttp's low-level server for the platform's front."""

    def __init__(self, front: Front, table: ConnectionTable) -> None:
        super().__init__(table, PlatformConnection, _unused, access_log=None)
        self.front = front


async def _unused(request: object) -> Any:
    raise NotImplementedError("the platform's connections take their requests themselves")
