"""Responses: each request gets one final answer in time, and no attempt is sent after it."""

from __future__ import annotations

from harriertide.decide import api
from tests.helpers import (
    SECOND_US,
    START_US,
    BrokerUnderTest,
    failures,
    offer_steadily,
    rejections,
    started_attempts,
)


def test_queued_requests_get_one_final_answer_before_their_deadline() -> None:
    """Nodes do not answer, so requests stay queued; each gets one final answer before its deadline."""
    broker = BrokerUnderTest()
    for _ in range(12):
        broker.request()
    request_ids = {f"r{i}" for i in range(1, 13)}
    actions = broker.advance(2_500_000)
    answered_ids = [a.request_id for a in rejections(actions) + failures(actions)]
    assert len(answered_ids) == len(set(answered_ids))
    in_flight_ids = set(broker.scheduler.responses.requests)
    assert all(broker.scheduler.responses.requests[r].open_attempts for r in in_flight_ids)
    assert request_ids - set(answered_ids) >= in_flight_ids


def test_a_timeout_at_a_deadline_before_the_latency_objective_is_answered_at_once() -> None:
    """An attempt times out at a deadline that is earlier than the latency objective."""
    broker = BrokerUnderTest()
    broker.request(deadline_at_us=broker.now_us + 90_000)
    actions = broker.finish_attempt("r1", "timeout", after_us=89_000)
    actions += broker.advance(100_000, 1_000)
    assert len(rejections(actions)) == 1 and not started_attempts(actions)


def test_nothing_is_sent_after_the_final_answer() -> None:
    """A client disconnects, and then its attempt fails: there is no retry."""
    broker = BrokerUnderTest()
    broker.request()
    broker.handle(api.ClientDisconnected("r1"))
    assert not started_attempts(broker.finish_attempt("r1", "error"))
    assert not started_attempts(broker.advance(500_000))


def test_a_response_that_has_started_is_left_to_the_client() -> None:
    """A request whose response has started to reach the client is neither retried nor rejected."""
    broker = BrokerUnderTest()
    broker.request()
    broker.handle(api.ResponseStarted("r1", 0))
    assert not [
        a for a in broker.advance(3_000_000) if isinstance(a, (api.Reject, api.Fail, api.StartAttempt))
    ]


def test_repeated_late_and_unknown_events_have_no_effect() -> None:
    """Events arrive twice, late, or for requests and peers that do not exist."""
    broker = BrokerUnderTest()
    broker.request()
    broker.finish_attempt("r1")
    stale_events = (
        api.AttemptFinished("r1", 0, "n0", "ok", 5, True),
        api.AttemptFinished("zz", 3, "n9", "error"),
        api.ClientDisconnected("zz"),
        api.ResponseStarted("zz", 0),
        api.TimerFired(99),
        api.PeerMessageReceived(7, b"FT\x01"),
        api.PeerMessageReceived(1, b"\xff" * 300),
    )
    assert not [a for a in broker.handle(*stale_events) if not isinstance(a, api.SetTimer)]


def test_the_same_events_give_the_same_actions() -> None:
    assert offer_steadily(BrokerUnderTest(), 3 * SECOND_US) == offer_steadily(
        BrokerUnderTest(), 3 * SECOND_US
    )
    assert START_US > 0 and not failures([])
