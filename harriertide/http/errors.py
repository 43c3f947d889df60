"""Errors of requests by whose fault they are: the client's, the broker's or the node's."""

from __future__ import annotations

from http import HTTPStatus

from harriertide.decide import api


class RefusedRequestError(Exception):
    """A client's request that can't be served as it is. The message says why and is sent to the client.

    :cvar status: the status of the response
    """

    status = HTTPStatus.BAD_REQUEST


class OverloadedError(RefusedRequestError):
    """The broker lacks memory or time for a request, which no node has seen; sent again, it may be served."""

    status = HTTPStatus.SERVICE_UNAVAILABLE

    def __init__(self) -> None:
        super().__init__("refused: trying again is harmless")


class MemoryShortError(OverloadedError):
    """There is no memory for a request now."""


class NotReadInTimeError(OverloadedError):
    """The rest of a request has arrived, perhaps, and was not read."""


class AttemptFailedError(Exception):
    """An attempt ended without a complete response.

    :param outcome: outcome to report to the decision module
    :param reason: short description for logs
    """

    def __init__(self, outcome: api.OutcomeKind, reason: str) -> None:
        super().__init__(f"{outcome}: {reason}")
        self.outcome = outcome
        self.reason = reason


class AttemptWithheldError(AttemptFailedError):
    """The broker could not send the request, or its core did not allow it. The node is not at fault."""


class NodeFailureError(AttemptFailedError):
    """The node or the network path to it failed: no connection, no response, or a malformed response."""
