"""What a request costs direct to a node, through the library, and through the daemon, in one run.

Usage: bench-library [--rate N] [--seconds S] [--rounds N] [--json]

Requests leave at their intended times, whatever became of earlier ones, and their latency counts from there.
Each round measures each way once, in an order that rotates; figures are medians over rounds. The node, the
daemon and the caller have a process each. CPU is that of the caller and the daemon, the node left out.

Options:
  --rate N     requests a second [default: 300]
  --seconds S  of one measurement [default: 3]
  --rounds N   measurements of each way [default: 5]
  --json       one line of JSON
"""

from __future__ import annotations

import asyncio
import json
import os
from dataclasses import replace
from statistics import median
from typing import Any

from docopt import docopt
from hdrh.histogram import HdrHistogram

from harriertide.engine.clock import Clock, sleep_until
from harriertide.http.limits import Limits
from harriertide.http.node_client import NodeClient
from harriertide.lab.benchmarks.request_ways import (
    CONNECT_TIMEOUT_US,
    IDLE_TIMEOUT_US,
    NODE_ID,
    SETTINGS,
    SendRequest,
    child_process,
    freeze_garbage,
    make_client_sender,
    make_library_sender,
    run_daemon,
    run_node,
)
from harriertide.lab.simulation import random_workloads
from harriertide.library import Attempt, Broker, Node, NodeList, RequestSpec

WAYS = ("direct", "library", "daemon")
PERCENTILES = (50, 99, 99.9)
FIGURES = ("p50", "p99", "p99.9", "cpu")
SOCKET_COUNT = 512
MEMORY_MB = 128
WARM_UP_S = 0.5  # of each way, before anything is measured
START_DELAY_S = 0.05  # before the first request
MAX_LATENCY_US = 10_000_000
LIST_SIZES = (12, 100, 1_000)  # nodes
LIST_ROUNDS = 3
LIST_WARM_UP_CALLS = 500
LIST_CALLS = 4_000
LIST_VOLUME_COUNT = 40


def _cpu_s(*process_ids: int) -> float:
    """CPU seconds of these processes so far, the system's work for them included."""
    ticks = 0
    for process_id in process_ids:
        with open(f"/proc/{process_id}/stat", encoding="ascii") as file:
            fields = file.read().rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


async def send_at_rate(
    send: SendRequest, rate: float, seconds: float, first_number: int
) -> tuple[HdrHistogram, int]:
    """Send requests in an open loop.

    :param first_number: of the first request; the others count on from it
    :returns: latencies in microseconds from the intended times, and how many requests failed
    """
    loop = asyncio.get_running_loop()
    latencies = HdrHistogram(1, MAX_LATENCY_US, 3)
    begin_s = loop.time() + START_DELAY_S
    failed = 0

    async def send_one(number: int, intended_at_s: float) -> None:
        nonlocal failed
        try:
            served = await send(number)
        except Exception:  # whatever went wrong, the request was not served
            served = False
        failed += not served
        latencies.record_value(max(1, int((loop.time() - intended_at_s) * 1e6)))

    tasks = []
    for index in range(int(rate * seconds)):
        intended_at_s = begin_s + index / rate
        if intended_at_s > loop.time():
            await sleep_until(intended_at_s)
        tasks.append(asyncio.create_task(send_one(first_number + index, intended_at_s)))
    await asyncio.gather(*tasks)
    return latencies, failed


