"""Orders of work on real brokers and boxes, with drawn faults between them and client load; judged from logs.

Usage: maintenance [options]

Each run starts brokers as processes of their own with disks, boxes, and relays between all, asks for two
orders (all boxes, two at once and never two of a rack's group; all brokers, one at once) at brokers drawn
anew, and plays a script of faults. An operator drawn from the seed asks brokers for their status and says
`done`. Then all is healed, and the orders must come to their end. The judgement reads only what brokers,
boxes, clients and the rig wrote. Prints one line of sums; exits with 1 where a bound breaks.

Options:
  --runs N       [default: 1]
  --seed N       of the first run [default: 1]
  --brokers N    3, 5 or 7 [default: 5]
  --boxes N      from 2 to 24 [default: 12]
  --seconds S    of faults in each run [default: 12]
  --script FILE  faults as written before, in place of drawn ones
  --folder DIR   where all logs are kept; else a folder that is deleted
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import defaultdict
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from docopt import docopt

from harriertide.decide.settings import SettingsError
from harriertide.engine.clock import until
from harriertide.lab.rigs.fault_script import Fault, load
from harriertide.lab.rigs.folders import kept_or_temporary
from harriertide.lab.rigs.maintenance_rig import VERBS, Rig, draw

AT_ONCE = {"boxes": 2, "brokers": 1}
END_S = 60.0  # after all was healed
GROUPS = 4


# --- the judgement ------------------------------------------------------------------------------------


@dataclass
class Verdict:
    """What the logs of one run, or of many, say. standstill_s: between two steps while something was to
    do."""

    runs: int = 0
    orders: int = 0
    finished: int = 0
    two_at_once: int = 0
    late_sends: int = 0
    order_differs: int = 0
    lost: int = 0
    answered_twice: int = 0
    standstill_s: float = 0.0
    writes: int = 0
    written: int = 0
    rows: list[str] = field(default_factory=list)

    def add(self, other: Verdict) -> None:
        """One run more."""
        for name in ("runs", "orders", "finished", "two_at_once", "late_sends", "order_differs", "lost",
                     "answered_twice", "writes", "written"):  # fmt: skip
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.standstill_s = max(self.standstill_s, other.standstill_s)
        self.rows += other.rows

    @property
    def broken(self) -> bool:
        """Whether a bound breaks."""
        bad = self.two_at_once + self.late_sends + self.order_differs + self.lost + self.answered_twice
        return bool(bad) or self.finished < self.orders

    def line(self) -> str:
        """The sums."""
        return (
            f"runs {self.runs} orders {self.orders} finished {self.finished} two-at-once {self.two_at_once} "
            f"late-sends {self.late_sends} order-differs {self.order_differs} lost {self.lost} "
            f"answered-twice {self.answered_twice} longest-standstill {self.standstill_s:.1f}"
        )


def _lines(path: Path) -> list[dict[str, Any]]:
    rows = []
    if path.exists():
        for line in path.read_text(encoding="utf-8").splitlines():
            with suppress(ValueError):  # the last line of one that was killed as it wrote
                rows.append(json.loads(line))
    return rows


def judge(folder: Path, groups: dict[str, str], at_once: dict[str, int]) -> Verdict:
    """Read the logs of one run. Shares nothing with what it judges."""
    found = Verdict(runs=1)
    digests: dict[int, int] = {}
    owners: dict[int, tuple[str, str]] = {}
    first: dict[tuple[int, str], float] = {}  # by fence and phase: when the first broker knew
    last: dict[tuple[str, str], tuple[float, str]] = {}  # by machine of an order: the latest phase
    for path in sorted(folder.glob("*.events")):
        for row in _lines(path):
            if row["event"] == "applied":
                if digests.setdefault(row["index"], row["digest"]) != row["digest"]:
                    found.order_differs += 1
                    found.rows.append(f"{path.name}: another state at index {row['index']}")
            elif row["event"] == "step":
                machine = row["order"], row["machine"]
                if row["at"] >= last.get(machine, (0.0, ""))[0]:
                    last[machine] = row["at"], row["phase"]
                if row["fence"] and row["phase"] != "waiting":
                    if owners.setdefault(row["fence"], machine) != machine:
                        found.order_differs += 1
                        found.rows.append(f"fence {row['fence']}: {owners[row['fence']]} and {machine}")
                    key = row["fence"], row["phase"]
                    first[key] = min(first.get(key, row["at"]), row["at"])
    spans: list[tuple[float, float, str, str, int]] = []
    outs: dict[tuple[str, str], int] = defaultdict(int)
    for fence, (order, name) in sorted(owners.items()):
        begun = first.get((fence, "draining"))
        if begun is None:
            continue
        end = min(first.get((fence, "returning"), 1e18), first.get((fence, "back"), 1e18))
        spans.append((begun, end, order, name, fence))
        outs[order, name] += (fence, "out") in first
    for place, (begun, _, order, name, _) in enumerate(spans):
        beside = [s for s in spans[:place] + spans[place + 1 :] if s[0] <= begun < s[1]]
        same = [s for s in beside if s[2] == order]
        kin = [s for s in beside if groups.get(name) and groups.get(s[3]) == groups[name]]
        if len(same) + 1 > at_once.get(order, 1) or kin:
            found.two_at_once += 1
            found.rows.append(f"{name} drains beside {[s[3] for s in (*same, *kin)]}")
    _late(folder, spans, first, found)
    for (order, name), number in outs.items():
        if number > 1:
            found.answered_twice += 1
            found.rows.append(f"{name} of {order} was out {number} times")
    _orders(folder, last, first, found)
    return found


def _late(
    folder: Path,
    spans: list[tuple[float, float, str, str, int]],
    first: dict[tuple[int, str], float],
    found: Verdict,
) -> None:
    """What came to a box between the word that it is out and the word that it comes back."""
    came: dict[str, list[float]] = defaultdict(list)
    for row in _lines(folder / "boxes.log"):
        if row["event"] == "came":
            came[row["box"]].append(row["at"])
    for _, end, _, name, fence in spans:
        out = first.get((fence, "out"))
        if out is not None:
            late = [at for at in came[name] if out < at < end]
            found.late_sends += len(late)
            found.rows += [f"{name}: {at - out:.3f} s after it was out" for at in late[:3]]


def _orders(
    folder: Path,
    last: dict[tuple[str, str], tuple[float, str]],
    first: dict[tuple[int, str], float],
    found: Verdict,
) -> None:
    """Orders that were agreed on, their end, and the longest time in which nothing moved."""
    agreed: dict[str, tuple[float, list[str]]] = {}
    for row in _lines(folder / "clients.log"):
        if row["event"] == "agreed":
            agreed[row["order"]] = row["at"], row["machines"]
        elif row["event"] == "write":
            found.writes += 1
            found.written += row["status"] == 200
    for order, (_, machines) in agreed.items():
        found.orders += 1
        phases = {name: last.get((order, name), (0.0, ""))[1] for name in machines}
        if "" in phases.values():
            found.lost += 1
            found.rows.append(f"{order}: agreed on, and no broker has it")
        if all(phase in ("back", "cancelled") for phase in phases.values()):
            found.finished += 1
        else:
            found.rows.append(f"{order}: ends with {phases}")
    if agreed:
        moves = sorted([min(at for at, _ in agreed.values()), *first.values()])
        gaps = [b - a for a, b in zip(moves, moves[1:], strict=False)]
        found.standstill_s = max(gaps, default=0.0)


# --- a run --------------------------------------------------------------------------------------------


class Run:
    """One rig with its operator and its clients."""

    def __init__(self, rig: Rig, seed: int) -> None:
        self.rig, self.random, self.made = rig, Random(seed), 0

    async def request(self, order: str, machines: list[str], **keys: Any) -> bool:
        """Ask brokers, one after another, until one says that it is agreed on."""
        body = {"order": order, "machines": machines, "work": "restart", "takes_s": 0.3, **keys}
        end = time.monotonic() + END_S
        while time.monotonic() < end:
            place = self.random.randrange(self.rig.number)
            status, answer = await self.rig.ask(place, "POST", "/maintenance/request", body)
            if status == 200:
                self.rig.write("clients", event="agreed", order=order, machines=machines)
                return True
            if status in (400, 409):
                raise SettingsError(f"{order}: {answer.get('reason')}")
            await until(asyncio.get_running_loop().time() + 0.2)
        return False

    async def operate(self, until_s: float) -> bool:
        """Say `done` of what is out, at any broker, until all orders are over."""
        while time.monotonic() < until_s:
            place = self.random.randrange(self.rig.number)
            status, answer = await self.rig.ask(place, "GET", "/maintenance", within_s=3.0)
            if status == 200 and answer["knows"]:
                steps = [step for order in answer["orders"] for step in order["steps"]]
                if steps and all(order["over"] for order in answer["orders"]):
                    return True
                for step in steps:
                    if step["phase"] == "out" and step["machine"].startswith("x") and step["for_s"] >= 0.3:
                        there = self.random.randrange(self.rig.number)
                        await self.rig.ask(there, "POST", "/maintenance/done", {"machine": step["machine"]})
            await until(asyncio.get_running_loop().time() + 0.1)
        return False

    async def load(self, rate: float) -> None:
        """Writes, open loop, at brokers drawn anew; until it is cancelled."""
        tasks: set[asyncio.Task[None]] = set()
        loop = asyncio.get_running_loop()
        try:
            while True:
                await until(loop.time() + self.random.expovariate(rate))
                self.made += 1
                task = loop.create_task(self._write(self.random.randrange(self.rig.number), f"k{self.made}"))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        finally:
            for task in tasks:
                task.cancel()

    async def _write(self, place: int, key: str) -> None:
        status = await self.rig.put(place, key, key.encode() * 10)
        self.rig.write("clients", event="write", key=key, status=status)


async def play(
    folder: Path, seed: int, brokers: int, boxes: int, seconds: float, faults: list[Fault]
) -> tuple[dict[str, str], bool]:
    """One run; its groups, and whether its orders came to their end."""
    groups = {f"x{place + 1}": f"r{place % GROUPS}" for place in range(boxes)}
    labels = {name: f'group = "{group}"' for name, group in groups.items()}
    rig = Rig(folder, brokers, boxes, seed, labels=labels)
    run = Run(rig, seed)
    load: asyncio.Task[None] | None = None
    try:
        await rig.start()
        load = asyncio.get_running_loop().create_task(run.load(30.0))
        fault = asyncio.get_running_loop().create_task(rig.play(faults))
        await run.request("boxes", sorted(groups), at_once=AT_ONCE["boxes"])
        if brokers > 3:
            await run.request("brokers", rig.names)
        done = await run.operate(time.monotonic() + seconds)
        await fault
        rig.heal()
        done = done or await run.operate(time.monotonic() + END_S)
        await until(asyncio.get_running_loop().time() + 0.5)
    finally:
        if load is not None:
            load.cancel()
            await asyncio.gather(load, return_exceptions=True)
        await rig.close()
    return groups, done


def main(arguments: list[str]) -> int:
    """Play the runs one after another, and print the sums."""
    given = docopt(__doc__ or "", arguments)
    try:
        runs, seed, brokers = int(given["--runs"]), int(given["--seed"]), int(given["--brokers"])
        boxes, seconds = int(given["--boxes"]), float(given["--seconds"])
    except ValueError as off:
        raise SettingsError(f"maintenance: {off}") from None
    if brokers not in (3, 5, 7) or not 2 <= boxes <= 24 or not 1 <= seconds <= 600:
        raise SettingsError("--brokers 3, 5 or 7; --boxes from 2 to 24; --seconds from 1 to 600")
    total = Verdict()
    with kept_or_temporary(given["--folder"]) as kept:
        for number in range(seed, seed + runs):
            script = given["--script"]
            faults = load(script, brokers, VERBS) if script else draw(number, brokers, seconds)
            folder = kept / f"run-{number}"
            groups, _ = asyncio.run(play(folder, number, brokers, boxes, seconds, faults))
            verdict = judge(folder, groups, AT_ONCE)
            total.add(verdict)
            for row in verdict.rows[:6]:
                print(f"seed {number}: {row}")
            print(f"seed {number}: {verdict.line()}; {len(faults)} faults", file=sys.stderr, flush=True)
    print(total.line())
    print(f"writes {total.writes}, answered 200: {total.written}")
    return int(total.broken)
