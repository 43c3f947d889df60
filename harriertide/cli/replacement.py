"""A daemon as one of several processes of its broker, which replace each other while it serves."""

from __future__ import annotations

import asyncio
import tempfile
import traceback
from pathlib import Path
from typing import TYPE_CHECKING

from xxhash import xxh3_64_hexdigest

from harriertide.core import events as ev
from harriertide.decide import handover
from harriertide.decide.scheduler import Scheduler
from harriertide.engine.log import log
from harriertide.http.limits import Limits
from harriertide.http.listening import IN_FLIGHT
from harriertide.lifecycle.record import Handover, RecordError, decode, encode
from harriertide.lifecycle.succession import Succession
from harriertide.lifecycle.upgrade import Hooks, Upgrade
from harriertide.platform.configuration import BadConfigError, Config

if TYPE_CHECKING:
    from harriertide.cli.daemon import Daemon

NODES_KEPT = 8  # part of the connections to nodes that a superseded process may have at least
CLOCK_US = 1_000_000  # by which the clocks of two processes may differ for the one's times to be of use


def folder(name: str) -> Path:
    """Where the processes of one broker meet."""
    return Path(tempfile.gettempdir()) / f"harriertide-{xxh3_64_hexdigest(name.encode())}"


class Replacement:
    """Carries out on a daemon what an upgrade in place asks of it."""

    def __init__(self, daemon: Daemon, config: Config) -> None:
        self._daemon, self._name = daemon, config.name
        hooks = Hooks(self._give_up, self._supersede, self._take_back, self._share)
        try:
            succession = Succession(folder(config.name))
        except OSError as fault:
            raise BadConfigError(f"TMPDIR: {fault.strerror}: {fault.filename}") from None
        self.alone = not succession.others()
        self._part: Limits | None = None  # None: nothing is known of the other process
        self.upgrade = Upgrade(succession, hooks)
        daemon.runtime.check_fence = self.upgrade.check

    def share(self, limits: Limits) -> Limits:
        """What this process may have of the broker's limits."""
        if self.alone:
            return limits
        return self._part or limits.half()

    async def take_over(self) -> bool:
        """Go on in the place of the process in charge; False: from nothing, as it left no record of use."""
        data = await self.upgrade.take_over()
        if data is None:
            log("in charge", epoch=self.upgrade.epoch, state="none")
            return False
        try:
            record = decode(data, self._name, self.upgrade.epoch, asyncio.get_running_loop().time())
            self._import(record)
        except RecordError as fault:
            log("the record of the process before is set aside", reason=str(fault))
            return False
        except Exception:  # guards against a start that ends on what another release has left
            log("the record of the process before could not be used", trace=traceback.format_exc())
            return False
        return True

    def _import(self, record: Handover) -> None:
        daemon = self._daemon
        clock, scheduler = daemon.runtime.clock, daemon.core.scheduler
        if abs(clock.unix_us(record.monotonic_s) - record.unix_us) > CLOCK_US:
            raise RecordError("the system's clock was set meanwhile")
        daemon.life.drained = daemon.life.drained or record.drained
        daemon.apply_life()
        self._part = self._rest_of(record.clients, record.nodes)
        daemon.apply_limits()
        daemon.runtime.post(ev.EndpointsUpdated(daemon.directory.import_state(record.directory)))
        daemon.runtime.flush()
        clock.adopt(record.monotonic_s, record.unix_us)
        if isinstance(scheduler, Scheduler):
            handover.import_state(scheduler, record.decisions, clock.now_us())
        log("in charge", epoch=self.upgrade.epoch, shards=len(record.decisions.shards))

    # --- hooks ---------------------------------------------------------------------------------

    def _give_up(self, claimed: int) -> bytes:
        """Accept nothing more; the state as it is then, of which nothing is given out here any more."""
        daemon = self._daemon
        daemon.close_door()
        daemon.runtime.flush()  # what has come until now counts
        try:
            data = self._record(claimed)
        except Exception:  # guards against two in charge: without a record the new one starts from nothing
            log("the state could not be written down", trace=traceback.format_exc())
            data = b""
        self._supersede()
        return data

    def _record(self, claimed: int) -> bytes:
        """The state as it is now, for the process that claims."""
        daemon = self._daemon
        clock, scheduler = daemon.runtime.clock, daemon.core.scheduler
        assert isinstance(scheduler, Scheduler)
        now_s = asyncio.get_running_loop().time()
        return encode(
            Handover(
                broker=self._name,
                epoch=claimed,
                monotonic_s=now_s,
                unix_us=clock.unix_us(now_s),
                drained=daemon.life.drained,
                clients=self._clients_kept(),
                nodes=self._nodes_kept(),
                directory=daemon.directory.export_state(),
                decisions=handover.export_state(scheduler),
            )
        )

    def _limits(self) -> Limits:
        assert self._daemon.config is not None
        return self._daemon.config.limits

    def _clients_kept(self) -> int:
        """Connections of clients, with those that were accepted and are not heard of yet.

        Guards against a bound that turns these away: they have sent their requests already.
        """
        return len(self._daemon.clients) + IN_FLIGHT

    def _nodes_kept(self) -> int:
        """Connections to nodes that a process finishes its requests with when another takes over."""
        return max(len(self._daemon.client.pool), self._limits().boxes // NODES_KEPT)

    def _rest_of(self, clients: int, nodes: int) -> Limits:
        """What is left beside a process that keeps so many connections: a quarter at least."""
        limits = self._limits()
        left = (
            max(limits.clients // 4, limits.clients - clients),
            max(limits.boxes // 4, limits.boxes - nodes),
        )
        return limits.part(*left)

    def _supersede(self) -> None:
        """A newer process is in charge. What was taken is finished here."""
        daemon = self._daemon
        daemon.close_door()
        daemon.life.supersede()
        daemon.apply_life()
        self.alone = False
        self._part = self._limits().part(self._clients_kept(), self._nodes_kept())
        daemon.apply_limits()
        daemon.runtime.handle_now(ev.SettingsChanged(daemon.settings_in_force()))
        log(
            "superseded by a newer process",
            open=daemon.core.open_request_count(),
            connections=len(daemon.clients),
        )

    def _take_back(self) -> None:
        daemon = self._daemon
        self._part = None
        daemon.life.take_back()
        daemon.apply_life()
        daemon.apply_limits()
        daemon.runtime.handle_now(ev.SettingsChanged(daemon.settings_in_force()))
        self._opening = asyncio.get_running_loop().create_task(daemon.open_door())

    def _share(self, alone: bool) -> None:
        if alone != self.alone:
            self.alone, self._part = alone, None
            self._daemon.apply_limits()
