"""The memory of a process is measured, and its owners are logged as its limit comes near."""

from __future__ import annotations

import asyncio

import pytest

from harriertide.engine.memory_monitor import MemoryMonitor, read_process_memory_bytes
from harriertide.engine.repeated_log import RepeatedLog

LIMIT_BYTES = 100 << 20


def test_anonymous_memory_of_the_process_is_read() -> None:
    before = read_process_memory_bytes()
    held = b"x" * (32 << 20)
    assert read_process_memory_bytes() - before > len(held) * 0.9


def test_a_line_names_the_owners_once_for_each_step_towards_the_limit(
    capsys: pytest.CaptureFixture[str],
) -> None:
    changes: list[bool] = []

    async def main() -> MemoryMonitor:
        monitor = MemoryMonitor(LIMIT_BYTES, lambda: {"request_bytes": 7}, changes.append)
        for ratio in (0.5, 0.85, 0.86, 0.96, 0.5, 0.81):
            monitor.record(int(ratio * LIMIT_BYTES))
        return monitor

    monitor = asyncio.run(main())
    lines = [line for line in capsys.readouterr().err.splitlines() if "memory is short" in line]
    assert len(lines) == 3
    assert all("held_request_bytes=7" in line for line in lines)
    assert changes == [True, False]
    assert monitor.counts["peak_kib"] == int(0.96 * LIMIT_BYTES) // 1024


# Guards against a garbage collection every few samples while the memory varies around the threshold.
def test_memory_stays_short_until_it_has_recovered() -> None:
    changes: list[bool] = []

    async def main() -> None:
        monitor = MemoryMonitor(LIMIT_BYTES, dict, changes.append)
        for ratio in (0.96, 0.94, 0.96, 0.93, 0.96, 0.91, 0.94):
            monitor.record(int(ratio * LIMIT_BYTES))

    asyncio.run(main())
    assert changes == [True, False]


def test_repeated_events_are_counted_in_place_of_a_line_each(capsys: pytest.CaptureFixture[str]) -> None:
    log = RepeatedLog()
    for _ in range(5):
        log("reset", "attempt failed")
    log("timeout", "attempt failed")
    assert capsys.readouterr().err.count("attempt failed") == 2
