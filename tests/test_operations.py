"""The rigs of upgrades and drains: short runs with fixed seeds, and checkers that find seeded faults."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from harriertide.decide.settings import SettingsError
from harriertide.lab.benchmarks import operator_calls
from harriertide.lab.checkers.upgrade_checker import IDLE_S, Verdict, check_logs
from harriertide.lab.experiments import drains, upgrade_cases, upgrades
from harriertide.lab.rigs.clients import PlannedRequest
from harriertide.lab.rigs.processor import reserve_core, try_lock_core
from harriertide.lab.rigs.single_broker import BURST, COLD_UNITS, OperatorCall

COURSES = {
    "replaced, in a drain, from a bad configuration": ["plain", "in-a-drain", "bad-configuration"],
    "processes that die": ["new-dies", "new-dies-after", "old-dies"],
    "a drain told with discovery dark, and two at once": ["draining-node", "two-at-once"],
    "told to end early, and one that stands still": ["told-early", "paused"],
    "two in a row, three at once, and a long answer on its way": [
        "one-second-apart", "third-process", "long-answer",
    ],
}  # fmt: skip


@pytest.mark.parametrize("cases", COURSES.values(), ids=COURSES.keys())
def test_a_broker_is_upgraded_under_load(cases: list[str], tmp_path: Path) -> None:
    """Upgrades that go well, and processes that die, pause or are stopped in the middle of one: no
    request is lost.
    """
    asyncio.run(upgrades.run_cases(tmp_path, 7, cases))
    found = check_logs(tmp_path)
    assert not found.broken, (upgrades.summarize(found, len(cases)), found.failed)
    assert found.requests > 100


def test_a_broker_is_drained_under_load_and_comes_back(tmp_path: Path) -> None:
    """A broker is drained and taken back, twice, while clients go on: none of their requests is lost."""
    asyncio.run(drains.run_drains(tmp_path, 7, 2))
    found = check_logs(tmp_path)
    assert not found.broken, (drains.summarize(found, 2), found.failed)
    assert found.requests > 100, drains.summarize(found, 2)


@pytest.mark.parametrize("program", ["harriertide", operator_calls.THREADED_PROGRAM])
def test_operators_are_answered_by_a_broker_that_shares_its_core(program: str, tmp_path: Path) -> None:
    """Another program takes the core: operators are still answered within a second."""
    measured = asyncio.run(
        operator_calls.measure_calls(tmp_path, 1, calls=5, rate=200, busy=1, program=program)
    )
    assert len(measured.calls) == 5 and measured.late_count == 0, (tmp_path / "platform.log").read_text()


def test_a_core_is_reserved_for_one_rig_at_a_time() -> None:
    """Guards against measuring how long a broker waits for another rig's programs."""

    async def reserve_twice() -> int | None:
        async with reserve_core() as core:
            return try_lock_core(core)

    assert asyncio.run(reserve_twice()) is None


def test_late_and_unanswered_calls_are_counted() -> None:
    """A call that is late or lost must show in the measurement."""
    measured = operator_calls.CallTimes(
        [OperatorCall(200, "", 0.1), OperatorCall(200, "", 1.1), OperatorCall(0, "", 0.1)]
    )
    assert measured.late_count == 2 and measured.quantile_ms(0.5) == 100 and measured.quantile_ms(1.0) == 1100


def test_cases_are_drawn_alike_from_one_seed_and_each_is_played() -> None:
    """A failing seed has to fail again: it is how a fault is found."""
    names = list(upgrade_cases.CASES)
    assert upgrades.shuffle_cases(3, 50, names) == upgrades.shuffle_cases(3, 50, names)
    assert set(upgrades.shuffle_cases(3, 50, names)) == set(names)


def test_a_case_that_is_none_is_named() -> None:
    """A mistyped case would otherwise measure nothing."""
    with pytest.raises(SettingsError, match="nonsense"):
        upgrades.main(["upgrades", "--cases", "plain,nonsense"][1:])


# --- the checkers --------------------------------------------------------------------------------

Row = dict[str, Any]


def row(at_s: float, event: str, **more: Any) -> Row:
    return {"at_s": at_s, "event": event, **more}


def came(at_s: float, request: str, units: float = 1, plan: str = "free", node: str = "s0") -> Row:
    return row(at_s, "came", request=request, node=node, units=units, plan=plan, health="up")


def answered(at_s: float, request: str) -> Row:
    return row(at_s, "answered", request=request, node="s0")


def found_in(folder: Path, **logs: list[Row]) -> Verdict:
    for name in ("clients", "nodes", "platform"):
        text = "".join(json.dumps(each) + "\n" for each in logs.get(name, []))
        (folder / f"{name}.log").write_text(text, encoding="utf-8")
    return check_logs(folder)


