"""Detection of machines that failed without a maintenance order, and of their recovery."""

from __future__ import annotations

from harriertide.maintenance.commands import Command, MarkBrokerGone, ReportFailure
from harriertide.maintenance.facts import PlanningContext
from harriertide.maintenance.orders import Machine

UNREACHABLE_BROKER_RATIO = 0.5  # if fewer brokers cannot reach a node, the fault is in their network path
UNREACHABLE_CONFIRM_US = 1_000_000  # a shorter interruption, such as a reset connection, is no failure


def propose_failures(context: PlanningContext) -> list[Command]:
    """Return the failures and recoveries to propose."""
    commands: list[Command] = []
    active = {step.machine for step in context.state.active_steps()}
    for name, machine in context.state.machines.items():
        is_active = name in active
        recorded = name in context.state.failed_since_s
        if is_active or not _is_unreachable(context, machine):
            context.facts.unreachable_since_us.pop(name, None)
            if recorded and not is_active:
                commands.append(ReportFailure(name, False, context.now_s))
            continue
        since_us = context.facts.unreachable_since_us.setdefault(name, context.now_us)
        if context.now_us - since_us >= UNREACHABLE_CONFIRM_US and not recorded:
            commands.append(ReportFailure(name, True, context.now_s))
    commands += _returned_brokers(context)
    return commands


def _is_unreachable(context: PlanningContext, machine: Machine) -> bool:
    state, facts = context.state, context.facts
    if machine.is_broker:
        if machine.name not in state.brokers:
            return False
        return state.brokers.index(machine.name) not in facts.alive_brokers
    broker_count = max(1, len(facts.alive_brokers))
    return facts.unreachable_counts.get(machine.name, 0) > UNREACHABLE_BROKER_RATIO * broker_count


def _returned_brokers(context: PlanningContext) -> list[MarkBrokerGone]:
    """Return commands for brokers that an operator marked as gone and that report again."""
    brokers = context.state.brokers
    return [
        MarkBrokerGone(name, False, context.now_s)
        for name in context.state.gone_brokers
        if name in brokers and brokers.index(name) in context.facts.alive_brokers
    ]
