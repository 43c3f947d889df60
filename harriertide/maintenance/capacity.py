"""Capacity of the nodes in service, and the capacity that must remain while a node is taken out."""

from __future__ import annotations

from statistics import median

from harriertide.maintenance.commands import HOURS_PER_DAY, RecordPeakLoad
from harriertide.maintenance.facts import PlanningContext
from harriertide.maintenance.orders import HOUR_S, Machine

HEADROOM_RATIO = 1.1  # times the required capacity, so that a small rise in load is still served
# share of its full rate that a returning node serves; grows to 1 during the warm-up
WARM_UP_START_RATIO = 0.3
MIN_WARM_UP_S = 0.1  # used if the operator's file has a smaller value
LOAD_RISE_RATIO = 1.1  # relative to the recorded peak, plus LOAD_RISE_UNITS
LOAD_RISE_UNITS = 1.0  # units per second; a smaller rise does not justify a log entry


def node_units(context: PlanningContext, machine: Machine) -> float:
    """Return the rate of a node in units per second: configured, learned, or the median of the others.

    Returns 0 if no rate is known. Brokers report learned rates only while a node is overloaded: rates from
    other times measure the offered load and not the capacity, and would block orders forever.
    """
    if machine.units:
        return machine.units
    learned = context.facts.learned_units.get(machine.name, 0.0)
    if learned:
        return learned
    others = [units for units in context.facts.learned_units.values() if units]
    return median(others) if others else 0.0


def available_units(context: PlanningContext, without: str = "") -> float:
    """Return the total rate of all nodes in service; a returning node counts in proportion to its warm-up.

    :param without: name of a node to exclude
    """
    state = context.state
    steps_by_machine = {step.machine: step for step in state.active_steps()}
    total = 0.0
    for machine in state.machines.values():
        if machine.is_broker or machine.name == without or machine.name in state.failed_since_s:
            continue
        step = steps_by_machine.get(machine.name)
        if step is None:
            total += node_units(context, machine)
        elif step.phase == "returning":
            warm_up_s = max(MIN_WARM_UP_S, context.settings.warm_up_s)
            age_s = context.facts.phase_age_s(step, context.now_us)
            warm_ratio = WARM_UP_START_RATIO + (1 - WARM_UP_START_RATIO) * age_s / warm_up_s
            total += min(1.0, warm_ratio) * node_units(context, machine)
    return total


def required_units(context: PlanningContext, duration_s: float) -> float:
    """Return the required capacity: the maximum of reserves, load and peaks in the hours of the work."""
    first = int(context.now_s // HOUR_S)
    last = int((context.now_s + duration_s) // HOUR_S)
    hours = range(first, min(last, first + HOURS_PER_DAY) + 1)
    peak = max(context.state.peak_load_by_hour.get(hour % HOURS_PER_DAY, 0.0) for hour in hours)
    return HEADROOM_RATIO * max(context.facts.reserved_units, context.facts.load_units, peak)


def propose_peak_load(context: PlanningContext) -> list[RecordPeakLoad]:
    """Return the peak load to record for this hour of the day, if it is well above the recorded peak."""
    hour = int(context.now_s // HOUR_S) % HOURS_PER_DAY
    load_units = context.facts.load_units
    peak = context.state.peak_load_by_hour.get(hour, 0.0)
    if load_units > LOAD_RISE_RATIO * peak + LOAD_RISE_UNITS:
        return [RecordPeakLoad(hour, load_units, context.now_s)]
    return []
