"""What may happen during an upgrade in place: one method a case, all on one broker under load."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from harriertide.decide.settings import SettingsError
from harriertide.engine.clock import sleep_until
from harriertide.lab.rigs.single_broker import COLD_S, BrokerProcess, SingleBrokerRig, call_operator

SETTLE_S = 0.3  # of load between upgrades
UPGRADE_INTERVAL_S = 1.0  # between two upgrades in a row
LONG_READ_S = 1.6  # for a client to read a long response
HIGH_RATE = 400.0  # requests a second
LOW_RATE = 30.0
MAX_START_S = 0.6  # a new process is killed within so long of its start
HANDOVER_S = (0.2, 0.5)  # after the start of a new process: the hand-over is under way
MAX_EARLY_STOP_S = 0.3  # the old process is stopped within so long of the new one's start
LIST_UPDATE_S = 0.05  # for a broker to get an update of the endpoint list
EXIT_BAD_CONFIGURATION = 2


class UpgradeRun:
    """One broker, upgraded again and again."""

    def __init__(self, rig: SingleBrokerRig) -> None:
        self.rig = rig
        self.random = rig.random
        self.serving: BrokerProcess

    def log_failure(self, what: str) -> None:
        """Log that a step did not end as it should."""
        self.rig.logs.write("platform", "failed", what=what)

    async def pause(self, seconds: float) -> None:
        """Wait while the load goes on."""
        await sleep_until(asyncio.get_running_loop().time() + seconds)

    async def start_first_process(self) -> None:
        """Start the first process of the broker."""
        self.serving = await self.rig.launch()
        if await self.rig.wait_ready(self.serving) < 0:
            raise SettingsError(f"the broker did not get ready; see {self.rig.folder}")

    async def replace_process(self) -> None:
        """Upgrade as usual: start a process, wait until it is ready, stop the old one with SIGTERM."""
        new = await self.rig.launch()
        took_s = await self.rig.wait_ready(new)
        if took_s < 0:
            self.log_failure("the new process did not get ready")
            return
        self.rig.logs.write("platform", "ready", took_s=took_s)
        old, self.serving = self.serving, new
        old.signal(signal.SIGTERM)
        if not await self.rig.wait_ended(old) or old.handle.returncode != 0:
            self.log_failure(f"the old process ended with {old.handle.returncode}")

    def kill(self, process: BrokerProcess) -> None:
        """Kill a process; the log excuses the requests that it had."""
        self.rig.logs.write("platform", "killed")
        process.kill()

    # --- cases ---------------------------------------------------------------------------------

    async def plain(self) -> None:
        """Nothing else happens."""
        await self.replace_process()

    async def new_dies_before_ready(self) -> None:
        """The old process goes on: it did not notice, or it takes over again."""
        new = await self.rig.launch()
        await self.pause(self.random.uniform(0.0, MAX_START_S))
        self.kill(new)
        await new.handle.wait()
        await self.pause(SETTLE_S)
        if not self.serving.is_running:
            self.log_failure("the old process ended with the new one")

    async def new_dies_right_after(self) -> None:
        """The old process has not been stopped yet, and takes over again."""
        new = await self.rig.launch()
        if await self.rig.wait_ready(new) < 0:
            self.log_failure("the new process did not get ready")
        self.kill(new)
        await new.handle.wait()
        await self.pause(SETTLE_S)

    async def bad_configuration(self) -> None:
        """The new process exits with 2, and the old one goes on."""
        new = await self.rig.launch(lambda config: config.update(settings={}))
        if not await self.rig.wait_ended(new) or new.handle.returncode != EXIT_BAD_CONFIGURATION:
            self.log_failure(f"a bad configuration ended with {new.handle.returncode}")

    async def old_dies_meanwhile(self) -> None:
        """The old process is killed at any moment of the hand-over: the new one starts with what there is."""
        new = await self.rig.launch()
        await self.pause(self.random.uniform(*HANDOVER_S))
        self.kill(self.serving)
        if await self.rig.wait_ready(new) < 0:
            self.log_failure("the new process did not get ready without the old one")
        self.serving = new

    async def stopped_early(self) -> None:
        """SIGTERM reaches the old process before the new one is ready."""
        new = await self.rig.launch()
        await self.pause(self.random.uniform(0.0, MAX_EARLY_STOP_S))
        self.serving.signal(signal.SIGTERM)
        if await self.rig.wait_ready(new) < 0:
            self.log_failure("the new process did not get ready beside one that ends")
        await self.rig.wait_ended(self.serving)
        self.serving = new

    async def two_at_once(self) -> None:
        """Two new processes get ready; the last one that took over goes on."""
        new_processes = [await self.rig.launch() for _ in range(2)]
        if min(await asyncio.gather(*map(self.rig.wait_ready, new_processes))) < 0:
            self.log_failure("one of two new processes did not get ready")
            return
        self.serving.signal(signal.SIGTERM)
        await self.rig.wait_ended(self.serving)
        states = [
            (await call_operator(process.operator_port, "GET /api/ready")).state for process in new_processes
        ]
        last = 0 if "superseded" in states[1] else 1
        new_processes[1 - last].signal(signal.SIGTERM)
        await self.rig.wait_ended(new_processes[1 - last])
        self.serving = new_processes[last]

    async def one_second_apart(self) -> None:
        """The next upgrade begins while the process before the last may still finish what it has."""
        oldest, self.serving = self.serving, await self.rig.launch()
        if await self.rig.wait_ready(self.serving) < 0:
            self.log_failure("the first of two new processes did not get ready")
            return
        oldest.signal(signal.SIGTERM)
        await self.pause(UPGRADE_INTERVAL_S)
        await self.replace_process()
        if not await self.rig.wait_ended(oldest):
            self.log_failure("the oldest of three processes did not end")

    async def third_process(self) -> None:
        """Three processes live at once, as the first two were not stopped."""
        older = [self.serving]
        for _ in range(2):
            self.serving = await self.rig.launch()
            if await self.rig.wait_ready(self.serving) < 0:
                self.log_failure("a new process did not get ready beside others")
                return
            older.append(self.serving)
        older.pop()
        for process in older:
            process.signal(signal.SIGTERM)
        for process in older:
            if not await self.rig.wait_ended(process) or process.handle.returncode != 0:
                self.log_failure(f"an older process ended with {process.handle.returncode}")

    async def long_response(self) -> None:
        """A client reads a long response of the old process during the whole upgrade."""
        reading = asyncio.create_task(self.rig.clients.read_slowly(LONG_READ_S))
        await self.pause(SETTLE_S)
        await self.replace_process()
        if not await reading:
            self.log_failure("a long answer on its way was cut off")

    async def paused(self) -> None:
        """The old process is paused, superseded, and continued. Requests are few, as all wait meanwhile."""
        rate, self.rig.clients.rate = self.rig.clients.rate, LOW_RATE
        self.serving.signal(signal.SIGSTOP)
        old, new = self.serving, await self.rig.launch()
        if await self.rig.wait_ready(new) < 0:
            self.log_failure("the new process did not get ready beside one that stands still")
        old.signal(signal.SIGCONT)
        await self.pause(SETTLE_S)
        self.serving = new
        old.signal(signal.SIGTERM)
        await self.rig.wait_ended(old)
        self.rig.clients.rate = rate

    async def busy(self) -> None:
        """Three times the load."""
        rate, self.rig.clients.rate = self.rig.clients.rate, HIGH_RATE
        await self.pause(SETTLE_S)
        await self.replace_process()
        self.rig.clients.rate = rate

    async def in_a_drain(self) -> None:
        """The new process is drained too, until it rejoins."""
        await call_operator(self.serving.operator_port, "POST /api/evacuate")
        await self.replace_process()
        if (await call_operator(self.serving.operator_port, "POST /api/rejoin")).status != 200:
            self.log_failure("the new process did not rejoin")

    async def discovery_dark(self) -> None:
        """Discovery is away: the new process uses the endpoint list of the old one."""
        self.rig.discovery.set_dark(True)
        await self.replace_process()
        self.rig.discovery.set_dark(False)
        await self.pause(SETTLE_S)

    async def cold_node(self) -> None:
        """A node has just restarted: both processes together keep to its slow-start budget."""
        node = self.random.choice(self.rig.nodes)
        node.started_us = self.rig.unix_us()
        self.rig.logs.write("platform", "restarted", node=node.name)
        self.rig.discovery.notify()
        await self.replace_process()
        await self.pause(COLD_S)

    async def draining_node(self) -> None:
        """A node's drain that the old process was notified of holds for the new one."""
        node = self.random.choice(self.rig.nodes)
        node.health = "draining"
        self.rig.discovery.notify()
        await self.pause(LIST_UPDATE_S)
        self.rig.discovery.set_dark(True)  # so that the new process can learn of it from the old one only
        await self.replace_process()
        node.health = "up"
        self.rig.discovery.set_dark(False)
        self.rig.discovery.notify()
        await self.pause(SETTLE_S)


# By the name under which a case is chosen and logged.
CASES: dict[str, Callable[[UpgradeRun], Awaitable[None]]] = {
    "plain": UpgradeRun.plain,
    "new-dies": UpgradeRun.new_dies_before_ready,
    "new-dies-after": UpgradeRun.new_dies_right_after,
    "bad-configuration": UpgradeRun.bad_configuration,
    "old-dies": UpgradeRun.old_dies_meanwhile,
    "told-early": UpgradeRun.stopped_early,
    "two-at-once": UpgradeRun.two_at_once,
    "one-second-apart": UpgradeRun.one_second_apart,
    "third-process": UpgradeRun.third_process,
    "long-answer": UpgradeRun.long_response,
    "paused": UpgradeRun.paused,
    "busy": UpgradeRun.busy,
    "in-a-drain": UpgradeRun.in_a_drain,
    "discovery-dark": UpgradeRun.discovery_dark,
    "cold-node": UpgradeRun.cold_node,
    "draining-node": UpgradeRun.draining_node,
}
