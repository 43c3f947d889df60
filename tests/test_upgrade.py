"""Upgrades in place: two and three daemons of one broker on one socket, each course of a take-over forced."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from pathlib import Path

import pytest

from harriertide.cli import in_place_upgrade
from harriertide.cli.daemon import Daemon
from harriertide.cli.listeners import Listeners
from harriertide.decide import api, handover
from harriertide.decide.demand_aggregate import DemandAggregate
from harriertide.decide.handover import records as handover_records
from harriertide.decide.scheduler import Scheduler
from harriertide.decide.settings import from_wire, names_from_wire
from harriertide.decide.state import VolumeState
from harriertide.decide.token_bucket import TokenBucket
from harriertide.http.client_server import TrackedServer
from harriertide.http.limits import Limits
from harriertide.lifecycle import active_process, record
from harriertide.lifecycle.active_process import ActiveProcessHooks, ActiveProcessLease
from harriertide.lifecycle.process_registry import ACTIVE_LEASE_S, ProcessRegistry
from harriertide.lifecycle.record import Handover, RecordError
from harriertide.platform.configuration import BadConfigError, Config
from harriertide.platform.endpoint_directory import DirectoryState, EndpointDirectory
from harriertide.platform.endpoint_page import EndpointPage, parse_page
from tests.helpers import START_US, BrokerUnderTest, started_attempts
from tests.scenario import ScenarioRunner, StubServer
from tests.socket_broker import send_response
from tests.socket_broker import short_shutdown as short_shutdown  # a fixture
from tests.test_net import WIRE

PATIENCE_S = 5.0


# --- who is in charge ----------------------------------------------------------------------------


def test_epochs_rise_and_a_process_lives_for_as_long_as_it_holds_its_lock(tmp_path: Path) -> None:
    """A process dies without a word: the system ends its lock, and the others see it from that."""
    first, second = ProcessRegistry(tmp_path), ProcessRegistry(tmp_path)
    assert first.epoch < second.epoch and first.has_other_processes() and second.is_alive(first.epoch)
    first.close()
    assert not second.is_alive(first.epoch) and not second.has_other_processes()
    assert ProcessRegistry(tmp_path).epoch > second.epoch


def test_one_process_at_a_time_takes_over(tmp_path: Path) -> None:
    """Two new processes start at once: the second waits until the first has become active."""
    first, second = ProcessRegistry(tmp_path), ProcessRegistry(tmp_path)
    assert first.try_lock_takeover() and not second.try_lock_takeover()
    first.become_active()
    first.end_takeover()
    assert second.try_lock_takeover() and second.active_epoch() == first.epoch


def test_a_claim_counts_for_as_long_as_its_process_lives(tmp_path: Path) -> None:
    """A process claims the lease and dies: the active one must not hand over to nobody."""
    old, new = ProcessRegistry(tmp_path), ProcessRegistry(tmp_path)
    new.try_lock_takeover()
    new.write_claim()
    assert old.claimed_epoch() == new.epoch and new.claimed_epoch() == 0
    new.close()
    assert old.claimed_epoch() == 0


def test_files_of_processes_that_are_gone_go_with_the_next_take_over(tmp_path: Path) -> None:
    """Upgrade after upgrade leaves files behind; each takeover removes those of the dead."""
    gone, new = ProcessRegistry(tmp_path), ProcessRegistry(tmp_path)
    gone.close()
    new.try_lock_takeover()
    new.write_claim()
    new.write_handover_record(gone.epoch, b"x")
    new.become_active()
    new.end_takeover()
    assert sorted(path.name for path in tmp_path.iterdir()) == ["current", f"process-{new.epoch}", "takeover"]


class Process:
    """An ActiveProcessLease whose hooks write down what they are told."""

    def __init__(self, folder: Path) -> None:
        self.events: list[str] = []
        self.registry = ProcessRegistry(folder)
        hooks = ActiveProcessHooks(
            self.release,
            lambda: self.events.append("fenced"),
            lambda: self.events.append("reclaimed"),
            lambda on: None,
        )
        self.lease = ActiveProcessLease(self.registry, hooks)

    def release(self, claimed: int) -> bytes:
        self.events.append("released")
        return b"state for %d" % claimed

    def die(self) -> None:
        self.lease.close()

    def stand_still(self) -> None:
        """As under SIGSTOP: it looks at nothing, and lives."""
        assert self.lease._timer is not None
        self.lease._timer.cancel()

    async def wait_until(self, *said: str) -> None:
        async with asyncio.timeout(PATIENCE_S):
            while self.events != list(said):
                await asyncio.sleep(0.005)


def test_the_first_process_takes_charge_with_nothing_and_the_next_with_its_record(tmp_path: Path) -> None:
    """The course without a failure, twice in a row: each process passes its state to the next."""

    async def course() -> None:
        old, new, third = Process(tmp_path), Process(tmp_path), Process(tmp_path)
        assert await old.lease.take_over() is None
        assert await new.lease.take_over() == b"state for %d" % new.lease.epoch
        assert old.events == ["released"] and new.lease.is_active and not old.lease.is_active
        assert await third.lease.take_over() == b"state for %d" % third.lease.epoch
        assert old.events == ["released"] and new.events == ["released"]

    asyncio.run(course())


def test_two_that_take_over_at_once_do_so_one_after_the_other(tmp_path: Path) -> None:
    """Two upgrades are started at once: one process ends up active, and no state is lost on the way."""

    async def course() -> None:
        old, *both = [Process(tmp_path) for _ in range(3)]
        await old.lease.take_over()
        records = await asyncio.gather(*(each.lease.take_over() for each in both))
        assert None not in records
        assert sorted(len(each.events) for each in both) == [0, 1] and old.events == ["released"]

    asyncio.run(course())


def test_the_one_that_entered_first_and_takes_over_last_gets_the_state_too(tmp_path: Path) -> None:
    """Guards against a claim that the active process disregards: both would give out the same limits."""

    async def course() -> None:
        old, early, late = [Process(tmp_path) for _ in range(3)]
        await old.lease.take_over()
        await late.lease.take_over()
        assert await early.lease.take_over() == b"state for %d" % early.lease.epoch
        assert late.events == ["released"] and early.lease.epoch > late.lease.epoch
        assert early.registry.is_alive(early.lease.epoch) and late.registry.is_alive(early.lease.epoch)
        early.die()
        assert not late.registry.is_alive(early.lease.epoch)

    asyncio.run(course())


@pytest.mark.parametrize("charged", [False, True], ids=["before it is in charge", "right after"])
def test_the_old_process_takes_back_from_one_that_dies(tmp_path: Path, charged: bool) -> None:
    """The new process is killed in the middle of its takeover, or right after it: the old one reclaims
    the lease.
    """

    async def course() -> None:
        old, new = Process(tmp_path), Process(tmp_path)
        await old.lease.take_over()
        if charged:
            await new.lease.take_over()
        else:
            new.registry.try_lock_takeover()
            new.registry.write_claim()
            await old.wait_until("released")
        new.die()
        if not charged:
            new.registry.end_takeover()  # as the system does with a dead process's locks
        await old.wait_until("released", "reclaimed")
        assert old.lease.is_active and old.registry.active_epoch() == old.lease.epoch

    asyncio.run(course())


def test_a_process_that_was_told_to_end_takes_nothing_back(tmp_path: Path) -> None:
    """The old process has had SIGTERM when the new one dies: it still hands over, but never becomes
    active again.
    """

    async def course() -> None:
        old, new = Process(tmp_path), Process(tmp_path)
        await old.lease.take_over()
        old.lease.stop_reclaiming()
        assert await new.lease.take_over() is not None  # it still answers
        new.die()
        await asyncio.sleep(0.1)
        assert old.events == ["released"]

    asyncio.run(course())


def test_the_next_process_starts_from_nothing_where_the_old_one_is_gone(tmp_path: Path) -> None:
    """The active process is killed after the claim and before its answer: the new one does not wait for
    ever.
    """

    async def course() -> None:
        old, new = Process(tmp_path), Process(tmp_path)
        await old.lease.take_over()
        old.stand_still()
        taking = asyncio.create_task(new.lease.take_over())
        while old.registry.claimed_epoch() == 0:  # killed in the middle: asked, and not answered yet
            await asyncio.sleep(0)
        old.die()
        assert await taking is None and new.lease.is_active

    asyncio.run(course())


def test_one_that_stood_still_is_fenced_before_it_acts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The active process is stopped (SIGSTOP), and the new one goes on without its answer.

    Once it runs again it must find that out before it forwards anything: two would spend one limit.
    """
    monkeypatch.setattr(active_process, "CLAIM_ANSWER_TIMEOUT_S", 0.05)

    async def course() -> None:
        old, new = Process(tmp_path), Process(tmp_path)
        await old.lease.take_over()
        old.stand_still()
        begun = time.monotonic()
        assert await new.lease.take_over() is None
        assert time.monotonic() - begun > ACTIVE_LEASE_S  # what the old one may still have done is over
        old.lease.check_fence()
        assert old.events == ["fenced"] and not old.lease.is_active

    asyncio.run(course())


