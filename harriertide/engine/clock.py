"""One clock for a process: the system's Unix time read once, then the event loop's monotonic time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


class Clock:
    """Unix time in microseconds that never steps back, and the event loop's time of the same moment."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._reference_s = loop.time()
        # A loop on a simulated clock, as the lab's, has a Unix time of its own.
        simulated_unix_us: Callable[[], int] | None = getattr(loop, "wall_us", None)
        if simulated_unix_us is None:
            self._reference_unix_us = time.time_ns() // 1000
        else:
            self._reference_unix_us = simulated_unix_us()

    def adopt(self, monotonic_s: float, unix_us: int) -> None:
        """Go by the reading of another process: its Unix time at a moment of the system's monotonic clock."""
        self._reference_s = monotonic_s
        self._reference_unix_us = unix_us

    def now_us(self) -> int:
        """Now, in Unix microseconds."""
        return self.unix_us(self._loop.time())

    def unix_us(self, loop_time_s: float) -> int:
        """A moment of the event loop's clock, in Unix microseconds."""
        return self._reference_unix_us + round((loop_time_s - self._reference_s) * 1_000_000)

    def loop_time(self, unix_us: int) -> float:
        """A moment in Unix microseconds on the event loop's clock, as `timeout_at` and `call_at` take it."""
        return self._reference_s + (unix_us - self._reference_unix_us) / 1_000_000


async def until(loop_time_s: float) -> None:
    """Wait for a moment of the event loop's clock."""
    loop = asyncio.get_running_loop()
    reached = asyncio.Event()
    timer = loop.call_at(loop_time_s, reached.set)
    try:
        await reached.wait()
    finally:
        timer.cancel()
