"""What brokers wrote of the steps of maintenance: when the first of them knew each phase."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

NEVER_S = 1e18  # of a machine that did not come back


class StepHistory:
    """The steps of one run, from the event logs of all brokers, in any order.

    :ivar owners: by fence: order and machine
    :ivar first_s: by fence and phase: when the first broker knew of it
    :ivar last: by order and machine: time and phase of the last row
    :ivar violations: two states at one index, or two owners of one fence
    """

    def __init__(self) -> None:
        self.owners: dict[int, tuple[str, str]] = {}
        self.first_s: dict[tuple[int, str], float] = {}
        self.last: dict[tuple[str, str], tuple[float, str]] = {}
        self.violations: list[str] = []
        self._digests: dict[int, int] = {}  # by index, of the state

    def add(self, source: str, row: dict[str, Any]) -> None:
        """Take a row.

        :param source: the broker or the log that it comes from
        """
        if row["event"] == "applied":
            if self._digests.setdefault(row["index"], row["digest"]) != row["digest"]:
                self.violations.append(f"{source}: another state at index {row['index']}")
        elif row["event"] == "step":
            self._add_step(row)

    def _add_step(self, row: dict[str, Any]) -> None:
        machine = row["order"], row["machine"]
        if row["at"] >= self.last.get(machine, (0.0, ""))[0]:
            self.last[machine] = row["at"], row["phase"]
        if not row["fence"] or row["phase"] == "waiting":
            return
        owner = self.owners.setdefault(row["fence"], machine)
        if owner != machine:
            self.violations.append(f"fence {row['fence']}: {owner} and {machine}")
        key = row["fence"], row["phase"]
        self.first_s[key] = min(self.first_s.get(key, row["at"]), row["at"])

    def returned_s(self, fence: int) -> float:
        """Return when the first broker knew that a machine may get requests again."""
        returning_s = self.first_s.get((fence, "returning"), NEVER_S)
        return min(returning_s, self.first_s.get((fence, "back"), NEVER_S))


def longest_gap_s(moments_s: list[float]) -> float:
    """Return the longest time between two moments that follow each other."""
    return max((later - earlier for earlier, later in pairwise(sorted(moments_s))), default=0.0)
