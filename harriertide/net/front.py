"""The platform's front: reads the fields that the decisions need; the rest passes as it came."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from math import isfinite
from typing import Any

from aiohttp import web

from harriertide import api
from harriertide.core import events as ev
from harriertide.net.nodes import NodeClient, Reply
from harriertide.net.runtime import Attempt, Ending, Runtime
from harriertide.settings import Names

BODY_BYTES = 64 * 1024
# Client connections beyond which an answer also closes its connection: guards against clients' kept
# connections using up the 1,024 descriptors that those to boxes come from too.
KEPT_MOST = 480
# A body that is refused unread is read on for so long: closing on unread bytes resets the connection, and
# the client might lose the answer that says why.
LINGER_S = 1.0
READY, SERVICE = "/health/ready", "/api"
# The client counts from when it sent; the broker reads a little later. Kept to its end for that.
SENT_BEFORE_US = 3_000
_HEX = frozenset("0123456789abcdefABCDEF")


class MalformedError(Exception):
    """A request that breaks the protocol, in plain words."""


def _hex16(text: str, field: str) -> str:
    if len(text) != 16 or not _HEX.issuperset(text):
        raise MalformedError(f"{field} must be 16 hex digits")
    return text


def _whole(text: str, field: str, least: int) -> int:
    digits = text[1:] if text[:1] == "-" else text
    if not (digits.isascii() and digits.isdigit()) or len(digits) > 12 or int(text) < least:
        raise MalformedError(f"{field} must be a whole number of at least {least}")
    return int(text)


def _number(text: str, field: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not isfinite(value) or value <= 0:
        raise MalformedError(f"{field} must be a number above 0")
    return value


def read_arrival(
    method: str, target: str, headers: Mapping[str, str], now_us: int, names: Names
) -> api.Arrival:
    """The fields that the decisions need."""
    if method not in ("GET", "PUT"):
        raise MalformedError("the method must be GET or PUT")
    request = headers.get("X-Call-Id", "")
    if not request or len(request) > 200:
        raise MalformedError("X-Call-Id is missing or too long")
    extent: dict[str, str] = {}
    for part in headers.get("X-Extent", "").split(","):
        name, _, value = part.strip().partition("=")
        extent[name] = value
    kind = names.classes.get(headers.get("X-Call-Class", ""))
    plan = names.plans.get(headers.get("X-Storage-Class", ""))
    if kind is None:
        raise MalformedError("X-Call-Class is missing or unknown")
    if plan is None:
        raise MalformedError("X-Storage-Class is missing or unknown")
    budget_ms = _whole(headers.get("X-Budget-Ms", ""), "X-Budget-Ms", 1)
    query = target.partition("?")[2].partition("#")[0]
    keys = [part[4:] for part in query.split("&") if part.startswith("key=")]
    return api.Arrival(
        request=request,
        request_class=kind,
        plan=plan,
        volume=_hex16(extent.get("volume", ""), "X-Extent: volume"),
        shard=_whole(extent.get("shard", ""), "X-Extent: shard", -1),
        give_up_us=now_us + budget_ms * 1000 - SENT_BEFORE_US,
        units=_number(extent.get("units", ""), "X-Extent: units"),
        key=_hex16(keys[0], "key") if keys else "",
        hosts=_whole(extent.get("hosts", "1"), "X-Extent: hosts", 1),
        repeated=headers.get("X-Again") == "1",
    )


class PlatformJob:
    """One request of the platform on its way."""

    __slots__ = ("_client", "_method", "_target", "_id", "_type", "_body", "final")

    def __init__(self, client: NodeClient, request: web.BaseRequest, body: bytes) -> None:
        self._client, self._body = client, body
        self._method, self._target = request.method, request.raw_path
        self._id = request.headers["X-Call-Id"]
        self._type = request.headers.get("Content-Type")
        self.final: asyncio.Future[ev.Answer] = asyncio.get_running_loop().create_future()

    async def attempt(self, attempt: Attempt) -> Ending:
        """Pass the request on as it came, with the time that this broker will wait."""
        wait_ms = max(1, (attempt.stop_at_us - attempt.runtime.clock.now_us()) // 1000)
        headers = {"Host": "service.internal", "X-Call-Id": self._id, "X-Budget-Ms": str(wait_ms)}
        if self._type is not None:
            headers["Content-Type"] = self._type
        return await self._client.exchange(attempt, self._method, self._target, headers, self._body)

    def answer(self, answer: ev.Answer) -> None:
        """Hand the final answer to the connection that waits for it."""
        if not self.final.done():
            self.final.set_result(answer)


def plain(status: int, text: str) -> web.Response:
    """A short answer of the broker itself."""
    return web.Response(status=status, text=text + "\n")


class Front:
    """Handles requests of the platform's protocol."""

    def __init__(self, runtime: Runtime, client: NodeClient, names: Names) -> None:
        self.counts: Counter[str] = Counter()
        self.ready = True
        self.kept: Callable[[], int] = lambda: 0  # client connections now
        self._runtime, self._client, self.names = runtime, client, names

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """One request, one answer."""
        response = await self._serve(request)
        self.counts[f"answers_{response.status}"] += 1
        if not self.ready or self.kept() > KEPT_MOST:
            response.force_close()
        return response

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        now_us = self._runtime.clock.now_us()
        path = request.raw_path.partition("?")[0]
        if path == READY:
            return plain(200, "ready") if self.ready else plain(503, "stopping")
        if path != SERVICE:
            return plain(404, "no such route")
        try:
            body = await request.read() if request.body_exists else b""
        except web.HTTPRequestEntityTooLarge:
            response = plain(413, "the body is over 64 KiB")
            response.force_close()
            return response
        try:
            arrival = read_arrival(request.method, request.raw_path, request.headers, now_us, self.names)
        except MalformedError as reason:
            return plain(400, str(reason))
        job = PlatformJob(self._client, request, body)
        if not self._runtime.submit(arrival, job):
            return plain(400, "X-Call-Id is in use")
        try:
            return self._respond(await job.final)
        except asyncio.CancelledError:
            self._runtime.left(arrival.request)  # the client closed its connection
            raise

    @staticmethod
    def _respond(answer: ev.Answer) -> web.Response:
        if answer.kind == "served" and isinstance(answer.reply, Reply):
            reply = answer.reply
            kept = {"Content-Type": reply.headers.get("Content-Type", "application/octet-stream")}
            return web.Response(status=200, body=reply.body, headers=kept)
        if answer.kind == "refused":
            response = plain(503, "refused: trying again is harmless")
            if answer.retry_after_us > 0:
                response.headers["Retry-After"] = f"{answer.retry_after_us / 1_000_000:.3f}"
            return response
        return plain(502, "failed")


class FrontServer(web.Server):
    """aiohttp's low-level server, which knows which of its connections are at work."""

    def __init__(self, busy: set[object], *given: Any, **named: Any) -> None:
        super().__init__(*given, **named)
        self._busy = busy

    def close_idle(self) -> None:
        """Close the connections that no request is on.

        Not by pre_shutdown: that ends the reading of an idle connection but leaves it open, so that what a
        client sends on it later would be taken and never answered.
        """
        for connection in self.connections:
            if connection not in self._busy:
                connection.force_close()


def server(
    handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], body_bytes: int = BODY_BYTES
) -> FrontServer:
    """aiohttp's low-level server around a handler; a request whose client leaves is cancelled."""
    loop = asyncio.get_running_loop()

    def make(message, payload, protocol, writer, task):  # type: ignore[no-untyped-def]
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=body_bytes)

    busy: set[object] = set()

    async def tracked(request: web.BaseRequest) -> web.StreamResponse:
        busy.add(request.protocol)
        try:
            return await handle(request)
        finally:
            busy.discard(request.protocol)

    return FrontServer(
        busy,
        tracked,
        request_factory=make,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        lingering_time=LINGER_S,
        max_line_size=16_384,
    )
