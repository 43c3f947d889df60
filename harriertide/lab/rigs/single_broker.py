"""A platform for one broker: it holds the clients' socket, and has nodes, discovery and clients of its own.

Nodes, discovery and logs are those of `nodes`, clients those of `clients`.
"""

from __future__ import annotations

import asyncio
import json
import shlex
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

from harriertide.engine.clock import sleep_until
from harriertide.lab.rigs import broker_settings
from harriertide.lab.rigs.clients import DEADLINE_MS, Clients
from harriertide.lab.rigs.fault_script import HOST, free_ports
from harriertide.lab.rigs.nodes import Node, RigLogs, StandInDiscovery

LIMIT = 40.0  # units a second of the plan with a limit
BURST = 48.0  # units of that plan at once
COLD_UNITS = 24.0  # slow-start budget of a node
COLD_S = 2.0  # slow start of a node that has restarted
FALL_S = 1.0  # the window in which a warming node that gets too much collapses
COLD_INITIAL_RATIO = 0.2  # of its capacity that a node has at its start
COLLAPSE_LOAD_RATIO = 2.5
KEY_QUIET_S = 0.2
LATENCY_OBJECTIVE_MS = 300
READY_TIMEOUT_S = 10.0  # for a process to get ready
END_TIMEOUT_S = 8.0  # for a process that was stopped to end
READY_POLL_S = 0.01
OPERATOR_TIMEOUT_S = 5.0
LISTEN_BACKLOG = 512
STALL_CHECK_S = 0.02  # between checks whether the rig's own loop is stalled
STALL_S = 0.1  # from which on that is logged: what nodes log may have come so much earlier


def make_settings() -> dict[str, Any]:
    """The broker's settings: three shards, two plans."""
    plan = broker_settings.SETTINGS["plans"][0]
    request_class = broker_settings.SETTINGS["classes"][0]
    return {
        **broker_settings.SETTINGS,
        "index": 0, "groupSize": 1,
        "classes": [
            {**request_class, "sloUs": 1000 * LATENCY_OBJECTIVE_MS, "deadlineUs": 1000 * DEADLINE_MS},
            {
                **request_class, "name": "append", "effect": "at_most_once",
                "sloUs": 1000 * LATENCY_OBJECTIVE_MS, "deadlineUs": 1000 * DEADLINE_MS,
            },
            {
                **request_class, "name": "store", "inOrder": True,
                "sloUs": 1000 * LATENCY_OBJECTIVE_MS, "deadlineUs": 1000 * DEADLINE_MS,
            },
        ],
        "plans": [
            {**plan, "name": "free", "ceilingRate": 0.0, "mostAtOnce": 0.0},
            {**plan, "name": "capped", "ceilingRate": LIMIT, "mostAtOnce": BURST},
        ],
        "domain": {**broker_settings.SETTINGS["domain"], "nShards": 3, "youngLimit": COLD_UNITS},
        "safety": {
            "coldFrom": COLD_INITIAL_RATIO, "coldUs": int(COLD_S * 1e6),
            "fallUs": int(FALL_S * 1e6), "fallMultiple": COLLAPSE_LOAD_RATIO,
            "keyQuietUs": int(KEY_QUIET_S * 1e6),
        },
    }  # fmt: skip


def broker_command(program: str = "harriertide") -> str:
    """The shell command that starts a broker's process, as `run` of the deploy file does.

    :param program: the module that is the broker
    """
    return f"trap '' HUP; exec {shlex.quote(sys.executable)} -m {program}"


@dataclass(frozen=True, slots=True)
class OperatorCall:
    """How an operator's call was answered.

    :ivar status: 0: not at all
    :ivar state: the body
    """

    status: int
    state: str
    took_s: float


