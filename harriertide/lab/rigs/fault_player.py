"""Faults of real brokers: a script drawn from a seed, and each fault as the maintenance rig plays it."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from pathlib import Path
from random import Random
from typing import Any, Protocol

from harriertide.engine.clock import sleep_until
from harriertide.lab.rigs.fault_script import Fault
from harriertide.lab.rigs.frame_relay import FrameFaults, FrameRelay

WALL_JUMPS_S = (-3600.0, 3600.0)
BUSY_AFTER_S = 2.5  # after a fault of a process: until another process may have one
BUSY_AFTER_DISK_S = 6.0  # after a fault of a disk, whose member joins anew
PROCESS_VERBS = ("kill", "pause", "term", "lose-disk", "sync-fails", "disk-full", "apart")
DISK_VERBS = ("lose-disk", "sync-fails", "disk-full")
# a is the broker, or the link from a to b; frames: this part lost, late, doubled and put behind, from now on
VERBS = (
    "kill", "pause", "term", "lose-disk", "cut", "apart", "reset", "deaf", "slow-sync", "sync-fails",
    "disk-full", "jump", "frames",
)  # fmt: skip


def draw(
    seed: int, brokers: int, seconds: float, gap_s: float = 1.5, verbs: tuple[str, ...] = VERBS
) -> list[Fault]:
    """Draw a script.

    One broker at most is without its process, disk or others at a time; links fail beside that.
    """
    random = Random(seed)
    faults = [Fault(0.0, "frames", part=0.05)]
    at_s, busy_until_s = 1.0, 0.0
    while at_s < seconds:
        verb = random.choice(verbs)
        a, b = random.sample(range(brokers), 2)
        duration_s = round(random.uniform(0.3, 2.5), 2)
        if verb in PROCESS_VERBS and at_s < busy_until_s:
            verb = "cut"
        if verb in PROCESS_VERBS:
            after_s = BUSY_AFTER_DISK_S if verb in DISK_VERBS else BUSY_AFTER_S
            busy_until_s = at_s + duration_s + after_s
        part = round(random.uniform(0.0, 0.3), 2) if verb == "frames" else 0.0
        faults.append(Fault(round(at_s, 2), verb, a, b, duration_s, part))
        at_s += random.uniform(0.3, 2 * gap_s)
    return faults


class FaultyRig(Protocol):
    """What faults are played on: brokers by number, their processes, links and files."""

    folder: Path
    names: list[str]
    random: Random
    links: dict[tuple[int, int], FrameRelay]
    frame_faults: FrameFaults

    def write(self, name: str, **row: Any) -> None:
        """Write a line of a log, with its time."""

    def links_of(self, place: int) -> list[FrameRelay]:
        """The links from and to a broker."""

    def send_signal(self, place: int, number: signal.Signals) -> None:
        """Send a signal to a broker's process."""

    async def kill(self, place: int) -> None:
        """Kill a broker's process."""

    async def end(self, place: int, number: signal.Signals) -> None:
        """Send a signal to a broker's process, and wait for its end."""

    async def start_again(self, place: int) -> None:
        """Start a broker's process anew."""


class FaultPlayer:
    """Plays faults on a rig, each until it is over."""

    def __init__(self, rig: FaultyRig) -> None:
        self._rig = rig
        self._players: dict[str, Callable[[Fault], Awaitable[None]]] = {
            "kill": self._play_kill,
            "lose-disk": self._play_kill,
            "term": self._play_term,
            "pause": self._play_pause,
            "cut": self._play_cut,
            "apart": self._play_cut,
            "reset": self._play_reset,
            "deaf": self._play_deaf,
            "slow-sync": self._play_disk,
            "sync-fails": self._play_disk,
            "disk-full": self._play_disk,
            "jump": self._play_disk,
            "frames": self._play_frames,
        }

    async def play(self, faults: list[Fault]) -> None:
        """Each fault at its time; returns when the last is over."""
        loop = asyncio.get_running_loop()
        begun, tasks = loop.time(), []
        rows = [asdict(fault) for fault in faults]
        (self._rig.folder / "script.json").write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")
        for fault in faults:
            await sleep_until(begun + fault.at_s)
            self._rig.write("rig", event="fault", **asdict(fault))
            tasks.append(asyncio.ensure_future(self.play_one(fault)))
        await asyncio.gather(*tasks)

    async def play_one(self, fault: Fault) -> None:
        """Play one fault, until it is over."""
        await self._players[fault.verb](fault)

    async def _last(self, fault: Fault) -> None:
        await sleep_until(asyncio.get_running_loop().time() + fault.for_s)

    async def _play_kill(self, fault: Fault) -> None:
        await self._rig.kill(fault.a)
        if fault.verb == "lose-disk":
            shutil.rmtree(self._rig.folder / self._rig.names[fault.a], ignore_errors=True)
        await self._last(fault)
        await self._rig.start_again(fault.a)

    async def _play_term(self, fault: Fault) -> None:
        await self._rig.end(fault.a, signal.SIGTERM)
        await self._rig.start_again(fault.a)

    async def _play_pause(self, fault: Fault) -> None:
        self._rig.send_signal(fault.a, signal.SIGSTOP)
        await self._last(fault)
        self._rig.send_signal(fault.a, signal.SIGCONT)

    async def _play_cut(self, fault: Fault) -> None:
        links = [self._rig.links[fault.a, fault.b]] if fault.verb == "cut" else self._rig.links_of(fault.a)
        for link in links:
            link.is_cut = True
        await self._last(fault)
        for link in links:
            link.is_cut = False

    async def _play_reset(self, fault: Fault) -> None:
        self._rig.links[fault.a, fault.b].reset()

    async def _play_deaf(self, fault: Fault) -> None:
        link = self._rig.links[fault.a, fault.b]
        link.is_deaf = True
        link.reset()
        await self._last(fault)
        link.is_deaf = False
        link.reset()

    async def _play_disk(self, fault: Fault) -> None:
        """By the file that the broker's process reads at each sync."""
        faults = {
            "slow-sync": {"sync_ms": 500.0},
            "sync-fails": {"fail": 1.0},
            "disk-full": {"full": 1.0},
            "jump": {"wall_s": self._rig.random.choice(WALL_JUMPS_S)},
        }
        path = self._rig.folder / f"{self._rig.names[fault.a]}.faults"
        path.write_text(json.dumps(faults[fault.verb]), encoding="utf-8")
        await self._last(fault)
        path.write_text("{}", encoding="utf-8")
        if fault.verb in ("sync-fails", "disk-full"):  # final for the process: somebody starts it again
            await self._rig.kill(fault.a)
            await self._rig.start_again(fault.a)

    async def _play_frames(self, fault: Fault) -> None:
        self._rig.frame_faults.ratio = fault.part
