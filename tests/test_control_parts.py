"""The parts of agreement and maintenance in a running broker, each alone: no network, no other broker."""

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
    """A member whose clock, lease and results the test sets."""

    def __init__(self, machine: MaintenanceStateMachine) -> None:
        self.machine = machine
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
        self.fault: CallError | None = None
        self.requested_reports = 0
        self.called: list[Command] = []

    def now_us(self) -> int:
        return self.time_us

    def report_soon(self) -> None:
        self.requested_reports += 1

    async def call(self, data: bytes, within_s: float) -> bytes:
        if self.fault is not None:
            raise self.fault
        self.called.append(decode_command(data))
        return self.machine.apply(self.applied_index, data)

    async def read(self, within_s: float) -> bool:
        return True


class StandInCore:
    def __init__(self) -> None:
        self.offered_units = 0.0
        self.consecutive_unresponsive: Counter[str] = Counter()
        self.open_at: Counter[str] = Counter()
        self.open_requests = 0

    def open_attempt_count_at(self, node: str) -> int:
        return self.open_at[node]

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


class Rows:
    """A log of events in memory."""

    def __init__(self) -> None:
        self.rows: list[tuple[str, dict[str, Any]]] = []

    def write(self, event: str, **fields: Any) -> None:
        self.rows.append((event, fields))

    def close(self) -> None:
        pass


def agreed(*commands: Command) -> MaintenanceStateMachine:
    machine = MaintenanceStateMachine()
    machines = (*(Machine(f"x{n}", "box") for n in (1, 2, 3)), Machine("b1", "broker"))
    orders = SubmitOrder(Order("fw", ("x1", "x2", "b1"), "restart", 10.0, at_once=3), 1.0)
    for command in (DeclareMachines(machines, ("b1", "b2", "b3"), 1.0), orders, *commands):
        assert not machine.execute(command).refusal
    return machine


def draining(machine: str, fence: int) -> tuple[Command, Command]:
    return GrantPermit(machine, "fw", 1.0), ChangePhase(machine, fence, "draining", 1.0)


def barrier(
    machine: MaintenanceStateMachine, isolation_limit_us: int = 0
) -> tuple[NodeBarrier, StandInMember, StandInNodes]:
    member, nodes = StandInMember(machine), StandInNodes()
    any_member: Any = member
    made = NodeBarrier(machine, any_member, nodes, Rows(), isolation_limit_us, lambda: 4_000)
    return made, member, nodes


# --- which nodes may not be sent to -------------------------------------------------------------------------


def test_a_process_that_has_held_no_lease_sends_to_no_node() -> None:
    """A process has just started. What was agreed on while it was not there it does not know, so that any
    node may be out by now: nothing is sent before its first lease."""
    made, member, nodes = barrier(agreed())
    assert nodes.closed == [None] and made.is_barred("x1") and made.is_barred("x3")
    member.lease_end_us = LEASE_END_US
    made.refresh_when_due(member.now_us())
    assert nodes.closed[-1] == frozenset() and not made.is_barred("x1")


def test_a_process_that_stood_still_asks_its_lease_by_the_clock_of_the_write() -> None:
    """A process is stopped for longer than its lease, amid a request that is about to be written. When it
    goes on the write comes before any timer. The leader may have called the permitted node out meanwhile:
    the write must be refused, by the clock alone."""
    made, member, _ = barrier(agreed(*draining("x1", 1), GrantPermit("x2", "fw", 1.0)))
    member.lease_end_us = LEASE_END_US
    made.refresh_when_due(member.now_us())
    assert made.is_barred("x1") and not made.is_barred("x2")
    member.time_us = LEASE_END_US  # no timer has run
    assert made.is_barred("x2") and not made.is_barred("x3")


