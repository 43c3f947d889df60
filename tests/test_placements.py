"""Reads of new objects whose client names another shard than the one that took them."""

from __future__ import annotations

import pytest

from harriertide.decide import api
from harriertide.decide.derived import IDLE_STATE_RETENTION_US
from harriertide.decide.placement import MAX_PLACEMENT_COUNT, Placements
from tests.helpers import BrokerUnderTest, refusals, sends

NODES = (api.NodeEntry("n0", 0), api.NodeEntry("n1", 1))
SHARD = {"n0": 0, "n1": 1}


def place(broker: BrokerUnderTest, key: str = "k", kind: str = "ok") -> api.StartAttempt:
    """Write a new object: its last attempt."""
    (sent,) = sends(broker.ask(1, shard=-1, key=key))
    broker.end(sent.request_id, kind, node=sent.node_id)
    return sent


def other(node: str) -> str:
    return "n1" if node == "n0" else "n0"


def test_a_read_that_its_node_calls_moot_goes_to_the_shard_that_took_its_object() -> None:
    broker = BrokerUnderTest(NODES)
    holder = place(broker).node_id
    (first,) = sends(broker.ask(shard=SHARD[other(holder)], key="k"))
    assert first.node_id == other(holder)  # as its client says
    (second,) = sends(broker.end(first.request_id, "not_sent", node=first.node_id))
    assert (second.request_id, second.node_id) == (first.request_id, holder)
    assert not refusals(broker.end(first.request_id, "ok", 1, holder))


def test_one_that_is_moot_there_as_well_is_refused_at_once() -> None:
    broker = BrokerUnderTest(NODES)
    holder = place(broker).node_id
    (first,) = sends(broker.ask(shard=SHARD[other(holder)], key="k"))
    broker.end(first.request_id, "not_sent", node=first.node_id)
    done = broker.end(first.request_id, "not_sent", 1, holder)
    assert refusals(done) and not sends(done)


@pytest.mark.parametrize("key", ["", "another"])
def test_one_whose_object_is_not_known_is_refused_at_once(key: str) -> None:
    broker = BrokerUnderTest(NODES)
    place(broker, "")
    (first,) = sends(broker.ask(shard=0, key=key))
    done = broker.end(first.request_id, "not_sent", node=first.node_id)
    assert refusals(done) and not sends(done)


def test_a_new_object_that_is_moot_is_not_sent_where_an_older_one_of_its_key_lies() -> None:
    broker = BrokerUnderTest(NODES)
    place(broker)
    (first,) = sends(broker.ask(1, shard=-1, key="k"))
    done = broker.end(first.request_id, "not_sent", node=first.node_id)
    assert refusals(done) and not sends(done)


def test_moot_where_the_object_lies_is_refused_at_once() -> None:
    broker = BrokerUnderTest(NODES)
    holder = place(broker).node_id
    (first,) = sends(broker.ask(shard=SHARD[holder], key="k"))
    done = broker.end(first.request_id, "not_sent", node=holder)
    assert refusals(done) and not sends(done)


def test_a_write_that_may_have_run_elsewhere_first_tells_no_place() -> None:
    broker = BrokerUnderTest(NODES)
    (first,) = sends(broker.ask(0, shard=-1, key="k"))
    actions = broker.end(first.request_id, "reset", node=first.node_id)
    while not (again := sends(actions)):
        actions = broker.idle(50_000)
    broker.end(first.request_id, "ok", 1, again[0].node_id)
    known = broker.scheduler.placements.by_key.get("k", (None, 0))[0]
    assert known == (SHARD[first.node_id] if again[0].node_id == first.node_id else None)


def test_what_is_moot_is_no_pressure() -> None:
    broker = BrokerUnderTest(NODES)
    for _ in range(50):
        (sent,) = sends(broker.ask(shard=0))
        broker.end(sent.request_id, "not_sent", node=sent.node_id, after_us=1_000)
    assert (
        broker.scheduler.endpoints.shards[0].local_latency_ratio < 0.05
        and not broker.scheduler.endpoints.shards[0].is_limited
    )


def test_places_of_new_objects_are_bounded_and_the_newest_stay() -> None:
    placements = Placements()
    for number in range(MAX_PLACEMENT_COUNT + 10):
        placements.put(f"{number}", 0, number)
    placements.put("10", 1, MAX_PLACEMENT_COUNT + 10)
    placements.put("one more", 1, MAX_PLACEMENT_COUNT + 11)
    rows = placements.by_key
    assert len(rows) == MAX_PLACEMENT_COUNT and "9" not in rows and rows["10"].shard == 1 and "11" not in rows
    placements.forget(MAX_PLACEMENT_COUNT + 10)
    assert list(rows) == ["one more"]


def test_places_are_forgotten_with_time() -> None:
    broker = BrokerUnderTest(NODES)
    place(broker)
    broker.idle(IDLE_STATE_RETENTION_US // 2, 500_000)
    assert broker.scheduler.placements.by_key
    broker.idle(IDLE_STATE_RETENTION_US, 500_000)
    assert not broker.scheduler.placements.by_key
