"""What a connection may hold of a request, and that all limits of a process stay within its memory."""

from __future__ import annotations

import asyncio

import pytest

from harriertide.http.buffer_budget import BufferBudget
from harriertide.http.client_connection import MAX_HEAD_BYTES
from harriertide.http.errors import MemoryShortError
from harriertide.http.limits import (
    BUFFER_KIND_COUNT,
    CLIENT_CONNECTION_BYTES,
    MIN_BUFFER_BYTES,
    NODE_CONNECTION_BYTES,
    Limits,
)
from harriertide.platform.request_memory import (
    BODY_ALLOTMENT_BYTES,
    FIELD_BYTES,
    HEAD_ALLOTMENT_BYTES,
    MAX_SHORT_BODY_BYTES,
    STREAM_BYTES,
    BodyPlan,
    HeadTooLongError,
    RequestMemory,
)
from tests.socket_broker import SocketBroker, receive_all, request_head, run_with_broker, send_response

MIB = 1 << 20
ORDINARY_HEAD = b"GET /api HTTP/1.1\r\n" + b"X-Field: some value\r\n" * 10 + b"\r\n"


# Guards against limits that hold one by one and together pass the memory: 44 MB and 16 MB of 32.
@pytest.mark.parametrize("sockets", [64, 256, 1024, 4096])
@pytest.mark.parametrize("memory_mb", [32, 48, 96, 192, 2048])
def test_all_limits_together_stay_within_the_memory(memory_mb: int, sockets: int) -> None:
    limits = Limits.from_resources(sockets, memory_mb)
    connection_bytes = (
        limits.max_client_connections * CLIENT_CONNECTION_BYTES
        + limits.max_node_connections * NODE_CONNECTION_BYTES
    )
    buffer_bytes = (
        limits.max_buffered_request_bytes + limits.max_buffered_response_bytes + limits.max_unsent_bytes
    )
    assert limits.own_memory_bytes + connection_bytes + buffer_bytes <= memory_mb * MIB


# Guards against two processes of an upgrade that count the whole memory each.
@pytest.mark.parametrize("memory_mb", [96, 192])
def test_the_limits_of_two_processes_stay_within_the_memory(memory_mb: int) -> None:
    half = Limits.from_resources(1024, memory_mb).half()
    buffer_bytes = BUFFER_KIND_COUNT * half.max_buffer_bytes
    assert 2 * (half.own_memory_bytes + buffer_bytes) + half.connection_bytes <= memory_mb * MIB


def test_a_process_that_needs_more_for_itself_leaves_less_to_connections_and_buffers() -> None:
    limits = Limits.from_resources(1024, 64)
    larger = limits.with_own_memory(50 * MIB)
    assert larger.max_client_connections < limits.max_client_connections
    assert MIN_BUFFER_BYTES <= larger.max_buffer_bytes < limits.max_buffer_bytes
    assert limits.with_own_memory(1 * MIB) == limits


def test_an_ordinary_head_needs_no_reservation_and_one_of_many_fields_does() -> None:
    budget = BufferBudget(MIB)
    memory = RequestMemory(budget)
    memory.add_head_data(ORDINARY_HEAD)
    assert budget.reserved_bytes == 0
    memory.clear()
    memory.add_head_data(b"GET /api HTTP/1.1\r\n" + b"a:1\r\n" * 120)
    assert budget.reserved_bytes > 90 * FIELD_BYTES
    memory.clear()
    assert budget.reserved_bytes == 0


