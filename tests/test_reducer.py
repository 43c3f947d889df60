"""The rules that the reducer enforces regardless of the decision module, tested with scripted modules."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.core.requests import RETRY_GAP_US
from harriertide.decide import api
from tests.helpers import START_US
from tests.scripted import (
    ALONE,
    NODES,
    NODES_LISTED,
    ScriptedModule,
    effects_of_type,
    node_changed,
    request_arrived,
    start_attempt,
)


def test_a_second_attempt_of_a_request_with_an_open_attempt_is_refused() -> None:
    """A decision module starts two attempts of one request, which would execute the request twice."""
    module = ScriptedModule([start_attempt(), start_attempt("n1")])
    core = Reducer(ALONE, 1, module)
    effects = core.step(START_US, [NODES_LISTED, request_arrived()])
    assert [(e.attempt, e.node_id) for e in effects_of_type(effects, ev.StartAttempt)] == [(0, "n0")]
    assert [e.kind for e in module.received_events if isinstance(e, api.AttemptFinished)] == ["not_sent"]


def test_an_attempt_at_a_draining_node_is_refused() -> None:
    """The decision module chooses a node that is draining according to the endpoint list."""
    module = ScriptedModule([], [start_attempt()])
    core = Reducer(ALONE, 1, module)
    core.step(START_US, [NODES_LISTED, node_changed(replace(NODES[0], state="draining"))])
    assert not effects_of_type(core.step(START_US, [request_arrived()]), ev.StartAttempt)


@pytest.mark.parametrize("kind", ["timeout", "reset", "cancelled", "error"])
def test_the_attempt_after_an_interrupted_attempt_starts_after_a_gap(kind: Any) -> None:
    """A node short of processor time may detect the close of the first connection after the second request.

    The node would hold both attempts at the same time, so the second attempt is written a gap after
    the end of the first.
    """
    core = Reducer(ALONE, 1, ScriptedModule([start_attempt()], [start_attempt()], [api.Fail("r")]))
    first = effects_of_type(core.step(START_US, [NODES_LISTED, request_arrived()]), ev.StartAttempt)
    assert first == [ev.StartAttempt("r", 0, "n0", START_US + 500_000, 0)]
    now_us = START_US + 30_000
    retries = effects_of_type(core.step(now_us, [ev.AttemptFinished("r", 0, kind)]), ev.StartAttempt)
    assert [start.not_before_us for start in retries] == [now_us + RETRY_GAP_US]
    # The final answer does not wait for the gap.
    assert [
        e.kind for e in effects_of_type(core.step(now_us, [ev.AttemptFinished("r", 1, kind)]), ev.Respond)
    ] == ["failed"]


def test_a_reused_id_keeps_the_gap_of_the_previous_request() -> None:
    """A client disconnects, its attempt is cancelled, and the client immediately reuses the request id."""
    core = Reducer(
        ALONE, 1, ScriptedModule([start_attempt()], [], [], [start_attempt()], [], [start_attempt()])
    )
    core.step(START_US, [NODES_LISTED, request_arrived()])
    core.step(START_US, [ev.ClientDisconnected("r")])
    core.step(START_US + 1, [ev.AttemptFinished("r", 0, "cancelled")])
    retries = effects_of_type(core.step(START_US + 2, [request_arrived()]), ev.StartAttempt)
    assert [start.not_before_us for start in retries] == [START_US + 1 + RETRY_GAP_US]
    core.step(START_US + 3, [ev.AttemptFinished("r", 0, "ok", b"")])
    later_attempts = effects_of_type(
        core.step(START_US + 2 * RETRY_GAP_US, [request_arrived()]), ev.StartAttempt
    )
    assert [start.not_before_us for start in later_attempts] == [0]


@pytest.mark.parametrize("kind", ["rejected", "connect_failed"])
def test_the_attempt_after_one_that_was_not_executed_starts_immediately(kind: Any) -> None:
    core = Reducer(ALONE, 1, ScriptedModule([start_attempt()], [start_attempt()]))
    core.step(START_US, [NODES_LISTED, request_arrived()])
    retries = effects_of_type(core.step(START_US + 1, [ev.AttemptFinished("r", 0, kind)]), ev.StartAttempt)
    assert [start.not_before_us for start in retries] == [0]


def test_nothing_is_written_for_a_disconnected_client_but_the_module_gets_the_outcome() -> None:
    """A client disconnects while its attempt waits for a connection; the module must free the node's slot."""
    module = ScriptedModule([start_attempt()])
    core = Reducer(ALONE, 1, module)
    core.step(START_US, [NODES_LISTED, request_arrived()])
    core.step(START_US, [ev.ClientDisconnected("r")])
    assert core.may_write("r", 0, START_US) == "not_sent"
    assert not effects_of_type(core.step(START_US, [ev.AttemptFinished("r", 0, "ok", b"")]), ev.Respond)
    assert [type(e) for e in module.received_events[2:]] == [api.ClientDisconnected, api.AttemptFinished]
    assert not core.has_request("r")


