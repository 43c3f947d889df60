"""A script of faults between processes, as it is written down and plays again; and ports for them."""

from __future__ import annotations

import json
import os
import socket
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from pathlib import Path
from random import SystemRandom

from harriertide.decide.settings import SettingsError

HOST = "127.0.0.1"


FIRST_PORT = 12_000  # below those that the system gives to connections
PORTS_PER_PROCESS = 500
PORT_BLOCK_COUNT = 40  # rigs of processes beside each other do not meet


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a script, by the names that script files have. What each verb means the rig says that plays
    it.

    at_s: from the begin. a, b: brokers that it is about, by index. for_s: how long it lasts. part: of what
    passes that it strikes.
    """

    at_s: float
    verb: str
    a: int = 0
    b: int = 0
    for_s: float = 0.0
    part: float = 0.0


def load_script(path: str, brokers: int, verbs: tuple[str, ...]) -> list[Fault]:
    """Read a script as it was written.

    :param brokers: how many there are
    :param verbs: that the rig plays
    :raises SettingsError: it can't be used; the text names what is wrong
    """
    try:
        faults = [Fault(**row) for row in json.loads(Path(path).read_text(encoding="utf-8"))]
    except OSError as fault:
        raise SettingsError(f"--script: {path}: {fault.strerror}") from None
    except (ValueError, TypeError) as fault:
        raise SettingsError(f"--script: {path}: {fault}") from None
    for each in faults:
        if each.verb not in verbs:
            raise SettingsError(f"--script: {each.verb}: no such verb")
        if not (0 <= each.a < brokers and 0 <= each.b < brokers):
            raise SettingsError(f"--script: there is no broker {max(each.a, each.b)}")
    return faults


def free_ports(count: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[int]:
    """Return ports that are free now, below those that the system gives to connections.

    Guards against a port that a broker has left for a moment and that somebody's connection takes.
    """
    first = FIRST_PORT + os.getpid() % PORT_BLOCK_COUNT * PORTS_PER_PROCESS
    candidates = SystemRandom().sample(range(first, first + PORTS_PER_PROCESS), PORTS_PER_PROCESS)
    found: list[int] = []
    with ExitStack() as stack:
        for port in candidates:
            bound = stack.enter_context(socket.socket(socket.AF_INET, kind))
            if kind == socket.SOCK_STREAM:
                bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with suppress(OSError):
                bound.bind((HOST, port))
                found.append(port)
            if len(found) == count:
                break
    return found
