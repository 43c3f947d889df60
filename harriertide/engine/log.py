"""The log: structured events on standard error, as key=value or JSON, with a rate limit."""

from __future__ import annotations

import logging
import sys
import time
from typing import Any, Literal

import structlog
from structlog.typing import EventDict, Processor, WrappedLogger

# A failure that affects every request must not fill the disk or slow down the broker, so events beyond the
# rate limit are dropped and counted.
BURST_EVENT_COUNT = 40.0
EVENTS_PER_S = 10.0

LogFormat = Literal["text", "json"]


class Log:
    """Writes events at a rate of at most EVENTS_PER_S, with bursts of up to BURST_EVENT_COUNT.

    The name of an event is a constant, searchable phrase; variable values go into fields. The first event
    after dropped events has their number in the field left_out.
    """

    def __init__(self) -> None:
        self._available_events = BURST_EVENT_COUNT
        self._refilled_at_s = time.monotonic()
        self._left_out_count = 0
        self.set_format("text")

    def set_format(self, log_format: LogFormat) -> None:
        """Set the format of all subsequent events."""
        render: Processor
        if log_format == "json":
            render = structlog.processors.JSONRenderer()
        else:
            render = structlog.processors.LogfmtRenderer(key_order=["at", "event"])
        add_time = structlog.processors.TimeStamper(fmt="iso", key="at")
        processors: list[Processor] = [self._limit_rate, add_time, render]
        self._logger = structlog.wrap_logger(None, processors, wrapper_class=_StandardErrorLogger)

    def _limit_rate(self, logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
        """Drop the event if the token bucket is empty."""
        now_s = time.monotonic()
        refill = EVENTS_PER_S * (now_s - self._refilled_at_s)
        self._available_events = min(BURST_EVENT_COUNT, self._available_events + refill)
        self._refilled_at_s = now_s
        if self._available_events < 1:
            self._left_out_count += 1
            raise structlog.DropEvent
        self._available_events -= 1
        if self._left_out_count:
            event["left_out"] = self._left_out_count
            self._left_out_count = 0
        return event

    def __call__(self, event: str, **fields: Any) -> None:
        """Write an event.

        :param fields: string and number values
        """
        self._logger.msg(event, **fields)

    def log_final(self, event: str, **fields: Any) -> None:
        """Write an event at the end of the process, regardless of the rate limit."""
        self._available_events = max(self._available_events, 1.0)
        self(event, **fields)


class _StandardErrorLogger(structlog.BoundLoggerBase):
    """Writes to the current `sys.stderr`, which tests and supervisors replace."""

    def msg(self, event: str, **fields: Any) -> None:
        """Write an event, unless the rate limit drops the event."""
        try:
            rendered, _ = self._process_event("msg", event, fields)
        except structlog.DropEvent:
            return
        print(*rendered, file=sys.stderr, flush=True)


log = Log()


class _LibraryHandler(logging.Handler):
    """Forwards log records of libraries to this log, which applies the same format and rate limit."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a log record as an event."""
        log("library", logger=record.name, text=self.format(record))


def capture_library_logs() -> None:
    """Forward warnings and errors of libraries to this log."""
    logging.basicConfig(level=logging.WARNING, handlers=[_LibraryHandler()], force=True)
