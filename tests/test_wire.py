"""The simulator link as a process: batches of events on its standard input, replies on its output."""

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from harriertide.cli.simulator_codec import EVENT_DECODERS, encode_action
from harriertide.decide import api

ROOT = Path(__file__).parent.parent
SETTINGS: dict[str, Any] = {
    "index": 0,
    "groupSize": 1,
    "roundUs": 2000,
    "membershipMode": "ask",
    "tiers": ["x"],
    "novel": 1,
    "classes": [
        {"deadlineUs": 2000000, "sloUs": 300000, "worth": 2.0, "lateWorth": 0.1, "effect": "idempotent"}
    ],
    "plans": [{"guaranteed": 5.0, "weight": 1.0, "valueFactor": 1.0, "ceilingRate": 0.0, "mostAtOnce": 0.0}],
    "domain": {
        "nShards": 2,
        "meanUnits": 2.0,
        "maxUnits": 8,
        "withinShare": 0.4,
        "beyondShare": 0.05,
        "youngLimit": 20.0,
    },
    "safety": {"coldFrom": 0.2, "coldUs": 1000000, "fallUs": 1500000},
    "limits": {"peers": True, "retryAfter": True, "maxRetryAfterUs": 500000, "tryLimit": 3},
}
INSTANCE = "head/0"
OPENING_LINES = [
    {"batch": {"clockUs": 5_000_000}},
    {"begin": {"who": INSTANCE, "initSeed": 3, "settings": SETTINGS}},
    {
        "manifest": {
            "page": 0,
            "records": [{"zone": 0, "state": "live", "shelf": "a:1", "pod": 0, "extra": 9}],
        }
    },
    {"view": {"who": INSTANCE, "mode": "cached", "rev": 1, "page": 0}},
    {"eob": {}},
]
DEMAND = {
    "demand": {
        "who": INSTANCE,
        "req": "q",
        "band": 0,
        "policyNo": 0,
        "item": "i",
        "validUntilUs": 7_000_000,
        "owner": "v",
        "costUnits": 2,
        "slotNo": 0,
        "writers": 1,
    }
}


