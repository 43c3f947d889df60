"""Checks runs of maintenance by what brokers, nodes, clients and the rig wrote. Shares nothing with what it
checks.

A broker's log of events says when it knew of each phase of each step; a machine counts as out from the moment
at which the first broker knew. The rules are those of maintenance itself: one order of fences, never more
machines out than an order or a group allows, nothing sent to a machine that is out, and every order to its
end.
"""

from __future__ import annotations

import json
from collections import defaultdict
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

NEVER_S = 1e18  # of a machine that did not come back


@dataclass
class Verdict:
    """What the logs of one run, or of many, say.

    standstill_s: the longest time between two phases while something was left to do.
    """

    runs: int = 0
    orders: int = 0
    finished: int = 0
    two_at_once: int = 0
    late_sends: int = 0
    order_differs: int = 0
    lost: int = 0
    answered_twice: int = 0
    standstill_s: float = 0.0
    writes: int = 0
    written: int = 0
    rows: list[str] = field(default_factory=list)

    def add(self, other: Verdict) -> None:
        """Add the verdict of another run."""
        self.runs += other.runs
        self.orders += other.orders
        self.finished += other.finished
        self.two_at_once += other.two_at_once
        self.late_sends += other.late_sends
        self.order_differs += other.order_differs
        self.lost += other.lost
        self.answered_twice += other.answered_twice
        self.writes += other.writes
        self.written += other.written
        self.standstill_s = max(self.standstill_s, other.standstill_s)
        self.rows += other.rows

    @property
    def broken(self) -> bool:
        """Whether a rule is broken, or an order did not come to its end."""
        faults = self.two_at_once + self.late_sends + self.order_differs + self.lost + self.answered_twice
        return bool(faults) or self.finished < self.orders

    def line(self) -> str:
        """Return the sums as one line."""
        return (
            f"runs {self.runs} orders {self.orders} finished {self.finished} two-at-once {self.two_at_once} "
            f"late-sends {self.late_sends} order-differs {self.order_differs} lost {self.lost} "
            f"answered-twice {self.answered_twice} longest-standstill {self.standstill_s:.1f}"
        )


@dataclass(frozen=True, slots=True)
class _Turn:
    """A machine's turn under one fence. began_s: when the first broker knew that it drains."""

    order: str
    machine: str
    fence: int
    began_s: float
    ended_s: float


@dataclass
class _Steps:
    """What all brokers wrote of steps."""

    owners: dict[int, tuple[str, str]] = field(default_factory=dict)  # by fence: order and machine
    first_s: dict[tuple[int, str], float] = field(default_factory=dict)  # by fence and phase: first known
    last: dict[tuple[str, str], tuple[float, str]] = field(default_factory=dict)  # by order and machine

    def turns(self) -> list[_Turn]:
        """Return the turns that came as far as draining."""
        turns = []
        for fence, (order, machine) in sorted(self.owners.items()):
            began_s = self.first_s.get((fence, "draining"))
            if began_s is not None:
                turns.append(_Turn(order, machine, fence, began_s, self.ended_s(fence)))
        return turns

    def ended_s(self, fence: int) -> float:
        """Return when the first broker knew that a machine may get requests again."""
        returning_s = self.first_s.get((fence, "returning"), NEVER_S)
        return min(returning_s, self.first_s.get((fence, "back"), NEVER_S))


def read_rows(path: Path) -> list[dict[str, Any]]:
    """Return the rows of a log, less a last one that a killed process did not finish."""
    rows = []
    if path.exists():
        for line in path.read_text(encoding="utf-8").splitlines():
            with suppress(ValueError):
                rows.append(json.loads(line))
    return rows


def judge(folder: Path, groups: dict[str, str], at_once: dict[str, int]) -> Verdict:
    """Check the logs of one run.

    :param folder: of the logs
    :param groups: by machine
    :param at_once: by order: how many machines may be out of service together
    """
    verdict = Verdict(runs=1)
    steps = _read_steps(folder, verdict)
    turns = steps.turns()
    _check_beside(turns, groups, at_once, verdict)
    _check_late_sends(folder, turns, steps, verdict)
    _check_turns(turns, steps, verdict)
    _check_orders(folder, steps, verdict)
    return verdict


