"""Guards against an id that runs twice when it comes again after its client has left."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.core.requests import MAX_EXECUTED_IDS
from harriertide.decide import api
from tests.helpers import SETTINGS, START_US
from tests.scripted import NODES_LISTED
from tests.socket_broker import SocketBroker, receive_all, run_with_broker, send_response
from tests.test_net import WIRE


def wire(effect: str) -> dict[str, Any]:
    """Settings whose only class has this effect."""
    return {**WIRE, "classes": [{**WIRE["classes"][0], "effect": effect}]}


# Guards against a write that may run once only and runs again: its client left, and the same id came anew.
@pytest.mark.parametrize("effect", ["at_most_once", "deduplicated"])
@pytest.mark.parametrize("status", [200, 500])
def test_an_id_that_may_have_run_for_a_client_that_left_does_not_run_again(effect: str, status: int) -> None:
    async def scenario(broker: SocketBroker) -> None:
        request = broker.request("PUT")
        client = broker.connect()
        client.sendall(request)
        at_node = await broker.next_request()
        client.close()
        async with asyncio.timeout(5):
            while not broker.daemon.core.counts["left"]:
                await asyncio.sleep(0.005)
        send_response(at_node, status)
        await broker.wait_until_settled()
        again = broker.connect()
        again.sendall(request)
        assert b" 400 " in (await receive_all(again)).splitlines()[0]
        await broker.wait_until_settled()
        assert broker.node.requests.empty()

    run_with_broker(scenario, wire=wire(effect))


@pytest.mark.parametrize("effect", ["idempotent", "at_most_once"])
def test_an_id_that_has_not_run_or_may_run_again_is_served(effect: str) -> None:
    """The client of a write that may run once only leaves before its attempt has begun."""

    async def scenario(broker: SocketBroker) -> None:
        request = broker.request("PUT")
        client = broker.connect()
        client.sendall(request)
        if effect == "at_most_once":
            client.close()
        else:
            at_node = await broker.next_request()
            client.close()
            send_response(at_node)
        async with asyncio.timeout(5):
            while not broker.daemon.core.counts["left"]:
                await asyncio.sleep(0.005)
        await broker.wait_until_settled()
        again = broker.connect()
        again.sendall(request.replace(b"Host: x", b"Host: x\r\nConnection: close"))
        send_response(await broker.next_request())
        assert b" 200 " in (await receive_all(again)).splitlines()[0]

    run_with_broker(scenario, wire=wire(effect))


def test_ids_that_may_have_run_are_remembered_up_to_a_number() -> None:
    """Guards against memory that grows with clients that leave."""
    core = Reducer(replace(SETTINGS, broker_count=1, peer_messages_allowed=False), 1)
    core.step(START_US, [NODES_LISTED])
    now_us = START_US
    for number in range(MAX_EXECUTED_IDS + 500):
        now_us += 10_000
        request_id = f"r{number}"
        arrival = api.Arrival(request_id, 2, 0, "v", number % 2, now_us + 1_000_000, 1.0)
        effects = core.step(now_us, [ev.RequestArrived(arrival)])
        core.step(now_us + 1, [ev.ClientDisconnected(request_id)])
        started = [effect for effect in effects if isinstance(effect, ev.StartAttempt)]
        core.step(now_us + 2, [ev.AttemptFinished(each.request_id, each.attempt, "ok") for each in started])
    remembered = sum(not core.is_id_usable(f"r{number}") for number in range(MAX_EXECUTED_IDS + 500))
    assert MAX_EXECUTED_IDS / 2 < remembered <= MAX_EXECUTED_IDS
