"""The active requests of a broker: each is kept until it is answered and has no open attempt."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from harriertide.decide import api

# The broker closes the connection of an interrupted attempt before it writes the next attempt, but the node
# detects the close only when it reads that connection. A node reads connections in any order, and late if it
# is short of processor time. Without a gap, nodes can hold both attempts at once and execute a non-idempotent
# request twice. docs/measurements/second-copy.md lists the frequency by length of the gap.
RETRY_GAP_US = 12_000
# How long an id is refused that may have run for a client that left, and of how many ids that is remembered.
EXECUTED_ID_RETENTION_US = 60_000_000
MAX_EXECUTED_IDS = 2_000
_INTERRUPTED_OUTCOMES = api.POSSIBLY_RUNNING_OUTCOMES | {"error"}


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt that was started and has not ended."""

    number: int
    node_id: str
    decided_at_us: int
    stop_at_us: int


@dataclass(slots=True)
class ActiveRequest:
    """A request and its attempts. It has at most one open attempt and at most one final answer."""

    arrival: api.Arrival
    streams_body: bool = False  # the body is forwarded as it arrives
    is_answered: bool = False  # the final answer was given, or the client has disconnected
    has_client_left: bool = False  # the client has disconnected before the final answer
    attempt_count: int = 0  # includes attempts that were refused before their start
    open_attempt: OpenAttempt | None = None
    first_attempt_at_us: int | None = None  # when the first attempt was decided
    first_executed_at_us: int | None = None  # when the first attempt that may have executed was decided
    next_attempt_not_before_us: int = 0  # end of the gap after an interrupted attempt; 0: no gap

    @property
    def request_id(self) -> str:
        """The id that the front assigned to the request."""
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
        """Whether the request is answered and has no open attempt."""
        return self.is_answered and not self.has_open_attempt

    def find_open_attempt(self, number: int) -> OpenAttempt | None:
        """Return the open attempt if it has the given number, else None."""
        attempt = self.open_attempt
        return attempt if attempt is not None and attempt.number == number else None

    def next_attempt_number(self) -> int:
        """Assign the number of a new attempt.

        :returns: the number; 0 for the first attempt
        """
        number = self.attempt_count
        self.attempt_count += 1
        return number

    def start_attempt(self, number: int, node_id: str, now_us: int, stop_at_us: int) -> OpenAttempt:
        """Open an attempt.

        :param stop_at_us: when the attempt must end, at most the request's deadline; 0: the deadline
        """
        deadline_at_us = self.arrival.deadline_at_us
        stop_at_us = min(stop_at_us or deadline_at_us, deadline_at_us)
        attempt = OpenAttempt(number, node_id, now_us, stop_at_us)
        self.open_attempt = attempt
        if self.first_attempt_at_us is None:
            self.first_attempt_at_us = now_us
        return attempt

    def finish_attempt(self, attempt: OpenAttempt, kind: api.OutcomeKind, now_us: int) -> None:
        """Close the open attempt, and record what its outcome implies for the next attempt."""
        self.open_attempt = None
        if kind not in api.NOT_EXECUTED_OUTCOMES and self.first_executed_at_us is None:
            self.first_executed_at_us = attempt.decided_at_us
        if kind in _INTERRUPTED_OUTCOMES:
            self.next_attempt_not_before_us = now_us + RETRY_GAP_US


class RequestTable:
    """All active requests by id, the pending gaps of ids that were freed, and ids that must not run again."""

    def __init__(self) -> None:
        self._requests: dict[str, ActiveRequest] = {}
        # The end of the gap after the last attempt, by id of a finished request; oldest first. If a client
        # reuses an id right after an interrupted attempt, the gap keeps nodes from holding both attempts at
        # once.
        self._gap_ends_us: dict[str, int] = {}
        self._executed_until_us: dict[str, int] = {}  # until when an id must not run again; oldest first

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._requests

    def __iter__(self) -> Iterator[ActiveRequest]:
        """Iterate over the requests in order of arrival; the table may change during the iteration."""
        return iter(list(self._requests.values()))

    def get(self, request_id: str) -> ActiveRequest | None:
        """Return the active request with the given id, or None."""
        return self._requests.get(request_id)

    def add(self, arrival: api.Arrival, streams_body: bool) -> None:
        """Add a request whose id is not in use."""
        request = ActiveRequest(arrival, streams_body)
        request.next_attempt_not_before_us = self._gap_ends_us.pop(arrival.request_id, 0)
        self._requests[arrival.request_id] = request

    def remove_if_finished(self, request: ActiveRequest) -> None:
        """Remove a finished request and free its id."""
        if not request.is_finished:
            return
        del self._requests[request.request_id]
        if request.next_attempt_not_before_us:
            self._gap_ends_us[request.request_id] = request.next_attempt_not_before_us

    def remember_executed(self, request_id: str, now_us: int) -> None:
        """Remember that a request may have run, so that its id does not run again."""
        self._executed_until_us.pop(request_id, None)
        self._executed_until_us[request_id] = now_us + EXECUTED_ID_RETENTION_US
        if len(self._executed_until_us) > MAX_EXECUTED_IDS:
            del self._executed_until_us[next(iter(self._executed_until_us))]

    def may_have_executed(self, request_id: str) -> bool:
        """Whether a request with this id may have run, and must not run again."""
        return request_id in self._executed_until_us

    def drop_expired(self, now_us: int) -> None:
        """Drop the gaps that have ended, and the ids that may run again."""
        _drop_until(self._gap_ends_us, now_us)
        _drop_until(self._executed_until_us, now_us)

    def open_count(self) -> int:
        """The number of requests without a final answer."""
        return sum(not request.is_answered for request in self._requests.values())

    def open_attempts_stop_at_us(self) -> int:
        """When the last open attempt must end; 0 if none is open."""
        attempts = (request.open_attempt for request in self._requests.values())
        return max((attempt.stop_at_us for attempt in attempts if attempt is not None), default=0)

    def open_attempt_count_at(self, node_id: str) -> int:
        """The number of open attempts at a node, including attempts that are not written yet."""
        attempts = (request.open_attempt for request in self._requests.values())
        return sum(attempt is not None and attempt.node_id == node_id for attempt in attempts)


def _drop_until(ends_us: dict[str, int], now_us: int) -> None:
    """Remove the ids whose time has come from a dict that has the oldest first."""
    while ends_us:
        oldest_id = next(iter(ends_us))
        if ends_us[oldest_id] > now_us:
            return
        del ends_us[oldest_id]
