"""The object front: calls of the S3 REST subset, path style, to the store and the catalogue."""

from __future__ import annotations

import asyncio
import sqlite3
from collections import Counter
from dataclasses import dataclass
from secrets import token_hex
from urllib.parse import parse_qsl, unquote_to_bytes

from aiohttp import web

from harriertide.engine.log import log
from harriertide.objects import multipart, s3
from harriertide.objects.catalogue import Piece, Stored
from harriertide.objects.jobs import Source
from harriertide.objects.s3 import S3Error
from harriertide.objects.store import Store

KEY_BYTES = 1024
REST_BYTES, REST_S = 64 * 1024, 0.5  # of a body that an early answer left unread
_QUERY = frozenset({"uploads", "uploadId", "partNumber", "max-parts", "part-number-marker", "x-id"})


@dataclass(frozen=True, slots=True)
class Call:
    """What a request is about."""

    request: web.BaseRequest
    id: str
    bucket: str
    key: str
    query: dict[str, str]
    budget_ms: int | None


def read_call(request: web.BaseRequest, call_id: str) -> Call:
    """Bucket, key and query of a path-style target."""
    path, _, text = request.raw_path.partition("?")
    bucket, _, raw_key = path.removeprefix("/").partition("/")
    try:
        key = unquote_to_bytes(raw_key).decode("utf-8")
        query = dict(parse_qsl(text, keep_blank_values=True, errors="strict", max_num_fields=32))
    except ValueError:
        raise S3Error("InvalidURI", "Couldn't parse the specified URI") from None
    if len(key.encode()) > KEY_BYTES:
        raise S3Error("KeyTooLongError", "Your key is too long")
    unknown = sorted(query.keys() - _QUERY)
    if unknown or not key:
        raise S3Error("NotImplemented", f"Not part of this interface: {', '.join(unknown) or 'bucket calls'}")
    budget = request.headers.get("X-Budget-Ms")
    if budget is not None and not (budget.isascii() and budget.isdigit() and 0 < len(budget) < 10):
        raise S3Error("InvalidArgument", "X-Budget-Ms must be a whole number")
    return Call(request, call_id, bucket, key, query, int(budget) if budget else None)


