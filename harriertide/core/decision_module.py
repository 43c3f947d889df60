"""What the core asks of a decision module, whether it is the scheduler of this project or a scripted one."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol, TypeAlias, runtime_checkable

from harriertide.core.write_guard import SLOW_START_WRITE_DELAY_MAX_US
from harriertide.decide import api


class DecisionModule(Protocol):
    """Decides which requests are admitted, and which node each attempt goes to."""

    def decide(self, now_us: int, events: list[api.Event]) -> list[api.Action]:
        """Take what has happened by now.

        :returns: what is to be done, in this order
        """


@runtime_checkable
class ReportsCapacity(Protocol):
    """A decision module that learns what nodes can do; scripted ones do not."""

    def learned_capacity_by_node(self) -> dict[str, float]:
        """The capacity of the live nodes of overloaded shards, in units a second, by node id."""


DecisionModuleFactory: TypeAlias = Callable[[api.Settings, int], DecisionModule]
"""Makes a decision module from its settings and the seed of its random numbers."""


def settings_for_decision_module(settings: api.Settings) -> api.Settings:
    """The settings as the decision module is given them: with a longer collapse window.

    Guards against a warming node that collapses although its budget was kept. The decision module books units
    of that budget when it decides, but their bytes leave up to SLOW_START_WRITE_DELAY_MAX_US later: the
    budgets of two windows of decisions could meet in one window of writes. The longer window keeps them
    apart.
    """
    if not settings.collapse_window_us:
        return settings
    window_us = settings.collapse_window_us + SLOW_START_WRITE_DELAY_MAX_US
    return replace(settings, collapse_window_us=window_us)
