"""Settings of one broker: request classes, plans and limits. Values out of range are refused."""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import isfinite
from typing import Literal, TypeAlias

# Stands for 0 where a limit must be above 0: no request fits within it.
EXHAUSTED_UNITS = 1e-6
DEFAULT_MAX_RETAINED_VOLUMES = 25_000

Idempotency: TypeAlias = Literal["idempotent", "keyed", "non_idempotent"]
DeduplicationScope: TypeAlias = Literal["all", "zone", "shard"]


def _require(is_valid: bool, field: str, rule: str) -> None:
    if not is_valid:
        raise ValueError(f"{field}: {rule}")


def _require_at_least(owner: object, minimum: float, *fields: str) -> None:
    for field in fields:
        value = getattr(owner, field)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        is_valid = is_number and isfinite(value) and value >= minimum
        _require(is_valid, field, f"must be a number of at least {minimum}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its latency objective, its priority, and whether its requests may run again.

    :ivar latency_objective_us: an answer that takes longer is late
    :ivar deadline_us: longest time that a client waits for an answer
    :ivar priority_weight: importance of an answer in time, relative to other classes
    :ivar late_priority_weight: importance of a late answer, as a part of priority_weight
    :ivar idempotency: idempotent: a request may run again at any time; keyed: only at nodes that recognize
        its key; non_idempotent: never
    :ivar deduplication_scope: the nodes that recognize the key of a request that one of them has received:
        all, those of its zone, or those of its shard
    :ivar deduplication_window_us: how long the nodes recognize the key, from the sending of the first attempt
    :ivar in_order: requests of one key run one after the other

    :raises ValueError: a value is out of range; the message names the field
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
    """A service plan; its values apply to each volume of the plan, over all brokers and nodes together.

    :ivar reserved_rate: units a second that are served with priority over all other requests
    :ivar weight: the volume's share of the remaining capacity, relative to other volumes
    :ivar priority_factor: importance of the plan's requests, relative to other plans
    :ivar rate_limit: most units a second; 0: no limit
    :ivar burst_limit_units: most units at once, if there is a rate limit

    :raises ValueError: a value is out of range; the message names the field
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

    :ivar broker_index: number of this broker among the broker_count brokers of the fleet
    :ivar classes: the request classes, by number
    :ivar plans: the service plans, by number
    :ivar shard_count: number of shards, which are numbered from 0
    :ivar mean_request_units: mean cost of a request
    :ivar max_request_units: largest cost of a request
    :ivar within_quota_weight: priority of requests within their volume's quota, relative to reserved ones
    :ivar beyond_quota_weight: priority of requests beyond their volume's quota, relative to reserved ones
    :ivar slow_start_units: units that a node that has just started can take in one collapse window
    :ivar slow_start_initial_ratio: capacity of a node that has just started, as a part of a warm node's
        capacity
    :ivar slow_start_us: how long a node takes to warm up
    :ivar collapse_window_us, collapse_load_ratio: a warming node collapses when the load that it is sent in
        this window exceeds its capacity by this factor
    :ivar polls_endpoint_list: the broker polls the endpoint list; if not, the list is pushed
    :ivar poll_interval_us: the operators' rule: a broker that polls is taken to know a change of the list so
        long after it was made, and four times as long after a failed call
    :ivar peer_messages_allowed: brokers may send messages to each other
    :ivar retry_after_allowed: a rejected client may be told when to retry
    :ivar max_retry_after_us: longest time after which a rejected client is told to retry
    :ivar cancel_allowed: an attempt may be cancelled
    :ivar max_attempts: most attempts of one request
    :ivar probes_allowed: nodes may be probed independently of requests
    :ivar tick_us: least time between two calls of the decision module
    :ivar key_quiet_us: wait after an attempt of an ordered request that may still run, before the next
        request of its key
    :ivar admits_ordered_requests: this process, and no newer one of the broker, keeps the order of keys
    :ivar max_retained_volumes: most volumes whose state is kept; beyond it, those are forgotten first that
        have used nothing of a rate limit, and requests of new volumes with a rate limit are rejected
    :ivar retry_budget_floor, retry_budget_ratio, retry_budget_window_us: retries within a window are limited
        to the floor plus this part of the window's requests; a floor of None: no limit

    :raises ValueError: a value is out of range; the message names the field
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
    admits_ordered_requests: bool = True
    retry_budget_floor: float | None = None
    retry_budget_ratio: float = 0.0
    retry_budget_window_us: int = 0
    max_retained_volumes: int = DEFAULT_MAX_RETAINED_VOLUMES

    def __post_init__(self) -> None:
        _require_at_least(self, 1, "max_retained_volumes")
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
        """Whether both settings have the same brokers and the same slow start budget for each broker."""
        names = (
            "broker_index",
            "broker_count",
            "peer_messages_allowed",
            "slow_start_units",
            "max_request_units",
        )
        return all(getattr(self, name) == getattr(other, name) for name in names)

    def superseded(self) -> Settings:
        """Return the settings of a process whose budgets a newer process has taken over.

        Such a process finishes its requests, but sends none that count against a rate limit and none to a
        warming node, and admits no further request whose key has an order.
        """
        plans = tuple(
            replace(plan, rate_limit=EXHAUSTED_UNITS, burst_limit_units=EXHAUSTED_UNITS)
            if plan.rate_limit > 0
            else plan
            for plan in self.plans
        )
        return replace(
            self,
            plans=plans,
            slow_start_units=EXHAUSTED_UNITS,
            slow_start_initial_ratio=1.0,
            admits_ordered_requests=False,
        )
