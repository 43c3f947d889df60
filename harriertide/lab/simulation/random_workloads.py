"""Random workloads for stand-in nodes, each a function of its kind and its seed."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Literal

import numpy as np

from harriertide.decide import api
from harriertide.engine.workload import Workload, WorkloadEvent, WorkloadHeader
from harriertide.lab.simulation.stand_in_nodes import (
    SILENT_STATUS,
    UNIT_S,
    Fault,
    StandInNode,
    capacity_units_per_s,
)

SECOND_US = 1_000_000
READ = api.RequestClass(
    latency_objective_us=300_000, deadline_us=2_000_000, priority_weight=3.0, late_priority_weight=0.3
)
WRITE = replace(
    READ,
    latency_objective_us=500_000,
    idempotency="keyed",
    deduplication_scope="all",
    deduplication_window_us=2_000_000,
)
PLANS = (
    api.Plan(reserved_rate=8.0, weight=4.0, priority_factor=1.8),
    api.Plan(reserved_rate=2.0, priority_factor=0.8),
)
SETTINGS = api.Settings(
    broker_index=0,
    broker_count=1,
    classes=(READ, WRITE),
    plans=PLANS,
    shard_count=6,
    mean_request_units=2.0,
    max_request_units=8.0,
    within_quota_weight=0.35,
    beyond_quota_weight=0.08,
    slow_start_units=12.0,
    slow_start_initial_ratio=0.3,
    slow_start_us=4 * SECOND_US,
    collapse_window_us=1 * SECOND_US,
    retry_after_allowed=True,
    cancel_allowed=True,
    max_retry_after_us=500_000,
    max_attempts=4,
    tick_us=1_000,
)
# Another kind of deployment: writes keyed within a rack, a class that can wait, a plan with a limit and no
# reserve, a small slow-start budget, health checks.
OTHER_SETTINGS = replace(
    SETTINGS,
    classes=(
        replace(READ, priority_weight=2.0, late_priority_weight=0.2, deadline_us=2_500_000),
        replace(
            READ,
            latency_objective_us=400_000,
            priority_weight=2.0,
            idempotency="keyed",
            deduplication_scope="shard",
            deduplication_window_us=3_000_000,
        ),
        replace(READ, latency_objective_us=2_000_000, deadline_us=6_000_000, priority_weight=1.0),
    ),
    plans=(
        api.Plan(priority_factor=0.96, rate_limit=40.0, burst_limit_units=48.0),
        api.Plan(reserved_rate=8.0, priority_factor=1.2),
        api.Plan(reserved_rate=16.0, priority_factor=1.5),
    ),
    max_request_units=6.0,
    slow_start_units=4.0,
    slow_start_initial_ratio=0.2,
    collapse_load_ratio=2.5,
    probes_allowed=True,
)
DEPLOYMENTS = {"first": SETTINGS, "other": OTHER_SETTINGS}
KINDS = ("calm", "surge", "failing", "drains", "cold")

FIRST_ARRIVAL_S = 0.05  # the endpoint list comes first
LOAD_RATIO = 0.5  # of the nodes' capacity, outside a surge
SURGE_RATIO = 4.0  # to the load outside
SURGE_START_S = 2.0
SURGE_END_S = 5.0
# Kind "drains": when (s), which node, its state.
NODE_CHANGES: tuple[tuple[float, int, Literal["live", "draining", "gone"]], ...] = (
    (2.0, 0, "draining"),
    (3.5, 1, "draining"),
    (4.5, 0, "live"),
    (6.0, 2, "gone"),
)
NODE_RESTARTS = ((2.0, 3), (2.5, 4))  # kind "cold": when (s), which node
RESTART_US = 400_000  # that a node is off the endpoint list
WRITE_RATIO = 0.3  # of requests
UNPLACED_WRITE_RATIO = 0.3  # of writes: the broker chooses the shard
SECOND_PLAN_RATIO = 0.4  # of requests of the first deployment
OTHER_CLASS_RATIOS = (0.55, 0.3, 0.15)  # of the other deployment
VOLUME_COUNT = 12
MAX_REQUEST_UNITS = 4  # the fewest are 1
MIN_DEADLINE_MS = 600
MAX_DEADLINE_MS = 1900
DEADLINE_MARGIN_US = 3_000  # for a client's own work


def generate_workload(
    kind: str,
    seed: int,
    seconds: float = 8.0,
    unit_s: float = UNIT_S,
    broker_count: int = 1,
    deployment: str = "first",
) -> tuple[Workload, list[StandInNode]]:
    """Generate a workload, and the nodes that it is for.

    :param kind: one of KINDS
    :param seconds: its length
    :param unit_s: mean service time of a unit on the nodes
    :param broker_count: through how many brokers the requests come
    :param deployment: a key of DEPLOYMENTS
    """
    # The draws' order is part of what a seed means: the nodes' speeds first, then arrival by arrival.
    random = np.random.default_rng([seed, KINDS.index(kind)])
    nodes = [
        # "box-" is part of the hash that gives service times: another word would be another workload
        StandInNode(f"box-{shard}", shard, seed, float(random.uniform(0.8, 1.2)), unit_s=unit_s)
        for shard in range(SETTINGS.shard_count)
    ]
    entries = [api.NodeEntry(node.name, node.shard) for node in nodes]
    events = [WorkloadEvent(0, endpoint_update=api.EndpointUpdate("cached", tuple(entries)))]
    if kind == "failing":
        nodes[1].faults.append(Fault(2.0, 4.0, 500))
        nodes[2].faults.append(Fault(3.0, 6.0, SILENT_STATUS))
    elif kind == "drains":
        events += _node_changes(entries)
    elif kind == "cold":
        events += _node_restarts(entries)
    mean_rate = LOAD_RATIO * capacity_units_per_s(len(nodes), unit_s) / SETTINGS.mean_request_units
    at_s = FIRST_ARRIVAL_S
    number = 0
    while at_s < seconds:
        is_surge = kind == "surge" and SURGE_START_S <= at_s < SURGE_END_S
        rate = mean_rate * (SURGE_RATIO if is_surge else 1.0)
        at_s += float(random.exponential(1 / rate))
        number += 1
        arrival = _random_arrival(random, f"{seed:04x}{number:012x}", at_s, deployment, broker_count)
        events.append(WorkloadEvent(int(at_s * SECOND_US), arrival))
    events.sort(key=lambda event: event.at_us)
    return Workload(WorkloadHeader(DEPLOYMENTS[deployment], seed), events, truncated=False), nodes


def _random_arrival(
    random: np.random.Generator, request_id: str, at_s: float, deployment: str, broker_count: int
) -> api.Arrival:
    """One request; the fields are drawn in this order."""
    is_write = bool(random.random() < WRITE_RATIO)
    if deployment == "first":
        request_class = int(is_write)
        plan = int(random.random() < SECOND_PLAN_RATIO)
    else:
        request_class = int(random.choice(len(OTHER_CLASS_RATIOS), p=OTHER_CLASS_RATIOS))
        plan = int(random.integers(len(OTHER_SETTINGS.plans)))
    volume = f"{int(random.integers(VOLUME_COUNT)):016x}"
    if is_write and random.random() < UNPLACED_WRITE_RATIO:
        shard = -1
    else:
        shard = int(random.integers(SETTINGS.shard_count))
    time_limit_ms = int(random.integers(MIN_DEADLINE_MS, MAX_DEADLINE_MS))
    return api.Arrival(
        request_id=request_id,
        request_class=request_class,
        plan=plan,
        volume=volume,
        shard=shard,
        deadline_at_us=int(at_s * SECOND_US) + 1000 * time_limit_ms - DEADLINE_MARGIN_US,
        units=float(random.integers(1, MAX_REQUEST_UNITS + 1)),
        key=f"{int(random.integers(1 << 40)):016x}",
        sharing_broker_count=broker_count,
    )


def _node_changes(entries: list[api.NodeEntry]) -> Iterator[WorkloadEvent]:
    for at_s, index, state in NODE_CHANGES:
        yield _node_change(int(at_s * SECOND_US) + index, replace(entries[index], state=state))


def _node_restarts(entries: list[api.NodeEntry]) -> Iterator[WorkloadEvent]:
    """Each node leaves the endpoint list and comes back cold."""
    for at_s, index in NODE_RESTARTS:
        started_us = int(at_s * SECOND_US)
        restarted = replace(entries[index], started_us=started_us)
        yield _node_change(started_us + index, replace(restarted, state="gone"))
        yield _node_change(started_us + RESTART_US + index, replace(restarted, state="live"))


def _node_change(at_us: int, entry: api.NodeEntry) -> WorkloadEvent:
    return WorkloadEvent(at_us, endpoint_update=api.EndpointUpdate("delta", (entry,)))
