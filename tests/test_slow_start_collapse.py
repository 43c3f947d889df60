"""Slow start against the real capacity of a warming node: all brokers together do not make the node collapse.

The node serves requests in order of arrival on its cores and gets faster evenly; the brokers do not know its
speed.
"""

from __future__ import annotations

from dataclasses import replace
from math import sqrt
from random import Random
from typing import Any

import pytest

from harriertide.decide import api, warming
from harriertide.decide.scheduler import Scheduler
from tests.fleet_simulation import (
    FleetSimulation,
)
from tests.helpers import (
    READ,
    SECOND_US,
    SETTINGS,
    START_US,
)

CORE_COUNT, UNIT_US, INITIAL_SPEED_RATIO, WARM_UP_US = 2, 22_000, 0.25, 9 * SECOND_US
WARMING_SETTINGS = replace(
    SETTINGS,
    classes=(READ,),
    plans=(api.Plan(reserved_rate=50.0),),
    shard_count=3,
    slow_start_units=20,
    slow_start_initial_ratio=0.21,
    slow_start_us=18 * SECOND_US,
    collapse_window_us=SECOND_US,
    collapse_load_ratio=2.5,
    max_attempts=4,
)


class WarmingNode:
    """A node that starts at a part of its cores' full speed and warms up evenly; work is in seconds of one
    core.

    The node serves requests in order of arrival, each on one core. heaviest_window() shows whether it
    collapses.
    """

    def __init__(self, cores: int, speed: float, started_us: int, seed: int) -> None:
        self.core_free_at_us, self.speed, self.started_us = [started_us] * cores, speed, started_us
        self.random = Random(seed)
        self.sent: list[tuple[int, float]] = []

    def work_rate(self, at_us: int) -> float:
        """Return the work a second that the node can do at that time."""
        warm = min(1.0, (at_us - self.started_us) / SETTINGS.slow_start_us)
        return (
            len(self.core_free_at_us)
            * self.speed
            * (SETTINGS.slow_start_initial_ratio + (1 - SETTINGS.slow_start_initial_ratio) * warm)
        )

    def serve(self, now_us: int, units: float) -> int:
        """Serve a request and return the answer time. Work varies; a third are cache hits that cost half."""
        cost_factor = 0.5 if self.random.random() < 0.33 else 1.0
        work = units * 0.012 * self.random.lognormvariate(0, 0.4) * cost_factor
        self.sent.append((now_us, work))
        core = min(range(len(self.core_free_at_us)), key=lambda i: self.core_free_at_us[i])
        begin_us = max(now_us, self.core_free_at_us[core])
        self.core_free_at_us[core] = begin_us + int(
            work / (self.work_rate(begin_us) / len(self.core_free_at_us)) * SECOND_US
        )
        return self.core_free_at_us[core]

    def heaviest_window(self) -> float:
        """Return the largest ratio of the work sent in a window to the capacity at the window's start."""
        largest_ratio, first, work = 0.0, 0, 0.0
        for at_us, more_work in self.sent:
            work += more_work
            while self.sent[first][0] <= at_us - SETTINGS.collapse_window_us:
                work -= self.sent[first][1]
                first += 1
            largest_ratio = max(
                largest_ratio,
                work / (self.work_rate(self.sent[first][0]) * SETTINGS.collapse_window_us / SECOND_US),
            )
        return largest_ratio


