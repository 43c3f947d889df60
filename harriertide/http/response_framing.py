"""How far a node's response is, and where its head and its body end."""

from __future__ import annotations

from enum import Enum

import aiohttp
from aiohttp import HttpVersion11
from aiohttp.http_parser import RawResponseMessage

MAX_HEAD_BYTES = 16 * 1024  # of all heads of one response, those with 1xx in front included
END_OF_HEAD = b"\r\n\r\n"
END_OF_CHUNKS = b"\r\n\r\n"  # the empty line behind the last chunk, or behind its trailers
BODILESS_STATUSES = frozenset((204, 304))


class ResponsePhase(Enum):
    """How far a response is."""

    IDLE = 0  # nothing is asked
    HEAD = 1
    SIZED_BODY = 2  # its length was stated
    UNSIZED_BODY = 3  # its end has to be found
    COMPLETE = 4


INCOMPLETE_PHASES = (ResponsePhase.HEAD, ResponsePhase.SIZED_BODY, ResponsePhase.UNSIZED_BODY)


class MalformedResponseError(aiohttp.ClientPayloadError):
    """The node's response can't be used, which is the node's fault; the connection goes with it."""


class HeadBuffer:
    """Collects the bytes of a response's heads, those with 1xx in front included."""

    __slots__ = ("_partial", "_total_bytes")

    def __init__(self) -> None:
        self._partial = b""
        self._total_bytes = 0

    def start_response(self) -> None:
        """Another response is asked for: its heads are counted anew."""
        self._total_bytes = 0

    def feed(self, data: bytes) -> tuple[bytes, bytes] | None:
        """Take the next bytes.

        :returns: a head, and the bytes behind it; None while the head is incomplete
        :raises MalformedResponseError: the heads of this response have more than MAX_HEAD_BYTES
        """
        known_bytes = len(self._partial)
        self._partial += data
        found_at = self._partial.find(END_OF_HEAD, max(0, known_bytes - len(END_OF_HEAD) + 1))
        head_end = found_at + len(END_OF_HEAD) if found_at >= 0 else len(self._partial)
        self._total_bytes += head_end - known_bytes
        if self._total_bytes > MAX_HEAD_BYTES:
            raise MalformedResponseError("a head over its bound")
        if found_at < 0:
            return None
        head = self._partial[:head_end]
        rest = self._partial[head_end:]
        self._partial = b""
        return head, rest


def stated_length(message: RawResponseMessage) -> int | None:
    """The length of the body as the head states it; None where it states none.

    :raises MalformedResponseError: it states two of them
    """
    lengths = message.headers.getall("Content-Length", [])
    if len(lengths) > 1 or (lengths and "Transfer-Encoding" in message.headers):
        raise MalformedResponseError("two lengths")
    return int(lengths[0]) if lengths else None


def closes_connection(message: RawResponseMessage) -> bool:
    """Whether the node ends the connection behind its response."""
    return message.version < HttpVersion11 or "close" in message.headers.get("Connection", "").lower()
