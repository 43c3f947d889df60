"""Clients that hold a broker's memory or time: slow, stopped, endless or unread, hundreds at once.

They run in a process of their own, so that they take no time from the honest clients of the rig:
python -m harriertide.lab.rigs.hostile_clients HOST PORT FORM COUNT SECONDS
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from typing import Literal, get_args

from harriertide.engine.clock import sleep_until

RECONNECT_DELAY_S = 0.05  # after the broker has ended a connection
PIECE_BYTES = 8 * 1024
PIECE_INTERVAL_S = 0.02
SLOW_BODY_BYTES = 1_000_000
LONG_BODY_BYTES = 2_000_000
SHORT_BODY_BYTES = 64 * 1024
SHORT_BODY_SENT_BYTES = 60 * 1024
LONG_FIELD_BYTES = 8_000
LONG_FIELD_COUNT = 120
SHORT_FIELD_COUNT = 5_000
FIELD_BATCH_COUNT = 100
CHUNK_COUNT = 60_000
CHUNK_BATCH_COUNT = 1_000
PIPELINED_COUNT = 400
BLANK_BATCH_COUNT = 100
CLIENT_DEADLINE_MS = 2_000

HostileForm = Literal[
    "slow body", "half of a long body", "most of a short body", "endless head of long fields",
    "endless head of short fields", "finished head of many fields", "chunks of one byte", "unread answers",
    "silent", "pipelined reads", "blank lines", "unreadable lines", "interim requests", "new volumes",
    "new volumes of a limited plan",
]  # fmt: skip


def _head(number: int, fields: str, method: str = "PUT") -> bytes:
    """A request head, with further header lines."""
    request_class = "read" if method == "GET" else "append"
    return (
        f"{method} /api?key={number:016x} HTTP/1.1\r\nHost: x\r\nX-Call-Id: hostile{number}\r\n"
        f"X-Call-Class: {request_class}\r\nX-Storage-Class: free\r\nX-Budget-Ms: {CLIENT_DEADLINE_MS}\r\n"
        f"X-Extent: volume={number % 997:016x},units=1,shard={number % 3},hosts=1\r\n{fields}"
    ).encode()


def _volume_request(number: int, plan: str) -> bytes:
    head = _head(number, "\r\n", "GET").replace(b"Class: free", f"Class: {plan}".encode())
    return head.replace(f"volume={number % 997:016x}".encode(), f"volume={number:016x}".encode())


async def _pause(seconds: float) -> None:
    await sleep_until(asyncio.get_running_loop().time() + seconds)


async def _slow_body(number: int) -> AsyncIterator[bytes]:
    yield _head(number, f"Content-Length: {SLOW_BODY_BYTES}\r\n\r\n")
    for first in range(0, SLOW_BODY_BYTES, PIECE_BYTES):
        yield bytes(min(PIECE_BYTES, SLOW_BODY_BYTES - first))
        await _pause(PIECE_INTERVAL_S)


async def _half_of_a_long_body(number: int) -> AsyncIterator[bytes]:
    yield _head(number, f"Content-Length: {LONG_BODY_BYTES}\r\n\r\n")
    yield bytes(LONG_BODY_BYTES // 2)


async def _most_of_a_short_body(number: int) -> AsyncIterator[bytes]:
    yield _head(number, f"Content-Length: {SHORT_BODY_BYTES}\r\n\r\n") + bytes(SHORT_BODY_SENT_BYTES)


async def _endless_long_fields(number: int) -> AsyncIterator[bytes]:
    yield _head(number, "")
    for field in range(LONG_FIELD_COUNT):
        yield b"X-Long-%d: %b\r\n" % (field, b"v" * LONG_FIELD_BYTES)


async def _endless_short_fields(number: int) -> AsyncIterator[bytes]:
    yield _head(number, "")
    for first in range(0, SHORT_FIELD_COUNT, FIELD_BATCH_COUNT):
        yield b"".join(b"x%d:1\r\n" % field for field in range(first, first + FIELD_BATCH_COUNT))


async def _finished_head(number: int) -> AsyncIterator[bytes]:
    yield _head(number, "".join(f"x{field}:1\r\n" for field in range(FIELD_BATCH_COUNT)) + "\r\n", "GET")


async def _one_byte_chunks(number: int) -> AsyncIterator[bytes]:
    yield _head(number, "Transfer-Encoding: chunked\r\n\r\n")
    for _ in range(0, CHUNK_COUNT, CHUNK_BATCH_COUNT):
        yield b"1\r\nb\r\n" * CHUNK_BATCH_COUNT


async def _unread_answers(number: int) -> AsyncIterator[bytes]:
    yield _head(number, "X-Long: 1\r\n\r\n", "GET")


async def _silent(number: int) -> AsyncIterator[bytes]:
    yield b""


async def _pipelined_reads(number: int) -> AsyncIterator[bytes]:
    yield _head(number, "\r\n", "GET") * PIPELINED_COUNT


async def _blank_lines(number: int) -> AsyncIterator[bytes]:
    for _ in range(BLANK_BATCH_COUNT):
        yield b"\r\n" * PIECE_BYTES


async def _unreadable_lines(number: int) -> AsyncIterator[bytes]:
    yield b"\x16\x03\x01 : \r\n" * PIPELINED_COUNT


async def _interim_requests(number: int) -> AsyncIterator[bytes]:
    """Heads that ask for 100 Continue, whose bodies come in pieces of one byte."""
    yield _head(number, "Expect: 100-continue\r\nContent-Length: 2000\r\n\r\n")
    for _ in range(2000):
        yield b"b"


_WRITERS: dict[HostileForm, Callable[[int], AsyncIterator[bytes]]] = {
    "slow body": _slow_body,
    "half of a long body": _half_of_a_long_body,
    "most of a short body": _most_of_a_short_body,
    "endless head of long fields": _endless_long_fields,
    "endless head of short fields": _endless_short_fields,
    "finished head of many fields": _finished_head,
    "chunks of one byte": _one_byte_chunks,
    "unread answers": _unread_answers,
    "silent": _silent,
    "pipelined reads": _pipelined_reads,
    "blank lines": _blank_lines,
    "unreadable lines": _unreadable_lines,
    "interim requests": _interim_requests,
}
# One request after another on a kept connection, each for a volume that was never named before.
_VOLUME_PLANS: dict[HostileForm, str] = {"new volumes": "free", "new volumes of a limited plan": "capped"}


class HostileClients:
    """Many clients of one form, each of which connects again when the broker has ended its connection.

    :param address: host and port of the broker
    :ivar statuses: how often each status line was received; "" where a connection ended without one
    """

    def __init__(self, address: tuple[str, int], form: HostileForm) -> None:
        self.statuses: Counter[str] = Counter()
        self._address = address
        self._form = form
        self._request_count = 0

    async def play(self, count: int, duration_s: float) -> None:
        """Keep so many clients at it for a time."""
        with suppress(TimeoutError):
            async with asyncio.timeout(duration_s):
                await asyncio.gather(*(self._repeat() for _ in range(count)))

    async def _repeat(self) -> None:
        while True:
            self._request_count += 1
            with suppress(OSError, asyncio.IncompleteReadError):
                await self._send_one(self._request_count)
            await _pause(RECONNECT_DELAY_S)

    async def _send_one(self, number: int) -> None:
        """Write one request on a new connection, and stay until the broker ends it."""
        reader, writer = await asyncio.open_connection(*self._address)
        try:
            if self._form in _VOLUME_PLANS:
                await self._name_volumes(reader, writer, _VOLUME_PLANS[self._form])
                return
            await self._send_pieces(writer, number)
            await self._read_to_end(reader)
        finally:
            writer.transport.abort()

    async def _name_volumes(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, plan: str
    ) -> None:
        """Send one request after another, as fast as they are answered."""
        while True:
            self._request_count += 1
            writer.write(_volume_request(self._request_count, plan))
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
            await reader.readexactly(length)
            self.statuses[head[9:12].decode()] += 1

    async def _send_pieces(self, writer: asyncio.StreamWriter, number: int) -> None:
        async for piece in _WRITERS[self._form](number):
            writer.write(piece)
            await writer.drain()

    async def _read_to_end(self, reader: asyncio.StreamReader) -> None:
        if self._form == "unread answers":
            await _pause(CLIENT_DEADLINE_MS)
        line = await reader.readline()
        self.statuses[line.decode("latin-1")[9:12]] += 1
        while await reader.read(PIECE_BYTES):
            pass


async def run_hostile_process(
    address: tuple[str, int], form: HostileForm, count: int, duration_s: float
) -> Counter[str]:
    """Play hostile clients in a process of their own; return how often each status was received."""
    words = (address[0], str(address[1]), form, str(count), str(duration_s))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", __name__, *words, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    return Counter(json.loads(output))


def main(words: list[str]) -> None:
    """Play the clients that the command line names, and print their statuses as JSON."""
    host, port, form, count, duration_s = words
    (known_form,) = [each for each in get_args(HostileForm) if each == form]
    clients = HostileClients((host, int(port)), known_form)
    asyncio.run(clients.play(int(count), float(duration_s)))
    print(json.dumps(clients.statuses))


if __name__ == "__main__":
    main(sys.argv[1:])
