"""Checks a plan's limit, and each request's one answer, by what the storage node and clients wrote.

Shares nothing with what it checks but the figures of the rule.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from harriertide.lab.checkers.limit_bucket import LimitBucket
from harriertide.lab.checkers.log_rows import read_rows
from harriertide.lab.rigs.broker_settings import BURST, LATE_S, LIMIT, SETTINGS, SLACK_UNITS

WARM_UP_S = 3.0  # from the start of a run: what the limit let through counts from then on


@dataclass
class Verdict:
    """What the logs say. The names are the keys of what `lab processes --json` prints.

    :ivar told: answers by status; 0: the broker closed the connection
    :ivar came: attempts that came to the node
    :ivar used: of what the limit let through
    :ivar lowest: the fewest units that were ever left in the limit's token bucket
    :ivar broken: each rule that does not hold, in plain words
    """

    requests: int = 0
    told: Counter[int] = field(default_factory=Counter)
    came: int = 0
    used: float = 0.0
    lowest: float = BURST
    broken: list[str] = field(default_factory=list)


def check_logs(folder: Path, seconds: float) -> Verdict:
    """Check box.log and clients.log.

    :param seconds: how long load was offered
    """
    verdict = Verdict()
    attempt_counts = _check_limit(folder, seconds, verdict)
    _check_answers(folder, attempt_counts, verdict)
    return verdict


def _check_limit(folder: Path, seconds: float, verdict: Verdict) -> Counter[str]:
    """The token bucket of the limit, from the first attempts of requests; return attempts by request."""
    bucket = LimitBucket(LIMIT, BURST)
    used_units = 0.0
    attempt_counts: Counter[str] = Counter()
    for row in read_rows(folder / "box.log"):
        if row["event"] == "answered":
            continue
        request, at_s = row["request"], row["at_s"]
        verdict.came += 1
        attempt_counts[request] += 1
        if attempt_counts[request] > SETTINGS["limits"]["tryLimit"]:
            verdict.broken.append(f"{request} came {attempt_counts[request]} times")
        if attempt_counts[request] == 1:
            verdict.lowest = min(verdict.lowest, bucket.take(at_s, row["units"]))
            used_units += row["units"] if at_s >= WARM_UP_S else 0.0
    verdict.used = used_units / (LIMIT * (seconds - WARM_UP_S))
    if verdict.lowest < -SLACK_UNITS - LIMIT * LATE_S:
        verdict.broken.append(f"the store of the limit was at {verdict.lowest:.2f}")
    return attempt_counts


def _check_answers(folder: Path, attempt_counts: Counter[str], verdict: Verdict) -> None:
    """Each request gets one answer, and one that was served came to the node."""
    unanswered: dict[str, None] = {}
    for row in read_rows(folder / "clients.log"):
        request = row.get("request", "")
        if row["event"] == "asked":
            verdict.requests += 1
            unanswered[request] = None
        elif row["event"] == "told":
            verdict.told[row["status"]] += 1
            if request not in unanswered:
                verdict.broken.append(f"{request} was told twice")
            unanswered.pop(request, None)
            if row["status"] == 200 and not attempt_counts[request]:
                verdict.broken.append(f"{request} was served by no box")
    verdict.broken += [f"{request} was told nothing" for request in unanswered]
