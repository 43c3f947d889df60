"""What the object front asks of boxes: a blob written, a stretch of one read, one deleted."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from hashlib import md5
from typing import Protocol

import aiohttp

from harriertide.core import events as ev
from harriertide.decide import api
from harriertide.engine.log import log
from harriertide.engine.runtime import Attempt, AttemptResult
from harriertide.http.clients import ASKER
from harriertide.http.nodes import BODY_BYTES, AttemptFailedError, Body, Incoming, NodeClient, outcome
from harriertide.http.quiet import ended

CHUNK_BYTES = 64 * 1024
LATER = frozenset((408, 425, 429))  # statuses of 4xx by which HTTP itself says to come again
SAID_BYTES = 200  # of a box's refusal, for the log


class BodyError(Exception):
    """The client's body did not come whole."""


class Source(Protocol):
    """A body on its way to a box."""

    size: int

    @property
    def md5(self) -> str:
        """Of the whole body, once it has passed."""

    def ready(self) -> bool:
        """Whether it can be sent (once more)."""

    def body(self) -> Body:
        """To send it."""

    @property
    def broken(self) -> bool:
        """The client did not bring it whole."""

    @property
    def waiting(self) -> bool:
        """The client is to bring more of it."""


class Held:
    """A body in memory, which can be sent as often as needed."""

    broken = waiting = False

    def __init__(self, data: bytes) -> None:
        self._data, self.size = data, len(data)
        self.md5 = md5(data, usedforsecurity=False).hexdigest()

    def ready(self) -> bool:
        return True

    def body(self) -> Body:
        return self._data


class Streamed:
    """A body that passes through once, too large to be held: what is gone can't be sent again.

    first: what has come of it already. The client library sends the head of a request together with the
    first bytes of its body, so these must be at hand: else they would leave whenever the client goes on,
    long after the core was last asked, perhaps to a box that drains by then.
    """

    def __init__(self, content: aiohttp.StreamReader, size: int, first: bytes) -> None:
        self._content, self.size, self._first = content, size, first
        self._begun = self.broken = self.waiting = False
        self._digest = md5(usedforsecurity=False)

    @property
    def md5(self) -> str:
        return self._digest.hexdigest()

    def ready(self) -> bool:
        return not self._begun

    def body(self) -> AsyncIterator[bytes]:
        return self._pass()

    async def _pass(self) -> AsyncIterator[bytes]:
        self._begun = True
        passed = len(self._first)
        self._digest.update(self._first)
        yield self._first
        try:
            self.waiting = True
            while chunk := await self._content.read(CHUNK_BYTES):
                self.waiting = False
                passed += len(chunk)
                self._digest.update(chunk)
                yield chunk
                self.waiting = True
            self.waiting = False
        except Exception:
            self.broken = True
            raise BodyError("the client left") from None
        if passed != self.size:
            self.broken = True
            raise BodyError("the client's body ended early")


