"""Decides when listeners accept: at the limit, new connections wait in the kernel's queue for room.

A connection that is accepted at the limit could only be closed again, perhaps with a request that has arrived
on it. One that waits is served, or gets an answer, once another one has ended or has been evicted for it. Its
client waits meanwhile, so the time in the queue counts against the deadline of its request.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Protocol

from harriertide.http.socket_state import has_unread_input, time_since_input_s

ROOM_CHECK_INTERVAL_S = 0.02  # between attempts to evict a connection while others wait in the queue


class PausableListener(Protocol):
    """The part of a listener's interface that this module uses."""

    def resume(self) -> None:
        """Accept connections again."""

    def has_waiting_connection(self) -> bool:
        """Whether a connection waits in the kernel's queue."""


class LimitedConnections(Protocol):
    """The part of the connection table's interface that this module uses."""

    counts: Counter[str]
    max_connections: int

    def __len__(self) -> int:
        """The number of open connections."""

    def evict_one(self) -> bool:
        """Close an inactive connection; return whether there was one."""


class AcceptControl:
    """Pauses and resumes the listeners that share one connection limit.

    One connection beyond the limit may be open: whether it carries a request, and so which connections may be
    evicted for it, is known only after it is accepted. While there is one, no other is accepted.

    :param connections: the connections that count against the limit
    """

    def __init__(self, connections: LimitedConnections) -> None:
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._listeners: dict[PausableListener, None] = {}
        self._paused: dict[PausableListener, None] = {}
        # When the queue was last known to be empty before connections had to wait; None: none waits.
        self._queue_empty_at_s: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.unreported_count = 0  # connections that are accepted and not in the connection table yet

    @property
    def has_waiting_connections(self) -> bool:
        """Whether connections wait in the queue of a listener."""
        return any(listener.has_waiting_connection() for listener in self._listeners)

    def add(self, listener: PausableListener) -> None:
        """A listener was opened."""
        self._listeners[listener] = None

    def forget(self, listener: PausableListener) -> None:
        """A listener was closed."""
        self._listeners.pop(listener, None)
        self._paused.pop(listener, None)

    def make_room(self) -> bool:
        """Whether a connection that waits may be accepted, once inactive ones are evicted for it."""
        while not self._has_room():
            if not self._connections.evict_one():
                return False
        return True

    def _has_room(self) -> bool:
        return len(self._connections) + self.unreported_count <= self._connections.max_connections

    def begin_accept(self) -> None:
        """A connection was accepted; it is reported to the connection table later."""
        self.unreported_count += 1

    def end_accept(self) -> None:
        """An accepted connection was reported to the connection table, or has failed."""
        self.unreported_count -= 1
        self.resume_if_room()
        self.check_queue()

    def pause(self, listener: PausableListener) -> None:
        """Resume this listener, which has stopped accepting, once there is room."""
        self._paused[listener] = None
        self._connections.counts["accept_paused"] += 1
        if self._queue_empty_at_s is None:
            self._queue_empty_at_s = self._loop.time()
        if self._timer is None:
            self._schedule_check()

    def check_queue(self) -> None:
        """Stop counting the time in the queue once all that waited are in the connection table."""
        if self._queue_empty_at_s is None or self._paused or self.unreported_count:
            return
        if not self.has_waiting_connections:
            self._queue_empty_at_s = None

    def resume_if_room(self) -> None:
        """Let the paused listeners accept if there is room."""
        if not self._paused or not self._has_room():
            return
        listeners = list(self._paused)
        self._paused.clear()
        for listener in listeners:
            listener.resume()
        self.check_queue()

    def queue_time_s(self, transport: asyncio.BaseTransport | None) -> float:
        """How long the request on a connection that was just accepted has waited; 0 if none has arrived."""
        if self._queue_empty_at_s is None or not has_unread_input(transport):
            return 0.0
        longest_s = self._loop.time() - self._queue_empty_at_s
        time_s = min(longest_s, time_since_input_s(transport, default_s=longest_s))
        counts = self._connections.counts
        counts["queued_requests"] += 1
        counts["longest_queue_ms"] = max(counts["longest_queue_ms"], round(time_s * 1000))
        return time_s

    def close(self) -> None:
        """Stop checking for room."""
        self._paused.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # --- while listeners are paused ------------------------------------------------------------

    def _schedule_check(self) -> None:
        self._timer = self._loop.call_at(self._loop.time() + ROOM_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        """Evict inactive connections for those that wait.

        Without new connections nothing else evicts them, and they become inactive by time alone.
        """
        self._timer = None
        if not self._paused:
            return
        if self.has_waiting_connections:
            self.make_room()
        else:
            self._queue_empty_at_s = self._loop.time()
        self.resume_if_room()
        if self._paused:
            self._schedule_check()
