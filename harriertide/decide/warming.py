"""A warming node: since when it is up, and what it bears by now from all brokers together. Functions only."""

from __future__ import annotations

from harriertide.decide.context import DecisionContext
from harriertide.decide.quota_credit import CREDIT_LIFETIME_US
from harriertide.decide.state import GrantedUnits, NodeState

# The safe rate counts as so many mean requests among a node's answers: its first answers prove little yet.
SAFE_RATE_WEIGHT_REQUESTS = 0.5
MIN_SLOW_START_UNITS = 0.01  # guards a division where the settings allow a warming node nothing


def is_warming(context: DecisionContext, node: NodeState) -> bool:
    """Whether a node has started so lately that the settings limit what it may get."""
    return node.started_us > 0 and context.now_us < node.started_us + context.settings.slow_start_us


def slow_start_budget_units(context: DecisionContext, node: NodeState) -> float:
    """Units that a warming node bears in one collapse window by now, from all brokers together.

    The safe figure is that of its start, with the slowest rise that the settings allow. Its answers show
    more: their units over the time that they took are at most what one core does.
    """
    settings = context.settings
    warm_us = context.now_us - settings.collapse_window_us - CREDIT_LIFETIME_US - node.started_us
    progress = min(1.0, max(0, warm_us) / max(1, settings.slow_start_us))
    safe = settings.slow_start_units * (1 + progress * (1 / settings.slow_start_initial_ratio - 1))
    window_us = settings.collapse_load_ratio * settings.collapse_window_us
    weight_units = SAFE_RATE_WEIGHT_REQUESTS * settings.mean_request_units
    weight_us = weight_units * window_us / max(MIN_SLOW_START_UNITS, settings.slow_start_units)
    measured = (node.measured_units + weight_units) * window_us / max(1.0, node.measured_us + weight_us)
    return max(safe, measured)


def assume_all_granted(context: DecisionContext, node: NodeState) -> None:
    """Count all that a node bears as granted just now.

    Guards against a budget that is granted twice: once by this broker before it restarted, or by the
    coordinator of before, and once more by this one, which does not know of it.
    """
    node.granted.append(GrantedUnits(context.now_us, slow_start_budget_units(context, node)))
