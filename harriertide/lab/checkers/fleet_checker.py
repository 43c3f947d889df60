"""Checks a fleet in virtual time by the events that brokers wrote and the attempts that they made."""

from __future__ import annotations

from dataclasses import dataclass, field

from harriertide.lab.checkers.step_history import StepHistory, longest_gap_s
from harriertide.lab.simulation.maintenance_fleet import Fleet, NodeAttempt


@dataclass
class Verdict:
    """What a run showed.

    :ivar broken: each rule that does not hold, in plain words
    :ivar attempts: that brokers made at nodes
    :ivar steps: phases that steps came to
    :ivar standstill_s: the longest time between two phases
    """

    broken: list[str] = field(default_factory=list)
    attempts: int = 0
    steps: int = 0
    finished: int = 0
    orders: int = 0
    standstill_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _Outage:
    """From when on the first broker knew that a machine is out, until the first knew that it returns."""

    fence: int
    machine: str
    began_s: float
    ended_s: float

    def overlaps(self, attempt: NodeAttempt) -> bool:
        is_there = attempt.node == self.machine
        return is_there and attempt.began_s < self.ended_s and attempt.ended_s > self.began_s


def check_fleet(fleet: Fleet, order_count: int, finished: bool) -> Verdict:
    """Check what brokers wrote, and the attempts that they made.

    :param order_count: orders that were agreed on
    :param finished: whether all orders came to their end
    """
    verdict = Verdict(
        orders=order_count,
        finished=order_count * finished,
        attempts=len(fleet.attempts),
    )
    steps = StepHistory()
    for row in fleet.events:
        steps.add(row["by"], row)
    verdict.broken += steps.violations
    _check_attempts(fleet, steps, verdict)
    verdict.steps = len(steps.first_s)
    verdict.standstill_s = longest_gap_s(list(steps.first_s.values()))
    if not finished:
        verdict.broken.append("orders did not come to their end")
    return verdict


def _outages(steps: StepHistory) -> list[_Outage]:
    outages = []
    for fence, (_, machine) in steps.owners.items():
        began_s = steps.first_s.get((fence, "out"))
        if began_s is not None:
            outages.append(_Outage(fence, machine, began_s, steps.returned_s(fence)))
    return outages


def _check_attempts(fleet: Fleet, steps: StepHistory, verdict: Verdict) -> None:
    """No attempt is open at a machine while it is out."""
    outages = _outages(steps)
    for attempt in fleet.attempts:
        for outage in outages:
            if outage.overlaps(attempt):
                verdict.broken.append(
                    f"{attempt.process} at {attempt.node} from {attempt.began_s:.3f} to "
                    f"{attempt.ended_s:.3f}, out from {outage.began_s:.3f} ({outage.fence})"
                )
