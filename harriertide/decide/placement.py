"""Which node: of a shard for a request that names one, and of all for a new object."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from math import ceil
from typing import NamedTuple

from harriertide.decide import api
from harriertide.decide.admission import ADMIT_TARGET_RATIO
from harriertide.decide.capacity import OVERLOAD_ENTER_LATENCY_RATIO
from harriertide.decide.context import DecisionContext
from harriertide.decide.derived import PLACEMENT_SAMPLE_FACTOR
from harriertide.decide.endpoints import Endpoints
from harriertide.decide.expiry import expire_oldest
from harriertide.decide.health import HealthChecks
from harriertide.decide.state import NodeState, RequestState, ShardState
from harriertide.decide.units import SECOND_US
from harriertide.decide.warming import is_warming

# Work in flight at a node may take this part of the shortest latency objective: the rest is for waiting here.
IN_FLIGHT_OBJECTIVE_RATIO = 0.2
# Mean requests of all brokers that a node of an overloaded shard may always hold, dealt out like its
# capacity.
MIN_IN_FLIGHT_REQUESTS = 4
# Requests of this broker that may always be in flight at a node: fewer would leave a node of two cores idle.
FREE_IN_FLIGHT_COUNT = 2
FREE_IN_FLIGHT_LIMITED_COUNT = 1  # the same while its shard is limited
# In flight at a node, whatever was learned: what a connection table of a node bears.
MAX_IN_FLIGHT_COUNT = 32
MIN_ALLOTMENT_CAPACITY = 0.1  # units a second; guards a division where nothing is known
# Nodes looked at for a new object, at least: the better of two is much better than one.
MIN_PLACEMENT_SAMPLE_COUNT = 2
# A shard that is slow for its objective, or warms up, counts as if so many times as much waited there.
AVOIDED_SHARD_FACTOR = 4
# New objects of which it is remembered where they went: a minute's at some seventy a second.
MAX_PLACEMENT_COUNT = 4096


class PlacementRecord(NamedTuple):
    """The shard that took a new object, and when."""

    shard: int
    placed_at_us: int


@dataclass(slots=True, eq=False)
class Placements:
    """The shards that took new objects through this broker, by key, for the newest objects."""

    by_key: dict[str, PlacementRecord] = field(default_factory=dict)  # the oldest first

    def put(self, key: str, shard: int, now_us: int) -> None:
        """A node of this shard has taken the object."""
        self.by_key.pop(key, None)
        self.by_key[key] = PlacementRecord(shard, now_us)
        if len(self.by_key) > MAX_PLACEMENT_COUNT:
            del self.by_key[next(iter(self.by_key))]

    def forget(self, until_us: int) -> None:
        """Forget those that were placed by then."""
        expire_oldest(self.by_key, lambda record: record.placed_at_us <= until_us)

    def redirected(self, request: RequestState) -> api.Arrival | None:
        """The same request to the shard that took its object.

        Guards against a write that takes effect in a shard which its client does not name, where its retry
        would not be recognized: only what is harmless to repeat is redirected.

        :returns: None if that is the shard that it names, if it names none, or if it is not known
        """
        arrival = request.arrival
        if request.request_class.idempotency != "idempotent":
            return None
        if arrival.shard < 0:  # a new object, whatever became of one that had its key
            return None
        record = self.by_key.get(arrival.key)
        if record is None or record.shard == arrival.shard:
            return None
        return replace(arrival, shard=record.shard)


class _Candidate(NamedTuple):
    shard: ShardState
    node: NodeState


class Placement:
    """Chooses nodes."""

    def __init__(self, context: DecisionContext, endpoints: Endpoints, health: HealthChecks) -> None:
        self._context = context
        self._endpoints = endpoints
        self._health = health

    def pick_node(self, shard: ShardState, request: RequestState) -> NodeState | None:
        """The node of a shard with the fewest requests in flight; None: none may get this request now."""
        best: NodeState | None = None
        bound_units = self._in_flight_bound(shard)
        for node in shard.nodes.values():
            if not self._health.accept_or_probe(node):
                continue
            has_room = node.is_ejected or self._has_room(shard, node, request, bound_units)
            if has_room and (best is None or node.open_attempt_count < best.open_attempt_count):
                best = node
        return best

    def _in_flight_bound(self, shard: ShardState) -> float:
        """Units of this broker that may be in flight at one node: what gets through in time."""
        context = self._context
        objective_us = context.derived.shortest_objective_us
        bound = max(
            shard.capacity * IN_FLIGHT_OBJECTIVE_RATIO * objective_us / SECOND_US,
            MIN_IN_FLIGHT_REQUESTS * context.settings.mean_request_units,
        )
        target_rate = max(MIN_ALLOTMENT_CAPACITY, ADMIT_TARGET_RATIO * shard.capacity)
        return bound * min(1.0, shard.allotment / target_rate)

    @staticmethod
    def _has_room(shard: ShardState, node: NodeState, request: RequestState, bound_units: float) -> bool:
        free_count = FREE_IN_FLIGHT_LIMITED_COUNT if shard.is_limited else FREE_IN_FLIGHT_COUNT
        is_free = node.open_attempt_count < free_count
        is_within_bound = node.open_units + request.arrival.units <= bound_units
        return (is_free or is_within_bound) and node.open_attempt_count < MAX_IN_FLIGHT_COUNT

    def place_new_object(self, units: float) -> ShardState | None:
        """The shard with the least waiting for a new object; later reads will follow it there.

        A broker looks at a few of its preferred shards, drawn anew: all brokers would meet at the best node,
        or at the first. Its preferred shards stay the same, so that it has connections there: one more costs
        a node work for each object. None: no node is live.
        """
        context = self._context
        candidates = [
            _Candidate(shard, node)
            for shard in self._endpoints.shards.values()
            for node in shard.nodes.values()
            if node.is_live and not node.is_ejected
        ]
        if not context.derived.is_standalone:
            candidates = self._sample(candidates)
        if not candidates:
            return None
        return min(candidates, key=lambda candidate: self._waiting(candidate, units)).shard

    def _sample(self, candidates: list[_Candidate]) -> list[_Candidate]:
        derived = self._context.derived
        even_part = ceil(PLACEMENT_SAMPLE_FACTOR * len(candidates) / derived.broker_count)
        wanted = max(MIN_PLACEMENT_SAMPLE_COUNT, even_part)
        preferred = [each for each in candidates if each.shard.shard in derived.preferred_shards]
        population = preferred if len(preferred) >= wanted else candidates
        return self._context.random.sample(population, min(len(population), wanted))

    def _waiting(self, candidate: _Candidate, units: float) -> float:
        """What waits before a new object there, counted in the node's own speed."""
        shard, node = candidate
        local_units = shard.queued_units + node.open_units + units
        fleet_units = sum(shard.fleet_demand) / self._context.settings.broker_count
        waiting = local_units * node.latency_ratio + fleet_units
        is_slow = shard.local_latency_ratio > OVERLOAD_ENTER_LATENCY_RATIO
        return waiting * (AVOIDED_SHARD_FACTOR if is_slow or is_warming(self._context, node) else 1)
