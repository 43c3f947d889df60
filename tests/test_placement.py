"""Placement: the node that takes a new object, and the node that a later read is sent to."""

from __future__ import annotations

from collections import Counter

import pytest

from harriertide.decide import api
from harriertide.decide.derived import IDLE_STATE_RETENTION_US, PREFERRED_SHARD_COUNT
from harriertide.decide.placement import MAX_PLACEMENT_RECORD_COUNT, PlacementHistory
from tests.fleet_simulation import (
    HUNDREDS_FLEET,
    HUNDREDS_FLEETS,
    HUNDREDS_SHARD_COUNT,
    LARGE_BROKER_COUNT,
    LARGE_FLEET,
    FleetSimulation,
    start_fleet,
)
from tests.helpers import (
    SECOND_US,
    START_US,
    TWO_NODES,
    BrokerUnderTest,
    rejections,
    started_attempts,
)

SHARD_OF_NODE = {"n0": 0, "n1": 1}


def test_new_objects_spread_over_live_nodes() -> None:
    broker = BrokerUnderTest((api.NodeEntry("n0", 0), api.NodeEntry("n1", 1), api.NodeEntry("n2", 2)))
    broker.handle(api.EndpointUpdate("delta", (api.NodeEntry("n2", 2, "draining"),)))
    nodes = [s.node_id for _ in range(4) for s in started_attempts(broker.request(shard=-1))]
    assert set(nodes) == {"n0", "n1"}


def write_new_object(broker: BrokerUnderTest, key: str = "k", kind: str = "ok") -> api.StartAttempt:
    """Write a new object, and return the attempt."""
    (attempt,) = started_attempts(broker.request(1, shard=-1, key=key))
    broker.finish_attempt(attempt.request_id, kind, node=attempt.node_id)
    return attempt


def other_node(node: str) -> str:
    return "n1" if node == "n0" else "n0"


def test_a_read_that_its_node_drops_unsent_goes_to_the_shard_that_took_its_object() -> None:
    """A read of a new object names another shard than the one that took the object; the node drops the read.

    The broker that placed the object remembers its shard and sends the read there.
    """
    broker = BrokerUnderTest(TWO_NODES)
    holder = write_new_object(broker).node_id
    (first,) = started_attempts(broker.request(shard=SHARD_OF_NODE[other_node(holder)], key="k"))
    assert first.node_id == other_node(holder)  # the shard that the client named
    (second,) = started_attempts(broker.finish_attempt(first.request_id, "not_sent", node=first.node_id))
    assert (second.request_id, second.node_id) == (first.request_id, holder)
    assert not rejections(broker.finish_attempt(first.request_id, "ok", 1, holder))


def test_a_redirected_read_that_is_dropped_again_is_rejected_at_once() -> None:
    """The object is neither in the shard that the client names nor in the one that the broker remembers."""
    broker = BrokerUnderTest(TWO_NODES)
    holder = write_new_object(broker).node_id
    (first,) = started_attempts(broker.request(shard=SHARD_OF_NODE[other_node(holder)], key="k"))
    broker.finish_attempt(first.request_id, "not_sent", node=first.node_id)
    actions = broker.finish_attempt(first.request_id, "not_sent", 1, holder)
    assert rejections(actions) and not started_attempts(actions)


@pytest.mark.parametrize("request_class", [1, 2], ids=["keyed", "non-idempotent"])
def test_a_write_that_its_node_drops_unsent_goes_to_no_other_shard(request_class: int) -> None:
    """Guards against a write that takes effect in a shard that its client did not name."""
    broker = BrokerUnderTest(TWO_NODES)
    holder = write_new_object(broker).node_id
    named = SHARD_OF_NODE[other_node(holder)]
    (first,) = started_attempts(broker.request(request_class, shard=named, key="k"))
    actions = broker.finish_attempt(first.request_id, "not_sent", node=first.node_id)
    assert rejections(actions) and not started_attempts(actions)


@pytest.mark.parametrize("key", ["", "another"])
def test_a_dropped_read_of_an_unknown_object_is_rejected_at_once(key: str) -> None:
    broker = BrokerUnderTest(TWO_NODES)
    write_new_object(broker, "")
    (first,) = started_attempts(broker.request(shard=0, key=key))
    actions = broker.finish_attempt(first.request_id, "not_sent", node=first.node_id)
    assert rejections(actions) and not started_attempts(actions)


def test_a_dropped_new_object_is_not_sent_to_the_shard_of_an_older_one_with_its_key() -> None:
    broker = BrokerUnderTest(TWO_NODES)
    write_new_object(broker)
    (first,) = started_attempts(broker.request(1, shard=-1, key="k"))
    actions = broker.finish_attempt(first.request_id, "not_sent", node=first.node_id)
    assert rejections(actions) and not started_attempts(actions)


def test_a_read_dropped_by_the_shard_of_its_object_is_rejected_at_once() -> None:
    broker = BrokerUnderTest(TWO_NODES)
    holder = write_new_object(broker).node_id
    (first,) = started_attempts(broker.request(shard=SHARD_OF_NODE[holder], key="k"))
    actions = broker.finish_attempt(first.request_id, "not_sent", node=holder)
    assert rejections(actions) and not started_attempts(actions)


