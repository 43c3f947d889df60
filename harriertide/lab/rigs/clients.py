"""Clients of a broker on the rig: an open loop of requests on connections that are kept."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from random import Random

from harriertide.engine.clock import sleep_until
from harriertide.lab.rigs.nodes import LONG_BYTES, RigLogs

SLOW_READ_COUNT = 64  # parts in which a slow client reads a long response
PLANS = ("free", "capped")
DEADLINE_MS = 1500  # that clients state
RESPONSE_TIMEOUT_S = 8.0  # for a response to come: past every deadline, so that a late one is seen
READ_BYTES = 1 << 18
INITIAL_RATE = 120.0  # requests a second
LONG_RESPONSE_RATIO = 0.02  # of requests
WRITE_BODY = "kk"
STORE_KEY_COUNT = 3  # of requests whose key has an order


class ConnectionEndedError(Exception):
    """A connection ended.

    :ivar response_started: a part of a response was received
    """

    def __init__(self, response_started: bool) -> None:
        super().__init__()
        self.response_started = response_started


@dataclass(eq=False)
class Connection:
    """A client's connection, kept between requests."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send_request(self, request: bytes) -> tuple[int, bool]:
        """Send a request; the status of its complete response, and whether the connection is kept.

        :raises ConnectionEndedError: before the response was complete
        """
        response_started = False
        try:
            self.writer.write(request)
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
            response_started = True
            remaining_bytes = int(head.partition("content-length: ")[2].partition("\r\n")[0])
            while remaining_bytes > 0:
                part = await self.reader.read(min(remaining_bytes, READ_BYTES))
                if not part:
                    raise ConnectionEndedError(response_started)
                remaining_bytes -= len(part)
        except (ConnectionError, asyncio.IncompleteReadError):
            raise ConnectionEndedError(response_started) from None
        return int(head.split(" ", 2)[1]), "connection: close" not in head


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request that a client is about to send.

    :ivar long: the node is to answer with LONG_BYTES
    :ivar request_class: "read", "append" for one that may run once only, or "store" for one whose key has an
        order
    :ivar object_key: of a "store"
    """

    key: int
    plan: str
    units: int
    shard: int
    long: bool
    request_class: str = "read"
    object_key: int | None = None

    def request_id(self, attempt: int) -> str:
        """A repeat is a request of its own: a process that was killed may have sent on the first."""
        return f"r{self.key}" if attempt == 0 else f"r{self.key}-repeat"

    def encode(self, attempt: int) -> bytes:
        """The request's bytes."""
        long = "X-Long: 1\r\n" if self.long else ""
        method = "GET" if self.request_class == "read" else "PUT"
        body = "" if self.request_class == "read" else WRITE_BODY
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        key = self.key if self.object_key is None else self.object_key
        return (
            f"{method} /api?key={key:016x} HTTP/1.1\r\nHost: x\r\n"
            f"X-Call-Id: {self.request_id(attempt)}\r\n"
            f"X-Call-Class: {self.request_class}\r\nX-Storage-Class: {self.plan}\r\n"
            f"X-Budget-Ms: {DEADLINE_MS}\r\n{long}{length}"
            f"X-Extent: volume={7:016x},units={self.units},shard={self.shard},hosts=1\r\n\r\n{body}"
        ).encode()


