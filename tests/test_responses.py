"""Responses: one final answer to each request, in time, and nothing sent behind it."""

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
    """Nodes do not answer, so requests stay queued. Each gets one final answer before its client's
    deadline.
    """
    broker = BrokerUnderTest()
    for _ in range(12):
        broker.request()
    requested = {f"r{i}" for i in range(1, 13)}
    actions = broker.advance(2_500_000)
    rejected_or_failed = [a.request_id for a in rejections(actions) + failures(actions)]
    assert len(rejected_or_failed) == len(set(rejected_or_failed))
    in_flight = set(broker.scheduler.responses.requests)
    assert all(broker.scheduler.responses.requests[r].open_attempts for r in in_flight)
    assert requested - set(rejected_or_failed) >= in_flight


def test_a_timeout_at_a_deadline_before_the_latency_objective_is_answered_at_once() -> None:
    """A client's deadline is shorter than the latency objective, and its attempt times out there."""
    broker = BrokerUnderTest()
    broker.request(deadline_at_us=broker.now_us + 90_000)
    actions = broker.finish_attempt("r1", "timeout", after_us=89_000)
    actions += broker.advance(100_000, 1_000)
    assert len(rejections(actions)) == 1 and not started_attempts(actions)


def test_nothing_is_sent_after_the_final_answer() -> None:
    """A client disconnects, and then its attempt fails. Nobody waits for a retry."""
    broker = BrokerUnderTest()
    broker.request()
    broker.handle(api.ClientDisconnected("r1"))
    assert not started_attempts(broker.finish_attempt("r1", "error"))
    assert not started_attempts(broker.advance(500_000))


def test_a_response_that_has_started_is_left_to_the_client() -> None:
    """The first bytes of a response have reached the client. It can't be retried or rejected any more."""
    broker = BrokerUnderTest()
    broker.request()
    broker.handle(api.ResponseStarted("r1", 0))
    assert not [
        a for a in broker.advance(3_000_000) if isinstance(a, (api.Reject, api.Fail, api.StartAttempt))
    ]


def test_repeated_late_and_unknown_events_have_no_effect() -> None:
    """Events come twice, late, or for requests and peers that do not exist."""
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
