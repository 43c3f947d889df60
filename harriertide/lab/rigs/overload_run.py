"""One broker with stated limits, honest clients, and hundreds of hostile ones of one form beside them."""

from __future__ import annotations

import asyncio
import json
import signal
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from harriertide.engine.clock import sleep_until
from harriertide.lab.rigs.hostile_clients import HostileForm, run_hostile_process
from harriertide.lab.rigs.memory_sampler import MemorySampler, read_memory_mib
from harriertide.lab.rigs.single_broker import SingleBrokerRig

HONEST_REQUESTS_PER_S = 60.0
HONEST_WRITE_RATIO = 0.5  # of their requests, with a short body
SETTLE_S = 0.5  # before the hostile clients come, and after they have left


@dataclass(frozen=True, slots=True)
class OverloadCase:
    """What is played: the limits of the process, and its hostile clients.

    :param memory_mb, sockets: limits in the configuration of the broker
    """

    form: HostileForm
    memory_mb: int
    sockets: int
    client_count: int
    duration_s: float


@dataclass(slots=True)
class OverloadResult:
    """What was seen.

    :ivar idle_mib, peak_mib, final_mib: anonymous and shared memory before, at most, and after all have left
    :ivar ended_with: exit status if the process ended before it was told to; else None
    :ivar honest_statuses: how often honest clients got each status; 0: their connection ended without one
    :ivar honest_latencies_s: of their answers, from when the request was written, the shortest first
    :ivar connect_times_s: of the connections of honest clients, the shortest first
    :ivar ejected_count: how often the log says that a node was ejected
    """

    idle_mib: float
    peak_mib: float
    final_mib: float
    ended_with: int | None
    honest_statuses: Counter[int] = field(default_factory=Counter)
    honest_latencies_s: list[float] = field(default_factory=list)
    connect_times_s: list[float] = field(default_factory=list)
    hostile_statuses: Counter[str] = field(default_factory=Counter)
    ejected_count: int = 0


async def play_overload(case: OverloadCase, folder: Path, seed: int = 1) -> OverloadResult:
    """Play a case on real processes and sockets.

    :param folder: of logs and configurations
    :raises TimeoutError: the broker did not get ready
    """
    rig = SingleBrokerRig(folder, Random(seed))
    await rig.start()
    rig.clients.rate = HONEST_REQUESTS_PER_S
    rig.clients.long_ratio = 0.0
    rig.clients.append_ratio = HONEST_WRITE_RATIO

    def limit(config: dict[str, Any]) -> None:
        config["limits"] = {"memory_mb": case.memory_mb, "sockets": case.sockets}

    try:
        process = await rig.launch(limit)
        if await rig.wait_ready(process) < 0:
            raise TimeoutError("the broker did not get ready")
        pid = process.handle.pid
        result = OverloadResult(read_memory_mib(pid), 0.0, 0.0, None)
        sampler = MemorySampler(pid)
        await _play_clients(rig, case, result)
        result.peak_mib = sampler.stop()
        result.ended_with = process.handle.returncode
        if process.is_running:
            result.final_mib = read_memory_mib(pid)
            process.signal(signal.SIGTERM)
            await rig.wait_ended(process)
    finally:
        await rig.close()
    _read_honest_answers(folder / "clients.log", result)
    log = (folder / "broker-0.log").read_text(encoding="utf-8")
    result.ejected_count = log.count(" ejected, last attempt")
    return result


async def _play_clients(rig: SingleBrokerRig, case: OverloadCase, result: OverloadResult) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    honest = asyncio.create_task(rig.clients.offer(stop))
    await sleep_until(loop.time() + SETTLE_S)
    result.hostile_statuses = await run_hostile_process(
        rig.address, case.form, case.client_count, case.duration_s
    )
    stop.set()
    await honest
    await sleep_until(loop.time() + SETTLE_S)


def _read_honest_answers(log_path: Path, result: OverloadResult) -> None:
    asked_at_s: dict[str, float] = {}
    sent_at_s: dict[str, float] = {}
    for line in log_path.read_text(encoding="utf-8").splitlines():
        row = json.loads(line)
        if row["event"] == "asked":
            asked_at_s[row["request"]] = sent_at_s[row["request"]] = row["at_s"]
        elif row["event"] == "connected":
            sent_at_s[row["request"]] = row["at_s"]
            result.connect_times_s.append(row["at_s"] - asked_at_s[row["request"]])
        elif row["event"] == "told":
            result.honest_statuses[row["status"]] += 1
            result.honest_latencies_s.append(row["at_s"] - sent_at_s[row["request"]])
        elif row["event"] == "ended":
            result.honest_statuses[0] += 1
    result.honest_latencies_s.sort()
    result.connect_times_s.sort()
