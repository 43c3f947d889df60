"""Health: ejected nodes, trial requests, health checks, and attempts that hang."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from math import ceil
from typing import Any

from harriertide.decide import api
from harriertide.decide.health import PROBING_BROKER_COUNT, TRIAL_INTERVAL_US
from tests.fleet_simulation import (
    HUNDREDS_FLEETS,
    LARGE_FLEET,
    FleetSimulation,
)
from tests.helpers import (
    SECOND_US,
    BrokerUnderTest,
    rejections,
    started_attempts,
)


def test_an_ejected_node_gets_single_trials_and_is_reinstated_by_an_answer() -> None:
    """A node resets every connection. It is ejected; then one request at a time tries it, and an answer
    reinstates it."""
    broker = BrokerUnderTest()
    broker.request()
    for attempt in range(3):
        assert not broker.scheduler.endpoints.nodes["n0"].is_ejected
        broker.finish_attempt("r1", "reset", attempt, after_us=10_000)
    assert broker.scheduler.endpoints.nodes["n0"].is_ejected
    broker.advance(300_000)
    trial_attempt = started_attempts(broker.request())
    assert len(trial_attempt) == 1 and len(rejections(broker.request())) == 1
    broker.finish_attempt(trial_attempt[0].request_id)
    assert not broker.scheduler.endpoints.nodes["n0"].is_ejected and started_attempts(broker.request())


def cancellations_after_overtaking(kind: str, **changes: Any) -> list[api.CancelAttempt]:
    """What is cancelled when one attempt hangs and three later ones to the same node have ended."""
    broker = BrokerUnderTest(**{"cancel_allowed": True, **changes})
    for _ in range(5):  # what is usual there
        broker.request()
        broker.finish_attempt(f"r{broker.request_count}")
    broker.request()
    actions: list[api.Action] = []
    for _ in range(3):
        broker.request()
        actions += broker.finish_attempt(f"r{broker.request_count}", kind, after_us=60_000)
    return [action for action in actions if isinstance(action, api.CancelAttempt)]


def test_an_attempt_overtaken_by_later_answers_of_its_node_is_cancelled_once() -> None:
    """A connection stops without an end, and the attempt on it hangs while its node answers others.

    It would hold its request and a slot of the node until the deadline. Quick errors do not count as answers.
    """
    assert cancellations_after_overtaking("ok") == [api.CancelAttempt("r6", 0)]
    assert cancellations_after_overtaking("error") == [], "quick errors overtake honest work"
    assert cancellations_after_overtaking("ok", cancel_allowed=False) == []


def test_a_node_that_takes_no_connection_gets_single_trials_from_each_broker() -> None:
    """A node's process has died, or others' connections fill it, and the endpoint list does not say so.

    Each broker sends one trial at a time, other nodes serve on, and the node is used again when it connects.
    """
    simulation = FleetSimulation(LARGE_FLEET)
    simulation.run(500_000, 10.0, [0, 1])
    simulation.unreachable_nodes.add("n00")
    simulation.run(1_000_000, 10.0, [0, 1])
    sends_before = len(simulation.attempts)
    simulation.run(2_000_000, 10.0, [0, 1])
    trials_by_broker = Counter(
        broker for _, broker, node, _ in simulation.attempts[sends_before:] if node == "n00"
    )
    assert max(trials_by_broker.values()) <= 2 * 4 + 1  # one in 250 ms
    assert sum(node == "n01" for _, _, node, _ in simulation.attempts[sends_before:]) > 350  # of 400
    simulation.unreachable_nodes.clear()
    simulation.run(4_000_000, 10.0, [0, 1])
    sends_before = len(simulation.attempts)
    simulation.run(1_000_000, 10.0, [0, 1])
    sends_after = sum(node == "n00" for _, _, node, _ in simulation.attempts[sends_before:])
    assert sends_after > 150  # of 200, when it takes them again


def test_health_checks_of_an_unresponsive_node_by_all_brokers_are_bounded_and_end_with_it() -> None:
    """A node answers nothing, and 40 brokers check its health.

    One of every PROBING_BROKER_COUNT brokers checks in TRIAL_INTERVAL_US; none checks a node that answers.
    """
    simulation = FleetSimulation(replace(HUNDREDS_FLEETS["other"], broker_count=40))
    simulation.unreachable_nodes, checks = {"n00"}, []
    simulation.on_probe = lambda at_us, node: checks.append((at_us, node))
    simulation.run(20 * SECOND_US, 10.0, [0, 1])
    checks_per_second = 40 / ceil(40 / PROBING_BROKER_COUNT) * SECOND_US / TRIAL_INTERVAL_US
    assert {node for _, node in checks} == {"n00"} and 40 < len(checks) <= 20 * checks_per_second
    # one from each, if all at once
    assert max(Counter(at_us // SECOND_US for at_us, _ in checks).values()) <= 40
    simulation.unreachable_nodes = set()
    simulation.run(4 * SECOND_US, 10.0, [0, 1])
    count_before = len(checks)
    simulation.run(10 * SECOND_US, 10.0, [0, 1])
    assert len(checks) == count_before and any(
        attempt.node == "n00" and attempt.at_us > simulation.now_us - SECOND_US
        for attempt in simulation.attempts
    )


def test_an_attempt_that_its_broker_withheld_says_nothing_about_its_node() -> None:
    """A write to a warming node came too late for its budget. The node is not ejected for it, and the request
    goes there again; nor is a node reinstated that has not answered.
    """
    broker = BrokerUnderTest()
    (first,) = started_attempts(broker.request())
    (second,) = started_attempts(broker.finish_attempt(first.request_id, "withheld"))
    assert second.node_id == "n0" and not broker.scheduler.endpoints.nodes["n0"].is_ejected
    broker.finish_attempt(first.request_id, "connect_failed", 1)
    assert broker.scheduler.endpoints.nodes["n0"].is_ejected
    (trial,) = started_attempts(broker.advance(TRIAL_INTERVAL_US))
    broker.finish_attempt(trial.request_id, "withheld", 2)
    assert broker.scheduler.endpoints.nodes["n0"].is_ejected
