"""Queues that run the requests of one key one after the other, where their class requires it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from harriertide.decide import api
from harriertide.decide.context import DecisionContext, KeyTimer, RequestTimer
from harriertide.decide.state import KeyQueue, RequestState

NO_KEYS_HELD = api.KeysHeld(frozenset(), 0)


@dataclass(frozen=True, slots=True)
class OpenKeys:
    """The keys that this process has not finished: with requests, quiet, or held for others.

    :ivar keys: None: every key
    :ivar until_us: by then all of them are over, as no attempt outlives its request's deadline
    """

    keys: frozenset[str] | None
    until_us: int


class KeyQueues:
    """The queues of all keys with open requests, and the quiet periods of keys."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._queues: dict[str, KeyQueue] = {}
        self._held = NO_KEYS_HELD

    def join(self, request: RequestState) -> None:
        """Append a request to the queue of its key, if its class requires order."""
        if request.request_class.in_order and request.arrival.key:
            queue = self._queues.get(request.arrival.key) or self._add_queue(request.arrival.key)
            queue.members.append(request)
            request.key_queue = queue

    def _add_queue(self, key: str) -> KeyQueue:
        queue = KeyQueue()
        self._queues[key] = queue
        if self._is_held(key):
            queue.held_until_us = self._held.until_us
            self._context.timers.schedule(queue.held_until_us, KeyTimer(key))
        return queue

    # --- when a request may start ----------------------------------------------------------------

    def start_quiet_period(self, request: RequestState) -> None:
        """Delay the next request of a key after an attempt that has no answer and may still be running."""
        if request.key_queue is not None:
            request.key_queue.quiet_until_us = self._context.now_us + self.quiet_us

    @property
    def quiet_us(self) -> int:
        """How long a key rests after an attempt that may still be running."""
        return self._context.settings.key_quiet_us + self._context.settings.tick_us

    def may_start(self, request: RequestState) -> bool:
        """Whether the queue of the request's key allows an attempt now."""
        queue = request.key_queue
        if queue is None:
            return True
        is_blocked = not request.attempt_count and queue.blocked_until_us > self._context.now_us
        return queue.is_first(request) and not is_blocked

    # --- other processes of this broker ----------------------------------------------------------

    def hold(self, held: api.KeysHeld) -> None:
        """Hold keys that have no request yet, and release those that were held and are not any more."""
        self._held = held
        for key, queue in list(self._queues.items()):
            if not queue.held_until_us:
                continue
            if self._is_held(key):
                queue.held_until_us = max(queue.held_until_us, held.until_us)
            else:
                queue.held_until_us = 0
                self._advance(key, queue)

    def _is_held(self, key: str) -> bool:
        held = self._held
        return held.until_us > self._context.now_us and (held.keys is None or key in held.keys)

    def open_keys(self) -> OpenKeys:
        """The keys that a newer process of this broker must hold until this one is done with them."""
        own_keys = frozenset(self._queues)
        until_us = max(map(self._closed_by_us, self._queues.values()), default=0)
        held = self._held
        if held.until_us <= self._context.now_us:
            return OpenKeys(own_keys, until_us)
        keys = own_keys | held.keys if held.keys is not None else None
        return OpenKeys(keys, max(until_us, held.until_us))

    def _closed_by_us(self, queue: KeyQueue) -> int:
        deadlines: Iterable[int] = (request.arrival.deadline_at_us for request in queue.members)
        return max(max(deadlines, default=0) + self.quiet_us, queue.quiet_until_us)

    # --- from one request to the next ------------------------------------------------------------

    def on_request_closed(self, request: RequestState) -> None:
        """Schedule the next request of the key when a request is closed."""
        if request.key_queue is not None:
            self._advance(request.arrival.key, request.key_queue)

    def on_blocked_period_end(self, key: str) -> None:
        """Schedule the next request of the key when it is quiet or held no longer."""
        if key in self._queues:
            self._advance(key, self._queues[key])

    def _advance(self, key: str, queue: KeyQueue) -> None:
        """Schedule the next request of a key once it may start; drop the queue if it is empty."""
        now_us, timers = self._context.now_us, self._context.timers
        while queue.members and queue.members[0].is_closed:
            queue.members.popleft()
        if queue.blocked_until_us > now_us:
            timers.schedule(queue.blocked_until_us, KeyTimer(key))
        elif queue.members:
            timers.schedule(now_us, RequestTimer(queue.members[0]))
        else:
            self._queues.pop(key, None)
