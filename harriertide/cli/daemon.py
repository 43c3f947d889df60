"""The daemon: one broker's process, composed of its parts.

What happens to it is in modules of its own, each a function over the process: `startup`, `reload` (SIGHUP),
`shutdown` (SIGTERM, SIGINT) and `in_place_upgrade` (a newer process of the same broker takes over).
"""

from __future__ import annotations

import asyncio
import gc
import signal
import sqlite3
import sys
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from harriertide.cli.early_reload import early_reloads
from harriertide.cli.initial_settings import InitialSettings, find_initial_settings
from harriertide.cli.listeners import Address, Listeners
from harriertide.cli.memory_guard import MemoryGuard
from harriertide.cli.reload import reload
from harriertide.cli.shutdown import shut_down
from harriertide.cli.startup import Readiness, start_up
from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.decide import api
from harriertide.decide.settings import Names, SettingsError
from harriertide.engine.clock import Clock
from harriertide.engine.counters import counter_fields
from harriertide.engine.log import capture_library_logs, log
from harriertide.engine.loop_monitor import LoopMonitor, monitored_loop
from harriertide.engine.runtime import Runtime
from harriertide.http.connection_table import ConnectionTable
from harriertide.http.limits import Limits, read_limits
from harriertide.http.node_client import NodeClient
from harriertide.lifecycle.machine import Lifecycle
from harriertide.platform.configuration import Config, read_config
from harriertide.platform.connection import PlatformServer
from harriertide.platform.endpoint_directory import EndpointDirectory
from harriertide.platform.endpoint_watch import EndpointWatch
from harriertide.platform.front import Front
from harriertide.platform.peers import Peers
from harriertide.platform.probes import Probes

if TYPE_CHECKING:  # a broker of the platform does without the object front, and starts the sooner
    from harriertide.cli.in_place_upgrade import InPlaceUpgrade
    from harriertide.config.maintenance_section import MaintenanceSettings
    from harriertide.config.operator_file import OperatorFile
    from harriertide.control.maintenance_service import MaintenanceService
    from harriertide.lifecycle.operator_api import OperatorApi
    from harriertide.objects.service import ObjectService

EXIT_UNUSABLE = 2  # the configuration or the operator's file can't be used
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