ASKED = row(1.0, "asked", request="a")
TOLD = row(1.2, "told", request="a", status=200)
ENDED = row(1.2, "ended", request="a", begun=False)
CROSSED = row(1.1, "crossed", request="a")
HEAVY = [came(1 + n / 1000, f"r{n}", 6, "capped") for n in range(int(BURST / 6) + 4)]
FLOOD = [came(1.1 + n / 1000, f"r{n}", 6) for n in range(int(COLD_UNITS))]
SEEDED_FAULTS: dict[str, tuple[str, dict[str, list[Row]]]] = {
    "no answer": ("lost", {"clients": [ASKED]}),
    "an ended connection": ("lost", {"clients": [ASKED, ENDED]}),
    "one killed long before": ("lost", {"clients": [ASKED, ENDED], "platform": [row(0.5, "killed")]}),
    "a request forwarded and closed unread": (
        "lost", {"clients": [ASKED, CROSSED], "nodes": [came(1.05, "a")]},
    ),
    "one that a killed process's successor forwards": (
        "lost",
        {
            "clients": [ASKED, CROSSED], "nodes": [came(1.05, "a"), answered(1.1, "a"), came(1.3, "a")],
            "platform": [row(1.09, "killed")],
        },
    ),
    "a concurrent attempt": ("excess_attempts", {"nodes": [came(1, "a"), came(1.1, "a")]}),
    "two requests of one key": (
        "crossed_keys",
        {"nodes": [{**came(1, "a"), "key": "k"}, {**came(1.05, "b"), "key": "k"}, answered(1.06, "a")]},
    ),
    "a fifth attempt": (
        "excess_attempts",
        {"nodes": [each for n in range(5) for each in (came(n, "a"), answered(n + 0.1, "a"))]},
    ),
    "a limit passed": ("over_limit", {"nodes": HEAVY}),
    "a cold node flooded": (
        "slow_start_overloads",
        {"nodes": FLOOD, "platform": [row(1.0, "restarted", node="s0")]},
    ),
    "a drained node": (
        "after_drain",
        {"nodes": [came(2, "a")], "platform": [row(1.0, "listed", node="s0", health="draining")]},
    ),
    "an idle connection": ("lingering_connections", {"platform": [row(IDLE_S, "open", idle=1, late=0)]}),
    "a late request": ("lingering_connections", {"platform": [row(IDLE_S, "open", idle=0, late=1)]}),
    "a late rejoin": ("late_rejoins", {"platform": [row(9.0, "rejoined", took_s=2.1)]}),
    "a late call": ("late_operator_answers", {"platform": [row(1.0, "called", status=200, took_s=1.1)]}),
    "an unanswered call": ("late_operator_answers", {"platform": [row(1.0, "called", status=0, took_s=0.1)]}),
    "a step": ("failed", {"platform": [row(1.0, "failed", what="it ended with 1")]}),
}  # fmt: skip


@pytest.mark.parametrize("name, logs", SEEDED_FAULTS.values(), ids=SEEDED_FAULTS.keys())
def test_the_checker_finds_a_seeded_fault(name: str, logs: dict[str, list[Row]], tmp_path: Path) -> None:
    """Each fault that the checkers are there for is seeded once: a checker that finds nothing proves
    nothing.
    """
    found = found_in(tmp_path, **logs)
    assert getattr(found, name) and found.broken


def test_the_checker_finds_nothing_in_a_correct_run(tmp_path: Path) -> None:
    """A run without a fault, with everything that looks like one: no checker may complain."""
    found = found_in(
        tmp_path,
        clients=[
            ASKED, TOLD, row(1.0, "asked", request="b"), row(1.1, "crossed", request="b"),
            row(1.1, "asked", request="b-repeat"), row(1.2, "told", request="b-repeat", status=200),
        ],
        nodes=[
            came(1, "a"), answered(1.1, "a"), came(1.2, "a"), answered(1.3, "a"),
            came(1.2, "b-repeat"), answered(1.3, "b-repeat"), *HEAVY[:8],
            *({**each, "key": "k"} for each in (came(2, "c"), answered(2.1, "c"), came(2.2, "d"))),
            {**came(2.1, "e"), "key": "another"},
        ],
        platform=[
            row(1.0, "listed", node="s0", health="draining"),
            row(1.1, "listed", node="s0", health="up"),
            row(2.0, "ready", took_s=0.4),
            row(2.0, "called", status=200, took_s=0.01),
            row(2.0, "open", idle=0, late=0),
            row(2.0, "rejoined", took_s=0.1),
        ],
    )  # fmt: skip
    assert not found.broken and found.closed_unread == 1 and found.ready_p99 == 0.4


def test_what_a_killed_process_had_taken_is_not_lost_by_the_broker(tmp_path: Path) -> None:
    """A killed process takes its open requests with it: that is the kill, not a fault of the broker."""
    assert not found_in(tmp_path, clients=[ASKED, ENDED], platform=[row(1.19, "killed")]).broken


def test_a_client_of_a_killed_process_may_ask_again_while_a_node_is_at_work(tmp_path: Path) -> None:
    """A client retries after a kill while the node still works on its first attempt: that is no duplicate."""
    found = found_in(
        tmp_path,
        clients=[ASKED, CROSSED, row(1.1, "asked", request="a-repeat"), row(1.2, "told", request="a-repeat")],
        nodes=[came(1.05, "a"), came(1.101, "a-repeat"), answered(1.15, "a"), answered(1.2, "a-repeat")],
        platform=[row(1.09, "killed")],
    )
    assert not found.broken and found.closed_unread == 1


def test_a_client_asks_again_under_a_name_of_its_own() -> None:
    """A retry of a client is another request to the broker."""
    planned = PlannedRequest(key=1, plan="free", units=1, shard=0, long=False)
    assert planned.request_id(0) != planned.request_id(1)
    assert planned.request_id(1).encode() in planned.encode(1)
