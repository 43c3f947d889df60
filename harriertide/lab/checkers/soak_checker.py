"""Checks the logs of a soak run: what the checker of upgrades counts, and what signals and clients add."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from harriertide.lab.checkers import upgrade_checker
from harriertide.lab.checkers.log_rows import Row, read_rows

READY_S = 10.0  # for a process that was started to get ready
LEFT_S = 0.1  # after its client has left, in which an attempt may still begin
REFUSED_STATUSES = (429, 503)  # they promise that the request has not run


@dataclass
class SoakVerdict:
    """What a run, or several, broke. lost: ended without an answer; unanswered: neither answer nor end."""

    runs: int = 0
    requests: int = 0
    lost: int = 0
    unanswered: int = 0
    twice: int = 0
    refused_after_run: int = 0
    over_limit: int = 0
    cold_falls: int = 0
    after_drain: int = 0
    after_left: int = 0
    not_ready: int = 0
    failed: list[str] = field(default_factory=list)

    @property
    def broken(self) -> bool:
        """Whether any count but those of runs and requests is not 0."""
        counts = (
            self.lost, self.unanswered, self.twice, self.refused_after_run, self.over_limit, self.cold_falls,
            self.after_drain, self.after_left, self.not_ready,
        )  # fmt: skip
        return any(counts) or bool(self.failed)

    def add(self, other: SoakVerdict) -> None:
        """Count another run in."""
        for name in self.__dataclass_fields__:
            setattr(self, name, getattr(self, name) + getattr(other, name))

    def summarize(self) -> str:
        """The counts as one row."""
        return (
            f"soak runs {self.runs} requests {self.requests} lost {self.lost} unanswered {self.unanswered} "
            f"twice {self.twice} refused-after-run {self.refused_after_run} over-limit {self.over_limit} "
            f"cold-falls {self.cold_falls} after-drain {self.after_drain} after-left {self.after_left} "
            f"not-ready {self.not_ready} failed {len(self.failed)}"
        )


def check_soak(folder: Path) -> SoakVerdict:
    """Check the logs of one run."""
    clients, nodes, platform = (
        list(read_rows(folder / f"{name}.log")) for name in ("clients", "nodes", "platform")
    )
    base = upgrade_checker.check_logs(folder)
    unanswered = _count_unanswered(clients)
    late = sum(took_s > READY_S for took_s in base.ready_s)
    return SoakVerdict(
        runs=1,
        requests=base.requests,
        lost=base.lost - unanswered - _count_shut_in_a_crowd(clients, nodes, platform),
        unanswered=unanswered,
        twice=base.excess_attempts + _count_repeated_appends(clients, nodes),
        refused_after_run=_count_refused_after_run(clients, nodes),
        over_limit=base.over_limit,
        cold_falls=base.slow_start_overloads,
        after_drain=base.after_drain,
        after_left=_count_after_left(clients, nodes),
        not_ready=late,
        failed=base.failed,
    )


def _count_unanswered(clients: list[Row]) -> int:
    """Requests with neither an answer nor an end of their connection."""
    open_requests = {row["request"] for row in clients if row["event"] == "asked"}
    ends = {row["request"] for row in clients if row["event"] in ("told", "ended", "crossed")}
    return len(open_requests - ends)


def _count_shut_in_a_crowd(clients: list[Row], nodes: list[Row], platform: list[Row]) -> int:
    """Requests on new connections that were shut unread in a crowd: that is allowed."""
    crowds = [row["at_s"] for row in platform if row["event"] == "crowd"]
    spans = list(zip(crowds[::2], crowds[1::2], strict=False))
    forwarded = {row["request"] for row in nodes if row["event"] == "came"}
    return sum(
        row["event"] == "ended"
        and row["new"]
        and not row["begun"]
        and row["request"] not in forwarded
        and any(begin_s <= row["at_s"] <= end_s for begin_s, end_s in spans)
        for row in clients
    )


def _appends(clients: list[Row]) -> set[str]:
    """Requests that may run once only."""
    return {row["request"] for row in clients if row.get("request_class") == "append"}


def _count_repeated_appends(clients: list[Row], nodes: list[Row]) -> int:
    """Attempts beyond the first that reached a node, of requests that may run once only."""
    appends = _appends(clients)
    came = Counter(row["request"] for row in nodes if row["event"] == "came" and row["request"] in appends)
    return sum(count - 1 for count in came.values())


def _count_refused_after_run(clients: list[Row], nodes: list[Row]) -> int:
    """Requests that may run once only, reached a node, and were answered as if they had not run."""
    came = {row["request"] for row in nodes if row["event"] == "came"} & _appends(clients)
    return sum(
        row["event"] == "told" and row["request"] in came and row["status"] in REFUSED_STATUSES
        for row in clients
    )


def _count_after_left(clients: list[Row], nodes: list[Row]) -> int:
    """Attempts that began too long after their client had closed its connection."""
    left_s = {row["request"]: row["at_s"] for row in clients if row["event"] == "left"}
    return sum(
        row["event"] == "came" and row["at_s"] > left_s.get(row["request"], float("inf")) + LEFT_S
        for row in nodes
    )
