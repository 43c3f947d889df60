"""Whole brokers with their maintenance in virtual time, on stand-ins for sockets, disks and requests.

Each broker attempts a request at a node every few milliseconds, unless the node is barred: as a write that
was decided and checked would be, the attempt is open there for a while. `checkers/fleet_checker` reads what
brokers wrote and when attempts were open: from the moment on at which any broker knows that a node is out,
none may be. One seed gives one run.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from harriertide.config.maintenance_section import MaintenanceSettings
from harriertide.config.operator_file import State
from harriertide.control.environment import Environment
from harriertide.control.maintenance_service import MaintenanceService
from harriertide.engine.clock import sleep_until
from harriertide.lab.simulation.maintenance_stand_ins import (
    MAX_ATTEMPT_S,
    MemoryCarrier,
    MemoryDisk,
    MemoryEvents,
    StandInCore,
    StandInNodes,
)

WRITE_S = 0.0005  # of a synced write
MIN_ATTEMPT_S = 0.002
MIN_DELAY_S, MAX_DELAY_S = 0.0002, 0.004  # of a payload between two brokers
SHUTDOWN_S, STARTUP_S = 0.1, 0.3  # of a broker that is restarted for maintenance
WALL_S = 1e9  # the wall clock at the start of a run, in Unix seconds


@dataclass(slots=True)
class NodeAttempt:
    """An attempt that a process made at a node. process: the broker's name and its incarnation."""

    began_s: float
    ended_s: float
    node: str
    process: str


