"""The ordinary path: bids, slices, thinning, bound, order."""

from typing import Any
from zlib import crc32

from harriertide.decide import api
from harriertide.decide.admission import ADMIT_TARGET_RATIO, update_allotment
from harriertide.decide.demand import BID_INTERVAL_US
from harriertide.decide.endpoints import BID_LIFETIME_US
from harriertide.decide.peer_messages import MAGIC, DemandBid, DemandReport, PeerMessage, decode
from harriertide.decide.placement import MAX_IN_FLIGHT_COUNT
from harriertide.decide.state import PRIORITY_BAND_COUNT
from tests.helpers import (
    START_US,
    BrokerUnderTest,
    bid_datagram,
    fails,
    peer_datagrams,
    refusals,
    report_datagram,
    sends,
)

KEEPER = crc32(b"0") % 2  # of shard 0, where there are two brokers
SECOND = 1_000_000
FIRST = crc32(b"0") % 8  # and where there are eight; the next is its standby
OTHER = (FIRST + 4) % 8


def told(actions: list[api.Action], kind: type[PeerMessage] = DemandBid) -> list[bytes]:
    return [a.body for a in peer_datagrams(actions, kind)]


def reports(actions: list[api.Action]) -> list[DemandReport]:
    """What a coordinator reports."""
    messages = [message for body in told(actions, DemandReport) for message in decode(body)]
    return [message for message in messages if isinstance(message, DemandReport)]


def work(
    broker: BrokerUnderTest, for_us: int, every_us: int = 10_000, took_us: int = 20_000
) -> list[api.Action]:
    """Offer steadily, answer each attempt after a while."""
    done: list[api.Action] = []
    out: list[tuple[int, str]] = []
    end = broker.now + for_us
    while broker.now < end:
        new = broker.ask()
        due = [r for at, r in out if at <= broker.now]
        out = [(at, r) for at, r in out if at > broker.now]
        for request in due:
            new += broker.do(api.AttemptFinished(request, 0, "n0", "ok", took_us, True))
        out += [(broker.now + took_us, s.request_id) for s in sends(new)]
        done += new
        broker.now += every_us
    for at, request in out:
        broker.now = max(broker.now, at)
        broker.do(api.AttemptFinished(request, 0, "n0", "ok", took_us, True))
    return done


def test_one_bid_a_round_to_the_shards_keeper() -> None:
    broker = BrokerUnderTest(broker_index=OTHER, broker_count=8)
    done = work(broker, 4 * BID_INTERVAL_US)
    bids = told(done)
    assert 3 <= len(bids) <= 5
    assert all(body.startswith(MAGIC) and len(body) <= 256 for body in bids)
    assert [bid.shard for bid in decode(bids[-1]) if isinstance(bid, DemandBid)] == [0]


def test_no_bid_on_a_shard_without_demand() -> None:
    broker = BrokerUnderTest(broker_index=OTHER, broker_count=8)
    work(broker, 2 * SECOND)
    assert told(broker.idle(12 * SECOND)) and not told(broker.idle(4 * SECOND))
    assert not broker.scheduler.demand.active_shards


def test_many_shards_take_several_messages_none_over_256_bytes() -> None:
    broker = BrokerUnderTest(tuple(api.NodeEntry(f"n{i}", i) for i in range(60)), shard_count=60)
    for shard in range(60):
        broker.ask(shard=shard)
    bodies = told(broker.idle(2 * SECOND))
    assert bodies and all(len(body) <= 256 for body in bodies)
    named = {bid.shard for body in bodies for bid in decode(body) if isinstance(bid, DemandBid)}
    assert named == {s for s in range(60) if crc32(b"%d" % s) % 2 == 1}


def test_no_bids_where_heads_may_not_talk_or_are_alone() -> None:
    assert not told(work(BrokerUnderTest(peer_messages_allowed=False), 3 * SECOND))
    assert not told(work(BrokerUnderTest(broker_count=1), 3 * SECOND))


