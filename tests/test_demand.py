"""Demand: bids to a shard's coordinator, its aggregate, and the reports that it sends."""

from __future__ import annotations

from dataclasses import replace
from zlib import crc32

from harriertide.decide import api
from harriertide.decide.demand import BID_INTERVAL_US
from harriertide.decide.derived import IDLE_STATE_RETENTION_US
from harriertide.decide.endpoints import BID_LIFETIME_US
from harriertide.decide.peer_messages import (
    MAGIC,
    DemandBid,
    DemandReport,
    decode,
)
from harriertide.decide.state import PRIORITY_BAND_COUNT
from tests.fleet_simulation import (
    LARGE_BROKER_COUNT,
    LARGE_COORDINATOR,
    LARGE_FLEET,
    FleetSimulation,
    send_ten_bids,
    start_fleet,
)
from tests.helpers import (
    BIDDER_OF_EIGHT,
    COORDINATOR_OF_EIGHT,
    COORDINATOR_OF_TWO,
    SECOND_US,
    START_US,
    BrokerUnderTest,
    bid_datagram,
    demand_reports,
    message_bodies,
    offer_steadily,
    peer_datagrams,
    report_datagram,
)


def test_one_bid_per_interval_goes_to_the_shards_coordinator() -> None:
    broker = BrokerUnderTest(broker_index=BIDDER_OF_EIGHT, broker_count=8)
    actions = offer_steadily(broker, 4 * BID_INTERVAL_US)
    bids = message_bodies(actions)
    assert 3 <= len(bids) <= 5
    assert all(datagram.startswith(MAGIC) and len(datagram) <= 256 for datagram in bids)
    assert [bid.shard for bid in decode(bids[-1]) if isinstance(bid, DemandBid)] == [0]


def test_no_bid_on_a_shard_without_demand() -> None:
    broker = BrokerUnderTest(broker_index=BIDDER_OF_EIGHT, broker_count=8)
    offer_steadily(broker, 2 * SECOND_US)
    assert message_bodies(broker.advance(12 * SECOND_US)) and not message_bodies(
        broker.advance(4 * SECOND_US)
    )
    assert not broker.scheduler.demand.active_shards


def test_many_shards_take_several_messages_none_over_256_bytes() -> None:
    broker = BrokerUnderTest(tuple(api.NodeEntry(f"n{i}", i) for i in range(60)), shard_count=60)
    for shard in range(60):
        broker.request(shard=shard)
    bodies = message_bodies(broker.advance(2 * SECOND_US))
    assert bodies and all(len(datagram) <= 256 for datagram in bodies)
    named = {bid.shard for datagram in bodies for bid in decode(datagram) if isinstance(bid, DemandBid)}
    assert named == {s for s in range(60) if crc32(b"%d" % s) % 2 == 1}


def test_no_bids_where_peer_messages_are_forbidden_or_there_is_one_broker() -> None:
    assert not message_bodies(offer_steadily(BrokerUnderTest(peer_messages_allowed=False), 3 * SECOND_US))
    assert not message_bodies(offer_steadily(BrokerUnderTest(broker_count=1), 3 * SECOND_US))


def test_an_unanswered_bid_goes_to_the_standby_next() -> None:
    """The coordinator of a shard is gone or cut off, so bids get no report.

    Bids alternate between coordinator and standby until a report comes; from then on they go to the
    coordinator.
    """
    broker = BrokerUnderTest(broker_index=BIDDER_OF_EIGHT, broker_count=8)
    actions = offer_steadily(broker, 5 * BID_INTERVAL_US)
    recipients = [a.recipient_index for a in peer_datagrams(actions, DemandBid)]
    assert recipients[:4] == [COORDINATOR_OF_EIGHT, (COORDINATOR_OF_EIGHT + 1) % 8] * 2
    broker.handle(
        api.PeerMessageReceived(COORDINATOR_OF_EIGHT, report_datagram(0, [1.0] * PRIORITY_BAND_COUNT, 50.0))
    )
    actions = offer_steadily(broker, BID_INTERVAL_US)
    assert [a.recipient_index for a in peer_datagrams(actions, DemandBid)] == [COORDINATOR_OF_EIGHT]


