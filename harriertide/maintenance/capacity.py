"""What the nodes that are in service can serve, and how much must be left while one is taken out."""

from __future__ import annotations

from statistics import median

from harriertide.maintenance.commands import HOURS_PER_DAY, RecordPeakLoad
from harriertide.maintenance.facts import PlanningContext
from harriertide.maintenance.orders import HOUR_S, Machine

HEADROOM_RATIO = 1.1  # of what is required: a load that rises a little is still served
WARM_UP_START_RATIO = (
    0.3  # of its rate that a node serves as it returns; it grows to all of it while it warms up
)
MIN_WARM_UP_S = 0.1  # where the operator's file says 0
LOAD_RISE_RATIO = 1.1  # above the recorded peak, and
LOAD_RISE_UNITS = 1.0  # so many units a second more: a smaller rise does not justify an entry of the log


def node_units(context: PlanningContext, machine: Machine) -> float:
    """Return what a node serves a second: as stated, as learned, or as the others; 0 where none is known.

    Brokers report what they learn while a node is overloaded, and only then: older rates say how much load
    came, not how much the node can serve, and would hold up orders for ever.
    """
    if machine.units:
        return machine.units
    learned = context.facts.learned_units.get(machine.name, 0.0)
    if learned:
        return learned
    others = [units for units in context.facts.learned_units.values() if units]
    return median(others) if others else 0.0


def available_units(context: PlanningContext, without: str = "") -> float:
    """Return what all nodes in service serve a second, a returning one as far as it is warm.

    :param without: a node that is to be left out
    """
    state = context.state
    step_of = {step.machine: step for step in state.active_steps()}
    total = 0.0
    for machine in state.machines.values():
        if machine.is_broker or machine.name == without or machine.name in state.failed_since_s:
            continue
        step = step_of.get(machine.name)
        if step is None:
            total += node_units(context, machine)
        elif step.phase == "returning":
            warm_up_s = max(MIN_WARM_UP_S, context.settings.warm_up_s)
            age_s = context.facts.phase_age_s(step, context.now_us)
            warm_ratio = WARM_UP_START_RATIO + (1 - WARM_UP_START_RATIO) * age_s / warm_up_s
            total += min(1.0, warm_ratio) * node_units(context, machine)
    return total


def required_units(context: PlanningContext, duration_s: float) -> float:
    """Return what must be left: for reserves, the load now, and the peaks of the hours of the work."""
    first = int(context.now_s // HOUR_S)
    last = int((context.now_s + duration_s) // HOUR_S)
    hours = range(first, min(last, first + HOURS_PER_DAY) + 1)
    peak = max(context.state.peak_load_by_hour.get(hour % HOURS_PER_DAY, 0.0) for hour in hours)
    return HEADROOM_RATIO * max(context.facts.reserved_units, context.facts.load_units, peak)


def propose_peak_load(context: PlanningContext) -> list[RecordPeakLoad]:
    """Return the load to record for this hour of the day, where it is well above the recorded peak."""
    hour = int(context.now_s // HOUR_S) % HOURS_PER_DAY
    load_units = context.facts.load_units
    peak = context.state.peak_load_by_hour.get(hour, 0.0)
    if load_units > LOAD_RISE_RATIO * peak + LOAD_RISE_UNITS:
        return [RecordPeakLoad(hour, load_units, context.now_s)]
    return []
