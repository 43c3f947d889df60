"""Many brokers in virtual time: datagrams between them, a list told to all, nodes that answer as asked."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random
from typing import Any, NamedTuple

from harriertide.decide import api
from harriertide.decide.scheduler import Scheduler
from tests.helpers import START_US


def fleet(settings: api.Settings) -> list[Scheduler]:
    """Brokers that start at one moment on the same list."""
    brokers = [
        Scheduler(replace(settings, broker_index=number), 100 + number)
        for number in range(settings.broker_count)
    ]
    held = api.EndpointUpdate(
        "cached", tuple(api.NodeEntry(f"n{i:02}", i) for i in range(settings.shard_count))
    )
    for broker in brokers:
        broker.decide(START_US, [held])
    return brokers


class Sent(NamedTuple):
    """An attempt: when, by which broker, to which node, of how many units."""

    when: int
    broker: int
    node: str
    units: float


class Plant:
    """Brokers, datagrams that take 10 ms, and nodes that answer after 60 ms or, once gone, refuse at once."""

    def __init__(self, settings: api.Settings, seed: int = 5) -> None:
        self.now, self.made, self.random, self.settings = START_US, 0, Random(seed), settings
        self.brokers = dict(enumerate(fleet(settings)))
        self.post: list[tuple[int, int, api.Event]] = []  # when, for which broker
        self.gone: set[str] = set()
        self.sent: list[Sent] = []
        self.told = 0  # messages
        self.mine: dict[int, list[int]] = {}  # the shards that a broker is asked for, where not all
        self.units: Sequence[float] = (2.0,)  # of a request, drawn
        self.answer: tuple[Any, int] = ("ok", 60_000)  # kind and time
        self.cut: Callable[[int, int], bool] = lambda sender, receiver: False
        self.dark = False  # discovery turns every call away
        self.probed: Callable[[int, str], None] = lambda when, node: None
        self.calls: dict[int, list[int]] = defaultdict(list)  # by broker, when

    def tell_list(self, *entries: api.NodeEntry) -> None:
        self.gone |= {entry.node_id for entry in entries if entry.state != "live"}
        for number in self.brokers:
            self.post.append((self.now, number, api.EndpointUpdate("delta", entries)))

    def restart(self, number: int, *held: api.NodeEntry) -> None:
        """A broker that comes back without memory, on this list."""
        self.brokers[number] = Scheduler(replace(self.settings, broker_index=number), 1_000 + number)
        self.post.append((self.now, number, api.EndpointUpdate("cached", held)))

    def run(self, for_us: int, rate: float, shards: Sequence[int], step_us: int = 20_000) -> None:
        """Each broker is asked for so many requests a second of these shards (-1: new objects)."""
        for _ in range(for_us // step_us):
            self.now += step_us
            mail: dict[int, list[api.Event]] = {number: [] for number in self.brokers}
            for when, number, event in self.post:
                if when <= self.now and number in mail:
                    mail[number].append(event)
            self.post = [item for item in self.post if item[0] > self.now]
            for number, broker in self.brokers.items():
                if self.random.random() < rate * step_us / 1_000_000:
                    self.made += 1
                    shard = self.random.choice(self.mine.get(number) or shards)
                    units, until_us = self.random.choice(self.units), self.now + 2_000_000
                    asked = api.Arrival(f"q{self.made}", 0, 0, f"v{self.made % 50}", shard, until_us, units)
                    mail[number].append(asked)
                for action in broker.decide(self.now, mail[number]):
                    self.do(number, action)

    def do(self, number: int, action: api.Action) -> None:
        if isinstance(action, api.SendPeerMessage):
            self.told += 1
            if not self.cut(number, action.recipient_index):
                self.post.append(
                    (self.now + 10_000, action.recipient_index, api.PeerMessageReceived(number, action.body))
                )
        elif isinstance(action, api.WatchEndpoints):
            self.calls[number].append(self.now)
            if self.dark:
                self.post.append((self.now, number, api.EndpointUpdate("failed")))
        elif isinstance(action, api.StartProbe):
            self.probed(self.now, action.node_id)
            kind = "connect_failed" if action.node_id in self.gone else "ok"
            self.post.append((self.now + 10_000, number, api.ProbeFinished(action.node_id, kind)))  # type: ignore[arg-type]
        elif isinstance(action, api.StartAttempt):
            request = self.brokers[number].responses.requests[action.request_id]
            self.sent.append(Sent(self.now, number, action.node_id, request.arrival.units))
            kind, us = ("connect_failed", 1_000) if action.node_id in self.gone else self.answer
            end = api.AttemptFinished(
                action.request_id, request.attempt_count - 1, action.node_id, kind, us, kind == "ok"
            )
            self.post.append((self.now + us, number, end))
