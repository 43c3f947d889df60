"""Stand-in boxes, the daemon and its object front, on loopback, until Ctrl-C.

Usage: harriertide demo [--port PORT] [--boxes N] [--brokers N] [--folder DIR]

Options:
  --port PORT   of the object front; 0 lets the system choose [default: 9100]
  --boxes N     how many stand-in boxes [default: 3]
  --brokers N   1, 3 or 5; several agree on maintenance, each with a disk of its own [default: 1]
  --folder DIR  where the operator's file and the catalogue are kept; else a folder that is deleted
"""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from typing import IO, Any, NoReturn

from harriertide.decide.settings import SettingsError

CHILD_STOP_TIMEOUT_S = 10.0  # over the longest graceful shutdown of a daemon
CHILD_CHECK_INTERVAL_S = 0.2
BROKER_COUNTS = ("1", "3", "5")
NUMBER_BOUNDS = {"--port": (0, 65_535), "--boxes": (1, 32)}
LISTENING_MARK = "event=serves on="  # of the daemon's log line; the object front's comes first, then admin's
OPERATOR_FILE = """\
listen = "127.0.0.1:{port}"
admin = "127.0.0.1:0"
catalogue = "{catalogue}"
{nodes}
[grades.deadline]
reserve = 8.8 # units a second that each of its volumes is sure of
weight = 4
worth = 1.8

[grades.archive]
reserve = 2.2
worth = 0.8

[volumes.photos] # the bucket
grade = "deadline"

[volumes.layouts]
grade = "archive"
"""
MAINTENANCE_ORDER = """\
order = "firmware"
machines = ["box-1", "box-2"]
work = "restart"
takes_s = 60
"""


def main(given: dict[str, Any]) -> int:
    """Run until it is interrupted.

    :returns: exit status 0.
    :raises SettingsError: where an option is wrong, or a process of the demo did not start or has ended.
    """
    _check_options(given)
    port, node_count, broker_count = (int(given[name]) for name in ("--port", "--boxes", "--brokers"))
    for number in (signal.SIGINT, signal.SIGTERM):  # also where the shell had them ignored
        signal.signal(number, _interrupt)
    with ExitStack() as stack:
        try:
            folder = _open_folder(stack, given["--folder"])
            if broker_count == 1:
                _run_one_broker(stack, folder, port, node_count)
            else:
                _run_agreeing_brokers(stack, folder, broker_count, node_count)
        except KeyboardInterrupt:
            print("stopping", flush=True)
    return 0


def _check_options(given: dict[str, Any]) -> None:
    if given["--brokers"] not in BROKER_COUNTS:
        raise SettingsError(f"--brokers: {given['--brokers']} is none of 1, 3 and 5")
    for name, (minimum, maximum) in NUMBER_BOUNDS.items():
        text = str(given[name])
        if not text.isdigit() or not minimum <= int(text) <= maximum:
            raise SettingsError(f"{name}: {text} is no whole number from {minimum} to {maximum}")


def _interrupt(number: int, frame: object) -> NoReturn:
    raise KeyboardInterrupt


def _open_folder(stack: ExitStack, given: str | None) -> Path:
    """The folder that was given, or one that is deleted at the end."""
    if given is None:
        return Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="harriertide-")))
    folder = Path(given)
    folder.mkdir(exist_ok=True)
    return folder


# --- what it runs ----------------------------------------------------------------------------------------


def _run_one_broker(stack: ExitStack, folder: Path, port: int, node_count: int) -> NoReturn:
    """One daemon, its log passed on, and calls of the object front to try."""
    _check_port_is_free(port)
    nodes = _start_nodes(stack, node_count)
    file = folder / "objects.toml"
    text = OPERATOR_FILE.format(port=port, catalogue=folder / "catalogue.sqlite3", nodes=nodes)
    file.write_text(text, encoding="utf-8")
    daemon = _start_daemon(stack, file)
    front = _read_after(daemon.stderr, LISTENING_MARK)
    admin = _read_after(daemon.stderr, LISTENING_MARK)
    print(f"object front on {front}\nadmin       on {admin}\nfile        {file}\n\ntry:")
    for command in _object_commands(front, folder / "big"):
        print(f"  {command}")
    print("\nCtrl-C ends it.", flush=True)
    assert daemon.stderr is not None
    for line in daemon.stderr:
        print(line, end="", file=sys.stderr, flush=True)
    raise SettingsError("demo: the daemon has ended")


