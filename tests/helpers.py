"""A broker under test: settings, events in, actions out."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from harriertide.decide import api
from harriertide.decide.peer_messages import DemandBid, DemandReport, PeerMessage, encode
from harriertide.decide.scheduler import Scheduler

READ = api.RequestClass(
    latency_objective_us=300_000, deadline_us=2_000_000, priority_weight=2, late_priority_weight=0.2
)
WRITE = replace(READ, idempotency="keyed", deduplication_scope="shard", deduplication_window_us=1_500_000)
ONCE = replace(READ, idempotency="non_idempotent")
TURN = replace(READ, in_order=True)
CLASSES = (READ, WRITE, ONCE, TURN)
PLANS = (
    api.Plan(reserved_rate=5, weight=1, priority_factor=1),
    api.Plan(weight=1, priority_factor=1, rate_limit=10, burst_limit_units=16),
)

SETTINGS = api.Settings(
    broker_index=0,
    broker_count=2,
    classes=CLASSES,
    plans=PLANS,
    shard_count=4,
    mean_request_units=2,
    max_request_units=8,
    within_quota_weight=0.4,
    beyond_quota_weight=0.05,
    slow_start_units=24,
    slow_start_initial_ratio=0.2,
    slow_start_us=10_000_000,
    collapse_window_us=1_500_000,
    peer_messages_allowed=True,
    retry_after_allowed=True,
    max_retry_after_us=500_000,
    max_attempts=3,
    key_quiet_us=400_000,
)

START_US = 50_000_000


class BrokerUnderTest:
    """Feeds one Scheduler and remembers what it did."""

    def __init__(self, nodes: tuple[api.NodeEntry, ...] = (), seed: int = 1, **changes: Any) -> None:
        self.now = START_US
        self.settings = replace(SETTINGS, **changes)
        self.scheduler = Scheduler(self.settings, seed)
        self.made = 0
        nodes = nodes or (api.NodeEntry("n0", 0), api.NodeEntry("n1", 1))
        self.first = self.do(api.EndpointUpdate("cached", nodes))

    def do(self, *events: api.Event, after_us: int = 0) -> list[api.Action]:
        self.now += after_us
        return self.scheduler.decide(self.now, list(events))

    def ask(self, request_class: int = 0, plan: int = 0, shard: int = 0, **more: Any) -> list[api.Action]:
        self.made += 1
        more.setdefault("deadline_at_us", self.now + 2_000_000)
        more.setdefault("volume", "v")
        more.setdefault("units", 2.0)
        event = api.Arrival(f"r{self.made}", request_class, plan, shard=shard, **more)
        return self.do(event)

    def end(
        self,
        request: str,
        kind: Any = "ok",
        attempt: int = 0,
        node: str = "n0",
        after_us: int = 20_000,
        over: bool | None = None,
    ) -> list[api.Action]:
        over = kind == "ok" if over is None else over
        return self.do(api.AttemptFinished(request, attempt, node, kind, after_us, over), after_us=after_us)

    def idle(self, for_us: int, step_us: int = 50_000) -> list[api.Action]:
        done: list[api.Action] = []
        for _ in range(for_us // step_us):
            done += self.do(api.TimerFired(0), after_us=step_us)
        return done


def sends(actions: list[api.Action]) -> list[api.StartAttempt]:
    return [a for a in actions if isinstance(a, api.StartAttempt)]


def refusals(actions: list[api.Action]) -> list[api.Reject]:
    return [a for a in actions if isinstance(a, api.Reject)]


def fails(actions: list[api.Action]) -> list[api.Fail]:
    return [a for a in actions if isinstance(a, api.Fail)]


def peer_datagrams(actions: list[api.Action], kind: type[PeerMessage]) -> list[api.SendPeerMessage]:
    return [a for a in actions if isinstance(a, api.SendPeerMessage) and a.body[2] == kind.KIND]


def bid_datagram(
    shard: int,
    demand: list[float],
    served_rate: float = 0.0,
    latency_weighted_rate: float = 0.0,
    weight_sum: float = 1.0,
    capacity: float = 0.0,
) -> bytes:
    """A broker's bid on a shard, as it is sent."""
    bid = DemandBid(shard, tuple(demand), served_rate, latency_weighted_rate, weight_sum, capacity)
    return encode([bid])[0]


def report_datagram(
    shard: int,
    demand: list[float],
    capacity: float,
    weight_sum: float = 1.0,
    latency_ratio: float = 0.2,
    is_overloaded: bool = True,
) -> bytes:
    """A coordinator's report on a shard whose capacity it has learned, as it is sent."""
    flags = DemandReport.flags_of(True, is_overloaded)
    return encode([DemandReport(shard, tuple(demand), capacity, weight_sum, latency_ratio, flags)])[0]