# --- the record ----------------------------------------------------------------------------------

EMPTY = Handover(
    "n", 2, 100.0, 1, True, 0, 0, DirectoryState(3, [], {}, []), handover_records.DecisionRecord()
)


def test_a_record_comes_back_as_it_went() -> None:
    """Everything that is exported is there after the import."""
    ballots = {3: (5, {1, 2})}
    slot = handover_records.LeaseSlotRecord(-1, 0, 0, 0, ballots, 0, 0)
    leases = handover_records.LeasesRecord(7, {1: slot}, {})
    aggregate = handover_records.AggregateRecord(
        [1.0] * 9, 5, {2: (9, [0.5])}, 0.0, False, False, 0, False, 0, 0.0, {}
    )
    decisions = handover_records.DecisionRecord(
        aggregates={4: aggregate}, baseline_latency_us=[2.0], leases=leases
    )
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
    """A record is damaged, of another release, of another broker or process, or left by an upgrade long
    ago.
    """
    with pytest.raises(RecordError, match=reason):
        record.decode(spoil(record.encode(EMPTY)), broker, epoch, now_s)


def test_a_record_of_another_shape_is_set_aside() -> None:
    """Another release of the same version number wrote other fields: that is found, not imported by half."""
    import msgspec
    from xxhash import xxh3_64_digest

    body = msgspec.msgpack.encode({"broker": "n"})
    with pytest.raises(RecordError, match="malformed"):
        record.decode(record.MAGIC + xxh3_64_digest(body) + body, "n", 2, 100.0)


