"""What a broker's decisions know, as records that a newer process of the same broker goes on from.

Requests stay with the process that took them, and what is in flight at nodes with them. Times are those of
the clock that both processes go by. The records' names on disk are those of their first release (`rename=`),
so that processes of different releases can take over from each other. Nothing here decides anything.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import replace
from typing import Any, TypeVar

from msgspec import Struct, field

from harriertide.decide import api
from harriertide.decide.demand_aggregate import DemandAggregate, ReceivedBid
from harriertide.decide.leases import Ballot, Leases, LeaseSlot
from harriertide.decide.placement import PlacementRecord
from harriertide.decide.quota_credit import QuotaCredit
from harriertide.decide.quota_grants import Grant, SharedTokenBucket
from harriertide.decide.scheduler import Scheduler
from harriertide.decide.state import PRIORITY_BAND_COUNT, NodeState, ShardState, VolumeState
from harriertide.decide.token_bucket import TokenBucket

T = TypeVar("T")

# In place of a figure that must be above 0: no request fits in.
NOTHING_UNITS = 1e-6


class TokenBucketRecord(Struct, rename={"refilled_at_us": "at_us"}):
    """A token bucket."""

    units: float
    refilled_at_us: int


class QuotaCreditRecord(
    Struct,
    rename={
        "expires_at_us": "end_us",
        "request_number": "number",
        "useful_units": "least",
        "is_short": "short",
        "unanswered": "misses",
        "requested_at_us": "asked_us",
        "retry_at_us": "again_us",
        "used_units": "used",
    },
):
    """Units that another broker has granted."""

    units: float
    expires_at_us: int
    request_number: int
    wanted: int
    useful_units: float
    is_short: bool
    unanswered: int
    requested_at_us: int
    retry_at_us: int
    used_units: int


class NodeRecord(
    Struct,
    rename={
        "latency_ratio": "fast",
        "consecutive_failures": "streak",
        "is_ejected": "silent",
        "next_trial_at_us": "trial_us",
        "granted": "given",
        "answered_units": "answered",
        "proven_units": "proof",
        "proven_us": "proof_us",
        "slow_start_credit": "gift",
    },
):
    """A node's health, and what was granted of it while it warms up."""

    id: str
    started_us: int
    latency_ratio: float
    consecutive_failures: int
    is_ejected: bool
    next_trial_at_us: int
    granted: list[tuple[int, float]]
    answered_units: float
    answered_us: int
    proven_units: float
    proven_us: int
    slow_start_credit: QuotaCreditRecord


class ShardRecord(
    Struct,
    rename={
        "updated_at_us": "heard_us",
        "is_capacity_known": "learned",
        "is_overloaded": "pressed",
        "fleet_latency_ratio": "strain_all",
        "local_latency_ratio": "strain",
        "allotment": "rate",
        "unanswered_bids": "bids",
        "fleet_demand": "totals",
        "admit_probability": "chance",
    },
):
    """A shard's learned capacity, the sums of all brokers, and this broker's demand."""

    shard: int
    updated_at_us: int
    weight_sum: float
    capacity: float
    is_capacity_known: bool
    is_overloaded: bool
    fleet_latency_ratio: float
    local_latency_ratio: float
    allotment: float
    unanswered_bids: int
    demand: list[float]
    fleet_demand: list[float]
    admit_probability: list[float]


class VolumeRecord(
    Struct,
    rename={
        "local_ratio": "part",
        "reserved_bucket": "reserve",
        "rate_limit_bucket": "limit",
        "quota_buckets": "shares",
    },
):
    """A volume's buckets here."""

    key: int
    local_ratio: float
    reserved_bucket: TokenBucketRecord
    rate_limit_bucket: TokenBucketRecord
    quota_buckets: dict[int, TokenBucketRecord]
    credit: QuotaCreditRecord


class AggregateRecord(
    Struct,
    rename={
        "updated_at_us": "heard_us",
        "bids": "rows",
        "is_capacity_known": "learned",
        "is_overloaded": "pressed",
        "next_estimate_at_us": "learn_us",
        "is_overload_announced": "warned",
        "next_announcement_at_us": "warn_us",
        "latency_ratio": "strain",
        "bidders": "users",
    },
):
    """A coordinator's sums of the bids on one shard. bids: by broker, when and its figures."""

    sums: list[float]
    updated_at_us: int
    bids: dict[int, tuple[int, list[float]]]
    capacity: float
    is_capacity_known: bool
    is_overloaded: bool
    next_estimate_at_us: int
    is_overload_announced: bool
    next_announcement_at_us: int
    latency_ratio: float
    bidders: dict[int, int]


class LeaseSlotRecord(
    Struct,
    rename={
        "promised_to": "promised",
        "promised_until_us": "until_us",
        "ballot_number": "number",
        "candidate_since_us": "stood_us",
        "ballots": "calls",
        "held_since_us": "since_us",
        "held_until_us": "end_us",
    },
):
    """A slot of plan limits. ballots: by number, when votes were asked for and who has voted."""

    promised_to: int
    promised_until_us: int
    ballot_number: int
    candidate_since_us: int
    ballots: dict[int, tuple[int, set[int]]]
    held_since_us: int
    held_until_us: int