def test_a_bid_that_had_no_answer_goes_to_the_standby_next() -> None:
    broker = BrokerUnderTest(broker_index=OTHER, broker_count=8)
    done = work(broker, 5 * BID_INTERVAL_US)
    whom = [a.recipient_index for a in peer_datagrams(done, DemandBid)]
    assert whom[:4] == [FIRST, (FIRST + 1) % 8] * 2
    broker.do(api.PeerMessageReceived(FIRST, report_datagram(0, [1.0] * PRIORITY_BAND_COUNT, 50.0)))
    done = work(broker, BID_INTERVAL_US)
    assert [a.recipient_index for a in peer_datagrams(done, DemandBid)] == [FIRST]


def test_a_keeper_answers_each_bid_with_the_sums_of_all() -> None:
    broker = BrokerUnderTest(broker_index=KEEPER, broker_count=2)
    work(broker, 2 * SECOND)
    body = bid_datagram(0, [40.0] * PRIORITY_BAND_COUNT, 30.0)
    (answer,) = reports(broker.do(api.PeerMessageReceived(1 - KEEPER, body)))
    own = sum(broker.scheduler.endpoints.shards[0].demand)
    assert abs(sum(answer.demand) - 240 - own) < 0.1 * (240 + own)
    broker.idle(BID_LIFETIME_US + 12 * SECOND)
    body = bid_datagram(0, [1.0] * PRIORITY_BAND_COUNT)
    (again,) = reports(broker.do(api.PeerMessageReceived(1 - KEEPER, body)))
    assert sum(again.demand) < 7  # bids that are not renewed run out


def test_slow_answers_of_all_heads_together_are_pressure_at_the_keeper() -> None:
    broker = BrokerUnderTest(broker_index=KEEPER)
    steps = ((4.0, 0), (15.0, 0), (15.0, 2), (9.0, 2), (4.0, 2), (4.0, 0))  # smoothed, and harder to leave
    for strained, pressed in steps:
        broker.now += SECOND
        body = bid_datagram(0, [9.0] * PRIORITY_BAND_COUNT, 20.0, strained)
        (report,) = reports(broker.do(api.PeerMessageReceived(1 - KEEPER, body)))
        assert round(report.flags) & 2 == pressed


def test_a_restarted_keeper_takes_the_rate_that_bidders_know() -> None:
    broker = BrokerUnderTest(broker_index=KEEPER)
    body = bid_datagram(0, [1.0] * PRIORITY_BAND_COUNT, 2.0, 0.2, 1.0, 77.0)
    (answer,) = reports(broker.do(api.PeerMessageReceived(1 - KEEPER, body)))
    assert 70 < answer.capacity < 84


def rate_after(note: bytes | None) -> tuple[float, float]:
    broker = BrokerUnderTest(broker_index=1 - KEEPER)
    work(broker, 2 * SECOND)
    if note is not None:
        broker.do(api.PeerMessageReceived(KEEPER, note))
    cell = broker.scheduler.endpoints.shards[0]
    return cell.allotment, cell.capacity


def test_the_slice_follows_demand() -> None:
    small, large = [0.0] * PRIORITY_BAND_COUNT, [0.0] * PRIORITY_BAND_COUNT
    small[0], large[0] = 220.0, 2200.0
    most, least = (
        rate_after(report_datagram(0, small, 100.0))[0],
        rate_after(report_datagram(0, large, 100.0))[0],
    )
    assert most > 2 * least


def test_a_head_that_hears_nothing_goes_by_the_last_sums_and_its_own_demand() -> None:
    """An even slice of hundreds of brokers is under one request, where few of them use a shard at all."""
    keeper = crc32(b"0") % 200
    broker = BrokerUnderTest(broker_index=(keeper + 7) % 200, broker_count=200)
    fresh = broker.scheduler.endpoints.shards[0]
    work(broker, 4 * SECOND)
    assert (
        not fresh.is_capacity_known and fresh.allotment == ADMIT_TARGET_RATIO * fresh.capacity / 200
    )  # nothing was ever told
    broker.do(api.PeerMessageReceived(keeper, report_datagram(0, [100.0] * PRIORITY_BAND_COUNT, 80.0)))
    cell = broker.scheduler.endpoints.shards[0]
    work(broker, SECOND)
    told_chance = list(cell.admit_probability)
    work(broker, 10 * SECOND)
    assert (
        cell.admit_probability == told_chance
        and cell.allotment > 5 * ADMIT_TARGET_RATIO * cell.capacity / 200
    )


