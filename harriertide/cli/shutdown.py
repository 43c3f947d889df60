"""Graceful shutdown of a broker's process, on SIGTERM and SIGINT: its steps in order.

Clients of a broker that restarts have no other to go to: each request that is still served on a connection
that they keep is one that does not fail. So the process serves on for as long as a request may take, and only
then rejects what is left.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from harriertide.cli.listeners import Listeners
from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.decide import api
from harriertide.engine.clock import sleep_until
from harriertide.engine.log import log
from harriertide.engine.runtime import Runtime
from harriertide.http.connection_table import ConnectionTable
from harriertide.http.node_client import NodeClient
from harriertide.lifecycle.machine import Lifecycle
from harriertide.platform.endpoint_watch import EndpointWatch
from harriertide.platform.front import Front
from harriertide.platform.peers import Peers
from harriertide.platform.probes import Probes

if TYPE_CHECKING:  # each is loaded only where the configuration asks for it
    from harriertide.cli.in_place_upgrade import InPlaceUpgrade
    from harriertide.control.maintenance_service import MaintenanceService
    from harriertide.lifecycle.operator_api import OperatorApi
    from harriertide.objects.service import ObjectService

ACCEPT_GRACE_S = 0.5  # after the signal new connections are accepted for so long, as some are still sent
MAX_REQUEST_S = 3.0  # a request whose class allows longer is not waited for: a restart has to end
SHUTDOWN_SLACK_S = 0.4  # beside the longest request, for its connection to close in order
FINAL_RESPONSES_S = 0.3  # before the deadline: from then on no connection is kept after its response
LINGER_S = 0.15  # after the deadline, for clients to read: a close on unread bytes resets the response
POLL_INTERVAL_S = 0.02  # between looks whether requests are still open


class StoppingProcess(Protocol):
    """What a shutdown needs of the process."""

    lifecycle: Lifecycle
    stopping: asyncio.Event
    listeners: Listeners
    core: Reducer
    runtime: Runtime
    clients: ConnectionTable
    client: NodeClient
    front: Front
    probes: Probes
    watch: EndpointWatch | None
    peers: Peers | None
    objects: ObjectService | None
    maintenance: MaintenanceService | None
    operator_api: OperatorApi | None
    in_place_upgrade: InPlaceUpgrade | None

    def apply_lifecycle(self) -> None:
        """Have all parts go by the lifecycle as it is now."""


async def shut_down(process: StoppingProcess) -> None:
    """Finish what was accepted, reject the rest, and close everything."""
    _announce(process)
    grace_s = _grace_period_s(process.core.settings)
    deadline = asyncio.get_running_loop().time() + grace_s
    log("stopping", open=process.core.open_request_count(), connections=len(process.clients), grace_s=grace_s)
    await _accept_late_connections()
    _stop_accepting_unless_queued(process)
    await _serve_until(process, deadline - FINAL_RESPONSES_S)
    await _send_final_responses(process, deadline)
    process.listeners.stop_accepting()
    await _reject_the_rest(process, deadline)
    await _close(process)


def _announce(process: StoppingProcess) -> None:
    """Health checks say no from now on, and a newer process that dies is not replaced by this one."""
    process.stopping.set()
    process.lifecycle.mark_stopping()
    if process.in_place_upgrade is not None:
        process.in_place_upgrade.stop_reclaiming()
    process.apply_lifecycle()


def _grace_period_s(settings: api.Settings) -> float:
    """For how long connections are served, from the signal on."""
    longest_request_s = max(each.deadline_us for each in settings.classes) / 1e6
    return min(MAX_REQUEST_S, longest_request_s) + SHUTDOWN_SLACK_S


async def _accept_late_connections() -> None:
    """Accept for a moment more what clients send before they hear of the end."""
    await sleep_until(asyncio.get_running_loop().time() + ACCEPT_GRACE_S)


def _stop_accepting_unless_queued(process: StoppingProcess) -> None:
    """Accept nothing more, unless connections wait for others to end.

    Guards against requests that wait in the queue of a listener when it closes: the system resets them.
    """
    if not process.clients.accept_control.has_waiting_connections:
        process.listeners.stop_accepting()


def _is_busy(process: StoppingProcess) -> bool:
    return process.core.open_request_count() > 0 or len(process.clients) > 0


async def _serve_until(process: StoppingProcess, time_s: float) -> None:
    """Serve requests on connections that clients keep, until there is none or it is this late."""
    loop = asyncio.get_running_loop()
    while _is_busy(process) and loop.time() < time_s:
        _stop_accepting_unless_queued(process)
        await sleep_until(loop.time() + POLL_INTERVAL_S)


async def _send_final_responses(process: StoppingProcess, deadline: float) -> None:
    """Close each connection behind its response, and idle ones at once."""
    loop = asyncio.get_running_loop()
    process.lifecycle.is_closing_connections = True
    process.apply_lifecycle()
    if process.objects is not None:
        process.objects.front.ready = False
    while _is_busy(process) and loop.time() < deadline:
        _stop_accepting_unless_queued(process)
        process.clients.close_idle()  # also one whose request was about to be read in the turn before
        await sleep_until(loop.time() + POLL_INTERVAL_S)


async def _reject_the_rest(process: StoppingProcess, deadline: float) -> None:
    """Reject what is open or still read, forward nothing more, and let clients read their responses."""
    loop = asyncio.get_running_loop()
    process.front.rejects_requests = True
    process.runtime.post(ev.ShutdownStarted())
    await sleep_until(loop.time() + POLL_INTERVAL_S)
    while len(process.clients) and loop.time() < deadline + LINGER_S:
        process.clients.close_idle()
        await sleep_until(loop.time() + POLL_INTERVAL_S)


async def _close(process: StoppingProcess) -> None:
    """Close all parts; what they started is waited for."""
    process.clients.close()
    process.listeners.close_for_operators()
    if process.operator_api is not None:
        process.operator_api.close()
    if process.in_place_upgrade is not None:
        process.in_place_upgrade.close()
    if process.watch is not None:
        await process.watch.close()
    if process.peers is not None:
        process.peers.close()
    if process.maintenance is not None:
        await process.maintenance.close()
    if process.objects is not None:
        await process.objects.close()
    await process.probes.close()
    await process.client.close()
