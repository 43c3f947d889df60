"""A queue of timers, ordered by due time. The caller passes the current time; no clock is read."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

Timer = TypeVar("Timer")

MIN_COMPACTED_COUNT = 256  # fewer timers are not searched for obsolete ones


class TimerQueue(Generic[Timer]):
    """Timers in order of due time; timers with equal due times keep the order in which they were set.

    :param is_obsolete: whether a timer would have no effect any more
    """

    def __init__(self, is_obsolete: Callable[[Timer], bool]) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._set_count = 0
        self._is_obsolete = is_obsolete
        self._compact_above = MIN_COMPACTED_COUNT

    def __len__(self) -> int:
        """The number of timers, with those that are obsolete and were not removed yet."""
        return len(self._heap)

    def schedule(self, at_us: int, timer: Timer) -> None:
        """Add a timer that is due at `at_us`."""
        self._set_count += 1
        heappush(self._heap, (at_us, self._set_count, timer))
        if len(self._heap) > self._compact_above:
            self._compact()

    def pop_due(self, now_us: int) -> Timer | None:
        """Remove and return the next timer that is due; None if there is none."""
        if not self._heap or self._heap[0][0] > now_us:
            return None
        return heappop(self._heap)[2]

    def next_at_us(self) -> int | None:
        """The due time of the next timer that is not obsolete; None if there is none."""
        while self._heap and self._is_obsolete(self._heap[0][2]):
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def _compact(self) -> None:
        """Remove all obsolete timers, each time that the number of timers has doubled."""
        self._heap = [entry for entry in self._heap if not self._is_obsolete(entry[2])]
        heapify(self._heap)
        self._compact_above = max(MIN_COMPACTED_COUNT, 2 * len(self._heap))

    def shift(self, by_us: int) -> None:
        """Move all timers by `by_us`, after the clock was adjusted by that amount."""
        self._heap = [(at_us + by_us, order, timer) for at_us, order, timer in self._heap]
        heapify(self._heap)
