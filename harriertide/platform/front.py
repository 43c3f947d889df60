"""The front for the platform's protocol: routes requests, parses their headers and submits them."""

from __future__ import annotations

from collections import Counter
from email.utils import formatdate

from aiohttp.http_parser import RawRequestMessage

from harriertide.decide.settings import Names
from harriertide.engine.repeated_log import RepeatedLog
from harriertide.engine.runtime import Runtime
from harriertide.http.buffer_budget import BufferBudget
from harriertide.http.node_client import NodeClient
from harriertide.platform.connection import PlatformConnection
from harriertide.platform.fields import MalformedRequestError, read_arrival
from harriertide.platform.job import REJECTED_BODY, PlatformJob
from harriertide.platform.request_body import StreamedRequestBody

READINESS_PATH = "/health/ready"
SERVICE_PATH = "/api"


class Front:
    """Handles client requests in the platform's protocol; `objects.front` handles the object protocol.

    :param runtime: runs the core, which decides on the requests
    :param client: forwards requests to the storage nodes
    :param names: names of classes, plans and zones; a reload replaces them
    :param bodies: memory budget for requests
    """

    def __init__(self, runtime: Runtime, client: NodeClient, names: Names, bodies: BufferBudget) -> None:
        self.counts: Counter[str] = Counter()
        self.log = RepeatedLog()
        self.names = names
        self.bodies = bodies
        # False while the broker starts, stops, is drained or is in maintenance: health checks then get 503
        self.ready = True
        self.closes_connections = False  # whether connections close after their next response
        self.rejects_requests = False  # set shortly before shutdown; requests are no longer forwarded
        self._runtime = runtime
        self._client = client
        self._date_second = 0
        self._date = ""

    def date(self) -> str:
        """Return the current time in the format of the HTTP Date header."""
        second = self._runtime.clock.now_us() // 1_000_000
        if second != self._date_second:
            self._date_second = second
            self._date = formatdate(second, usegmt=True)
        return self._date

    def handle_request(
        self, connection: PlatformConnection, message: RawRequestMessage, body: bytes | StreamedRequestBody
    ) -> None:
        """Answer a request, or submit it to the core.

        :param connection: the connection that received the request
        :param message: the request head
        :param body: the whole body, or a stream that begins with the buffered part
        """
        path = message.path.partition("?")[0]
        if path == READINESS_PATH:
            self._answer_health_check(connection)
        elif path != SERVICE_PATH:
            connection.refuse(404, "no such route")
        elif self.rejects_requests:
            connection.respond(503, REJECTED_BODY)
        else:
            self._submit(connection, message, body)

    def _answer_health_check(self, connection: PlatformConnection) -> None:
        if self.ready:
            connection.respond(200, b"ready\n")
        else:
            connection.respond(503, b"stopping\n")

    def _submit(
        self, connection: PlatformConnection, message: RawRequestMessage, body: bytes | StreamedRequestBody
    ) -> None:
        """Submit a request to the core, or refuse a malformed one."""
        runtime = self._runtime
        streams_body = isinstance(body, StreamedRequestBody)
        arrived_at_us = runtime.clock.now_us() - connection.take_queue_time_us()
        try:
            if body and message.method == "GET":
                raise MalformedRequestError("a GET has no body")
            arrival = read_arrival(
                message.method, message.path, connection.fields, arrived_at_us, self.names,
                runtime.core.settings, streams_body,
            )  # fmt: skip
        except MalformedRequestError as error:
            connection.refuse(400, str(error))
            return
        connection.request_id = arrival.request_id
        job = PlatformJob(self._client, connection, message, body)
        if not runtime.submit(arrival, job, streams_body=streams_body):
            connection.refuse(400, "X-Call-Id is in use, or was used by a client that left")

    def on_client_disconnected(self, connection: PlatformConnection) -> None:
        """Stop the open request of a client that has disconnected."""
        self._runtime.client_disconnected(connection.request_id)
