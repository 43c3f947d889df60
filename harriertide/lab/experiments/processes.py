"""Real brokers, each a process of its own, with faults between them and a box that judges a plan's limit.

Usage: processes [--brokers N] [--seconds S] [--seed N] [--script FILE] [--folder DIR] [--lost PART] [--json]

Starts N brokers on loopback, every datagram between two of them through a relay, and a box that all of them
reach through relays too. Requests of one volume come through all brokers, nine in ten through the busiest,
which changes every 3 s, at five times the limit. A script of faults is drawn from the seed, written to
DIR/script.json, and plays again with --script. What came to the box and what clients were told is written to
DIR/box.log and DIR/clients.log; the judgement reads these files and nothing else. Exits with 1 where a rule
was broken.

Options:
  --brokers N    from 2 to 8 [default: 4]
  --seconds S    of offered load [default: 24]
  --seed N       of faults and load [default: 1]
  --script FILE  faults as written before, in place of drawn ones
  --folder DIR   where configurations and logs are kept; else a folder that is deleted
  --lost PART    of datagrams [default: 0.3]
  --json         the judgement as one object
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random
from typing import IO, Any

from docopt import docopt

from harriertide.decide.settings import SettingsError
from harriertide.engine.clock import until
from harriertide.lab.rigs.fault_script import HOST, Fault, load, ports
from harriertide.lab.rigs.folders import kept_or_temporary

LIMIT, BURST, MOST, SLACK = 20.0, 24.0, 3, 6.0
LATE_S = 0.15  # what the limit allows in so long is slack too, on sockets
AIM_MS, DEADLINE_MS = 300, 900
READY_S, STOP_S, TURN_S = 10.0, 10.0, 3.0
SETTINGS: dict[str, Any] = {
    "membershipMode": "push",
    "roundUs": 1000,
    "classes": [
        {
            "name": "read", "sloUs": 1000 * AIM_MS, "deadlineUs": 1000 * DEADLINE_MS, "worth": 2.0,
            "lateWorth": 0.2, "effect": "idempotent",
        }
    ],
    "plans": [
        {
            "name": "capped", "guaranteed": 0.0, "weight": 1.0, "valueFactor": 1.0, "ceilingRate": LIMIT,
            "mostAtOnce": BURST,
        }
    ],
    "domain": {
        "nShards": 1, "meanUnits": 2.0, "maxUnits": SLACK, "withinShare": 0.3, "beyondShare": 0.1,
        "youngLimit": 6.0,
    },
    "safety": {"coldFrom": 0.2, "coldUs": 1_000_000, "fallUs": 1_000_000, "fallMultiple": 2.5},
    "limits": {
        "peers": True, "retryAfter": True, "maxRetryAfterUs": 500_000, "tryLimit": 4, "cancel": True,
    },
}  # fmt: skip


# --- the script ------------------------------------------------------------------------------------

# kill (back after for_s); pause (SIGSTOP, for for_s); term (back after it has ended); cut (datagrams from a
# to b, for for_s); lose (this part of all datagrams from now on); box (a way to the box is silent for for_s,
# then reset)
VERBS = ("kill", "pause", "term", "cut", "lose", "box")


def draw(seed: int, brokers: int, seconds: float, lost: float) -> list[Fault]:
    """Faults every 1 to 2 s from 3 s on, one broker at most out of work by them at a time."""
    random = Random(seed)
    faults, at_s = [Fault(0.0, "lose", part=lost)], 3.0
    while at_s < seconds - 3.0:
        verb = random.choice(("kill", "pause", "term", "cut", "cut", "box", "lose"))
        a, b = random.sample(range(brokers), 2)
        for_s = round(random.uniform(0.3, 2.0), 2)
        part = round(random.uniform(0.0, 2 * lost), 2) if verb == "lose" else 0.0
        faults.append(Fault(round(at_s, 2), verb, a, b, for_s, part))
        busy_s = for_s if verb in ("kill", "pause", "term") else 0.0
        at_s += busy_s + random.uniform(1.0, 2.0)
    return faults


# --- links -----------------------------------------------------------------------------------------


class Datagrams(asyncio.DatagramProtocol):
    """The way from one broker to another, as seen by the sender: what comes here is passed on, or lost.

    The receiver must see it come from where it sends its own to the sender, so it leaves by the way back.
    """

    def __init__(self, link: Links, sender: int, receiver: int) -> None:
        self._link, self.sender, self.receiver = link, sender, receiver
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        random, link = self._link.random, self._link
        if (self.sender, self.receiver) in link.cut or random.random() < link.lost:
            return
        loop, back = asyncio.get_running_loop(), link.ways[self.receiver, self.sender].transport
        for _ in range(1 + (random.random() < 0.05)):
            late_s = random.uniform(0.0014, 0.035)
            loop.call_later(late_s, self._deliver, back, data)

    def _deliver(self, back: asyncio.DatagramTransport, data: bytes) -> None:
        if not back.is_closing():
            back.sendto(data, (HOST, self._link.listens[self.receiver]))


class Links:
    """All ways between brokers, and from each to the box."""

    def __init__(self, seed: int, listens: list[int]) -> None:
        self.random, self.listens, self.lost = Random(seed), listens, 0.0
        self.cut: set[tuple[int, int]] = set()
        self.ways: dict[tuple[int, int], Datagrams] = {}
        self.silent: set[int] = set()  # brokers whose way to the box says nothing
        self.pipes: dict[int, set[asyncio.StreamWriter]] = {}
        self.doors: list[asyncio.Server] = []

    async def open(self) -> None:
        """Bring up the ways of datagrams; where each broker finds the others is known then."""
        loop, number = asyncio.get_running_loop(), len(self.listens)
        for a in range(number):
            for b in (b for b in range(number) if b != a):
                way = Datagrams(self, a, b)
                await loop.create_datagram_endpoint(lambda way=way: way, local_addr=(HOST, 0))  # type: ignore[misc]
                self.ways[a, b] = way

    def peers(self, place: int) -> list[str]:
        """The list of a broker's configuration."""

        def port(other: int) -> int:
            if other == place:
                return self.listens[place]
            return int(self.ways[place, other].transport.get_extra_info("sockname")[1])

        return [f"{HOST}:{port(other)}" for other in range(len(self.listens))]

    async def to_box(self, place: int, box: int) -> int:
        """A broker's way to the box; the port by which it dials it."""
        pipes = self.pipes[place] = set()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            pipes.add(writer)
            far: asyncio.StreamWriter | None = None
            with suppress(ConnectionError, OSError, asyncio.CancelledError):
                far_reader, far = await asyncio.open_connection(HOST, box)
                await asyncio.gather(self._pump(place, reader, far), self._pump(place, far_reader, writer))
            for end in (writer, far):
                if end is not None:
                    end.transport.abort()
            pipes.discard(writer)

        door = await asyncio.start_server(serve, HOST, 0)
        self.doors.append(door)
        return int(door.sockets[0].getsockname()[1])

    async def _pump(self, place: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65_536):
            if place not in self.silent:
                writer.write(data)
        writer.write_eof()

    def reset(self, place: int) -> None:
        """End all connections of a broker to the box."""
        for pipe in list(self.pipes[place]):
            pipe.transport.abort()

    def close(self) -> None:
        """Let go of all ways."""
        for way in self.ways.values():
            way.transport.close()
        for door in self.doors:
            door.close()
        for place in self.pipes:
            self.reset(place)


