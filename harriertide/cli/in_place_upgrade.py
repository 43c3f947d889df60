"""Upgrade in place: the processes of a broker replace each other while they serve.

The lease of the active process (`lifecycle/active_process`) decides when. This module carries out what the
process then does: export or import state, stop accepting, finish its requests, accept again.
"""

from __future__ import annotations

import asyncio
import tempfile
import traceback
from pathlib import Path
from typing import Protocol

from xxhash import xxh3_64_hexdigest

from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.decide import api, handover
from harriertide.decide.scheduler import Scheduler
from harriertide.engine.clock import sleep_until
from harriertide.engine.log import log
from harriertide.engine.runtime import Runtime
from harriertide.http.connection_table import ConnectionTable
from harriertide.http.limits import Limits
from harriertide.http.node_client import NodeClient
from harriertide.lifecycle.active_process import ActiveProcessHooks, ActiveProcessLease
from harriertide.lifecycle.machine import Lifecycle
from harriertide.lifecycle.open_keys import OpenKeysPublisher, OpenKeysRecord, OpenKeysWatcher
from harriertide.lifecycle.process_registry import ProcessRegistry
from harriertide.lifecycle.record import Handover, RecordError, decode, encode
from harriertide.platform.configuration import BadConfigError, Config
from harriertide.platform.endpoint_directory import EndpointDirectory

# Minimum fraction of the connections to nodes for a superseded process, which finishes its requests and may
# have to retry them.
SUPERSEDED_NODE_CONNECTIONS_RATIO = 1 / 8
# Minimum fraction of each side's connections for the new process, however many the other one keeps.
MIN_ACTIVE_CONNECTIONS_RATIO = 1 / 4
ACCEPT_RETRY_S = 0.1  # between attempts to accept again; clients wait meanwhile
MAX_CLOCK_DIFFERENCE_US = 1_000_000  # beyond this, the times in a record cannot be used


def meeting_folder(name: str) -> Path:
    """Return the folder that the processes of one broker share.

    :param name: name of the broker; any text, as the path contains only its hash
    """
    return Path(tempfile.gettempdir()) / f"harriertide-{xxh3_64_hexdigest(name.encode())}"


class UpgradableProcess(Protocol):
    """The parts of a process that an upgrade in place uses."""

    config: Config | None
    lifecycle: Lifecycle
    runtime: Runtime
    core: Reducer
    directory: EndpointDirectory
    clients: ConnectionTable
    client: NodeClient

    def apply_lifecycle(self) -> None:
        """Apply the current state of the lifecycle to all parts."""

    def apply_limits(self) -> None:
        """Apply this process's share of the limits to the connections of clients and to nodes."""

    def limits_in_force(self) -> Limits:
        """Return the configured limits, less what this process was measured to need for itself."""

    def settings_in_force(self) -> api.Settings:
        """Return the configured settings, less what a newer process of this broker now provides."""

    async def start_accepting(self) -> None:
        """Accept the platform's clients, and messages of other brokers."""

    def stop_accepting(self) -> None:
        """Stop accepting clients and messages of other brokers."""