# --- the list and the decisions ------------------------------------------------------------------


def page(seq: int, *hosts: str, **health: str) -> EndpointPage:
    rows = [
        {"host": host, "dial": f"{host}:1", "block": 0, "health": health.get(host, "up")} for host in hosts
    ]
    return parse_page({"seq": seq, "whole": True, "hosts": rows}, {})


def test_the_newer_list_holds_and_drains_that_either_was_told() -> None:
    """One process knows a newer endpoint list, the other a drain: neither may be lost in the hand-over."""
    old, new = EndpointDirectory({}), EndpointDirectory({})
    old.apply(page(9, "a", "b", "c", b="draining"))
    new.apply(page(5, "a", "b", "d"), "cached")
    told = new.import_state(old.export_state())
    assert {entry.node_id: entry.state for entry in told.entries} == {
        "a": "live",
        "b": "draining",
        "c": "live",
    }
    assert new.version == 9 and new.find("c") == "c:1" and new.find("d") is None
    newer = EndpointDirectory({})
    newer.apply(page(12, "a", "b", "d"))
    told = newer.import_state(old.export_state())
    assert {entry.node_id: entry.state for entry in told.entries} == {
        "a": "live",
        "b": "draining",
        "d": "live",
    }
    assert newer.version == 12


def test_what_was_learned_goes_on_and_nothing_is_given_out_twice() -> None:
    """Capacity, quotas and grants that the old process has learned or given out hold in the new one."""
    cold = api.NodeEntry("n0", 0, started_us=START_US - 1_000_000)
    old, new = BrokerUnderTest((cold,)), BrokerUnderTest((cold,))
    keeper, taker = old.scheduler, new.scheduler
    node = keeper.endpoints.nodes["n0"]
    node.granted.append((START_US, 3.0))
    node.is_ejected, node.measured_units = True, 4.0
    cell = keeper.endpoints.shards[node.shard]
    cell.capacity, cell.is_capacity_known, cell.is_overloaded = 42.0, True, True
    cell.demand[0] = 5.0
    keeper.rate_limits.volumes[9] = VolumeState(9, 1.0, TokenBucket(1.0, 5), TokenBucket(0.25, 6))
    keeper.demand.aggregates[node.shard] = DemandAggregate([2.0] * 9)
    keeper.placements.put("aa", 3, START_US)
    state = record.decode(
        record.encode(replace(EMPTY, decisions=handover.export_state(keeper))), "n", 2, 100.0
    ).decisions
    handover.import_state(taker, state, new.now_us)
    there, shard = taker.endpoints.nodes["n0"], taker.endpoints.shards[node.shard]
    assert there.granted == node.granted and there.is_ejected and there.measured_units == 4.0
    assert (shard.capacity, shard.is_capacity_known, shard.is_overloaded) == (42.0, True, True)
    assert (
        shard.shard in taker.demand.active_shards
        and taker.rate_limits.volumes[9].rate_limit_bucket.units == 0.25
    )
    assert taker.demand.aggregates[node.shard].sums == [2.0] * 9
    assert taker.placements.by_key == {"aa": (3, START_US)}
    assert new.request(shard=node.shard) is not None  # and it goes on deciding


