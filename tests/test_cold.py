"""A node that starts cold under all brokers together, against what it can really do. The module alone.

The node takes requests in turn of arrival on its cores, and gets faster evenly; nobody is told how fast.
What brokers that know of the start send in any window stays under what the settings allow it then, N, and
2 root N + 2 for chance.
"""

from __future__ import annotations

from dataclasses import replace
from math import sqrt
from typing import Any

import pytest

from harriertide.decide import api
from tests.helpers import READ, SETTINGS
from tests.plant import Plant

SECOND = 1_000_000
CORES, UNIT_US, COLD_FROM, COLD_US = 2, 22_000, 0.25, 9 * SECOND
COLD = replace(
    SETTINGS,
    classes=(READ,),
    plans=(api.Plan(reserved_rate=50.0),),
    shard_count=3,
    slow_start_units=20,
    slow_start_initial_ratio=0.21,
    slow_start_us=18 * SECOND,
    collapse_window_us=SECOND,
    collapse_load_ratio=2.5,
    max_attempts=4,
)


class ColdPlant(Plant):
    """Whose node n00 starts cold, now and then again; datagrams get lost, brokers lose their memory."""

    def __init__(self, settings: api.Settings, seed: int, lost: float) -> None:
        super().__init__(settings, seed)
        self.cores = [0] * CORES
        self.begun = self.now
        self.cut = lambda sender, receiver: self.random.random() < lost
        self.units = (1.0, 1.0, 2.0, 4.0)
        self.knows: dict[int, int] = {}  # by broker: the start that it was told of last
        self.known: list[tuple[int, float]] = []  # sent by those who knew of the start

    def speed(self, at: int) -> float:
        """Of full speed."""
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * max(0, at - self.begun) / COLD_US)

    def start(self, spread_us: int) -> None:
        """It starts now; brokers learn of that at different times."""
        self.begun, self.cores = self.now, [self.now] * CORES
        entry = api.NodeEntry("n00", 0, "live", 0, self.now)
        for number in self.brokers:
            self.post.append(
                (
                    self.now + int(self.random.random() * spread_us),
                    number,
                    api.EndpointUpdate("delta", (entry,)),
                )
            )

    def back(self, number: int) -> None:
        """A broker that was killed is back, with the list as it is."""
        self.restart(
            number, *(api.NodeEntry(f"n0{i}", i, "live", 0, 0 if i else self.begun) for i in range(3))
        )

    def do(self, number: int, action: api.Action) -> None:
        if not isinstance(action, api.StartAttempt) or action.node_id != "n00":
            super().do(number, action)
            return
        request = self.brokers[number].responses.requests[action.request_id]
        units = request.arrival.units
        if self.brokers[number].endpoints.nodes["n00"].started_us == self.begun:
            self.known.append((self.now, units))
        core = self.cores.index(min(self.cores))
        self.cores[core] = max(self.now, self.cores[core]) + int(units * UNIT_US / self.speed(self.now))
        took = self.cores[core] - self.now
        end: Any = api.AttemptFinished(action.request_id, request.attempt_count - 1, "n00", "ok", took, True)
        self.post.append((self.now + took, number, end))


@pytest.mark.parametrize("brokers", [4, 20, 30, 200])
@pytest.mark.parametrize(
    "case", ["told at once", "told late, a fifth lost", "a third restarts", "starts twice"]
)
def test_a_cold_node_bears_what_all_brokers_that_know_of_its_start_send(brokers: int, case: str) -> None:
    plant = ColdPlant(
        replace(COLD, broker_count=brokers), seed=brokers, lost=0.0 if case == "told at once" else 0.2
    )
    rate = 240 / brokers  # requests a second of each broker: several times what the node does
    plant.run(SECOND, rate, [0, 0, 1])
    plant.start(0 if case == "told at once" else 3 * SECOND)
    first = plant.begun
    plant.run(2 * SECOND, rate, [0, 0, 1])
    if case == "a third restarts":  # both keepers of what it bears among them
        away = sorted({*plant.brokers[0].context.derived.coordinators(0), *range(0, brokers, 3)})
        for number in away:
            del plant.brokers[number]
        plant.run(300_000, rate, [0, 0, 1])
        for number in away:
            plant.back(number)
    if case == "starts twice":
        plant.run(SECOND // 2, rate, [0, 0, 1])
        plant.start(2 * SECOND)
        first = plant.begun
        plant.known.clear()
    plant.run(8 * SECOND, rate, [0, 0, 1])
    mean = COLD.mean_request_units
    full = (
        CORES / UNIT_US * COLD.collapse_window_us / mean
    )  # requests of mean work in a window, at full speed
    assert (
        sum(units for at, units in plant.known if at > first + 3 * SECOND) > COLD.slow_start_units
    )  # it is used
    for at, _ in plant.known:
        window = sum(units for t, units in plant.known if at - COLD.collapse_window_us < t <= at) / mean
        most = COLD.collapse_load_ratio * full * plant.speed(max(first, at - COLD.collapse_window_us))
        assert window <= most + 2 * sqrt(most) + 2
