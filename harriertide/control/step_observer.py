"""What this broker has seen of each step: its phase, and since when by this broker's own clock."""

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
    """Notices steps that changed, and writes them to the log of events; the leader logs its decisions."""

    def __init__(self, machine: MaintenanceStateMachine, member: AgreementMember, events: EventSink) -> None:
        self._machine = machine
        self._member = member
        self._events = events
        self._seen: dict[tuple[str, str], _SeenStep] = {}  # by order and machine

    def notice_changes(self) -> bool:
        """Look at all steps; return whether one has another phase or fence than before."""
        present = [step for steps in self._machine.state.steps.values() for step in steps.values()]
        has_changed = False
        for step in present:
            has_changed = self._notice(step) or has_changed
        if len(self._seen) > len(present):  # steps of orders that the agreed state has dropped
            self._seen = {
                (step.order, step.machine): self._seen[step.order, step.machine] for step in present
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
        """Return how long this broker has seen a step in its phase."""
        seen = self._seen.get((step.order, step.machine))
        since_us = now_us if seen is None else seen.since_us
        return round((now_us - since_us) / 1_000_000, 1)


def _log_step(step: Step) -> None:
    if step.phase == "waiting" and not step.fence:
        return  # the order is new; the operator's call is logged
    event = "maintenance permit granted" if step.phase == "permitted" else "maintenance phase changed"
    log(
        event,
        machine=step.machine,
        order=step.order,
        phase=step.phase,
        fence=step.fence,
        reason=step.reason or "all that it waited for has come",
    )