@pytest.mark.parametrize("ahead_us", [-800_000, 0, 800_000])
def test_a_limit_does_not_fill_by_the_difference_of_two_clocks(ahead_us: int) -> None:
    """One broker, limit 10 units a second. Its store is spent as the newer process goes on with it."""
    old, new = BrokerUnderTest(broker_count=1), BrokerUnderTest(broker_count=1)
    while started_attempts(old.request(plan=1, shard=0)):
        old.finish_attempt(f"r{old.request_count}", after_us=0)
    new.handle(
        api.TimerFired(0),
        after_us=old.now_us + ahead_us - new.now_us if old.now_us + ahead_us > new.now_us else 0,
    )
    handover.import_state(new.scheduler, handover.export_state(old.scheduler), old.now_us)
    new.now_us = old.now_us + 10_000
    assert not started_attempts(new.request(plan=1, shard=0))
    new.now_us = old.now_us + 1_000_000
    assert started_attempts(new.request(plan=1, shard=0))


def test_a_process_that_begins_without_state_has_no_units_from_before() -> None:
    """Guards against a limit and a warming node's budget that two processes of a broker give out at once."""
    warming = api.NodeEntry("n0", 0, started_us=START_US - 100_000)
    broker = BrokerUnderTest((warming, api.NodeEntry("n1", 1)), broker_count=1)
    broker.advance(2_500_000)
    broker.scheduler.begin_without_state(broker.now_us)
    assert not started_attempts(broker.request(plan=1, shard=1))
    assert not started_attempts(broker.request(shard=0))
    assert started_attempts(broker.advance(1_000_000))
    unstarted = Scheduler(broker.settings, 1)
    unstarted.begin_without_state(START_US)
    assert not unstarted.context.has_started  # its first call starts it


def test_a_superseded_process_gives_out_no_limit_and_nothing_of_cold_nodes() -> None:
    """Both processes live on for a while: only the active one may spend rate limits and slow-start budget."""
    cold = api.NodeEntry("n0", 0, started_us=START_US - 1_000_000)
    head = BrokerUnderTest((cold, api.NodeEntry("n1", 1)))
    head.handle(api.SettingsChanged(head.settings.superseded()))
    for _ in range(20):
        assert not started_attempts(head.request(plan=1, shard=1))  # of a plan with a limit
        assert not started_attempts(head.request(plan=0, shard=0))  # at the cold node
    assert started_attempts(head.request(plan=0, shard=1))


# --- whole processes -----------------------------------------------------------------------------


