"""Daemon and library decide alike: recorded workloads, the virtual network, and the comparison itself."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from harriertide.engine import workload as workloads
from harriertide.engine.clock import sleep_until
from harriertide.lab.experiments import parity
from harriertide.lab.simulation import random_workloads, stand_in_nodes, virtual_time, workload_runs
from harriertide.lab.simulation.memory_network import Network
from harriertide.library import Broker, Node, RequestSpec


def both(
    kind: str, seed: int, seconds: float, shape: str
) -> tuple[workload_runs.RunRecord, workload_runs.RunRecord]:
    workload, _ = random_workloads.generate_workload(kind, seed, seconds, deployment=shape)
    return parity.run_both(
        workload, lambda: random_workloads.generate_workload(kind, seed, seconds, deployment=shape)[1]
    )


@pytest.mark.parametrize("shape", random_workloads.DEPLOYMENTS)
@pytest.mark.parametrize("kind", random_workloads.KINDS)
def test_every_decision_is_the_same(kind: str, shape: str) -> None:
    daemon, library = both(kind, 7, 5.5, shape)
    matched, differ = parity.compare(daemon, library)
    assert not differ, differ[:3]
    ends = [kind for _, kind in daemon.responses.values()]
    assert matched > 2000 and ends.count("served") > 500
    assert kind in ("calm", "cold", "drains") or ends.count("rejected") > 50


@pytest.mark.parametrize("shape", random_workloads.DEPLOYMENTS)
def test_two_brokers_that_share_decide_as_two_daemons_do(shape: str) -> None:
    workload, _ = random_workloads.generate_workload("surge", 7, 4.0, broker_count=2, deployment=shape)
    daemon, library = parity.run_both(
        workload, lambda: random_workloads.generate_workload("surge", 7, 4.0, deployment=shape)[1], 2
    )
    matched, differ = parity.compare(daemon, library, 2)
    assert not differ, differ[:3]
    assert matched > 2000


def test_an_ejected_node_is_checked_by_daemon_and_library_and_both_use_it_again() -> None:
    """A node does not respond for three seconds. Without health checks the library would not use it again."""
    workload, _ = random_workloads.generate_workload("failing", 7, 8.0, deployment="other")
    made: list[list[stand_in_nodes.StandInNode]] = []

    def make() -> list[stand_in_nodes.StandInNode]:
        made.append(random_workloads.generate_workload("failing", 7, 8.0, deployment="other")[1])
        return made[-1]

    daemon, library = parity.run_both(workload, make)
    for boxes, played in zip(made, (daemon, library), strict=True):
        assert 3 <= boxes[2].health_check_count <= 3 / 0.25 + 1  # silent from 3 s to 6 s; one in 250 ms
        late = [d for d in played.decisions if d[1] == "attempt" and d[4] == "box-2" and d[0] > 6_500_000]
        assert len(late) > 10


def test_a_difference_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """The comparison must be able to fail: a library that keeps 1 ms less of the client's time."""
    monkeypatch.setattr(workload_runs, "DEADLINE_MARGIN_US", workload_runs.DEADLINE_MARGIN_US + 1_000)
    workload, _ = random_workloads.generate_workload("calm", 7, 1.0)
    daemon, library = parity.run_both(workload, lambda: random_workloads.generate_workload("calm", 7, 1.0)[1])
    matched, differ = parity.compare(daemon, library)
    assert differ and matched < len(daemon.decisions)


def test_one_seed_gives_one_run_and_another_another() -> None:
    workload, _ = random_workloads.generate_workload("surge", 3, 3.0)

    def run(seed: int) -> list[workload_runs.Decision]:
        boxes = random_workloads.generate_workload("surge", 3, 3.0)[1]
        own = replace_seed(workload, seed)
        return virtual_time.run(workload_runs.run_through_library(own, boxes)).decisions

    assert run(1) == run(1) != run(2)


def replace_seed(workload: workloads.Workload, seed: int) -> workloads.Workload:
    header = workloads.WorkloadHeader(workload.header.settings, seed)
    return workloads.Workload(header, workload.events, workload.truncated)


def test_minutes_of_virtual_time_pass_at_once_and_a_stand_still_is_an_error() -> None:
    async def main() -> float:
        loop = asyncio.get_running_loop()
        begin = loop.time()
        await sleep_until(begin + 3_600)
        return loop.time() - begin

    assert virtual_time.run(main()) == pytest.approx(3_600)

    async def never() -> None:
        await asyncio.Event().wait()

    with pytest.raises(virtual_time.DeadlockError):
        virtual_time.run(never())


