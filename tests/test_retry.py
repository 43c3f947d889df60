"""Retries: idempotency, deduplication windows, the attempt limit, and the retry budget."""

from __future__ import annotations

from dataclasses import replace

from tests.helpers import (
    CLASSES,
    BrokerUnderTest,
    failures,
    rejections,
    started_attempts,
)


def test_a_non_idempotent_request_that_may_have_run_is_neither_retried_nor_rejected() -> None:
    """A node fails while it runs a request that must not run twice.

    A rejection would tell the client that a retry is harmless, so the request fails instead.
    """
    broker = BrokerUnderTest()
    broker.request(2)
    actions = broker.finish_attempt("r1", "error")
    assert not started_attempts(actions) and not rejections(actions) and len(failures(actions)) == 1


def test_a_non_idempotent_request_known_not_to_have_run_is_retried() -> None:
    broker = BrokerUnderTest()
    broker.request(2)
    actions = broker.finish_attempt("r1", "rejected") + broker.advance(100_000, 10_000)
    assert len(started_attempts(actions)) == 1


def test_a_keyed_request_is_retried_in_its_window_and_never_rejected() -> None:
    """A write with an idempotency key is retried within the deduplication window, and fails afterwards."""
    broker = BrokerUnderTest()
    broker.request(1)
    assert started_attempts(broker.finish_attempt("r1", "error"))
    actions = broker.finish_attempt("r1", "error", attempt=1, after_us=1_600_000)
    assert not started_attempts(actions) and not rejections(actions) and len(failures(actions)) == 1


def test_a_keyed_request_is_not_retried_past_its_window_even_with_time_left() -> None:
    """The deduplication window ends before the deadline: a retry after it could run the write twice."""
    short_window = replace(CLASSES[1], deduplication_window_us=60_000)
    broker = BrokerUnderTest(classes=(CLASSES[0], short_window))
    broker.request(1)
    actions = broker.finish_attempt("r1", "error", after_us=30_000)
    assert not started_attempts(actions) and len(failures(actions)) == 1


def test_never_two_attempts_in_flight_and_never_more_than_allowed() -> None:
    broker = BrokerUnderTest()
    assert len(started_attempts(broker.request())) == 1
    assert not started_attempts(broker.advance(200_000))
    assert len(started_attempts(broker.finish_attempt("r1", "error"))) == 1
    assert len(started_attempts(broker.finish_attempt("r1", "error", 1, after_us=1))) == 1
    actions = broker.finish_attempt("r1", "error", 2, after_us=1)
    assert not started_attempts(actions) and len(rejections(actions)) == 1


def test_retries_stay_within_the_budget() -> None:
    """If many requests fail together, retries of all of them would multiply the load of failing nodes."""
    broker = BrokerUnderTest(retry_budget_floor=1, retry_budget_ratio=0.0, retry_budget_window_us=1_000_000)
    for _ in range(2):
        broker.request()
    assert len(started_attempts(broker.finish_attempt("r1", "error"))) == 1
    actions = broker.finish_attempt("r2", "error")
    assert not started_attempts(actions) and len(rejections(actions)) == 1


def test_a_cancelled_attempt_is_retried_and_its_slot_is_free() -> None:
    """A hung attempt is cancelled early, and the request has time left for another attempt."""
    broker = BrokerUnderTest(cancel_allowed=True)
    broker.request()
    assert [
        attempt.request_id
        for attempt in started_attempts(broker.finish_attempt("r1", "cancelled", is_final=False))
    ] == ["r1"]