def test_junk_from_peers_changes_nothing() -> None:
    broker = BrokerUnderTest(broker_index=KEEPER)
    good = bid_datagram(0, [5.0] * PRIORITY_BAND_COUNT)
    for sender, body in (
        (1 - KEEPER, b""),
        (1 - KEEPER, b"FT\x01" + good[3:]),
        (1 - KEEPER, good[:-1]),
        (KEEPER, good),
        (9, good),
        (1 - KEEPER, bid_datagram(77, [1.0] * PRIORITY_BAND_COUNT)),
        (1 - KEEPER, bid_datagram(0, [1e9] * PRIORITY_BAND_COUNT)),
        (1 - KEEPER, good + b"x" * 240),
    ):
        assert not [
            a for a in broker.do(api.PeerMessageReceived(sender, body)) if not isinstance(a, api.SetTimer)
        ]
    assert not broker.scheduler.demand.aggregates
    other = BrokerUnderTest(broker_index=3, broker_count=8)  # sums count from a keeper of that shard only
    stranger = next(
        h for h in range(8) if h != 3 and h not in other.scheduler.context.derived.coordinators(0)
    )
    other.do(api.PeerMessageReceived(stranger, report_datagram(0, [1.0] * PRIORITY_BAND_COUNT, 5.0)))
    assert other.scheduler.endpoints.shards[0].capacity == 0


def test_a_head_with_less_than_a_few_requests_thins_by_the_chance_of_all() -> None:
    passed = 0
    for seed in range(200):
        broker = BrokerUnderTest(broker_index=1 - KEEPER, seed=seed)
        broker.ask()
        broker.idle(2 * SECOND)
        broker.end("r1")
        broker.do(
            api.PeerMessageReceived(
                KEEPER, report_datagram(0, [200.0] + [0.0] * (PRIORITY_BAND_COUNT - 1), 100.0)
            )
        )
        passed += len(sends(broker.ask()))
    assert 80 <= passed <= 130  # 105 of 200 units


def press(broker: BrokerUnderTest) -> None:
    """Until the shard is under learned pressure."""
    work(broker, 2 * SECOND)
    work(broker, 3 * SECOND, took_us=400_000)
    cell = broker.scheduler.endpoints.shards[0]
    assert cell.is_overloaded and cell.is_capacity_known


def test_pressure_comes_with_slow_answers_and_goes_again() -> None:
    broker = BrokerUnderTest()
    press(broker)
    work(broker, 4 * SECOND, every_us=100_000)
    assert not broker.scheduler.endpoints.shards[0].is_overloaded


def test_full_answers_are_pressure() -> None:
    broker = BrokerUnderTest(broker_index=KEEPER)
    broker.ask()
    broker.end("r1", "rejected")
    while 0 not in broker.scheduler.demand.aggregates:
        broker.idle(50_000, 10_000)
    assert (
        broker.scheduler.demand.aggregates[0].is_overloaded
        and not broker.scheduler.endpoints.shards[0].is_capacity_known
    )


def test_percent_thinning_refuses_about_what_the_shard_cannot_do() -> None:
    """Of all that brokers are offered, the worth most goes first; what is under no pressure passes."""
    broker = BrokerUnderTest()
    press(broker)
    cell = broker.scheduler.endpoints.shards[0]

    def passed(totals: list[float], pressed: bool = True) -> float:
        cell.fleet_demand, cell.capacity, cell.fleet_latency_ratio = totals, 50.0 / 1.05, 0.0
        update_allotment(broker.scheduler.context, cell)
        let_in = 0
        for _ in range(1000):
            cell.is_overloaded = pressed  # held work does not count here: each is given up again
            broker.ask(volume=f"w{broker.made}")
            request = broker.scheduler.responses.requests.get(f"r{broker.made}")
            if request is not None:
                let_in += 1
                broker.do(api.ClientDisconnected(request.id))
                for number in list(request.open_attempts):
                    broker.end(request.id, "cancelled", number, after_us=0, over=True)
        return let_in / 1000

    assert 0.42 < passed([100.0] + [0.0] * (PRIORITY_BAND_COUNT - 1)) < 0.58
    assert passed([20.0] + [0.0] * (PRIORITY_BAND_COUNT - 1)) == 1
    assert passed([100.0] + [0.0] * (PRIORITY_BAND_COUNT - 1), pressed=False) == 1


