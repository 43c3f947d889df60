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
