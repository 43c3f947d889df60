"""One stand-in storage node on loopback: holds blobs in memory, as the object front asks of nodes.

Usage: harriertide (node | box) [--listen AT] [--slots N] [--queue N] [--took-ms N] [--most-mb N]

PUT, GET (Range, If-Match), HEAD and DELETE of /BUCKET/BLOB, answered with an ETag. Where more than --slots
requests are at work and --queue wait, it turns a request away with 503 and X-Rejected: 1.

Options:
  --listen AT   address and port; port 0 lets the system choose [default: 127.0.0.1:0]
  --slots N     requests at work at once [default: 16]
  --queue N     requests that may wait [default: 64]
  --took-ms N   what a request takes at least [default: 0]
  --most-mb N   blobs are refused beyond this [default: 256]
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web
from xxhash import xxh3_64_hexdigest

from harriertide.decide.settings import SettingsError
from harriertide.engine.clock import sleep_until
from harriertide.http.transfer_coding import TransferCodingError, check_body_coding

MAX_FIELD_BYTES = 16_384  # of a header: as long as the fronts accept a request line
MIN_OPTION_VALUES = {"--slots": 1, "--queue": 0, "--took-ms": 0, "--most-mb": 1}


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """What the node can do.

    :param slot_count: requests at work at once.
    :param queue_length: requests that may wait beside them.
    :param min_latency_ms: what a request takes at least.
    :param capacity_mb: blobs are rejected beyond this.
    """

    slot_count: int
    queue_length: int
    min_latency_ms: int
    capacity_mb: int


@dataclass(frozen=True, slots=True)
class Blob:
    """What is stored under one path."""

    data: bytes
    etag: str


class StandInNode:
    """What one node stores and how busy it is."""

    def __init__(self, options: NodeOptions) -> None:
        self._queue_length = options.queue_length
        self._min_latency_s = options.min_latency_ms / 1000
        self._capacity_bytes = options.capacity_mb << 20
        self._free_slots = asyncio.Semaphore(options.slot_count)
        self._waiting_count = 0
        self._stored_bytes = 0
        self._blobs: dict[str, Blob] = {}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request, in the order of arrival; rejected where slots and queue are full."""
        try:
            check_body_coding(request)
        except TransferCodingError as error:
            return web.Response(status=error.status, text=f"{error}\n")
        if self._free_slots.locked() and self._waiting_count >= self._queue_length:
            return _reject()
        self._waiting_count += 1
        try:
            await self._free_slots.acquire()
        finally:
            self._waiting_count -= 1
        try:
            if self._min_latency_s:
                await sleep_until(asyncio.get_running_loop().time() + self._min_latency_s)
            return await self._serve(request)
        finally:
            self._free_slots.release()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.raw_path.partition("?")[0]
        if path.count("/") != 2 or path.endswith("/"):
            return web.Response(status=404, text="blobs are /BUCKET/BLOB\n")
        handlers: dict[str, Callable[[web.BaseRequest, str], Awaitable[web.StreamResponse]]] = {
            "PUT": self._put,
            "GET": self._get,
            "HEAD": self._get,
            "DELETE": self._delete,
        }
        handler = handlers.get(request.method)
        if handler is None:
            return web.Response(status=405)
        return await handler(request, path)

    async def _put(self, request: web.BaseRequest, path: str) -> web.StreamResponse:
        if self._stored_bytes + (request.content_length or 0) > self._capacity_bytes:
            return _reject()
        # Chunk by chunk: guards against the library's own bound on a body that is read in one call, which
        # would answer a large blob with 413.
        data = bytearray()
        async for chunk in request.content.iter_any():
            data += chunk
            if self._stored_bytes + len(data) > self._capacity_bytes:
                return _reject()
        self._remove(path)
        blob = Blob(bytes(data), f'"{xxh3_64_hexdigest(data)}"')
        self._blobs[path] = blob
        self._stored_bytes += len(blob.data)
        return web.Response(status=200, headers={"ETag": blob.etag})

    async def _get(self, request: web.BaseRequest, path: str) -> web.StreamResponse:
        blob = self._blobs.get(path)
        if blob is None:
            return web.Response(status=404)
        if request.headers.get("If-Match", blob.etag) != blob.etag:
            return web.Response(status=412)
        headers = {"ETag": blob.etag, "Accept-Ranges": "bytes"}
        wanted = request.http_range
        if wanted.start is None and wanted.stop is None:
            return web.Response(body=blob.data, headers=headers)
        size = len(blob.data)
        first, end, _ = wanted.indices(size)
        if first >= end:
            return web.Response(status=416, headers={"Content-Range": f"bytes */{size}"})
        headers["Content-Range"] = f"bytes {first}-{end - 1}/{size}"
        return web.Response(status=206, body=blob.data[first:end], headers=headers)

    async def _delete(self, request: web.BaseRequest, path: str) -> web.StreamResponse:
        self._remove(path)
        return web.Response(status=204)

    def _remove(self, path: str) -> None:
        blob = self._blobs.pop(path, None)
        if blob is not None:
            self._stored_bytes -= len(blob.data)


def _reject() -> web.Response:
    return web.Response(status=503, headers={"X-Rejected": "1"})


async def listen(node: StandInNode, host: str, port: int) -> tuple[web.ServerRunner, int]:
    """Serve a node.

    :returns: the running server, to be cleaned up by the caller, and its port.
    """
    server = web.Server(node.handle, access_log=None, auto_decompress=False, max_field_size=MAX_FIELD_BYTES)
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    return runner, int(runner.addresses[0][1])


def main(given: dict[str, Any]) -> int:
    """Serve until SIGINT or SIGTERM.

    :returns: exit status 0.
    :raises SettingsError: where an option is wrong or the address is taken.
    """
    options = _read_options(given)
    host, port = _read_address(str(given["--listen"]))
    command = "box" if given["box"] else "node"
    asyncio.run(_serve(options, host, port, command))
    return 0


def _read_options(given: dict[str, Any]) -> NodeOptions:
    values = {}
    for name, minimum in MIN_OPTION_VALUES.items():
        text = str(given[name])
        if not text.isdigit() or int(text) < minimum:
            raise SettingsError(f"{name}: {text} is no whole number of at least {minimum}")
        values[name] = int(text)
    return NodeOptions(
        slot_count=values["--slots"],
        queue_length=values["--queue"],
        min_latency_ms=values["--took-ms"],
        capacity_mb=values["--most-mb"],
    )


def _read_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host.startswith("127.") or not port.isdigit():
        raise SettingsError(f"--listen: {text} is no loopback address with a port")
    return host, int(port)


async def _serve(options: NodeOptions, host: str, port: int, command: str) -> None:
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    try:
        runner, chosen_port = await listen(StandInNode(options), host, port)
    except OSError as error:
        raise SettingsError(f"--listen: {host}:{port}: {error.strerror}") from None
    print(f"{command} on {host}:{chosen_port}", flush=True)
    await stopped.wait()
    await runner.cleanup()
