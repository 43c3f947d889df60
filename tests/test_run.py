"""The command of `run` in the deploy file, as the platform starts it: one process to the end."""

from __future__ import annotations

import json
import os
import resource
import shlex
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest

from harriertide.platform.endpoint_watch import NOTIFICATION_DEADLINE_S
from tests.test_net import WIRE

ROOT = Path(__file__).parent.parent
READY_S = 10.0  # nine in ten of restarted brokers have to be ready by then
# Loaded by the interpreter before the program: each start of another process and each Unix socket is written
# down. The event loop's own pair of sockets is never bound or connected, so it does not count.
WATCH = """
import os, sys
STARTS = ("os.fork", "os.forkpty", "os.posix_spawn", "os.exec", "os.system", "subprocess.Popen")
def watch(event, args):
    unix = event in ("socket.bind", "socket.connect") and not isinstance(args[1], tuple)
    if unix or event in STARTS:
        os.write(2, f"STARTED {event}\\n".encode())
sys.addaudithook(watch)
os.write(2, b"WATCHED\\n")
"""


def test_run_ends_in_one_process_that_starts_no_other(tmp_path: Path) -> None:
    """The platform supervises the process that it starts: a shell or a child beside it would outlive
    its signals.
    """
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert command.startswith("exec ")
    (tmp_path / "sitecustomize.py").write_text(WATCH)
    file = tmp_path / "config.json"
    where = {"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1"}
    file.write_text(json.dumps({**where, "settings": WIRE}))
    command = command.replace(".venv/bin/python", shlex.quote(sys.executable))  # CI's is elsewhere
    environment = {**os.environ, "LB_CONFIG": str(file), "PYTHONPATH": str(tmp_path)}
    shell = ["/bin/sh", "-c", command]
    daemon = subprocess.Popen(shell, cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True)
    said: list[str] = []
    try:
        assert daemon.stderr is not None
        while "event=serves" not in "".join(said[-1:]):
            said.append(daemon.stderr.readline())
            assert said[-1], said
        proc = Path("/proc") / str(daemon.pid)  # the shell's own number: it was replaced
        words = (proc / "cmdline").read_text().split("\0")
        assert "harriertide" in words and "/bin/sh" not in words
        assert not (proc / "task" / str(daemon.pid) / "children").read_text().split()
        assert "libc.so" in (proc / "maps").read_text()  # linked against the C library, not with it
    finally:
        daemon.send_signal(signal.SIGTERM)
        said += daemon.communicate(timeout=20)[1].splitlines()
    assert daemon.returncode == 0
    assert "WATCHED\n" in said and not [line for line in said if line.startswith("STARTED")]


