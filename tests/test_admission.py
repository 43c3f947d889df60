"""Admission: which requests are let in, by allotment, probability and priority."""

from __future__ import annotations

from zlib import crc32

from harriertide.decide import api
from harriertide.decide.admission import ADMIT_TARGET_RATIO, update_allotment
from harriertide.decide.state import PRIORITY_BAND_COUNT
from tests.fleet_simulation import (
    LARGE_BROKER_COUNT,
    LARGE_COORDINATOR,
    LARGE_FLEET,
    start_fleet,
)
from tests.helpers import (
    COORDINATOR_OF_TWO,
    SECOND_US,
    START_US,
    BrokerUnderTest,
    offer_steadily,
    overload_shard,
    rejections,
    report_datagram,
    started_attempts,
)


def allotment_and_capacity_after(datagram: bytes | None) -> tuple[float, float]:
    broker = BrokerUnderTest(broker_index=1 - COORDINATOR_OF_TWO)
    offer_steadily(broker, 2 * SECOND_US)
    if datagram is not None:
        broker.handle(api.PeerMessageReceived(COORDINATOR_OF_TWO, datagram))
    shard_state = broker.scheduler.endpoints.shards[0]
    return shard_state.allotment, shard_state.capacity


def test_the_allotment_follows_demand() -> None:
    low_demand, high_demand = [0.0] * PRIORITY_BAND_COUNT, [0.0] * PRIORITY_BAND_COUNT
    low_demand[0], high_demand[0] = 220.0, 2200.0
    larger, smaller = (
        allotment_and_capacity_after(report_datagram(0, low_demand, 100.0))[0],
        allotment_and_capacity_after(report_datagram(0, high_demand, 100.0))[0],
    )
    assert larger > 2 * smaller


def test_a_broker_without_reports_uses_the_last_aggregate_and_its_own_demand() -> None:
    """A broker is cut off from the coordinator. It goes on with the last aggregate and its own demand: an
    equal share among hundreds of brokers is under one request, where few of them use a shard at all.
    """
    coordinator = crc32(b"0") % 200
    broker = BrokerUnderTest(broker_index=(coordinator + 7) % 200, broker_count=200)
    shard_state = broker.scheduler.endpoints.shards[0]
    offer_steadily(broker, 4 * SECOND_US)
    # no report has come
    assert (
        not shard_state.is_capacity_known
        and shard_state.allotment == ADMIT_TARGET_RATIO * shard_state.capacity / 200
    )
    broker.handle(
        api.PeerMessageReceived(coordinator, report_datagram(0, [100.0] * PRIORITY_BAND_COUNT, 80.0))
    )
    shard_state = broker.scheduler.endpoints.shards[0]
    offer_steadily(broker, SECOND_US)
    last_probabilities = list(shard_state.admit_probability)
    offer_steadily(broker, 10 * SECOND_US)
    assert (
        shard_state.admit_probability == last_probabilities
        and shard_state.allotment > 5 * ADMIT_TARGET_RATIO * shard_state.capacity / 200
    )


def test_a_broker_with_few_requests_admits_by_the_fleets_probability() -> None:
    """A broker has less than a few requests for an overloaded shard. Each of many such brokers would let
    its one request through; it admits with the probability of the whole fleet.
    """
    admitted_count = 0
    for seed in range(200):
        broker = BrokerUnderTest(broker_index=1 - COORDINATOR_OF_TWO, seed=seed)
        broker.request()
        broker.advance(2 * SECOND_US)
        broker.finish_attempt("r1")
        broker.handle(
            api.PeerMessageReceived(
                COORDINATOR_OF_TWO, report_datagram(0, [200.0] + [0.0] * (PRIORITY_BAND_COUNT - 1), 100.0)
            )
        )
        admitted_count += len(started_attempts(broker.request()))
    assert 80 <= admitted_count <= 130  # 105 of 200 units


