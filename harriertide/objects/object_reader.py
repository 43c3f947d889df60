"""Sends an object to a client: the segments that a range touches, one after the other."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from aiohttp import web

from harriertide.objects.call import S3Call
from harriertide.objects.errors import S3Error
from harriertide.objects.ranges import ByteRange
from harriertide.objects.records import Segment, StoredObject
from harriertide.objects.store import ObjectStore


def segments_of_range(stored: StoredObject, wanted: ByteRange) -> Iterator[tuple[Segment, int, int]]:
    """The segments that a range touches, each with its first and last byte of the range."""
    start = 0
    for segment in stored.segments:
        first = max(wanted.first - start, 0)
        last = min(wanted.last - start, segment.size - 1)
        start += segment.size
        if first <= last:
            yield segment, first, last


class ObjectReader:
    """Sends the bytes of an object as the body of one response.

    :param closes_connection: whether a response that begins now is the last on its connection
    """

    def __init__(
        self,
        store: ObjectStore,
        call: S3Call,
        response: web.StreamResponse,
        closes_connection: Callable[[], bool],
    ) -> None:
        self._store = store
        self._call = call
        self._response = response
        self._closes_connection = closes_connection
        self._is_over = False

    async def send(self, stored: StoredObject, wanted: ByteRange) -> None:
        """Send a range of an object, under one deadline.

        :raises S3Error: a segment could not be read; the response may have begun by then
        """
        deadline_at_us = self._store.deadline_at_us(False, wanted.size, self._call.budget_ms)
        try:
            for segment, first, last in segments_of_range(stored, wanted):
                await self._store.read(self._call.bucket, segment, first, last, deadline_at_us, self._write)
        except S3Error:
            self._is_over = True
            raise

    async def _write(self, chunk: bytes) -> None:
        if self._is_over:  # guards against a late attempt that writes into a response that is over
            raise ConnectionResetError("the response is over")
        if not self._response.prepared:
            self._response.headers["x-amz-request-id"] = self._call.id
            if self._closes_connection():
                self._response.force_close()
            await self._response.prepare(self._call.request)
        await self._response.write(chunk)
