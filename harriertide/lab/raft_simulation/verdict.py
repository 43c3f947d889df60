"""What a simulated run showed."""

from __future__ import annotations

from dataclasses import dataclass, field

from harriertide.lab.raft_simulation.faults import FaultKind


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of one run.

    :ivar broken: each property that does not hold, in plain words
    :ivar operations: that clients invoked
    :ivar answered: operations that returned
    :ivar elections: how often a member became leader
    :ivar faults: in the order in which they began
    """

    broken: list[str] = field(default_factory=list)
    operations: int = 0
    answered: int = 0
    elections: int = 0
    faults: list[FaultKind] = field(default_factory=list)