def run_warming_node(cores: int, brokers: int, loss_ratio: float) -> tuple[float, float]:
    """All brokers send requests for a node without pause while it warms up; messages are delayed, lost and
    duplicated.

    :returns: the units that the node was sent, and its heaviest window
    """
    random = Random(cores)
    settings = replace(SETTINGS, broker_count=brokers, slow_start_units=6.0, collapse_load_ratio=2.5)
    start = START_US + 3_000_000
    fleet = [Scheduler(replace(settings, broker_index=i), i) for i in range(brokers)]
    for scheduler in fleet:
        scheduler.decide(START_US, [api.EndpointUpdate("cached", (api.NodeEntry("n0", 0),))])
    node = WarmingNode(cores, 1.0, start, cores)
    deliveries: list[list[tuple[int, int, api.Event]]] = [[] for _ in fleet]
    request_count, now, units = 0, start, 0.0
    while now < start + SETTINGS.slow_start_us:
        for i, scheduler in enumerate(fleet):
            events = [event for _, _, event in sorted(e for e in deliveries[i] if e[0] <= now)]
            deliveries[i] = [e for e in deliveries[i] if e[0] > now]
            if now == start:
                restarted_list = api.NodeEntry("n0", 0, "live", 0, start)
                events.append(api.EndpointUpdate("delta", (restarted_list,)))
            if random.random() < min(0.5, 4 / brokers):
                request_count += 1
                size = random.choice([1.0, 1.0, 2.0, 3.0])
                events.append(
                    api.Arrival(f"q{request_count}", 0, 0, f"v{request_count % 7}", 0, now + 2_000_000, size)
                )
            for action in scheduler.decide(now, events):
                request_count += 1
                if isinstance(action, api.SendPeerMessage):
                    for _ in range((random.random() > loss_ratio) + (random.random() < 0.05)):
                        at_us = now + random.randrange(1_400, 35_000)
                        deliveries[action.recipient_index].append(
                            (at_us, request_count, api.PeerMessageReceived(i, action.body))
                        )
                elif isinstance(action, api.StartAttempt):
                    size = scheduler.responses.requests[action.request_id].arrival.units
                    units += size
                    at_us = node.serve(now, size)
                    outcome = api.AttemptFinished(action.request_id, 0, "n0", "ok", at_us - now, True)
                    deliveries[i].append((at_us, request_count, outcome))
        now += 10_000
    return units, node.heaviest_window()


