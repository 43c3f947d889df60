"""Tracks the phase of each step, and the time of the last change on this broker's clock."""

from __future__ import annotations

from dataclasses import dataclass

from harriertide.control.event_log import EventSink
from harriertide.control.member import AgreementMember
from harriertide.engine.log import log
from harriertide.maintenance.phases import Phase
from harriertide.maintenance.state import Step
from harriertide.maintenance.state_machine import MaintenanceStateMachine


@dataclass(frozen=True, slots=True)
class _SeenStep:
    phase: Phase
    fence: int
    since_us: int


class StepObserver:
    """Detects changed steps and writes them to the event log; the leader also logs them for operators."""

    def __init__(
        self, state_machine: MaintenanceStateMachine, member: AgreementMember, events: EventSink
    ) -> None:
        self._state_machine = state_machine
        self._member = member
        self._events = events
        self._seen: dict[tuple[str, str], _SeenStep] = {}  # by order and machine

    def notice_changes(self) -> bool:
        """Check all steps; return whether the phase or fencing token of any step has changed."""
        current_steps = [
            step for steps in self._state_machine.state.steps.values() for step in steps.values()
        ]
        has_changed = False
        for step in current_steps:
            has_changed = self._notice(step) or has_changed
        if len(self._seen) > len(current_steps):  # the replicated state has dropped old orders
            self._seen = {
                (step.order, step.machine): self._seen[step.order, step.machine] for step in current_steps
            }
        return has_changed

    def _notice(self, step: Step) -> bool:
        seen = self._seen.get((step.order, step.machine))
        if seen is not None and (seen.phase, seen.fence) == (step.phase, step.fence):
            return False
        self._seen[step.order, step.machine] = _SeenStep(step.phase, step.fence, self._member.now_us())
        self._member.report_soon()
        self._events.write(
            "step",
            order=step.order,
            machine=step.machine,
            phase=step.phase,
            fence=step.fence,
            index=self._member.applied_index,
        )
        if self._member.is_leader:
            _log_step(step)
        return True

    def phase_age_s(self, step: Step, now_us: int) -> float:
        """Return for how many seconds this broker has seen a step in its current phase."""
        seen = self._seen.get((step.order, step.machine))
        since_us = now_us if seen is None else seen.since_us
        return round((now_us - since_us) / 1_000_000, 1)


def _log_step(step: Step) -> None:
    if step.phase == "waiting" and not step.fence:
        return  # the order is new, and the operator's call was already logged
    event = "maintenance permit granted" if step.phase == "permitted" else "maintenance phase changed"
    log(
        event,
        machine=step.machine,
        order=step.order,
        phase=step.phase,
        fence=step.fence,
        reason=step.reason or "all conditions of the phase are met",
    )
