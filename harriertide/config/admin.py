"""The daemon's side of plan and apply, on a loopback address."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

from aiohttp import web

from harriertide.config.errors import OperatorFileError
from harriertide.config.operator_file import State, read_state
from harriertide.config.state_diff import digest

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class AdminApi:
    """Shows the running state, and takes a new one only from a caller that knows the present one.

    :param read_running_state: the state that is in force.
    :param enact: put another one in force; raises OperatorFileError where it can't be.
    """

    def __init__(self, read_running_state: Callable[[], State], enact: Callable[[State], None]) -> None:
        self._read_running_state = read_running_state
        self._enact = enact
        self._subsystems: dict[str, Handler] = {}

    def add_subsystem(self, name: str, handler: Handler) -> None:
        """Have a subsystem that is switched on answer every path below `/NAME`."""
        self._subsystems[name] = handler

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer `GET /state`, `POST /apply`, or a call of a subsystem."""
        if request.method == "GET" and request.raw_path == "/state":
            state = self._read_running_state()
            return web.json_response({"digest": digest(state), "state": state})
        subsystem = self._subsystems.get(request.raw_path.split("/")[1])
        if subsystem is not None:
            return await subsystem(request)
        if request.method == "POST" and request.raw_path == "/apply":
            return self._apply(await request.read())
        return _refuse(404, "no such route")

    def _apply(self, body: bytes) -> web.Response:
        """Put a planned state in force. Nothing here awaits: the state can't move between look and change."""
        try:
            plan = json.loads(body)
            planned_from = str(plan["from"])
            state = read_state(plan["state"])
        except OperatorFileError as error:
            return _refuse(400, str(error))
        except (ValueError, KeyError, TypeError):
            return _refuse(400, "not a plan")
        if planned_from != digest(self._read_running_state()):
            return _refuse(409, "the state has moved since the plan was made")
        try:
            self._enact(state)
        except OperatorFileError as error:
            return _refuse(400, str(error))
        return web.json_response({"digest": digest(state)})


def _refuse(status: int, reason: str) -> web.Response:
    return web.json_response({"reason": reason}, status=status)
