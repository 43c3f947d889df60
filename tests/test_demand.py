"""Demand: bids to a shard's coordinator, the sums of all bids, and the coordinator's reports."""

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
    bid_shards = {bid.shard for datagram in bodies for bid in decode(datagram) if isinstance(bid, DemandBid)}
    assert bid_shards == {shard for shard in range(60) if crc32(b"%d" % shard) % 2 == 1}


def test_no_bids_where_peer_messages_are_forbidden_or_there_is_one_broker() -> None:
    assert not message_bodies(offer_steadily(BrokerUnderTest(peer_messages_allowed=False), 3 * SECOND_US))
    assert not message_bodies(offer_steadily(BrokerUnderTest(broker_count=1), 3 * SECOND_US))


def test_an_unanswered_bid_goes_to_the_standby_next() -> None:
    """If a shard's coordinator is unreachable, bids alternate between coordinator and standby.

    From the first report on, bids go to the coordinator again.
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
    """Bids that are not renewed expire; otherwise the demand of a stopped broker would count forever."""
    broker = BrokerUnderTest(broker_index=COORDINATOR_OF_TWO, broker_count=2)
    offer_steadily(broker, 2 * SECOND_US)
    datagram = bid_datagram(0, [40.0] * PRIORITY_BAND_COUNT, 30.0)
    (report,) = demand_reports(broker.handle(api.PeerMessageReceived(1 - COORDINATOR_OF_TWO, datagram)))
    own_demand = sum(broker.scheduler.endpoints.shards[0].demand)
    assert abs(sum(report.demand) - 240 - own_demand) < 0.1 * (240 + own_demand)
    broker.advance(BID_LIFETIME_US + 12 * SECOND_US)
    datagram = bid_datagram(0, [1.0] * PRIORITY_BAND_COUNT)
    (later_report,) = demand_reports(broker.handle(api.PeerMessageReceived(1 - COORDINATOR_OF_TWO, datagram)))
    assert sum(later_report.demand) < 7  # the earlier bid has expired


def test_a_restarted_coordinator_takes_the_capacity_that_bidders_know() -> None:
    """A restarted coordinator has lost its state, and takes the capacity from the bids, which carry it."""
    broker = BrokerUnderTest(broker_index=COORDINATOR_OF_TWO)
    datagram = bid_datagram(0, [1.0] * PRIORITY_BAND_COUNT, 2.0, 0.2, 1.0, 77.0)
    (report,) = demand_reports(broker.handle(api.PeerMessageReceived(1 - COORDINATOR_OF_TWO, datagram)))
    assert 70 < report.capacity < 84


def test_a_broker_goes_on_bidding_while_its_shard_is_overloaded() -> None:
    """A broker that no longer sends requests to an overloaded shard has to learn when the overload ends."""
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
    """Datagrams that are truncated, too long, of another protocol, from unknown brokers or from the broker
    itself, on unknown shards, or with excessive demand are ignored, and so are reports of brokers that do not
    coordinate the shard.
    """
    broker = BrokerUnderTest(broker_index=COORDINATOR_OF_TWO)
    valid_bid = bid_datagram(0, [5.0] * PRIORITY_BAND_COUNT)
    for sender, datagram in (
        (1 - COORDINATOR_OF_TWO, b""),
        (1 - COORDINATOR_OF_TWO, b"FT\x01" + valid_bid[3:]),
        (1 - COORDINATOR_OF_TWO, valid_bid[:-1]),
        (COORDINATOR_OF_TWO, valid_bid),
        (9, valid_bid),
        (1 - COORDINATOR_OF_TWO, bid_datagram(77, [1.0] * PRIORITY_BAND_COUNT)),
        (1 - COORDINATOR_OF_TWO, bid_datagram(0, [1e9] * PRIORITY_BAND_COUNT)),
        (1 - COORDINATOR_OF_TWO, valid_bid + b"x" * 240),
    ):
        assert not [
            a
            for a in broker.handle(api.PeerMessageReceived(sender, datagram))
            if not isinstance(a, api.SetTimer)
        ]
    assert not broker.scheduler.demand.aggregates
    other = BrokerUnderTest(broker_index=3, broker_count=8)  # ignores reports of other brokers
    non_coordinator = next(
        index
        for index in range(8)
        if index != 3 and index not in other.scheduler.context.derived.coordinators(0)
    )
    other.handle(
        api.PeerMessageReceived(non_coordinator, report_datagram(0, [1.0] * PRIORITY_BAND_COUNT, 5.0))
    )
    assert other.scheduler.endpoints.shards[0].capacity == 0


def test_a_coordinator_reports_overload_and_its_end_to_all_users_of_a_shard_and_to_no_other_broker() -> None:
    """The coordinator reports the start and the end of an overload to all brokers that have bid recently.

    Brokers that use the shard only occasionally would otherwise learn of it from failed requests. Reports to
    all brokers would grow with the square of their number: 8 to 15 messages per request with 200 brokers.
    """
    coordinator, now_us = start_fleet(LARGE_FLEET)[LARGE_COORDINATOR], START_US
    other_brokers = [i for i in range(LARGE_BROKER_COUNT) if i != LARGE_COORDINATOR]
    active_bidders, recent_bidders = set(other_brokers[:10]), set(other_brokers[:15])
    single_bid = bid_datagram(0, [0.3, *[0.0] * (PRIORITY_BAND_COUNT - 1)])
    # these five brokers bid only once
    coordinator.decide(now_us, [api.PeerMessageReceived(i, single_bid) for i in other_brokers[10:15]])
    recipients_by_turn: list[set[int]] = []
    for turn in range(60):
        now_us += BID_INTERVAL_US
        actions = send_ten_bids(coordinator, now_us, 2.0, 3.6 if turn < 20 else 0.2)
        recipients_by_turn.append(
            {message.recipient_index for message in peer_datagrams(actions, DemandReport)}
        )
    announcement_turns = [
        turn for turn, brokers in enumerate(recipients_by_turn) if brokers == recent_bidders
    ]
    # about one announcement a second while the overload lasts
    assert announcement_turns and announcement_turns[0] <= 3 and 5 <= len(announcement_turns) <= 9
    assert 20 < announcement_turns[-1] < 40 and all(
        brokers in (recent_bidders, active_bidders) for brokers in recipients_by_turn
    )
    coordinator.decide(
        now_us + IDLE_STATE_RETENTION_US + 1, [api.PeerMessageReceived(other_brokers[0], single_bid)]
    )
    # bidders without a bid for the retention time are forgotten
    assert set(coordinator.demand.aggregates[0].bidders) == {other_brokers[0]}


def test_reports_resume_soon_after_half_of_the_brokers_are_gone() -> None:
    """Half of the brokers crash at the same time, the coordinator among them.

    The bid after an unanswered one goes to the standby, so reports resume after two intervals and the network
    latency.
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
    """Fleets of 4 to 200 brokers with the same load and number of shards per broker, most shards overloaded.

    If reports went to all brokers, messages would grow with the square of the number of brokers.
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
    # with four brokers more bids and reports fit into each datagram
    assert (
        messages_per_second[200] <= 1.2 * messages_per_second[40]
        and messages_per_second[40] <= 3 * messages_per_second[4]
    )
