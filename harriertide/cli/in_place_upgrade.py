"""Upgrade in place: a process of a broker as one of several, which replace each other while they serve.

The lease of the active process (`lifecycle/active_process`) says when; this module says what the process does
then: export its state, stop accepting, finish what it has, go on in the place of another, accept again.
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
from harriertide.lifecycle.process_registry import ProcessRegistry
from harriertide.lifecycle.record import Handover, RecordError, decode, encode
from harriertide.platform.configuration import BadConfigError, Config
from harriertide.platform.endpoint_directory import EndpointDirectory

# A superseded process may have at least this part of the connections to nodes: it has requests to finish, and
# retries of them need connections too.
SUPERSEDED_NODE_CONNECTIONS_RATIO = 1 / 8
# The new process may have at least this part of each side's connections, whatever the other one keeps.
MIN_ACTIVE_CONNECTIONS_RATIO = 1 / 4
ACCEPT_RETRY_S = 0.1  # between attempts to accept again: clients wait meanwhile
MAX_CLOCK_DIFFERENCE_US = 1_000_000  # where two processes' clocks differ by more, a record's times mislead


def meeting_folder(name: str) -> Path:
    """Where the processes of one broker meet.

    :param name: of the broker; any text, as only its hash goes into the path.
    """
    return Path(tempfile.gettempdir()) / f"harriertide-{xxh3_64_hexdigest(name.encode())}"


class UpgradableProcess(Protocol):
    """What an upgrade in place needs of the process."""

    config: Config | None
    lifecycle: Lifecycle
    runtime: Runtime
    core: Reducer
    directory: EndpointDirectory
    clients: ConnectionTable
    client: NodeClient

    def apply_lifecycle(self) -> None:
        """Have all parts go by the lifecycle as it is now."""

    def apply_limits(self) -> None:
        """Have both sides' connections go by the limits, as far as `share` leaves them to this process."""

    def settings_in_force(self) -> api.Settings:
        """The settings of the configuration, as far as they hold for this process."""

    async def start_accepting(self) -> None:
        """Accept the platform's clients, and messages of other brokers."""

    def stop_accepting(self) -> None:
        """Accept neither any more."""


class InPlaceUpgrade:
    """Carries out on a process what the lease of the active process asks of it.

    :raises BadConfigError: where the folder in which processes meet can't be used.
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
        process.runtime.check_fence = self.lease.check_fence

    def share(self, limits: Limits) -> Limits:
        """What this process may have of the broker's limits, as long as two share them."""
        if self._is_alone:
            return limits
        return self._own_share or limits.half()

    def stop_reclaiming(self) -> None:
        """The process was asked to stop: it does not accept again where the newer one dies."""
        self.lease.stop_reclaiming()

    def close(self) -> None:
        """Leave the processes of this broker."""
        if self._reopening is not None:
            self._reopening.cancel()
        self.lease.close()

    # --- taking over ---------------------------------------------------------------------------

    async def take_over(self) -> bool:
        """Go on in the place of the active process.

        :returns: False: with no state, as there was no active process or it left no record that can be used.
        """
        data = await self.lease.take_over()
        if data is not None and self._has_imported(data):
            return True
        scheduler = self._process.core.scheduler
        if isinstance(scheduler, Scheduler):
            scheduler.begin_without_state(self._process.runtime.clock.now_us())
        if data is None:
            log("in charge", epoch=self.lease.epoch, state="none")
        return False

    def _has_imported(self, data: bytes) -> bool:
        """Go on from a record; False, with the reason in the log, where it can't be used."""
        try:
            now_s = asyncio.get_running_loop().time()
            self._import(decode(data, self._broker, self.lease.epoch, now_s))
        except RecordError as error:
            log("the record of the process before is set aside", reason=str(error))
            return False
        except Exception:
            # Guards against a start that ends on what another release has left: whatever is wrong with the
            # record, the process serves without it.
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
        """Accept nothing more and export the state as it is then; none of it is given out here afterwards."""
        process = self._process
        process.stop_accepting()
        process.runtime.flush()  # what has come until now counts
        try:
            data = self._export(claimed_epoch)
        except Exception:
            # Guards against two active processes: without a record the newer one starts with no state, but
            # this one must not go on beside it.
            log("the state could not be written down", trace=traceback.format_exc())
            data = b""
        self._supersede()
        return data

    def _export(self, claimed_epoch: int) -> bytes:
        """The hand-over record for the process that claims."""
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
        """A newer process is the active one; what was accepted here is finished here."""
        process = self._process
        process.stop_accepting()
        process.lifecycle.mark_superseded()
        process.apply_lifecycle()
        self._is_alone = False
        self._own_share = self._limits().split(self._kept_client_count(), self._kept_node_connection_count())
        process.apply_limits()
        process.runtime.handle_now(ev.SettingsChanged(process.settings_in_force()))
        log(
            "superseded by a newer process",
            open=process.core.open_request_count(),
            connections=len(process.clients),
        )

    # --- going on again ------------------------------------------------------------------------

    def _reclaim(self) -> None:
        """The newer process has died: accept again, with all of the limits that are free."""
        process = self._process
        self._own_share = None
        process.lifecycle.mark_active_again()
        process.apply_lifecycle()
        process.apply_limits()
        process.runtime.handle_now(ev.SettingsChanged(process.settings_in_force()))
        self._reopening = asyncio.get_running_loop().create_task(self._accept_again())

    async def _accept_again(self) -> None:
        """Accept clients and peers again, however often it takes, for as long as this process is in charge.

        Guards against a broker that is in charge, says that it is ready and accepts nobody: an address may
        not be free yet, or the process may be superseded again while its listeners open.
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

    # --- limits that two processes share -------------------------------------------------------

    def _on_liveness(self, is_alone: bool) -> None:
        if is_alone != self._is_alone:
            self._is_alone = is_alone
            self._own_share = None
            self._process.apply_limits()

    def _limits(self) -> Limits:
        config = self._process.config
        assert config is not None, "only the platform upgrades in place"
        return config.limits

    def _kept_client_count(self) -> int:
        """Connections of clients, with those that were accepted and are not heard of yet.

        Guards against a limit that closes these: they have sent their requests already.
        """
        return len(self._process.clients) + self._process.clients.accept_control.unreported_count

    def _kept_node_connection_count(self) -> int:
        """Connections to nodes that a superseded process finishes its requests with."""
        minimum = int(self._limits().max_node_connections * SUPERSEDED_NODE_CONNECTIONS_RATIO)
        return max(len(self._process.client.pool), minimum)

    def _limits_beside(self, kept_client_count: int, kept_node_connection_count: int) -> Limits:
        """What is left beside a process that keeps so many connections."""
        limits = self._limits()
        least_clients = int(limits.max_client_connections * MIN_ACTIVE_CONNECTIONS_RATIO)
        least_nodes = int(limits.max_node_connections * MIN_ACTIVE_CONNECTIONS_RATIO)
        return limits.split(
            max(least_clients, limits.max_client_connections - kept_client_count),
            max(least_nodes, limits.max_node_connections - kept_node_connection_count),
        )
