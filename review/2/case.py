"""Writes of one key, in an ordered class, while the broker is upgraded in place."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from review.standins.case import run_case
from review.standins.clients import Call, Client
from review.standins.discovery import Discovery
from review.standins.http_messages import Message
from review.standins.nodes import Node, whole_answer
from review.standins.platform import (
    Broker,
    base_settings,
    free_port,
    hold_listening_socket,
    reserve_inherited_descriptor,
)
from review.standins.record import Record

WORK_S = 0.06  # of one write, as the brief has it for `new-file`
QUIET_US = 500_000
BURST_INTERVAL_S = 0.4
WRITES_PER_BURST = 8  # of the same key in a row
UPGRADE_COUNT = 3
LONGEST_DEADLINE_S = 3.0


def settings() -> dict[str, Any]:
    """Settings of a small deployment whose writes run in order by key."""
    changed = base_settings()
    for request_class in changed["classes"]:
        request_class["inOrder"] = request_class["name"] == "new-file"
    changed["safety"]["keyQuietUs"] = QUIET_US
    return changed


class OrderedNode:
    """Runs each write for WORK_S, then applies it, and notes each write that arrives while another is out.

    A value is the number of the burst that its client sent it in: writes of a later burst were sent later.
    """

    def __init__(self, record: Record) -> None:
        self.breaks: list[str] = []
        self._record = record
        self._running: dict[str, int] = {}  # values by call ID
        self.replaced_count = 0  # of answered writes, by ones that were sent earlier
        self._newest_answered = -1

    async def run(self, node: Node, message: Message, writer: asyncio.StreamWriter) -> None:
        """Run one write."""
        call, value = message.headers["x-call-id"], int(message.body)
        for other, other_value in self._running.items():
            self.breaks.append(f"{call} (burst {value}) arrived while {other} (burst {other_value}) was out")
            self._record.write("crossing", what=self.breaks[-1])
        self._running[call] = value
        try:
            await asyncio.sleep(WORK_S)
        finally:
            del self._running[call]
        self._record.write("node-applied", id=call, burst=value)
        if value < self._newest_answered:
            self.replaced_count += 1
            self._record.write("replaced", id=call, burst=value, answered=self._newest_answered)
        self._newest_answered = max(self._newest_answered, value)
        writer.write(whole_answer(b"stored"))


async def write_bursts(address: tuple[str, int], record: Record, is_over: asyncio.Event) -> None:
    """Send bursts of writes of one key; a client opens more connections when all are busy."""
    idle: list[Client] = []
    open_writes: set[asyncio.Task[None]] = set()

    async def write(value: int) -> None:
        client = idle.pop() if idle else Client(address, record)
        await client.send(Call("PUT", "new-file", body=b"%d" % value, budget_ms=3000))
        idle.append(client)

    value = 0
    while not is_over.is_set():
        for _ in range(WRITES_PER_BURST):
            open_writes.add(asyncio.create_task(write(value)))
        value += 1
        await asyncio.sleep(BURST_INTERVAL_S)
    await asyncio.wait(open_writes)
    for client in idle:
        client.close()


async def play(folder: Path, record: Record, has_trouble: bool) -> list[str]:
    """Write under load; with trouble, upgrade the broker in place meanwhile."""
    ordered = OrderedNode(record)
    node = Node("s-1", 0, record, ordered.run)
    await node.start()
    discovery = Discovery([node])
    await discovery.start()
    listen = hold_listening_socket()
    tmpdir = folder / "tmp"
    tmpdir.mkdir()

    def start(number: int) -> Broker:
        config: Mapping[str, Any] = {
            "name": "n0", "listen": f"{listen[0]}:{listen[1]}", "operator": f"127.0.0.1:{free_port()}",
            "discovery": discovery.address, "seed": f"{number + 1:x}", "peers": [],
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.page(),
            "settings": settings(),
        }  # fmt: skip
        return Broker(f"process-{number}", folder, tmpdir, config, record, is_inherited=True)

    processes = [start(0)]
    try:
        await processes[0].wait_until_ready()
        is_over = asyncio.Event()
        writer = asyncio.create_task(write_bursts(processes[0].address, record, is_over))
        await asyncio.sleep(2.0)
        for number in range(1, UPGRADE_COUNT + 1):
            if has_trouble:
                processes.append(start(number))
                await processes[number].wait_until_ready()
                await asyncio.sleep(1.0)
                processes[number - 1].signal(signal.SIGTERM)
            await asyncio.sleep(LONGEST_DEADLINE_S + 0.7)
            if has_trouble:
                processes[number - 1].end()  # as the platform does, if it has not ended yet
        is_over.set()
        await writer
        if processes[-1].process.poll() is not None:
            raise RuntimeError("the broker has ended")
        print(f"two writes out at once: {len(ordered.breaks)}; replaced by older: {ordered.replaced_count}")
        return ordered.breaks
    finally:
        for process in processes:
            process.end()
        discovery.close()
        node.close()


if __name__ == "__main__":
    reserve_inherited_descriptor()
    run_case(__file__, play)
