"""The state of requests, nodes, shards and volumes at a broker; the decisions are made elsewhere."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from harriertide.decide import api
from harriertide.decide.quota_credit import QuotaCredit
from harriertide.decide.token_bucket import TokenBucket
from harriertide.decide.units import MILLISECOND_US

# Number of priority bands, of which band 0 is the highest. Messages between brokers carry one demand value
# for each band.
PRIORITY_BAND_COUNT = 6
START_TIME_MODULUS_MS = 2**32  # messages carry a node's start time in milliseconds modulo this


@dataclass(slots=True, eq=False)
class KeyQueue:
    """Requests of one key that must run one after the other.

    quiet_until_us: no request starts before, as an attempt may still run. held_until_us: no request starts
    before, as another process of this broker may have earlier requests of the key.
    """

    members: deque[RequestState] = field(default_factory=deque)
    quiet_until_us: int = 0
    held_until_us: int = 0

    @property
    def blocked_until_us(self) -> int:
        """The time before which no request of the key starts."""
        return max(self.quiet_until_us, self.held_until_us)

    def is_first(self, request: RequestState) -> bool:
        """Whether this request is at the head of the queue."""
        return self.members[0] is request


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt whose outcome is not known yet."""

    node: NodeState
    sent_at_us: int


@dataclass(slots=True, eq=False)
class RequestState:
    """A request from its arrival to its last outcome.

    objective_at_us: the time after which an answer is late. weighted_units: the request's units, which count
    less for classes with longer objectives. charged_bucket: the quota bucket of its volume that its units
    were taken from. executed_since_us, executed_on: send time and node of the earliest attempt that may have
    run; 0 and None if there is none.
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
    open_attempts: dict[int, OpenAttempt] = field(default_factory=dict)  # by attempt number; one at most
    executed_since_us: int = 0
    executed_on: NodeState | None = None
    key_queue: KeyQueue | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the request is answered and has no open attempt."""
        return self.is_answered and not self.open_attempts

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt that has ended may have been executed."""
        return self.executed_since_us > 0

    def record_execution(self, node: NodeState, sent_at_us: int) -> None:
        """Record that an attempt may have run; the earliest such attempt is kept."""
        if not self.may_have_run or sent_at_us < self.executed_since_us:
            self.executed_since_us = sent_at_us
            self.executed_on = node

    def leave_queue(self) -> None:
        """Remove the request from its shard's queue."""
        if self.is_queued and self.shard is not None:
            self.is_queued = False
            self.shard.queued_units = max(0.0, self.shard.queued_units - self.queued_units)

    @property
    def queued_units(self) -> float:
        """Units by which the request lengthens a queue; one that streams its body does not wait there."""
        return 0.0 if self.arrival.streams_body else self.weighted_units


class GrantedUnits(NamedTuple):
    """Units of a warming node's budget that a coordinator has granted, and the time of the grant."""

    granted_at_us: int
    units: float


@dataclass(slots=True, eq=False)
class NodeState:
    """One node of the endpoint list: its open attempts, its health, and its measured latency.

    open_stream_*: of the open attempts, those whose body still arrives from a client, or has done so.
    latency_ratio: latency of the latest answers relative to the baseline of their class. overtaking_answers:
    for each request with an open attempt at the node, the number of answers to attempts that were sent later.
    granted, measured_*: kept as coordinator of the node's shard, for all brokers. answered_*: answers to this
    broker while the node is warming, since the last grant request.
    """

    id: str
    shard: int
    zone: int
    started_us: int = -1
    is_live: bool = True
    open_attempt_count: int = 0
    open_units: float = 0.0
    open_stream_count: int = 0
    open_stream_units: float = 0.0
    latency_ratio: float = 1.0
    consecutive_failures: int = 0
    is_ejected: bool = False
    next_trial_at_us: int = 0
    overtaking_answers: dict[RequestState, int] = field(default_factory=dict)
    granted: list[GrantedUnits] = field(default_factory=list)  # oldest first
    answered_units: float = 0.0
    answered_us: int = 0
    measured_units: float = 0.0
    measured_us: int = 0
    slow_start_credit: QuotaCredit = field(default_factory=QuotaCredit)

    def add_open_attempt(self, request: RequestState) -> None:
        """Count an attempt that is sent to the node."""
        self.open_attempt_count += 1
        self.open_units += request.arrival.units
        if request.arrival.streams_body:
            self.open_stream_count += 1
            self.open_stream_units += request.arrival.units

    def remove_open_attempt(self, request: RequestState) -> None:
        """Count an attempt at the node no longer, as it has ended."""
        self.open_attempt_count -= 1
        self.open_units -= request.arrival.units
        if request.arrival.streams_body:
            self.open_stream_count -= 1
            self.open_stream_units -= request.arrival.units

    def restart(self, started_us: int) -> None:
        """Discard what was observed before the node restarted."""
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
        """As coordinator, add answers to any broker. Older ones count less, as the node gets faster.

        :param max_units: sum of measured units above which all measurements so far are halved
        """
        self.measured_units += units
        self.measured_us += took_us
        if self.measured_units > max_units:
            self.measured_units /= 2
            self.measured_us //= 2

    def units_granted_since(self, at_us: int) -> float:
        """As coordinator, the units granted after `at_us`; older grants are forgotten."""
        self.granted = [grant for grant in self.granted if grant.granted_at_us > at_us]
        return sum(grant.units for grant in self.granted)

    @property
    def started_ms(self) -> int:
        """The start time of the node in the form that messages between brokers carry."""
        return self.started_us // MILLISECOND_US % START_TIME_MODULUS_MS