class Clients:
    """Open-loop clients that keep connections, as many as they need."""

    def __init__(self, address: tuple[str, int], random: Random, logs: RigLogs) -> None:
        self._address = address
        self._random = random
        self._logs = logs
        self.idle: list[Connection] = []
        self.request_count = 0
        self.rate = INITIAL_RATE
        self.long_ratio = LONG_RESPONSE_RATIO
        self.append_ratio = 0.0  # of requests that may run once only
        self.store_ratio = 0.0  # of requests whose key has an order
        self.gets_new_connections = True  # from the front; else requests use kept connections only
        self.busy: dict[Connection, float] = {}  # since when each carries a request
        self._tasks: set[asyncio.Task[None]] = set()

    async def offer(self, stop: asyncio.Event) -> None:
        """Send requests until the event is set; then wait for all responses."""
        loop = asyncio.get_running_loop()
        while not stop.is_set():
            await sleep_until(loop.time() + self._random.expovariate(self.rate))
            if not (self.gets_new_connections or self.idle):
                continue  # the front sends it to another broker
            task = loop.create_task(self._send_one())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)
        for connection in self.idle:
            connection.writer.transport.abort()

    def _plan_request(self) -> PlannedRequest:
        self.request_count += 1
        random = self._random
        if self.store_ratio and random.random() < self.store_ratio:
            return PlannedRequest(
                key=self.request_count,
                plan="free",
                units=1,
                shard=0,
                long=False,
                request_class="store",
                object_key=random.randrange(STORE_KEY_COUNT),
            )
        return PlannedRequest(
            key=self.request_count,
            plan=random.choice(PLANS),
            units=random.randint(1, 3),
            shard=random.randrange(3),
            long=random.random() < self.long_ratio,
            request_class="append" if self.append_ratio and random.random() < self.append_ratio else "read",
        )

    async def _send_one(self) -> None:
        """Send a request; retry on a new connection where a kept one was closed before a response began."""
        planned = self._plan_request()
        self.idle = [each for each in self.idle if not each.reader.at_eof()]
        if not self.idle:
            await self._attempt(planned, 0, None)
        elif not await self._attempt(planned, 0, self.idle.pop()):
            await self._attempt(planned, 1, None)

    async def _attempt(self, planned: PlannedRequest, attempt: int, kept: Connection | None) -> bool:
        """Send on a kept connection, or on a new one; False where the kept one was closed first."""
        request = planned.request_id(attempt)
        self._logs.write("clients", "asked", request=request, request_class=planned.request_class)
        connection = kept
        try:
            if connection is None:
                connection = await self._connect()
                self._logs.write("clients", "connected", request=request)
            self.busy[connection] = asyncio.get_running_loop().time()
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                status, keep = await connection.send_request(planned.encode(attempt))
        except ConnectionEndedError as error:
            if kept is not None and not error.response_started:
                self._logs.write("clients", "crossed", request=request)
                return False
            self._log_end(request, error.response_started, is_new=kept is None)
            return True
        except (OSError, TimeoutError):
            self._log_end(request, response_started=False, is_new=kept is None)
            return True
        finally:
            if connection is not None:
                self.busy.pop(connection, None)
        self._logs.write("clients", "told", request=request, status=status)
        if keep:
            self.idle.append(connection)
        else:
            connection.writer.close()
        return True

    def _log_end(self, request: str, response_started: bool, is_new: bool) -> None:
        """Log that a connection ended without a whole response; is_new: it was opened for this request."""
        self._logs.write("clients", "ended", request=request, begun=response_started, new=is_new)

    def burst(self, count: int) -> None:
        """Send so many requests at once, each on a new connection."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            task = loop.create_task(self._send_on_new_connection())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_on_new_connection(self) -> None:
        await self._attempt(self._plan_request(), 0, None)

    async def leave_early(self, after_s: float) -> None:
        """Send a request on a new connection, and close it after this time without reading."""
        planned = self._plan_request()
        connection = await self._connect()
        connection.writer.write(planned.encode(0))
        await sleep_until(asyncio.get_running_loop().time() + after_s)
        connection.writer.transport.abort()
        self._logs.write("clients", "left", request=planned.request_id(0))

    async def read_slowly(self, over_s: float) -> bool:
        """Send a request with a long response and read it over this time; whether it came complete."""
        loop = asyncio.get_running_loop()
        planned = replace(self._plan_request(), long=True)
        request = planned.request_id(0)
        remaining_bytes = LONG_BYTES
        self._logs.write("clients", "asked", request=request)
        connection = await self._connect()
        connection.writer.write(planned.encode(0))
        status = int((await connection.reader.readuntil(b"\r\n\r\n")).split(b" ")[1])
        while status == 200 and remaining_bytes > 0:
            part = await connection.reader.read(LONG_BYTES // SLOW_READ_COUNT)
            if not part:
                break
            remaining_bytes -= len(part)
            await sleep_until(loop.time() + over_s / SLOW_READ_COUNT)
        connection.writer.close()
        if status == 200 and remaining_bytes > 0:
            self._logs.write("clients", "ended", request=request, begun=True)
            return False
        self._logs.write("clients", "told", request=request, status=status)
        return True

    def count_open(self, late_s: float) -> tuple[int, int]:
        """Connections that are idle and open, and those that carry a request younger than late_s."""
        now_s = asyncio.get_running_loop().time()
        idle_count = sum(not connection.reader.at_eof() for connection in self.idle)
        return idle_count, sum(now_s - since < late_s for since in self.busy.values())

    async def _connect(self) -> Connection:
        return Connection(*await asyncio.open_connection(*self._address))
