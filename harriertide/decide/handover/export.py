"""Exports a scheduler's state to records, in the process that hands over."""

from __future__ import annotations

from functools import partial

import msgspec

from harriertide.decide.handover.records import (
    AggregateRecord,
    DecisionRecord,
    LeaseSlotRecord,
    LeasesRecord,
    NodeRecord,
    ShardRecord,
    SharedTokenBucketRecord,
    VolumeRecord,
)
from harriertide.decide.scheduler import Scheduler

# Copies those attributes of an object that the record has fields for, and no others.
_store = partial(msgspec.convert, from_attributes=True)


def export_state(scheduler: Scheduler) -> DecisionRecord:
    """Export a scheduler's state, without open requests and attempts, which stay with their process."""
    retry_budget = scheduler.retry_budget
    return DecisionRecord(
        nodes=[_store(node, NodeRecord) for node in scheduler.endpoints.nodes.values()],
        shards=[_store(shard, ShardRecord) for shard in scheduler.endpoints.shards.values()],
        volumes=[_store(volume, VolumeRecord) for volume in scheduler.rate_limits.volumes.values()],
        aggregates={
            shard: _store(aggregate, AggregateRecord)
            for shard, aggregate in scheduler.demand.aggregates.items()
        },
        baseline_latency_us=list(scheduler.latency.by_class_us),
        requests_at_us=list(retry_budget.requests_at_us),
        retries_at_us=list(retry_budget.retries_at_us),
        placements={
            key: (placed.shard, placed.placed_at_us) for key, placed in scheduler.placements.by_key.items()
        },
        leases=_leases_record(scheduler),
    )


def _leases_record(scheduler: Scheduler) -> LeasesRecord | None:
    leases, grants = scheduler.rate_limits.leases, scheduler.rate_limits.grants
    if leases is None or grants is None:
        return None
    slots = {number: _store(slot, LeaseSlotRecord) for number, slot in leases.slots.items()}
    buckets = {key: _store(bucket, SharedTokenBucketRecord) for key, bucket in grants.buckets.items()}
    return LeasesRecord(leases.epoch, slots, buckets)
