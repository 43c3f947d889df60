"""A body that comes with the transfer coding gzip is answered with 200 and stored as other bytes."""

from __future__ import annotations

import asyncio
import gzip
import json
import os
import socket
import zlib
from typing import Any

from rig import TROUBLE, Answer, NotRunError, Rig, call, free_ports, read_head, run_case

WRITE_COUNT = 6
BODY_BYTES = 3000
CHUNK_BYTES = 100
HOST = "s-5be2a07c"


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
            "nShards": 1, "meanUnits": 2.19, "maxUnits": 8, "withinShare": 0.35, "beyondShare": 0.08,
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
    """One disk node that stores bodies, discovery, and the front that asks for readiness."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.stored: dict[str, bytes] = {}  # by target

    async def start(self) -> None:
        """Start everything, and wait until the broker is ready."""
        node = await asyncio.start_server(self._serve_node, "127.0.0.1", 0)
        node_port = node.sockets[0].getsockname()[1]
        entry = {
            "host": HOST, "dial": f"127.0.0.1:{node_port}", "site": "marabella-plant", "class": "box-std",
            "block": 0, "health": "up", "share": 1.0, "born_ms": 0,
        }  # fmt: skip
        self._page = {"seq": 41, "whole": True, "hosts": [entry]}
        discovery = await asyncio.start_server(self._serve_discovery, "127.0.0.1", 0)
        address = f"127.0.0.1:{discovery.sockets[0].getsockname()[1]}"
        self.port = free_ports(1)[0]
        peer = f"127.0.0.1:{free_ports(1, socket.SOCK_DGRAM)[0]}"
        config = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": address,
            "seed": "8c1f30d27a5be964", "peer_listen": peer, "peers": [peer],
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self._page, "settings": settings(),
        }  # fmt: skip
        path = self.rig.folder / "config.json"
        path.write_text(json.dumps(config))
        environment = {
            "LB_NAME": "n0", "LB_CONFIG": str(path), "LB_DISCOVERY": address,
            "LB_LISTEN": f"127.0.0.1:{self.port}",
        }  # fmt: skip
        await self.rig.launch("broker", environment=environment)
        for _ in range(200):
            if (await call(self.port, b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")).status == 200:
                return
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
        try:
            while True:
                first, fields = await read_head(reader)
                method, target, _ = first.split()
                if method == "PUT":
                    self.stored[target] = await self._read_body(reader, fields)
                    self.rig.note(f"node: {first}: {len(self.stored[target])} bytes, {_framing(fields)}")
                answer = b"stored" if method == "PUT" else self.stored.get(target, b"")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(answer), answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def _read_body(self, reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
        """Read a body, and take off each transfer coding that the head names."""
        codings = [coding.strip().lower() for coding in fields.get("transfer-encoding", "").split(",")]
        if "chunked" not in codings:
            return await reader.readexactly(int(fields.get("content-length", "0")))
        body = bytearray()
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return gzip.decompress(body) if "gzip" in codings else bytes(body)

    async def send(self, method: str, number: int, rest: bytes) -> Answer:
        """A client's request for one piece of data, or of one."""
        request_class = "new-file" if method == "PUT" else "page-read"
        head = (
            f"{method} /api?key={number:016x} HTTP/1.1\r\nHost: service.internal\r\n"
            f"X-Call-Id: {os.urandom(8).hex()}\r\nX-Call-Class: {request_class}\r\n"
            "X-Storage-Class: deadline\r\nX-Budget-Ms: 2000\r\n"
            f"X-Extent: volume={number:016x},units=1,shard=0,hosts=1\r\n"
        )
        answer = await call(self.port, head.encode() + rest)
        self.rig.note(f"client: {method} {number}: {answer}")
        return answer


def _framing(fields: dict[str, str]) -> str:
    names = ("content-length", "transfer-encoding", "content-encoding")
    return ", ".join(f"{name}: {fields[name]}" for name in names if name in fields)


def framed(body: bytes) -> bytes:
    """The rest of a request with this body: in chunks, and coded with gzip for the transfer or not."""
    coded = gzip.compress(body) if TROUBLE else body
    assert not TROUBLE or zlib.decompress(coded, wbits=31) == body
    parts = [coded[first : first + CHUNK_BYTES] for first in range(0, len(coded), CHUNK_BYTES)]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    coding = b"gzip, chunked" if TROUBLE else b"chunked"
    return b"Transfer-Encoding: " + coding + b"\r\n\r\n" + chunks + b"0\r\n\r\n"


async def case(rig: Rig) -> bool:
    """Whether a write that was answered with 200 is read back as other bytes than the client has written."""
    platform = Platform(rig)
    await platform.start()
    await asyncio.sleep(1)
    written, wrong = 0, 0
    for number in range(WRITE_COUNT):
        body = f"page {number} ".encode() * (BODY_BYTES // 7)
        answer = await platform.send("PUT", number, framed(body))
        if answer.status != 200:
            continue  # refused or failed: nothing is promised
        written += 1
        for _ in range(5):
            read = await platform.send("GET", number, b"\r\n")
            if read.status == 200:
                wrong += read.body != body
                rig.note(f"client: {number} was written as {body[:14]!r} and is read as {read.body[:14]!r}")
                break
            await asyncio.sleep(0.5)
    rig.note(f"answered 200: {written} of {WRITE_COUNT}; read back as other bytes: {wrong}")
    if not TROUBLE and not written:
        raise NotRunError("no write was answered with 200")
    return wrong > 0


run_case(case)
