"""Helpers for tests of the scheduler: settings, a broker under test, and filters for its actions."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from zlib import crc32

from harriertide.decide import api
from harriertide.decide.peer_messages import (
    DemandBid,
    DemandReport,
    PeerMessage,
    decode,
    encode,
)
from harriertide.decide.scheduler import Scheduler

READ = api.RequestClass(
    latency_objective_us=300_000, deadline_us=2_000_000, priority_weight=2, late_priority_weight=0.2
)
WRITE = replace(READ, idempotency="keyed", deduplication_scope="shard", deduplication_window_us=1_500_000)
NON_IDEMPOTENT = replace(READ, idempotency="non_idempotent")
IN_ORDER = replace(READ, in_order=True)
CLASSES = (READ, WRITE, NON_IDEMPOTENT, IN_ORDER)
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
SECOND_US = 1_000_000
TWO_NODES = (api.NodeEntry("n0", 0), api.NodeEntry("n1", 1))
# Coordinators of shard 0 in fleets of two and of eight brokers; the next broker is the standby.
COORDINATOR_OF_TWO = crc32(b"0") % 2
COORDINATOR_OF_EIGHT = crc32(b"0") % 8
BIDDER_OF_EIGHT = (COORDINATOR_OF_EIGHT + 4) % 8


class BrokerUnderTest:
    """One Scheduler with its clock; passes events to it and returns the actions."""

    def __init__(self, nodes: tuple[api.NodeEntry, ...] = (), seed: int = 1, **setting_changes: Any) -> None:
        self.now_us = START_US
        self.settings = replace(SETTINGS, **setting_changes)
        self.scheduler = Scheduler(self.settings, seed)
        self.request_count = 0
        self.first_actions = self.handle(api.EndpointUpdate("cached", nodes or TWO_NODES))

    def handle(self, *events: api.Event, after_us: int = 0) -> list[api.Action]:
        """Advance the clock, then handle these events."""
        self.now_us += after_us
        return self.scheduler.decide(self.now_us, list(events))

    def request(
        self, request_class: int = 0, plan: int = 0, shard: int = 0, **arrival_fields: Any
    ) -> list[api.Action]:
        """Handle the arrival of a request; requests have the ids r1, r2, ..."""
        self.request_count += 1
        arrival_fields.setdefault("deadline_at_us", self.now_us + 2_000_000)
        arrival_fields.setdefault("volume", "v")
        arrival_fields.setdefault("units", 2.0)
        event = api.Arrival(f"r{self.request_count}", request_class, plan, shard=shard, **arrival_fields)
        return self.handle(event)

    def finish_attempt(
        self,
        request: str,
        kind: Any = "ok",
        attempt: int = 0,
        node: str = "n0",
        after_us: int = 20_000,
        is_final: bool | None = None,
    ) -> list[api.Action]:
        """Handle the end of an attempt, `after_us` after the last event.

        :param is_final: whether the request has its final answer; by default, if the attempt succeeded
        """
        is_final = kind == "ok" if is_final is None else is_final
        return self.handle(
            api.AttemptFinished(request, attempt, node, kind, after_us, is_final), after_us=after_us
        )

    def advance(self, for_us: int, step_us: int = 50_000) -> list[api.Action]:
        """Advance the clock in steps, with timer events only."""
        actions: list[api.Action] = []
        for _ in range(for_us // step_us):
            actions += self.handle(api.TimerFired(0), after_us=step_us)
        return actions


def started_attempts(actions: list[api.Action]) -> list[api.StartAttempt]:
    return [a for a in actions if isinstance(a, api.StartAttempt)]


def rejections(actions: list[api.Action]) -> list[api.Reject]:
    return [a for a in actions if isinstance(a, api.Reject)]


def failures(actions: list[api.Action]) -> list[api.Fail]:
    return [a for a in actions if isinstance(a, api.Fail)]


def peer_datagrams(actions: list[api.Action], kind: type[PeerMessage]) -> list[api.SendPeerMessage]:
    """The datagrams to peers that begin with a message of this kind."""
    return [a for a in actions if isinstance(a, api.SendPeerMessage) and a.body[2] == kind.KIND]


def bid_datagram(
    shard: int,
    demand: list[float],
    served_rate: float = 0.0,
    latency_weighted_rate: float = 0.0,
    weight_sum: float = 1.0,
    capacity: float = 0.0,
) -> bytes:
    """A datagram with a broker's bid on a shard."""
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
    """A datagram with a coordinator's report on a shard whose capacity is known."""
    return encode(
        [DemandReport(shard, tuple(demand), capacity, weight_sum, latency_ratio, True, is_overloaded)]
    )[0]


