"""A broker with half of its room: crowds that hold connections, requests on new ones, a stop among them."""

from __future__ import annotations

import asyncio
import socket

import pytest

from harriertide.cli import shutdown
from harriertide.http.limits import Limits
from tests.test_bodies import all_of, ask
from tests.test_crossings import House, answer, inside

LIMITS = Limits.from_resources(96, 40)  # some 40 connections of clients
BATCHES, BATCH, HONEST = 10, 60, 5
HALF_A_HEAD = b"GET /api HTTP/1.1\r\nHost: "


def crowd(house: House) -> list[socket.socket]:
    """Connections of which every second says nothing, and the others half of a head."""
    members = [house.client() for _ in range(BATCH)]
    for member in members[::2]:
        member.sendall(HALF_A_HEAD)
    return members


async def served(house: House, client: socket.socket) -> None:
    """A request on this connection is answered."""
    client.sendall(ask(house, "Connection: close\r\n"))
    answer(await house.asked())
    assert (await all_of(client)).startswith(b"HTTP/1.1 200 ")


def test_requests_on_new_connections_are_served_among_hundreds_that_hold_theirs() -> None:
    """Hundreds of connections send nothing, or half of a head, and there is room for forty.

    Requests on new ones are served all the same: connections that do nothing are evicted for them.
    """

    async def play(house: House) -> None:
        members: list[socket.socket] = []
        for _ in range(BATCHES):
            members += crowd(house)
            for _ in range(HONEST):
                await served(house, house.client())
            assert len(house.daemon.clients) <= LIMITS.max_client_connections + 1
        assert house.daemon.core.counts["served"] == BATCHES * HONEST
        for member in members:
            member.close()

    inside(play, limits=LIMITS)


def test_a_head_that_takes_two_seconds_is_served_beside_connections_that_rest() -> None:
    """A slow client needs two seconds for its head, within its time.

    Others that come and go do not cost it its connection.
    """

    async def play(house: House) -> None:
        client, request = house.client(), ask(house, "Connection: close\r\n")
        step = len(request) // 10 + 1
        for at in range(0, len(request), step):
            client.sendall(request[at : at + step])
            house.client().close()
            await asyncio.sleep(0.2)
        answer(await house.asked())
        assert (await all_of(client)).startswith(b"HTTP/1.1 200 ")

    inside(play, limits=LIMITS)


def test_a_stop_among_a_crowd_serves_what_comes_and_ends_in_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """The broker is told to stop while a crowd holds its connections.

    What is under way and what still comes is served, and the crowd does not delay the end.
    """
    monkeypatch.setattr(shutdown, "ACCEPT_GRACE_S", 0.3)

    async def play(house: House) -> None:
        loop = asyncio.get_running_loop()
        members = crowd(house)
        await served(house, house.client())
        under_way = house.client()
        under_way.sendall(ask(house, "Connection: close\r\n"))
        node = await house.asked()
        begun, stopping = loop.time(), asyncio.create_task(house.stop())
        await asyncio.sleep(0.05)
        await served(house, house.client())  # the front still sends some
        answer(node)
        assert (await all_of(under_way)).startswith(b"HTTP/1.1 200 ")
        await stopping
        longest_s = max(kind.deadline_us for kind in house.daemon.core.settings.classes) / 1e6
        assert loop.time() - begun < longest_s + shutdown.SHUTDOWN_SLACK_S + 1.0
        for member in members:
            member.close()

    inside(play, limits=LIMITS)