def test_a_write_that_may_have_run_elsewhere_first_leaves_no_placement() -> None:
    """The first attempt was reset and may have run, and the second went to another node: the object may be at
    either node.
    """
    broker = BrokerUnderTest(TWO_NODES)
    (first,) = started_attempts(broker.request(0, shard=-1, key="k"))
    actions = broker.finish_attempt(first.request_id, "reset", node=first.node_id)
    while not (retries := started_attempts(actions)):
        actions = broker.advance(50_000)
    broker.finish_attempt(first.request_id, "ok", 1, retries[0].node_id)
    remembered_shard = broker.scheduler.placements.by_key.get("k", (None, 0))[0]
    assert remembered_shard == (SHARD_OF_NODE[first.node_id] if retries[0].node_id == first.node_id else None)


def test_placements_are_bounded_and_the_newest_stay() -> None:
    """The number of remembered placements is bounded; the oldest is forgotten first."""
    placements = PlacementHistory()
    for number in range(MAX_PLACEMENT_RECORD_COUNT + 10):
        placements.put(f"{number}", 0, number)
    placements.put("10", 1, MAX_PLACEMENT_RECORD_COUNT + 10)
    placements.put("one more", 1, MAX_PLACEMENT_RECORD_COUNT + 11)
    placements_by_key = placements.by_key
    assert (
        len(placements_by_key) == MAX_PLACEMENT_RECORD_COUNT
        and "9" not in placements_by_key
        and placements_by_key["10"].shard == 1
        and "11" not in placements_by_key
    )
    placements.forget(MAX_PLACEMENT_RECORD_COUNT + 10)
    assert list(placements_by_key) == ["one more"]


def test_placements_expire() -> None:
    broker = BrokerUnderTest(TWO_NODES)
    write_new_object(broker)
    broker.advance(IDLE_STATE_RETENTION_US // 2, 500_000)
    assert broker.scheduler.placements.by_key
    broker.advance(IDLE_STATE_RETENTION_US, 500_000)
    assert not broker.scheduler.placements.by_key


def test_new_objects_of_many_brokers_spread_over_nodes() -> None:
    """Many brokers place new objects on equal nodes before they have exchanged any message.

    Guards against a preference for the first nodes of the list.
    """
    objects_by_node: Counter[str] = Counter()
    for number, broker in enumerate(start_fleet(LARGE_FLEET)):
        events: list[api.Event] = [
            api.Arrival(f"{number}.{i}", 0, 0, "v", -1, START_US + 2_000_000, 2.0) for i in range(3)
        ]
        objects_by_node.update(
            attempt.node_id for attempt in started_attempts(broker.decide(START_US + 1_000, events))
        )
    assert objects_by_node.total() == 3 * LARGE_BROKER_COUNT
    # with a preference for the first nodes, each of the first three had 40 objects
    assert max(objects_by_node.values()) <= 8 and len(objects_by_node) >= 45


def test_a_new_object_whose_node_is_unreachable_goes_to_another_at_once() -> None:
    """Right after a restart the cached endpoint list may be outdated and name removed nodes."""
    broker = start_fleet(LARGE_FLEET)[0]
    arrival = api.Arrival("r", 0, 0, "v", -1, START_US + 2_000_000, 2.0)
    first_node_id = started_attempts(broker.decide(START_US + 1_000, [arrival]))[0].node_id
    retries = started_attempts(
        broker.decide(START_US + 2_000, [api.AttemptFinished("r", 0, first_node_id, "connect_failed", 1_000)])
    )
    assert [attempt.node_id == first_node_id for attempt in retries] == [False]
    for i in range(60):  # later objects do not go to the unreachable node
        at_us = START_US + 3_000 + i
        new_attempts = started_attempts(
            broker.decide(at_us, [api.Arrival(f"s{i}", 0, 0, "v", -1, at_us + 2_000_000, 2.0)])
        )
        assert first_node_id not in {attempt.node_id for attempt in new_attempts}


@pytest.mark.parametrize("fleet_name", HUNDREDS_FLEETS)
def test_new_objects_of_a_broker_go_to_a_few_shards_and_those_of_all_brokers_to_all_evenly(
    fleet_name: str,
) -> None:
    """Guards against a choice among all nodes for each object, which costs a new connection per object."""
    simulation = FleetSimulation(HUNDREDS_FLEETS[fleet_name])
    simulation.run(4 * SECOND_US, 10.0, [-1])
    node_count_by_broker = Counter(
        broker for broker, _ in {(broker, node) for _, broker, node, _ in simulation.attempts}
    )
    attempts_by_node = Counter(node for _, _, node, _ in simulation.attempts)
    assert (
        max(node_count_by_broker.values()) <= PREFERRED_SHARD_COUNT
        and len(attempts_by_node) == HUNDREDS_SHARD_COUNT
    )
    assert max(attempts_by_node.values()) <= 2 * attempts_by_node.total() / HUNDREDS_SHARD_COUNT


def test_a_broker_whose_preferred_nodes_are_gone_places_new_objects_at_other_nodes() -> None:
    """All preferred nodes of a broker are removed from the endpoint list."""
    simulation = FleetSimulation(HUNDREDS_FLEET)
    simulation.brokers = {7: simulation.brokers[7]}
    simulation.publish_endpoints(
        *(
            api.NodeEntry(f"n{shard:02}", shard, "gone")
            for shard in simulation.brokers[7].context.derived.preferred_shards
        )
    )
    simulation.run(4 * SECOND_US, 10.0, [-1])
    assert len({node for _, _, node, _ in simulation.attempts}) > PREFERRED_SHARD_COUNT
    assert not simulation.unreachable_nodes & {node for _, _, node, _ in simulation.attempts}
