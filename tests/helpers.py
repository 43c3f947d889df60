"""A head under test: settings, events in, actions out."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from harriertide.decide import api
from harriertide.decide.rules import Scheduler

READ = api.RequestClass(aim_us=300_000, deadline_us=2_000_000, worth=2, late_worth=0.2)
WRITE = replace(READ, effect="keyed", group="cell", window_us=1_500_000)
ONCE = replace(READ, effect="unsafe")
TURN = replace(READ, in_order=True)
CLASSES = (READ, WRITE, ONCE, TURN)
PLANS = (api.Plan(reserve=5, weight=1, price=1), api.Plan(weight=1, price=1, limit=10, limit_burst=16))

SETTINGS = api.Settings(
    head=0,
    heads=2,
    classes=CLASSES,
    plans=PLANS,
    shards=4,
    mean_units=2,
    most_units=8,
    share_worth=0.4,
    spare_worth=0.05,
    cold_units=24,
    cold_from=0.2,
    cold_us=10_000_000,
    fall_us=1_500_000,
    may_tell=True,
    may_say_when=True,
    max_retry_after_us=500_000,
    max_attempts=3,
    key_rest_us=400_000,
)

START_US = 50_000_000


class Head:
    """Feeds one Scheduler and remembers what it did."""

    def __init__(self, nodes: tuple[api.NodeEntry, ...] = (), seed: int = 1, **changes: Any) -> None:
        self.now = START_US
        self.settings = replace(SETTINGS, **changes)
        self.scheduler = Scheduler(self.settings, seed)
        self.made = 0
        nodes = nodes or (api.NodeEntry("n0", 0), api.NodeEntry("n1", 1))
        self.first = self.do(api.NodeList("held", nodes))

    def do(self, *events: api.Event, after_us: int = 0) -> list[api.Action]:
        self.now += after_us
        return self.scheduler.decide(self.now, list(events))

    def ask(self, request_class: int = 0, plan: int = 0, shard: int = 0, **more: Any) -> list[api.Action]:
        self.made += 1
        more.setdefault("give_up_us", self.now + 2_000_000)
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
        return self.do(api.Outcome(request, attempt, node, kind, after_us, over), after_us=after_us)

    def idle(self, for_us: int, step_us: int = 50_000) -> list[api.Action]:
        done: list[api.Action] = []
        for _ in range(for_us // step_us):
            done += self.do(api.Woke(0), after_us=step_us)
        return done


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def refusals(actions: list[api.Action]) -> list[api.Refuse]:
    return [a for a in actions if isinstance(a, api.Refuse)]


def fails(actions: list[api.Action]) -> list[api.Fail]:
    return [a for a in actions if isinstance(a, api.Fail)]


def tells(actions: list[api.Action], kind: int) -> list[api.Tell]:
    return [a for a in actions if isinstance(a, api.Tell) and a.body[2] == kind]
