"""The course of an upgrade in place, on the loop: taking over, being taken over from, taking back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from harriertide.engine.clock import until
from harriertide.engine.log import log
from harriertide.lifecycle.process_registry import (
    ACTIVE_LEASE_S,
    CLAIM_ANSWER_TIMEOUT_S,
    RENEW_INTERVAL_S,
    ProcessRegistry,
)

POLL_INTERVAL_S = 0.005  # between looks of a process that takes over
LIVENESS_CHECK_INTERVAL_S = 0.5  # between looks whether other processes of this broker are left


@dataclass(frozen=True, slots=True)
class ActiveProcessHooks:
    """What the process does at each turn. give_up: stop being in charge, and the record of its state."""

    give_up: Callable[[int], bytes]
    fenced: Callable[[], None]  # a newer process took over while this one stood still
    take_back: Callable[[], None]  # the newer process has died; this one is in charge again
    alone: Callable[[bool], None]  # whether no other process of this broker lives


class ActiveProcessLease:
    """One process among those of its broker: at most one of them is in charge."""

    def __init__(self, registry: ProcessRegistry, hooks: ActiveProcessHooks) -> None:
        self._registry, self._hooks = registry, hooks
        self._loop = asyncio.get_running_loop()
        self.is_active = self._ends = False
        self._looked_at = self._counted_at = 0.0
        self._claimed = 0  # the epoch that this process gave up to
        self._timer: asyncio.TimerHandle | None = None

    @property
    def epoch(self) -> int:
        """Of this process."""
        return self._registry.epoch

    async def take_over(self) -> bytes | None:
        """Be in charge from now on; the record that the process before has left, if there is one."""
        registry = self._registry
        while not registry.try_lock_takeover():
            await until(self._loop.time() + POLL_INTERVAL_S)
        try:
            before = registry.active_epoch()
            data = await self._ask(before) if registry.is_alive(before) else None
            registry.become_active()
            if data is None and registry.is_alive(before):
                log("the process in charge did not answer; its lease is waited for", epoch=before)
                await until(self._loop.time() + ACTIVE_LEASE_S)
        finally:
            registry.end_takeover()
        self._charge()
        self._look_later()
        return data

    async def _ask(self, before: int) -> bytes | None:
        self._registry.write_claim()
        by = self._loop.time() + CLAIM_ANSWER_TIMEOUT_S
        while (data := self._registry.read_handover_record()) is None:
            if self._loop.time() >= by or not self._registry.is_alive(before):
                return self._registry.read_handover_record()
            await until(self._loop.time() + POLL_INTERVAL_S)
        return data

    def _charge(self) -> None:
        self.is_active, self._claimed = True, 0
        self._looked_at = self._loop.time()

    # --- looks ---------------------------------------------------------------------------------

    def check(self) -> None:
        """Before this process acts: guards against one that stood still while it was taken over from."""
        if self.is_active and self._loop.time() - self._looked_at > ACTIVE_LEASE_S:
            self._look()

    def stop(self) -> None:
        """This process has been told to end: it takes nothing back."""
        self._ends = True

    def close(self) -> None:
        """No more looks."""
        if self._timer is not None:
            self._timer.cancel()
        self._registry.close()

    def _look_later(self) -> None:
        self._timer = self._loop.call_later(RENEW_INTERVAL_S, self._look_again)

    def _look_again(self) -> None:
        try:
            self._look()
            now = self._loop.time()
            if now - self._counted_at > LIVENESS_CHECK_INTERVAL_S:
                self._counted_at = now
                self._hooks.alone(not self._registry.has_other_processes())
        except OSError as fault:  # the folder can't be read: next time maybe
            log("the upgrade's folder can't be used", reason=str(fault))
        self._look_later()

    def _look(self) -> None:
        registry = self._registry
        self._looked_at = self._loop.time()
        current = registry.active_epoch()
        if self.is_active and current != self.epoch:
            self.is_active = False
            self._hooks.fenced()
        elif self.is_active:
            claimed = registry.claimed_epoch()
            if claimed:
                self.is_active, self._claimed = False, claimed
                registry.write_handover_record(claimed, self._hooks.give_up(claimed))
        elif not self._ends and self._left_alone(current):
            self._take_back()

    def _left_alone(self, current: int) -> bool:
        """Whether the process that took over from this one has died, and none claims to be the next."""
        taker = self._claimed if current == self.epoch else current
        return not self._registry.is_alive(taker) and not self._registry.claimed_epoch()

    def _take_back(self) -> None:
        registry = self._registry
        if not registry.try_lock_takeover():
            return
        try:
            if not self._left_alone(registry.active_epoch()):
                return
            registry.become_active()
        finally:
            registry.end_takeover()
        log("the newer process has died; this one is in charge again", epoch=self.epoch)
        self._charge()
        self._hooks.take_back()
