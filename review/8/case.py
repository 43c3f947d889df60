"""New connections are shut before their requests come, while idle ones that could make room are kept."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
from pathlib import Path
from typing import Any

from rig import TROUBLE, NotRunError, Rig, call, free_ports, read_head, run_case

SOCKETS = 512  # half of the most that a scored day has
KEPT_COUNT = 270  # clients that keep their connection and send on it every second
NEW_COUNT = 80  # clients that open one more
NEW_WITHIN_S = 0.2 if TROUBLE else 8.0
REQUEST_BEHIND_S = 0.1 if TROUBLE else 0.0  # its connection
NODE_COUNT = 12
SERVICE_S = 0.03
CLIENT_WAITS_S = 5.0


def settings() -> dict[str, Any]:
    """The settings that WIRE gives as its example, for one broker."""
    page_read = {
        "name": "page-read", "deadlineUs": 2_000_000, "sloUs": 300_000, "effect": "idempotent",
        "dedupScope": "all", "windowUs": 5_000_000, "worth": 3.0, "lateWorth": 0.1, "streaming": False,
    }  # fmt: skip
    new_file = {**page_read, "name": "new-file", "deadlineUs": 3_000_000, "sloUs": 500_000}
    return {
        "classes": [page_read, new_file],
        "plans": [
            {
                "name": "deadline", "guaranteed": 8.8, "usualRate": 11.0, "weight": 4.0, "valueFactor": 1.8,
                "ceilingRate": 0.0, "mostAtOnce": 0.0, "slack": 0.0,
            }
        ],
        "domain": {
            "nShards": NODE_COUNT, "meanUnits": 2.19, "maxUnits": 8, "withinShare": 0.35, "beyondShare": 0.08,
            "youngLimit": 20.0, "writes": [False, True], "countsOthers": False, "meteringUs": 0,
        },
        "limits": {
            "cancel": True, "connIdleUs": 15_000_000, "connectTimeoutUs": 250_000, "maxOpen": 20_000,
            "maxRetryAfterUs": 500_000, "peers": True, "probes": False, "retryAfter": True,
            "secondCopies": False, "streamsPerConn": 100, "tryLimit": 4,
        },
        "safety": {
            "answerSlackUs": 8000, "askWithinUs": 10_000_000, "coldFrom": 0.21, "coldUs": 18_000_000,
            "drainGraceUs": 250_000, "fallMultiple": 2.5, "fallUs": 1_000_000,
        },
        "feedback": {"fields": ["utilization", "backlog"], "source": "inline"},
        "clients": {"marksRetry": True}, "groupSize": 1, "index": 0, "kindOfService": "stores",
        "membershipMode": "ask", "myZone": 0,
        "roundUs": 2000, "shapes": ["box-std"], "tier": 0, "tiers": ["story-store"], "weights": "off",
        "zones": ["marabella-plant"],
    }  # fmt: skip


class Platform:
    """Disk nodes, discovery, and the front that asks for readiness."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.outcomes: list[str] = []  # of the requests on new connections
        self.most_descriptors = 0
        self.kept_answers = 0

    async def start(self) -> int:
        """Start everything, and wait until the broker is ready; its process id."""
        entries = []
        for block in range(NODE_COUNT):
            node = await asyncio.start_server(self._serve_node, "127.0.0.1", 0)
            entries.append(
                {
                    "host": f"s-{block}", "dial": f"127.0.0.1:{node.sockets[0].getsockname()[1]}",
                    "site": "marabella-plant", "class": "box-std", "block": block, "health": "up",
                    "share": 1.0, "born_ms": 0,
                }
            )  # fmt: skip
        self._page = {"seq": 41, "whole": True, "hosts": entries}
        discovery = await asyncio.start_server(self._serve_discovery, "127.0.0.1", 0)
        address = f"127.0.0.1:{discovery.sockets[0].getsockname()[1]}"
        self.port = free_ports(1)[0]
        peer = f"127.0.0.1:{free_ports(1, socket.SOCK_DGRAM)[0]}"
        config = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": address,
            "seed": "8c1f30d27a5be964", "peer_listen": peer, "peers": [peer],
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
            "known": self._page, "settings": settings(),
        }  # fmt: skip
        path = self.rig.folder / "config.json"
        path.write_text(json.dumps(config))
        environment = {
            "LB_NAME": "n0", "LB_CONFIG": str(path), "LB_DISCOVERY": address,
            "LB_LISTEN": f"127.0.0.1:{self.port}",
        }  # fmt: skip
        broker = await self.rig.launch("broker", environment=environment)
        for _ in range(200):
            if (await call(self.port, b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")).status == 200:
                return broker.pid
            await asyncio.sleep(0.1)
        raise NotRunError("the broker did not get ready")

    async def _serve_discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        page = json.dumps(self._page).encode() + b"\n"
        try:
            while True:
                first, _ = await read_head(reader)
                if "watch=1" not in first:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(page), page))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(b"%x\r\n%b\r\n" % (len(page), page))
                while True:
                    await asyncio.sleep(2)
                    writer.write(b"1\r\n\n\r\n")
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()

    async def _serve_node(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await read_head(reader)
                await asyncio.sleep(SERVICE_S)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()

    async def count_descriptors(self, process_id: int) -> None:
        """Sample how many descriptors the broker holds."""
        with contextlib.suppress(OSError):
            while True:
                count = len(list(Path(f"/proc/{process_id}/fd").iterdir()))
                self.most_descriptors = max(self.most_descriptors, count)
                await asyncio.sleep(0.05)

    async def keep(self, number: int) -> None:
        """A client that keeps its connection, and opens a new one where the broker has closed it."""
        await asyncio.sleep(number / KEPT_COUNT)
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while True:
            try:
                connection = connection or await asyncio.open_connection("127.0.0.1", self.port)
                reader, writer = connection
                writer.write(request(number))
                _, fields = await read_head(reader)
                await reader.readexactly(int(fields["content-length"]))
                self.kept_answers += 1
                if fields.get("connection") == "close":
                    writer.close()
                    connection = None
            except (OSError, asyncio.IncompleteReadError):
                connection = None
                continue  # the close has crossed the request: it is sent once more on a new connection
            await asyncio.sleep(1)

    async def come(self, number: int) -> None:
        """A client that opens a connection for one request, and once more where the broker ends that."""
        await asyncio.sleep(NEW_WITHIN_S * number / NEW_COUNT)
        first = await self._try_new_connection(number)
        second = "" if first else await self._try_new_connection(number)
        outcome = first or second or "no answer, at the second connection either"
        self.outcomes.append(outcome)
        self.rig.note(
            f"client {number}: {outcome}{'' if first else ' (the first was ended without an answer)'}"
        )

    async def _try_new_connection(self, number: int) -> str:
        """The status that a request got on a connection of its own; empty where the broker ended that."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        await asyncio.sleep(REQUEST_BEHIND_S)
        try:
            writer.write(request(number))
            async with asyncio.timeout(CLIENT_WAITS_S):
                first, _ = await read_head(reader)
            return first.split()[1]
        except TimeoutError:
            return ""
        except (OSError, asyncio.IncompleteReadError):
            return ""
        finally:
            writer.close()


def request(number: int) -> bytes:
    """A small read."""
    return (
        f"GET /api?key={number:016x} HTTP/1.1\r\nHost: service.internal\r\n"
        f"X-Call-Id: {os.urandom(8).hex()}\r\nX-Call-Class: page-read\r\n"
        "X-Storage-Class: deadline\r\nX-Budget-Ms: 2000\r\n"
        f"X-Extent: volume={number % 40:016x},units=1,shard={number % NODE_COUNT},hosts=1\r\n\r\n"
    ).encode()


async def case(rig: Rig) -> bool:
    """Whether a request gets no answer, though its client came with it twice."""
    platform = Platform(rig)
    process_id = await platform.start()
    background = [asyncio.create_task(platform.keep(number)) for number in range(KEPT_COUNT)]
    background.append(asyncio.create_task(platform.count_descriptors(process_id)))
    await asyncio.sleep(4)
    await asyncio.gather(*(platform.come(number) for number in range(NEW_COUNT)))
    for task in background:
        task.cancel()
    lost = [outcome for outcome in platform.outcomes if outcome.startswith("no answer")]
    rig.note(f"kept connections: {KEPT_COUNT}, answers on them: {platform.kept_answers}")
    rig.note(f"most descriptors of the broker: {platform.most_descriptors} of {SOCKETS}")
    rig.note(f"requests on new connections: {NEW_COUNT}, never answered: {len(lost)}")
    if not platform.kept_answers:
        raise NotRunError("nothing was served")
    return bool(lost)


run_case(case)
