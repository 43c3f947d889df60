"""The ways of a request that `bench-library` compares: their processes, and how each sends one request."""

from __future__ import annotations

import asyncio
import gc
import multiprocessing
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from multiprocessing.connection import Connection
from multiprocessing.context import SpawnProcess
from typing import Any

from harriertide.cli.daemon import Daemon
from harriertide.decide.settings import Names
from harriertide.engine.clock import Clock
from harriertide.http.node_client import NodeClient
from harriertide.lab.simulation import random_workloads
from harriertide.lab.simulation.stand_in_nodes import StandInNode
from harriertide.library import Attempt, Broker, RequestSpec
from harriertide.platform.configuration import Config
from harriertide.platform.endpoint_page import parse_page

SETTINGS = replace(random_workloads.SETTINGS, shard_count=1)
NODE_ID = "box-0"
VOLUME = "00000000000000aa"
TARGET = "/api?key=00000000000000ab"
REQUEST_UNITS = 2.0
TIME_LIMIT_MS = "1500"
ATTEMPT_TIMEOUT_US = 2_000_000  # of attempts that no core bounds
CONNECT_TIMEOUT_US = 250_000
IDLE_TIMEOUT_US = 15_000_000
NODE_SPEED_RATIO = 1e6  # the node takes no time of its own

SendRequest = Callable[[int], Awaitable[bool]]  # takes the number of the request; whether it was served


def run_node(pipe: Connection) -> None:
    """Run a node that answers as fast as it can; its port goes through the pipe."""

    async def serve() -> None:
        node = StandInNode(NODE_ID, 0, 1, speed_ratio=NODE_SPEED_RATIO)
        server = await asyncio.start_server(node.serve_connection, "127.0.0.1", 0)
        pipe.send(server.sockets[0].getsockname()[1])
        async with server:
            await server.serve_forever()

    asyncio.run(serve())


def run_daemon(pipe: Connection, node_address: str) -> None:
    """Run the platform's front before that node; its port goes through the pipe."""

    async def serve() -> None:
        names = Names({"c0": 0, "c1": 1}, {"p0": 0, "p1": 1}, {}, CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US)
        host = {"host": NODE_ID, "dial": node_address, "site": "a", "block": 0, "health": "up", "born_ms": 0}
        page = parse_page({"seq": 0, "whole": True, "hosts": [host]}, {})
        config = Config("d", ("127.0.0.1", 0), "127.0.0.1:1", 1, SETTINGS, names, None, [], page)
        daemon = Daemon(config, None)
        await daemon.start()
        freeze_garbage()
        pipe.send(daemon.listeners.port(0))
        await daemon.stopping.wait()

    asyncio.run(serve())


@contextmanager
def child_process(target: Callable[..., None], *arguments: str) -> Iterator[tuple[SpawnProcess, int]]:
    """Start a process that sends its port; the process and the port. It is ended behind the block."""
    context = multiprocessing.get_context("spawn")
    own_end, child_end = context.Pipe()
    process = context.Process(target=target, args=(child_end, *arguments), daemon=True)
    process.start()
    try:
        yield process, int(own_end.recv())
    finally:
        process.terminate()
        process.join()
        own_end.close()


def freeze_garbage() -> None:
    """Keep collections of what was imported out of the figures."""
    gc.collect()
    gc.freeze()


@dataclass
class _ClockOnly:
    """What an attempt without a core needs of a runtime."""

    clock: Clock


@dataclass
class _AttemptWithoutCore:
    """An attempt that no core knows of, for the client of nodes alone."""

    runtime: _ClockOnly
    request_id: str
    stop_at_us: int
    node_id: str = NODE_ID
    not_before_us: int = 0

    def may_write(self) -> None:
        """There is no core that could refuse."""


def make_client_sender(client: NodeClient, clock: Clock) -> SendRequest:
    """Send straight to the address at which the client finds its node: a node or a daemon."""
    runtime = _ClockOnly(clock)

    async def send(number: int) -> bool:
        attempt: Any = _AttemptWithoutCore(runtime, f"{number:016x}", clock.now_us() + ATTEMPT_TIMEOUT_US)
        headers = {
            "X-Call-Id": attempt.request_id,
            "X-Call-Class": "c0",
            "X-Storage-Class": "p0",
            "X-Budget-Ms": TIME_LIMIT_MS,
            "X-Extent": f"volume={VOLUME},units={REQUEST_UNITS:g},shard=0,hosts=1",
        }
        outcome, _ = await client.exchange(attempt, "GET", TARGET, headers, b"")
        return outcome == "ok"

    return send


def make_library_sender(broker: Broker) -> SendRequest:
    """Send through a broker of the library."""
    spec = RequestSpec(VOLUME, shard=0, units=REQUEST_UNITS)

    async def send(number: int) -> bool:
        async def perform(attempt: Attempt) -> int:
            headers = {"X-Call-Id": f"{number:016x}", "X-Budget-Ms": TIME_LIMIT_MS}
            response = await broker.nodes.request(attempt, "GET", TARGET, headers)
            return response.status

        return await broker.call(spec, perform) == 200

    return send
