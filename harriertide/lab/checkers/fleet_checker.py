"""Checks a fleet in virtual time by the events that brokers wrote and the attempts that they made."""

from __future__ import annotations

from dataclasses import dataclass, field

from harriertide.lab.simulation.maintenance_fleet import Fleet, NodeAttempt

NEVER_S = 1e18  # of a machine that did not come back


@dataclass
class Verdict:
    """What a run showed. standstill_s: the longest time between two phases."""

    broken: list[str] = field(default_factory=list)
    tried: int = 0
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


@dataclass
class _Steps:
    owners: dict[int, tuple[str, str]] = field(default_factory=dict)  # by fence: order and machine
    first_s: dict[tuple[int, str], float] = field(default_factory=dict)  # by fence and phase: first known

    def outages(self) -> list[_Outage]:
        outages = []
        for fence, (_, machine) in self.owners.items():
            began_s = self.first_s.get((fence, "out"))
            if began_s is not None:
                returning_s = self.first_s.get((fence, "returning"), NEVER_S)
                ended_s = min(returning_s, self.first_s.get((fence, "back"), NEVER_S))
                outages.append(_Outage(fence, machine, began_s, ended_s))
        return outages


def check_fleet(fleet: Fleet, finished: bool) -> Verdict:
    """Check what brokers wrote and tried.

    :param finished: whether all orders came to their end
    """
    verdict = Verdict(
        orders=len(fleet.agreed_orders),
        finished=len(fleet.agreed_orders) * finished,
        tried=len(fleet.attempts),
    )
    steps = _read_steps(fleet, verdict)
    _check_attempts(fleet, steps, verdict)
    moments_s = sorted(steps.first_s.values())
    gaps_s = [later - earlier for earlier, later in zip(moments_s, moments_s[1:], strict=False)]
    verdict.steps = len(moments_s)
    verdict.standstill_s = max(gaps_s, default=0.0)
    if not finished:
        verdict.broken.append("orders did not come to their end")
    return verdict


def _read_steps(fleet: Fleet, verdict: Verdict) -> _Steps:
    """All brokers have the same states in the same order, and a fence is of one machine."""
    steps = _Steps()
    digests: dict[int, int] = {}
    for row in fleet.events:
        if row["event"] == "applied" and digests.setdefault(row["index"], row["digest"]) != row["digest"]:
            verdict.broken.append(f"{row['by']}: another state at {row['index']}")
        if row["event"] == "step" and row["fence"] and row["phase"] != "waiting":
            machine = row["order"], row["machine"]
            owner = steps.owners.setdefault(row["fence"], machine)
            if owner != machine:
                verdict.broken.append(f"fence {row['fence']}: {owner} and {machine}")
            steps.first_s.setdefault((row["fence"], row["phase"]), row["at"])
    return steps


def _check_attempts(fleet: Fleet, steps: _Steps, verdict: Verdict) -> None:
    """No attempt is open at a machine while it is out."""
    outages = steps.outages()
    for attempt in fleet.attempts:
        for outage in outages:
            if outage.overlaps(attempt):
                verdict.broken.append(
                    f"{attempt.process} at {attempt.node} from {attempt.began_s:.3f} to "
                    f"{attempt.ended_s:.3f}, out from {outage.began_s:.3f} ({outage.fence})"
                )