class InPlaceUpgrade:
    """Carries out the transitions between active and superseded for one process.

    :raises BadConfigError: the shared folder of the broker's processes cannot be used
    """

    def __init__(self, process: UpgradableProcess, config: Config) -> None:
        self._process = process
        self._broker = config.name
        try:
            registry = ProcessRegistry(meeting_folder(config.name))
        except OSError as error:
            raise BadConfigError(f"TMPDIR: {error.strerror}: {error.filename}") from None
        self._is_alone = not registry.has_other_processes()
        self._own_share: Limits | None = None  # None: nothing is known of the other process
        self._reopening: asyncio.Task[None] | None = None
        hooks = ActiveProcessHooks(
            release=self._release,
            on_fenced=self._supersede,
            on_reclaimed=self._reclaim,
            on_liveness=self._on_liveness,
        )
        self.lease = ActiveProcessLease(registry, hooks)
        self._registry = registry
        self._open_keys = OpenKeysPublisher(registry, self._read_open_keys)
        self._held_keys = OpenKeysWatcher(
            registry, self._longest_ordered_s, self._key_quiet_s, self._hold_keys
        )
        process.runtime.check_fence = self.lease.check_fence

    def share(self, limits: Limits) -> Limits:
        """Return this process's share of the broker's limits."""
        if self._is_alone:
            return limits
        return self._own_share or limits.half()

    def stop_reclaiming(self) -> None:
        """Do not take over again from a newer process that dies, as this process was asked to stop."""
        self.lease.stop_reclaiming()

    def close(self) -> None:
        """Unregister this process."""
        if self._reopening is not None:
            self._reopening.cancel()
        self._held_keys.stop()
        self._open_keys.publish_last()
        self.lease.close()

    # --- taking over ---------------------------------------------------------------------------

    async def take_over(self) -> bool:
        """Become the active process, with the state of the previous one if it left a usable record.

        :returns: whether there was such a record
        """
        data = await self.lease.take_over()
        has_state = data is not None and self._has_imported(data)
        if not has_state:
            self._begin_without_state()
        if data is None:
            log("in charge", epoch=self.lease.epoch, state="none")
        self._hold_keys_of_others()
        return has_state

    def _begin_without_state(self) -> None:
        scheduler = self._process.core.scheduler
        if isinstance(scheduler, Scheduler):
            scheduler.begin_without_state(self._process.runtime.clock.now_us())

    def _has_imported(self, data: bytes) -> bool:
        """Import a record; return False, and log the reason, if it cannot be used."""
        try:
            now_s = asyncio.get_running_loop().time()
            self._import(decode(data, self._broker, self.lease.epoch, now_s))
        except RecordError as error:
            log("the record of the process before is set aside", reason=str(error))
            return False
        except Exception:
            # The record may come from another release. Whatever is wrong with it must not end the start.
            log("the record of the process before could not be used", trace=traceback.format_exc())
            return False
        return True

    def _import(self, record: Handover) -> None:
        process = self._process
        clock = process.runtime.clock
        scheduler = process.core.scheduler
        if abs(clock.unix_us(record.monotonic_s) - record.unix_us) > MAX_CLOCK_DIFFERENCE_US:
            raise RecordError("the system's clock was set meanwhile")
        process.lifecycle.is_draining = process.lifecycle.is_draining or record.drained
        process.apply_lifecycle()
        self._own_share = self._limits_beside(record.clients, record.nodes)
        process.apply_limits()
        process.runtime.post(ev.EndpointsUpdated(process.directory.import_state(record.directory)))
        process.runtime.flush()
        clock.set_reference(record.monotonic_s, record.unix_us)
        if isinstance(scheduler, Scheduler):
            handover.import_state(scheduler, record.decisions, clock.now_us())
        log("in charge", epoch=self.lease.epoch, shards=len(record.decisions.shards))

    # --- being taken over from -----------------------------------------------------------------

    def _release(self, claimed_epoch: int) -> bytes:
        """Stop accepting, and export the state, which this process no longer spends afterwards."""
        process = self._process
        process.stop_accepting()
        process.runtime.flush()  # the record includes all events so far
        try:
            data = self._export(claimed_epoch)
        except Exception:
            # The newer process starts without state then, but this one must not stay active beside it.
            log("the state could not be written down", trace=traceback.format_exc())
            data = b""
        self._supersede()
        return data

    def _export(self, claimed_epoch: int) -> bytes:
        """Return the hand-over record for the claiming process."""
        process = self._process
        clock = process.runtime.clock
        scheduler = process.core.scheduler
        assert isinstance(scheduler, Scheduler)
        now_s = asyncio.get_running_loop().time()
        return encode(
            Handover(
                broker=self._broker,
                epoch=claimed_epoch,
                monotonic_s=now_s,
                unix_us=clock.unix_us(now_s),
                drained=process.lifecycle.is_draining,
                clients=self._kept_client_count(),
                nodes=self._kept_node_connection_count(),
                directory=process.directory.export_state(),
                decisions=handover.export_state(scheduler),
            )
        )

    def _supersede(self) -> None:
        """Finish accepted requests only, as a newer process is the active one."""
        process = self._process
        process.stop_accepting()
        process.lifecycle.mark_superseded()
        process.apply_lifecycle()
        self._is_alone = False
        self._own_share = self._limits().split(self._kept_client_count(), self._kept_node_connection_count())
        process.apply_limits()
        process.runtime.handle_now(ev.SettingsChanged(process.settings_in_force()))
        self._open_keys.start()  # before the newer process reads the record: it holds what is not finished
        log(
            "superseded by a newer process",
            open=process.core.open_request_count(),
            connections=len(process.clients),
        )

    # --- going on again ------------------------------------------------------------------------

    def _reclaim(self) -> None:
        """Accept again, with all free limits, as the newer process has died."""
        process = self._process
        self._own_share = None
        process.lifecycle.mark_active_again()
        process.apply_lifecycle()
        process.apply_limits()
        process.runtime.handle_now(ev.SettingsChanged(process.settings_in_force()))
        self._open_keys.withdraw()
        self._hold_keys_of_others()
        self._reopening = asyncio.get_running_loop().create_task(self._accept_again())

    async def _accept_again(self) -> None:
        """Open the listeners again, with retries, as long as this process is the active one.

        An address may not be free yet, and the process may be superseded again while its listeners open.
        """
        process = self._process
        loop = asyncio.get_running_loop()
        while self.lease.is_active:
            try:
                await process.start_accepting()
            except OSError as error:
                log("cannot accept again yet", reason=str(error), retry_s=ACCEPT_RETRY_S)
                await sleep_until(loop.time() + ACCEPT_RETRY_S)
            else:
                break
        if not self.lease.is_active:
            process.stop_accepting()

    # --- the order of keys across processes ----------------------------------------------------

    def _hold_keys_of_others(self) -> None:
        """Hold the keys that the process before this one, and those before it, have not finished."""
        epochs = {self.lease.predecessor_epoch, *self._registry.superseded_epochs()} - {0}
        self._held_keys.hold_for(sorted(epochs))
        if not self._held_keys.held.is_finished:
            keys = self._held_keys.held.keys
            log("holds keys of an older process", keys="all" if keys is None else len(keys))

    def _hold_keys(self, held: OpenKeysRecord) -> None:
        runtime = self._process.runtime
        runtime.handle_now(ev.KeysHeld(api.KeysHeld(held.keys, runtime.clock.unix_us(held.until_s))))

    def _read_open_keys(self) -> OpenKeysRecord:
        scheduler = self._process.core.scheduler
        assert isinstance(scheduler, Scheduler)
        open_keys = scheduler.key_queues.open_keys()
        return OpenKeysRecord(open_keys.keys, self._process.runtime.clock.loop_time(open_keys.until_us))

    def _longest_ordered_s(self) -> float:
        classes = self._process.core.settings.classes
        return max((each.deadline_us for each in classes if each.in_order), default=0) / 1_000_000

    def _key_quiet_s(self) -> float:
        settings = self._process.core.settings
        return (settings.key_quiet_us + settings.tick_us) / 1_000_000

    # --- limits that two processes share -------------------------------------------------------

    def _on_liveness(self, is_alone: bool) -> None:
        if is_alone != self._is_alone:
            self._is_alone = is_alone
            self._own_share = None
            self._process.apply_limits()

    def _limits(self) -> Limits:
        return self._process.limits_in_force()

    def _kept_client_count(self) -> int:
        """Return the number of client connections, including accepted ones not yet in the table."""
        return len(self._process.clients) + self._process.clients.accept_control.unreported_count

    def _kept_node_connection_count(self) -> int:
        """Return the number of connections to nodes that a superseded process may use."""
        minimum = int(self._limits().max_node_connections * SUPERSEDED_NODE_CONNECTIONS_RATIO)
        return max(len(self._process.client.pool), minimum)

    def _limits_beside(self, kept_client_count: int, kept_node_connection_count: int) -> Limits:
        """Return the limits left beside a process that keeps these numbers of connections."""
        limits = self._limits()
        least_clients = int(limits.max_client_connections * MIN_ACTIVE_CONNECTIONS_RATIO)
        least_nodes = int(limits.max_node_connections * MIN_ACTIVE_CONNECTIONS_RATIO)
        return limits.split(
            max(least_clients, limits.max_client_connections - kept_client_count),
            max(least_nodes, limits.max_node_connections - kept_node_connection_count),
        )
