"""Final answers: the only place in the decision module where requests are rejected, failed and closed.

The reducer (`core.request_lifecycle`) gives final answers itself where the decision module cannot: at the end
of the process, and after a fault of the decision module.
"""

from __future__ import annotations

from harriertide.decide import api
from harriertide.decide.context import DecisionContext
from harriertide.decide.demand import Demand
from harriertide.decide.health import TRIAL_INTERVAL_US
from harriertide.decide.key_queues import KeyQueues
from harriertide.decide.state import RequestState


class Responses:
    """The open requests of this broker, by id; a request stays until its last outcome."""

    def __init__(self, context: DecisionContext, demand: Demand, key_queues: KeyQueues) -> None:
        self._context = context
        self._demand = demand
        self._key_queues = key_queues
        self.requests: dict[str, RequestState] = {}

    def add(self, request: RequestState) -> None:
        """Register a new request."""
        self.requests[request.id] = request

    def give_up(self, request: RequestState, reason: api.GiveUpReason) -> None:
        """Reject a request if a retry by its client is harmless, which a rejection promises; else fail it."""
        if request.is_answered:
            return
        if self._is_harmless_to_retry(request):
            self._context.emit(api.Reject(request.id, self._retry_after_us(), reason))
        else:
            self._context.emit(api.Fail(request.id, reason))
        if request.charged_bucket is not None:  # refund the units to the volume's quota
            request.charged_bucket.units += request.arrival.units
        self.close(request)

    @staticmethod
    def _is_harmless_to_retry(request: RequestState) -> bool:
        """Whether no attempt may have run, or a second run would have no further effect."""
        request_class = request.request_class
        if request_class.idempotency == "idempotent":
            return True
        if not request.may_have_run and not request.open_attempts:
            return True
        return request_class.idempotency == "keyed" and request_class.deduplication_scope == "all"

    def _retry_after_us(self) -> int:
        """When a client should retry: not before the next bid interval updates admission. 0: not stated."""
        settings = self._context.settings
        if not settings.retry_after_allowed:
            return 0
        until_interval_us = self._demand.interval_ends_us - self._context.now_us
        return min(settings.max_retry_after_us, max(TRIAL_INTERVAL_US, until_interval_us))

    def close(self, request: RequestState) -> None:
        """Mark a request as answered, and remove it as soon as it has no open attempt."""
        request.leave_queue()
        request.is_answered = True
        if request.open_attempts:
            return
        self.requests.pop(request.id, None)
        self._key_queues.on_request_closed(request)