def test_a_broker_that_is_cut_off_for_the_operators_limit_sends_to_no_node() -> None:
    """A broker is cut off for longer than blind_s: others may have taken any node out by now."""
    made, member, nodes = barrier(agreed(), isolation_limit_us=5_000_000)
    member.lease_end_us = LEASE_END_US
    made.refresh_when_due(member.now_us())
    member.time_us = LEASE_END_US + 4_999_999
    assert not made.is_barred("x3")
    member.time_us += 1
    assert made.is_barred("x3") and nodes.closed[-1] is None


# --- steps ------------------------------------------------------------------------------------------------


def test_steps_of_orders_that_were_dropped_are_not_kept() -> None:
    """A broker runs for years. The agreed state keeps the last hundred orders; so does what it has seen."""
    machine = agreed(GrantPermit("x1", "fw", 1.0))
    member: Any = StandInMember(machine)
    observer = StepObserver(machine, member, Rows())
    assert observer.notice_changes() and not observer.notice_changes()
    step = machine.state.steps["fw"]["x1"]
    member.time_us += 2_000_000
    assert observer.phase_age_s(step, member.time_us) == 2.0
    del machine.state.steps["fw"]["x1"]
    assert not observer.notice_changes()
    assert observer.phase_age_s(step, member.time_us) == 0.0  # as one that was never seen
    assert observer.phase_age_s(machine.state.steps["fw"]["x2"], member.time_us) == 2.0


# --- reports and facts --------------------------------------------------------------------------------------


def reporter(machine: MaintenanceStateMachine) -> tuple[BrokerReporter, StandInMember, StandInCore]:
    made, member, _ = barrier(machine)
    member.lease_end_us = LEASE_END_US
    core: Any = StandInCore()
    any_member: Any = member
    return BrokerReporter(machine, any_member, core, made), member, core


def test_a_drain_is_confirmed_only_when_no_attempt_is_open_there() -> None:
    """CLEAR: the leader takes this for the word that a node may be worked on. While one attempt of this
    broker is open there it must not be given; a permit that does not drain yet is known, and no more."""
    reports, _, core = reporter(agreed(*draining("x1", 1), GrantPermit("x2", "fw", 1.0)))
    core.open_at["x1"] = 1
    assert set(reports.build().informed_brokers) == {1, 2} and not reports.build().drained_brokers
    core.open_at["x1"] = 0
    assert set(reports.build().drained_brokers) == {1}


def test_a_broker_confirms_its_own_drain_only_when_every_request_has_its_answer() -> None:
    """A broker is taken out itself: its process may end only once no client waits for an answer."""
    reports, _, core = reporter(agreed(*draining("b1", 1)))
    core.open_requests = 1
    assert not reports.build().drained_brokers
    core.open_requests = 0
    assert set(reports.build().drained_brokers) == {1}


def test_a_report_has_learned_rates_and_nodes_that_do_not_respond_for_a_while() -> None:
    """A node that fails one connection counts as two attempts: it is reported. When nothing is sent there any
    more the figure stands, and says nothing about now: after 10 s the node is reported no more."""
    reports, member, core = reporter(agreed())
    core.consecutive_unresponsive["x2"] = 1
    assert not reports.build().unreachable_counts
    core.consecutive_unresponsive["x2"] = 2
    report = reports.build()
    assert report.unreachable_counts == {"x2": 1} and report.learned_units == {"x1": 12.34}
    member.time_us += 10_000_000
    assert not reports.build().unreachable_counts


def test_a_process_says_which_one_it_is_for_a_minute_and_while_it_is_taken_out() -> None:
    machine = agreed()
    reports, member, _ = reporter(machine)
    assert reports.build().incarnations == {"b1": 77}
    member.time_us += 60_000_000
    assert reports.build().incarnations == {}
    machine.execute(GrantPermit("b1", "fw", 1.0))
    assert reports.build().incarnations == {"b1": 77}


def test_the_load_is_that_of_the_last_two_seconds() -> None:
    window = LoadWindow()
    assert window.add(0, 0.0) == 0.0
    assert window.add(1_000_000, 10.0) == 10.0
    assert window.add(3_000_000, 50.0) == 20.0  # the first sample is too old


