"""The clock of a process: the Unix time read once at start, advanced by the event loop's monotonic time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


class Clock:
    """Monotonic Unix time in microseconds, with conversion from and to the event loop's time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._reference_s = loop.time()
        # An event loop with a simulated clock, such as that of the lab, provides its own Unix time.
        simulated_unix_us: Callable[[], int] | None = getattr(loop, "wall_us", None)
        if simulated_unix_us is None:
            self._reference_unix_us = time.time_ns() // 1000
        else:
            self._reference_unix_us = simulated_unix_us()

    def set_reference(self, monotonic_s: float, unix_us: int) -> None:
        """Set the reference to a Unix time and monotonic time that another process has read together."""
        self._reference_s = monotonic_s
        self._reference_unix_us = unix_us

    def now_us(self) -> int:
        """The current Unix time in microseconds."""
        return self.unix_us(self._loop.time())

    def unix_us(self, loop_time_s: float) -> int:
        """Convert a time of the event loop to Unix microseconds."""
        return self._reference_unix_us + round((loop_time_s - self._reference_s) * 1_000_000)

    def loop_time(self, unix_us: int) -> float:
        """Convert Unix microseconds to a time of the event loop, as `timeout_at` and `call_at` expect."""
        return self._reference_s + (unix_us - self._reference_unix_us) / 1_000_000


async def sleep_until(loop_time_s: float) -> None:
    """Sleep until the given time of the event loop."""
    loop = asyncio.get_running_loop()
    reached = asyncio.Event()
    timer = loop.call_at(loop_time_s, reached.set)
    try:
        await reached.wait()
    finally:
        timer.cancel()
