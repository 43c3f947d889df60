"""Real broker processes with disks, and a relay on every directed link between them, under faults from one
seed.

The relays know frames: each may be lost, late, doubled, put behind the next or dribbled byte by byte, and a
link may be cut one way, reset, or accept and say nothing. Processes are killed, stopped, continued, ended
and started again, with their disk or with an empty one; disks get slow, full or refuse; wall clocks jump.
Boxes stand in this process and write down what comes to them. All times are of the machine's one monotonic
clock. The rig judges nothing.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import struct
import sys
import time
from contextlib import suppress
from dataclasses import asdict
from pathlib import Path
from random import Random
from typing import IO, Any

from aiohttp import ClientError, ClientSession, ClientTimeout, web
from xxhash import xxh3_64_hexdigest

from harriertide.decide.settings import SettingsError
from harriertide.engine.clock import until
from harriertide.lab.rigs.fault_script import HOST, Fault, ports

READY_S = 15.0
# a is the broker, or the link from a to b; frames: this part lost, late, doubled and put behind, from now on
VERBS = (
    "kill", "pause", "term", "lose-disk", "cut", "apart", "reset", "deaf", "slow-sync", "sync-fails",
    "disk-full", "jump", "frames",
)  # fmt: skip


def draw(
    seed: int, brokers: int, seconds: float, gap_s: float = 1.5, verbs: tuple[str, ...] = VERBS
) -> list[Fault]:
    """A script. One broker at most is without its process, disk or others at a time; links fail beside
    that."""
    random, faults, at_s = Random(seed), [Fault(0.0, "frames", part=0.05)], 1.0
    busy_s = 0.0
    while at_s < seconds:
        verb = random.choice(verbs)
        a, b = random.sample(range(brokers), 2)
        for_s = round(random.uniform(0.3, 2.5), 2)
        hard = verb in ("kill", "pause", "term", "lose-disk", "sync-fails", "disk-full", "apart")
        if hard and at_s < busy_s:
            verb, hard = "cut", False
        if hard:
            busy_s = at_s + for_s + (6.0 if verb in ("lose-disk", "sync-fails", "disk-full") else 2.5)
        part = round(random.uniform(0.0, 0.3), 2) if verb == "frames" else 0.0
        faults.append(Fault(round(at_s, 2), verb, a, b, for_s, part))
        at_s += random.uniform(0.3, 2 * gap_s)
    return faults


# --- links --------------------------------------------------------------------------------------------


class Link:
    """From one broker to another: connections that the first makes, frame by frame."""

    def __init__(self, rig: Rig, a: int, b: int) -> None:
        self.rig, self.a, self.b = rig, a, b
        self.cut = self.deaf = False
        self.lines: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def open(self) -> None:
        """Listen where the first broker dials."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.lines.add(writer)
        far: asyncio.StreamWriter | None = None
        with suppress(ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            if self.deaf:
                await reader.read()  # accepted, and nothing more
                return
            _, far = await asyncio.open_connection(HOST, self.rig.ports[self.b])
            await self._pump(reader, far)
        for end in (writer, far):
            if end is not None:
                end.transport.abort()
        self.lines.discard(writer)

    async def _pump(self, reader: asyncio.StreamReader, far: asyncio.StreamWriter) -> None:
        loop, random, held = asyncio.get_running_loop(), self.rig.random, b""
        while True:
            head = await reader.readexactly(8)
            frame = head + await reader.readexactly(struct.unpack("<I", head[:4])[0])
            if self.cut or random.random() < self.rig.part / 2:
                continue  # lost: what comes behind it goes on
            if random.random() < self.rig.part:
                await until(loop.time() + random.uniform(0.001, 0.04))
            if not held and random.random() < self.rig.part:
                held = frame  # behind the next one
                continue
            out = frame + held + (frame if random.random() < self.rig.part else b"")
            held = b""
            if random.random() < self.rig.part / 4:
                for place in range(0, len(out), 64):  # slow bytes
                    far.write(out[place : place + 64])
                    await asyncio.sleep(0)
            else:
                far.write(out)
            await far.drain()

    def reset(self) -> None:
        """End all its connections."""
        for line in list(self.lines):
            line.transport.abort()

    def close(self) -> None:
        """Let go."""
        self._server.close()
        self.reset()


# --- boxes --------------------------------------------------------------------------------------------


class Box:
    """A stand-in box: blobs in memory, and a line for each request that came."""

    def __init__(self, rig: Rig, name: str, took_s: float) -> None:
        self.rig, self.name, self.took_s = rig, name, took_s
        self.blobs: dict[str, bytes] = {}
        self.port = 0

    async def open(self, again: bool = False) -> None:
        """Serve; again: at the port that it had."""
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None), shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, HOST, self.port if again else 0)
        await site.start()
        self.port = int(self._runner.addresses[0][1])

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.rig.write("boxes", event="came", box=self.name, what=request.method, path=request.raw_path)
        await until(asyncio.get_running_loop().time() + self.took_s)
        path = request.raw_path
        if request.method == "PUT":
            self.blobs[path] = await request.read()
        elif request.method == "DELETE":
            self.blobs.pop(path, None)
            return web.Response(status=204)
        elif path not in self.blobs:
            return web.Response(status=404)
        data = self.blobs[path]
        tag = {"ETag": f'"{xxh3_64_hexdigest(data)}"'}
        return web.Response(body=b"" if request.method == "PUT" else data, headers=tag)

    async def close(self) -> None:
        """Let go."""
        await self._runner.cleanup()


