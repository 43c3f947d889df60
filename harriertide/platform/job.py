"""A platform request in the broker: forwarded to a node, whose response is returned to the client."""

from __future__ import annotations

from collections.abc import Mapping

from aiohttp.http_parser import RawRequestMessage

from harriertide.core import events as ev
from harriertide.engine.runtime import Attempt, AttemptResult
from harriertide.http.node_client import NodeClient
from harriertide.http.node_response import Reply
from harriertide.http.socket_state import is_closed_by_peer
from harriertide.platform.connection import PlatformConnection
from harriertide.platform.fields import forwarded_headers
from harriertide.platform.request_body import StreamedRequestBody

REJECTED_BODY = b"refused: trying again is harmless\n"
FAILED_BODY = b"failed\n"
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class PlatformJob:
    """A platform request, as the runtime's job interface represents it.

    :param client: forwards the request to the storage nodes
    :param connection: the client connection that waits for the response
    :param message: the request head
    :param body: the request body, buffered or streamed
    """

    context = None
    __slots__ = ("_client", "_connection", "_method", "_target", "_headers", "_body")

    def __init__(
        self,
        client: NodeClient,
        connection: PlatformConnection,
        message: RawRequestMessage,
        body: bytes | StreamedRequestBody,
    ) -> None:
        self._client = client
        self._connection = connection
        self._body = body
        self._method = message.method
        self._target = message.path
        self._headers = forwarded_headers(message.raw_headers)

    async def perform(self, attempt: Attempt) -> AttemptResult:
        """Forward the request unchanged, except that X-Budget-Ms tells how long the broker will wait."""
        body = self._body
        wait_ms = max(1, (attempt.stop_at_us - attempt.runtime.clock.now_us()) // 1000)
        headers = [*self._headers, (b"X-Budget-Ms", b"%d" % wait_ms)]
        if isinstance(body, StreamedRequestBody):
            headers.append(body.framing_header)
            streamed = body.chunks(attempt)
            return AttemptResult(
                *await self._client.forward(attempt, self._method, self._target, headers, streamed)
            )
        if body or self._method != "GET":
            headers.append((b"Content-Length", b"%d" % len(body)))
        return AttemptResult(*await self._client.forward(attempt, self._method, self._target, headers, body))

    def has_client_disconnected(self) -> bool:
        """Whether the client has closed its connection, at least for sending."""
        return is_closed_by_peer(self._connection.transport)

    def respond(self, answer: ev.Respond) -> None:
        """Write the final response to the waiting connection."""
        if answer.kind == "served" and isinstance(answer.reply, Reply):
            reply = answer.reply
            self._connection.respond(200, reply.body, _content_fields(reply.headers), reply.rest)
        elif answer.kind == "rejected":
            retry_after_us = answer.retry_after_us
            fields = f"Retry-After: {retry_after_us / 1e6:.3f}\r\n" if retry_after_us > 0 else ""
            self._connection.respond(503, REJECTED_BODY, fields)
        else:
            self._connection.respond(502, FAILED_BODY)


def _content_fields(headers: Mapping[str, str]) -> str:
    """Return the header lines that tell a client how to read the body of a node's response."""
    fields = f"Content-Type: {headers.get('Content-Type', DEFAULT_CONTENT_TYPE)}\r\n"
    if "Content-Encoding" in headers:  # the body is passed on as it came
        codings = [value for name, value in headers.items() if name.lower() == "content-encoding"]
        fields += f"Content-Encoding: {', '.join(codings)}\r\n"
    return fields