def message_bodies(actions: list[api.Action], kind: type[PeerMessage] = DemandBid) -> list[bytes]:
    """The bodies of datagrams that begin with a message of this kind."""
    return [a.body for a in peer_datagrams(actions, kind)]


def demand_reports(actions: list[api.Action]) -> list[DemandReport]:
    """All demand reports in these actions."""
    messages = [message for datagram in message_bodies(actions, DemandReport) for message in decode(datagram)]
    return [message for message in messages if isinstance(message, DemandReport)]


def offer_steadily(
    broker: BrokerUnderTest, for_us: int, every_us: int = 10_000, latency_us: int = 20_000
) -> list[api.Action]:
    """Offer requests at a steady rate; each attempt is answered after `latency_us`."""
    actions: list[api.Action] = []
    in_flight: list[tuple[int, str]] = []
    end_us = broker.now_us + for_us
    while broker.now_us < end_us:
        step_actions = broker.request()
        ended_requests = [r for end_at_us, r in in_flight if end_at_us <= broker.now_us]
        in_flight = [(end_at_us, r) for end_at_us, r in in_flight if end_at_us > broker.now_us]
        for request in ended_requests:
            step_actions += broker.handle(api.AttemptFinished(request, 0, "n0", "ok", latency_us, True))
        in_flight += [(broker.now_us + latency_us, s.request_id) for s in started_attempts(step_actions)]
        actions += step_actions
        broker.now_us += every_us
    for end_at_us, request in in_flight:
        broker.now_us = max(broker.now_us, end_at_us)
        broker.handle(api.AttemptFinished(request, 0, "n0", "ok", latency_us, True))
    return actions


def overload_shard(broker: BrokerUnderTest) -> None:
    """Offer load with slow answers until shard 0 is overloaded and its capacity is known."""
    offer_steadily(broker, 2 * SECOND_US)
    offer_steadily(broker, 3 * SECOND_US, latency_us=400_000)
    shard_state = broker.scheduler.endpoints.shards[0]
    assert shard_state.is_overloaded and shard_state.is_capacity_known


def broker_with_warming_node(**setting_changes: Any) -> BrokerUnderTest:
    """A broker that has run for 2 s when node n0 restarts."""
    broker = BrokerUnderTest(**setting_changes)
    broker.advance(2_000_000)
    broker.handle(api.EndpointUpdate("delta", (api.NodeEntry("n0", 0, "live", 0, broker.now_us),)))
    return broker


def offer_continuously(
    broker: BrokerUnderTest,
    for_us: int,
    step_us: int = 10_000,
    latency_us: int = 200_000,
    **request_options: Any,
) -> float:
    """Offer a request in each step, answer attempts in the next one, and return the units that were sent.

    :param latency_us: the latency that is reported for each attempt
    """
    total_units = 0.0
    started: list[api.StartAttempt] = []
    for _ in range(for_us // step_us):
        outcomes = [
            api.AttemptFinished(attempt.request_id, 0, "n0", "ok", latency_us, True) for attempt in started
        ]
        actions = broker.request(**request_options) + broker.handle(*outcomes)
        started = started_attempts(actions)
        total_units += 2.0 * len(started)
        broker.now_us += step_us
    return total_units
