"""Whether a request is admitted: its priority, this broker's allotment of a shard, and percent thinning,
which is probabilistic load shedding.

An overloaded shard's capacity is dealt out by priority band, the highest first, over the demand of all
brokers together. Each broker admits the same part of its own demand in a band, so their sum is what the shard
can do.
"""

from __future__ import annotations

from math import log

from harriertide.decide.capacity import DEALT_CAPACITY_RATIO, OVERLOAD_LEAVE_LATENCY_RATIO
from harriertide.decide.context import DecisionContext
from harriertide.decide.endpoints import BID_LIFETIME_US
from harriertide.decide.state import PRIORITY_BAND_COUNT, RequestState, ShardState, VolumeState
from harriertide.decide.token_bucket import TokenBucket

# What is admitted over the learned capacity: slightly more, so that one that is learned too low can rise.
ADMIT_TARGET_RATIO = 1.05
# By how much the target is lowered for each latency objective by which answers exceed the threshold where an
# overload ends: the backlog is worked off first. The excess counts up to the second figure.
BACKLOG_RELIEF_RATIO = 0.5
MAX_BACKLOG_LATENCY_RATIO = 0.7
# Twice that where brokers offer less than a mean request a second each: figures are rough there, and each
# sends one request at least.
SPARSE_RELIEF_FACTOR = 2
# Priority of a band over that of the next lower one: six bands span some two decades.
BAND_PRIORITY_FACTOR = 2.2
MIN_FLEET_DEMAND = 0.01  # units a second; guards a division where nothing is offered


def update_allotment(context: DecisionContext, shard: ShardState) -> None:
    """Work out what this broker may send to a shard, in units a second, and the odds of each band."""
    remaining_rate = _target_rate(context, shard)
    is_report_missing = context.now_us - shard.updated_at_us > BID_LIFETIME_US
    if not shard.is_capacity_known and is_report_missing:
        # new here, or never notified of its capacity: an even part
        shard.allotment = remaining_rate / context.settings.broker_count
        return
    # Where reports are missing the last one is used on: an even part would starve each of hundreds of
    # brokers.
    local_demand = sum(shard.demand)
    shard.allotment = 0.0
    for band, fleet_demand in enumerate(shard.fleet_demand):
        taken = min(remaining_rate, fleet_demand)
        remaining_rate -= taken
        probability = taken / fleet_demand if fleet_demand > 0 else min(1.0, remaining_rate)
        shard.admit_probability[band] = probability
        shard.allotment += probability * shard.demand[band]
    shard.allotment += remaining_rate * min(
        1.0, local_demand / max(MIN_FLEET_DEMAND, sum(shard.fleet_demand))
    )


def _target_rate(context: DecisionContext, shard: ShardState) -> float:
    """Units a second that all brokers together may send to a shard."""
    settings = context.settings
    is_sparse = sum(shard.fleet_demand) < settings.broker_count * settings.mean_request_units
    relief = BACKLOG_RELIEF_RATIO * (SPARSE_RELIEF_FACTOR if is_sparse else 1)
    backlog = max(0.0, shard.fleet_latency_ratio - OVERLOAD_LEAVE_LATENCY_RATIO)
    return (ADMIT_TARGET_RATIO - relief * min(MAX_BACKLOG_LATENCY_RATIO, backlog)) * shard.capacity


def charge_quota_and_classify(context: DecisionContext, request: RequestState, shard: ShardState) -> None:
    """Charge a request to its volume's quota; put it into a priority band by class, plan and quota."""
    settings = context.settings
    plan, volume = settings.plans[request.arrival.plan], request.volume
    quota_weight = _charge_quota(context, request, shard, volume)
    if request.arrival.is_retry:
        # a client's retry belongs to its first attempt, and is late for that
        quota_weight *= request.request_class.late_priority_weight
    weight = request.request_class.priority_weight * plan.priority_factor
    request.priority_band = _band(weight * quota_weight / context.derived.highest_priority)


def _charge_quota(
    context: DecisionContext, request: RequestState, shard: ShardState, volume: VolumeState
) -> float:
    """Take a request's units from its volume's quota at a shard; return its weight by what is left there.

    A bucket may fall below 0 by its last request: quotas of less than one request would else never serve.
    """
    settings, now_us = context.settings, context.now_us
    plan = settings.plans[request.arrival.plan]
    weight = plan.weight * volume.local_ratio
    shard.volume_weights[request.arrival.volume] = weight
    quota_rate = DEALT_CAPACITY_RATIO * shard.capacity * weight / max(shard.weight_sum, plan.weight)
    quota = volume.quota_buckets.setdefault(shard.shard, TokenBucket(quota_rate, now_us))
    reserved_rate = plan.reserved_rate * volume.local_ratio
    reserved_units = volume.reserved_bucket.refill(now_us, reserved_rate, reserved_rate)
    quota_units = quota.refill(now_us, quota_rate, quota_rate)
    if reserved_units > 0:
        request.charged_bucket = volume.reserved_bucket
    elif quota_units > 0:
        request.charged_bucket = quota
    else:
        return settings.beyond_quota_weight
    request.charged_bucket.units -= request.arrival.units
    return 1.0 if reserved_units > 0 else settings.within_quota_weight


def _band(priority: float) -> int:
    """The band of a priority between 0 and 1, the highest one being 0."""
    lowest = PRIORITY_BAND_COUNT - 1
    if priority <= 0:
        return lowest
    return min(lowest, int(-log(priority) / log(BAND_PRIORITY_FACTOR)))


def is_thinned_out(context: DecisionContext, request: RequestState, shard: ShardState) -> bool:
    """Percent thinning: whether a request is among those that an overloaded shard cannot do.

    Draws a random number where the shard is overloaded, and none where it is not.
    """
    if not shard.is_limited:
        return False
    return context.random.random() >= shard.admit_probability[request.priority_band]
