"""Unit tests of the control package: each module is tested without a network or other brokers."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from harriertide.consensus import events as ev
from harriertide.consensus.fanout import GrantRound
from harriertide.consensus.fanout_messages import SubtreeTotals
from harriertide.consensus.store import StoreError
from harriertide.control.broker_report import BrokerReporter, LoadWindow
from harriertide.control.disk_writer import DiskWriter
from harriertide.control.event_log import EventLog
from harriertide.control.leader_facts import update_facts
from harriertide.control.node_barrier import NodeBarrier
from harriertide.control.operator_api import MaintenanceApi
from harriertide.control.pending_calls import CallError, PendingCalls
from harriertide.control.proposals import Proposals
from harriertide.control.step_observer import StepObserver
from harriertide.maintenance.commands import (
    ChangePhase,
    Command,
    CommandResult,
    DeclareMachines,
    GrantPermit,
    PausePermits,
    SubmitOrder,
    decode_command,
    encode_result,
)
from harriertide.maintenance.facts import LeaderFacts
from harriertide.maintenance.orders import Machine, Order
from harriertide.maintenance.state_machine import MaintenanceStateMachine

LEASE_END_US = 10_000_000


class StandInMember:
    """A stand-in for AgreementMember whose clock, lease and call results are set by the test."""

    def __init__(self, state_machine: MaintenanceStateMachine) -> None:
        self.state_machine = state_machine
        self.name = "b1"
        self.incarnation = 77
        self.broker_index = 0
        self.applied_index = 5
        self.lease_end_us = 0
        self.time_us = 1_000_000
        self.is_leader = False
        self.leader = "b2"
        self.halted = ""
        self.voter_names = ["b1", "b2", "b3"]
        self.wait_reasons: dict[str, list[str]] = {}
        self.error: CallError | None = None
        self.report_request_count = 0
        self.commands: list[Command] = []

    def now_us(self) -> int:
        return self.time_us

    def report_soon(self) -> None:
        self.report_request_count += 1

    async def call(self, data: bytes, within_s: float) -> bytes:
        if self.error is not None:
            raise self.error
        self.commands.append(decode_command(data))
        return self.state_machine.apply(self.applied_index, data)

    async def read(self, within_s: float) -> bool:
        return True


class StandInCore:
    def __init__(self) -> None:
        self.offered_units = 0.0
        self.consecutive_unresponsive: Counter[str] = Counter()
        self.open_attempts: Counter[str] = Counter()
        self.open_requests = 0

    def open_attempt_count_at(self, node: str) -> int:
        return self.open_attempts[node]

    def learned_capacity_by_node(self) -> dict[str, float]:
        return {"x1": 12.341, "x2": 0.0}

    def open_request_count(self) -> int:
        return self.open_requests


class StandInNodes:
    def __init__(self) -> None:
        self.closed: list[frozenset[str] | None] = []
        grades = {"gold": {"reserve": 4.0, "worth": 2.0}, "free": {"reserve": 1.0, "worth": 1.0}}
        volumes = {"a": {"grade": "gold"}, "b": {"grade": "gold"}, "c": {"grade": "free"}}
        self.state: Any = {"grades": grades, "volumes": volumes, "boxes": {}, "limits": {}}

    def close_nodes(self, closed: frozenset[str] | None, returned_us: dict[str, int]) -> None:
        self.closed.append(closed)


class InMemoryEvents:
    """An event sink that keeps the events in memory."""

    def __init__(self) -> None:
        self.rows: list[tuple[str, dict[str, Any]]] = []

    def write(self, event: str, **fields: Any) -> None:
        self.rows.append((event, fields))

    def close(self) -> None:
        pass


def state_machine_after(*commands: Command) -> MaintenanceStateMachine:
    state_machine = MaintenanceStateMachine()
    machines = (*(Machine(f"x{n}", "box") for n in (1, 2, 3)), Machine("b1", "broker"))
    submit_order = SubmitOrder(Order("fw", ("x1", "x2", "b1"), "restart", 10.0, at_once=3), 1.0)
    for command in (DeclareMachines(machines, ("b1", "b2", "b3"), 1.0), submit_order, *commands):
        assert not state_machine.execute(command).refusal
    return state_machine


def drain_commands(machine: str, fence: int) -> tuple[Command, Command]:
    return GrantPermit(machine, "fw", 1.0), ChangePhase(machine, fence, "draining", 1.0)


def make_barrier(
    state_machine: MaintenanceStateMachine, isolation_limit_us: int = 0
) -> tuple[NodeBarrier, StandInMember, StandInNodes]:
    member, nodes = StandInMember(state_machine), StandInNodes()
    untyped_member: Any = member
    barrier = NodeBarrier(
        state_machine, untyped_member, nodes, InMemoryEvents(), isolation_limit_us, lambda: 4_000
    )
    return barrier, member, nodes


# --- node barrier -------------------------------------------------------------------------------------------


def test_barrier_closes_all_nodes_before_the_first_lease() -> None:
    """A process that has just started does not know the permits committed while it was down. Any node may be
    out of service, so nothing may be sent before the first lease."""
    barrier, member, nodes = make_barrier(state_machine_after())
    assert nodes.closed == [None] and barrier.is_barred("x1") and barrier.is_barred("x3")
    member.lease_end_us = LEASE_END_US
    barrier.refresh_when_due(member.now_us())
    assert nodes.closed[-1] == frozenset() and not barrier.is_barred("x1")


def test_barrier_checks_the_lease_by_the_clock_after_a_process_pause() -> None:
    """A process is paused for longer than its lease, just before it writes a request. When it resumes, the
    write runs before any timer. The leader may have taken the permitted node out of service meanwhile, so the
    write must be refused by the clock alone."""
    barrier, member, _ = make_barrier(
        state_machine_after(*drain_commands("x1", 1), GrantPermit("x2", "fw", 1.0))
    )
    member.lease_end_us = LEASE_END_US
    barrier.refresh_when_due(member.now_us())
    assert barrier.is_barred("x1") and not barrier.is_barred("x2")
    member.time_us = LEASE_END_US  # no timer has run since the pause
    assert barrier.is_barred("x2") and not barrier.is_barred("x3")


def test_barrier_closes_all_nodes_after_the_isolation_limit() -> None:
    """A broker is isolated for longer than blind_s, so the others may have taken any node out of service."""
    barrier, member, nodes = make_barrier(state_machine_after(), isolation_limit_us=5_000_000)
    member.lease_end_us = LEASE_END_US
    barrier.refresh_when_due(member.now_us())
    member.time_us = LEASE_END_US + 4_999_999
    assert not barrier.is_barred("x3")
    member.time_us += 1
    assert barrier.is_barred("x3") and nodes.closed[-1] is None


# --- steps ------------------------------------------------------------------------------------------------


def test_step_observer_drops_steps_of_dropped_orders() -> None:
    """The replicated state keeps the last hundred orders. The observer must drop the others as well, or it
    would grow without limit in a broker that runs for years."""
    state_machine = state_machine_after(GrantPermit("x1", "fw", 1.0))
    member: Any = StandInMember(state_machine)
    observer = StepObserver(state_machine, member, InMemoryEvents())
    assert observer.notice_changes() and not observer.notice_changes()
    step = state_machine.state.steps["fw"]["x1"]
    member.time_us += 2_000_000
    assert observer.phase_age_s(step, member.time_us) == 2.0
    del state_machine.state.steps["fw"]["x1"]
    assert not observer.notice_changes()
    assert observer.phase_age_s(step, member.time_us) == 0.0  # as for a step that was never seen
    assert observer.phase_age_s(state_machine.state.steps["fw"]["x2"], member.time_us) == 2.0


# --- reports and facts --------------------------------------------------------------------------------------


def make_reporter(
    state_machine: MaintenanceStateMachine,
) -> tuple[BrokerReporter, StandInMember, StandInCore]:
    barrier, member, _ = make_barrier(state_machine)
    member.lease_end_us = LEASE_END_US
    core: Any = StandInCore()
    untyped_member: Any = member
    return BrokerReporter(state_machine, untyped_member, core, barrier), member, core


def test_drain_is_confirmed_only_without_open_attempts() -> None:
    """CLEAR: the leader takes a node out of service once all brokers have confirmed the drain. A broker must
    not confirm it while one of its attempts is open there. A permit that is not draining yet is only reported
    as known."""
    reporter, _, core = make_reporter(
        state_machine_after(*drain_commands("x1", 1), GrantPermit("x2", "fw", 1.0))
    )
    core.open_attempts["x1"] = 1
    assert set(reporter.build().informed_brokers) == {1, 2} and not reporter.build().drained_brokers
    core.open_attempts["x1"] = 0
    assert set(reporter.build().drained_brokers) == {1}


def test_broker_confirms_its_own_drain_only_without_open_requests() -> None:
    """A broker that is taken out of service may exit only once no client waits for an answer."""
    reporter, _, core = make_reporter(state_machine_after(*drain_commands("b1", 1)))
    core.open_requests = 1
    assert not reporter.build().drained_brokers
    core.open_requests = 0
    assert set(reporter.build().drained_brokers) == {1}


def test_report_holds_learned_capacity_and_unreachable_nodes_until_they_expire() -> None:
    """One failed connection counts as two attempts, and the node is reported as unreachable. Once nothing is
    sent there the count no longer changes and becomes stale, so the node is not reported after 10 s."""
    reporter, member, core = make_reporter(state_machine_after())
    core.consecutive_unresponsive["x2"] = 1
    assert not reporter.build().unreachable_counts
    core.consecutive_unresponsive["x2"] = 2
    report = reporter.build()
    assert report.unreachable_counts == {"x2": 1} and report.learned_units == {"x1": 12.34}
    member.time_us += 10_000_000
    assert not reporter.build().unreachable_counts


def test_incarnation_is_reported_for_a_minute_and_during_own_maintenance() -> None:
    state_machine = state_machine_after()
    reporter, member, _ = make_reporter(state_machine)
    assert reporter.build().incarnations == {"b1": 77}
    member.time_us += 60_000_000
    assert reporter.build().incarnations == {}
    state_machine.execute(GrantPermit("b1", "fw", 1.0))
    assert reporter.build().incarnations == {"b1": 77}


def test_load_is_averaged_over_the_last_two_seconds() -> None:
    window = LoadWindow()
    assert window.add(0, 0.0) == 0.0
    assert window.add(1_000_000, 10.0) == 10.0
    assert window.add(3_000_000, 50.0) == 20.0  # the first sample has left the window


def test_broker_in_a_grant_round_holds_a_lease_even_if_silent_since() -> None:
    """A broker reports, and goes silent before a majority confirms the grant round with its report. The grant
    is sent all the same, so the leader must count the lease of this broker from now on."""
    facts = LeaderFacts(informed_brokers={9: {0}}, seen_since_us={(9, "out"): 1, (2, "out"): 3})
    totals = SubtreeTotals(
        alive_brokers={0}, informed_brokers={2: {0}}, drained_brokers={2: {0}}, load_units=3.0
    )
    grant_round = GrantRound(0, {}, {0, 1})
    update_facts(facts, 500, grant_round, totals, {2}, StandInNodes().state)
    assert facts.last_grant_us == {0: 500, 1: 500} and facts.alive_brokers == {0}
    assert facts.informed_brokers == {2: {0}} and facts.drained_brokers == {2: {0}}
    assert facts.seen_since_us == {(2, "out"): 3}  # fence 9 is no longer active
    assert facts.reserved_units == 9.0


# --- calls and proposals ------------------------------------------------------------------------------------


def test_call_gets_one_result_and_ignores_late_ones() -> None:
    async def main() -> None:
        calls = PendingCalls()
        (first, first_future), (second, second_future) = calls.open(), calls.open()
        assert first != second != calls.next_number()
        calls.complete(first, b"result")
        calls.fail(first, "too late")
        calls.fail_all("this broker ends")
        assert await first_future == b"result"
        with pytest.raises(CallError, match="this broker ends"):
            await second_future
        calls.discard(first)
        calls.complete(first, b"nobody awaits it")

    asyncio.run(main())


def test_command_in_flight_is_not_proposed_again() -> None:
    """The leader plans every 200 ms, and a commit may take longer. The same command, apart from its time,
    must not be appended to the log again in each planning round."""

    async def main() -> None:
        state_machine, events, counts = state_machine_after(), InMemoryEvents(), Counter[str]()
        member: Any = StandInMember(state_machine)
        proposals = Proposals(member, events, counts)
        proposals.propose(0, PausePermits(True, 1.0))
        proposals.propose(100, PausePermits(True, 2.0))
        proposals.propose(100, PausePermits(False, 2.0))
        await asyncio.sleep(0.01)
        assert [command.paused for command in member.commands] == [True, False]
        assert events.rows[0] == ("planned", {"what": "Hold", "refused": ""})
        member.error = CallError("not agreed on in time")
        proposals.propose(200, PausePermits(True, 3.0))
        await asyncio.sleep(0.01)
        assert counts == {"unsettled": 1}

    asyncio.run(main())


# --- disk ---------------------------------------------------------------------------------------------------


class ScriptedStore:
    disk = "b1-1"
    restored = ev.RestoredState()

    def __init__(self) -> None:
        self.batches: list[list[int]] = []
        self.error: StoreError | None = None

    def write(self, writes: list[ev.Persist]) -> None:
        if self.error is not None:
            raise self.error
        self.batches.append([write.number for write in writes])

    def close(self) -> None:
        pass


def make_write(number: int) -> ev.Persist:
    return ev.Persist(number, "cluster-1", 1, None)


def test_writes_during_a_sync_share_the_next_one_and_a_failure_is_final() -> None:
    """On a slow disk, writes queue up during a sync and share the next one. After a failed sync the disk may
    hold part of a write, so nothing is written after it."""

    async def main() -> None:
        store, synced, errors = ScriptedStore(), [], []
        may_write = asyncio.Event()

        async def write_to_disk(write: Callable[[], None]) -> None:
            await may_write.wait()
            write()

        def on_synced(number: int, took_us: int) -> None:
            synced.append(number)

        writer = DiskWriter(store, write_to_disk, on_synced, errors.append)
        task = asyncio.ensure_future(writer.run())
        writer.submit(make_write(1))
        await asyncio.sleep(0.01)
        writer.submit(make_write(2))
        writer.submit(make_write(3))
        assert writer.write_lock.locked() and not store.batches
        may_write.set()
        await asyncio.sleep(0.01)
        assert store.batches == [[1], [2, 3]] and synced == [1, 3]
        store.error = StoreError("no space")
        writer.submit(make_write(4))
        await task
        assert [str(error) for error in errors] == ["no space"] and synced == [1, 3]

    asyncio.run(main())


def test_event_log_writes_whole_lines_and_nothing_without_a_file(tmp_path: Path) -> None:
    log = EventLog(str(tmp_path / "events"), lambda: 1.5)
    log.write("step", machine="x1")
    log.close()
    log.write("step", machine="x2")
    rows = [json.loads(line) for line in (tmp_path / "events").read_text().splitlines()]
    assert rows == [{"event": "step", "at": 1.5, "machine": "x1"}]
    EventLog("").write("step")


# --- operator API -------------------------------------------------------------------------------------------


class StandInRequest:
    def __init__(self, method: str, path: str, body: Any = None) -> None:
        self.method = method
        self.raw_path = path
        self._body = b"" if body is None else json.dumps(body).encode()

    async def read(self) -> bytes:
        return self._body


def call_api(member: StandInMember, method: str, path: str, body: Any = None) -> tuple[int, dict[str, Any]]:
    events: Any = InMemoryEvents()
    untyped_member: Any = member
    observer = StepObserver(member.state_machine, untyped_member, events)
    preview: Any = SimpleNamespace(state_digest=lambda: "digest", preview=lambda *args: {"steps": []})
    leader_view: Any = SimpleNamespace(facts=LeaderFacts(), wall_s=lambda: 10.0)
    api = MaintenanceApi(member.state_machine, untyped_member, observer, preview, events, leader_view)
    request: Any = StandInRequest(method, path, body)
    response: Any = asyncio.run(api.handle(request))
    return response.status, json.loads(response.body)


ORDER = {"order": "new", "machines": ["x3"], "work": "restart", "takes_s": 5}


@pytest.mark.parametrize(
    ("path", "body", "status", "reason"),
    [
        ("/maintenance/nothing", {}, 404, "no such route"),
        ("/maintenance/hold", ["a list"], 400, "can't be used: not an object"),
        ("/maintenance/done", {}, 400, "can't be used: 'machine'"),
        ("/maintenance/done", {"machine": "x2"}, 409, "x2 is not out"),
        ("/maintenance/cancel", {"order": "none"}, 409, "there is no order none"),
        ("/maintenance/gone", {"broker": "x1"}, 409, "there is no broker x1"),
        ("/maintenance/request", {**ORDER, "work": "dance"}, 400, "work: must be one of"),
        ("/maintenance/request", {"text": "{"}, 400, "not TOML"),
        ("/maintenance/request", {**ORDER, "from": "old"}, 409, "the state has moved since"),
    ],
)  # fmt: skip
def test_rejected_call_gives_the_reason_in_one_line(path: str, body: Any, status: int, reason: str) -> None:
    code, response = call_api(StandInMember(state_machine_after()), "POST", path, body)
    assert code == status and response["reason"].startswith(reason) and "\n" not in response["reason"]


def test_call_without_a_result_in_time_is_503_and_committed_call_is_200() -> None:
    """If the leader fails, the command may be committed later or never. The operator gets 503 and repeats the
    call; a repeated order counts once."""
    member = StandInMember(state_machine_after())
    member.error = CallError("not agreed on in time; it may be later, or never")
    assert call_api(member, "POST", "/maintenance/request", ORDER)[0] == 503
    member.error = None
    for _ in range(2):
        assert call_api(member, "POST", "/maintenance/request", ORDER) == (200, {"agreed": True, "index": 5})
    assert list(member.state_machine.state.orders) == ["fw", "new"]
    assert call_api(member, "POST", "/maintenance/plan?x=1", ORDER) == (200, {"steps": []})


def test_status_names_the_phase_and_wait_reasons_of_each_machine() -> None:
    member = StandInMember(state_machine_after(*drain_commands("x1", 1)))
    member.wait_reasons = {"fw/x1": ["b2 to finish there"]}
    code, status = call_api(member, "GET", "/maintenance/")
    assert code == 200 and status["knows"] and not status["leased"] and status["leader"] == "b2"
    assert [step["phase"] for step in status["orders"][0]["steps"]] == ["draining", "waiting", "waiting"]
    assert status["orders"][0]["steps"][0]["waits"] == ["b2 to finish there"]
    assert call_api(member, "GET", "/maintenance/hold")[0] == 404


def test_result_that_is_no_longer_kept_counts_as_refused() -> None:
    """A member retries a call whose result has been dropped from the session, and gets an empty result."""

    class MemberWithoutResult(StandInMember):
        async def call(self, data: bytes, within_s: float) -> bytes:
            return b""

    code, response = call_api(MemberWithoutResult(state_machine_after()), "POST", "/maintenance/hold")
    assert (code, response["reason"]) == (409, "too long ago to be known")
    assert encode_result(CommandResult("", 3)) == b"\x82\xa7refused\xa0\xa5fence\x03"
