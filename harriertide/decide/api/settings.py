"""Settings of one broker: request classes, plans and limits. Figures out of their range are refused."""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import isfinite
from typing import Literal, TypeAlias

# In place of a limit that must be above 0: no request fits in.
EXHAUSTED_UNITS = 1e-6

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

    def superseded(self) -> Settings:
        """The same for a process whose budgets a newer one has taken over.

        It finishes its requests, but sends none that count in a plan's limit and none to a warming node.
        """
        plans = tuple(
            replace(plan, rate_limit=EXHAUSTED_UNITS, burst_limit_units=EXHAUSTED_UNITS)
            if plan.rate_limit > 0
            else plan
            for plan in self.plans
        )
        return replace(self, plans=plans, slow_start_units=EXHAUSTED_UNITS, slow_start_initial_ratio=1.0)