# --- the rig ------------------------------------------------------------------------------------------


class Rig:
    """Brokers b1 to bN with folders of their own, boxes x1 to xM, links, and logs."""

    def __init__(
        self, folder: Path, brokers: int, boxes: int, seed: int, lease_ms: int = 1_000, cold_s: int = 0,
        blind_s: int = 0, voters: int = 0, labels: dict[str, str] | None = None, took_s: float = 0.005,
        direct: bool = False,
    ) -> None:  # fmt: skip
        self.folder, self.number, self.random, self.part = folder, brokers, Random(seed), 0.0
        self.voters = voters or brokers
        self.lease_ms, self.cold_s, self.blind_s = lease_ms, cold_s, blind_s
        self.names = [f"b{place + 1}" for place in range(brokers)]
        self.boxes = [Box(self, f"x{place + 1}", took_s) for place in range(boxes)]
        self.labels, self.direct = labels or {}, direct  # direct: no relays
        free = ports(3 * brokers)
        self.ports, self.fronts, self.admins = (free[n * brokers : (n + 1) * brokers] for n in range(3))
        self.links = {(a, b): Link(self, a, b) for a in range(brokers) for b in range(brokers) if a != b}
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.stopped: set[int] = set()
        self._logs: dict[str, IO[str]] = {}
        self._said: list[IO[bytes]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.ending = False

    def write(self, name: str, **row: Any) -> None:
        """A line of a log, with its time."""
        if name not in self._logs:
            self._logs[name] = (self.folder / f"{name}.log").open("a", encoding="utf-8")
        self._logs[name].write(json.dumps({**row, "at": round(time.monotonic(), 6)}) + "\n")
        self._logs[name].flush()

    async def start(self, wait: bool = True) -> None:
        """Bring everything up."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for box in self.boxes:
            await box.open()
        for link in self.links.values():
            await link.open()
        for place in range(self.number):
            self._write_file(place)
        await asyncio.gather(*(self.launch(place, wait) for place in range(self.number)))

    def _write_file(self, place: int) -> None:
        name = self.names[place]
        rows = [
            f'listen = "{HOST}:{self.fronts[place]}"', f'admin = "{HOST}:{self.admins[place]}"',
            f'catalogue = "{self.folder / name}.sqlite3"', "[grades.g]", "reserve = 1", "[volumes.v]",
            'grade = "g"',
            "[limits]", "write_deadline_ms = 2000", "read_deadline_ms = 2000", "bulk_deadline_ms = 2000",
            "bulk_aim_ms = 1000", "[maintenance]", f'name = "{name}"', f'folder = "{self.folder / name}"',
            f'events = "{self.folder / name}.events"', f"lease_ms = {self.lease_ms}",
            f"cold_s = {self.cold_s}", f"blind_s = {self.blind_s}",
        ]  # fmt: skip
        for number, other in enumerate(self.names):
            port = self.ports[number] if number == place or self.direct else self.links[place, number].port
            voter = "yes" if number < self.voters else "no"
            rows += [f"[maintenance.brokers.{other}]", f'address = "{HOST}:{port}"', f'voter = "{voter}"']
        for number, box in enumerate(self.boxes):
            rows += [f"[boxes.{box.name}]", f'address = "{HOST}:{box.port}"', f"shard = {number}"]
            if box.name in self.labels:
                rows += [f"[maintenance.labels.{box.name}]", self.labels[box.name]]
        (self.folder / f"{name}.toml").write_text("\n".join(rows) + "\n", encoding="utf-8")

    async def launch(self, place: int, wait: bool = True) -> None:
        """Start a broker; wait until its admin address answers."""
        name = self.names[place]
        said = (self.folder / f"{name}.err").open("ab")
        self._said.append(said)
        words = [
            sys.executable, "-m", "harriertide.lab.rigs.faulty_broker", str(self.folder / f"{name}.toml"),
            str(self.folder / f"{name}.faults"),
        ]  # fmt: skip
        environment = {"PYTHONPATH": ":".join(sys.path)}
        self.processes[place] = await asyncio.create_subprocess_exec(*words, env=environment, stderr=said)
        self._tasks.append(asyncio.ensure_future(self._supervise(place, self.processes[place])))
        end = time.monotonic() + READY_S
        while wait:
            answer = await self.ask(place, "GET", "/state", within_s=1.0)
            if answer[0] == 200:
                return
            if time.monotonic() > end or self.processes[place].returncode is not None:
                if self.ending or place in self.stopped:
                    return
                raise SettingsError(f"broker {name} did not get ready; see {said.name}")
            await until(asyncio.get_running_loop().time() + 0.05)

    async def _supervise(self, place: int, process: asyncio.subprocess.Process) -> None:
        """One that ends by itself in order (its own turn of maintenance) is started again, as an init
        system does."""
        code = await process.wait()
        self.write("rig", event="ended", broker=self.names[place], code=code)
        if (
            code == 0
            and not self.ending
            and self.processes.get(place) is process
            and place not in self.stopped
        ):
            await until(asyncio.get_running_loop().time() + 0.2)
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

    async def play(self, faults: list[Fault]) -> None:
        """Each fault at its time; returns when the last is over."""
        loop = asyncio.get_running_loop()
        begun, tasks = loop.time(), []
        rows = [asdict(fault) for fault in faults]
        (self.folder / "script.json").write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")
        for fault in faults:
            await until(begun + fault.at_s)
            self.write("rig", event="fault", **asdict(fault))
            tasks.append(asyncio.ensure_future(self.fault(fault)))
        await asyncio.gather(*tasks)

    async def fault(self, fault: Fault) -> None:
        """One, until it is over."""
        loop = asyncio.get_running_loop()
        end = loop.time() + fault.for_s
        a, b, verb = fault.a, fault.b, fault.verb
        if verb in ("kill", "lose-disk"):
            await self.kill(a)
            if verb == "lose-disk":
                shutil.rmtree(self.folder / self.names[a], ignore_errors=True)
            await until(end)
            await self.start_again(a)
        elif verb == "term":
            await self.end(a, signal.SIGTERM)
            await self.start_again(a)
        elif verb == "pause":
            self._signal(a, signal.SIGSTOP)
            await until(end)
            self._signal(a, signal.SIGCONT)
        elif verb == "cut":
            self.links[a, b].cut = True
            await until(end)
            self.links[a, b].cut = False
        elif verb == "apart":
            ways = [link for (c, d), link in self.links.items() if (c == a) != (d == a)]
            for link in ways:
                link.cut = True
            await until(end)
            for link in ways:
                link.cut = False
        elif verb == "reset":
            self.links[a, b].reset()
        elif verb == "deaf":
            self.links[a, b].deaf = True
            self.links[a, b].reset()
            await until(end)
            self.links[a, b].deaf = False
            self.links[a, b].reset()
        elif verb in ("slow-sync", "sync-fails", "disk-full", "jump"):
            key, value = {
                "slow-sync": ("sync_ms", 500.0), "sync-fails": ("fail", 1.0), "disk-full": ("full", 1.0),
                "jump": ("wall_s", self.random.choice((-3600.0, 3600.0))),
            }[verb]  # fmt: skip
            path = self.folder / f"{self.names[a]}.faults"
            path.write_text(json.dumps({key: value}), encoding="utf-8")
            await until(end)
            path.write_text("{}", encoding="utf-8")
            if verb in ("sync-fails", "disk-full"):  # final for the process: somebody starts it again
                await self.kill(a)
                await self.start_again(a)
        elif verb == "frames":
            self.part = fault.part

    def _signal(self, place: int, number: signal.Signals) -> None:
        with suppress(ProcessLookupError):
            self.processes[place].send_signal(number)

    async def end(self, place: int, number: signal.Signals) -> None:
        """By a signal, and not started again by itself."""
        self.stopped.add(place)
        self._signal(place, signal.SIGCONT)
        self._signal(place, number)
        await self.processes[place].wait()

    async def kill(self, place: int) -> None:
        """At once."""
        await self.end(place, signal.SIGKILL)

    async def start_again(self, place: int) -> None:
        """On its folder as it is."""
        if place in self.stopped and not self.ending:
            self.stopped.discard(place)
            await self.launch(place, wait=False)

    def heal(self) -> None:
        """No link fails any more."""
        self.part = 0.0
        for link in self.links.values():
            link.cut = link.deaf = False

    async def close(self) -> None:
        """End what was started, and nothing else."""
        self.ending = True
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
        for box in self.boxes:
            await box.close()
        for log in self._logs.values():
            log.close()
        for said in self._said:
            said.close()