# --- what is played ----------------------------------------------------------------------------------


class Plant:
    """Brokers as processes, the box, and clients; each event goes to a log as it happens."""

    def __init__(self, folder: Path, brokers: int, seed: int) -> None:
        self.folder, self.number, self.random, self.made = folder, brokers, Random(seed), 0
        self.brokers: dict[int, asyncio.subprocess.Process] = {}
        self.fronts, listens = ports(brokers), ports(brokers, socket.SOCK_DGRAM)
        self.links = Links(seed, listens)
        self.logs: dict[str, IO[str]] = {}
        self.begun = 0.0
        self._stderr: list[IO[bytes]] = []

    def write(self, name: str, **row: Any) -> None:
        """A line of a log, with its time."""
        row["at_s"] = round(asyncio.get_running_loop().time() - self.begun, 6)
        self.logs[name].write(json.dumps(row) + "\n")

    async def start(self) -> None:
        """Bring everything up, and wait until all brokers are ready."""
        for name in ("box", "clients"):
            self.logs[name] = (self.folder / f"{name}.log").open("w", encoding="utf-8")
        self.begun = asyncio.get_running_loop().time()
        self.box = await asyncio.start_server(self._box, HOST, 0)
        box = int(self.box.sockets[0].getsockname()[1])
        await self.links.open()
        for place in range(self.number):
            dial = f"{HOST}:{await self.links.to_box(place, box)}"
            host = {"host": "box", "dial": dial, "block": 0, "health": "up"}
            config = {
                "name": f"n{place}", "listen": f"{HOST}:{self.fronts[place]}", "discovery": f"{HOST}:1",
                "peer_listen": f"{HOST}:{self.links.listens[place]}", "peers": self.links.peers(place),
                "known": {"seq": 1, "whole": True, "hosts": [host]}, "seed": f"{place + 1:x}",
                "settings": {**SETTINGS, "index": place, "groupSize": self.number},
            }  # fmt: skip
            (self.folder / f"n{place}.json").write_text(json.dumps(config), encoding="utf-8")
        await asyncio.gather(*(self.launch(place) for place in range(self.number)))

    async def launch(self, place: int) -> None:
        """Start a broker, and wait until it says that it is ready."""
        said = (self.folder / f"n{place}.log").open("ab")
        self._stderr.append(said)
        environment = {"LB_CONFIG": str(self.folder / f"n{place}.json"), "PYTHONPATH": ":".join(sys.path)}
        words = (sys.executable, "-m", "harriertide")
        self.brokers[place] = await asyncio.create_subprocess_exec(*words, env=environment, stderr=said)
        loop = asyncio.get_running_loop()
        end = loop.time() + READY_S
        while True:
            status = 0
            with suppress(ConnectionError, asyncio.IncompleteReadError):
                status = await status_of(self.fronts[place], "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            if status == 200:
                return
            if loop.time() > end or self.brokers[place].returncode is not None:
                raise SettingsError(f"broker {place} did not get ready; see {said.name}")
            await until(loop.time() + 0.02)

    async def _box(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(row.lower().split(": ", 1) for row in head.split("\r\n")[1:-2])
                units = float(fields["x-extent"].partition("units=")[2].partition(",")[0])
                self.write("box", event="came", request=fields["x-call-id"], units=units)
                await until(asyncio.get_running_loop().time() + 0.01)
                self.write("box", event="answered", request=fields["x-call-id"])
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()

    async def offer(self, seconds: float, rate: float) -> None:
        """Clients: open loop, each with a connection of its own; the busiest broker changes each TURN_S."""
        loop, tasks = asyncio.get_running_loop(), []
        begun = loop.time()
        while (past := loop.time() - begun) < seconds:
            await until(loop.time() + self.random.expovariate(rate))
            busiest = int(past / TURN_S) % self.number
            place = busiest if self.random.random() < 0.9 else self.random.randrange(self.number)
            tasks.append(asyncio.ensure_future(self._ask(place, self.random.randint(1, MOST))))
        await asyncio.gather(*tasks)

    async def _ask(self, place: int, units: int) -> None:
        self.made += 1
        request = f"r{self.made}"
        extent = f"volume={7:016x},units={units},shard=0,hosts={self.number}"
        text = (
            f"GET /api?key={self.made:016x} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {request}\r\n"
            f"X-Call-Class: read\r\nX-Storage-Class: capped\r\nX-Budget-Ms: {DEADLINE_MS}\r\n"
            f"X-Extent: {extent}\r\n\r\n"
        )
        self.write("clients", event="asked", request=request, broker=place)
        try:
            async with asyncio.timeout(5 * DEADLINE_MS / 1000):
                status = await status_of(self.fronts[place], text)
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            status = 0
        self.write("clients", event="told", request=request, status=status)

    async def play(self, faults: list[Fault]) -> None:
        """Each fault at its time."""
        loop = asyncio.get_running_loop()
        begun, tasks = loop.time(), []
        verbs: dict[str, Callable[[Fault], Any]] = {
            "kill": self._kill, "pause": self._pause, "term": self._term, "cut": self._cut,
            "box": self._still, "lose": self._lose,
        }  # fmt: skip
        for fault in faults:
            await until(begun + fault.at_s)
            self.write("clients", event="fault", **asdict(fault))
            tasks.append(asyncio.ensure_future(verbs[fault.verb](fault)))
        await asyncio.gather(*tasks)

    async def _kill(self, fault: Fault) -> None:
        self.brokers[fault.a].kill()
        await self.brokers[fault.a].wait()
        await until(asyncio.get_running_loop().time() + fault.for_s)
        await self.launch(fault.a)

    async def _term(self, fault: Fault) -> None:
        self.brokers[fault.a].terminate()
        await self.brokers[fault.a].wait()
        await self.launch(fault.a)

    async def _pause(self, fault: Fault) -> None:
        self.brokers[fault.a].send_signal(signal.SIGSTOP)
        await until(asyncio.get_running_loop().time() + fault.for_s)
        self.brokers[fault.a].send_signal(signal.SIGCONT)

    async def _cut(self, fault: Fault) -> None:
        self.links.cut.add((fault.a, fault.b))
        await until(asyncio.get_running_loop().time() + fault.for_s)
        self.links.cut.discard((fault.a, fault.b))

    async def _still(self, fault: Fault) -> None:
        self.links.silent.add(fault.a)
        await until(asyncio.get_running_loop().time() + fault.for_s)
        self.links.silent.discard(fault.a)
        self.links.reset(fault.a)

    async def _lose(self, fault: Fault) -> None:
        self.links.lost = fault.part

    async def stop(self) -> None:
        """End what was started, and nothing else."""
        for broker in self.brokers.values():
            if broker.returncode is None:
                with suppress(ProcessLookupError):
                    broker.send_signal(signal.SIGCONT)
                    broker.kill()
                await broker.wait()
        self.links.close()
        self.box.close()
        for log in self.logs.values():
            log.close()
        for said in self._stderr:
            said.close()


async def status_of(port: int, text: str) -> int:
    """One request on a connection of its own; the status of its answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(text.encode())
        head = await reader.readuntil(b"\r\n\r\n")
        return int(head.split(b" ", 2)[1])
    finally:
        writer.transport.abort()


# --- the judgement -----------------------------------------------------------------------------------


@dataclass
class Judgement:
    """What the logs say. broken: each rule that does not hold, in plain words."""

    requests: int = 0
    told: Counter[int] = field(default_factory=Counter)  # by status; 0: its broker went away
    came: int = 0
    used: float = 0.0  # part of what the limit let through from 3 s on
    lowest: float = BURST
    broken: list[str] = field(default_factory=list)


def judge(folder: Path, seconds: float) -> Judgement:
    """Read box.log and clients.log. Shares nothing with what is judged but the figures of the rule."""
    found, level, last_s, late = Judgement(), BURST, 0.0, 0.0
    seen: Counter[str] = Counter()
    at_work: Counter[str] = Counter()
    for line in (folder / "box.log").read_text(encoding="utf-8").splitlines():
        row = json.loads(line)
        request, at_s = row["request"], row["at_s"]
        if row["event"] == "answered":
            at_work[request] -= 1
            continue
        found.came += 1
        seen[request] += 1
        at_work[request] += 1
        if seen[request] > SETTINGS["limits"]["tryLimit"]:
            found.broken.append(f"{request} came {seen[request]} times")
        if seen[request] == 1:
            level = min(BURST, level + LIMIT * (at_s - last_s)) - row["units"]
            last_s, found.lowest = at_s, min(found.lowest, level)
            late += row["units"] if at_s >= TURN_S else 0.0
    found.used = late / (LIMIT * (seconds - TURN_S))
    if found.lowest < -SLACK - LIMIT * LATE_S:
        found.broken.append(f"the store of the limit was at {found.lowest:.2f}")
    asked: dict[str, float] = {}
    for line in (folder / "clients.log").read_text(encoding="utf-8").splitlines():
        row = json.loads(line)
        if row["event"] == "asked":
            found.requests += 1
            asked[row["request"]] = row["at_s"]
        elif row["event"] == "told":
            found.told[row["status"]] += 1
            begun = asked.pop(row["request"], None)
            if begun is None:
                found.broken.append(f"{row['request']} was told twice")
            if row["status"] == 200 and not seen[row["request"]]:
                found.broken.append(f"{row['request']} was served by no box")
    found.broken += [f"{request} was told nothing" for request in asked]
    return found


async def course(folder: Path, brokers: int, seconds: float, seed: int, faults: list[Fault]) -> None:
    """Play a script under load; what happened is in the folder's logs."""
    plant = Plant(folder, brokers, seed)
    try:
        await plant.start()
        plant.begun = asyncio.get_running_loop().time()
        await asyncio.gather(plant.offer(seconds, 5 * LIMIT / ((1 + MOST) / 2)), plant.play(faults))
    finally:
        await plant.stop()


def main(arguments: list[str]) -> int:
    """Play one course and print the judgement."""
    given = docopt(__doc__ or "", arguments)
    brokers, seconds, seed = int(given["--brokers"]), float(given["--seconds"]), int(given["--seed"])
    if not 2 <= brokers <= 8 or not 6 <= seconds <= 600:
        raise SettingsError("--brokers from 2 to 8, --seconds from 6 to 600")
    drawn = draw(seed, brokers, seconds, float(given["--lost"]))
    faults = load(given["--script"], brokers, VERBS) if given["--script"] else drawn
    with kept_or_temporary(given["--folder"]) as folder:
        rows = [asdict(fault) for fault in faults]
        (folder / "script.json").write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")
        asyncio.run(course(folder, brokers, seconds, seed, faults))
        found = judge(folder, seconds)
    if given["--json"]:
        print(json.dumps({**asdict(found), "faults": len(faults)}))
    else:
        verbs = Counter(fault.verb for fault in faults)
        print("faults   " + ", ".join(f"{verb} {count}" for verb, count in sorted(verbs.items())))
        told = ", ".join(f"{status or 'gone'} {count}" for status, count in sorted(found.told.items()))
        print(f"requests {found.requests}: {told}; came to the box {found.came}")
        print(f"limit    used {found.used:.3f}, store never under {found.lowest:.1f} of {BURST:g}")
        for broken in found.broken[:10]:
            print(f"broken   {broken}")
        print("rules    " + (f"{len(found.broken)} broken" if found.broken else "kept"))
    return int(bool(found.broken))
