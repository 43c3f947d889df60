"""One stand-in storage box on loopback: holds blobs in memory, as the object front asks of boxes.

Usage: harriertide box [--listen AT] [--slots N] [--queue N] [--took-ms N] [--most-mb N]

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
from typing import Any

from aiohttp import web
from xxhash import xxh3_64_hexdigest

from harriertide.decide.settings import SettingsError
from harriertide.engine.clock import until

BLOB_BYTES = 1 << 30


class Box:
    """What one box holds and how busy it is."""

    def __init__(self, slots: int, queue: int, took_ms: int, most_mb: int) -> None:
        self.slots, self.queue, self.took_s, self.most = slots, queue, took_ms / 1000, most_mb << 20
        self.blobs: dict[str, tuple[bytes, str]] = {}  # and their ETags
        self.held = self.waiting = 0
        self._free = asyncio.Semaphore(slots)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """One request, in turn of arrival."""
        if self._free.locked() and self.waiting >= self.queue:
            return _rejected()
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        try:
            if self.took_s:
                await until(asyncio.get_running_loop().time() + self.took_s)
            return await self._serve(request)
        finally:
            self._free.release()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        name = request.raw_path.partition("?")[0]
        if name.count("/") != 2 or name.endswith("/"):
            return web.Response(status=404, text="blobs are /BUCKET/BLOB\n")
        calls: dict[str, Callable[[web.BaseRequest, str], Awaitable[web.StreamResponse]]] = {
            "PUT": self._put, "GET": self._get, "HEAD": self._get, "DELETE": self._delete,
        }  # fmt: skip
        call = calls.get(request.method)
        return await call(request, name) if call else web.Response(status=405)

    async def _put(self, request: web.BaseRequest, name: str) -> web.StreamResponse:
        if self.held + (request.content_length or 0) > self.most:
            return _rejected()
        # in pieces: guards against the library's own bound on a body that is read in one go
        data = bytearray()
        async for piece in request.content.iter_any():
            data += piece
            if self.held + len(data) > self.most:
                return _rejected()
        await self._delete(request, name)
        self.held += len(data)
        self.blobs[name] = bytes(data), f'"{xxh3_64_hexdigest(data)}"'
        return web.Response(status=200, headers={"ETag": self.blobs[name][1]})

    async def _get(self, request: web.BaseRequest, name: str) -> web.StreamResponse:
        if name not in self.blobs:
            return web.Response(status=404)
        data, tag = self.blobs[name]
        if request.headers.get("If-Match", tag) != tag:
            return web.Response(status=412)
        headers = {"ETag": tag, "Accept-Ranges": "bytes"}
        span = request.http_range
        if span.start is None and span.stop is None:
            return web.Response(body=data, headers=headers)
        first, end, _ = span.indices(len(data))
        if first >= end:
            return web.Response(status=416, headers={"Content-Range": f"bytes */{len(data)}"})
        headers["Content-Range"] = f"bytes {first}-{end - 1}/{len(data)}"
        return web.Response(status=206, body=data[first:end], headers=headers)

    async def _delete(self, request: web.BaseRequest, name: str) -> web.StreamResponse:
        data, _ = self.blobs.pop(name, (b"", ""))
        self.held -= len(data)
        return web.Response(status=204)


def _rejected() -> web.Response:
    return web.Response(status=503, headers={"X-Rejected": "1"})


async def listen(box: Box, host: str, port: int) -> tuple[web.ServerRunner, int]:
    """Serve it; the port where the system chose one."""
    runner = web.ServerRunner(web.Server(box.handle, access_log=None, max_field_size=16_384))
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    return runner, int(runner.addresses[0][1])


def main(given: dict[str, Any]) -> int:
    """Until it is interrupted."""
    host, _, port = str(given["--listen"]).rpartition(":")
    numbers = {}
    for name, least in (("--slots", 1), ("--queue", 0), ("--took-ms", 0), ("--most-mb", 1)):
        text = str(given[name])
        if not text.isdigit() or int(text) < least:
            raise SettingsError(f"{name}: {text} is no whole number of at least {least}")
        numbers[name] = int(text)
    if not host.startswith("127.") or not port.isdigit():
        raise SettingsError(f"--listen: {given['--listen']} is no loopback address with a port")

    async def serve() -> None:
        box = Box(*numbers.values())
        loop, ended = asyncio.get_running_loop(), asyncio.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, ended.set)
        try:
            runner, chosen = await listen(box, host, int(port))
        except OSError as fault:
            raise SettingsError(f"--listen: {given['--listen']}: {fault.strerror}") from None
        print(f"box on {host}:{chosen}", flush=True)
        await ended.wait()
        await runner.cleanup()

    asyncio.run(serve())
    return 0
