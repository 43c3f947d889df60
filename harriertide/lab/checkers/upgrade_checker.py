"""What the logs of a broker that was upgraded or drained say; shares only the rules with what is judged."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from harriertide.lab.rigs.single_broker import BURST, COLD_S, COLD_UNITS, FALL_S, LIMIT

SLACK = 6.0  # units that a limit may be passed by: one of the largest requests
LATE_S = 0.15  # what the limit allows in so long is slack too, on sockets
LEFT_S = 0.1  # after its client's connection ended, in which a request may still be sent on
KILL_S = 0.5  # after a process was killed, in which its clients' connections end
GRACE_S = 0.3  # after a drain was told, in which a node may still get requests
ATTEMPTS = 4
IDLE_S = 4.0  # after an evacuation, when no connection may rest or carry a late request
LATE_REQUEST_S = 2.0  # before that moment: requests from here on
REJOIN_S = 2.0
CALL_S = 1.0  # for an answer to an operator
FALL_MULTIPLE = 2.5
FAILED_SHOWN = 10


@dataclass
class Found:
    """Counts, and what broke a rule in plain words."""

    requests: int = 0
    lost: int = 0
    twice: int = 0
    not_let_in: int = 0
    over_limit: int = 0
    cold_falls: int = 0
    after_drain: int = 0
    late_idle: int = 0
    rejoin_late: int = 0
    door_late: int = 0
    ready_s: list[float] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)  # steps that did not end as they should

    @property
    def broken(self) -> bool:
        """Whether anything is wrong. Requests not let in are priced, not forbidden."""
        rules = (self.lost, self.twice, self.over_limit, self.cold_falls, self.after_drain)
        drains = (self.late_idle, self.rejoin_late, self.door_late)
        return any(rules) or any(drains) or bool(self.failed)

    @property
    def ready_p99(self) -> float:
        """Seconds from a start until it says yes."""
        return sorted(self.ready_s)[int(0.99 * len(self.ready_s))] if self.ready_s else 0.0


def conclude(found: Found, line: str) -> int:
    """Print what was found: the exit status of a rig."""
    for what in found.failed[:FAILED_SHOWN]:
        print(f"failed: {what}")
    print(line)
    return int(found.broken)


def rows(path: Path) -> Iterator[dict[str, Any]]:
    """The rows of a log."""
    for line in path.read_text(encoding="utf-8").splitlines():
        yield json.loads(line)


def judge(folder: Path) -> Found:
    """All of it."""
    found = Found()
    platform = list(rows(folder / "platform.log"))
    _clients(found, list(rows(folder / "clients.log")), platform)
    nodes = list(rows(folder / "nodes.log"))
    _attempts(found, nodes)
    _crossed(found, list(rows(folder / "clients.log")), nodes, platform)
    _limit(found, nodes)
    _cold(found, nodes, platform)
    _drains(found, nodes, platform)
    _steps(found, platform)
    return found


def _clients(found: Found, clients: list[dict[str, Any]], platform: list[dict[str, Any]]) -> None:
    """Each request gets one whole answer, unless the process that had it was killed from outside."""
    killed = [row["at_s"] for row in platform if row["event"] == "killed"]
    asked: dict[str, float] = {}
    for row in clients:
        request = row.get("request", "")
        if row["event"] == "asked":
            found.requests += 1
            asked[request] = row["at_s"]
        elif row["event"] == "crossed":
            found.not_let_in += 1
            asked.pop(request)
        elif row["event"] == "told":
            asked.pop(request)
        elif row["event"] == "ended":
            begun = asked.pop(request)
            found.lost += not any(begun <= at_s <= row["at_s"] + 0.05 for at_s in killed)
    found.lost += len(asked)


def _attempts(found: Found, nodes: list[dict[str, Any]]) -> None:
    """One attempt of a request at work at a time, and four in all."""
    seen: Counter[str] = Counter()
    at_work: Counter[str] = Counter()
    for row in nodes:
        request = row["request"]
        if row["event"] == "answered":
            at_work[request] -= 1
            continue
        seen[request] += 1
        at_work[request] += 1
        found.twice += at_work[request] > 1 or seen[request] > ATTEMPTS


def _crossed(
    found: Found, clients: list[dict[str, Any]], nodes: list[dict[str, Any]], platform: list[dict[str, Any]]
) -> None:
    """A request whose connection was closed in its face may not have been sent on, nor be sent on later.

    Only one whose process was killed from outside may have been.
    """
    killed = [row["at_s"] for row in platform if row["event"] == "killed"]
    closed = {row["request"]: row["at_s"] for row in clients if row["event"] == "crossed"}
    sent_on = set()
    for row in nodes:
        request = row["request"]
        if row["event"] != "came" or request not in closed:
            continue
        excused = any(at_s <= closed[request] <= at_s + KILL_S for at_s in killed)
        if not excused or row["at_s"] > closed[request] + LEFT_S:
            sent_on.add(request)
    found.lost += len(sent_on)


def _limit(found: Found, nodes: list[dict[str, Any]]) -> None:
    """The plan's store, from the first attempts of its requests."""
    level, last_s = BURST, 0.0
    seen: set[str] = set()
    for row in nodes:
        if row["event"] != "came" or row["plan"] != "capped" or row["request"] in seen:
            continue
        seen.add(row["request"])
        level = min(BURST, level + LIMIT * (row["at_s"] - last_s)) - row["units"]
        last_s = row["at_s"]
        found.over_limit += level < -SLACK - LIMIT * LATE_S


def _cold(found: Found, nodes: list[dict[str, Any]], platform: list[dict[str, Any]]) -> None:
    """What a cold node got within any window, against what the settings say that it bears."""
    starts = {(row["node"], row["at_s"]) for row in platform if row["event"] == "restarted"}
    for node, begun in starts:
        window: list[tuple[float, float]] = []
        for row in nodes:
            if row["event"] != "came" or row["node"] != node or not begun <= row["at_s"] <= begun + COLD_S:
                continue
            window = [(at_s, units) for at_s, units in window if at_s > row["at_s"] - FALL_S]
            window.append((row["at_s"], row["units"]))
            # twice: as the node has got warmer, and by its own answers, it bears more than at its start
            found.cold_falls += sum(units for _, units in window) > 2 * COLD_UNITS * FALL_MULTIPLE


def _drains(found: Found, nodes: list[dict[str, Any]], platform: list[dict[str, Any]]) -> None:
    """Nothing to a node after its drain was told and the grace is over."""
    told: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for row in platform:
        if row["event"] == "listed":
            told[row["node"]].append((row["at_s"], row["health"]))
    for row in nodes:
        if row["event"] == "came":
            states = [(at_s, health) for at_s, health in told[row["node"]] if at_s <= row["at_s"]]
            late = bool(states) and states[-1][1] == "draining" and row["at_s"] > states[-1][0] + GRACE_S
            found.after_drain += late


def _steps(found: Found, platform: list[dict[str, Any]]) -> None:
    """What the platform saw of processes and operators' calls."""
    for row in platform:
        if row["event"] == "ready":
            found.ready_s.append(row["took_s"])
        elif row["event"] == "failed":
            found.failed.append(row["what"])
        elif row["event"] == "called":
            found.door_late += row["status"] == 0 or row["took_s"] > CALL_S
        elif row["event"] == "open":
            found.late_idle += row["idle"] + row["late"]
        elif row["event"] == "rejoined":
            found.rejoin_late += row["took_s"] > REJOIN_S
