"""The soak: its plans follow from the seed, its checker finds seeded violations, and a few short runs."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from harriertide.lab.checkers.soak_checker import SoakVerdict, check_soak
from harriertide.lab.experiments.soak import run_seed
from harriertide.lab.experiments.soak_plan import draw_plan

Row = dict[str, Any]


def row(at_s: float, event: str, **more: Any) -> Row:
    return {"at_s": at_s, "event": event, **more}


def asked(at_s: float, request: str, request_class: str = "read") -> Row:
    return row(at_s, "asked", request=request, request_class=request_class)


def told(at_s: float, request: str, status: int = 200) -> Row:
    return row(at_s, "told", request=request, status=status)


def ended(at_s: float, request: str, is_new: bool = True) -> Row:
    return row(at_s, "ended", request=request, begun=False, new=is_new)


def came(at_s: float, request: str, units: float = 1.0, plan: str = "free") -> Row:
    return row(at_s, "came", request=request, node="s0", units=units, plan=plan, health="up")


def answered(at_s: float, request: str) -> Row:
    return row(at_s, "answered", request=request, node="s0")


def found_in(folder: Path, **logs: list[Row]) -> SoakVerdict:
    for name in ("clients", "nodes", "platform"):
        text = "".join(json.dumps(each) + "\n" for each in logs.get(name, []))
        (folder / f"{name}.log").write_text(text, encoding="utf-8")
    return check_soak(folder)


CROWD = [row(0.5, "crowd", begins=True), row(2.0, "crowd", begins=False)]
VIOLATIONS: dict[str, tuple[str, dict[str, list[Row]]]] = {
    "a connection ended without an answer": ("lost", {"clients": [asked(1, "a"), ended(1.2, "a")]}),
    "one that was killed with its request, as SIGKILL excuses nothing here": (
        "lost",
        {"clients": [asked(1, "a"), ended(1.2, "a")], "platform": [row(1.2, "stopped", running=True)]},
    ),
    "shut in a crowd and forwarded": (
        "lost",
        {"clients": [asked(1, "a"), ended(1.2, "a")], "nodes": [came(1.1, "a")], "platform": CROWD},
    ),
    "a kept connection shut in a crowd": (
        "lost", {"clients": [asked(1, "a"), ended(1.2, "a", False)], "platform": CROWD},
    ),
    "no answer and no end": ("unanswered", {"clients": [asked(1, "a")]}),
    "two attempts at once": ("twice", {"nodes": [came(1, "a"), came(1.1, "a")]}),
    "a second attempt of one that may run once": (
        "twice",
        {
            "clients": [asked(1, "a", "append"), told(2, "a")],
            "nodes": [came(1, "a"), answered(1.1, "a"), came(1.2, "a"), answered(1.3, "a")],
        },
    ),
    "refused after it may have run": (
        "refused_after_run",
        {
            "clients": [asked(1, "a", "append"), told(2, "a", 503)],
            "nodes": [came(1, "a"), row(1.1, "left", request="a", node="s0")],
        },
    ),
    "a limit passed": (
        "over_limit", {"nodes": [came(1 + n / 1000, f"r{n}", 6, "capped") for n in range(14)]},
    ),
    "a cold node flooded": (
        "cold_falls",
        {
            "nodes": [came(1.1 + n / 1000, f"r{n}", 6) for n in range(24)],
            "platform": [row(1.0, "restarted", node="s0")],
        },
    ),
    "sent behind the grace of a drain": (
        "after_drain",
        {"nodes": [came(2, "a")], "platform": [row(1.0, "listed", node="s0", health="draining")]},
    ),
    "begun after its client left": (
        "after_left", {"clients": [row(1.0, "left", request="a")], "nodes": [came(1.11, "a")]},
    ),
    "ready too late": ("not_ready", {"platform": [row(20.0, "ready", took_s=10.1)]}),
    "a step": ("failed", {"platform": [row(1.0, "failed", what="it ended with 1")]}),
}  # fmt: skip


@pytest.mark.parametrize("name, logs", VIOLATIONS.values(), ids=VIOLATIONS.keys())
def test_the_checker_finds_each_violation(name: str, logs: dict[str, list[Row]], tmp_path: Path) -> None:
    """Guards against a soak that is clean because its checker sees nothing."""
    found = found_in(tmp_path, **logs)
    assert getattr(found, name) and found.broken, found.summarize()


def test_the_checker_finds_nothing_in_a_correct_run(tmp_path: Path) -> None:
    """What looks like a violation and is allowed counts as none."""
    found = found_in(
        tmp_path,
        clients=[
            asked(1, "a"), told(1.2, "a"), asked(1, "b"), ended(1.2, "b"), row(1.0, "left", request="c"),
            asked(1, "d", "append"), told(1.3, "d", 504),
        ],
        nodes=[
            came(1, "a"), row(1.05, "left", request="a", node="s0"), came(1.1, "a"), answered(1.2, "a"),
            came(1.09, "c"), answered(1.1, "c"), came(1, "d"), answered(1.2, "d"),
        ],
        platform=[*CROWD, row(2.0, "ready", took_s=0.4)],
    )  # fmt: skip
    assert not found.broken, found.summarize()


def test_a_plan_follows_from_its_seed() -> None:
    """A failing seed has to fail again; a third of the runs has a crowd, a third pauses the broker."""
    assert draw_plan(5).encode() == draw_plan(5).encode() != draw_plan(6).encode()
    plans = [draw_plan(seed) for seed in range(30)]
    assert sum(plan.has_crowd for plan in plans) == sum(plan.has_pauses for plan in plans) == 10


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
def test_a_soak_run_breaks_nothing(seed: int, tmp_path: Path) -> None:
    """Signals in series, crowds, pauses and faults of nodes, on a real broker under load."""
    found = run_seed(tmp_path, seed)
    assert not found.broken, (found.summarize(), found.failed, str(tmp_path))
    assert found.requests > 100
