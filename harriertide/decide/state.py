"""What a broker knows of requests, nodes, shards and volumes: records, which decide nothing."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from harriertide.decide import api
from harriertide.decide.quota_credit import QuotaCredit
from harriertide.decide.token_bucket import TokenBucket
from harriertide.decide.units import MILLISECOND_US

# Requests are admitted by priority in so many bands, 0 the highest: as many as a bid has figures for.
PRIORITY_BAND_COUNT = 6
START_TIME_COUNT = 2**32  # a node's start travels in messages as milliseconds modulo this


@dataclass(slots=True, eq=False)
class KeyQueue:
    """Requests of one key that must run one after the other. quiet_until_us: none starts before."""

    members: deque[RequestState] = field(default_factory=deque)
    quiet_until_us: int = 0

    def is_first(self, request: RequestState) -> bool:
        """Whether it is this request's turn."""
        return self.members[0] is request


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt whose outcome has not come yet."""

    node: NodeState
    sent_at_us: int


@dataclass(slots=True, eq=False)
class RequestState:
    """A request from its arrival to its last outcome.

    objective_at_us: an answer after that is late. weighted_units: its units, those of classes with longer
    objectives counting less. charged_bucket: of its volume's quota, that its units were taken from.
    executed_since_us, executed_on: the earliest attempt that may have run (0, None: none has).
    """

    id: str
    request_class: api.RequestClass
    arrival: api.Arrival
    volume: VolumeState
    arrived_at_us: int
    objective_at_us: int
    weighted_units: float
    charged_bucket: TokenBucket | None = None
    priority_band: int = 0
    shard: ShardState | None = None
    is_answered: bool = False
    is_queued: bool = False
    response_started: bool = False
    attempt_count: int = 0
    open_attempts: dict[int, OpenAttempt] = field(default_factory=dict)  # by attempt; one at most
    executed_since_us: int = 0
    executed_on: NodeState | None = None
    key_queue: KeyQueue | None = None

    @property
    def is_closed(self) -> bool:
        """Whether it is answered and no outcome of it is awaited."""
        return self.is_answered and not self.open_attempts

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt that ended may have had its effect."""
        return self.executed_since_us > 0

    def is_its_turn(self) -> bool:
        """Whether no other request of its key has to run first."""
        return self.key_queue is None or self.key_queue.is_first(self)

    def record_execution(self, node: NodeState, sent_at_us: int) -> None:
        """An attempt may have run; the earliest one counts."""
        if not self.may_have_run or sent_at_us < self.executed_since_us:
            self.executed_since_us = sent_at_us
            self.executed_on = node

    def leave_queue(self) -> None:
        """It waits for dispatch no more."""
        if self.is_queued and self.shard is not None:
            self.is_queued = False
            self.shard.queued_units = max(0.0, self.shard.queued_units - self.weighted_units)


class GrantedUnits(NamedTuple):
    """Units that a coordinator has granted of a warming node's budget, and when."""

    granted_at_us: int
    units: float


@dataclass(slots=True, eq=False)
class NodeState:
    """One node of the endpoint list: what is open there and what its answers were like.

    latency_ratio: of its latest answers over the baseline of their class. overtaking_answers: of each
    attempt that is open there, how many answers came to what was sent later. granted, measured_*: as
    coordinator of its shard, for all brokers. answered_*: here, while warming up and since the last grant
    request.
    """

    id: str
    shard: int
    zone: int
    started_us: int = -1
    is_live: bool = True
    open_attempt_count: int = 0
    open_units: float = 0.0
    latency_ratio: float = 1.0
    consecutive_failures: int = 0
    is_ejected: bool = False
    next_trial_at_us: int = 0
    overtaking_answers: dict[RequestState, int] = field(default_factory=dict)
    granted: list[GrantedUnits] = field(default_factory=list)  # the oldest first
    answered_units: float = 0.0
    answered_us: int = 0
    measured_units: float = 0.0
    measured_us: int = 0
    slow_start_credit: QuotaCredit = field(default_factory=QuotaCredit)

    def restart(self, started_us: int) -> None:
        """It has started anew: nothing holds that was seen of it before."""
        self.started_us = started_us
        self.latency_ratio = 1.0
        self.consecutive_failures = 0
        self.is_ejected = False
        self.slow_start_credit.void()
        self.answered_units = 0.0
        self.answered_us = 0
        self.measured_units = 0.0
        self.measured_us = 0

    def add_measurement(self, units: float, took_us: int, max_units: float) -> None:
        """As coordinator: count answers to any broker. Older ones count less, as the node gets warmer.

        :param max_units: beyond it all that was measured so far is halved
        """
        self.measured_units += units
        self.measured_us += took_us
        if self.measured_units > max_units:
            self.measured_units /= 2
            self.measured_us //= 2

    def units_granted_since(self, at_us: int) -> float:
        """As coordinator: units granted after then; older grants are forgotten."""
        self.granted = [grant for grant in self.granted if grant.granted_at_us > at_us]
        return sum(grant.units for grant in self.granted)

    @property
    def started_ms(self) -> int:
        """Its start as messages between brokers carry it."""
        return self.started_us // MILLISECOND_US % START_TIME_COUNT


