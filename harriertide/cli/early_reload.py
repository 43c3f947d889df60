"""SIGHUP while the process starts: held until it has started; else it ends the process."""

from __future__ import annotations

import signal
from types import FrameType
from typing import Any


class EarlyReloads:
    """Whether a reload was asked for before the process could carry it out."""

    def __init__(self) -> None:
        self.are_awaited = False
        self._handler_before: Any = None  # as signal.signal returns it; None: nothing is held

    def hold(self) -> None:
        """Note each SIGHUP from now on, until the started process takes it over.

        Guards against a new configuration that reaches a process which has just been started: the system ends
        a process by SIGHUP that does not handle it, and the file may have been read already.
        """
        if self._handler_before is None:
            self._handler_before = signal.signal(signal.SIGHUP, self._note)

    def release(self) -> None:
        """Have SIGHUP end the process as usual: its command rereads nothing."""
        if self._handler_before is not None:
            signal.signal(signal.SIGHUP, self._handler_before)
            self._handler_before = None

    def _note(self, number: int, frame: FrameType | None) -> None:
        self.are_awaited = True


early_reloads = EarlyReloads()
