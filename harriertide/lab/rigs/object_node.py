"""A stand-in storage node for objects: blobs in memory, and a row of the log for each request that came."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web
from xxhash import xxh3_64_hexdigest

from harriertide.engine.clock import sleep_until
from harriertide.http.transfer_coding import TransferCodingError, check_body_coding
from harriertide.lab.rigs.fault_script import HOST


class ObjectNode:
    """Serves PUT, GET and DELETE.

    :param service_s: how long an answer takes
    :param on_request: told of the method and path of each request that comes
    """

    def __init__(self, name: str, service_s: float, on_request: Callable[[str, str, str], None]) -> None:
        self.name = name
        self.port = 0
        self._service_s = service_s
        self._on_request = on_request
        self._blobs: dict[str, bytes] = {}

    async def open(self, again: bool = False) -> None:
        """Serve.

        :param again: at the port that it had
        """
        server = web.Server(self._handle, access_log=None, auto_decompress=False)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, HOST, self.port if again else 0)
        await site.start()
        self.port = int(self._runner.addresses[0][1])

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.raw_path
        self._on_request(self.name, request.method, path)
        try:
            check_body_coding(request)
        except TransferCodingError as error:
            return web.Response(status=error.status, text=f"{error}\n")
        await sleep_until(asyncio.get_running_loop().time() + self._service_s)
        if request.method == "PUT":
            self._blobs[path] = await request.read()
        elif request.method == "DELETE":
            self._blobs.pop(path, None)
            return web.Response(status=204)
        elif path not in self._blobs:
            return web.Response(status=404)
        data = self._blobs[path]
        headers = {"ETag": f'"{xxh3_64_hexdigest(data)}"'}
        return web.Response(body=b"" if request.method == "PUT" else data, headers=headers)

    async def close(self) -> None:
        """Serve no more."""
        await self._runner.cleanup()
