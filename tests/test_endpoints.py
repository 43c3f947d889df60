"""Endpoint lists: draining, removed and replaced nodes, and empty lists."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from harriertide.decide import api
from harriertide.decide.derived import PREFERRED_SHARD_COUNT
from harriertide.decide.state import PRIORITY_BAND_COUNT
from tests.fleet_simulation import (
    LARGE_BROKER_COUNT,
    LARGE_FLEET,
    LARGE_NODE_LIST,
    FleetSimulation,
    start_fleet,
)
from tests.helpers import (
    START_US,
    BrokerUnderTest,
    rejections,
    report_datagram,
    started_attempts,
)


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_nothing_goes_to_a_draining_or_removed_node(state: str) -> None:
    broker = BrokerUnderTest()
    broker.handle(api.EndpointUpdate("delta", (api.NodeEntry("n0", 0, state),)))  # type: ignore[arg-type]
    actions = broker.request()
    assert not started_attempts(actions) and len(rejections(actions)) == 1


def test_a_node_missing_from_a_complete_list_counts_as_removed() -> None:
    broker = BrokerUnderTest()
    broker.handle(api.EndpointUpdate("full", (api.NodeEntry("n1", 1),)))
    assert not started_attempts(broker.request())


def test_queued_requests_are_answered_when_their_node_is_removed() -> None:
    """Requests queued for a removed node are answered immediately and do not wait for their deadline."""
    broker = BrokerUnderTest()
    for _ in range(6):
        broker.request()
    actions = broker.handle(api.EndpointUpdate("delta", (api.NodeEntry("n0", 0, "gone"),)))
    assert rejections(actions) and not started_attempts(actions)


@pytest.mark.parametrize(
    ("brokers", "nodes", "rate", "shards_per_broker"), [(40, 60, 10.0, 60), (200, 200, 5.0, 4)]
)
def test_nothing_goes_to_replaced_nodes_and_all_new_ones_are_used(
    brokers: int, nodes: int, rate: float, shards_per_broker: int
) -> None:
    """Six in ten nodes are replaced within 7 s: listed as draining, then removed, with a new node of the
    same shard.

    shards_per_broker: number of shards that a broker's requests name; a third of the requests place new
    objects.
    """
    simulation = FleetSimulation(replace(LARGE_FLEET, broker_count=brokers, shard_count=nodes))
    for number in range(brokers):
        simulation.shards_by_broker[number] = [(number + i) % nodes for i in range(shards_per_broker)] + [
            -1
        ] * (shards_per_broker // 2)
    simulation.run(1_000_000, rate, [])
    drained_at_us: dict[str, int] = {}
    wave_size = nodes // 10
    for wave in range(6):
        shards = range(wave * wave_size, wave * wave_size + wave_size)
        simulation.publish_endpoints(*(api.NodeEntry(f"n{shard:02}", shard, "draining") for shard in shards))
        drained_at_us |= {f"n{shard:02}": simulation.now_us for shard in shards}
        simulation.run(600_000, rate, [])
        simulation.publish_endpoints(
            *(api.NodeEntry(f"m{shard:02}", shard, "live", 0, simulation.now_us) for shard in shards)
        )
        simulation.publish_endpoints(*(api.NodeEntry(f"n{shard:02}", shard, "gone") for shard in shards))
        simulation.run(600_000, rate, [])
    late_sends = [
        (at_us, node)
        for at_us, _, node, _ in simulation.attempts
        if node in drained_at_us and at_us > drained_at_us[node] + 20_000
    ]
    assert not late_sends
    simulation.run(2_000_000, rate, [])
    used_new_nodes = {node for _, _, node, _ in simulation.attempts if node.startswith("m")}
    assert len(used_new_nodes) >= 0.95 * 6 * wave_size
    nodes_by_broker = Counter(
        broker for broker, _ in {(broker, node) for _, broker, node, _ in simulation.attempts}
    )
    # bounds the connections that a broker has to open
    assert max(nodes_by_broker.values()) <= 2 * (shards_per_broker + PREFERRED_SHARD_COUNT)
    per_second = Counter(
        (node, at_us // 1_000_000) for at_us, _, node, _ in simulation.attempts if node.startswith("m")
    )
    # the slow-start budget begins at 24 units, a request has 2 units, and the budget grows
    assert max(per_second.values()) <= 12


def test_empty_lists_and_datagrams_of_unknown_brokers_are_tolerated_under_load() -> None:
    """Discovery publishes an empty list under load, and datagrams arrive from brokers that do not exist.

    Requests are rejected immediately while no node is listed, and are served when the nodes are back.
    """
    broker = start_fleet(LARGE_FLEET)[0]
    now_us = START_US + 10_000
    report = report_datagram(0, [1.0] * PRIORITY_BAND_COUNT, 1.0, 1.0, 1.0, is_overloaded=False)
    invalid_messages = [
        api.PeerMessageReceived(number, report) for number in (-1, LARGE_BROKER_COUNT, 10_000)
    ]
    broker.decide(
        now_us, [api.EndpointUpdate("full"), *invalid_messages, *[api.EndpointUpdate("failed")] * 50]
    )
    arrivals: list[api.Event] = [
        api.Arrival(f"r{i}", 0, 0, "v", i % 3 - 1, now_us + 2_000_000, 2.0) for i in range(300)
    ]
    assert len(rejections(broker.decide(now_us + 1_000, arrivals))) == 300 and not broker.responses.requests
    broker.decide(now_us + 2_000, [replace(LARGE_NODE_LIST, kind="full")])
    late_arrival = api.Arrival("r", 0, 0, "v", 0, now_us + 2_000_000, 2.0)
    assert len(started_attempts(broker.decide(now_us + 3_000, [late_arrival]))) == 1
