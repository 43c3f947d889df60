"""Real brokers, each a process, with faults between them; and the checker, which reads logs only."""

from __future__ import annotations

import asyncio
import json
from dataclasses import asdict
from pathlib import Path
from typing import Any

import pytest

from harriertide.decide.settings import SettingsError
from harriertide.lab.checkers import limit_checker
from harriertide.lab.experiments import processes
from harriertide.lab.rigs.fault_script import Fault, load_script


def test_a_limit_holds_while_brokers_die_stand_still_and_do_not_hear_each_other(tmp_path: Path) -> None:
    """30% of datagrams lost, one-way cuts both ways in turn, SIGKILL with a start from nothing, SIGSTOP for
    longer than a lease, a box that falls silent to one broker."""
    faults = [
        Fault(0.0, "lose", part=0.3), Fault(2.0, "kill", 1, for_s=0.3), Fault(3.5, "pause", 0, for_s=1.2),
        Fault(4.0, "cut", 1, 2, 1.0), Fault(5.2, "cut", 2, 1, 0.8), Fault(6.2, "box", 2, for_s=0.6),
    ]  # fmt: skip
    seconds = 9.0
    asyncio.run(processes.play(tmp_path, 3, seconds, 1, faults))
    found = limit_checker.check_logs(tmp_path, seconds)
    assert not found.broken
    assert found.used > 0.35 and found.told[200] > 50  # a busy machine may make it less; the rest is a rule
    rows = [json.loads(line) for line in (tmp_path / "clients.log").read_text().splitlines()]
    assert [row["verb"] for row in rows if row["event"] == "fault"] == [fault.verb for fault in faults]
    last = [row for row in rows if row["event"] == "told" and row["status"] == 200][-1]
    assert last["at_s"] > 8.0  # all faults are over, and it goes on


def logs(folder: Path, box: list[Any], clients: list[Any]) -> limit_checker.Verdict:
    for name, rows in (("box", box), ("clients", clients)):
        (folder / f"{name}.log").write_text("".join(json.dumps(row) + "\n" for row in rows))
    return limit_checker.check_logs(folder, 10.0)


def came(request: str, at_s: float, units: float = 3.0) -> dict[str, Any]:
    return {"event": "came", "request": request, "units": units, "at_s": at_s}


def test_the_checker_finds_each_seeded_fault(tmp_path: Path) -> None:
    good = [came(f"r{i}", 1.0 + i * 0.15) for i in range(50)]
    asked = [{"event": "asked", "request": f"r{i}", "broker": 0, "at_s": 1.0} for i in range(50)]
    told = [{"event": "told", "request": f"r{i}", "status": 200, "at_s": 2.0} for i in range(50)]
    assert not logs(tmp_path, good, asked + told).broken
    burst = [came(f"x{i}", 9.0, 1.0) for i in range(60)]
    seeded_faults = {
        "store": (good + burst, asked + told),
        "came 5 times": (good + [came("r1", 9.0)] * 4, asked + told),
        "told twice": (good, asked + told + told[:1]),
        "served by no box": (good[1:], asked + told),
        "told nothing": (good, asked + told[1:]),
    }
    for word, (box, clients) in seeded_faults.items():
        assert [word in line for line in logs(tmp_path, box, clients).broken] == [True], word


def test_one_seed_gives_one_script_which_plays_again_as_it_was_written(tmp_path: Path) -> None:
    one = processes.draw(7, 4, 60.0, 0.3)
    assert one == processes.draw(7, 4, 60.0, 0.3) != processes.draw(8, 4, 60.0, 0.3)
    assert {fault.verb for fault in one} == {"kill", "pause", "term", "cut", "lose", "box"}
    path = tmp_path / "script.json"
    path.write_text(json.dumps([asdict(fault) for fault in one]))
    assert load_script(str(path), 4, processes.VERBS) == one
    for text, word in (("{", "--script"), ('[{"at_s":1,"verb":"odd"}]', "odd"), ('[{"x":1}]', "x")):
        path.write_text(text)
        with pytest.raises(SettingsError, match=word):
            load_script(str(path), 4, processes.VERBS)
    path.write_text(json.dumps([asdict(one[0])]).replace('"a": 0', '"a": 9'))
    with pytest.raises(SettingsError, match="no broker 9"):
        load_script(str(path), 4, processes.VERBS)
