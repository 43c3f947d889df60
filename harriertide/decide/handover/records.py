"""The stored form of a broker's decision state, for a newer process of the same broker.

The stored names are those of the first release (`rename=`), so that processes of different releases can take
over from each other. A record keeps its form when the type that it stores changes.
"""

from __future__ import annotations

from msgspec import Struct, field


class TokenBucketRecord(Struct, rename={"refilled_at_us": "at_us"}):
    """Stored form of `token_bucket.TokenBucket`."""

    units: float
    refilled_at_us: int


class QuotaCreditRecord(
    Struct,
    rename={
        "expires_at_us": "end_us",
        "request_number": "number",
        "min_useful_units": "least",
        "is_short": "short",
        "unanswered": "misses",
        "requested_at_us": "asked_us",
        "retry_at_us": "again_us",
        "used_units": "used",
    },
):
    """Stored form of `quota_credit.QuotaCredit`."""

    units: float
    expires_at_us: int
    request_number: int
    wanted: int
    min_useful_units: float
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
        "measured_units": "proof",
        "measured_us": "proof_us",
        "slow_start_credit": "gift",
    },
):
    """A node's health, and the slow start state of a warming node. granted: when and how many units."""

    id: str
    started_us: int
    latency_ratio: float
    consecutive_failures: int
    is_ejected: bool
    next_trial_at_us: int
    granted: list[tuple[int, float]]
    answered_units: float
    answered_us: int
    measured_units: float
    measured_us: int
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
    """A shard's learned capacity, the demand of all brokers, and this broker's own demand."""

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
    """A volume's token buckets and credit at this broker."""

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
    """A coordinator's sums of the bids on one shard. bids: by broker, the time and the rates of its bid."""

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
    """A lease slot. ballots: by number, when the votes were requested, and the brokers that have voted."""

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
    """A volume's bucket at the lease holder. grants: by broker, the fields of quota_grants.Grant in order."""

    lease_since_us: int
    units: float
    refilled_at_us: int
    requested_at_us: int
    grants: dict[int, tuple[int, int, int, int, int]]


class LeasesRecord(Struct, rename={"buckets": "funds"}):
    """The lease slots that this broker votes on or holds, and the token buckets that it keeps for them."""

    epoch: int
    slots: dict[int, LeaseSlotRecord]
    buckets: dict[int, SharedTokenBucketRecord]


class DecisionRecord(
    Struct,
    rename={
        "aggregates": "tallies",
        "baseline_latency_us": "usual",
        "requests_at_us": "taken",
        "retries_at_us": "extra",
        "placements": "placed",
    },
):
    """The whole state that is handed over. placements: by key, the shard and the time of the placement."""

    nodes: list[NodeRecord] = field(default_factory=list)
    shards: list[ShardRecord] = field(default_factory=list)
    volumes: list[VolumeRecord] = field(default_factory=list)
    aggregates: dict[int, AggregateRecord] = field(default_factory=dict)
    baseline_latency_us: list[float] = field(default_factory=list)
    requests_at_us: list[int] = field(default_factory=list)
    retries_at_us: list[int] = field(default_factory=list)
    placements: dict[str, tuple[int, int]] = field(default_factory=dict)
    leases: LeasesRecord | None = None