def test_only_the_open_attempt_is_cancelled() -> None:
    """The decision module cancels attempts that do not exist, then the open attempt."""
    nonexistent_attempts = [api.CancelAttempt("r", 1), api.CancelAttempt("x", 0)]
    core = Reducer(
        ALONE, 1, ScriptedModule([start_attempt()], nonexistent_attempts, [api.CancelAttempt("r", 0)])
    )
    core.step(START_US, [NODES_LISTED, request_arrived()])
    assert not effects_of_type(core.step(START_US, [request_arrived("s")]), ev.CancelAttempt)
    assert effects_of_type(core.step(START_US, [request_arrived("t")]), ev.CancelAttempt) == [
        ev.CancelAttempt("r", 0)
    ]


def test_at_shutdown_open_requests_are_answered_once() -> None:
    """A process shuts down with two open requests; a later response does not cause a second answer."""
    core = Reducer(ALONE, 1, ScriptedModule([start_attempt()]))
    core.step(START_US, [NODES_LISTED, request_arrived(), request_arrived("s", 1)])
    effects = effects_of_type(core.step(START_US, [ev.ShutdownStarted()]), ev.Respond)
    assert {(e.request_id, e.kind) for e in effects} == {("r", "rejected"), ("s", "rejected")}
    assert core.open_request_count() == 0
    assert not effects_of_type(
        core.step(START_US, [ev.AttemptFinished("r", 0, "ok", b"late"), ev.ShutdownStarted()]), ev.Respond
    )


def test_a_request_has_one_final_answer_regardless_of_later_actions() -> None:
    """The decision module rejects and fails a served request, and the outcome is reported twice."""
    core = Reducer(ALONE, 1, ScriptedModule([start_attempt()], [api.Reject("r"), api.Fail("r")]))
    core.step(START_US, [NODES_LISTED, request_arrived()])
    effects = core.step(
        START_US, [ev.AttemptFinished("r", 0, "ok", b"x"), ev.AttemptFinished("r", 0, "ok", b"y")]
    )
    assert [(e.kind, e.reply) for e in effects_of_type(effects, ev.Respond)] == [("served", b"x")]


def test_a_failed_decision_module_is_replaced_and_open_requests_are_answered() -> None:
    """The decision module raises with two open requests, whose clients must not wait for their deadlines."""
    module = ScriptedModule([start_attempt()], RuntimeError("odd"), [api.LogLine("fresh")])
    core = Reducer(ALONE, 1, module)
    core.step(START_US, [NODES_LISTED, request_arrived()])
    effects = core.step(START_US, [request_arrived("s", 1)])
    assert {(e.request_id, e.kind) for e in effects_of_type(effects, ev.Respond)} == {
        ("r", "rejected"),
        ("s", "rejected"),
    }
    assert [e.text[:5] for e in effects_of_type(effects, ev.LogLine)] == ["the d", "fresh"]
    assert core.open_request_count() == 0 and core.counts["module_faults"] == 1


