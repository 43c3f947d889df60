"""Brokers that share: membership, exchanges, and what several of them do with one plant's shares."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from harriertide.engine.clock import sleep_until
from harriertide.lab.experiments import parity
from harriertide.lab.simulation import random_workloads, virtual_time, workload_runs
from harriertide.library import Broker, InProcessPeers, LoopbackPeers, Node, RequestSpec, blocking
from harriertide.library.membership import FAILED_AFTER_US, HEARTBEAT_US, Membership, MembershipView
from harriertide.library.peer_transport import PeerTransport

ROOT = Path(__file__).parent.parent
FIRST = 29_100
SECOND = 1_000_000


def exchange_heartbeats(
    membership: Membership, members: dict[int, int], from_us: int, until_us: int
) -> list[MembershipView]:
    """Heartbeats and updates of the view in step; the views that came of it."""
    seen = []
    for now in range(from_us, until_us, HEARTBEAT_US):
        for member, mark in members.items():
            membership.record_heartbeat(member, mark, now)
        view = membership.update_view(now)
        seen += [view] if view else []
    return seen


def test_members_take_indexes_by_their_ids_and_move_up_when_one_fails() -> None:
    membership = Membership(5, 0)
    (view,) = exchange_heartbeats(membership, {7: 0, 3: 0}, HEARTBEAT_US, SECOND)
    assert view.members == (3, 5, 7) and view.broker_index == 1
    (after,) = exchange_heartbeats(membership, {7: 0}, SECOND, 2 * SECOND)
    assert after.members == (5, 7) and after.broker_index == 0
    back = exchange_heartbeats(membership, {7: 0, 3: 0}, 2 * SECOND, 3 * SECOND)
    assert [view.members for view in back] == [(3, 5, 7)]
    membership.remove_member(7)
    last = membership.update_view(3 * SECOND)
    assert last is not None and last.members == (3, 5)


def test_a_member_without_heartbeats_is_gone_within_its_time_and_not_before() -> None:
    membership = Membership(1, 0)
    exchange_heartbeats(membership, {2: 0}, HEARTBEAT_US, SECOND + 1)
    heard = membership._heartbeats_us[2]
    gone = next(now for now in range(heard, heard + SECOND, HEARTBEAT_US) if membership.update_view(now))
    assert FAILED_AFTER_US < gone - heard <= FAILED_AFTER_US + HEARTBEAT_US


def test_a_member_that_was_suspended_takes_nobody_for_failed() -> None:
    """A broker is held up for 0.7 s: the heartbeats of the others wait unread, and they have not failed."""
    membership = Membership(1, 0)
    exchange_heartbeats(membership, {2: 0}, HEARTBEAT_US, SECOND)
    assert membership.update_view(SECOND + 700_000) is None and membership.view.members == (1, 2)
    assert exchange_heartbeats(membership, {}, SECOND + 760_000, 2 * SECOND)  # but then it is


def test_messages_count_between_equal_views_only() -> None:
    """While views differ an index could mean two brokers at once."""
    membership = Membership(1, 0)
    exchange_heartbeats(membership, {2: 0, 3: 0}, HEARTBEAT_US, SECOND)
    assert membership.broker_index_of(2) is None
    membership.record_heartbeat(2, membership.view.checksum, SECOND)
    assert (
        membership.broker_index_of(2) == 1
        and membership.broker_index_of(3) is None
        and membership.broker_index_of(9) is None
    )


# --- several brokers on one plant -------------------------------------------------------------


def share(
    kind: str,
    brokers: int,
    seat: workload_runs.PeerTransportFactory,
    beside: Callable[[list[Broker]], Awaitable[None]] | None = None,
) -> workload_runs.RunRecord:
    workload, boxes = random_workloads.generate_workload(kind, 5, 8.0)
    return virtual_time.run(workload_runs.run_through_library(workload, boxes, brokers, seat, beside))


def loopback(place: int) -> PeerTransport:
    return LoopbackPeers(FIRST, 8)


def test_two_brokers_in_one_process_get_together_what_one_gets() -> None:
    workload, _ = random_workloads.generate_workload("surge", 5, 8.0)
    one = parity.score_run(workload, share("surge", 1, lambda place: None))
    peers = InProcessPeers()
    two = parity.score_run(workload, share("surge", 2, lambda place: peers.add_peer()))
    four = parity.score_run(workload, share("surge", 4, loopback))
    assert 0.95 * one <= two <= 1.05 * one, (one, two)
    assert 0.95 * one <= four <= 1.05 * one, (one, four)


def test_a_failed_brokers_quota_is_in_use_by_the_others_soon() -> None:
    """One of three fails without a word amid the surge; its requests go to the others from then on."""
    workload, _ = random_workloads.generate_workload("surge", 5, 8.0)
    seen: list[tuple[float, int]] = []

    async def kill(taking: list[Broker]) -> None:
        loop = asyncio.get_running_loop()
        await sleep_until(loop.time() + workload_runs.START_DELAY_S + 3.0)
        dead = taking.pop()
        transport = dead.peers
        assert isinstance(transport, LoopbackPeers) and transport._heartbeat_timer and transport._transport
        transport._heartbeat_timer.cancel()
        transport._transport.close()
        died = loop.time()
        for _ in range(40):
            await sleep_until(loop.time() + 0.02)
            seen.append((loop.time() - died, len(taking[0].view.members)))

    whole = share("surge", 3, loopback)
    killed = share("surge", 3, loopback, kill)
    assert seen[0][1] == 3
    assert next(after for after, members in seen if members == 2) <= 0.32
    # from two rounds after its death on they do as well as three did
    span = (3_600_000, 5_000_000)
    assert parity.score_run(workload, killed, *span) >= 0.9 * parity.score_run(workload, whole, *span)


def test_a_warming_node_before_four_brokers_gets_no_more_than_from_one() -> None:
    workload, _ = random_workloads.generate_workload("cold", 5, 8.0)
    units = {row.arrival.request_id: row.arrival.units for row in workload.events if row.arrival}
    limit = (
        random_workloads.SETTINGS.slow_start_units / random_workloads.SETTINGS.slow_start_initial_ratio
    )  # what it can do warm, in the window
    for brokers, seat in ((1, lambda place: None), (4, loopback)):
        played = share("cold", brokers, seat)
        begin = 2_000_000  # box-3 starts
        sent = [(d[0], units[d[2]]) for d in played.decisions if d[1] == "attempt" and d[4] == "box-3"]
        window = [n for at, n in sent if begin <= at < begin + random_workloads.SETTINGS.collapse_window_us]
        assert sum(window) <= limit, (brokers, sum(window))


def test_junk_on_the_port_has_no_effect() -> None:
    """Somebody sends noise to the port, some of it with the right first bytes."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        boxes = [Node("b0", 0)]
        first, second = (
            Broker(random_workloads.SETTINGS, boxes, seed=n, peers=LoopbackPeers(FIRST, 8)) for n in (1, 2)
        )
        async with first, second:
            stranger, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, ("127.0.0.1", 40_000))
            for number in range(5_000):
                noise = os.urandom(14)
                body = (b"hbt1\x01" + noise[:4], b"hbt1", b"FT\x02" + noise, b"x" * 300)[number % 4]
                stranger.sendto(body, ("127.0.0.1", FIRST))
            await sleep_until(loop.time() + 1.0)
            assert first.view.members == second.view.members == (FIRST, FIRST + 1)
            assert (
                await first.call(RequestSpec("v", shard=0), lambda attempt: asyncio.sleep(0, "done"))
                == "done"
            )
        assert isinstance(first.peers, LoopbackPeers) and first.peers.counts["junk"] == 5_000

    virtual_time.run(main())


