"""A platform for one broker: it holds the clients' socket, and has nodes, discovery and clients of its own.

All that happens is written to logs as it happens: clients.log, nodes.log and platform.log, one JSON object a
line. What judges reads these files and nothing else.
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
from typing import IO, Any

from harriertide.engine.clock import until
from harriertide.lab import processes
from harriertide.lab.script import HOST, ports

LIMIT, BURST = 40.0, 48.0  # units a second of the plan with a limit
COLD_UNITS, COLD_S, FALL_S = 24.0, 2.0, 1.0
AIM_MS, DEADLINE_MS = 300, 1500
SERVICE_S = 0.008
LONG_BYTES = 4 << 20
READY_S, END_S = 10.0, 8.0  # for a process to say yes, and to end
STEP_S = 0.01
PLANS = ("free", "capped")


def settings() -> dict[str, Any]:
    """The broker's settings: three shards, two plans."""
    plan = processes.SETTINGS["plans"][0]
    kind = processes.SETTINGS["classes"][0]
    return {
        **processes.SETTINGS,
        "index": 0, "groupSize": 1,
        "classes": [{**kind, "sloUs": 1000 * AIM_MS, "deadlineUs": 1000 * DEADLINE_MS}],
        "plans": [
            {**plan, "name": "free", "ceilingRate": 0.0, "mostAtOnce": 0.0},
            {**plan, "name": "capped", "ceilingRate": LIMIT, "mostAtOnce": BURST},
        ],
        "domain": {**processes.SETTINGS["domain"], "nShards": 3, "youngLimit": COLD_UNITS},
        "safety": {
            "coldFrom": 0.2, "coldUs": int(COLD_S * 1e6), "fallUs": int(FALL_S * 1e6), "fallMultiple": 2.5,
        },
    }  # fmt: skip


class Logs:
    """What happened, by file."""

    def __init__(self, folder: Path) -> None:
        self._files: dict[str, IO[str]] = {}
        for name in ("clients", "nodes", "platform"):
            self._files[name] = (folder / f"{name}.log").open("w", encoding="utf-8")
        self._begun = asyncio.get_running_loop().time()

    def write(self, name: str, event: str, **row: Any) -> None:
        """A line of a log, with its time."""
        row = {"at_s": round(asyncio.get_running_loop().time() - self._begun, 6), "event": event, **row}
        self._files[name].write(json.dumps(row) + "\n")

    def close(self) -> None:
        """All is written."""
        for file in self._files.values():
            file.close()


# --- nodes and discovery -------------------------------------------------------------------------


