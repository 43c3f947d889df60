"""Graceful shutdown of a broker's process, on SIGTERM and SIGINT: its steps in order.

Clients of a broker that restarts cannot use another broker, so each request that is still served on a kept
connection is one that does not fail. The process therefore serves for as long as a request may take, and
rejects only the requests that are left then.
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

ACCEPT_GRACE_S = 0.5  # new connections are accepted for so long after the signal: some still arrive
MAX_REQUEST_S = 3.0  # requests whose class allows more time are not waited for
SHUTDOWN_SLACK_S = 0.4  # in addition to the longest request, for an orderly close of its connection
FINAL_RESPONSES_S = 0.3  # before the deadline; from then on each connection closes after its response
LINGER_S = 0.15  # after the deadline, for clients to read their responses before the close
POLL_INTERVAL_S = 0.02  # between checks for open requests


class StoppingProcess(Protocol):
    """The parts of a process that a shutdown uses."""

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
        """Apply the current state of the lifecycle to all parts."""


async def shut_down(process: StoppingProcess) -> None:
    """Finish accepted requests, reject the rest, and close all parts."""
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
    """Fail health checks from now on, and no longer take over from a newer process that dies."""
    process.stopping.set()
    process.lifecycle.mark_stopping()
    if process.in_place_upgrade is not None:
        process.in_place_upgrade.stop_reclaiming()
    process.apply_lifecycle()


def _grace_period_s(settings: api.Settings) -> float:
    """Return how long connections are served after the signal."""
    longest_request_s = max(each.deadline_us for each in settings.classes) / 1e6
    return min(MAX_REQUEST_S, longest_request_s) + SHUTDOWN_SLACK_S


async def _accept_late_connections() -> None:
    """Accept the connections that clients open before they are told of the shutdown."""
    await sleep_until(asyncio.get_running_loop().time() + ACCEPT_GRACE_S)


def _stop_accepting_unless_queued(process: StoppingProcess) -> None:
    """Stop accepting, unless connections wait in the queue of a listener.

    The system resets the connections that wait when their listener is closed.
    """
    if not process.clients.accept_control.has_waiting_connections:
        process.listeners.stop_accepting()


def _is_busy(process: StoppingProcess) -> bool:
    return process.core.open_request_count() > 0 or len(process.clients) > 0


async def _serve_until(process: StoppingProcess, time_s: float) -> None:
    """Serve requests on kept connections until none is left, or until this time of the event loop."""
    loop = asyncio.get_running_loop()
    while _is_busy(process) and loop.time() < time_s:
        _stop_accepting_unless_queued(process)
        await sleep_until(loop.time() + POLL_INTERVAL_S)


async def _send_final_responses(process: StoppingProcess, deadline: float) -> None:
    """Close each connection after its response, and idle connections immediately."""
    loop = asyncio.get_running_loop()
    process.lifecycle.is_closing_connections = True
    process.apply_lifecycle()
    if process.objects is not None:
        process.objects.front.ready = False
    while _is_busy(process) and loop.time() < deadline:
        _stop_accepting_unless_queued(process)
        process.clients.close_idle()  # again in each iteration: more become idle
        await sleep_until(loop.time() + POLL_INTERVAL_S)


async def _reject_the_rest(process: StoppingProcess, deadline: float) -> None:
    """Reject open requests and later ones, forward nothing, and let clients read their responses."""
    loop = asyncio.get_running_loop()
    process.front.rejects_requests = True
    process.runtime.post(ev.ShutdownStarted())
    await sleep_until(loop.time() + POLL_INTERVAL_S)
    while len(process.clients) and loop.time() < deadline + LINGER_S:
        process.clients.close_idle()
        await sleep_until(loop.time() + POLL_INTERVAL_S)


async def _close(process: StoppingProcess) -> None:
    """Close all parts, and wait for their tasks."""
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
