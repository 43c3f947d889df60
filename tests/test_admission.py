"""Admission control: allotments, admit probabilities, and priorities."""

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
    """A broker that is cut off from the coordinator keeps using the last report and its own demand.

    An equal share among hundreds of brokers is less than one request, although few of them use the shard.
    """
    coordinator = crc32(b"0") % 200
    broker = BrokerUnderTest(broker_index=(coordinator + 7) % 200, broker_count=200)
    shard_state = broker.scheduler.endpoints.shards[0]
    offer_steadily(broker, 4 * SECOND_US)
    # no report has been received
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
    """A broker that has only a few requests for an overloaded shard admits them by the fleet's probability.

    If each of many such brokers admitted its one request, the shard would stay overloaded.
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
    assert 80 <= admitted_count <= 130  # the admit probability is 105 / 200


def test_admission_rejects_about_the_demand_above_capacity() -> None:
    """The admitted part of the demand is about capacity over demand; without overload all is admitted."""
    broker = BrokerUnderTest()
    overload_shard(broker)
    shard_state = broker.scheduler.endpoints.shards[0]

    def admitted_ratio(fleet_demand: list[float], is_overloaded: bool = True) -> float:
        shard_state.fleet_demand, shard_state.capacity, shard_state.fleet_latency_ratio = (
            fleet_demand,
            50.0 / 1.05,
            0.0,
        )
        update_allotment(broker.scheduler.context, shard_state)
        admitted_count = 0
        for _ in range(1000):
            # The client of each request disconnects, so that queued work does not affect the next one.
            shard_state.is_overloaded = is_overloaded
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
    """A client's own retry counts as a late answer to its first request, so it has a lower priority."""
    broker = BrokerUnderTest()
    broker.request(volume="a")
    broker.request(volume="b", is_retry=True)
    first, retry = (broker.scheduler.responses.requests[f"r{i}"].priority_band for i in (1, 2))
    assert first == 0 and retry >= 2  # late_priority_weight is 0.2, and BAND_PRIORITY_FACTOR is 2.2


def test_rejections_carry_retry_after_only_where_it_is_allowed() -> None:
    with_retry_after, without_retry_after = BrokerUnderTest(), BrokerUnderTest(retry_after_allowed=False)
    assert 0 < rejections(with_retry_after.request(shard=3))[0].retry_after_us <= 500_000
    assert rejections(without_retry_after.request(shard=3))[0].retry_after_us == 0


def test_a_request_of_an_unknown_shard_or_past_its_deadline_is_rejected_at_once() -> None:
    broker = BrokerUnderTest()
    assert len(rejections(broker.request(shard=3))) == 1
    assert len(rejections(broker.request(deadline_at_us=broker.now_us - 5))) == 1


def test_a_broker_new_to_an_overloaded_shard_sheds_load_from_its_first_request_on() -> None:
    """A broker without earlier requests for a shard learns from a report that the shard is overloaded.

    The broker sheds load immediately, and does not wait until its own requests fail.
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
    """A shard's latency ratio is a coarse estimate where each of many brokers seldom uses the shard."""
    probabilities = []
    for total in (20.0, 200.0):  # below and above one request a second from each broker
        broker = start_fleet(LARGE_FLEET)[(LARGE_COORDINATOR + 5) % LARGE_BROKER_COUNT]
        datagram = report_datagram(0, [total, *[0.0] * (PRIORITY_BAND_COUNT - 1)], total / 2, 10.0, 0.85)
        broker.decide(START_US + 1_000, [api.PeerMessageReceived(LARGE_COORDINATOR, datagram)])
        probabilities.append(broker.endpoints.shards[0].admit_probability[0])
    # The shard's capacity is half of the demand; both probabilities are below 0.5 to drain the backlog.
    assert 0.2 < probabilities[0] < 0.3 and 0.35 < probabilities[1] < 0.45