@settings(max_examples=40, derandomize=True, deadline=None)
@given(st.integers(0, 10**6))
def test_any_course_of_events_gives_each_request_at_most_one_answer(seed: int) -> None:
    random = Random(seed)
    core = Reducer(ALONE, seed)
    now = START_US
    open_attempts: dict[str, int] = {}
    answered: list[str] = []
    disconnected: set[str] = set()
    timers: list[tuple[int, int]] = []
    request_count = 0

    def step(*events: ev.Event) -> None:
        for effect in core.step(now, list(events)):
            if isinstance(effect, ev.StartAttempt):
                assert effect.request_id not in open_attempts and effect.request_id not in answered
                open_attempts[effect.request_id] = effect.attempt
            elif isinstance(effect, ev.Respond):
                answered.append(effect.request_id)
            elif isinstance(effect, ev.SetTimer):
                timers.append((effect.at_us, effect.token))

    step(NODES_LISTED)
    for _ in range(120):
        now += random.randrange(20_000)
        for timer in sorted(t for t in timers if t[0] <= now):
            timers.remove(timer)
            step(ev.TimerFired(timer[1]))
        choice = random.random()
        if choice < 0.5:
            request_count += 1
            budget = random.randrange(50_000, 900_000)
            step(
                ev.RequestArrived(
                    api.Arrival(f"r{request_count}", 0, 0, "v", random.choice((-1, 0, 1)), now + budget)
                )
            )
        elif choice < 0.8 and open_attempts:
            request = random.choice(sorted(open_attempts))
            kind = random.choice(("ok", "error", "rejected", "timeout", "reset", "connect_failed"))
            step(ev.AttemptFinished(request, open_attempts.pop(request), kind))  # type: ignore[arg-type]
        elif choice < 0.9 and request_count:
            request = f"r{random.randrange(request_count) + 1}"
            disconnected.add(request)
            step(ev.ClientDisconnected(request))
        else:
            node = replace(random.choice(NODES), state=random.choice(("live", "draining")))
            step(node_changed(node))
    now += 2_000_000  # past every deadline: open attempts time out, queued requests are given up
    for _ in range(1_000):
        for request in sorted(open_attempts):
            step(ev.AttemptFinished(request, open_attempts.pop(request), "timeout"))
        if timers:
            step(ev.TimerFired(timers.pop(0)[1]))
        if not core.open_request_count():
            break
    assert len(answered) == len(set(answered))
    assert core.open_request_count() == 0
    assert set(answered) | disconnected >= {f"r{n + 1}" for n in range(request_count)}


def test_capacity_is_learned_only_for_nodes_of_overloaded_shards() -> None:
    """The rate of a node with spare capacity shows only the demand, so maintenance must not use the rate."""
    core = Reducer(ALONE, 1)
    core.step(START_US, [NODES_LISTED])
    assert core.learned_capacity_by_node() == {}
    shard = core.scheduler.endpoints.shards[0]  # type: ignore[attr-defined]
    shard.is_capacity_known, shard.capacity = True, 30.0
    assert core.learned_capacity_by_node() == {}
    shard.is_overloaded = True
    assert core.learned_capacity_by_node() == {"n0": 30.0}


def test_unresponsive_attempts_at_listed_nodes_are_counted_only_with_maintenance() -> None:
    for barred in (None, lambda node: False):
        core = Reducer(ALONE, 1, ScriptedModule((), [start_attempt()]))
        core.is_barred = barred
        core.step(START_US, [NODES_LISTED])
        core.step(START_US, [request_arrived()])
        core.step(START_US + 1_000, [ev.AttemptFinished("r", 0, "connect_failed", None)])
        assert core.consecutive_unresponsive == ({} if barred is None else {"n0": 2})
        core.step(START_US + 2_000, [node_changed(replace(NODES[0], state="gone"))])
        assert not core.consecutive_unresponsive


def test_the_reason_of_a_rejection_is_counted() -> None:
    """The counters distinguish rejections for lack of a node, for a deadline and for a wrong shard."""
    arrival = api.Arrival("no node", 0, 0, "v", 0, START_US + 500_000, 2.0)
    core = Reducer(ALONE, 1)
    core.step(START_US, [ev.RequestArrived(arrival)])
    assert core.counts["given_up_no_node"] == core.counts["rejected"] == 1
    core.step(START_US, [NODES_LISTED])
    late = replace(arrival, request_id="late", deadline_at_us=START_US + 1)
    core.step(START_US, [ev.RequestArrived(late)])
    assert core.counts["given_up_deadline"] == 1
    core.step(START_US, [ev.RequestArrived(replace(arrival, request_id="elsewhere"))])
    core.step(START_US, [ev.AttemptFinished("elsewhere", 0, "not_sent")])
    assert core.counts["given_up_wrong_shard"] == 1 and core.counts["rejected"] == 3
