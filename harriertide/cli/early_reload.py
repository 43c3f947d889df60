"""Records SIGHUP during the start of a process, so that the configuration is reloaded after the start."""

from __future__ import annotations

import signal
from types import FrameType
from typing import Any


class EarlyReloads:
    """Whether SIGHUP was received before the process could reload its configuration."""

    def __init__(self) -> None:
        self.are_awaited = False
        self._handler_before: Any = None  # as signal.signal returns it; None: SIGHUP is not recorded

    def hold(self) -> None:
        """Record SIGHUP from now on, until the process installs its own handler.

        Without a handler, SIGHUP would end a process that has just been started; if it were ignored, a change
        of the configuration file after the file was read would be missed.
        """
        if self._handler_before is None:
            self._handler_before = signal.signal(signal.SIGHUP, self._note)

    def release(self) -> None:
        """Restore the previous handling of SIGHUP, for commands that do not reload anything."""
        if self._handler_before is not None:
            signal.signal(signal.SIGHUP, self._handler_before)
            self._handler_before = None

    def _note(self, number: int, frame: FrameType | None) -> None:
        self.are_awaited = True


early_reloads = EarlyReloads()