class SharedTokenBucketRecord(
    Struct,
    rename={
        "lease_since_us": "since_us",
        "refilled_at_us": "at_us",
        "requested_at_us": "heard_us",
        "grants": "asks",
    },
):
    """A volume's bucket at its holder. grants: by broker, the fields of quota_grants.Grant in their order."""

    lease_since_us: int
    units: float
    refilled_at_us: int
    requested_at_us: int
    grants: dict[int, tuple[int, int, int, int, int]]


class LeasesRecord(Struct, rename={"buckets": "funds"}):
    """The slots that this broker votes on or holds, and the buckets that it holds."""

    epoch: int
    slots: dict[int, LeaseSlotRecord]
    buckets: dict[int, SharedTokenBucketRecord]


class DecisionRecord(
    Struct,
    rename={
        "aggregates": "tallies",
        "usual_latency_us": "usual",
        "requests_at_us": "taken",
        "retries_at_us": "extra",
        "placements": "placed",
    },
):
    """All of it. placements: by key, the shard and when."""

    nodes: list[NodeRecord] = field(default_factory=list)
    shards: list[ShardRecord] = field(default_factory=list)
    volumes: list[VolumeRecord] = field(default_factory=list)
    aggregates: dict[int, AggregateRecord] = field(default_factory=dict)
    usual_latency_us: list[float] = field(default_factory=list)
    requests_at_us: list[int] = field(default_factory=list)
    retries_at_us: list[int] = field(default_factory=list)
    placements: dict[str, tuple[int, int]] = field(default_factory=dict)
    leases: LeasesRecord | None = None


# --- from what the scheduler knows ----------------------------------------------------------------------


def _to_record(source: object, record_type: type[T], **converted: Any) -> T:
    """A record with the source's fields of the same names; those that need a conversion are given."""
    names = record_type.__struct_fields__  # type: ignore[attr-defined]
    return record_type(
        **{name: getattr(source, name) for name in names if name not in converted}, **converted
    )


def export_state(scheduler: Scheduler) -> DecisionRecord:
    """What a scheduler knows by now."""
    rate_limits, retry_budget = scheduler.rate_limits, scheduler.retry_budget
    return DecisionRecord(
        nodes=[_node_record(node) for node in scheduler.endpoints.nodes.values()],
        shards=[_to_record(shard, ShardRecord) for shard in scheduler.endpoints.shards.values()],
        volumes=[_volume_record(volume) for volume in rate_limits.volumes.values()],
        aggregates={
            shard: _aggregate_record(aggregate) for shard, aggregate in scheduler.demand.aggregates.items()
        },
        usual_latency_us=list(scheduler.latency.by_class_us),
        requests_at_us=list(retry_budget.requests_at_us),
        retries_at_us=list(retry_budget.retries_at_us),
        placements={
            key: (placed.shard, placed.placed_at_us) for key, placed in scheduler.placements.by_key.items()
        },
        leases=_leases_record(scheduler),
    )


def _node_record(node: NodeState) -> NodeRecord:
    credit = _to_record(node.slow_start_credit, QuotaCreditRecord)
    return _to_record(node, NodeRecord, granted=list(node.granted), slow_start_credit=credit)


def _volume_record(volume: VolumeState) -> VolumeRecord:
    return _to_record(
        volume,
        VolumeRecord,
        reserved_bucket=_to_record(volume.reserved_bucket, TokenBucketRecord),
        rate_limit_bucket=_to_record(volume.rate_limit_bucket, TokenBucketRecord),
        quota_buckets={
            shard: _to_record(bucket, TokenBucketRecord) for shard, bucket in volume.quota_buckets.items()
        },
        credit=_to_record(volume.credit, QuotaCreditRecord),
    )


def _aggregate_record(aggregate: DemandAggregate) -> AggregateRecord:
    bids = {broker: (bid.received_at_us, bid.figures) for broker, bid in aggregate.bids.items()}
    return _to_record(aggregate, AggregateRecord, bids=bids)


def _leases_record(scheduler: Scheduler) -> LeasesRecord | None:
    leases, grants = scheduler.rate_limits.leases, scheduler.rate_limits.grants
    if leases is None or grants is None:
        return None
    slots = {number: _slot_record(slot) for number, slot in leases.slots.items()}
    buckets = {key: _shared_bucket_record(bucket) for key, bucket in grants.buckets.items()}
    return LeasesRecord(leases.epoch, slots, buckets)


def _slot_record(slot: LeaseSlot) -> LeaseSlotRecord:
    ballots = {number: (ballot.requested_at_us, ballot.voters) for number, ballot in slot.ballots.items()}
    return _to_record(slot, LeaseSlotRecord, ballots=ballots)


def _shared_bucket_record(bucket: SharedTokenBucket) -> SharedTokenBucketRecord:
    grants = {
        broker: (
            grant.epoch,
            grant.number,
            grant.granted_units,
            grant.used_units_before,
            grant.granted_at_us,
        )
        for broker, grant in bucket.grants.items()
    }
    return _to_record(bucket, SharedTokenBucketRecord, grants=grants)