async def call_operator(port: int, request: str) -> OperatorCall:
    """Make one call at an operators' address.

    :param request: method and path
    """
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    status = 0
    state = ""
    with suppress(OSError, IndexError, ValueError, TimeoutError):
        async with asyncio.timeout(OPERATOR_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(f"{request} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            text = (await reader.read()).decode()
            writer.transport.abort()
            status = int(text.split(" ")[1])
            state = text.rpartition("\r\n")[2].strip()
    return OperatorCall(status, state, loop.time() - begun_s)


@dataclass
class BrokerProcess:
    """One process of the broker."""

    handle: asyncio.subprocess.Process
    operator_port: int

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.handle.returncode is None

    def kill(self) -> None:
        """Send SIGKILL."""
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
        """Start everything but the broker."""
        self.logs = RigLogs(self.folder)
        self.listener = socket.create_server((HOST, 0), backlog=LISTEN_BACKLOG)
        self.address = self.listener.getsockname()
        self.nodes = [Node(f"s{shard}", shard, self.logs) for shard in range(3)]
        for node in self.nodes:
            await node.start()
        self.discovery = StandInDiscovery(self.nodes, self.logs)
        await self.discovery.start()
        self.peer_port = free_ports(1, socket.SOCK_DGRAM)[0]
        self.clients = Clients(self.address, self.random, self.logs)
        (self.folder / "tmp").mkdir(exist_ok=True)
        self._stall_watch = asyncio.create_task(self._watch_stalls())

    async def _watch_stalls(self) -> None:
        """Log when the rig itself was stalled: the times in its logs are those at which it read."""
        loop = asyncio.get_running_loop()
        while True:
            check_at_s = loop.time() + STALL_CHECK_S
            await sleep_until(check_at_s)
            late_s = loop.time() - check_at_s
            if late_s > STALL_S:
                self.logs.write("platform", "stalled", took_s=late_s)

    @staticmethod
    def unix_us() -> int:
        """The wall clock."""
        return time.time_ns() // 1000

    async def launch(
        self,
        change_config: Callable[[dict[str, Any]], None] = lambda config: None,
        program: str = "harriertide",
    ) -> BrokerProcess:
        """Start a process of the broker, which inherits the clients' socket.

        :param change_config: changes the configuration that the process will read
        :param program: the module that is the broker
        """
        operator_port = free_ports(1)[0]
        number = len(self.processes)
        config = {
            "name": "n0", "listen": f"{HOST}:{self.address[1]}", "discovery": self.discovery.address,
            "peer_listen": f"{HOST}:{self.peer_port}", "peers": [f"{HOST}:{self.peer_port}"],
            "known": self.discovery.full_list(), "seed": f"{number + 1:x}", "settings": make_settings(),
            "operator": f"{HOST}:{operator_port}", "limits": {"memory_mb": 128, "sockets": 512},
        }  # fmt: skip
        change_config(config)
        path = self.folder / f"config-{number}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        environment = {
            "LB_CONFIG": str(path), "LB_INHERITED_FD": str(self.listener.fileno()),
            "TMPDIR": str(self.folder / "tmp"), "PYTHONPATH": ":".join(sys.path),
        }  # fmt: skip
        with (self.folder / f"broker-{number}.log").open("wb") as log_file:
            handle = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", broker_command(program), env=environment, stderr=log_file,
                pass_fds=[self.listener.fileno()],
            )  # fmt: skip
        process = BrokerProcess(handle, operator_port)
        self.processes.append(process)
        return process

    async def wait_ready(self, process: BrokerProcess) -> float:
        """Wait until a process is ready; seconds that it took, or -1 where it ended before."""
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        while process.is_running and loop.time() < begun_s + READY_TIMEOUT_S:
            if (await call_operator(process.operator_port, "GET /api/ready")).status == 200:
                return loop.time() - begun_s
            await sleep_until(loop.time() + READY_POLL_S)
        return -1.0

    async def wait_ended(self, process: BrokerProcess) -> bool:
        """Wait for a process that was stopped; whether it has ended in time."""
        with suppress(TimeoutError):
            async with asyncio.timeout(END_TIMEOUT_S):
                await process.handle.wait()
        return not process.is_running

    async def close(self) -> None:
        """End what was started, and nothing else."""
        self._stall_watch.cancel()
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.kill()
            await process.handle.wait()
        for server in (self.discovery.server, *(node.server for node in self.nodes)):
            if server is not None:
                server.close()
        self.listener.close()
        self.logs.close()
