"""What the leader gathers from the reports of all brokers, for the planner."""

from __future__ import annotations

from harriertide.config.operator_file import State
from harriertide.consensus.fanout import GrantRound
from harriertide.consensus.fanout_messages import SubtreeTotals
from harriertide.maintenance.facts import LeaderFacts


def update_facts(
    facts: LeaderFacts,
    now_us: int,
    granted: GrantRound,
    totals: SubtreeTotals,
    active_fences: set[int],
    operator_state: State,
) -> None:
    """Take in what was reported until a round of leases was granted.

    :param granted: the round: who was in it holds a lease from its own report on
    :param totals: the sums of all reports
    :param active_fences: fences of the active steps
    :param operator_state: grades, volumes and nodes, as in force here
    """
    for broker_index in granted.alive_brokers:
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
    """Return the units a second that all volumes have reserved."""
    total = 0.0
    for volume in operator_state["volumes"].values():
        total += operator_state["grades"][volume["grade"]]["reserve"]
    return total


def reserved_units_by_grade(operator_state: State) -> dict[str, float]:
    """Return the units a second that volumes have reserved, by grade."""
    reserved = dict.fromkeys(operator_state["grades"], 0.0)
    for volume in operator_state["volumes"].values():
        grade = volume["grade"]
        reserved[grade] += operator_state["grades"][grade]["reserve"]
    return reserved