class ObjectJob:
    """What all of them share: the box protocol's headers and the final answer."""

    context = None

    def __init__(self, client: NodeClient, call: str, bucket: str, blob: str) -> None:
        self._client, self._call = client, call
        self._target = f"/{bucket}/{blob}"
        self.denied = False  # a box has refused for good: asking again would not help
        self.final: asyncio.Future[ev.Respond] = asyncio.get_running_loop().create_future()
        self._asker = ASKER.get()

    def has_client_disconnected(self) -> bool:
        """Whether the client that this is asked for has closed its connection, or its side of it."""
        return self._asker is not None and ended(self._asker)

    def respond(self, answer: ev.Respond) -> None:
        """Hand the final answer to who waits for it."""
        if not self.final.done():
            self.final.set_result(answer)

    async def perform(self, attempt: Attempt) -> AttemptResult:
        """Perform one attempt; how it ended."""
        raise NotImplementedError

    async def ended(self, attempt: Attempt, response: Incoming) -> api.OutcomeKind:
        """What a box's answer means; one of 4xx is no reason for a client to come again."""
        said = await response.read()
        if 400 <= response.status < 500 and response.status not in LATER:
            self.denied = True
            answer = said[:SAID_BYTES].decode("utf-8", "replace")
            log("a box refused for good", box=attempt.node_id, status=response.status, answer=answer)
            return "not_sent"
        return outcome(response)

    def headers(self, attempt: Attempt) -> dict[str, str]:
        """How long the broker waits, and the call's id, as towards disk nodes."""
        wait_ms = max(1, (attempt.stop_at_us - attempt.runtime.clock.now_us()) // 1000)
        return {"X-Call-Id": self._call, "X-Budget-Ms": str(wait_ms)}


class WriteBlob(ObjectJob):
    """Writes a blob to whichever box the core chooses."""

    def __init__(
        self,
        client: NodeClient,
        call: str,
        bucket: str,
        blob: str,
        source: Source,
        begun: Callable[[str], None],
    ) -> None:
        super().__init__(client, call, bucket, blob)
        self._source, self._begun = source, begun
        self.box, self.tag = "", ""

    async def perform(self, attempt: Attempt) -> AttemptResult:
        source = self._source
        if not source.ready():
            return AttemptResult("not_sent")  # refused: only the client still has the body
        self._begun(attempt.node_id)
        headers = {**self.headers(attempt), "Content-Length": str(source.size)}
        try:
            async with self._client.open(attempt, "PUT", self._target, headers, source.body()) as response:
                kind = await self.ended(attempt, response)
                if kind == "ok":
                    self.box, self.tag = attempt.node_id, response.headers.get("ETag", "")
                return AttemptResult(kind)
        except AttemptFailedError as end:
            # a client that brings no body says nothing of the box's health
            return AttemptResult("cancelled" if source.broken or source.waiting else end.kind)


class ReadBlob(ObjectJob):
    """Reads a stretch of a blob into a sink; a further attempt goes on where the last one broke."""

    def __init__(
        self,
        client: NodeClient,
        call: str,
        bucket: str,
        blob: str,
        tag: str,
        first: int,
        last: int,
        sink: Callable[[bytes], Awaitable[None]],
    ) -> None:
        super().__init__(client, call, bucket, blob)
        self._tag, self._next, self._last, self._sink = tag, first, last, sink
        self.missing = False

    async def perform(self, attempt: Attempt) -> AttemptResult:
        headers = {**self.headers(attempt), "Range": f"bytes={self._next}-{self._last}"}
        if self._tag:
            headers["If-Match"] = self._tag
        writing = False
        try:
            most = max(BODY_BYTES, self._last + 1 - self._next)
            async with self._client.open(attempt, "GET", self._target, headers, most=most) as response:
                if response.status in (404, 412, 416):
                    self.missing = True  # asking again would not bring it back
                    return AttemptResult("not_sent")
                if outcome(response) != "ok":
                    return AttemptResult(await self.ended(attempt, response))
                if not self._fits(response):
                    return AttemptResult("error")
                async for chunk in response.content.iter_chunked(CHUNK_BYTES):
                    kept = chunk[: self._last + 1 - self._next]
                    # booked before it is written: guards against the same bytes twice after a break
                    self._next += len(kept)
                    writing = True
                    try:
                        await self._sink(kept)
                    except (ConnectionError, asyncio.InvalidStateError):
                        return AttemptResult("cancelled")  # the client is gone
                    writing = False
                return AttemptResult("ok" if self._next > self._last else "reset")
        except AttemptFailedError as end:
            # stopped while the client took its time: nothing against the box
            slow_client = writing and end.kind == "timeout"
            return AttemptResult("cancelled" if slow_client else end.kind)

    def _fits(self, response: Incoming) -> bool:
        """The box answers just the stretch that was asked for."""
        if response.status == 206:
            return response.headers.get("Content-Range", "").startswith(f"bytes {self._next}-{self._last}/")
        return self._next == 0 and response.content_length == self._last + 1


class DeleteBlob(ObjectJob):
    """Deletes a blob; one that is not there is deleted."""

    async def perform(self, attempt: Attempt) -> AttemptResult:
        try:
            async with self._client.open(attempt, "DELETE", self._target, self.headers(attempt)) as response:
                if response.status == 404:
                    return AttemptResult("ok")
                return AttemptResult(await self.ended(attempt, response))
        except AttemptFailedError as end:
            return AttemptResult(end.kind)
