"""Values derived from the settings alone, computed once when the settings take effect."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil
from random import Random
from typing import NamedTuple
from zlib import crc32

from harriertide.decide import api
from harriertide.decide.units import SECOND_US

# Retention of unused placements and volumes, and of bidders: longer than any surge, and short enough to bound
# memory by what is in use.
IDLE_STATE_RETENTION_US = 60 * SECOND_US
# A broker places new objects at a few preferred shards, to which it has connections already: each additional
# connection costs a node extra work.
PREFERRED_SHARD_COUNT = 8
# Number of brokers in whose placement sample each node is, on average: enough to find a node with a short
# queue, and too few for all brokers to choose the same node.
PLACEMENT_SAMPLE_FACTOR = 4
# Bounds of the backoff with which the endpoint list is polled again after a failed call, for a single broker.
POLL_FIRST_WAIT_US = 400_000
POLL_MAX_WAIT_US = 2_000_000
# Increase of the first wait per broker of the fleet, which keeps discovery's call rate independent of the
# number of brokers.
POLL_FIRST_WAIT_PER_BROKER_US = 6_000
# The coordinator and its standby each grant half of a warming node's budget, as either may be unreachable.
SLOW_START_HALF_RATIO = 0.5


class Coordinators(NamedTuple):
    """The two brokers that sum a shard's bids; a stable hash gives the same two at every broker."""

    primary: int
    standby: int


@dataclass(frozen=True, slots=True)
class DerivedSettings:
    """Values derived from the settings.

    is_standalone: there is no other broker, or messages to peers are not allowed. slow_start_ratio: the part
    of a warming node's budget that each of its coordinators grants. highest_priority: the highest priority
    that a request can have. preferred_shards: the shards at which this broker places new objects first.
    volume_retention_us: time without requests after which a volume is forgotten. rate_limit_refill_us: the
    time in which an empty bucket of any plan's rate limit fills up.
    """

    broker_index: int
    broker_count: int
    is_standalone: bool
    slow_start_ratio: float
    preferred_shards: frozenset[int]
    shortest_objective_us: int
    highest_priority: float
    volume_retention_us: int
    rate_limit_refill_us: int
    poll_first_wait_us: int
    poll_max_wait_us: int

    def coordinators(self, shard: int) -> Coordinators:
        """The broker that sums the bids on a shard, and its standby."""
        if self.is_standalone:
            return Coordinators(self.broker_index, self.broker_index)
        primary = crc32(b"%d" % shard) % self.broker_count
        return Coordinators(primary, (primary + 1) % self.broker_count)


def derive(settings: api.Settings) -> DerivedSettings:
    """Compute the values derived from these settings."""
    is_standalone = settings.broker_count == 1 or not settings.peer_messages_allowed
    poll_max_wait_us = max(POLL_FIRST_WAIT_US, min(POLL_MAX_WAIT_US, settings.poll_interval_us // 2))
    poll_first_wait_us = max(POLL_FIRST_WAIT_US, POLL_FIRST_WAIT_PER_BROKER_US * settings.broker_count)
    highest_priority = max(
        request_class.priority_weight * plan.priority_factor
        for request_class in settings.classes
        for plan in settings.plans
    )
    rate_limit_refill_us = _rate_limit_refill_us(settings)
    return DerivedSettings(
        broker_index=settings.broker_index,
        broker_count=settings.broker_count,
        is_standalone=is_standalone,
        slow_start_ratio=_slow_start_ratio(settings, is_standalone),
        preferred_shards=_preferred_shards(settings),
        shortest_objective_us=min(each.latency_objective_us for each in settings.classes),
        highest_priority=highest_priority or 1.0,
        volume_retention_us=max(IDLE_STATE_RETENTION_US, rate_limit_refill_us),
        rate_limit_refill_us=rate_limit_refill_us,
        poll_first_wait_us=min(poll_max_wait_us, poll_first_wait_us),
        poll_max_wait_us=poll_max_wait_us,
    )


def _slow_start_ratio(settings: api.Settings, is_standalone: bool) -> float:
    """The part of a warming node's budget that one coordinator grants.

    Half of a budget smaller than two of the largest requests could not cover one of them, so the primary then
    grants the whole budget.
    """
    if is_standalone:
        return 1.0 / settings.broker_count
    is_small = settings.slow_start_units < 2 * settings.max_request_units
    return 1.0 if is_small else SLOW_START_HALF_RATIO


def _preferred_shards(settings: api.Settings) -> frozenset[int]:
    """Deterministic subsetting: each round of consecutive brokers divides all shards in an order of its own.

    Every shard is thus preferred by about the same number of brokers, without any communication.
    """
    preferred_count = max(
        PREFERRED_SHARD_COUNT,
        ceil(PLACEMENT_SAMPLE_FACTOR * settings.shard_count / settings.broker_count),
    )
    size = min(settings.shard_count, preferred_count)
    round_index, position = divmod(settings.broker_index, settings.shard_count // size)
    order = Random(round_index).sample(range(settings.shard_count), settings.shard_count)
    return frozenset(order[position * size :][:size])


def _rate_limit_refill_us(settings: api.Settings) -> int:
    """Time in which an empty bucket of any plan's rate limit fills up."""
    refill_times_us = [
        int(SECOND_US * plan.burst_limit_units / plan.rate_limit)
        for plan in settings.plans
        if plan.rate_limit > 0
    ]
    return max(refill_times_us, default=0)
