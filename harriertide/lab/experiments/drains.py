"""Drains of one real broker under load: evacuated, watched for 4 s, and taken back, again and again.

Usage: drains [--runs N] [--seed N] [--folder DIR]

The front asks the health check every 0.1 s and sends new connections for a further 0.2 s; clients keep using
those that remain open. Callers that send nothing, or half a call, lie at the operators' address meanwhile.
Exits with 1 where a request was lost, a connection rested or a call was late.

Options:
  --runs N      drains [default: 50]
  --seed N      of load [default: 1]
  --folder DIR  where configurations and logs are kept; else a folder that is deleted
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
from typing import Any

from docopt import docopt

from harriertide.engine.clock import until
from harriertide.lab.checkers.upgrade_checker import IDLE_S, LATE_REQUEST_S, REJOIN_S, Found, conclude, judge
from harriertide.lab.rigs.fault_script import HOST
from harriertide.lab.rigs.folders import kept_or_temporary
from harriertide.lab.rigs.process_rig import ask_status
from harriertide.lab.rigs.single_broker import Called, Process, World, call

ASK_S, FURTHER_S = 0.1, 0.2  # the front's
BAD_CALLERS = 12
SETTLE_S = 0.4
HEALTH = "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


class Drill:
    """A broker and its front."""

    def __init__(self, world: World, process: Process) -> None:
        self.world, self.process = world, process
        self._bad: list[asyncio.StreamWriter] = []

    async def healthy(self) -> bool:
        """What the front hears."""
        return await ask_status(self.world.address[1], HEALTH) == 200

    async def operate(self, line: str) -> Called:
        """An operator's call, its time written down."""
        called = await call(self.process.operator, line)
        self.world.logs.write("platform", "called", line=line, status=called.status, took_s=called.took_s)
        return called

    async def drain(self) -> None:
        """Evacuate, look, rejoin."""
        loop, logs, clients = asyncio.get_running_loop(), self.world.logs, self.world.clients
        await self._bad_callers()
        begun = loop.time()
        if (await self.operate("POST /api/evacuate")).status != 200:
            logs.write("platform", "failed", what="evacuate was refused")
        while await self.healthy():
            await until(loop.time() + ASK_S)
        await until(loop.time() + FURTHER_S)
        clients.sent_here = False
        while loop.time() < begun + IDLE_S:
            await self.operate("GET /api/ready")
            await until(min(begun + IDLE_S, loop.time() + 0.25))
        resting, late = clients.still_open(LATE_REQUEST_S)
        logs.write("platform", "open", idle=resting, late=late)
        if await self.healthy():
            logs.write("platform", "failed", what="the health check says yes in a drain")
        begun = loop.time()
        await self.operate("POST /api/rejoin")
        while not await self.healthy() and loop.time() < begun + 2 * REJOIN_S:
            await until(loop.time() + ASK_S)
        logs.write("platform", "rejoined", took_s=loop.time() - begun)
        clients.sent_here = True
        for writer in self._bad:
            writer.transport.abort()

    async def _bad_callers(self) -> None:
        self._bad = []
        for number in range(BAD_CALLERS):
            _, writer = await asyncio.open_connection(HOST, self.process.operator)
            if number % 2:
                writer.write(b"POST /api/rejoin HTTP/1.1\r\nHost: ")
            self._bad.append(writer)


async def play(folder: Path, seed: int, runs: int) -> None:
    """So many drains; what happened is in the folder's logs."""
    world = World(folder, Random(seed))
    await world.start()
    stop = asyncio.Event()
    try:
        process = await world.launch()
        world.logs.write("platform", "ready", took_s=await world.ready(process))
        load = asyncio.create_task(world.clients.offer(stop))
        for _ in range(runs):
            await until(asyncio.get_running_loop().time() + SETTLE_S)
            await Drill(world, process).drain()
        await until(asyncio.get_running_loop().time() + SETTLE_S)
        stop.set()
        await load
        if not process.lives:
            world.logs.write("platform", "failed", what="the broker has ended")
    finally:
        await world.close()


def report(found: Found, drains: int) -> str:
    """One line."""
    return (
        f"drains {drains} requests {found.requests} lost {found.lost} late-idle {found.late_idle} "
        f"rejoin-late {found.rejoin_late} door-late {found.door_late} failed {len(found.failed)}"
    )


def main(arguments: list[str]) -> int:
    """Play and judge."""
    given: dict[str, Any] = docopt(__doc__ or "", arguments)
    with kept_or_temporary(given["--folder"]) as folder:
        asyncio.run(play(folder, int(given["--seed"]), int(given["--runs"])))
        found = judge(folder)
    return conclude(found, report(found, int(given["--runs"])))
