"""The platform's front: reads the fields that the decisions need; the rest passes as it came."""

from __future__ import annotations

from collections import Counter
from email.utils import formatdate

from aiohttp.http_parser import RawRequestMessage

from harriertide.decide.settings import Names
from harriertide.engine.runtime import Runtime
from harriertide.http.nodes import NodeClient
from harriertide.http.relay import BodyBudget
from harriertide.platform.connection import ComingBody, PlatformConnection, PlatformJob
from harriertide.platform.fields import MalformedError, read_arrival

READY, SERVICE = "/health/ready", "/api"


class Front:
    """Handles requests of the platform's protocol."""

    def __init__(self, runtime: Runtime, client: NodeClient, names: Names, bodies: BodyBudget) -> None:
        self.counts: Counter[str] = Counter()
        self.bodies = bodies
        self.ready, self.names = True, names
        self.last = False  # each answer is the last on its connection
        self.stopped = False  # nothing is sent on any more
        self._runtime, self._client = runtime, client
        self._second, self._date = 0, ""

    def date(self) -> str:
        """Now, as HTTP writes it."""
        second = self._runtime.clock.now_us() // 1_000_000
        if second != self._second:
            self._second, self._date = second, formatdate(second, usegmt=True)
        return self._date

    def take(self, line: PlatformConnection, message: RawRequestMessage, body: bytes | ComingBody) -> None:
        """A request, whole or as far as it is kept: answer it, or give it to the core."""
        path = message.path.partition("?")[0]
        if path == READY:
            if self.ready:
                line.respond(200, b"ready\n")
            else:
                line.respond(503, b"stopping\n")
            return
        if path != SERVICE:
            line.refuse(404, "no such route")
            return
        if self.stopped:
            line.respond(503, b"refused: trying again is harmless\n")
            return
        runtime = self._runtime
        try:
            if body and message.method == "GET":
                raise MalformedError("a GET has no body")
            arrival = read_arrival(
                message.method, message.path, line.fields, runtime.clock.now_us(), self.names,
                runtime.core.settings, isinstance(body, ComingBody),
            )  # fmt: skip
        except MalformedError as reason:
            line.refuse(400, str(reason))
            return
        line.request = arrival.request_id
        job = PlatformJob(self._client, line, message, body)
        if not runtime.submit(arrival, job, streams_body=isinstance(body, ComingBody)):
            line.refuse(400, "X-Call-Id is in use")

    def left(self, line: PlatformConnection) -> None:
        """The client closed its connection while its request was open."""
        self._runtime.client_disconnected(line.request)
