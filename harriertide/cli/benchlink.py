"""The simulator's link: batches of lines on standard input to schedulers, their actions to standard output.

The simulator runs many brokers in one process of this program and calls each an instance. It sends a batch:
`batch` with its clock, any lines, `eob`. The reply is the actions of each instance in the batch, then `next`.
Words of single lines are mapped in `simulator_codec`. Nothing here decides anything.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import BinaryIO

from harriertide.cli.simulator_codec import (
    ENDPOINT_UPDATE_KINDS,
    EVENT_DECODERS,
    WireError,
    decode_node_entry,
    encode_action,
    encode_failure,
    parse_line,
)
from harriertide.decide import api
from harriertide.decide.scheduler import Scheduler
from harriertide.decide.settings import Fields, from_wire

EXIT_UNUSABLE_INPUT = 2


@dataclass(slots=True)
class Batch:
    """What the simulator sends of one moment.

    :param now_us: its clock.
    :param events: by instance, in the order of their first lines: the order of the reply.
    """

    now_us: int
    events: dict[str, list[api.Event]] = field(default_factory=dict)

    def add(self, instance: str, event: api.Event) -> None:
        """Append an event of an instance."""
        self.events.setdefault(instance, []).append(event)


class SimulatorLink:
    """Reads batches from a stream, runs one scheduler for each instance, and writes the replies."""

    def __init__(self, source: BinaryIO, sink: BinaryIO) -> None:
        self._source = source
        self._sink = sink
        self._batch: Batch | None = None
        self._manifests: dict[int, tuple[api.NodeEntry, ...]] = {}  # endpoint lists, by page
        self._schedulers: dict[str, Scheduler] = {}
        self._start_failures: dict[str, str] = {}  # instances whose settings can't be used, and why
        self._unknown_words: set[str] = set()  # each is reported once
        self._handlers: dict[str, Callable[[Batch, Fields], None]] = {
            "manifest": self._on_manifest,
            "begin": self._on_begin,
            "down": self._on_down,
            "view": self._on_view,
            "eob": self._on_end_of_batch,
        }

    def run(self) -> None:
        """Serve until the end of the input.

        :raises WireError: naming the line that cannot be used; nothing of its batch was answered.
        """
        for number, line in enumerate(self._source, start=1):
            if not line.strip():
                continue
            try:
                self._on_line(line)
            except WireError as error:
                raise WireError(f"line {number}: {error}") from None

    def _on_line(self, line: bytes) -> None:
        word, fields = parse_line(line)
        try:
            self._on_word(word, fields)
        except KeyError as gap:
            raise WireError(f"{word}: missing or unknown value: {gap}") from None
        except (TypeError, AttributeError, ValueError) as error:
            raise WireError(f"{word}: {error}") from None

    def _on_word(self, word: str, fields: Fields) -> None:
        if word == "batch":
            self._batch = Batch(now_us=int(fields["clockUs"]))
            return
        batch = self._batch
        if batch is None:
            raise WireError(f"{word} outside a batch")
        decode = EVENT_DECODERS.get(word)
        if decode is not None:
            batch.add(fields["who"], decode(fields))
            return
        handle = self._handlers.get(word)
        if handle is not None:
            handle(batch, fields)
        elif word not in self._unknown_words:
            self._unknown_words.add(word)
            print(f"unknown event disregarded: {word}", file=sys.stderr)

    def _on_manifest(self, batch: Batch, fields: Fields) -> None:
        """An endpoint list, which views of any instance refer to by its page."""
        self._manifests[fields["page"]] = tuple(decode_node_entry(entry) for entry in fields["records"])

    def _on_begin(self, batch: Batch, fields: Fields) -> None:
        """Start an instance, anew if there is one of that name."""
        instance = fields["who"]
        batch.events[instance] = []
        self._start_failures.pop(instance, None)
        try:
            self._schedulers[instance] = Scheduler(from_wire(fields["settings"]), fields["initSeed"])
        except ValueError as error:
            traceback.print_exc(file=sys.stderr)
            self._start_failures[instance] = f"ValueError: {error}"

    def _on_down(self, batch: Batch, fields: Fields) -> None:
        """An instance was killed: nothing is asked of it any more."""
        instance = fields["who"]
        self._schedulers.pop(instance, None)
        batch.events.pop(instance, None)

    def _on_view(self, batch: Batch, fields: Fields) -> None:
        """An instance's endpoint list is one of the manifests, or could not be had."""
        kind = fields["mode"]
        if kind not in ENDPOINT_UPDATE_KINDS:
            raise KeyError(kind)
        entries = () if kind == "failed" else self._manifests[fields["page"]]
        batch.add(fields["who"], api.EndpointUpdate(kind=kind, entries=entries))

    def _on_end_of_batch(self, batch: Batch, fields: Fields) -> None:
        """Have every instance of the batch decide, and reply."""
        lines: list[bytes] = []
        for instance, events in batch.events.items():
            lines += self._decide(batch.now_us, instance, events)
        lines.append(b'{"next":{}}\n')
        self._sink.write(b"\n".join(lines))
        self._sink.flush()
        self._batch = None

    def _decide(self, now_us: int, instance: str, events: list[api.Event]) -> list[bytes]:
        """One instance's part of the reply.

        A fault of the decision module itself is reported as the instance's end, behind its actions before it,
        with a traceback on standard error: the other instances go on.
        """
        if instance in self._start_failures:
            return [encode_failure(instance, self._start_failures[instance])]
        scheduler = self._schedulers.get(instance)
        if scheduler is None:
            return []
        lines: list[bytes] = []
        try:
            for action in scheduler.decide(now_us, events):
                lines.append(encode_action(instance, action))
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            lines.append(encode_failure(instance, f"{type(error).__name__}: {error}"))
        return lines


def main() -> int:
    """Run the link on standard input and output.

    :returns: exit status; 2 where a line cannot be used.
    """
    try:
        SimulatorLink(sys.stdin.buffer, sys.stdout.buffer).run()
    except WireError as error:
        print(error, file=sys.stderr)
        return EXIT_UNUSABLE_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
