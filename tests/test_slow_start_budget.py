"""Slow start in a fleet: all brokers together send no more to a warming node than its budget."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from harriertide.decide import api, warming
from harriertide.decide.scheduler import Scheduler
from tests.fleet_simulation import (
    HUNDREDS_BROKER_COUNT,
    HUNDREDS_FLEETS,
    FleetSimulation,
)
from tests.helpers import (
    SECOND_US,
    SETTINGS,
    START_US,
)


@pytest.mark.parametrize(
    ("brokers", "slow_start_units", "max_delay_us"), [(12, 24.0, 100_000), (40, 5.0, 40_000)]
)
def test_coordinators_of_a_warming_node_together_stay_within_its_budget(
    brokers: int, slow_start_units: float, max_delay_us: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Many brokers send to a warming node; messages are late or lost, and brokers restart. Answers do not
    raise the budget here, and the units sent in each window stay within it.

    Two coordinators share a budget of 24 units. Half of 5 units would not cover a large request, so one
    coordinator has all 5.
    """
    monkeypatch.setattr(warming, "SAFE_RATE_WEIGHT_REQUESTS", 1e9)
    random, start = Random(3), START_US + 3_000_000
    settings = replace(SETTINGS, broker_count=brokers, slow_start_units=slow_start_units)
    fleet = [Scheduler(replace(settings, broker_index=i), i) for i in range(brokers)]
    nodes = (api.NodeEntry("n0", 0),)
    restarted_list = (api.NodeEntry("n0", 0, "live", 0, start),)
    for scheduler in fleet:
        scheduler.decide(START_US, [api.EndpointUpdate("cached", nodes)])
    deliveries: list[tuple[int, int, api.PeerMessageReceived]] = []
    sent: list[tuple[int, float]] = []
    request_count, now = 0, start
    while now < start + 8_000_000:
        for i in range(brokers):
            events: list[api.Event] = [
                message for at_us, recipient, message in deliveries if recipient == i and at_us <= now
            ]
            deliveries = [
                (at_us, recipient, message)
                for at_us, recipient, message in deliveries
                if recipient != i or at_us > now
            ]
            if random.random() < 0.002:
                fleet[i] = Scheduler(replace(settings, broker_index=i), request_count)
                events = [api.EndpointUpdate("cached", random.choice([nodes, restarted_list]))]
            if now == start + i * 5_000 or random.random() < 0.02:
                events.append(api.EndpointUpdate("delta", restarted_list))
            request_count += 1
            units = float(random.randrange(1, 9))
            events.append(
                api.Arrival(f"q{request_count}", 0, 0, f"v{request_count % 5}", 0, now + 2_000_000, units)
            )
            for action in fleet[i].decide(now, events):
                if isinstance(action, api.SendPeerMessage) and random.random() < 0.8:
                    deliveries.append(
                        (
                            now + random.randrange(max_delay_us),
                            action.recipient_index,
                            api.PeerMessageReceived(i, action.body),
                        )
                    )
                elif isinstance(action, api.StartAttempt) and now >= start + brokers * 5_000:
                    knows_start = fleet[i].endpoints.nodes["n0"].started_us == start
                    sent += [
                        (now, fleet[i].responses.requests[action.request_id].arrival.units)
                    ] * knows_start
                    fleet[i].decide(now, [api.AttemptFinished(action.request_id, 0, "n0", "ok", 9, True)])
        now += 5_000
    assert sum(units for _, units in sent) > 1.5 * slow_start_units and len(sent) > 5
    for at_us, _ in sent:
        growth = 1 + max(0, at_us - SETTINGS.collapse_window_us - start) / SETTINGS.slow_start_us * (
            1 / SETTINGS.slow_start_initial_ratio - 1
        )
        window = sum(
            units_sent
            for sent_at_us, units_sent in sent
            if at_us - SETTINGS.collapse_window_us < sent_at_us <= at_us
        )
        assert window <= slow_start_units * growth + 1e-6


@pytest.mark.parametrize(
    "case", ["seven in ten crash with both coordinators", "coordinator and standby are cut off"]
)
@pytest.mark.parametrize("slow_start_units", [5.0, 24.0])  # one coordinator has all 5 units; two share 24
@pytest.mark.parametrize("fleet_name", HUNDREDS_FLEETS)
def test_units_sent_to_a_warming_node_by_all_brokers_stay_within_its_budget(
    case: str, slow_start_units: float, fleet_name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Brokers restart without knowing what they granted, or the two coordinators are partitioned from each
    other.

    Answers do not raise the budget here, as in the window after a coordinator has lost its state.
    """
    monkeypatch.setattr(warming, "SAFE_RATE_WEIGHT_REQUESTS", 1e9)
    slow_start = {
        name: getattr(SETTINGS, name)
        for name in ("slow_start_us", "slow_start_initial_ratio", "collapse_window_us")
    }
    simulation = FleetSimulation(
        replace(HUNDREDS_FLEETS[fleet_name], slow_start_units=slow_start_units, **slow_start)
    )
    coordinators = simulation.brokers[0].context.derived.coordinators(0)
    users = {*simulation.random.sample(range(HUNDREDS_BROKER_COUNT), 40), *coordinators}
    simulation.brokers = {broker_index: simulation.brokers[broker_index] for broker_index in sorted(users)}
    simulation.unit_choices = (1.0, 2.0, 3.0, 4.0)
    start = simulation.now_us + SECOND_US
    warming_node = api.NodeEntry("n00", 0, "live", 0, start)
    simulation.run(SECOND_US, 0.0, [])
    simulation.publish_endpoints(warming_node)
    simulation.run(SECOND_US, 15.0, [0])
    if case.startswith("seven"):
        killed = [*coordinators, *(n for n in simulation.brokers if n not in coordinators)][:29]
        for broker_index in killed:
            del simulation.brokers[broker_index]
        simulation.run(200_000, 15.0, [0])  # they restart within the window of the coordinators' grants
        for broker_index in killed:
            simulation.restart(broker_index, warming_node)
    else:
        side_by_broker = {broker_index: broker_index % 2 for broker_index in simulation.brokers} | {
            coordinators[0]: 0,
            coordinators[1]: 1,
        }
        simulation.drops_message = lambda sender, receiver: (
            side_by_broker.get(sender) != side_by_broker.get(receiver)
        )
    simulation.run(4 * SECOND_US, 15.0, [0])
    sent = [(attempt.at_us, attempt.units) for attempt in simulation.attempts if attempt.at_us >= start]
    # the budget is used nevertheless
    assert sum(units for at_us, units in sent if at_us > start + 3 * SECOND_US) > slow_start_units
    for at_us, _ in sent:
        growth = 1 + max(0, at_us - SETTINGS.collapse_window_us - start) / SETTINGS.slow_start_us * (
            1 / SETTINGS.slow_start_initial_ratio - 1
        )
        window = sum(
            units for sent_at_us, units in sent if at_us - SETTINGS.collapse_window_us < sent_at_us <= at_us
        )
        assert window <= slow_start_units * growth + 1e-6
