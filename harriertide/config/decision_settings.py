"""What the decision module learns of an operator's state: its settings, and changes of its endpoint list."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from harriertide.config.key_checks import Row
from harriertide.config.operator_file import State
from harriertide.decide import api

CLASS_NAMES = ("read", "write", "bulk")  # the request classes, in the order of their numbers
CLASS_PRIORITY_WEIGHT = 3.0  # alike for all: an operator ranks grades, not kinds of requests
# A request that missed its latency objective is still wanted, but never at the cost of one that can make it.
LATE_PRIORITY_WEIGHT = CLASS_PRIORITY_WEIGHT / 10
# What is within a grade's reserve counts for more than what is beyond it.
WITHIN_QUOTA_WEIGHT = 0.35
BEYOND_QUOTA_WEIGHT = 0.08
MEAN_REQUEST_RATIO = 1 / 4  # of the largest request: an assumption, as the operator states no mean
TICK_US = 2_000  # the decision module looks at what waits so often


def build_settings(state: State, grades: Sequence[str]) -> api.Settings:
    """The decision module's settings for a state.

    :param grades: names in the order of the plans' numbers. It only grows while a daemon runs, so that a
        plan's number never changes its meaning; a grade that is no longer stated keeps its place.
    """
    limits = state["limits"]
    shards = [row["shard"] for row in state["boxes"].values()]
    return api.Settings(
        broker_index=0,
        broker_count=1,
        classes=tuple(_request_class(limits, name) for name in CLASS_NAMES),
        plans=tuple(_plan(state["grades"].get(name)) for name in grades),
        shard_count=1 + max(shards, default=0),
        mean_request_units=max(1.0, limits["most_units"] * MEAN_REQUEST_RATIO),
        max_request_units=limits["most_units"],
        within_quota_weight=WITHIN_QUOTA_WEIGHT,
        beyond_quota_weight=BEYOND_QUOTA_WEIGHT,
        retry_after_allowed=True,
        max_retry_after_us=limits["retry_after_ms"] * 1000,
        max_attempts=limits["attempts"],
        tick_us=TICK_US,
    )


def _request_class(limits: Row, name: str) -> api.RequestClass:
    return api.RequestClass(
        latency_objective_us=limits[f"{name}_aim_ms"] * 1000,
        deadline_us=limits[f"{name}_deadline_ms"] * 1000,
        priority_weight=CLASS_PRIORITY_WEIGHT,
        late_priority_weight=LATE_PRIORITY_WEIGHT,
    )


def _plan(grade: Row | None) -> api.Plan:
    if grade is None:
        return api.Plan()
    return api.Plan(reserved_rate=grade["reserve"], weight=grade["weight"], priority_factor=grade["worth"])


def endpoint_update(
    old: State, new: State, started_us: Mapping[str, int] | None = None
) -> api.EndpointUpdate:
    """How the nodes of two states differ, as a change of the decision module's endpoint list.

    :param started_us: when nodes came back cold, by name; others have run for long.
    """
    started_us = started_us or {}
    removed = [
        api.NodeEntry(name, row["shard"], "gone")
        for name, row in old["boxes"].items()
        if name not in new["boxes"]
    ]
    changed = [
        api.NodeEntry(
            name,
            row["shard"],
            "live" if row["state"] == "up" else "draining",
            started_us=started_us.get(name, 0),
        )
        for name, row in new["boxes"].items()
        if old["boxes"].get(name) != row
    ]
    return api.EndpointUpdate("delta", (*removed, *changed))
