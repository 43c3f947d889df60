"""Drains of one real broker under load: evacuated, watched for 4 s, and rejoined, again and again.

Usage: drains [--runs N] [--seed N] [--folder DIR]

The front asks the health check every 0.1 s and sends new connections for a further 0.2 s; clients keep using
those that remain open. Callers that send nothing, or half a call, stay connected to the operators' address.
Exits with 1 where a request was lost, a connection stayed open or a call was late.

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

from harriertide.engine.clock import sleep_until
from harriertide.lab.checkers.upgrade_checker import (
    IDLE_S,
    LATE_REQUEST_S,
    REJOIN_S,
    Verdict,
    check_logs,
    conclude,
)
from harriertide.lab.rigs.fault_script import HOST
from harriertide.lab.rigs.folders import kept_or_temporary
from harriertide.lab.rigs.process_rig import ask_status
from harriertide.lab.rigs.single_broker import BrokerProcess, OperatorCall, SingleBrokerRig, call_operator

HEALTH_CHECK_INTERVAL_S = 0.1  # of the front
FRONT_DELAY_S = 0.2  # for which the front still sends new connections to a broker that is not healthy
OPERATOR_CALL_INTERVAL_S = 0.25
INCOMPLETE_CALLER_COUNT = 12
SETTLE_S = 0.4  # of load before each drain
HEALTH_CHECK = "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


class DrainRun:
    """A broker and its front."""

    def __init__(self, rig: SingleBrokerRig, process: BrokerProcess) -> None:
        self.rig = rig
        self.process = process
        self._incomplete_callers: list[asyncio.StreamWriter] = []

    async def is_healthy(self) -> bool:
        """Whether the front's health check succeeds."""
        return await ask_status(self.rig.address[1], HEALTH_CHECK) == 200

    async def call_operator(self, request: str) -> OperatorCall:
        """Make an operator's call, and log how long it took.

        :param request: method and path
        """
        called = await call_operator(self.process.operator_port, request)
        self.rig.logs.write("platform", "called", line=request, status=called.status, took_s=called.took_s)
        return called

    async def drain(self) -> None:
        """Evacuate the broker, see that its connections end, and let it rejoin."""
        loop = asyncio.get_running_loop()
        logs = self.rig.logs
        clients = self.rig.clients
        await self._connect_incomplete_callers()
        begun_s = loop.time()
        if (await self.call_operator("POST /api/evacuate")).status != 200:
            logs.write("platform", "failed", what="evacuate was refused")
        while await self.is_healthy():
            await sleep_until(loop.time() + HEALTH_CHECK_INTERVAL_S)
        await sleep_until(loop.time() + FRONT_DELAY_S)
        clients.gets_new_connections = False
        while loop.time() < begun_s + IDLE_S:
            await self.call_operator("GET /api/ready")
            await sleep_until(min(begun_s + IDLE_S, loop.time() + OPERATOR_CALL_INTERVAL_S))
        idle_count, late_count = clients.count_open(LATE_REQUEST_S)
        logs.write("platform", "open", idle=idle_count, late=late_count)
        if await self.is_healthy():
            logs.write("platform", "failed", what="the health check says yes in a drain")
        begun_s = loop.time()
        await self.call_operator("POST /api/rejoin")
        while not await self.is_healthy() and loop.time() < begun_s + 2 * REJOIN_S:
            await sleep_until(loop.time() + HEALTH_CHECK_INTERVAL_S)
        logs.write("platform", "rejoined", took_s=loop.time() - begun_s)
        clients.gets_new_connections = True
        for writer in self._incomplete_callers:
            writer.transport.abort()

    async def _connect_incomplete_callers(self) -> None:
        self._incomplete_callers = []
        for number in range(INCOMPLETE_CALLER_COUNT):
            _, writer = await asyncio.open_connection(HOST, self.process.operator_port)
            if number % 2:
                writer.write(b"POST /api/rejoin HTTP/1.1\r\nHost: ")
            self._incomplete_callers.append(writer)


async def run_drains(folder: Path, seed: int, runs: int) -> None:
    """Drain so many times; what happened is in the folder's logs."""
    rig = SingleBrokerRig(folder, Random(seed))
    await rig.start()
    stop = asyncio.Event()
    try:
        process = await rig.launch()
        rig.logs.write("platform", "ready", took_s=await rig.wait_ready(process))
        load = asyncio.create_task(rig.clients.offer(stop))
        for _ in range(runs):
            await sleep_until(asyncio.get_running_loop().time() + SETTLE_S)
            await DrainRun(rig, process).drain()
        await sleep_until(asyncio.get_running_loop().time() + SETTLE_S)
        stop.set()
        await load
        if not process.is_running:
            rig.logs.write("platform", "failed", what="the broker has ended")
    finally:
        await rig.close()


def summarize(verdict: Verdict, drains: int) -> str:
    """The counts of a run as one row."""
    return (
        f"drains {drains} requests {verdict.requests} lost {verdict.lost} "
        f"late-idle {verdict.lingering_connections} rejoin-late {verdict.late_rejoins} "
        f"door-late {verdict.late_operator_answers} failed {len(verdict.failed)}"
    )


def main(arguments: list[str]) -> int:
    """Run the drains and check their logs."""
    given: dict[str, Any] = docopt(__doc__ or "", arguments)
    with kept_or_temporary(given["--folder"]) as folder:
        asyncio.run(run_drains(folder, int(given["--seed"]), int(given["--runs"])))
        verdict = check_logs(folder)
    return conclude(verdict, summarize(verdict, int(given["--runs"])))
