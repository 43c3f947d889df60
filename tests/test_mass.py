"""Two hundred brokers that do the same thing at once: what each may do alone adds up. The module alone."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from math import ceil

import pytest

from harriertide.decide import api, warming
from harriertide.decide.derived import POLL_FIRST_WAIT_US, PREFERRED_SHARD_COUNT
from harriertide.decide.health import PROBING_BROKER_COUNT, TRIAL_INTERVAL_US
from harriertide.lab.simulation.random_workloads import OTHER_SETTINGS
from harriertide.platform import endpoint_watch
from tests.helpers import SETTINGS, START_US
from tests.plant import Plant

HEADS, SHARDS, SECOND = 200, 119, 1_000_000
WITHIN_US = 8 * SECOND
# between two calls: one may last CONNECT_S and HEAD_S before it fails, the next is answered within a second
LONGEST_US = int(
    (
        endpoint_watch.NOTIFICATION_DEADLINE_S
        - endpoint_watch.CONNECT_TIMEOUT_S
        - endpoint_watch.HEAD_TIMEOUT_S
        - 1.0
    )
    * SECOND
)
MASS = replace(SETTINGS, broker_count=HEADS, shard_count=SHARDS)
SHAPES = {
    "first": MASS,
    "other": replace(OTHER_SETTINGS, broker_count=HEADS, shard_count=SHARDS, peer_messages_allowed=True),
}
ASKING = replace(MASS, polls_endpoint_list=True, poll_interval_us=WITHIN_US)


def gaps(plant: Plant) -> list[int]:
    """Times between the calls of each broker, from its start on."""
    times = [[START_US, *calls, plant.now] for calls in plant.calls.values()]
    return [late - soon for each in times for soon, late in zip(each, each[1:], strict=False)]


def test_calls_for_the_list_stay_apart_and_none_waits_longer_than_the_settings_allow() -> None:
    """Discovery turns every call away for two minutes, and a change counts as told 6 s after it is back.

    Two hundred brokers that may wait two seconds at most call a hundred times a second or more, wherever they
    begin; that no second has twice as many is what the spread is for.
    """
    plant = Plant(ASKING)
    plant.dark = True
    plant.run(120 * SECOND, 0.0, [], step_us=50_000)
    assert len(plant.calls) == HEADS and max(c[0] for c in plant.calls.values()) <= START_US + 2 * SECOND
    assert max(gaps(plant)) <= LONGEST_US + 100_000  # two steps of the play
    by_second = Counter((at - START_US) // SECOND for calls in plant.calls.values() for at in calls)
    most = HEADS * SECOND / LONGEST_US
    assert max(by_second.values()) <= 2 * most
    assert max(n for s, n in by_second.items() if s > 40) <= 1.6 * most


def test_settings_that_allow_no_time_at_all_make_no_busy_loop_of_calls() -> None:
    plant = Plant(replace(ASKING, broker_count=4, poll_interval_us=0))
    plant.dark = True
    plant.post = [(START_US, number, api.EndpointUpdate("failed")) for number in plant.brokers]
    plant.run(10 * SECOND, 0.0, [])
    assert (
        10 < max(map(len, plant.calls.values())) <= 2 * 10 * SECOND / (0.75 * POLL_FIRST_WAIT_US)
    )  # in the mean


def test_a_drain_that_discovery_cannot_tell_stops_all_sends_with_the_first_list_that_comes() -> None:
    """Discovery turns all away for 100 s while a node drains and turns each request away itself.

    What a broker sends meanwhile it cannot know to be wrong; that it asks as often as it must is its part.
    """
    plant = Plant(ASKING)
    plant.brokers = {number: plant.brokers[number] for number in range(12)}
    plant.dark, plant.answer = True, ("rejected", 1_000)
    plant.run(100 * SECOND, 2.0, [0], step_us=50_000)
    assert max(gaps(plant)) <= LONGEST_US + 100_000 and len(plant.sent) > 100
    plant.tell_list(api.NodeEntry("n00", 0, "draining"))
    plant.run(100_000, 0.0, [])
    before = len(plant.sent)
    plant.run(3 * SECOND, 2.0, [0])
    assert len(plant.sent) == before and not any(
        broker.responses.requests for broker in plant.brokers.values()
    )


@pytest.mark.parametrize("shape", SHAPES)
def test_new_objects_of_a_head_go_to_a_few_shards_and_those_of_all_heads_to_all_alike(shape: str) -> None:
    """A node drawn anew for each object has no connection of this broker: each costs it a handshake."""
    plant = Plant(SHAPES[shape])
    plant.run(4 * SECOND, 10.0, [-1])
    met = Counter(broker for broker, _ in {(broker, node) for _, broker, node, _ in plant.sent})
    by_node = Counter(node for _, _, node, _ in plant.sent)
    assert max(met.values()) <= PREFERRED_SHARD_COUNT and len(by_node) == SHARDS
    assert max(by_node.values()) <= 2 * by_node.total() / SHARDS


def test_a_head_whose_near_nodes_are_gone_places_new_objects_at_the_others() -> None:
    plant = Plant(MASS)
    plant.brokers = {7: plant.brokers[7]}
    plant.tell_list(
        *(
            api.NodeEntry(f"n{shard:02}", shard, "gone")
            for shard in plant.brokers[7].context.derived.preferred_shards
        )
    )
    plant.run(4 * SECOND, 10.0, [-1])
    assert len({node for _, _, node, _ in plant.sent}) > PREFERRED_SHARD_COUNT
    assert not plant.gone & {node for _, _, node, _ in plant.sent}


@pytest.mark.parametrize("case", ["seven in ten die with both keepers", "keeper and standby are cut off"])
@pytest.mark.parametrize("slow_start_units", [5.0, 24.0])  # one keeper holds all of 5 units; two hold 24
@pytest.mark.parametrize("shape", SHAPES)
def test_units_sent_to_a_cold_node_by_all_heads_stay_within_what_it_bears(
    case: str, slow_start_units: float, shape: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Brokers that come back without memory of what they gave, or keepers that don't hear of each other.

    Where nothing that the node answers proves more, as in the window after each loss of memory.
    """
    monkeypatch.setattr(warming, "SAFE_RATE_WEIGHT_REQUESTS", 1e9)
    cold = {
        name: getattr(SETTINGS, name)
        for name in ("slow_start_us", "slow_start_initial_ratio", "collapse_window_us")
    }
    plant = Plant(replace(SHAPES[shape], slow_start_units=slow_start_units, **cold))
    keepers = plant.brokers[0].context.derived.coordinators(0)
    users = {*plant.random.sample(range(HEADS), 40), *keepers}
    plant.brokers = {number: plant.brokers[number] for number in sorted(users)}
    plant.units = (1.0, 2.0, 3.0, 4.0)
    start = plant.now + SECOND
    fresh = api.NodeEntry("n00", 0, "live", 0, start)
    plant.run(SECOND, 0.0, [])
    plant.tell_list(fresh)
    plant.run(SECOND, 15.0, [0])
    if case.startswith("seven"):
        dead = [*keepers, *(n for n in plant.brokers if n not in keepers)][:29]
        for number in dead:
            del plant.brokers[number]
        plant.run(200_000, 15.0, [0])  # they are back within the window of what the keepers gave
        for number in dead:
            plant.restart(number, fresh)
    else:
        side = {number: number % 2 for number in plant.brokers} | {keepers[0]: 0, keepers[1]: 1}
        plant.cut = lambda sender, receiver: side.get(sender) != side.get(receiver)
    plant.run(4 * SECOND, 15.0, [0])
    sent = [(each.when, each.units) for each in plant.sent if each.when >= start]
    assert (
        sum(units for at, units in sent if at > start + 3 * SECOND) > slow_start_units
    )  # it is used all the same
    for at, _ in sent:
        grown = 1 + max(0, at - SETTINGS.collapse_window_us - start) / SETTINGS.slow_start_us * (
            1 / SETTINGS.slow_start_initial_ratio - 1
        )
        window = sum(units for t, units in sent if at - SETTINGS.collapse_window_us < t <= at)
        assert window <= slow_start_units * grown + 1e-6


def test_probes_of_a_silent_node_by_all_heads_are_bounded_and_end_with_it() -> None:
    """At most one from each broker in TRIAL_US for every TRIAL_HEADS brokers; none of a node that answers."""
    plant = Plant(replace(SHAPES["other"], broker_count=40))
    plant.gone, probes = {"n00"}, []
    plant.probed = lambda when, node: probes.append((when, node))
    plant.run(20 * SECOND, 10.0, [0, 1])
    most = 40 / ceil(40 / PROBING_BROKER_COUNT) * SECOND / TRIAL_INTERVAL_US
    assert {node for _, node in probes} == {"n00"} and 40 < len(probes) <= 20 * most
    assert max(Counter(when // SECOND for when, _ in probes).values()) <= 40  # one from each, if all at once
    plant.gone = set()
    plant.run(4 * SECOND, 10.0, [0, 1])
    before = len(probes)
    plant.run(10 * SECOND, 10.0, [0, 1])
    assert len(probes) == before and any(s.node == "n00" and s.when > plant.now - SECOND for s in plant.sent)
