"""Real broker processes with disks, and a relay on every link between them, under faults of one seed.

Frames may be lost, late, doubled, put behind the next or dribbled byte by byte, and a link may be cut one
way, reset, or taken and not read. Processes are killed, stopped, continued, ended and started again, with
their disk or with an empty one; disks get slow, full or refuse; wall clocks jump. Storage nodes stand in this
process and write down what comes to them. All times are of the machine's one monotonic clock. The rig judges
nothing: `checkers/maintenance_checker` does.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import IO, Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from harriertide.decide.settings import SettingsError
from harriertide.engine.clock import sleep_until
from harriertide.lab.rigs.fault_player import FaultPlayer
from harriertide.lab.rigs.fault_script import HOST, free_ports
from harriertide.lab.rigs.frame_relay import FrameFaults, FrameRelay
from harriertide.lab.rigs.object_node import ObjectNode

READY_S = 15.0
RESTART_S = 0.2  # until a broker that ended in order is started again, as an init system does


class Rig:
    """Brokers b1 to bN with folders of their own, nodes x1 to xM, relays, and logs.

    :param folder: of configurations, disks and logs
    :param voters: how many of the brokers; 0: all
    :param labels: rows of the operator's file, by node
    :param service_s: how long a node takes
    :param direct: without relays
    """

    def __init__(
        self,
        folder: Path,
        brokers: int,
        nodes: int,
        seed: int,
        lease_ms: int = 1_000,
        cold_s: int = 0,
        blind_s: int = 0,
        voters: int = 0,
        labels: dict[str, str] | None = None,
        service_s: float = 0.005,
        direct: bool = False,
    ) -> None:
        self.folder = folder
        self.number = brokers
        self.random = Random(seed)
        self.names = [f"b{place + 1}" for place in range(brokers)]
        self.nodes = [ObjectNode(f"x{place + 1}", service_s, self._on_node_request) for place in range(nodes)]
        free = free_ports(3 * brokers)
        self.ports = free[:brokers]
        self.fronts = free[brokers : 2 * brokers]
        self.admins = free[2 * brokers :]
        self.frame_faults = FrameFaults(self.random)
        self.links = {
            (a, b): FrameRelay(self.frame_faults, self.ports[b])
            for a in range(brokers)
            for b in range(brokers)
            if a != b
        }
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.stopped: set[int] = set()
        self._voters = voters or brokers
        self._labels = labels or {}
        self._direct = direct
        self._settings = {"lease_ms": lease_ms, "cold_s": cold_s, "blind_s": blind_s}
        self._logs: dict[str, IO[str]] = {}
        self._stderr: list[IO[bytes]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._is_ending = False
        self.faults = FaultPlayer(self)

    def _on_node_request(self, node: str, method: str, path: str) -> None:
        self.write("boxes", event="came", box=node, what=method, path=path)

    def write(self, name: str, **row: Any) -> None:
        """A line of a log, with its time."""
        if name not in self._logs:
            self._logs[name] = (self.folder / f"{name}.log").open("a", encoding="utf-8")
        self._logs[name].write(json.dumps({**row, "at": round(time.monotonic(), 6)}) + "\n")
        self._logs[name].flush()

    async def start(self, wait: bool = True) -> None:
        """Bring everything up."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for node in self.nodes:
            await node.open()
        for link in self.links.values():
            await link.open()
        for place in range(self.number):
            self._write_file(place)
        await asyncio.gather(*(self.launch(place, wait) for place in range(self.number)))

    def _write_file(self, place: int) -> None:
        """The operator's file of a broker."""
        name = self.names[place]
        rows = [
            f'listen = "{HOST}:{self.fronts[place]}"',
            f'admin = "{HOST}:{self.admins[place]}"',
            f'catalogue = "{self.folder / name}.sqlite3"',
            "[grades.g]",
            "reserve = 1",
            "[volumes.v]",
            'grade = "g"',
            "[limits]",
            "write_deadline_ms = 2000",
            "read_deadline_ms = 2000",
            "bulk_deadline_ms = 2000",
            "bulk_aim_ms = 1000",
            "[maintenance]",
            f'name = "{name}"',
            f'folder = "{self.folder / name}"',
            f'events = "{self.folder / name}.events"',
        ]
        rows += [f"{key} = {value}" for key, value in self._settings.items()]
        for number, other in enumerate(self.names):
            is_direct = number == place or self._direct
            port = self.ports[number] if is_direct else self.links[place, number].port
            voter = "yes" if number < self._voters else "no"
            rows += [f"[maintenance.brokers.{other}]", f'address = "{HOST}:{port}"', f'voter = "{voter}"']
        for shard, node in enumerate(self.nodes):
            rows += [f"[boxes.{node.name}]", f'address = "{HOST}:{node.port}"', f"shard = {shard}"]
            if node.name in self._labels:
                rows += [f"[maintenance.labels.{node.name}]", self._labels[node.name]]
        (self.folder / f"{name}.toml").write_text("\n".join(rows) + "\n", encoding="utf-8")

    async def launch(self, place: int, wait: bool = True) -> None:
        """Start a broker; wait until its admin address answers."""
        name = self.names[place]
        stderr = (self.folder / f"{name}.err").open("ab")
        self._stderr.append(stderr)
        words = [
            sys.executable, "-m", "harriertide.lab.rigs.faulty_broker", str(self.folder / f"{name}.toml"),
            str(self.folder / f"{name}.faults"),
        ]  # fmt: skip
        environment = {"PYTHONPATH": ":".join(sys.path)}
        self.processes[place] = await asyncio.create_subprocess_exec(*words, env=environment, stderr=stderr)
        self._tasks.append(asyncio.ensure_future(self._supervise(place, self.processes[place])))
        end = time.monotonic() + READY_S
        while wait:
            answer = await self.ask(place, "GET", "/state", within_s=1.0)
            if answer[0] == 200:
                return
            if time.monotonic() > end or self.processes[place].returncode is not None:
                if self._is_ending or place in self.stopped:
                    return
                raise SettingsError(f"broker {name} did not get ready; see {stderr.name}")
            await sleep_until(asyncio.get_running_loop().time() + 0.05)

    async def _supervise(self, place: int, process: asyncio.subprocess.Process) -> None:
        """Start a process again that ended in order by itself (its turn of maintenance)."""
        code = await process.wait()
        self.write("rig", event="ended", broker=self.names[place], code=code)
        if (
            code == 0
            and not self._is_ending
            and self.processes.get(place) is process
            and place not in self.stopped
        ):
            await sleep_until(asyncio.get_running_loop().time() + RESTART_S)
            await self.launch(place, wait=False)

    async def ask(
        self, place: int, method: str, path: str, body: object = None, within_s: float = 8.0
    ) -> tuple[int, dict[str, Any]]:
        """A call of an operator's; 0 where there is no answer."""
        url = f"http://{HOST}:{self.admins[place]}{path}"
        try:
            async with (
                ClientSession(timeout=ClientTimeout(total=within_s), trust_env=False) as session,
                session.request(method, url, json=body) as response,
            ):
                return response.status, await response.json()
        except (ClientError, OSError, TimeoutError, ValueError):
            return 0, {}

    async def put(self, place: int, key: str, data: bytes, within_s: float = 4.0) -> int:
        """A client's write; the status, 0 where there is no answer."""
        url = f"http://{HOST}:{self.fronts[place]}/v/{key}"
        try:
            async with (
                ClientSession(timeout=ClientTimeout(total=within_s), trust_env=False) as session,
                session.put(url, data=data) as response,
            ):
                await response.read()
                return response.status
        except (ClientError, OSError, TimeoutError):
            return 0

    # --- faults ---------------------------------------------------------------------------------------

    def links_of(self, place: int) -> list[FrameRelay]:
        """Return the links between a broker and all others, both ways."""
        return [link for (a, b), link in self.links.items() if (a == place) != (b == place)]

    def send_signal(self, place: int, number: signal.Signals) -> None:
        """Send a signal to a broker's process, if there is one."""
        with suppress(ProcessLookupError):
            self.processes[place].send_signal(number)

    async def end(self, place: int, number: signal.Signals) -> None:
        """By a signal, and not started again by itself."""
        self.stopped.add(place)
        self.send_signal(place, signal.SIGCONT)
        self.send_signal(place, number)
        await self.processes[place].wait()

    async def kill(self, place: int) -> None:
        """At once."""
        await self.end(place, signal.SIGKILL)

    async def start_again(self, place: int) -> None:
        """On its folder as it is."""
        if place in self.stopped and not self._is_ending:
            self.stopped.discard(place)
            await self.launch(place, wait=False)

    def heal(self) -> None:
        """No link fails any more."""
        self.frame_faults.ratio = 0.0
        for link in self.links.values():
            link.is_cut = False
            link.is_deaf = False

    async def close(self) -> None:
        """End what was started, and nothing else."""
        self._is_ending = True
        for process in self.processes.values():
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in self.links.values():
            link.close()
        for node in self.nodes:
            await node.close()
        for log in self._logs.values():
            log.close()
        for stderr in self._stderr:
            stderr.close()