def test_bytes_arrive_in_order_after_the_networks_delay_and_ends_are_heard() -> None:
    heard: list[tuple[float, bytes]] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while data := await reader.read(100):
            heard.append((round(loop.time() - begin, 6), data))
        writer.close()

    begin = 0.0

    async def main() -> None:
        nonlocal begin
        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        begin = loop.time()
        for word in (b"a", b"b"):
            writer.write(word)
            await sleep_until(loop.time() + 0.1)
        writer.write_eof()
        assert await reader.read() == b""
        server.close()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", port)

    virtual_time.run(main(), Network(lambda here, there: 0.25))
    assert heard == [(0.25, b"a"), (0.35, b"b")]


def test_datagrams_arrive_or_are_lost() -> None:
    got: list[tuple[bytes, object]] = []

    class Ear(asyncio.DatagramProtocol):
        def datagram_received(self, data: bytes, addr: object) -> None:
            got.append((data, addr))

    async def main() -> None:
        loop = asyncio.get_running_loop()
        for port in (1, 2):
            transport, _ = await loop.create_datagram_endpoint(Ear, ("127.0.0.1", port))
        transport.sendto(b"x", ("127.0.0.1", 1))
        transport.sendto(b"y", ("127.0.0.1", 9))
        await sleep_until(loop.time() + 1)

    virtual_time.run(main())
    assert got == [(b"x", ("127.0.0.1", 2))]


SETTINGS = replace(random_workloads.SETTINGS, shard_count=2)


def recorded(folder: Path) -> Path:
    """What a library's broker wrote down of some calls."""
    path = folder / "workload"

    async def main() -> None:
        boxes = [Node("b0", 0), Node("b1", 1, started_us=virtual_time.WALL_US - 60_000_000)]
        async with Broker(SETTINGS, boxes, seed=5, record=str(path)) as broker:
            for shard in (0, 1, 0):
                await broker.call(
                    RequestSpec("v", shard=shard, units=2.0), lambda attempt: asyncio.sleep(0.01)
                )

    virtual_time.run(main())
    return path


def test_a_recording_is_read_as_it_was_written(tmp_path: Path) -> None:
    path = recorded(tmp_path)
    workload = workloads.load(str(path))
    assert not workload.truncated and workload.header.settings == SETTINGS and workload.header.seed == 5
    first, *asks = workload.events
    assert first.endpoint_update is not None and [
        entry.node_id for entry in first.endpoint_update.entries
    ] == ["b0", "b1"]
    assert [row.arrival.shard for row in asks if row.arrival] == [0, 1, 0]
    assert [row.at_us for row in asks] == sorted(row.at_us for row in asks)
    # on the clock of another play the times are the same distances
    at_us, event = workloads.absolute_event(asks[0], 10**15)
    assert at_us - 10**15 == asks[0].at_us
    again = tmp_path / "again"
    workloads.save(str(again), workload)
    assert again.read_bytes() == path.read_bytes()


def test_a_recording_that_a_crash_cut_off_is_good_up_to_there(tmp_path: Path) -> None:
    path = recorded(tmp_path)
    whole = path.read_bytes()
    lines = whole.count(b"\n")
    for size in range(whole.index(b"\n") + 1, len(whole)):
        path.write_bytes(whole[:size])
        workload = workloads.load(str(path))
        assert workload.truncated == (whole[size - 1 : size] != b"\n")
        assert len(workload.events) == whole[:size].count(b"\n") - 1 < lines


BROKEN = {
    "another version": (0, b'"v":1', b'"v":2', "line 1: v: version 2"),
    "an unknown key": (1, b'"at"', b'"odd"', "line 2"),
    "a wrong type": (2, b'"at":', b'"at":"x","y":', "line 3"),
    "neither": (2, b'"arrival"', b'"novelty"', "line 3"),
    "noise amid the file": (2, b"{", b"\xff", "line 3"),
    "settings that can't be": (0, b'"heads":1', b'"heads":0', "line 1"),
}


@pytest.mark.parametrize(("line", "old", "new", "named"), BROKEN.values(), ids=BROKEN.keys())
def test_a_recording_that_cannot_be_used_names_its_line(
    line: int, old: bytes, new: bytes, named: str, tmp_path: Path
) -> None:
    path = recorded(tmp_path)
    lines = path.read_bytes().split(b"\n")
    assert old in lines[line]
    lines[line] = lines[line].replace(old, new, 1)
    path.write_bytes(b"\n".join(lines))
    with pytest.raises(workloads.WorkloadError, match=named):
        workloads.load(str(path))


def test_a_recorded_workload_plays_alike_through_both(tmp_path: Path) -> None:
    workload, boxes = random_workloads.generate_workload("failing", 2, 4.5)
    path = tmp_path / "workload"
    workloads.save(str(path), workload)
    loaded = workloads.load(str(path))
    assert loaded.events == workload.events
    daemon, library = parity.run_both(
        loaded, lambda: random_workloads.generate_workload("failing", 2, 4.5)[1]
    )
    assert not parity.compare(daemon, library)[1]
