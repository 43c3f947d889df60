"""Bodies of platform requests: buffered while they come, or streamed to the node as they come.

A retry can send a buffered body again. All buffered bodies share a memory budget; one that finds no room in
it is streamed, and has one attempt.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Protocol

from aiohttp.streams import StreamReader

from harriertide.engine.runtime import Attempt
from harriertide.http.body_stream import STREAM_IDLE_TIMEOUT_S, BodyBudget
from harriertide.platform.fields import HeaderFields
from harriertide.platform.response_writer import LAST_CHUNK, encode_chunk

MAX_REQUEST_BODY_BYTES = 32 * 1024 * 1024  # the longest that the platform's protocol allows
MAX_LENGTH_DIGITS = 9  # of a Content-Length; more say nothing but "too long"
ALWAYS_BUFFERED_BYTES = 64 * 1024  # a body up to so long is buffered even where the budget is used up


class BodyTooLongError(Exception):
    """The client sent a body of more than MAX_REQUEST_BODY_BYTES; it is answered with status 413."""


def declared_length(fields: HeaderFields) -> int:
    """The length that the head states; 0 where it states none.

    :raises BodyTooLongError: it is more than a body may have, or no number at all
    """
    digits = fields.get(b"content-length", b"0")
    if len(digits) > MAX_LENGTH_DIGITS or not digits.isdigit() or int(digits) > MAX_REQUEST_BODY_BYTES:
        raise BodyTooLongError("the body is too long")
    return int(digits)


class RequestBodyBuffer:
    """What has come of the body of a connection's current request, with its part of the memory budget.

    :param budget: for the buffered bodies of all connections
    """

    __slots__ = ("_budget", "_parts", "_reserved_bytes", "received_bytes")

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._parts: list[bytes] = []
        self._reserved_bytes = 0  # until the request is answered, as a retry sends the body again
        self.received_bytes = 0

    def append(self, part: bytes) -> None:
        """Take the next bytes of the body."""
        self._parts.append(part)
        self.received_bytes += len(part)

    def reserve(self, size: int) -> bool:
        """Whether the budget has room for so many bytes of this body in all; they count from now on."""
        missing = size - self._reserved_bytes
        if missing > 0 and self._budget.reserve(missing, may_exceed=size <= ALWAYS_BUFFERED_BYTES):
            self._reserved_bytes = size
        return self._reserved_bytes >= size

    def is_too_long(self) -> bool:
        """Whether more has come than a body may have."""
        return self.received_bytes > MAX_REQUEST_BODY_BYTES

    def take(self) -> bytes:
        """What has come, in one piece. The buffer keeps none of it: a second copy would count nowhere."""
        joined = b"".join(self._parts)
        self._parts = []
        return joined

    def clear(self) -> None:
        """Forget the body and return its memory to the budget."""
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0
        self._parts = []
        self.received_bytes = 0


class BodyOwner(Protocol):
    """The connection on which a body comes."""

    fields: HeaderFields

    def on_body_too_long(self) -> None:
        """More has come than a body may have."""

    def on_body_end(self) -> None:
        """The last byte of the body was read."""


class StreamedRequestBody:
    """The body of a request that is sent on as it comes: what has come so far, and the rest once.

    :param owner: the connection on which it comes
    :param reader: of its rest
    :param first_part: what has come already; a retry that finds nothing more sent can still send it
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
        """All of it, in its framing. From its second part on the request is this attempt's: no retry follows.

        :raises BodyTooLongError: more comes than a body may have
        :raises TimeoutError: the client sends nothing for STREAM_IDLE_TIMEOUT_S
        """
        yield self._frame(self._first_part)
        attempt.runtime.began(attempt)
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
