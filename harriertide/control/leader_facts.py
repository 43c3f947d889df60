"""Facts for the planner that the leader gathers from the reports of all brokers."""

from __future__ import annotations

from harriertide.config.operator_file import State
from harriertide.consensus.fanout import GrantRound
from harriertide.consensus.fanout_messages import SubtreeTotals
from harriertide.maintenance.facts import LeaderFacts


def update_facts(
    facts: LeaderFacts,
    now_us: int,
    grant_round: GrantRound,
    totals: SubtreeTotals,
    active_fences: set[int],
    operator_state: State,
) -> None:
    """Update the facts with the reports received until a grant round was confirmed.

    :param grant_round: the confirmed round; each broker in it holds a lease that starts at its own report
    :param totals: the merged reports of all brokers
    :param active_fences: fencing tokens of the active steps
    :param operator_state: grades, volumes and nodes that are in force on this broker
    """
    for broker_index in grant_round.alive_brokers:
        facts.last_grant_us[broker_index] = now_us
    facts.alive_brokers = totals.alive_brokers
    facts.load_units = totals.load_units
    facts.learned_units = totals.learned_units
    facts.unreachable_counts = totals.unreachable_counts
    facts.incarnations.update(totals.incarnations)
    for fence, brokers in totals.informed_brokers.items():
        facts.informed_brokers.setdefault(fence, set()).update(brokers)
    for fence, brokers in totals.drained_brokers.items():
        facts.drained_brokers.setdefault(fence, set()).update(brokers)
    facts.forget_fences(active_fences)
    facts.reserved_units = total_reserved_units(operator_state)


def total_reserved_units(operator_state: State) -> float:
    """Return the units per second reserved by all volumes."""
    total = 0.0
    for volume in operator_state["volumes"].values():
        total += operator_state["grades"][volume["grade"]]["reserve"]
    return total


def reserved_units_by_grade(operator_state: State) -> dict[str, float]:
    """Return the units per second reserved by volumes, by grade."""
    reserved = dict.fromkeys(operator_state["grades"], 0.0)
    for volume in operator_state["volumes"].values():
        grade = volume["grade"]
        reserved[grade] += operator_state["grades"][grade]["reserve"]
    return reserved
