"""Pauses of the event loop are counted, and show whether the process used the processor meanwhile."""

from __future__ import annotations

import asyncio
import os
import signal
import threading
import time
from collections.abc import Callable

import pytest

from harriertide.engine import loop_monitor
from harriertide.engine.loop_monitor import LOGGED_PAUSE_S, LoopMonitor, monitored_loop

PAUSE_S = 2 * LOGGED_PAUSE_S
TIMER_S = 0.01
WAIT_S = 5 * TIMER_S  # of the loop, in which the process is stopped: so much of the stop is not a delay


def compute(seconds: float) -> None:
    """Use the processor for so long."""
    end_s = time.thread_time() + seconds
    while time.thread_time() < end_s:
        pass


def stop_and_continue(seconds: float) -> None:
    """Have this process stopped a moment later, for so long; another process continues it."""
    own_id = os.getpid()
    if os.fork() == 0:
        time.sleep(TIMER_S)
        os.kill(own_id, signal.SIGSTOP)
        time.sleep(seconds)
        os.kill(own_id, signal.SIGCONT)
        os._exit(0)


def run_with_monitor(callback: Callable[[float], None], is_serving: bool = True) -> LoopMonitor:
    """Run a callback on a monitored loop, with timers before and behind it."""
    monitor = LoopMonitor()

    async def main() -> None:
        await asyncio.sleep(TIMER_S)
        monitor.is_logging = is_serving
        asyncio.get_running_loop().call_soon(callback, PAUSE_S)
        await asyncio.sleep(WAIT_S)

    with asyncio.Runner(loop_factory=lambda: monitored_loop(monitor)) as runner:
        runner.run(main())
    return monitor


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, object]]:
    """The fields of the lines that the monitor logs."""
    lines: list[dict[str, object]] = []
    monkeypatch.setattr(loop_monitor, "log", lambda event, **fields: lines.append(fields))
    return lines


def test_a_callback_that_computes_shows_as_a_pause_with_processor_time(
    logged: list[dict[str, object]],
) -> None:
    monitor = run_with_monitor(compute)
    assert monitor.counts["long_pauses"] >= 1
    assert monitor.counts["longest_pause_ms"] >= 1000 * PAUSE_S
    assert monitor.counts["processor_ms"] >= 900 * PAUSE_S
    assert logged and logged[0]["user_ms"] == monitor.counts["processor_ms"] - int(
        str(logged[0]["system_ms"])
    )


def test_a_process_that_is_not_run_shows_as_a_pause_without_processor_time(
    logged: list[dict[str, object]],
) -> None:
    """Guards against a hold-up of the machine that is taken for one of the program."""
    monitor = run_with_monitor(stop_and_continue)
    os.wait()
    assert monitor.counts["longest_pause_ms"] >= 1000 * (PAUSE_S - WAIT_S)
    assert monitor.counts["processor_ms"] <= 100 * PAUSE_S
    assert logged


def test_a_pause_before_the_process_serves_is_counted_and_not_logged(logged: list[dict[str, object]]) -> None:
    """Guards against a start on a busy machine that logs more than the one line of its error."""
    assert run_with_monitor(compute, is_serving=False).counts["long_pauses"] >= 1
    assert not logged


def test_a_loop_that_only_waits_has_no_long_pause() -> None:
    monitor = run_with_monitor(lambda _: threading.Event().clear())
    assert monitor.counts["long_pauses"] == 0
