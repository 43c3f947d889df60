"""The interface between the core and its decision module: the scheduler, or a scripted module in tests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol, TypeAlias, runtime_checkable

from harriertide.core.write_guard import SLOW_START_WRITE_DELAY_MAX_US
from harriertide.decide import api


class DecisionModule(Protocol):
    """Decides which requests are admitted, and which node each attempt goes to."""

    def decide(self, now_us: int, events: list[api.Event]) -> list[api.Action]:
        """Handle the events that have occurred since the last call.

        :returns: the actions to perform, in this order
        """


@runtime_checkable
class ReportsCapacity(Protocol):
    """A decision module that estimates the capacity of nodes; scripted modules do not."""

    def learned_capacity_by_node(self) -> dict[str, float]:
        """The capacity of the live nodes of overloaded shards, in units per second, by node id."""


DecisionModuleFactory: TypeAlias = Callable[[api.Settings, int], DecisionModule]
"""Creates a decision module from its settings and the seed of its random number generator."""


def settings_for_decision_module(settings: api.Settings) -> api.Settings:
    """Return the settings for the decision module, with a longer collapse window.

    Prevents the collapse of a node in slow start whose budget was respected. The decision module charges
    units to that budget when it decides, but their bytes are written up to SLOW_START_WRITE_DELAY_MAX_US
    later, so the budgets of two decision windows could be written within one window. The longer window
    prevents that.
    """
    if not settings.collapse_window_us:
        return settings
    window_us = settings.collapse_window_us + SLOW_START_WRITE_DELAY_MAX_US
    return replace(settings, collapse_window_us=window_us)