def test_admission_rejects_about_what_the_shard_cannot_do() -> None:
    """Of all that brokers are offered, the highest priority goes first; a shard that is not overloaded
    takes all.
    """
    broker = BrokerUnderTest()
    overload_shard(broker)
    shard_state = broker.scheduler.endpoints.shards[0]

    def admitted_ratio(totals: list[float], is_overloaded: bool = True) -> float:
        shard_state.fleet_demand, shard_state.capacity, shard_state.fleet_latency_ratio = (
            totals,
            50.0 / 1.05,
            0.0,
        )
        update_allotment(broker.scheduler.context, shard_state)
        admitted_count = 0
        for _ in range(1000):
            shard_state.is_overloaded = (
                is_overloaded  # queued work does not count here: each request is cancelled again
            )
            broker.request(volume=f"w{broker.request_count}")
            request = broker.scheduler.responses.requests.get(f"r{broker.request_count}")
            if request is not None:
                admitted_count += 1
                broker.handle(api.ClientDisconnected(request.id))
                for number in list(request.open_attempts):
                    broker.finish_attempt(request.id, "cancelled", number, after_us=0, is_final=True)
        return admitted_count / 1000

    assert 0.42 < admitted_ratio([100.0] + [0.0] * (PRIORITY_BAND_COUNT - 1)) < 0.58
    assert admitted_ratio([20.0] + [0.0] * (PRIORITY_BAND_COUNT - 1)) == 1
    assert admitted_ratio([100.0] + [0.0] * (PRIORITY_BAND_COUNT - 1), is_overloaded=False) == 1


def test_a_clients_retry_has_the_priority_of_a_late_answer() -> None:
    """A client repeats a request by itself. It belongs to its first attempt, and under overload first
    attempts go before it.
    """
    broker = BrokerUnderTest()
    broker.request(volume="a")
    broker.request(volume="b", is_retry=True)
    first, retry = (broker.scheduler.responses.requests[f"r{i}"].priority_band for i in (1, 2))
    assert first == 0 and retry >= 2  # late_priority_weight is 0.2, a band's step 2.2


def test_rejections_carry_retry_after_only_where_it_is_allowed() -> None:
    with_retry_after, without_retry_after = BrokerUnderTest(), BrokerUnderTest(retry_after_allowed=False)
    assert 0 < rejections(with_retry_after.request(shard=3))[0].retry_after_us <= 500_000
    assert rejections(without_retry_after.request(shard=3))[0].retry_after_us == 0


def test_a_request_of_an_unknown_shard_or_past_its_deadline_is_rejected_at_once() -> None:
    broker = BrokerUnderTest()
    assert len(rejections(broker.request(shard=3))) == 1
    assert len(rejections(broker.request(deadline_at_us=broker.now_us - 5))) == 1


def test_a_broker_new_to_an_overloaded_shard_sheds_load_from_its_first_request_on() -> None:
    """A broker that never used a shard hears that it is overloaded, and then gets many requests for it.

    It must not learn the overload by its own losses.
    """
    broker = start_fleet(LARGE_FLEET)[(LARGE_COORDINATOR + 5) % LARGE_BROKER_COUNT]
    zeros = [0.0] * (PRIORITY_BAND_COUNT - 1)
    datagram = report_datagram(0, [100.0, *zeros], 2.0, 10.0, 1.5)
    broker.decide(START_US + 1_000, [api.PeerMessageReceived(LARGE_COORDINATOR, datagram)])
    actions = []
    for i in range(50):
        at_us = START_US + 2_000 + i
        actions += broker.decide(at_us, [api.Arrival(f"r{i}", 0, 0, f"v{i}", 0, at_us + 2_000_000, 2.0)])
    assert len(rejections(actions)) > 40


def test_a_broker_that_offers_little_leaves_a_slow_shard_more_headroom() -> None:
    """A shard's figures are rough where each of many brokers seldom meets it."""
    probabilities = []
    for total in (20.0, 200.0):  # under and over a request a second from each broker
        broker = start_fleet(LARGE_FLEET)[(LARGE_COORDINATOR + 5) % LARGE_BROKER_COUNT]
        datagram = report_datagram(0, [total, *[0.0] * (PRIORITY_BAND_COUNT - 1)], total / 2, 10.0, 0.85)
        broker.decide(START_US + 1_000, [api.PeerMessageReceived(LARGE_COORDINATOR, datagram)])
        probabilities.append(broker.endpoints.shards[0].admit_probability[0])
    # of the half that the shard can do
    assert 0.2 < probabilities[0] < 0.3 and 0.35 < probabilities[1] < 0.45
