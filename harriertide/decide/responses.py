"""Final answers of the decision module: here alone it rejects, fails and closes requests.

The reducer gives final answers of its own where this module cannot: at the end of the process, and after a
fault of the decision module (`core.request_lifecycle`).
"""

from __future__ import annotations

from harriertide.decide import api
from harriertide.decide.context import DecisionContext
from harriertide.decide.demand import Demand
from harriertide.decide.health import TRIAL_INTERVAL_US
from harriertide.decide.key_queues import KeyQueues
from harriertide.decide.state import RequestState


class Responses:
    """The requests that this broker has, by id, until their last outcome."""

    def __init__(self, context: DecisionContext, demand: Demand, key_queues: KeyQueues) -> None:
        self._context = context
        self._demand = demand
        self._key_queues = key_queues
        self.requests: dict[str, RequestState] = {}

    def add(self, request: RequestState) -> None:
        """A request has come."""
        self.requests[request.id] = request

    def give_up(self, request: RequestState, reason: api.GiveUpReason) -> None:
        """Answer at once that a request is not served.

        It is rejected, with the promise that trying again is harmless, where that is true; else it has
        failed.
        """
        if request.is_answered:
            return
        if self._is_harmless_to_retry(request):
            self._context.emit(api.Reject(request.id, self._retry_after_us(), reason))
        else:
            self._context.emit(api.Fail(request.id, reason))
        if request.charged_bucket is not None:  # its volume has its units back
            request.charged_bucket.units += request.arrival.units
        self.close(request)

    @staticmethod
    def _is_harmless_to_retry(request: RequestState) -> bool:
        """Whether nothing ran, or running twice has no further effect."""
        request_class = request.request_class
        if request_class.idempotency == "idempotent":
            return True
        if not request.may_have_run and not request.open_attempts:
            return True
        return request_class.idempotency == "keyed" and request_class.deduplication_scope == "all"

    def _retry_after_us(self) -> int:
        """When a client should come back: not before admission is decided anew. 0: it is not told."""
        settings = self._context.settings
        if not settings.retry_after_allowed:
            return 0
        until_interval_us = self._demand.interval_ends_us - self._context.now_us
        return min(settings.max_retry_after_us, max(TRIAL_INTERVAL_US, until_interval_us))

    def close(self, request: RequestState) -> None:
        """No answer is owed any more; the request stays known until its last outcome."""
        request.leave_queue()
        request.is_answered = True
        if request.open_attempts:
            return
        self.requests.pop(request.id, None)
        self._key_queues.on_request_closed(request)