class ObjectFront:
    """Handles requests of the object interface; each gets one answer."""

    def __init__(self, store: Store) -> None:
        self.counts: Counter[str] = Counter()
        self.ready, self.open = True, 0
        self._store = store

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """One request, one answer."""
        self.open += 1
        call_id = token_hex(8)
        try:
            response = await self._answer(request, call_id)
        finally:
            self.open -= 1
        self.counts[f"answers_{response.status}"] += 1
        if not response.prepared:
            response.headers["x-amz-request-id"] = call_id
            # guards against the rest of an unread body being taken for the next request
            if not self.ready or not await self._read_out(request):
                response.force_close()
        return response

    async def _read_out(self, request: web.BaseRequest) -> bool:
        """Whether nothing of the body is left; a small one is read to its end, to keep the connection."""
        if not request.body_exists or request.content.at_eof():
            return True
        size = request.content_length
        if size is None or size > REST_BYTES or "Expect" in request.headers:
            return False
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + REST_S):
                await request.content.read()
        except TimeoutError:
            return False
        return True

    async def _answer(self, request: web.BaseRequest, call_id: str) -> web.StreamResponse:
        try:
            call = read_call(request, call_id)
            if not self._store.has(call.bucket):
                raise S3Error("NoSuchBucket", "The specified bucket does not exist")
            return await self._route(call)
        except S3Error as error:
            fault = error
        except sqlite3.Error as broken:  # a full or failing disk under the catalogue
            log("catalogue failed", reason=str(broken))
            fault = S3Error("InternalError", "The catalogue could not be read or written")
        resource = request.raw_path.partition("?")[0]
        return s3.error_answer(fault, resource, call_id, request.method == "HEAD")

    async def _route(self, call: Call) -> web.StreamResponse:
        method, query, store = call.request.method, call.query, self._store
        if "uploads" in query and method == "POST":
            return multipart.create(store, call.bucket, call.key, call.request.headers)
        if "uploadId" in query:
            upload = multipart.find(store, query["uploadId"], call.bucket, call.key)
            if method == "PUT":
                return await self._put_part(call, upload.id)
            if method == "GET":
                return multipart.list_parts(store, upload, query)
            if method == "POST":
                body = await self._document(call)
                return multipart.complete(store, upload, s3.read_complete(body))
            if method == "DELETE":
                return multipart.abort(store, upload)
        elif not query.keys() & {"uploads", "partNumber"}:
            if method == "PUT":
                return await self._put(call)
            if method in ("GET", "HEAD"):
                return await self._get(call)
            if method == "DELETE":
                store.catalogue.remove(call.bucket, call.key)
                return web.Response(status=204)
        raise S3Error("MethodNotAllowed", "The method is not allowed against this resource")

    # --- bodies that come in -------------------------------------------------------------------

    async def _document(self, call: Call) -> bytes:
        """The body of Complete, bounded like a held one."""
        size = self._length(call, self._store.limits["repeat_kb"] * 1024)
        deadline_at_us = self._store.deadline_at_us(True, 0, call.budget_ms)
        self._go_on(call)
        source = await self._store.take(call.request.content, size, deadline_at_us)
        body = source.body()
        return body if isinstance(body, bytes) else b""

    def _length(self, call: Call, most: int) -> int:
        headers = call.request.headers
        if "x-amz-copy-source" in headers:
            raise S3Error("NotImplemented", "Copies are not part of this interface")
        coded = headers.get("Content-Encoding", "") + headers.get("x-amz-content-sha256", "")
        if "aws-chunked" in coded or "STREAMING-" in coded:
            raise S3Error("NotImplemented", "Bodies in signed chunks are not part of this interface")
        size = call.request.content_length
        if size is None:
            raise S3Error("MissingContentLength", "You must provide the Content-Length HTTP header")
        if size > most:
            raise S3Error("EntityTooLarge", "Your proposed upload exceeds the maximum allowed size")
        return size

    @staticmethod
    def _go_on(call: Call) -> None:
        """Clients that wait for a word before they send their body get it once it is wanted."""
        transport = call.request.transport
        if call.request.headers.get("Expect", "").lower() == "100-continue" and transport is not None:
            transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _store_body(self, call: Call) -> tuple[Piece, Source]:
        size = self._length(call, self._store.limits["body_kb"] * 1024)
        deadline_at_us = self._store.deadline_at_us(True, size, call.budget_ms)
        self._go_on(call)
        source = await self._store.take(call.request.content, size, deadline_at_us)
        piece = await self._store.write(call.bucket, source, deadline_at_us)
        stated = call.request.headers.get("Content-MD5")
        if stated is not None and stated.strip() != multipart.md5_header(source.md5):
            self._store.drop(piece.blob)
            raise S3Error("BadDigest", "The Content-MD5 you specified did not match what we received")
        return piece, source

    async def _put(self, call: Call) -> web.StreamResponse:
        headers, catalogue = call.request.headers, self._store.catalogue
        kept, allowed = s3.kept_headers(headers), s3.precondition(headers)
        allowed.check(catalogue.etag(call.bucket, call.key))  # before the body, and once more at the change
        piece, source = await self._store_body(call)
        kind = headers.get("Content-Type", "binary/octet-stream")
        stored = Stored(source.md5, kind, source.size, self._store.now_ms(), (piece,), kept)
        try:
            catalogue.put(call.bucket, call.key, stored, allowed.check)
        except S3Error:
            self._store.drop(piece.blob)
            raise
        return web.Response(status=200, headers={"ETag": f'"{source.md5}"'})

    async def _put_part(self, call: Call, upload_id: str) -> web.StreamResponse:
        number = multipart.part_number(call.query)
        multipart.find_open(self._store, upload_id, call.bucket, call.key)
        piece, source = await self._store_body(call)
        multipart.add(self._store, upload_id, call.bucket, call.key, number, piece, source.md5)
        return web.Response(status=200, headers={"ETag": f'"{source.md5}"'})

    # --- bodies that go out --------------------------------------------------------------------

    async def _get(self, call: Call) -> web.StreamResponse:
        stored = self._store.catalogue.find(call.bucket, call.key)
        if stored is None:
            raise S3Error("NoSuchKey", "The specified key does not exist.")
        headers = {
            "ETag": f'"{stored.etag}"',
            "Last-Modified": s3.http_date(stored.modified_ms),
            "Accept-Ranges": "bytes",
            **stored.headers,
        }
        unchanged, asked = s3.conditions(call.request.headers, stored.etag, stored.modified_ms)
        if unchanged:
            return web.Response(status=304, headers=headers)
        span = s3.read_range(asked, stored.size)
        headers["Content-Type"] = stored.type
        if not span.whole:
            headers["Content-Range"] = f"bytes {span.first}-{span.last}/{stored.size}"
        response = web.StreamResponse(status=200 if span.whole else 206, headers=headers)
        response.content_length = span.size
        if call.request.method == "GET" and span.size > 0:
            await self._pass_on(call, stored, span, response)
        else:
            await response.prepare(call.request)
        return response

    async def _pass_on(self, call: Call, stored: Stored, span: s3.Span, response: web.StreamResponse) -> None:
        """The pieces that the span touches, one after the other, under one deadline."""
        deadline_at_us = self._store.deadline_at_us(False, span.size, call.budget_ms)

        ended = False

        async def sink(chunk: bytes) -> None:
            if ended:  # guards against a late attempt writing into an answer that is over
                raise ConnectionResetError("the answer is over")
            if not response.prepared:
                response.headers["x-amz-request-id"] = call.id
                if not self.ready:
                    response.force_close()
                await response.prepare(call.request)
            await response.write(chunk)

        start = 0
        for piece in stored.pieces:
            first, last = max(span.first - start, 0), min(span.last - start, piece.size - 1)
            start += piece.size
            if first > last:
                continue
            try:
                await self._store.read(call.bucket, piece, first, last, deadline_at_us, sink)
            except S3Error:
                ended = True
                if not response.prepared:
                    raise
                # begun and not to be finished: the client can tell, as fewer bytes come than were stated
                self.counts["cut_short"] += 1
                if call.request.transport is not None:
                    call.request.transport.abort()
                await asyncio.sleep(0)
                return
