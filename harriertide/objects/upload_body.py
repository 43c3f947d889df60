"""Bodies of uploads: buffered in memory, or streamed once."""

from __future__ import annotations

from collections.abc import AsyncIterator
from hashlib import md5
from typing import Protocol

import aiohttp

from harriertide.http.request_format import Body

CHUNK_BYTES = 64 * 1024


class IncompleteBodyError(Exception):
    """The client has not sent its whole body. That is not the fault of the node that it was for."""


class UploadBody(Protocol):
    """A body that a client uploads."""

    size: int

    @property
    def md5(self) -> str:
        """Of the whole body, in hex digits, once it has passed."""

    def can_be_sent(self) -> bool:
        """Whether an attempt can send it: a first one, or another."""

    def open(self) -> Body:
        """Its bytes, for one attempt."""

    @property
    def is_broken(self) -> bool:
        """The client did not send all of it."""

    @property
    def awaits_client(self) -> bool:
        """The next bytes have to come from the client."""


class BufferedBody:
    """A body in memory, which any number of attempts can send."""

    is_broken = False
    awaits_client = False

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.size = len(data)
        self.md5 = md5(data, usedforsecurity=False).hexdigest()

    def can_be_sent(self) -> bool:
        """Always."""
        return True

    def open(self) -> Body:
        """All of its bytes."""
        return self._data


class StreamedBody:
    """A body too large for memory, which is streamed: what was sent can't be sent again.

    :param content: reads the rest
    :param size: of all of it
    :param first_part: what was received already. The head of a request leaves together with the first
        bytes of its body, so these must be at hand: else both would leave whenever the client goes on, long
        after the core was last asked, perhaps to a node that drains by then.
    """

    def __init__(self, content: aiohttp.StreamReader, size: int, first_part: bytes) -> None:
        self.size = size
        self.is_broken = False
        self.awaits_client = False
        self._content = content
        self._first_part = first_part
        self._was_opened = False
        self._digest = md5(usedforsecurity=False)

    @property
    def md5(self) -> str:
        """Of what has passed so far, in hex digits."""
        return self._digest.hexdigest()

    def can_be_sent(self) -> bool:
        """Once."""
        return not self._was_opened

    def open(self) -> AsyncIterator[bytes]:
        """Its bytes, as the client brings them."""
        return self._chunks()

    async def _chunks(self) -> AsyncIterator[bytes]:
        self._was_opened = True
        passed_bytes = len(self._first_part)
        self._digest.update(self._first_part)
        yield self._first_part
        try:
            self.awaits_client = True
            while chunk := await self._content.read(CHUNK_BYTES):
                self.awaits_client = False
                passed_bytes += len(chunk)
                self._digest.update(chunk)
                yield chunk
                self.awaits_client = True
            self.awaits_client = False
        except Exception:
            self.is_broken = True
            raise IncompleteBodyError("the client left") from None
        if passed_bytes != self.size:
            self.is_broken = True
            raise IncompleteBodyError("the client's body ended early")
