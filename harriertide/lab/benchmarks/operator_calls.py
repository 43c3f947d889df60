"""How soon operators are answered by a broker under overload that has a part of a core.

Usage: operator-calls [--calls N] [--rate N] [--busy N] [--seed N] [--thread] [--folder DIR]

The broker is held to one core, which it shares with programs that never rest, and with no other rig. Clients
ask for more than it can do, and callers that send nothing stay connected to the operators' address. Exits
with 1 where a call took longer than a second or had no answer; each call is logged with how long the broker
ran and how long it waited for its core meanwhile.

Options:
  --calls N     calls of an operator, CALL_INTERVAL_S apart [default: 100]
  --rate N      requests a second [default: 400]
  --busy N      programs that share the broker's core; 3 leave it a quarter [default: 3]
  --seed N      of the load [default: 1]
  --thread      answer operators on a thread of their own, to compare
  --folder DIR  where configurations and logs are kept; else a folder that is deleted
"""

from __future__ import annotations

import asyncio
import os
import sys
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from docopt import docopt

from harriertide.decide.settings import SettingsError
from harriertide.engine.clock import sleep_until
from harriertide.lab.rigs.fault_script import HOST
from harriertide.lab.rigs.folders import kept_or_temporary
from harriertide.lab.rigs.processor import ProcessorTime, reserve_core
from harriertide.lab.rigs.single_broker import BrokerProcess, OperatorCall, SingleBrokerRig, call_operator

CALL_INTERVAL_S = 0.1
WARM_UP_S = 2.0  # of load before the first call
MAX_CALL_S = 1.0  # a call that took longer is late
SILENT_CALLER_COUNT = 12  # connections at the operators' address that send nothing
BUSY_LOOP = "while True: pass"
THREADED_PROGRAM = "harriertide.lab.rigs.threaded_operators"


@dataclass(frozen=True, slots=True)
class CallTimes:
    """How an operator's calls were answered."""

    calls: list[OperatorCall]

    @property
    def late_count(self) -> int:
        """Calls that took longer than MAX_CALL_S, or were not answered with 200."""
        return sum(call.took_s > MAX_CALL_S or call.status != 200 for call in self.calls)

    def quantile_ms(self, part: float) -> float:
        """How long this part of the calls took at most, in milliseconds."""
        durations_s = sorted(call.took_s for call in self.calls)
        return 1000 * durations_s[min(len(durations_s) - 1, int(part * len(durations_s)))]

    def summarize(self) -> str:
        """One row for the output."""
        return (
            f"calls {len(self.calls)} late {self.late_count} p50 {self.quantile_ms(0.5):.1f} ms "
            f"p99 {self.quantile_ms(0.99):.1f} ms longest {self.quantile_ms(1.0):.1f} ms"
        )


async def _share_core(core: int, busy: int) -> list[asyncio.subprocess.Process]:
    """Start so many programs that never rest, on that core."""
    started = []
    for _ in range(busy):
        program = await asyncio.create_subprocess_exec(sys.executable, "-c", BUSY_LOOP)
        os.sched_setaffinity(program.pid, {core})
        started.append(program)
    return started


async def _call_and_log(rig: SingleBrokerRig, process: BrokerProcess) -> OperatorCall:
    """Make one call, and log what the broker had of its core meanwhile."""
    before = ProcessorTime.of_process(process.handle.pid)
    called = await call_operator(process.operator_port, "GET /api/ready")
    had = ProcessorTime.of_process(process.handle.pid).since(before)
    rig.logs.write(
        "platform",
        "called",
        line="GET /api/ready",
        status=called.status,
        took_s=called.took_s,
        broker_ran_s=had.ran_s,
        broker_waited_s=had.waited_s,
    )
    return called


async def measure_calls(
    folder: Path, seed: int, calls: int, rate: float, busy: int, program: str
) -> CallTimes:
    """Load a broker on a shared core, and call it as an operator.

    :param rate: of the clients' requests, a second
    :param busy: programs that share the broker's core
    :param program: the module that is the broker
    """
    async with reserve_core() as core:
        return await _measure_calls_on(core, folder, seed, calls, rate, busy, program)


async def _measure_calls_on(
    core: int, folder: Path, seed: int, calls: int, rate: float, busy: int, program: str
) -> CallTimes:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    rig = SingleBrokerRig(folder, Random(seed))
    await rig.start()
    busy_programs: list[asyncio.subprocess.Process] = []
    silent_callers: list[asyncio.StreamWriter] = []
    answers = []
    try:
        process = await rig.launch(program=program)
        if await rig.wait_ready(process) < 0:
            raise SettingsError(f"the broker did not get ready; see {folder}")
        os.sched_setaffinity(process.handle.pid, {core})
        busy_programs = await _share_core(core, busy)
        rig.clients.rate = rate
        load = asyncio.create_task(rig.clients.offer(stop))
        await sleep_until(loop.time() + WARM_UP_S)
        for _ in range(SILENT_CALLER_COUNT):
            silent_callers.append((await asyncio.open_connection(HOST, process.operator_port))[1])
        for _ in range(calls):
            answers.append(await _call_and_log(rig, process))
            await sleep_until(loop.time() + CALL_INTERVAL_S)
        stop.set()
        await load
    finally:
        for silent_caller in silent_callers:
            silent_caller.transport.abort()
        for busy_program in busy_programs:
            busy_program.kill()
            await busy_program.wait()
        await rig.close()
    return CallTimes(answers)


def main(arguments: list[str]) -> int:
    """Measure and print."""
    given: dict[str, Any] = docopt(__doc__ or "", arguments)
    program = THREADED_PROGRAM if given["--thread"] else "harriertide"
    with kept_or_temporary(given["--folder"]) as folder:
        seed, calls, busy = int(given["--seed"]), int(given["--calls"]), int(given["--busy"])
        times = asyncio.run(measure_calls(folder, seed, calls, float(given["--rate"]), busy, program))
    print(times.summarize())
    return int(times.late_count > 0)
