"""The daemon's side of plan and apply, on a loopback address."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

from aiohttp import web

from harriertide.config.diff import digest
from harriertide.config.model import OperatorFileError, State, read_state


class Admin:
    """Shows the running state, and takes a new one only from who knows the present one."""

    def __init__(self, state: Callable[[], State], enact: Callable[[State], None]) -> None:
        self._state, self._enact = state, enact
        # routes of a subsystem that is switched on: its first part of the path, and who answers it
        self.more: dict[str, Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]] = {}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """GET /state and POST /apply."""
        if request.method == "GET" and request.raw_path == "/state":
            state = self._state()
            return web.json_response({"digest": digest(state), "state": state})
        further = self.more.get(request.raw_path.split("/")[1])
        if further is not None:
            return await further(request)
        if request.method != "POST" or request.raw_path != "/apply":
            return web.json_response({"reason": "no such route"}, status=404)
        try:
            asked = json.loads(await request.read())
            start, state = str(asked["from"]), read_state(asked["state"])
        except OperatorFileError as fault:
            return web.json_response({"reason": str(fault)}, status=400)
        except (ValueError, KeyError, TypeError):
            return web.json_response({"reason": "not a plan"}, status=400)
        # no await from here on: nothing can move the state between the look and the change
        if start != digest(self._state()):
            return web.json_response({"reason": "the state has moved since the plan was made"}, status=409)
        try:
            self._enact(state)
        except OperatorFileError as fault:
            return web.json_response({"reason": str(fault)}, status=400)
        return web.json_response({"digest": digest(state)})