class Fleet:
    """Brokers b1 to bN, the first of them voters, and nodes x1 to xM.

    :param seed: of delays, losses, load and the operators' choices
    :param load_s: the mean time between two attempts of one broker
    """

    def __init__(
        self,
        seed: int,
        brokers: int,
        voters: int,
        nodes: int,
        lease_ms: int = 1_000,
        blind_s: int = 0,
        zones: int = 1,
        load_s: float = 0.02,
    ) -> None:
        self.random = Random(seed)
        self.loss_ratio = 0.0
        self.names = [f"b{index + 1}" for index in range(brokers)]
        self.zone = {name: f"z{index % zones}" for index, name in enumerate(self.names)}
        self.nodes = [f"x{index + 1}" for index in range(nodes)]
        self.cut_links: set[tuple[str, str]] = set()  # from one broker to another
        self.carriers: dict[str, MemoryCarrier] = {}
        self.services: dict[str, MaintenanceService] = {}
        self.disks = {name: MemoryDisk(f"{name}-1") for name in self.names}
        self.incarnations: Counter[str] = Counter()
        self.events: list[dict[str, Any]] = []
        self.attempts: list[NodeAttempt] = []
        self.paused_until_s: dict[str, float] = {}  # by broker whose process is paused
        self.wall_offset_s = dict.fromkeys(self.names, 0.0)
        self._load_s = load_s
        self._lease_ms = lease_ms
        self._blind_s = blind_s
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}
        self._restarting: set[str] = set()
        self._operator_state = self._make_operator_state()
        self._broker_rows = {
            name: {
                "address": f"127.0.0.1:{index + 1}",
                "voter": "yes" if index < voters else "no",
                "zone": "",
                "rack": "",
                "release": "",
                "group": "",
            }
            for index, name in enumerate(self.names)
        }
        self._labels = {
            name: {
                "zone": f"z{index % zones}",
                "rack": "",
                "release": "",
                "group": f"g{index % 4}",
                "units": 0.0,
            }
            for index, name in enumerate(self.nodes)
        }

    def _make_operator_state(self) -> State:
        boxes = {
            name: {"address": "", "shard": shard, "state": "up"} for shard, name in enumerate(self.nodes)
        }
        grades = {"g": {"reserve": 1.0, "worth": 1.0}}
        return {"boxes": boxes, "grades": grades, "volumes": {}, "limits": {}}

    # --- the network ----------------------------------------------------------------------------------

    def connect(self, name: str, carrier: MemoryCarrier) -> None:
        """Register the process that listens under this name."""
        self.carriers[name] = carrier

    def transmit(self, sender: str, receiver: str, payload: bytes) -> None:
        """Deliver a payload late, or never."""
        if (sender, receiver) in self.cut_links or self.random.random() < self.loss_ratio:
            return
        delay_s = self.random.uniform(MIN_DELAY_S, MAX_DELAY_S)
        asyncio.get_running_loop().call_later(delay_s, self._deliver, receiver, payload)

    def _deliver(self, name: str, payload: bytes) -> None:
        """A payload has arrived; a paused process reads it when it resumes."""
        carrier = self.carriers.get(name)
        if carrier is None:
            return
        if self._is_paused(name):
            loop = asyncio.get_running_loop()
            loop.call_at(self.paused_until_s[name] + 0.001, carrier.receive, payload)
        else:
            carrier.receive(payload)

    def links_between(self, group: set[str]) -> set[tuple[str, str]]:
        """Return the links between these brokers and all others, both ways."""
        return {(a, b) for a in self.names for b in self.names if (a in group) != (b in group)}

    # --- processes ------------------------------------------------------------------------------------

    def _is_paused(self, name: str) -> bool:
        return self.paused_until_s.get(name, 0.0) > asyncio.get_running_loop().time()

    def _unless_paused(self, name: str, act: Callable[..., None], *args: Any) -> None:
        """Do what a process does by itself, unless it is paused."""
        if not self._is_paused(name):
            act(*args)

    async def start(self, name: str) -> None:
        """Start a broker's process, on its disk as it is."""
        self.incarnations[name] += 1
        settings = MaintenanceSettings(
            name, "", "", self._lease_ms, self._blind_s, 0, self._broker_rows, self._labels
        )
        random = Random(f"{name} {self.incarnations[name]} {self.random.random()}")
        core = StandInCore()
        service = MaintenanceService(
            settings,
            core,
            StandInNodes(self._operator_state),
            unix_us=lambda: 0,
            request_shutdown=partial(self._leave, name),
            set_ready=core.set_ready,
            environment=self._environment(name, random),
            wall_s=partial(self.wall_s, name),
        )
        tick, plan = service.member.tick, service.plan
        service.member.tick = partial(self._unless_paused, name, tick)  # type: ignore[method-assign]
        service.plan = partial(self._unless_paused, name, plan)  # type: ignore[method-assign]
        self.services[name] = service
        await service.start()
        loop = asyncio.get_running_loop()
        self._tasks[name] = [loop.create_task(self._send_attempts(name, core))]

    def _environment(self, name: str, random: Random) -> Environment:
        async def write_to_disk(work: Callable[[], None]) -> None:
            loop = asyncio.get_running_loop()
            await sleep_until(max(loop.time() + WRITE_S, self.paused_until_s.get(name, 0.0)))
            work()

        def open_disk(folder: Path) -> MemoryDisk:
            return self.disks[name]

        def open_carrier(on_payload: Callable[[bytes], bool]) -> MemoryCarrier:
            return MemoryCarrier(self, name, on_payload)

        def open_events(path: str) -> MemoryEvents:
            return MemoryEvents(self.events, name)

        return Environment(open_disk, open_carrier, write_to_disk, random, open_events)

    def wall_s(self, name: str) -> float:
        """Return a broker's wall clock, in Unix seconds."""
        return WALL_S + asyncio.get_running_loop().time() + self.wall_offset_s[name]

    async def kill(self, name: str) -> None:
        """End a process at once: writes that are not durable are lost, and connections are reset."""
        service = self.services.pop(name, None)
        if service is None:
            return
        self.carriers[name].is_open = False
        tasks = self._tasks.pop(name)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, *service.cancel_tasks(), return_exceptions=True)
        now_s = asyncio.get_running_loop().time()
        for attempt in self.attempts:
            if attempt.process == f"{name}.{self.incarnations[name]}":
                attempt.ended_s = min(attempt.ended_s, now_s)

    async def kill_all(self) -> None:
        """End all processes at once."""
        for name in list(self.services):
            await self.kill(name)

    def replace_disk(self, name: str) -> None:
        """Give a broker an empty disk in place of its own."""
        self.disks[name] = MemoryDisk(f"{name}-{self.incarnations[name] + 1}")

    def _leave(self, name: str) -> None:
        """Restart a broker's process, whose turn of maintenance has come."""
        if name not in self._restarting and name in self.services:
            self._restarting.add(name)
            asyncio.get_running_loop().create_task(self._restart(name))

    async def _restart(self, name: str) -> None:
        loop = asyncio.get_running_loop()
        await sleep_until(loop.time() + SHUTDOWN_S)
        await self.kill(name)
        await sleep_until(loop.time() + STARTUP_S)
        self._restarting.discard(name)
        if name not in self.services:
            await self.start(name)

    async def _send_attempts(self, name: str, core: StandInCore) -> None:
        """Attempt requests at drawn nodes, each unless the node is barred at that moment."""
        loop = asyncio.get_running_loop()
        while True:
            await sleep_until(loop.time() + self.random.expovariate(1 / self._load_s))
            if self._is_paused(name):
                await sleep_until(self.paused_until_s[name])  # a write is the first thing that it does then
            node = self.random.choice(self.nodes)
            if core.may_send(node):
                duration_s = self.random.uniform(MIN_ATTEMPT_S, MAX_ATTEMPT_S)
                process = f"{name}.{self.incarnations[name]}"
                now_s = loop.time()
                self.attempts.append(NodeAttempt(now_s, now_s + duration_s, node, process))
                core.start_attempt(node)
                loop.call_later(duration_s, core.end_attempt, node)
