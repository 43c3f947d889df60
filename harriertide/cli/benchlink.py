"""The wire adapter: JSON lines to events, actions to JSON lines. It decides nothing."""

from __future__ import annotations

import base64
import binascii
import sys
import traceback
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

from harriertide.decide import api
from harriertide.decide.scheduler import Scheduler
from harriertide.decide.settings import Fields, from_wire

_KINDS = {
    0: "ok", 5: "error", 11: "rejected", 110: "timeout", 111: "connect_failed",
    104: "reset", 125: "cancelled", 114: "not_sent",
}  # fmt: skip
_STATES = {"live": "live", "quiescing": "draining", "dead": "gone"}
_LISTS = {"delta": "delta", "full": "full", "cached": "cached", "failed": "failed"}


class WireError(Exception):
    """A line that the adapter cannot use."""


def _entry(raw: Fields) -> api.NodeEntry:
    return api.NodeEntry(
        node_id=raw["shelf"],
        shard=raw["pod"],
        state=_STATES[raw["state"]],  # type: ignore[arg-type]
        zone=raw["zone"],
        started_us=raw.get("lastStartUs") or 0,
    )


def _demand(raw: Fields) -> api.Event:
    return api.Arrival(
        request_id=raw["req"],
        request_class=raw["band"],
        plan=raw["policyNo"],
        volume=raw["owner"],
        shard=int(raw["slotNo"]),
        deadline_at_us=raw["validUntilUs"],
        units=raw["costUnits"],
        key=raw.get("item") or "",
        sharing_broker_count=int(raw["writers"]),
        is_retry=bool(raw.get("resent")),
    )


def _done(raw: Fields) -> api.Event:
    return api.AttemptFinished(
        request_id=raw["req"],
        attempt=raw["sendNo"],
        node_id=raw["shelf"],
        kind=_KINDS[raw["code"]],  # type: ignore[arg-type]
        latency_us=raw.get("delaySeenUs") or 0,
        is_final=bool(raw.get("complete")),
    )


def _note(raw: Fields) -> api.Event:
    try:
        body = base64.b64decode(raw["body"], validate=True)
    except (binascii.Error, ValueError):
        body = b""
    return api.PeerMessageReceived(sender_index=raw["neighbour"], body=body)


_EVENTS: dict[str, Callable[[Fields], api.Event]] = {
    "demand": _demand,
    "done": _done,
    "established": lambda raw: api.ResponseStarted(request_id=raw["req"], attempt=raw["sendNo"]),
    "aborted": lambda raw: api.ClientDisconnected(request_id=raw["req"]),
    "sampled": lambda raw: api.ProbeFinished(raw["shelf"], _KINDS[raw["code"]]),  # type: ignore[arg-type]
    "wake": lambda raw: api.TimerFired(token=raw["ctx"]),
    "noteFrom": _note,
}
_ACTIONS: dict[type, Callable[[Any], tuple[str, Fields]]] = {
    api.StartAttempt: lambda a: ("try", {"req": a.request_id, "stopAtUs": a.stop_at_us, "shelf": a.node_id}),
    api.CancelAttempt: lambda a: ("undoSend", {"req": a.request_id, "sendNo": a.attempt}),
    api.Reject: lambda a: ("decline", {"req": a.request_id, "notBeforeForUs": a.retry_after_us}),
    api.Fail: lambda a: ("lose", {"req": a.request_id}),
    api.SetTimer: lambda a: ("wakeMe", {"sleepForUs": a.after_us, "ctx": a.token}),
    api.WatchEndpoints: lambda a: ("tail", {"enable": True}),
    api.SendPeerMessage: lambda a: (
        "announce",
        {"whom": a.recipient_index, "body": base64.b64encode(a.body).decode()},
    ),
    api.StartProbe: lambda a: ("askLoad", {"shelf": a.node_id}),
    api.LogLine: lambda a: ("journalLine", {"message": a.text}),
}