def _object_commands(front: str, big_file: Path) -> list[str]:
    return [
        f"curl -X PUT --data-binary 'hold the front page' http://{front}/photos/story",
        f"curl http://{front}/photos/story",
        f"curl -H 'Range: bytes=9-13' http://{front}/photos/story",
        f"head -c 12582912 /dev/urandom >{big_file}",
        f"curl -T {big_file} http://{front}/photos/big",
        f"curl -s http://{front}/photos/big | cmp - {big_file} && echo the same",
    ]


def _run_agreeing_brokers(stack: ExitStack, folder: Path, broker_count: int, node_count: int) -> NoReturn:
    """Brokers that agree on maintenance, one process each, and calls of the command `maintenance` to try."""
    names = [f"broker-{number}" for number in range(1, broker_count + 1)]
    broker_section = "".join(
        f'\n[maintenance.brokers.{name}]\naddress = "127.0.0.1:{port}"\nvoter = "yes"\n'
        for name, port in zip(names, _choose_free_ports(broker_count), strict=True)
    )
    nodes = _start_nodes(stack, node_count)
    admin_addresses = []
    daemons = []
    for name in names:
        file = folder / f"{name}.toml"
        text = OPERATOR_FILE.format(port=0, catalogue=folder / f"{name}.sqlite3", nodes=nodes)
        own_section = f'\n[maintenance]\nname = "{name}"\nfolder = "{folder / name}"\n'
        file.write_text(text + own_section + broker_section, encoding="utf-8")
        daemon = _start_daemon(stack, file)
        front = _read_after(daemon.stderr, LISTENING_MARK)
        admin = _read_after(daemon.stderr, LISTENING_MARK)
        print(f"{name} front on {front}, admin on {admin}")
        admin_addresses.append(admin)
        daemons.append(daemon)
    order = folder / "order.toml"
    order.write_text(MAINTENANCE_ORDER, encoding="utf-8")
    print("\ntry:")
    for words in ("status", f"plan {order}", f"request {order}", "status", "done box-1"):
        print(f"  {sys.executable} -m harriertide maintenance {words} --at {admin_addresses[0]}")
    print("\nCtrl-C ends it.", flush=True)
    while all(daemon.poll() is None for daemon in daemons):
        time.sleep(CHILD_CHECK_INTERVAL_S)
    raise SettingsError("demo: a broker has ended")


# --- its processes ---------------------------------------------------------------------------------------


def _start_nodes(stack: ExitStack, count: int) -> str:
    """Start stand-in nodes.

    :returns: their rows of the operator's file.
    """
    rows = ""
    for shard in range(count):
        name = f"box-{shard + 1}"
        node = _start(stack, ["node"], stdout=subprocess.PIPE)
        address = _read_after(node.stdout, "node on ")
        print(f"{name}       on {address}")
        rows += f'\n[boxes.{name}]\naddress = "{address}"\nshard = {shard}\n'
    return rows


def _start_daemon(stack: ExitStack, file: Path) -> subprocess.Popen[str]:
    return _start(stack, ["serve", "--objects", str(file)], stderr=subprocess.PIPE)


def _start(
    stack: ExitStack, words: list[str], stdout: int | None = None, stderr: int | None = None
) -> subprocess.Popen[str]:
    """Start a command of this program; it is stopped as the stack unwinds.

    It has a session of its own: Ctrl-C reaches this process alone, which then ends the others in order.
    """
    child = subprocess.Popen(
        [sys.executable, "-m", "harriertide", *words],
        stdout=stdout,
        stderr=stderr,
        text=True,
        start_new_session=True,
    )
    stack.callback(_stop, child)
    return child


def _stop(child: subprocess.Popen[str]) -> None:
    """Stop it gracefully, or kill it where that takes too long; its output is read to the end."""
    if child.poll() is not None:
        return
    child.send_signal(signal.SIGTERM)
    try:
        child.communicate(timeout=CHILD_STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        child.kill()
        child.communicate()


def _read_after(stream: IO[str] | None, mark: str) -> str:
    """What follows a mark in the next line that has it; lines before go to standard error."""
    assert stream is not None
    while line := stream.readline():
        if mark in line:
            return line.partition(mark)[2].strip()
        print(line, end="", file=sys.stderr)
    raise SettingsError("demo: a part of it did not start")


def _check_port_is_free(port: int) -> None:
    """Guard against a demo that starts nodes and then ends as its port is taken: look before the start."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError as error:
            raise SettingsError(f"--port: 127.0.0.1:{port} can't be had: {error.strerror}") from None


def _choose_free_ports(count: int) -> list[int]:
    """Ports that the system has free now; all are held at once, so that none comes twice."""
    with ExitStack() as held:
        sockets = [held.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [int(each.getsockname()[1]) for each in sockets]