def run(*lines: Any, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    text = "".join((line if isinstance(line, str) else json.dumps(line)) + "\n" for line in lines)
    env = {**os.environ, "PYTHONHASHSEED": hash_seed}
    return subprocess.run(
        [sys.executable, "-m", "harriertide.cli.benchlink"],
        input=text,
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
    )


def test_a_request_from_arrival_to_response() -> None:
    """An arrival starts an attempt, and nothing is sent for the request after the attempt has succeeded."""
    finished = {
        "done": {
            "who": INSTANCE,
            "req": "q",
            "complete": True,
            "code": 0,
            "shelf": "a:1",
            "sendNo": 0,
            "delaySeenUs": 9,
        }
    }
    result = run(
        *OPENING_LINES,
        {"batch": {"clockUs": 5_002_000}},
        DEMAND,
        {"eob": {}},
        {"batch": {"clockUs": 5_062_000}},
        finished,
        {"eob": {}},
    )
    lines = [json.loads(line) for line in result.stdout.splitlines()]
    assert result.returncode == 0 and not result.stderr
    assert {"tail": {"who": INSTANCE, "enable": True}} in lines
    assert {"try": {"who": INSTANCE, "req": "q", "stopAtUs": 7_000_000, "shelf": "a:1"}} in lines
    assert sum("next" in line for line in lines) == 3 and "next" in lines[-1]


def test_the_output_does_not_depend_on_the_hash_seed() -> None:
    """The simulator compares runs byte for byte, so the output must not depend on set or dict order."""
    demands = [
        {"demand": {**DEMAND["demand"], "req": f"q{number}", "owner": f"v{number % 5}"}}
        for number in range(30)
    ]
    batch = [*OPENING_LINES, {"batch": {"clockUs": 5_002_000}}, *demands, {"eob": {}}]
    first_output = run(*batch, hash_seed="1").stdout
    assert first_output == run(*batch, hash_seed="77").stdout
    assert "try" in first_output


@pytest.mark.parametrize(
    ("line", "error_text"),
    [
        ("{nonsense", "not JSON"),
        ("[1]", "one key"),
        ('{"a":{},"b":{}}', "one key"),
        ('{"eob":3}', "object"),
        ('{"batch":{}}', "clockUs"),
    ],
)
def test_an_invalid_line_ends_the_process_with_one_error_line(line: str, error_text: str) -> None:
    """On a line that is not JSON or has an invalid form, the process exits and reports the line number."""
    result = run(*OPENING_LINES, line)
    assert result.returncode == 2
    assert result.stderr.count("\n") == 1 and "line 6" in result.stderr and error_text in result.stderr
    assert result.stdout.endswith('{"next":{}}\n')


def test_a_missing_field_is_reported_and_no_reply_is_started() -> None:
    """If a field is missing in the middle of a batch, no partial reply is written."""
    incomplete_event = {
        "demand": {field: value for field, value in DEMAND["demand"].items() if field != "owner"}
    }
    result = run(*OPENING_LINES, {"batch": {"clockUs": 5_002_000}}, DEMAND, incomplete_event)
    assert result.returncode == 2 and "owner" in result.stderr and "line 8" in result.stderr
    assert result.stdout.count("next") == 1 and "try" not in result.stdout


def test_an_unknown_event_is_reported_once_and_ignored() -> None:
    """An event that only a newer simulator knows is reported once and otherwise ignored."""
    unknown_event = {"novelty": {"who": INSTANCE}}
    result = run(*OPENING_LINES, {"batch": {"clockUs": 5_002_000}}, unknown_event, unknown_event, {"eob": {}})
    assert result.returncode == 0 and result.stderr.count("novelty") == 1


def test_an_instance_with_invalid_settings_sends_die() -> None:
    """An instance with settings out of range ends, and the reply gives the reason."""
    opening_lines = json.loads(json.dumps(OPENING_LINES))
    opening_lines[1]["begin"]["settings"]["groupSize"] = 0
    result = run(*opening_lines)
    assert (
        "ValueError" in result.stderr and "settings.groupSize" in result.stdout and '"die"' in result.stdout
    )


def test_a_killed_instance_gets_no_actions() -> None:
    """If an instance is killed in a batch that has events for it, the reply has no actions for it."""
    result = run(
        *OPENING_LINES, {"batch": {"clockUs": 5_002_000}}, DEMAND, {"down": {"who": INSTANCE}}, {"eob": {}}
    )
    assert result.returncode == 0 and result.stdout.endswith('{"next":{}}\n{"next":{}}\n')


ACTIONS: list[tuple[api.Action, str]] = [
    (api.StartAttempt("q", "a:1", 9), '{"try":{"who":"head/0","req":"q","stopAtUs":9,"shelf":"a:1"}}'),
    (api.CancelAttempt("q", 1), '{"undoSend":{"who":"head/0","req":"q","sendNo":1}}'),
    (api.Reject("q", 7), '{"decline":{"who":"head/0","req":"q","notBeforeForUs":7}}'),
    (api.Fail("q"), '{"lose":{"who":"head/0","req":"q"}}'),
    (api.SetTimer(5, 2), '{"wakeMe":{"who":"head/0","sleepForUs":5,"ctx":2}}'),
    (api.WatchEndpoints(), '{"tail":{"who":"head/0","enable":true}}'),
    (api.SendPeerMessage(1, b"\x00\xff"), '{"announce":{"who":"head/0","whom":1,"body":"AP8="}}'),
    (api.StartProbe("a:1"), '{"askLoad":{"who":"head/0","shelf":"a:1"}}'),
    (api.LogLine("text"), '{"journalLine":{"who":"head/0","message":"text"}}'),
]


@pytest.mark.parametrize(("action", "line"), ACTIONS, ids=[type(action).__name__ for action, _ in ACTIONS])
def test_the_encoding_of_actions_is_unchanged(action: api.Action, line: str) -> None:
    """Renaming a field of an action class must not change the line that the simulator receives."""
    assert encode_action(INSTANCE, action) == line.encode()


EVENTS: dict[str, tuple[dict[str, Any], api.Event]] = {
    "demand": (
        DEMAND["demand"],
        api.Arrival("q", 0, 0, "v", 0, 7_000_000, units=2, key="i", sharing_broker_count=1, is_retry=False),
    ),
    "established": ({"req": "q", "sendNo": 1}, api.ResponseStarted("q", 1)),
    "done": (
        {"req": "q", "sendNo": 1, "shelf": "a:1", "code": 111, "delaySeenUs": 4, "complete": True},
        api.AttemptFinished("q", 1, "a:1", "connect_failed", 4, True),
    ),
    "aborted": ({"req": "q"}, api.ClientDisconnected("q")),
    "sampled": ({"shelf": "a:1", "code": 110}, api.ProbeFinished("a:1", "timeout")),
    "wake": ({"ctx": 3}, api.TimerFired(3)),
    "noteFrom": ({"neighbour": 2, "body": "AP8="}, api.PeerMessageReceived(2, b"\x00\xff")),
}


@pytest.mark.parametrize("name", EVENTS)
def test_the_decoding_of_events_is_unchanged(name: str) -> None:
    """Renaming a field of an event class must not change which fields are read from the simulator's line."""
    fields, event = EVENTS[name]
    assert set(EVENTS) == set(EVENT_DECODERS)
    assert EVENT_DECODERS[name](fields) == event


def test_a_corrupted_peer_message_is_decoded_as_empty() -> None:
    """The simulated network corrupts messages as a real one does; this must not end the process."""
    assert EVENT_DECODERS["noteFrom"]({"neighbour": 2, "body": "%%"}) == api.PeerMessageReceived(2, b"")
