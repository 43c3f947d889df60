"""A daemon that stays up for weeks must be level: nothing is kept per request, client, volume, node or
connection beyond its use."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from harriertide.cli.daemon import Daemon
from harriertide.core import events as ev
from harriertide.core.reducer import Reducer
from harriertide.decide import api, derived
from harriertide.decide.peer_messages import (
    LeaseVote,
    LeaseVoteRequest,
    PeerMessage,
    QuotaGrant,
    QuotaRequest,
    encode,
)
from harriertide.decide.state import PRIORITY_BAND_COUNT
from harriertide.engine.clock import until
from tests.container_sizes import container_sizes
from tests.helpers import SETTINGS, START_US, bid_datagram
from tests.test_net import play

REQUESTS, NODES, STEP_US = 100_000, 2_000, 5_000
SHARDS, EACH = 4, 3  # nodes of a shard at a time
MOST = 64  # members of any container at rest


def churn(core: Reducer, requests: int, nodes: int, seed: int = 1, step_us: int = STEP_US) -> int:
    """Requests that end in every way, for volumes that come and go, while each node is replaced in turn."""
    draw = random.Random(seed)
    now, made = START_US, 0
    listed: list[api.NodeEntry] = []
    out: list[ev.StartAttempt] = []

    def news(kind: str, entry: api.NodeEntry, state: str) -> ev.Event:
        return ev.EndpointsUpdated(api.EndpointUpdate(kind, (replace(entry, state=state),)))  # type: ignore[arg-type]

    for number in range(requests):
        now += step_us
        happened: list[ev.Event] = []
        while made < SHARDS * EACH or made * requests < number * nodes:
            entry = api.NodeEntry(f"n{made}", made % SHARDS, "live", 0, now if made % 5 == 0 else 0)
            made += 1
            if len(listed) >= SHARDS * EACH:
                old = listed.pop(0)
                happened.append(news("delta", old, "draining"))
                if made % 3:
                    happened.append(news("delta", old, "gone"))
                else:  # it is merely not named any more
                    happened.append(ev.EndpointsUpdated(api.EndpointUpdate("full", tuple(listed))))
            listed.append(entry)
            happened.append(news("delta", entry, "live"))
        volume, plan = f"v{number // 20}", number % 2
        happened.append(
            ev.RequestArrived(
                api.Arrival(
                    f"r{number}", number % 4, plan, volume, draw.randrange(-1, SHARDS), now + 500_000, 2.0,
                    f"k{number // 3}",
                )
            )
        )  # fmt: skip
        if draw.random() < 0.02:
            happened.append(ev.ClientDisconnected(f"r{number - 1}"))
        if draw.random() < 0.1:  # volumes of other brokers, summed up here
            key = draw.randrange(2**32)
            messages: tuple[PeerMessage, ...] = (
                QuotaRequest(key, 1, 9, 0, 0, number % 256),
                QuotaGrant(key, number % 256, 9),
                LeaseVoteRequest(key, 0),
                LeaseVote(key, 0),
            )
            for message in messages:
                happened.append(ev.PeerMessageReceived(1, encode([message])[0]))
            # and their shards
            bid = bid_datagram(draw.randrange(SHARDS), [1.0] * PRIORITY_BAND_COUNT, 1.0, 1.0, 1.0, 1.0)
            happened.append(ev.PeerMessageReceived(draw.randrange(core.settings.broker_count), bid))
        while out and (len(out) > 20 or draw.random() < 0.6):
            ended = out.pop(draw.randrange(len(out)))
            kind: Any = draw.choice(("ok", "ok", "ok", "error", "rejected", "timeout", "reset", "cancelled"))
            happened.append(ev.AttemptFinished(ended.request_id, ended.attempt, kind))
        out += [e for e in core.step(now, [*happened, ev.TimerFired(0)]) if isinstance(e, ev.StartAttempt)]
    for last in range(700):  # at rest
        now += 200_000
        ends: list[ev.Event] = [ev.AttemptFinished(e.request_id, e.attempt, "reset") for e in out]
        held = ev.EndpointsUpdated(api.EndpointUpdate("delta", tuple(listed)))
        done = core.step(now, [*ends, held if not last else ev.TimerFired(0)])
        out = [e for e in done if isinstance(e, ev.StartAttempt)]
    return made


def test_requests_volumes_and_nodes_leave_nothing_behind() -> None:
    core = Reducer(SETTINGS, 1)
    assert churn(core, REQUESTS, NODES) >= NODES
    assert (
        core.counts["taken"] == REQUESTS
        and core.counts["served"] > REQUESTS / 30
        and core.open_request_count() == 0
    )
    assert container_sizes(core, MOST) == {}


def test_hours_of_changing_volumes_nodes_and_peers_leave_no_more_than_the_heads_there_are() -> None:
    core = Reducer(replace(SETTINGS, broker_count=200), 1)
    assert churn(core, REQUESTS, NODES, step_us=100_000) >= NODES  # nearly three hours
    assert core.counts["served"] > 1_000 and core.open_request_count() == 0
    assert container_sizes(core, 201) == {}


CONNECTIONS, TOGETHER = 20_000, 50


def test_connections_leave_nothing_behind(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """New connections and new ids throughout, some kept, some closed by either side, some cut off."""

    async def one(port: int, number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            if number % 4 == 0:
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                assert b" 200 " in await reader.readline()
            elif number % 4 == 1:
                extent = f"volume={number // 5:016x},units=1,shard=1,hosts=1"
                writer.write(
                    f"GET /api?key={number:016x} HTTP/1.1\r\nHost: x\r\nX-Call-Id: c{number}\r\n"
                    f"X-Call-Class: page-read\r\nX-Storage-Class: gold\r\nX-Budget-Ms: 1\r\n"
                    f"X-Extent: {extent}\r\n\r\n".encode()
                )
                assert b" 503 " in await reader.readline()
            elif number % 4 == 2:
                writer.write(b"GET /api HTTP/1.1\r\nX-Pa")
        finally:
            writer.transport.abort()

    sizes: list[dict[str, int]] = []

    async def crowd(daemon: Daemon) -> None:
        port = daemon.listeners.port(0)
        for first in range(0, CONNECTIONS, TOGETHER):
            await asyncio.gather(*(one(port, number) for number in range(first, first + TOGETHER)))
        await until(asyncio.get_running_loop().time() + 1.0)  # some rounds
        sizes.append(container_sizes(daemon, MOST))

    monkeypatch.setattr(derived, "IDLE_STATE_RETENTION_US", 100_000)
    asyncio.run(play("", objects=False, folder=tmp_path, beside=crowd))
    assert sizes == [{}], json.dumps(sizes)
