"""A log for the laboratory's checkers: one JSON object a line, each written whole, as it happens.

The names of events and fields are read by `harriertide/lab`, and by operators who set `events` in their file.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable
from typing import Any, Protocol


class EventSink(Protocol):
    """Where events go: a file or a stand-in."""

    def write(self, event: str, **fields: Any) -> None:
        """Write one event."""

    def close(self) -> None:
        """Write no more."""


class EventLog:
    """A file of events that only grows.

    :param path: the file; "" where nothing is to be written
    :param now_s: the clock of the events' times
    """

    def __init__(self, path: str, now_s: Callable[[], float] = time.monotonic) -> None:
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600) if path else -1
        self._now_s = now_s

    def write(self, event: str, **fields: Any) -> None:
        """Write one event, with one system call: a process that is killed leaves whole lines before it."""
        if self._descriptor >= 0:
            row = {"event": event, "at": round(self._now_s(), 6), **fields}
            os.write(self._descriptor, (json.dumps(row) + "\n").encode())

    def close(self) -> None:
        """Close the file."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
