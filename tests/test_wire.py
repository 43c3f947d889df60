"""The adapter as a process: hand-written batches in, replies out."""

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
WHO = "head/0"
OPEN = [
    {"batch": {"clockUs": 5_000_000}},
    {"begin": {"who": WHO, "initSeed": 3, "settings": SETTINGS}},
    {
        "manifest": {
            "page": 0,
            "records": [{"zone": 0, "state": "live", "shelf": "a:1", "pod": 0, "extra": 9}],
        }
    },
    {"view": {"who": WHO, "mode": "cached", "rev": 1, "page": 0}},
    {"eob": {}},
]
ASK = {
    "demand": {
        "who": WHO,
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


def test_a_request_from_arrival_to_answer() -> None:
    """The course without a failure: an arrival becomes an attempt, its end is the last that is heard of
    it.
    """
    done = {
        "done": {
            "who": WHO,
            "req": "q",
            "complete": True,
            "code": 0,
            "shelf": "a:1",
            "sendNo": 0,
            "delaySeenUs": 9,
        }
    }
    end = run(
        *OPEN,
        {"batch": {"clockUs": 5_002_000}},
        ASK,
        {"eob": {}},
        {"batch": {"clockUs": 5_062_000}},
        done,
        {"eob": {}},
    )
    lines = [json.loads(line) for line in end.stdout.splitlines()]
    assert end.returncode == 0 and not end.stderr
    assert {"tail": {"who": WHO, "enable": True}} in lines
    assert {"try": {"who": WHO, "req": "q", "stopAtUs": 7_000_000, "shelf": "a:1"}} in lines
    assert sum("next" in line for line in lines) == 3 and "next" in lines[-1]


def test_hash_seeds_change_nothing() -> None:
    """The simulator compares runs byte for byte: the order of sets and dicts may not show."""
    asks = [{"demand": {**ASK["demand"], "req": f"q{i}", "owner": f"v{i % 5}"}} for i in range(30)]
    batch = [*OPEN, {"batch": {"clockUs": 5_002_000}}, *asks, {"eob": {}}]
    first = run(*batch, hash_seed="1").stdout
    assert first == run(*batch, hash_seed="77").stdout
    assert "try" in first


@pytest.mark.parametrize(
    ("line", "word"),
    [
        ("{nonsense", "not JSON"),
        ("[1]", "one key"),
        ('{"a":{},"b":{}}', "one key"),
        ('{"eob":3}', "object"),
        ('{"batch":{}}', "clockUs"),
    ],
)
def test_a_line_it_cannot_use_ends_it_plainly(line: str, word: str) -> None:
    """The simulator sends a line that is not JSON or of no known form: the link ends and names the line."""
    end = run(*OPEN, line)
    assert end.returncode == 2
    assert end.stderr.count("\n") == 1 and "line 6" in end.stderr and word in end.stderr
    assert end.stdout.endswith('{"next":{}}\n')


def test_a_missing_field_is_named_and_no_reply_is_begun() -> None:
    """A field is missing in the middle of a batch: half a reply would be worse than none."""
    bad = {"demand": {k: v for k, v in ASK["demand"].items() if k != "owner"}}
    end = run(*OPEN, {"batch": {"clockUs": 5_002_000}}, ASK, bad)
    assert end.returncode == 2 and "owner" in end.stderr and "line 8" in end.stderr
    assert end.stdout.count("next") == 1 and "try" not in end.stdout


def test_an_unknown_event_is_named_once_and_disregarded() -> None:
    """A newer simulator sends a word that this release does not know: it is reported once and passed over."""
    odd = {"novelty": {"who": WHO}}
    end = run(*OPEN, {"batch": {"clockUs": 5_002_000}}, odd, odd, {"eob": {}})
    assert end.returncode == 0 and end.stderr.count("novelty") == 1


def test_settings_out_of_range_become_die() -> None:
    """An instance is given settings out of range: it alone ends, and the reply says why."""
    first = json.loads(json.dumps(OPEN))
    first[1]["begin"]["settings"]["groupSize"] = 0
    end = run(*first)
    assert "ValueError" in end.stderr and "settings.groupSize" in end.stdout and '"die"' in end.stdout


def test_a_killed_instance_is_forgotten() -> None:
    """The simulator kills an instance with an event still in the batch: nothing is answered for it."""
    end = run(*OPEN, {"batch": {"clockUs": 5_002_000}}, ASK, {"down": {"who": WHO}}, {"eob": {}})
    assert end.returncode == 0 and end.stdout.endswith('{"next":{}}\n{"next":{}}\n')


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
def test_an_action_is_the_same_line_as_in_the_release_before(action: api.Action, line: str) -> None:
    """A field of the interface is renamed: the simulator must not see it, nor the instance end on it."""
    assert encode_action(WHO, action) == line.encode()


EVENTS: dict[str, tuple[dict[str, Any], api.Event]] = {
    "demand": (
        ASK["demand"],
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


@pytest.mark.parametrize("word", EVENTS)
def test_an_event_means_what_it_did_in_the_release_before(word: str) -> None:
    """As for actions: the wire's names are mapped in one place, and a rename must not reach it."""
    fields, event = EVENTS[word]
    assert set(EVENTS) == set(EVENT_DECODERS)
    assert EVENT_DECODERS[word](fields) == event


def test_a_message_that_was_garbled_on_its_way_counts_as_empty() -> None:
    """The simulator's network damages messages, as a real one does: that is no fault of the line."""
    assert EVENT_DECODERS["noteFrom"]({"neighbour": 2, "body": "%%"}) == api.PeerMessageReceived(2, b"")
