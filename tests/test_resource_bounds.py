"""The memory of a daemon that runs for weeks is bounded: no state of a request, client, volume, node or
connection outlives its use."""

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
from harriertide.engine.clock import sleep_until
from tests.container_sizes import container_sizes
from tests.helpers import SETTINGS, START_US, bid_datagram
from tests.test_net import play

REQUEST_COUNT, NODE_COUNT, STEP_US = 100_000, 2_000, 5_000
SHARD_COUNT, NODES_PER_SHARD = 4, 3  # nodes of a shard at any time
MAX_MEMBER_COUNT = 64  # the largest allowed length of any container after all requests have finished


def run_requests(
    core: Reducer, request_count: int, total_node_count: int, seed: int = 1, step_us: int = STEP_US
) -> int:
    """Run requests with all outcomes for changing volumes, while nodes are replaced one by one.

    :returns: how many nodes were listed in total
    """
    rng = random.Random(seed)
    now_us, node_count = START_US, 0
    live_nodes: list[api.NodeEntry] = []
    open_attempts: list[ev.StartAttempt] = []

    def endpoint_change(kind: str, entry: api.NodeEntry, state: str) -> ev.Event:
        return ev.EndpointsUpdated(api.EndpointUpdate(kind, (replace(entry, state=state),)))  # type: ignore[arg-type]

    for number in range(request_count):
        now_us += step_us
        events: list[ev.Event] = []
        while (
            node_count < SHARD_COUNT * NODES_PER_SHARD
            or node_count * request_count < number * total_node_count
        ):
            entry = api.NodeEntry(
                f"n{node_count}", node_count % SHARD_COUNT, "live", 0, now_us if node_count % 5 == 0 else 0
            )
            node_count += 1
            if len(live_nodes) >= SHARD_COUNT * NODES_PER_SHARD:
                replaced = live_nodes.pop(0)
                events.append(endpoint_change("delta", replaced, "draining"))
                if node_count % 3:
                    events.append(endpoint_change("delta", replaced, "gone"))
                else:  # a full list that no longer contains the node
                    events.append(ev.EndpointsUpdated(api.EndpointUpdate("full", tuple(live_nodes))))
            live_nodes.append(entry)
            events.append(endpoint_change("delta", entry, "live"))
        volume, plan = f"v{number // 20}", number % 2
        events.append(
            ev.RequestArrived(
                api.Arrival(
                    f"r{number}", number % 4, plan, volume, rng.randrange(-1, SHARD_COUNT), now_us + 500_000,
                    2.0, f"k{number // 3}",
                )
            )
        )  # fmt: skip
        if rng.random() < 0.02:
            events.append(ev.ClientDisconnected(f"r{number - 1}"))
        if rng.random() < 0.1:  # volumes of other brokers whose quota this broker grants
            key = rng.randrange(2**32)
            messages: tuple[PeerMessage, ...] = (
                QuotaRequest(key, 1, 9, 0, 0, number % 256),
                QuotaGrant(key, number % 256, 9),
                LeaseVoteRequest(key, 0),
                LeaseVote(key, 0),
            )
            for message in messages:
                events.append(ev.PeerMessageReceived(1, encode([message])[0]))
            # and bids of other brokers for shards
            bid = bid_datagram(rng.randrange(SHARD_COUNT), [1.0] * PRIORITY_BAND_COUNT, 1.0, 1.0, 1.0, 1.0)
            events.append(ev.PeerMessageReceived(rng.randrange(core.settings.broker_count), bid))
        while open_attempts and (len(open_attempts) > 20 or rng.random() < 0.6):
            attempt = open_attempts.pop(rng.randrange(len(open_attempts)))
            kind: Any = rng.choice(("ok", "ok", "ok", "error", "rejected", "timeout", "reset", "cancelled"))
            events.append(ev.AttemptFinished(attempt.request_id, attempt.attempt, kind))
        open_attempts += [
            e for e in core.step(now_us, [*events, ev.TimerFired(0)]) if isinstance(e, ev.StartAttempt)
        ]
    for step_number in range(700):  # no new requests
        now_us += 200_000
        ended_attempts: list[ev.Event] = [
            ev.AttemptFinished(e.request_id, e.attempt, "reset") for e in open_attempts
        ]
        final_list = ev.EndpointsUpdated(api.EndpointUpdate("delta", tuple(live_nodes)))
        effects = core.step(now_us, [*ended_attempts, final_list if not step_number else ev.TimerFired(0)])
        open_attempts = [e for e in effects if isinstance(e, ev.StartAttempt)]
    return node_count


def test_finished_requests_and_removed_volumes_and_nodes_leave_no_state() -> None:
    core = Reducer(SETTINGS, 1)
    assert run_requests(core, REQUEST_COUNT, NODE_COUNT) >= NODE_COUNT
    assert (
        core.counts["taken"] == REQUEST_COUNT
        and core.counts["served"] > REQUEST_COUNT / 30
        and core.open_request_count() == 0
    )
    assert container_sizes(core, MAX_MEMBER_COUNT) == {}


def test_state_after_hours_of_changes_is_bounded_by_the_broker_count() -> None:
    core = Reducer(replace(SETTINGS, broker_count=200), 1)
    assert run_requests(core, REQUEST_COUNT, NODE_COUNT, step_us=100_000) >= NODE_COUNT  # nearly three hours
    assert core.counts["served"] > 1_000 and core.open_request_count() == 0
    assert container_sizes(core, 201) == {}


CONNECTION_COUNT, CONCURRENT_CONNECTION_COUNT = 20_000, 50


def test_closed_connections_leave_no_state(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections with new ids end after a response, within a request or without a request."""

    async def open_connection(port: int, number: int) -> None:
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

    async def open_all_connections(daemon: Daemon) -> None:
        port = daemon.listeners.port(0)
        for first in range(0, CONNECTION_COUNT, CONCURRENT_CONNECTION_COUNT):
            await asyncio.gather(
                *(
                    open_connection(port, number)
                    for number in range(first, first + CONCURRENT_CONNECTION_COUNT)
                )
            )
        await sleep_until(asyncio.get_running_loop().time() + 1.0)  # several rounds of the decision module
        sizes.append(container_sizes(daemon, MAX_MEMBER_COUNT))

    monkeypatch.setattr(derived, "IDLE_STATE_RETENTION_US", 100_000)
    asyncio.run(play("", objects=False, folder=tmp_path, beside=open_all_connections))
    assert sizes == [{}], json.dumps(sizes)