class Platform:
    """Holds the clients' socket, a box and a discovery, and starts processes of one broker."""

    def __init__(self, folder: Path) -> None:
        self.door = socket.create_server(("127.0.0.1", 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind(("127.0.0.1", 0))
            self.peer_listen = free.getsockname()
        self.box, self.discovery = StubServer(), StubServer()
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
        host = ScenarioRunner({}, self.ports, None).endpoint_entry("b1", "up")
        config = Config(
            name="n", listen=self.door.getsockname(), discovery=f"127.0.0.1:{self.ports['s']}", seed=1,
            settings=from_wire(WIRE), names=names_from_wire(WIRE), peer_listen=self.peer_listen,
            peers=["127.0.0.1:1", "127.0.0.1:2"], raw_settings=WIRE,
            cached_list=parse_page({"seq": 7, "whole": True, "hosts": [host]}, {}),
            operator=("127.0.0.1", 0), inherited_descriptor=self.door.fileno(),
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
            send_response((await self.box.requests.get())[3])
            head = await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(2) == b"ok"
        return head


def on_platform(
    course: Callable[[Platform], Awaitable[None]], folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(in_place_upgrade, "meeting_folder", lambda name: folder / name)

    async def main() -> None:
        async with Platform(folder) as platform:
            await course(platform)

    asyncio.run(main())


def test_a_kept_connection_of_the_old_process_is_served_and_sent_to_the_new(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clients keep connections to the old process: each is served once more there, and told to reconnect."""

    async def course(platform: Platform) -> None:
        old = await platform.process()
        kept = await platform.client()
        assert b"Connection: close" not in await platform.served(*kept)
        waiting = await platform.client()
        waiting[1].write(platform.request())
        asked = (await platform.box.requests.get())[3]
        new = await platform.process()
        assert old.lifecycle.is_superseded and new.lifecycle.is_serving and old.lifecycle.is_serving
        send_response(asked)
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
    """A request is half read as the upgrade and then SIGTERM come: it is still served."""

    async def course(platform: Platform) -> None:
        old = await platform.process()
        kept, half = await platform.client(), await platform.client()
        await platform.served(*kept)
        request = platform.request()
        half[1].write(request[:40])
        while not old.clients.in_state("reading"):
            await asyncio.sleep(0)
        await platform.process()
        stopping = asyncio.create_task(old.stop())
        await asyncio.sleep(0.01)
        half[1].write(request[40:])
        send_response((await platform.box.requests.get())[3])
        assert b"200" in await half[0].readuntil(b"ok")
        assert b"200" in await platform.served(*kept)
        await stopping

    on_platform(course, tmp_path, monkeypatch)


def test_a_long_answer_on_its_way_is_finished_by_the_old_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An answer of 32 MB is on its way as the upgrade comes: the client gets all of it."""

    async def course(platform: Platform) -> None:
        old = await platform.process()
        reader, writer = await platform.client()
        writer.write(platform.request())
        line = (await platform.box.requests.get())[3]
        size = 32 << 20
        line.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"x" * 200_000)
        await reader.readuntil(b"\r\n\r\n")
        await platform.process()
        assert old.lifecycle.is_superseded
        line.writer.write(b"x" * (size - 200_000))
        async with asyncio.timeout(PATIENCE_S):
            assert len(await reader.readexactly(size)) == size

    on_platform(course, tmp_path, monkeypatch)


def test_connections_that_come_while_one_takes_over_wait_and_are_served(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clients connect all through a takeover: none is refused and none is closed unserved."""

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
    """The new process crashes once it is active: the old one accepts clients and peers again."""

    async def course(platform: Platform) -> None:
        old = await platform.process()
        new = await platform.process()
        assert new.in_place_upgrade is not None and new.peers is not None
        new.stop_accepting()  # as the system does with a dead process's descriptors
        new.in_place_upgrade.close()
        async with asyncio.timeout(PATIENCE_S):
            while old.lifecycle.is_superseded or len(old.listeners.servers) < 1:
                await asyncio.sleep(0.01)
        assert b"Connection: close" not in await platform.served(*await platform.client())
        assert old.core.settings.plans == from_wire(WIRE).plans
        new.stopping.set()

    on_platform(course, tmp_path, monkeypatch)


def kill(daemon: Daemon) -> None:
    """End a process as SIGKILL does: the system closes its descriptors."""
    assert daemon.in_place_upgrade is not None
    daemon.stop_accepting()
    daemon.in_place_upgrade.close()
    daemon.stopping.set()


def test_a_process_in_charge_again_accepts_as_soon_as_it_can(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a broker in charge that accepts nobody, as its address was in use when it took back."""
    failures = [OSError("address in use"), OSError("address in use")]
    open_for_clients = Listeners.open_for_clients

    async def fail_twice(listeners: Listeners, protocol: TrackedServer) -> None:
        if failures:
            raise failures.pop()
        await open_for_clients(listeners, protocol)

    async def course(platform: Platform) -> None:
        old = await platform.process()
        new = await platform.process()
        monkeypatch.setattr(Listeners, "open_for_clients", fail_twice)
        kill(new)
        async with asyncio.timeout(PATIENCE_S):
            while not old.listeners.accepts_clients:
                await asyncio.sleep(0.01)
        await platform.served(*await platform.client())

    on_platform(course, tmp_path, monkeypatch)


def test_a_process_superseded_while_it_opens_again_accepts_nobody(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against two processes of one broker that accept: the third took over as the first reopened."""
    open_for_clients = Listeners.open_for_clients

    async def course(platform: Platform) -> None:
        old = await platform.process()
        new = await platform.process()
        may_open = asyncio.Event()

        async def open_late(listeners: Listeners, protocol: TrackedServer) -> None:
            if listeners is old.listeners:
                await may_open.wait()
            await open_for_clients(listeners, protocol)

        monkeypatch.setattr(Listeners, "open_for_clients", open_late)
        kill(new)
        async with asyncio.timeout(PATIENCE_S):
            while old.lifecycle.is_superseded:
                await asyncio.sleep(0.01)
            third = await platform.process()
            may_open.set()
            await asyncio.sleep(0.05)
        assert third.listeners.accepts_clients and not old.listeners.accepts_clients

    on_platform(course, tmp_path, monkeypatch)


def test_a_state_that_cannot_be_written_down_leaves_one_in_charge(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The export of the state fails on a bug of ours: the new process starts with none, and is the only
    active one.
    """

    def fail(scheduler: object) -> None:
        raise ValueError("a fault of the broker itself")

    async def course(platform: Platform) -> None:
        old = await platform.process()
        monkeypatch.setattr(handover, "export_state", fail)
        new = await platform.process()
        assert old.lifecycle.is_superseded and not old.listeners.accepts_clients and new.lifecycle.is_serving
        await platform.served(*await platform.client())
        assert new.core.counts["taken"] == 1

    on_platform(course, tmp_path, monkeypatch)


def test_a_record_that_cannot_be_gone_on_from_ends_no_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The import fails on a record that another release wrote: the new process starts with no state,
    and serves.
    """

    released_at_us: list[int] = []

    def fail(scheduler: object, state: object, now_us: int) -> None:
        released_at_us.append(now_us)
        raise KeyError("another release's")

    async def course(platform: Platform) -> None:
        await platform.process()
        monkeypatch.setattr(handover, "import_state", fail)
        new = await platform.process()
        async with asyncio.timeout(PATIENCE_S):
            while not new.lifecycle.is_serving:
                await asyncio.sleep(0.01)
        assert new.core.scheduler.context.started_at_us >= released_at_us[0]  # type: ignore[attr-defined]
        await platform.served(*await platform.client())

    on_platform(course, tmp_path, monkeypatch)


def test_a_drain_and_what_was_learned_cross_an_upgrade(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Operators drain a broker and then upgrade it: it stays drained, with what it knows of nodes and
    discovery.
    """

    async def course(platform: Platform) -> None:
        old = await platform.process()
        old.lifecycle.evacuate()
        old.core.scheduler.endpoints.shards[0].capacity = 42.0  # type: ignore[attr-defined]
        old.directory.apply(
            old.directory.parse_page(
                {
                    "seq": 8,
                    "whole": False,
                    "hosts": [ScenarioRunner({}, platform.ports, None).endpoint_entry("b1", "draining")],
                }
            )
        )
        new = await platform.process()
        assert new.lifecycle.is_draining and not new.lifecycle.is_healthy and new.lifecycle.is_serving
        assert new.core.scheduler.endpoints.shards[0].capacity == 42.0  # type: ignore[attr-defined]
        assert new.directory.version == 8 and new.core.nodes()["b1"].state == "draining"

    on_platform(course, tmp_path, monkeypatch)


def test_sigterm_reaches_the_old_process_before_the_new_one_is_ready(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The platform stops the old process too early: the new one serves all the same."""

    async def course(platform: Platform) -> None:
        old = await platform.process()
        stopping = asyncio.create_task(old.stop())
        await asyncio.sleep(0)
        new = await platform.process()
        await stopping
        assert new.lifecycle.is_serving and b"200" in await platform.served(*await platform.client())

    on_platform(course, tmp_path, monkeypatch)


def test_two_upgrades_at_once_end_with_one_in_charge(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Two new processes are started beside a running one: exactly one of the three accepts at the end."""

    async def course(platform: Platform) -> None:
        await platform.process()
        await asyncio.gather(platform.process(), platform.process())
        assert sorted(daemon.lifecycle.is_superseded for daemon in platform.started) == [False, True, True]
        assert sum(daemon.listeners.accepts_clients for daemon in platform.started) == 1
        await platform.served(*await platform.client())

    on_platform(course, tmp_path, monkeypatch)


def test_two_processes_share_the_limits_until_one_is_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old one takes no clients any more: what it has, and all that it may still open, counts."""
    monkeypatch.setattr(active_process, "LIVENESS_CHECK_INTERVAL_S", 0.05)

    async def course(platform: Platform) -> None:
        old = await platform.process()
        clients, nodes = old.clients.max_connections, old.client.pool.max_connections
        kept = [await platform.client() for _ in range(5)]
        for each in kept:
            await platform.served(*each)
        new = await platform.process()
        assert len(old.clients) == 5 and new.clients.max_connections == clients - 5
        assert old.client.pool.max_connections >= len(old.client.pool)
        assert old.client.pool.max_connections + new.client.pool.max_connections <= nodes
        assert (
            old.memory.requests.limit_bytes
            == new.memory.requests.limit_bytes
            == new.config.limits.half().max_buffered_request_bytes
        )
        await old.stop()
        async with asyncio.timeout(PATIENCE_S):
            while (new.clients.max_connections, new.client.pool.max_connections) != (clients, nodes):
                await asyncio.sleep(0.01)

    on_platform(course, tmp_path, monkeypatch)


def is_ended(client: socket.socket) -> bool:
    """Whether the other side has ended a connection, with whatever it has answered before."""
    client.setblocking(False)
    with suppress(BlockingIOError):
        while client.recv(65536):
            pass
        return True
    return False


@pytest.mark.parametrize("turns", range(5))
def test_connections_accepted_as_a_process_is_superseded_are_not_turned_away(
    turns: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Connections are accepted and not yet heard of as the limit of the process shrinks.

    Their clients have sent requests: rejecting them now would fail requests for the sake of a count.
    """

    async def course(platform: Platform) -> None:
        old = await platform.process()
        assert old.in_place_upgrade is not None
        clients = [socket.create_connection(platform.door.getsockname()) for _ in range(24)]
        for client in clients:
            client.sendall(platform.request())
        for _ in range(turns):
            await asyncio.sleep(0)
        old.in_place_upgrade._supersede()
        await asyncio.sleep(0.05)
        assert not any(is_ended(client) for client in clients)
        assert len(old.clients) <= old.clients.max_connections
        for client in clients:
            client.close()

    on_platform(course, tmp_path, monkeypatch)


def test_a_process_that_knows_nothing_of_the_other_goes_by_half(tmp_path: Path) -> None:
    limits = Limits.from_resources(384, 80)
    half = limits.half()
    assert (
        2 * half.max_client_connections <= limits.max_client_connections
        and 2 * half.max_node_connections <= limits.max_node_connections
    )
    assert (
        2 * half.max_buffered_response_bytes <= limits.max_buffered_response_bytes
        and 2 * half.max_buffered_request_bytes <= limits.max_buffered_request_bytes
    )


def test_no_message_of_a_peer_is_lost_where_the_address_changes_hands(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Peers send all through an upgrade: each datagram reaches one of the two processes, and only one."""

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
    """The platform passes on the wrong descriptor: the start ends with a line that names the variable."""

    async def course(platform: Platform) -> None:
        door, listen = make()
        with door, pytest.raises(BadConfigError, match="LB_INHERITED_FD: descriptor"):
            await platform.process(inherited_descriptor=door.fileno(), listen=listen)

    on_platform(course, tmp_path, monkeypatch)


def test_an_inherited_descriptor_that_is_not_open_is_named(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The platform passes on a number without a descriptor: the start ends with a line that names it."""

    async def course(platform: Platform) -> None:
        with pytest.raises(BadConfigError, match="LB_INHERITED_FD: descriptor 999 is not open"):
            await platform.process(inherited_descriptor=999)

    on_platform(course, tmp_path, monkeypatch)
