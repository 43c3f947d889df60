"""Checks a broker that was upgraded or drained by what clients, nodes and the platform around it wrote.

Shares only the rules with what it checks.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from harriertide.lab.checkers.limit_bucket import LimitBucket
from harriertide.lab.checkers.log_rows import Row, read_rows
from harriertide.lab.rigs.single_broker import BURST, COLD_S, COLD_UNITS, FALL_S, LIMIT

SLACK_UNITS = 6.0  # that a limit may be passed by: one of the largest requests
LATE_S = 0.15  # what the limit allows in so long is slack too, on sockets
KILLED_ANSWER_S = 0.05  # after the end of a request, in which its process may be seen to have been killed
FORWARD_S = 0.1  # after its client's connection ended, in which a request may still be forwarded
KILL_S = 0.5  # after a process was killed, in which its clients' connections end
DRAIN_GRACE_S = 0.3  # after a drain was notified, in which a node may still get requests
MAX_ATTEMPTS = 4
IDLE_S = 4.0  # after an evacuation, when no connection may be idle or carry a late request
LATE_REQUEST_S = 2.0  # before that moment: requests from here on
REJOIN_S = 2.0
CALL_S = 1.0  # for an answer to an operator
COLLAPSE_RATIO = 2.5  # of the units that a node serves at its start
WARMER_RATIO = 2  # as the node has got warmer, and by its own answers, it serves more than at its start
FAILED_SHOWN_COUNT = 10


@dataclass
class Verdict:
    """Counts, and the steps that did not end as they should, in plain words."""

    requests: int = 0
    lost: int = 0
    excess_attempts: int = 0  # of a request that has one open, or has had all that it may have
    crossed_keys: int = 0  # requests of a key with an order that came while another of that key was out
    closed_unread: int = 0  # connections closed before a request on them was read: the client repeats it
    over_limit: int = 0
    slow_start_overloads: int = 0
    after_drain: int = 0
    lingering_connections: int = 0
    late_rejoins: int = 0
    late_operator_answers: int = 0
    ready_s: list[float] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)

    @property
    def broken(self) -> bool:
        """Whether a rule is broken or a step failed. Connections that were closed unread are no fault."""
        requests = self.lost + self.excess_attempts + self.crossed_keys
        upgrades = requests + self.over_limit + self.slow_start_overloads + self.after_drain
        drains = self.lingering_connections + self.late_rejoins + self.late_operator_answers
        return bool(upgrades + drains) or bool(self.failed)

    @property
    def ready_p99(self) -> float:
        """Seconds from a start until the process is ready."""
        return sorted(self.ready_s)[int(0.99 * len(self.ready_s))] if self.ready_s else 0.0


def conclude(verdict: Verdict, line: str) -> int:
    """Print a verdict.

    :param line: the sums
    :returns: the exit status of the experiment
    """
    for what in verdict.failed[:FAILED_SHOWN_COUNT]:
        print(f"failed: {what}")
    print(line)
    return int(verdict.broken)


def check_logs(folder: Path) -> Verdict:
    """Check the logs of a run."""
    verdict = Verdict()
    clients, nodes, platform = (
        list(read_rows(folder / f"{name}.log")) for name in ("clients", "nodes", "platform")
    )
    _check_answers(verdict, clients, platform)
    _check_attempts(verdict, nodes)
    _check_key_order(verdict, nodes)
    _check_closed_unread(verdict, clients, nodes, platform)
    _check_limit(verdict, nodes)
    _check_slow_start(verdict, nodes, platform)
    _check_drained_nodes(verdict, nodes, platform)
    _read_steps(verdict, platform)
    return verdict


def _killed_s(platform: list[Row]) -> list[float]:
    return [row["at_s"] for row in platform if row["event"] == "killed"]


def _check_answers(verdict: Verdict, clients: list[Row], platform: list[Row]) -> None:
    """Each request gets one complete answer, unless the process that had it was killed from outside."""
    killed_s = _killed_s(platform)
    asked_s: dict[str, float] = {}
    for row in clients:
        request = row.get("request", "")
        match row["event"]:
            case "asked":
                verdict.requests += 1
                asked_s[request] = row["at_s"]
            case "crossed":
                verdict.closed_unread += 1
                asked_s.pop(request)
            case "told":
                asked_s.pop(request)
            case "ended":
                began_s = asked_s.pop(request)
                end_s = row["at_s"] + KILLED_ANSWER_S
                verdict.lost += not any(began_s <= at_s <= end_s for at_s in killed_s)
    verdict.lost += len(asked_s)


def _check_attempts(verdict: Verdict, nodes: list[Row]) -> None:
    """One attempt of a request is open at a time, and MAX_ATTEMPTS in all."""
    attempt_counts: Counter[str] = Counter()
    open_counts: Counter[str] = Counter()
    for row in nodes:
        request = row["request"]
        if row["event"] in ("answered", "left"):  # left: given up by the broker, or reset by the node
            open_counts[request] -= 1
            continue
        attempt_counts[request] += 1
        open_counts[request] += 1
        verdict.excess_attempts += open_counts[request] > 1 or attempt_counts[request] > MAX_ATTEMPTS


def _check_key_order(verdict: Verdict, nodes: list[Row]) -> None:
    """Requests of one key, in classes with an order, are at nodes one at a time."""
    key_by_request: dict[str, str] = {}
    open_by_key: dict[str, set[str]] = defaultdict(set)
    for row in nodes:
        request = row["request"]
        if row["event"] in ("answered", "left"):
            open_by_key[key_by_request.get(request, "")].discard(request)
        elif key := row.get("key"):
            key_by_request[request] = key
            verdict.crossed_keys += bool(open_by_key[key] - {request})
            open_by_key[key].add(request)


def _check_closed_unread(verdict: Verdict, clients: list[Row], nodes: list[Row], platform: list[Row]) -> None:
    """A request whose connection was closed before it was read is not forwarded, neither before nor later.

    Only one whose process was killed from outside may have been.
    """
    killed_s = _killed_s(platform)
    closed_s = {row["request"]: row["at_s"] for row in clients if row["event"] == "crossed"}
    forwarded = set()
    for row in nodes:
        request = row["request"]
        if row["event"] != "came" or request not in closed_s:
            continue
        is_excused = any(at_s <= closed_s[request] <= at_s + KILL_S for at_s in killed_s)
        if not is_excused or row["at_s"] > closed_s[request] + FORWARD_S:
            forwarded.add(request)
    verdict.lost += len(forwarded)


def _check_limit(verdict: Verdict, nodes: list[Row]) -> None:
    """The token bucket of the plan, from the first attempts of its requests."""
    bucket = LimitBucket(LIMIT, BURST)
    seen: set[str] = set()
    for row in nodes:
        if row["event"] != "came" or row["plan"] != "capped" or row["request"] in seen:
            continue
        seen.add(row["request"])
        verdict.over_limit += bucket.take(row["at_s"], row["units"]) < -SLACK_UNITS - LIMIT * LATE_S


def _check_slow_start(verdict: Verdict, nodes: list[Row], platform: list[Row]) -> None:
    """What a warming node gets within any window, against what the settings say that it serves."""
    starts = {(row["node"], row["at_s"]) for row in platform if row["event"] == "restarted"}
    most_units = WARMER_RATIO * COLD_UNITS * COLLAPSE_RATIO
    for node, began_s in starts:
        window: list[tuple[float, float]] = []
        for row in nodes:
            is_there = row["event"] == "came" and row["node"] == node
            if not is_there or not began_s <= row["at_s"] <= began_s + COLD_S:
                continue
            window = [(at_s, units) for at_s, units in window if at_s > row["at_s"] - FALL_S]
            window.append((row["at_s"], row["units"]))
            verdict.slow_start_overloads += sum(units for _, units in window) > most_units


def _check_drained_nodes(verdict: Verdict, nodes: list[Row], platform: list[Row]) -> None:
    """Nothing comes to a node after its drain was notified and the grace is over."""
    notified: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for row in platform:
        if row["event"] == "listed":
            notified[row["node"]].append((row["at_s"], row["health"]))
    for row in nodes:
        if row["event"] != "came":
            continue
        states = [(at_s, health) for at_s, health in notified[row["node"]] if at_s <= row["at_s"]]
        is_draining = bool(states) and states[-1][1] == "draining"
        verdict.after_drain += is_draining and row["at_s"] > states[-1][0] + DRAIN_GRACE_S


def _read_steps(verdict: Verdict, platform: list[Row]) -> None:
    """What the platform saw of processes and operators' calls."""
    for row in platform:
        match row["event"]:
            case "ready":
                verdict.ready_s.append(row["took_s"])
            case "failed":
                verdict.failed.append(row["what"])
            case "called":
                verdict.late_operator_answers += row["status"] == 0 or row["took_s"] > CALL_S
            case "open":
                verdict.lingering_connections += row["idle"] + row["late"]
            case "rejoined":
                verdict.late_rejoins += row["took_s"] > REJOIN_S
