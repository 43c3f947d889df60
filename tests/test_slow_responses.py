"""Responses that a node writes with pauses, and responses that never end."""

from __future__ import annotations

import asyncio

import pytest

from harriertide.decide import api
from tests.helpers import BrokerUnderTest, started_attempts
from tests.scenario import HttpConnection
from tests.socket_broker import (
    LONG_BODY,
    RESPONSE_HEAD,
    SocketBroker,
    receive_all,
    request_head,
    response_body,
    run_with_broker,
    send_response,
)
from tests.socket_broker import short_shutdown as short_shutdown  # a fixture
from tests.test_net import WIRE

PAUSE_S = 0.1  # between two pieces, and between the head and the first one
OBJECTIVE_S = WIRE["classes"][0]["sloUs"] / 1e6
SHORT_BODY = LONG_BODY[:3_000]
RESPONSES = {
    "long, with a length": (
        RESPONSE_HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG_BODY),
        LONG_BODY,
        20_000,
    ),
    "long, in chunks": (RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", LONG_BODY, 20_000),
    "short, with a length": (RESPONSE_HEAD + b"Content-Length: 3000\r\n\r\n", SHORT_BODY, 500),
    "short, in chunks": (RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", SHORT_BODY, 500),
}


async def write_with_pauses(connection: HttpConnection, head: bytes, body: bytes, piece_size: int) -> None:
    """Write the head in two pieces and the body in pieces of this size, with a pause before each."""
    pieces = [body[first : first + piece_size] for first in range(0, len(body), piece_size)]
    if b"chunked" in head:
        pieces = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces] + [b"0\r\n\r\n"]
    for piece in [head[:20], head[20:], *pieces]:
        connection.writer.write(piece)
        await asyncio.sleep(PAUSE_S)


@pytest.mark.parametrize(("head", "body", "piece_size"), RESPONSES.values(), ids=RESPONSES.keys())
def test_a_response_that_its_node_writes_with_pauses_is_passed_on_whole(
    head: bytes, body: bytes, piece_size: int
) -> None:
    """Guards against a response that is cut off although its node still gives it, at each attempt."""

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        client.sendall(request_head(broker, "Connection: close\r\n"))
        connection = await broker.next_request()
        writing = asyncio.create_task(write_with_pauses(connection, head, body, piece_size))
        received = await receive_all(client)
        assert b" 200 " in received[:15] and response_body(received) == body
        assert broker.daemon.core.counts["attempts"] == 1
        await writing

    run_with_broker(scenario)


@pytest.mark.parametrize(
    "start",
    [b"HTTP/1.1 200", RESPONSE_HEAD + b"Content-Length: 3000\r\n\r\nxx"],
    ids=["within its head", "within its body"],
)
def test_a_response_that_never_ends_is_given_up_in_time_for_another_attempt(start: bytes) -> None:
    """A node states more than it sends, on an open connection: another attempt meets the objective."""

    async def scenario(broker: SocketBroker) -> None:
        loop = asyncio.get_running_loop()
        client = broker.connect()
        sent_at = loop.time()
        client.sendall(request_head(broker, "Connection: close\r\n"))
        (await broker.next_request()).writer.write(start)
        send_response(await broker.next_request())
        assert (await receive_all(client)).endswith(b"ok")
        assert loop.time() - sent_at < OBJECTIVE_S

    run_with_broker(scenario)


def test_a_response_that_is_not_complete_at_the_deadline_says_that_its_node_lives() -> None:
    """Guards against a node that is ejected for its pauses: it was heard, as with a malformed response."""

    async def scenario(broker: SocketBroker) -> None:
        client = broker.connect()
        request = request_head(broker, "Connection: close\r\n").replace(b"Budget-Ms: 1500", b"Budget-Ms: 100")
        client.sendall(request)
        connection = await broker.next_request()
        connection.writer.write(RESPONSE_HEAD + b"Content-Length: 100000\r\n\r\n")
        assert b" 503 " in (await receive_all(client))[:15]
        counts = broker.daemon.core.counts
        assert counts["outcome_timeout"] == 0 and counts["outcome_incomplete"] == 1

    run_with_broker(scenario)


# --- how long a pause may be -------------------------------------------------------------------------


EXPECTED_US = 20_000  # the latency of the answers before
OBJECTIVE_US, DEADLINE_US = 300_000, 2_000_000  # of tests.helpers


def limits_by_attempt(request_class: int) -> list[api.SilenceLimits]:
    """The limits of each attempt of a request whose attempts all fail after EXPECTED_US."""
    broker = BrokerUnderTest()
    for _ in range(20):
        broker.request(request_class)
        broker.finish_attempt(f"r{broker.request_count}", after_us=EXPECTED_US)
    actions = broker.request(request_class)
    request_id, limits = f"r{broker.request_count}", []
    while started := started_attempts(actions):
        attempt = len(limits)
        limits.append(started[0].silence)
        actions = broker.finish_attempt(request_id, "error", attempt, after_us=EXPECTED_US)
    return limits


def test_a_pause_may_take_half_of_what_another_attempt_can_spare() -> None:
    """First the objective decides, then the deadline; the last attempt has nothing to be given up for."""
    first, second, last = limits_by_attempt(0)
    tolerance_us = EXPECTED_US / 2
    within_deadline_us = (DEADLINE_US - 3 * EXPECTED_US) / 2
    assert first.sized_us == pytest.approx((OBJECTIVE_US - 2 * EXPECTED_US) / 2, abs=tolerance_us)
    assert first.unsized_us == pytest.approx(within_deadline_us, abs=2 * tolerance_us)
    assert second.sized_us == second.unsized_us == pytest.approx(within_deadline_us, abs=tolerance_us)
    assert last == api.NO_SILENCE_LIMITS


def test_a_request_that_may_not_be_repeated_waits_for_its_response() -> None:
    """Guards against a request that fails for a pause, though no other attempt may follow."""
    assert limits_by_attempt(2) == [api.NO_SILENCE_LIMITS]


def test_an_attempt_that_leaves_no_time_for_another_is_not_given_up() -> None:
    """The deadline is too near for a second attempt after a pause."""
    broker = BrokerUnderTest()
    broker.request()
    broker.finish_attempt("r1", after_us=100_000)
    actions = broker.request(deadline_at_us=broker.now_us + 250_000)
    assert [started.silence for started in started_attempts(actions)] == [api.NO_SILENCE_LIMITS]
