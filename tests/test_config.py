"""The operator's file, plan and apply, and the daemon as a process."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from harriertide.config import client
from harriertide.config.admin import AdminApi
from harriertide.config.decision_settings import build_settings
from harriertide.config.errors import AdminUnavailableError
from harriertide.config.operator_file import read_state
from tests.test_net import WIRE

ROOT = Path(__file__).parent.parent
FILE = """
listen = "127.0.0.1:{listen}"
admin = "127.0.0.1:{admin}"
catalogue = "{folder}/catalogue"
[boxes.box-1]
address = "127.0.0.1:9201"
shard = 0
[boxes.box-2]
address = "127.0.0.1:9202"
shard = 1
[grades.gold]
reserve = 5
[volumes.v]
grade = "gold"
"""


def run(*arguments: str, **more: str) -> subprocess.CompletedProcess[str]:
    environment = {k: v for k, v in os.environ.items() if not k.startswith("LB_")} | more
    command = [sys.executable, "-m", "harriertide", *arguments]
    return subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=60)


def test_plan_and_apply_against_a_running_daemon(tmp_path: Path) -> None:
    """An operator plans twice from one state and applies both: the second plan must be refused.

    What it says it would change is not what it would change any more.
    """
    text = FILE.format(listen=0, admin=0, folder=tmp_path)
    file, plan, other = (str(tmp_path / name) for name in ("o.toml", "plan", "other"))
    Path(file).write_text(text)
    command = [sys.executable, "-m", "harriertide", "serve", "--objects", file]
    daemon = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True)
    try:
        assert daemon.stderr is not None
        serves = [daemon.stderr.readline() for _ in range(2)]  # the front, then the admin address
        text = text.replace('admin = "127.0.0.1:0"', f'admin = "{serves[1].strip().partition("on=")[2]}"')
        Path(file).write_text(text)
        assert run("plan", file, "-o", plan).stdout == "no change\n"
        text = text.replace("shard = 0", 'shard = 0\nstate = "draining"').replace("box-2", "box-3")
        text = text.replace("reserve = 5", "reserve = 7") + "\n[limits]\nattempts = 3\n"
        Path(file).write_text(text)
        said = run("plan", file, "-o", plan).stdout.splitlines()
        assert said == [
            "~ boxes.box-1.state: up -> draining",
            "- boxes.box-2",
            "+ boxes.box-3 (address=127.0.0.1:9202, shard=1, state=up)",
            "~ grades.gold.reserve: 5.0 -> 7.0",
            "~ limits.attempts: 4 -> 3",
        ]
        assert run("plan", file, "-o", other).stdout.splitlines() == said, "a plan changed something"
        assert run("apply", plan).returncode == 0
        stale = run("apply", other)
        assert stale.returncode == 1 and "moved" in stale.stderr
        assert run("plan", file, "-o", plan).stdout == "no change\n"
        spoiled = json.loads(Path(plan).read_text())
        spoiled["state"]["boxes"]["box-1"]["state"] = "odd"
        Path(plan).write_text(json.dumps(spoiled))
        wrong = run("apply", plan)
        assert wrong.returncode == 2 and "boxes.box-1.state" in wrong.stderr
    finally:
        daemon.send_signal(signal.SIGTERM)
        _, log = daemon.communicate(timeout=20)
    assert daemon.returncode == 0 and "counters" in log


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('state = "up"', 'state = "odd"', "boxes.box-1.state"),
        ("shard = 1", "shard = 0", "boxes.box-2.shard"),
        ("shard = 1", "shard = true", "boxes.box-2.shard"),
        ("shard = 1", "", "boxes.box-2.shard"),
        ("shard = 1", "shard = 1\nodd = 1", "boxes.box-2.odd"),
        ('grade = "gold"', 'grade = "lead"', "volumes.v.grade"),
        ("reserve = 5", "reserve = -5", "grades.gold.reserve"),
        ("reserve = 5", "reserve = nan", "grades.gold.reserve"),
        ("127.0.0.1:9201", "10.0.0.1:9201", "boxes.box-1.address"),
        ('admin = "127', 'admin = "8', "admin"),
        ("[volumes.v]", "[odd]\n[volumes.v]", "odd"),
        ("[volumes.v]", "[limits]\nread_aim_ms = 9000\n[volumes.v]", "limits.read_aim_ms"),
        ("[volumes.v]", "[volumes.v", "not TOML"),
    ],
)
def test_a_wrong_key_or_value_is_named(tmp_path: Path, old: str, new: str, named: str) -> None:
    """An operator mistypes a key or a value: one line names it, by its full path, and nothing is started."""
    text = FILE.format(listen=1, admin=2, folder=tmp_path).replace("shard = 0", 'shard = 0\nstate = "up"')
    file = tmp_path / "o.toml"
    file.write_text(text.replace(old, new, 1))
    for words in (("plan", str(file), "-o", str(tmp_path / "p")), ("serve", "--objects", str(file))):
        done = run(*words)
        assert done.returncode == 2 and named in done.stderr
        assert len(done.stderr.splitlines()) == 1


@pytest.mark.parametrize(
    ("text", "named"),
    [("", "not JSON"), ("{}", "name"), ('{"name":"n","listen":"127.0.0.1:0","discovery":"x:1"}', "settings")],
)
def test_a_configuration_that_cannot_be_used_is_one_plain_line(tmp_path: Path, text: str, named: str) -> None:
    """The platform's file is empty or lacks a key: one line says so, and no traceback."""
    file = tmp_path / "config.json"
    file.write_text(text)
    done = run(LB_CONFIG=str(file))
    assert done.returncode == 2 and named in done.stderr and len(done.stderr.splitlines()) == 1