def _per_band(value: float) -> list[float]:
    return [value] * PRIORITY_BAND_COUNT


@dataclass(slots=True, eq=False)
class ShardState:
    """One shard: its demand, its capacity, what this broker may send there, and the queue for it.

    updated_at_us: when its coordinator was last heard. capacity: units a second, of all brokers together, as
    its coordinator has learned it. allotment: this broker's part of that. latency ratios are latencies over
    latency objectives: fleet_latency_ratio of all brokers, local_latency_ratio as seen here. unanswered_bids:
    since its coordinator's last answer. queued_units: weighted, see RequestState.
    """

    shard: int
    updated_at_us: int
    nodes: dict[str, NodeState] = field(default_factory=dict)
    served_units: float = 0.0  # in this bid interval
    latency_weighted_units: float = 0.0  # in this bid interval: units, each times its latency ratio
    volume_weights: dict[str, float] = field(default_factory=dict)  # of volumes seen in this bid interval
    weight_sum: float = 1.0  # of the volumes at all brokers
    capacity: float = 0.0
    is_capacity_known: bool = False
    is_overloaded: bool = False
    fleet_latency_ratio: float = 0.0
    unanswered_bids: int = 0
    local_latency_ratio: float = 0.0
    allotment: float = 0.0
    next_recheck_at_us: int = 0
    queue: list[tuple[int, int, RequestState]] = field(default_factory=list)  # heap, earliest objective first
    queued_units: float = 0.0
    offered_units: list[float] = field(default_factory=lambda: _per_band(0.0))  # in this bid interval
    demand: list[float] = field(default_factory=lambda: _per_band(0.0))  # units a second, smoothed
    fleet_demand: list[float] = field(default_factory=lambda: _per_band(0.0))  # of all brokers
    admit_probability: list[float] = field(default_factory=lambda: _per_band(1.0))
    queued_by_band: list[deque[RequestState]] = field(
        default_factory=lambda: [deque() for _ in range(PRIORITY_BAND_COUNT)]
    )

    @property
    def is_limited(self) -> bool:
        """Whether it is overloaded and its capacity is known: then requests are thinned."""
        return self.is_capacity_known and self.is_overloaded

    @property
    def has_live_node(self) -> bool:
        """Whether any of its nodes may get requests."""
        return any(node.is_live for node in self.nodes.values())


@dataclass(slots=True, eq=False)
class VolumeState:
    """What this broker may offer of a volume's quota.

    local_ratio: the part of the volume's quota that this broker counts on. reserved_bucket: of its guaranteed
    rate. rate_limit_bucket: of its plan's limit, where brokers cannot share it. quota_buckets: of its
    weighted share, by shard. credit: granted by the holder of its limit. waiting: requests that wait for
    credit.
    """

    key: int
    local_ratio: float
    reserved_bucket: TokenBucket
    rate_limit_bucket: TokenBucket
    quota_buckets: dict[int, TokenBucket] = field(default_factory=dict)
    credit: QuotaCredit = field(default_factory=QuotaCredit)
    waiting: list[RequestState] = field(default_factory=list)
    used_at_us: int = 0  # when its last request came
