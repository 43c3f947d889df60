"""Figures that follow from the settings alone, worked out once when the settings come into force."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil
from random import Random
from typing import NamedTuple
from zlib import crc32

from harriertide.decide import api
from harriertide.decide.units import SECOND_US

# Shards, placements and volumes nobody uses are forgotten after a minute: longer than any surge, and short
# enough that memory follows what is in use.
IDLE_STATE_RETENTION_US = 60 * SECOND_US
# New objects go to one of a few shards of a broker's own, where it has connections already: each connection
# more costs a node work.
PREFERRED_SHARD_COUNT = 8
# All brokers together look at each node so many times over when they place objects: enough to find a node
# with little waiting, too few for all to meet at the same one.
PLACEMENT_SAMPLE_FACTOR = 4
# Wait before the endpoint list is polled again after a failed call: the bounds of the backoff for one broker.
POLL_FIRST_WAIT_US = 400_000
POLL_MAX_WAIT_US = 2_000_000
# What each broker of a fleet adds to the first wait, so that discovery gets as many calls in a second.
POLL_FIRST_WAIT_PER_BROKER_US = 6_000
# A warming node's budget is dealt out by coordinator and standby, half each, as either may be unreachable.
SLOW_START_HALF_RATIO = 0.5


class Coordinators(NamedTuple):
    """The brokers that sum up a shard's bids: the same two at every broker, by a stable hash."""

    primary: int
    standby: int


@dataclass(frozen=True, slots=True)
class DerivedSettings:
    """Figures that follow from the settings.

    is_standalone: no other broker can be notified. slow_start_ratio: the part of a warming node's budget that
    each of its coordinators deals out. highest_priority: of any request of these settings. preferred_shards:
    where new objects go first.
    """

    broker_index: int
    broker_count: int
    is_standalone: bool
    slow_start_ratio: float
    preferred_shards: frozenset[int]
    shortest_objective_us: int
    highest_priority: float
    volume_retention_us: int
    poll_first_wait_us: int
    poll_max_wait_us: int

    def coordinators(self, shard: int) -> Coordinators:
        """The broker that sums up the bids on a shard, and its standby."""
        if self.is_standalone:
            return Coordinators(self.broker_index, self.broker_index)
        primary = crc32(b"%d" % shard) % self.broker_count
        return Coordinators(primary, (primary + 1) % self.broker_count)


def derive(settings: api.Settings) -> DerivedSettings:
    """Work out what follows from these settings."""
    is_standalone = settings.broker_count == 1 or not settings.peer_messages_allowed
    poll_max_wait_us = max(POLL_FIRST_WAIT_US, min(POLL_MAX_WAIT_US, settings.poll_interval_us // 2))
    poll_first_wait_us = max(POLL_FIRST_WAIT_US, POLL_FIRST_WAIT_PER_BROKER_US * settings.broker_count)
    highest_priority = max(
        request_class.priority_weight * plan.priority_factor
        for request_class in settings.classes
        for plan in settings.plans
    )
    return DerivedSettings(
        broker_index=settings.broker_index,
        broker_count=settings.broker_count,
        is_standalone=is_standalone,
        slow_start_ratio=_slow_start_ratio(settings, is_standalone),
        preferred_shards=_preferred_shards(settings),
        shortest_objective_us=min(each.latency_objective_us for each in settings.classes),
        highest_priority=highest_priority or 1.0,
        volume_retention_us=_volume_retention_us(settings),
        poll_first_wait_us=min(poll_max_wait_us, poll_first_wait_us),
        poll_max_wait_us=poll_max_wait_us,
    )


def _slow_start_ratio(settings: api.Settings, is_standalone: bool) -> float:
    """The part of a warming node's budget that one coordinator deals out.

    Half of a budget under two large requests serves none of them: there the primary has all of it.
    """
    if is_standalone:
        return 1.0 / settings.broker_count
    is_small = settings.slow_start_units < 2 * settings.max_request_units
    return 1.0 if is_small else SLOW_START_HALF_RATIO


def _preferred_shards(settings: api.Settings) -> frozenset[int]:
    """Deterministic subsetting: brokers in turn deal out all shards once, each turn in an order of its own.

    So each shard is preferred by as many brokers as any other, with no word between them.
    """
    wanted = max(
        PREFERRED_SHARD_COUNT,
        ceil(PLACEMENT_SAMPLE_FACTOR * settings.shard_count / settings.broker_count),
    )
    size = min(settings.shard_count, wanted)
    turn, place = divmod(settings.broker_index, settings.shard_count // size)
    order = Random(turn).sample(range(settings.shard_count), settings.shard_count)
    return frozenset(order[place * size :][:size])


def _volume_retention_us(settings: api.Settings) -> int:
    """After so long without requests all buckets of a volume are full again: nothing is lost with it."""
    refill_times_us = [
        int(SECOND_US * plan.burst_limit_units / plan.rate_limit)
        for plan in settings.plans
        if plan.rate_limit > 0
    ]
    return max(IDLE_STATE_RETENTION_US, *refill_times_us, 0)
