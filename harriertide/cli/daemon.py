"""The life of the daemon: configuration in, sockets up, signals, an orderly end."""

from __future__ import annotations

import asyncio
import gc
import signal
import socket
import sqlite3
import sys
import time
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.decide import api
from harriertide.decide.settings import Names, SettingsError
from harriertide.engine.clock import Clock, until
from harriertide.engine.counters import counter_fields
from harriertide.engine.log import adopt_libraries, log
from harriertide.engine.runtime import Runtime
from harriertide.http.clients import ConnectionTable, FrontServer
from harriertide.http.limits import read_limits
from harriertide.http.listening import InheritError, inherit, listen, stop_listening
from harriertide.http.nodes import NodeClient
from harriertide.http.relay import BodyBudget
from harriertide.lifecycle.machine import Lifecycle
from harriertide.platform.configuration import BadConfigError, Config, read_config
from harriertide.platform.connection import PlatformServer
from harriertide.platform.discovery import Directory, Watch
from harriertide.platform.front import Front
from harriertide.platform.peers import Peers, address
from harriertide.platform.probes import Probes

if TYPE_CHECKING:  # a broker of the platform does without the object front, and starts the sooner
    from harriertide.cli.replacement import Replacement
    from harriertide.config.model import Maintenance, Operator
    from harriertide.control.maintenance_service import MaintenanceService
    from harriertide.lifecycle.operator_api import OperatorApi
    from harriertide.objects.service import ObjectService

# After SIGTERM: new connections are taken this long. Then those that clients keep are served on, as long as
# a request may take (LONGEST_S at most) and a little less than SLACK_S more; what is open by then is refused.
ACCEPT_S, LONGEST_S, SLACK_S = 0.5, 3.0, 0.4
LIST_S = 2.0  # at the start an agent that says nothing, as discovery is away, is waited for so long
LAST_S = 0.3  # before that end no connection is kept after its answer
LINGER_S = 0.15  # after it clients may read their last answers: a close on bytes unread would reset them away


_LOCAL = Names({}, {}, {}, connect_us=250_000, idle_us=15_000_000)  # without a platform


