"""The log: structured events to standard error, as key=value or JSON, at a bounded rate."""

from __future__ import annotations

import logging
import sys
import time
from typing import Any, Literal

import structlog
from structlog.typing import EventDict, WrappedLogger

BURST, PER_S = 40.0, 10.0

Form = Literal["text", "json"]


class Log:
    """At most BURST events at once and PER_S a second; what is left out is counted and said.

    An event is named by a constant phrase; what varies goes into fields.
    """

    def __init__(self) -> None:
        self._room, self._at, self._left_out = BURST, time.monotonic(), 0
        self.set_format("text")

    def set_format(self, form: Form) -> None:
        """Write events in this form from now on."""
        render: structlog.typing.Processor = structlog.processors.LogfmtRenderer(key_order=["at", "event"])
        if form == "json":
            render = structlog.processors.JSONRenderer()
        stamp = structlog.processors.TimeStamper(fmt="iso", key="at")
        self._log = structlog.wrap_logger(None, [self._bound, stamp, render], wrapper_class=_Straight)

    def _bound(self, logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
        now = time.monotonic()
        self._room, self._at = min(BURST, self._room + PER_S * (now - self._at)), now
        if self._room < 1:
            self._left_out += 1
            raise structlog.DropEvent
        self._room -= 1
        if self._left_out:
            event["left_out"], self._left_out = self._left_out, 0
        return event

    def __call__(self, event: str, **fields: Any) -> None:
        """Say what has happened. fields: strings and numbers."""
        self._log.msg(event, **fields)

    def log_final(self, event: str, **fields: Any) -> None:
        """Say it whatever was said before: once, at the end of the process."""
        self._room = max(self._room, 1.0)
        self(event, **fields)


class _Straight(structlog.BoundLoggerBase):
    """To standard error as it is now."""

    def msg(self, event: str, **fields: Any) -> None:
        try:
            shown, _ = self._process_event("msg", event, fields)
        except structlog.DropEvent:
            return
        print(*shown, file=sys.stderr, flush=True)


log = Log()


class _Handler(logging.Handler):
    """What libraries log goes the same way and under the same bound."""

    def emit(self, record: logging.LogRecord) -> None:
        log("library", logger=record.name, text=self.format(record))


def adopt_libraries() -> None:
    """Send warnings and errors of libraries to the log."""
    logging.basicConfig(level=logging.WARNING, handlers=[_Handler()], force=True)
