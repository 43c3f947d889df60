"""Startup of a broker's process: its steps in order, and the conditions for readiness."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from harriertide.cli.listeners import Address, Listeners, find_client_address
from harriertide.http.connection_table import ConnectionTable
from harriertide.platform.configuration import Config
from harriertide.platform.endpoint_watch import EndpointWatch
from harriertide.platform.peers import Peers, parse_address

if TYPE_CHECKING:  # each is loaded only where the configuration asks for it
    from harriertide.cli.in_place_upgrade import InPlaceUpgrade
    from harriertide.control.maintenance_service import MaintenanceService
    from harriertide.objects.service import ObjectService

# How long a start waits for an agent that sends no endpoint list, for example because discovery is down.
FIRST_LIST_TIMEOUT_S = 2.0


class Readiness:
    """The conditions for readiness: open listeners, and the first endpoint list if an agent pushes lists.

    :param on_ready: called when both conditions hold; it may be called repeatedly
    """

    def __init__(self, on_ready: Callable[[], None]) -> None:
        self._on_ready = on_ready
        self._listeners_are_open = False
        self._awaits_endpoint_list = False

    def await_endpoint_list(self, watch: EndpointWatch) -> None:
        """Wait for the first list of an agent on this machine, for at most FIRST_LIST_TIMEOUT_S.

        Changes that the agent has count as known from the start of the process, and the list in the
        configuration may be outdated: its nodes may be draining by now.
        """
        self._awaits_endpoint_list = True

        def on_list_received_or_timeout() -> None:
            timer.cancel()
            watch.on_list_received = lambda: None
            self.skip_endpoint_list()

        timer = asyncio.get_running_loop().call_later(FIRST_LIST_TIMEOUT_S, on_list_received_or_timeout)
        watch.on_list_received = on_list_received_or_timeout

    def skip_endpoint_list(self) -> None:
        """Do not wait for a list, as this process has a current one."""
        self._awaits_endpoint_list = False
        self._check()

    def listeners_opened(self) -> None:
        """Record that all listeners are open."""
        self._listeners_are_open = True
        self._check()

    def _check(self) -> None:
        if self._listeners_are_open and not self._awaits_endpoint_list:
            self._on_ready()


class StartingProcess(Protocol):
    """The parts of a process that a startup uses."""

    config: Config | None
    listeners: Listeners
    readiness: Readiness
    clients: ConnectionTable
    watch: EndpointWatch | None
    peers: Peers | None
    objects: ObjectService | None
    maintenance: MaintenanceService | None

    async def open_operator_api(self, at: Address) -> None:
        """Answer operators at this address."""

    async def open_peer_listener(self) -> None:
        """Receive messages of other brokers."""

    async def start_accepting(self) -> None:
        """Accept the platform's clients, and messages of other brokers."""

    def apply_limits(self) -> None:
        """Apply the limits to the connections of clients and to nodes."""

    def create_in_place_upgrade(self, config: Config) -> InPlaceUpgrade:
        """Register this process with the other processes of its broker."""


async def start_up(process: StartingProcess) -> None:
    """Start the platform's side, the object front and maintenance.

    :raises BadConfigError: an address of the configuration cannot be used
    :raises OSError: another address cannot be used
    """
    if process.config is not None:
        await _start_platform_side(process, process.config)
    if process.objects is not None:
        await _start_object_front(process.objects, process)
    if process.maintenance is not None:
        await process.maintenance.start()
    process.readiness.listeners_opened()


async def _start_platform_side(process: StartingProcess, config: Config) -> None:
    """Start the listener for operators first, so that they can query the start, and that for clients last."""
    process.listeners.client_address = find_client_address(config)
    if config.operator is not None:
        await process.open_operator_api(config.operator)
    _follow_endpoint_list(process, config)
    if config.inherited_descriptor is not None:
        await _take_over(process, config)
    await process.start_accepting()


def _follow_endpoint_list(process: StartingProcess, config: Config) -> None:
    """Watch an agent that pushes the endpoint list if the settings say so; else the decision module polls."""
    watch = process.watch
    assert watch is not None, "made with the configuration"
    is_pushed = not config.settings.polls_endpoint_list
    if is_pushed:
        process.readiness.await_endpoint_list(watch)
    watch.set_pushed(is_pushed)


async def _take_over(process: StartingProcess, config: Config) -> None:
    """Take over from the active process of this broker once this process could serve.

    The peers' address is opened before the active process closes it, and messages are buffered in between, so
    that none is lost.
    """
    peers = process.peers
    assert peers is not None, "made with the configuration"
    upgrade = process.create_in_place_upgrade(config)
    process.apply_limits()
    peers.start_buffering()
    await process.open_peer_listener()
    if await upgrade.take_over():
        process.readiness.skip_endpoint_list()  # the previous process's list is as new as an agent's
    peers.deliver_buffered()


async def _start_object_front(objects: ObjectService, process: StartingProcess) -> None:
    for listen_at, protocol in objects.servers(process.clients):
        await process.listeners.open(parse_address(listen_at), protocol)
    objects.start()
