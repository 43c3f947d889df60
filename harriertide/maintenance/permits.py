"""Selection of the next machine to take out of service, and the checks that may refuse it."""

from __future__ import annotations

from harriertide.maintenance.agreed_limits import find_refusal
from harriertide.maintenance.capacity import available_units, node_units, required_units
from harriertide.maintenance.commands import GrantPermit
from harriertide.maintenance.facts import PlanningContext
from harriertide.maintenance.orders import Machine, Order


def explain_refusal(context: PlanningContext, name: str, order: Order) -> str:
    """Return why a machine may not be taken out now, in one line for operators; "" if it may."""
    if refusal := find_refusal(context.state, name, order):
        return refusal
    machine = context.state.machines[name]
    return _check_failed_of_kind(context, machine, order) or _check_capacity(context, machine, order)


def _check_failed_of_kind(context: PlanningContext, machine: Machine, order: Order) -> str:
    """Count failed machines of the same kind against the order's limit of machines out at once."""
    state = context.state
    failed_of_kind = [
        name
        for name in state.failed_since_s
        if name in state.machines and name != machine.name and state.machines[name].kind == machine.kind
    ]
    if failed_of_kind and state.active_step_count(order.id) + len(failed_of_kind) >= order.at_once:
        return f"{failed_of_kind[0]} is away, which uses up what may be away at once"
    return ""


def _check_capacity(context: PlanningContext, machine: Machine, order: Order) -> str:
    """Check that the other nodes can serve the required load; passes if no node rate is known."""
    if machine.is_broker or machine.name in context.state.failed_since_s or not node_units(context, machine):
        return ""
    available = available_units(context, without=machine.name)
    required = required_units(context, order.takes_s)
    if available < required:
        return f"{available:.0f} units a second would be left of {required:.0f} due"
    return ""


class PermitQueue:
    """Selects the next machine, alternating between orders. Its state is the leader's own and may be lost."""

    def __init__(self) -> None:
        self._permit_count = 0
        self._last_turn: dict[str, int] = {}  # by order ID: sequence number of its latest permit

    def next_permit(self, context: PlanningContext) -> GrantPermit | None:
        """Return the next permit to propose; None if no machine may be taken out now."""
        for order in self._sort_orders(context):
            for name in _sort_machines(context, order):
                if not explain_refusal(context, name, order):
                    self._permit_count += 1
                    self._last_turn[order.id] = self._permit_count
                    return GrantPermit(name, order.id, context.now_s)
        return None

    def _sort_orders(self, context: PlanningContext) -> list[Order]:
        """Sort open orders: fewest machines out of service, then least recently permitted, then oldest."""
        state = context.state

        def rank(order: Order) -> tuple[int, int, float, str]:
            last_turn = self._last_turn.get(order.id, 0)
            active_count = state.active_step_count(order.id)
            return active_count, last_turn, state.submitted_at_s[order.id], order.id

        return sorted((order for order in state.orders.values() if state.is_open(order.id)), key=rank)


def _sort_machines(context: PlanningContext, order: Order) -> list[str]:
    """Sort machines: those near failure first, then failed ones, then nodes, then brokers."""
    machines = context.state.machines

    def rank(name: str) -> tuple[bool, bool, bool, int]:
        machine = machines.get(name)
        is_broker = machine is not None and machine.is_broker
        has_not_failed = name not in context.state.failed_since_s
        return name not in order.first, has_not_failed, is_broker, order.machines.index(name)

    return sorted(order.machines, key=rank)