def test_sighup_reads_the_file_again_and_does_not_end_the_process(tmp_path: Path) -> None:
    """Guards against the default action of the signal, which ends a process that has no handler for it."""
    file = tmp_path / "config.json"
    where = {"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1"}
    good = json.dumps({**where, "settings": WIRE})
    file.write_text(good)
    command = [sys.executable, "-m", "harriertide"]
    environment = {**os.environ, "LB_CONFIG": str(file)}
    daemon = subprocess.Popen(command, cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True)
    try:
        assert daemon.stderr is not None
        assert "event=serves" in daemon.stderr.readline()
        for text, said in (("{", "stays in force"), (good, "file is in force")):
            file.write_text(text)
            daemon.send_signal(signal.SIGHUP)
            while said not in (line := daemon.stderr.readline()):
                assert line, "the process has ended"
    finally:
        daemon.send_signal(signal.SIGTERM)
        daemon.communicate(timeout=20)
    assert daemon.returncode == 0


def test_a_daemon_that_does_not_answer_is_named_with_its_address(monkeypatch: pytest.MonkeyPatch) -> None:
    """The daemon hangs: plan and apply end after a while, and their line says why."""
    monkeypatch.setattr(client, "ANSWER_TIMEOUT_S", 0.1)
    with socket.create_server(("127.0.0.1", 0)) as silent:
        address = f"127.0.0.1:{silent.getsockname()[1]}"
        with pytest.raises(AdminUnavailableError, match=f"admin: {address} does not answer: no answer"):
            client.call_admin("GET", address, "/state")


@pytest.mark.parametrize("state", [[], "x", 1, None])
def test_a_plan_whose_state_is_no_table_is_refused_with_the_key(state: object) -> None:
    """Guards against a plan by hand that is answered as a fault of the daemon."""

    async def main() -> None:
        admin = AdminApi(dict, lambda new_state: None)
        body = json.dumps({"from": "", "state": state}).encode()
        response = admin._apply(body)
        assert response.status == 400 and "state: must be a table" in str(response.text)

    asyncio.run(main())


def test_a_grade_that_is_taken_out_keeps_the_number_of_its_plan() -> None:
    """Requests that are open name plans by number: a number may never mean another grade."""
    state = read_state({"grades": {"gold": {"reserve": 5, "worth": 2}}})
    settings = build_settings(state, ["silver", "gold"])
    assert [plan.reserved_rate for plan in settings.plans] == [0.0, 5.0]
    assert settings.plans[1].priority_factor == 2.0
    assert {each.late_priority_weight for each in settings.classes} == {0.3}


def test_the_command_line() -> None:
    """What a command line without a daemon answers."""
    assert run("version").stdout.startswith("harriertide ")
    assert run("odd").returncode == 2
    assert "LB_CONFIG" in run().stderr
    assert run("counters", "x").returncode == 2
