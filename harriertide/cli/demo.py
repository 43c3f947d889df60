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
from functools import partial
from pathlib import Path
from typing import IO, Any

from harriertide.decide.settings import SettingsError

STOP_S = 10.0
FILE = """\
listen = "127.0.0.1:{port}"
admin = "127.0.0.1:0"
catalogue = "{catalogue}"
{boxes}
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


def _start(stack: ExitStack, *words: str) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "harriertide", *words]
    out = subprocess.PIPE if words[0] == "box" else None
    err = None if words[0] == "box" else subprocess.PIPE
    # a process group of its own: Ctrl-C reaches this process only, which then ends them in order
    child = subprocess.Popen(command, stdout=out, stderr=err, text=True, start_new_session=True)
    stack.callback(_stop, child)
    return child


def _stop(child: subprocess.Popen[str]) -> None:
    if child.poll() is None:
        child.send_signal(signal.SIGTERM)
        try:
            child.communicate(timeout=STOP_S)
        except subprocess.TimeoutExpired:
            child.kill()
            child.communicate()


def _word(stream: IO[str] | None, mark: str) -> str:
    """What follows a mark in the next line that has it."""
    assert stream is not None
    while line := stream.readline():
        if mark in line:
            return line.partition(mark)[2].strip()
        print(line, end="", file=sys.stderr)
    raise SettingsError("demo: a part of it did not start")


def main(given: dict[str, Any]) -> int:
    """Until it is interrupted."""
    if given["--brokers"] not in ("1", "3", "5"):
        raise SettingsError(f"--brokers: {given['--brokers']} is none of 1, 3 and 5")
    for name, least, most in (("--port", 0, 65535), ("--boxes", 1, 32)):
        if not str(given[name]).isdigit() or not least <= int(given[name]) <= most:
            raise SettingsError(f"{name}: {given[name]} is no whole number from {least} to {most}")

    def interrupted(number: int, frame: object) -> None:
        raise KeyboardInterrupt

    for number in (signal.SIGINT, signal.SIGTERM):  # also where the shell had them ignored
        signal.signal(number, interrupted)
    with ExitStack() as stack:
        try:
            made = tempfile.TemporaryDirectory(prefix="harriertide-")
            folder = given["--folder"] or stack.enter_context(made)
            Path(folder).mkdir(exist_ok=True)
            play = _play if given["--brokers"] == "1" else partial(_several, int(given["--brokers"]))
            play(stack, Path(folder), int(given["--port"]), int(given["--boxes"]))
        except KeyboardInterrupt:
            print("stopping", flush=True)
    return 0


def _free(port: int) -> None:
    """SettingsError where the port is taken, before anything is started."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError as fault:
            raise SettingsError(f"--port: 127.0.0.1:{port} can't be had: {fault.strerror}") from None


def _boxes(stack: ExitStack, count: int) -> str:
    """Start boxes; their rows of the operator's file."""
    rows = ""
    for place in range(count):
        at = _word(_start(stack, "box").stdout, "box on ")
        print(f"box-{place + 1}       on {at}")
        rows += f'\n[boxes.box-{place + 1}]\naddress = "{at}"\nshard = {place}\n'
    return rows


def _several(number: int, stack: ExitStack, folder: Path, port: int, count: int) -> None:
    """Brokers that agree, one process each."""
    held = [stack.enter_context(socket.socket()) for _ in range(number)]
    for each in held:
        each.bind(("127.0.0.1", 0))
    names = [f"broker-{place + 1}" for place in range(number)]
    section = ""
    for name, each in zip(names, held, strict=True):
        at = f"127.0.0.1:{each.getsockname()[1]}"
        section += f'\n[maintenance.brokers.{name}]\naddress = "{at}"\nvoter = "yes"\n'
        each.close()
    boxes = _boxes(stack, count)
    admins, daemons = [], []
    for name in names:
        file = folder / f"{name}.toml"
        text = FILE.format(port=0, catalogue=folder / f"{name}.sqlite3", boxes=boxes)
        own = f'\n[maintenance]\nname = "{name}"\nfolder = "{folder / name}"\n'
        file.write_text(text + own + section, encoding="utf-8")
        daemon = _start(stack, "serve", "--objects", str(file))
        at, admin = (_word(daemon.stderr, "event=serves on=") for _ in range(2))
        print(f"{name} front on {at}, admin on {admin}")
        admins.append(admin)
        daemons.append(daemon)
    order = folder / "order.toml"
    order.write_text('order = "firmware"\nmachines = ["box-1", "box-2"]\nwork = "restart"\ntakes_s = 60\n')
    print("\ntry:")
    for words in ("status", f"plan {order}", f"request {order}", "status", "done box-1"):
        print(f"  {sys.executable} -m harriertide maintenance {words} --at {admins[0]}")
    print("\nCtrl-C ends it.", flush=True)
    while all(daemon.poll() is None for daemon in daemons):
        time.sleep(0.2)
    raise SettingsError("demo: a broker has ended")


def _play(stack: ExitStack, folder: Path, port: int, count: int) -> None:
    _free(port)
    rows = _boxes(stack, count)
    file = folder / "objects.toml"
    text = FILE.format(port=port, catalogue=folder / "catalogue.sqlite3", boxes=rows)
    file.write_text(text, encoding="utf-8")
    daemon = _start(stack, "serve", "--objects", str(file))
    at, admin = (_word(daemon.stderr, "event=serves on=") for _ in range(2))
    print(f"object front on {at}\nadmin       on {admin}\nfile        {file}\n\ntry:")
    print(f"  curl -X PUT --data-binary 'hold the front page' http://{at}/photos/story")
    print(f"  curl http://{at}/photos/story")
    print(f"  curl -H 'Range: bytes=9-13' http://{at}/photos/story")
    big = folder / "big"
    print(f"  head -c 12582912 /dev/urandom >{big}")
    print(f"  curl -T {big} http://{at}/photos/big")
    print(f"  curl -s http://{at}/photos/big | cmp - {big} && echo the same\n\nCtrl-C ends it.", flush=True)
    assert daemon.stderr is not None
    for line in daemon.stderr:
        print(line, end="", file=sys.stderr, flush=True)
    raise SettingsError("demo: the daemon has ended")
