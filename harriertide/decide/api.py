"""The interface of the decision module: settings, events and actions.

Times are whole microseconds of one clock that only advances. Volumes, keys, nodes and requests
are opaque strings. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from typing import Literal, TypeAlias


def _need(ok: bool, field: str, rule: str) -> None:
    if not ok:
        raise ValueError(f"{field}: {rule}")


def _at_least(owner: object, floor: float, *fields: str) -> None:
    for field in fields:
        value = getattr(owner, field)
        number = isinstance(value, (int, float)) and not isinstance(value, bool)
        _need(number and isfinite(value) and value >= floor, field, f"must be a number of at least {floor}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: how soon it is wanted, what it is worth, whether it may run again."""

    latency_objective_us: int
    deadline_us: int
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    idempotency: Literal["idempotent", "keyed", "non_idempotent"] = "idempotent"
    deduplication_scope: Literal["all", "zone", "shard"] = "all"
    deduplication_window_us: int = 0
    in_order: bool = False

    def __post_init__(self) -> None:
        _at_least(self, 1, "latency_objective_us", "deadline_us")
        _at_least(self, 0, "priority_weight", "late_priority_weight", "deduplication_window_us")
        _need(
            self.idempotency in ("idempotent", "keyed", "non_idempotent"),
            "idempotency",
            "must be idempotent, keyed or non_idempotent",
        )
        _need(
            self.deduplication_scope in ("all", "zone", "shard"),
            "deduplication_scope",
            "must be all, zone or shard",
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan: figures of each of its volumes, over all heads and nodes, in units a second."""

    reserved_rate: float = 0.0
    weight: float = 1.0
    priority_factor: float = 1.0
    rate_limit: float = 0.0
    burst_limit_units: float = 0.0

    def __post_init__(self) -> None:
        _at_least(self, 0, "reserved_rate", "weight", "priority_factor", "rate_limit", "burst_limit_units")


@dataclass(frozen=True, slots=True)
class Settings:
    """What a head is told at its start."""

    broker_index: int
    broker_count: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    shard_count: int
    mean_request_units: float = 1.0
    max_request_units: float = 1.0
    within_quota_weight: float = 1.0
    beyond_quota_weight: float = 0.0
    slow_start_units: float = 0.0
    slow_start_initial_ratio: float = 1.0
    slow_start_us: int = 0
    collapse_window_us: int = 0
    collapse_load_ratio: float = (
        1.0  # a cold node falls over when sent so many times what it can do for collapse_window_us
    )
    polls_endpoint_list: bool = False
    poll_interval_us: int = 10_000_000  # unasked so long, a head counts as told; after a failure four times
    peer_messages_allowed: bool = False
    retry_after_allowed: bool = False
    cancel_allowed: bool = False
    max_retry_after_us: int = 0
    max_attempts: int = 1
    probes_allowed: bool = False
    tick_us: int = 1_000
    key_quiet_us: int = 0
    retry_budget_floor: float | None = None
    retry_budget_ratio: float = 0.0
    retry_budget_window_us: int = 0

    def __post_init__(self) -> None:
        _at_least(self, 1, "broker_count", "shard_count", "max_attempts", "tick_us")
        _at_least(
            self,
            0,
            "broker_index",
            "slow_start_units",
            "slow_start_us",
            "collapse_window_us",
            "max_retry_after_us",
            "poll_interval_us",
        )
        _at_least(self, 1, "collapse_load_ratio")
        _at_least(
            self,
            0,
            "within_quota_weight",
            "beyond_quota_weight",
            "slow_start_initial_ratio",
            "key_quiet_us",
            "retry_budget_ratio",
        )
        _at_least(self, 0, "mean_request_units", "max_request_units", "retry_budget_window_us")
        _need(self.broker_index < self.broker_count, "broker_index", "must be below heads")
        _need(len(self.classes) > 0, "classes", "must name at least one class")
        _need(len(self.plans) > 0, "plans", "must name at least one plan")
        _need(self.mean_request_units > 0, "mean_request_units", "must be above 0")
        _need(
            0 < self.slow_start_initial_ratio <= 1,
            "slow_start_initial_ratio",
            "must be above 0 and at most 1",
        )
        if self.retry_budget_floor is not None:
            _at_least(self, 0, "retry_budget_floor")

    def same_brokers(self, other: Settings) -> bool:
        """Whether those settings are of the same brokers, with the same part of a cold node for each."""
        names = (
            "broker_index",
            "broker_count",
            "peer_messages_allowed",
            "slow_start_units",
            "max_request_units",
        )
        return all(getattr(self, name) == getattr(other, name) for name in names)


# --- events ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One node of the list. started_us 0: long ago."""

    node_id: str
    shard: int
    state: Literal["live", "draining", "gone"] = "live"
    zone: int = 0
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """News of the node list: changes, the whole list, the list last held, or a failed call."""

    kind: Literal["delta", "full", "cached", "failed"]
    entries: tuple[NodeEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that this head has taken; shard -1 is a new object."""

    request_id: str
    request_class: int
    plan: int
    volume: str
    shard: int
    deadline_at_us: int
    units: float = 1.0
    key: str = ""
    sharing_broker_count: int = 1
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The answer of a streamed request has begun; it now belongs to the client."""

    request_id: str
    attempt: int


OutcomeKind: TypeAlias = Literal[
    "ok", "error", "rejected", "timeout", "connect_failed", "reset", "cancelled", "not_sent"
]
# Kinds that show no sign of life of the node, and those that prove that the attempt never ran.
UNRESPONSIVE_OUTCOMES: frozenset[OutcomeKind] = frozenset({"timeout", "connect_failed", "reset"})
NOT_EXECUTED_OUTCOMES: frozenset[OutcomeKind] = frozenset({"rejected", "connect_failed", "not_sent"})


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """How an attempt ended. over: the request has its final answer."""

    request_id: str
    attempt: int
    node_id: str
    kind: OutcomeKind
    latency_us: int = 0
    is_final: bool = False


@dataclass(frozen=True, slots=True)
class ProbeFinished:
    """How a probe of a node ended; ok: it lives."""

    node_id: str
    kind: OutcomeKind


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has gone; nothing more is owed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set with Wake has run out."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Bytes from another head."""

    sender_index: int
    body: bytes


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings for a head that runs: figures of plans and classes, shards, limits."""

    settings: Settings


Event: TypeAlias = (
    EndpointUpdate
    | Arrival
    | ResponseStarted
    | AttemptFinished
    | ProbeFinished
    | ClientDisconnected
    | TimerFired
    | PeerMessageReceived
    | SettingsChanged
)


# --- actions --------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt; it ends at stop_at_us at the latest."""

    request_id: str
    node_id: str
    stop_at_us: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt; its outcome follows, cancelled or what was on its way."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not done, trying again is harmless. retry_after_us 0: no advice."""

    request_id: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer without a promise."""

    request_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired event after this time."""

    after_us: int
    token: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Ask for the changes of the node list from here on."""


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send bytes to another head."""

    recipient_index: int
    body: bytes


@dataclass(frozen=True, slots=True)
class StartProbe:
    """Ask a node, beside all requests, whether it lives; one ProbeFinished follows."""

    node_id: str


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line for on-call staff."""

    text: str


Action: TypeAlias = (
    StartAttempt
    | CancelAttempt
    | Reject
    | Fail
    | SetTimer
    | WatchEndpoints
    | SendPeerMessage
    | StartProbe
    | LogLine
)
