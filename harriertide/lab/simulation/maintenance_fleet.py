"""Whole brokers of a fleet with their maintenance, in virtual time: only sockets, disks and requests are
stood in.

Each broker tries a node each few milliseconds: if its rule lets it, an attempt is open there for a while, as
a write that was decided and checked would be. What comes to a node from the moment on that any broker knew it
to be out, or is still open then, is late: `checkers/fleet_checker` reads what brokers wrote and what they
tried. One seed gives one run.
"""

from __future__ import annotations

import asyncio
import json
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
from harriertide.control.pending_calls import CallError
from harriertide.engine.clock import until
from harriertide.lab.simulation.memory_parts import (
    LONGEST_ATTEMPT_S,
    MemoryCarrier,
    MemoryDisk,
    MemoryEvents,
    StandInCore,
    StandInNodes,
)
from harriertide.maintenance.commands import SubmitOrder, decode_result, encode_command
from harriertide.maintenance.orders import Order

WRITE_S = 0.0005  # of a synced write
SHORTEST_ATTEMPT_S = 0.002
LEAST_DELAY_S, MOST_DELAY_S = 0.0002, 0.004  # of a payload between two brokers
ENDING_S, STARTING_S = 0.1, 0.3  # of a broker whose turn it is, and of its next process
POLL_S = 0.2  # between an operator's looks
CALL_S = 2.0
WALL_S = 1e9  # the wall clock at the begin of a run, in Unix seconds


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
        self.names = [f"b{place + 1}" for place in range(brokers)]
        self.zone = {name: f"z{place % zones}" for place, name in enumerate(self.names)}
        self.nodes = [f"x{place + 1}" for place in range(nodes)]
        self.cut_links: set[tuple[str, str]] = set()  # from one broker to another
        self.carriers: dict[str, MemoryCarrier] = {}
        self.services: dict[str, MaintenanceService] = {}
        self.disks = {name: MemoryDisk(f"{name}-1") for name in self.names}
        self.incarnations: Counter[str] = Counter()
        self.events: list[dict[str, Any]] = []
        self.attempts: list[NodeAttempt] = []
        self.agreed_orders: dict[str, Order] = {}
        self.paused_until_s: dict[str, float] = {}  # by broker whose process stands still
        self.wall_offset_s = dict.fromkeys(self.names, 0.0)
        self._load_s = load_s
        self._lease_ms = lease_ms
        self._blind_s = blind_s
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}
        self._leaving: set[str] = set()
        self._operator_state = self._make_operator_state()
        self._broker_rows = {
            name: {
                "address": f"127.0.0.1:{place + 1}",
                "voter": "yes" if place < voters else "no",
                "zone": "",
                "rack": "",
                "release": "",
                "group": "",
            }
            for place, name in enumerate(self.names)
        }
        self._labels = {
            name: {
                "zone": f"z{place % zones}",
                "rack": "",
                "release": "",
                "group": f"g{place % 4}",
                "units": 0.0,
            }
            for place, name in enumerate(self.nodes)
        }

    def _make_operator_state(self) -> State:
        boxes = {
            name: {"address": "", "shard": shard, "state": "up"} for shard, name in enumerate(self.nodes)
        }
        grades = {"g": {"reserve": 1.0, "worth": 1.0}}
        state: dict[str, Any] = {"boxes": boxes, "grades": grades, "volumes": {}, "limits": {}}
        operator_state: State = state
        return operator_state

    # --- the network ----------------------------------------------------------------------------------

    def connect(self, name: str, carrier: MemoryCarrier) -> None:
        """A process listens under this name."""
        self.carriers[name] = carrier

    def transmit(self, sender: str, receiver: str, payload: bytes) -> None:
        """Deliver a payload late, or never."""
        if (sender, receiver) in self.cut_links or self.random.random() < self.loss_ratio:
            return
        delay_s = self.random.uniform(LEAST_DELAY_S, MOST_DELAY_S)
        asyncio.get_running_loop().call_later(delay_s, self._deliver, receiver, payload)

    def _deliver(self, name: str, payload: bytes) -> None:
        """A payload has come; a process that stands still reads it when it goes on."""
        carrier = self.carriers.get(name)
        if carrier is None:
            return
        if self._is_paused(name):
            loop = asyncio.get_running_loop()
            loop.call_at(self.paused_until_s[name] + 0.001, carrier.receive, payload)
        else:
            carrier.receive(payload)

    def links_between(self, side: set[str]) -> set[tuple[str, str]]:
        """Return the links between these brokers and all others, both ways."""
        return {(a, b) for a in self.names for b in self.names if (a in side) != (b in side)}

    # --- processes ------------------------------------------------------------------------------------

    def _is_paused(self, name: str) -> bool:
        return self.paused_until_s.get(name, 0.0) > asyncio.get_running_loop().time()

    def _unless_paused(self, name: str, act: Callable[..., None], *args: Any) -> None:
        """What a process does by itself, which it does not while it stands still."""
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
            leave=partial(self._leave, name),
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
            await until(max(loop.time() + WRITE_S, self.paused_until_s.get(name, 0.0)))
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
        """End a process at once: what is on its way to the disk is lost, and its connections are reset."""
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
        """A broker's turn of maintenance: its process ends in order, and is started again."""
        if name not in self._leaving and name in self.services:
            self._leaving.add(name)
            asyncio.get_running_loop().create_task(self._restart(name))

    async def _restart(self, name: str) -> None:
        loop = asyncio.get_running_loop()
        await until(loop.time() + ENDING_S)
        await self.kill(name)
        await until(loop.time() + STARTING_S)
        self._leaving.discard(name)
        if name not in self.services:
            await self.start(name)

    async def _send_attempts(self, name: str, core: StandInCore) -> None:
        """Attempts, each where the rule lets it at that moment."""
        loop = asyncio.get_running_loop()
        while True:
            await until(loop.time() + self.random.expovariate(1 / self._load_s))
            if self._is_paused(name):
                await until(self.paused_until_s[name])  # and the first thing that it does then is a write
            node = self.random.choice(self.nodes)
            if core.may_send(node):
                duration_s = self.random.uniform(SHORTEST_ATTEMPT_S, LONGEST_ATTEMPT_S)
                process = f"{name}.{self.incarnations[name]}"
                now_s = loop.time()
                self.attempts.append(NodeAttempt(now_s, now_s + duration_s, node, process))
                core.start_attempt(node)
                loop.call_later(duration_s, core.end_attempt, node)

    # --- operators ------------------------------------------------------------------------------------

    async def request(self, order: Order, by: str | None = None, within_s: float = 20.0) -> bool:
        """Submit an order at brokers, drawn anew or always the same, until it is agreed on."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + within_s
        while loop.time() < end_s:
            service = self.services.get(by or self.random.choice(self.names))
            if service is not None and await self._submit(service, order):
                self.agreed_orders[order.id] = order
                return True
            await until(loop.time() + POLL_S)
        return False

    async def _submit(self, service: MaintenanceService, order: Order) -> bool:
        command = SubmitOrder(order, service.wall_s())
        try:
            result = decode_result(await service.member.call(encode_command(command), CALL_S))
        except CallError:
            return False
        return not result.refusal

    async def operate(self, end_s: float) -> bool:
        """Say `done` of what is out, by the state of any broker that holds a lease, until all orders are
        over.
        """
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            service = self.services.get(self.random.choice(self.names))
            if service is not None and service.member.has_lease():
                if self._are_orders_over(service):
                    return True
                for step in service.machine.state.active_steps():
                    if step.phase == "out" and step.machine.startswith("x"):
                        await self._say_done(service, step.machine)
            await until(loop.time() + POLL_S)
        return False

    def _are_orders_over(self, service: MaintenanceService) -> bool:
        state = service.machine.state
        is_over = all(name in state.orders and not state.is_open(name) for name in self.agreed_orders)
        return bool(self.agreed_orders) and is_over

    async def _say_done(self, service: MaintenanceService, machine: str) -> None:
        class Body:
            method, raw_path = "POST", "/maintenance/done"

            async def read(self) -> bytes:
                return json.dumps({"machine": machine}).encode()

        await service.handle(Body())  # type: ignore[arg-type]
