"""Rolling work on real brokers and nodes under load: by agreement, and by hand as without it."""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from collections import Counter
from pathlib import Path
from statistics import median
from typing import Any

from harriertide.engine.clock import sleep_until
from harriertide.lab.experiments.maintenance import Run
from harriertide.lab.rigs.maintenance_rig import Rig

BROKER_COUNT = 5
MIN_APPLIED_ENTRIES = 3  # of the agreed log: the cluster was founded
NODE_COUNT = 8
GROUP_COUNT = 4  # failure domains of the nodes
AT_ONCE = 2  # nodes that may be out under agreed work
WORK_S = 0.5  # on each machine
DRAIN_WAIT_S = 3.0  # that an operator waits for a drain without agreement
SERVICE_S = 0.02  # of a write at a node
LOAD_START_S = 1.0  # of load before the work begins
NO_WORK_S = 15.0  # of load without work
WORK_TIMEOUT_S = 90.0
READY_POLL_S = 0.1
# How rolling work is done; these are keys of the output.
NO_WORK, AGREED, AGREED_NODES = "none", "agreed", "agreed, boxes"
ONE_AT_A_TIME, HALF_AT_ONCE = "one at a time", "half at once"
METHODS = (NO_WORK, AGREED, AGREED_NODES, ONE_AT_A_TIME, HALF_AT_ONCE)


async def _start_rig(folder: Path, seed: int, labels: dict[str, str]) -> Rig:
    """Start brokers and nodes; return when they have a leader."""
    rig = Rig(folder, BROKER_COUNT, NODE_COUNT, seed, labels=labels, service_s=SERVICE_S)
    await rig.start()
    while True:
        _, status = await rig.ask(0, "GET", "/maintenance")
        if status.get("leader") and status.get("applied", 0) >= MIN_APPLIED_ENTRIES:
            return rig
        await sleep_until(asyncio.get_running_loop().time() + READY_POLL_S)


async def measure_rolling_work(seed: int, method: str, rate: float) -> dict[str, float]:
    """Run work under load once: the part of the writes that was served, and how long the work took."""
    labels = {f"x{n + 1}": f'group = "g{n % GROUP_COUNT}"' for n in range(NODE_COUNT)}
    with tempfile.TemporaryDirectory() as directory:
        folder = Path(directory)
        rig = await _start_rig(folder, seed, labels)
        run = Run(rig, seed)
        loop = asyncio.get_running_loop()
        load = loop.create_task(run.load(rate))
        await sleep_until(loop.time() + LOAD_START_S)
        begun_s = time.monotonic()
        if method == NO_WORK:
            await sleep_until(loop.time() + NO_WORK_S)
        elif method in (AGREED, AGREED_NODES):
            await _work_by_agreement(run, with_brokers=method == AGREED)
        elif method == ONE_AT_A_TIME:
            await _work_without_agreement(rig, 1, DRAIN_WAIT_S)
        else:
            await _work_without_agreement(rig, NODE_COUNT // 2, 0.0)
        took_s = time.monotonic() - begun_s
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        await rig.close()
        rows = [json.loads(row) for row in (folder / "clients.log").read_text().splitlines()]
    statuses = Counter(row["status"] for row in rows if row["event"] == "write")
    write_count = sum(statuses.values())
    return {"served": statuses[200] / max(1, write_count), "took_s": took_s, "writes": float(write_count)}


async def _work_by_agreement(run: Run, with_brokers: bool) -> None:
    deadline_s = time.monotonic() + WORK_TIMEOUT_S
    node_names = [node.name for node in run.rig.nodes]
    await run.request("boxes", node_names, at_once=AT_ONCE, takes_s=WORK_S)
    if with_brokers:
        await run.request("brokers", run.rig.names, takes_s=WORK_S)
    await run.operate(deadline_s)


async def _work_without_agreement(rig: Rig, at_once: int, drain_wait_s: float) -> None:
    """Take nodes out and back in batches, as an operator does it by hand."""
    loop = asyncio.get_running_loop()
    node_names = [node.name for node in rig.nodes]
    for first in range(0, NODE_COUNT, at_once):
        batch = node_names[first : first + at_once]
        for name in batch:
            await _set_node_state(rig, name, "draining")
        await sleep_until(loop.time() + drain_wait_s + WORK_S)
        for name in batch:
            await _set_node_state(rig, name, "up")


async def _set_node_state(rig: Rig, name: str, state: str) -> None:
    """Plan and apply a node's state at every broker."""
    for broker_index in range(rig.number):
        _, answer = await rig.ask(broker_index, "GET", "/state")
        if "state" in answer:
            answer["state"]["boxes"][name]["state"] = state
            change = {"from": answer["digest"], "state": answer["state"]}
            await rig.ask(broker_index, "POST", "/apply", change)


def compare_methods(rounds: int, rate: float) -> dict[str, Any]:
    """Run all methods in turn, so many times; medians by method."""
    results: dict[str, list[dict[str, float]]] = {method: [] for method in METHODS}
    for number in range(rounds):
        for method in METHODS:
            results[method].append(asyncio.run(measure_rolling_work(number + 1, method, rate)))
    figures: dict[str, Any] = {}
    for method, rows in results.items():
        losses = [base["served"] - row["served"] for base, row in zip(results[NO_WORK], rows, strict=True)]
        figures[method] = {
            "served": round(median(row["served"] for row in rows), 4),
            "less_than_none": round(median(losses), 4),
            "took_s": round(median(row["took_s"] for row in rows), 1),
        }
    figures["least_possible_s"] = round(max(NODE_COUNT / AT_ONCE * WORK_S, BROKER_COUNT * WORK_S), 1)
    return figures
