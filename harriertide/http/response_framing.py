"""Framing of a node's response: its phases, and where its head and body end."""

from __future__ import annotations

from enum import Enum

import aiohttp
from aiohttp import HttpVersion11
from aiohttp.http_parser import RawResponseMessage

from harriertide.http.transfer_coding import TransferCodingError, check_body_coding

MAX_HEAD_BYTES = 16 * 1024  # of all heads of one response, including interim (1xx) ones
END_OF_HEAD = b"\r\n\r\n"
END_OF_CHUNKS = b"\r\n\r\n"  # the empty line after the last chunk or its trailers
BODILESS_STATUSES = frozenset((204, 304))


class ResponsePhase(Enum):
    """The phase of receiving a response."""

    IDLE = 0  # no request is in progress
    HEAD = 1
    SIZED_BODY = 2  # the head states its length
    UNSIZED_BODY = 3  # chunked, or up to the end of the connection
    COMPLETE = 4


INCOMPLETE_PHASES = (ResponsePhase.HEAD, ResponsePhase.SIZED_BODY, ResponsePhase.UNSIZED_BODY)


class MalformedResponseError(aiohttp.ClientPayloadError):
    """The node sent a malformed response; the connection is closed."""


class HeadBuffer:
    """Buffers the heads of a response, including interim (1xx) ones, until each is complete."""

    __slots__ = ("_partial", "_total_bytes")

    def __init__(self) -> None:
        self._partial = b""
        self._total_bytes = 0

    @property
    def is_empty(self) -> bool:
        """Whether no part of a head waits for the rest."""
        return not self._partial

    def start_response(self) -> None:
        """Reset the byte count for the heads of the next response."""
        self._total_bytes = 0

    def feed(self, data: bytes) -> tuple[bytes, bytes] | None:
        """Add received bytes.

        :returns: a head and the bytes after it; None while the head is incomplete
        :raises MalformedResponseError: the heads of this response exceed MAX_HEAD_BYTES
        """
        searched_bytes = len(self._partial)
        self._partial += data
        terminator_at = self._partial.find(END_OF_HEAD, max(0, searched_bytes - len(END_OF_HEAD) + 1))
        head_end = terminator_at + len(END_OF_HEAD) if terminator_at >= 0 else len(self._partial)
        self._total_bytes += head_end - searched_bytes
        if self._total_bytes > MAX_HEAD_BYTES:
            raise MalformedResponseError("response head exceeds its size limit")
        if terminator_at < 0:
            return None
        head = self._partial[:head_end]
        rest = self._partial[head_end:]
        self._partial = b""
        return head, rest


def declared_length(message: RawResponseMessage) -> int | None:
    """Return the body length stated in the head, or None.

    :raises MalformedResponseError: the head has two Content-Length fields, or also a Transfer-Encoding
    """
    lengths = message.headers.getall("Content-Length", [])
    if len(lengths) > 1 or (lengths and "Transfer-Encoding" in message.headers):
        raise MalformedResponseError("conflicting Content-Length or Transfer-Encoding fields")
    return int(lengths[0]) if lengths else None


def check_response_coding(message: RawResponseMessage) -> None:
    """Check that a body that does not state its length is not coded, except by `chunked`.

    No request asks for another transfer coding, so a node must not send one (RFC 9112, 7.4).

    :raises MalformedResponseError: the body can't be decoded, or its end is not certain
    """
    try:
        check_body_coding(message)
    except TransferCodingError as error:
        raise MalformedResponseError(str(error)) from None


def closes_connection(message: RawResponseMessage) -> bool:
    """Whether the node closes the connection after its response."""
    return message.version < HttpVersion11 or "close" in message.headers.get("Connection", "").lower()
