"""The requests of a broker, from arrival until each is answered and none of its attempts is open."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from harriertide.decide import api

# An attempt that ended without a complete response was closed by this broker before the next attempt is
# written. But its node learns of that only when it reads that connection; it reads connections in any order,
# and late when it is short of processor time. Without a gap both attempts can lie at nodes together, and a
# request that may run once runs twice. docs/measurements/second-copy.md has how often, by length of the gap.
CUT_OFF_GAP_US = 12_000
_CUT_OFF_OUTCOMES: frozenset[api.OutcomeKind] = frozenset({"timeout", "reset", "cancelled", "error"})


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt that was started and has not ended."""

    number: int
    node_id: str
    decided_at_us: int
    stop_at_us: int


@dataclass(slots=True)
class ActiveRequest:
    """A request and its attempts. At most one attempt is open at a time, and there is one final answer."""

    arrival: api.Arrival
    streams_body: bool = False  # its body is forwarded as it comes
    is_answered: bool = False  # it has its final answer, or its client is gone
    attempt_count: int = 0  # attempts that were decided, those that were turned back included
    open_attempt: OpenAttempt | None = None
    first_attempt_at_us: int | None = None  # when its first attempt was decided
    first_executed_at_us: int | None = None  # when the first attempt that may have executed was decided
    next_attempt_not_before_us: int = 0  # end of the gap behind an attempt that was cut off; 0: no gap

    @property
    def request_id(self) -> str:
        """The id that its front gave it."""
        return self.arrival.request_id

    @property
    def has_open_attempt(self) -> bool:
        """Whether an attempt was started and has not ended."""
        return self.open_attempt is not None

    @property
    def may_have_executed(self) -> bool:
        """Whether an attempt that ended may have executed at its node."""
        return self.first_executed_at_us is not None

    @property
    def is_finished(self) -> bool:
        """Whether nothing is left to do for it."""
        return self.is_answered and not self.has_open_attempt

    def open_attempt_numbered(self, number: int) -> OpenAttempt | None:
        """The open attempt, if it has this number."""
        attempt = self.open_attempt
        return attempt if attempt is not None and attempt.number == number else None

    def next_attempt_number(self) -> int:
        """Count one more attempt.

        :returns: its number; the first is 0
        """
        number = self.attempt_count
        self.attempt_count += 1
        return number

    def start_attempt(self, number: int, node_id: str, now_us: int, stop_at_us: int) -> OpenAttempt:
        """Open an attempt.

        :param stop_at_us: when it ends at the latest; 0: at the request's deadline, which bounds it anyway
        """
        deadline_at_us = self.arrival.deadline_at_us
        stop_at_us = min(stop_at_us or deadline_at_us, deadline_at_us)
        attempt = OpenAttempt(number, node_id, now_us, stop_at_us)
        self.open_attempt = attempt
        if self.first_attempt_at_us is None:
            self.first_attempt_at_us = now_us
        return attempt

    def finish_attempt(self, attempt: OpenAttempt, kind: api.OutcomeKind, now_us: int) -> None:
        """Close the open attempt, and keep what its outcome means for the next one."""
        self.open_attempt = None
        if kind not in api.NOT_EXECUTED_OUTCOMES and self.first_executed_at_us is None:
            self.first_executed_at_us = attempt.decided_at_us
        if kind in _CUT_OFF_OUTCOMES:
            self.next_attempt_not_before_us = now_us + CUT_OFF_GAP_US


class RequestTable:
    """All active requests by id, and the gaps that ids leave behind."""

    def __init__(self) -> None:
        self._requests: dict[str, ActiveRequest] = {}
        # Ids that are free again, and the end of the gap behind the last attempt of each; oldest first.
        # Guards against an id that is used again right behind an attempt that was cut off: the node would
        # have both.
        self._gap_ends_us: dict[str, int] = {}

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._requests

    def __iter__(self) -> Iterator[ActiveRequest]:
        """The requests, in order of their arrival; the table may change meanwhile."""
        return iter(list(self._requests.values()))

    def get(self, request_id: str) -> ActiveRequest | None:
        """The active request with this id."""
        return self._requests.get(request_id)

    def add(self, arrival: api.Arrival, streams_body: bool) -> None:
        """Take a request whose id is not in use."""
        request = ActiveRequest(arrival, streams_body)
        request.next_attempt_not_before_us = self._gap_ends_us.pop(arrival.request_id, 0)
        self._requests[arrival.request_id] = request

    def remove_if_finished(self, request: ActiveRequest) -> None:
        """Free the id of a request for which nothing is left to do."""
        if not request.is_finished:
            return
        del self._requests[request.request_id]
        if request.next_attempt_not_before_us:
            self._gap_ends_us[request.request_id] = request.next_attempt_not_before_us

    def forget_gaps(self, now_us: int) -> None:
        """Drop the gaps that are over by now."""
        while self._gap_ends_us:
            oldest_id = next(iter(self._gap_ends_us))
            if self._gap_ends_us[oldest_id] > now_us:
                return
            del self._gap_ends_us[oldest_id]

    def open_count(self) -> int:
        """How many requests wait for their final answer."""
        return sum(not request.is_answered for request in self._requests.values())

    def open_attempt_count_at(self, node_id: str) -> int:
        """How many attempts are open at a node, those that were not written yet included."""
        attempts = (request.open_attempt for request in self._requests.values())
        return sum(attempt is not None and attempt.node_id == node_id for attempt in attempts)
