"""The broker process as the platform starts it with the `run` command of the deploy file."""

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

from harriertide.lab.rigs.single_broker import broker_command
from harriertide.platform.endpoint_watch import NOTIFICATION_DEADLINE_S
from tests.test_net import WIRE

ROOT = Path(__file__).parent.parent
SIGNAL_INTERVAL_S = 0.001  # between signals that are sent at all moments
READY_S = 10.0  # 90 % of restarted brokers have to be ready by then
# The interpreter loads this module before the program. It reports each start of another process and each Unix
# socket. The event loop's own socket pair is never bound or connected and so is not reported.
AUDIT_HOOK = """
import os, sys
STARTS = ("os.fork", "os.forkpty", "os.posix_spawn", "os.exec", "os.system", "subprocess.Popen")
def watch(event, args):
    unix = event in ("socket.bind", "socket.connect") and not isinstance(args[1], tuple)
    if unix or event in STARTS:
        os.write(2, f"STARTED {event}\\n".encode())
sys.addaudithook(watch)
os.write(2, b"WATCHED\\n")
"""


def run_command() -> str:
    """The command that starts a broker, with the interpreter of this environment: CI installs elsewhere."""
    command = str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])
    return command.replace(".venv/bin/python", shlex.quote(sys.executable))


def test_the_rig_starts_brokers_as_the_deploy_file_does() -> None:
    """Guards against a soak of processes that are started in another way than those in service."""
    assert broker_command() == run_command()


def test_run_ends_in_one_process_that_starts_no_other(tmp_path: Path) -> None:
    """The platform signals only the process that it starts; a shell or a child process would outlive it."""
    command = run_command()
    setup, _, last_command = command.rpartition("; ")
    assert setup in ("", "trap '' HUP") and last_command.startswith("exec ")
    (tmp_path / "sitecustomize.py").write_text(AUDIT_HOOK)
    file = tmp_path / "config.json"
    configuration = {"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1"}
    file.write_text(json.dumps({**configuration, "settings": WIRE}))
    environment = {**os.environ, "LB_CONFIG": str(file), "PYTHONPATH": str(tmp_path)}
    shell = ["/bin/sh", "-c", command]
    daemon = subprocess.Popen(shell, cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True)
    output_lines: list[str] = []
    try:
        assert daemon.stderr is not None
        while "event=serves" not in "".join(output_lines[-1:]):
            output_lines.append(daemon.stderr.readline())
            assert output_lines[-1], output_lines
        proc = Path("/proc") / str(daemon.pid)  # the process ID of the shell, which exec replaced
        arguments = (proc / "cmdline").read_text().split("\0")
        assert "harriertide" in arguments and "/bin/sh" not in arguments
        assert not (proc / "task" / str(daemon.pid) / "children").read_text().split()
        assert "libc.so" in (proc / "maps").read_text()  # the C library is linked dynamically
    finally:
        daemon.send_signal(signal.SIGTERM)
        output_lines += daemon.communicate(timeout=20)[1].splitlines()
    assert daemon.returncode == 0
    assert "WATCHED\n" in output_lines and not [line for line in output_lines if line.startswith("STARTED")]


class BrokerProcess:
    """A broker process as the platform starts it, with its own configuration."""

    def __init__(self, folder: Path, discovery: str, sockets: int = 256) -> None:
        file = folder / "config.json"
        configuration = {"name": "n", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1"}
        file.write_text(json.dumps({**configuration, "settings": WIRE, "limits": {"sockets": sockets}}))

        def limit_descriptors() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()],
            cwd=ROOT,
            env={**os.environ, "LB_CONFIG": str(file)},
            stderr=subprocess.PIPE,
            text=True,
            preexec_fn=limit_descriptors,  # noqa: PLW1509 - the test process has no threads
        )
        self.output = ""

    def port(self) -> int:
        """Wait until the broker listens; return its port."""
        self.read_until("event=serves")
        return int(self.output.rsplit(":", 1)[1])

    def read_until(self, text: str) -> None:
        """Read the log up to a line that contains the text; `stop` cannot see data that was read ahead."""
        assert self.process.stderr is not None
        while text not in self.output:
            line = self.process.stderr.readline()
            assert line, self.output
            self.output += line

    def stop(self, *signals: signal.Signals) -> int:
        """Send the signals, SIGTERM by default, and return the exit status."""
        for signal_number in signals or (signal.SIGTERM,):
            self.process.send_signal(signal_number)
        self.output += self.process.communicate(timeout=20)[1]
        return self.process.returncode


