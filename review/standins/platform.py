"""The platform's part: configuration files, broker processes, and the end of all that was started."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from review.standins.record import Record

ROOT = Path(__file__).resolve().parents[2]
INHERITED_DESCRIPTOR = 5
READY_TIMEOUT_S = 20.0


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port that is free now on loopback."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def base_settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, after the example on the pages; `changes` replace whole keys."""
    settings: dict[str, Any] = {
        "classes": [
            {
                "name": "page-read", "deadlineUs": 2_000_000, "sloUs": 300_000, "effect": "idempotent",
                "dedupScope": "all", "windowUs": 5_000_000, "worth": 3.0, "lateWorth": 0.1,
                "streaming": False,
            },
            {
                "name": "new-file", "deadlineUs": 3_000_000, "sloUs": 500_000, "effect": "idempotent",
                "dedupScope": "all", "windowUs": 5_000_000, "worth": 3.0, "lateWorth": 0.1,
                "streaming": False,
            },
        ],
        "clients": {"marksRetry": True},
        "domain": {
            "beyondShare": 0.08, "countsOthers": False, "maxUnits": 8, "meanUnits": 2.19, "meteringUs": 0,
            "nShards": 2, "withinShare": 0.35, "writes": [False, True], "youngLimit": 20.0,
        },
        "feedback": {"fields": ["utilization", "backlog"], "source": "inline"},
        "groupSize": 1, "index": 0, "kindOfService": "stores",
        "limits": {
            "cancel": True, "connIdleUs": 15_000_000, "connectTimeoutUs": 250_000, "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 500_000, "maxOpen": 20_000, "maxRetryAfterUs": 500_000, "peers": True,
            "probes": False, "retryAfter": True, "secondCopies": False, "streamsPerConn": 100, "tryLimit": 4,
        },
        "membershipMode": "ask", "myZone": 0,
        "plans": [
            {
                "ceilingRate": 0.0, "guaranteed": 200.0, "mostAtOnce": 0.0, "name": "archive", "slack": 0.0,
                "usualRate": 200.0, "valueFactor": 0.8, "weight": 1.0,
            }
        ],
        "prices": {}, "roundUs": 2000,
        "safety": {
            "answerSlackUs": 8000, "askWithinUs": 10_000_000, "coldFrom": 0.21, "coldUs": 18_000_000,
            "drainGraceUs": 250_000, "fallMultiple": 2.5, "fallUs": 1_000_000,
        },
        "shapes": ["m2"], "tier": 0, "tiers": ["story-store"], "weights": "off", "zones": ["a"],
    }  # fmt: skip
    return {**settings, **changes}


def reserve_inherited_descriptor() -> None:
    """Keep the descriptor of the clients' listening socket free; call this before anything is opened."""
    os.dup2(os.open(os.devnull, os.O_RDONLY), INHERITED_DESCRIPTOR, inheritable=True)


def hold_listening_socket() -> tuple[str, int]:
    """Open the clients' listening socket as the platform does, and hold it as the inherited descriptor."""
    with socket.socket() as listening:
        listening.bind(("127.0.0.1", 0))
        listening.listen(1024)
        os.dup2(listening.fileno(), INHERITED_DESCRIPTOR, inheritable=True)
        host, port = listening.getsockname()
    return str(host), int(port)


class Broker:
    """One process, started by the deploy file's `run`.

    :param folder: a temporary folder for the configuration and the log
    :param tmpdir: $TMPDIR of the process
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        tmpdir: Path,
        config: Mapping[str, Any],
        record: Record,
        is_inherited: bool = False,
    ) -> None:
        self.name = name
        host, _, port = str(config["listen"]).rpartition(":")
        self.address = (host, int(port))
        self.operator = str(config.get("operator", ""))
        self.record = record
        config_path = folder / f"{name}.json"
        config_path.write_text(json.dumps(config), encoding="utf-8")
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "LB_NAME": str(config["name"]), "LB_LISTEN": str(config["listen"]),
            "LB_DISCOVERY": str(config["discovery"]), "LB_CONFIG": str(config_path), "TMPDIR": str(tmpdir),
        }  # fmt: skip
        if self.operator:
            environment["LB_OPERATOR"] = self.operator
        if is_inherited:
            environment["LB_INHERITED_FD"] = str(INHERITED_DESCRIPTOR)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        self.log_path = folder / f"{name}.log"
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=(INHERITED_DESCRIPTOR,) if is_inherited else (),
            )
        record.write("process-started", name=name)

    async def wait_until_ready(self) -> None:
        """Wait until the process says yes.

        :raises TimeoutError: it does not in time
        """
        at = (
            self.address
            if not self.operator
            else (self.operator.split(":")[0], int(self.operator.split(":")[1]))
        )
        path = "/api/ready" if self.operator else "/health/ready"
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await says_yes(at, "GET", path):
                await asyncio.sleep(0.05)
        self.record.write("process-ready", name=self.name)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.record.write("process-signal", name=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self) -> None:
        """End the process, whatever it does."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


async def says_yes(address: tuple[str, int], method: str, path: str) -> bool:
    """Whether a call gets an answer 2xx."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n".encode())
        async with asyncio.timeout(2.0):
            line = await reader.readline()
        return line.split()[1:2] and line.split()[1].startswith(b"2")
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()
