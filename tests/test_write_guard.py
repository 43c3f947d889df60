"""The rules of the write guard, which catch decisions that became invalid before the write."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.core.write_guard import RATE_LIMIT_WRITE_DELAY_MAX_US, SLOW_START_WRITE_DELAY_MAX_US
from harriertide.decide import api
from tests.helpers import SETTINGS, START_US
from tests.scripted import (
    ALONE,
    NODES,
    NODES_LISTED,
    ScriptedModule,
    node_changed,
    request_arrived,
    start_attempt,
)

SLOW_START_NODE = replace(NODES[0], started_us=START_US - 1_000_000)


def reducer_with_open_attempt(arrived: ev.RequestArrived, *nodes: api.NodeEntry) -> Reducer:
    """A reducer whose first attempt, at n0, was decided at START_US; two more may follow."""
    core = Reducer(ALONE, 1, ScriptedModule([start_attempt()], [start_attempt()], [start_attempt()]))
    core.step(START_US, [ev.EndpointsUpdated(api.EndpointUpdate("cached", nodes or NODES)), arrived])
    return core


def test_a_drain_between_decision_and_write_prevents_the_write() -> None:
    """A node drains, then leaves the endpoint list, while an attempt waits for a connection to the node."""
    core = reducer_with_open_attempt(request_arrived())
    assert core.may_write("r", 0, START_US) is None
    core.step(START_US, [node_changed(replace(NODES[0], state="draining"))])
    assert core.may_write("r", 0, START_US) == "rejected"
    core.step(START_US, [node_changed(replace(NODES[0], state="gone"))])
    assert core.may_write("r", 0, START_US) == "rejected"


def test_a_node_that_maintenance_bars_is_not_written_to() -> None:
    """A broker was suspended past its maintenance lease; its endpoint list still shows the node as live."""
    core = reducer_with_open_attempt(request_arrived())
    barred: set[str] = set()
    core.is_barred = barred.__contains__
    assert core.may_write("r", 0, START_US) is None
    barred.add("n0")
    assert core.may_write("r", 0, START_US) == "rejected"
    assert core.counts["barred"] == 1


@pytest.mark.parametrize(("request_class", "outcome"), [(0, None), (2, "not_sent")])
def test_a_non_idempotent_request_that_may_have_executed_is_not_written_again(
    request_class: int, outcome: Any
) -> None:
    """The connection was reset after the write, and the decision module starts a retry nevertheless."""
    arrived = request_arrived()
    arrived = replace(arrived, arrival=replace(arrived.arrival, request_class=request_class))
    core = reducer_with_open_attempt(arrived)
    core.step(START_US + 1_000, [ev.AttemptFinished("r", 0, "reset")])
    assert core.may_write("r", 1, START_US + 1_000) == outcome
    assert core.counts["window_over"] == (outcome is not None)


def test_an_attempt_past_its_stop_time_is_not_written() -> None:
    """The attempt would be closed right after the write, and could execute concurrently with the next one."""
    core = reducer_with_open_attempt(request_arrived())
    assert core.may_write("r", 0, START_US + 499_999) is None
    assert core.may_write("r", 0, START_US + 500_000) == "rejected"


@pytest.mark.parametrize("outcome", ["connect_failed", "rejected", "reset"])
def test_units_of_a_rate_limit_are_not_written_after_the_maximum_delay(outcome: Any) -> None:
    """A broker was suspended between decision and write, or the first attempt never reached its node."""
    arrived = request_arrived()
    core = reducer_with_open_attempt(replace(arrived, arrival=replace(arrived.arrival, plan=1)))
    assert core.may_write("r", 0, START_US + RATE_LIMIT_WRITE_DELAY_MAX_US) is None
    assert core.may_write("r", 0, START_US + RATE_LIMIT_WRITE_DELAY_MAX_US + 1) == "not_sent"
    core.step(START_US + RATE_LIMIT_WRITE_DELAY_MAX_US, [ev.AttemptFinished("r", 0, outcome)])
    retry_outcome = core.may_write("r", 1, START_US + RATE_LIMIT_WRITE_DELAY_MAX_US + 20_000)
    # An attempt that may have executed has spent its units.
    assert retry_outcome == (None if outcome == "reset" else "not_sent")


def test_requests_without_a_rate_limit_are_written_until_their_stop_time() -> None:
    core = reducer_with_open_attempt(request_arrived())
    assert core.may_write("r", 0, START_US + 2 * RATE_LIMIT_WRITE_DELAY_MAX_US) is None


@pytest.mark.parametrize(
    ("plan", "node", "outcome"),
    [(0, NODES[0], None), (1, NODES[0], "rejected"), (0, SLOW_START_NODE, "rejected")],
)
def test_a_streamed_body_is_not_written_under_a_rate_limit_or_to_a_node_in_slow_start(
    plan: int, node: api.NodeEntry, outcome: Any
) -> None:
    """The node executes a request at its last byte, which may arrive long after the units were granted."""
    arrived = replace(request_arrived(), streams_body=True)
    core = reducer_with_open_attempt(replace(arrived, arrival=replace(arrived.arrival, plan=plan)), node)
    assert core.may_write("r", 0, START_US) == outcome


def test_a_delayed_attempt_is_not_written_to_a_node_in_slow_start() -> None:
    """A slow connection would shift units from one budget window of the node into the next."""
    core = reducer_with_open_attempt(request_arrived(), SLOW_START_NODE)
    assert core.may_write("r", 0, START_US + SLOW_START_WRITE_DELAY_MAX_US) is None
    assert core.may_write("r", 0, START_US + SLOW_START_WRITE_DELAY_MAX_US + 1) == "withheld"


def test_the_collapse_window_of_decisions_includes_the_maximum_write_delay() -> None:
    """Otherwise the budgets of two decision windows could be written within one window."""
    window_lengths_us: list[int] = []

    def make_module(given_settings: Any, seed: int) -> Any:
        window_lengths_us.append(given_settings.collapse_window_us)

    Reducer(SETTINGS, 1, make_module)
    assert window_lengths_us == [SETTINGS.collapse_window_us + SLOW_START_WRITE_DELAY_MAX_US]


def test_only_the_open_attempt_is_written() -> None:
    core = reducer_with_open_attempt(request_arrived())
    assert core.may_write("r", 1, START_US) == "not_sent"
    assert core.may_write("other", 0, START_US) == "not_sent"
    core.step(START_US, [NODES_LISTED, ev.AttemptFinished("r", 0, "ok", b"")])
    assert core.may_write("r", 0, START_US) == "not_sent"
