"""The operators' calls over HTTP: GET /maintenance, POST /maintenance/ACTION. Paths and JSON are theirs."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Callable
from typing import Any, Protocol

from aiohttp import web

from harriertide.control.event_log import EventSink
from harriertide.control.member import AgreementMember
from harriertide.control.order_preview import OrderPreview
from harriertide.control.pending_calls import CallError
from harriertide.control.proposals import CALL_TIMEOUT_S
from harriertide.control.step_observer import StepObserver
from harriertide.engine.log import log
from harriertide.maintenance.commands import (
    CancelOrder,
    ChangePhase,
    Command,
    MarkBrokerGone,
    PausePermits,
    SubmitOrder,
    decode_result,
    encode_command,
)
from harriertide.maintenance.facts import LeaderFacts
from harriertide.maintenance.orders import Order, OrderError, parse_order
from harriertide.maintenance.state import Step
from harriertide.maintenance.state_machine import MaintenanceStateMachine

READ_TIMEOUT_S = 1.0  # for the state to be known as of now; after that `knows` is false


class RejectedError(Exception):
    """An operator's call can't be carried out as things stand. The text is one plain line."""


class UnknownRouteError(Exception):
    """There is no such call."""


class LeaderView(Protocol):
    """What the calls ask of the service: what it has heard as leader, and its wall clock."""

    facts: LeaderFacts

    def wall_s(self) -> float:
        """Return the wall clock, in Unix seconds."""


class MaintenanceApi:
    """Answers operators, at any broker: commands go to the leader by the agreement."""

    def __init__(
        self,
        machine: MaintenanceStateMachine,
        member: AgreementMember,
        observer: StepObserver,
        preview: OrderPreview,
        events: EventSink,
        leader_view: LeaderView,
    ) -> None:
        self._machine = machine
        self._member = member
        self._observer = observer
        self._preview = preview
        self._events = events
        self._leader_view = leader_view
        self._actions: dict[str, Callable[[dict[str, Any], float], Command]] = {
            "done": self._work_done,
            "cancel": lambda body, now_s: CancelOrder(str(body["order"]), now_s),
            "hold": lambda body, now_s: PausePermits(True, now_s),
            "resume": lambda body, now_s: PausePermits(False, now_s),
            "gone": lambda body, now_s: MarkBrokerGone(str(body["broker"]), True, now_s),
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call: 400 for what can't be used, 409 for what is refused, 503 for no result in time."""
        action = request.raw_path.partition("?")[0].removeprefix("/maintenance").strip("/")
        if request.method == "GET" and not action:
            return web.json_response(await self._status())
        try:
            body = json.loads(await request.read() or b"{}")
            if not isinstance(body, dict):
                raise ValueError("not an object")
            if request.method != "POST":
                raise UnknownRouteError
            if action == "plan":
                return web.json_response(await self._plan(body))
            return web.json_response(await self._command(action, body))
        except OrderError as error:
            return _refuse(400, str(error))
        except UnknownRouteError:
            return _refuse(404, "no such route")
        except RejectedError as error:
            return _refuse(409, str(error))
        except CallError as error:
            return _refuse(503, str(error))
        except (ValueError, KeyError, TypeError) as error:
            return _refuse(400, f"can't be used: {error}")

    # --- commands -------------------------------------------------------------------------------------

    async def _command(self, action: str, body: dict[str, Any]) -> dict[str, Any]:
        now_s = self._leader_view.wall_s()
        if action == "request":
            command: Command = await self._submit_order(body, now_s)
        elif action in self._actions:
            command = self._actions[action](body, now_s)
        else:
            raise UnknownRouteError
        result = decode_result(await self._member.call(encode_command(command), CALL_TIMEOUT_S))
        self._events.write("told", what=action, refused=result.refusal)
        if result.refusal:
            log("operator's maintenance call refused", call=action, reason=result.refusal)
            raise RejectedError(result.refusal)
        log("operator's maintenance call agreed on", call=action, index=self._member.applied_index)
        return {"agreed": True, "index": self._member.applied_index}

    async def _submit_order(self, body: dict[str, Any], now_s: float) -> SubmitOrder:
        """`from` is the digest of the state that a plan was made for."""
        if "from" in body and body["from"] != self._preview.state_digest():
            raise RejectedError("the state has moved since the plan was made")
        return SubmitOrder(await self._parse_order(body, now_s), now_s)

    def _work_done(self, body: dict[str, Any], now_s: float) -> ChangePhase:
        machine = body["machine"]
        step = self._machine.state.find_active_step(str(machine))
        if step is None or step.phase != "out":
            raise RejectedError(f"{machine} is not out")
        return ChangePhase(step.machine, step.fence, "returning", now_s, "done")

    async def _plan(self, body: dict[str, Any]) -> dict[str, Any]:
        now_s = self._leader_view.wall_s()
        order = await self._parse_order(body, now_s)
        return self._preview.preview(order, self._leader_view.facts, now_s)

    async def _parse_order(self, body: dict[str, Any], now_s: float) -> Order:
        """Check an order against the inventory, after all that was agreed on by now."""
        raw = _read_order(body)
        await self._member.read(READ_TIMEOUT_S)
        machines = self._machine.state.machines
        if not machines:
            raise CallError("which machines there are is not agreed on yet; ask again")
        return parse_order(raw, machines, now_s)

    # --- status ---------------------------------------------------------------------------------------

    async def _status(self) -> dict[str, Any]:
        """For people and scripts; `knows` says whether this broker can tell how things stand."""
        now_us = self._member.now_us()
        knows = await self._member.read(READ_TIMEOUT_S)
        state, member = self._machine.state, self._member
        return {
            "name": member.name,
            "knows": knows,
            "leader": member.leader,
            "held": state.permits_paused,
            "leased": now_us < member.lease_end_us,
            "applied": member.applied_index,
            "halted": member.halted,
            "failed": sorted(state.failed_since_s),
            "gone": sorted(state.gone_brokers),
            "voters": member.voter_names,
            "orders": [self._order_status(order, now_us) for order in state.orders],
        }

    def _order_status(self, order: str, now_us: int) -> dict[str, Any]:
        state = self._machine.state
        return {
            "order": order,
            "over": not state.is_open(order),
            "cancelled": order in state.cancelled,
            "steps": [self._step_status(step, now_us) for step in state.steps[order].values()],
        }

    def _step_status(self, step: Step, now_us: int) -> dict[str, Any]:
        return {
            "machine": step.machine,
            "phase": step.phase,
            "fence": step.fence,
            "for_s": self._observer.phase_age_s(step, now_us),
            "overdue": step.overdue,
            "waits": self._member.wait_reasons.get(f"{step.order}/{step.machine}", []),
        }


def _refuse(status: int, reason: str) -> web.Response:
    return web.json_response({"reason": reason}, status=status)


def _read_order(body: dict[str, Any]) -> dict[str, Any]:
    """An order as it comes: the text of its file, or its keys."""
    if "text" in body:
        try:
            return tomllib.loads(str(body["text"]))
        except tomllib.TOMLDecodeError as error:
            raise OrderError(f"not TOML: {error}") from None
    return {key: value for key, value in body.items() if key != "from"}
