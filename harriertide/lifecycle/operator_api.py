"""The operators' address: HTTP/1.1, one call a connection, answered in the loop turn that reads it.

Nothing here waits for requests of clients. Callers that send nothing, or half a call, hold one of a few
connections for a while; where all are held, the oldest is closed for a new one. A call changes something only
when all of it has come, its body included.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import StreamReader

from harriertide.http.limits import OPERATOR_DESCRIPTOR_COUNT
from harriertide.http.transfer_coding import TransferCodingError, check_body_coding
from harriertide.lifecycle.machine import CommandResult, Lifecycle

# Of the descriptors reserved for operators the listener has one, and a caller that is being closed another.
MAX_CONNECTION_COUNT = OPERATOR_DESCRIPTOR_COUNT - 2
REQUEST_TIMEOUT_S = 5.0  # for a whole call to come; till then it holds one of the few connections
CLOSE_TIMEOUT_S = 0.3  # for the caller to read its answer and to end its side, before it is cut off
MAX_HEAD_BYTES = 8 * 1024  # no call needs a fraction of it
MAX_BODY_BYTES = 64 * 1024  # no call needs a body: one that comes is read and disregarded
_REASON_PHRASES = {
    HTTPStatus.OK: "OK",
    HTTPStatus.BAD_REQUEST: "Bad Request",
    HTTPStatus.NOT_FOUND: "Not Found",
    HTTPStatus.METHOD_NOT_ALLOWED: "Method Not Allowed",
    HTTPStatus.REQUEST_TIMEOUT: "Request Timeout",
    HTTPStatus.CONFLICT: "Conflict",
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: "Content Too Large",
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: "Request Header Fields Too Large",
    HTTPStatus.NOT_IMPLEMENTED: "Not Implemented",
    HTTPStatus.SERVICE_UNAVAILABLE: "Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class Operation:
    """A call that operators may make.

    :param method: the one that it takes.
    :param run: does it.
    :param refused_status: of the response where it is not accepted.
    """

    method: str
    run: Callable[[], CommandResult]
    refused_status: HTTPStatus


@dataclass(frozen=True, slots=True)
class OperatorResponse:
    """What a caller is answered.

    :param line: the body, one line of plain text.
    :param allowed_method: the method that the path takes, where the call had another.
    """

    status: HTTPStatus
    line: str
    allowed_method: str = ""

    def encode(self, with_body: bool) -> bytes:
        """Its bytes; a response to HEAD has no body."""
        body = f"{self.line}\n"
        fields = [
            f"HTTP/1.1 {self.status.value} {_REASON_PHRASES[self.status]}",
            "Content-Type: text/plain; charset=utf-8",
            f"Content-Length: {len(body)}",
            "Connection: close",
        ]
        if self.allowed_method:
            fields.append(f"Allow: {self.allowed_method}")
        head = "\r\n".join(fields) + "\r\n\r\n"
        return (head + body if with_body else head).encode()


class OperatorApi:
    """The calls that operators may make, and their connections.

    :param on_change: called after each call, in the same loop turn.
    """

    def __init__(self, lifecycle: Lifecycle, on_change: Callable[[], None]) -> None:
        self.counts: Counter[str] = Counter()
        self._on_change = on_change
        self._operations: Mapping[str, Operation] = {
            "/api/ready": Operation("GET", lifecycle.report_readiness, HTTPStatus.SERVICE_UNAVAILABLE),
            "/api/evacuate": Operation("POST", lifecycle.evacuate, HTTPStatus.CONFLICT),
            "/api/rejoin": Operation("POST", lifecycle.rejoin, HTTPStatus.CONFLICT),
        }
        self._connections: dict[OperatorConnection, None] = {}  # in the order of their coming

    def connection(self) -> OperatorConnection:
        """The protocol of a new connection."""
        return OperatorConnection(self)

    def add(self, connection: OperatorConnection) -> None:
        """Register a new connection; the oldest is closed where there are too many.

        Guards against callers that connect and send nothing keeping out one that wants an answer now.
        """
        self._connections[connection] = None
        if len(self._connections) > MAX_CONNECTION_COUNT:
            self.counts["made_room"] += 1
            oldest = next(iter(self._connections))
            oldest.abort()

    def remove(self, connection: OperatorConnection) -> None:
        """Forget a connection that is closed."""
        self._connections.pop(connection, None)

    def handle(self, method: str, target: str) -> OperatorResponse:
        """Carry out a call that has come complete."""
        path = target.partition("?")[0]
        operation = self._operations.get(path)
        if operation is None:
            return OperatorResponse(HTTPStatus.NOT_FOUND, "no such call")
        if method != operation.method:
            line = f"{path} takes {operation.method}"
            return OperatorResponse(HTTPStatus.METHOD_NOT_ALLOWED, line, allowed_method=operation.method)
        result = operation.run()
        self.counts[path.rpartition("/")[2]] += 1
        self._on_change()
        return OperatorResponse(HTTPStatus.OK if result.accepted else operation.refused_status, result.state)

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._connections):
            connection.abort()


class OperatorConnection(BaseProtocol):
    """One caller's connection: one call, one response."""

    def __init__(self, api: OperatorApi) -> None:
        loop = asyncio.get_running_loop()
        # not _parser: that name is the base class's
        self._call_parser = HttpRequestParser(
            self,
            loop,
            MAX_BODY_BYTES,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            auto_decompress=False,
        )
        super().__init__(loop, self._call_parser)
        self._api = api
        self._has_responded = False
        self._received_bytes = 0
        self._message: RawRequestMessage | None = None
        self._body: StreamReader | None = None
        self._timeout = loop.call_later(REQUEST_TIMEOUT_S, self._on_timeout)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the API."""
        super().connection_made(transport)
        self._api.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection holds."""
        self._timeout.cancel()
        self._api.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Read more of the call. What comes behind its response is discarded."""
        if self._has_responded or not data:
            return
        self._received_bytes += len(data)
        try:
            messages, upgraded, _ = self._call_parser.feed_data(data)
            if messages:
                self._begin_call(*messages[0])
        except TransferCodingError as error:
            self._refuse(error.status, str(error))
            return
        except (HttpProcessingError, ValueError) as error:
            self._refuse_malformed(error)
            return
        if upgraded:
            self._refuse(HTTPStatus.BAD_REQUEST, "no other protocol is spoken here")
            return
        self._respond_if_complete()

    def _begin_call(self, message: RawRequestMessage, body: StreamReader) -> None:
        """Take a call whose head has come.

        :raises TransferCodingError: its body can't be decoded
        """
        self._message, self._body = message, body
        check_body_coding(message)

    def _refuse_malformed(self, error: Exception) -> None:
        is_head_too_long = self._message is None and self._received_bytes > MAX_HEAD_BYTES
        if isinstance(error, LineTooLong) or is_head_too_long:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long")
        else:
            self._refuse(HTTPStatus.BAD_REQUEST, "the call can't be read")

    def _respond_if_complete(self) -> None:
        """Respond once the call is complete, or can't become a good one any more."""
        message, body = self._message, self._body
        if message is None or body is None:
            if self._received_bytes > MAX_HEAD_BYTES:
                self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long")
        elif body.exception() is not None:
            self._refuse(HTTPStatus.BAD_REQUEST, "the body can't be read")
        elif self._received_bytes > MAX_HEAD_BYTES + MAX_BODY_BYTES:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")
        elif body.is_eof():
            self._respond(self._api.handle(message.method, message.path))

    def _refuse(self, status: HTTPStatus, line: str) -> None:
        self._respond(OperatorResponse(status, line))

    def _respond(self, response: OperatorResponse) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self._has_responded = True
        self._api.counts[f"answers_{response.status.value}"] += 1
        with_body = self._message is None or self._message.method != "HEAD"
        transport.write(response.encode(with_body))
        self._timeout.cancel()
        self._timeout = asyncio.get_running_loop().call_later(CLOSE_TIMEOUT_S, self.abort)
        try:
            transport.write_eof()
        except (OSError, RuntimeError):  # the caller is gone already
            self.abort()

    def _on_timeout(self) -> None:
        self._refuse(HTTPStatus.REQUEST_TIMEOUT, "the call did not come whole")

    def abort(self) -> None:
        """Close the connection now."""
        self._timeout.cancel()
        self._api.remove(self)
        if self.transport is not None:
            self.transport.abort()
