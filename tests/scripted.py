"""A scripted decision module for tests of the reducer, and helpers that create its events."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from harriertide.core import events as ev
from harriertide.decide import api
from tests.helpers import SETTINGS, START_US

ALONE = replace(SETTINGS, broker_count=1, peer_messages_allowed=False)
NODES = (api.NodeEntry("n0", 0), api.NodeEntry("n1", 1))
NODES_LISTED = ev.EndpointsUpdated(api.EndpointUpdate("cached", NODES))


class ScriptedModule:
    """Returns the next actions of a script on each call, or raises its next exception; records all events."""

    def __init__(self, *script: Sequence[api.Action] | Exception) -> None:
        self.script = list(script)
        self.received_events = list[api.Event]()

    def __call__(self, settings: api.Settings, seed: int) -> Any:
        """Act as the module factory; a replacement module continues the same script."""
        return self

    def decide(self, now_us: int, events: list[api.Event]) -> Sequence[api.Action]:
        self.received_events += events
        actions = self.script.pop(0) if self.script else ()
        if isinstance(actions, Exception):
            raise actions
        return actions


def request_arrived(request_id: str = "r", shard: int = 0) -> ev.RequestArrived:
    return ev.RequestArrived(api.Arrival(request_id, 0, 0, "v", shard, START_US + 1_000_000))


def start_attempt(node_id: str = "n0") -> api.StartAttempt:
    return api.StartAttempt("r", node_id, START_US + 500_000)


def node_changed(node: api.NodeEntry) -> ev.EndpointsUpdated:
    return ev.EndpointsUpdated(api.EndpointUpdate("delta", (node,)))


def effects_of_type(effects: Sequence[ev.Effect], effect_type: type) -> list[Any]:
    return [effect for effect in effects if isinstance(effect, effect_type)]
