"""Upgrades in place of one real broker under load, one after the other, each a case drawn from the seed.

Usage: upgrades [--runs N] [--seed N] [--cases NAMES] [--folder DIR]

The platform holds the clients' socket; the broker is started anew beside the process that serves, by the same
program. Exits with 1 where a request was lost, a rule was broken or a step did not end as it should.

Options:
  --runs N       upgrades [default: 50]
  --seed N       of cases and load [default: 1]
  --cases NAMES  these only, separated by commas
  --folder DIR   where configurations and logs are kept; else a folder that is deleted
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any

from docopt import docopt

from harriertide.decide.settings import SettingsError
from harriertide.engine.clock import until
from harriertide.lab.checkers.upgrade_checker import Verdict, conclude, judge
from harriertide.lab.rigs.folders import kept_or_temporary
from harriertide.lab.rigs.single_broker import COLD_S, BrokerProcess, SingleBrokerRig, call_operator

SETTLE_S = 0.3  # of load between upgrades
APART_S = 1.0  # between two upgrades in a row
READING_S = 1.6  # for a client to read a long answer
BUSY_RATE, FEW_RATE = 400.0, 30.0


class UpgradeRun:
    """One broker, upgraded again and again."""

    def __init__(self, rig: SingleBrokerRig) -> None:
        self.rig, self.random = rig, rig.random
        self.serving: BrokerProcess

    def failed(self, what: str) -> None:
        """A step did not end as it should."""
        self.rig.logs.write("platform", "failed", what=what)

    async def pause(self, seconds: float) -> None:
        """Load goes on meanwhile."""
        await until(asyncio.get_running_loop().time() + seconds)

    async def begin(self) -> None:
        """The first process."""
        self.serving = await self.rig.launch()
        if await self.rig.wait_ready(self.serving) < 0:
            raise SettingsError(f"the broker did not get ready; see {self.rig.folder}")

    async def replace(self) -> None:
        """The ordinary upgrade: start, yes, SIGTERM to the old one, its end."""
        new = await self.rig.launch()
        took_s = await self.rig.wait_ready(new)
        if took_s < 0:
            self.failed("the new process did not get ready")
            return
        self.rig.logs.write("platform", "ready", took_s=took_s)
        old, self.serving = self.serving, new
        old.signal(signal.SIGTERM)
        if not await self.rig.wait_ended(old) or old.handle.returncode != 0:
            self.failed(f"the old process ended with {old.handle.returncode}")

    def kill(self, process: BrokerProcess) -> None:
        """SIGKILL; what that process had taken is lost."""
        self.rig.logs.write("platform", "killed")
        process.kill()

    # --- cases ---------------------------------------------------------------------------------

    async def plain(self) -> None:
        """Nothing else happens."""
        await self.replace()

    async def new_dies_before_ready(self) -> None:
        """The old one goes on and never noticed, or takes back."""
        new = await self.rig.launch()
        await self.pause(self.random.uniform(0.0, 0.6))
        self.kill(new)
        await new.handle.wait()
        await self.pause(SETTLE_S)
        if not self.serving.is_running:
            self.failed("the old process ended with the new one")

    async def new_dies_right_after(self) -> None:
        """The old one has heard nothing yet, and takes back."""
        new = await self.rig.launch()
        if await self.rig.wait_ready(new) < 0:
            self.failed("the new process did not get ready")
        self.kill(new)
        await new.handle.wait()
        await self.pause(SETTLE_S)

    async def bad_configuration(self) -> None:
        """Exit 2, and the old one serves on."""
        new = await self.rig.launch(lambda config: config.update(settings={}))
        if not await self.rig.wait_ended(new) or new.handle.returncode != 2:
            self.failed(f"a bad configuration ended with {new.handle.returncode}")

    async def old_dies_meanwhile(self) -> None:
        """Killed at any moment of the hand-over: the new one starts with what there is."""
        new = await self.rig.launch()
        await self.pause(self.random.uniform(0.2, 0.5))
        self.kill(self.serving)
        if await self.rig.wait_ready(new) < 0:
            self.failed("the new process did not get ready without the old one")
        self.serving = new

    async def told_to_end_early(self) -> None:
        """SIGTERM reaches the old one before the new one is ready."""
        new = await self.rig.launch()
        await self.pause(self.random.uniform(0.0, 0.3))
        self.serving.signal(signal.SIGTERM)
        if await self.rig.wait_ready(new) < 0:
            self.failed("the new process did not get ready beside one that ends")
        await self.rig.wait_ended(self.serving)
        self.serving = new

    async def two_at_once(self) -> None:
        """Both say yes; the last one that took over is to serve on."""
        both = [await self.rig.launch() for _ in range(2)]
        if min(await asyncio.gather(*map(self.rig.wait_ready, both))) < 0:
            self.failed("one of two new processes did not get ready")
            return
        self.serving.signal(signal.SIGTERM)
        await self.rig.wait_ended(self.serving)
        said = [(await call_operator(each.operator, "GET /api/ready")).state for each in both]
        last = 0 if "superseded" in said[1] else 1
        both[1 - last].signal(signal.SIGTERM)
        await self.rig.wait_ended(both[1 - last])
        self.serving = both[last]

    async def one_second_apart(self) -> None:
        """The next upgrade begins while the process before the last may still finish what it has."""
        oldest, self.serving = self.serving, await self.rig.launch()
        if await self.rig.wait_ready(self.serving) < 0:
            self.failed("the first of two new processes did not get ready")
            return
        oldest.signal(signal.SIGTERM)
        await self.pause(APART_S)
        await self.replace()
        if not await self.rig.wait_ended(oldest):
            self.failed("the oldest of three processes did not end")

    async def third_process(self) -> None:
        """Three live at once, as nobody has told the first two to end."""
        older = [self.serving]
        for _ in range(2):
            self.serving = await self.rig.launch()
            if await self.rig.wait_ready(self.serving) < 0:
                self.failed("a new process did not get ready beside others")
                return
            older.append(self.serving)
        older.pop()
        for process in older:
            process.signal(signal.SIGTERM)
        for process in older:
            if not await self.rig.wait_ended(process) or process.handle.returncode != 0:
                self.failed(f"an older process ended with {process.handle.returncode}")

    async def long_answer(self) -> None:
        """A client reads a long answer of the old process over the whole of the upgrade."""
        reading = asyncio.create_task(self.rig.clients.read_slowly(READING_S))
        await self.pause(SETTLE_S)
        await self.replace()
        if not await reading:
            self.failed("a long answer on its way was cut off")

    async def paused(self) -> None:
        """The old one stands still, is taken over from, and comes back. Few come meanwhile: all wait."""
        rate, self.rig.clients.rate = self.rig.clients.rate, FEW_RATE
        self.serving.signal(signal.SIGSTOP)
        old, new = self.serving, await self.rig.launch()
        if await self.rig.wait_ready(new) < 0:
            self.failed("the new process did not get ready beside one that stands still")
        old.signal(signal.SIGCONT)
        await self.pause(SETTLE_S)
        self.serving = new
        old.signal(signal.SIGTERM)
        await self.rig.wait_ended(old)
        self.rig.clients.rate = rate

    async def busy(self) -> None:
        """Three times the load."""
        rate, self.rig.clients.rate = self.rig.clients.rate, BUSY_RATE
        await self.pause(SETTLE_S)
        await self.replace()
        self.rig.clients.rate = rate

    async def in_a_drain(self) -> None:
        """The new one is drained too, until it is told otherwise."""
        await call_operator(self.serving.operator, "POST /api/evacuate")
        await self.replace()
        if (await call_operator(self.serving.operator, "POST /api/rejoin")).status != 200:
            self.failed("the new process did not rejoin")

    async def discovery_dark(self) -> None:
        """The new one goes by the list that the old one had."""
        self.rig.discovery.set_dark(True)
        await self.replace()
        self.rig.discovery.set_dark(False)
        await self.pause(SETTLE_S)

    async def cold_node(self) -> None:
        """A node has just started anew: both together may send what it bears."""
        node = self.random.choice(self.rig.nodes)
        node.started_us = self.rig.unix_us()
        self.rig.logs.write("platform", "restarted", node=node.name)
        self.rig.discovery.notify()
        await self.replace()
        await self.pause(COLD_S)

    async def draining_node(self) -> None:
        """A drain told to the old one holds for the new one."""
        node = self.random.choice(self.rig.nodes)
        node.health = "draining"
        self.rig.discovery.notify()
        await self.pause(0.05)
        self.rig.discovery.set_dark(True)  # so that the new one can have it from the old one only
        await self.replace()
        node.health = "up"
        self.rig.discovery.set_dark(False)
        self.rig.discovery.notify()
        await self.pause(SETTLE_S)


CASES: dict[str, Callable[[UpgradeRun], Awaitable[None]]] = {
    "plain": UpgradeRun.plain,
    "new-dies": UpgradeRun.new_dies_before_ready,
    "new-dies-after": UpgradeRun.new_dies_right_after,
    "bad-configuration": UpgradeRun.bad_configuration,
    "old-dies": UpgradeRun.old_dies_meanwhile,
    "told-early": UpgradeRun.told_to_end_early,
    "two-at-once": UpgradeRun.two_at_once,
    "one-second-apart": UpgradeRun.one_second_apart,
    "third-process": UpgradeRun.third_process,
    "long-answer": UpgradeRun.long_answer,
    "paused": UpgradeRun.paused,
    "busy": UpgradeRun.busy,
    "in-a-drain": UpgradeRun.in_a_drain,
    "discovery-dark": UpgradeRun.discovery_dark,
    "cold-node": UpgradeRun.cold_node,
    "draining-node": UpgradeRun.draining_node,
}


async def play(folder: Path, seed: int, cases: list[str]) -> None:
    """Upgrade once for each case; what happened is in the folder's logs."""
    rig = SingleBrokerRig(folder, Random(seed))
    await rig.start()
    stop = asyncio.Event()
    try:
        run = UpgradeRun(rig)
        await run.begin()
        load = asyncio.create_task(rig.clients.offer(stop))
        await run.pause(SETTLE_S)
        for case in cases:
            rig.logs.write("platform", "case", case=case)
            await CASES[case](run)
            if not run.serving.is_running:
                run.failed(f"nothing serves after {case}")
                break
            await run.pause(SETTLE_S)
        stop.set()
        await load
    finally:
        await rig.close()


