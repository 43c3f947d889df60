"""The platform's front: reads the fields that the decisions need; the rest passes as it came.

Its connections are aiohttp's, but each request is taken in the same turn of the loop in which its last byte
was read, and answered in the one in which the core decides, with no task of its own.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from email.utils import formatdate
from typing import Any

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader

from harriertide.core import events as ev
from harriertide.decide.settings import Names
from harriertide.engine.runtime import Attempt, Ending, Runtime
from harriertide.http.clients import ClientConnection, ConnectionTable, FrontServer
from harriertide.http.nodes import NodeClient, Reply
from harriertide.http.quiet import ended
from harriertide.platform.fields import Fields, MalformedError, passed_on, read_arrival, read_fields

BODY_BYTES = 64 * 1024
READY, SERVICE = "/health/ready", "/api"
_REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 413: "Content Too Large", 502: "Bad Gateway",
    503: "Service Unavailable",
}  # fmt: skip


class PlatformJob:
    """One request of the platform on its way."""

    context = None
    __slots__ = ("_client", "_line", "_method", "_target", "_rows", "_body")

    def __init__(
        self, client: NodeClient, line: PlatformConnection, message: RawRequestMessage, body: bytes
    ) -> None:
        self._client, self._line, self._body = client, line, body
        self._method, self._target = message.method, message.path
        self._rows = passed_on(message.raw_headers)

    async def attempt(self, attempt: Attempt) -> Ending:
        """Pass the request on as it came, with the time that this broker will wait."""
        wait_ms = max(1, (attempt.stop_at_us - attempt.runtime.clock.now_us()) // 1000)
        rows = [*self._rows, (b"X-Budget-Ms", b"%d" % wait_ms)]
        return await self._client.exchange(attempt, self._method, self._target, rows, self._body)

    def gone(self) -> bool:
        """Whether the client has closed its connection, or its side of it."""
        return ended(self._line.transport)

    def answer(self, answer: ev.Answer) -> None:
        """Write the final answer to the connection that waits for it."""
        if answer.kind == "served" and isinstance(answer.reply, Reply):
            reply = answer.reply
            kind = reply.headers.get("Content-Type", "application/octet-stream")
            self._line.respond(200, reply.body, f"Content-Type: {kind}\r\n")
        elif answer.kind == "refused":
            wait = f"Retry-After: {answer.retry_after_us / 1e6:.3f}\r\n" if answer.retry_after_us > 0 else ""
            self._line.respond(503, b"refused: trying again is harmless\n", wait)
        else:
            self._line.respond(502, b"failed\n")


class PlatformConnection(ClientConnection):
    """One connection of a client of the platform: one request at a time."""

    __slots__ = ("_front", "_body", "_closing", "_message", "request", "fields")

    def __init__(self, server: PlatformServer, **named: Any) -> None:
        super().__init__(server, max_line_size=16_384, auto_decompress=False, **named)
        self._front = server.front
        self._message: RawRequestMessage | None = None  # read, its body or its answer on the way
        self._body: StreamReader | None = None
        self._closing = False
        self.request = ""  # its id while the core has it
        self.fields: Fields = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        BaseProtocol.connection_made(self, transport)  # and none of the handler's task and timer
        assert self._manager is not None and isinstance(transport, asyncio.Transport)
        self._manager.connection_made(self, transport)
        self.table.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        if self.request:
            self._front.left(self)
        super().connection_lost(exc)

    # --- what comes ----------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Take a request as soon as it is whole.

        Clients send one at a time. One that does not is answered the first, and closed: what it sent ahead is
        not read, so that it costs the others nothing.
        """
        if not data:  # the reader of a body has caught up; none is longer than what is read ahead
            return
        if self.state == "lingering":
            self.discard(data)
            return
        self._closing = self._closing or self.state == "busy"
        if self._closing or self._force_close:
            return
        if self.state != "reading":
            self.table.move(self, "reading")
        assert self._parser is not None
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except (HttpProcessingError, ValueError):
            self.refuse(400, "the request can't be read")
            return
        if upgraded:
            self.refuse(400, "no other protocol is spoken here")
            return
        if messages:
            self._closing = len(messages) > 1
            self._begin(*messages[0])
        if self._body is not None:
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
            self.refuse(413, "the body is over 64 KiB")  # unread
            return
        if self.fields.get(b"expect", b"").lower() == b"100-continue" and not body.is_eof():
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._body = body

    def _look_at_body(self, body: StreamReader) -> None:
        if body.exception() is not None:
            self.refuse(400, "the body can't be read")
        elif body.total_bytes > BODY_BYTES:
            self.refuse(413, "the body is over 64 KiB")
        elif body.is_eof():
            message, self._body = self._message, None
            assert message is not None and self._parser is not None
            self._parser.message_consumed()
            self.table.move(self, "busy")
            self._front.take(self, message, body.read_nowait(-1))

    # --- what goes -----------------------------------------------------------------------------

    def respond(self, status: int, body: bytes, fields: str = "") -> None:
        """The one answer to the request that was read."""
        message, self._message, self.request = self._message, None, ""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self._front.counts[f"answers_{status}"] += 1
        closes = self._closing or self._front.last or message is None or message.should_close
        if closes:
            fields += "Connection: close\r\n"
        head = (
            f"HTTP/1.1 {status} {_REASONS[status]}\r\n{fields}Date: {self._front.date()}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        shown = b"" if message is not None and message.method == "HEAD" else body
        transport.write(head.encode("utf-8", "surrogateescape") + shown)
        if closes:
            self.linger()
        else:
            self.table.move(self, "idle")

    def refuse(self, status: int, reason: str) -> None:
        """An answer to what can't be served, the last one on this connection."""
        self._closing, self._body = True, None
        self.respond(status, f"{reason}\n".encode())


class PlatformServer(FrontServer):
    """aiohttp's low-level server for the platform's front."""

    def __init__(self, front: Front, table: ConnectionTable) -> None:
        super().__init__(table, PlatformConnection, _unused, access_log=None)
        self.front = front


async def _unused(request: object) -> Any:
    raise NotImplementedError("the platform's connections take their requests themselves")


class Front:
    """Handles requests of the platform's protocol."""

    def __init__(self, runtime: Runtime, client: NodeClient, names: Names) -> None:
        self.counts: Counter[str] = Counter()
        self.ready, self.names = True, names
        self.last = False  # each answer is the last on its connection
        self.stopped = False  # nothing is sent on any more
        self._runtime, self._client = runtime, client
        self._second, self._date = 0, ""

    def date(self) -> str:
        """Now, as HTTP writes it."""
        second = self._runtime.clock.now_us() // 1_000_000
        if second != self._second:
            self._second, self._date = second, formatdate(second, usegmt=True)
        return self._date

    def take(self, line: PlatformConnection, message: RawRequestMessage, body: bytes) -> None:
        """A whole request: answer it, or give it to the core."""
        path = message.path.partition("?")[0]
        if path == READY:
            if self.ready:
                line.respond(200, b"ready\n")
            else:
                line.respond(503, b"stopping\n")
            return
        if path != SERVICE:
            line.refuse(404, "no such route")
            return
        if self.stopped:
            line.respond(503, b"refused: trying again is harmless\n")
            return
        runtime = self._runtime
        try:
            if body and message.method == "GET":
                raise MalformedError("a GET has no body")
            arrival = read_arrival(
                message.method, message.path, line.fields, runtime.clock.now_us(), self.names,
                runtime.core.settings,
            )  # fmt: skip
        except MalformedError as reason:
            line.refuse(400, str(reason))
            return
        line.request = arrival.request
        if not runtime.submit(arrival, PlatformJob(self._client, line, message, body)):
            line.refuse(400, "X-Call-Id is in use")

    def left(self, line: PlatformConnection) -> None:
        """The client closed its connection while its request was open."""
        self._runtime.left(line.request)