async def compare_ways(
    node_port: int, daemon_port: int, daemon_pid: int, rate: float, seconds: float, rounds: int
) -> dict[str, Any]:
    """Measure all ways in turn; figures by way, in microseconds: medians over the rounds."""
    clock = Clock(asyncio.get_running_loop())
    limits = Limits.from_resources(sockets=SOCKET_COUNT, memory_mb=MEMORY_MB)
    node_address, daemon_address = f"127.0.0.1:{node_port}", f"127.0.0.1:{daemon_port}"
    clients = {
        "direct": NodeClient({NODE_ID: node_address}.get, CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US, limits),
        "daemon": NodeClient({NODE_ID: daemon_address}.get, CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US, limits),
    }
    results: dict[str, list[dict[str, float]]] = {way: [] for way in WAYS}
    failed = 0
    next_number = 0
    async with Broker(SETTINGS, [Node(NODE_ID, 0, node_address)], seed=1) as broker:
        senders = {way: make_client_sender(client, clock) for way, client in clients.items()}
        senders["library"] = make_library_sender(broker)
        for way in WAYS:
            await send_at_rate(senders[way], rate, WARM_UP_S, next_number)
            next_number += int(rate)
        freeze_garbage()
        request_count = int(rate * seconds)
        for round_number in range(rounds):
            for index in range(len(WAYS)):
                way = WAYS[(round_number + index) % len(WAYS)]
                cpu_before_s = _cpu_s(os.getpid(), daemon_pid)
                latencies, failed_here = await send_at_rate(senders[way], rate, seconds, next_number)
                cpu_s = _cpu_s(os.getpid(), daemon_pid) - cpu_before_s
                next_number += request_count
                failed += failed_here
                row = {f"p{part:g}": latencies.get_value_at_percentile(part) for part in PERCENTILES}
                results[way].append({**row, "cpu": 1e6 * cpu_s / request_count})
    for client in clients.values():
        await client.close()
    figures = {
        way: {name: round(median(row[name] for row in rows)) for name in FIGURES}
        for way, rows in results.items()
    }
    return {"rate": rate, "failed": failed, **figures}


async def measure_call_cpu(
    node_counts: tuple[int, ...] = LIST_SIZES, calls: int = LIST_CALLS
) -> dict[int, float]:
    """CPU of a call without work, in microseconds, by the number of nodes on the endpoint list."""
    cpu_us: dict[int, list[float]] = {node_count: [] for node_count in node_counts}
    for _ in range(LIST_ROUNDS):
        for node_count in node_counts:
            cpu_us[node_count].append(await _measure_call_cpu_once(node_count, calls))
    return {node_count: round(median(rows), 1) for node_count, rows in cpu_us.items()}


async def _measure_call_cpu_once(node_count: int, calls: int) -> float:
    settings = replace(random_workloads.SETTINGS, shard_count=node_count)
    source = NodeList(Node(f"box-{shard}", shard) for shard in range(node_count))
    specs = [RequestSpec(f"v{n % LIST_VOLUME_COUNT}", shard=n) for n in range(node_count)]

    async def do_nothing(attempt: Attempt) -> None:
        pass

    async with Broker(settings, source, seed=1) as broker:
        for number in range(LIST_WARM_UP_CALLS):
            await broker.call(specs[number % node_count], do_nothing)
        cpu_before_s = _cpu_s(os.getpid())
        for number in range(calls):
            await broker.call(specs[number % node_count], do_nothing)
        return 1e6 * (_cpu_s(os.getpid()) - cpu_before_s) / calls


def _print_table(figures: dict[str, Any], cpu_by_node_count: dict[int, float]) -> None:
    print(f"{'way':10}" + "".join(f"{name:>9}" for name in FIGURES) + "   microseconds a request")
    for way in WAYS:
        print(f"{way:10}" + "".join(f"{figures[way][name]:9}" for name in FIGURES))
    for name in FIGURES:
        direct = figures["direct"][name]
        daemon_adds = figures["daemon"][name] - direct
        library_adds = figures["library"][name] - direct
        part = f": {library_adds / daemon_adds:.2f} of it" if daemon_adds > 0 else ""
        print(f"{name}: the library adds {library_adds} us, the daemon {daemon_adds} us{part}")
    by_count = ", ".join(f"{count}: {cpu_us} us" for count, cpu_us in cpu_by_node_count.items())
    print(f"CPU of a call without work, by nodes: {by_count}")
    print(f"failed {figures['failed']}")


def main(arguments: list[str]) -> int:
    """Print the figures; 1 where requests failed."""
    given = docopt(__doc__ or "", arguments)
    rate, seconds, rounds = float(given["--rate"]), float(given["--seconds"]), int(given["--rounds"])
    with (
        child_process(run_node) as (_, node_port),
        child_process(run_daemon, f"127.0.0.1:{node_port}") as (daemon, daemon_port),
    ):
        daemon_pid = daemon.pid or 0
        figures = asyncio.run(compare_ways(node_port, daemon_port, daemon_pid, rate, seconds, rounds))
        cpu_by_node_count = asyncio.run(measure_call_cpu())
    if given["--json"]:
        print(json.dumps({**figures, "boxes": cpu_by_node_count}))  # "boxes": nodes, as scripts read it
    else:
        _print_table(figures, cpu_by_node_count)
    return 1 if figures["failed"] else 0
