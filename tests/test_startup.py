"""Readiness of a process: its listeners are open, and its endpoint list was received or has timed out."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from harriertide.cli import startup
from harriertide.cli.startup import Readiness


class ReadinessRecorder:
    """Counts the calls that report readiness; `watch` stands in for the endpoint watch on an agent."""

    def __init__(self) -> None:
        self.ready_count = 0
        self.readiness = Readiness(self.on_ready)
        self.watch: Any = SimpleNamespace(on_list_received=lambda: None)

    def on_ready(self) -> None:
        self.ready_count += 1


def test_a_process_without_an_agent_serves_once_its_listeners_are_open() -> None:
    recorder = ReadinessRecorder()
    assert not recorder.ready_count
    recorder.readiness.listeners_opened()
    assert recorder.ready_count == 1


@pytest.mark.parametrize("list_first", [False, True])
def test_a_process_with_an_agent_waits_for_its_list_and_its_listeners(list_first: bool) -> None:
    """The list is received before or after the listeners open; neither alone makes a process ready."""

    async def main() -> None:
        recorder = ReadinessRecorder()
        recorder.readiness.await_endpoint_list(recorder.watch)
        steps = [recorder.readiness.listeners_opened, recorder.watch.on_list_received]
        first, second = reversed(steps) if list_first else steps
        first()
        assert not recorder.ready_count
        second()
        assert recorder.ready_count == 1
        recorder.watch.on_list_received()  # further lists do not report readiness again
        assert recorder.ready_count == 1

    asyncio.run(main())


def test_a_silent_agent_delays_readiness_only_until_a_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Discovery is down and the agent has no list. The broker must become ready all the same."""
    monkeypatch.setattr(startup, "FIRST_LIST_TIMEOUT_S", 0.02)

    async def main() -> None:
        recorder = ReadinessRecorder()
        recorder.readiness.await_endpoint_list(recorder.watch)
        recorder.readiness.listeners_opened()
        assert not recorder.ready_count
        async with asyncio.timeout(1):
            while not recorder.ready_count:
                await asyncio.sleep(0.005)

    asyncio.run(main())


def test_the_list_of_the_previous_process_replaces_that_of_the_agent() -> None:
    """An in-place upgrade hands over the list, so the new process does not wait for the agent's list."""

    async def main() -> None:
        recorder = ReadinessRecorder()
        recorder.readiness.await_endpoint_list(recorder.watch)
        recorder.readiness.skip_endpoint_list()
        assert not recorder.ready_count
        recorder.readiness.listeners_opened()
        assert recorder.ready_count == 1

    asyncio.run(main())
