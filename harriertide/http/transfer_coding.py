"""Transfer codings of message bodies (RFC 9112, 6.1 and 7): which bodies can be decoded here.

The parser decodes `chunked` and ignores the codings before it, so the body that it returns may still be
coded. Each reader of messages therefore checks their Transfer-Encoding before it uses their bodies.
"""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus
from typing import Protocol

from aiohttp import HttpVersion, HttpVersion11
from multidict import MultiMapping

from harriertide.http.errors import RefusedRequestError

CHUNKED = "chunked"


class Message(Protocol):
    """The part of the interface of aiohttp's requests, responses and heads that is needed here."""

    @property
    def headers(self) -> MultiMapping[str]:
        """The header fields."""

    @property
    def version(self) -> HttpVersion | None:
        """The version of HTTP; None if it is not known yet."""


class TransferCodingError(RefusedRequestError):
    """The body of a message cannot be read because of its Transfer-Encoding.

    The connection of such a request is closed after the response, as the end of the body is not certain.
    """


class FaultyFramingError(TransferCodingError):
    """The message violates the protocol, and the end of its body is not certain."""


class UnsupportedCodingError(TransferCodingError):
    """The body has a coding that is not decoded here."""

    status = HTTPStatus.NOT_IMPLEMENTED


def check_body_coding(message: Message) -> None:
    """Check that the body of a message is not coded, except by `chunked`.

    :raises TransferCodingError: see `check_transfer_codings`
    """
    check_transfer_codings(message.headers.getall("Transfer-Encoding", ()), message.version or HttpVersion11)


def check_transfer_codings(field_values: Iterable[str], version: HttpVersion) -> None:
    """Check the codings of a body.

    :param field_values: the values of the Transfer-Encoding fields in their order, which together are one
        list; none if the message has no such field
    :raises FaultyFramingError: `chunked` is not the last coding, or occurs twice; or the message is of
        HTTP/1.0, which has no transfer codings
    :raises UnsupportedCodingError: there is a coding before `chunked`
    """
    values = list(field_values)
    if not values:
        return
    if version < HttpVersion11:
        raise FaultyFramingError("HTTP/1.0 has no transfer-encoding")
    codings = [coding.strip(" \t").lower() for coding in ",".join(values).split(",")]
    codings = [coding for coding in codings if coding]  # a list may have empty elements (RFC 9110, 5.6.1)
    if not codings or codings[-1] != CHUNKED:
        raise FaultyFramingError("chunked must be the last transfer coding")
    if codings.count(CHUNKED) > 1:
        raise FaultyFramingError("chunked may be applied once only")
    if len(codings) > 1:
        raise UnsupportedCodingError("no transfer coding but chunked is supported")
