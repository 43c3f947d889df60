"""May a machine be taken out of service, by what is agreed on alone?

Each member asks this where a permit takes effect, so that what the leader that proposed it knew may have been
overtaken. The limits that have a name are invariants: `harriertide/lab` tests each.

ONCE       of an order never more than at_once machines are out of service
GROUP      of one declared group never two are
QUORUM     voters that are in service are a majority plus the order's spare
"""

from __future__ import annotations

from harriertide.maintenance.orders import Order
from harriertide.maintenance.state import MaintenanceState


def find_open_prerequisite(state: MaintenanceState, order: Order) -> str:
    """Return an order that has to be over first, or ""."""
    return next((name for name in order.after if name not in state.orders or state.is_open(name)), "")


def find_refusal(state: MaintenanceState, machine: str, order: Order) -> str:
    """Return why a machine may not be permitted now, in one plain line for operators; "" if it may."""
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
    """ONCE."""
    if state.active_step_count(order.id) >= order.at_once:
        return f"{order.at_once} of {order.id} are under way"
    return ""


def _check_group(state: MaintenanceState, machine: str) -> str:
    """GROUP: a machine that failed counts as out of service, unless it is the one in question."""
    group = state.machines[machine].group
    out_of_service = {step.machine for step in state.active_steps()}
    out_of_service |= set(state.failed_since_s) - {machine}
    groups = {state.machines[name].group for name in out_of_service if name in state.machines}
    if group and group in groups:
        return f"one of group {group} is away"
    return ""


def _check_quorum(state: MaintenanceState, machine: str, order: Order) -> str:
    """QUORUM: voters that failed or are gone are out of service as well."""
    if not state.machines[machine].voter:
        return ""
    voters = {each.name for each in state.machines.values() if each.voter}
    active = {step.machine for step in state.active_steps()}
    left = voters - active - set(state.failed_since_s) - state.gone_brokers - {machine}
    majority = len(voters) // 2 + 1
    if len(left) < majority + order.spare:
        return f"{len(left)} voters would be left of {len(voters)}"
    return ""
