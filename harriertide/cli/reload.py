"""Reload of the configuration file on SIGHUP; an invalid file is rejected as a whole.

Open requests keep their deadlines, classes and plans. Changed addresses of listeners take effect at the next
start.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Protocol

from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.engine.log import log
from harriertide.engine.runtime import Runtime
from harriertide.http.node_client import NodeClient
from harriertide.platform.configuration import BadConfigError, Config, read_config
from harriertide.platform.endpoint_directory import EndpointDirectory
from harriertide.platform.endpoint_watch import EndpointWatch
from harriertide.platform.front import Front
from harriertide.platform.peers import Peers

if TYPE_CHECKING:  # loaded only where there is an object front
    from harriertide.objects.service import ObjectService


class ReloadableProcess(Protocol):
    """The parts of a process that a reload uses."""

    config: Config | None
    front: Front
    directory: EndpointDirectory
    client: NodeClient
    runtime: Runtime
    watch: EndpointWatch | None
    peers: Peers | None
    objects: ObjectService | None

    def apply_limits(self) -> None:
        """Apply the configured limits to the connections of clients and to nodes."""

    def settings_in_force(self) -> api.Settings:
        """Return the configured settings, less what a newer process of this broker now provides."""


def reload(process: ReloadableProcess, environment: Mapping[str, str]) -> None:
    """Apply the current configuration file; if it is invalid, keep the configuration in force."""
    running = process.config
    if running is None or process.watch is None or process.peers is None:
        log("nothing to reload", reason="no configuration file; plan and apply change the operator's")
        return
    try:
        config = read_config(environment, running)
        process.peers.set_peers(config.peers, config.settings.broker_index)
    except (BadConfigError, ValueError) as error:
        log("reload refused, what was configured before stays in force", reason=str(error))
        return
    process.config = config
    _apply_names(process, config)
    process.apply_limits()
    process.runtime.post(ev.SettingsChanged(process.settings_in_force()))
    _follow_discovery(process.watch, config)
    _log_what_waits_for_a_restart(config, running)
    log("reloaded, the configuration file is in force")


def _apply_names(process: ReloadableProcess, config: Config) -> None:
    """Apply the names of classes, plans and zones; numbers already assigned stay the same."""
    names = config.names
    process.front.names = names
    process.directory.zones = names.zones
    process.client.connect_us = names.connect_us
    if process.objects is not None:
        process.objects.add_platform_plans(names.plans)


def _follow_discovery(watch: EndpointWatch, config: Config) -> None:
    if config.discovery != watch.address:
        watch.change_address(config.discovery)
    watch.set_pushed(not config.settings.polls_endpoint_list)


def _log_what_waits_for_a_restart(config: Config, running: Config) -> None:
    configured = (config.listen, config.peer_listen, config.operator)
    if configured != (running.listen, running.peer_listen, running.operator):
        log("listen, peer_listen and operator take effect at the next start")
