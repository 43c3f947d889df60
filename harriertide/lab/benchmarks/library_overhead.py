"""What a request costs direct to a box, through the library, and through the daemon, in one run.

Usage: bench-library [--rate N] [--seconds S] [--rounds N] [--json]

Requests leave at their intended times, whatever became of earlier ones, and their latency counts from there.
Each round has one stretch of each way, in an order that turns; figures are medians over rounds. The box, the
daemon and the caller have a process each. CPU is that of the caller and the daemon, the box left out.

Options:
  --rate N     requests a second [default: 300]
  --seconds S  of one stretch [default: 3]
  --rounds N   stretches of each way [default: 5]
  --json       one line of JSON
"""

from __future__ import annotations

import asyncio
import gc
import json
import multiprocessing
import os
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from multiprocessing.connection import Connection
from statistics import median
from typing import Any

from docopt import docopt
from hdrh.histogram import HdrHistogram

from harriertide.cli.daemon import Daemon
from harriertide.decide.settings import Names
from harriertide.engine.clock import Clock, until
from harriertide.http.limits import Limits
from harriertide.http.node_client import NodeClient
from harriertide.lab.simulation import random_workloads, stand_in_nodes
from harriertide.library import Attempt, Broker, Node, NodeList, RequestSpec
from harriertide.platform.configuration import Config
from harriertide.platform.endpoint_page import parse_page

WAYS = ("direct", "library", "daemon")
FIGURES = ("p50", "p99", "p99.9", "cpu")
SETTINGS = replace(random_workloads.SETTINGS, shard_count=1)
CONNECT_US, IDLE_US = 250_000, 15_000_000


def _box(pipe: Connection) -> None:
    """A box that answers as fast as it can."""

    async def main() -> None:
        box = stand_in_nodes.StandInNode("box-0", 0, 1, speed_ratio=1e6)
        server = await asyncio.start_server(box.serve_connection, "127.0.0.1", 0)
        pipe.send(server.sockets[0].getsockname()[1])
        async with server:
            await server.serve_forever()

    asyncio.run(main())


def _daemon(pipe: Connection, box: str) -> None:
    """The platform's front before that box."""

    async def main() -> None:
        names = Names({"c0": 0, "c1": 1}, {"p0": 0, "p1": 1}, {}, CONNECT_US, IDLE_US)
        known = {"seq": 0, "whole": True, "hosts": [
            {"host": "box-0", "dial": box, "site": "a", "block": 0, "health": "up", "born_ms": 0},
        ]}  # fmt: skip
        config = Config(
            "d", ("127.0.0.1", 0), "127.0.0.1:1", 1, SETTINGS, names, None, [], parse_page(known, {})
        )
        daemon = Daemon(config, None)
        await daemon.start()
        gc.collect()
        gc.freeze()
        pipe.send(daemon.listeners.port(0))
        await daemon.stopping.wait()

    asyncio.run(main())


def _cpu_s(pid: int) -> float:
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@dataclass
class _Clocked:
    clock: Clock


@dataclass
class _Plain:
    """An attempt that no core knows of, for the client of boxes alone."""

    runtime: Any
    request_id: str
    stop_at_us: int
    node_id: str = "box-0"
    not_before_us: int = 0

    def may_write(self) -> None:
        """There is nobody to ask."""


Send = Callable[[int], Awaitable[bool]]


def _plain(client: NodeClient, clock: Clock) -> Send:
    """Straight to where client finds its node."""
    runtime = _Clocked(clock)

    async def send(number: int) -> bool:
        attempt: Any = _Plain(runtime, f"{number:016x}", clock.now_us() + 2_000_000)
        headers = {
            "X-Call-Id": attempt.request_id, "X-Call-Class": "c0", "X-Storage-Class": "p0",
            "X-Budget-Ms": "1500", "X-Extent": "volume=00000000000000aa,units=2,shard=0,hosts=1",
        }  # fmt: skip
        kind, _ = await client.exchange(attempt, "GET", "/api?key=00000000000000ab", headers, b"")
        return kind == "ok"

    return send


def _library(broker: Broker) -> Send:
    ask = RequestSpec("00000000000000aa", shard=0, units=2.0)

    async def send(number: int) -> bool:
        async def perform(attempt: Attempt) -> int:
            headers = {"X-Call-Id": f"{number:016x}", "X-Budget-Ms": "1500"}
            reply = await broker.nodes.request(attempt, "GET", "/api?key=00000000000000ab", headers)
            return reply.status

        return await broker.call(ask, perform) == 200

    return send


async def stretch(send: Send, rate: float, seconds: float, first: int) -> tuple[HdrHistogram, int]:
    """An open loop; latencies in microseconds from the intended times, and how many failed."""
    loop, tasks, seen = asyncio.get_running_loop(), [], HdrHistogram(1, 10_000_000, 3)
    begin, failed = loop.time() + 0.05, 0

    async def one(number: int, due: float) -> None:
        nonlocal failed
        try:
            good = await send(number)
        except Exception:
            good = False
        failed += not good
        seen.record_value(max(1, int((loop.time() - due) * 1e6)))

    for number in range(int(rate * seconds)):
        due = begin + number / rate
        if due > loop.time():
            await until(due)
        tasks.append(asyncio.create_task(one(first + number, due)))
    await asyncio.gather(*tasks)
    return seen, failed


