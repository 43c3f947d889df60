"""Dispatch: the queue of admitted requests, the in-flight limit, and the order of requests of one key."""

from __future__ import annotations

from typing import get_args

import pytest

from harriertide.decide import api
from harriertide.decide.placement import MAX_IN_FLIGHT_COUNT
from tests.helpers import (
    BrokerUnderTest,
    rejections,
    started_attempts,
)


def test_attempts_in_flight_stay_within_the_limit_whatever_the_capacity() -> None:
    broker = BrokerUnderTest()
    shard_state = broker.scheduler.endpoints.shards[0]
    shard_state.capacity, shard_state.allotment = 1e6, 2e6
    attempt_count = 0
    for _ in range(80):
        attempt_count += len(started_attempts(broker.request(units=1.0)))
    assert attempt_count == MAX_IN_FLIGHT_COUNT


def test_queued_requests_are_sent_earliest_objective_first() -> None:
    broker = BrokerUnderTest(
        classes=(
            api.RequestClass(latency_objective_us=900_000, deadline_us=2_000_000),
            api.RequestClass(latency_objective_us=400_000, deadline_us=2_000_000),
        )
    )
    sent_ids = [attempt.request_id for _ in range(4) for attempt in started_attempts(broker.request(0))]
    assert len(sent_ids) < 4
    broker.request(1)
    actions = broker.finish_attempt(sent_ids[0], after_us=1_000)
    assert [attempt.request_id for attempt in started_attempts(actions)] == ["r5"]


def test_the_lowest_priority_is_rejected_first_where_too_much_is_queued() -> None:
    broker = BrokerUnderTest(
        plans=(api.Plan(weight=1, priority_factor=0.1), api.Plan(weight=1, priority_factor=1))
    )
    broker.request(plan=1)
    actions = broker.finish_attempt("r1", after_us=30_000)
    for i in range(1, 60):
        actions += broker.request(plan=(i + 1) % 2, volume=f"v{(i + 1) % 2}")
    rejected_numbers = [int(r.request_id[1:]) for r in rejections(actions)]
    assert rejected_numbers and all(
        i % 2 == 0 for i in rejected_numbers[:5]
    )  # requests of the low-priority plan


def test_attempts_end_at_the_latency_objective_where_brokers_outnumber_a_nodes_slots() -> None:
    """With more brokers than slots of a node, hung attempts could fill all slots, so attempts end early."""
    small_fleet_broker, large_fleet_broker = (
        BrokerUnderTest(broker_count=MAX_IN_FLIGHT_COUNT),
        BrokerUnderTest(broker_count=MAX_IN_FLIGHT_COUNT + 1),
    )
    assert (
        started_attempts(small_fleet_broker.request())[0].stop_at_us == small_fleet_broker.now_us + 2_000_000
    )
    assert started_attempts(large_fleet_broker.request())[0].stop_at_us == large_fleet_broker.now_us + 300_000


def test_requests_of_one_key_run_in_order_and_pause_after_a_timeout() -> None:
    """A cancelled attempt of an ordered request may still run: the next request of its key waits."""
    broker = BrokerUnderTest(key_quiet_us=150_000)
    assert [s.request_id for s in started_attempts(broker.request(3, key="k"))] == ["r1"]
    assert not started_attempts(broker.request(3, key="k"))
    assert [s.request_id for s in started_attempts(broker.request(3, key="other"))] == ["r3"]
    actions = broker.finish_attempt("r1", "cancelled", is_final=True) + broker.advance(100_000, 10_000)
    assert not started_attempts(actions)
    broker.request(3, key="k")
    assert [s.request_id for s in started_attempts(broker.advance(100_000, 10_000))] == ["r2"]


@pytest.mark.parametrize("kind", get_args(api.OutcomeKind))
def test_a_key_is_quiet_after_each_outcome_that_leaves_its_attempt_running(kind: api.OutcomeKind) -> None:
    """Guards against an end of an attempt that says its node is done with it, when nobody knows."""
    broker = BrokerUnderTest(key_quiet_us=150_000)
    broker.request(3, key="k")
    broker.finish_attempt("r1", kind, is_final=True)
    is_quiet = broker.scheduler.key_queues.open_keys().keys == {"k"}
    assert is_quiet == (kind in ("incomplete", "timeout", "reset", "cancelled"))


def test_a_request_of_a_quiet_key_does_not_hold_up_others_of_its_shard() -> None:
    """Guards against a shard that serves nothing for as long as the key of its first request is quiet."""
    broker = BrokerUnderTest(key_quiet_us=150_000)
    broker.request(3, key="k")
    broker.finish_attempt("r1", "cancelled", is_final=True)
    assert not started_attempts(broker.request(3, key="k"))
    assert [s.request_id for s in started_attempts(broker.request())] == ["r3"]
    assert [s.request_id for s in started_attempts(broker.advance(200_000, 10_000))] == ["r2"]


def test_the_next_request_of_a_key_starts_when_the_first_is_over() -> None:
    broker = BrokerUnderTest()
    broker.request(3, key="k")
    broker.request(3, key="k")
    actions = broker.finish_attempt("r1") + broker.advance(20_000, 5_000)
    assert [s.request_id for s in started_attempts(actions)] == ["r2"]
