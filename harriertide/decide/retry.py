"""Whether a request may be attempted again: by its rules, its deduplication window and the retry budget."""

from __future__ import annotations

from collections import deque

from harriertide.decide import api
from harriertide.decide.context import DecisionContext
from harriertide.decide.state import NodeState, RequestState

# Kept free at the end of a deduplication window: what a write may take until the node has read it.
DEDUPLICATION_MARGIN_US = 50_000


def may_attempt(request: RequestState, settings: api.Settings) -> bool:
    """Whether a further attempt is allowed by the request's own rules.

    One whose answer has begun belongs to its client; one that is not idempotent and may have run is never
    repeated.
    """
    if request.attempt_count >= settings.max_attempts or request.response_started:
        return False
    return request.request_class.idempotency != "non_idempotent" or not request.may_have_run


def is_deduplicated(request: RequestState, node: NodeState, now_us: int) -> bool:
    """Whether a node would recognize a keyed request that may have run: in its scope, within its window."""
    first, request_class = request.executed_on, request.request_class
    ends_at_us = request.executed_since_us + request_class.deduplication_window_us
    if first is None or now_us + DEDUPLICATION_MARGIN_US > ends_at_us:
        return False
    scope = request_class.deduplication_scope
    if scope == "zone":
        return first.zone == node.zone
    return scope == "all" or first.shard == node.shard


class RetryBudget:
    """Retries as a part of requests: those of one window stay within a floor and a ratio of the requests in
    it.

    Guards against retries that add up to more load than what made them necessary.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.requests_at_us: deque[int] = deque()
        self.retries_at_us: deque[int] = deque()

    @property
    def _is_limited(self) -> bool:
        return self._context.settings.retry_budget_floor is not None

    def record_request(self) -> None:
        """A request has come."""
        if self._is_limited:
            self.requests_at_us.append(self._context.now_us)

    def record_retry(self) -> None:
        """A retry is sent."""
        if self._is_limited:
            self.retries_at_us.append(self._context.now_us)

    def has_room(self) -> bool:
        """Whether one more retry stays within the budget."""
        settings = self._context.settings
        if settings.retry_budget_floor is None:
            return True
        outdated_us = self._context.now_us - settings.retry_budget_window_us
        for times_us in (self.requests_at_us, self.retries_at_us):
            while times_us and times_us[0] <= outdated_us:
                times_us.popleft()
        allowed = settings.retry_budget_floor + settings.retry_budget_ratio * len(self.requests_at_us)
        return len(self.retries_at_us) + 1 <= allowed
