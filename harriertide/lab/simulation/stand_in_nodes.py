"""Stand-in storage boxes on a virtual network, and workloads drawn for them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush

import numpy as np
from xxhash import xxh3_64_intdigest

from harriertide.decide import api
from harriertide.engine.workload import Workload, WorkloadEvent, WorkloadHeader

SECOND = 1_000_000
READ = api.RequestClass(
    latency_objective_us=300_000, deadline_us=2_000_000, priority_weight=3.0, late_priority_weight=0.3
)
WRITE = replace(
    READ,
    latency_objective_us=500_000,
    idempotency="keyed",
    deduplication_scope="all",
    deduplication_window_us=2_000_000,
)
PLANS = (
    api.Plan(reserved_rate=8.0, weight=4.0, priority_factor=1.8),
    api.Plan(reserved_rate=2.0, priority_factor=0.8),
)
SETTINGS = api.Settings(
    broker_index=0,
    broker_count=1,
    classes=(READ, WRITE),
    plans=PLANS,
    shard_count=6,
    mean_request_units=2.0,
    max_request_units=8.0,
    within_quota_weight=0.35,
    beyond_quota_weight=0.08,
    slow_start_units=12.0,
    slow_start_initial_ratio=0.3,
    slow_start_us=4 * SECOND,
    collapse_window_us=1 * SECOND,
    retry_after_allowed=True,
    cancel_allowed=True,
    max_retry_after_us=500_000,
    max_attempts=4,
    tick_us=1_000,
)
# Another make of deployment: writes keyed within a rack, a class that can wait, a plan with a limit and no
# reserve, few safe units on cold boxes, probes.
OTHER = replace(
    SETTINGS,
    classes=(
        replace(READ, priority_weight=2.0, late_priority_weight=0.2, deadline_us=2_500_000),
        replace(
            READ,
            latency_objective_us=400_000,
            priority_weight=2.0,
            idempotency="keyed",
            deduplication_scope="shard",
            deduplication_window_us=3_000_000,
        ),
        replace(READ, latency_objective_us=2_000_000, deadline_us=6_000_000, priority_weight=1.0),
    ),
    plans=(
        api.Plan(priority_factor=0.96, rate_limit=40.0, burst_limit_units=48.0),
        api.Plan(reserved_rate=8.0, priority_factor=1.2),
        api.Plan(reserved_rate=16.0, priority_factor=1.5),
    ),
    max_request_units=6.0,
    slow_start_units=4.0,
    slow_start_initial_ratio=0.2,
    collapse_load_ratio=2.5,
    probes_allowed=True,
)
SHAPES = {"first": SETTINGS, "other": OTHER}
CORES, UNIT_S, QUEUE = 2, 0.012, 24  # of a box: at once, seconds a unit, waiting
KINDS = ("calm", "surge", "failing", "drains", "cold")


@dataclass(slots=True)
class Box:
    """One box: requests in turn of arrival on its cores. faults: from, until (s of the play), status."""

    name: str
    shard: int
    seed: int
    speed: float = 1.0
    faults: list[tuple[float, float, int]] = field(default_factory=list)
    begin: float = 0.0
    unit_s: float = UNIT_S
    probes: int = 0
    seen: dict[str, int] = field(default_factory=dict)
    _free: list[float] = field(default_factory=lambda: [0.0] * CORES)
    _waiting: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(row.lower().split(": ", 1) for row in head.split("\r\n")[1:-2])
                await reader.readexactly(int(fields.get("content-length", "0")))
                if head.startswith("GET /health/live "):
                    writer.write(await self._probed())
                    continue
                writer.write(await self._answer(fields["x-call-id"]))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _fault(self) -> int | None:
        """The status that it answers by now, 0 for silence; None: it is well."""
        past = asyncio.get_running_loop().time() - self.begin
        return next((status for first, last, status in self.faults if first <= past < last), None)

    async def _probed(self) -> bytes:
        """Whether it lives, beside its queue."""
        self.probes += 1
        if self._fault() == 0:
            await asyncio.sleep(60)
        return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

    async def _answer(self, request: str) -> bytes:
        loop = asyncio.get_running_loop()
        now = loop.time()
        number = self.seen[request] = self.seen.get(request, 0) + 1
        fault = self._fault()
        if fault is not None:
            if fault == 0:
                await asyncio.sleep(60)
            return b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % fault
        if self._waiting >= QUEUE:
            return b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
        # what a request costs depends on nothing but itself, so that two plays of one workload are alike
        part = xxh3_64_intdigest(f"{self.seed} {self.name} {request} {number}".encode()) / 2**64
        start = max(now, heappop(self._free))
        end = start + (0.4 + 1.2 * part) * 2 * self.unit_s / self.speed
        heappush(self._free, end)
        self._waiting += 1
        try:
            await asyncio.sleep(end - now)
        finally:
            self._waiting -= 1
        body = f"{self.name} {request}".encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def capacity(boxes: int, unit_s: float = UNIT_S) -> float:
    """Units a second that so many boxes can do."""
    return boxes * CORES / unit_s


def draw(
    kind: str,
    seed: int,
    seconds: float = 8.0,
    unit_s: float = UNIT_S,
    hosts: int = 1,
    shape: str = "first",
) -> tuple[Workload, list[Box]]:
    """A workload of one kind, and the boxes that it is for.

    hosts: through how many brokers it comes. shape: of the deployment, a key of SHAPES.
    """
    settings = SHAPES[shape]
    random = np.random.default_rng([seed, KINDS.index(kind)])
    boxes = [
        Box(f"box-{n}", n, seed, float(random.uniform(0.8, 1.2)), unit_s=unit_s)
        for n in range(SETTINGS.shard_count)
    ]
    entries = [api.NodeEntry(box.name, box.shard) for box in boxes]
    rows = [WorkloadEvent(0, endpoint_update=api.EndpointUpdate("cached", tuple(entries)))]
    if kind == "failing":
        boxes[1].faults.append((2.0, 4.0, 500))
        boxes[2].faults.append((3.0, 6.0, 0))
    elif kind == "drains":
        moves = ((2.0, 0, "draining"), (3.5, 1, "draining"), (4.5, 0, "live"), (6.0, 2, "gone"))
        for at, place, state in moves:
            changed = replace(entries[place], state=state)  # type: ignore[arg-type]
            rows.append(
                WorkloadEvent(
                    int(at * SECOND) + place, endpoint_update=api.EndpointUpdate("delta", (changed,))
                )
            )
    elif kind == "cold":
        for at, place in ((2.0, 3), (2.5, 4)):
            start_us = int(at * SECOND)
            for state in ("gone", "live"):
                changed = replace(entries[place], state=state, started_us=start_us)  # type: ignore[arg-type]
                late = 0 if state == "gone" else 400_000
                rows.append(
                    WorkloadEvent(
                        start_us + late + place, endpoint_update=api.EndpointUpdate("delta", (changed,))
                    )
                )
    at, number = 0.05, 0
    rate = 0.5 * capacity(len(boxes), unit_s) / SETTINGS.mean_request_units
    while at < seconds:
        part = 4.0 if kind == "surge" and 2.0 <= at < 5.0 else 1.0
        at += float(random.exponential(1 / (rate * part)))
        number += 1
        write = bool(random.random() < 0.3)
        row = api.Arrival(
            request_id=f"{seed:04x}{number:012x}",
            request_class=int(write) if shape == "first" else int(random.choice(3, p=(0.55, 0.3, 0.15))),
            plan=int(random.random() < 0.4) if shape == "first" else int(random.integers(3)),
            volume=f"{int(random.integers(12)):016x}",
            shard=-1 if write and random.random() < 0.3 else int(random.integers(len(boxes))),
            deadline_at_us=int(at * SECOND) + 1000 * int(random.integers(600, 1900)) - 3_000,
            units=float(random.integers(1, 5)),
            key=f"{int(random.integers(1 << 40)):016x}",
            sharing_broker_count=hosts,
        )
        rows.append(WorkloadEvent(int(at * SECOND), row))
    rows.sort(key=lambda each: each.at_us)
    return Workload(WorkloadHeader(settings, seed), rows, truncated=False), boxes