def test_a_coordinator_answers_each_bid_with_the_aggregate() -> None:
    """A broker that bid once is gone, and its demand would count for ever: bids that are not renewed
    expire.
    """
    broker = BrokerUnderTest(broker_index=COORDINATOR_OF_TWO, broker_count=2)
    offer_steadily(broker, 2 * SECOND_US)
    datagram = bid_datagram(0, [40.0] * PRIORITY_BAND_COUNT, 30.0)
    (answer,) = demand_reports(broker.handle(api.PeerMessageReceived(1 - COORDINATOR_OF_TWO, datagram)))
    own = sum(broker.scheduler.endpoints.shards[0].demand)
    assert abs(sum(answer.demand) - 240 - own) < 0.1 * (240 + own)
    broker.advance(BID_LIFETIME_US + 12 * SECOND_US)
    datagram = bid_datagram(0, [1.0] * PRIORITY_BAND_COUNT)
    (again,) = demand_reports(broker.handle(api.PeerMessageReceived(1 - COORDINATOR_OF_TWO, datagram)))
    assert sum(again.demand) < 7  # bids that are not renewed run out


def test_a_restarted_coordinator_takes_the_capacity_that_bidders_know() -> None:
    """A coordinator restarts without memory. It does not learn the capacity anew: bids carry the last one."""
    broker = BrokerUnderTest(broker_index=COORDINATOR_OF_TWO)
    datagram = bid_datagram(0, [1.0] * PRIORITY_BAND_COUNT, 2.0, 0.2, 1.0, 77.0)
    (answer,) = demand_reports(broker.handle(api.PeerMessageReceived(1 - COORDINATOR_OF_TWO, datagram)))
    assert 70 < answer.capacity < 84


def test_a_broker_goes_on_bidding_while_its_shard_is_overloaded() -> None:
    """A broker has stopped its requests to an overloaded shard. It has to learn when the overload ends."""
    broker = BrokerUnderTest(broker_index=BIDDER_OF_EIGHT, broker_count=8)
    broker.request()
    broker.finish_attempt("r1")
    for _ in range(12):
        broker.handle(
            api.PeerMessageReceived(
                COORDINATOR_OF_EIGHT, report_datagram(0, [100.0] * PRIORITY_BAND_COUNT, 80.0)
            )
        )
        broker.advance(BID_INTERVAL_US)
    assert message_bodies(broker.advance(2 * BID_INTERVAL_US))
    broker.handle(
        api.PeerMessageReceived(
            COORDINATOR_OF_EIGHT, report_datagram(0, [1.0] * PRIORITY_BAND_COUNT, 80.0, is_overloaded=False)
        )
    )
    broker.scheduler.endpoints.shards[0].is_overloaded = False
    assert not message_bodies(broker.advance(4 * BID_INTERVAL_US))


def test_malformed_or_misaddressed_peer_messages_change_nothing() -> None:
    """Datagrams come cut short, too long, of another protocol, from unknown brokers, from the broker
    itself, of unknown shards, or with demand beyond reason. Reports count from a coordinator of that shard
    only.
    """
    broker = BrokerUnderTest(broker_index=COORDINATOR_OF_TWO)
    good = bid_datagram(0, [5.0] * PRIORITY_BAND_COUNT)
    for sender, datagram in (
        (1 - COORDINATOR_OF_TWO, b""),
        (1 - COORDINATOR_OF_TWO, b"FT\x01" + good[3:]),
        (1 - COORDINATOR_OF_TWO, good[:-1]),
        (COORDINATOR_OF_TWO, good),
        (9, good),
        (1 - COORDINATOR_OF_TWO, bid_datagram(77, [1.0] * PRIORITY_BAND_COUNT)),
        (1 - COORDINATOR_OF_TWO, bid_datagram(0, [1e9] * PRIORITY_BAND_COUNT)),
        (1 - COORDINATOR_OF_TWO, good + b"x" * 240),
    ):
        assert not [
            a
            for a in broker.handle(api.PeerMessageReceived(sender, datagram))
            if not isinstance(a, api.SetTimer)
        ]
    assert not broker.scheduler.demand.aggregates
    other = BrokerUnderTest(broker_index=3, broker_count=8)  # reports count from a coordinator only
    stranger = next(
        h for h in range(8) if h != 3 and h not in other.scheduler.context.derived.coordinators(0)
    )
    other.handle(api.PeerMessageReceived(stranger, report_datagram(0, [1.0] * PRIORITY_BAND_COUNT, 5.0)))
    assert other.scheduler.endpoints.shards[0].capacity == 0


