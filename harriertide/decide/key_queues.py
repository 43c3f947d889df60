"""Queues that run the requests of one key one after the other, where their class requires it."""

from __future__ import annotations

from harriertide.decide.context import DecisionContext, KeyTimer, RequestTimer
from harriertide.decide.state import KeyQueue, RequestState


class KeyQueues:
    """The queues of all keys with open requests, and the quiet periods of keys."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._queues: dict[str, KeyQueue] = {}

    def join(self, request: RequestState) -> None:
        """Append a request to the queue of its key, if its class requires order."""
        if request.request_class.in_order and request.arrival.key:
            queue = self._queues.setdefault(request.arrival.key, KeyQueue())
            queue.members.append(request)
            request.key_queue = queue

    def start_quiet_period(self, request: RequestState) -> None:
        """Delay the next request of a key after an attempt that has no answer and may still be running."""
        if request.key_queue is not None:
            settings = self._context.settings
            quiet_us = settings.key_quiet_us + settings.tick_us
            request.key_queue.quiet_until_us = self._context.now_us + quiet_us

    def may_start(self, request: RequestState) -> bool:
        """Whether the queue of the request's key allows an attempt now."""
        queue = request.key_queue
        if queue is None:
            return True
        is_quiet = not request.attempt_count and queue.quiet_until_us > self._context.now_us
        return queue.is_first(request) and not is_quiet

    def on_request_closed(self, request: RequestState) -> None:
        """Schedule the next request of the key when a request is closed."""
        if request.key_queue is not None:
            self._advance(request.arrival.key, request.key_queue)

    def on_quiet_period_end(self, key: str) -> None:
        """Schedule the next request of the key when a quiet period ends."""
        if key in self._queues:
            self._advance(key, self._queues[key])

    def _advance(self, key: str, queue: KeyQueue) -> None:
        """Schedule the next request of a key, after the key's quiet period; drop the queue if it is empty."""
        now_us, timers = self._context.now_us, self._context.timers
        while queue.members and queue.members[0].is_closed:
            queue.members.popleft()
        if queue.quiet_until_us > now_us:
            timers.schedule(queue.quiet_until_us, KeyTimer(key))
        elif queue.members:
            timers.schedule(now_us, RequestTimer(queue.members[0]))
        else:
            self._queues.pop(key, None)
