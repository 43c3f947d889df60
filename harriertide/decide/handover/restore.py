"""Imports records into a scheduler, in the process that takes over."""

from __future__ import annotations

from collections import deque
from functools import partial

import msgspec

from harriertide.decide.demand_aggregate import DemandAggregate
from harriertide.decide.handover.records import DecisionRecord, LeasesRecord, NodeRecord, ShardRecord
from harriertide.decide.leases import LeaseSlot
from harriertide.decide.placement import PlacementRecord
from harriertide.decide.quota_credit import QuotaCredit
from harriertide.decide.quota_grants import SharedTokenBucket
from harriertide.decide.scheduler import Scheduler
from harriertide.decide.state import PRIORITY_BAND_COUNT, GrantedUnits, VolumeState

# Creates an object from the fields of a record; attributes that the record lacks have their defaults.
_load = partial(msgspec.convert, from_attributes=True)


def import_state(scheduler: Scheduler, record: DecisionRecord, now_us: int) -> None:
    """Import the state of the older process into a scheduler.

    :param scheduler: has the endpoint list and no requests yet
    :param now_us: the time by the older process's clock, which this process continues
    """
    _set_clock_back(scheduler, now_us)
    for node_record in record.nodes:
        _import_node(scheduler, node_record)
    for shard_record in record.shards:
        _import_shard(scheduler, shard_record)
    for volume_record in record.volumes:
        scheduler.rate_limits.add_volume(_load(volume_record, VolumeState))
    for shard, aggregate_record in record.aggregates.items():
        scheduler.demand.aggregates[shard] = _load(aggregate_record, DemandAggregate)
    baseline_us = scheduler.latency.by_class_us
    baseline_us[: len(record.baseline_latency_us)] = record.baseline_latency_us[: len(baseline_us)]
    scheduler.retry_budget.requests_at_us = deque(record.requests_at_us)
    scheduler.retry_budget.retries_at_us = deque(record.retries_at_us)
    scheduler.placements.by_key.update(
        {key: PlacementRecord(*placement) for key, placement in record.placements.items()}
    )
    if record.leases is not None:
        _import_leases(scheduler, record.leases)


def _set_clock_back(scheduler: Scheduler, now_us: int) -> None:
    """Set a scheduler's clock back to now_us if it is ahead.

    Otherwise buckets that the older process has spent would refill for the time by which this clock is ahead.
    """
    context = scheduler.context
    ahead_us = context.now_us - now_us
    if ahead_us <= 0:
        return
    context.now_us -= ahead_us
    context.started_at_us -= ahead_us
    context.timers.shift(-ahead_us)
    scheduler.demand.shift(-ahead_us)


def _import_node(scheduler: Scheduler, record: NodeRecord) -> None:
    """Import a node's state, unless the node has restarted since."""
    node = scheduler.endpoints.nodes.get(record.id)
    if node is None or node.started_us != record.started_us:
        return
    _copy_fields(record, node)
    node.granted = [GrantedUnits(*grant) for grant in record.granted]
    node.slow_start_credit = _load(record.slow_start_credit, QuotaCredit)


def _import_shard(scheduler: Scheduler, record: ShardRecord) -> None:
    """Import a shard's state if the shard is still in the endpoint list."""
    shard = scheduler.endpoints.shards.get(record.shard)
    if shard is None or len(record.demand) != PRIORITY_BAND_COUNT:
        return
    _copy_fields(record, shard)
    if sum(shard.demand) > 0:
        scheduler.demand.mark_active(shard)


def _copy_fields(record: msgspec.Struct, target: object) -> None:
    """Copy the fields of a record into an object that must not be replaced because others refer to it."""
    for name in record.__struct_fields__:
        setattr(target, name, getattr(record, name))


def _import_leases(scheduler: Scheduler, record: LeasesRecord) -> None:
    """Import the votes, leases and token buckets of the older process.

    Without them, the newer process could vote for one broker after the older process has voted for another.
    """
    leases, grants = scheduler.rate_limits.leases, scheduler.rate_limits.grants
    if leases is None or grants is None or leases.slots.keys() != record.slots.keys():
        return
    leases.epoch = record.epoch
    leases.slots = {number: _load(slot, LeaseSlot) for number, slot in record.slots.items()}
    grants.buckets = {key: _load(bucket, SharedTokenBucket) for key, bucket in record.buckets.items()}
