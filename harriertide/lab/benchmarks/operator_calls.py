"""How soon operators are answered by a broker under overload that has a part of a core.

Usage: operator-calls [--calls N] [--rate N] [--busy N] [--seed N] [--thread] [--folder DIR]

The broker is held to one core, which it shares with programs that never rest. Clients ask for more than it
can do, and callers that send nothing lie at the operators' address. Exits with 1 where a call took longer
than a second or had no answer.

Options:
  --calls N     calls of an operator, CALL_EVERY_S apart [default: 100]
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
from harriertide.engine.clock import until
from harriertide.lab.rigs.fault_script import HOST
from harriertide.lab.rigs.folders import kept_or_temporary
from harriertide.lab.rigs.single_broker import OperatorCall, SingleBrokerRig, call_operator

CALL_EVERY_S = 0.1
WARM_UP_S = 2.0  # of load before the first call
LATE_S = 1.0
SILENT_CALLERS = 12
NEVER_RESTS = "while True: pass"
THREADED = "harriertide.lab.rigs.threaded_operators"


@dataclass(frozen=True, slots=True)
class Measured:
    """Calls, as they were answered."""

    calls: list[OperatorCall]

    @property
    def late(self) -> int:
        """Calls that took longer than LATE_S, or had no answer of yes."""
        return sum(each.took_s > LATE_S or each.status != 200 for each in self.calls)

    def milliseconds(self, part: float) -> float:
        """That part of the calls took at most so long."""
        took = sorted(each.took_s for each in self.calls)
        return 1000 * took[min(len(took) - 1, int(part * len(took)))]

    def line(self) -> str:
        """What is printed."""
        return (
            f"calls {len(self.calls)} late {self.late} p50 {self.milliseconds(0.5):.1f} ms "
            f"p99 {self.milliseconds(0.99):.1f} ms longest {self.milliseconds(1.0):.1f} ms"
        )


async def _share_core(core: int, busy: int) -> list[asyncio.subprocess.Process]:
    """Programs that never rest, on that core."""
    started = []
    for _ in range(busy):
        program = await asyncio.create_subprocess_exec(sys.executable, "-c", NEVER_RESTS)
        os.sched_setaffinity(program.pid, {core})
        started.append(program)
    return started


async def play(folder: Path, seed: int, calls: int, rate: float, busy: int, program: str) -> Measured:
    """Load a broker on a shared core, and call it."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    rig = SingleBrokerRig(folder, Random(seed))
    await rig.start()
    others: list[asyncio.subprocess.Process] = []
    writers: list[asyncio.StreamWriter] = []
    core = max(os.sched_getaffinity(0))
    answers = []
    try:
        process = await rig.launch(program=program)
        if await rig.wait_ready(process) < 0:
            raise SettingsError(f"the broker did not get ready; see {folder}")
        os.sched_setaffinity(process.handle.pid, {core})
        others = await _share_core(core, busy)
        rig.clients.rate = rate
        load = asyncio.create_task(rig.clients.offer(stop))
        await until(loop.time() + WARM_UP_S)
        for _ in range(SILENT_CALLERS):
            writers.append((await asyncio.open_connection(HOST, process.operator))[1])
        for _ in range(calls):
            answers.append(await call_operator(process.operator, "GET /api/ready"))
            await until(loop.time() + CALL_EVERY_S)
        stop.set()
        await load
    finally:
        for writer in writers:
            writer.transport.abort()
        for other in others:
            other.kill()
            await other.wait()
        await rig.close()
    return Measured(answers)


def main(arguments: list[str]) -> int:
    """Measure and print."""
    given: dict[str, Any] = docopt(__doc__ or "", arguments)
    program = THREADED if given["--thread"] else "harriertide"
    with kept_or_temporary(given["--folder"]) as folder:
        counts = (int(given["--calls"]), float(given["--rate"]), int(given["--busy"]))
        measured = asyncio.run(play(folder, int(given["--seed"]), *counts, program))
    print(measured.line())
    return int(measured.late > 0)