@dataclass
class Node:
    """A storage node with one shard."""

    name: str
    shard: int
    logs: Logs
    started_us: int = 0
    health: str = "up"
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)

    def entry(self) -> dict[str, Any]:
        """As discovery's list has it."""
        assert self.server is not None
        port = self.server.sockets[0].getsockname()[1]
        return {
            "host": self.name, "dial": f"{HOST}:{port}", "block": self.shard, "health": self.health,
            "born_ms": self.started_us // 1000,
        }  # fmt: skip

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(row.lower().split(": ", 1) for row in head.split("\r\n")[1:-2])
                await reader.readexactly(int(fields.get("content-length", 0)))
                await self._answer(fields, writer)
        writer.transport.abort()

    async def _answer(self, fields: dict[str, str], writer: asyncio.StreamWriter) -> None:
        request, extent = fields["x-call-id"], fields["x-extent"]
        units = float(extent.partition("units=")[2].partition(",")[0])
        row = {"request": request, "node": self.name}
        plan = fields["x-storage-class"]
        self.logs.write("nodes", "came", **row, units=units, plan=plan, health=self.health)
        await until(asyncio.get_running_loop().time() + SERVICE_S)
        self.logs.write("nodes", "answered", **row)
        size = LONG_BYTES if "x-long" in fields else 2
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(max(1, size // 65_536)):
            writer.write(b"k" * min(size, 65_536))
            await writer.drain()


class Discovery:
    """Pushes the list; while it is dark it hangs up on all."""

    def __init__(self, nodes: list[Node], logs: Logs) -> None:
        self._nodes, self._logs, self._seq = nodes, logs, 1
        self._watches: set[asyncio.StreamWriter] = set()
        self.dark = False

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)

    @property
    def address(self) -> str:
        """Where."""
        return f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def whole(self) -> dict[str, Any]:
        """The list by now."""
        return {"seq": self._seq, "whole": True, "hosts": [node.entry() for node in self._nodes]}

    def change(self) -> None:
        """Tell all watches."""
        self._seq += 1
        for node in self._nodes:
            row = {"node": node.name, "health": node.health, "started_us": node.started_us}
            self._logs.write("platform", "listed", **row)
        for watch in list(self._watches):
            self._tell(watch)

    def go_dark(self, dark: bool) -> None:
        """Away, or back."""
        self.dark = dark
        for watch in list(self._watches) if dark else ():
            watch.transport.abort()

    def _tell(self, watch: asyncio.StreamWriter) -> None:
        self._chunk(watch, json.dumps(self.whole()).encode() + b"\n")

    @staticmethod
    def _chunk(watch: asyncio.StreamWriter, data: bytes) -> None:
        if not watch.is_closing():
            watch.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            if not self.dark:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._watches.add(writer)
                self._tell(writer)
                while not writer.is_closing():
                    await until(asyncio.get_running_loop().time() + 1.0)
                    self._chunk(writer, b"\n")
        self._watches.discard(writer)
        writer.transport.abort()


# --- clients -------------------------------------------------------------------------------------


class Ended(Exception):  # noqa: N818
    """A connection ended. begun: some of an answer had come."""

    def __init__(self, begun: bool) -> None:
        super().__init__()
        self.begun = begun


@dataclass(eq=False)
class Connection:
    """A client's connection, kept between requests."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used: bool = False

    async def ask(self, request: bytes) -> tuple[int, bool]:
        """One request: the status of its whole answer, and whether the connection is kept."""
        begun = False
        try:
            self.writer.write(request)
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
            begun = True
            size = int(head.partition("content-length: ")[2].partition("\r\n")[0])
            while size > 0:
                part = await self.reader.read(min(size, 1 << 18))
                if not part:
                    raise Ended(begun)
                size -= len(part)
        except (ConnectionError, asyncio.IncompleteReadError):
            raise Ended(begun) from None
        self.used = True
        return int(head.split(" ", 2)[1]), "connection: close" not in head


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a client asks for."""

    key: int
    plan: str
    units: int
    shard: int
    long: bool

    def request_id(self, attempt: int) -> str:
        """A repeat is a request of its own: a process that was killed may have sent on the first."""
        return f"r{self.key}" if attempt == 0 else f"r{self.key}-repeat"

    def encode(self, attempt: int) -> bytes:
        """The request's bytes."""
        long = "X-Long: 1\r\n" if self.long else ""
        return (
            f"GET /api?key={self.key:016x} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {self.request_id(attempt)}\r\n"
            f"X-Call-Class: read\r\nX-Storage-Class: {self.plan}\r\n"
            f"X-Budget-Ms: {DEADLINE_MS}\r\n{long}"
            f"X-Extent: volume={7:016x},units={self.units},shard={self.shard},hosts=1\r\n\r\n"
        ).encode()


class Clients:
    """Open-loop clients that keep connections, as many as they need."""

    def __init__(self, address: tuple[str, int], random: Random, logs: Logs) -> None:
        self._address, self._random, self._logs = address, random, logs
        self.idle: list[Connection] = []
        self.made = 0
        self.rate = 120.0  # requests a second
        self.long_part = 0.02
        self.sent_here = True  # the front sends new connections; else only kept ones are used
        self.at_work: dict[Connection, float] = {}  # since when
        self._tasks: set[asyncio.Task[None]] = set()

    async def offer(self, stop: asyncio.Event) -> None:
        """Ask, until told to stop; then wait for all answers."""
        loop = asyncio.get_running_loop()
        while not stop.is_set():
            await until(loop.time() + self._random.expovariate(self.rate))
            if not (self.sent_here or self.idle):
                continue  # the front sends it to another broker
            task = loop.create_task(self._one())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)
        for connection in self.idle:
            connection.writer.transport.abort()

    def _draw(self) -> Wanted:
        self.made += 1
        random = self._random
        return Wanted(
            key=self.made,
            plan=random.choice(PLANS),
            units=random.randint(1, 3),
            shard=random.randrange(3),
            long=random.random() < self.long_part,
        )

    async def _one(self) -> None:
        """Ask; once more on a new connection, where a kept one was closed before an answer began."""
        wanted = self._draw()
        self.idle = [each for each in self.idle if not each.reader.at_eof()]
        if not self.idle:
            await self._attempt(wanted, 0, None)
        elif not await self._attempt(wanted, 0, self.idle.pop()):
            await self._attempt(wanted, 1, None)

    async def _attempt(self, wanted: Wanted, attempt: int, kept: Connection | None) -> bool:
        """Ask on a kept connection, or on a new one; False where the kept one was closed first."""
        request = wanted.request_id(attempt)
        self._logs.write("clients", "asked", request=request)
        connection = kept
        try:
            connection = kept or await self._connect()
            self.at_work[connection] = asyncio.get_running_loop().time()
            async with asyncio.timeout(END_S):
                status, keep = await connection.ask(wanted.encode(attempt))
        except Ended as end:
            if kept is not None and not end.begun:
                self._logs.write("clients", "crossed", request=request)
                return False
            self._logs.write("clients", "ended", request=request, begun=end.begun)
            return True
        except (OSError, TimeoutError):
            self._logs.write("clients", "ended", request=request, begun=False)
            return True
        finally:
            if connection is not None:
                self.at_work.pop(connection, None)
        self._logs.write("clients", "told", request=request, status=status)
        if keep:
            self.idle.append(connection)
        else:
            connection.writer.close()
        return True

    def still_open(self, late_s: float) -> tuple[int, int]:
        """Connections that rest and were not ended, and those that carry a request younger than that."""
        now = asyncio.get_running_loop().time()
        resting = sum(not connection.reader.at_eof() for connection in self.idle)
        return resting, sum(now - since < late_s for since in self.at_work.values())

    async def _connect(self) -> Connection:
        return Connection(*await asyncio.open_connection(*self._address))


