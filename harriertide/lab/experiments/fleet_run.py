"""A run of a fleet in virtual time under drawn faults: an order of all nodes, one of all brokers, then an
end.
"""

from __future__ import annotations

import asyncio
from random import Random

from harriertide.engine.clock import sleep_until
from harriertide.lab.checkers.fleet_checker import Verdict, check_fleet
from harriertide.lab.simulation import virtual_time
from harriertide.lab.simulation.maintenance_fleet import Fleet
from harriertide.lab.simulation.maintenance_operators import Operators
from harriertide.maintenance.orders import Order

FAULTS = ("kill", "kill", "cut", "apart", "lost", "jump", "all", "lose-disk", "pause")
FINISH_S = 90.0  # for the orders to come to their end after the faults
WHOLE_AGAIN_S = 10.0  # after a disk was lost, until another may be
LOSS_RATIOS = (0.0, 0.1, 0.3)
WALL_JUMPS_S = (-3600.0, 0.0, 3600.0)


class DrawnFaults:
    """Faults of processes, disks, links and clocks, one at a time."""

    def __init__(self, fleet: Fleet, random: Random, voters: int) -> None:
        self._fleet = fleet
        self._random = random
        self._names = fleet.names[: voters + 2]
        self._disk_whole_s = 0.0  # from when on a disk may be lost: two at once may be more than a minority

    async def play_one(self) -> None:
        """Draw a fault, and wait until it is over."""
        random, loop = self._random, asyncio.get_running_loop()
        fault = random.choice(FAULTS)
        a, b = random.sample(self._names, 2)
        duration_s = random.uniform(0.2, 3.0)
        if fault == "lose-disk" and loop.time() < self._disk_whole_s:
            fault = "kill"
        match fault:
            case "kill":
                await self._kill(a, duration_s, lose_disk=False)
            case "lose-disk":
                await self._kill(a, duration_s, lose_disk=True)
            case "all":
                await self._kill_all()
            case "cut":
                await self._cut({(a, b)}, duration_s)
            case "apart":
                side = random.sample(self._fleet.names, random.randint(1, len(self._fleet.names) // 2))
                await self._cut(self._fleet.links_between(set(side)), duration_s)
            case "pause":
                self._fleet.paused_until_s[a] = loop.time() + random.uniform(0.2, 8.0)
            case "lost":
                self._fleet.loss_ratio = random.choice(LOSS_RATIOS)
            case "jump":
                self._fleet.wall_offset_s[a] = random.choice(WALL_JUMPS_S)

    async def _kill(self, name: str, duration_s: float, lose_disk: bool) -> None:
        loop = asyncio.get_running_loop()
        await self._fleet.kill(name)
        if lose_disk:
            self._disk_whole_s = loop.time() + duration_s + WHOLE_AGAIN_S
            self._fleet.replace_disk(name)
        await sleep_until(loop.time() + duration_s)
        if name not in self._fleet.services:
            await self._fleet.start(name)

    async def _kill_all(self) -> None:
        fleet, loop = self._fleet, asyncio.get_running_loop()
        await asyncio.gather(*(fleet.kill(name) for name in fleet.names))
        for name in fleet.names:
            await sleep_until(loop.time() + self._random.uniform(0.0, 0.2))
            if name not in fleet.services:
                await fleet.start(name)

    async def _cut(self, links: set[tuple[str, str]], duration_s: float) -> None:
        self._fleet.cut_links |= links
        await sleep_until(asyncio.get_running_loop().time() + duration_s)
        self._fleet.cut_links -= links

    def heal(self) -> None:
        """No link, process or message fails any more."""
        self._fleet.cut_links.clear()
        self._fleet.paused_until_s.clear()
        self._fleet.loss_ratio = 0.0


async def run_fleet(seed: int, brokers: int, voters: int, nodes: int, seconds: float) -> Verdict:
    """Run a fleet under faults for so long, heal it, and check it at its end."""
    fleet = Fleet(seed, brokers, voters, nodes)
    operators = Operators(fleet)
    loop, random = asyncio.get_running_loop(), Random(seed)
    await asyncio.gather(*(fleet.start(name) for name in fleet.names))
    orders = [Order("boxes", tuple(fleet.nodes), "restart", 0.3, at_once=2)]
    if voters > 3:
        orders.append(Order("brokers", tuple(fleet.names[:voters]), "restart", 1.0))
    requests = [loop.create_task(operators.submit(order)) for order in orders]
    end_s = loop.time() + seconds
    work = loop.create_task(operators.confirm_steps(end_s + FINISH_S))
    faults = DrawnFaults(fleet, random, voters)
    while loop.time() < end_s:
        await sleep_until(loop.time() + random.uniform(0.3, 2.0))
        await faults.play_one()
    faults.heal()
    await asyncio.gather(*requests)
    finished = await work
    verdict = check_fleet(fleet, len(operators.agreed_orders), finished)
    await fleet.kill_all()
    return verdict


def play(seed: int, brokers: int = 5, voters: int = 5, nodes: int = 8, seconds: float = 8.0) -> Verdict:
    """Run a fleet on a clock of its own."""
    return virtual_time.run(run_fleet(seed, brokers, voters, nodes, seconds))
