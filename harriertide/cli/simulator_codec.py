"""The simulator's wire: lines of JSON to events, actions to lines of JSON.

The wire's own words are mapped here and nowhere else: its names of events, actions and their fields stay.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from typing import Any

import orjson

from harriertide.decide import api
from harriertide.decide.settings import Fields

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
ENDPOINT_UPDATE_KINDS = ("delta", "full", "cached", "failed")


class WireError(Exception):
    """A line of the simulator's that cannot be used: the sender is at fault."""


def parse_line(line: bytes) -> tuple[str, Fields]:
    """The line's word and its fields.

    :raises WireError: where it is no JSON object of one key, or its value is no object.
    """
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


# --- lines to events -------------------------------------------------------------------------------------


def decode_node_entry(fields: Fields) -> api.NodeEntry:
    """Read one row of an endpoint list."""
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


EVENT_DECODERS: dict[str, Callable[[Fields], api.Event]] = {
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


def encode_action(instance: str, action: api.Action) -> bytes:
    """Write an action of an instance as a line."""
    word, encode = _ACTION_ENCODERS[type(action)]
    return orjson.dumps({word: {"who": instance, **encode(action)}})


def encode_failure(instance: str, reason: str) -> bytes:
    """Write the line that ends an instance which cannot go on."""
    return orjson.dumps({"die": {"who": instance, "message": reason}})
