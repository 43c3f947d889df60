"""Stand-in storage nodes: HTTP servers whose service times depend on nothing but the request and the seed.

They serve on the event loop's own network, virtual or real.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from heapq import heappop, heappush

from xxhash import xxh3_64_intdigest

CORE_COUNT = 2  # requests that one node works on at once
UNIT_S = 0.012  # mean service time of a unit on a core
MAX_QUEUED_REQUESTS = 24  # one more is rejected
MIN_COST_RATIO = 0.4  # of the cheapest request, to the mean
COST_RATIO_RANGE = 1.2  # from the cheapest to the dearest request
UNITS_PER_REQUEST = 2  # whatever the request states: the broker's estimates are to be off
SILENCE_S = 60.0  # longer than any deadline: whoever waits gives up first
SILENT_STATUS = 0  # of a Fault: no answer at all


@dataclass(frozen=True, slots=True)
class Fault:
    """What a node does wrong for a while.

    :ivar start_s: in seconds of the run
    :ivar end_s: the first moment at which it is well again
    :ivar status: the status of all its answers; SILENT_STATUS for none
    """

    start_s: float
    end_s: float
    status: int


@dataclass(slots=True)
class StandInNode:
    """One node: it serves requests on its cores in the order of their arrival.

    :ivar name: its id on the endpoint list; part of what a request costs
    :ivar seed: of the service times
    :ivar speed_ratio: to a node of mean speed
    :ivar run_started_at_s: when the run began, by the loop's clock: the faults' times count from there
    :ivar health_check_count: health checks that it received
    :ivar attempt_counts: attempts that it received, by request id
    """

    name: str
    shard: int
    seed: int
    speed_ratio: float = 1.0
    faults: list[Fault] = field(default_factory=list)
    run_started_at_s: float = 0.0
    unit_s: float = UNIT_S
    health_check_count: int = 0
    attempt_counts: dict[str, int] = field(default_factory=dict)
    _core_free_at_s: list[float] = field(default_factory=lambda: [0.0] * CORE_COUNT)  # a heap
    _open_request_count: int = 0

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until its other end closes it."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(row.lower().split(": ", 1) for row in head.split("\r\n")[1:-2])
                await reader.readexactly(int(fields.get("content-length", "0")))
                if head.startswith("GET /health/live "):
                    writer.write(await self._answer_health_check())
                    continue
                writer.write(await self._answer_request(fields["x-call-id"]))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _fault_status(self) -> int | None:
        """The status of the fault that it has now; None where it is well."""
        elapsed_s = asyncio.get_running_loop().time() - self.run_started_at_s
        for fault in self.faults:
            if fault.start_s <= elapsed_s < fault.end_s:
                return fault.status
        return None

    async def _answer_health_check(self) -> bytes:
        """Answer at once, past the queue. A node that answers requests with errors is still alive."""
        self.health_check_count += 1
        if self._fault_status() == SILENT_STATUS:
            await asyncio.sleep(SILENCE_S)
        return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

    async def _answer_request(self, request_id: str) -> bytes:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        attempt_number = self.attempt_counts.get(request_id, 0) + 1
        self.attempt_counts[request_id] = attempt_number
        status = self._fault_status()
        if status is not None:
            if status == SILENT_STATUS:
                await asyncio.sleep(SILENCE_S)
            return b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status
        if self._open_request_count >= MAX_QUEUED_REQUESTS:
            return b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
        start_s = max(now_s, heappop(self._core_free_at_s))
        end_s = start_s + self._service_time_s(request_id, attempt_number)
        heappush(self._core_free_at_s, end_s)
        self._open_request_count += 1
        try:
            await asyncio.sleep(end_s - now_s)
        finally:
            self._open_request_count -= 1
        body = f"{self.name} {request_id}".encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    def _service_time_s(self, request_id: str, attempt_number: int) -> float:
        """What an attempt costs depends on nothing but itself, so that two runs of one workload are alike."""
        digest = xxh3_64_intdigest(f"{self.seed} {self.name} {request_id} {attempt_number}".encode())
        cost_ratio = MIN_COST_RATIO + COST_RATIO_RANGE * (digest / 2**64)
        return cost_ratio * UNITS_PER_REQUEST * self.unit_s / self.speed_ratio


def capacity_units_per_s(node_count: int, unit_s: float = UNIT_S) -> float:
    """Units a second that so many nodes can do."""
    return node_count * CORE_COUNT / unit_s
