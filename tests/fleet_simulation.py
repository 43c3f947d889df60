"""A simulation of a fleet of brokers in virtual time, with datagrams, endpoint lists and simulated nodes."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random
from typing import Any, NamedTuple
from zlib import crc32

from harriertide.decide import api
from harriertide.decide.scheduler import Scheduler
from harriertide.decide.state import PRIORITY_BAND_COUNT
from harriertide.lab.simulation.random_workloads import OTHER_SETTINGS
from tests.helpers import SETTINGS, START_US, bid_datagram

LARGE_BROKER_COUNT, LARGE_NODE_COUNT = 40, 60
LARGE_FLEET = replace(SETTINGS, broker_count=LARGE_BROKER_COUNT, shard_count=LARGE_NODE_COUNT)
LARGE_NODE_LIST = api.EndpointUpdate(
    "cached", tuple(api.NodeEntry(f"n{shard:02}", shard) for shard in range(LARGE_NODE_COUNT))
)
LARGE_COORDINATOR = crc32(b"0") % LARGE_BROKER_COUNT  # coordinator of shard 0
HUNDREDS_BROKER_COUNT, HUNDREDS_SHARD_COUNT = 200, 119
HUNDREDS_FLEET = replace(SETTINGS, broker_count=HUNDREDS_BROKER_COUNT, shard_count=HUNDREDS_SHARD_COUNT)
HUNDREDS_FLEETS = {
    "first": HUNDREDS_FLEET,
    "other": replace(
        OTHER_SETTINGS,
        broker_count=HUNDREDS_BROKER_COUNT,
        shard_count=HUNDREDS_SHARD_COUNT,
        peer_messages_allowed=True,
    ),
}


def start_fleet(settings: api.Settings) -> list[Scheduler]:
    """Start all brokers at the same time with the same endpoint list."""
    brokers = [
        Scheduler(replace(settings, broker_index=broker_index), 100 + broker_index)
        for broker_index in range(settings.broker_count)
    ]
    endpoint_list = api.EndpointUpdate(
        "cached", tuple(api.NodeEntry(f"n{i:02}", i) for i in range(settings.shard_count))
    )
    for broker in brokers:
        broker.decide(START_US, [endpoint_list])
    return brokers


class SentAttempt(NamedTuple):
    """An attempt that a broker has sent to a node."""

    at_us: int
    broker: int
    node: str
    units: float


class FleetSimulation:
    """Brokers, datagrams that take 10 ms, and nodes.

    By default a node answers after 60 ms; an unreachable node refuses the connection after 1 ms.
    """

    def __init__(self, settings: api.Settings, seed: int = 5) -> None:
        self.now_us = START_US
        self.request_count = 0
        self.random = Random(seed)
        self.settings = settings
        self.brokers = dict(enumerate(start_fleet(settings)))
        self.deliveries: list[tuple[int, int, api.Event]] = []  # time, receiving broker, event
        self.unreachable_nodes: set[str] = set()
        self.attempts: list[SentAttempt] = []
        self.message_count = 0
        # by broker, the shards that its clients request; others: all shards of run()
        self.shards_by_broker: dict[int, list[int]] = {}
        self.unit_choices: Sequence[float] = (2.0,)  # units of a request, drawn at random
        self.node_answer: tuple[Any, int] = ("ok", 60_000)  # outcome and latency of an attempt
        self.drops_message: Callable[[int, int], bool] = lambda sender, receiver: False
        self.discovery_is_down = False  # every poll of the endpoint list fails
        self.on_probe: Callable[[int, str], None] = lambda at_us, node: None
        self.poll_times: dict[int, list[int]] = defaultdict(list)  # by broker, times of its polls

    def publish_endpoints(self, *entries: api.NodeEntry) -> None:
        self.unreachable_nodes |= {entry.node_id for entry in entries if entry.state != "live"}
        for broker_index in self.brokers:
            self.deliveries.append((self.now_us, broker_index, api.EndpointUpdate("delta", entries)))

    def restart(self, broker_index: int, *endpoint_list: api.NodeEntry) -> None:
        """Restart a broker without its former state, with this cached endpoint list."""
        self.brokers[broker_index] = Scheduler(
            replace(self.settings, broker_index=broker_index), 1_000 + broker_index
        )
        self.deliveries.append((self.now_us, broker_index, api.EndpointUpdate("cached", endpoint_list)))

    def run(self, for_us: int, rate: float, shards: Sequence[int], step_us: int = 20_000) -> None:
        """Advance the time; each broker gets rate requests a second for these shards (-1: new objects)."""
        for _ in range(for_us // step_us):
            self.now_us += step_us
            events_by_broker: dict[int, list[api.Event]] = {broker_index: [] for broker_index in self.brokers}
            for at_us, broker_index, event in self.deliveries:
                if at_us <= self.now_us and broker_index in events_by_broker:
                    events_by_broker[broker_index].append(event)
            self.deliveries = [item for item in self.deliveries if item[0] > self.now_us]
            for broker_index, broker in self.brokers.items():
                if self.random.random() < rate * step_us / 1_000_000:
                    self.request_count += 1
                    shard = self.random.choice(self.shards_by_broker.get(broker_index) or shards)
                    units, deadline_at_us = self.random.choice(self.unit_choices), self.now_us + 2_000_000
                    arrival = api.Arrival(
                        f"q{self.request_count}",
                        0,
                        0,
                        f"v{self.request_count % 50}",
                        shard,
                        deadline_at_us,
                        units,
                    )
                    events_by_broker[broker_index].append(arrival)
                for action in broker.decide(self.now_us, events_by_broker[broker_index]):
                    self.perform_action(broker_index, action)

    def perform_action(self, broker_index: int, action: api.Action) -> None:
        if isinstance(action, api.SendPeerMessage):
            self.message_count += 1
            if not self.drops_message(broker_index, action.recipient_index):
                self.deliveries.append(
                    (
                        self.now_us + 10_000,
                        action.recipient_index,
                        api.PeerMessageReceived(broker_index, action.body),
                    )
                )
        elif isinstance(action, api.WatchEndpoints):
            self.poll_times[broker_index].append(self.now_us)
            if self.discovery_is_down:
                self.deliveries.append((self.now_us, broker_index, api.EndpointUpdate("failed")))
        elif isinstance(action, api.StartProbe):
            self.on_probe(self.now_us, action.node_id)
            kind = "connect_failed" if action.node_id in self.unreachable_nodes else "ok"
            self.deliveries.append(
                (self.now_us + 10_000, broker_index, api.ProbeFinished(action.node_id, kind))
            )  # type: ignore[arg-type]
        elif isinstance(action, api.StartAttempt):
            request = self.brokers[broker_index].responses.requests[action.request_id]
            self.attempts.append(
                SentAttempt(self.now_us, broker_index, action.node_id, request.arrival.units)
            )
            kind, latency_us = (
                ("connect_failed", 1_000) if action.node_id in self.unreachable_nodes else self.node_answer
            )
            outcome = api.AttemptFinished(
                action.request_id, request.attempt_count - 1, action.node_id, kind, latency_us, kind == "ok"
            )
            self.deliveries.append((self.now_us + latency_us, broker_index, outcome))


def send_ten_bids(
    coordinator: Scheduler, now: int, served_rate: float, latency_weighted_rate: float
) -> list[api.Action]:
    """Send a coordinator the bids of ten brokers on shard 0, each with a demand of 4 units a second."""
    bid = bid_datagram(0, [4.0, *[0.0] * (PRIORITY_BAND_COUNT - 1)], served_rate, latency_weighted_rate)
    bidders = [
        broker_index for broker_index in range(LARGE_BROKER_COUNT) if broker_index != LARGE_COORDINATOR
    ][:10]
    return coordinator.decide(now, [api.PeerMessageReceived(broker_index, bid) for broker_index in bidders])
