"""Orders of work on real brokers and nodes, with random faults between them and client load; checked by logs.

Usage: maintenance [options]

Each run starts brokers as processes of their own with disks, nodes, and relays between all, requests two
orders (all nodes, two at once and never two of a rack's group; all brokers, one at once) at random brokers,
and runs a script of faults. A simulated operator asks random brokers for their status and reports `done`.
Then all faults are healed, and the orders must finish. The checker reads only what brokers, nodes, clients
and the rig logged. Prints one line of sums; exits with 1 where a bound is broken.

Options:
  --runs N       [default: 1]
  --seed N       of the first run [default: 1]
  --brokers N    3, 5 or 7 [default: 5]
  --boxes N      nodes, from 2 to 24 [default: 12]
  --seconds S    of faults in each run [default: 12]
  --script FILE  faults from a file, in place of random ones
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
from harriertide.engine.clock import sleep_until
from harriertide.lab.checkers.maintenance_checker import Verdict, check_logs
from harriertide.lab.rigs.fault_player import VERBS, draw
from harriertide.lab.rigs.fault_script import Fault, load_script
from harriertide.lab.rigs.folders import kept_or_temporary
from harriertide.lab.rigs.maintenance_rig import Rig

AT_ONCE = {"boxes": 2, "brokers": 1}  # machines out at once, by order
FINISH_TIMEOUT_S = 60.0  # after all faults were healed
GROUP_COUNT = 4  # failure domains of the nodes
MIN_WORK_S = 0.3  # on each machine
WRITE_RATE = 30.0  # writes of clients a second
STATUS_TIMEOUT_S = 3.0
REQUEST_RETRY_S = 0.2
OPERATOR_POLL_S = 0.1
SETTLE_S = 0.5  # behind the last order
SHOWN_ROWS = 6


class Run:
    """One rig with a simulated operator and clients."""

    def __init__(self, rig: Rig, seed: int) -> None:
        self.rig = rig
        self.random = Random(seed)
        self.write_count = 0

    async def request(self, order: str, machines: list[str], **keys: Any) -> bool:
        """Request an order at random brokers until one answers that it is agreed on.

        :raises SettingsError: it was refused for good
        """
        body = {"order": order, "machines": machines, "work": "restart", "takes_s": MIN_WORK_S, **keys}
        deadline_s = time.monotonic() + FINISH_TIMEOUT_S
        while time.monotonic() < deadline_s:
            broker_index = self.random.randrange(self.rig.number)
            status, answer = await self.rig.ask(broker_index, "POST", "/maintenance/request", body)
            if status == 200:
                self.rig.write("clients", event="agreed", order=order, machines=machines)
                return True
            if status in (400, 409):
                raise SettingsError(f"{order}: {answer.get('reason')}")
            await sleep_until(asyncio.get_running_loop().time() + REQUEST_RETRY_S)
        return False

    async def operate(self, until_s: float) -> bool:
        """Report `done` of nodes that are out, at random brokers, until all orders are over.

        :returns: whether they were over in time
        """
        while time.monotonic() < until_s:
            broker_index = self.random.randrange(self.rig.number)
            status, answer = await self.rig.ask(
                broker_index, "GET", "/maintenance", within_s=STATUS_TIMEOUT_S
            )
            if status == 200 and answer["knows"]:
                steps = [step for order in answer["orders"] for step in order["steps"]]
                if steps and all(order["over"] for order in answer["orders"]):
                    return True
                for step in steps:
                    is_node = step["machine"].startswith("x")
                    if is_node and step["phase"] == "out" and step["for_s"] >= MIN_WORK_S:
                        await self._report_done(step["machine"])
            await sleep_until(asyncio.get_running_loop().time() + OPERATOR_POLL_S)
        return False

    async def _report_done(self, machine: str) -> None:
        broker_index = self.random.randrange(self.rig.number)
        await self.rig.ask(broker_index, "POST", "/maintenance/done", {"machine": machine})

    async def load(self, rate: float) -> None:
        """Write at random brokers, in an open loop, until it is cancelled.

        :param rate: writes a second
        """
        tasks: set[asyncio.Task[None]] = set()
        loop = asyncio.get_running_loop()
        try:
            while True:
                await sleep_until(loop.time() + self.random.expovariate(rate))
                self.write_count += 1
                task = loop.create_task(
                    self._write(self.random.randrange(self.rig.number), f"k{self.write_count}")
                )
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        finally:
            for task in tasks:
                task.cancel()

    async def _write(self, broker_index: int, key: str) -> None:
        status = await self.rig.put(broker_index, key, key.encode() * 10)
        self.rig.write("clients", event="write", key=key, status=status)


async def run_orders(
    folder: Path, seed: int, brokers: int, nodes: int, seconds: float, faults: list[Fault]
) -> tuple[dict[str, str], bool]:
    """Run both orders under faults; the nodes' groups, and whether the orders finished."""
    groups = {f"x{index + 1}": f"r{index % GROUP_COUNT}" for index in range(nodes)}
    labels = {name: f'group = "{group}"' for name, group in groups.items()}
    rig = Rig(folder, brokers, nodes, seed, labels=labels)
    run = Run(rig, seed)
    load: asyncio.Task[None] | None = None
    try:
        await rig.start()
        load = asyncio.get_running_loop().create_task(run.load(WRITE_RATE))
        fault_run = asyncio.get_running_loop().create_task(rig.faults.play(faults))
        await run.request("boxes", sorted(groups), at_once=AT_ONCE["boxes"])
        if brokers > 3:
            await run.request("brokers", rig.names)
        finished = await run.operate(time.monotonic() + seconds)
        await fault_run
        rig.heal()
        finished = finished or await run.operate(time.monotonic() + FINISH_TIMEOUT_S)
        await sleep_until(asyncio.get_running_loop().time() + SETTLE_S)
    finally:
        if load is not None:
            load.cancel()
            await asyncio.gather(load, return_exceptions=True)
        await rig.close()
    return groups, finished


def main(arguments: list[str]) -> int:
    """Run and check one after another, and print the sums."""
    given = docopt(__doc__ or "", arguments)
    try:
        runs, seed = int(given["--runs"]), int(given["--seed"])
        brokers, nodes = int(given["--brokers"]), int(given["--boxes"])
        seconds = float(given["--seconds"])
    except ValueError as error:
        raise SettingsError(f"maintenance: {error}") from None
    if brokers not in (3, 5, 7) or not 2 <= nodes <= 24 or not 1 <= seconds <= 600:
        raise SettingsError("--brokers 3, 5 or 7; --boxes from 2 to 24; --seconds from 1 to 600")
    total = Verdict()
    with kept_or_temporary(given["--folder"]) as kept:
        for number in range(seed, seed + runs):
            script = given["--script"]
            faults = load_script(script, brokers, VERBS) if script else draw(number, brokers, seconds)
            folder = kept / f"run-{number}"
            groups, _ = asyncio.run(run_orders(folder, number, brokers, nodes, seconds, faults))
            verdict = check_logs(folder, groups, AT_ONCE)
            total.add(verdict)
            for row in verdict.violations[:SHOWN_ROWS]:
                print(f"seed {number}: {row}")
            print(f"seed {number}: {verdict.line()}; {len(faults)} faults", file=sys.stderr, flush=True)
    print(total.line())
    print(f"writes {total.writes}, answered 200: {total.acknowledged_writes}")
    return int(total.broken)