def test_a_head_is_bounded_as_a_whole_however_it_is_divided() -> None:
    memory = RequestMemory(BufferBudget(100 * MIB))
    with pytest.raises(HeadTooLongError):
        for _ in range(MAX_HEAD_BYTES // 1000 + 1):
            memory.add_head_data(b"x" * 1000)


def test_a_head_without_memory_is_refused_as_harmless() -> None:
    budget = BufferBudget(10_000)
    assert budget.reserve(10_000)
    with pytest.raises(MemoryShortError, match="trying again is harmless"):
        RequestMemory(budget).add_head_data(b"a:1\r\n" * 120)


def test_bodies_are_buffered_streamed_or_refused_as_memory_runs_out() -> None:
    budget = BufferBudget(8 * MIB)
    plans: list[BodyPlan] = []
    with pytest.raises(MemoryShortError):
        while True:
            plans.append(RequestMemory(budget).plan_body(400_000))
    buffered_count = plans.count(BodyPlan.BUFFER)
    assert plans == [BodyPlan.BUFFER] * buffered_count + [BodyPlan.STREAM] * (len(plans) - buffered_count)
    assert buffered_count == 4 * MIB // (800_000 - BODY_ALLOTMENT_BYTES)
    assert budget.reserved_bytes <= 8 * MIB < budget.reserved_bytes + STREAM_BYTES


def test_a_body_of_unknown_length_is_counted_as_it_grows() -> None:
    budget = BufferBudget(8 * MIB)
    memory = RequestMemory(budget)
    assert memory.plan_body(0) is BodyPlan.BUFFER and budget.reserved_bytes == 0
    for received in range(0, MAX_SHORT_BODY_BYTES, 4096):
        assert memory.grow_body(received) is BodyPlan.BUFFER
        assert budget.reserved_bytes >= received - BODY_ALLOTMENT_BYTES
    assert memory.grow_body(2 * MIB) is BodyPlan.STREAM
    assert budget.reserved_bytes >= 2 * MIB - BODY_ALLOTMENT_BYTES


# Guards against ordinary writes that are refused because others use up the memory for large requests.
def test_a_short_body_needs_no_reservation() -> None:
    budget = BufferBudget(10_000)
    assert budget.reserve(10_000)
    memory = RequestMemory(budget)
    assert memory.plan_body(BODY_ALLOTMENT_BYTES) is BodyPlan.BUFFER
    with pytest.raises(MemoryShortError):
        memory.plan_body(BODY_ALLOTMENT_BYTES + 1)
    chunked = RequestMemory(budget)
    assert chunked.plan_body(0) is chunked.grow_body(BODY_ALLOTMENT_BYTES) is BodyPlan.BUFFER
    with pytest.raises(MemoryShortError):
        chunked.grow_body(BODY_ALLOTMENT_BYTES + 1)


# Guards against a body that is read, and takes memory, where there is none for it.
def test_a_body_without_memory_is_refused_at_its_head_and_the_next_request_is_served() -> None:
    async def scenario(broker: SocketBroker) -> None:
        broker.daemon.memory.requests.limit_bytes = 10_000
        client = broker.connect()
        client.sendall(request_head(broker, "Content-Length: 60000\r\nExpect: 100-continue\r\n", "PUT"))
        answer = await receive_all(client)
        assert b" 503 " in answer.splitlines()[0] and b"trying again is harmless" in answer
        client = broker.connect()
        client.sendall(request_head(broker, "Connection: close\r\n", "GET"))
        send_response(await broker.next_request())
        assert b" 200 " in (await receive_all(client)).splitlines()[0]
        assert broker.daemon.front.counts["refused_MemoryShortError"] == 1

    run_with_broker(scenario)


# Guards against the fields of a large head that stay in the parser of an idle connection.
def test_an_idle_connection_holds_nothing_of_its_last_request() -> None:
    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        fields = "".join(f"x{number}: 1\r\n" for number in range(100))
        client.sendall(request_head(broker, fields, "GET"))
        at_node = await broker.next_request()
        (connection,) = broker.daemon.clients.in_state("busy")
        parser = connection._parser
        assert broker.daemon.memory.requests.reserved_bytes > 90 * FIELD_BYTES - HEAD_ALLOTMENT_BYTES
        send_response(at_node)
        await receive_all(client, b"ok")
        assert connection.state == "idle" and connection._parser is not parser
        assert connection.fields == {}  # type: ignore[attr-defined]
        assert broker.daemon.memory.requests.reserved_bytes == 0
        client.sendall(request_head(broker, "Connection: close\r\n", "GET"))
        send_response(await broker.next_request())
        assert (await receive_all(client)).endswith(b"ok")

    run_with_broker(scenario)


# Guards against output without bound for a client that sends requests and reads no response.
def test_a_request_before_the_last_response_was_read_ends_the_connection() -> None:
    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker, "", "GET"))
        send_response(await broker.next_request(), body=bytes(20 * MIB))
        async with asyncio.timeout(5):
            while not broker.daemon.clients.unsent_bytes():
                await asyncio.sleep(0.005)
        client.sendall(request_head(broker, "", "GET"))
        await broker.wait_until_settled()
        assert broker.daemon.core.counts["taken"] == 1
        assert broker.daemon.clients.unsent_bytes() < MIB

    run_with_broker(scenario)
