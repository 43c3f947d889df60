"""Operators of a simulated fleet: they submit orders of maintenance, and confirm each step that is done."""

from __future__ import annotations

import asyncio
import json

from harriertide.control.maintenance_service import MaintenanceService
from harriertide.control.pending_calls import CallError
from harriertide.engine.clock import sleep_until
from harriertide.lab.simulation.maintenance_fleet import Fleet
from harriertide.maintenance.commands import SubmitOrder, decode_result, encode_command
from harriertide.maintenance.orders import Order

POLL_S = 0.2  # between two calls of an operator
CALL_TIMEOUT_S = 2.0


class _DoneRequest:
    """Stands in for the HTTP request that confirms a step."""

    method, raw_path = "POST", "/maintenance/done"

    def __init__(self, machine: str) -> None:
        self._machine = machine

    async def read(self) -> bytes:
        return json.dumps({"machine": self._machine}).encode()


class Operators:
    """Operators who call brokers drawn by the fleet's generator.

    :ivar agreed_orders: orders that were agreed on, by id
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.agreed_orders: dict[str, Order] = {}

    async def submit(self, order: Order, broker: str | None = None, within_s: float = 20.0) -> bool:
        """Submit an order again and again until it is agreed on.

        :param broker: which is called; None: one drawn for each call
        :returns: False where it was not agreed on in time
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + within_s
        while loop.time() < end_s:
            service = self._fleet.services.get(broker or self._draw_broker())
            if service is not None and await self._submit_once(service, order):
                self.agreed_orders[order.id] = order
                return True
            await sleep_until(loop.time() + POLL_S)
        return False

    async def _submit_once(self, service: MaintenanceService, order: Order) -> bool:
        command = SubmitOrder(order, service.wall_s())
        try:
            result = decode_result(await service.member.call(encode_command(command), CALL_TIMEOUT_S))
        except CallError:
            return False
        return not result.refusal

    async def confirm_steps(self, end_s: float) -> bool:
        """Confirm the work on each node that is out, until all orders have come to their end.

        What is out is read from the state of any broker that holds a lease.

        :returns: False where they have not by this time of the loop
        """
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            service = self._fleet.services.get(self._draw_broker())
            if service is not None and service.member.has_lease():
                if self._have_orders_ended(service):
                    return True
                for step in service.state_machine.state.active_steps():
                    if step.phase == "out" and step.machine in self._fleet.nodes:
                        await service.handle(_DoneRequest(step.machine))  # type: ignore[arg-type]
            await sleep_until(loop.time() + POLL_S)
        return False

    def _draw_broker(self) -> str:
        return self._fleet.random.choice(self._fleet.names)

    def _have_orders_ended(self, service: MaintenanceService) -> bool:
        state = service.state_machine.state
        have_ended = all(name in state.orders and not state.is_open(name) for name in self.agreed_orders)
        return bool(self.agreed_orders) and have_ended
