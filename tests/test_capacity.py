"""Capacity: a shard's capacity as learned from its answers, and detection of overload."""

from __future__ import annotations

from harriertide.decide import api
from harriertide.decide.demand import BID_INTERVAL_US
from harriertide.decide.state import PRIORITY_BAND_COUNT
from tests.fleet_simulation import (
    LARGE_COORDINATOR,
    LARGE_FLEET,
    send_ten_bids,
    start_fleet,
)
from tests.helpers import (
    COORDINATOR_OF_TWO,
    SECOND_US,
    START_US,
    TWO_NODES,
    BrokerUnderTest,
    bid_datagram,
    demand_reports,
    offer_steadily,
    overload_shard,
    started_attempts,
)


def test_the_coordinator_finds_overload_from_latencies_of_all_brokers() -> None:
    """The coordinator sums the latencies of all brokers, as one broker alone sees too few slow answers."""
    broker = BrokerUnderTest(broker_index=COORDINATOR_OF_TWO)
    # the latency ratio is smoothed, and the threshold for the end of an overload is lower than for its start
    steps = ((4.0, False), (15.0, False), (15.0, True), (9.0, True), (4.0, True), (4.0, False))
    for latency_weighted_rate, is_overloaded in steps:
        broker.now_us += SECOND_US
        datagram = bid_datagram(0, [9.0] * PRIORITY_BAND_COUNT, 20.0, latency_weighted_rate)
        (report,) = demand_reports(broker.handle(api.PeerMessageReceived(1 - COORDINATOR_OF_TWO, datagram)))
        assert report.is_overloaded is is_overloaded


def test_overload_begins_with_slow_answers_and_ends_again() -> None:
    broker = BrokerUnderTest()
    overload_shard(broker)
    offer_steadily(broker, 4 * SECOND_US, every_us=100_000)
    assert not broker.scheduler.endpoints.shards[0].is_overloaded


def test_rejections_by_a_node_count_as_overload() -> None:
    """A full node rejects a request before the capacity of its shard is known."""
    broker = BrokerUnderTest(broker_index=COORDINATOR_OF_TWO)
    broker.request()
    broker.finish_attempt("r1", "rejected")
    while 0 not in broker.scheduler.demand.aggregates:
        broker.advance(50_000, 10_000)
    assert (
        broker.scheduler.demand.aggregates[0].is_overloaded
        and not broker.scheduler.endpoints.shards[0].is_capacity_known
    )


def test_the_learned_capacity_can_rise_again() -> None:
    broker = BrokerUnderTest(broker_index=COORDINATOR_OF_TWO)
    overload_shard(broker)
    initial_capacity = broker.scheduler.endpoints.shards[0].capacity
    offer_steadily(broker, 6 * SECOND_US, every_us=10_000, latency_us=20_000)
    assert broker.scheduler.endpoints.shards[0].capacity > initial_capacity


def test_lost_connections_are_no_overload_but_a_node_that_answers_nothing_is() -> None:
    """First some attempts hang on lost connections; then a node answers nothing at all.

    Guards against a capacity that is learned from intervals in which attempts hung.
    """
    broker = BrokerUnderTest(broker_index=COORDINATOR_OF_TWO)
    for number in range(40):
        broker.request()
        broker.finish_attempt(
            f"r{broker.request_count}",
            "timeout" if number % 10 == 0 else "ok",
            is_final=True,
            after_us=30_000,
        )
    assert not broker.scheduler.endpoints.shards[0].is_overloaded
    overloaded_rounds = []  # an interval between two trials may have no outcome and so no effect
    for _ in range(20):
        broker.request()
        broker.finish_attempt(f"r{broker.request_count}", "timeout", is_final=True, after_us=300_000)
        overloaded_rounds.append(broker.scheduler.endpoints.shards[0].is_overloaded)
    assert sum(overloaded_rounds) >= 5


def test_the_capacity_of_a_shard_that_answers_nothing_is_learned_down() -> None:
    """Guards against a shard that stops answering and keeps its learned capacity, and so the full load."""
    coordinator, now_us = start_fleet(LARGE_FLEET)[LARGE_COORDINATOR], START_US
    for turn in range(40):
        now_us += BID_INTERVAL_US
        send_ten_bids(coordinator, now_us, 4.0 if turn < 20 else 0.0, 7.0)
        if turn == 19:
            assert (
                coordinator.demand.aggregates[0].is_capacity_known
                and coordinator.demand.aggregates[0].capacity > 25
            )
    assert coordinator.demand.aggregates[0].capacity <= 2 * LARGE_FLEET.mean_request_units


def test_attempts_that_were_not_sent_are_no_overload() -> None:
    """Requests that a node drops quickly before they run tell nothing about its load."""
    broker = BrokerUnderTest(TWO_NODES)
    for _ in range(50):
        (attempt,) = started_attempts(broker.request(shard=0))
        broker.finish_attempt(attempt.request_id, "not_sent", node=attempt.node_id, after_us=1_000)
    assert (
        broker.scheduler.endpoints.shards[0].local_latency_ratio < 0.05
        and not broker.scheduler.endpoints.shards[0].is_limited
    )
