"""The reducer alone, with scripted modules: what it guards whatever the module does."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.core.requests import CUT_OFF_GAP_US
from harriertide.core.write_guard import RATE_LIMIT_WRITE_DELAY_MAX_US, SLOW_START_WRITE_DELAY_MAX_US
from harriertide.decide import api
from tests.helpers import SETTINGS, START_US

LONE = replace(SETTINGS, broker_count=1, peer_messages_allowed=False)
NODES = (api.NodeEntry("n0", 0), api.NodeEntry("n1", 1))
HELD = ev.EndpointsUpdated(api.EndpointUpdate("cached", NODES))


class Scripted:
    """A module that answers each call with the next actions of a script, or raises them."""

    def __init__(self, *script: Sequence[api.Action] | Exception) -> None:
        self.script, self.heard = list(script), list[api.Event]()

    def __call__(self, settings: api.Settings, seed: int) -> Any:
        return self

    def decide(self, now_us: int, events: list[api.Event]) -> Sequence[api.Action]:
        self.heard += events
        step = self.script.pop(0) if self.script else ()
        if isinstance(step, Exception):
            raise step
        return step


def arrival(request: str = "r", shard: int = 0) -> ev.RequestArrived:
    return ev.RequestArrived(api.Arrival(request, 0, 0, "v", shard, START_US + 1_000_000))


def send(node: str = "n0") -> api.StartAttempt:
    return api.StartAttempt("r", node, START_US + 500_000)


def kinds(effects: Sequence[ev.Effect], kind: type) -> list[Any]:
    return [effect for effect in effects if isinstance(effect, kind)]


def test_a_second_attempt_beside_one_that_is_out_is_turned_back() -> None:
    module = Scripted([send(), send("n1")])
    core = Reducer(LONE, 1, module)
    done = core.step(START_US, [HELD, arrival()])
    assert [(e.attempt, e.node_id) for e in kinds(done, ev.StartAttempt)] == [(0, "n0")]
    assert [e.kind for e in module.heard if isinstance(e, api.AttemptFinished)] == ["not_sent"]


def test_a_send_to_a_node_that_drains_is_turned_back() -> None:
    module = Scripted([], [send()])
    core = Reducer(LONE, 1, module)
    core.step(
        START_US,
        [HELD, ev.EndpointsUpdated(api.EndpointUpdate("delta", (replace(NODES[0], state="draining"),)))],
    )
    assert not kinds(core.step(START_US, [arrival()]), ev.StartAttempt)


def test_a_drain_told_between_the_decision_and_the_writing_stops_the_send() -> None:
    core = Reducer(LONE, 1, Scripted([send()]))
    core.step(START_US, [HELD, arrival()])
    assert core.may_write("r", 0, START_US) is None
    core.step(
        START_US, [ev.EndpointsUpdated(api.EndpointUpdate("delta", (replace(NODES[0], state="draining"),)))]
    )
    assert core.may_write("r", 0, START_US) == "rejected"
    core.step(
        START_US, [ev.EndpointsUpdated(api.EndpointUpdate("delta", (replace(NODES[0], state="gone"),)))]
    )
    assert core.may_write("r", 0, START_US) == "rejected"


def test_a_send_to_a_cold_node_that_was_held_up_is_not_written() -> None:
    young = replace(NODES[0], started_us=START_US - 1_000_000)
    core = Reducer(LONE, 1, Scripted([send()]))
    core.step(START_US, [ev.EndpointsUpdated(api.EndpointUpdate("cached", (young,))), arrival()])
    assert core.may_write("r", 0, START_US + SLOW_START_WRITE_DELAY_MAX_US) is None
    assert core.may_write("r", 0, START_US + SLOW_START_WRITE_DELAY_MAX_US + 1) == "connect_failed"


@pytest.mark.parametrize("kind", ["timeout", "reset", "cancelled", "error"])
def test_after_an_attempt_that_was_cut_off_the_next_leaves_a_gap_behind_its_end(kind: Any) -> None:
    """Guards against a second copy where a box reads the end of the first connection last."""
    core = Reducer(LONE, 1, Scripted([send()], [send()], [api.Fail("r")]))
    first = kinds(core.step(START_US, [HELD, arrival()]), ev.StartAttempt)
    assert first == [ev.StartAttempt("r", 0, "n0", START_US + 500_000, 0)]
    now = START_US + 30_000
    again = kinds(core.step(now, [ev.AttemptFinished("r", 0, kind)]), ev.StartAttempt)
    assert [start.not_before_us for start in again] == [now + CUT_OFF_GAP_US]
    # the final answer waits for nothing
    assert [e.kind for e in kinds(core.step(now, [ev.AttemptFinished("r", 1, kind)]), ev.Respond)] == [
        "failed"
    ]


def test_an_id_used_once_more_keeps_the_gap_of_its_first_holder() -> None:
    core = Reducer(LONE, 1, Scripted([send()], [], [], [send()], [], [send()]))
    core.step(START_US, [HELD, arrival()])
    core.step(START_US, [ev.ClientDisconnected("r")])
    core.step(START_US + 1, [ev.AttemptFinished("r", 0, "cancelled")])
    again = kinds(core.step(START_US + 2, [arrival()]), ev.StartAttempt)
    assert [start.not_before_us for start in again] == [START_US + 1 + CUT_OFF_GAP_US]
    core.step(START_US + 3, [ev.AttemptFinished("r", 0, "ok", b"")])
    later = kinds(core.step(START_US + 2 * CUT_OFF_GAP_US, [arrival()]), ev.StartAttempt)
    assert [start.not_before_us for start in later] == [0]


@pytest.mark.parametrize("kind", ["rejected", "connect_failed"])
def test_after_an_attempt_that_never_ran_the_next_goes_at_once(kind: Any) -> None:
    core = Reducer(LONE, 1, Scripted([send()], [send()]))
    core.step(START_US, [HELD, arrival()])
    again = kinds(core.step(START_US + 1, [ev.AttemptFinished("r", 0, kind)]), ev.StartAttempt)
    assert [start.not_before_us for start in again] == [0]


def test_an_attempt_whose_time_is_up_is_not_written() -> None:
    """Guards against a request that is written and closed in one breath, which may run beside the next."""
    core = Reducer(LONE, 1, Scripted([send()]))
    core.step(START_US, [HELD, arrival()])
    assert core.may_write("r", 0, START_US + 499_999) is None
    assert core.may_write("r", 0, START_US + 500_000) == "rejected"


def test_nothing_is_written_for_a_client_that_left_but_its_outcome_is_heard() -> None:
    module = Scripted([send()])
    core = Reducer(LONE, 1, module)
    core.step(START_US, [HELD, arrival()])
    core.step(START_US, [ev.ClientDisconnected("r")])
    assert core.may_write("r", 0, START_US) == "not_sent"
    assert not kinds(core.step(START_US, [ev.AttemptFinished("r", 0, "ok", b"")]), ev.Respond)
    assert [type(e) for e in module.heard[2:]] == [api.ClientDisconnected, api.AttemptFinished]
    assert not core.has_request("r")


def test_only_the_attempt_that_is_out_is_stopped() -> None:
    wrong = [api.CancelAttempt("r", 1), api.CancelAttempt("x", 0)]
    core = Reducer(LONE, 1, Scripted([send()], wrong, [api.CancelAttempt("r", 0)]))
    core.step(START_US, [HELD, arrival()])
    assert not kinds(core.step(START_US, [arrival("s")]), ev.CancelAttempt)
    assert kinds(core.step(START_US, [arrival("t")]), ev.CancelAttempt) == [ev.CancelAttempt("r", 0)]


def test_at_the_end_of_the_process_what_is_open_is_answered_once() -> None:
    core = Reducer(LONE, 1, Scripted([send()]))
    core.step(START_US, [HELD, arrival(), arrival("s", 1)])
    done = kinds(core.step(START_US, [ev.ShutdownStarted()]), ev.Respond)
    assert {(e.request_id, e.kind) for e in done} == {("r", "rejected"), ("s", "rejected")}
    assert core.open_request_count() == 0
    assert not kinds(
        core.step(START_US, [ev.AttemptFinished("r", 0, "ok", b"late"), ev.ShutdownStarted()]), ev.Respond
    )


def test_one_final_answer_whatever_the_module_says_after_it() -> None:
    core = Reducer(LONE, 1, Scripted([send()], [api.Reject("r"), api.Fail("r")]))
    core.step(START_US, [HELD, arrival()])
    done = core.step(
        START_US, [ev.AttemptFinished("r", 0, "ok", b"x"), ev.AttemptFinished("r", 0, "ok", b"y")]
    )
    assert [(e.kind, e.reply) for e in kinds(done, ev.Respond)] == [("served", b"x")]


def test_a_fault_of_the_module_answers_what_is_open_and_starts_a_fresh_one() -> None:
    module = Scripted([send()], RuntimeError("odd"), [api.LogLine("fresh")])
    core = Reducer(LONE, 1, module)
    core.step(START_US, [HELD, arrival()])
    done = core.step(START_US, [arrival("s", 1)])
    assert {(e.request_id, e.kind) for e in kinds(done, ev.Respond)} == {("r", "rejected"), ("s", "rejected")}
    assert [e.text[:5] for e in kinds(done, ev.LogLine)] == ["the d", "fresh"]
    assert core.open_request_count() == 0 and core.counts["module_faults"] == 1


@settings(max_examples=40, derandomize=True, deadline=None)
@given(st.integers(0, 10**6))
def test_any_course_of_events_gives_each_request_at_most_one_answer(seed: int) -> None:
    random, core, now = Random(seed), Reducer(LONE, seed), START_US
    out: dict[str, int] = {}
    answered: list[str] = []
    left: set[str] = set()
    timers: list[tuple[int, int]] = []
    made = 0

    def step(*events: ev.Event) -> None:
        for effect in core.step(now, list(events)):
            if isinstance(effect, ev.StartAttempt):
                assert effect.request_id not in out and effect.request_id not in answered
                out[effect.request_id] = effect.attempt
            elif isinstance(effect, ev.Respond):
                answered.append(effect.request_id)
            elif isinstance(effect, ev.SetTimer):
                timers.append((effect.at_us, effect.token))

    step(HELD)
    for _ in range(120):
        now += random.randrange(20_000)
        for timer in sorted(t for t in timers if t[0] <= now):
            timers.remove(timer)
            step(ev.TimerFired(timer[1]))
        choice = random.random()
        if choice < 0.5:
            made += 1
            budget = random.randrange(50_000, 900_000)
            step(
                ev.RequestArrived(api.Arrival(f"r{made}", 0, 0, "v", random.choice((-1, 0, 1)), now + budget))
            )
        elif choice < 0.8 and out:
            request = random.choice(sorted(out))
            kind = random.choice(("ok", "error", "rejected", "timeout", "reset", "connect_failed"))
            step(ev.AttemptFinished(request, out.pop(request), kind))  # type: ignore[arg-type]
        elif choice < 0.9 and made:
            request = f"r{random.randrange(made) + 1}"
            left.add(request)
            step(ev.ClientDisconnected(request))
        else:
            node = replace(random.choice(NODES), state=random.choice(("live", "draining")))
            step(ev.EndpointsUpdated(api.EndpointUpdate("delta", (node,))))
    now += 2_000_000  # past every deadline: what is out times out, what is held is given up
    for _ in range(1_000):
        for request in sorted(out):
            step(ev.AttemptFinished(request, out.pop(request), "timeout"))
        if timers:
            step(ev.TimerFired(timers.pop(0)[1]))
        if not core.open_request_count():
            break
    assert len(answered) == len(set(answered))
    assert core.open_request_count() == 0
    assert set(answered) | left >= {f"r{n + 1}" for n in range(made)}


@pytest.mark.parametrize("ended", ["connect_failed", "rejected", "reset"])
def test_units_of_a_limit_are_not_written_later_than_the_rule_allows(ended: Any) -> None:
    """A broker stood still between decision and write, or a first attempt never came to its box."""
    limited = replace(arrival().arrival, plan=1)
    module = Scripted([send()], [send()], [send()])
    core = Reducer(LONE, 1, module)
    core.step(START_US, [HELD, ev.RequestArrived(limited)])
    assert core.may_write("r", 0, START_US + RATE_LIMIT_WRITE_DELAY_MAX_US) is None
    assert core.may_write("r", 0, START_US + RATE_LIMIT_WRITE_DELAY_MAX_US + 1) == "not_sent"
    core.step(START_US + RATE_LIMIT_WRITE_DELAY_MAX_US, [ev.AttemptFinished("r", 0, ended)])
    late = core.may_write("r", 1, START_US + RATE_LIMIT_WRITE_DELAY_MAX_US + 20_000)
    assert late == (None if ended == "reset" else "not_sent")  # one that may have come has taken its units


def test_plans_without_a_limit_are_written_whenever_their_time_lasts() -> None:
    core = Reducer(LONE, 1, Scripted([send()]))
    core.step(START_US, [HELD, arrival()])
    assert core.may_write("r", 0, START_US + 2 * RATE_LIMIT_WRITE_DELAY_MAX_US) is None


def test_what_boxes_do_is_known_of_those_under_pressure_alone() -> None:
    """For maintenance: rates of calm boxes say how much came."""
    core = Reducer(LONE, 1)
    core.step(START_US, [HELD])
    assert core.learned_capacity_by_node() == {}
    cell = core.scheduler._cells[0]  # type: ignore[attr-defined]
    cell.learned, cell.capacity = True, 30.0
    assert core.learned_capacity_by_node() == {}
    cell.pressed = True
    assert core.learned_capacity_by_node() == {"n0": 30.0}


def test_signs_of_life_are_counted_for_nodes_on_the_list_where_somebody_asks() -> None:
    for barred in (None, lambda node: False):
        core = Reducer(LONE, 1, Scripted((), [send()]))
        core.is_barred = barred
        core.step(START_US, [HELD])
        core.step(START_US, [arrival()])
        core.step(START_US + 1_000, [ev.AttemptFinished("r", 0, "connect_failed", None)])
        assert core.consecutive_unresponsive == ({} if barred is None else {"n0": 2})
        core.step(
            START_US + 2_000,
            [ev.EndpointsUpdated(api.EndpointUpdate("delta", (api.NodeEntry("n0", 0, "gone"),)))],
        )
        assert not core.consecutive_unresponsive
