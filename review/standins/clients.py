"""A stand-in client of the platform's front."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from secrets import token_hex

from review.standins.http_messages import Message, read_message
from review.standins.record import Record


@dataclass(slots=True)
class Call:
    """One request of a client; the id is fresh with each."""

    method: str = "GET"
    request_class: str = "page-read"
    plan: str = "archive"
    key: str = "7f3a9c21e0b4d655"
    volume: str = "00000003b4d60021"
    units: int = 1
    shard: int = 0
    hosts: int = 1
    budget_ms: int = 2000
    body: bytes = b""
    fields: str = ""
    id: str = field(default_factory=lambda: token_hex(8))

    def encode(self) -> bytes:
        """The bytes of the request."""
        length = f"Content-Length: {len(self.body)}\r\n" if self.method == "PUT" else ""
        head = (
            f"{self.method} /api?key={self.key} HTTP/1.1\r\nHost: service.internal\r\n"
            f"X-Call-Id: {self.id}\r\nX-Call-Class: {self.request_class}\r\n"
            f"X-Storage-Class: {self.plan}\r\nX-Budget-Ms: {self.budget_ms}\r\n{length}{self.fields}"
            f"X-Extent: volume={self.volume},units={self.units},shard={self.shard},hosts={self.hosts}\r\n\r\n"
        )
        return head.encode() + self.body


class Client:
    """One connection to a broker, which carries one request at a time."""

    def __init__(self, address: tuple[str, int], record: Record) -> None:
        self._address = address
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection."""
        self._reader, self._writer = await asyncio.open_connection(*self._address, limit=1 << 22)

    async def send(self, call: Call) -> Message | None:
        """Send a request and read its answer; None where the connection ends before the answer is whole."""
        if self._writer is None or self._reader is None:
            await self.connect()
        assert self._writer is not None and self._reader is not None
        self._record.write("client-sent", id=call.id, method=call.method, key=call.key)
        self._writer.write(call.encode())
        try:
            answer = await read_message(self._reader)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self._record.write("client-no-answer", id=call.id, reason=type(error).__name__)
            self.close()
            return None
        self._record.write("client-answered", id=call.id, status=answer.status, bytes=len(answer.body))
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
