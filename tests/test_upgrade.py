"""Upgrades in place: two and three daemons of one broker on one socket, each course of a take-over forced."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path

import pytest

from harriertide.cli import replacement
from harriertide.cli.daemon import Daemon
from harriertide.decide import api, handover
from harriertide.decide.demand_aggregate import DemandAggregate
from harriertide.decide.settings import from_wire, names_from_wire
from harriertide.decide.state import VolumeState
from harriertide.decide.token_bucket import TokenBucket
from harriertide.http.limits import Limits
from harriertide.http.listening import IN_FLIGHT
from harriertide.lifecycle import record, upgrade
from harriertide.lifecycle.record import Handover, RecordError
from harriertide.lifecycle.succession import LEASE_S, Succession
from harriertide.lifecycle.upgrade import Hooks, Upgrade
from harriertide.platform.configuration import BadConfigError, Config
from harriertide.platform.discovery import Directory, DirectoryState
from tests.helpers import START_US, BrokerUnderTest, sends
from tests.scenario import Stand, World
from tests.test_crossings import answer
from tests.test_crossings import short as short  # a fixture: stops are short
from tests.test_net import WIRE

PATIENCE_S = 5.0


# --- who is in charge ----------------------------------------------------------------------------


def test_epochs_rise_and_a_process_lives_for_as_long_as_it_holds_its_lock(tmp_path: Path) -> None:
    first, second = Succession(tmp_path), Succession(tmp_path)
    assert first.epoch < second.epoch and first.others() and second.lives(first.epoch)
    first.close()
    assert not second.lives(first.epoch) and not second.others()
    assert Succession(tmp_path).epoch > second.epoch


def test_one_process_at_a_time_takes_over(tmp_path: Path) -> None:
    first, second = Succession(tmp_path), Succession(tmp_path)
    assert first.begin() and not second.begin()
    first.take_charge()
    first.end()
    assert second.begin() and second.current() == first.epoch


def test_a_claim_counts_for_as_long_as_its_process_lives(tmp_path: Path) -> None:
    old, new = Succession(tmp_path), Succession(tmp_path)
    new.begin()
    new.ask()
    assert old.claim() == new.epoch and new.claim() == 0
    new.close()
    assert old.claim() == 0


def test_files_of_processes_that_are_gone_go_with_the_next_take_over(tmp_path: Path) -> None:
    gone, new = Succession(tmp_path), Succession(tmp_path)
    gone.close()
    new.begin()
    new.ask()
    new.leave_state(gone.epoch, b"x")
    new.take_charge()
    new.end()
    assert sorted(path.name for path in tmp_path.iterdir()) == ["current", f"process-{new.epoch}", "takeover"]


class Process:
    """An Upgrade whose hooks write down what they are told."""

    def __init__(self, folder: Path) -> None:
        self.said: list[str] = []
        self.succession = Succession(folder)
        hooks = Hooks(
            self.give_up,
            lambda: self.said.append("fenced"),
            lambda: self.said.append("took back"),
            lambda on: None,
        )
        self.upgrade = Upgrade(self.succession, hooks)

    def give_up(self, claimed: int) -> bytes:
        self.said.append("gave up")
        return b"state for %d" % claimed

    def die(self) -> None:
        self.upgrade.close()

    def stand_still(self) -> None:
        """As under SIGSTOP: it looks at nothing, and lives."""
        assert self.upgrade._timer is not None
        self.upgrade._timer.cancel()

    async def heard(self, *said: str) -> None:
        async with asyncio.timeout(PATIENCE_S):
            while self.said != list(said):
                await asyncio.sleep(0.005)


def test_the_first_process_takes_charge_with_nothing_and_the_next_with_its_record(tmp_path: Path) -> None:
    async def course() -> None:
        old, new, third = Process(tmp_path), Process(tmp_path), Process(tmp_path)
        assert await old.upgrade.take_over() is None
        assert await new.upgrade.take_over() == b"state for %d" % new.upgrade.epoch
        assert old.said == ["gave up"] and new.upgrade.in_charge and not old.upgrade.in_charge
        assert await third.upgrade.take_over() == b"state for %d" % third.upgrade.epoch
        assert old.said == ["gave up"] and new.said == ["gave up"]

    asyncio.run(course())


def test_two_that_take_over_at_once_do_so_one_after_the_other(tmp_path: Path) -> None:
    async def course() -> None:
        old, *both = [Process(tmp_path) for _ in range(3)]
        await old.upgrade.take_over()
        records = await asyncio.gather(*(each.upgrade.take_over() for each in both))
        assert None not in records
        assert sorted(len(each.said) for each in both) == [0, 1] and old.said == ["gave up"]

    asyncio.run(course())


@pytest.mark.parametrize("charged", [False, True], ids=["before it is in charge", "right after"])
def test_the_old_process_takes_back_from_one_that_dies(tmp_path: Path, charged: bool) -> None:
    async def course() -> None:
        old, new = Process(tmp_path), Process(tmp_path)
        await old.upgrade.take_over()
        if charged:
            await new.upgrade.take_over()
        else:
            new.succession.begin()
            new.succession.ask()
            await old.heard("gave up")
        new.die()
        if not charged:
            new.succession.end()  # as the system does with a dead process's locks
        await old.heard("gave up", "took back")
        assert old.upgrade.in_charge and old.succession.current() == old.upgrade.epoch

    asyncio.run(course())


def test_a_process_that_was_told_to_end_takes_nothing_back(tmp_path: Path) -> None:
    async def course() -> None:
        old, new = Process(tmp_path), Process(tmp_path)
        await old.upgrade.take_over()
        old.upgrade.stop()
        assert await new.upgrade.take_over() is not None  # it still answers
        new.die()
        await asyncio.sleep(0.1)
        assert old.said == ["gave up"]

    asyncio.run(course())


def test_the_next_process_starts_from_nothing_where_the_old_one_is_gone(tmp_path: Path) -> None:
    async def course() -> None:
        old, new = Process(tmp_path), Process(tmp_path)
        await old.upgrade.take_over()
        old.stand_still()
        taking = asyncio.create_task(new.upgrade.take_over())
        while old.succession.claim() == 0:  # killed in the middle: asked, and not answered yet
            await asyncio.sleep(0)
        old.die()
        assert await taking is None and new.upgrade.in_charge

    asyncio.run(course())


def test_one_that_stood_still_is_fenced_before_it_acts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upgrade, "ANSWER_S", 0.05)

    async def course() -> None:
        old, new = Process(tmp_path), Process(tmp_path)
        await old.upgrade.take_over()
        old.stand_still()
        begun = time.monotonic()
        assert await new.upgrade.take_over() is None
        assert time.monotonic() - begun > LEASE_S  # what the old one may still have done is over
        old.upgrade.check()
        assert old.said == ["fenced"] and not old.upgrade.in_charge

    asyncio.run(course())


# --- the record ----------------------------------------------------------------------------------

EMPTY = Handover("n", 2, 100.0, 1, True, 0, 0, DirectoryState(3, [], {}, []), handover.DecisionRecord())


def test_a_record_comes_back_as_it_went() -> None:
    ballots = {3: (5, {1, 2})}
    slot = handover.LeaseSlotRecord(-1, 0, 0, 0, ballots, 0, 0)
    leases = handover.LeasesRecord(7, {1: slot}, {})
    aggregate = handover.AggregateRecord(
        [1.0] * 9, 5, {2: (9, [0.5])}, 0.0, False, False, 0, False, 0, 0.0, {}
    )
    decisions = handover.DecisionRecord(aggregates={4: aggregate}, usual_latency_us=[2.0], leases=leases)
    directory = DirectoryState(9, [api.NodeEntry("b", 1)], {"b": "x:1"}, ["a"])
    data = record.encode(replace(EMPTY, decisions=decisions, directory=directory))
    back = record.decode(data, "n", 2, 100.5)
    assert back.directory == directory and back.decisions.leases == leases
    assert back.decisions.aggregates[4].bids == {2: (9, [0.5])} and record.encode(back) == data


SPOILT = {
    "another version": (lambda data: data.replace(b"state 2", b"state 1", 1), "n", 2, 100.0, "version"),
    "torn": (lambda data: data[:-3], "n", 2, 100.0, "torn"),
    "empty": (lambda data: b"", "n", 2, 100.0, "version"),
    "a flipped bit": (lambda data: data[:-1] + bytes([data[-1] ^ 1]), "n", 2, 100.0, "torn"),
    "another broker": (lambda data: data, "m", 2, 100.0, "broker n"),
    "another process": (lambda data: data, "n", 3, 100.0, "another process"),
    "minutes old": (lambda data: data, "n", 2, 300.0, "old"),
    "of another boot": (lambda data: data, "n", 2, 4.0, "old"),
}


@pytest.mark.parametrize("spoil, broker, epoch, now_s, reason", SPOILT.values(), ids=SPOILT.keys())
def test_a_record_of_no_use_is_set_aside(
    spoil: Callable[[bytes], bytes], broker: str, epoch: int, now_s: float, reason: str
) -> None:
    with pytest.raises(RecordError, match=reason):
        record.decode(spoil(record.encode(EMPTY)), broker, epoch, now_s)


def test_a_record_of_another_shape_is_set_aside() -> None:
    import msgspec
    from xxhash import xxh3_64_digest

    body = msgspec.msgpack.encode({"broker": "n"})
    with pytest.raises(RecordError, match="malformed"):
        record.decode(record.MAGIC + xxh3_64_digest(body) + body, "n", 2, 100.0)


# --- the list and the decisions ------------------------------------------------------------------


def page(seq: int, *hosts: str, **health: str) -> dict:  # type: ignore[type-arg]
    rows = [
        {"host": host, "dial": f"{host}:1", "block": 0, "health": health.get(host, "up")} for host in hosts
    ]
    return {"seq": seq, "whole": True, "hosts": rows}


def test_the_newer_list_holds_and_drains_that_either_was_told() -> None:
    old, new = Directory({}), Directory({})
    old.read(page(9, "a", "b", "c", b="draining"))
    new.read(page(5, "a", "b", "d"), "cached")
    told = new.import_state(old.export_state())
    assert {entry.node_id: entry.state for entry in told.entries} == {
        "a": "live",
        "b": "draining",
        "c": "live",
    }
    assert new.seq == 9 and new.find("c") == "c:1" and new.find("d") is None
    newer = Directory({})
    newer.read(page(12, "a", "b", "d"))
    told = newer.import_state(old.export_state())
    assert {entry.node_id: entry.state for entry in told.entries} == {
        "a": "live",
        "b": "draining",
        "d": "live",
    }
    assert newer.seq == 12


def test_what_was_learned_goes_on_and_nothing_is_given_out_twice() -> None:
    cold = api.NodeEntry("n0", 0, started_us=START_US - 1_000_000)
    old, new = BrokerUnderTest((cold,)), BrokerUnderTest((cold,))
    keeper, taker = old.scheduler, new.scheduler
    node = keeper.endpoints.nodes["n0"]
    node.granted.append((START_US, 3.0))
    node.is_ejected, node.proven_units = True, 4.0
    cell = keeper.endpoints.shards[node.shard]
    cell.capacity, cell.is_capacity_known, cell.is_overloaded = 42.0, True, True
    cell.demand[0] = 5.0
    keeper.rate_limits.volumes[9] = VolumeState(9, 1.0, TokenBucket(1.0, 5), TokenBucket(0.25, 6))
    keeper.demand.aggregates[node.shard] = DemandAggregate([2.0] * 9)
    keeper.placements.put("aa", 3, START_US)
    state = record.decode(
        record.encode(replace(EMPTY, decisions=handover.export_state(keeper))), "n", 2, 100.0
    ).decisions
    handover.import_state(taker, state, new.now)
    there, shard = taker.endpoints.nodes["n0"], taker.endpoints.shards[node.shard]
    assert there.granted == node.granted and there.is_ejected and there.proven_units == 4.0
    assert (shard.capacity, shard.is_capacity_known, shard.is_overloaded) == (42.0, True, True)
    assert (
        shard.shard in taker.demand.active_shards
        and taker.rate_limits.volumes[9].rate_limit_bucket.units == 0.25
    )
    assert taker.demand.aggregates[node.shard].sums == [2.0] * 9
    assert taker.placements.by_key == {"aa": (3, START_US)}
    assert new.ask(shard=node.shard) is not None  # and it goes on deciding


@pytest.mark.parametrize("ahead_us", [-800_000, 0, 800_000])
def test_a_limit_does_not_fill_by_the_difference_of_two_clocks(ahead_us: int) -> None:
    """One broker, limit 10 units a second. Its store is spent as the newer process goes on with it."""
    old, new = BrokerUnderTest(broker_count=1), BrokerUnderTest(broker_count=1)
    while sends(old.ask(plan=1, shard=0)):
        old.end(f"r{old.made}", after_us=0)
    new.do(api.TimerFired(0), after_us=old.now + ahead_us - new.now if old.now + ahead_us > new.now else 0)
    handover.import_state(new.scheduler, handover.export_state(old.scheduler), old.now)
    new.now = old.now + 10_000
    assert not sends(new.ask(plan=1, shard=0))
    new.now = old.now + 1_000_000
    assert sends(new.ask(plan=1, shard=0))


def test_a_superseded_process_gives_out_no_limit_and_nothing_of_cold_nodes() -> None:
    cold = api.NodeEntry("n0", 0, started_us=START_US - 1_000_000)
    head = BrokerUnderTest((cold, api.NodeEntry("n1", 1)))
    head.do(api.SettingsChanged(handover.superseded(head.settings)))
    for _ in range(20):
        assert not sends(head.ask(plan=1, shard=1))  # of a plan with a limit
        assert not sends(head.ask(plan=0, shard=0))  # at the cold node
    assert sends(head.ask(plan=0, shard=1))


# --- whole processes -----------------------------------------------------------------------------


class Platform:
    """Holds the clients' socket, a box and a discovery, and starts processes of one broker."""

    def __init__(self, folder: Path) -> None:
        self.door = socket.create_server(("127.0.0.1", 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind(("127.0.0.1", 0))
            self.peer_listen = free.getsockname()
        self.box, self.discovery = Stand(), Stand()
        self.started: list[Daemon] = []
        self.made = 0

    async def __aenter__(self) -> Platform:
        self.ports = {"b1": await self.box.start(), "s": await self.discovery.start()}
        return self

    async def __aexit__(self, *_: object) -> None:
        for daemon in self.started:
            if not daemon.stopping.is_set():
                await daemon.stop()
        await self.box.close()
        await self.discovery.close()
        self.door.close()

    async def process(self, **stated: object) -> Daemon:
        host = World({}, self.ports, None).host("b1", "up")
        config = Config(
            name="n", listen=self.door.getsockname(), discovery=f"127.0.0.1:{self.ports['s']}", seed=1,
            settings=from_wire(WIRE), names=names_from_wire(WIRE), peer_listen=self.peer_listen,
            peers=["127.0.0.1:1", "127.0.0.1:2"], known={"seq": 7, "whole": True, "hosts": [host]},
            raw_settings=WIRE, operator=("127.0.0.1", 0), inherited_descriptor=self.door.fileno(),
        )  # fmt: skip
        daemon = Daemon(replace(config, **stated), None)  # type: ignore[arg-type]
        await daemon.start()
        self.started.append(daemon)
        return daemon

    def request(self, budget_ms: int = 1500) -> bytes:
        self.made += 1
        return (
            f"GET /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: id{self.made}\r\nX-Call-Class: page-read\r\n"
            f"X-Storage-Class: gold\r\nX-Budget-Ms: {budget_ms}\r\n"
            "X-Extent: volume=00000000000000aa,units=2,shard=0,hosts=1\r\n\r\n"
        ).encode()

    async def client(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.door.getsockname())

    async def served(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
        """One request through box and broker; the head of its answer."""
        async with asyncio.timeout(PATIENCE_S):
            writer.write(self.request())
            answer((await self.box.asked.get())[3])
            head = await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(2) == b"ok"
        return head


def on_platform(
    course: Callable[[Platform], Awaitable[None]], folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(replacement, "folder", lambda name: folder / name)

    async def main() -> None:
        async with Platform(folder) as platform:
            await course(platform)

    asyncio.run(main())


def test_a_kept_connection_of_the_old_process_is_served_and_sent_to_the_new(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def course(platform: Platform) -> None:
        old = await platform.process()
        kept = await platform.client()
        assert b"Connection: close" not in await platform.served(*kept)
        waiting = await platform.client()
        waiting[1].write(platform.request())
        asked = (await platform.box.asked.get())[3]
        new = await platform.process()
        assert old.life.superseded and new.life.can_serve and old.life.can_serve
        answer(asked)
        assert b"200" in await waiting[0].readuntil(b"ok")
        assert b"Connection: close" in await platform.served(*kept)
        assert b"Connection: close" not in await platform.served(*await platform.client())
        assert old.core.counts["taken"] == 3 and new.core.counts["taken"] == 1
        await old.stop()
        assert b"200" in await platform.served(*await platform.client())

    on_platform(course, tmp_path, monkeypatch)


def test_a_request_half_read_and_one_behind_sigterm_are_served_by_the_old_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def course(platform: Platform) -> None:
        old = await platform.process()
        kept, half = await platform.client(), await platform.client()
        await platform.served(*kept)
        request = platform.request()
        half[1].write(request[:40])
        while not old.clients.lines("reading"):
            await asyncio.sleep(0)
        await platform.process()
        stopping = asyncio.create_task(old.stop())
        await asyncio.sleep(0.01)
        half[1].write(request[40:])
        answer((await platform.box.asked.get())[3])
        assert b"200" in await half[0].readuntil(b"ok")
        assert b"200" in await platform.served(*kept)
        await stopping

    on_platform(course, tmp_path, monkeypatch)


def test_a_long_answer_on_its_way_is_finished_by_the_old_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def course(platform: Platform) -> None:
        old = await platform.process()
        reader, writer = await platform.client()
        writer.write(platform.request())
        line = (await platform.box.asked.get())[3]
        size = 32 << 20
        line.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"x" * 200_000)
        await reader.readuntil(b"\r\n\r\n")
        await platform.process()
        assert old.life.superseded
        line.writer.write(b"x" * (size - 200_000))
        async with asyncio.timeout(PATIENCE_S):
            assert len(await reader.readexactly(size)) == size

    on_platform(course, tmp_path, monkeypatch)


def test_connections_that_come_while_one_takes_over_wait_and_are_served(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def course(platform: Platform) -> None:
        await platform.process()
        starting = asyncio.create_task(platform.process())
        async with asyncio.timeout(PATIENCE_S):
            while not starting.done():
                await platform.served(*await platform.client())

    on_platform(course, tmp_path, monkeypatch)


def test_the_old_process_accepts_and_hears_its_peers_again_where_the_new_one_dies(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def course(platform: Platform) -> None:
        old = await platform.process()
        new = await platform.process()
        assert new.replacement is not None and new.peers is not None
        new.close_door()  # as the system does with a dead process's descriptors
        new.replacement.upgrade.close()
        async with asyncio.timeout(PATIENCE_S):
            while old.life.superseded or len(old.servers) < 1:
                await asyncio.sleep(0.01)
        assert b"Connection: close" not in await platform.served(*await platform.client())
        assert old.core.settings.plans == from_wire(WIRE).plans
        new.stopping.set()

    on_platform(course, tmp_path, monkeypatch)


def test_a_state_that_cannot_be_written_down_leaves_one_in_charge(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(scheduler: object) -> None:
        raise ValueError("a fault of the broker itself")

    async def course(platform: Platform) -> None:
        old = await platform.process()
        monkeypatch.setattr(handover, "export_state", fail)
        new = await platform.process()
        assert old.life.superseded and old._door_server is None and new.life.can_serve
        await platform.served(*await platform.client())
        assert new.core.counts["taken"] == 1

    on_platform(course, tmp_path, monkeypatch)


def test_a_record_that_cannot_be_gone_on_from_ends_no_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(scheduler: object, state: object) -> None:
        raise KeyError("another release's")

    async def course(platform: Platform) -> None:
        await platform.process()
        monkeypatch.setattr(handover, "import_state", fail)
        new = await platform.process()
        async with asyncio.timeout(PATIENCE_S):
            while not new.life.can_serve:
                await asyncio.sleep(0.01)
        await platform.served(*await platform.client())

    on_platform(course, tmp_path, monkeypatch)


def test_a_drain_and_what_was_learned_cross_an_upgrade(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def course(platform: Platform) -> None:
        old = await platform.process()
        old.life.evacuate()
        old.core.scheduler.endpoints.shards[0].capacity = 42.0  # type: ignore[attr-defined]
        old.directory.read(
            {"seq": 8, "whole": False, "hosts": [World({}, platform.ports, None).host("b1", "draining")]}
        )
        new = await platform.process()
        assert new.life.drained and not new.life.healthy and new.life.can_serve
        assert new.core.scheduler.endpoints.shards[0].capacity == 42.0  # type: ignore[attr-defined]
        assert new.directory.seq == 8 and new.core.nodes()["b1"].state == "draining"

    on_platform(course, tmp_path, monkeypatch)


def test_sigterm_reaches_the_old_process_before_the_new_one_is_ready(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def course(platform: Platform) -> None:
        old = await platform.process()
        stopping = asyncio.create_task(old.stop())
        await asyncio.sleep(0)
        new = await platform.process()
        await stopping
        assert new.life.can_serve and b"200" in await platform.served(*await platform.client())

    on_platform(course, tmp_path, monkeypatch)


def test_two_upgrades_at_once_end_with_one_in_charge(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def course(platform: Platform) -> None:
        await platform.process()
        await asyncio.gather(platform.process(), platform.process())
        assert sorted(daemon.life.superseded for daemon in platform.started) == [False, True, True]
        assert sum(daemon._door_server is not None for daemon in platform.started) == 1
        await platform.served(*await platform.client())

    on_platform(course, tmp_path, monkeypatch)


def test_two_processes_share_the_limits_until_one_is_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old one takes no clients any more: what it has, and all that it may still open, counts."""
    monkeypatch.setattr(upgrade, "ALONE_S", 0.05)

    async def course(platform: Platform) -> None:
        old = await platform.process()
        clients, nodes = old.clients.most, old.client.pool.most
        kept = [await platform.client() for _ in range(5)]
        for each in kept:
            await platform.served(*each)
        new = await platform.process()
        assert len(old.clients) == 5 and new.clients.most == clients - 5 - IN_FLIGHT
        assert old.client.pool.most >= len(old.client.pool)
        assert old.client.pool.most + new.client.pool.most <= nodes
        assert old.bodies.most == new.bodies.most == new.config.limits.bodies // 2
        await old.stop()
        async with asyncio.timeout(PATIENCE_S):
            while (new.clients.most, new.client.pool.most) != (clients, nodes):
                await asyncio.sleep(0.01)

    on_platform(course, tmp_path, monkeypatch)


@pytest.mark.parametrize("turns", range(5))
def test_connections_accepted_as_a_process_is_superseded_are_not_turned_away(
    turns: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def course(platform: Platform) -> None:
        old = await platform.process()
        assert old.replacement is not None
        clients = [socket.create_connection(platform.door.getsockname()) for _ in range(2 * IN_FLIGHT)]
        for client in clients:
            client.sendall(platform.request())
        for _ in range(turns):
            await asyncio.sleep(0)
        old.replacement._supersede()
        await asyncio.sleep(0.05)
        assert old.clients.counts["turned_away"] == 0
        assert len(old.clients) <= old.clients.most
        for client in clients:
            client.close()

    on_platform(course, tmp_path, monkeypatch)


def test_a_process_that_knows_nothing_of_the_other_goes_by_half(tmp_path: Path) -> None:
    limits = Limits.share(384, 80)
    half = limits.half()
    assert 2 * half.clients <= limits.clients and 2 * half.boxes <= limits.boxes
    assert 2 * half.held <= limits.held and 2 * half.bodies <= limits.bodies


def test_no_message_of_a_peer_is_lost_where_the_address_changes_hands(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def course(platform: Platform) -> None:
        old = await platform.process()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            starting = asyncio.create_task(platform.process())
            sent = 0
            while not starting.done():
                peer.sendto(b"x", platform.peer_listen)
                sent += 1
                await asyncio.sleep(0.001)
            new = await starting
            await asyncio.sleep(0.05)
        assert old.peers is not None and new.peers is not None
        assert old.peers.counts["junk"] + new.peers.counts["junk"] == sent

    on_platform(course, tmp_path, monkeypatch)


WRONG_DOORS: dict[str, Callable[[], tuple[socket.socket, tuple[str, int]]]] = {
    "a datagram socket": lambda: (socket.socket(socket.AF_INET, socket.SOCK_DGRAM), ("127.0.0.1", 1)),
    "one that does not listen": lambda: (socket.socket(), ("127.0.0.1", 1)),
    "another address": lambda: (socket.create_server(("127.0.0.1", 0)), ("127.0.0.1", 1)),
}


@pytest.mark.parametrize("make", WRONG_DOORS.values(), ids=WRONG_DOORS.keys())
def test_an_inherited_descriptor_that_is_another_socket_is_named(
    make: Callable[[], tuple[socket.socket, tuple[str, int]]], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def course(platform: Platform) -> None:
        door, listen = make()
        with door, pytest.raises(BadConfigError, match="LB_INHERITED_FD: descriptor"):
            await platform.process(inherited_descriptor=door.fileno(), listen=listen)

    on_platform(course, tmp_path, monkeypatch)


def test_an_inherited_descriptor_that_is_not_open_is_named(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def course(platform: Platform) -> None:
        with pytest.raises(BadConfigError, match="LB_INHERITED_FD: descriptor 999 is not open"):
            await platform.process(inherited_descriptor=999)

    on_platform(course, tmp_path, monkeypatch)