def _read_steps(folder: Path, verdict: Verdict) -> _Steps:
    steps = _Steps()
    digests: dict[int, int] = {}
    for path in sorted(folder.glob("*.events")):
        for row in read_rows(path):
            if row["event"] == "applied":
                if digests.setdefault(row["index"], row["digest"]) != row["digest"]:
                    verdict.order_differs += 1
                    verdict.rows.append(f"{path.name}: another state at index {row['index']}")
            elif row["event"] == "step":
                _read_step(row, steps, verdict)
    return steps


def _read_step(row: dict[str, Any], steps: _Steps, verdict: Verdict) -> None:
    machine = row["order"], row["machine"]
    if row["at"] >= steps.last.get(machine, (0.0, ""))[0]:
        steps.last[machine] = row["at"], row["phase"]
    if not row["fence"] or row["phase"] == "waiting":
        return
    owner = steps.owners.setdefault(row["fence"], machine)
    if owner != machine:
        verdict.order_differs += 1
        verdict.rows.append(f"fence {row['fence']}: {owner} and {machine}")
    key = row["fence"], row["phase"]
    steps.first_s[key] = min(steps.first_s.get(key, row["at"]), row["at"])


def _check_beside(
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
            verdict.two_at_once += 1
            verdict.rows.append(f"{turn.machine} drains beside {[*of_order, *of_group]}")


def _check_late_sends(folder: Path, turns: list[_Turn], steps: _Steps, verdict: Verdict) -> None:
    """Nothing may come to a node between the first word that it is out and the first that it returns."""
    came_s: dict[str, list[float]] = defaultdict(list)
    for row in read_rows(folder / "boxes.log"):
        if row["event"] == "came":
            came_s[row["box"]].append(row["at"])
    for turn in turns:
        out_s = steps.first_s.get((turn.fence, "out"))
        if out_s is not None:
            late_s = [at_s for at_s in came_s[turn.machine] if out_s < at_s < turn.ended_s]
            verdict.late_sends += len(late_s)
            verdict.rows += [f"{turn.machine}: {at_s - out_s:.3f} s after it was out" for at_s in late_s[:3]]


def _check_turns(turns: list[_Turn], steps: _Steps, verdict: Verdict) -> None:
    """Each machine of an order is out once."""
    out_counts: dict[tuple[str, str], int] = defaultdict(int)
    for turn in turns:
        out_counts[turn.order, turn.machine] += (turn.fence, "out") in steps.first_s
    for (order, machine), count in out_counts.items():
        if count > 1:
            verdict.answered_twice += 1
            verdict.rows.append(f"{machine} of {order} was out {count} times")


def _check_orders(folder: Path, steps: _Steps, verdict: Verdict) -> None:
    """Orders that were agreed on come to their end; and the longest time in which nothing moved."""
    agreed: dict[str, tuple[float, list[str]]] = {}
    for row in read_rows(folder / "clients.log"):
        if row["event"] == "agreed":
            agreed[row["order"]] = row["at"], row["machines"]
        elif row["event"] == "write":
            verdict.writes += 1
            verdict.written += row["status"] == 200
    for order, (_, machines) in agreed.items():
        verdict.orders += 1
        phases = {name: steps.last.get((order, name), (0.0, ""))[1] for name in machines}
        if "" in phases.values():
            verdict.lost += 1
            verdict.rows.append(f"{order}: agreed on, and no broker has it")
        if all(phase in ("back", "cancelled") for phase in phases.values()):
            verdict.finished += 1
        else:
            verdict.rows.append(f"{order}: ends with {phases}")
    if agreed:
        moments_s = sorted([min(at_s for at_s, _ in agreed.values()), *steps.first_s.values()])
        gaps_s = [later - earlier for earlier, later in zip(moments_s, moments_s[1:], strict=False)]
        verdict.standstill_s = max(gaps_s, default=0.0)
