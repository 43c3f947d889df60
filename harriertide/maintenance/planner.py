"""Planner of the leader: the commands to propose, and what each machine waits for.

Liveness: for each unfinished machine `describe_waits` names the event that the machine waits for. The event
either occurs without intervention (work finishes, a lease expires, load falls, attempts end) or needs an
operator (`done`, `gone`, `resume`, an overdue order). If there is nothing to wait for, a command for the
machine is proposed in the same round. While any phase change is possible, each round of any leader therefore
proposes one; the next round repeats a lost proposal.
"""

from __future__ import annotations

from harriertide.maintenance import confirmations
from harriertide.maintenance.capacity import propose_peak_load
from harriertide.maintenance.commands import Command, ReportFailure
from harriertide.maintenance.facts import LeaderFacts, PlannerSettings, PlanningContext
from harriertide.maintenance.failures import propose_failures
from harriertide.maintenance.permits import PermitQueue, explain_refusal
from harriertide.maintenance.phase_changes import propose_phase_change
from harriertide.maintenance.state import Step
from harriertide.maintenance.state_machine import MaintenanceStateMachine


class Planner:
    """Plans from the replicated state and broker reports; holds no state that a new leader needs."""

    def __init__(self, machine: MaintenanceStateMachine, settings: PlannerSettings) -> None:
        self._machine = machine
        self._settings = settings
        self._permits = PermitQueue()

    def context(self, facts: LeaderFacts, now_us: int, now_s: float) -> PlanningContext:
        """Return the inputs of a planning round.

        :param now_us: time on the leader's monotonic clock
        :param now_s: the leader's wall clock, in Unix seconds
        """
        return PlanningContext(self._machine.state, self._settings, facts, now_us, now_s)

    def propose(self, facts: LeaderFacts, now_us: int, now_s: float) -> list[Command]:
        """Return the commands to propose now.

        A round proposes at most one permit, because its effect is not yet in the state, and none together
        with a failure.
        """
        context = self.context(facts, now_us, now_s)
        commands: list[Command] = [*propose_failures(context), *propose_peak_load(context)]
        for step in context.state.active_steps():
            change = propose_phase_change(context, step)
            if change is not None:
                commands.append(change)
        if not any(isinstance(command, ReportFailure) for command in commands):
            permit = self._permits.next_permit(context)
            if permit is not None:
                commands.append(permit)
        return commands

    def describe_waits(self, step: Step, facts: LeaderFacts, now_us: int, now_s: float) -> list[str]:
        """Return the events that a machine waits for, one line each, for operators."""
        context = self.context(facts, now_us, now_s)
        match step.phase:
            case "waiting":
                refusal = explain_refusal(context, step.machine, context.state.orders[step.order])
                return [refusal] if refusal else []
            case "permitted":
                return [f"{name} to know of it" for name in confirmations.brokers_not_informed(context, step)]
            case "draining":
                return [
                    f"{name} to finish there" for name in confirmations.brokers_not_drained(context, step)
                ]
            case "out":
                return [_describe_return(context, step)]
        return []


def _describe_return(context: PlanningContext, step: Step) -> str:
    machine = context.state.machines.get(step.machine)
    is_broker = machine is not None and machine.is_broker
    awaited = "its new process" if is_broker else f"`maintenance done {step.machine}`"
    return awaited + (", overdue" if step.overdue else "")