def report(verdict: Verdict, upgrades: int) -> str:
    """One line."""
    return (
        f"upgrades {upgrades} requests {verdict.requests} lost {verdict.lost} twice {verdict.twice} "
        f"not-let-in {verdict.closed_on} over-limit {verdict.over_limit} "
        f"cold-falls {verdict.slow_start_overloads} "
        f"after-drain {verdict.after_drain} failed {len(verdict.failed)} ready-p99 {verdict.ready_p99:.2f}"
    )


def draw(seed: int, runs: int, names: list[str]) -> list[str]:
    """Cases in a drawn order, each as often as any other, or once more."""
    random = Random(seed)
    cases = [names[place % len(names)] for place in range(runs)]
    random.shuffle(cases)
    return cases


def main(arguments: list[str]) -> int:
    """Play and judge."""
    given: dict[str, Any] = docopt(__doc__ or "", arguments)
    names = given["--cases"].split(",") if given["--cases"] else list(CASES)
    if unknown := set(names) - set(CASES):
        raise SettingsError(f"--cases: {', '.join(sorted(unknown))}: there is {', '.join(CASES)}")
    with kept_or_temporary(given["--folder"]) as folder:
        cases = draw(int(given["--seed"]), int(given["--runs"]), names)
        asyncio.run(play(folder, int(given["--seed"]), cases))
        verdict = judge(folder)
    return conclude(verdict, report(verdict, len(cases)))
