"""Estimates of a shard's capacity, and detection of its overload."""

from __future__ import annotations

from harriertide.decide import api
from harriertide.decide.context import DecisionContext
from harriertide.decide.demand_aggregate import DemandAggregate
from harriertide.decide.state import NodeState, RequestState, ShardState
from harriertide.decide.units import SECOND_US
from harriertide.decide.warming import is_warming, slow_start_budget_units

# A shard becomes overloaded when its latency, queueing included, exceeds the first part of the latency
# objective, early enough that queued requests can still be answered in time. The overload ends below the
# second; the gap (hysteresis) prevents flapping.
OVERLOAD_ENTER_LATENCY_RATIO = 0.5
OVERLOAD_LEAVE_LATENCY_RATIO = 0.35
# Weight of a bid interval's served rate in the capacity estimate of an overloaded shard. The estimate rises
# faster than it falls, as an estimate that is too low rejects requests that could have been served.
CAPACITY_RISE_RATIO = 0.5
CAPACITY_FALL_RATIO = 0.2
# Factor on the first estimate of an overloaded shard: the served rate is only a lower bound, as part of the
# load was still queued.
FIRST_CAPACITY_RATIO = 1.25
# Growth of the estimate while an overloaded shard serves nearly all of it and so may have spare capacity.
CAPACITY_GROWTH_RATIO = 1.05
# Part of a shard's capacity that is allocated to volumes by weight. A shard that serves more than this part
# counts as serving all that it is sent.
QUOTA_CAPACITY_RATIO = 0.9
# Weight of one answer in smoothed latency ratios, which reflect about the last six answers.
LATENCY_SAMPLE_RATIO = 0.15
# Upper bound of one answer's latency ratio: an attempt that hung tells no more than one that was late.
MAX_LATENCY_RATIO = 2.0


class CapacityEstimator:
    """Estimates the capacity of coordinated shards, and records request latencies for this broker's bids."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context

    def update_capacity_estimate(self, aggregate: DemandAggregate, shard: ShardState | None) -> None:
        """As coordinator, update a shard's overload state and its capacity.

        The capacity of an overloaded shard is the rate that it serves for all brokers together.

        :param shard: the shard's state at this broker; None if no node of the endpoint list serves it
        """
        live_nodes = [node for node in shard.nodes.values() if node.is_live] if shard is not None else []
        if live_nodes and all(is_warming(self._context, node) for node in live_nodes):
            self._estimate_warming(aggregate, live_nodes)
            return
        served_rate = aggregate.served_rate
        threshold = OVERLOAD_LEAVE_LATENCY_RATIO if aggregate.is_overloaded else OVERLOAD_ENTER_LATENCY_RATIO
        aggregate.is_overloaded = aggregate.latency_ratio > threshold
        if not aggregate.is_overloaded:
            aggregate.capacity = max(aggregate.capacity, served_rate)
        elif not aggregate.is_capacity_known:
            aggregate.capacity = max(aggregate.capacity, served_rate * FIRST_CAPACITY_RATIO)
            aggregate.is_capacity_known = served_rate > 0
        else:
            self._follow_served_rate(aggregate, served_rate)

    def _estimate_warming(self, aggregate: DemandAggregate, live_nodes: list[NodeState]) -> None:
        """Set the capacity of a shard whose live nodes are all warming, to the sum of their budgets."""
        budget_units = sum(slow_start_budget_units(self._context, node) for node in live_nodes)
        aggregate.capacity = budget_units * SECOND_US / max(1, self._context.settings.collapse_window_us)
        aggregate.is_capacity_known = True
        aggregate.is_overloaded = aggregate.demand_rate > aggregate.capacity

    def _follow_served_rate(self, aggregate: DemandAggregate, served_rate: float) -> None:
        is_rising = served_rate > aggregate.capacity
        weight = CAPACITY_RISE_RATIO if is_rising else CAPACITY_FALL_RATIO
        # At least one mean request a second is sent to a shard that answers nothing, to detect its recovery.
        min_capacity = self._context.settings.mean_request_units
        aggregate.capacity = max(
            min_capacity, aggregate.capacity + weight * (served_rate - aggregate.capacity)
        )
        if served_rate > QUOTA_CAPACITY_RATIO * aggregate.capacity:
            aggregate.capacity *= CAPACITY_GROWTH_RATIO

    def record_outcome(self, request: RequestState, shard: ShardState, kind: api.OutcomeKind) -> None:
        """Record a request's latency, queueing included, relative to its latency objective.

        An attempt without any response from the node tells nothing about the node's load, so it counts like a
        rejection, however long it took.
        """
        if kind in ("cancelled", "withheld"):
            return
        ratio = 1.0
        if kind != "rejected" and kind not in api.UNRESPONSIVE_OUTCOMES:
            elapsed_us = self._context.now_us - request.arrived_at_us
            ratio = elapsed_us / request.request_class.latency_objective_us
        shard.latency_weighted_units += request.arrival.units * min(MAX_LATENCY_RATIO, ratio)
        shard.local_latency_ratio += LATENCY_SAMPLE_RATIO * (ratio - shard.local_latency_ratio)
