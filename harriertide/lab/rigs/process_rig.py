"""Brokers as processes behind relays, a storage node and clients; each event goes to a log as it happens."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import asdict
from pathlib import Path
from random import Random
from typing import IO, Any

from harriertide.decide.settings import SettingsError
from harriertide.engine.clock import sleep_until
from harriertide.lab.rigs.broker_settings import DEADLINE_MS, MAX_REQUEST_UNITS, SETTINGS
from harriertide.lab.rigs.datagram_relays import Relays
from harriertide.lab.rigs.fault_script import HOST, Fault, free_ports

READY_S = 10.0
TURN_S = 3.0  # that one broker is the busiest
BUSIEST_RATIO = 0.9  # of the requests
SERVICE_S = 0.01  # of the node
ANSWER_S = 5 * DEADLINE_MS / 1000  # for an answer to come


class ProcessRig:
    """Brokers, the node and clients.

    :param folder: of configurations and logs
    :param brokers: how many
    """

    def __init__(self, folder: Path, brokers: int, seed: int) -> None:
        self._folder = folder
        self._number = brokers
        self._random = Random(seed)
        self._request_count = 0
        self._brokers: dict[int, asyncio.subprocess.Process] = {}
        self._fronts = free_ports(brokers)
        self._relays = Relays(seed, free_ports(brokers, socket.SOCK_DGRAM))
        self._logs: dict[str, IO[str]] = {}
        self._stderr: list[IO[bytes]] = []
        self.began_s = 0.0  # of the loop's clock: times in logs are from then on

    def _write(self, name: str, **row: Any) -> None:
        """A row of a log, with its time."""
        row["at_s"] = round(asyncio.get_running_loop().time() - self.began_s, 6)
        self._logs[name].write(json.dumps(row) + "\n")

    async def start(self) -> None:
        """Bring everything up, and wait until all brokers are ready."""
        for name in ("box", "clients"):
            self._logs[name] = (self._folder / f"{name}.log").open("w", encoding="utf-8")
        self.began_s = asyncio.get_running_loop().time()
        self._node = await asyncio.start_server(self._serve_node, HOST, 0)
        node_port = int(self._node.sockets[0].getsockname()[1])
        await self._relays.open()
        for place in range(self._number):
            dial = f"{HOST}:{await self._relays.open_to_node(place, node_port)}"
            config = self._configuration(place, dial)
            (self._folder / f"n{place}.json").write_text(json.dumps(config), encoding="utf-8")
        await asyncio.gather(*(self._launch(place) for place in range(self._number)))

    def _configuration(self, place: int, dial: str) -> dict[str, Any]:
        host = {"host": "box", "dial": dial, "block": 0, "health": "up"}
        return {
            "name": f"n{place}",
            "listen": f"{HOST}:{self._fronts[place]}",
            "discovery": f"{HOST}:1",
            "peer_listen": f"{HOST}:{self._relays.peer_ports[place]}",
            "peers": self._relays.peers(place),
            "known": {"seq": 1, "whole": True, "hosts": [host]},
            "seed": f"{place + 1:x}",
            "settings": {**SETTINGS, "index": place, "groupSize": self._number},
        }

    async def _launch(self, place: int) -> None:
        """Start a broker, and wait until it says that it is ready."""
        stderr = (self._folder / f"n{place}.log").open("ab")
        self._stderr.append(stderr)
        environment = {"LB_CONFIG": str(self._folder / f"n{place}.json"), "PYTHONPATH": ":".join(sys.path)}
        words = (sys.executable, "-m", "harriertide")
        self._brokers[place] = await asyncio.create_subprocess_exec(*words, env=environment, stderr=stderr)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + READY_S
        while True:
            status = 0
            with suppress(ConnectionError, asyncio.IncompleteReadError):
                status = await ask_status(
                    self._fronts[place], "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
                )
            if status == 200:
                return
            if loop.time() > end_s or self._brokers[place].returncode is not None:
                raise SettingsError(f"broker {place} did not get ready; see {stderr.name}")
            await sleep_until(loop.time() + 0.02)

    async def _serve_node(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(row.lower().split(": ", 1) for row in head.split("\r\n")[1:-2])
                units = float(fields["x-extent"].partition("units=")[2].partition(",")[0])
                self._write("box", event="came", request=fields["x-call-id"], units=units)
                await sleep_until(asyncio.get_running_loop().time() + SERVICE_S)
                self._write("box", event="answered", request=fields["x-call-id"])
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()

    # --- clients --------------------------------------------------------------------------------------

    async def offer(self, seconds: float, rate: float) -> None:
        """Clients: open loop, each with a connection of its own; the busiest broker changes each TURN_S."""
        loop, tasks = asyncio.get_running_loop(), []
        began_s = loop.time()
        while (past_s := loop.time() - began_s) < seconds:
            await sleep_until(loop.time() + self._random.expovariate(rate))
            busiest = int(past_s / TURN_S) % self._number
            is_busiest = self._random.random() < BUSIEST_RATIO
            place = busiest if is_busiest else self._random.randrange(self._number)
            units = self._random.randint(1, MAX_REQUEST_UNITS)
            tasks.append(asyncio.ensure_future(self._ask(place, units)))
        await asyncio.gather(*tasks)

    async def _ask(self, place: int, units: int) -> None:
        self._request_count += 1
        request = f"r{self._request_count}"
        extent = f"volume={7:016x},units={units},shard=0,hosts={self._number}"
        text = (
            f"GET /api?key={self._request_count:016x} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {request}\r\n"
            f"X-Call-Class: read\r\nX-Storage-Class: capped\r\nX-Budget-Ms: {DEADLINE_MS}\r\n"
            f"X-Extent: {extent}\r\n\r\n"
        )
        self._write("clients", event="asked", request=request, broker=place)
        try:
            async with asyncio.timeout(ANSWER_S):
                status = await ask_status(self._fronts[place], text)
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            status = 0
        self._write("clients", event="told", request=request, status=status)

    # --- faults ---------------------------------------------------------------------------------------

    async def play(self, faults: list[Fault]) -> None:
        """Play each fault at its time; return when the last is over."""
        loop = asyncio.get_running_loop()
        began_s, tasks = loop.time(), []
        players: dict[str, Callable[[Fault], Awaitable[None]]] = {
            "kill": self._play_kill,
            "pause": self._play_pause,
            "term": self._play_term,
            "cut": self._play_cut,
            "box": self._play_silent_node,
            "lose": self._play_losses,
        }
        for fault in faults:
            await sleep_until(began_s + fault.at_s)
            self._write("clients", event="fault", **asdict(fault))
            tasks.append(asyncio.ensure_future(players[fault.verb](fault)))
        await asyncio.gather(*tasks)

    async def _last(self, fault: Fault) -> None:
        await sleep_until(asyncio.get_running_loop().time() + fault.for_s)

    async def _play_kill(self, fault: Fault) -> None:
        self._brokers[fault.a].kill()
        await self._brokers[fault.a].wait()
        await self._last(fault)
        await self._launch(fault.a)

    async def _play_term(self, fault: Fault) -> None:
        self._brokers[fault.a].terminate()
        await self._brokers[fault.a].wait()
        await self._launch(fault.a)

    async def _play_pause(self, fault: Fault) -> None:
        self._brokers[fault.a].send_signal(signal.SIGSTOP)
        await self._last(fault)
        self._brokers[fault.a].send_signal(signal.SIGCONT)

    async def _play_cut(self, fault: Fault) -> None:
        self._relays.cut.add((fault.a, fault.b))
        await self._last(fault)
        self._relays.cut.discard((fault.a, fault.b))

    async def _play_silent_node(self, fault: Fault) -> None:
        self._relays.silent.add(fault.a)
        await self._last(fault)
        self._relays.silent.discard(fault.a)
        self._relays.reset(fault.a)

    async def _play_losses(self, fault: Fault) -> None:
        self._relays.loss_ratio = fault.part

    async def stop(self) -> None:
        """End what was started, and nothing else."""
        for broker in self._brokers.values():
            if broker.returncode is None:
                with suppress(ProcessLookupError):
                    broker.send_signal(signal.SIGCONT)
                    broker.kill()
                await broker.wait()
        self._relays.close()
        self._node.close()
        for log in self._logs.values():
            log.close()
        for stderr in self._stderr:
            stderr.close()


async def ask_status(port: int, text: str) -> int:
    """Send one request on a connection of its own; return the status of its answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(text.encode())
        head = await reader.readuntil(b"\r\n\r\n")
        return int(head.split(b" ", 2)[1])
    finally:
        writer.transport.abort()
