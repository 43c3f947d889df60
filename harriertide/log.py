"""The log: plain print to standard error, at a bounded rate."""

from __future__ import annotations

import logging
import sys
import time

BURST, PER_S = 40.0, 10.0


class Log:
    """At most BURST lines at once and PER_S a second; what is left out is counted and said."""

    def __init__(self) -> None:
        self._room, self._at, self._left_out = BURST, time.monotonic(), 0

    def __call__(self, text: str) -> None:
        now = time.monotonic()
        self._room, self._at = min(BURST, self._room + PER_S * (now - self._at)), now
        if self._room < 1:
            self._left_out += 1
            return
        self._room -= 1
        if self._left_out:
            print(f"({self._left_out} lines left out)", file=sys.stderr)
            self._left_out = 0
        print(text, file=sys.stderr, flush=True)


log = Log()


class _Handler(logging.Handler):
    """What libraries log goes the same way and under the same bound."""

    def emit(self, record: logging.LogRecord) -> None:
        log(f"{record.name}: {self.format(record)}")


def adopt_libraries() -> None:
    """Send warnings and errors of libraries to the log."""
    logging.basicConfig(level=logging.WARNING, handlers=[_Handler()], force=True)
