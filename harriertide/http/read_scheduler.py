"""Shares the event loop's time among connections whose input is costly to parse, such as tiny chunks.

The cost of input is its number of lines, of heads and of the framing of chunks: unlike the time that parsing
takes, it is the same on a machine that is short of processor time. Every connection may have a quantum of
lines parsed in each period. One that has used it up is not read again until its turn: those that wait share a
fixed number of lines, the longest waiting first. Connections with ordinary input never wait, however many
others send at full speed.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Protocol

PERIOD_S = 0.02
QUANTUM_LINES = 500  # of one connection in a period
MIN_COUNTED_LINES = 100  # reads of fewer lines are not counted, as ordinary requests have fewer
SHARED_LINES = 10_000  # in a period, of all connections that have used up their quantum


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
        self._used_lines: dict[HeldConnection, int] = {}  # in this period
        self._waiting: dict[HeldConnection, int] = {}  # lines of the last turn; longest waiting first
        self._timer: asyncio.TimerHandle | None = None

    def record(self, connection: HeldConnection, line_count: int) -> None:
        """Count lines of a connection's input that are parsed."""
        if line_count < MIN_COUNTED_LINES:
            return
        used_lines = self._used_lines.get(connection, 0) + line_count
        self._used_lines[connection] = used_lines
        if used_lines > QUANTUM_LINES and connection not in self._waiting:
            self._waiting[connection] = used_lines
            self.counts["held"] += 1
            connection.hold_reading()
        if self._timer is None:
            self._timer = self._loop.call_later(PERIOD_S, self._begin_period)

    def forget(self, connection: HeldConnection) -> None:
        """A connection was closed."""
        self._used_lines.pop(connection, None)
        self._waiting.pop(connection, None)

    def close(self) -> None:
        """Start no further period."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _begin_period(self) -> None:
        """Release the connections that have waited longest, as many as their shared time allows."""
        self._timer = None
        self._used_lines.clear()
        available_lines = SHARED_LINES
        while self._waiting and available_lines > 0:
            connection = next(iter(self._waiting))
            available_lines -= self._waiting.pop(connection)
            connection.release_reading()
        if self._waiting:
            self._timer = self._loop.call_later(PERIOD_S, self._begin_period)
