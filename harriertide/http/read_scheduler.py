"""Shares the event loop's time among connections whose input is costly to parse, such as tiny chunks.

Every connection may use a quantum of parsing time in each period. One that has used it up is not read again
until its turn: those that wait share a fixed part of the time, the longest waiting first. Connections with
ordinary input never wait, however many others send at full speed.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Protocol

PERIOD_S = 0.02
QUANTUM_S = 0.001  # of one connection in a period
MIN_COUNTED_S = 0.0002  # shorter reads are not counted, as ordinary requests are read in less
SHARED_RATIO = 0.25  # of the time, for all connections that have used up their quantum


class HeldConnection(Protocol):
    """The part of a connection's interface that the scheduler uses."""

    def hold_reading(self) -> None:
        """Read no input until `release_reading`."""

    def release_reading(self) -> None:
        """Read input again."""


class ReadScheduler:
    """Decides which connections wait with their input.

    :ivar counts: `held` (how often a connection had to wait)
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._loop = asyncio.get_running_loop()
        self._used_s: dict[HeldConnection, float] = {}  # in this period
        self._waiting: dict[HeldConnection, float] = {}  # time used in the last turn; longest waiting first
        self._timer: asyncio.TimerHandle | None = None

    def record(self, connection: HeldConnection, parsing_s: float) -> None:
        """Count the time in which input of a connection was parsed."""
        if parsing_s < MIN_COUNTED_S:
            return
        used_s = self._used_s.get(connection, 0.0) + parsing_s
        self._used_s[connection] = used_s
        if used_s > QUANTUM_S and connection not in self._waiting:
            self._waiting[connection] = used_s
            self.counts["held"] += 1
            connection.hold_reading()
        if self._timer is None:
            self._timer = self._loop.call_later(PERIOD_S, self._begin_period)

    def forget(self, connection: HeldConnection) -> None:
        """A connection was closed."""
        self._used_s.pop(connection, None)
        self._waiting.pop(connection, None)

    def close(self) -> None:
        """Start no further period."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _begin_period(self) -> None:
        """Release the connections that have waited longest, as many as their shared time allows."""
        self._timer = None
        self._used_s.clear()
        available_s = SHARED_RATIO * PERIOD_S
        while self._waiting and available_s > 0:
            connection = next(iter(self._waiting))
            available_s -= self._waiting.pop(connection)
            connection.release_reading()
        if self._waiting:
            self._timer = self._loop.call_later(PERIOD_S, self._begin_period)