def test_who_was_in_a_round_holds_a_lease_though_it_is_silent_since() -> None:
    """A broker reports and falls silent before a majority has confirmed the round that its report was in. Its
    grant is on its way all the same: the leader has to count its lease from now on."""
    facts = LeaderFacts(informed_brokers={9: {0}}, seen_since_us={(9, "out"): 1, (2, "out"): 3})
    totals = SubtreeTotals(
        alive_brokers={0}, informed_brokers={2: {0}}, drained_brokers={2: {0}}, load_units=3.0
    )
    granted = GrantRound(0, {}, {0, 1})
    update_facts(facts, 500, granted, totals, {2}, StandInNodes().state)
    assert facts.last_grant_us == {0: 500, 1: 500} and facts.alive_brokers == {0}
    assert facts.informed_brokers == {2: {0}} and facts.drained_brokers == {2: {0}}
    assert facts.seen_since_us == {(2, "out"): 3}  # fence 9 is over
    assert facts.reserved_units == 9.0


# --- calls and proposals ------------------------------------------------------------------------------------


def test_a_call_gets_one_result_and_late_ones_are_passed_over() -> None:
    async def main() -> None:
        calls = PendingCalls()
        (first, one), (second, two) = calls.open(), calls.open()
        assert first != second != calls.next_number()
        calls.complete(first, b"result")
        calls.fail(first, "too late")
        calls.fail_all("this broker ends")
        assert await one == b"result"
        with pytest.raises(CallError, match="this broker ends"):
            await two
        calls.discard(first)
        calls.complete(first, b"nobody awaits it")

    asyncio.run(main())


def test_a_command_that_is_on_its_way_is_not_proposed_again() -> None:
    """The leader looks every 200 ms, and an agreement may take longer: the same command, but for its time,
    must not fill the log."""

    async def main() -> None:
        machine, rows, counts = agreed(), Rows(), Counter[str]()
        member: Any = StandInMember(machine)
        proposals = Proposals(member, rows, counts)
        proposals.propose(0, PausePermits(True, 1.0))
        proposals.propose(100, PausePermits(True, 2.0))
        proposals.propose(100, PausePermits(False, 2.0))
        await asyncio.sleep(0.01)
        assert [command.paused for command in member.called] == [True, False]
        assert rows.rows[0] == ("planned", {"what": "Hold", "refused": ""})
        member.fault = CallError("not agreed on in time")
        proposals.propose(200, PausePermits(True, 3.0))
        await asyncio.sleep(0.01)
        assert counts == {"unsettled": 1}

    asyncio.run(main())


# --- the disk -----------------------------------------------------------------------------------------------


class ScriptedStore:
    disk = "b1-1"
    restored = ev.RestoredState()

    def __init__(self) -> None:
        self.batches: list[list[int]] = []
        self.fault: StoreError | None = None

    def write(self, writes: list[ev.Persist]) -> None:
        if self.fault is not None:
            raise self.fault
        self.batches.append([write.number for write in writes])

    def close(self) -> None:
        pass


def work(number: int) -> ev.Persist:
    return ev.Persist(number, "cluster-1", 1, None)


def test_writes_that_come_during_a_sync_share_the_next_one_and_a_failure_is_final() -> None:
    """A disk is slow: writes queue up during one sync, and share the next. Then it fails: what a failed sync
    has written may be half on the disk, so nothing is written after it."""

    async def main() -> None:
        store, synced, failed = ScriptedStore(), [], []
        may_write = asyncio.Event()

        async def write_to_disk(write: Callable[[], None]) -> None:
            await may_write.wait()
            write()

        def on_synced(number: int, took_us: int) -> None:
            synced.append(number)

        writer = DiskWriter(store, write_to_disk, on_synced, failed.append)
        task = asyncio.ensure_future(writer.run())
        writer.submit(work(1))
        await asyncio.sleep(0.01)
        writer.submit(work(2))
        writer.submit(work(3))
        assert writer.busy.locked() and not store.batches
        may_write.set()
        await asyncio.sleep(0.01)
        assert store.batches == [[1], [2, 3]] and synced == [1, 3]
        store.fault = StoreError("no space")
        writer.submit(work(4))
        await task
        assert [str(fault) for fault in failed] == ["no space"] and synced == [1, 3]

    asyncio.run(main())


