"""The Expect field of requests (RFC 9110, 10.1.1): whether a client waits before it sends its body."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

from aiohttp import HttpVersion, HttpVersion11

from harriertide.http.errors import RefusedRequestError

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_CONTINUE = "100-continue"


class UnsupportedExpectationError(RefusedRequestError):
    """The client expects what is not done here."""

    status = HTTPStatus.EXPECTATION_FAILED


def expects_continue(field_values: Iterable[str], version: HttpVersion) -> bool:
    """Whether the client waits for 100 Continue before it sends its body.

    A client of HTTP/1.0 does not know interim responses, so that its expectation is ignored.

    :param field_values: the values of the Expect fields, which together are one list
    :raises UnsupportedExpectationError: there is another expectation
    """
    values = list(field_values)
    if not values or version < HttpVersion11:
        return False
    expectations = [member.strip(" \t").lower() for member in ",".join(values).split(",")]
    expectations = [member for member in expectations if member]
    if any(member != _CONTINUE for member in expectations):
        raise UnsupportedExpectationError("no expectation but 100-continue is supported")
    return bool(expectations)
