"""The interface of the decision module: settings, events and actions.

Times are whole microseconds of one clock that only advances; a field `..._at_us` is a point of time, `..._us`
a span. Units are what requests cost, as the deployment counts them. Volumes, keys, nodes and requests are
opaque strings, shards, brokers, classes and plans are numbers from 0. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from typing import Literal, TypeAlias

Idempotency: TypeAlias = Literal["idempotent", "keyed", "non_idempotent"]
DeduplicationScope: TypeAlias = Literal["all", "zone", "shard"]


def _require(holds: bool, field: str, rule: str) -> None:
    if not holds:
        raise ValueError(f"{field}: {rule}")


def _require_at_least(owner: object, least: float, *fields: str) -> None:
    for field in fields:
        value = getattr(owner, field)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        holds = is_number and isfinite(value) and value >= least
        _require(holds, field, f"must be a number of at least {least}")


# --- settings ------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: how soon an answer is wanted, how important it is, whether it may run again.

    :ivar latency_objective_us: an answer after that is late
    :ivar deadline_us: a client waits no longer than that
    :ivar priority_weight: importance of an answer in time, against other classes
    :ivar late_priority_weight: importance of a late answer, as a part of that
    :ivar idempotency: may run again at any time; may run again where nodes recognize its key; may not
    :ivar deduplication_scope: the nodes that recognize the key of a request that one of them has had: all,
        those of its zone, or those of its shard
    :ivar deduplication_window_us: how long they do, from when the first attempt was sent
    :ivar in_order: requests of one key run one after the other

    :raises ValueError: a figure is out of its range; the message names the field
    """

    latency_objective_us: int
    deadline_us: int
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    idempotency: Idempotency = "idempotent"
    deduplication_scope: DeduplicationScope = "all"
    deduplication_window_us: int = 0
    in_order: bool = False

    def __post_init__(self) -> None:
        _require_at_least(self, 1, "latency_objective_us", "deadline_us")
        _require_at_least(self, 0, "priority_weight", "late_priority_weight", "deduplication_window_us")
        _require(
            self.idempotency in ("idempotent", "keyed", "non_idempotent"),
            "idempotency",
            "must be idempotent, keyed or non_idempotent",
        )
        _require(
            self.deduplication_scope in ("all", "zone", "shard"),
            "deduplication_scope",
            "must be all, zone or shard",
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """A service plan: figures of each of its volumes, over all brokers and nodes together.

    :ivar reserved_rate: units a second that are served before all else
    :ivar weight: the volume's part of what is left, against other volumes
    :ivar priority_factor: importance of its requests, against other plans
    :ivar rate_limit: units a second at most; 0: no limit
    :ivar burst_limit_units: units at once at most, where there is a limit

    :raises ValueError: a figure is out of its range; the message names the field
    """

    reserved_rate: float = 0.0
    weight: float = 1.0
    priority_factor: float = 1.0
    rate_limit: float = 0.0
    burst_limit_units: float = 0.0

    def __post_init__(self) -> None:
        _require_at_least(
            self, 0, "reserved_rate", "weight", "priority_factor", "rate_limit", "burst_limit_units"
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one broker.

    :ivar broker_index: its number among the broker_count brokers of the fleet
    :ivar classes: the request classes, by number
    :ivar plans: the service plans, by number
    :ivar shard_count: shards are numbered below it
    :ivar mean_request_units: what a request costs in the mean
    :ivar max_request_units: what a request costs at most
    :ivar within_quota_weight: priority of requests within their volume's quota, against reserved ones
    :ivar beyond_quota_weight: the same of requests beyond it
    :ivar slow_start_units: what a node that has just started bears in one collapse window
    :ivar slow_start_initial_ratio: its capacity at the start, as a part of that of a warm node
    :ivar slow_start_us: how long it takes to warm up
    :ivar collapse_window_us, collapse_load_ratio: a warming node collapses when it is sent, in this window,
        so many times what it can do
    :ivar polls_endpoint_list: the list is asked for; else it is pushed
    :ivar poll_interval_us: the operators' rule: a change of the list counts as known to a broker that polls
        so long after it was made; four times as long after a failed call
    :ivar peer_messages_allowed: brokers may tell each other something
    :ivar retry_after_allowed: a rejected client may be told when to come back
    :ivar max_retry_after_us: the longest time that it is told
    :ivar cancel_allowed: an attempt may be cancelled
    :ivar max_attempts: of one request
    :ivar probes_allowed: nodes may be probed beside requests
    :ivar tick_us: between two calls of the decision module, at least
    :ivar key_quiet_us: after an attempt of an ordered request that may still run, before the next of its key
    :ivar retry_budget_floor, retry_budget_ratio, retry_budget_window_us: retries in a window are at most the
        floor plus that part of its requests; a floor of None: no limit

    :raises ValueError: a figure is out of its range; the message names the field
    """

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
    collapse_load_ratio: float = 1.0
    polls_endpoint_list: bool = False
    poll_interval_us: int = 10_000_000
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
        _require_at_least(
            self, 1, "broker_count", "shard_count", "max_attempts", "tick_us", "collapse_load_ratio"
        )
        _require_at_least(self, 0, "broker_index", "max_retry_after_us", "poll_interval_us", "key_quiet_us")
        _require_at_least(self, 0, "within_quota_weight", "beyond_quota_weight")
        _require_at_least(self, 0, "slow_start_units", "slow_start_initial_ratio", "slow_start_us")
        _require_at_least(self, 0, "collapse_window_us", "retry_budget_ratio", "retry_budget_window_us")
        _require_at_least(self, 0, "mean_request_units", "max_request_units")
        _require(self.broker_index < self.broker_count, "broker_index", "must be below broker_count")
        _require(len(self.classes) > 0, "classes", "must name at least one class")
        _require(len(self.plans) > 0, "plans", "must name at least one plan")
        _require(self.mean_request_units > 0, "mean_request_units", "must be above 0")
        _require(
            0 < self.slow_start_initial_ratio <= 1,
            "slow_start_initial_ratio",
            "must be above 0 and at most 1",
        )
        if self.retry_budget_floor is not None:
            _require_at_least(self, 0, "retry_budget_floor")

    def same_brokers(self, other: Settings) -> bool:
        """Whether those settings are of the same brokers, with the same part of a warming node for each."""
        names = (
            "broker_index",
            "broker_count",
            "peer_messages_allowed",
            "slow_start_units",
            "max_request_units",
        )
        return all(getattr(self, name) == getattr(other, name) for name in names)


# --- events --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One node of the endpoint list.

    :ivar shard: the shard that it serves
    :ivar state: gets requests; gets no new ones; has left
    :ivar started_us: when it has started; 0: long ago
    """

    node_id: str
    shard: int
    state: Literal["live", "draining", "gone"] = "live"
    zone: int = 0
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """News of the endpoint list.

    :ivar kind: changes; the complete list; the complete list as it was kept from before; a call that failed
    """

    kind: Literal["delta", "full", "cached", "failed"]
    entries: tuple[NodeEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that this broker has taken.

    :ivar request_class, plan: their numbers in the settings
    :ivar volume: whose quota and limit it counts in
    :ivar shard: that it has to go to; -1: a new object, any node may take it
    :ivar deadline_at_us: its client waits until then
    :ivar units: what it costs
    :ivar key: of its object; requests of ordered classes run in turn by it
    :ivar sharing_broker_count: the brokers through which the volume's requests come
    :ivar is_retry: its client has asked for the same before
    """

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
    """The response of a streamed request goes to its client: no other attempt may follow."""

    request_id: str
    attempt: int


# ok: served. error: the node has failed. rejected: the node takes no more just now. timeout, connect_failed,
# reset: the connection's end. cancelled: by this broker. not_sent: nothing was sent, or the node says that
# the request is over or not its own; another attempt there would not help.
OutcomeKind: TypeAlias = Literal[
    "ok", "error", "rejected", "timeout", "connect_failed", "reset", "cancelled", "not_sent"
]
# The node has shown no sign of life.
UNRESPONSIVE_OUTCOMES: frozenset[OutcomeKind] = frozenset({"timeout", "connect_failed", "reset"})
# Proof that the attempt had no effect.
NOT_EXECUTED_OUTCOMES: frozenset[OutcomeKind] = frozenset({"rejected", "connect_failed", "not_sent"})


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """How an attempt ended.

    :ivar latency_us: from when it was sent
    :ivar is_final: its request has its final answer
    """

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
    """The client of a request has gone; no answer is owed any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set with SetTimer has run out."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A datagram from another broker."""

    sender_index: int
    body: bytes


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings for a running broker: figures of plans and classes, shards, limits."""

    settings: Settings


Event: TypeAlias = (
    Arrival
    | AttemptFinished
    | EndpointUpdate
    | PeerMessageReceived
    | ResponseStarted
    | ProbeFinished
    | ClientDisconnected
    | SettingsChanged
    | TimerFired
)


# --- actions -------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to a node; the attempt ends at stop_at_us at the latest."""

    request_id: str
    node_id: str
    stop_at_us: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Wait for an attempt no longer. Its outcome follows: cancelled, or what was on its way."""

    request_id: str
    attempt: int


# Why a request is given up: no node of its shard takes requests; its shard is overloaded and it is among
# those that are thinned out; its queue is too long; an answer could not be in time; its plan's limit; its
# last moment has come; it may not be attempted again (its own rules, its deduplication window, the retry
# budget); its node does not hold the shard; its nodes have left.
GiveUpReason: TypeAlias = Literal[
    "no_node",
    "overload",
    "queue_full",
    "too_late",
    "rate_limit",
    "deadline",
    "not_repeatable",
    "deduplication_over",
    "retry_budget",
    "wrong_shard",
]


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: trying again is harmless. retry_after_us 0: the client is not told when."""

    request_id: str
    retry_after_us: int = 0
    reason: GiveUpReason | None = None


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer without a promise: the request may have run."""

    request_id: str
    reason: GiveUpReason | None = None


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired event after a while."""

    after_us: int
    token: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Ask for the endpoint list, and for its changes from there on."""


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a datagram to another broker; it may be lost."""

    recipient_index: int
    body: bytes


@dataclass(frozen=True, slots=True)
class StartProbe:
    """Ask a node, beside all requests, whether it lives; one ProbeFinished follows."""

    node_id: str


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the engineer on call: a decision and its reason."""

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
