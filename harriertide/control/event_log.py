"""An event log for the laboratory's checkers: one JSON object per line, written when the event happens.

`harriertide/lab` reads the event and field names, as do operators who set `events` in their file.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable
from typing import Any, Protocol


class EventSink(Protocol):
    """A destination for events: a file or a stand-in."""

    def write(self, event: str, **fields: Any) -> None:
        """Write one event."""

    def close(self) -> None:
        """Close the sink; no event is written after this."""


class EventLog:
    """An append-only file of events.

    :param path: the file; "" to write nothing
    :param now_s: the clock for the timestamps of events
    """

    def __init__(self, path: str, now_s: Callable[[], float] = time.monotonic) -> None:
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600) if path else -1
        self._now_s = now_s

    def write(self, event: str, **fields: Any) -> None:
        """Write one event with a single system call, so that a killed process leaves only complete lines."""
        if self._descriptor >= 0:
            row = {"event": event, "at": round(self._now_s(), 6), **fields}
            os.write(self._descriptor, (json.dumps(row) + "\n").encode())

    def close(self) -> None:
        """Close the file."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
