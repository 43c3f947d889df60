"""Each reason for which the scheduler gives up a request: one cause, and the reason in the final answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import get_args

import pytest

from harriertide.decide import api
from harriertide.decide.state import PRIORITY_BAND_COUNT
from tests.helpers import (
    CLASSES,
    COORDINATOR_OF_TWO,
    WRITE,
    BrokerUnderTest,
    failures,
    rejections,
    report_datagram,
)

READS, WRITES, NON_IDEMPOTENT_WRITES, ORDERED_READS = range(4)
LIMITED_PLAN = 1


def no_node_of_its_shard() -> list[api.Action]:
    """No node of the endpoint list serves the request's shard."""
    return BrokerUnderTest().request(shard=3)


def overloaded_shard() -> list[api.Action]:
    """All brokers together offer a hundred times the capacity of the shard."""
    broker = BrokerUnderTest(broker_index=1 - COORDINATOR_OF_TWO)
    demand = [100.0] * PRIORITY_BAND_COUNT
    report = report_datagram(0, demand, capacity=6.0, is_overloaded=True)
    broker.handle(api.PeerMessageReceived(COORDINATOR_OF_TWO, report))
    return [action for _ in range(20) for action in broker.request(shard=0, plan=0)]


def long_queue() -> list[api.Action]:
    """More requests are queued for the shard than it serves in a part of the latency objective."""
    broker = BrokerUnderTest()
    broker.request()
    broker.finish_attempt("r1", after_us=100_000)
    return [action for _ in range(20) for action in broker.request()]


def slow_node() -> list[api.Action]:
    """The node needs nearly the whole latency objective, and the request has waited in the queue before."""
    broker = BrokerUnderTest()
    broker.request()
    broker.finish_attempt("r1", after_us=290_000)
    for _ in range(3):
        broker.request()
    return broker.advance(100_000)


def plan_limit() -> list[api.Action]:
    """The plan allows 10 units a second, of which none have accrued, as the broker has just started."""
    return BrokerUnderTest().request(plan=LIMITED_PLAN, units=8.0)


def deadline_while_waiting_for_its_turn() -> list[api.Action]:
    """An earlier request of the same key is still running at the request's deadline."""
    broker = BrokerUnderTest()
    broker.request(ORDERED_READS, key="k")
    broker.request(ORDERED_READS, key="k", deadline_at_us=broker.now_us + 100_000)
    return broker.advance(150_000)


def not_idempotent() -> list[api.Action]:
    """The request may have run, and must not run twice."""
    broker = BrokerUnderTest()
    broker.request(NON_IDEMPOTENT_WRITES)
    return broker.finish_attempt("r1", "reset")


def deduplication_window_over() -> list[api.Action]:
    """The request may have run, and its deduplication window is about to end."""
    keyed = replace(WRITE, deduplication_window_us=100_000)
    classes = tuple(keyed if each is WRITE else each for each in CLASSES)
    broker = BrokerUnderTest(classes=classes)
    broker.request(WRITES, key="k")
    return broker.finish_attempt("r1", "reset", after_us=80_000)


def retry_budget_used_up() -> list[api.Action]:
    """The settings have a retry budget of 0."""
    broker = BrokerUnderTest(retry_budget_floor=0.0, retry_budget_window_us=1_000_000)
    broker.request()
    return broker.finish_attempt("r1", "error")


def node_without_its_shard() -> list[api.Action]:
    """The node answers that it does not hold the shard, and no other shard is known to have the object."""
    broker = BrokerUnderTest()
    broker.request(key="k")
    return broker.finish_attempt("r1", "not_sent")


def newer_process_in_charge() -> list[api.Action]:
    """A newer process of the broker keeps the order of keys, and this one is sent a further request."""
    broker = BrokerUnderTest()
    broker.handle(api.SettingsChanged(broker.settings.superseded()))
    return broker.request(ORDERED_READS, key="k")


CAUSES: dict[api.GiveUpReason, Callable[[], list[api.Action]]] = {
    "no_node": no_node_of_its_shard,
    "overload": overloaded_shard,
    "queue_full": long_queue,
    "too_late": slow_node,
    "rate_limit": plan_limit,
    "deadline": deadline_while_waiting_for_its_turn,
    "not_repeatable": not_idempotent,
    "deduplication_over": deduplication_window_over,
    "retry_budget": retry_budget_used_up,
    "wrong_shard": node_without_its_shard,
    "superseded": newer_process_in_charge,
}


def test_each_reason_has_a_cause_here() -> None:
    assert set(CAUSES) == set(get_args(api.GiveUpReason))


@pytest.mark.parametrize("reason", CAUSES)
def test_a_request_is_given_up_for_the_reason_that_its_answer_names(reason: api.GiveUpReason) -> None:
    actions = CAUSES[reason]()
    reasons = {answer.reason for answer in [*rejections(actions), *failures(actions)]}
    assert reasons == {reason}
