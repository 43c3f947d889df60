"""Reading records into a scheduler, in the process that takes over."""

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

# An object takes the fields of a record; those that the record does not have begin as in a new object.
_load = partial(msgspec.convert, from_attributes=True)


def import_state(scheduler: Scheduler, record: DecisionRecord, now_us: int) -> None:
    """Have a scheduler that has the endpoint list, and no requests yet, continue from there.

    :param now_us: by the clock of the process before, which this one uses from now on
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
    """Have a scheduler whose clock is ahead of this one continue on this one.

    Guards against time that has passed for it alone: buckets would fill in it that another process has spent.
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
    """Take a node's figures, unless it has started anew since."""
    node = scheduler.endpoints.nodes.get(record.id)
    if node is None or node.started_us != record.started_us:
        return
    _copy_fields(record, node)
    node.granted = [GrantedUnits(*grant) for grant in record.granted]
    node.slow_start_credit = _load(record.slow_start_credit, QuotaCredit)


def _import_shard(scheduler: Scheduler, record: ShardRecord) -> None:
    """Take a shard's figures, if it is still listed."""
    shard = scheduler.endpoints.shards.get(record.shard)
    if shard is None or len(record.demand) != PRIORITY_BAND_COUNT:
        return
    _copy_fields(record, shard)
    if sum(shard.demand) > 0:
        scheduler.demand.mark_active(shard)


def _copy_fields(record: msgspec.Struct, target: object) -> None:
    """Set the fields of an object that others refer to, so that it cannot be replaced by a new one."""
    for name in record.__struct_fields__:
        setattr(target, name, getattr(record, name))


def _import_leases(scheduler: Scheduler, record: LeasesRecord) -> None:
    """Continue with the votes and buckets of the process before.

    Guards against a vote that is given twice: the newer process would otherwise vote for one broker after the
    older one has voted for another.
    """
    leases, grants = scheduler.rate_limits.leases, scheduler.rate_limits.grants
    if leases is None or grants is None or leases.slots.keys() != record.slots.keys():
        return
    leases.epoch = record.epoch
    leases.slots = {number: _load(slot, LeaseSlot) for number, slot in record.slots.items()}
    grants.buckets = {key: _load(bucket, SharedTokenBucket) for key, bucket in record.buckets.items()}
