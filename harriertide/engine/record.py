"""Recorded workloads: what a core was told of boxes and requests, to be played again.

One JSON document a line: a head with version, settings and seed, then what came, each with its time in
microseconds since the head. A file that a crash cut off is good up to its last whole line.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import BinaryIO

import msgspec

from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.decide.settings import PlainError

VERSION = 1


class RecordError(PlainError):
    """A recorded workload can't be used, in one plain line that names the line of the file."""


class Head(msgspec.Struct, forbid_unknown_fields=True):
    """The first line."""

    v: int
    settings: api.Settings
    seed: int


class Row(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """One event: an arrival or news of the list. Times within it are since the head too."""

    at: int
    arrival: api.Arrival | None = None
    news: api.NodeList | None = None


@dataclass(frozen=True, slots=True)
class Workload:
    """A whole recording. cut: its last line was not whole."""

    head: Head
    rows: list[Row]
    cut: bool


_encode = msgspec.json.Encoder().encode


class Recorder:
    """Writes what a core is told, line by line as it comes."""

    def __init__(self, file: BinaryIO, settings: api.Settings, seed: int, start_us: int) -> None:
        self._file, self._start_us = file, start_us
        self._file.write(_encode(Head(VERSION, settings, seed)) + b"\n")

    def take(self, now_us: int, event: ev.Event) -> None:
        """An event of the core's; others than arrivals and lists are not recorded."""
        start = self._start_us
        if isinstance(event, ev.Arrived):
            arrival = replace(event.arrival, give_up_us=event.arrival.give_up_us - start)
            self._file.write(_encode(Row(now_us - start, arrival)) + b"\n")
        elif isinstance(event, ev.Listed):
            nodes = tuple(_moved(entry, -start) for entry in event.news.nodes)
            self._file.write(_encode(Row(now_us - start, None, replace(event.news, nodes=nodes))) + b"\n")


def _moved(entry: api.NodeEntry, by_us: int) -> api.NodeEntry:
    """Its start on another clock; 0, long ago, stays."""
    return replace(entry, started_us=entry.started_us + by_us) if entry.started_us else entry


def moved(row: Row, start_us: int) -> tuple[int, ev.Event]:
    """A row as an event on a clock whose head lies at start_us, and when it comes."""
    if row.arrival is not None:
        arrival = replace(row.arrival, give_up_us=row.arrival.give_up_us + start_us)
        return row.at + start_us, ev.Arrived(arrival)
    assert row.news is not None
    nodes = tuple(_moved(entry, start_us) for entry in row.news.nodes)
    return row.at + start_us, ev.Listed(replace(row.news, nodes=nodes))


def _rows(lines: list[bytes], decode: msgspec.json.Decoder[Row]) -> Iterator[Row]:
    before = 0
    for number, line in enumerate(lines, 2):
        try:
            row = decode.decode(line)
        except (msgspec.DecodeError, ValueError) as fault:
            raise RecordError(f"line {number}: {fault}") from None
        if (row.arrival is None) == (row.news is None):
            raise RecordError(f"line {number}: must have either arrival or news")
        if row.at < before:
            raise RecordError(f"line {number}: at: goes back in time")
        before = row.at
        yield row


def load(path: str) -> Workload:
    """A recording, checked; RecordError names what can't be used."""
    try:
        text = Path(path).read_bytes()
    except OSError as fault:
        raise RecordError(f"{path}: {fault.strerror}") from None
    *lines, rest = text.split(b"\n")
    if not lines:
        raise RecordError(f"{path}: line 1: is missing or cut off")
    try:
        head = msgspec.json.decode(lines[0], type=Head)
    except (msgspec.DecodeError, ValueError) as fault:
        raise RecordError(f"{path}: line 1: {fault}") from None
    if head.v != VERSION:
        raise RecordError(f"{path}: line 1: v: version {head.v} is not {VERSION}")
    try:
        rows = list(_rows(lines[1:], msgspec.json.Decoder(Row)))
    except RecordError as fault:
        raise RecordError(f"{path}: {fault}") from None
    return Workload(head, rows, bool(rest))


def save(path: str, workload: Workload) -> None:
    """Write a recording that was made rather than heard."""
    lines = [_encode(workload.head), *map(_encode, workload.rows)]
    Path(path).write_bytes(b"".join(line + b"\n" for line in lines))
