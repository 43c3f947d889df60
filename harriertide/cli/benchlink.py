"""The simulator's wire: lines of JSON to events, actions to lines of JSON. It decides nothing.

The simulator runs many brokers in one process of this program and calls each an instance. It sends a batch:
`batch` with its clock, any lines, `eob`. The reply is the actions of each instance in the batch, then `next`.
The wire's own words are mapped here and nowhere else.
"""

from __future__ import annotations

import base64
import binascii
import sys
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, BinaryIO

import orjson

from harriertide.decide import api
from harriertide.decide.scheduler import Scheduler
from harriertide.decide.settings import Fields, from_wire

EXIT_UNUSABLE_INPUT = 2

# What an attempt or a health check ended with, by the wire's code: errno's numbers where there is one.
_OUTCOME_KINDS: dict[int, api.OutcomeKind] = {
    0: "ok",
    5: "error",
    11: "rejected",
    104: "reset",
    110: "timeout",
    111: "connect_failed",
    114: "not_sent",
    125: "cancelled",
}
_NODE_STATES = {"live": "live", "quiescing": "draining", "dead": "gone"}
_ENDPOINT_UPDATE_KINDS = ("delta", "full", "cached", "failed")


class WireError(Exception):
    """A line of the simulator's that cannot be used: the sender is at fault."""


# --- lines to events -------------------------------------------------------------------------------------


def _decode_node_entry(fields: Fields) -> api.NodeEntry:
    return api.NodeEntry(
        node_id=fields["shelf"],
        shard=fields["pod"],
        state=_NODE_STATES[fields["state"]],  # type: ignore[arg-type]
        zone=fields["zone"],
        started_us=fields.get("lastStartUs") or 0,
    )


def _decode_arrival(fields: Fields) -> api.Arrival:
    return api.Arrival(
        request_id=fields["req"],
        request_class=fields["band"],
        plan=fields["policyNo"],
        volume=fields["owner"],
        shard=int(fields["slotNo"]),
        deadline_at_us=fields["validUntilUs"],
        units=fields["costUnits"],
        key=fields.get("item") or "",
        sharing_broker_count=int(fields["writers"]),
        is_retry=bool(fields.get("resent")),
    )


def _decode_response_started(fields: Fields) -> api.ResponseStarted:
    return api.ResponseStarted(request_id=fields["req"], attempt=fields["sendNo"])


def _decode_attempt_finished(fields: Fields) -> api.AttemptFinished:
    return api.AttemptFinished(
        request_id=fields["req"],
        attempt=fields["sendNo"],
        node_id=fields["shelf"],
        kind=_OUTCOME_KINDS[fields["code"]],
        latency_us=fields.get("delaySeenUs") or 0,
        is_final=bool(fields.get("complete")),
    )


def _decode_client_disconnected(fields: Fields) -> api.ClientDisconnected:
    return api.ClientDisconnected(request_id=fields["req"])


def _decode_probe_finished(fields: Fields) -> api.ProbeFinished:
    return api.ProbeFinished(node_id=fields["shelf"], kind=_OUTCOME_KINDS[fields["code"]])


def _decode_timer_fired(fields: Fields) -> api.TimerFired:
    return api.TimerFired(token=fields["ctx"])


def _decode_peer_message(fields: Fields) -> api.PeerMessageReceived:
    """A message of another broker; one that was garbled on its way counts as empty, as on a real network."""
    try:
        body = base64.b64decode(fields["body"], validate=True)
    except (binascii.Error, ValueError):
        body = b""
    return api.PeerMessageReceived(sender_index=fields["neighbour"], body=body)


_EVENT_DECODERS: dict[str, Callable[[Fields], api.Event]] = {
    "demand": _decode_arrival,
    "established": _decode_response_started,
    "done": _decode_attempt_finished,
    "aborted": _decode_client_disconnected,
    "sampled": _decode_probe_finished,
    "wake": _decode_timer_fired,
    "noteFrom": _decode_peer_message,
}


# --- actions to lines ------------------------------------------------------------------------------------


def _encode_start_attempt(action: api.StartAttempt) -> Fields:
    return {"req": action.request_id, "stopAtUs": action.stop_at_us, "shelf": action.node_id}


def _encode_cancel_attempt(action: api.CancelAttempt) -> Fields:
    return {"req": action.request_id, "sendNo": action.attempt}


def _encode_reject(action: api.Reject) -> Fields:
    return {"req": action.request_id, "notBeforeForUs": action.retry_after_us}


def _encode_fail(action: api.Fail) -> Fields:
    return {"req": action.request_id}


def _encode_set_timer(action: api.SetTimer) -> Fields:
    return {"sleepForUs": action.after_us, "ctx": action.token}


def _encode_watch_endpoints(action: api.WatchEndpoints) -> Fields:
    return {"enable": True}


def _encode_peer_message(action: api.SendPeerMessage) -> Fields:
    return {"whom": action.recipient_index, "body": base64.b64encode(action.body).decode()}


def _encode_start_probe(action: api.StartProbe) -> Fields:
    return {"shelf": action.node_id}


def _encode_log_line(action: api.LogLine) -> Fields:
    return {"message": action.text}


_ACTION_ENCODERS: dict[type, tuple[str, Callable[[Any], Fields]]] = {  # the line's word, and its fields
    api.StartAttempt: ("try", _encode_start_attempt),
    api.CancelAttempt: ("undoSend", _encode_cancel_attempt),
    api.Reject: ("decline", _encode_reject),
    api.Fail: ("lose", _encode_fail),
    api.SetTimer: ("wakeMe", _encode_set_timer),
    api.WatchEndpoints: ("tail", _encode_watch_endpoints),
    api.SendPeerMessage: ("announce", _encode_peer_message),
    api.StartProbe: ("askLoad", _encode_start_probe),
    api.LogLine: ("journalLine", _encode_log_line),
}


def _encode_action(instance: str, action: api.Action) -> bytes:
    word, encode = _ACTION_ENCODERS[type(action)]
    return orjson.dumps({word: {"who": instance, **encode(action)}})


def _encode_failure(instance: str, reason: str) -> bytes:
    return orjson.dumps({"die": {"who": instance, "message": reason}})


# --- the link --------------------------------------------------------------------------------------------


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
        word, fields = _parse_line(line)
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
        decode = _EVENT_DECODERS.get(word)
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
        self._manifests[fields["page"]] = tuple(_decode_node_entry(entry) for entry in fields["records"])

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
        if kind not in _ENDPOINT_UPDATE_KINDS:
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

        A fault of the decision module itself is reported as the instance's end, behind the actions before it:
        the simulator then counts it against this program and goes on with the other instances.
        """
        if instance in self._start_failures:
            return [_encode_failure(instance, self._start_failures[instance])]
        scheduler = self._schedulers.get(instance)
        if scheduler is None:
            return []
        lines: list[bytes] = []
        try:
            for action in scheduler.decide(now_us, events):
                lines.append(_encode_action(instance, action))
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            lines.append(_encode_failure(instance, f"{type(error).__name__}: {error}"))
        return lines


def _parse_line(line: bytes) -> tuple[str, Fields]:
    """The line's word and its fields."""
    try:
        value = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise WireError(f"not JSON: {error}") from None
    if not isinstance(value, dict) or len(value) != 1:
        raise WireError("not an object with one key")
    word, fields = next(iter(value.items()))
    if not isinstance(fields, dict):
        raise WireError(f"{word}: its value is not an object")
    return word, fields


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