def test_a_log_of_events_has_whole_lines_and_none_without_a_file(tmp_path: Path) -> None:
    log = EventLog(str(tmp_path / "events"), lambda: 1.5)
    log.write("step", machine="x1")
    log.close()
    log.write("step", machine="x2")
    rows = [json.loads(line) for line in (tmp_path / "events").read_text().splitlines()]
    assert rows == [{"event": "step", "at": 1.5, "machine": "x1"}]
    EventLog("").write("step")


# --- operators' calls ---------------------------------------------------------------------------------------


class Request:
    def __init__(self, method: str, path: str, body: Any = None) -> None:
        self.method = method
        self.raw_path = path
        self._body = b"" if body is None else json.dumps(body).encode()

    async def read(self) -> bytes:
        return self._body


def answer(member: StandInMember, method: str, path: str, body: Any = None) -> tuple[int, dict[str, Any]]:
    rows: Any = Rows()
    any_member: Any = member
    observer = StepObserver(member.machine, any_member, rows)
    preview: Any = SimpleNamespace(state_digest=lambda: "digest", preview=lambda *words: {"steps": []})
    view: Any = SimpleNamespace(facts=LeaderFacts(), wall_s=lambda: 10.0)
    api = MaintenanceApi(member.machine, any_member, observer, preview, rows, view)
    request: Any = Request(method, path, body)
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
def test_a_call_that_cannot_be_carried_out_says_why_in_one_line(
    path: str, body: Any, status: int, reason: str
) -> None:
    code, answered = answer(StandInMember(agreed()), "POST", path, body)
    assert code == status and answered["reason"].startswith(reason) and "\n" not in answered["reason"]


def test_a_call_without_a_result_in_time_is_503_and_one_that_is_agreed_on_200() -> None:
    """The leader may have died with the command: it may be agreed on later, or never. The operator is told
    so, and asks the same again, which counts once."""
    member = StandInMember(agreed())
    member.fault = CallError("not agreed on in time; it may be later, or never")
    assert answer(member, "POST", "/maintenance/request", ORDER)[0] == 503
    member.fault = None
    for _ in range(2):
        assert answer(member, "POST", "/maintenance/request", ORDER) == (200, {"agreed": True, "index": 5})
    assert list(member.machine.state.orders) == ["fw", "new"]
    assert answer(member, "POST", "/maintenance/plan?x=1", ORDER) == (200, {"steps": []})


def test_the_status_names_each_machine_with_its_phase_and_what_it_waits_for() -> None:
    member = StandInMember(agreed(*draining("x1", 1)))
    member.wait_reasons = {"fw/x1": ["b2 to finish there"]}
    code, status = answer(member, "GET", "/maintenance/")
    assert code == 200 and status["knows"] and not status["leased"] and status["leader"] == "b2"
    assert [step["phase"] for step in status["orders"][0]["steps"]] == ["draining", "waiting", "waiting"]
    assert status["orders"][0]["steps"][0]["waits"] == ["b2 to finish there"]
    assert answer(member, "GET", "/maintenance/hold")[0] == 404


def test_a_result_that_is_too_long_ago_to_be_known_counts_as_refused() -> None:
    """A member repeats a call whose result is kept by nobody any more: it gets bytes that are none."""

    class Forgetful(StandInMember):
        async def call(self, data: bytes, within_s: float) -> bytes:
            return b""

    code, answered = answer(Forgetful(agreed()), "POST", "/maintenance/hold")
    assert (code, answered["reason"]) == (409, "too long ago to be known")
    assert encode_result(CommandResult("", 3)) == b"\x82\xa7refused\xa0\xa5fence\x03"
