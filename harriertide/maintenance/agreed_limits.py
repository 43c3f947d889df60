"""Checks whether a machine may be taken out of service, based on the replicated state alone.

Each member checks a permit when it applies the command, because the state may have changed since the leader
proposed it. The named limits are invariants, and `harriertide/lab` tests each of them.

ONCE       at most at_once machines of an order are out of service
GROUP      at most one machine of a declared group is out of service
QUORUM     the voters in service are at least a majority plus the order's spare
"""

from __future__ import annotations

from harriertide.maintenance.orders import Order
from harriertide.maintenance.state import MaintenanceState


def find_open_prerequisite(state: MaintenanceState, order: Order) -> str:
    """Return an order that has to finish first, or ""."""
    return next((name for name in order.after if name not in state.orders or state.is_open(name)), "")


def find_refusal(state: MaintenanceState, machine: str, order: Order) -> str:
    """Return why a machine may not be permitted now, in one line for operators; "" if it may."""
    step = state.steps.get(order.id, {}).get(machine)
    if step is None or step.phase != "waiting":
        return f"{machine} does not wait in {order.id}"
    if refusal := _check_order(state, order):
        return refusal
    if state.find_active_step(machine) is not None:
        return f"{machine} is under way by another order"
    return (
        _check_concurrency(state, order)
        or _check_group(state, machine)
        or _check_quorum(state, machine, order)
    )


def _check_order(state: MaintenanceState, order: Order) -> str:
    if state.permits_paused:
        return "held"
    if order.id in state.cancelled:
        return f"{order.id} is cancelled"
    if order.until_s and state.command_time_s + order.takes_s > order.until_s:
        return f"{order.id} ends too soon"
    if prerequisite := find_open_prerequisite(state, order):
        return f"{prerequisite} comes first"
    return ""


def _check_concurrency(state: MaintenanceState, order: Order) -> str:
    """Check ONCE."""
    if state.active_step_count(order.id) >= order.at_once:
        return f"{order.at_once} of {order.id} are under way"
    return ""


def _check_group(state: MaintenanceState, machine: str) -> str:
    """Check GROUP. A failed machine counts as out of service, unless it is the machine to be taken out."""
    group = state.machines[machine].group
    out_of_service = {step.machine for step in state.active_steps()}
    out_of_service |= set(state.failed_since_s) - {machine}
    groups = {state.machines[name].group for name in out_of_service if name in state.machines}
    if group and group in groups:
        return f"one of group {group} is away"
    return ""


def _check_quorum(state: MaintenanceState, machine: str, order: Order) -> str:
    """Check QUORUM. Voters that failed or are gone count as out of service."""
    if not state.machines[machine].voter:
        return ""
    voters = {voter.name for voter in state.machines.values() if voter.voter}
    active = {step.machine for step in state.active_steps()}
    remaining_voters = voters - active - set(state.failed_since_s) - state.gone_brokers - {machine}
    majority = len(voters) // 2 + 1
    if len(remaining_voters) < majority + order.spare:
        return f"{len(remaining_voters)} voters would be left of {len(voters)}"
    return ""
