"""Conditions under which an active step of a machine enters its next phase."""

from __future__ import annotations

from harriertide.maintenance import confirmations
from harriertide.maintenance.capacity import HEADROOM_RATIO, available_units, required_units
from harriertide.maintenance.commands import ChangePhase
from harriertide.maintenance.facts import PlanningContext
from harriertide.maintenance.phases import Phase
from harriertide.maintenance.state import Step

# Next phase of a machine that was removed from the operator's file.
_PHASE_AFTER_REMOVAL: dict[Phase, Phase] = {
    "permitted": "waiting",
    "draining": "cancelled",
    "out": "returning",
    "returning": "back",
}


def propose_phase_change(context: PlanningContext, step: Step) -> ChangePhase | None:
    """Return the phase change to propose for an active step; None while the step has to wait."""
    if step.machine not in context.state.machines:
        return _change(context, step, _PHASE_AFTER_REMOVAL[step.phase], "no longer in the file")
    match step.phase:
        case "permitted":
            return _leave_permitted(context, step)
        case "draining":
            return _leave_draining(context, step)
        case "out":
            return _leave_out(context, step)
        case "returning":
            return _leave_returning(context, step)
    return None


def _change(context: PlanningContext, step: Step, phase: Phase, reason: str = "") -> ChangePhase:
    return ChangePhase(step.machine, step.fence, phase, context.now_s, reason)


def _leave_permitted(context: PlanningContext, step: Step) -> ChangePhase | None:
    if confirmations.brokers_not_informed(context, step):  # KNOWN
        return None
    return _change(context, step, "draining")


def _leave_draining(context: PlanningContext, step: Step) -> ChangePhase | None:
    if not confirmations.brokers_not_drained(context, step):  # CLEAR
        incarnation = context.facts.incarnations.get(step.machine, 0)
        return ChangePhase(step.machine, step.fence, "out", context.now_s, incarnation=incarnation)
    if step.order in context.state.cancelled:
        return _change(context, step, "cancelled")
    available = available_units(context)
    has_failures = bool(context.state.failed_since_s)
    if has_failures and available and available < required_units(context, 0.0) / HEADROOM_RATIO:
        return _change(context, step, "waiting", "needed for what failed elsewhere")
    return None


def _leave_out(context: PlanningContext, step: Step) -> ChangePhase | None:
    """A node returns when an operator reports its work as done, a broker when its new process reports."""
    if context.state.machines[step.machine].is_broker and _has_restarted(context, step):
        return _change(context, step, "returning")
    takes_s = context.state.orders[step.order].takes_s
    if not step.overdue and context.facts.phase_age_s(step, context.now_us) > takes_s:
        return _change(context, step, "out", "overdue")
    return None


def _leave_returning(context: PlanningContext, step: Step) -> ChangePhase | None:
    is_broker = context.state.machines[step.machine].is_broker
    if is_broker or context.facts.phase_age_s(step, context.now_us) >= context.settings.warm_up_s:
        return _change(context, step, "back")
    return None


def _has_restarted(context: PlanningContext, step: Step) -> bool:
    """Whether a broker that was out holds a lease again in a new process."""
    incarnation = context.facts.incarnations.get(step.machine, 0)
    return bool(incarnation) and incarnation != step.incarnation
