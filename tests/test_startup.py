"""When a process counts as serving: its listeners are open, and an agent's endpoint list is there or late."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from harriertide.cli import startup
from harriertide.cli.startup import Readiness


class Start:
    """A start that counts how often it is told to serve. watch: of an agent that may push a list."""

    def __init__(self) -> None:
        self.ready_count = 0
        self.readiness = Readiness(self.on_ready)
        self.watch: Any = SimpleNamespace(on_list=lambda: None)

    def on_ready(self) -> None:
        self.ready_count += 1


def test_a_process_without_an_agent_serves_once_its_listeners_are_open() -> None:
    start = Start()
    assert not start.ready_count
    start.readiness.listeners_opened()
    assert start.ready_count == 1


@pytest.mark.parametrize("list_first", [False, True])
def test_a_process_with_an_agent_waits_for_its_list_and_its_listeners(list_first: bool) -> None:
    """The list comes before the listeners are open, or after: neither alone makes a process ready."""

    async def main() -> None:
        start = Start()
        start.readiness.await_endpoint_list(start.watch)
        steps = [start.readiness.listeners_opened, start.watch.on_list]
        first, second = reversed(steps) if list_first else steps
        first()
        assert not start.ready_count
        second()
        assert start.ready_count == 1
        start.watch.on_list()  # further lists are no concern of the start
        assert start.ready_count == 1

    asyncio.run(main())


def test_an_agent_that_says_nothing_holds_up_a_start_for_a_while_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Discovery is away, and the agent has no list: a broker that never becomes ready would be worse."""
    monkeypatch.setattr(startup, "FIRST_LIST_TIMEOUT_S", 0.02)

    async def main() -> None:
        start = Start()
        start.readiness.await_endpoint_list(start.watch)
        start.readiness.listeners_opened()
        assert not start.ready_count
        async with asyncio.timeout(1):
            while not start.ready_count:
                await asyncio.sleep(0.005)

    asyncio.run(main())


def test_the_list_of_the_process_before_stands_in_for_an_agents() -> None:
    """An upgrade in place hands the list over: the new process does not wait for the agent's as well."""

    async def main() -> None:
        start = Start()
        start.readiness.await_endpoint_list(start.watch)
        start.readiness.skip_endpoint_list()
        assert not start.ready_count
        start.readiness.listeners_opened()
        assert start.ready_count == 1

    asyncio.run(main())