class Daemon:
    """One process in service: the platform's front, the object front, or both on one core.

    :param config: the platform's configuration; None: there is no platform.
    :param operator_file: of the object front; None: there is none.
    :param maintenance_overrides: arguments of the maintenance service, in place of the disk and the wall
        clock: for experiments.
    :param loop_monitor: measures the pauses of the event loop; None: they are not measured.
    """

    def __init__(
        self,
        config: Config | None,
        operator_file: OperatorFile | None,
        maintenance_overrides: dict[str, Any] | None = None,
        loop_monitor: LoopMonitor | None = None,
    ) -> None:
        initial = find_initial_settings(config, operator_file)
        self.config = config
        self.stopping = asyncio.Event()
        self.lifecycle = Lifecycle()
        self.listeners = Listeners()
        self.readiness = Readiness(self._on_ready)
        self.operator_api: OperatorApi | None = None
        self.in_place_upgrade: InPlaceUpgrade | None = None
        self.watch: EndpointWatch | None = None
        self.peers: Peers | None = None
        self.objects: ObjectService | None = None
        self.maintenance: MaintenanceService | None = None
        self._loop_monitor = loop_monitor
        self._compose_core(initial)
        if config is not None:
            self._compose_platform_side(config, initial)
        if operator_file is not None:
            self._compose_object_front(operator_file, initial.names)
            if operator_file.maintenance is not None:
                self._compose_maintenance(operator_file.maintenance, maintenance_overrides or {})

    # --- composition ---------------------------------------------------------------------------

    def _compose_core(self, initial: InitialSettings) -> None:
        """What every process has: the core on its loop, clients on one side and nodes on the other."""
        names = initial.names
        limits = self.config.limits if self.config is not None else read_limits()
        self.seed = initial.seed
        self.core = Reducer(initial.settings, initial.seed)
        self.runtime = Runtime(self.core, Clock(asyncio.get_running_loop()))
        self.directory = EndpointDirectory(names.zones)
        self.clients = ConnectionTable(limits)
        self.client = NodeClient(self._find_node_address, names.connect_us, names.idle_us, limits)
        self.memory = MemoryGuard(self, limits)
        self.front = Front(self.runtime, self.client, names, self.memory.requests)
        self.probes = Probes(self.client, self.runtime.post)
        self.runtime.start_probe = self.probes.start
        self.apply_lifecycle()

    def _compose_platform_side(self, config: Config, initial: InitialSettings) -> None:
        """The endpoint list from discovery, and messages between brokers."""
        self.watch = EndpointWatch(config.discovery, self.directory, self.runtime.post)
        self.peers = Peers(config.peers, config.settings.broker_index, self.runtime.post)
        self.runtime.watch_endpoints = self.watch.open
        self.runtime.send_peer_message = self.peers.send
        cached = self.directory.apply(initial.endpoint_list, "cached")
        self.runtime.post(ev.EndpointsUpdated(cached))

    def _compose_object_front(self, operator_file: OperatorFile, names: Names) -> None:
        from harriertide.objects.service import ObjectService

        config = self.config
        platform_plans = names.plans if config is not None else None
        writes = config.writes if config is not None else ()
        self.objects = ObjectService(operator_file, self.runtime, self.client, platform_plans, writes)

    def _compose_maintenance(self, settings: MaintenanceSettings, overrides: dict[str, Any]) -> None:
        """Take part in what the brokers agree on."""
        from harriertide.control.maintenance_service import MaintenanceService

        objects = self.objects
        assert objects is not None, "maintenance is a section of the object front's file"

        def set_ready(is_ready: bool) -> None:
            self.lifecycle.is_in_maintenance = not is_ready
            self.apply_lifecycle()
            objects.front.ready = is_ready

        clock = self.runtime.clock
        self.maintenance = MaintenanceService(
            settings, self.core, objects, clock.now_us, self.stopping.set, set_ready, **overrides
        )
        objects.admin.add_subsystem("maintenance", self.maintenance.handle)

    def _find_node_address(self, node: str) -> str | None:
        """Where a node is dialled: as the operator says, else as discovery does."""
        own = self.objects.find(node) if self.objects is not None else None
        return own or self.directory.find(node)

    # --- what holds for the parts now ----------------------------------------------------------

    def settings_in_force(self) -> api.Settings:
        """The settings of the configuration, less what a newer process of this broker gives out."""
        assert self.config is not None, "only a platform's settings change hands"
        if not self.lifecycle.is_superseded:
            return self.config.settings
        return self.config.settings.superseded()

    def limits_in_force(self) -> Limits:
        """The limits of the configuration, less what this process was measured to need for itself."""
        assert self.config is not None, "only a platform's limits change"
        return self.memory.adapt(self.config.limits)

    def apply_lifecycle(self) -> None:
        """Have all parts go by the lifecycle as it is now, in the same turn of the loop."""
        self.front.ready = self.lifecycle.is_healthy
        self.front.closes_connections = self.lifecycle.closes_connections
        self.clients.set_retiring(self.lifecycle.is_draining)

    def apply_limits(self) -> None:
        """Have both sides' connections go by the limits; two processes of one broker share them."""
        limits = self.limits_in_force()
        if self.in_place_upgrade is not None:
            limits = self.in_place_upgrade.share(limits)
        self.client.pool.apply_limits(limits)
        self.clients.apply_limits(limits)
        self.memory.apply_limits(limits)

    def counters(self) -> dict[str, int]:
        """All counters, as `part.name`."""
        parts = {
            "core": self.core.counts,
            "front": self.front.counts,
            "boxes": self.client.counts,
            "clients": self.clients.counts,
            "probes": self.probes.counts,
            "memory": self.memory.counts,
            "reads": self.clients.read_scheduler.counts,
        }
        if self._loop_monitor is not None:
            parts["loop"] = self._loop_monitor.counts
        if self.watch is not None:
            parts["watch"] = self.watch.counts
        if self.peers is not None:
            parts["peers"] = self.peers.counts
        if self.operator_api is not None:
            parts["operators"] = self.operator_api.counts
        if self.objects is not None:
            parts |= self.objects.counts()
        if self.maintenance is not None:
            parts |= self.maintenance.counters()
        return counter_fields(parts)

    # --- listening -----------------------------------------------------------------------------

    async def open_operator_api(self, at: Address) -> None:
        """Answer operators at this address."""
        from harriertide.lifecycle.operator_api import OperatorApi  # only where there is an address for it

        self.operator_api = OperatorApi(self.lifecycle, self.apply_lifecycle)
        await self.listeners.open_for_operators(at, self.operator_api.connection)

    async def open_peer_listener(self) -> None:
        """Receive messages of other brokers, unless it does already."""
        config, peers = self.config, self.peers
        if config is None or config.peer_listen is None or peers is None or peers.is_open:
            return
        await peers.listen(config.peer_listen, shared=config.inherited_descriptor is not None)

    async def start_accepting(self) -> None:
        """Accept the platform's clients, and messages of other brokers."""
        await self.open_peer_listener()
        await self.listeners.open_for_clients(PlatformServer(self.front, self.clients))

    def stop_accepting(self) -> None:
        """Accept neither any more: another process of this broker does."""
        self.listeners.close_for_clients()
        if self.peers is not None:
            self.peers.drain_and_close()

    def create_in_place_upgrade(self, config: Config) -> InPlaceUpgrade:
        """Enter this process among those of its broker."""
        from harriertide.cli.in_place_upgrade import InPlaceUpgrade  # only with an inherited descriptor

        self.in_place_upgrade = InPlaceUpgrade(self, config)
        return self.in_place_upgrade

    # --- from start to end ---------------------------------------------------------------------

    async def start(self) -> None:
        """Bring the process up; see `startup`."""
        await start_up(self)

    def _on_ready(self) -> None:
        self.lifecycle.mark_serving()
        self.apply_lifecycle()

    def reload(self, environment: Mapping[str, str]) -> None:
        """Go by the configuration file as it is now; see `reload`."""
        reload(self, environment)

    async def stop(self) -> None:
        """Shut down gracefully; see `shutdown`."""
        await shut_down(self)

    async def serve(self, environment: Mapping[str, str]) -> None:
        """Serve until a signal or the maintenance ends it, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGUSR1, self._log_counters)
        self.memory.measure_own_memory()
        if self.config is not None:
            self.apply_limits()
        await self.start()
        loop.add_signal_handler(signal.SIGHUP, self.reload, environment)
        if early_reloads.are_awaited:  # only now: a start goes by the configuration that it began with
            self.reload(environment)
        _resume_garbage_collection()
        if self._loop_monitor is not None:
            self._loop_monitor.is_logging = True
        self.memory.start()
        await self.stopping.wait()
        await self.stop()
        self.memory.close()
        log.log_final("counters", **self.counters())
        _ignore_signals(loop)

    def _log_counters(self) -> None:
        log("counters", **self.counters())


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Disregard signals from now on: the shutdown is complete, and only the interpreter's exit is left.

    Guards against a signal that ends the process in the last moment: as the loop closes and the interpreter
    exits, they put the system's defaults back, and the orderly end would be reported as a death by signal.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    for number in HANDLED_SIGNALS:
        loop.remove_signal_handler(number)  # else the loop puts the default back as it closes
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def _resume_garbage_collection() -> None:
    """Collect again, as the start is over (see `main._start_lean`).

    What stands by now stays for good, and need not be looked through again and again.
    """
    gc.collect()
    gc.freeze()
    gc.enable()


async def _serve(daemon: Daemon, environment: Mapping[str, str], record_path: str | None) -> None:
    """Serve, and record what the core gets of requests and nodes where a file is named for it."""
    if record_path is None:
        await daemon.serve(environment)
        return
    from harriertide.engine.workload import Recorder  # its library is loaded only where it is wanted

    with open(record_path, "wb") as file:
        now_us = daemon.runtime.clock.now_us()
        daemon.runtime.record_event = Recorder(file, daemon.core.settings, daemon.seed, now_us).write_event
        await daemon.serve(environment)


def run(
    environment: Mapping[str, str],
    operator_path: str | None = None,
    record_path: str | None = None,
    maintenance_overrides: dict[str, Any] | None = None,
) -> int:
    """Serve as the environment and the operator's file say, until the end of the process.

    :param operator_path: of the operator's file; None: there is no object front.
    :param record_path: of the workload record to write; None: none is written.
    :param maintenance_overrides: see `Daemon`.
    :returns: exit status; 2 with one plain line where something can't be used.
    """
    capture_library_logs()

    monitor = LoopMonitor()

    async def main() -> None:
        if operator_file is not None:
            from harriertide.objects.catalogue_lock import wait_for_owner

            await wait_for_owner(operator_file.catalogue)
        daemon = Daemon(config, operator_file, maintenance_overrides, monitor)
        await _serve(daemon, environment, record_path)

    try:
        operator_file = None
        if operator_path:
            from harriertide.config.operator_file import load_operator_file

            operator_file = load_operator_file(operator_path)
        config = None
        if environment.get("LB_CONFIG") or operator_file is None:
            config = read_config(environment)
        with asyncio.Runner(loop_factory=lambda: monitored_loop(monitor)) as runner:
            runner.run(main())
    except (SettingsError, OSError, sqlite3.Error) as error:
        print(f"harriertide: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    return 0