def readiness_response(port: int) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=3) as client:
        client.sendall(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        response = b""
        while data := client.recv(65536):
            response += data
        return response


def test_idle_clients_that_use_all_descriptors_block_neither_discovery_nor_new_clients(
    tmp_path: Path,
) -> None:
    """Discovery is down: its port is bound without a listener. Hundreds of clients connect and stay idle."""
    with socket.socket() as discovery:
        discovery.bind(("127.0.0.1", 0))
        broker = BrokerProcess(tmp_path, f"127.0.0.1:{discovery.getsockname()[1]}", sockets=64)
        port = broker.port()
        idle_clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(300)]
        try:
            assert readiness_response(port).startswith(b"HTTP/1.1 200")
            discovery.listen()
            discovery.settimeout(NOTIFICATION_DEADLINE_S)
            started_at = time.monotonic()
            connection, _ = discovery.accept()
            assert connection.recv(65536).startswith(b"GET /registry/instances?watch=1")
            assert time.monotonic() - started_at < NOTIFICATION_DEADLINE_S
            connection.close()
            assert readiness_response(port).startswith(b"HTTP/1.1 200")
        finally:
            for client in idle_clients:
                client.close()
            assert broker.stop() == 0
        assert "out of system resource" not in broker.output and "Too many open" not in broker.output


@pytest.mark.parametrize(
    "signals",
    [
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP),
        (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
    ],
)
def test_concurrent_signals_end_in_a_graceful_shutdown(
    signals: tuple[signal.Signals, ...], tmp_path: Path
) -> None:
    """The platform sends signals in any order and repeatedly.

    The broker shuts down gracefully, once, and prints its counters.
    """
    broker = BrokerProcess(tmp_path, "127.0.0.1:1")
    broker.port()
    assert broker.stop(*signals) == 0
    assert "event=counters" in broker.output and "Traceback" not in broker.output


def test_sigterm_during_a_start_ends_the_process_without_a_traceback(tmp_path: Path) -> None:
    """The platform stops a broker during its start. The process ends without a traceback."""
    broker = BrokerProcess(tmp_path, "127.0.0.1:1")
    assert broker.stop() in (0, -signal.SIGTERM)
    assert "Traceback" not in broker.output


def has_loaded(proc: Path, extension: str) -> bool:
    """Whether a broker has loaded an extension module; a fork that has not called exec yet maps it too."""
    is_broker = (proc / "cmdline").read_text().split("\0")[1:3] == ["-m", "harriertide"]
    return is_broker and extension in (proc / "maps").read_text()


def test_sighup_during_a_start_rereads_the_configuration_and_ends_nothing(tmp_path: Path) -> None:
    """Guards against a SIGHUP that ends a process that is still importing its modules."""
    broker = BrokerProcess(tmp_path, "127.0.0.1:1")
    proc = Path("/proc") / str(broker.process.pid)
    started_at = time.monotonic()
    while not has_loaded(proc, "_http_parser"):
        assert broker.process.poll() is None and time.monotonic() - started_at < READY_S
    broker.process.send_signal(signal.SIGHUP)
    broker.port()
    broker.read_until("the configuration file is in force")
    assert broker.stop() == 0


def ignores_sighup(proc: Path) -> bool:
    """Whether a process ignores SIGHUP, by the mask that the system shows of it."""
    rows = (proc / "status").read_text().splitlines()
    mask = next(row.split()[1] for row in rows if row.startswith("SigIgn:"))
    return bool(int(mask, 16) >> (signal.SIGHUP - 1) & 1)


def test_sighup_at_any_moment_of_a_start_ends_nothing(tmp_path: Path) -> None:
    """Guards against a SIGHUP that ends a process before its program runs: the interpreter's own start."""
    broker = BrokerProcess(tmp_path, "127.0.0.1:1")
    proc = Path("/proc") / str(broker.process.pid)
    deadline_s = time.monotonic() + READY_S
    while not ignores_sighup(proc):  # the shell's own start is not ours
        assert broker.process.poll() is None and time.monotonic() < deadline_s
    while not has_loaded(proc, "_http_parser"):
        assert broker.process.poll() is None and time.monotonic() < deadline_s
        broker.process.send_signal(signal.SIGHUP)
        time.sleep(SIGNAL_INTERVAL_S)
    broker.port()
    broker.read_until("the configuration file is in force")
    assert broker.stop() == 0


def test_sighup_behind_sigterm_does_not_change_the_exit_status(tmp_path: Path) -> None:
    """Guards against an orderly end that is reported as a death by signal."""
    broker = BrokerProcess(tmp_path, "127.0.0.1:1")
    broker.port()
    broker.process.send_signal(signal.SIGTERM)
    deadline_s = time.monotonic() + READY_S
    while broker.process.poll() is None:
        assert time.monotonic() < deadline_s
        broker.process.send_signal(signal.SIGHUP)
        time.sleep(SIGNAL_INTERVAL_S)
    assert broker.process.returncode == 0


def test_brokers_that_start_together_while_discovery_is_down_become_ready_in_time(tmp_path: Path) -> None:
    """Six brokers start at once; all must be ready within READY_S."""
    with socket.socket() as discovery:
        discovery.bind(("127.0.0.1", 0))  # without a listener
        discovery_address = f"127.0.0.1:{discovery.getsockname()[1]}"
        started_at, brokers = time.monotonic(), []
        for index in range(6):
            (folder := tmp_path / str(index)).mkdir()
            brokers.append(BrokerProcess(folder, discovery_address))
        try:
            assert all(readiness_response(broker.port()).startswith(b"HTTP/1.1 200") for broker in brokers)
            assert time.monotonic() - started_at < READY_S
        finally:
            exit_statuses = [broker.stop() for broker in brokers]
        assert exit_statuses == [0] * 6
