"""Slow start at one broker: a warming node's budget, its growth, and the grants of its coordinators."""

from __future__ import annotations

from dataclasses import replace

from harriertide.decide import api
from harriertide.decide.peer_messages import SlowStartGrant, SlowStartRequest, decode, encode
from harriertide.decide.quota_credit import CREDIT_LIFETIME_US
from harriertide.decide.warming import slow_start_budget_units
from tests.fleet_simulation import (
    LARGE_COORDINATOR,
    LARGE_FLEET,
    start_fleet,
)
from tests.helpers import (
    START_US,
    BrokerUnderTest,
    broker_with_warming_node,
    offer_continuously,
    peer_datagrams,
    started_attempts,
)


def test_each_coordinator_of_a_warming_node_has_half_of_the_slow_start_budget() -> None:
    broker = broker_with_warming_node()
    sent = offer_continuously(broker, 1_400_000)
    assert 0 < sent <= 24 / 2


def test_answers_of_a_warming_node_raise_its_budget() -> None:
    """Answered units over the time that the answers took are at most the rate of one core, while
    collapse_load_ratio applies to the whole node. Answers from before the node's restart do not count.
    """
    quick_broker, slow_broker = (
        broker_with_warming_node(collapse_load_ratio=2.5),
        broker_with_warming_node(collapse_load_ratio=2.5),
    )
    first = (
        offer_continuously(quick_broker, 1_400_000, latency_us=40_000),
        offer_continuously(slow_broker, 1_400_000, latency_us=250_000),
    )
    later_units = (
        offer_continuously(quick_broker, 1_400_000, latency_us=40_000),
        offer_continuously(slow_broker, 1_400_000, latency_us=250_000),
    )
    coordinator_share, window = 1 / 2, 1.5
    # 2 units in 40 ms
    assert 24 * coordinator_share * 1.4 < later_units[0] <= coordinator_share * 2.5 * window * 2 / 0.04
    assert (
        first[1] <= coordinator_share * 2.5 * window * 2 / 0.25
        and later_units[1] <= coordinator_share * 2.5 * window * 2 / 0.25
    )
    node = quick_broker.scheduler.endpoints.nodes["n0"]
    restarted = api.NodeEntry("n0", 0, "live", 0, quick_broker.now_us)
    quick_broker.handle(api.EndpointUpdate("delta", (restarted,)))
    assert node.measured_units == node.answered_units == 0  # the answers from before the restart do not count


def test_an_answer_to_an_attempt_sent_before_a_node_restarted_is_not_measured() -> None:
    """The answer is read after the restart is reported, but shows the capacity of the earlier process."""
    broker = BrokerUnderTest()
    (attempt,) = started_attempts(broker.request(units=8.0))
    restarted = api.NodeEntry("n0", 0, "live", 0, broker.now_us + 5_000)
    broker.handle(api.EndpointUpdate("delta", (restarted,)), after_us=10_000)
    broker.finish_attempt(attempt.request_id, "ok", after_us=1_000)
    node = broker.scheduler.endpoints.nodes["n0"]
    assert node.answered_units == 0 and node.answered_us == 0


def test_a_few_quick_answers_barely_raise_the_budget() -> None:
    """A node that has just started answers a few reads quickly from cached data. These reads cost less than
    others, so they do not show the node's capacity.
    """
    broker = broker_with_warming_node(collapse_load_ratio=2.5)
    for _ in range(2):
        for send in started_attempts(broker.request(units=1.0) + broker.advance(200_000, 10_000)):
            broker.handle(api.AttemptFinished(send.request_id, 0, "n0", "ok", 1_000, True))
    broker.advance(300_000, 10_000)
    assert (
        slow_start_budget_units(broker.scheduler.context, broker.scheduler.endpoints.nodes["n0"]) < 24 * 2.1
    )


def grant_for(datagram: bytes) -> bytes:
    """Return the datagram with the grant that answers a grant request."""
    (request,) = decode(datagram)
    assert isinstance(request, SlowStartRequest)
    return encode([SlowStartGrant(*(getattr(request, name) for name in request.__slots__))])[0]


def test_a_slow_start_grant_allows_one_send_to_a_warming_node() -> None:
    broker = broker_with_warming_node(broker_index=150, broker_count=200)
    grant_requests = peer_datagrams(broker.request() + broker.advance(300_000, 10_000), SlowStartRequest)
    assert len(grant_requests) >= 2 and {a.recipient_index for a in grant_requests} == set(
        broker.scheduler.context.derived.coordinators(0)
    )
    broker.advance(2_500_000)
    grant_request = peer_datagrams(broker.request(), SlowStartRequest)[0]
    grant = grant_for(grant_request.body)
    assert not started_attempts(
        broker.handle(api.PeerMessageReceived((grant_request.recipient_index + 7) % 200, grant))
    )
    assert (
        len(started_attempts(broker.handle(api.PeerMessageReceived(grant_request.recipient_index, grant))))
        == 1
    )
    assert not started_attempts(
        broker.request() + broker.handle(api.PeerMessageReceived(grant_request.recipient_index, grant))
    )


def test_a_late_slow_start_grant_has_expired() -> None:
    """A grant is delayed on the network. The coordinator may have granted its units to others by then."""
    broker = broker_with_warming_node(broker_index=150, broker_count=200)
    grant_request = peer_datagrams(broker.request(), SlowStartRequest)[0]
    broker.now_us += CREDIT_LIFETIME_US + 1
    assert not started_attempts(
        broker.handle(api.PeerMessageReceived(grant_request.recipient_index, grant_for(grant_request.body)))
    )


def test_a_warming_nodes_budget_grows_with_its_age() -> None:
    broker = broker_with_warming_node()
    first = offer_continuously(broker, 1_400_000)
    broker.now_us += 6_000_000
    assert first < offer_continuously(broker, 1_400_000) <= 24 / 2 * (1 + 0.74 * 4)


def test_a_restarted_broker_takes_a_warming_nodes_window_as_spent() -> None:
    """A broker restarts while a node warms up, and does not know the units that it granted before."""
    broker = BrokerUnderTest((api.NodeEntry("n0", 0, "live", 0, 49_900_000),))
    assert offer_continuously(broker, 1_400_000) == 0
    assert offer_continuously(broker, 1_000_000) > 0


def test_a_reload_of_slow_start_settings_leaves_no_budget_to_spend_twice() -> None:
    """A reload assigns a warming node's budget to one coordinator in place of two. The current window has to
    end first, or both coordinators could grant the budget.
    """
    broker = start_fleet(LARGE_FLEET)[LARGE_COORDINATOR]
    warming_node = api.NodeEntry("n00", 0, "live", 0, START_US)
    broker.decide(START_US + 3_000_000, [api.EndpointUpdate("delta", (warming_node,))])

    def is_granted(at_us: int, units: float) -> bool:
        started_ms = warming_node.started_us // 1000 % 2**32
        request = encode([SlowStartRequest(0, started_ms, int(units), 1, 0, 0)])[0]
        actions = broker.decide(at_us, [api.PeerMessageReceived(LARGE_COORDINATOR + 1, request)])
        return any(isinstance(a, api.SendPeerMessage) and a.body[2] == SlowStartGrant.KIND for a in actions)

    now = START_US + 3_000_000
    assert is_granted(now, 2.0) and not is_granted(now, 40.0)
    broker.decide(
        now,
        [api.SettingsChanged(replace(LARGE_FLEET, broker_index=LARGE_COORDINATOR, slow_start_units=10.0))],
    )
    assert not is_granted(now, 1.0)
    assert is_granted(now + 2_000_000, 8.0)
