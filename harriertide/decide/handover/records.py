"""The stored form of what a broker's decisions know, for a newer process of the same broker.

The names on disk are those of the first release (`rename=`), so that processes of different releases can take
over from each other; a record keeps its form when the type that it stores changes.
"""

from __future__ import annotations

from msgspec import Struct, field


class TokenBucketRecord(Struct, rename={"refilled_at_us": "at_us"}):
    """A token bucket, as `token_bucket.TokenBucket`."""

    units: float
    refilled_at_us: int


class QuotaCreditRecord(
    Struct,
    rename={
        "expires_at_us": "end_us",
        "request_number": "number",
        "min_useful_units": "least",
        "is_short": "short",
        "unanswered_count": "misses",
        "requested_at_us": "asked_us",
        "retry_at_us": "again_us",
        "used_units": "used",
    },
):
    """Units that another broker has granted, as `quota_credit.QuotaCredit`."""

    units: float
    expires_at_us: int
    request_number: int
    wanted: int
    min_useful_units: float
    is_short: bool
    unanswered_count: int
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
        "baseline_latency_us": "usual",
        "requests_at_us": "taken",
        "retries_at_us": "extra",
        "placements": "placed",
    },
):
    """All that is handed over. placements: by key, the shard and when."""

    nodes: list[NodeRecord] = field(default_factory=list)
    shards: list[ShardRecord] = field(default_factory=list)
    volumes: list[VolumeRecord] = field(default_factory=list)
    aggregates: dict[int, AggregateRecord] = field(default_factory=dict)
    baseline_latency_us: list[float] = field(default_factory=list)
    requests_at_us: list[int] = field(default_factory=list)
    retries_at_us: list[int] = field(default_factory=list)
    placements: dict[str, tuple[int, int]] = field(default_factory=dict)
    leases: LeasesRecord | None = None
