"""Checks runs of maintenance by what brokers, nodes, clients and the rig wrote. Shares nothing with what it
checks.

A broker's log of events says when it knew of each phase of each step; a machine counts as out from the moment
at which the first broker knew. The rules are those of maintenance itself: one order of fences, never more
machines out than an order or a group allows, nothing sent to a machine that is out, and every order to its
end.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from harriertide.lab.checkers.log_rows import read_rows_of_killed
from harriertide.lab.checkers.step_history import StepHistory, longest_gap_s


@dataclass
class Verdict:
    """What the logs of one run, or of many, say.

    standstill_s: the longest time between two phases while something was left to do.
    """

    runs: int = 0
    orders: int = 0
    finished: int = 0
    excess_outages: int = 0
    late_sends: int = 0
    divergences: int = 0
    lost: int = 0
    repeated_outages: int = 0
    standstill_s: float = 0.0
    writes: int = 0
    acknowledged_writes: int = 0
    violations: list[str] = field(default_factory=list)

    def add(self, other: Verdict) -> None:
        """Add the verdict of another run."""
        self.runs += other.runs
        self.orders += other.orders
        self.finished += other.finished
        self.excess_outages += other.excess_outages
        self.late_sends += other.late_sends
        self.divergences += other.divergences
        self.lost += other.lost
        self.repeated_outages += other.repeated_outages
        self.writes += other.writes
        self.acknowledged_writes += other.acknowledged_writes
        self.standstill_s = max(self.standstill_s, other.standstill_s)
        self.violations += other.violations

    @property
    def broken(self) -> bool:
        """Whether a rule is broken, or an order did not come to its end."""
        faults = self.excess_outages + self.late_sends + self.divergences + self.lost + self.repeated_outages
        return bool(faults) or self.finished < self.orders

    def line(self) -> str:
        """Return the sums as one line."""
        return (
            f"runs {self.runs} orders {self.orders} finished {self.finished} "
            f"two-at-once {self.excess_outages} late-sends {self.late_sends} "
            f"order-differs {self.divergences} lost {self.lost} "
            f"answered-twice {self.repeated_outages} longest-standstill {self.standstill_s:.1f}"
        )


@dataclass(frozen=True, slots=True)
class _Turn:
    """A machine's turn under one fence. began_s: when the first broker knew that it drains."""

    order: str
    machine: str
    fence: int
    began_s: float
    ended_s: float


def check_logs(folder: Path, groups: dict[str, str], at_once: dict[str, int]) -> Verdict:
    """Check the logs of one run.

    :param folder: of the logs
    :param groups: by machine
    :param at_once: by order: how many machines may be out of service together
    """
    verdict = Verdict(runs=1)
    steps = _read_steps(folder)
    verdict.divergences = len(steps.violations)
    verdict.violations += steps.violations
    turns = _turns(steps)
    _check_concurrent_turns(turns, groups, at_once, verdict)
    _check_late_sends(folder, turns, steps, verdict)
    _check_repeated_turns(turns, steps, verdict)
    _check_orders(folder, steps, verdict)
    return verdict


def _read_steps(folder: Path) -> StepHistory:
    steps = StepHistory()
    for path in sorted(folder.glob("*.events")):
        for row in read_rows_of_killed(path):
            steps.add(path.name, row)
    return steps


def _turns(steps: StepHistory) -> list[_Turn]:
    """Return the turns that came as far as draining."""
    turns = []
    for fence, (order, machine) in sorted(steps.owners.items()):
        began_s = steps.first_s.get((fence, "draining"))
        if began_s is not None:
            turns.append(_Turn(order, machine, fence, began_s, steps.returned_s(fence)))
    return turns


def _check_concurrent_turns(
    turns: list[_Turn], groups: dict[str, str], at_once: dict[str, int], verdict: Verdict
) -> None:
    """Never more of an order out of service than it allows, and never two of a group."""
    for place, turn in enumerate(turns):
        others = turns[:place] + turns[place + 1 :]
        beside = [other for other in others if other.began_s <= turn.began_s < other.ended_s]
        of_order = [other.machine for other in beside if other.order == turn.order]
        group = groups.get(turn.machine)
        of_group = [other.machine for other in beside if group and groups.get(other.machine) == group]
        if len(of_order) + 1 > at_once.get(turn.order, 1) or of_group:
            verdict.excess_outages += 1
            verdict.violations.append(f"{turn.machine} drains beside {[*of_order, *of_group]}")


def _check_late_sends(folder: Path, turns: list[_Turn], steps: StepHistory, verdict: Verdict) -> None:
    """Nothing may come to a node between the first word that it is out and the first that it returns."""
    came_s: dict[str, list[float]] = defaultdict(list)
    for row in read_rows_of_killed(folder / "boxes.log"):
        if row["event"] == "came":
            came_s[row["box"]].append(row["at"])
    for turn in turns:
        out_s = steps.first_s.get((turn.fence, "out"))
        if out_s is not None:
            late_s = [at_s for at_s in came_s[turn.machine] if out_s < at_s < turn.ended_s]
            verdict.late_sends += len(late_s)
            verdict.violations += [
                f"{turn.machine}: {at_s - out_s:.3f} s after it was out" for at_s in late_s[:3]
            ]


def _check_repeated_turns(turns: list[_Turn], steps: StepHistory, verdict: Verdict) -> None:
    """Each machine of an order is out once."""
    out_counts: dict[tuple[str, str], int] = defaultdict(int)
    for turn in turns:
        out_counts[turn.order, turn.machine] += (turn.fence, "out") in steps.first_s
    for (order, machine), count in out_counts.items():
        if count > 1:
            verdict.repeated_outages += 1
            verdict.violations.append(f"{machine} of {order} was out {count} times")


def _check_orders(folder: Path, steps: StepHistory, verdict: Verdict) -> None:
    """Orders that were agreed on come to their end; and the longest time in which nothing moved."""
    agreed: dict[str, tuple[float, list[str]]] = {}
    for row in read_rows_of_killed(folder / "clients.log"):
        if row["event"] == "agreed":
            agreed[row["order"]] = row["at"], row["machines"]
        elif row["event"] == "write":
            verdict.writes += 1
            verdict.acknowledged_writes += row["status"] == 200
    for order, (_, machines) in agreed.items():
        verdict.orders += 1
        phases = {name: steps.last.get((order, name), (0.0, ""))[1] for name in machines}
        if "" in phases.values():
            verdict.lost += 1
            verdict.violations.append(f"{order}: agreed on, and no broker has it")
        if all(phase in ("back", "cancelled") for phase in phases.values()):
            verdict.finished += 1
        else:
            verdict.violations.append(f"{order}: ends with {phases}")
    if agreed:
        first_agreed_s = min(at_s for at_s, _ in agreed.values())
        verdict.standstill_s = longest_gap_s([first_agreed_s, *steps.first_s.values()])