def test_a_clients_repeat_is_worth_what_a_late_answer_is() -> None:
    """It belongs to its first try; under pressure, first tries go before it."""
    broker = BrokerUnderTest()
    broker.ask(volume="a")
    broker.ask(volume="b", is_retry=True)
    first, repeat = (broker.scheduler.responses.requests[f"r{i}"].priority_band for i in (1, 2))
    assert first == 0 and repeat >= 2  # late_priority_weight is 0.2, a band's step 2.2


def test_the_rate_can_rise_again() -> None:
    broker = BrokerUnderTest(broker_index=KEEPER)
    press(broker)
    low = broker.scheduler.endpoints.shards[0].capacity
    work(broker, 6 * SECOND, every_us=10_000, took_us=20_000)
    assert broker.scheduler.endpoints.shards[0].capacity > low


def test_out_stays_under_the_ceiling_whatever_was_learned() -> None:
    broker = BrokerUnderTest()
    cell = broker.scheduler.endpoints.shards[0]
    cell.capacity, cell.allotment = 1e6, 2e6
    out = 0
    for _ in range(80):
        out += len(sends(broker.ask(units=1.0)))
    assert out == MAX_IN_FLIGHT_COUNT


def test_held_requests_leave_earliest_due_first() -> None:
    broker = BrokerUnderTest(
        classes=(
            api.RequestClass(latency_objective_us=900_000, deadline_us=2_000_000),
            api.RequestClass(latency_objective_us=400_000, deadline_us=2_000_000),
        )
    )
    first = [s.request_id for _ in range(4) for s in sends(broker.ask(0))]
    assert len(first) < 4
    broker.ask(1)
    done = broker.end(first[0], after_us=1_000)
    assert [s.request_id for s in sends(done)] == ["r5"]


def test_least_worth_goes_first_where_too_much_is_held() -> None:
    broker = BrokerUnderTest(
        plans=(api.Plan(weight=1, priority_factor=0.1), api.Plan(weight=1, priority_factor=1))
    )
    broker.ask(plan=1)
    done = broker.end("r1", after_us=30_000)
    for i in range(1, 60):
        done += broker.ask(plan=(i + 1) % 2, volume=f"v{(i + 1) % 2}")
    gone = [int(r.request_id[1:]) for r in refusals(done)]
    assert gone and all(i % 2 == 0 for i in gone[:5])  # those of the cheap plan


def test_refusals_say_when_to_come_back_only_where_that_is_heard() -> None:
    loud, dumb = BrokerUnderTest(), BrokerUnderTest(retry_after_allowed=False)
    assert 0 < refusals(loud.ask(shard=3))[0].retry_after_us <= 500_000
    assert refusals(dumb.ask(shard=3))[0].retry_after_us == 0


def test_new_objects_go_to_fit_nodes_and_spread() -> None:
    broker = BrokerUnderTest((api.NodeEntry("n0", 0), api.NodeEntry("n1", 1), api.NodeEntry("n2", 2)))
    broker.do(api.EndpointUpdate("delta", (api.NodeEntry("n2", 2, "draining"),)))
    nodes = [s.node_id for _ in range(4) for s in sends(broker.ask(shard=-1))]
    assert set(nodes) == {"n0", "n1"}