def test_brokers_on_threads_of_one_process_see_each_other_come_and_go() -> None:
    peers = InProcessPeers()

    def make() -> blocking.Broker:
        settings, nodes = random_workloads.SETTINGS, [Node("b0", 0)]
        return blocking.Broker(lambda: Broker(settings, nodes, peers=peers.add_peer()))

    def sees(broker: blocking.Broker, count: int) -> None:
        end = time.monotonic() + 3
        while len(broker.async_broker.view.members) != count:
            assert time.monotonic() < end
            time.sleep(0.005)

    with make() as first:
        sees(first, 1)
        with make() as second:
            sees(first, 2)
            sees(second, 2)
            assert second.call(RequestSpec("v", shard=0), lambda work: work.node_id) == "b0"
        sees(first, 1)
    assert threading.active_count() < 20


WORKER = """
import asyncio, json, sys, time
from harriertide.lab.simulation import random_workloads
from harriertide.library import RequestSpec, Node, Broker, LoopbackPeers

async def main():
    broker = Broker(random_workloads.SETTINGS, [Node("b0", 0)], peers=LoopbackPeers(int(sys.argv[1]), 8))
    async with broker:
        seen = None
        while True:
            await broker.call(RequestSpec("v", shard=0), lambda attempt: asyncio.sleep(0.001))
            if broker.view.members != seen:
                seen = broker.view.members
                print(json.dumps([time.time(), list(seen)]), flush=True)

asyncio.run(main())
"""


def test_of_three_worker_processes_one_is_killed_and_its_index_is_taken_again() -> None:
    """A worker is killed without a word, and a new one is started."""
    port = 29_200 + os.getpid() % 200 * 8  # workers of other test runs have others
    command = [sys.executable, "-c", WORKER, str(port)]

    def start() -> subprocess.Popen[str]:
        return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)

    def sees(worker: subprocess.Popen[str], count: int) -> float:
        assert worker.stdout is not None
        while line := worker.stdout.readline():
            at, members = json.loads(line)
            if len(members) == count:
                return float(at)
        raise AssertionError("the worker has ended")

    workers = [start() for _ in range(3)]
    try:
        for worker in workers:
            sees(worker, 3)
        workers[1].send_signal(signal.SIGKILL)
        killed = time.time()
        for worker in (workers[0], workers[2]):
            assert sees(worker, 2) - killed < 2.0  # 0.3 s where there is a processor for it
        workers.append(start())
        for worker in (workers[0], workers[2], workers[3]):
            sees(worker, 3)
    finally:
        for worker in workers:
            worker.kill()
            worker.communicate()


@pytest.mark.parametrize("host", ["10.0.0.1", "0.0.0.0"])
def test_peers_are_on_loopback_only(host: str) -> None:
    with pytest.raises(Exception, match="no loopback address"):
        LoopbackPeers(1, host=host)
