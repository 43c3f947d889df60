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
from harriertide.lab.checkers.upgrade_checker import (
    IDLE_S,
    LATE_REQUEST_S,
    REJOIN_S,
    Verdict,
    conclude,
    judge,
)
from harriertide.lab.rigs.fault_script import HOST
from harriertide.lab.rigs.folders import kept_or_temporary
from harriertide.lab.rigs.process_rig import ask_status
from harriertide.lab.rigs.single_broker import BrokerProcess, OperatorCall, SingleBrokerRig, call_operator

ASK_S, FURTHER_S = 0.1, 0.2  # the front's
BAD_CALLERS = 12
SETTLE_S = 0.4
HEALTH = "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


class DrainRun:
    """A broker and its front."""

    def __init__(self, rig: SingleBrokerRig, process: BrokerProcess) -> None:
        self.rig, self.process = rig, process
        self._bad: list[asyncio.StreamWriter] = []

    async def healthy(self) -> bool:
        """What the front hears."""
        return await ask_status(self.rig.address[1], HEALTH) == 200

    async def operate(self, line: str) -> OperatorCall:
        """An operator's call, its time written down."""
        called = await call_operator(self.process.operator, line)
        self.rig.logs.write("platform", "called", line=line, status=called.status, took_s=called.took_s)
        return called

    async def drain(self) -> None:
        """Evacuate, look, rejoin."""
        loop, logs, clients = asyncio.get_running_loop(), self.rig.logs, self.rig.clients
        await self._bad_callers()
        begun = loop.time()
        if (await self.operate("POST /api/evacuate")).status != 200:
            logs.write("platform", "failed", what="evacuate was refused")
        while await self.healthy():
            await until(loop.time() + ASK_S)
        await until(loop.time() + FURTHER_S)
        clients.gets_new_connections = False
        while loop.time() < begun + IDLE_S:
            await self.operate("GET /api/ready")
            await until(min(begun + IDLE_S, loop.time() + 0.25))
        resting, late = clients.count_open(LATE_REQUEST_S)
        logs.write("platform", "open", idle=resting, late=late)
        if await self.healthy():
            logs.write("platform", "failed", what="the health check says yes in a drain")
        begun = loop.time()
        await self.operate("POST /api/rejoin")
        while not await self.healthy() and loop.time() < begun + 2 * REJOIN_S:
            await until(loop.time() + ASK_S)
        logs.write("platform", "rejoined", took_s=loop.time() - begun)
        clients.gets_new_connections = True
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
    rig = SingleBrokerRig(folder, Random(seed))
    await rig.start()
    stop = asyncio.Event()
    try:
        process = await rig.launch()
        rig.logs.write("platform", "ready", took_s=await rig.wait_ready(process))
        load = asyncio.create_task(rig.clients.offer(stop))
        for _ in range(runs):
            await until(asyncio.get_running_loop().time() + SETTLE_S)
            await DrainRun(rig, process).drain()
        await until(asyncio.get_running_loop().time() + SETTLE_S)
        stop.set()
        await load
        if not process.is_running:
            rig.logs.write("platform", "failed", what="the broker has ended")
    finally:
        await rig.close()


def report(verdict: Verdict, drains: int) -> str:
    """One line."""
    return (
        f"drains {drains} requests {verdict.requests} lost {verdict.lost} late-idle {verdict.late_idle} "
        f"rejoin-late {verdict.rejoin_late} door-late {verdict.operator_late} failed {len(verdict.failed)}"
    )


def main(arguments: list[str]) -> int:
    """Play and judge."""
    given: dict[str, Any] = docopt(__doc__ or "", arguments)
    with kept_or_temporary(given["--folder"]) as folder:
        asyncio.run(play(folder, int(given["--seed"]), int(given["--runs"])))
        verdict = judge(folder)
    return conclude(verdict, report(verdict, int(given["--runs"])))