def test_a_silent_node_gets_single_trials_and_comes_back_with_an_answer() -> None:
    broker = BrokerUnderTest()
    broker.ask()
    for attempt in range(3):
        assert not broker.scheduler.endpoints.nodes["n0"].is_ejected
        broker.end("r1", "reset", attempt, after_us=10_000)
    assert broker.scheduler.endpoints.nodes["n0"].is_ejected
    broker.idle(300_000)
    trial = sends(broker.ask())
    assert len(trial) == 1 and len(refusals(broker.ask())) == 1
    broker.end(trial[0].request_id)
    assert not broker.scheduler.endpoints.nodes["n0"].is_ejected and sends(broker.ask())


def test_same_events_same_actions() -> None:
    assert work(BrokerUnderTest(), 3 * SECOND) == work(BrokerUnderTest(), 3 * SECOND)
    assert START_US > 0 and not fails([])


def test_attempts_end_at_the_aim_where_heads_outnumber_what_a_node_may_hold() -> None:
    few, many = (
        BrokerUnderTest(broker_count=MAX_IN_FLIGHT_COUNT),
        BrokerUnderTest(broker_count=MAX_IN_FLIGHT_COUNT + 1),
    )
    assert sends(few.ask())[0].stop_at_us == few.now + 2_000_000
    assert sends(many.ask())[0].stop_at_us == many.now + 300_000


def test_a_head_goes_on_bidding_while_its_shard_is_pressed() -> None:
    broker = BrokerUnderTest(broker_index=OTHER, broker_count=8)
    broker.ask()
    broker.end("r1")
    for _ in range(12):
        broker.do(api.PeerMessageReceived(FIRST, report_datagram(0, [100.0] * PRIORITY_BAND_COUNT, 80.0)))
        broker.idle(BID_INTERVAL_US)
    assert told(broker.idle(2 * BID_INTERVAL_US))
    broker.do(
        api.PeerMessageReceived(
            FIRST, report_datagram(0, [1.0] * PRIORITY_BAND_COUNT, 80.0, is_overloaded=False)
        )
    )
    broker.scheduler.endpoints.shards[0].is_overloaded = False
    assert not told(broker.idle(4 * BID_INTERVAL_US))


def overtaken(kind: str, **changes: Any) -> list[api.CancelAttempt]:
    """One attempt hangs; three requests sent later to the same node end, well after its patience."""
    broker = BrokerUnderTest(**{"cancel_allowed": True, **changes})
    for _ in range(5):  # what is usual there
        broker.ask()
        broker.end(f"r{broker.made}")
    broker.ask()
    done: list[api.Action] = []
    for _ in range(3):
        broker.ask()
        done += broker.end(f"r{broker.made}", kind, after_us=60_000)
    return [action for action in done if isinstance(action, api.CancelAttempt)]


def test_an_attempt_that_later_answers_of_its_node_overtake_is_cancelled_once() -> None:
    """Guards against connections that fall silent: what hangs on one held its request and the bound."""
    assert overtaken("ok") == [api.CancelAttempt("r6", 0)]
    assert overtaken("error") == [], "quick errors overtake honest work"
    assert overtaken("ok", cancel_allowed=False) == []


def test_a_cancelled_attempt_is_tried_again_in_time_and_its_room_is_free() -> None:
    broker = BrokerUnderTest(cancel_allowed=True)
    broker.ask()
    assert [send.request_id for send in sends(broker.end("r1", "cancelled", over=False))] == ["r1"]


def test_lost_connections_are_no_pressure_but_a_node_that_answers_nothing_is() -> None:
    """Guards against learning a rate from rounds in which attempts hung, not worked."""
    broker = BrokerUnderTest(broker_index=KEEPER)
    for number in range(40):
        broker.ask()
        broker.end(f"r{broker.made}", "timeout" if number % 10 == 0 else "ok", over=True, after_us=30_000)
    assert not broker.scheduler.endpoints.shards[0].is_overloaded
    pressed = []  # between single trials a round may bring nothing, and says nothing
    for _ in range(20):
        broker.ask()
        broker.end(f"r{broker.made}", "timeout", over=True, after_us=300_000)
        pressed.append(broker.scheduler.endpoints.shards[0].is_overloaded)
    assert sum(pressed) >= 5
