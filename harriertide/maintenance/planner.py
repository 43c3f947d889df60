"""What the leader proposes next, and what each machine waits for.

Liveness: for each machine that is not done `describe_waits` names what it waits for. That is an event that
comes by itself (work that takes its time, a lease that expires, load that falls, attempts that end) or one
that needs a person (`done`, `gone`, `resume`, an order that is overdue). A machine for which it names nothing
is proposed in the same round. So as long as any phase change is possible, each round of any leader proposes
one; a proposal that is lost is made again in the next round.
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
    """Plans by the agreed state and by what brokers report. It keeps nothing that a new leader needs."""

    def __init__(self, machine: MaintenanceStateMachine, settings: PlannerSettings) -> None:
        self._machine = machine
        self._settings = settings
        self._permits = PermitQueue()

    def context(self, facts: LeaderFacts, now_us: int, now_s: float) -> PlanningContext:
        """Return what a planning round at this moment goes by.

        :param now_us: the leader's clock
        :param now_s: its wall clock, in Unix seconds
        """
        return PlanningContext(self._machine.state, self._settings, facts, now_us, now_s)

    def propose(self, facts: LeaderFacts, now_us: int, now_s: float) -> list[Command]:
        """Return the commands to propose now.

        At most one permit a round, as what it changes is not in the state yet; and none beside a failure.
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
        """Return what a machine waits for, each in one plain line for operators."""
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