class Daemon:
    """One process in service: the platform's front, the object front, or both on one core."""

    def __init__(
        self, config: Config | None, operator: Operator | None, hooks: dict[str, Any] | None = None
    ) -> None:
        loop = asyncio.get_running_loop()
        self.stopping = asyncio.Event()
        self.life = Lifecycle()
        self.operator_api: OperatorApi | None = None
        self.list_heard = asyncio.Event()  # the first list, where one is waited for
        self.list_heard.set()
        self._door: tuple[str, int] | socket.socket | None = None  # where clients of the platform come
        self._door_server: asyncio.Server | None = None
        self.open = False  # all listeners are up
        self.replacement: Replacement | None = None
        self.config = config
        if config is not None:
            settings, names, seed = config.settings, config.names, config.seed
            known = config.known
        elif operator is not None:
            from harriertide.config import model

            settings, names = model.settings(operator.state, list(operator.state["grades"])), _LOCAL
            seed, known = time.time_ns(), {"seq": 0, "whole": True, "hosts": []}
        else:
            raise BadConfigError("nothing to serve")
        self.core, self.seed = Reducer(settings, seed), seed
        self.runtime = Runtime(self.core, Clock(loop))
        self.directory = Directory(names.zones)
        limits = config.limits if config is not None else read_limits()
        self.clients = ConnectionTable(limits)
        self.client = NodeClient(self._find, names.connect_us, names.idle_us, limits)
        self.bodies = BodyBudget(limits.bodies)
        self.front = Front(self.runtime, self.client, names, self.bodies)
        self.apply_life()
        self.watch: Watch | None = None
        self.peers: Peers | None = None
        self.objects: ObjectService | None = None
        self.probes = Probes(self.client, self.runtime.post)
        self.runtime.start_probe = self.probes.start
        if config is not None:
            self.watch = Watch(config.discovery, self.directory, self.runtime.post)
            self.peers = Peers(config.peers, config.settings.broker_index, self.runtime.post)
            self.runtime.watch_endpoints, self.runtime.send_peer_message = self.watch.open, self.peers.tell
            self.runtime.post(ev.EndpointsUpdated(self.directory.read(known, "cached")))
        if operator is not None:
            from harriertide.objects.service import ObjectService

            platform = names.plans if config is not None else None
            writes = config.writes if config is not None else ()
            self.objects = ObjectService(operator, self.runtime, self.client, platform, writes)
        self.upkeep: MaintenanceService | None = None
        if operator is not None and operator.maintenance is not None and self.objects is not None:
            self.upkeep = self._agree(operator.maintenance, self.objects, hooks or {})

    def _agree(
        self, settings: Maintenance, objects: ObjectService, hooks: dict[str, Any]
    ) -> MaintenanceService:
        """Take part in what brokers agree on. hooks: in place of the disk's sync and the wall's clock."""
        from harriertide.control.maintenance_service import MaintenanceService

        def ready(on: bool) -> None:
            self.life.in_maintenance = not on
            self.apply_life()
            objects.front.ready = on

        def unix_us() -> int:
            return self.runtime.clock.now_us()

        made = MaintenanceService(settings, self.core, objects, unix_us, self.stopping.set, ready, **hooks)
        objects.admin.more["maintenance"] = made.handle
        return made

    def _find(self, node: str) -> str | None:
        """Where a box is dialled: as discovery says, or the operator."""
        own = self.objects.find(node) if self.objects is not None else None
        return own or self.directory.find(node)

    def settings_in_force(self) -> api.Settings:
        """Those of the configuration, less what a newer process of this broker gives out."""
        assert self.config is not None
        if not self.life.superseded:
            return self.config.settings
        from harriertide.decide.handover import superseded

        return superseded(self.config.settings)

    def apply_life(self) -> None:
        """Have all parts go by the state of this process, in the same turn of the loop."""
        life, front = self.life, self.front
        front.ready, front.last = life.healthy, life.ends_connections
        self.clients.retire(life.drained)

    def reload(self, environment: Mapping[str, str]) -> None:
        """Go by the configuration file as it is now; by what was there before if it can't be used.

        Requests that are under way keep their deadlines, their classes and their plans. Where this process
        listens stays as it is.
        """
        held = self.config
        if held is None or self.watch is None or self.peers is None:
            log("nothing to reload", reason="no configuration file; plan and apply change the operator's")
            return
        try:
            fresh = read_config(environment, held)
            self.peers.relist(fresh.peers, fresh.settings.broker_index)
        except (BadConfigError, ValueError) as fault:
            log("reload refused, what was configured before stays in force", reason=str(fault))
            return
        self.config = fresh
        names = fresh.names
        self.front.names, self.directory.zones = names, names.zones
        self.client.connect_us = names.connect_us
        self.apply_limits()
        self.runtime.post(ev.SettingsChanged(self.settings_in_force()))
        if self.objects is not None:
            self.objects.replan(names.plans)
        if fresh.discovery != self.watch.address:
            self.watch.move(fresh.discovery)
        self.watch.follow(not fresh.settings.polls_endpoint_list)
        addresses = [(each.listen, each.peer_listen, each.operator) for each in (fresh, held)]
        if addresses[0] != addresses[1]:
            log("listen, peer_listen and operator take effect at the next start")
        log("reloaded, the configuration file is in force")

    def apply_limits(self) -> None:
        """Have both sides' connections go by the limits; two processes of one broker share them."""
        assert self.config is not None
        limits = self.config.limits
        if self.replacement is not None:
            limits = self.replacement.share(limits)
        self.client.pool.limit(limits)
        self.clients.limit(limits)
        self.bodies.most = limits.bodies

    def counters(self) -> dict[str, int]:
        """All counts, by part and name."""
        parts = {"core": self.core.counts, "front": self.front.counts, "boxes": self.client.counts}
        parts |= {"clients": self.clients.counts, "probes": self.probes.counts}
        if self.watch is not None and self.peers is not None:
            parts |= {"watch": self.watch.counts, "peers": self.peers.counts}
        if self.operator_api is not None:
            parts |= {"operators": self.operator_api.counts}
        if self.objects is not None:
            parts |= self.objects.counts()
        if self.upkeep is not None:
            parts |= self.upkeep.counters()
        return counter_fields(parts)

    async def start(self) -> None:
        """Bring the sockets up."""
        config = self.config
        self.servers: list[asyncio.Server] = []
        if config is not None:
            self._door = config.listen if config.inherited_descriptor is None else self._inherit(config)
            if config.operator is not None:
                await self._serve_operators(config.operator)
            if self.watch is not None:
                if not config.settings.polls_endpoint_list:
                    self._wait_for_list(self.watch)
                self.watch.follow(not config.settings.polls_endpoint_list)
            if isinstance(self._door, socket.socket):
                await self._take_over(config)
            await self.open_door()
        if self.objects is not None:
            for at, web_server in self.objects.servers(self.clients):
                await self._listen(address(at), web_server)
            self.objects.start()
        if self.upkeep is not None:
            await self.upkeep.start()
        self.open = True
        self._can_serve()

    async def open_door(self) -> None:
        """Hear other brokers and clients of the platform."""
        await self.hear_peers()
        await self._listen(self._door, PlatformServer(self.front, self.clients))
        self._door_server = self.servers[-1]

    async def hear_peers(self) -> None:
        """Open the address for other brokers, if it is not open yet."""
        config, peers = self.config, self.peers
        if config is None or config.peer_listen is None or peers is None or peers.listens:
            return
        await peers.listen(config.peer_listen, shared=config.inherited_descriptor is not None)

    def close_door(self) -> None:
        """Hear neither of them any more: another process of this broker does."""
        if self._door_server is not None:
            stop_listening(self._door_server)
            self.servers.remove(self._door_server)
            self._door_server = None
        if self.peers is not None:
            self.peers.release()

    async def _take_over(self, config: Config) -> None:
        """Start beside the process that serves, and go on in its place once this one could."""
        from harriertide.cli.replacement import Replacement  # only where the platform upgrades in place

        self.replacement = Replacement(self, config)
        self.apply_limits()
        if self.peers is not None:
            self.peers.hold()
        await self.hear_peers()  # before the process in charge lets go of it
        if await self.replacement.take_over():
            self.list_heard.set()  # the list of the process before is as new as an agent's
        if self.peers is not None:
            self.peers.let_through()

    def _inherit(self, config: Config) -> socket.socket:
        """The clients' listening socket as the platform holds it."""
        assert config.inherited_descriptor is not None
        try:
            return inherit(config.inherited_descriptor, config.listen)
        except InheritError as fault:
            raise BadConfigError(f"LB_INHERITED_FD: {fault}") from None

    async def _serve_operators(self, at: tuple[str, int]) -> None:
        """Open the operators' address."""
        from harriertide.lifecycle.operator_api import OperatorApi  # only where there is one

        self.operator_api = OperatorApi(self.life, self.apply_life)
        try:
            self._operator_server = await listen(at, self.operator_api.connection)
        except OSError as fault:
            raise BadConfigError(f"operator: cannot listen on {at[0]}:{at[1]}: {fault.strerror}") from None
        log("serves operators", on=f"{at[0]}:{at[1]}")

    def _wait_for_list(self, watch: Watch) -> None:
        """Ready with the first list, or LIST_S later.

        What an agent has counts as told from the first moment of a process, and the list in the configuration
        may be old.
        """
        self.list_heard.clear()

        def ready() -> None:
            timer.cancel()
            watch.heard = lambda: None
            self.list_heard.set()
            self._can_serve()

        timer = asyncio.get_running_loop().call_later(LIST_S, ready)
        watch.heard = ready

    def _can_serve(self) -> None:
        """All that it takes to serve is there, unless a list or a listener is still waited for."""
        if self.list_heard.is_set() and self.open:
            self.life.serve()
            self.apply_life()

    async def _listen(self, at: tuple[str, int] | socket.socket | None, web_server: FrontServer) -> None:
        assert at is not None
        self.servers.append(await listen(at, web_server))
        host, port = self.servers[-1].sockets[0].getsockname()[:2]
        log("serves", on=f"{host}:{port}")

    def port(self, place: int) -> int:
        """The port of a listener, where the system chose it."""
        return int(self.servers[place].sockets[0].getsockname()[1])

    def operator_port(self) -> int:
        """The port of the operators' address."""
        return int(self._operator_server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Not ready; take what still comes for a while; finish what is taken; close.

        Clients of a broker that restarts have no other to go to: each request served on a connection that
        they keep is one that does not fail.
        """
        loop = asyncio.get_running_loop()
        self.stopping.set()
        self.life.stop()
        if self.replacement is not None:
            self.replacement.upgrade.stop()
        self.apply_life()
        longest_s = max(kind.deadline_us for kind in self.core.settings.classes) / 1e6
        finish_by = loop.time() + min(LONGEST_S, longest_s) + SLACK_S
        log("stopping")
        await until(loop.time() + ACCEPT_S)
        for listener in self.servers:
            stop_listening(listener)
        while self._busy() and loop.time() < finish_by - LAST_S:
            await until(loop.time() + 0.02)
        self.life.last_answers = True
        self.apply_life()
        if self.objects is not None:
            self.objects.front.ready = False
        while self._busy() and loop.time() < finish_by:
            self.clients.close_idle()  # also what was about to be read the last time
            await until(loop.time() + 0.02)
        self.front.stopped = True  # what is still read is refused, never sent on
        self.runtime.post(ev.ShutdownStarted())
        await until(loop.time() + 0.02)
        while len(self.clients) and loop.time() < finish_by + LINGER_S:
            self.clients.close_idle()
            await until(loop.time() + 0.02)
        self.clients.close()
        if self.operator_api is not None:
            self._operator_server.close()
            self.operator_api.close()
        if self.replacement is not None:
            self.replacement.upgrade.close()
        if self.watch is not None:
            await self.watch.close()
        if self.peers is not None:
            self.peers.close()
        if self.upkeep is not None:
            await self.upkeep.close()
        if self.objects is not None:
            await self.objects.close()
        await self.probes.close()
        await self.client.close()

    def _busy(self) -> bool:
        return self.core.open_request_count() > 0 or len(self.clients) > 0

    async def serve(self, environment: Mapping[str, str]) -> None:
        """Serve until told to stop, then finish what is taken."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload, environment)
        loop.add_signal_handler(signal.SIGUSR1, lambda: log("counters", **self.counters()))
        await self.start()
        gc.collect()
        gc.freeze()  # what stands at the start need not be looked through again and again
        gc.enable()
        await self.stopping.wait()
        await self.stop()
        log.log_final("counters", **self.counters())


def run(
    environment: Mapping[str, str],
    objects: str | None = None,
    record: str | None = None,
    hooks: dict[str, Any] | None = None,
) -> int:
    """Serve as the environment and the operator's file say; 2 with one plain line where it can't be."""
    adopt_libraries()

    async def main() -> None:
        daemon = Daemon(config, operator, hooks)
        if record is None:
            await daemon.serve(environment)
            return
        from harriertide.engine.workload import Recorder  # its library is loaded only where it is wanted

        with open(record, "wb") as file:
            clock = daemon.runtime.clock
            daemon.runtime.record_event = Recorder(
                file, daemon.core.settings, daemon.seed, clock.now_us()
            ).take
            await daemon.serve(environment)

    try:
        operator = None
        if objects:
            from harriertide.config import model

            operator = model.load(objects)
        config = read_config(environment) if environment.get("LB_CONFIG") or operator is None else None
        asyncio.run(main())
    except (SettingsError, OSError, sqlite3.Error) as fault:
        print(f"harriertide: {fault}", file=sys.stderr)
        return 2
    return 0
