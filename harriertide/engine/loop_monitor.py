"""Measures the pauses of the event loop, and what the process used its time for meanwhile.

A pause is the time from one poll for input to the next, or by which a poll returned late. One that is long
with as much processor time points to code that held the loop; with little, to a process that was not run.
"""

from __future__ import annotations

import asyncio
import resource
import selectors
import time
from collections import Counter
from dataclasses import dataclass

from harriertide.engine.log import log

LOGGED_PAUSE_S = 0.15  # the deployment's pages allow a broker to be held up for so long
USAGE_INTERVAL_S = 0.02  # between readings of the processor time, each of which is a system call


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What the system has counted for this process.

    :param user_s: processor time in the program and the interpreter
    :param system_s: processor time in system calls
    :param preemptions: how often another process was run in its place
    """

    user_s: float
    system_s: float
    preemptions: int

    @classmethod
    def read(cls) -> ProcessUsage:
        """Return the counts so far."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return cls(usage.ru_utime, usage.ru_stime, usage.ru_nivcsw)


class LoopMonitor:
    """Counts the pauses of one event loop, and logs the long ones once the process serves.

    :ivar counts: `longest_pause_ms`, `long_pauses`, and `processor_ms` in the longest pause
    :ivar is_logging: a process that starts loads its modules on the loop, and nobody waits for it yet
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.is_logging = False
        self._longest_s = 0.0
        self._usage = ProcessUsage.read()
        self._usage_read_at_s = time.monotonic()

    def record_time(self, begun_s: float, ended_s: float) -> None:
        """The loop made no progress between these monotonic times."""
        pause_s = ended_s - begun_s
        if pause_s > self._longest_s or pause_s >= LOGGED_PAUSE_S:
            self._record_pause(pause_s, ended_s)
        elif ended_s - self._usage_read_at_s >= USAGE_INTERVAL_S:
            self._read_usage(ended_s)

    def _read_usage(self, now_s: float) -> ProcessUsage:
        """Read the counts of the system; return those of the reading before."""
        before = self._usage
        self._usage = ProcessUsage.read()
        self._usage_read_at_s = now_s
        return before

    def _record_pause(self, pause_s: float, now_s: float) -> None:
        """Count a pause, with what was used since the last reading, USAGE_INTERVAL_S before it at most."""
        before = self._read_usage(now_s)
        user_ms = round(1000 * (self._usage.user_s - before.user_s))
        system_ms = round(1000 * (self._usage.system_s - before.system_s))
        if pause_s > self._longest_s:
            self._longest_s = pause_s
            self.counts["longest_pause_ms"] = round(1000 * pause_s)
            self.counts["processor_ms"] = user_ms + system_ms
        if pause_s >= LOGGED_PAUSE_S:
            self.counts["long_pauses"] += 1
        if pause_s >= LOGGED_PAUSE_S and self.is_logging:
            log(
                "the event loop stood still",
                pause_ms=round(1000 * pause_s),
                user_ms=user_ms,
                system_ms=system_ms,
                preemptions=self._usage.preemptions - before.preemptions,
            )


class _MonitoredSelector(selectors.DefaultSelector):
    """The selector of an event loop, which tells the monitor when the loop polls and how late."""

    def __init__(self, monitor: LoopMonitor) -> None:
        super().__init__()
        self._monitor = monitor
        self._returned_at_s = time.monotonic()

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for input as the base class does."""
        begun_s = time.monotonic()
        self._monitor.record_time(self._returned_at_s, begun_s)
        ready = super().select(timeout)
        self._returned_at_s = time.monotonic()
        if timeout is not None:
            due_s = begun_s + max(0.0, timeout)
            if self._returned_at_s > due_s:
                self._monitor.record_time(due_s, self._returned_at_s)
        return ready


def monitored_loop(monitor: LoopMonitor) -> asyncio.AbstractEventLoop:
    """Create an event loop whose pauses are measured."""
    return asyncio.SelectorEventLoop(_MonitoredSelector(monitor))
