"""The operators' HTTP API: GET /maintenance and POST /maintenance/ACTION.

Paths and JSON keys are a public interface.
"""

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

READ_TIMEOUT_S = 1.0  # for a linearizable read; `knows` is false if it times out


class RejectedError(Exception):
    """An operator's call conflicts with the current state. The message is a single line."""


class UnknownRouteError(Exception):
    """The method or the path of a call is unknown."""


class LeaderView(Protocol):
    """The part of the service that the API uses: the facts gathered as leader, and the wall clock."""

    facts: LeaderFacts

    def wall_s(self) -> float:
        """Return the wall clock, in Unix seconds."""


class MaintenanceApi:
    """Answers operators on any broker; commands are forwarded to the Raft leader."""

    def __init__(
        self,
        state_machine: MaintenanceStateMachine,
        member: AgreementMember,
        observer: StepObserver,
        preview: OrderPreview,
        events: EventSink,
        leader_view: LeaderView,
    ) -> None:
        self._state_machine = state_machine
        self._member = member
        self._observer = observer
        self._preview = preview
        self._events = events
        self._leader_view = leader_view
        self._actions: dict[str, Callable[[dict[str, Any], float], Command]] = {
            "done": self._confirm_work_done,
            "cancel": lambda body, now_s: CancelOrder(str(body["order"]), now_s),
            "hold": lambda body, now_s: PausePermits(True, now_s),
            "resume": lambda body, now_s: PausePermits(False, now_s),
            "gone": lambda body, now_s: MarkBrokerGone(str(body["broker"]), True, now_s),
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call.

        Errors: 400 for invalid input, 404 for an unknown route, 409 for a refusal, 503 for no result in time.
        """
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
                return web.json_response(await self._preview_order(body))
            return web.json_response(await self._run_command(action, body))
        except OrderError as error:
            return _error_response(400, str(error))
        except UnknownRouteError:
            return _error_response(404, "no such route")
        except RejectedError as error:
            return _error_response(409, str(error))
        except CallError as error:
            return _error_response(503, str(error))
        except (ValueError, KeyError, TypeError) as error:
            return _error_response(400, f"can't be used: {error}")

    # --- commands -------------------------------------------------------------------------------------

    async def _run_command(self, action: str, body: dict[str, Any]) -> dict[str, Any]:
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
            log("operator's maintenance call rejected", call=action, reason=result.refusal)
            raise RejectedError(result.refusal)
        log("operator's maintenance call committed", call=action, index=self._member.applied_index)
        return {"agreed": True, "index": self._member.applied_index}

    async def _submit_order(self, body: dict[str, Any], now_s: float) -> SubmitOrder:
        """Build the command for a new order.

        `from` is the digest of the state for which a plan was made; another digest rejects the order.
        """
        if "from" in body and body["from"] != self._preview.state_digest():
            raise RejectedError("the state has moved since the plan was made")
        return SubmitOrder(await self._parse_order(body, now_s), now_s)

    def _confirm_work_done(self, body: dict[str, Any], now_s: float) -> ChangePhase:
        machine = body["machine"]
        step = self._state_machine.state.find_active_step(str(machine))
        if step is None or step.phase != "out":
            raise RejectedError(f"{machine} is not out")
        return ChangePhase(step.machine, step.fence, "returning", now_s, "done")

    async def _preview_order(self, body: dict[str, Any]) -> dict[str, Any]:
        now_s = self._leader_view.wall_s()
        order = await self._parse_order(body, now_s)
        return self._preview.preview(order, self._leader_view.facts, now_s)

    async def _parse_order(self, body: dict[str, Any], now_s: float) -> Order:
        """Parse an order and check it against the inventory, after a linearizable read."""
        raw_order = _decode_order(body)
        await self._member.read(READ_TIMEOUT_S)
        machines = self._state_machine.state.machines
        if not machines:
            raise CallError("which machines there are is not agreed on yet; ask again")
        return parse_order(raw_order, machines, now_s)

    # --- status ---------------------------------------------------------------------------------------

    async def _status(self) -> dict[str, Any]:
        """Return the status for people and scripts; `knows` says whether the state is up to date."""
        now_us = self._member.now_us()
        knows = await self._member.read(READ_TIMEOUT_S)
        state, member = self._state_machine.state, self._member
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

    def _order_status(self, order_name: str, now_us: int) -> dict[str, Any]:
        state = self._state_machine.state
        return {
            "order": order_name,
            "over": not state.is_open(order_name),
            "cancelled": order_name in state.cancelled,
            "steps": [self._step_status(step, now_us) for step in state.steps[order_name].values()],
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


def _error_response(status: int, reason: str) -> web.Response:
    return web.json_response({"reason": reason}, status=status)


def _decode_order(body: dict[str, Any]) -> dict[str, Any]:
    """Return the raw order from a body that holds either the text of an order file or its keys."""
    if "text" in body:
        try:
            return tomllib.loads(str(body["text"]))
        except tomllib.TOMLDecodeError as error:
            raise OrderError(f"not TOML: {error}") from None
    return {key: value for key, value in body.items() if key != "from"}
