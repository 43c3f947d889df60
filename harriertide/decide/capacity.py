"""What a shard can do, and whether it is overloaded."""

from __future__ import annotations

from harriertide.decide import api
from harriertide.decide.context import DecisionContext
from harriertide.decide.demand_aggregate import DemandAggregate
from harriertide.decide.state import NodeState, RequestState, ShardState
from harriertide.decide.units import SECOND_US
from harriertide.decide.warming import is_warming, slow_start_budget_units

# A shard is overloaded when its answers take this part of their latency objective, waiting included, and
# until they take less than the lower one: early enough that what waits then can still be in time, and apart
# so that it does not flap.
OVERLOAD_ENTER_LATENCY_RATIO = 0.5
OVERLOAD_LEAVE_LATENCY_RATIO = 0.35
# Weight of a bid interval's figure in the learned capacity of an overloaded shard: quicker up than down, as
# one that is learned too low rejects requests that could have been served.
CAPACITY_RISE_RATIO = 0.5
CAPACITY_FALL_RATIO = 0.2
# The first figure of an overloaded shard is a floor: what it served while some of it was held up.
FIRST_CAPACITY_RATIO = 1.25
# An overloaded shard that serves all it was given may do a little more.
CAPACITY_GROWTH_RATIO = 1.05
# Of a shard's capacity so much is dealt out by weight among volumes; a shard that serves more serves all.
DEALT_CAPACITY_RATIO = 0.9
# Weight of one answer in the running latency figures: some six answers tell.
LATENCY_SAMPLE_RATIO = 0.15
# An answer counts with at most so many latency objectives: one that hung says no more than one that was late.
MAX_LATENCY_RATIO = 2.0


class CapacityEstimator:
    """Learns what shards can do: as their coordinator from the sums of all bids, here from each outcome."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context

    def update_capacity_estimate(self, aggregate: DemandAggregate, shard: ShardState | None) -> None:
        """As coordinator: an overloaded shard can do what is served there through all brokers.

        :param shard: as this broker knows it; None: it has no node in the endpoint list
        """
        live = [node for node in shard.nodes.values() if node.is_live] if shard is not None else []
        if live and all(is_warming(self._context, node) for node in live):
            self._estimate_warming(aggregate, live)
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

    def _estimate_warming(self, aggregate: DemandAggregate, live: list[NodeState]) -> None:
        """A shard whose nodes all warm up can do what these bear: nothing is learned of it."""
        budget_units = sum(slow_start_budget_units(self._context, node) for node in live)
        aggregate.capacity = budget_units * SECOND_US / max(1, self._context.settings.collapse_window_us)
        aggregate.is_capacity_known = True
        aggregate.is_overloaded = aggregate.demand_rate > aggregate.capacity

    def _follow_served_rate(self, aggregate: DemandAggregate, served_rate: float) -> None:
        rises = served_rate > aggregate.capacity
        weight = CAPACITY_RISE_RATIO if rises else CAPACITY_FALL_RATIO
        # one mean request a second still goes where nothing comes back, to see when it does
        least = self._context.settings.mean_request_units
        aggregate.capacity = max(least, aggregate.capacity + weight * (served_rate - aggregate.capacity))
        if served_rate > DEALT_CAPACITY_RATIO * aggregate.capacity:
            aggregate.capacity *= CAPACITY_GROWTH_RATIO

    def record_outcome(self, request: RequestState, shard: ShardState, kind: api.OutcomeKind) -> None:
        """Book how long a request took, as a part of its latency objective, waiting included.

        An attempt without a sign of life says nothing of how busy its node is: it counts like a rejection,
        however long it took.
        """
        if kind in ("cancelled", "withheld"):
            return
        ratio = 1.0
        if kind != "rejected" and kind not in api.UNRESPONSIVE_OUTCOMES:
            took_us = self._context.now_us - request.arrived_at_us
            ratio = took_us / request.request_class.latency_objective_us
        shard.latency_weighted_units += request.arrival.units * min(MAX_LATENCY_RATIO, ratio)
        shard.local_latency_ratio += LATENCY_SAMPLE_RATIO * (ratio - shard.local_latency_ratio)
