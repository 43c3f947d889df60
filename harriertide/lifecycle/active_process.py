"""The lease of a broker's active process: taking over, renewing, releasing and reclaiming it.

One process of a broker is active at a time. It renews a short lease by reading the broker's registry, and
loses it to a newer process in one of two ways: it *releases* the lease, with a record of its state, when the
newer process claims it; or it is *fenced*, if it was suspended for so long that the newer one did not wait.
If the newer process dies, the previous one *reclaims* the lease.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from harriertide.engine.clock import sleep_until
from harriertide.engine.log import log
from harriertide.lifecycle.process_registry import ACTIVE_LEASE_S, ProcessRegistry

RENEW_INTERVAL_S = 0.02  # also the longest wait of a claim, unless the event loop is blocked
TAKEOVER_POLL_INTERVAL_S = 0.005  # between checks of a process that takes over, while clients wait
CLAIM_ANSWER_TIMEOUT_S = 2.0  # for the active process to answer; after it, the next starts without its state
LIVENESS_CHECK_INTERVAL_S = 0.5  # between checks for other processes, with which the limits are shared


@dataclass(frozen=True, slots=True)
class ActiveProcessHooks:
    """What the process does at each transition.

    :param release: stops acting as the active process; returns the record of its state for the given epoch
    :param on_fenced: a newer process has taken over while this one was suspended
    :param on_reclaimed: the newer process has died, and this one is active again
    :param on_liveness: whether this is the broker's only running process
    """

    release: Callable[[int], bytes]
    on_fenced: Callable[[], None]
    on_reclaimed: Callable[[], None]
    on_liveness: Callable[[bool], None]


class ActiveProcessLease:
    """The lease of the active process, as one process of the broker sees it."""

    def __init__(self, registry: ProcessRegistry, hooks: ActiveProcessHooks) -> None:
        self._registry = registry
        self._hooks = hooks
        self._loop = asyncio.get_running_loop()
        self.is_active = False
        self._may_reclaim = True
        self._renewed_at = 0.0
        self._liveness_checked_at = 0.0
        self._released_to = 0  # the epoch that claimed the lease from this process
        # Of the process that was active before this one last became so, alive or not; 0: none is known.
        self.predecessor_epoch = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def epoch(self) -> int:
        """Of this process."""
        return self._registry.epoch

    # --- taking over ---------------------------------------------------------------------------

    async def take_over(self) -> bytes | None:
        """Become the active process.

        :returns: the record of the previous process; None if there is none, or it did not answer
        """
        registry = self._registry
        while not registry.try_lock_takeover():
            await sleep_until(self._loop.time() + TAKEOVER_POLL_INTERVAL_S)
        try:
            registry.raise_epoch()
            before = registry.active_epoch()
            self.predecessor_epoch = before
            data = await self._claim_from(before) if registry.is_alive(before) else None
            registry.become_active()
            if data is None and registry.is_alive(before):
                # Prevents two active processes: the previous one may be suspended, and would act
                # without a check until its lease expires.
                log(
                    "the process in charge did not answer; its lease is waited for",
                    epoch=before,
                    lease_s=ACTIVE_LEASE_S,
                )
                await sleep_until(self._loop.time() + ACTIVE_LEASE_S)
        finally:
            registry.end_takeover()
        self._begin_lease()
        self._schedule_renewal()
        return data

    async def _claim_from(self, before: int) -> bytes | None:
        """Claim the lease, and wait for the record of the active process."""
        registry = self._registry
        registry.write_claim()
        deadline = self._loop.time() + CLAIM_ANSWER_TIMEOUT_S
        while (data := registry.read_handover_record()) is None:
            if self._loop.time() >= deadline or not registry.is_alive(before):
                return registry.read_handover_record()  # it may have answered just before it died
            await sleep_until(self._loop.time() + TAKEOVER_POLL_INTERVAL_S)
        return data

    def _begin_lease(self) -> None:
        self.is_active = True
        self._released_to = 0
        self._renewed_at = self._loop.time()

    # --- renewing, releasing, reclaiming -------------------------------------------------------

    def check_fence(self) -> None:
        """Renew the lease before this process acts, if the lease has expired.

        Prevents a process that was suspended while a newer one took over from forwarding requests in its
        first iteration of the event loop.
        """
        if self.is_active and self._loop.time() - self._renewed_at > ACTIVE_LEASE_S:
            self._renew()

    def stop_reclaiming(self) -> None:
        """Never become active again, as the process was asked to stop; claims are still answered."""
        self._may_reclaim = False

    def close(self) -> None:
        """Stop renewing, and leave the registry."""
        if self._timer is not None:
            self._timer.cancel()
        self._registry.close()

    def _schedule_renewal(self) -> None:
        self._timer = self._loop.call_later(RENEW_INTERVAL_S, self._on_renewal_timer)

    def _on_renewal_timer(self) -> None:
        try:
            self._renew()
            self._check_liveness()
        except OSError as error:  # the folder can't be read now; it may be the next time
            log("the upgrade's folder can't be used", reason=str(error))
        self._schedule_renewal()

    def _check_liveness(self) -> None:
        now = self._loop.time()
        if now - self._liveness_checked_at > LIVENESS_CHECK_INTERVAL_S:
            self._liveness_checked_at = now
            self._hooks.on_liveness(not self._registry.has_other_processes())

    def _renew(self) -> None:
        """Read which process is active, and release, lose or reclaim the lease accordingly."""
        self._renewed_at = self._loop.time()
        active_epoch = self._registry.active_epoch()
        if self.is_active and active_epoch != self.epoch:
            self.is_active = False
            self._hooks.on_fenced()
        elif self.is_active:
            self._release_if_claimed()
        elif self._may_reclaim and self._is_successor_gone(active_epoch):
            self._reclaim()

    def _release_if_claimed(self) -> None:
        claimed_epoch = self._registry.claimed_epoch()
        if claimed_epoch:
            self.is_active = False
            self._released_to = claimed_epoch
            self._registry.write_handover_record(claimed_epoch, self._hooks.release(claimed_epoch))

    def _is_successor_gone(self, active_epoch: int) -> bool:
        """Whether the process that took over from this one has died, and no other one claims the lease.

        If `current` still has this process's epoch, the successor is the one that claimed the lease and died
        before it became active.
        """
        successor = self._successor_epoch(active_epoch)
        return not self._registry.is_alive(successor) and not self._registry.claimed_epoch()

    def _successor_epoch(self, active_epoch: int) -> int:
        return self._released_to if active_epoch == self.epoch else active_epoch

    def _reclaim(self) -> None:
        registry = self._registry
        if not registry.try_lock_takeover():
            return
        try:
            if not self._is_successor_gone(registry.active_epoch()):
                return
            self.predecessor_epoch = self._successor_epoch(registry.active_epoch())
            registry.become_active()
        finally:
            registry.end_takeover()
        log("the newer process has died; this one is in charge again", epoch=self.epoch)
        self._begin_lease()
        self._hooks.on_reclaimed()