class Process:
    """One broker as the platform starts it, on a configuration of its own."""

    def __init__(self, folder: Path, discovery: str, sockets: int = 256) -> None:
        file = folder / "config.json"
        where = {"name": "n", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1"}
        file.write_text(json.dumps({**where, "settings": WIRE, "limits": {"sockets": sockets}}))

        def bound() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

        self.process = subprocess.Popen(
            [sys.executable, "-m", "harriertide"],
            cwd=ROOT,
            env={**os.environ, "LB_CONFIG": str(file)},
            stderr=subprocess.PIPE,
            text=True,
            preexec_fn=bound,  # noqa: PLW1509 - no threads here
        )
        self.said = ""

    def port(self) -> int:
        """Where it listens, once it does."""
        self.read_until("event=serves")
        return int(self.said.rsplit(":", 1)[1])

    def read_until(self, text: str) -> None:
        """Read its log up to a line with this text; `end` would miss what was read ahead with a line."""
        assert self.process.stderr is not None
        while text not in self.said:
            line = self.process.stderr.readline()
            assert line, self.said
            self.said += line

    def end(self, *signals: signal.Signals) -> int:
        """Send it these; how it ended."""
        for number in signals or (signal.SIGTERM,):
            self.process.send_signal(number)
        self.said += self.process.communicate(timeout=20)[1]
        return self.process.returncode


def ready(port: int) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=3) as client:
        client.sendall(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        got = b""
        while data := client.recv(65536):
            got += data
        return got


def test_idle_clients_that_fill_the_descriptors_keep_nobody_from_discovery_or_from_being_accepted(
    tmp_path: Path,
) -> None:
    """Discovery is away: its port is bound and nobody listens. Clients come by hundreds and say nothing."""
    with socket.socket() as discovery:
        discovery.bind(("127.0.0.1", 0))
        broker = Process(tmp_path, f"127.0.0.1:{discovery.getsockname()[1]}", sockets=64)
        port = broker.port()
        crowd = [socket.create_connection(("127.0.0.1", port)) for _ in range(300)]
        try:
            assert ready(port).startswith(b"HTTP/1.1 200")
            discovery.listen()
            discovery.settimeout(NOTIFICATION_DEADLINE_S)
            begun = time.monotonic()
            call, _ = discovery.accept()
            assert call.recv(65536).startswith(b"GET /registry/instances?watch=1")
            assert time.monotonic() - begun < NOTIFICATION_DEADLINE_S
            call.close()
            assert ready(port).startswith(b"HTTP/1.1 200")
        finally:
            for client in crowd:
                client.close()
            assert broker.end() == 0
        assert "out of system resource" not in broker.said and "Too many open" not in broker.said


@pytest.mark.parametrize(
    "signals",
    [
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP),
        (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
    ],
)
def test_signals_beside_each_other_end_in_an_orderly_stop(
    signals: tuple[signal.Signals, ...], tmp_path: Path
) -> None:
    """The platform sends signals in any order, and twice.

    The broker stops once, in order, and prints its counters.
    """
    broker = Process(tmp_path, "127.0.0.1:1")
    broker.port()
    assert broker.end(*signals) == 0
    assert "event=counters" in broker.said and "Traceback" not in broker.said


def test_sigterm_before_it_serves_ends_it_at_once_without_a_trace(tmp_path: Path) -> None:
    """The platform stops a broker that it has only just started. It ends without a traceback."""
    broker = Process(tmp_path, "127.0.0.1:1")
    assert broker.end() in (0, -signal.SIGTERM)
    assert "Traceback" not in broker.said


def test_sighup_during_a_start_rereads_the_configuration_and_ends_nothing(tmp_path: Path) -> None:
    """Guards against a new configuration that ends a process whose modules are still being loaded."""
    broker = Process(tmp_path, "127.0.0.1:1")
    proc = Path("/proc") / str(broker.process.pid)
    begun = time.monotonic()
    # it has loaded a library of its own modules; a fork of this process that has not begun yet has it as well
    while (
        "_http_parser" not in (proc / "maps").read_text()
        or "harriertide" not in (proc / "cmdline").read_text()
    ):
        assert broker.process.poll() is None and time.monotonic() - begun < READY_S
    broker.process.send_signal(signal.SIGHUP)
    broker.port()
    broker.read_until("the configuration file is in force")
    assert broker.end() == 0


def test_brokers_that_start_together_while_discovery_is_away_are_soon_ready(tmp_path: Path) -> None:
    """Six at once, with clients that come again until they are answered."""
    with socket.socket() as discovery:
        discovery.bind(("127.0.0.1", 0))  # and nobody listens
        where = f"127.0.0.1:{discovery.getsockname()[1]}"
        begun, brokers = time.monotonic(), []
        for number in range(6):
            (folder := tmp_path / str(number)).mkdir()
            brokers.append(Process(folder, where))
        try:
            assert all(ready(broker.port()).startswith(b"HTTP/1.1 200") for broker in brokers)
            assert time.monotonic() - begun < READY_S
        finally:
            ends = [broker.end() for broker in brokers]
        assert ends == [0] * 6