@pytest.mark.parametrize("cores", [1, 2, 8])
@pytest.mark.parametrize(("brokers", "loss_ratio"), [(4, 0.3), (40, 0.1)])
def test_a_warming_node_gets_load_by_its_answers_and_never_collapses(
    cores: int, brokers: int, loss_ratio: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A node of 1, 2 or 8 cores warms up under 4 or 40 brokers that send requests without pause and do not
    know its number of cores.

    The load rises as the node's answers show more capacity, and never so far that the node collapses.
    """
    units, heaviest = run_warming_node(cores, brokers, loss_ratio)
    assert heaviest < 2.5
    monkeypatch.setattr(warming, "SAFE_RATE_WEIGHT_REQUESTS", 1e9)  # answers do not raise the budget
    assert units > (1.0 if cores == 1 else 1.5) * run_warming_node(cores, brokers, loss_ratio)[0]


class WarmingNodeSimulation(FleetSimulation):
    """A fleet whose node n00 starts cold and may restart; datagrams are lost, and brokers may restart without
    their state.
    """

    def __init__(self, settings: api.Settings, seed: int, loss_ratio: float) -> None:
        super().__init__(settings, seed)
        self.core_free_at_us = [0] * CORE_COUNT
        self.started_us = self.now_us
        self.drops_message = lambda sender, receiver: self.random.random() < loss_ratio
        self.unit_choices = (1.0, 1.0, 2.0, 4.0)
        self.known_start_by_broker: dict[int, int] = {}  # the node's last start that each broker knows of
        self.informed_sends: list[tuple[int, float]] = []  # time and units, by brokers that know of the start

    def speed(self, at_us: int) -> float:
        """Return the node's speed as a part of its full speed."""
        return min(
            1.0,
            INITIAL_SPEED_RATIO + (1 - INITIAL_SPEED_RATIO) * max(0, at_us - self.started_us) / WARM_UP_US,
        )

    def start_node(self, spread_us: int) -> None:
        """Start the node now; brokers learn of it at different times within spread_us."""
        self.started_us, self.core_free_at_us = self.now_us, [self.now_us] * CORE_COUNT
        entry = api.NodeEntry("n00", 0, "live", 0, self.now_us)
        for broker_index in self.brokers:
            self.deliveries.append(
                (
                    self.now_us + int(self.random.random() * spread_us),
                    broker_index,
                    api.EndpointUpdate("delta", (entry,)),
                )
            )

    def restart_informed(self, broker_index: int) -> None:
        """Restart a killed broker with the current endpoint list."""
        self.restart(
            broker_index,
            *(api.NodeEntry(f"n0{i}", i, "live", 0, 0 if i else self.started_us) for i in range(3)),
        )

    def perform_action(self, broker_index: int, action: api.Action) -> None:
        if not isinstance(action, api.StartAttempt) or action.node_id != "n00":
            super().perform_action(broker_index, action)
            return
        request = self.brokers[broker_index].responses.requests[action.request_id]
        units = request.arrival.units
        if self.brokers[broker_index].endpoints.nodes["n00"].started_us == self.started_us:
            self.informed_sends.append((self.now_us, units))
        core = self.core_free_at_us.index(min(self.core_free_at_us))
        self.core_free_at_us[core] = max(self.now_us, self.core_free_at_us[core]) + int(
            units * UNIT_US / self.speed(self.now_us)
        )
        latency_us = self.core_free_at_us[core] - self.now_us
        outcome: Any = api.AttemptFinished(
            action.request_id, request.attempt_count - 1, "n00", "ok", latency_us, True
        )
        self.deliveries.append((self.now_us + latency_us, broker_index, outcome))


@pytest.mark.parametrize("brokers", [4, 20, 30, 200])
@pytest.mark.parametrize(
    "case", ["published at once", "published late, a fifth lost", "a third restarts", "starts twice"]
)
def test_informed_brokers_together_do_not_overload_a_warming_node(brokers: int, case: str) -> None:
    """A node starts cold under 4 to 200 brokers: they learn of it at different times, messages are lost,
    brokers restart, or the node starts twice.

    The number N of mean requests that the settings allow in a window is exceeded by informed brokers by at
    most 2 * sqrt(N) + 2, which allows for random variation.
    """
    simulation = WarmingNodeSimulation(
        replace(WARMING_SETTINGS, broker_count=brokers),
        seed=brokers,
        loss_ratio=0.0 if case == "published at once" else 0.2,
    )
    rate = 240 / brokers  # requests a second at each broker: several times the node's capacity
    simulation.run(SECOND_US, rate, [0, 0, 1])
    simulation.start_node(0 if case == "published at once" else 3 * SECOND_US)
    first_start_us = simulation.started_us
    simulation.run(2 * SECOND_US, rate, [0, 0, 1])
    if case == "a third restarts":  # both coordinators of the node's budget restart too
        restarting = sorted({*simulation.brokers[0].context.derived.coordinators(0), *range(0, brokers, 3)})
        for broker_index in restarting:
            del simulation.brokers[broker_index]
        simulation.run(300_000, rate, [0, 0, 1])
        for broker_index in restarting:
            simulation.restart_informed(broker_index)
    if case == "starts twice":
        simulation.run(SECOND_US // 2, rate, [0, 0, 1])
        simulation.start_node(2 * SECOND_US)
        first_start_us = simulation.started_us
        simulation.informed_sends.clear()
    simulation.run(8 * SECOND_US, rate, [0, 0, 1])
    mean = WARMING_SETTINGS.mean_request_units
    # mean requests in a window at full speed
    full_speed_requests = CORE_COUNT / UNIT_US * WARMING_SETTINGS.collapse_window_us / mean
    # the node is used
    assert (
        sum(units for at_us, units in simulation.informed_sends if at_us > first_start_us + 3 * SECOND_US)
        > WARMING_SETTINGS.slow_start_units
    )
    for at_us, _ in simulation.informed_sends:
        window = (
            sum(
                units
                for sent_at_us, units in simulation.informed_sends
                if at_us - WARMING_SETTINGS.collapse_window_us < sent_at_us <= at_us
            )
            / mean
        )
        limit = (
            WARMING_SETTINGS.collapse_load_ratio
            * full_speed_requests
            * simulation.speed(max(first_start_us, at_us - WARMING_SETTINGS.collapse_window_us))
        )
        assert window <= limit + 2 * sqrt(limit) + 2
