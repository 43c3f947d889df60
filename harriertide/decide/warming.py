"""Whether a node is warming up, and how many units all brokers together may send to it by now."""

from __future__ import annotations

from harriertide.decide.context import DecisionContext
from harriertide.decide.quota_credit import CREDIT_LIFETIME_US
from harriertide.decide.state import GrantedUnits, NodeState

# The weight of the safe rate beside a node's answers, in mean requests: the first answers alone are too few
# to measure the node's rate.
SAFE_RATE_WEIGHT_REQUESTS = 0.5
MIN_SLOW_START_UNITS = 0.01  # prevents a division by 0 where the settings allow a warming node no units


def is_warming(context: DecisionContext, node: NodeState) -> bool:
    """Whether a node has started less than settings.slow_start_us ago."""
    return node.started_us > 0 and context.now_us < node.started_us + context.settings.slow_start_us


def slow_start_budget_units(context: DecisionContext, node: NodeState) -> float:
    """Return the units that a warming node can take in one collapse window by now, from all brokers together.

    The safe budget is that of the node's start, with the slowest rise that the settings allow. The node's
    answers may prove more: their units over the time that they took are at most the rate of one core.
    """
    settings = context.settings
    warm_us = context.now_us - settings.collapse_window_us - CREDIT_LIFETIME_US - node.started_us
    progress = min(1.0, max(0, warm_us) / max(1, settings.slow_start_us))
    safe_units = settings.slow_start_units * (1 + progress * (1 / settings.slow_start_initial_ratio - 1))
    window_us = settings.collapse_load_ratio * settings.collapse_window_us
    weight_units = SAFE_RATE_WEIGHT_REQUESTS * settings.mean_request_units
    weight_us = weight_units * window_us / max(MIN_SLOW_START_UNITS, settings.slow_start_units)
    measured_units = (node.measured_units + weight_units) * window_us / max(1.0, node.measured_us + weight_us)
    return max(safe_units, measured_units)


def assume_all_granted(context: DecisionContext, node: NodeState) -> None:
    """Count a node's whole budget as granted just now.

    Prevents a budget from being granted twice: this broker before its restart, or the previous coordinator,
    may have granted it already, which this broker does not know.
    """
    node.granted.append(GrantedUnits(context.now_us, slow_start_budget_units(context, node)))
