"""One soak run: carries out a plan on a real broker under load, and logs what happens."""

from __future__ import annotations

import asyncio
import json
import signal
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

from harriertide.engine.clock import sleep_until
from harriertide.lab.experiments.soak_plan import Restart, SignalAt, SoakPlan, Step
from harriertide.lab.rigs.clients import DEADLINE_MS
from harriertide.lab.rigs.single_broker import COLD_S, BrokerProcess, SingleBrokerRig

SETTLE_S = 0.3  # of load between steps
APPEND_RATIO = 0.2  # of requests that may run once only
MAX_WAITED_DEADLINE_S = 3.0  # a longer one does not put off the kill
KILL_SLACK_S = 0.7
EARLIEST_KILL_S = min(MAX_WAITED_DEADLINE_S, DEADLINE_MS / 1000) + KILL_SLACK_S  # after SIGTERM
HALF_REQUEST = b"GET /api?key=1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: "
UNUSABLE_BYTES = 20  # that a spoilt configuration file lacks at its end
MAX_LEAVE_S = 0.05  # after which a client that leaves early closes
SIGNALS = {"HUP": signal.SIGHUP, "TERM": signal.SIGTERM}
ENDED_IN_ORDER = (0, -signal.SIGKILL, -signal.SIGTERM)  # SIGTERM: before the program had begun to run