def _per_band(value: float) -> list[float]:
    return [value] * PRIORITY_BAND_COUNT


@dataclass(slots=True, eq=False)
class ShardState:
    """One shard: its demand, its capacity, this broker's allotment, and the queue of requests for it.

    updated_at_us: time of the coordinator's last report. capacity: units a second for all brokers together,
    as learned by the coordinator. allotment: this broker's part of the capacity. fleet_latency_ratio,
    local_latency_ratio: latency relative to the latency objective, at all brokers and at this broker.
    unanswered_bids: bids since the coordinator's last report. queued_units: weighted, see RequestState.
    """

    shard: int
    updated_at_us: int
    nodes: dict[str, NodeState] = field(default_factory=dict)
    served_units: float = 0.0  # in this bid interval
    latency_weighted_units: float = 0.0  # in this bid interval: units times latency ratio
    volume_weights: dict[str, float] = field(default_factory=dict)  # volumes with requests in this interval
    weight_sum: float = 1.0  # weights of the volumes at all brokers
    capacity: float = 0.0
    is_capacity_known: bool = False
    is_overloaded: bool = False
    fleet_latency_ratio: float = 0.0
    unanswered_bids: int = 0
    local_latency_ratio: float = 0.0
    allotment: float = 0.0
    next_recheck_at_us: int = 0
    queue: list[tuple[int, int, RequestState]] = field(default_factory=list)  # heap by objective
    queued_units: float = 0.0
    offered_units: list[float] = field(default_factory=lambda: _per_band(0.0))  # in this bid interval
    demand: list[float] = field(default_factory=lambda: _per_band(0.0))  # units a second, smoothed
    fleet_demand: list[float] = field(default_factory=lambda: _per_band(0.0))  # demand at all brokers
    admit_probability: list[float] = field(default_factory=lambda: _per_band(1.0))
    queued_by_band: list[deque[RequestState]] = field(
        default_factory=lambda: [deque() for _ in range(PRIORITY_BAND_COUNT)]
    )

    @property
    def is_limited(self) -> bool:
        """Whether the shard is overloaded and its capacity is known, so that load is shed."""
        return self.is_capacity_known and self.is_overloaded

    @property
    def has_live_node(self) -> bool:
        """Whether any node of the shard is live."""
        return any(node.is_live for node in self.nodes.values())


@dataclass(slots=True, eq=False)
class VolumeState:
    """A volume's quota and rate limit at this broker.

    local_ratio: the part of the volume's quota that this broker uses. reserved_bucket: units of the reserved
    rate. rate_limit_bucket: units of the plan's limit, where brokers cannot share the limit. quota_buckets:
    units of the volume's weighted share, by shard. credit: units granted by the holder of the volume's limit.
    waiting: requests that wait for credit.
    """

    key: int
    local_ratio: float
    reserved_bucket: TokenBucket
    rate_limit_bucket: TokenBucket
    quota_buckets: dict[int, TokenBucket] = field(default_factory=dict)
    credit: QuotaCredit = field(default_factory=QuotaCredit)
    waiting: list[RequestState] = field(default_factory=list)
    used_at_us: int = 0  # time of the volume's last request
