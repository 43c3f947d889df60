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
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

from docopt import docopt

from harriertide.decide.settings import SettingsError
from harriertide.engine.clock import until
from harriertide.lab.checkers.maintenance_checker import Verdict, judge
from harriertide.lab.rigs.fault_player import VERBS, draw
from harriertide.lab.rigs.fault_script import Fault, load_script
from harriertide.lab.rigs.folders import kept_or_temporary
from harriertide.lab.rigs.maintenance_rig import Rig

AT_ONCE = {"boxes": 2, "brokers": 1}
END_S = 60.0  # after all was healed
GROUPS = 4


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
        fault = asyncio.get_running_loop().create_task(rig.faults.play(faults))
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
            faults = load_script(script, brokers, VERBS) if script else draw(number, brokers, seconds)
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