def test_a_coordinator_reports_overload_and_its_end_to_all_users_of_a_shard_and_to_no_other_broker() -> None:
    """A shard gets overloaded. Brokers that use it now and then would each find out by what they lose there,
    so the coordinator reports overload, and its end, to all that have bid of late.

    Reporting to all brokers instead costs the square of their number: 8 to 15 messages a request with 200 of
    them.
    """
    coordinator, now = start_fleet(LARGE_FLEET)[LARGE_COORDINATOR], START_US
    others = [i for i in range(LARGE_BROKER_COUNT) if i != LARGE_COORDINATOR]
    bidders, users = set(others[:10]), set(others[:15])
    single_bid = bid_datagram(0, [0.3, *[0.0] * (PRIORITY_BAND_COUNT - 1)])
    # they bid once, and no more
    coordinator.decide(now, [api.PeerMessageReceived(i, single_bid) for i in others[10:15]])
    recipients_by_turn: list[set[int]] = []
    for turn in range(60):
        now += BID_INTERVAL_US
        actions = send_ten_bids(coordinator, now, 2.0, 3.6 if turn < 20 else 0.2)
        recipients_by_turn.append(
            {message.recipient_index for message in peer_datagrams(actions, DemandReport)}
        )
    times = [turn for turn, brokers in enumerate(recipients_by_turn) if brokers == users]
    assert times and times[0] <= 3 and 5 <= len(times) <= 9  # about once a second while it lasts
    assert 20 < times[-1] < 40 and all(brokers in (users, bidders) for brokers in recipients_by_turn)
    coordinator.decide(now + IDLE_STATE_RETENTION_US + 1, [api.PeerMessageReceived(others[0], single_bid)])
    assert set(coordinator.demand.aggregates[0].bidders) == {
        others[0]
    }  # who has not bid for long is forgotten


def test_reports_resume_soon_after_half_of_the_brokers_are_gone() -> None:
    """Half of the brokers crash at once, the coordinator among them.

    A bid that was not answered goes to the standby next: two intervals, and the trips.
    """
    simulation = FleetSimulation(LARGE_FLEET)
    simulation.run(2_000_000, 4.0, [0])
    standby = (LARGE_COORDINATOR + 1) % LARGE_BROKER_COUNT
    for number in [
        LARGE_COORDINATOR,
        *(n for n in range(LARGE_BROKER_COUNT) if n not in (LARGE_COORDINATOR, standby)),
    ][:20]:
        del simulation.brokers[number]
    simulation.run(1_500_000, 4.0, [0])
    ages = [
        simulation.now_us - broker.endpoints.shards[0].updated_at_us for broker in simulation.brokers.values()
    ]
    assert len(ages) == 20 and max(ages) <= 3 * BID_INTERVAL_US + 100_000


def test_messages_of_a_broker_do_not_grow_with_the_number_of_brokers() -> None:
    """Fleets of 4 to 200 brokers, with as many requests and shards a broker, nearly all shards overloaded.

    If reports went to all brokers, messages would grow with the square of their number.
    """
    messages_per_second = {}
    for brokers in (4, 40, 200):
        simulation = FleetSimulation(replace(LARGE_FLEET, broker_count=brokers, shard_count=brokers))
        simulation.node_answer = ("ok", 250_000)
        simulation.shards_by_broker = {
            number: [(number + i) % brokers for i in range(4)] for number in range(brokers)
        }
        simulation.run(3_000_000, 5.0, [])
        assert (
            sum(
                aggregate.is_overloaded
                for broker in simulation.brokers.values()
                for aggregate in broker.demand.aggregates.values()
            )
            > brokers / 2
        )
        messages_per_second[brokers] = simulation.message_count / brokers / 3
    # four brokers pack more rows in a message
    assert (
        messages_per_second[200] <= 1.2 * messages_per_second[40]
        and messages_per_second[40] <= 3 * messages_per_second[4]
    )
