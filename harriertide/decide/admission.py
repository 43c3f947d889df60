"""Admission control: a request's priority, this broker's allotment of a shard, and load shedding.

The capacity of an overloaded shard is allocated by priority band, the highest first, to the demand of all
brokers together. In each band every broker admits the same proportion of its own demand, chosen at random, so
that the admitted requests of all brokers add up to the shard's capacity.
"""

from __future__ import annotations

from math import log

from harriertide.decide.capacity import OVERLOAD_LEAVE_LATENCY_RATIO, QUOTA_CAPACITY_RATIO
from harriertide.decide.context import DecisionContext
from harriertide.decide.endpoints import BID_LIFETIME_US
from harriertide.decide.state import PRIORITY_BAND_COUNT, RequestState, ShardState, VolumeState
from harriertide.decide.token_bucket import TokenBucket

# Admitted rate relative to the learned capacity: slightly above 1, so that an estimate that is too low rises.
ADMIT_TARGET_RATIO = 1.05
# Reduction of the target ratio per unit of latency ratio above OVERLOAD_LEAVE_LATENCY_RATIO, so that the
# backlog drains. The excess counts up to MAX_BACKLOG_LATENCY_RATIO.
BACKLOG_REDUCTION_RATIO = 0.5
MAX_BACKLOG_LATENCY_RATIO = 0.7
# Factor on the reduction where brokers offer less than one mean request a second each: estimates are coarse
# there, and each broker sends at least one request.
SPARSE_REDUCTION_FACTOR = 2
# Ratio of priorities between adjacent bands; six bands span about two orders of magnitude.
BAND_PRIORITY_FACTOR = 2.2
MIN_FLEET_DEMAND = 0.01  # units a second; avoids a division by zero where there is no demand


def update_allotment(context: DecisionContext, shard: ShardState) -> None:
    """Compute what this broker may send to a shard, in units a second, and each band's admit probability."""
    remaining_rate = _target_rate(context, shard)
    is_report_missing = context.now_us - shard.updated_at_us > BID_LIFETIME_US
    if not shard.is_capacity_known and is_report_missing:
        # The shard is new to this broker or its capacity was never reported: take an even share.
        shard.allotment = remaining_rate / context.settings.broker_count
        return
    # If reports stop, the last one stays in use: an even share among hundreds of brokers would be too little
    # for any of them.
    local_demand = sum(shard.demand)
    shard.allotment = 0.0
    for band, fleet_demand in enumerate(shard.fleet_demand):
        admitted_rate = min(remaining_rate, fleet_demand)
        remaining_rate -= admitted_rate
        probability = admitted_rate / fleet_demand if fleet_demand > 0 else min(1.0, remaining_rate)
        shard.admit_probability[band] = probability
        shard.allotment += probability * shard.demand[band]
    shard.allotment += remaining_rate * min(
        1.0, local_demand / max(MIN_FLEET_DEMAND, sum(shard.fleet_demand))
    )


def _target_rate(context: DecisionContext, shard: ShardState) -> float:
    """The rate that all brokers together may send to a shard, in units a second."""
    settings = context.settings
    is_sparse = sum(shard.fleet_demand) < settings.broker_count * settings.mean_request_units
    reduction = BACKLOG_REDUCTION_RATIO * (SPARSE_REDUCTION_FACTOR if is_sparse else 1)
    backlog = max(0.0, shard.fleet_latency_ratio - OVERLOAD_LEAVE_LATENCY_RATIO)
    return (ADMIT_TARGET_RATIO - reduction * min(MAX_BACKLOG_LATENCY_RATIO, backlog)) * shard.capacity


def charge_quota_and_classify(context: DecisionContext, request: RequestState, shard: ShardState) -> None:
    """Charge a request to its volume's quota and set its priority band by class, plan and quota."""
    settings = context.settings
    plan, volume = settings.plans[request.arrival.plan], request.volume
    quota_weight = _charge_quota(context, request, shard, volume)
    if request.arrival.is_retry:
        # a client's retry counts as a late answer to the client's first request
        quota_weight *= request.request_class.late_priority_weight
    weight = request.request_class.priority_weight * plan.priority_factor
    request.priority_band = _band(weight * quota_weight / context.derived.highest_priority)


def _charge_quota(
    context: DecisionContext, request: RequestState, shard: ShardState, volume: VolumeState
) -> float:
    """Charge a request's units to its volume's quota at a shard, and return the request's quota weight.

    The last request may take a bucket below 0. Otherwise a quota smaller than one request would admit none.
    """
    settings, now_us = context.settings, context.now_us
    plan = settings.plans[request.arrival.plan]
    weight = plan.weight * volume.local_ratio
    shard.volume_weights[request.arrival.volume] = weight
    quota_rate = QUOTA_CAPACITY_RATIO * shard.capacity * weight / max(shard.weight_sum, plan.weight)
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
    """The band of a priority between 0 and 1; band 0 is the highest."""
    lowest = PRIORITY_BAND_COUNT - 1
    if priority <= 0:
        return lowest
    return min(lowest, int(-log(priority) / log(BAND_PRIORITY_FACTOR)))


def should_shed(context: DecisionContext, request: RequestState, shard: ShardState) -> bool:
    """Whether to shed a request of an overloaded shard, by the admit probability of its band.

    Draws a random number only if the shard is limited.
    """
    if not shard.is_limited:
        return False
    return context.random.random() >= shard.admit_probability[request.priority_band]
