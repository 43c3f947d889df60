"""The operators' address: HTTP/1.1, one call a connection, answered in the turn of the loop that reads it.

Nothing here waits for requests of clients. Callers that send nothing, or half a call, hold one of a few
connections for a while; where all are held, the one that has said nothing for longest makes room. A call
changes something only when it has come whole, its body included.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import StreamReader

from harriertide.http.limits import OPERATOR_DESCRIPTOR_COUNT
from harriertide.lifecycle.machine import Lifecycle, Verdict

# its listener has one descriptor, a caller that is about to be dropped another
MOST_CALLERS = OPERATOR_DESCRIPTOR_COUNT - 2
CALL_S = 5.0  # for a whole call to come
CLOSE_S = 0.3  # for the caller to read its answer and to end its side
HEAD_BYTES = 8 * 1024
BODY_BYTES = 64 * 1024
_REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}  # fmt: skip

Call = Callable[[], Verdict]


class OperatorApi:
    """The calls that operators may make, and their connections. changed: called after each."""

    def __init__(self, life: Lifecycle, changed: Callable[[], None]) -> None:
        self.counts: Counter[str] = Counter()
        self._changed = changed
        self._calls: Mapping[str, tuple[str, Call, int]] = {  # by path: method, call, status where it is a no
            "/api/ready": ("GET", life.ready, 503),
            "/api/evacuate": ("POST", life.evacuate, 409),
            "/api/rejoin": ("POST", life.rejoin, 409),
        }
        self._callers: dict[OperatorConnection, None] = {}  # the longest there first

    def connection(self) -> OperatorConnection:
        """The protocol of a new connection."""
        return OperatorConnection(self)

    def admit(self, caller: OperatorConnection) -> None:
        """A new connection."""
        self._callers[caller] = None
        if len(self._callers) > MOST_CALLERS:
            self.counts["made_room"] += 1
            next(iter(self._callers)).drop()

    def forget(self, caller: OperatorConnection) -> None:
        """It is gone."""
        self._callers.pop(caller, None)

    def answer(self, method: str, target: str) -> tuple[int, str, str]:
        """Make a call that has come whole: status, one line, and the method it takes if it is another."""
        path = target.partition("?")[0]
        if path not in self._calls:
            return 404, "no such call", ""
        allowed, call, refused = self._calls[path]
        if method != allowed:
            return 405, f"{path} takes {allowed}", allowed
        verdict = call()
        self.counts[path.rpartition("/")[2]] += 1
        self._changed()
        return 200 if verdict.done else refused, verdict.state, ""

    def close(self) -> None:
        """Drop all callers."""
        for caller in list(self._callers):
            caller.drop()


class OperatorConnection(BaseProtocol):
    """One caller's connection: one call, one answer."""

    def __init__(self, api: OperatorApi) -> None:
        loop = asyncio.get_running_loop()
        self._call_parser = HttpRequestParser(
            self, loop, BODY_BYTES, max_line_size=HEAD_BYTES, max_field_size=HEAD_BYTES, auto_decompress=False
        )
        super().__init__(loop, self._call_parser)
        self._api, self._answered = api, False
        self._received = 0
        self._message: RawRequestMessage | None = None
        self._body: StreamReader | None = None
        self._limit = loop.call_later(CALL_S, self._give_up)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A caller has come."""
        super().connection_made(transport)
        self._api.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """It is gone."""
        self._limit.cancel()
        self._api.forget(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """More of the call. What comes behind its answer is thrown away."""
        if self._answered or not data:
            return
        self._received += len(data)
        try:
            messages, upgraded, _ = self._call_parser.feed_data(data)
        except (HttpProcessingError, ValueError) as fault:
            if isinstance(fault, LineTooLong) or (self._message is None and self._received > HEAD_BYTES):
                self._respond(431, "the head is too long")
            else:
                self._respond(400, "the call can't be read")
            return
        if upgraded:
            self._respond(400, "no other protocol is spoken here")
        elif messages:
            self._message, self._body = messages[0]
        if not self._answered:
            self._look()

    def _look(self) -> None:
        """Answer once the call is whole, or can't become a good one any more."""
        message, body = self._message, self._body
        if message is None or body is None:
            if self._received > HEAD_BYTES:
                self._respond(431, "the head is too long")
        elif body.exception() is not None:
            self._respond(400, "the body can't be read")
        elif self._received > HEAD_BYTES + BODY_BYTES:
            self._respond(413, "the body is too long")
        elif body.is_eof():
            self._respond(*self._api.answer(message.method, message.path))

    def _respond(self, status: int, line: str, allowed: str = "") -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self._answered = True
        self._api.counts[f"answers_{status}"] += 1
        head = [
            f"HTTP/1.1 {status} {_REASONS[status]}",
            "Content-Type: text/plain; charset=utf-8",
            f"Content-Length: {len(line) + 1}",
            "Connection: close",
        ]
        if allowed:
            head.append(f"Allow: {allowed}")
        text = "\r\n".join(head) + f"\r\n\r\n{line}\n"
        shown = text if self._message is None or self._message.method != "HEAD" else text[: -len(line) - 1]
        transport.write(shown.encode())
        self._limit.cancel()
        self._limit = asyncio.get_running_loop().call_later(CLOSE_S, self.drop)
        try:
            transport.write_eof()
        except (OSError, RuntimeError):  # the caller is gone already
            self.drop()

    def _give_up(self) -> None:
        self._respond(408, "the call did not come whole")

    def drop(self) -> None:
        """End the connection now."""
        self._limit.cancel()
        self._api.forget(self)
        if self.transport is not None:
            self.transport.abort()
