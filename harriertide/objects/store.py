"""Objects as requests of the core: each write, read and delete of a blob is admitted like any other."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from math import ceil
from secrets import token_hex

import aiohttp

from harriertide.config.operator_file import State
from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.engine.runtime import Runtime
from harriertide.http.node_client import NodeClient
from harriertide.objects.blob_jobs import BlobJob, DeleteBlob, ReadBlob, WriteBlob
from harriertide.objects.catalogue import Catalogue
from harriertide.objects.errors import S3Error, slow_down
from harriertide.objects.records import Orphan, Segment
from harriertide.objects.upload_body import CHUNK_BYTES, BufferedBody, StreamedBody, UploadBody

# Behind its deadline no attempt writes a blob any more; an orphan is kept so much longer, to be certain.
ORPHAN_MARGIN_MS = 1_000
NEW_SHARD = -1  # of an arrival whose shard the decision module chooses


@dataclass(frozen=True, slots=True)
class RequestClasses:
    """The class of the settings that each kind of call belongs to.

    :param bulk: of reads and writes that are too large to be buffered
    """

    read: int
    write: int
    bulk: int


class ObjectStore:
    """The part of the object front that submits requests to the core.

    :param state: the operator's state in force
    :param plans: the decision module's number of each grade
    """

    def __init__(
        self,
        runtime: Runtime,
        client: NodeClient,
        catalogue: Catalogue,
        state: Callable[[], State],
        plans: Callable[[], dict[str, int]],
        classes: RequestClasses,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.catalogue = catalogue
        self._runtime = runtime
        self._client = client
        self._classes = classes
        self._state = state
        self._plans = plans
        self._buffered_bytes = 0  # of bodies in memory, which a retry could send

    # --- figures -------------------------------------------------------------------------------

    @property
    def limits(self) -> dict[str, int]:
        """The operator's limits in force."""
        return self._state()["limits"]

    @property
    def max_buffered_bytes(self) -> int:
        """The largest body that is buffered, so that a retry can send it."""
        return self.limits["repeat_kb"] * 1024

    def now_ms(self) -> int:
        """Unix milliseconds of the broker's clock."""
        return self._runtime.clock.now_us() // 1000

    def has_bucket(self, bucket: str) -> bool:
        """Whether there is such a bucket, which is a volume of the operator's."""
        return bucket in self._state()["volumes"]

    def has_node(self, node: str) -> bool:
        """Whether a node is in the endpoint list, draining or not."""
        return node in self._runtime.core.nodes()

    def deadline_at_us(self, is_write: bool, size: int, budget_ms: int | None) -> int:
        """The absolute deadline of a call that begins now; all requests of the call share it.

        :param budget_ms: that the client states; None: that of the class
        """
        request_class = self._runtime.core.settings.classes[self._request_class(is_write, size)]
        span_us = request_class.deadline_us
        if budget_ms is not None:
            span_us = min(span_us, budget_ms * 1000)
        return self._runtime.clock.now_us() + span_us

    def slow_down(self) -> S3Error:
        """The error of a call that this broker has no room for."""
        return slow_down(self._runtime.core.settings.max_retry_after_us)

    def _request_class(self, is_write: bool, size: int) -> int:
        if size > self.max_buffered_bytes:
            return self._classes.bulk
        return self._classes.write if is_write else self._classes.read

    def _arrival(
        self, bucket: str, blob: str, is_write: bool, size: int, shard: int, deadline_at_us: int
    ) -> api.Arrival:
        limits = self.limits
        grade = self._state()["volumes"].get(bucket, {}).get("grade", "")
        units = ceil(size / (limits["unit_kb"] * 1024))
        return api.Arrival(
            request_id=token_hex(8),
            request_class=self._request_class(is_write, size),
            plan=self._plans().get(grade, 0),
            volume=bucket,
            shard=shard,
            deadline_at_us=deadline_at_us,
            units=float(max(1, min(limits["most_units"], units))),
            key=blob,
        )

    # --- calls ---------------------------------------------------------------------------------

    async def _submit(self, arrival: api.Arrival, job: BlobJob) -> ev.Respond:
        """One request of the core, from its arrival to its one answer."""
        self.counts["calls"] += 1
        self._runtime.submit(arrival, job)
        try:
            return await job.final
        except asyncio.CancelledError:
            self._runtime.client_disconnected(arrival.request_id)  # the client is gone
            raise

    async def receive_body(self, content: aiohttp.StreamReader, size: int, deadline_at_us: int) -> UploadBody:
        """A client's body: a small one in memory, so that a retry can send it; another one passes through.

        :raises S3Error: it was late or incomplete, or there is no memory for it
        """
        try:
            async with asyncio.timeout_at(self._runtime.clock.loop_time(deadline_at_us)):
                if size > self.max_buffered_bytes:
                    return StreamedBody(content, size, await content.read(CHUNK_BYTES))
                return await self._buffer_body(content, size)
        except TimeoutError:
            raise S3Error("RequestTimeout", "The body did not come within the time of the request") from None
        except asyncio.IncompleteReadError:
            raise S3Error("IncompleteBody", "The body is shorter than Content-Length says") from None

    async def _buffer_body(self, content: aiohttp.StreamReader, size: int) -> BufferedBody:
        if self._buffered_bytes + size > self.limits["repeat_total_kb"] * 1024:
            self.counts["buffers_full"] += 1
            raise self.slow_down()
        if size == 0:
            return BufferedBody(b"")
        self._buffered_bytes += size
        try:
            return BufferedBody(await content.readexactly(size))
        finally:
            self._buffered_bytes -= size

    async def write(self, bucket: str, body: UploadBody, deadline_at_us: int) -> Segment:
        """Write a body to a node that the core chooses.

        The caller has to have the catalogue name the segment; until then its blob counts as pending.

        :raises S3Error: the body was incomplete, or no node took it
        """
        blob = token_hex(16)
        arrival = self._arrival(bucket, blob, True, body.size, NEW_SHARD, deadline_at_us)

        def record_pending(node: str) -> None:
            shard = self._runtime.core.nodes()[node].shard
            self.catalogue.record_pending_blob(bucket, blob, node, shard)

        job = WriteBlob(self._client, arrival.request_id, bucket, blob, body, record_pending)
        answer = await self._submit_write(arrival, job, body)
        if body.is_broken:
            raise S3Error("IncompleteBody", "The body is shorter than Content-Length says")
        _raise_unless_served(job, answer)
        entry = self._runtime.core.nodes().get(job.node)
        if entry is None:  # removed from the list in this very turn of the loop: its data is out of reach
            self.drop_blob(blob, deadline_at_us)
            raise self.slow_down()
        return Segment(blob, job.node, entry.shard, body.size, job.node_etag)

    async def _submit_write(self, arrival: api.Arrival, job: WriteBlob, body: UploadBody) -> ev.Respond:
        """Submit a write; a buffered body counts meanwhile, and a blob that was not served is an orphan."""
        buffered_bytes = body.size if isinstance(body, BufferedBody) else 0
        self._buffered_bytes += buffered_bytes
        is_served = False
        try:
            answer = await self._submit(arrival, job)
            is_served = answer.kind == "served"
            return answer
        finally:
            self._buffered_bytes -= buffered_bytes
            if not is_served:
                self.drop_blob(arrival.key, arrival.deadline_at_us)

    def drop_blob(self, blob: str, deadline_at_us: int = 0) -> None:
        """Have a blob deleted that no object will name.

        :param deadline_at_us: until when an attempt may still write it
        """
        self.catalogue.mark_orphan(blob, deadline_at_us // 1000 + ORPHAN_MARGIN_MS)

    async def read(
        self,
        bucket: str,
        segment: Segment,
        first: int,
        last: int,
        deadline_at_us: int,
        sink: Callable[[bytes], Awaitable[None]],
    ) -> None:
        """Read bytes first to last of a segment, both included, into a sink.

        :raises S3Error: the node has lost them, or the request was rejected or failed
        """
        size = last + 1 - first
        arrival = self._arrival(bucket, segment.blob, False, size, segment.shard, deadline_at_us)
        job = ReadBlob(
            self._client, arrival.request_id, bucket, segment.blob, segment.node_etag, first, last, sink
        )
        answer = await self._submit(arrival, job)
        if job.is_missing:
            raise S3Error("InternalError", "The box does not have the data")
        _raise_unless_served(job, answer)

    async def delete(self, orphan: Orphan) -> bool:
        """Delete an orphan from its node, as a request of the core; whether that was served."""
        deadline_at_us = self.deadline_at_us(True, 0, None)
        arrival = self._arrival(orphan.bucket, orphan.blob, True, 0, orphan.shard, deadline_at_us)
        job = DeleteBlob(self._client, arrival.request_id, orphan.bucket, orphan.blob)
        answer = await self._submit(arrival, job)
        return answer.kind == "served"


def _raise_unless_served(job: BlobJob, answer: ev.Respond) -> None:
    if job.is_denied and answer.kind != "served":
        raise S3Error("InternalError", "A box refused the request for good")
    if answer.kind == "rejected":
        raise slow_down(answer.retry_after_us)
    if answer.kind == "failed":
        raise S3Error("InternalError", "The boxes could not serve the request")
