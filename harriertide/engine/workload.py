"""Recorded workloads: the requests and endpoint updates that a core received, for replay.

A recording is a JSON Lines file: a header with format version, settings and seed, then one event per line
with its time in microseconds since the header. A file that was truncated by a crash is usable up to its last
complete line. `harriertide.engine.workload_records` defines the stored form.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import BinaryIO

import msgspec

from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.decide.settings import SettingsError
from harriertide.engine import workload_records as records

FORMAT_VERSION = 1


class WorkloadError(SettingsError):
    """A recorded workload is unusable; the message names the file and the line."""


@dataclass(frozen=True, slots=True)
class WorkloadHeader:
    """The settings of a recording. seed: the seed of the decision module's random number generator."""

    settings: api.Settings
    seed: int


@dataclass(frozen=True, slots=True)
class WorkloadEvent:
    """An arrival or an endpoint update. at_us and all times within the event are relative to the header."""

    at_us: int
    arrival: api.Arrival | None = None
    endpoint_update: api.EndpointUpdate | None = None


@dataclass(frozen=True, slots=True)
class Workload:
    """A recording in memory. truncated: whether an incomplete last line was omitted."""

    header: WorkloadHeader
    events: list[WorkloadEvent]
    truncated: bool


class Recorder:
    """Writes the events that a core receives to a file, one line per event."""

    def __init__(self, file: BinaryIO, settings: api.Settings, seed: int, start_us: int) -> None:
        self._file, self._start_us = file, start_us
        self._file.write(_header_line(WorkloadHeader(settings, seed)))

    def write_event(self, now_us: int, event: ev.Event) -> None:
        """Record an arrival or an endpoint update; other events are ignored."""
        recorded = _relative_event(now_us, event, self._start_us)
        if recorded is not None:
            self._file.write(_event_line(recorded))


def _relative_event(now_us: int, event: ev.Event, start_us: int) -> WorkloadEvent | None:
    """Return the event with times relative to start_us, or None if events of its kind are not recorded."""
    if isinstance(event, ev.RequestArrived):
        deadline_at_us = event.arrival.deadline_at_us - start_us
        return WorkloadEvent(now_us - start_us, replace(event.arrival, deadline_at_us=deadline_at_us))
    if isinstance(event, ev.EndpointsUpdated):
        return WorkloadEvent(now_us - start_us, None, _shift_update(event.update, -start_us))
    return None


def absolute_event(recorded: WorkloadEvent, start_us: int) -> tuple[int, ev.Event]:
    """Convert a recorded event to absolute times, with start_us as the time of the header.

    :returns: the time of the event in microseconds, and the event for the core
    """
    at_us = recorded.at_us + start_us
    if recorded.arrival is not None:
        deadline_at_us = recorded.arrival.deadline_at_us + start_us
        return at_us, ev.RequestArrived(replace(recorded.arrival, deadline_at_us=deadline_at_us))
    assert recorded.endpoint_update is not None
    return at_us, ev.EndpointsUpdated(_shift_update(recorded.endpoint_update, start_us))


def _shift_update(update: api.EndpointUpdate, offset_us: int) -> api.EndpointUpdate:
    return replace(update, entries=tuple(_shift_start(entry, offset_us) for entry in update.entries))


def _shift_start(entry: api.NodeEntry, offset_us: int) -> api.NodeEntry:
    """Shift the start time of the node; a start time of 0 means long ago and is not shifted."""
    return replace(entry, started_us=entry.started_us + offset_us) if entry.started_us else entry


def load(path: str) -> Workload:
    """Read and validate a recording.

    :raises WorkloadError: the file cannot be read, or a line is invalid
    """
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        raise WorkloadError(f"{path}: {error.strerror}") from None
    *lines, incomplete_line = content.split(b"\n")
    if not lines:
        raise WorkloadError(f"{path}: line 1: the header is missing or truncated")
    try:
        header = _read_header(lines[0])
        events = list(_read_events(lines[1:]))
    except WorkloadError as error:
        raise WorkloadError(f"{path}: {error}") from None
    return Workload(header, events, truncated=bool(incomplete_line))


def _read_header(line: bytes) -> WorkloadHeader:
    try:
        record = records.decode_header(line)
        settings = records.load_settings(record.settings)
    except (msgspec.DecodeError, ValueError) as error:
        raise WorkloadError(f"line 1: {error}") from None
    if record.version != FORMAT_VERSION:
        raise WorkloadError(
            f"line 1: v: version {record.version} is not supported; expected {FORMAT_VERSION}"
        )
    return WorkloadHeader(settings, record.seed)


def _read_events(lines: list[bytes]) -> Iterator[WorkloadEvent]:
    last_us = 0
    for number, line in enumerate(lines, 2):
        try:
            event = _read_event(line)
        except (msgspec.DecodeError, ValueError) as error:
            raise WorkloadError(f"line {number}: {error}") from None
        if (event.arrival is None) == (event.endpoint_update is None):
            raise WorkloadError(f"line {number}: exactly one of arrival and news is required")
        if event.at_us < last_us:
            raise WorkloadError(f"line {number}: at: must not be before the time of the previous event")
        last_us = event.at_us
        yield event


def _read_event(line: bytes) -> WorkloadEvent:
    record = records.decode_event(line)
    arrival, update = record.arrival, record.endpoint_update
    return WorkloadEvent(
        record.at_us,
        records.load_arrival(arrival) if arrival is not None else None,
        records.load_endpoint_update(update) if update is not None else None,
    )


def save(path: str, workload: Workload) -> None:
    """Write a workload that was generated rather than recorded to a file."""
    lines = [_header_line(workload.header), *map(_event_line, workload.events)]
    Path(path).write_bytes(b"".join(lines))


def _header_line(header: WorkloadHeader) -> bytes:
    record = records.HeaderRecord(FORMAT_VERSION, records.store_settings(header.settings), header.seed)
    return records.encode(record) + b"\n"


def _event_line(event: WorkloadEvent) -> bytes:
    arrival, update = event.arrival, event.endpoint_update
    record = records.EventRecord(
        event.at_us,
        records.store_arrival(arrival) if arrival is not None else None,
        records.store_endpoint_update(update) if update is not None else None,
    )
    return records.encode(record) + b"\n"
