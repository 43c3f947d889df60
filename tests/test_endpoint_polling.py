"""Polling of the endpoint list: start, backoff, and the spread of the polls of hundreds of brokers."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from harriertide.decide import api
from harriertide.decide.derived import POLL_FIRST_WAIT_US
from harriertide.decide.scheduler import Scheduler
from harriertide.platform import endpoint_watch
from tests.fleet_simulation import (
    HUNDREDS_BROKER_COUNT,
    HUNDREDS_FLEET,
    LARGE_BROKER_COUNT,
    LARGE_FLEET,
    LARGE_NODE_LIST,
    FleetSimulation,
)
from tests.helpers import (
    SECOND_US,
    START_US,
    BrokerUnderTest,
)

POLL_INTERVAL_US = 8 * SECOND_US
# Maximum time between two polls: one may last as long as both timeouts before it fails, and the next one is
# answered within a second.
LONGEST_POLL_GAP_US = int(
    (
        endpoint_watch.NOTIFICATION_DEADLINE_S
        - endpoint_watch.CONNECT_TIMEOUT_S
        - endpoint_watch.HEAD_TIMEOUT_S
        - 1.0
    )
    * SECOND_US
)
POLLING_FLEET = replace(HUNDREDS_FLEET, polls_endpoint_list=True, poll_interval_us=POLL_INTERVAL_US)


def test_polling_begins_at_start_and_repeats_after_failures_with_backoff() -> None:
    broker = BrokerUnderTest(polls_endpoint_list=True)
    assert any(isinstance(a, api.WatchEndpoints) for a in broker.first_actions + broker.advance(100_000))
    gaps_us = []
    for _ in range(3):
        broker.handle(api.EndpointUpdate("failed"))
        failed_at_us = broker.now_us
        while not any(isinstance(a, api.WatchEndpoints) for a in broker.advance(50_000)):
            pass
        gaps_us.append(broker.now_us - failed_at_us)
    assert gaps_us[0] < gaps_us[1] < gaps_us[2]


def test_brokers_that_start_together_poll_the_endpoint_list_one_after_another() -> None:
    """Forty brokers start together; discovery handles calls one by one and fails those that wait too long."""
    brokers = [
        Scheduler(replace(LARGE_FLEET, broker_index=i, polls_endpoint_list=True), i)
        for i in range(LARGE_BROKER_COUNT)
    ]
    polls_by_ms: Counter[int] = Counter()
    for time_ms in range(0, 60_000, 10):
        for broker in brokers:
            events: list[api.Event] = [] if time_ms else [LARGE_NODE_LIST]
            actions = broker.decide(START_US + time_ms * 1_000, events)
            if any(isinstance(action, api.WatchEndpoints) for action in actions):
                polls_by_ms[time_ms] += 1
                broker.decide(START_US + time_ms * 1_000, [api.EndpointUpdate("failed")])
    polls_by_second = [
        sum(polls_by_ms[time_ms] for time_ms in range(second * 1_000, second * 1_000 + 1_000, 10))
        for second in range(60)
    ]
    assert max(polls_by_ms.values()) <= 5
    # Every broker then waits 1 to 2 s, the maximum; a change counts as published 6 s after discovery is back.
    assert (
        max(polls_by_second[15:]) <= LARGE_BROKER_COUNT
        and sum(polls_by_second[15:]) > 45 * LARGE_BROKER_COUNT / 2
    )


def poll_gaps(simulation: FleetSimulation) -> list[int]:
    """Times between the polls of each broker, from its start to the current time."""
    poll_times_by_broker = [
        [START_US, *poll_times, simulation.now_us] for poll_times in simulation.poll_times.values()
    ]
    return [
        later_us - earlier_us
        for times_of_broker in poll_times_by_broker
        for earlier_us, later_us in zip(times_of_broker, times_of_broker[1:], strict=False)
    ]


def test_polls_stay_apart_and_none_waits_longer_than_the_settings_allow() -> None:
    """Discovery fails every call for two minutes; a change counts as published 6 s after discovery is back.

    200 brokers that wait 2 s at most poll at least 100 times a second in total. The spread of their polls
    ensures that no second has more than twice the mean.
    """
    simulation = FleetSimulation(POLLING_FLEET)
    simulation.discovery_is_down = True
    simulation.run(120 * SECOND_US, 0.0, [], step_us=50_000)
    assert (
        len(simulation.poll_times) == HUNDREDS_BROKER_COUNT
        and max(times[0] for times in simulation.poll_times.values()) <= START_US + 2 * SECOND_US
    )
    assert max(poll_gaps(simulation)) <= LONGEST_POLL_GAP_US + 100_000  # two steps of the simulation
    polls_by_second = Counter(
        (at_us - START_US) // SECOND_US for times in simulation.poll_times.values() for at_us in times
    )
    polls_per_second = HUNDREDS_BROKER_COUNT * SECOND_US / LONGEST_POLL_GAP_US
    assert max(polls_by_second.values()) <= 2 * polls_per_second
    assert max(count for second, count in polls_by_second.items() if second > 40) <= 1.6 * polls_per_second


def test_a_poll_interval_of_zero_causes_no_busy_loop() -> None:
    """The poll interval of the settings is 0, and discovery is down."""
    simulation = FleetSimulation(replace(POLLING_FLEET, broker_count=4, poll_interval_us=0))
    simulation.discovery_is_down = True
    simulation.deliveries = [
        (START_US, number, api.EndpointUpdate("failed")) for number in simulation.brokers
    ]
    simulation.run(10 * SECOND_US, 0.0, [])
    # the mean wait is 0.75 of the backoff
    assert (
        10 < max(map(len, simulation.poll_times.values())) <= 2 * 10 * SECOND_US / (0.75 * POLL_FIRST_WAIT_US)
    )


def test_a_drain_during_a_discovery_outage_stops_all_sends_with_the_first_list() -> None:
    """Discovery is down for 100 s while a node drains and rejects every request.

    A broker cannot know of the drain meanwhile, but has to poll often enough to learn of it in time.
    """
    simulation = FleetSimulation(POLLING_FLEET)
    simulation.brokers = {number: simulation.brokers[number] for number in range(12)}
    simulation.discovery_is_down, simulation.node_answer = True, ("rejected", 1_000)
    simulation.run(100 * SECOND_US, 2.0, [0], step_us=50_000)
    assert max(poll_gaps(simulation)) <= LONGEST_POLL_GAP_US + 100_000 and len(simulation.attempts) > 100
    simulation.publish_endpoints(api.NodeEntry("n00", 0, "draining"))
    simulation.run(100_000, 0.0, [])
    attempts_before = len(simulation.attempts)
    simulation.run(3 * SECOND_US, 2.0, [0])
    assert len(simulation.attempts) == attempts_before and not any(
        broker.responses.requests for broker in simulation.brokers.values()
    )
