"""Decides what a connection may hold of a request: its head, a body to send again, or a window of a stream.

Each connection has an allotment, which the number of connections is limited for (`http/limits`). What a
request needs beyond it comes from the budget that all connections share. Where that is used up, the request
is refused before it takes memory: the promise that trying again is harmless holds, as no node has seen it.
"""

from __future__ import annotations

from enum import Enum
from http import HTTPStatus

from harriertide.http.buffer_budget import BufferBudget
from harriertide.http.client_connection import MAX_HEAD_BYTES
from harriertide.http.errors import MemoryShortError, RefusedRequestError

END_OF_HEAD = b"\r\n\r\n"
HEAD_ALLOTMENT_BYTES = 8 * 1024  # of the memory of a head, part of every connection's allotment
BODY_ALLOTMENT_BYTES = 4 * 1024  # of a body, likewise: ordinary writes need no reservation
FIELD_BYTES = 400  # objects of one header field, parsed, kept for attempts and encoded
HEAD_COPY_COUNT = 3  # the bytes of a head as received, as fields and as strings
MAX_SHORT_BODY_BYTES = 64 * 1024  # a body up to this size is buffered whole, so that it can be sent again
LONG_BODY_COPY_COUNT = 2  # a long body is in memory again while its node reads it
GROWTH_BYTES = 16 * 1024  # by which the reservation of a body of unknown length grows
STREAM_FIRST_PART_BYTES = 16 * 1024  # a stream begins once so much has arrived
STREAM_READ_AHEAD_BYTES = 16 * 1024  # reading pauses above twice as much
BODY_READ_BYTES = 16 * 1024  # maximum per read of a body
STREAM_BYTES = 128 * 1024  # of a stream: first part, what was read ahead, what its node has not read


class HeadTooLongError(RefusedRequestError):
    """A request head exceeds MAX_HEAD_BYTES."""

    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


class BodyPlan(Enum):
    """How a request body passes through the broker."""

    BUFFER = "it is complete before its request is submitted, and can be sent again"
    STREAM = "it is sent to a node while it arrives, once"


class RequestMemory:
    """The memory that one connection has reserved for its open request.

    :param budget: shared by all connections
    """

    __slots__ = ("_budget", "_head_cost_bytes", "_head_line_count", "_head_length", "_body_bytes")

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._head_length = 0
        self._head_line_count = 0
        self._head_cost_bytes = 0  # reserved for the head
        self._body_bytes = 0  # reserved for the body, beyond its part of the allotment

    @property
    def is_head_large(self) -> bool:
        """Whether the head takes more than its part of the connection's allotment."""
        return self._head_cost_bytes > 0

    def add_head_data(self, data: bytes) -> None:
        """Count bytes of a head before they are parsed.

        :param data: received bytes, in which the head may end
        :raises HeadTooLongError: the head is too long
        :raises MemoryShortError: there is no memory for the head
        """
        end_at = data.find(END_OF_HEAD)
        end = end_at if end_at >= 0 else len(data)
        self._head_length += end
        self._head_line_count += data.count(b"\n", 0, end)
        if self._head_length > MAX_HEAD_BYTES:
            raise HeadTooLongError("the head is too long")
        cost_bytes = FIELD_BYTES * self._head_line_count + HEAD_COPY_COUNT * self._head_length
        missing_bytes = cost_bytes - HEAD_ALLOTMENT_BYTES - self._head_cost_bytes
        if missing_bytes > 0:
            if not self._budget.reserve(missing_bytes):
                raise MemoryShortError
            self._head_cost_bytes += missing_bytes

    def plan_body(self, length: int) -> BodyPlan:
        """Reserve memory for the body of a request whose head has been received.

        :param length: stated in the head; 0 if it states none
        :raises MemoryShortError: there is no memory for the body
        """
        if length <= MAX_SHORT_BODY_BYTES:
            self._raise_to(length)
            return BodyPlan.BUFFER
        if self._raise_optionally(LONG_BODY_COPY_COUNT * length):
            return BodyPlan.BUFFER
        self._raise_to(STREAM_BYTES)
        return BodyPlan.STREAM

    def grow_body(self, received_bytes: int) -> BodyPlan:
        """Reserve memory for more of a body of unknown length.

        :param received_bytes: of the body so far
        :raises MemoryShortError: there is no memory for it
        """
        if received_bytes <= self._body_bytes + BODY_ALLOTMENT_BYTES:
            return BodyPlan.BUFFER
        wanted_bytes = received_bytes + GROWTH_BYTES
        if wanted_bytes <= MAX_SHORT_BODY_BYTES:
            self._raise_to(wanted_bytes)
            return BodyPlan.BUFFER
        if self._raise_optionally(LONG_BODY_COPY_COUNT * wanted_bytes):
            return BodyPlan.BUFFER
        self._raise_to(received_bytes + STREAM_BYTES)
        return BodyPlan.STREAM

    def clear(self) -> None:
        """Return all memory of the request to the budget."""
        self._budget.release(self._head_cost_bytes + self._body_bytes)
        self._head_length = 0
        self._head_line_count = 0
        self._head_cost_bytes = 0
        self._body_bytes = 0

    def _raise_to(self, size_bytes: int) -> None:
        """Raise the memory for the body to a total size."""
        missing_bytes = size_bytes - BODY_ALLOTMENT_BYTES - self._body_bytes
        if missing_bytes <= 0:
            return
        if not self._budget.reserve(missing_bytes):
            raise MemoryShortError
        self._body_bytes += missing_bytes

    def _raise_optionally(self, size_bytes: int) -> bool:
        """Raise the memory for the body if there is plenty; return whether there was."""
        if size_bytes > self._budget.max_optional_bytes:
            return False
        missing_bytes = size_bytes - BODY_ALLOTMENT_BYTES - self._body_bytes
        if missing_bytes <= 0:
            return True
        if not self._budget.reserve(missing_bytes, is_optional=True):
            return False
        self._body_bytes += missing_bytes
        return True
