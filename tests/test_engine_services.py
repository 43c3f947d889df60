"""The clock, the log and the counter fields of a process."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter

import pytest

from harriertide.engine import counters, log
from harriertide.engine.clock import Clock


def test_the_clock_converts_unix_time_to_event_loop_time() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        clock = Clock(loop)
        assert abs(clock.now_us() - time.time_ns() // 1000) < 1_000_000
        assert abs(clock.loop_time(clock.now_us() + 500_000) - loop.time() - 0.5) < 0.1

    asyncio.run(main())


def test_the_log_is_rate_limited_and_counts_dropped_events(capsys: pytest.CaptureFixture[str]) -> None:
    event_log = log.Log()
    for number in range(1_000):
        event_log(f"line {number}")
    assert len(capsys.readouterr().err.splitlines()) < 100
    event_log._available_events = 5.0
    event_log("later", what='a "b"')
    output = capsys.readouterr().err
    assert "event=later" in output and "left_out=9" in output and r'what="a \"b\""' in output
    event_log.set_format("json")
    event_log("later", count=1)
    record = json.loads(capsys.readouterr().err)
    assert record["event"] == "later" and record["count"] == 1 and record["at"]


def test_counters_are_the_fields_of_one_event() -> None:
    assert counters.counter_fields({"a": Counter(x=1, b=2)}) == {"a.b": 2, "a.x": 1}
