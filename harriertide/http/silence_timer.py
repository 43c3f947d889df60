"""A timeout for a peer's silence that does not mistake this process's own pauses for it.

A process that is not run for a moment finds its timers due before it has read what came meanwhile. Silence is
therefore counted in ticks: a tick counts for its own length only, however late it comes, and what has arrived
by the last one is handled before the peer is judged.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import ceil

TICK_S = 0.01
# Iterations of the event loop from a socket's readiness until its protocol, or the task that waits for its
# connection, has been told.
SETTLE_ITERATION_COUNT = 4


class SilenceTimer:
    """Calls back once the peer has been silent for a time in which this process could hear it.

    :param timeout_s: rounded up to whole ticks
    :param on_silence: called once, unless the timer is cancelled
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, timeout_s: float, on_silence: Callable[[], None]
    ) -> None:
        self._loop = loop
        self._on_silence = on_silence
        self._remaining_ticks = ceil(timeout_s / TICK_S)
        self._handle: asyncio.Handle = self._schedule_tick()

    def cancel(self) -> None:
        """Stop the timer: the peer has been heard."""
        self._handle.cancel()

    def _schedule_tick(self) -> asyncio.TimerHandle:
        return self._loop.call_at(self._loop.time() + TICK_S, self._on_tick)

    def _on_tick(self) -> None:
        self._remaining_ticks -= 1
        if self._remaining_ticks > 0:
            self._handle = self._schedule_tick()
        else:
            self._settle(SETTLE_ITERATION_COUNT)

    def _settle(self, iteration_count: int) -> None:
        """Let the loop handle what has arrived, then judge."""
        if iteration_count:
            self._handle = self._loop.call_soon(self._settle, iteration_count - 1)
        else:
            self._on_silence()