class Link:
    """Reads batches from a stream, hosts one Scheduler for each instance, writes the replies."""

    def __init__(self, source: BinaryIO, sink: BinaryIO) -> None:
        self._source = source
        self._sink = sink
        self._line = 0
        self._pages: dict[int, tuple[api.NodeEntry, ...]] = {}
        self._instances: dict[str, Scheduler] = {}
        self._named: set[str] = set()
        self._faults: dict[str, str] = {}

    def run(self) -> None:
        """Serve until the end of the input."""
        now_us: int | None = None
        batch: dict[str, list[api.Event]] = {}
        for raw_line in self._source:
            self._line += 1
            if not raw_line.strip():
                continue
            name, raw = self._parse(raw_line)
            try:
                if name == "batch":
                    now_us, batch = int(raw["clockUs"]), {}
                elif now_us is None:
                    raise WireError(f"{name} outside a batch")
                elif name == "eob":
                    self._reply(now_us, batch)
                    now_us = None
                else:
                    self._take(name, raw, batch)
            except KeyError as gap:
                raise WireError(f"line {self._line}: {name}: missing or unknown value: {gap}") from None
            except WireError as fault:
                raise WireError(f"line {self._line}: {fault}") from None
            except (TypeError, AttributeError, ValueError) as fault:
                raise WireError(f"line {self._line}: {name}: {fault}") from None

    def _parse(self, raw_line: bytes) -> tuple[str, Fields]:
        try:
            value = orjson.loads(raw_line)
        except orjson.JSONDecodeError as fault:
            raise WireError(f"line {self._line}: not JSON: {fault}") from None
        if not isinstance(value, dict) or len(value) != 1:
            raise WireError(f"line {self._line}: not an object with one key")
        name, raw = next(iter(value.items()))
        if not isinstance(raw, dict):
            raise WireError(f"line {self._line}: {name}: its value is not an object")
        return name, raw

    def _take(self, name: str, raw: Fields, batch: dict[str, list[api.Event]]) -> None:
        if name == "manifest":
            self._pages[raw["page"]] = tuple(_entry(entry) for entry in raw["records"])
        elif name == "begin":
            batch[raw["who"]] = []
            self._faults.pop(raw["who"], None)
            try:
                self._instances[raw["who"]] = Scheduler(from_wire(raw["settings"]), raw["initSeed"])
            except ValueError as fault:
                traceback.print_exc(file=sys.stderr)
                self._faults[raw["who"]] = f"ValueError: {fault}"
        elif name == "down":
            self._instances.pop(raw["who"], None)
            batch.pop(raw["who"], None)
        elif name == "view":
            kind = _LISTS[raw["mode"]]
            nodes = () if kind == "failed" else self._pages[raw["page"]]
            batch.setdefault(raw["who"], []).append(api.EndpointUpdate(kind=kind, entries=nodes))  # type: ignore[arg-type]
        elif name in _EVENTS:
            batch.setdefault(raw["who"], []).append(_EVENTS[name](raw))
        elif name not in self._named:
            self._named.add(name)
            print(f"unknown event disregarded: {name}", file=sys.stderr)

    def _reply(self, now_us: int, batch: dict[str, list[api.Event]]) -> None:
        lines: list[bytes] = []
        for who, events in batch.items():
            if who in self._faults:
                lines.append(orjson.dumps({"die": {"who": who, "message": self._faults[who]}}))
                continue
            scheduler = self._instances.get(who)
            if scheduler is None:
                continue
            try:
                for action in scheduler.decide(now_us, events):
                    name, fields = _ACTIONS[type(action)](action)
                    lines.append(orjson.dumps({name: {"who": who, **fields}}))
            except Exception as fault:  # the module's own failure, told as such
                traceback.print_exc(file=sys.stderr)
                text = f"{type(fault).__name__}: {fault}"
                lines.append(orjson.dumps({"die": {"who": who, "message": text}}))
        lines.append(b'{"next":{}}\n')
        self._sink.write(b"\n".join(lines))
        self._sink.flush()


def main() -> int:
    """Run the adapter on standard input and output; 2 on a line it cannot use."""
    try:
        Link(sys.stdin.buffer, sys.stdout.buffer).run()
    except WireError as fault:
        print(fault, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
