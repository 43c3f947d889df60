"""Health checks: ejection and reinstatement of nodes, trial requests, probes, and hung attempts."""

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
    """A node that resets every connection is ejected. One request at a time then serves as a trial, and an
    answer reinstates the node.
    """
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


def cancellations_after_overtaking(kind: str, **setting_changes: Any) -> list[api.CancelAttempt]:
    """The cancellations when one attempt hangs and three later ones at the same node have ended."""
    broker = BrokerUnderTest(**{"cancel_allowed": True, **setting_changes})
    for _ in range(5):  # establish the baseline latency of the node
        broker.request()
        broker.finish_attempt(f"r{broker.request_count}")
    broker.request()
    actions: list[api.Action] = []
    for _ in range(3):
        broker.request()
        actions += broker.finish_attempt(f"r{broker.request_count}", kind, after_us=60_000)
    return [action for action in actions if isinstance(action, api.CancelAttempt)]


def test_an_attempt_overtaken_by_later_answers_of_its_node_is_cancelled_once() -> None:
    """A connection stalls, and the attempt on it hangs while the node answers others.

    Without a cancellation the attempt would occupy a slot of the node until the deadline. Quick errors do not
    count as answers.
    """
    assert cancellations_after_overtaking("ok") == [api.CancelAttempt("r6", 0)]
    assert cancellations_after_overtaking("error") == [], "quick errors were counted as overtaking answers"
    assert cancellations_after_overtaking("ok", cancel_allowed=False) == []


def test_a_node_that_takes_no_connection_gets_single_trials_from_each_broker() -> None:
    """A node accepts no connection, as its process has died or is full, but is still in the endpoint list.

    Each broker sends one trial at a time, the other nodes keep serving, and the node is used again as soon as
    it accepts connections.
    """
    simulation = FleetSimulation(LARGE_FLEET)
    simulation.run(500_000, 10.0, [0, 1])
    simulation.unreachable_nodes.add("n00")
    simulation.run(1_000_000, 10.0, [0, 1])
    attempts_before = len(simulation.attempts)
    simulation.run(2_000_000, 10.0, [0, 1])
    trials_by_broker = Counter(
        broker for _, broker, node, _ in simulation.attempts[attempts_before:] if node == "n00"
    )
    assert max(trials_by_broker.values()) <= 2 * 4 + 1  # one per 250 ms
    assert (
        sum(node == "n01" for _, _, node, _ in simulation.attempts[attempts_before:]) > 350
    )  # of 400 requests
    simulation.unreachable_nodes.clear()
    simulation.run(4_000_000, 10.0, [0, 1])
    attempts_before = len(simulation.attempts)
    simulation.run(1_000_000, 10.0, [0, 1])
    attempts_after = sum(node == "n00" for _, _, node, _ in simulation.attempts[attempts_before:])
    assert attempts_after > 150  # of 200 requests, once the node accepts connections again


def test_probes_of_an_unresponsive_node_by_all_brokers_are_bounded_and_end_with_it() -> None:
    """A node answers nothing, and 40 brokers probe it.

    About PROBING_BROKER_COUNT of all brokers probe it in TRIAL_INTERVAL_US; none probes a node that answers.
    """
    simulation = FleetSimulation(replace(HUNDREDS_FLEETS["other"], broker_count=40))
    simulation.unreachable_nodes, probes = {"n00"}, []
    simulation.on_probe = lambda at_us, node: probes.append((at_us, node))
    simulation.run(20 * SECOND_US, 10.0, [0, 1])
    probes_per_second = 40 / ceil(40 / PROBING_BROKER_COUNT) * SECOND_US / TRIAL_INTERVAL_US
    assert {node for _, node in probes} == {"n00"} and 40 < len(probes) <= 20 * probes_per_second
    # one probe from each broker, if all of them arrive in the same second
    assert max(Counter(at_us // SECOND_US for at_us, _ in probes).values()) <= 40
    simulation.unreachable_nodes = set()
    simulation.run(4 * SECOND_US, 10.0, [0, 1])
    count_before = len(probes)
    simulation.run(10 * SECOND_US, 10.0, [0, 1])
    assert len(probes) == count_before and any(
        attempt.node == "n00" and attempt.at_us > simulation.now_us - SECOND_US
        for attempt in simulation.attempts
    )


def test_an_attempt_that_its_broker_withheld_says_nothing_about_its_node() -> None:
    """A write that its broker withheld, being too late for a warming node's budget, is retried there.

    The outcome neither ejects the node nor reinstates an ejected node.
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
