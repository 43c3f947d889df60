"""The object front: calls of the S3 REST subset, path style, to the store and the catalogue."""

from __future__ import annotations

import asyncio
import sqlite3
from collections import Counter
from secrets import token_hex

from aiohttp import web

from harriertide.engine.log import log
from harriertide.http.expectation import CONTINUE_RESPONSE, UnsupportedExpectationError, expects_continue
from harriertide.http.transfer_coding import TransferCodingError, UnsupportedCodingError
from harriertide.objects import multipart
from harriertide.objects.call import S3Call, body_length, parse_call
from harriertide.objects.conditions import http_date, read_conditions, write_precondition
from harriertide.objects.errors import S3Error
from harriertide.objects.metadata import stored_headers
from harriertide.objects.object_reader import ObjectReader
from harriertide.objects.ranges import ByteRange, parse_range
from harriertide.objects.records import Segment, StoredObject, Upload
from harriertide.objects.store import ObjectStore
from harriertide.objects.upload_body import UploadBody
from harriertide.objects.xml_format import error_response, parse_complete

# A body that an early response left unread is read on if it is no longer, and for no longer, so that its
# connection can be kept.
MAX_DISCARDED_BYTES = 64 * 1024
DISCARD_TIMEOUT_S = 0.5


class ObjectFront:
    """Handles requests of the object interface; each gets one response."""

    def __init__(self, store: ObjectStore) -> None:
        self.counts: Counter[str] = Counter()
        self.ready = True  # False: each response is the last on its connection
        self.open = 0  # requests that are being handled
        self._store = store

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        self.open += 1
        call_id = token_hex(8)
        try:
            response = await self._respond(request, call_id)
        finally:
            self.open -= 1
        self.counts[f"answers_{response.status}"] += 1
        if not response.prepared:
            response.headers["x-amz-request-id"] = call_id
            # guards against the rest of an unread body being taken for the next request
            if not self.ready or not await self._discard_body(request):
                response.force_close()
        return response

    def refuse_coding(self, request: web.BaseRequest, error: TransferCodingError) -> web.StreamResponse:
        """The response to a request whose body can't be decoded."""
        code = "NotImplemented" if isinstance(error, UnsupportedCodingError) else "InvalidRequest"
        response = _error_response(request, S3Error(code, str(error)), token_hex(8))
        self.counts[f"answers_{response.status}"] += 1
        return response

    async def _discard_body(self, request: web.BaseRequest) -> bool:
        """Whether nothing of the body is left unread; a small one is read to its end."""
        if not request.body_exists or request.content.at_eof():
            return True
        size = request.content_length
        if size is None or size > MAX_DISCARDED_BYTES or "Expect" in request.headers:
            return False
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + DISCARD_TIMEOUT_S):
                await request.content.read()
        except TimeoutError:
            return False
        return True

    async def _respond(self, request: web.BaseRequest, call_id: str) -> web.StreamResponse:
        try:
            call = parse_call(request, call_id)
            _expects_continue(request)
            if not self._store.has_bucket(call.bucket):
                raise S3Error("NoSuchBucket", "The specified bucket does not exist")
            return await self._route(call)
        except S3Error as error:
            fault = error
        except sqlite3.Error as broken:  # a full or failing disk under the catalogue
            log("catalogue failed", reason=str(broken))
            fault = S3Error("InternalError", "The catalogue could not be read or written")
        return _error_response(request, fault, call_id)

    async def _route(self, call: S3Call) -> web.StreamResponse:
        method = call.request.method
        if "uploads" in call.query and method == "POST":
            return multipart.create(self._store, call.bucket, call.key, call.request.headers)
        if "uploadId" in call.query:
            upload = multipart.find(self._store, call.query["uploadId"], call.bucket, call.key)
            return await self._route_upload(call, upload)
        if not call.query.keys() & {"uploads", "partNumber"}:
            return await self._route_object(call)
        raise _method_not_allowed()

    async def _route_upload(self, call: S3Call, upload: Upload) -> web.StreamResponse:
        method = call.request.method
        if method == "PUT":
            return await self._put_part(call, upload.id)
        if method == "GET":
            return multipart.list_parts(self._store, upload, call.query)
        if method == "POST":
            document = await self._read_document(call)
            return multipart.complete(self._store, upload, parse_complete(document))
        if method == "DELETE":
            return multipart.abort(self._store, upload)
        raise _method_not_allowed()

    async def _route_object(self, call: S3Call) -> web.StreamResponse:
        method = call.request.method
        if method == "PUT":
            return await self._put(call)
        if method in ("GET", "HEAD"):
            return await self._get(call)
        if method == "DELETE":
            self._store.catalogue.remove(call.bucket, call.key)
            return web.Response(status=204)
        raise _method_not_allowed()

    # --- uploads -------------------------------------------------------------------------------

    async def _read_document(self, call: S3Call) -> bytes:
        """The body of Complete, which may be as long as a buffered body."""
        size = body_length(call, self._store.max_buffered_bytes)
        deadline_at_us = self._store.deadline_at_us(True, 0, call.budget_ms)
        _send_continue(call)
        body = await self._store.receive_body(call.request.content, size, deadline_at_us)
        document = body.open()
        return document if isinstance(document, bytes) else b""

    async def _store_body(self, call: S3Call) -> tuple[Segment, UploadBody]:
        """Receive the body of a call and write it to a node."""
        size = body_length(call, self._store.limits["body_kb"] * 1024)
        deadline_at_us = self._store.deadline_at_us(True, size, call.budget_ms)
        _send_continue(call)
        body = await self._store.receive_body(call.request.content, size, deadline_at_us)
        segment = await self._store.write(call.bucket, body, deadline_at_us)
        stated_md5 = call.request.headers.get("Content-MD5")
        if stated_md5 is not None and stated_md5.strip() != multipart.md5_header(body.md5):
            self._store.drop_blob(segment.blob)
            raise S3Error("BadDigest", "The Content-MD5 you specified did not match what we received")
        return segment, body

    async def _put(self, call: S3Call) -> web.StreamResponse:
        headers = call.request.headers
        catalogue = self._store.catalogue
        kept_headers = stored_headers(headers)
        precondition = write_precondition(headers)
        # before the body is read, and once more at the change
        precondition.check(catalogue.etag(call.bucket, call.key))
        segment, body = await self._store_body(call)
        stored = StoredObject(
            etag=body.md5,
            content_type=headers.get("Content-Type", multipart.DEFAULT_CONTENT_TYPE),
            size=body.size,
            modified_ms=self._store.now_ms(),
            segments=(segment,),
            headers=kept_headers,
        )
        try:
            catalogue.put(call.bucket, call.key, stored, precondition.check)
        except S3Error:
            self._store.drop_blob(segment.blob)
            raise
        return web.Response(status=200, headers={"ETag": f'"{body.md5}"'})

    async def _put_part(self, call: S3Call, upload_id: str) -> web.StreamResponse:
        number = multipart.parse_part_number(call.query)
        multipart.find_open(self._store, upload_id, call.bucket, call.key)
        segment, body = await self._store_body(call)
        multipart.add_part(self._store, upload_id, call.bucket, call.key, number, segment, body.md5)
        return web.Response(status=200, headers={"ETag": f'"{body.md5}"'})

    # --- downloads -----------------------------------------------------------------------------

    async def _get(self, call: S3Call) -> web.StreamResponse:
        stored = self._store.catalogue.find(call.bucket, call.key)
        if stored is None:
            raise S3Error("NoSuchKey", "The specified key does not exist.")
        headers = {
            "ETag": f'"{stored.etag}"',
            "Last-Modified": http_date(stored.modified_ms),
            "Accept-Ranges": "bytes",
            **stored.headers,
        }
        conditions = read_conditions(call.request.headers, stored.etag, stored.modified_ms)
        if conditions.is_unchanged:
            return web.Response(status=304, headers=headers)
        wanted = parse_range(conditions.range_header, stored.size)
        headers["Content-Type"] = stored.content_type
        if not wanted.is_whole:
            headers["Content-Range"] = f"bytes {wanted.first}-{wanted.last}/{stored.size}"
        response = web.StreamResponse(status=200 if wanted.is_whole else 206, headers=headers)
        response.content_length = wanted.size
        if call.request.method == "GET" and wanted.size > 0:
            await self._send(call, stored, wanted, response)
        else:
            await response.prepare(call.request)
        return response

    async def _send(
        self, call: S3Call, stored: StoredObject, wanted: ByteRange, response: web.StreamResponse
    ) -> None:
        reader = ObjectReader(self._store, call, response, closes_connection=lambda: not self.ready)
        try:
            await reader.send(stored, wanted)
        except S3Error:
            if not response.prepared:
                raise
            # begun and not to be finished: the client can tell, as fewer bytes come than were stated
            self.counts["cut_short"] += 1
            if call.request.transport is not None:
                call.request.transport.abort()
            await asyncio.sleep(0)


def _error_response(request: web.BaseRequest, error: S3Error, call_id: str) -> web.Response:
    resource = request.raw_path.partition("?")[0]
    return error_response(error, resource, call_id, request.method == "HEAD")


def _method_not_allowed() -> S3Error:
    return S3Error("MethodNotAllowed", "The method is not allowed against this resource")


def _expects_continue(request: web.BaseRequest) -> bool:
    try:
        return expects_continue(request.headers.getall("Expect", ()), request.version)
    except UnsupportedExpectationError as error:
        raise S3Error("ExpectationFailed", str(error)) from None


def _send_continue(call: S3Call) -> None:
    """Answer a client that asks before it sends its body, once the body is wanted."""
    transport = call.request.transport
    if _expects_continue(call.request) and transport is not None:
        transport.write(CONTINUE_RESPONSE)
