"""What the object front asks of nodes: a blob written, a range of one read, one deleted."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.engine.log import log
from harriertide.engine.runtime import Attempt, AttemptResult
from harriertide.http.client_server import CLIENT_TRANSPORT
from harriertide.http.errors import AttemptFailedError
from harriertide.http.node_client import MAX_BODY_BYTES, NodeClient
from harriertide.http.node_response import IncomingResponse, classify_response
from harriertide.http.socket_state import is_closed_by_peer
from harriertide.objects.upload_body import CHUNK_BYTES, UploadBody

RETRYABLE_STATUSES = frozenset((408, 425, 429))  # of 4xx: HTTP itself asks for a retry
LOGGED_RESPONSE_BYTES = 200  # of a node's final rejection


class BlobJob:
    """What all requests for a blob share: the headers towards nodes, and the final answer.

    :param client: of the storage nodes
    :param request_id: of the core's request
    :param bucket: that the blob belongs to
    :param blob: its ID
    """

    context = None

    def __init__(self, client: NodeClient, request_id: str, bucket: str, blob: str) -> None:
        self.is_denied = False  # a node has rejected it for good: a retry would not help
        self.final: asyncio.Future[ev.Respond] = asyncio.get_running_loop().create_future()
        self._client = client
        self._request_id = request_id
        self._target = f"/{bucket}/{blob}"
        self._client_transport = CLIENT_TRANSPORT.get()

    def has_client_disconnected(self) -> bool:
        """Whether the client that it is done for has closed its connection, or its side of it."""
        return self._client_transport is not None and is_closed_by_peer(self._client_transport)

    def respond(self, answer: ev.Respond) -> None:
        """Hand the final answer to who waits for it."""
        if not self.final.done():
            self.final.set_result(answer)

    async def perform(self, attempt: Attempt) -> AttemptResult:
        """Perform one attempt; how it ended."""
        raise NotImplementedError

    def _headers(self, attempt: Attempt) -> dict[str, str]:
        """The request's ID, and how long the broker waits, as for the platform's requests."""
        wait_ms = max(1, (attempt.stop_at_us - attempt.runtime.clock.now_us()) // 1000)
        return {"X-Call-Id": self._request_id, "X-Budget-Ms": str(wait_ms)}

    async def _read_outcome(self, attempt: Attempt, response: IncomingResponse) -> api.OutcomeKind:
        """Read a response to its end; what it means. A final 4xx is not worth a retry by the client."""
        content = await response.read()
        if 400 <= response.status < 500 and response.status not in RETRYABLE_STATUSES:
            self.is_denied = True
            text = content[:LOGGED_RESPONSE_BYTES].decode("utf-8", "replace")
            log(
                "node rejected the request for good",
                node=attempt.node_id,
                status=response.status,
                answer=text,
            )
            return "not_sent"
        return classify_response(response)


class WriteBlob(BlobJob):
    """Writes a blob to whichever node the core chooses.

    :param body: of the blob
    :param on_attempt: called with the node's ID before anything is sent to it
    """

    def __init__(
        self,
        client: NodeClient,
        request_id: str,
        bucket: str,
        blob: str,
        body: UploadBody,
        on_attempt: Callable[[str], None],
    ) -> None:
        super().__init__(client, request_id, bucket, blob)
        self.node = ""  # that has the blob, once it was written
        self.node_etag = ""  # the node's own ETag for it
        self._body = body
        self._on_attempt = on_attempt

    async def perform(self, attempt: Attempt) -> AttemptResult:
        """Send the body to the node of this attempt."""
        body = self._body
        if not body.can_be_sent():
            return AttemptResult("not_sent")  # only the client still has the body
        self._on_attempt(attempt.node_id)
        headers = {**self._headers(attempt), "Content-Length": str(body.size)}
        try:
            async with self._client.open(attempt, "PUT", self._target, headers, body.open()) as response:
                outcome = await self._read_outcome(attempt, response)
                if outcome == "ok":
                    self.node = attempt.node_id
                    self.node_etag = response.headers.get("ETag", "")
                return AttemptResult(outcome)
        except AttemptFailedError as failure:
            # a client that brings no body says nothing of the node's health
            is_clients_fault = body.is_broken or body.awaits_client
            return AttemptResult("cancelled" if is_clients_fault else failure.outcome)


class ReadBlob(BlobJob):
    """Reads a range of a blob into a sink; a retry goes on where the attempt before it broke.

    :param node_etag: of the blob, as the node gave it; "" if it gave none
    :param first: byte of the range, included
    :param last: byte of the range, included
    :param sink: takes the bytes in order
    """

    def __init__(
        self,
        client: NodeClient,
        request_id: str,
        bucket: str,
        blob: str,
        node_etag: str,
        first: int,
        last: int,
        sink: Callable[[bytes], Awaitable[None]],
    ) -> None:
        super().__init__(client, request_id, bucket, blob)
        self.is_missing = False  # the node has not the blob, or another under its name
        self._node_etag = node_etag
        self._next = first
        self._last = last
        self._sink = sink
        self._is_writing = False  # the sink has not taken what was given to it yet

    async def perform(self, attempt: Attempt) -> AttemptResult:
        """Read what is still missing of the range."""
        headers = {**self._headers(attempt), "Range": f"bytes={self._next}-{self._last}"}
        if self._node_etag:
            headers["If-Match"] = self._node_etag
        max_body_bytes = max(MAX_BODY_BYTES, self._missing_bytes())
        self._is_writing = False
        try:
            async with self._client.open(
                attempt, "GET", self._target, headers, max_body_bytes=max_body_bytes
            ) as response:
                return AttemptResult(await self._read(attempt, response))
        except AttemptFailedError as failure:
            # stopped while the client took its time: nothing against the node
            is_clients_fault = self._is_writing and failure.outcome == "timeout"
            return AttemptResult("cancelled" if is_clients_fault else failure.outcome)

    async def _read(self, attempt: Attempt, response: IncomingResponse) -> api.OutcomeKind:
        if response.status in (404, 412, 416):
            self.is_missing = True  # a retry would not bring it back
            return "not_sent"
        if classify_response(response) != "ok":
            return await self._read_outcome(attempt, response)
        if not self._is_range_asked_for(response):
            return "error"
        async for chunk in response.content.iter_chunked(CHUNK_BYTES):
            wanted = chunk[: self._missing_bytes()]
            # counted before it is written: guards against the same bytes twice after a break
            self._next += len(wanted)
            self._is_writing = True
            try:
                await self._sink(wanted)
            except (ConnectionError, asyncio.InvalidStateError):
                return "cancelled"  # the client is gone
            self._is_writing = False
        return "ok" if self._next > self._last else "reset"

    def _missing_bytes(self) -> int:
        return self._last + 1 - self._next

    def _is_range_asked_for(self, response: IncomingResponse) -> bool:
        """Whether the node answers with just the range that was asked for."""
        if response.status == 206:
            return response.headers.get("Content-Range", "").startswith(f"bytes {self._next}-{self._last}/")
        return self._next == 0 and response.content_length == self._last + 1


class DeleteBlob(BlobJob):
    """Deletes a blob; one that is not there is deleted."""

    async def perform(self, attempt: Attempt) -> AttemptResult:
        """Have the node of this attempt delete it."""
        try:
            async with self._client.open(attempt, "DELETE", self._target, self._headers(attempt)) as response:
                if response.status == 404:
                    return AttemptResult("ok")
                return AttemptResult(await self._read_outcome(attempt, response))
        except AttemptFailedError as failure:
            return AttemptResult(failure.outcome)
