"""Requests of one key that must run one after the other."""

from __future__ import annotations

from harriertide.decide.context import DecisionContext, KeyTimer, RequestTimer
from harriertide.decide.state import KeyQueue, RequestState


class KeyQueues:
    """The queues of keys in use."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._queues: dict[str, KeyQueue] = {}

    def join(self, request: RequestState) -> None:
        """Put a request behind the others of its key, if its class asks for that."""
        if request.request_class.in_order and request.arrival.key:
            queue = self._queues.setdefault(request.arrival.key, KeyQueue())
            queue.members.append(request)
            request.key_queue = queue

    def start_quiet_period(self, request: RequestState) -> None:
        """An attempt has ended without an answer: it may still run, so the next of its key waits."""
        if request.key_queue is not None:
            settings = self._context.settings
            quiet_us = settings.key_quiet_us + settings.tick_us
            request.key_queue.quiet_until_us = self._context.now_us + quiet_us

    def may_start(self, request: RequestState) -> bool:
        """Whether a request's attempt may be sent, as far as its key goes."""
        queue = request.key_queue
        if queue is None:
            return True
        is_quiet = not request.attempt_count and queue.quiet_until_us > self._context.now_us
        return queue.is_first(request) and not is_quiet

    def on_request_closed(self, request: RequestState) -> None:
        """A request is over: the next of its key may run."""
        if request.key_queue is not None:
            self._advance(request.arrival.key, request.key_queue)

    def on_quiet_period_over(self, key: str) -> None:
        """The quiet time of a key is over."""
        if key in self._queues:
            self._advance(key, self._queues[key])

    def _advance(self, key: str, queue: KeyQueue) -> None:
        """Give the turn of a key to the next request, after the key's quiet time."""
        now_us, timers = self._context.now_us, self._context.timers
        while queue.members and queue.members[0].is_closed:
            queue.members.popleft()
        if queue.quiet_until_us > now_us:
            timers.schedule(queue.quiet_until_us, KeyTimer(key))
        elif queue.members:
            timers.schedule(now_us, RequestTimer(queue.members[0]))
        else:
            self._queues.pop(key, None)
