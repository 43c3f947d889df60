"""Bodies of platform requests: buffered until complete, or streamed to the node while they arrive.

A retry can send a buffered body again. A body that is streamed gets one attempt only. Which it is, and what
it may take of the memory, is decided in `request_memory`.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Protocol

from aiohttp.streams import StreamReader

from harriertide.engine.runtime import Attempt
from harriertide.http.body_stream import STREAM_IDLE_TIMEOUT_S
from harriertide.http.errors import RefusedRequestError
from harriertide.platform.fields import HeaderFields
from harriertide.platform.response_writer import LAST_CHUNK, encode_chunk

MAX_REQUEST_BODY_BYTES = 32 * 1024 * 1024  # limit of the platform's protocol
MAX_LENGTH_DIGITS = 9  # of Content-Length; a longer number exceeds any limit


class BodyTooLongError(RefusedRequestError):
    """A request body exceeds MAX_REQUEST_BODY_BYTES."""

    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


def declared_length(fields: HeaderFields) -> int:
    """Return the Content-Length of a request, or 0 if the field is absent.

    :raises BodyTooLongError: the value exceeds MAX_REQUEST_BODY_BYTES or is not a number
    """
    digits = fields.get(b"content-length", b"0")
    if len(digits) > MAX_LENGTH_DIGITS or not digits.isdigit() or int(digits) > MAX_REQUEST_BODY_BYTES:
        raise BodyTooLongError("the body is too long")
    return int(digits)


class RequestBodyBuffer:
    """The received part of a request body."""

    __slots__ = ("_parts", "received_bytes")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self.received_bytes = 0

    def append(self, part: bytes) -> None:
        """Append the next bytes of the body."""
        self._parts.append(part)
        self.received_bytes += len(part)

    def is_too_long(self) -> bool:
        """Whether the received part exceeds MAX_REQUEST_BODY_BYTES."""
        return self.received_bytes > MAX_REQUEST_BODY_BYTES

    def take(self) -> bytes:
        """Move the received bytes out of the buffer, as the budget does not account for a second copy."""
        joined = b"".join(self._parts)
        self._parts = []
        return joined

    def clear(self) -> None:
        """Discard the body."""
        self._parts = []
        self.received_bytes = 0


class BodyOwner(Protocol):
    """The connection that receives a body."""

    fields: HeaderFields

    def on_body_too_long(self) -> None:
        """Handle a body that exceeds MAX_REQUEST_BODY_BYTES."""

    def on_body_end(self) -> None:
        """Handle the end of the body, after its last byte was read."""


class StreamedRequestBody:
    """A request body that is streamed to the node; its first part can be resent, the remainder cannot.

    :param owner: the connection that receives the body
    :param reader: reads the remainder of the body
    :param first_part: the buffered part; a retry can send it again until the remainder has been started
    """

    def __init__(self, owner: BodyOwner, reader: StreamReader, first_part: bytes) -> None:
        self._owner = owner
        self._reader = reader
        self._first_part = first_part
        length = owner.fields.get(b"content-length")
        self._is_chunked = length is None
        self.framing_header = (
            (b"Content-Length", length) if length is not None else (b"Transfer-Encoding", b"chunked")
        )

    async def chunks(self, attempt: Attempt) -> AsyncIterator[bytes]:
        """Yield the framed body. No retry is possible once the remainder has been started.

        :raises BodyTooLongError: the body exceeds MAX_REQUEST_BODY_BYTES
        :raises TimeoutError: the client sends nothing for STREAM_IDLE_TIMEOUT_S
        """
        yield self._frame(self._first_part)
        attempt.runtime.response_started(attempt)
        received_bytes = len(self._first_part)
        self._first_part = b""
        while not self._reader.at_eof():
            async with asyncio.timeout(STREAM_IDLE_TIMEOUT_S):
                chunk = await self._reader.readany()
            received_bytes += len(chunk)
            if received_bytes > MAX_REQUEST_BODY_BYTES:
                self._owner.on_body_too_long()
                raise BodyTooLongError("the body is too long")
            if chunk:
                yield self._frame(chunk)
        if self._is_chunked:
            yield LAST_CHUNK
        self._owner.on_body_end()

    def _frame(self, data: bytes) -> bytes:
        return encode_chunk(data) if self._is_chunked else data
