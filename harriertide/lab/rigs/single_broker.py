"""A platform for one broker: it holds the clients' socket, and has nodes, discovery and clients of its own.

Nodes, discovery and logs are those of `rig_nodes`, clients those of `rig_clients`.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from harriertide.engine.clock import until
from harriertide.lab.rigs import broker_settings
from harriertide.lab.rigs.clients import DEADLINE_MS, Clients
from harriertide.lab.rigs.fault_script import HOST, free_ports
from harriertide.lab.rigs.nodes import Node, RigLogs, StandInDiscovery

LIMIT, BURST = 40.0, 48.0  # units a second of the plan with a limit
COLD_UNITS, COLD_S, FALL_S = 24.0, 2.0, 1.0
LATENCY_OBJECTIVE_MS = 300
READY_S, END_S = 10.0, 8.0  # for a process to say yes, and to end
STEP_S = 0.01
STALL_CHECK_S = 0.02  # between looks whether the rig's own loop stands still
STALL_S = 0.1  # from which on that is written down: what nodes log has come up to so much earlier


def make_settings() -> dict[str, Any]:
    """The broker's settings: three shards, two plans."""
    plan = broker_settings.SETTINGS["plans"][0]
    kind = broker_settings.SETTINGS["classes"][0]
    return {
        **broker_settings.SETTINGS,
        "index": 0, "groupSize": 1,
        "classes": [{**kind, "sloUs": 1000 * LATENCY_OBJECTIVE_MS, "deadlineUs": 1000 * DEADLINE_MS}],
        "plans": [
            {**plan, "name": "free", "ceilingRate": 0.0, "mostAtOnce": 0.0},
            {**plan, "name": "capped", "ceilingRate": LIMIT, "mostAtOnce": BURST},
        ],
        "domain": {**broker_settings.SETTINGS["domain"], "nShards": 3, "youngLimit": COLD_UNITS},
        "safety": {
            "coldFrom": 0.2, "coldUs": int(COLD_S * 1e6), "fallUs": int(FALL_S * 1e6), "fallMultiple": 2.5,
        },
    }  # fmt: skip


@dataclass(frozen=True, slots=True)
class OperatorCall:
    """How an operator's call was answered. status 0: not at all."""

    status: int
    state: str
    took_s: float


async def call_operator(port: int, line: str) -> OperatorCall:
    """One call of an operator."""
    loop = asyncio.get_running_loop()
    begun, status, state = loop.time(), 0, ""
    with suppress(OSError, IndexError, ValueError, TimeoutError):
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(f"{line} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            text = (await reader.read()).decode()
            writer.transport.abort()
            status, state = int(text.split(" ")[1]), text.rpartition("\r\n")[2].strip()
    return OperatorCall(status, state, loop.time() - begun)


@dataclass
class BrokerProcess:
    """One process of the broker."""

    handle: asyncio.subprocess.Process
    operator: int  # the port of its operators' address
    killed: bool = False

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.handle.returncode is None

    def kill(self) -> None:
        """SIGKILL."""
        self.killed = True
        if self.is_running:
            self.handle.kill()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.is_running:
            self.handle.send_signal(number)


@dataclass
class SingleBrokerRig:
    """Everything around one broker."""

    folder: Path
    random: Random
    logs: RigLogs = field(init=False)
    processes: list[BrokerProcess] = field(default_factory=list)

    async def start(self) -> None:
        """Bring up all but the broker."""
        self.logs = RigLogs(self.folder)
        self.listener = socket.create_server((HOST, 0), backlog=512)
        self.address = self.listener.getsockname()
        self.nodes = [Node(f"s{shard}", shard, self.logs) for shard in range(3)]
        for node in self.nodes:
            await node.start()
        self.discovery = StandInDiscovery(self.nodes, self.logs)
        await self.discovery.start()
        self.peer_port = free_ports(1, socket.SOCK_DGRAM)[0]
        self.clients = Clients(self.address, self.random, self.logs)
        (self.folder / "tmp").mkdir(exist_ok=True)
        self._watch = asyncio.create_task(self._watch_stalls())

    async def _watch_stalls(self) -> None:
        """Write down when the rig itself stood still: a judge's times are those at which it reads."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + STALL_CHECK_S
            await until(due)
            if loop.time() > due + STALL_S:
                self.logs.write("platform", "stalled", took_s=loop.time() - due)

    @staticmethod
    def unix_us() -> int:
        """The wall's clock."""
        return time.time_ns() // 1000

    async def launch(
        self,
        change_config: Callable[[dict[str, Any]], None] = lambda config: None,
        program: str = "harriertide",
    ) -> BrokerProcess:
        """Start a process of the broker, which inherits the clients' socket."""
        operator, number = free_ports(1)[0], len(self.processes)
        config = {
            "name": "n0", "listen": f"{HOST}:{self.address[1]}", "discovery": self.discovery.address,
            "peer_listen": f"{HOST}:{self.peer_port}", "peers": [f"{HOST}:{self.peer_port}"],
            "known": self.discovery.full_list(), "seed": f"{number + 1:x}", "settings": make_settings(),
            "operator": f"{HOST}:{operator}", "limits": {"memory_mb": 128, "sockets": 512},
        }  # fmt: skip
        change_config(config)
        path = self.folder / f"config-{number}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        environment = {
            "LB_CONFIG": str(path), "LB_INHERITED_FD": str(self.listener.fileno()),
            "TMPDIR": str(self.folder / "tmp"), "PYTHONPATH": ":".join(sys.path),
        }  # fmt: skip
        with (self.folder / f"broker-{number}.log").open("wb") as said:
            handle = await asyncio.create_subprocess_exec(
                sys.executable, "-m", program, env=environment, stderr=said,
                pass_fds=[self.listener.fileno()],
            )  # fmt: skip
        process = BrokerProcess(handle, operator)
        self.processes.append(process)
        return process

    async def wait_ready(self, process: BrokerProcess) -> float:
        """Until a process says yes: how long that took, or -1 where it ended before."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        while process.is_running and loop.time() < begun + READY_S:
            if (await call_operator(process.operator, "GET /api/ready")).status == 200:
                return loop.time() - begun
            await until(loop.time() + STEP_S)
        return -1.0

    async def wait_ended(self, process: BrokerProcess) -> bool:
        """Whether a process that was told to end does, within its time."""
        with suppress(TimeoutError):
            async with asyncio.timeout(END_S):
                await process.handle.wait()
        return not process.is_running

    async def close(self) -> None:
        """End what was started, and nothing else."""
        self._watch.cancel()
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.kill()
            await process.handle.wait()
        for server in (self.discovery.server, *(node.server for node in self.nodes)):
            if server is not None:
                server.close()
        self.listener.close()
        self.logs.close()
