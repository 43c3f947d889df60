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


@dataclass(frozen=True, slots=True)
class Fault:
    """At a moment, a verb with the brokers that it is about, for how long, and a part of what passes.

    What each verb means is said by the rig that plays it.
    """

    at_s: float
    verb: str
    a: int = 0
    b: int = 0
    for_s: float = 0.0
    part: float = 0.0


def load(path: str, brokers: int, verbs: tuple[str, ...]) -> list[Fault]:
    """A script as it was written; SettingsError names what is off."""
    try:
        faults = [Fault(**row) for row in json.loads(Path(path).read_text(encoding="utf-8"))]
    except OSError as off:
        raise SettingsError(f"--script: {path}: {off.strerror}") from None
    except (ValueError, TypeError) as off:
        raise SettingsError(f"--script: {path}: {off}") from None
    for fault in faults:
        if fault.verb not in verbs:
            raise SettingsError(f"--script: {fault.verb}: no such verb")
        if not (0 <= fault.a < brokers and 0 <= fault.b < brokers):
            raise SettingsError(f"--script: there is no broker {max(fault.a, fault.b)}")
    return faults


def ports(number: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[int]:
    """Ports that are free by now, under those that the system gives to connections: one that a broker has
    left for a moment must not be taken by somebody's connection."""
    first = 12_000 + os.getpid() % 40 * 500  # rigs of processes beside each other do not meet
    found: list[int] = []
    with ExitStack() as stack:
        for port in SystemRandom().sample(range(first, first + 500), 500):
            held = stack.enter_context(socket.socket(socket.AF_INET, kind))
            if kind == socket.SOCK_STREAM:
                held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with suppress(OSError):
                held.bind((HOST, port))
                found.append(port)
            if len(found) == number:
                break
    return found
