"""Objects as arrivals: each write, read and delete of a blob is a request of the core like any other."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from math import ceil
from secrets import token_hex

import aiohttp

from harriertide.config.model import State
from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.engine.clock import until
from harriertide.engine.log import log
from harriertide.engine.runtime import Runtime
from harriertide.http.nodes import NodeClient
from harriertide.objects.catalogue import Catalogue, Piece
from harriertide.objects.jobs import (
    CHUNK_BYTES,
    DeleteBlob,
    Held,
    ObjectJob,
    ReadBlob,
    Source,
    Streamed,
    WriteBlob,
)
from harriertide.objects.s3 import S3Error, slow_down

SWEEP_S, SWEEP_MOST = 1.0, 8
LATE_MS = 1_000  # after its deadline no attempt writes a blob any more; kept to that for certain


@dataclass(frozen=True, slots=True)
class Kinds:
    """Which class of the settings each kind of call belongs to."""

    read: int
    write: int
    bulk: int


class Store:
    """The part of the object front that speaks with the core."""

    def __init__(
        self,
        runtime: Runtime,
        client: NodeClient,
        catalogue: Catalogue,
        state: Callable[[], State],
        plans: Callable[[], dict[str, int]],
        kinds: Kinds,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.catalogue = catalogue
        self._runtime, self._client, self._kinds = runtime, client, kinds
        self._state, self._plans = state, plans
        self._held = 0  # bytes in memory that could be sent once more

    # --- figures -------------------------------------------------------------------------------

    @property
    def limits(self) -> dict[str, int]:
        """The operator's limits as they stand."""
        return self._state()["limits"]

    def now_ms(self) -> int:
        """Unix milliseconds of the one clock."""
        return self._runtime.clock.now_us() // 1000

    def has(self, bucket: str) -> bool:
        """Whether there is such a volume."""
        return bucket in self._state()["volumes"]

    def listed(self, box: str) -> bool:
        """Whether a box is on the list, draining or not."""
        return box in self._runtime.core.nodes()

    def deadline_at_us(self, write: bool, size: int, budget_ms: int | None) -> int:
        """The absolute deadline of a call that begins now; it travels with all that the call needs."""
        kind = self._runtime.core.settings.classes[self._kind(write, size)]
        span_us = kind.deadline_us if budget_ms is None else min(kind.deadline_us, budget_ms * 1000)
        return self._runtime.clock.now_us() + span_us

    def _kind(self, write: bool, size: int) -> int:
        if size > self.limits["repeat_kb"] * 1024:
            return self._kinds.bulk
        return self._kinds.write if write else self._kinds.read

    def _arrival(
        self, bucket: str, blob: str, write: bool, size: int, shard: int, deadline_at_us: int
    ) -> api.Arrival:
        limits = self.limits
        grade = self._state()["volumes"].get(bucket, {}).get("grade", "")
        return api.Arrival(
            request_id=token_hex(8),
            request_class=self._kind(write, size),
            plan=self._plans().get(grade, 0),
            volume=bucket,
            shard=shard,
            deadline_at_us=deadline_at_us,
            units=float(max(1, min(limits["most_units"], ceil(size / (limits["unit_kb"] * 1024))))),
            key=blob,
        )

    # --- calls ---------------------------------------------------------------------------------

    async def _call(self, arrival: api.Arrival, job: ObjectJob) -> ev.Respond:
        """One request of the core, from its arrival to its one answer."""
        self.counts["calls"] += 1
        self._runtime.submit(arrival, job)
        try:
            return await job.final
        except asyncio.CancelledError:
            self._runtime.client_disconnected(arrival.request_id)  # the client is gone
            raise

    async def take(self, content: aiohttp.StreamReader, size: int, deadline_at_us: int) -> Source:
        """The client's body: small ones whole, so that they can be sent once more; others pass through."""
        limits = self.limits
        try:
            async with asyncio.timeout_at(self._runtime.clock.loop_time(deadline_at_us)):
                if size > limits["repeat_kb"] * 1024:
                    return Streamed(content, size, await content.read(CHUNK_BYTES))
                return await self._hold(content, size)
        except TimeoutError:
            raise S3Error("RequestTimeout", "The body did not come within the time of the request") from None
        except asyncio.IncompleteReadError:
            raise S3Error("IncompleteBody", "The body is shorter than Content-Length says") from None

    async def _hold(self, content: aiohttp.StreamReader, size: int) -> Held:
        limits = self.limits
        if self._held + size > limits["repeat_total_kb"] * 1024:
            self.counts["buffers_full"] += 1
            raise slow_down(self._runtime.core.settings.max_retry_after_us)
        if size == 0:
            return Held(b"")
        self._held += size
        try:
            return Held(await content.readexactly(size))
        finally:
            self._held -= size

    async def write(self, bucket: str, source: Source, deadline_at_us: int) -> Piece:
        """Put a body on a box that the core chooses. What comes of it later has to be made known to the
        catalogue; until then the blob counts as on its way."""
        blob = token_hex(16)
        arrival = self._arrival(bucket, blob, True, source.size, -1, deadline_at_us)

        def begun(box: str) -> None:
            shard = self._runtime.core.nodes()[box].shard
            self.catalogue.on_its_way(bucket, blob, box, shard)

        job = WriteBlob(self._client, arrival.request_id, bucket, blob, source, begun)
        kept = isinstance(source, Held)
        self._held += source.size if kept else 0
        served = False
        try:
            answer = await self._call(arrival, job)
            served = answer.kind == "served"
        finally:
            self._held -= source.size if kept else 0
            if not served:
                self.drop(blob, deadline_at_us)
        if source.broken:
            raise S3Error("IncompleteBody", "The body is shorter than Content-Length says")
        self._must(job, answer)
        shard = self._runtime.core.nodes().get(job.box)
        if shard is None:  # taken off the list in this very turn: its data is out of reach
            self.drop(blob, deadline_at_us)
            raise slow_down(self._runtime.core.settings.max_retry_after_us)
        return Piece(blob, job.box, shard.shard, source.size, job.tag)

    def drop(self, blob: str, deadline_at_us: int = 0) -> None:
        """Nobody wants a blob that was written, or may yet be until that time."""
        self.catalogue.discard(blob, deadline_at_us // 1000 + LATE_MS)

    async def read(
        self,
        bucket: str,
        piece: Piece,
        first: int,
        last: int,
        deadline_at_us: int,
        sink: Callable[[bytes], Awaitable[None]],
    ) -> None:
        """Pass bytes first to last of a piece into the sink."""
        arrival = self._arrival(bucket, piece.blob, False, last + 1 - first, piece.shard, deadline_at_us)
        job = ReadBlob(self._client, arrival.request_id, bucket, piece.blob, piece.tag, first, last, sink)
        answer = await self._call(arrival, job)
        if job.missing:
            raise S3Error("InternalError", "The box does not have the data")
        self._must(job, answer)

    @staticmethod
    def _must(job: ObjectJob, answer: ev.Respond) -> None:
        if job.denied and answer.kind != "served":
            raise S3Error("InternalError", "A box refused the request for good")
        if answer.kind == "rejected":
            raise slow_down(answer.retry_after_us)
        if answer.kind == "failed":
            raise S3Error("InternalError", "The boxes could not serve the request")

    # --- what is left over ---------------------------------------------------------------------

    async def sweep(self) -> None:
        """Delete strays from their boxes, a few a second, as requests of the core."""
        loop = asyncio.get_running_loop()
        while True:
            await until(loop.time() + SWEEP_S)
            try:
                old_ms = self.now_ms() - self.limits["upload_hours"] * 3_600_000
                for upload in self.catalogue.left_open(old_ms, SWEEP_MOST):
                    self.counts["uploads_expired"] += 1
                    self.catalogue.abort(upload)
                for bucket, blob, box, shard in self.catalogue.strays(self.now_ms(), SWEEP_MOST):
                    await self._delete(bucket, blob, box, shard)
            except Exception as fault:  # one bad row must not end the clean-up for good
                log("clean-up failed", kind=type(fault).__name__, reason=str(fault))

    async def _delete(self, bucket: str, blob: str, box: str, shard: int) -> None:
        if not self.listed(box):
            self.catalogue.deleted(blob)  # gone with its box
            return
        deadline_at_us = self.deadline_at_us(True, 0, None)
        arrival = self._arrival(bucket, blob, True, 0, shard, deadline_at_us)
        answer = await self._call(arrival, DeleteBlob(self._client, arrival.request_id, bucket, blob))
        if answer.kind == "served":
            self.counts["strays_deleted"] += 1
            self.catalogue.deleted(blob)
        else:
            self.catalogue.discard(blob, self.now_ms() + LATE_MS)