class SoakRun:
    """A broker on its rig, and what happens to it."""

    def __init__(self, rig: SingleBrokerRig, plan: SoakPlan) -> None:
        self._rig = rig
        self._plan = plan
        self._random = Random(plan.seed)
        self._reload_count = 0
        self._configurations: list[dict[str, Any]] = []  # of each process, in the order of their starts
        self._steps = {
            "reload": self._reload,
            "drain": self._drain_node,
            "cold-node": self._restart_node,
            "node-fault": self._spoil_node,
            "dark": self._darken_discovery,
            "crowd": self._crowd,
            "leavers": self._leave_early,
            "burst": self._burst,
            "pause": self._pause_broker,
            "hand-over": self._hand_over,
        }
        self.serving: BrokerProcess

    async def run(self) -> None:
        """Carry out the whole plan."""
        self.serving = await self._launch()
        await self._wait_ready(self.serving)
        stop = asyncio.Event()
        load = asyncio.create_task(self._rig.clients.offer(stop))
        await _pause(SETTLE_S)
        for number, step in enumerate(self._plan.steps):
            await self._take_step(step)
            if number == len(self._plan.steps) // 2 - 1:
                await self._restart(self._plan.first_restart)
        await self._restart(self._plan.last_restart)
        await _pause(SETTLE_S)
        stop.set()
        await load

    async def _take_step(self, step: Step) -> None:
        """Carry out one step; idle clients that fill the descriptors are logged."""
        self._log("step", kind=step.kind)
        is_crowd = step.kind == "crowd"
        if is_crowd:
            self._log("crowd", begins=True)
        await self._steps[step.kind](step)
        await _pause(SETTLE_S)
        if is_crowd:
            self._log("crowd", begins=False)

    # --- processes -------------------------------------------------------------------------------

    def _log(self, event: str, **row: Any) -> None:
        self._rig.logs.write("platform", event, **row)

    async def _launch(self) -> BrokerProcess:
        return await self._rig.launch(self._change_configuration)

    def _change_configuration(self, config: dict[str, Any]) -> None:
        config["limits"]["sockets"] = self._plan.sockets
        self._configurations.append(config)

    async def _wait_ready(self, process: BrokerProcess) -> None:
        took_s = await self._rig.wait_ready(process)
        if took_s < 0:
            self._log("failed", what=f"not ready, exit status {process.handle.returncode}")
        else:
            self._log("ready", took_s=took_s)

    async def _send(
        self, process: BrokerProcess, signals: tuple[SignalAt, ...], may_spoil: bool = True
    ) -> None:
        """Send signals in series; each SIGHUP finds another configuration file.

        :param may_spoil: every other file can't be used, which ends a process that starts
        """
        for each in signals:
            await _pause(each.after_s)
            if each.name == "HUP":
                self._write_configuration(process, may_spoil)
            self._log("signal", name=each.name)
            process.signal(SIGNALS[each.name])

    def _write_configuration(self, process: BrokerProcess, may_spoil: bool) -> None:
        self._reload_count += 1
        number = self._rig.processes.index(process)
        path = self._rig.folder / f"config-{number}.json"
        config = self._configurations[number]
        config["settings"]["classes"][0]["worth"] = 2.0 + self._reload_count
        text = json.dumps(config)
        is_spoilt = may_spoil and self._reload_count % 2 == 0
        part = path.with_suffix(".part")
        part.write_text(text[:-UNUSABLE_BYTES] if is_spoilt else text, encoding="utf-8")
        part.rename(path)  # no process reads half a file

    async def _kill(self, process: BrokerProcess) -> None:
        """SIGKILL where the process has not ended; it has to have ended in order before."""
        self._log("stopped", running=process.is_running)
        process.kill()
        await process.handle.wait()
        if process.handle.returncode not in ENDED_IN_ORDER:
            self._log("failed", what=f"a process ended with {process.handle.returncode}")

    async def _restart(self, restart: Restart) -> None:
        """Stop the broker by signals and kill it at the earliest time allowed, then start it anew."""
        loop = asyncio.get_running_loop()
        clients = self._rig.clients
        if restart.hangs >= 0:
            self._rig.nodes[restart.hangs].fault = "hang"
        signalling = asyncio.create_task(self._send(self.serving, restart.stop))
        until_term_s = sum(each.after_s for each in restart.stop[: _index_of_term(restart.stop) + 1])
        told_at_s = loop.time() + until_term_s
        await sleep_until(told_at_s + restart.new_connections_s)
        clients.gets_new_connections = False
        await sleep_until(told_at_s + EARLIEST_KILL_S)
        await signalling
        await self._kill(self.serving)
        for node in self._rig.nodes:
            node.fault = ""
        self.serving = await self._start_under_signals(restart.start)
        clients.gets_new_connections = True

    async def _start_under_signals(self, signals: tuple[SignalAt, ...]) -> BrokerProcess:
        """Start a process and send it signals meanwhile; another one where they ended it."""
        process = await self._launch()
        await self._send(process, signals, may_spoil=False)
        if any(each.name == "TERM" for each in signals):
            await _pause(EARLIEST_KILL_S)
            await self._kill(process)
            process = await self._launch()
        await self._wait_ready(process)
        return process

    async def _hand_over(self, step: Step) -> None:
        """Upgrade in place; signals reach the old process at any moment of it."""
        old = self.serving
        new = await self._launch()
        signalling = asyncio.create_task(self._send(old, step.signals))
        await self._wait_ready(new)
        await signalling
        self.serving = new
        if not await self._rig.wait_ended(old) or old.handle.returncode not in ENDED_IN_ORDER:
            self._log("failed", what=f"the old process ended with {old.handle.returncode}")

    # --- faults ----------------------------------------------------------------------------------

    async def _hold_up(self, seconds: float) -> None:
        """Hold the broker up for a moment, as a busy machine does."""
        if seconds > 0:
            self.serving.signal(signal.SIGSTOP)
            await _pause(seconds)
            self.serving.signal(signal.SIGCONT)

    async def _pause_broker(self, step: Step) -> None:
        await self._hold_up(step.pause_s)

    async def _reload(self, step: Step) -> None:
        await self._send(self.serving, step.signals)
        await self._hold_up(step.pause_s)

    async def _drain_node(self, step: Step) -> None:
        node = self._rig.nodes[step.node]
        node.health = "draining"
        self._rig.discovery.notify()
        await self._hold_up(step.pause_s)
        await _pause(step.seconds)
        node.health = "up"
        self._rig.discovery.notify()
        await self._hold_up(step.pause_s)

    async def _restart_node(self, step: Step) -> None:
        node = self._rig.nodes[step.node]
        node.started_us = self._rig.unix_us()
        self._log("restarted", node=node.name)
        self._rig.discovery.notify()
        await self._hold_up(step.pause_s)
        await _pause(COLD_S)

    async def _spoil_node(self, step: Step) -> None:
        node = self._rig.nodes[step.node]
        node.fault = step.fault
        await _pause(step.seconds)
        await self._hold_up(step.pause_s)
        node.fault = ""

    async def _darken_discovery(self, step: Step) -> None:
        self._rig.discovery.set_dark(True)
        await _pause(step.seconds)
        self._rig.discovery.set_dark(False)
        await self._hold_up(step.pause_s)

    async def _crowd(self, step: Step) -> None:
        """Idle connections and half-written requests, as many as there are descriptors."""
        writers: list[asyncio.StreamWriter] = []
        for number in range(self._plan.sockets):
            with suppress(OSError):
                _, writer = await asyncio.open_connection(*self._rig.address)
                writers.append(writer)
                if number % 2:
                    writer.write(HALF_REQUEST)
        await _pause(step.seconds)
        for writer in writers:
            writer.transport.abort()

    async def _leave_early(self, step: Step) -> None:
        delays_s = [self._random.uniform(0.0, MAX_LEAVE_S) for _ in range(step.count)]
        await asyncio.gather(*map(self._rig.clients.leave_early, delays_s))
        await self._hold_up(step.pause_s)

    async def _burst(self, step: Step) -> None:
        self._rig.clients.burst(step.count)
        await self._hold_up(step.pause_s)
        await _pause(step.seconds)


def _index_of_term(signals: tuple[SignalAt, ...]) -> int:
    return next(index for index, each in enumerate(signals) if each.name == "TERM")


async def _pause(seconds: float) -> None:
    """Wait while the load goes on."""
    await sleep_until(asyncio.get_running_loop().time() + seconds)


async def carry_out(folder: Path, plan: SoakPlan) -> None:
    """Write the plan down, then carry it out; what happened is in the folder's logs."""
    (folder / "plan.json").write_bytes(plan.encode())
    rig = SingleBrokerRig(folder, Random(plan.seed))
    await rig.start()
    rig.clients.append_ratio = APPEND_RATIO
    try:
        await SoakRun(rig, plan).run()
    finally:
        await rig.close()
