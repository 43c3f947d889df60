"""Placement: selects a node of the shard that a request names, and a shard for a new object."""

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

# Work in flight at a node may take this part of the shortest latency objective; the rest is left for queueing
# at the broker.
IN_FLIGHT_OBJECTIVE_RATIO = 0.2
# Mean requests of all brokers together that a node of an overloaded shard may always hold, allocated to
# brokers in proportion to their allotments.
FLEET_MIN_IN_FLIGHT_COUNT = 4
# Requests of this broker that may always be in flight at a node; fewer would leave a two-core node idle.
MIN_IN_FLIGHT_COUNT = 2
MIN_IN_FLIGHT_LIMITED_COUNT = 1  # the same while the node's shard is limited
# Requests of this broker in flight at a node at most, whatever its capacity: the size of a node's connection
# table.
MAX_IN_FLIGHT_COUNT = 32
# Part of what may be in flight at a node for requests that stream their bodies: a slow client holds its place
# as long as it likes, though the node does nothing before the last byte.
STREAM_IN_FLIGHT_RATIO = 0.5
MIN_TARGET_RATE = 0.1  # units a second; avoids a division by zero where no capacity is known
# Nodes compared for a new object, at least: the better of two random choices is much better than one.
MIN_PLACEMENT_SAMPLE_COUNT = 2
# Factor on the queue of a shard that is slow relative to its objective, or whose node is warming.
SLOW_SHARD_PENALTY_FACTOR = 4
# New objects whose shard is remembered: one minute at about 70 new objects a second.
MAX_PLACEMENT_RECORD_COUNT = 4096


class PlacementRecord(NamedTuple):
    """The shard that took a new object, and the time at which it did."""

    shard: int
    placed_at_us: int


@dataclass(slots=True, eq=False)
class PlacementHistory:
    """The shards that took the newest objects written through this broker, by key."""

    by_key: dict[str, PlacementRecord] = field(default_factory=dict)  # oldest first

    def put(self, key: str, shard: int, now_us: int) -> None:
        """Record that a node of this shard has taken the object."""
        self.by_key.pop(key, None)
        self.by_key[key] = PlacementRecord(shard, now_us)
        if len(self.by_key) > MAX_PLACEMENT_RECORD_COUNT:
            del self.by_key[next(iter(self.by_key))]

    def forget(self, until_us: int) -> None:
        """Forget objects that were placed at or before `until_us`."""
        expire_oldest(self.by_key, lambda record: record.placed_at_us <= until_us)

    def redirect(self, request: RequestState) -> api.Arrival | None:
        """Return the request's arrival, addressed to the shard that holds its object.

        Only idempotent requests are redirected: a write that takes effect in a shard other than the one that
        its client names would not be recognized there as a duplicate when the client retries it.

        :returns: None if the request names no shard or the right one, or if the object's shard is unknown
        """
        arrival = request.arrival
        if request.request_class.idempotency != "idempotent":
            return None
        if arrival.shard < 0:  # a new object, even if an older one has the same key
            return None
        record = self.by_key.get(arrival.key)
        if record is None or record.shard == arrival.shard:
            return None
        return replace(arrival, shard=record.shard)


class _Candidate(NamedTuple):
    shard: ShardState
    node: NodeState


class Placement:
    """Selects a node for a request, and a shard for a new object."""

    def __init__(self, context: DecisionContext, endpoints: Endpoints, health: HealthChecks) -> None:
        self._context = context
        self._endpoints = endpoints
        self._health = health

    def pick_node(self, shard: ShardState, request: RequestState) -> NodeState | None:
        """The available node with the fewest requests in flight; None if no node may get this request now."""
        best: NodeState | None = None
        bound_units = self._in_flight_bound(shard)
        for node in shard.nodes.values():
            if not self._health.accept_or_probe(node):
                continue
            has_room = node.is_ejected or self._has_room(shard, node, request, bound_units)
            if request.arrival.streams_body and not self._has_stream_room(node, request, bound_units):
                continue
            if has_room and (best is None or node.open_attempt_count < best.open_attempt_count):
                best = node
        return best

    def _in_flight_bound(self, shard: ShardState) -> float:
        """Units of this broker that may be in flight at one node, so that they are served in time."""
        context = self._context
        objective_us = context.derived.shortest_objective_us
        bound = max(
            shard.capacity * IN_FLIGHT_OBJECTIVE_RATIO * objective_us / SECOND_US,
            FLEET_MIN_IN_FLIGHT_COUNT * context.settings.mean_request_units,
        )
        target_rate = max(MIN_TARGET_RATE, ADMIT_TARGET_RATIO * shard.capacity)
        return bound * min(1.0, shard.allotment / target_rate)

    @staticmethod
    def _has_room(shard: ShardState, node: NodeState, request: RequestState, bound_units: float) -> bool:
        min_count = MIN_IN_FLIGHT_LIMITED_COUNT if shard.is_limited else MIN_IN_FLIGHT_COUNT
        is_below_minimum = node.open_attempt_count < min_count
        is_within_bound = node.open_units + request.arrival.units <= bound_units
        return (is_below_minimum or is_within_bound) and node.open_attempt_count < MAX_IN_FLIGHT_COUNT

    @staticmethod
    def _has_stream_room(node: NodeState, request: RequestState, bound_units: float) -> bool:
        if not node.open_stream_count:
            return True
        stream_units = node.open_stream_units + request.arrival.units
        is_within_bound = stream_units <= STREAM_IN_FLIGHT_RATIO * bound_units
        return is_within_bound and node.open_stream_count < STREAM_IN_FLIGHT_RATIO * MAX_IN_FLIGHT_COUNT

    def place_new_object(self, units: float) -> ShardState | None:
        """The shard with the shortest estimated queue, to which later reads of the object will also go.

        A broker compares a random sample of its preferred shards, drawn for each object: if all brokers
        compared all nodes, they would all choose the same one. The set of preferred shards is fixed, so that
        connections are reused; a new connection for each object would cost the node extra work.

        :returns: None if no live node is available
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
        return min(candidates, key=lambda candidate: self._estimated_queue_units(candidate, units)).shard

    def _sample(self, candidates: list[_Candidate]) -> list[_Candidate]:
        derived = self._context.derived
        even_share = ceil(PLACEMENT_SAMPLE_FACTOR * len(candidates) / derived.broker_count)
        sample_size = max(MIN_PLACEMENT_SAMPLE_COUNT, even_share)
        preferred = [
            candidate for candidate in candidates if candidate.shard.shard in derived.preferred_shards
        ]
        population = preferred if len(preferred) >= sample_size else candidates
        return self._context.random.sample(population, min(len(population), sample_size))

    def _estimated_queue_units(self, candidate: _Candidate, units: float) -> float:
        """The estimated queue before a new object, in units scaled by the node's latency ratio."""
        shard, node = candidate
        local_units = shard.queued_units + node.open_units + units
        fleet_units = sum(shard.fleet_demand) / self._context.settings.broker_count
        queue_units = local_units * node.latency_ratio + fleet_units
        is_slow = shard.local_latency_ratio > OVERLOAD_ENTER_LATENCY_RATIO
        return queue_units * (SLOW_SHARD_PENALTY_FACTOR if is_slow or is_warming(self._context, node) else 1)
