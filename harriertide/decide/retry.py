"""Retry rules: idempotency and attempt limit, deduplication windows, and the retry budget."""

from __future__ import annotations

from collections import deque

from harriertide.decide import api
from harriertide.decide.context import DecisionContext
from harriertide.decide.state import NodeState, RequestState

# Margin at the end of a deduplication window: the time that a write may take until the node has read it.
DEDUPLICATION_MARGIN_US = 50_000


def may_attempt(request: RequestState, settings: api.Settings) -> bool:
    """Whether another attempt is allowed by the attempt limit and by the request's idempotency.

    A request whose response has started to reach the client is never attempted again, nor is one that is not
    idempotent and may have run.
    """
    if request.attempt_count >= settings.max_attempts or request.response_started:
        return False
    return request.request_class.idempotency != "non_idempotent" or not request.may_have_run


def silence_limits(
    request: RequestState, settings: api.Settings, now_us: int, expected_us: float
) -> api.SilenceLimits:
    """How long the node of a new attempt may pause within its response before another attempt is worth more.

    A node that pauses may go on, or may never end its response. It is given half of the time that can pass
    until another attempt would be too late: for the request's objective at its first attempt, and for its
    deadline at later ones, where no second attempt could meet the objective, and where the response may be a
    long one.

    :param expected_us: the expected latency of an attempt; this one and the next take so long each
    :returns: no limits if no attempt may follow, so that nothing is gained by giving this one up
    """
    is_last = request.attempt_count + 1 >= settings.max_attempts
    if is_last or request.request_class.idempotency == "non_idempotent":
        return api.NO_SILENCE_LIMITS
    within_deadline_us = _half_of_spare_time(request.arrival.deadline_at_us - now_us, expected_us)
    within_objective_us = None
    if not request.attempt_count:
        within_objective_us = _half_of_spare_time(request.objective_at_us - now_us, expected_us)
    return api.SilenceLimits(within_objective_us or within_deadline_us, within_deadline_us)


def _half_of_spare_time(remaining_us: int, expected_us: float) -> int | None:
    """Half of the time that two attempts one after the other leave; None if it is too short for one more."""
    half_us = (remaining_us - 2 * expected_us) / 2
    return int(half_us) if half_us >= max(1.0, expected_us) else None


def is_deduplicated(request: RequestState, node: NodeState, now_us: int) -> bool:
    """Whether a node is within the deduplication scope and window of a keyed request that may have run."""
    first_node, request_class = request.executed_on, request.request_class
    ends_at_us = request.executed_since_us + request_class.deduplication_window_us
    if first_node is None or now_us + DEDUPLICATION_MARGIN_US > ends_at_us:
        return False
    scope = request_class.deduplication_scope
    if scope == "zone":
        return first_node.zone == node.zone
    return scope == "all" or first_node.shard == node.shard


class RetryBudget:
    """Limits the retries in a sliding window to a floor plus a ratio of the requests in that window.

    Without a budget, retries could cause more load than the overload that made them necessary.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.requests_at_us: deque[int] = deque()
        self.retries_at_us: deque[int] = deque()

    @property
    def _is_limited(self) -> bool:
        return self._context.settings.retry_budget_floor is not None

    def record_request(self) -> None:
        """Count a new request."""
        if self._is_limited:
            self.requests_at_us.append(self._context.now_us)

    def record_retry(self) -> None:
        """Count a retry that is sent."""
        if self._is_limited:
            self.retries_at_us.append(self._context.now_us)

    def has_room(self) -> bool:
        """Whether the budget allows one more retry."""
        settings = self._context.settings
        if settings.retry_budget_floor is None:
            return True
        window_start_us = self._context.now_us - settings.retry_budget_window_us
        for timestamps_us in (self.requests_at_us, self.retries_at_us):
            while timestamps_us and timestamps_us[0] <= window_start_us:
                timestamps_us.popleft()
        allowed = settings.retry_budget_floor + settings.retry_budget_ratio * len(self.requests_at_us)
        return len(self.retries_at_us) + 1 <= allowed