# --- into a scheduler -----------------------------------------------------------------------------------


def _from_record(record: Struct, target: type[T], **converted: Any) -> T:
    """An object with the record's fields; those that need a conversion are given."""
    names = record.__struct_fields__
    return target(**{name: getattr(record, name) for name in names if name not in converted}, **converted)


def _restore(record: Struct, target: object, names: Iterable[str]) -> None:
    """Set an object's fields to the record's."""
    for name in names:
        setattr(target, name, getattr(record, name))


def import_state(scheduler: Scheduler, record: DecisionRecord, now_us: int) -> None:
    """Have a scheduler that has the endpoint list, and no requests yet, go on from there.

    :param now_us: by the clock of the process before, which this one goes by from now on
    """
    _set_clock_back(scheduler, now_us)
    for node_record in record.nodes:
        _import_node(scheduler, node_record)
    for shard_record in record.shards:
        _import_shard(scheduler, shard_record)
    for volume_record in record.volumes:
        scheduler.rate_limits.add_volume(_read_volume(volume_record))
    for shard, aggregate_record in record.aggregates.items():
        scheduler.demand.aggregates[shard] = _read_aggregate(aggregate_record)
    usual_us = scheduler.latency.by_class_us
    usual_us[: len(record.usual_latency_us)] = record.usual_latency_us[: len(usual_us)]
    scheduler.retry_budget.requests_at_us = deque(record.requests_at_us)
    scheduler.retry_budget.retries_at_us = deque(record.retries_at_us)
    scheduler.placements.by_key.update(
        {key: PlacementRecord(*placement) for key, placement in record.placements.items()}
    )
    if record.leases is not None:
        _import_leases(scheduler, record.leases)


def _set_clock_back(scheduler: Scheduler, now_us: int) -> None:
    """Have a scheduler that ran on a clock ahead of this one go by this one.

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
    same = set(record.__struct_fields__) - {"granted", "slow_start_credit"}
    _restore(record, node, same)
    node.granted = deque(record.granted)
    node.slow_start_credit = _from_record(record.slow_start_credit, QuotaCredit)


def _import_shard(scheduler: Scheduler, record: ShardRecord) -> None:
    """Take a shard's figures, if it is still listed."""
    shard: ShardState | None = scheduler.endpoints.shards.get(record.shard)
    if shard is None or len(record.demand) != PRIORITY_BAND_COUNT:
        return
    _restore(record, shard, record.__struct_fields__)
    if sum(shard.demand) > 0:
        scheduler.demand.mark_active(shard)


def _read_volume(record: VolumeRecord) -> VolumeState:
    return _from_record(
        record,
        VolumeState,
        reserved_bucket=_from_record(record.reserved_bucket, TokenBucket),
        rate_limit_bucket=_from_record(record.rate_limit_bucket, TokenBucket),
        quota_buckets={
            shard: _from_record(bucket, TokenBucket) for shard, bucket in record.quota_buckets.items()
        },
        credit=_from_record(record.credit, QuotaCredit),
    )


def _read_aggregate(record: AggregateRecord) -> DemandAggregate:
    bids = {broker: ReceivedBid(at_us, figures) for broker, (at_us, figures) in record.bids.items()}
    return _from_record(record, DemandAggregate, bids=bids)


def _import_leases(scheduler: Scheduler, record: LeasesRecord) -> None:
    """Go on with the votes and buckets of the process before.

    Guards against a vote that is given twice: the newer process would else vote for one that the older did
    not.
    """
    leases, grants = scheduler.rate_limits.leases, scheduler.rate_limits.grants
    if leases is None or grants is None or leases.slots.keys() != record.slots.keys():
        return
    leases.epoch = record.epoch
    _read_slots(leases, record)
    grants.buckets = {key: _read_shared_bucket(bucket) for key, bucket in record.buckets.items()}


def _read_slots(leases: Leases, record: LeasesRecord) -> None:
    leases.slots = {
        number: _from_record(
            slot,
            LeaseSlot,
            ballots={number: Ballot(at_us, voters) for number, (at_us, voters) in slot.ballots.items()},
        )
        for number, slot in record.slots.items()
    }


def _read_shared_bucket(record: SharedTokenBucketRecord) -> SharedTokenBucket:
    grants = {broker: Grant(*grant) for broker, grant in record.grants.items()}
    return _from_record(record, SharedTokenBucket, grants=grants)


# --- settings of a superseded process -------------------------------------------------------------------


def superseded(settings: api.Settings) -> api.Settings:
    """Settings of a process whose budgets a newer one has: nothing of a limit, nothing of a warming node.

    What it has taken goes on otherwise: requests of plans without a limit, at nodes that are warm.
    """
    plans = tuple(
        replace(plan, rate_limit=NOTHING_UNITS, burst_limit_units=NOTHING_UNITS)
        if plan.rate_limit > 0
        else plan
        for plan in settings.plans
    )
    return replace(settings, plans=plans, slow_start_units=NOTHING_UNITS, slow_start_initial_ratio=1.0)