# --- processes of the broker ---------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Called:
    """How an operator's call was answered. status 0: not at all."""

    status: int
    state: str
    took_s: float


async def call(port: int, line: str) -> Called:
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
    return Called(status, state, loop.time() - begun)


@dataclass
class Process:
    """One process of the broker."""

    handle: asyncio.subprocess.Process
    operator: int  # the port of its operators' address
    killed: bool = False

    @property
    def lives(self) -> bool:
        """Whether it has not ended."""
        return self.handle.returncode is None

    def kill(self) -> None:
        """SIGKILL."""
        self.killed = True
        if self.lives:
            self.handle.kill()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.lives:
            self.handle.send_signal(number)


@dataclass
class World:
    """Everything around one broker."""

    folder: Path
    random: Random
    logs: Logs = field(init=False)
    processes: list[Process] = field(default_factory=list)

    async def start(self) -> None:
        """Bring up all but the broker."""
        self.logs = Logs(self.folder)
        self.door = socket.create_server((HOST, 0), backlog=512)
        self.address = self.door.getsockname()
        self.nodes = [Node(f"s{shard}", shard, self.logs) for shard in range(3)]
        for node in self.nodes:
            await node.start()
        self.discovery = Discovery(self.nodes, self.logs)
        await self.discovery.start()
        self.peer_port = ports(1, socket.SOCK_DGRAM)[0]
        self.clients = Clients(self.address, self.random, self.logs)
        (self.folder / "tmp").mkdir(exist_ok=True)

    @staticmethod
    def unix_us() -> int:
        """The wall's clock."""
        return time.time_ns() // 1000

    async def launch(self, spoil: Callable[[dict[str, Any]], None] = lambda config: None) -> Process:
        """Start a process of the broker, the clients' socket as its descriptor 5."""
        operator, number = ports(1)[0], len(self.processes)
        config = {
            "name": "n0", "listen": f"{HOST}:{self.address[1]}", "discovery": self.discovery.address,
            "peer_listen": f"{HOST}:{self.peer_port}", "peers": [f"{HOST}:{self.peer_port}"],
            "known": self.discovery.whole(), "seed": f"{number + 1:x}", "settings": settings(),
            "operator": f"{HOST}:{operator}", "limits": {"memory_mb": 128, "sockets": 512},
        }  # fmt: skip
        spoil(config)
        path = self.folder / f"config-{number}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        environment = {
            "LB_CONFIG": str(path), "LB_INHERITED_FD": str(self.door.fileno()),
            "TMPDIR": str(self.folder / "tmp"), "PYTHONPATH": ":".join(sys.path),
        }  # fmt: skip
        with (self.folder / f"broker-{number}.log").open("wb") as said:
            handle = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "harriertide", env=environment, stderr=said,
                pass_fds=[self.door.fileno()],
            )  # fmt: skip
        process = Process(handle, operator)
        self.processes.append(process)
        return process

    async def ready(self, process: Process) -> float:
        """Until a process says yes: how long that took, or -1 where it ended before."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        while process.lives and loop.time() < begun + READY_S:
            if (await call(process.operator, "GET /api/ready")).status == 200:
                return loop.time() - begun
            await until(loop.time() + STEP_S)
        return -1.0

    async def ended(self, process: Process) -> bool:
        """Whether a process that was told to end does, within its time."""
        with suppress(TimeoutError):
            async with asyncio.timeout(END_S):
                await process.handle.wait()
        return not process.lives

    async def close(self) -> None:
        """End what was started, and nothing else."""
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.kill()
            await process.handle.wait()
        for server in (self.discovery.server, *(node.server for node in self.nodes)):
            if server is not None:
                server.close()
        self.door.close()
        self.logs.close()
