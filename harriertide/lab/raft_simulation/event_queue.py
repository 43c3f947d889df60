"""Virtual time: callbacks in the order of their times, and clocks that drift."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import Any

SECOND_US = 1_000_000


class EventQueue:
    """Callbacks by their time; of several at one time the one scheduled first runs first."""

    def __init__(self) -> None:
        self.now_us = 0
        self.scheduled_count = 0
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []  # a heap

    def call_at(self, at_us: int, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback; one for the past runs now."""
        self.scheduled_count += 1
        heappush(self._events, (max(at_us, self.now_us), self.scheduled_count, callback, args))

    def call_later(self, delay_us: int, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now_us + delay_us, callback, *args)

    def run_until(self, end_us: int) -> None:
        """Run all callbacks up to this time."""
        while self._events and self._events[0][0] <= end_us:
            self.now_us, _, callback, args = heappop(self._events)
            callback(*args)
        self.now_us = end_us


@dataclass(frozen=True, slots=True)
class DriftingClock:
    """A host's own clock: it starts anywhere, and runs a little too fast or too slow.

    :param rate: its seconds in one second of the simulation
    """

    queue: EventQueue
    rate: float
    offset_us: int

    def now_us(self) -> int:
        """Return what this clock shows now."""
        return int(self.offset_us + self.rate * self.queue.now_us)

    def simulation_time_us(self, clock_us: int) -> int:
        """Return the first time of the simulation at which this clock shows that time."""
        return int((clock_us - self.offset_us) / self.rate) + 1