async def compare(
    ports: tuple[int, int], daemon: int, rate: float, seconds: float, rounds: int
) -> dict[str, Any]:
    """Figures by way: medians over the rounds."""
    clock = Clock(asyncio.get_running_loop())
    limits = Limits.from_resources(512, 128)
    box, front = (f"127.0.0.1:{port}" for port in ports)
    clients = [NodeClient({"box-0": at}.get, CONNECT_US, IDLE_US, limits) for at in (box, front)]
    rows: dict[str, list[dict[str, float]]] = {way: [] for way in WAYS}
    failed = number = 0
    async with Broker(SETTINGS, [Node("box-0", 0, box)], seed=1) as broker:
        sends = (_plain(clients[0], clock), _library(broker), _plain(clients[1], clock))
        ways = dict(zip(WAYS, sends, strict=True))
        for send in ways.values():
            await stretch(send, rate, 0.5, number)
            number += int(rate)
        gc.collect()
        gc.freeze()
        for turn in range(rounds):
            order = [WAYS[(turn + place) % len(WAYS)] for place in range(len(WAYS))]
            for way in order:
                before = _cpu_s(os.getpid()) + _cpu_s(daemon)
                seen, lost = await stretch(ways[way], rate, seconds, number)
                spent = _cpu_s(os.getpid()) + _cpu_s(daemon) - before
                number += int(rate * seconds)
                failed += lost
                points = {f"p{at:g}": seen.get_value_at_percentile(at) for at in (50, 99, 99.9)}
                rows[way].append({**points, "cpu": 1e6 * spent / int(rate * seconds)})
    for client in clients:
        await client.close()
    figures: dict[str, Any] = {}
    for way, held in rows.items():
        figures[way] = {name: round(median(row[name] for row in held)) for name in FIGURES}
    return {"rate": rate, "failed": failed, **figures}


async def by_boxes(counts: tuple[int, ...] = (12, 100, 1_000), calls: int = 4_000) -> dict[int, float]:
    """CPU of a call, in microseconds, by the number of boxes on the list; the work itself is empty."""
    found: dict[int, list[float]] = {count: [] for count in counts}
    for _ in range(3):
        for count in counts:
            settings = replace(random_workloads.SETTINGS, shard_count=count)
            source = NodeList(Node(f"box-{n}", n) for n in range(count))

            async def empty(attempt: Attempt) -> None:
                pass

            async with Broker(settings, source, seed=1) as broker:
                asks = [RequestSpec(f"v{n % 40}", shard=n % count) for n in range(count)]
                for number in range(500):
                    await broker.call(asks[number % count], empty)
                before = _cpu_s(os.getpid())
                for number in range(calls):
                    await broker.call(asks[number % count], empty)
                found[count].append(1e6 * (_cpu_s(os.getpid()) - before) / calls)
    return {count: round(median(rows), 1) for count, rows in found.items()}


def main(arguments: list[str]) -> int:
    """Print the figures; 1 where requests failed."""
    given = docopt(__doc__ or "", arguments)
    context = multiprocessing.get_context("spawn")
    children: list[Any] = []
    ports: list[int] = []
    for target, more in ((_box, ()), (_daemon, ("127.0.0.1:{}",))):
        near, far = context.Pipe()
        filled = tuple(text.format(ports[0]) for text in more)
        child = context.Process(target=target, args=(far, *filled), daemon=True)
        child.start()
        children.append(child)
        ports.append(int(near.recv()))
    try:
        rate, seconds, rounds = float(given["--rate"]), float(given["--seconds"]), int(given["--rounds"])
        pid = children[1].pid or 0
        figures = asyncio.run(compare((ports[0], ports[1]), pid, rate, seconds, rounds))
        boxes = asyncio.run(by_boxes())
    finally:
        for child in children:
            child.terminate()
            child.join()
    if given["--json"]:
        print(json.dumps({**figures, "boxes": boxes}))
        return 1 if figures["failed"] else 0
    print(f"{'way':10}" + "".join(f"{name:>9}" for name in FIGURES) + "   microseconds a request")
    for way in WAYS:
        print(f"{way:10}" + "".join(f"{figures[way][name]:9}" for name in FIGURES))
    for name in FIGURES:
        base = figures["direct"][name]
        hop, own = figures["daemon"][name] - base, figures["library"][name] - base
        part = f": {own / hop:.2f} of it" if hop > 0 else ""
        print(f"{name}: the library adds {own} us, the daemon {hop} us{part}")
    print("CPU of a call without work, by boxes: " + ", ".join(f"{n}: {us} us" for n, us in boxes.items()))
    print(f"failed {figures['failed']}")
    return 1 if figures["failed"] else 0
